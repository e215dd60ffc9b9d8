# Sourced by the bench scripts: starts a cell of VMs on loopback and measures
# what its processes use. cell_start CONTROL ENTRIES; cell_stop.
bin=${BIN:-build/release}
dir=$(mktemp -d)
base=${BENCH_PORT:-18000}
pids=""
vm_pids=""

cell_stop() {
    for p in $pids; do kill -TERM "$p" 2>/dev/null; done
    for p in $pids; do wait "$p" 2>/dev/null; done
    rm -rf "$dir"
}
trap cell_stop EXIT

await() {
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out: $*" >&2
    exit 1
}

cell_start() {
    local control="" servers="" i data
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/cluster.key"
    for i in $(seq "$1"); do
        control="$control${control:+,}{\"vm\":\"vm$i\",\"address\":\"127.0.0.1:$((base + 500 + i))\"}"
    done
    for i in $(seq $(($1 + $2))); do
        servers="$servers${servers:+,}http://127.0.0.1:$((base + i))"
        entry_args="${entry_args:-} --entry http://127.0.0.1:$((base + i))"
        data=""
        [ "$i" -le "$1" ] && data="\"peer_listen\":\"127.0.0.1:$((base + 500 + i))\",\"data\":\"$dir/vm$i\","
        echo "{\"vm\":\"vm$i\",\"failure_domain\":\"fd$((i % 3))\",\"listen\":\"127.0.0.1:$((base + i))\",$data\"cluster_key_file\":\"$dir/cluster.key\",\"control\":[$control],\"drain_notice_ms\":0}" >"$dir/vm$i.json"
        "$bin/guavarockd" --settings "$dir/vm$i.json" 2>"$dir/vm$i.log" &
        pids="$pids $!"
        vm_pids="$vm_pids $!"
    done
    export GUAVAROCK_SERVER=$servers
    await cell_key_files
    sleep 0.5
    operator_key=$(cell_key_files | head -n 1)
    export GUAVAROCK_KEY=$operator_key
    await "$bin/guavarock" status
    echo '{"version":0,"teams":[{"name":"t1","weight":1},{"name":"t2","weight":1}]}' >"$dir/teams.json"
    "$bin/guavarock" teams set "$dir/teams.json" >/dev/null
    team_key=$(cell_key --team t1)
    worker_key=$(cell_key --kind worker)
    endpoint_key=$(cell_key --kind endpoint)
}

# cell_endpoints COUNT DELAY_MS: endpoints e1... of the service "echo" on ports
# base + 201..., of 8 slots each; returns when all are known and answer. A port
# of the kernel's range for outgoing connections may be in use, so BENCH_PORT
# stays below 32768 by some hundreds.
cell_endpoint_count() {
    [ "$(GUAVAROCK_KEY=$operator_key "$bin/guavarock" endpoint list |
        grep -c ' ready$')" -eq "$1" ]
}
cell_endpoints() {
    local e
    for e in $(seq "$1"); do
        # shellcheck disable=SC2086
        "$bin/fakes/endpoint" --id "e$e" --service echo \
            --port $((base + 200 + e)) --failure-domain "fd$((e % 3))" \
            --key "$endpoint_key" $entry_args --linger-ms 0 --delay-ms "$2" \
            2>"$dir/e$e.log" &
        pids="$pids $!"
    done
    await cell_endpoint_count "$1"
    export GUAVAROCK_KEY=$team_key
    await "$bin/guavarock" request echo /
    sleep 1
}

cell_key_files() { cat "$dir"/vm*/operator.key; }
cell_key() { "$bin/guavarock" key give "$@" | sed -n 's/^key //p'; }

# Prints for each VM: leading, CPU ticks (1/100 s) so far, resident KiB.
cell_usage() {
    local i=0 p lead
    for p in $vm_pids; do
        i=$((i + 1))
        lead=$(exec 3<>"/dev/tcp/127.0.0.1/$((base + i))" &&
            printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3 && cat <&3 |
            sed -n 's/^guavarock_leading \([01]\).*/\1/p')
        awk -v vm="vm$i" -v lead="$lead" -v rss="$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$p/status")" \
            '{print vm, lead, $14 + $15, rss}' "/proc/$p/stat"
    done
}

# cell_measure LABEL COMMAND...: runs the command and prints CPU per VM in
# percent of a core, averaged over its run time, and resident memory.
cell_measure() {
    local label=$1 from to
    shift
    cell_usage >"$dir/before"
    from=$(date +%s.%N)
    "$@" | sed "s/^/  /"
    to=$(date +%s.%N)
    cell_usage >"$dir/after"
    paste -d' ' "$dir/before" "$dir/after" | awk -v l="$label" -v s="$(echo "$to - $from" | bc)" '
        {cpu = ($7 - $3) / s; rss = $8 / 1024
         if ($6 == 1) {lc = cpu; lr = rss} else {n++; fc += cpu; fr += rss}}
        END {printf "%s: leader %.2f%% %.1f MiB, others %.2f%% %.1f MiB each\n", l, lc, lr, n ? fc / n : 0, n ? fr / n : 0}'
}
