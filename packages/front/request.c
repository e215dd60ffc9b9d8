#include "internal.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "mem.h"

static bool
reject_header(struct request *r, const char *name, const char *reason)
{
    return api_fail(&r->error, 400, "bad_value", name, "%s", reason);
}

/* RFC 9110, section 5.6.2. */
static bool
is_token(struct str s)
{
    static const char allowed[] = "!#$%&'*+-.^_`|~0123456789"
                                  "abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

    for (size_t i = 0; i < s.len; i++) {
        if (memchr(allowed, s.ptr[i], sizeof(allowed) - 1) == NULL) {
            return false;
        }
    }
    return s.len != 0;
}

/* RFC 9110, section 5.5: a field value has no control characters but tab. */
static bool
is_field_value(struct str s)
{
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.ptr[i];

        if ((c < 0x20 && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static bool
is_visible_ascii(struct str s)
{
    for (size_t i = 0; i < s.len; i++) {
        if (s.ptr[i] < 0x21 || s.ptr[i] > 0x7e) {
            return false;
        }
    }
    return true;
}

static bool
read_authorization(struct request *r, struct str value)
{
    struct str scheme = str_cut(&value, ' ');

    if (r->has_authorization) {
        return reject_header(r, "Authorization", "occurs more than once");
    }
    r->has_authorization = true;
    /* Another scheme counts as a missing key. */
    if (http_name_eq(scheme, "Bearer") && is_visible_ascii(value)) {
        r->call.key = str_dup(value);
    }
    return true;
}

static bool
read_once(struct request *r, const char *name, struct str *slot,
          struct str value)
{
    if (slot->ptr != NULL) {
        return reject_header(r, name, "occurs more than once");
    }
    *slot = str_dup(value);
    return true;
}

static bool
read_idempotency_key(struct request *r, struct str value)
{
    if (value.len == 0 || value.len > IDEMPOTENCY_KEY_MAX ||
        !is_visible_ascii(value)) {
        return reject_header(r, "Idempotency-Key",
                             "must be 1 to 128 visible ASCII characters");
    }
    return read_once(r, "Idempotency-Key", &r->call.idempotency_key, value);
}

static bool
read_idempotent(struct request *r, struct str value)
{
    bool yes = str_eq(value, STR("true"));

    if (!yes && !str_eq(value, STR("false"))) {
        return reject_header(r, "Guavarock-Idempotent",
                             "must be true or false");
    }
    if (r->has_idempotent) {
        return reject_header(r, "Guavarock-Idempotent",
                             "occurs more than once");
    }
    r->has_idempotent = true;
    r->call.idempotent = yes;
    return true;
}

static bool
read_timeout(struct request *r, struct str value)
{
    int64_t max_ns = r->front->config.max_timeout_ns;
    uint64_t ms;
    int64_t ns;

    if (r->call.has_timeout) {
        return reject_header(r, "Guavarock-Timeout-Ms",
                             "occurs more than once");
    }
    if (!str_to_u64(value, INT64_MAX / (uint64_t)NS_PER_MS, &ms) || ms == 0) {
        return reject_header(r, "Guavarock-Timeout-Ms",
                             "must be a positive number of milliseconds");
    }
    ns = (int64_t)ms * NS_PER_MS;
    r->call.has_timeout = true;
    r->call.deadline = r->call.arrived + (ns < max_ns ? ns : max_ns);
    return true;
}

static bool
read_length(struct request *r, struct str value)
{
    if (r->has_length) {
        return reject_header(r, "Content-Length", "occurs more than once");
    }
    r->has_length = true;
    if (!str_to_u64(value, UINT64_MAX, &r->length)) {
        return reject_header(r, "Content-Length", "must be a number");
    }
    return true;
}

static bool
read_transfer_encoding(struct request *r, struct str value)
{
    if (r->has_transfer_encoding || !http_name_eq(value, "chunked")) {
        return reject_header(r, "Transfer-Encoding", "must be chunked");
    }
    r->has_transfer_encoding = true;
    return true;
}

static bool
read_header(struct request *r, struct str name, struct str value)
{
    if (http_name_eq(name, "Host")) {
        r->has_host = true;
        return read_once(r, "Host", &r->call.host, value);
    }
    if (http_name_eq(name, "Authorization")) {
        return read_authorization(r, value);
    }
    if (http_name_eq(name, "Idempotency-Key")) {
        return read_idempotency_key(r, value);
    }
    if (http_name_eq(name, "Guavarock-Idempotent")) {
        return read_idempotent(r, value);
    }
    if (http_name_eq(name, "Guavarock-Timeout-Ms")) {
        return read_timeout(r, value);
    }
    if (http_name_eq(name, "Content-Length")) {
        return read_length(r, value);
    }
    if (http_name_eq(name, "Transfer-Encoding")) {
        return read_transfer_encoding(r, value);
    }
    if (http_name_eq(name, "If-Match") &&
        !read_once(r, "If-Match", &r->call.if_match, value)) {
        return false;
    }
    if (http_name_eq(name, "Content-Type") &&
        !read_once(r, "Content-Type", &r->call.content_type, value)) {
        return false;
    }
    /* The prefix Guavarock- is reserved: such fields are not forwarded. */
    if (name.len < 10 || strncasecmp(name.ptr, "Guavarock-", 10) != 0) {
        http_headers_add(&r->call.headers, name, value);
    }
    return true;
}

static enum MHD_Result
on_header_field(void *cls, enum MHD_ValueKind kind, const char *key,
                size_t key_size, const char *value, size_t value_size)
{
    struct request *r = cls;
    struct str name = str_from(key, key_size);
    struct str text = str_from(value == NULL ? "" : value, value_size);
    bool ok;

    (void)kind;
    if (++r->header_count > HEADER_COUNT_MAX) {
        api_fail(&r->error, 431, "header_too_large", "",
                 "more than %d header fields", HEADER_COUNT_MAX);
        return MHD_NO;
    }
    /* A space before the colon allows request smuggling between servers that
     * interpret it differently. */
    if (!is_token(name) || !is_field_value(text)) {
        ok = reject_header(r, "", "malformed header field");
    }
    else {
        ok = read_header(r, name, text);
    }
    return ok ? MHD_YES : MHD_NO;
}

/* Accepts origin-form and absolute-form (RFC 9112, section 3.2). */
static bool
read_target(struct request *r)
{
    struct str uri = str_of(r->uri);

    if (uri.len >= 7 && strncasecmp(uri.ptr, "http://", 7) == 0) {
        uri = str_from(uri.ptr + 7, uri.len - 7);
        while (uri.len != 0 && uri.ptr[0] != '/' && uri.ptr[0] != '?') {
            uri = str_from(uri.ptr + 1, uri.len - 1);
        }
        if (uri.len == 0) {
            uri = STR("/");
        }
    }
    if (uri.len == 0 || uri.ptr[0] != '/' || !is_visible_ascii(uri) ||
        memchr(uri.ptr, '#', uri.len) != NULL) {
        return api_fail(&r->error, 400, "bad_request", "path",
                        "malformed request target");
    }
    r->call.path = str_dup(str_cut(&uri, '?'));
    r->call.query = str_dup(uri);
    return true;
}

static void
read_client(struct request *r)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        r->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char host[INET6_ADDRSTRLEN] = "";
    const struct sockaddr *address = info == NULL ? NULL : info->client_addr;

    if (address == NULL) {
        return;
    }
    if (address->sa_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const void *)address;

        inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
        snprintf(r->call.client, sizeof(r->call.client), "[%s]:%u", host,
                 ntohs(v6->sin6_port));
    }
    else {
        const struct sockaddr_in *v4 = (const void *)address;

        inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
        snprintf(r->call.client, sizeof(r->call.client), "%s:%u", host,
                 ntohs(v4->sin_port));
    }
}

static bool
check_size(struct request *r)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        r->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    size_t limit = r->front->config.max_header;

    if (info != NULL && info->header_size > limit) {
        return api_fail(&r->error, 431, "header_too_large", "",
                        "the header has more than %zu bytes", limit);
    }
    if (strlen(r->uri) > limit / 2) {
        return api_fail(&r->error, 414, "target_too_long", "path",
                        "the request target has more than %zu bytes",
                        limit / 2);
    }
    return true;
}

static bool
check_framing(struct request *r)
{
    size_t limit = r->front->config.max_body;

    if (r->has_length && r->has_transfer_encoding) {
        return reject_header(r, "Content-Length",
                             "not allowed with Transfer-Encoding");
    }
    if (r->has_length && r->length > limit) {
        return api_fail(&r->error, 413, "too_large", "",
                        "the body has more than %zu bytes", limit);
    }
    return true;
}

bool
request_begin(struct request *r, const char *method, const char *version)
{
    struct front_call *call = &r->call;

    call->arrived = clock_now();
    call->deadline = call->arrived + r->front->config.default_timeout_ns;
    call->method = http_method_parse(str_of(method));
    read_client(r);
    if (!check_size(r) || !read_target(r)) {
        return false;
    }
    if (call->method == HTTP_METHOD_COUNT) {
        return api_fail(&r->error, 405, "method_not_allowed", "",
                        "this method is not served");
    }
    call->idempotent = http_method_idempotent(call->method);
    MHD_get_connection_values_n(r->connection, MHD_HEADER_KIND,
                                on_header_field, r);
    if (r->error.status != 0 || !check_framing(r)) {
        return false;
    }
    /* RFC 9112, section 3.2. */
    if (!r->has_host && strcmp(version, "HTTP/1.0") != 0) {
        return reject_header(r, "Host", "required");
    }
    http_headers_drop_hop(&call->headers);
    /* libmicrohttpd answers with 100 Continue itself. */
    http_headers_remove(&call->headers, "Expect");
    return true;
}
