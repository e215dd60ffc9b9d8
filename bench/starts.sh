#!/usr/bin/env bash
# Task starts end to end: jobs of many tasks are submitted through entries,
# placed, committed, and started by workers that one process plays.
# Usage: bench/starts.sh [JOBS_PER_SECOND TASKS_PER_JOB SECONDS WORKERS]
# ENTRIES (4) VMs besides the 3 control VMs. Prints submissions, starts, CPU of
# the VMs, and the leader's waiting time and cost of decisions.
set -u
rate=${1:-250}
tasks=${2:-10}
seconds=${3:-20}
workers=${4:-1000}
. "$(dirname "$0")/cell.sh"
cell_start 3 "${ENTRIES:-4}"
run() {
    # shellcheck disable=SC2086
    "$bin/bench/bench_fleet" $entry_args --worker-key "$worker_key" \
        --workers "$workers" --run-ms 1000 --seconds $((seconds + 8)) &
    sleep 4
    "$bin/guavarock" --key "$team_key" bench --jobs --tasks "$tasks" -c 64 \
        -d "$seconds" -r "$rate" s
    wait $!
}
# The metrics of the leader, one "NAME VALUE" a line.
metrics() {
    local i
    for i in 1 2 3; do
        (exec 3<>"/dev/tcp/127.0.0.1/$((base + i))" &&
            printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3 && cat <&3) |
            tr -d '\r' >"$dir/metrics"
        grep -q '^guavarock_leading 1' "$dir/metrics" && break
    done
}
cell_measure "$rate jobs/s of $tasks tasks, $workers workers" run
metrics
awk '
    function label(s, name) {
        match(s, name "=\"[^\"]*\"")
        return substr(s, RSTART + length(name) + 2, RLENGTH - length(name) - 3)
    }
    /^guavarock_task_wait_ms_bucket/ && label($1, "class") == "batch" {
        le[++n] = label($1, "le"); count[n] = $2
    }
    /^guavarock_decisions_total/ {decisions = $2}
    /^guavarock_decision_ns_total/ {ns = $2}
    END {
        for (i = 1; i <= n; i++) {
            if (!p50 && count[i] >= count[n] / 2) p50 = le[i]
            if (!p99 && count[i] >= count[n] * 0.99) p99 = le[i]
        }
        printf "wait: %d tasks, p50 <= %s ms, p99 <= %s ms; decisions %d, %.1f us each\n", \
            count[n], p50, p99, decisions, decisions ? ns / decisions / 1000 : 0
    }' "$dir/metrics"
