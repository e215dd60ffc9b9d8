#include "http.h"

#include <string.h>
#include <strings.h>

#include "mem.h"

static const char *const method_names[HTTP_METHOD_COUNT] = {
    [HTTP_GET] = "GET",         [HTTP_HEAD] = "HEAD",
    [HTTP_POST] = "POST",       [HTTP_PUT] = "PUT",
    [HTTP_DELETE] = "DELETE",   [HTTP_PATCH] = "PATCH",
    [HTTP_OPTIONS] = "OPTIONS",
};

/* RFC 9110, section 7.6.1, and the fields of one hop that it obsoletes. */
static const char *const hop_names[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Authentication-Info",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

enum http_method
http_method_parse(struct str name)
{
    for (int m = 0; m < HTTP_METHOD_COUNT; m++) {
        if (str_eq(name, str_of(method_names[m]))) {
            return (enum http_method)m;
        }
    }
    return HTTP_METHOD_COUNT;
}

const char *
http_method_name(enum http_method method)
{
    return method < HTTP_METHOD_COUNT ? method_names[method] : "";
}

bool
http_method_idempotent(enum http_method method)
{
    return method != HTTP_POST && method != HTTP_PATCH;
}

bool
http_name_eq(struct str a, const char *b)
{
    return a.len == strlen(b) && strncasecmp(a.ptr, b, a.len) == 0;
}

void
http_headers_add(struct http_headers *h, struct str name, struct str value)
{
    if (h->count == h->cap) {
        h->cap = h->cap == 0 ? 8 : h->cap * 2;
        h->list = mem_realloc(h->list, h->cap, sizeof(*h->list));
    }
    h->list[h->count].name = str_dup(name);
    h->list[h->count].value = str_dup(value);
    h->count++;
}

struct str
http_headers_get(const struct http_headers *h, const char *name)
{
    for (size_t i = 0; i < h->count; i++) {
        if (http_name_eq(h->list[i].name, name)) {
            return h->list[i].value;
        }
    }
    return str_from(NULL, 0);
}

static void
header_free(struct http_header *header)
{
    str_free(&header->name);
    str_free(&header->value);
}

void
http_headers_remove(struct http_headers *h, const char *name)
{
    size_t kept = 0;

    for (size_t i = 0; i < h->count; i++) {
        if (http_name_eq(h->list[i].name, name)) {
            header_free(&h->list[i]);
            continue;
        }
        h->list[kept++] = h->list[i];
    }
    h->count = kept;
}

static struct str
trim(struct str s)
{
    while (s.len != 0 && (s.ptr[0] == ' ' || s.ptr[0] == '\t')) {
        s = str_from(s.ptr + 1, s.len - 1);
    }
    while (s.len != 0 &&
           (s.ptr[s.len - 1] == ' ' || s.ptr[s.len - 1] == '\t')) {
        s.len--;
    }
    return s;
}

/* Removes the fields that one Connection value names. */
static void
drop_named(struct http_headers *h, struct str options)
{
    while (options.len != 0) {
        struct str name = str_dup(trim(str_cut(&options, ',')));

        if (name.len != 0 && !http_name_eq(name, "Connection")) {
            http_headers_remove(h, name.ptr);
        }
        str_free(&name);
    }
}

void
http_headers_drop_hop(struct http_headers *h)
{
    struct buf options = {0};

    for (size_t i = 0; i < h->count; i++) {
        if (http_name_eq(h->list[i].name, "Connection")) {
            buf_append_str(&options, h->list[i].value);
            buf_append(&options, ",", 1);
        }
    }
    drop_named(h, buf_str(&options));
    buf_free(&options);
    for (size_t i = 0; i < sizeof(hop_names) / sizeof(hop_names[0]); i++) {
        http_headers_remove(h, hop_names[i]);
    }
}

void
http_headers_free(struct http_headers *h)
{
    for (size_t i = 0; i < h->count; i++) {
        header_free(&h->list[i]);
    }
    mem_free(h->list);
    *h = (struct http_headers){0};
}

static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

bool
http_percent_decode(struct str text, struct buf *out)
{
    for (size_t i = 0; i < text.len; i++) {
        char c = text.ptr[i];

        if (c == '%') {
            int high = i + 2 < text.len ? hex_digit(text.ptr[i + 1]) : -1;
            int low = i + 2 < text.len ? hex_digit(text.ptr[i + 2]) : -1;

            if (high < 0 || low < 0) {
                return false;
            }
            c = (char)(high * 16 + low);
            i += 2;
        }
        if (c == '\0') {
            return false;
        }
        buf_append(out, &c, 1);
    }
    return true;
}
