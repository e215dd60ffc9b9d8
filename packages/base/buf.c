#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "str.h"

enum {
    BUF_MIN_BYTES = 64,
};

char *
buf_reserve(struct buf *b, size_t len)
{
    size_t need = b->len + len;

    if (need > b->cap) {
        size_t cap = b->cap == 0 ? BUF_MIN_BYTES : b->cap;
        while (cap < need) {
            cap *= 2;
        }
        b->ptr = mem_realloc(b->ptr, cap, 1);
        b->cap = cap;
    }
    return b->ptr + b->len;
}

void
buf_append(struct buf *b, const void *ptr, size_t len)
{
    if (len == 0) {
        return;
    }
    memcpy(buf_reserve(b, len), ptr, len);
    b->len += len;
}

void
buf_append_str(struct buf *b, struct str s)
{
    buf_append(b, s.ptr, s.len);
}

void
buf_printf(struct buf *b, const char *fmt, ...)
{
    va_list args;
    va_list again;
    int len;

    va_start(args, fmt);
    va_copy(again, args);
    len = vsnprintf(NULL, 0, fmt, args);
    va_end(args);
    if (len > 0) {
        vsnprintf(buf_reserve(b, (size_t)len + 1), (size_t)len + 1, fmt,
                  again);
        b->len += (size_t)len;
    }
    va_end(again);
}

void
buf_consume(struct buf *b, size_t len)
{
    if (len >= b->len) {
        b->len = 0;
        return;
    }
    memmove(b->ptr, b->ptr + len, b->len - len);
    b->len -= len;
}

void
buf_clear(struct buf *b)
{
    b->len = 0;
}

void
buf_free(struct buf *b)
{
    mem_free(b->ptr);
    *b = (struct buf){NULL, 0, 0};
}

struct str
buf_str(const struct buf *b)
{
    return (struct str){b->ptr, b->len};
}
