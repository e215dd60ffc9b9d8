#!/usr/bin/env bash
# Builds the programs of the cases review/6 to review/10 that have a script,
# with their stand-ins, after the build of the deploy file. They go into
# target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/{6,7,8,9,10}/case.c; do
    [ -f "$case" ] || continue
    n=$(basename "$(dirname "$case")")
    gcc -O2 -g -std=c11 -D_GNU_SOURCE -Wall -Wextra \
        -Wno-missing-field-initializers -Ireview/standins-2 \
        review/standins-2/*.c "$case" -o "$out/case-$n" \
        $(pkg-config --cflags --libs jansson) -lpthread
done
