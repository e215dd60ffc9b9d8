#ifndef GV_API_H
#define GV_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http.h"
#include "json.h"
#include "str.h"

/* What the packages for HTTP peers share: errors, keys' kinds and routes. */

/* A refusal; rendered as {"error":{"code","message","field"}}. */
struct api_error {
    int status;       /* HTTP status, 400 to 599 */
    const char *code; /* a short fixed name */
    char message[160];
    char field[128]; /* may be empty */
};

/* Always returns false, so that a codec can end in return api_fail(...). */
bool
api_fail(struct api_error *err, int status, const char *code,
         const char *field, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Appends the JSON body. */
void
api_error_render(const struct api_error *err, struct buf *out);

/* json_decode with the error as an api_error of status 400. */
struct json_doc *
api_decode(const struct json_shape *shape, struct str body, void *out,
           struct api_error *err);

enum api_key_kind {
    API_KEY_NONE, /* no key is asked for */
    API_KEY_TEAM,
    API_KEY_ENDPOINT,
    API_KEY_WORKER,
    API_KEY_OPERATOR,
    API_KEY_COUNT,
};

/* Labels team, endpoint, worker, operator; NULL at the end, index + 1 is the
 * kind. */
extern const char *const api_key_kind_names[];

enum api_route {
    API_SERVICE_CALL,      /* param service; rest is the path with its slash */
    API_JOB_PUT,           /* param id */
    API_JOB_GET,           /* param id, query wait_ms */
    API_JOB_LIST,          /* query after, limit */
    API_JOB_CANCEL,        /* param id */
    API_JOB_CANCEL_PREFIX, /* query prefix */
    API_ENDPOINT_PUT,      /* param id */
    API_ENDPOINT_DELETE,   /* param id */
    API_WORKER_SYNC,       /* param id */
    API_TEAMS_GET,
    API_TEAMS_PUT,
    API_LIMITS_GET,
    API_LIMITS_PUT,
    API_KEY_CREATE,
    API_KEY_LIST,
    API_KEY_DELETE,  /* param id */
    API_AUDIT,       /* query after, limit */
    API_USAGE,       /* query month */
    API_USAGE_CHART, /* query month */
    API_STATUS,
    API_VM_LIST,
    API_VM_DRAIN, /* param id */
    API_WORKER_LIST,
    API_ENDPOINT_LIST,
    API_TEAM_LIST,
    API_LIVE,
    API_READY,
    API_METRICS,
    API_ROUTE_COUNT,
};

struct api_route_def {
    enum http_method method; /* HTTP_METHOD_COUNT: any */
    /* Segments; "*" is a parameter, a final "**" is the rest. */
    const char *pattern;
    enum api_route route;
    enum api_key_kind key;
};

struct api_table {
    const struct api_route_def *defs;
    size_t count;
};

struct api_match {
    enum api_route route;
    enum api_key_kind key;
    char param[JSON_NAME_MAX + 1]; /* decoded, a valid name; may be empty */
    struct str rest; /* API_SERVICE_CALL: raw path behind the service */
    char allow[64];  /* with status 405: the Allow header's value */
};

/*
 * Finds the route of a raw path (without query). Returns false with status
 * 404 (no such path), 405 (m->allow is set) or 400 (malformed parameter).
 */
bool
api_match(const struct api_table *const *tables, size_t count,
          enum http_method method, struct str path, struct api_match *m,
          struct api_error *err);

/*
 * Reads a raw query of known parameters into values (decoded, heap, to be
 * freed with str_free; ptr NULL when absent). Returns false with status 400
 * on an unknown, repeated or malformed parameter.
 */
bool
api_query(struct str query, const char *const *names, size_t count,
          struct str *values, struct api_error *err);

#endif
