# Sourced by the tests/bounds_*.sh scripts, which count instructions under
# callgrind and compare them with bounds. Sets work, a folder for results that
# is removed at exit, and failed, the number of exceeded bounds.
failed=0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# instructions NAME COMMAND...: prints the instructions between COMMAND's pairs
# of CALLGRIND_TOGGLE_COLLECT, or fails. Its output is kept in $work/log-NAME.
# --toggle-collect=FUNCTION misses returns on arm64 and goes on counting.
instructions() {
    local name=$1
    shift
    valgrind --tool=callgrind --collect-atstart=no \
        --callgrind-out-file="$work/out-$name" "$@" \
        >"$work/log-$name" 2>&1 || return 1
    awk '/^(summary|totals):/ { print $2; exit }' "$work/out-$name"
}

is_positive() { [[ $1 =~ ^[1-9][0-9]*$ ]]; }

# check NAME COST BOUND. A cost or bound that is no positive whole number
# fails, so that a run that failed does not pass.
check() {
    if ! is_positive "$2"; then
        echo "FAILED: $1: nothing measured"
        failed=$((failed + 1))
    elif ! is_positive "$3"; then
        echo "FAILED: $1: $2 instructions, no bound"
        failed=$((failed + 1))
    elif [ "$2" -gt "$3" ]; then
        echo "FAILED: $1: $2 instructions, bound $3"
        failed=$((failed + 1))
    else
        echo "ok: $1: $2 instructions, bound $3"
    fi
}

# grown COST SMALL LARGE: COST times log(LARGE) / log(SMALL).
grown() {
    awk -v c="$1" -v s="$2" -v l="$3" 'BEGIN { print int(c * log(l) / log(s)) }'
}

# scaled COST FACTOR: COST times FACTOR, rounded down.
scaled() {
    awk -v c="$1" -v f="$2" 'BEGIN { print int(c * f) }'
}
