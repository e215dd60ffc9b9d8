#include "leader_metrics.h"

#include <inttypes.h>

#include "counter.h"
#include "leader_impl.h"
#include "mem.h"

enum wait_class {
    WAIT_SERVICE,
    WAIT_BATCH,
    WAIT_GANG,
    WAIT_URGENT, /* of any class */
    WAIT_CLASSES,
};

enum {
    BUCKETS = 13,
};

/* Upper bounds of the buckets; the last one has none. */
static const int64_t bucket_ms[BUCKETS - 1] = {
    5, 20, 50, 100, 500, 1000, 2000, 5000, 15000, 60000, 300000, 1800000};

static const char *const class_names[WAIT_CLASSES] = {
    [WAIT_SERVICE] = "service",
    [WAIT_BATCH] = "batch",
    [WAIT_GANG] = "gang",
    [WAIT_URGENT] = "urgent",
};

struct wait_counters {
    struct counter *buckets[BUCKETS];
    struct counter *sum;
    struct counter *count;
};

struct team_gauges {
    struct counter *share;
    struct counter *entitlement;
    struct counter *tasks;
};

struct resource_gauges {
    struct counter *cpu_milli;
    struct counter *memory_mib;
    struct counter *accelerators;
};

struct leader_metrics {
    struct wait_counters waits[WAIT_CLASSES];
    struct counter *decisions;
    struct counter *decision_ns;
    struct counter *waiting;
    struct resource_gauges capacity;
    struct resource_gauges leased;
    uint64_t counted_decisions;
    struct map *teams; /* number to struct team_gauges */
};

static struct counter *
labelled(enum counter_kind kind, const char *family, const char *label,
         const char *value, const char *help)
{
    struct buf name = {0};
    struct counter *c;

    buf_printf(&name, "%s{%s=\"%s\"}", family, label, value);
    c = counter_get_copy(kind, buf_str(&name), help);
    buf_free(&name);
    return c;
}

static struct counter *
bucket_create(const char *class, int bucket)
{
    struct buf name = {0};
    struct counter *c;

    buf_printf(&name, "guavarock_task_wait_ms_bucket{class=\"%s\",le=\"",
               class);
    if (bucket < BUCKETS - 1) {
        buf_printf(&name, "%" PRId64 "\"}", bucket_ms[bucket]);
    }
    else {
        buf_printf(&name, "+Inf\"}");
    }
    c = counter_get_copy(COUNTER_SUM, buf_str(&name),
                         "Tasks by time from the submission of the job to the "
                         "first placement, at most le.");
    buf_free(&name);
    return c;
}

static void
wait_counters_create(struct wait_counters *w, const char *class)
{
    for (int i = 0; i < BUCKETS; i++) {
        w->buckets[i] = bucket_create(class, i);
    }
    w->sum = labelled(COUNTER_SUM, "guavarock_task_wait_ms_sum", "class",
                      class, "Sum of the times of guavarock_task_wait_ms.");
    w->count = labelled(COUNTER_SUM, "guavarock_task_wait_ms_count", "class",
                        class, "Tasks counted by guavarock_task_wait_ms.");
}

static void
resource_gauges_create(struct resource_gauges *r, const char *family,
                       const char *help)
{
    r->cpu_milli =
        labelled(COUNTER_GAUGE, family, "resource", "cpu_milli", help);
    r->memory_mib =
        labelled(COUNTER_GAUGE, family, "resource", "memory_mib", help);
    r->accelerators =
        labelled(COUNTER_GAUGE, family, "resource", "accelerators", help);
}

static void
resource_gauges_set(const struct resource_gauges *r,
                    const struct operator_resources *value)
{
    counter_set(r->cpu_milli, value->cpu_milli);
    counter_set(r->memory_mib, value->memory_mib);
    counter_set(r->accelerators, value->accelerators);
}

struct leader_metrics *
leader_metrics_create(void)
{
    struct leader_metrics *m = mem_zalloc(1, sizeof(*m));

    for (int i = 0; i < WAIT_CLASSES; i++) {
        wait_counters_create(&m->waits[i], class_names[i]);
    }
    m->decisions = counter_get(COUNTER_SUM, "guavarock_decisions_total",
                               "Placements decided.");
    m->decision_ns =
        counter_get(COUNTER_SUM, "guavarock_decision_ns_total",
                    "Time of the control thread in the scheduler's ticks.");
    m->waiting = counter_get(COUNTER_GAUGE, "guavarock_tasks_waiting",
                             "Tasks that wait for a placement.");
    resource_gauges_create(&m->capacity, "guavarock_fleet_capacity",
                           "Resources of the workers that are up.");
    resource_gauges_create(&m->leased, "guavarock_fleet_leased",
                           "Resources under lease.");
    m->teams = map_create();
    return m;
}

void
leader_metrics_destroy(struct leader_metrics *m)
{
    static const struct operator_resources none = {0};
    struct team_gauges *team;
    void *cursor = NULL;

    if (m == NULL) {
        return;
    }
    while ((team = map_next(m->teams, &cursor)) != NULL) {
        counter_set(team->share, 0);
        counter_set(team->entitlement, 0);
        counter_set(team->tasks, 0);
        mem_free(team);
    }
    map_destroy(m->teams);
    counter_set(m->waiting, 0);
    resource_gauges_set(&m->capacity, &none);
    resource_gauges_set(&m->leased, &none);
    mem_free(m);
}

static enum wait_class
class_of(const struct state_job *job)
{
    if (job->spec.urgent) {
        return WAIT_URGENT;
    }
    switch (job->spec.class) {
    case STATE_JOB_SERVICE:
        return WAIT_SERVICE;
    case STATE_JOB_GANG:
        return WAIT_GANG;
    case STATE_JOB_BATCH:
        break;
    }
    return WAIT_BATCH;
}

void
leader_metrics_add_wait(struct leader_metrics *m, const struct state_job *job,
                        int64_t now_ms)
{
    struct wait_counters *w = &m->waits[class_of(job)];
    int64_t wait = now_ms - job->submitted_ms;

    /* The VM that set submitted_ms may have a clock that is ahead. */
    if (wait < 0) {
        wait = 0;
    }
    for (int i = 0; i < BUCKETS; i++) {
        if (i == BUCKETS - 1 || wait <= bucket_ms[i]) {
            counter_add(w->buckets[i], 1);
        }
    }
    counter_add(w->sum, (uint64_t)wait);
    counter_add(w->count, 1);
}

void
leader_metrics_add_decision_ns(struct leader_metrics *m, int64_t ns)
{
    counter_add(m->decision_ns, ns < 0 ? 0 : (uint64_t)ns);
}

static struct team_gauges *
team_gauges(struct leader_metrics *m, const struct state_team *team)
{
    struct team_gauges *g = map_get_u64(m->teams, team->number);
    struct str name;

    if (g != NULL) {
        return g;
    }
    g = mem_zalloc(1, sizeof(*g));
    name = str_dup(team->name);
    g->share = labelled(COUNTER_GAUGE, "guavarock_team_share_ppm", "team",
                        name.ptr, "The team's part of the fleet.");
    g->entitlement =
        labelled(COUNTER_GAUGE, "guavarock_team_entitlement_ppm", "team",
                 name.ptr, "The part by weight among teams with work.");
    g->tasks = labelled(COUNTER_GAUGE, "guavarock_team_tasks", "team",
                        name.ptr, "Tasks of the team under lease.");
    str_free(&name);
    map_put_u64(m->teams, team->number, g);
    return g;
}

static void
refresh_team(struct leader_metrics *m, const struct leader *l,
             const struct state_team *team, struct operator_resources *leased)
{
    struct team_gauges *g = team_gauges(m, team);
    struct sched_team_status status = {0};

    sched_team_status(l->sched, team->number, &status);
    counter_set(g->share, fraction_to_ppm(status.share));
    counter_set(g->entitlement, fraction_to_ppm(status.entitlement));
    counter_set(g->tasks, status.tasks);
    leased->cpu_milli += status.used.cpu_milli;
    leased->memory_mib += status.used.memory_mib;
    leased->accelerators += status.used.accelerators;
}

void
leader_metrics_refresh(struct leader_metrics *m, const struct leader *l)
{
    const struct state *state = leader_state(l);
    struct operator_resources leased = {0};
    struct operator_status fleet = {0};
    const struct state_team *team;
    struct sched_stats stats;

    for (uint32_t n = 1; (team = state_team(state, n)) != NULL; n++) {
        refresh_team(m, l, team, &leased);
    }
    resource_gauges_set(&m->leased, &leased);
    leader_count_workers(l, &fleet);
    resource_gauges_set(&m->capacity, &fleet.capacity);
    sched_stats(l->sched, &stats);
    counter_set(m->waiting, stats.waiting_tasks);
    counter_add(m->decisions, stats.decisions - m->counted_decisions);
    m->counted_decisions = stats.decisions;
}
