#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses, at three sizes each.
# Usage: bench/capacity.sh [SECONDS]
set -u
seconds=${1:-8}
. "$(dirname "$0")/cell.sh"
cell_start 3 0
fleet() { # shellcheck disable=SC2086
    "$bin/bench/bench_fleet" $entry_args --worker-key "$worker_key" \
        --endpoint-key "$endpoint_key" --seconds "$seconds" "$@"
}
cell_measure "idle" sleep 5
for n in 500 1000 2000; do
    cell_measure "workers $n" fleet --workers "$n"
done
for n in 100 200 400; do
    cell_measure "endpoints $n" fleet --endpoints "$n"
done
jobs() { "$bin/guavarock" --key "$team_key" bench --jobs -c 64 -d "$seconds" -r "$1" "j$1"; }
for r in 250 500 1000; do
    cell_measure "job submissions $r/s" jobs "$r"
done
both() {
    fleet --workers 200 --run-ms 50 &
    jobs "$1"
    wait $!
}
for r in 100 200 400; do
    cell_measure "task starts $r/s" both "$r"
done
