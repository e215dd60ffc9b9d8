#include "file.h"

#include <stdio.h>

enum {
    PART_BYTES = 4096,
};

bool
file_read(const char *path, size_t max, struct buf *out)
{
    FILE *f = fopen(path, "re");
    size_t len = 1;

    if (f == NULL) {
        return false;
    }
    while (len != 0 && out->len < max) {
        len = fread(buf_reserve(out, PART_BYTES), 1, PART_BYTES, f);
        out->len += len;
    }
    fclose(f);
    return out->len < max;
}
