#!/usr/bin/env bash
# Requests through 3 entries to 10 endpoints, against calling an endpoint
# directly in the same run. Usage: bench/requests.sh [SECONDS]
set -u
seconds=${1:-4}
. "$(dirname "$0")/cell.sh"
cell_start 3 0
cell_endpoints 10 "${DELAY_MS:-0}"
for c in ${CONCURRENCY:-1 8 16 40 80 160 800}; do
    echo "concurrency $c, direct:"
    "$bin/guavarock" bench -c "$c" -d "$seconds" "http://127.0.0.1:$((base + 201))/"
    cell_measure "concurrency $c, through the entries" \
        "$bin/guavarock" bench -c "$c" -d "$seconds" echo/
done
