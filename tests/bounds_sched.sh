#!/usr/bin/env bash
# Compares the instructions per decision with bounds derived from the targets
# of docs/design.md, section 7: 10,000 decisions/s on one core, taken as
# 1e9 instructions/s, allow 100,000 instructions per decision; and cost may
# grow no faster than logarithmically with workers and queued jobs.
# Usage: tests/bounds_sched.sh [BUILD_FOLDER]. Needs valgrind. One decision
# includes the end of a task, the arrival of a job and the commit.
set -u
. "$(dirname "$0")/bounds.sh"
out=${1:-build/release}
bench=$out/bench/bench_sched_scale
decisions=400
most=100000

# Prints the instructions per decision for WORKERS QUEUED.
cost() {
    local n
    n=$(instructions "$1-$2" "$bench" queue "$1" "$2" "$decisions") ||
        return 1
    echo $((n / decisions))
}

cases="140:100 1400:100 14000:100 1400:1000 1400:10000"
for c in $cases; do
    cost "${c%:*}" "${c#*:}" >"$work/cost-$c" &
done
wait
at() { cat "$work/cost-$1"; }
for c in $cases; do
    check "workers:queued $c" "$(at "$c")" "$most"
done
check "growth with workers, 140 to 14000" "$(at 14000:100)" \
    "$(grown "$(at 140:100)" 140 14000)"
check "growth with queue, 100 to 10000" "$(at 1400:10000)" \
    "$(grown "$(at 1400:100)" 100 10000)"
[ "$failed" -eq 0 ]
