#!/usr/bin/env bash
# Time from sending a change of the list of teams until it is reported in force
# on 5 control VMs and 4 more entries. Usage: bench/inforce.sh [CHANGES]
set -u
changes=${1:-200}
. "$(dirname "$0")/cell.sh"
cell_start 5 4
sleep 2
"$bin/guavarock" vm list
for v in $(seq "$changes"); do
    echo "{\"version\":$v,\"teams\":[{\"name\":\"t1\",\"weight\":$((v % 9 + 1))},{\"name\":\"t2\",\"weight\":1}]}" >"$dir/c.json"
    from=$(date +%s%N)
    "$bin/guavarock" teams set "$dir/c.json" | grep -q '"in_force": true' || echo "not in force: $v"
    echo $((($(date +%s%N) - from) / 1000)) >>"$dir/times"
done
sort -n "$dir/times" | awk '{t[NR] = $1} END {
    printf "changes %d: p50 %.1f ms, p99 %.1f ms, max %.1f ms (start of the command line included)\n",
        NR, t[int(NR / 2)] / 1000, t[int(NR * 0.99)] / 1000, t[NR] / 1000}'

# A burst: keys created by 20 command lines at once, each answered in force.
give() { "$bin/guavarock" key give --team t1 >/dev/null || echo failed; }
export -f give
export bin
from=$(date +%s%N)
seq 400 | xargs -P 20 -I{} bash -c give
awk -v ns=$(($(date +%s%N) - from)) 'BEGIN {
    printf "burst: 400 keys by 20 at once in %.2f s, %.0f/s, all in force\n", ns / 1e9, 400e9 / ns}'
