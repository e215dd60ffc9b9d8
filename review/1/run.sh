#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/case1 ] && [ -x target/review/workers ] || exit 2
exec timeout -k 2 118 target/review/case1 "$here/record.txt"
