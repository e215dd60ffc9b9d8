#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/review-3/.
# Run it from the repository's root, after the build of the deploy file.
set -e

make -s -j8 BUILD=target all
libs="libprotobuf-c libmicrohttpd libcurl jansson libsodium libxxhash"
includes=
for package in packages/*/; do
    includes="$includes -iquote${package}include"
done
mkdir -p target/review-3
for main in review/standins-3/case_*.c; do
    [ -e "$main" ] || continue
    # shellcheck disable=SC2086,SC2046
    gcc -std=c11 -O2 -g -Wall -Wextra -Werror -Wno-format-truncation -D_GNU_SOURCE $includes \
        -iquotereview/standins-3 -iquotetests/support \
        $(pkg-config --cflags $libs) \
        -o "target/review-3/$(basename "$main" .c)" "$main" \
        review/standins-3/cell.c tests/support/http_client.c \
        target/release/libguavarock.a \
        $(pkg-config --libs $libs) -lck -lpthread -lm
done
