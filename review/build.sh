#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review. Needs
# the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target all
mkdir -p target/review
libs="libprotobuf-c libmicrohttpd libcurl jansson libsodium libxxhash"
flags="-std=c11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -Wshadow -Wno-format-truncation"
flags="$flags -Ireview/tools $(pkg-config --cflags $libs)"
inc="-iquotetests/support"
for p in base front; do
    inc="$inc -iquotepackages/$p/include"
done
end="target/release/libguavarock.a $(pkg-config --libs $libs) -lck -lpthread -lm"
gcc $flags $inc -o target/review/workers review/tools/workers.c \
    tests/support/http_client.c $end
for driver in review/[1-5]/case.c; do
    [ -e "$driver" ] || continue
    n=$(basename "$(dirname "$driver")")
    gcc $flags -o "target/review/case$n" "$driver" review/tools/rig.c $end
done
