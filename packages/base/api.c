#include "api.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const char *const api_key_kind_names[] = {"team", "endpoint", "worker",
                                          "operator", NULL};

struct error_body {
    struct str code;
    struct str message;
    struct str field;
};

static const struct json_field error_body_fields[] = {
    JSON_NAME_FIELD(error_body, code, 0),
    JSON_STRING_FIELD(error_body, message, 0, 0, 4096),
    JSON_STRING_FIELD(error_body, field, 0, 0, 4096),
};

static const struct json_shape error_body_shape =
    JSON_SHAPE(error_body, error_body_fields);

struct error_envelope {
    struct error_body error;
};

static const struct json_field error_fields[] = {
    JSON_OBJECT_FIELD(error_envelope, error, &error_body_shape),
};

static const struct json_shape error_shape =
    JSON_SHAPE(error_envelope, error_fields);

bool
api_fail(struct api_error *err, int status, const char *code,
         const char *field, const char *fmt, ...)
{
    va_list args;

    err->status = status;
    err->code = code;
    snprintf(err->field, sizeof(err->field), "%s", field);
    va_start(args, fmt);
    vsnprintf(err->message, sizeof(err->message), fmt, args);
    va_end(args);
    return false;
}

void
api_error_render(const struct api_error *err, struct buf *out)
{
    struct error_envelope body = {
        {str_of(err->code), str_of(err->message), str_of(err->field)}};

    json_encode(&error_shape, &body, out);
}

struct json_doc *
api_decode(const struct json_shape *shape, struct str body, void *out,
           struct api_error *err)
{
    struct json_error e;
    struct json_doc *doc = json_decode(shape, body, out, &e);

    if (doc == NULL) {
        api_fail(err, 400, json_fault_name(e.fault), e.field, "%s", e.message);
    }
    return doc;
}

/* Whether a segment may stand for "*": a valid name once it is decoded. */
static bool
decode_param(struct str segment, char out[JSON_NAME_MAX + 1])
{
    struct buf decoded = {0};
    bool ok = http_percent_decode(segment, &decoded) &&
              json_name_ok(buf_str(&decoded));

    if (ok) {
        memcpy(out, decoded.ptr, decoded.len);
        out[decoded.len] = '\0';
    }
    buf_free(&decoded);
    return ok;
}

enum fit {
    FIT_NONE,
    FIT_BAD_PARAM,
    FIT_YES,
};

static enum fit
fit_pattern(const char *pattern, struct str path, struct api_match *m)
{
    struct str want = str_of(pattern);
    enum fit fit = FIT_YES;

    m->param[0] = '\0';
    m->rest = str_from(NULL, 0);
    while (want.len != 0) {
        struct str segment = str_cut(&want, '/');
        struct str rest = path;
        bool more = path.len != 0;
        struct str given = str_cut(&path, '/');

        if (str_eq(segment, STR("**"))) {
            /* The rest keeps the slash in front of it. */
            m->rest = more ? str_from(rest.ptr - 1, rest.len + 1) : STR("/");
            return fit;
        }
        if (str_eq(segment, STR("*"))) {
            if (given.len == 0) {
                return FIT_NONE;
            }
            fit = decode_param(given, m->param) ? fit : FIT_BAD_PARAM;
        }
        else if (!str_eq(segment, given)) {
            return FIT_NONE;
        }
        /* A trailing slash is another path. */
        if (want.len == 0 && given.len != rest.len) {
            return FIT_NONE;
        }
    }
    return path.len == 0 ? fit : FIT_NONE;
}

static void
allow_method(struct api_match *m, enum http_method method)
{
    size_t len = strlen(m->allow);

    snprintf(m->allow + len, sizeof(m->allow) - len, "%s%s",
             len == 0 ? "" : ", ", http_method_name(method));
}

struct search {
    enum http_method method;
    struct str path;
    bool bad_param;
};

/* HEAD is answered like GET, without the body. */
static bool
method_fits(enum http_method wanted, enum http_method method)
{
    return wanted == HTTP_METHOD_COUNT || wanted == method ||
           (wanted == HTTP_GET && method == HTTP_HEAD);
}

static bool
search_table(const struct api_table *table, struct search *s,
             struct api_match *m)
{
    for (size_t i = 0; i < table->count; i++) {
        const struct api_route_def *def = &table->defs[i];
        enum fit fit = fit_pattern(def->pattern, s->path, m);

        if (fit == FIT_NONE) {
            continue;
        }
        if (!method_fits(def->method, s->method)) {
            allow_method(m, def->method);
            continue;
        }
        if (fit == FIT_BAD_PARAM) {
            s->bad_param = true;
            continue;
        }
        m->route = def->route;
        m->key = def->key;
        return true;
    }
    return false;
}

bool
api_match(const struct api_table *const *tables, size_t count,
          enum http_method method, struct str path, struct api_match *m,
          struct api_error *err)
{
    struct search s = {.method = method, .path = path};

    *m = (struct api_match){0};
    for (size_t i = 0; i < count; i++) {
        if (search_table(tables[i], &s, m)) {
            return true;
        }
    }
    if (s.bad_param) {
        return api_fail(err, 400, "bad_value", "id",
                        "must be 1 to %d of [A-Za-z0-9._-]", JSON_NAME_MAX);
    }
    if (m->allow[0] != '\0') {
        return api_fail(err, 405, "method_not_allowed", "",
                        "this path allows %s", m->allow);
    }
    return api_fail(err, 404, "not_found", "", "no such path");
}

static bool
read_param(struct str pair, const char *const *names, size_t count,
           struct str *values, struct api_error *err)
{
    struct str name = str_cut(&pair, '=');
    struct buf decoded = {0};

    for (size_t i = 0; i < count; i++) {
        if (!str_eq(name, str_of(names[i]))) {
            continue;
        }
        if (values[i].ptr != NULL) {
            return api_fail(err, 400, "duplicate", names[i],
                            "occurs more than once");
        }
        if (!http_percent_decode(pair, &decoded)) {
            buf_free(&decoded);
            return api_fail(err, 400, "bad_value", names[i],
                            "malformed percent-encoding");
        }
        values[i] = str_dup(buf_str(&decoded));
        buf_free(&decoded);
        return true;
    }
    return api_fail(err, 400, "unknown_field", "query",
                    "unknown query parameter");
}

bool
api_query(struct str query, const char *const *names, size_t count,
          struct str *values, struct api_error *err)
{
    for (size_t i = 0; i < count; i++) {
        values[i] = str_from(NULL, 0);
    }
    while (query.len != 0) {
        if (read_param(str_cut(&query, '&'), names, count, values, err)) {
            continue;
        }
        for (size_t i = 0; i < count; i++) {
            str_free(&values[i]);
        }
        return false;
    }
    return true;
}
