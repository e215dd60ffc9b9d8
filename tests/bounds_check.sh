#!/usr/bin/env bash
# Guards against a bounds check that passes although it compares nothing.
# Usage: tests/bounds_check.sh
set -u
. "$(dirname "$0")/bounds.sh"
wrong=0

# expect ok|FAILED COST BOUND
expect() {
    local got
    got=$(check "cost '$2' bound '$3'" "$2" "$3" 2>&1; echo "count $failed")
    case $got in
    "ok: "*"count 0") got=ok ;;
    "FAILED: "*"count 1") got=FAILED ;;
    esac
    if [ "$got" != "$1" ]; then
        echo "FAILED: cost '$2' bound '$3': expected $1, got $got"
        wrong=$((wrong + 1))
    fi
}

# expect_equal NAME EXPECTED GOT
expect_equal() {
    if [ "$3" != "$2" ]; then
        echo "FAILED: $1: expected $2, got '$3'"
        wrong=$((wrong + 1))
    fi
}

expect ok 100 100
expect FAILED 101 100
for nothing in "" 0 -1 x 1.5 "1 2"; do
    expect FAILED "$nothing" 100
    expect FAILED 100 "$nothing"
done
expect_equal "scaled 7001 1.5" 10501 "$(scaled 7001 1.5)"
expect_equal "grown 100 2 4" 200 "$(grown 100 2 4)"
expect FAILED 1 "$(scaled "" 1.5)"
expect FAILED 1 "$(grown "" 2 4)"
[ "$wrong" -eq 0 ] && echo "ok: bounds.sh"
