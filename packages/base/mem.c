#include "mem.h"

#include <stdio.h>
#include <stdlib.h>

static void *
check(void *ptr, size_t size)
{
    if (ptr == NULL && size != 0) {
        fputs("guavarock: <2> out of memory\n", stderr);
        abort();
    }
    return ptr;
}

void *
mem_alloc(size_t size)
{
    return check(malloc(size), size);
}

void *
mem_zalloc(size_t count, size_t size)
{
    return check(calloc(count, size), count * size);
}

void *
mem_realloc(void *ptr, size_t count, size_t size)
{
    return check(reallocarray(ptr, count, size), count * size);
}

void
mem_free(void *ptr)
{
    free(ptr);
}
