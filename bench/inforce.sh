#!/usr/bin/env bash
# Time from sending a change of the list of teams until it is reported in force
# on 5 control VMs and ENTRIES (4) more. Usage: bench/inforce.sh [CHANGES]
set -u
changes=${1:-200}
. "$(dirname "$0")/cell.sh"
cell_start 5 "${ENTRIES:-4}"
sleep 2
"$bin/guavarock" vm list
for v in $(seq "$changes"); do
    echo "{\"version\":$v,\"teams\":[{\"name\":\"t1\",\"weight\":$((v % 9 + 1))},{\"name\":\"t2\",\"weight\":1}]}" >"$dir/c.json"
    from=$(date +%s%N)
    "$bin/guavarock" --json teams set "$dir/c.json" | grep -q '"in_force": true' || echo "not in force: $v"
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

# The same from one process, so that the command line's start does not count:
# 1,000 keys, 100 at once, over all entries. Needs curl.
burst_config() {
    local entries=(${GUAVAROCK_SERVER//,/ }) i
    for i in $(seq 1000); do
        [ "$i" -gt 1 ] && echo next
        echo "url = \"${entries[i % ${#entries[@]}]}/v1/keys\""
        echo "header = \"Authorization: Bearer $GUAVAROCK_KEY\""
        echo 'data = "{\"kind\":\"team\",\"team\":\"t1\"}"'
        echo "output = \"/dev/null\""
        echo 'write-out = "%{http_code} %{time_total}\n"'
    done
}
burst_config >"$dir/burst"
from=$(date +%s%N)
curl --silent --parallel --parallel-immediate --parallel-max 100 \
    --config "$dir/burst" >"$dir/burst_times" 2>/dev/null
to=$(date +%s%N)
sort -k 2n "$dir/burst_times" | awk -v ns=$((to - from)) '
    $1 == 201 {t[++n] = $2 * 1000} $1 != 201 {bad++} END {
    printf "burst of one process: %d keys by 100 at once in %.2f s, %.0f/s, ", n, ns / 1e9, n * 1e9 / ns
    printf "in force after p50 %.1f ms, p99 %.1f ms, max %.1f ms, %d refused\n",
        t[int(n / 2)], t[int(n * 0.99)], t[n], bad}'
