#ifndef GV_FILE_H
#define GV_FILE_H

#include <stdbool.h>

#include "str.h"

/*
 * Appends the file's content. Returns false with errno set when it cannot be
 * opened, and false when it has max bytes or more.
 */
bool
file_read(const char *path, size_t max, struct buf *out);

#endif
