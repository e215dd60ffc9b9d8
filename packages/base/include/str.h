#ifndef GV_STR_H
#define GV_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A length-counted string. It may hold NUL bytes and need not end in one. */
struct str {
    const char *ptr;
    size_t len;
};

/* A growing byte buffer that owns its storage; zero-initialised is empty. */
struct buf {
    char *ptr;
    size_t len;
    size_t cap;
};

/* A struct str from a string literal. */
#define STR(literal) ((struct str){(literal), sizeof(literal) - 1})

/* printf arguments for "%.*s". */
#define STR_ARG(s) (int)(s).len, (s).ptr

struct str
str_of(const char *text);
struct str
str_from(const void *ptr, size_t len);
bool
str_eq(struct str a, struct str b);
int
str_cmp(struct str a, struct str b);
bool
str_starts(struct str s, struct str prefix);
uint64_t
str_hash(struct str s);

/* A copy on the heap with a NUL byte behind it; str_free frees it. */
struct str
str_dup(struct str s);
void
str_free(struct str *s);

/* Makes *field, a heap copy, a copy of value; false when it was equal. */
bool
str_replace(struct str *field, struct str value);

/*
 * Parses the whole string as a decimal number.
 * Returns false on an empty string, another character or a number above max.
 */
bool
str_to_u64(struct str s, uint64_t max, uint64_t *out);

/* Cuts s at the first sep: returns the head and leaves the rest in s. */
struct str
str_cut(struct str *s, char sep);

void
buf_append(struct buf *b, const void *ptr, size_t len);
void
buf_append_str(struct buf *b, struct str s);
void
buf_printf(struct buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Makes room for len more bytes and returns where they start. */
char *
buf_reserve(struct buf *b, size_t len);

/* Removes the first len bytes. */
void
buf_consume(struct buf *b, size_t len);
void
buf_clear(struct buf *b);
void
buf_free(struct buf *b);
struct str
buf_str(const struct buf *b);

#endif
