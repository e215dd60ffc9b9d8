#ifndef GV_MEM_H
#define GV_MEM_H

#include <stddef.h>

/*
 * Allocation that never returns NULL: a failed allocation logs one line and
 * aborts, because no caller can continue without its state.
 */
void *
mem_alloc(size_t size);
void *
mem_zalloc(size_t count, size_t size);
void *
mem_realloc(void *ptr, size_t count, size_t size);
void
mem_free(void *ptr);

#endif
