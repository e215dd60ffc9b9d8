#!/usr/bin/env bash
# Compares the instructions of a round of the workflow planner with the bound
# on a turn of the leader's loop: 5 ms, at 1e9 instructions/s, for a fleet of
# up to 3,000 workers and a backlog of up to 5,000 steps. A round must not grow
# with workers times steps.
# Usage: tests/bounds_plan.sh [BUILD_FOLDER]. Needs valgrind.
set -u
. "$(dirname "$0")/bounds.sh"
out=${1:-build/release}
bench=$out/bench/bench_plan
rounds=10
most=5000000

# Prints the instructions per round for WORKERS STEPS.
cost() {
    local n
    n=$(instructions "$1-$2" "$bench" "$1" "$2" "$rounds") || return 1
    echo $((n / rounds))
}

cases="350:50 350:500 1100:500 1100:5000 3000:5000"
for c in $cases; do
    cost "${c%:*}" "${c#*:}" >"$work/cost-$c" &
done
wait
for c in $cases; do
    check "workers:steps $c" "$(cat "$work/cost-$c")" "$most"
done
[ "$failed" -eq 0 ]
