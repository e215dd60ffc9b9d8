#!/usr/bin/env bash
# Compares the instructions per request of routing with bounds derived from
# the targets of docs/design.md: an entry's smallest VM has one core, taken as
# 1e9 instructions/s, and a routing decision may use a tenth of the added
# latency of 1 ms, which allows 100,000 instructions per request; and cost may
# grow at most twice as fast as logarithmically with endpoints and entries.
# Usage: tests/bounds_route.sh [BUILD_FOLDER]. Needs valgrind. A request
# includes its part of reports, of grants and of the leader's balancing.
set -u
. "$(dirname "$0")/bounds.sh"
out=${1:-build/release}
seconds=2
most=100000
toggles=router_step,router_report,ledger_report,ledger_plan,ledger_tick
toggles=$toggles,ledger_due

# Prints the instructions per request for ENTRIES ENDPOINTS.
cost() {
    local n
    n=$(instructions "$1-$2" "$toggles" "$out/bench/bench_route" size "$1" \
        "$2" "$seconds") || return 1
    awk -v n="$n" '/^[0-9]+ requests$/ { print int(n / $1) }' \
        "$work/log-$1-$2"
}

cases="9:10 9:50 3:50"
for c in $cases; do
    cost "${c%:*}" "${c#*:}" >"$work/cost-$c" &
done
wait
at() { cat "$work/cost-$1"; }
for c in $cases; do
    check "entries:endpoints $c" "$(at "$c")" "$most"
done
check "growth with endpoints, 10 to 50" "$(at 9:50)" \
    "$(scaled "$(grown "$(at 9:10)" 10 50)" 2)"
check "growth with entries, 3 to 9" "$(at 9:50)" \
    "$(scaled "$(grown "$(at 3:50)" 3 9)" 2)"
[ "$failed" -eq 0 ]
