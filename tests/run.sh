#!/usr/bin/env bash
# Runs every test program of a build folder, TEST_JOBS (3) at a time, and counts
# their test cases.
# Usage: tests/run.sh BUILD_FOLDER. TESTS_MATCH selects programs by pattern.
# A case listed in KNOWN-RED.txt is printed and does not fail the run.
set -u
out=$1
match=${TESTS_MATCH:-.}
passed=0
failed=0
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

programs() {
    local t
    for t in "$out"/tests/test_*; do
        case $t in *.o | *.d) continue ;; esac
        [ -x "$t" ] && echo "$t" | grep -qE "$match" && echo "$t"
    done
}

run() {
    GV_BIN=$out timeout "${TEST_TIMEOUT_S:-300}" "$1" --tap -k \
        >"$logs/$(basename "$1")" 2>&1
    echo $? >"$logs/$(basename "$1").status"
}

# Counts the cases of a program that has ended.
report() {
    local log=$logs/$1 rc ok bad b
    rc=$(cat "$log.status")
    ok=$(grep -cE '^ok ' "$log")
    bad=$(grep -E '^not ok ' "$log" | sed 's/^not ok [0-9]* *//')
    passed=$((passed + ok))
    if [ "$rc" -ne 0 ] && [ -z "$bad" ]; then
        bad="aborted after $(grep -E '^ok ' "$log" | tail -n 1)"
    fi
    if [ -z "$bad" ]; then
        echo "ok: $1 ($ok cases)"
        return
    fi
    while IFS= read -r b; do
        if printf '%s\n' "$red" | grep -qxF "$1 $b"; then
            echo "known red: $1 $b"
        else
            echo "FAILED: $1 $b (exit $rc)"
            tail -n 40 "$log"
            failed=$((failed + 1))
        fi
    done <<<"$bad"
}

for t in $(programs); do
    while [ "$(jobs -rp | wc -l)" -ge "${TEST_JOBS:-3}" ]; do wait -n; done
    run "$t" &
done
wait
for t in $(programs); do
    report "$(basename "$t")"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
