#ifndef GV_TEST_CHECKER_IMPL_H
#define GV_TEST_CHECKER_IMPL_H

#include <jansson.h>
#include <stddef.h>

#include "checker.h"
#include "map.h"

struct event {
    int64_t t;
    size_t line;
    json_t *json;
    const char *kind;
};

struct checker {
    struct event *events; /* by time */
    size_t count;
    size_t size;
    const struct checker_options *options;
    struct buf *report;
    int violations;
};

/* A task on a worker. */
struct run {
    const char *worker;
    const char *team;
    const char *job;
    int64_t task;
    int64_t lease;
    int64_t size[3];  /* cpu_milli, memory_mib, accelerators */
    int64_t usage[3]; /* cpu_ms, memory_mib_s, accelerator_ms */
    int64_t begin;
    int64_t end;         /* INT64_MAX: still running */
    const char *outcome; /* NULL: the worker was killed, or still running */
};

void
checker_report(struct checker *c, int64_t t, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static inline const char *
event_text(const struct event *e, const char *name)
{
    const char *text = json_string_value(json_object_get(e->json, name));

    return text == NULL ? "" : text;
}

static inline int64_t
event_number(const struct event *e, const char *name)
{
    return json_integer_value(json_object_get(e->json, name));
}

static inline int
event_true(const struct event *e, const char *name)
{
    return json_is_true(json_object_get(e->json, name));
}

/* ---- Limits of teams ---- */

enum limit_dimension {
    LIMIT_TASKS,
    LIMIT_CPU_MILLI,
    LIMIT_MEMORY_MIB,
    LIMIT_ACCELERATORS,
    LIMIT_REQUESTS,
    LIMIT_DIMENSIONS,
};

struct limits;

struct limits *
limits_create(struct checker *c);
void
limits_destroy(struct limits *l);

/* Changes what the team has, and reports what exceeds its limit. */
void
limits_use(struct limits *l, const char *team, enum limit_dimension dimension,
           int64_t by, int64_t t);

/* Takes a limit_sent or limit_in_force event; a dimension that it does not
 * name keeps its limit, and has none at first. */
void
limits_set(struct limits *l, const struct event *e, bool in_force);

void
checker_request_limits(struct checker *c);
void
checker_requests(struct checker *c);
void
checker_tasks(struct checker *c);
void
checker_lists(struct checker *c);

#endif
