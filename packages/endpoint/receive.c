#include "internal.h"

#include <string.h>
#include <strings.h>

static size_t
abort_transfer(struct attempt *a, enum upstream_failure failure)
{
    a->failure = failure;
    /* libcurl aborts the transfer unless a callback returns the number of
     * bytes that it was given. */
    return CURL_WRITEFUNC_ERROR;
}

static struct str
trim_whitespace(struct str s)
{
    while (s.len != 0 && strchr(" \t", s.ptr[0]) != NULL) {
        s = str_from(s.ptr + 1, s.len - 1);
    }
    while (s.len != 0 && strchr(" \t\r\n", s.ptr[s.len - 1]) != NULL) {
        s.len--;
    }
    return s;
}

/* A status line starts a new header: interim (1xx) responses precede the final
 * one. */
static void
reset_response(struct attempt *a)
{
    http_headers_free(&a->response);
    a->header_done = false;
    a->has_length = false;
    a->chunked = false;
    a->length = 0;
}

static bool
record_length(struct attempt *a, struct str value)
{
    uint64_t length;

    if (!str_to_u64(value, INT64_MAX, &length) ||
        (a->has_length && length != a->length)) {
        return false;
    }
    a->has_length = true;
    a->length = length;
    return true;
}

static bool
record_framing(struct attempt *a, struct str name, struct str value)
{
    if (http_name_eq(name, "Content-Length")) {
        return record_length(a, value);
    }
    if (http_name_eq(name, "Transfer-Encoding")) {
        a->chunked = true;
        return http_name_eq(value, "chunked");
    }
    return true;
}

static bool
has_no_nul_or_cr(struct str s)
{
    return memchr(s.ptr, '\0', s.len) == NULL &&
           memchr(s.ptr, '\r', s.len) == NULL;
}

/* If the body's length is known, refuses one that is too large (false) or
 * allocates its buffer at once. */
static bool
prepare_body(struct attempt *a)
{
    size_t max = a->host->thread->upstream->config.max_response;

    if (a->call.method == HTTP_HEAD || a->chunked || !a->has_length) {
        return true;
    }
    if (a->length > max) {
        return false;
    }
    buf_reserve(&a->body, (size_t)a->length);
    return true;
}

size_t
receive_header(char *data, size_t size, size_t count, void *arg)
{
    struct attempt *a = arg;
    struct str line = str_from(data, size * count);
    size_t max = a->host->thread->upstream->config.max_header;
    struct str rest = trim_whitespace(line);
    struct str name;

    a->header_bytes += line.len;
    if (a->header_bytes > max || a->response.count == RESPONSE_HEADERS_MAX) {
        return abort_transfer(a, UPSTREAM_TOO_LARGE);
    }
    if (str_starts(line, STR("HTTP/"))) {
        reset_response(a);
        return line.len;
    }
    if (a->header_done) {
        return line.len; /* RFC 9112, section 7.1.2: discards trailers */
    }
    if (rest.len == 0) {
        a->header_done = true;
        return prepare_body(a) ? line.len
                               : abort_transfer(a, UPSTREAM_TOO_LARGE);
    }
    name = str_cut(&rest, ':');
    rest = trim_whitespace(rest);
    if (name.len == 0 || !has_no_nul_or_cr(name) || !has_no_nul_or_cr(rest) ||
        memchr(name.ptr, ' ', name.len) != NULL ||
        !record_framing(a, name, rest)) {
        return abort_transfer(a, UPSTREAM_MALFORMED);
    }
    http_headers_add(&a->response, name, rest);
    return line.len;
}

size_t
receive_body(char *data, size_t size, size_t count, void *arg)
{
    struct attempt *a = arg;
    size_t len = size * count;
    size_t max = a->host->thread->upstream->config.max_response;

    if (a->body.len + len > max) {
        return abort_transfer(a, UPSTREAM_TOO_LARGE);
    }
    buf_append(&a->body, data, len);
    return len;
}

/*
 * A body that ends with the connection cannot be distinguished from a
 * truncated one, so a response must have a Content-Length or be chunked.
 */
enum upstream_failure
receive_check(const struct attempt *a)
{
    long status = 0;

    curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < 200 || status > 599) {
        return UPSTREAM_MALFORMED;
    }
    if (a->call.method == HTTP_HEAD || status == 204 || status == 304) {
        return UPSTREAM_OK;
    }
    if (!a->chunked && (!a->has_length || a->length != a->body.len)) {
        return UPSTREAM_MALFORMED;
    }
    return UPSTREAM_OK;
}
