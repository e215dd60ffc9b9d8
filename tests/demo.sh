#!/usr/bin/env bash
# Starts three guavarockd processes on loopback with a fake endpoint and a
# fake worker, sends a request and a job from start to finish, and stops all
# gracefully. Usage: tests/demo.sh BUILD_FOLDER
set -u
bin=$1
dir=$(mktemp -d)
pids=""
cli=$bin/guavarock
base=${DEMO_PORT:-17070}

cleanup() {
    for p in $pids; do
        kill -KILL "$p" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$dir"
}
trap cleanup EXIT

fail() {
    echo "demo: $*" >&2
    tail -n 20 "$dir"/*.log >&2
    exit 1
}

# Retries a command until it succeeds, for 20 seconds at most.
await() {
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    fail "timed out: $*"
}

head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/cluster.key"
control=""
servers=""
for i in 1 2 3; do
    control="$control${control:+,}{\"vm\":\"vm$i\",\"address\":\"127.0.0.1:$((base + 100 + i))\"}"
    servers="$servers${servers:+,}http://127.0.0.1:$((base + i))"
done
for i in 1 2 3; do
    cat >"$dir/vm$i.json" <<JSON
{"vm":"vm$i","failure_domain":"fd$i","listen":"127.0.0.1:$((base + i))",
 "peer_listen":"127.0.0.1:$((base + 100 + i))","data":"$dir/vm$i",
 "cluster_key_file":"$dir/cluster.key","control":[$control],
 "drain_notice_ms":500}
JSON
    "$bin/guavarockd" --check "$dir/vm$i.json" || exit 1
    "$bin/guavarockd" --settings "$dir/vm$i.json" 2>"$dir/vm$i.log" &
    pids="$pids $!"
done
daemons=$pids
export GUAVAROCK_SERVER=$servers

echo "demo: waiting for the first operator key"
key_file() { ls "$dir"/vm?/operator.key; }
await key_file
GUAVAROCK_KEY_FILE=$(key_file | head -n 1)
export GUAVAROCK_KEY_FILE
await "$cli" status

echo "demo: creating a team, its limits and keys"
echo '{"version":0,"teams":[{"name":"lamps","weight":1}]}' >"$dir/teams.json"
"$cli" teams set "$dir/teams.json" || fail "teams set"
echo '{"version":0,"limits":[{"team":"lamps","tasks":10,"cpu_milli":8000,"memory_mib":8192,"accelerators":0,"requests":20}]}' >"$dir/limits.json"
"$cli" limits set "$dir/limits.json" || fail "limits set"
give() { "$cli" key give "$@" | sed -n 's/^key //p'; }
team_key=$(give --team lamps)
endpoint_key=$(give --kind endpoint)
worker_key=$(give --kind worker)
[ -n "$team_key" ] && [ -n "$endpoint_key" ] && [ -n "$worker_key" ] ||
    fail "key give"

echo "demo: starting an endpoint and a worker"
entries=""
for i in 1 2 3; do
    entries="$entries --entry http://127.0.0.1:$((base + i))"
done
# shellcheck disable=SC2086
"$bin/fakes/endpoint" --id ledger1 --service ledger --port $((base + 50)) \
    --key "$endpoint_key" $entries --linger-ms 500 2>"$dir/endpoint.log" &
endpoint_pid=$!
# shellcheck disable=SC2086
"$bin/fakes/worker" --id worker1 --key "$worker_key" $entries \
    2>"$dir/worker.log" &
worker_pid=$!
pids="$pids $endpoint_pid $worker_pid"

echo "demo: a request through the system to the endpoint"
await "$cli" --key "$team_key" request ledger /loans --data 'is lamp 7 free?'
"$cli" --key "$team_key" request ledger /loans --data 'is lamp 7 free?' ||
    fail "request"
echo "demo: a job from submission to its end"
"$cli" --key "$team_key" job submit statement-1 --payload run_ms=300 \
    --wait || fail "job"
"$cli" usage
echo "demo: stopping everything gracefully"
status=0
for p in $worker_pid $endpoint_pid $daemons; do
    kill -TERM "$p"
done
for p in $worker_pid $endpoint_pid $daemons; do
    wait "$p" || {
        echo "demo: process $p ended with status $?" >&2
        status=1
    }
done
pids=""
[ "$status" -eq 0 ] || fail "a process did not stop gracefully"
echo "demo: done"
