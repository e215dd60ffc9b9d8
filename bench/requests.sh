#!/usr/bin/env bash
# Requests through 3 entries to 10 endpoints, against calling an endpoint
# directly in the same run. Usage: bench/requests.sh [SECONDS]
set -u
seconds=${1:-4}
. "$(dirname "$0")/cell.sh"
cell_start 3 0
for e in $(seq 10); do
    # shellcheck disable=SC2086
    "$bin/fakes/endpoint" --id "e$e" --service echo --port $((base + 200 + e)) \
        --failure-domain "fd$((e % 3))" --key "$endpoint_key" $entry_args \
        --linger-ms 0 --delay-ms "${DELAY_MS:-0}" 2>"$dir/e$e.log" &
    pids="$pids $!"
done
export GUAVAROCK_KEY=$team_key
await "$bin/guavarock" request echo /
sleep 1
for c in ${CONCURRENCY:-1 8 16 40 80 160 800}; do
    echo "concurrency $c, direct:"
    "$bin/guavarock" bench -c "$c" -d "$seconds" "http://127.0.0.1:$((base + 201))/"
    cell_measure "concurrency $c, through the entries" \
        "$bin/guavarock" bench -c "$c" -d "$seconds" echo/
done
