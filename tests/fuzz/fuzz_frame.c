/*
 * libFuzzer target; not part of make check. Build and run:
 *
 *   make CC=clang BUILD=build/fuzz PROFILE=asan \
 *       build/fuzz/asan/tests/test_fuzz \
 *       CFLAGS_asan="-O1 -g -fsanitize=address,undefined,fuzzer-no-link"
 *   clang -g -fsanitize=fuzzer,address,undefined -Ipackages/base/include \
 *       -Itests/support tests/fuzz/fuzz_frame.c \
 *       build/fuzz/asan/tests/support/fuzz_target.o \
 *       build/fuzz/asan/libguavarock.a \
 *       $(pkg-config --libs libprotobuf-c libsodium libxxhash) -lck \
 *       -lpthread -o build/fuzz/fuzz_frame
 *   build/fuzz/fuzz_frame -max_total_time=60
 */
#include "fuzz_target.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    fuzz_frames(str_from(data, size));
    return 0;
}
