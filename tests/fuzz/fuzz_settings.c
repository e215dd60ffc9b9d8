#include "fuzz_target.h"

/* libFuzzer entry point: make fuzz. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    fuzz_settings(str_from(data, size));
    return 0;
}
