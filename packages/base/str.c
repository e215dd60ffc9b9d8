#include "str.h"

#include <string.h>

#include <xxhash.h>

#include "mem.h"

struct str
str_of(const char *text)
{
    return (struct str){text, text == NULL ? 0 : strlen(text)};
}

struct str
str_from(const void *ptr, size_t len)
{
    return (struct str){ptr, len};
}

bool
str_eq(struct str a, struct str b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

int
str_cmp(struct str a, struct str b)
{
    size_t len = a.len < b.len ? a.len : b.len;
    int order = len == 0 ? 0 : memcmp(a.ptr, b.ptr, len);

    if (order != 0) {
        return order;
    }
    return (a.len > b.len) - (a.len < b.len);
}

bool
str_starts(struct str s, struct str prefix)
{
    return s.len >= prefix.len && str_eq(str_from(s.ptr, prefix.len), prefix);
}

uint64_t
str_hash(struct str s)
{
    return XXH3_64bits(s.ptr, s.len);
}

struct str
str_dup(struct str s)
{
    char *copy = mem_alloc(s.len + 1);

    if (s.len != 0) {
        memcpy(copy, s.ptr, s.len);
    }
    copy[s.len] = '\0';
    return (struct str){copy, s.len};
}

void
str_free(struct str *s)
{
    mem_free((void *)s->ptr);
    *s = (struct str){NULL, 0};
}

bool
str_replace(struct str *field, struct str value)
{
    struct str copy;

    if (str_eq(*field, value)) {
        return false;
    }
    /* value may be a part of the old text. */
    copy = str_dup(value);
    str_free(field);
    *field = copy;
    return true;
}

bool
str_to_u64(struct str s, uint64_t max, uint64_t *out)
{
    uint64_t value = 0;

    if (s.len == 0) {
        return false;
    }
    for (size_t i = 0; i < s.len; i++) {
        if (s.ptr[i] < '0' || s.ptr[i] > '9') {
            return false;
        }
        uint64_t digit = (uint64_t)(s.ptr[i] - '0');
        if (digit > max || value > (max - digit) / 10) {
            return false;
        }
        value = value * 10 + digit;
    }
    *out = value;
    return true;
}

struct str
str_cut(struct str *s, char sep)
{
    const char *end = s->len == 0 ? NULL : memchr(s->ptr, sep, s->len);
    struct str head = *s;

    if (end == NULL) {
        *s = str_from(s->ptr + s->len, 0);
        return head;
    }
    head.len = (size_t)(end - s->ptr);
    *s = str_from(end + 1, s->len - head.len - 1);
    return head;
}
