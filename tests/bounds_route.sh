#!/usr/bin/env bash
# Compares the instructions per request of routing with bounds derived from
# the targets of docs/design.md: an entry's smallest VM has one core, taken as
# 1e9 instructions/s, and a routing decision may use a tenth of the added
# latency of 1 ms, which allows 100,000 instructions per request; and cost may
# grow no faster than logarithmically with endpoints and entries.
# Usage: tests/bounds_route.sh [BUILD_FOLDER]. Needs valgrind. A request
# includes its part of reports, of grants and of the leader's balancing.
set -u
. "$(dirname "$0")/bounds.sh"
out=${1:-build/release}
most=100000

# Prints the instructions per request for ENTRIES ENDPOINTS. The load grows
# with the endpoints, so the largest case runs for a shorter time.
cost() {
    local n seconds=2
    [ "$2" -gt 50 ] && seconds=1
    n=$(instructions "$1-$2" "$out/bench/bench_route" size "$1" "$2" \
        "$seconds") || return 1
    awk -v n="$n" '/^[0-9]+ requests$/ { print int(n / $1) }' \
        "$work/log-$1-$2"
}

cases="9:500 9:10 9:50 3:50 22:50"
for c in $cases; do
    [ "$(jobs -rp | wc -l)" -ge 3 ] && wait -n
    cost "${c%:*}" "${c#*:}" >"$work/cost-$c" &
done
wait
at() { cat "$work/cost-$1"; }
for c in $cases; do
    check "entries:endpoints $c" "$(at "$c")" "$most"
done
check "growth with endpoints, 10 to 50" "$(at 9:50)" \
    "$(grown "$(at 9:10)" 10 50)"
check "growth with endpoints, 50 to 500" "$(at 9:500)" \
    "$(grown "$(at 9:50)" 50 500)"
check "growth with entries, 3 to 9" "$(at 9:50)" "$(grown "$(at 3:50)" 3 9)"
check "growth with entries, 9 to 22" "$(at 22:50)" \
    "$(grown "$(at 9:50)" 9 22)"
[ "$failed" -eq 0 ]
