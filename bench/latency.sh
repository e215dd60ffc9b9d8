#!/usr/bin/env bash
# The latency that 3 entries add: requests to 10 endpoints directly and through
# the entries, by turns on the same threads. Usage: bench/latency.sh [SECONDS
# [REPEATS]]; DELAY_MS is the time that the endpoint takes, CONCURRENCY a list.
set -u
seconds=${1:-5}
repeats=${2:-5}
delay=${DELAY_MS:-20}
. "$(dirname "$0")/cell.sh"
cell_start 3 0
cell_endpoints 10 "$delay"
endpoints=""
for e in $(seq 10); do
    endpoints="$endpoints${endpoints:+,}http://127.0.0.1:$((base + 200 + e))"
done
for c in ${CONCURRENCY:-40}; do
    cell_measure "concurrency $c, $delay ms at the endpoint" \
        "$bin/bench/bench_latency" "$c" "$seconds" "$repeats" \
        "${PAUSE_US:-1000}" /echo/ "$GUAVAROCK_SERVER" "$endpoints"
done
