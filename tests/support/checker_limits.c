/* What each team has running at a time, against its limits. */
#include <inttypes.h>
#include <string.h>

#include "checker_impl.h"
#include "mem.h"

static const char *const names[LIMIT_DIMENSIONS] = {
    "tasks", "cpu_milli", "memory_mib", "accelerators", "requests"};

struct team {
    int64_t used[LIMIT_DIMENSIONS];
    int64_t limit[LIMIT_DIMENSIONS];
    bool limited[LIMIT_DIMENSIONS];
};

struct limits {
    struct checker *c;
    struct map *teams;
};

struct limits *
limits_create(struct checker *c)
{
    struct limits *l = mem_zalloc(1, sizeof(*l));

    l->c = c;
    l->teams = map_create();
    return l;
}

void
limits_destroy(struct limits *l)
{
    void *cursor = NULL;
    void *team;

    while ((team = map_next(l->teams, &cursor)) != NULL) {
        mem_free(team);
    }
    map_destroy(l->teams);
    mem_free(l);
}

static struct team *
team_of(struct limits *l, const char *name)
{
    struct team *team = map_get(l->teams, str_of(name));

    if (team == NULL) {
        team = mem_zalloc(1, sizeof(*team));
        map_put(l->teams, str_of(name), team);
    }
    return team;
}

static void
check(struct limits *l, const char *name, int dimension, int64_t t)
{
    const struct team *team = team_of(l, name);

    if (team->limited[dimension] &&
        team->used[dimension] > team->limit[dimension]) {
        checker_report(l->c, t,
                       "limit exceeded: team %s has %" PRId64
                       " %s, its limit is %" PRId64,
                       name, team->used[dimension], names[dimension],
                       team->limit[dimension]);
    }
}

void
limits_use(struct limits *l, const char *team, enum limit_dimension dimension,
           int64_t by, int64_t t)
{
    team_of(l, team)->used[dimension] += by;
    if (by > 0) {
        check(l, team, dimension, t);
    }
}

/* Between sending and being in force, the old and the new limit may apply. */
void
limits_set(struct limits *l, const struct event *e, bool in_force)
{
    const char *name = event_text(e, "team");
    struct team *team = team_of(l, name);

    for (int i = 0; i < LIMIT_DIMENSIONS; i++) {
        int64_t value = event_number(e, names[i]);

        if (json_object_get(e->json, names[i]) == NULL) {
            continue;
        }
        if (in_force) {
            team->limit[i] = value;
            team->limited[i] = true;
            check(l, name, i, e->t);
        }
        else if (team->limit[i] < value) {
            team->limit[i] = value;
        }
    }
}

/* ---- Requests at endpoints ---- */

struct requests {
    struct limits *limits;
    struct map *teams; /* by tag, the event of its sending */
};

static void
count_request(struct requests *q, const struct event *e, int64_t by)
{
    const struct event *sent = map_get(q->teams, str_of(event_text(e, "tag")));

    if (sent != NULL && event_text(sent, "team")[0] != '\0') {
        limits_use(q->limits, event_text(sent, "team"), LIMIT_REQUESTS, by,
                   e->t);
    }
}

static void
take(struct requests *q, const struct event *e)
{
    if (strcmp(e->kind, "send") == 0) {
        map_put(q->teams, str_of(event_text(e, "tag")), (void *)e);
    }
    else if (strcmp(e->kind, "request") == 0) {
        count_request(q, e, 1);
    }
    else if (strcmp(e->kind, "response") == 0) {
        count_request(q, e, -1);
    }
    else if (strcmp(e->kind, "limit_sent") == 0) {
        limits_set(q->limits, e, false);
    }
    else if (strcmp(e->kind, "limit_in_force") == 0) {
        limits_set(q->limits, e, true);
    }
}

void
checker_request_limits(struct checker *c)
{
    struct requests q = {limits_create(c), map_create()};

    for (size_t i = 0; i < c->count; i++) {
        take(&q, &c->events[i]);
    }
    map_destroy(q.teams);
    limits_destroy(q.limits);
}
