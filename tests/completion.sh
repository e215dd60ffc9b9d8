#!/usr/bin/env bash
# Guards against commands and options that --help lists but
# completion/guavarock.bash does not offer, and the reverse.
# Usage: tests/completion.sh [BUILD_FOLDER]
set -u
out=${1:-build/release}
. "$(dirname "$0")/../completion/guavarock.bash" || exit 1
passed=0
failed=0

# offered FUNCTION LINE: prints what is offered at the end of LINE, sorted.
offered() {
    COMP_LINE=$2 COMP_POINT=${#2}
    COMPREPLY=()
    "$1"
    [ ${#COMPREPLY[@]} -eq 0 ] || printf '%s\n' "${COMPREPLY[@]}" | sort
}

# options COMMAND...: prints the long options in its --help, sorted.
options() {
    "$@" --help | sed -nE 's/^ +(-., )?(--[a-z-]+=?).*/\2/p' | sort
}

# same WHAT EXPECTED FOUND
same() {
    if [ "$2" = "$3" ]; then
        passed=$((passed + 1))
    else
        echo "FAILED: $1:"
        diff <(echo "$2") <(echo "$3")
        failed=$((failed + 1))
    fi
}

commands=$("$out/guavarock" --help |
    sed -n '/^Commands/,/^$/s/^  \(.\{11\}\)\(.\{9\}\) .*/\1 \2/p')
[ -n "$commands" ] || failed=1
first=$(echo "$commands" | awk '{ print $1 }' | sort -u)
same "first words" "$first" "$(offered _guavarock "guavarock ")"
for f in $first; do
    same "words after $f" \
        "$(echo "$commands" | awk -v f="$f" '$1 == f && $2 { print $2 }' | sort)" \
        "$(offered _guavarock "guavarock $f ")"
done
same "global options" "$(options "$out/guavarock")" \
    "$(offered _guavarock "guavarock --")"
while read -r f s; do
    same "options of $f $s" "$(options "$out/guavarock" $f $s)" \
        "$(offered _guavarock "guavarock $f $s --")"
done <<<"$commands"
same "options of guavarockd" "$(options "$out/guavarockd")" \
    "$(offered _guavarockd "guavarockd --")"
# A URL is split by COMP_WORDBREAKS, and its option has an argument.
same "command after --server URL" list \
    "$(offered _guavarock "guavarock --server http://127.0.0.1:7070 -k K vm l")"
same "argument of an option" "" "$(offered _guavarock "guavarock --server ")"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
