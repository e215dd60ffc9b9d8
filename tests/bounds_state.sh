#!/usr/bin/env bash
# Compares the instructions of applying task starts and ends with bounds
# derived from the target size of docs/design.md. A fifth of a core, taken as
# 1e9 instructions/s, for 2,500 starts and 2,500 ends a second allows 40,000
# instructions per command; the bound requires this of a start and an end
# together. A pair may cost at most 1.5 times as much at 46,000 live jobs as
# at 5,000.
# Usage: tests/bounds_state.sh [BUILD_FOLDER]. Needs valgrind. A pair includes
# encoding its part of two commands of 100 items each.
set -u
. "$(dirname "$0")/bounds.sh"
out=${1:-build/release}
pairs=2000
most=40000

# Prints the instructions per pair at JOBS live jobs.
cost() {
    local n
    n=$(instructions "$1" "$out/bench/bench_state" pairs "$1" "$pairs") ||
        return 1
    echo $((n / pairs))
}

cases="5000 46000"
for c in $cases; do
    cost "$c" >"$work/cost-$c" &
done
wait
at() { cat "$work/cost-$1"; }
for c in $cases; do
    check "pair at $c live jobs" "$(at "$c")" "$most"
done
check "growth with live jobs, 5000 to 46000" "$(at 46000)" \
    "$(scaled "$(at 5000)" 1.5)"
[ "$failed" -eq 0 ]
