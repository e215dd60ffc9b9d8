#ifndef GV_HTTP_H
#define GV_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#include "str.h"

/* Vocabulary of HTTP messages that the server, the client and the codecs
 * share; nothing here does I/O. */

enum http_method {
    HTTP_GET,
    HTTP_HEAD,
    HTTP_POST,
    HTTP_PUT,
    HTTP_DELETE,
    HTTP_PATCH,
    HTTP_OPTIONS,
    HTTP_METHOD_COUNT,
};

/* Returns HTTP_METHOD_COUNT for a method that is not served. */
enum http_method
http_method_parse(struct str name);
const char *
http_method_name(enum http_method method);

/* RFC 9110, section 9.2.2. */
bool
http_method_idempotent(enum http_method method);

struct http_header {
    struct str name;
    struct str value;
};

/* A list of headers that owns its strings; zero-initialised is empty. */
struct http_headers {
    struct http_header *list;
    size_t count;
    size_t cap;
};

/* Copies name and value. */
void
http_headers_add(struct http_headers *h, struct str name, struct str value);

/* The first value of that name (in any case), or a str with ptr NULL. */
struct str
http_headers_get(const struct http_headers *h, const char *name);

/* Removes all headers of that name. */
void
http_headers_remove(struct http_headers *h, const char *name);

/*
 * Removes what belongs to one connection only: the fields that Connection
 * names and those of RFC 9110, section 7.6.1, as well as Content-Length,
 * which the next sender computes.
 */
void
http_headers_drop_hop(struct http_headers *h);
void
http_headers_free(struct http_headers *h);

/* Compares without regard to ASCII case. */
bool
http_name_eq(struct str a, const char *b);

/*
 * Decodes %XX. Returns false on a malformed escape or a NUL byte; plus signs
 * stay as they are. Appends to out.
 */
bool
http_percent_decode(struct str text, struct buf *out);

#endif
