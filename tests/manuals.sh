#!/usr/bin/env bash
# Guards against options that --help lists but the manual pages leave out, and
# against faults in their markup, which groff reports if it is installed.
# Usage: tests/manuals.sh [BUILD_FOLDER]
set -u
out=${1:-build/release}
man=$(dirname "$0")/../man
passed=0
failed=0

# check WHAT COMMAND...: counts a success or a failure of COMMAND.
check() {
    local what=$1
    shift
    if "$@"; then
        passed=$((passed + 1))
    else
        echo "FAILED: $what"
        failed=$((failed + 1))
    fi
}

# documents PAGE COMMAND...: whether PAGE has every long option of COMMAND.
documents() {
    local page=$1 options option missing=0
    shift
    options=$("$@" --help | sed -nE 's/^ +(-., )?(--[a-z-]+).*/\2/p')
    [ -n "$options" ] || return 1
    for option in $options; do
        sed 's/\\-/-/g' "$page" | grep -qE -- "$option([^a-z-]|$)" && continue
        echo "$page: $option is missing"
        missing=1
    done
    return "$missing"
}

# clean PAGE: whether groff formats PAGE without a warning.
clean() {
    local warnings
    warnings=$(groff -man -ww -z -Tutf8 "$1" 2>&1) && [ -z "$warnings" ] &&
        return
    echo "$warnings"
    return 1
}

check "options of guavarockd" documents "$man/guavarockd.8" "$out/guavarockd"
check "options of guavarock" documents "$man/guavarock.1" "$out/guavarock"
commands=$("$out/guavarock" --help |
    sed -n '/^Commands/,/^$/s/^  \(.\{11\}\)\(.\{9\}\) .*/\1 \2/p')
check "list of commands" test -n "$commands"
while read -r f s; do
    check "$f $s" grep -qE "^\.B[IR]? (.* )?\"?$f${s:+ $s}( |\"|$)" \
        "$man/guavarock.1"
    check "options of $f $s" documents "$man/guavarock.1" "$out/guavarock" $f $s
done <<<"$commands"
for page in guavarock.1 guavarockd.8; do
    if command -v groff >/dev/null; then
        check "markup of $page" clean "$man/$page"
    else
        echo "not run: markup of $page, no groff"
    fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
