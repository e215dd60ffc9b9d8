#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "checker_impl.h"
#include "mem.h"

static const char *const size_names[3] = {"cpu_milli", "memory_mib",
                                          "accelerators"};
static const char *const usage_names[3] = {"cpu_ms", "memory_mib_s",
                                           "accelerator_ms"};

struct tasks {
    struct checker *c;
    struct run *runs;
    size_t count;
    struct map *by_lease; /* "worker/lease" */
    struct map *workers;  /* by id, the event with its capacity */
    struct map *frozen;   /* by id, the event */
    struct map *groups;   /* what the sweep counts */
    struct map *jobs;     /* "team/job", struct job */
    struct limits *limits;
};

struct job {
    bool idempotent;
    bool accepted;
    bool refused;
};

/* What runs at one time: on a worker, of a task, of a team. */
struct group {
    int64_t size[3];
    int64_t running;
    int starts;
};

static void *
find_or_add(struct map *m, const char *name, size_t size)
{
    void *found = map_get(m, str_of(name));

    if (found == NULL) {
        found = mem_zalloc(1, size);
        map_put(m, str_of(name), found);
    }
    return found;
}

static void
free_values(struct map *m)
{
    void *cursor = NULL;
    void *value;

    while ((value = map_next(m, &cursor)) != NULL) {
        mem_free(value);
    }
    map_destroy(m);
}

/* ---- Runs ---- */

static void
lease_name(const struct event *e, char out[160])
{
    snprintf(out, 160, "%s/%" PRId64, event_text(e, "worker"),
             event_number(e, "lease"));
}

static void
started(struct tasks *x, const struct event *e)
{
    struct run *r = &x->runs[x->count];
    char name[160];

    lease_name(e, name);
    if (map_get(x->by_lease, str_of(name)) != NULL) {
        checker_report(x->c, e->t, "lease %s started twice", name);
        return;
    }
    *r = (struct run){.worker = event_text(e, "worker"),
                      .team = event_text(e, "team"),
                      .job = event_text(e, "job"),
                      .task = event_number(e, "task"),
                      .lease = event_number(e, "lease"),
                      .begin = e->t,
                      .end = INT64_MAX};
    for (int i = 0; i < 3; i++) {
        r->size[i] = event_number(e, size_names[i]);
    }
    map_put(x->by_lease, str_of(name), r);
    x->count++;
}

static void
ended(struct tasks *x, const struct event *e)
{
    int64_t at = event_number(e, "at");
    struct run *r;
    char name[160];

    lease_name(e, name);
    r = map_get(x->by_lease, str_of(name));
    if (r == NULL) {
        checker_report(x->c, e->t, "lease %s ended but never started", name);
        return;
    }
    r->end = at == 0 ? e->t : at;
    r->end = r->end < r->begin ? r->begin : r->end;
    r->outcome = event_text(e, "outcome");
    for (int i = 0; i < 3; i++) {
        r->usage[i] = event_number(e, usage_names[i]);
    }
}

static void
killed(struct tasks *x, const struct event *e)
{
    const char *worker = event_text(e, "worker");
    const struct event *frozen = map_get(x->frozen, str_of(worker));

    for (size_t i = 0; i < x->count; i++) {
        struct run *r = &x->runs[i];

        if (r->end == INT64_MAX && strcmp(r->worker, worker) == 0) {
            r->end = frozen == NULL ? e->t : frozen->t;
        }
    }
}

static void
take(struct tasks *x, const struct event *e)
{
    const char *worker = event_text(e, "worker");

    if (strcmp(e->kind, "start") == 0) {
        started(x, e);
    }
    else if (strcmp(e->kind, "end") == 0) {
        ended(x, e);
    }
    else if (strcmp(e->kind, "worker") == 0) {
        map_put(x->workers, str_of(worker), (void *)e);
    }
    else if (strcmp(e->kind, "killed") == 0 && worker[0] != '\0') {
        killed(x, e);
    }
    else if (strcmp(e->kind, "frozen") == 0 && worker[0] != '\0') {
        map_put(x->frozen, str_of(worker), (void *)e);
    }
    else if (strcmp(e->kind, "continued") == 0 && worker[0] != '\0') {
        map_del(x->frozen, str_of(worker));
    }
}

/* ---- Sweep over time ---- */

enum order {
    ORDER_END,
    ORDER_LIMIT_SENT,
    ORDER_BEGIN,
    ORDER_LIMIT,
};

struct point {
    int64_t t;
    enum order order;
    const struct run *run;
    const struct event *event;
};

static int
compare_points(const void *a, const void *b)
{
    const struct point *x = a;
    const struct point *y = b;

    if (x->t != y->t) {
        return x->t < y->t ? -1 : 1;
    }
    return (int)x->order - (int)y->order;
}

static struct group *
group_of(struct tasks *x, const char *kind, const char *name)
{
    char key[256];

    snprintf(key, sizeof(key), "%s:%s", kind, name);
    return find_or_add(x->groups, key, sizeof(struct group));
}

static struct group *
task_group(struct tasks *x, const struct run *r)
{
    char name[200];

    snprintf(name, sizeof(name), "%s/%s/%" PRId64, r->team, r->job, r->task);
    return group_of(x, "task", name);
}

static void
check_capacity(struct tasks *x, const struct run *r)
{
    struct group *g = group_of(x, "worker", r->worker);
    const struct event *worker = map_get(x->workers, str_of(r->worker));

    for (int i = 0; i < 3; i++) {
        g->size[i] += r->size[i];
        if (worker != NULL &&
            g->size[i] > event_number(worker, size_names[i])) {
            checker_report(x->c, r->begin,
                           "capacity exceeded: %s of %s is %" PRId64,
                           size_names[i], r->worker, g->size[i]);
        }
    }
}

static void
use_limits(struct tasks *x, const struct run *r, int sign, int64_t t)
{
    static const enum limit_dimension dimensions[3] = {
        LIMIT_CPU_MILLI, LIMIT_MEMORY_MIB, LIMIT_ACCELERATORS};

    limits_use(x->limits, r->team, LIMIT_TASKS, sign, t);
    for (int i = 0; i < 3; i++) {
        limits_use(x->limits, r->team, dimensions[i], sign * r->size[i], t);
    }
}

static const struct job *
job_of(struct tasks *x, const struct run *r)
{
    char name[160];

    snprintf(name, sizeof(name), "%s/%s", r->team, r->job);
    return map_get(x->jobs, str_of(name));
}

static void
begin_run(struct tasks *x, const struct run *r)
{
    struct group *g = task_group(x, r);
    const struct job *job = job_of(x, r);

    if (g->running++ > 0) {
        checker_report(x->c, r->begin,
                       "task %s/%s/%" PRId64 " runs in two places, now on %s",
                       r->team, r->job, r->task, r->worker);
    }
    /* What was checkpointed continues and does not start again. */
    if (g->starts++ > 0 && job != NULL && !job->idempotent) {
        checker_report(x->c, r->begin,
                       "non-idempotent job %s/%s started again, on %s",
                       r->team, r->job, r->worker);
    }
    if (job != NULL && job->refused && !job->accepted) {
        checker_report(x->c, r->begin, "job %s/%s was refused but ran",
                       r->team, r->job);
    }
    check_capacity(x, r);
    use_limits(x, r, 1, r->begin);
}

static void
end_run(struct tasks *x, const struct run *r)
{
    struct group *worker = group_of(x, "worker", r->worker);
    struct group *task = task_group(x, r);

    for (int i = 0; i < 3; i++) {
        worker->size[i] -= r->size[i];
    }
    task->running--;
    if (r->outcome != NULL && strcmp(r->outcome, "checkpointed") == 0) {
        task->starts--;
    }
    use_limits(x, r, -1, r->end);
}

static size_t
collect_points(const struct tasks *x, struct point *points)
{
    size_t n = 0;

    for (size_t i = 0; i < x->count; i++) {
        const struct run *r = &x->runs[i];

        points[n++] = (struct point){r->begin, ORDER_BEGIN, r, NULL};
        /* A run without length ends right after its begin. */
        points[n++] = (struct point){r->end == r->begin ? r->end + 1 : r->end,
                                     ORDER_END, r, NULL};
    }
    for (size_t i = 0; i < x->c->count; i++) {
        const struct event *e = &x->c->events[i];

        if (strcmp(e->kind, "limit_sent") == 0) {
            points[n++] = (struct point){e->t, ORDER_LIMIT_SENT, NULL, e};
        }
        else if (strcmp(e->kind, "limit_in_force") == 0) {
            points[n++] = (struct point){e->t, ORDER_LIMIT, NULL, e};
        }
    }
    return n;
}

static void
sweep(struct tasks *x)
{
    struct point *points =
        mem_zalloc(2 * x->count + x->c->count + 1, sizeof(*points));
    size_t n = collect_points(x, points);

    qsort(points, n, sizeof(*points), compare_points);
    for (size_t i = 0; i < n; i++) {
        const struct point *p = &points[i];

        switch (p->order) {
        case ORDER_END:
            end_run(x, p->run);
            break;
        case ORDER_BEGIN:
            begin_run(x, p->run);
            break;
        case ORDER_LIMIT_SENT:
        case ORDER_LIMIT:
            limits_set(x->limits, p->event, p->order == ORDER_LIMIT);
            break;
        }
    }
    mem_free(points);
}

/* ---- Jobs and usage ---- */

static void
take_job(struct tasks *x, const struct event *e)
{
    char name[160];
    struct job *job;

    snprintf(name, sizeof(name), "%s/%s", event_text(e, "team"),
             event_text(e, "job"));
    job = find_or_add(x->jobs, name, sizeof(*job));
    if (strcmp(e->kind, "submit") == 0) {
        job->idempotent = event_true(e, "idempotent");
    }
    else if (event_number(e, "status") < 400) {
        job->accepted = true;
    }
    else {
        job->refused = true;
    }
}

/* What a killed worker's task has consumed is known up to a bound only. */
static void
check_usage(struct tasks *x, const struct event *e)
{
    for (int i = 0; i < 3; i++) {
        int64_t low = 0;
        int64_t unsure = 0;
        int64_t reported = event_number(e, usage_names[i]);

        for (size_t k = 0; k < x->count; k++) {
            const struct run *r = &x->runs[k];
            int64_t end = r->end < e->t ? r->end : e->t;
            int64_t ms = (end - r->begin) / 1000000 + 1;

            if (strcmp(r->team, event_text(e, "team")) != 0) {
                continue;
            }
            low += r->usage[i];
            unsure +=
                r->outcome == NULL ? r->size[i] * ms / (i == 2 ? 1 : 1000) : 0;
        }
        if (reported < low || reported > low + unsure) {
            checker_report(x->c, e->t,
                           "usage of team %s: %s is reported as %" PRId64
                           ", workers measured %" PRId64 " to %" PRId64,
                           event_text(e, "team"), usage_names[i], reported,
                           low, low + unsure);
        }
    }
}

void
checker_tasks(struct checker *c)
{
    struct tasks x = {.c = c,
                      .runs = mem_zalloc(c->count + 1, sizeof(*x.runs)),
                      .by_lease = map_create(),
                      .workers = map_create(),
                      .frozen = map_create(),
                      .groups = map_create(),
                      .jobs = map_create(),
                      .limits = limits_create(c)};

    for (size_t i = 0; i < c->count; i++) {
        const struct event *e = &c->events[i];

        take(&x, e);
        if (strcmp(e->kind, "submit") == 0 ||
            strcmp(e->kind, "submitted") == 0) {
            take_job(&x, e);
        }
    }
    sweep(&x);
    for (size_t i = 0; i < c->count; i++) {
        if (strcmp(c->events[i].kind, "usage") == 0) {
            check_usage(&x, &c->events[i]);
        }
    }
    map_destroy(x.by_lease);
    map_destroy(x.workers);
    map_destroy(x.frozen);
    free_values(x.groups);
    free_values(x.jobs);
    limits_destroy(x.limits);
    mem_free(x.runs);
}
