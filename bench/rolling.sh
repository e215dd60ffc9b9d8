#!/usr/bin/env bash
# Rolling restart of 9 VMs (5 control VMs and ENTRIES more) under request load
# through the fake balancer: stops each VM with SIGTERM, starts it again and
# takes the next once it is ready. Prints the load generator's counts; broken,
# unknown, not run and refused are to be 0. Usage: bench/rolling.sh [RATE]
set -u
rate=${1:-500}
entries=${ENTRIES:-4}
vms=$((5 + entries))
. "$(dirname "$0")/cell.sh"
cell_start 5 "$entries"
for e in $(seq 10); do
    # shellcheck disable=SC2086
    "$bin/fakes/endpoint" --id "e$e" --service echo --port $((base + 200 + e)) \
        --failure-domain "fd$((e % 3))" --key "$endpoint_key" $entry_args \
        --linger-ms 0 --delay-ms 5 2>"$dir/e$e.log" &
    pids="$pids $!"
done
to=""
for i in $(seq "$vms"); do
    # The balancer probes every 100 ms.
    sed -i 's/"drain_notice_ms":0/"drain_notice_ms":2000/' "$dir/vm$i.json"
    to="$to --to 127.0.0.1:$((base + i))"
done
# shellcheck disable=SC2086
"$bin/fakes/balancer" --listen "127.0.0.1:$base" $to &
pids="$pids $!"
ready() { curl -sf "http://127.0.0.1:$((base + $1))/v1/ready" >/dev/null; }
restart() {
    local p
    p=$(echo "$vm_pids" | awk -v i="$1" '{print $i}')
    kill -TERM "$p"
    wait "$p" || echo "vm$1 ended with status $?"
    "$bin/guavarockd" --settings "$dir/vm$1.json" 2>>"$dir/vm$1.log" &
    pids="$pids $!"
    vm_pids=$(echo "$vm_pids" | awk -v i="$1" -v p="$!" '{$i = p; print}')
    await ready "$1"
}
# The first round only brings the new settings into force.
for i in $(seq "$vms"); do restart "$i"; done
export GUAVAROCK_SERVER=http://127.0.0.1:$base GUAVAROCK_KEY=$team_key
await "$bin/guavarock" request echo /
"$bin/guavarock" --timeout-ms 20000 bench -c 32 -r "$rate" -d "${SECONDS_LOAD:-45}" echo/ &
load=$!
from=$(date +%s)
for i in $(seq "$vms"); do restart "$i"; done
echo "$vms VMs restarted in $(($(date +%s) - from)) s"
wait "$load"
