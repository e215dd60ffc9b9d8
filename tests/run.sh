#!/usr/bin/env bash
# Runs every test program of a build folder and counts their test cases.
# Usage: tests/run.sh BUILD_FOLDER. TESTS_MATCH selects programs by pattern.
# A case listed in KNOWN-RED.txt is printed and does not fail the run.
set -u
out=$1
match=${TESTS_MATCH:-.}
passed=0
failed=0
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
for t in "$out"/tests/test_*; do
    case $t in *.o | *.d) continue ;; esac
    [ -x "$t" ] || continue
    echo "$t" | grep -qE "$match" || continue
    name=$(basename "$t")
    GV_BIN=$out timeout "${TEST_TIMEOUT_S:-300}" "$t" --tap -k >"$log" 2>&1
    rc=$?
    ok=$(grep -cE '^ok ' "$log")
    bad=$(grep -E '^not ok ' "$log" | sed 's/^not ok [0-9]* *//')
    passed=$((passed + ok))
    if [ "$rc" -ne 0 ] && [ -z "$bad" ]; then
        bad="aborted after $(grep -E '^ok ' "$log" | tail -n 1)"
    fi
    [ -z "$bad" ] && echo "ok: $name ($ok cases)" && continue
    while IFS= read -r b; do
        if printf '%s\n' "$red" | grep -qxF "$name $b"; then
            echo "known red: $name $b"
        else
            echo "FAILED: $name $b (exit $rc)"
            tail -n 40 "$log"
            failed=$((failed + 1))
        fi
    done <<<"$bad"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
