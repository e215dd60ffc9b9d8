#include "core.h"

#include <string.h>

#include "mem.h"

enum {
    /*
     * Task sizes are limited to 2^36, so that int64_t holds the total size of
     * the largest job allowed, which has TASKS_MAX tasks (job.c).
     */
    SIZE_MAX_BITS = 36,
};

void
sched_config_default(struct sched_config *config)
{
    *config = (struct sched_config){
        .next_lease = 1,
        .weights = {.waiting = 1, .packing = 1, .control = 1, .share = 1},
        .decisions_per_tick = 256,
        .open_queue_weight = 0.2,
        .checkpoint_grace_ns = 10 * NS_PER_S,
        .preempt_grace_ns = 700 * NS_PER_MS,
        .claim_timeout_ns = 1200 * NS_PER_MS,
        .retry_min_ns = NS_PER_S,
        .retry_max_ns = 300 * NS_PER_S,
        .max_failures = 5,
        .max_losses = 10,
        .failure_reset_ns = 600 * NS_PER_S,
        .start_grace_ns = 15 * NS_PER_S,
        .unschedulable_ns = 2 * NS_PER_S,
        .reserve_after_ns = 30 * NS_PER_S,
        .gang_retry_ns = NS_PER_S,
        .quarantine_ns = 60 * NS_PER_S,
        .quarantine_max_ns = 3600 * NS_PER_S,
        .quarantine_max_fraction = 0.05,
        .quarantine_min_score = 2.5,
        .quarantine_min_jobs = 3,
        .max_profiles = 20000,
        .reclaim_min_excess = 0.02,
        .reclaim_max_fraction = 0.01,
    };
}

struct sched_action *
emit_action(struct sched *s, enum sched_action_kind kind)
{
    struct sched_actions *a = s->actions;

    if (a->count == a->cap) {
        a->cap = a->cap == 0 ? 64 : a->cap * 2;
        a->items = mem_realloc(a->items, a->cap, sizeof(*a->items));
    }
    a->items[a->count] = (struct sched_action){.kind = kind};
    return &a->items[a->count++];
}

void
emit_lease_action(struct sched *s, enum sched_action_kind kind,
                  const struct lease *l)
{
    emit_action(s, kind)->u.lease = l->id;
}

void
timer_init(struct timer *t, enum timer_kind kind, void *owner)
{
    *t = (struct timer){.kind = kind, .owner = owner};
}

void
timer_set(struct sched *s, struct timer *t, int64_t at_ns)
{
    heap_remove(&s->timers, &t->node);
    t->node.key = at_ns;
    t->node.seq = s->timer_seq++;
    heap_insert(&s->timers, &t->node);
}

void
timer_clear(struct sched *s, struct timer *t)
{
    heap_remove(&s->timers, &t->node);
}

static int64_t
clamp_size(uint64_t value)
{
    const uint64_t max = UINT64_C(1) << SIZE_MAX_BITS;

    return (int64_t)(value > max ? max : value);
}

struct vec
vec_from_size(const struct sched_size *size)
{
    struct vec v;

    v.d[DIM_CPU] = clamp_size(size->cpu_milli);
    v.d[DIM_MEMORY] = clamp_size(size->memory_mib);
    v.d[DIM_ACCELERATORS] = clamp_size(size->accelerators);
    v.d[DIM_TASKS] = 1;
    return v;
}

struct sched *
sched_create(const struct sched_config *config, int64_t now)
{
    struct sched *s = mem_zalloc(1, sizeof(*s));

    s->config = *config;
    s->created_ns = now;
    s->last_reclaim_ns = now;
    s->now = now;
    s->next_lease = config->next_lease == 0 ? 1 : config->next_lease;
    s->next_id = 1;
    s->teams = map_create();
    s->workers = map_create();
    s->jobs = map_create();
    s->leases = map_create();
    s->profiles = map_create();
    s->racks = map_create();
    s->domains = map_create();
    link_init(&s->profile_lru, NULL);
    link_init(&s->parked_gangs, NULL);
    link_init(&s->dirty_workers, NULL);
    link_init(&s->dirty_teams, NULL);
    link_init(&s->deferred_finishes, NULL);
    link_init(&s->reservation.workers, NULL);
    timer_init(&s->reserve_timer, TIMER_RESERVE, s);
    timer_init(&s->shadow_timer, TIMER_SHADOW, s);
    timer_init(&s->urgent_timer, TIMER_URGENT, s);
    return s;
}

static void
free_objects(struct sched *s)
{
    void *cursor = NULL;
    void *p;

    reservation_release(s);
    while ((p = map_next(s->jobs, &cursor)) != NULL) {
        job_free(s, p);
    }
    cursor = NULL;
    while ((p = map_next(s->workers, &cursor)) != NULL) {
        worker_free(s, p);
    }
    cursor = NULL;
    while ((p = map_next(s->teams, &cursor)) != NULL) {
        team_destroy(p);
    }
    cursor = NULL;
    while ((p = map_next(s->racks, &cursor)) != NULL) {
        mem_free(p);
    }
    for (size_t i = 0; i < s->domain_count; i++) {
        mem_free(s->domain_list[i]);
    }
    profiles_destroy(s);
}

void
sched_destroy(struct sched *s)
{
    if (s == NULL) {
        return;
    }
    free_objects(s);
    map_destroy(s->teams);
    map_destroy(s->workers);
    map_destroy(s->jobs);
    map_destroy(s->leases);
    map_destroy(s->profiles);
    map_destroy(s->racks);
    map_destroy(s->domains);
    for (int lane = 0; lane < LANES; lane++) {
        heap_free(&s->ready_lanes[lane]);
    }
    heap_free(&s->timers);
    mem_free(s->domain_list);
    mem_free(s->accounts);
    mem_free(s);
}

static void
apply_event(struct sched *s, const struct sched_event *event)
{
    switch (event->kind) {
    case SCHED_EVENT_TEAM:
        team_handle_event(s, &event->u.team);
        break;
    case SCHED_EVENT_WORKER_UP:
        worker_handle_up(s, &event->u.worker);
        break;
    case SCHED_EVENT_WORKER_DRAINING:
        worker_handle_draining(s, &event->u.draining);
        break;
    case SCHED_EVENT_WORKER_EXPIRED:
        worker_handle_expired(s, &event->u.expired);
        break;
    case SCHED_EVENT_JOB:
        job_handle_event(s, &event->u.job);
        break;
    case SCHED_EVENT_JOB_CANCEL:
        job_cancel(s, event->u.cancel_job);
        break;
    case SCHED_EVENT_RESTORE:
        job_handle_restore(s, &event->u.restore);
        break;
    case SCHED_EVENT_PLACEMENT_COMMITTED:
        lease_handle_placement_committed(s, event->u.lease);
        break;
    case SCHED_EVENT_PLACEMENT_FAILED:
        lease_handle_placement_failed(s, event->u.lease);
        break;
    case SCHED_EVENT_TASK_RUNNING:
        lease_handle_running(s, event->u.lease);
        break;
    case SCHED_EVENT_TASK_ENDED:
        lease_handle_ended(s, &event->u.ended);
        break;
    case SCHED_EVENT_USAGE:
        lease_handle_usage(s, &event->u.usage);
        break;
    case SCHED_EVENT_TICK:
        placement_run_tick(s);
        break;
    }
}

void
sched_step(struct sched *s, int64_t now, const struct sched_event *event,
           struct sched_actions *actions)
{
    s->now = now > s->now ? now : s->now;
    s->actions = actions;
    apply_event(s, event);
    leases_finish_deferred(s);
    s->actions = NULL;
}

int64_t
sched_next_deadline(const struct sched *s)
{
    const struct heap_node *first = heap_min(&s->timers);

    if (!s->ticked || placement_is_pending(s)) {
        return s->now;
    }
    return first == NULL ? DEADLINE_NONE : first->key;
}

void
sched_actions_clear(struct sched_actions *actions)
{
    actions->count = 0;
}

void
sched_actions_free(struct sched_actions *actions)
{
    mem_free(actions->items);
    *actions = (struct sched_actions){NULL, 0, 0};
}

bool
sched_team_is_within_limit(const struct sched *s, uint32_t team)
{
    const struct team *t = map_get_u64(s->teams, team);

    return t == NULL || vec_covers(&t->limit, &t->used);
}

bool
sched_team_status(const struct sched *s, uint32_t team,
                  struct sched_team_status *out)
{
    const struct team *t = map_get_u64(s->teams, team);
    double weight = 0;

    if (t == NULL) {
        return false;
    }
    out->tasks = (uint64_t)t->used.d[DIM_TASKS];
    out->used.cpu_milli = (uint64_t)t->used.d[DIM_CPU];
    out->used.memory_mib = (uint64_t)t->used.d[DIM_MEMORY];
    out->used.accelerators = (uint64_t)t->used.d[DIM_ACCELERATORS];
    out->share = 0;
    for (int i = 0; i < DIM_TASKS; i++) {
        double part =
            s->fleet_capacity.d[i] > 0
                ? (double)t->used.d[i] / (double)s->fleet_capacity.d[i]
                : 0;
        out->share = part > out->share ? part : out->share;
    }
    for (int i = 0; i < 2; i++) {
        weight += t->accounts[i].jobs > 0 ? t->accounts[i].weight : 0;
    }
    out->entitlement = s->active_weight > 0 ? weight / s->active_weight : 0;
    return true;
}

void
sched_stats(const struct sched *s, struct sched_stats *out)
{
    *out = s->stats;
    out->jobs = map_count(s->jobs);
    out->leases = map_count(s->leases);
    out->workers_up = s->up_workers.count;
    out->quarantined = s->quarantined;
}

const char *
sched_reason_text(enum sched_reason reason)
{
    switch (reason) {
    case SCHED_REASON_NONE:
        return "";
    case SCHED_REASON_NO_WORKER:
        return "no registered worker could hold one task";
    case SCHED_REASON_TOO_MANY_TASKS:
        return "the fleet could not hold all tasks at once";
    case SCHED_REASON_TEAM_LIMIT:
        return "the job needs more than the team's limit";
    case SCHED_REASON_FAILURES:
        return "a task failed too often";
    case SCHED_REASON_LOSSES:
        return "a task lost its worker too often";
    case SCHED_REASON_MAY_HAVE_RUN:
        return "a task that must not run twice may have run";
    }
    return "";
}
