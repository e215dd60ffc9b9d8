#include "sched_world.h"

static const int64_t LEASE_NS = 5 * NS_PER_S;
static const int64_t MARGIN_NS = 100 * NS_PER_MS;

static bool
chance(struct world *w, uint64_t percent)
{
    return rng_below(&w->rng, 100) < percent;
}

static uint64_t
between(struct world *w, uint64_t low, uint64_t high)
{
    return low + rng_below(&w->rng, high - low + 1);
}

struct world_lease *
world_lease(struct world *w, uint64_t lease)
{
    for (guint i = w->leases->len; i > 0; i--) {
        struct world_lease *l = g_ptr_array_index(w->leases, i - 1);
        if (l->lease == lease) {
            return l;
        }
    }
    return NULL;
}

/* Passes an event on, judges the actions and appends them to the log. */
static void
send(struct world *w, const struct sched_event *e)
{
    sched_actions_clear(&w->actions);
    sched_step(w->s, w->now, e, &w->actions);
    check_actions(w);
    for (size_t i = 0; i < w->actions.count; i++) {
        const struct sched_action *a = &w->actions.items[i];
        struct world_lease *l;
        switch (a->kind) {
        case SCHED_ACTION_STOP:
        case SCHED_ACTION_CHECKPOINT:
            l = world_lease(w, a->u.lease);
            l->stop_wanted |= a->kind == SCHED_ACTION_STOP;
            l->checkpoint_wanted |= a->kind == SCHED_ACTION_CHECKPOINT;
            break;
        case SCHED_ACTION_PLACE:
        case SCHED_ACTION_TASK:
        case SCHED_ACTION_JOB_OUTCOME:
            g_array_append_val(w->log, *a);
            break;
        default:
            break;
        }
    }
}

static void
send_lease(struct world *w, enum sched_event_kind kind, uint64_t lease)
{
    struct sched_event e = {.kind = kind};

    e.u.lease = lease;
    send(w, &e);
}

static void
send_end(struct world *w, uint64_t lease, enum sched_end end)
{
    struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};

    e.u.ended = (struct sched_ended_event){lease, end};
    send(w, &e);
}

static void
send_team(struct world *w, uint32_t team)
{
    struct sched_event e = {.kind = SCHED_EVENT_TEAM};

    e.u.team = (struct sched_team_event){team, team + 1, w->limits[team]};
    if (w->fault == FAULT_LIMIT) {
        e.u.team.limits.tasks *= 3;
    }
    send(w, &e);
}

static void
send_job(struct world *w, const struct world_job *j)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB};

    e.u.job = j->event;
    if (w->fault == FAULT_RESTART) {
        e.u.job.idempotent = true;
    }
    if (w->fault == FAULT_HALF_GANG && j->event.class == SCHED_CLASS_GANG) {
        e.u.job.class = SCHED_CLASS_BATCH;
    }
    send(w, &e);
}

static void
random_job(struct world *w, struct sched_job_event *e)
{
    static const struct str names[] = {{"a", 1}, {"b", 1}, {"c", 1}};

    e->team = (uint32_t)rng_below(&w->rng, WORLD_TEAMS);
    e->name = names[rng_below(&w->rng, 3)];
    e->class = (enum sched_class)rng_below(&w->rng, 3);
    e->tasks = (uint32_t)between(w, 1, WORLD_TASKS);
    e->size.cpu_milli = between(w, 100, 4000);
    e->size.memory_mib = between(w, 10, 4000);
    e->size.accelerators = chance(w, 15) ? 1 : 0;
    e->urgent = chance(w, 15);
    e->idempotent = chance(w, 60);
    e->open_queue = chance(w, 20);
    e->run_time_ns = (int64_t)between(w, 0, 3) * NS_PER_S;
    if (e->size.accelerators > 0 && e->class == SCHED_CLASS_GANG) {
        e->tasks = 2; /* so that the fleet can hold it */
    }
}

static void
submit(struct world *w)
{
    for (uint32_t i = 0; i < WORLD_JOBS; i++) {
        struct world_job *j = &w->jobs[i];
        if (!j->submitted) {
            j->submitted = true;
            j->event.job = i;
            random_job(w, &j->event);
            send_job(w, j);
            return;
        }
    }
}

static void
cancel(struct world *w, uint32_t i)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB_CANCEL};

    if (w->jobs[i].submitted && !w->jobs[i].ended) {
        w->jobs[i].cancelled = true;
        e.u.cancel_job = i;
        send(w, &e);
    }
}

static void
commit_place(struct world *w, const struct sched_place_action *a, bool told)
{
    struct world_lease *l = world_lease(w, a->lease);
    bool failed = told && !w->calm && chance(w, 10);

    if (!failed) {
        l->committed = true;
        w->jobs[a->job].tasks[a->task].committed = SCHED_TASK_PLACED;
        w->jobs[a->job].tasks[a->task].placed = true;
        w->max_lease = a->lease > w->max_lease ? a->lease : w->max_lease;
    }
    if (told) {
        send_lease(w,
                   failed ? SCHED_EVENT_PLACEMENT_FAILED
                          : SCHED_EVENT_PLACEMENT_COMMITTED,
                   a->lease);
    }
}

/* Commits the first entry of the log; told: this leader learns of it. */
static void
commit_one(struct world *w, bool told)
{
    struct sched_action a;
    struct world_lease *l;
    struct world_task *t;

    if (w->log->len == 0) {
        return;
    }
    a = g_array_index(w->log, struct sched_action, 0);
    g_array_remove_index(w->log, 0);
    switch (a.kind) {
    case SCHED_ACTION_PLACE:
        commit_place(w, &a.u.place, told);
        break;
    case SCHED_ACTION_TASK:
        t = &w->jobs[a.u.task.job].tasks[a.u.task.task];
        t->committed = a.u.task.state;
        t->failures = a.u.task.failures;
        t->losses = a.u.task.losses;
        l = world_lease(w, a.u.task.lease);
        l->committed = false;
        if (l->run == RUN_FINISHED) {
            l->run = RUN_GONE; /* acknowledged */
        }
        break;
    default:
        if (a.u.outcome.outcome <= SCHED_OUTCOME_UNKNOWN) {
            w->jobs[a.u.outcome.job].ended_committed = true;
        }
        break;
    }
}

/* The worker's process acts on a message or ends. */
static void
begin(struct world *w, struct world_lease *l)
{
    struct world_task *t = &w->jobs[l->job].tasks[l->task];

    l->run = RUN_ACTIVE;
    l->ends_at = w->now + (int64_t)between(w, 100, 8000) * NS_PER_MS;
    l->end = !w->calm && chance(w, 15) ? SCHED_END_FAILED : SCHED_END_DONE;
    t->starts++;
    check_start(w, l);
}

static void
finish(struct world *w, struct world_lease *l, enum sched_end end)
{
    if (l->run == RUN_ACTIVE && end == SCHED_END_DONE) {
        w->jobs[l->job].tasks[l->task].completions++;
    }
    l->run = RUN_FINISHED;
    l->end = end;
}

static void
forget_all(struct world *w, uint32_t worker)
{
    for (guint i = 0; i < w->leases->len; i++) {
        struct world_lease *l = g_ptr_array_index(w->leases, i);
        if (l->worker == worker &&
            (l->run == RUN_ACTIVE || l->run == RUN_FINISHED)) {
            l->run = RUN_GONE;
        }
    }
}

static void
deliver(struct world *w, struct world_lease *l)
{
    const struct world_worker *worker = &w->workers[l->worker];

    if (l->run == RUN_UNKNOWN && l->committed && l->start_epoch == w->epoch &&
        l->start_incarnation == worker->incarnation) {
        if (l->stop_wanted) {
            finish(w, l, SCHED_END_NEVER_STARTED);
        }
        else {
            begin(w, l);
        }
    }
    else if (l->run == RUN_ACTIVE && l->stop_wanted) {
        finish(w, l, chance(w, 10) ? SCHED_END_DONE : SCHED_END_STOPPED);
    }
    else if (l->run == RUN_ACTIVE && l->checkpoint_wanted && chance(w, 70)) {
        finish(w, l, SCHED_END_CHECKPOINTED);
    }
}

static void
report(struct world *w, struct world_lease *l, bool first)
{
    if (l->run == RUN_ACTIVE) {
        send_lease(w, SCHED_EVENT_TASK_RUNNING, l->lease);
    }
    else if (l->run == RUN_FINISHED) {
        send_end(w, l->lease, l->end);
    }
    else if (first && l->committed && l->start_epoch != w->epoch) {
        l->run = RUN_GONE;
        send_end(w, l->lease, SCHED_END_LOST);
    }
}

static void
send_up(struct world *w, uint32_t i)
{
    static const struct str racks[] = {{"r0", 2}, {"r1", 2}, {"r2", 2}};
    struct world_worker *worker = &w->workers[i];
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};

    e.u.worker = (struct sched_worker_event){
        .worker = i,
        .incarnation = worker->incarnation,
        .capacity = worker->capacity,
        .rack = racks[i / 2],
        .failure_domain = racks[i % 2],
    };
    if (w->fault == FAULT_CAPACITY) {
        e.u.worker.capacity.cpu_milli *= 2;
        e.u.worker.capacity.memory_mib *= 2;
    }
    send(w, &e);
    if (worker->draining) {
        e.kind = SCHED_EVENT_WORKER_DRAINING;
        e.u.draining = (struct sched_draining_event){i, true};
        send(w, &e);
    }
    worker->session_epoch = w->epoch;
    worker->session_incarnation = worker->incarnation;
}

/* A worker's synchronisation: reports in random order, some of them twice. */
static void
sync_worker(struct world *w, uint32_t i)
{
    struct world_worker *worker = &w->workers[i];
    bool first = worker->session_epoch != w->epoch;
    guint count = w->leases->len;
    guint at = count == 0 ? 0 : (guint)rng_below(&w->rng, count);

    if (!worker->alive || !worker->connected) {
        return;
    }
    if (first || chance(w, 10)) {
        send_up(w, i);
    }
    for (guint n = 0; n < count; n++) {
        struct world_lease *l = g_ptr_array_index(w->leases, (at + n) % count);
        if (l->worker != i) {
            continue;
        }
        if (l->run == RUN_ACTIVE && l->ends_at <= w->now) {
            finish(w, l, l->end);
        }
        report(w, l, first);
        if (chance(w, 20)) {
            report(w, l, false);
        }
        deliver(w, l);
    }
}

static void
send_expired(struct world *w, uint32_t i, uint64_t incarnation)
{
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_EXPIRED};

    e.u.expired = (struct sched_expired_event){i, incarnation};
    send(w, &e);
}

/* The process dies at once, or its network does and it stops later. */
static void
lose_worker(struct world *w, uint32_t i)
{
    struct world_worker *worker = &w->workers[i];

    if (!worker->alive || !worker->connected || worker->expires != 0) {
        return;
    }
    if (chance(w, 50)) {
        worker->alive = false;
        forget_all(w, i);
    }
    worker->connected = false;
    worker->lapses = w->now + LEASE_NS;
    worker->expires = w->now + LEASE_NS + MARGIN_NS;
    worker->expires_incarnation = worker->incarnation;
    if (w->fault == FAULT_EARLY_EXPIRY) {
        send_expired(w, i, worker->incarnation);
    }
}

static void
return_worker(struct world *w, uint32_t i)
{
    struct world_worker *worker = &w->workers[i];

    if (worker->connected) {
        return;
    }
    worker->connected = true;
    if (worker->alive && w->now < worker->lapses) {
        worker->expires = 0; /* the same session goes on */
    }
    else {
        worker->alive = true;
        forget_all(w, i);
        worker->incarnation++;
        worker->draining = false;
        worker->session_epoch = 0;
    }
}

static void
pass_time(struct world *w, int64_t ns)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};

    w->now += ns;
    for (uint32_t i = 0; i < WORLD_WORKERS; i++) {
        struct world_worker *worker = &w->workers[i];
        if (!worker->connected && w->now >= worker->lapses) {
            forget_all(w, i);
        }
        if (worker->expires != 0 && w->now >= worker->expires) {
            worker->expires = 0;
            send_expired(w, i, worker->expires_incarnation);
        }
    }
    send(w, &e);
}

static void
restore_job(struct world *w, uint32_t i)
{
    struct world_job *j = &w->jobs[i];
    struct sched_event e = {.kind = SCHED_EVENT_RESTORE};

    send_job(w, j);
    for (uint32_t t = 0; t < j->event.tasks; t++) {
        const struct world_task *task = &j->tasks[t];
        if (!task->placed) {
            continue;
        }
        e.u.restore = (struct sched_restore_event){
            .job = i,
            .task = t,
            .state = task->committed,
            .failures = task->failures,
            .losses = task->losses,
        };
        for (guint n = 0; n < w->leases->len; n++) {
            const struct world_lease *l = g_ptr_array_index(w->leases, n);
            if (l->committed && l->job == i && l->task == t) {
                e.u.restore.lease = l->lease;
                e.u.restore.worker = l->worker;
                e.u.restore.size = l->size;
            }
        }
        send(w, &e);
    }
    if (j->cancelled) {
        e.kind = SCHED_EVENT_JOB_CANCEL;
        e.u.cancel_job = i;
        send(w, &e);
    }
}

static void
open_sched(struct world *w)
{
    struct sched_config config;

    sched_config_default(&config);
    config.next_lease = w->fault == FAULT_LEASE_REUSE ? 1 : w->max_lease + 1;
    config.start_grace_ns = 2 * NS_PER_S;
    config.retry_max_ns = 8 * NS_PER_S;
    config.reserve_after_ns = 3 * NS_PER_S;
    config.checkpoint_ns = NS_PER_S;
    config.quarantine_ns = 3 * NS_PER_S;
    config.quarantine_cap = 0.4;
    config.reclaim_part = WORLD_RECLAIM_PART;
    w->s = sched_create(&config, w->now);
    w->opened = w->now;
    w->stats = (struct sched_stats){0};
    w->epoch++;
    for (uint32_t t = 0; t < WORLD_TEAMS; t++) {
        send_team(w, t);
    }
}

/* Part of the log survives; the rest was never decided. */
static void
change_leader(struct world *w)
{
    guint kept = (guint)rng_below(&w->rng, w->log->len + 1);

    for (guint i = 0; i < kept; i++) {
        commit_one(w, false);
    }
    g_array_set_size(w->log, 0);
    sched_destroy(w->s);
    for (guint i = w->leases->len; i > 0; i--) {
        struct world_lease *l = g_ptr_array_index(w->leases, i - 1);
        l->live = l->committed;
        l->stop_wanted = false;
        l->checkpoint_wanted = false;
        if (l->lease > w->max_lease) {
            g_ptr_array_remove_index(w->leases, i - 1);
        }
    }
    for (uint32_t i = 0; i < WORLD_WORKERS; i++) {
        struct world_worker *worker = &w->workers[i];
        worker->expires = worker->connected ? worker->expires
                                            : w->now + LEASE_NS + MARGIN_NS;
        worker->expires_incarnation = worker->incarnation;
        worker->expires = worker->connected ? 0 : worker->expires;
    }
    open_sched(w);
    for (uint32_t i = 0; i < WORLD_JOBS; i++) {
        struct world_job *j = &w->jobs[i];
        for (uint32_t t = 0; t < WORLD_TASKS; t++) {
            j->tasks[t].state = j->tasks[t].committed;
        }
        j->ended = j->ended_committed;
        if (j->submitted && !j->ended &&
            !(w->fault == FAULT_LOST_JOB && i % 4 == 0)) {
            restore_job(w, i);
        }
    }
}

static void
change_limit(struct world *w)
{
    uint32_t team = (uint32_t)rng_below(&w->rng, WORLD_TEAMS);

    w->limits[team].tasks = between(w, 0, 12);
    w->limits[team].cpu_milli = between(w, 0, 30000);
    w->limits[team].memory_mib = between(w, 0, 30000);
    w->limits[team].accelerators = between(w, 0, 3);
    send_team(w, team);
}

static void
toggle_drain(struct world *w, uint32_t i)
{
    struct world_worker *worker = &w->workers[i];
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_DRAINING};

    if (worker->session_epoch == w->epoch) {
        worker->draining = !worker->draining;
        e.u.draining = (struct sched_draining_event){i, worker->draining};
        send(w, &e);
    }
}

/* Late or repeated news of any lease ever used. */
static void
stray_report(struct world *w)
{
    uint64_t lease = between(w, 1, w->max_lease + 1);
    struct sched_event e = {.kind = SCHED_EVENT_USAGE};
    const struct world_lease *l = world_lease(w, lease);

    e.u.usage = (struct sched_usage_event){
        .lease = lease,
        .cpu_milli = between(w, 0, 8000),
        .memory_mib = between(w, 0, 8000),
    };
    send(w, &e);
    send_lease(w, SCHED_EVENT_PLACEMENT_COMMITTED, w->max_lease);
    if (l != NULL && !l->live && l->run == RUN_GONE) {
        send_end(w, lease, (enum sched_end)rng_below(&w->rng, 6));
        send_lease(w, SCHED_EVENT_TASK_RUNNING, lease);
    }
}

void
world_step(struct world *w)
{
    uint32_t worker = (uint32_t)rng_below(&w->rng, WORLD_WORKERS);
    uint64_t dice = rng_below(&w->rng, 100);

    if (dice < 30) {
        pass_time(w, (int64_t)rng_below(&w->rng, 600) * NS_PER_MS);
    }
    else if (dice < 50) {
        commit_one(w, true);
    }
    else if (dice < 75) {
        sync_worker(w, worker);
    }
    else if (dice < 81) {
        submit(w);
    }
    else if (dice < 83) {
        cancel(w, (uint32_t)rng_below(&w->rng, WORLD_JOBS));
    }
    else if (dice < 86) {
        lose_worker(w, worker);
    }
    else if (dice < 91) {
        return_worker(w, worker);
    }
    else if (dice < 93) {
        change_limit(w);
    }
    else if (dice < 95) {
        change_leader(w);
    }
    else if (dice < 96) {
        toggle_drain(w, worker);
    }
    else if (dice < 97 && chance(w, 10)) {
        for (uint32_t i = 0; i < WORLD_JOBS; i++) {
            cancel(w, i);
        }
    }
    else {
        stray_report(w);
    }
}

void
world_finish(struct world *w)
{
    w->calm = true;
    for (uint32_t t = 0; t < WORLD_TEAMS; t++) {
        w->limits[t] = (struct sched_limits){1000, 1000000, 1000000, 1000};
        send_team(w, t);
    }
    for (int round = 0; round < 400; round++) {
        for (uint32_t i = 0; i < WORLD_WORKERS; i++) {
            return_worker(w, i);
            if (w->workers[i].draining) {
                toggle_drain(w, i);
            }
            sync_worker(w, i);
        }
        while (w->log->len > 0) {
            commit_one(w, true);
        }
        pass_time(w, NS_PER_S / 2);
    }
    check_finished(w);
}

void
world_open(struct world *w, uint64_t seed, enum world_fault fault)
{
    *w = (struct world){.fault = fault, .rng = {seed}, .now = NS_PER_S};
    w->leases = g_ptr_array_new_with_free_func(g_free);
    w->log = g_array_new(FALSE, FALSE, sizeof(struct sched_action));
    for (uint32_t i = 0; i < WORLD_WORKERS; i++) {
        struct world_worker *worker = &w->workers[i];
        worker->incarnation = 1;
        worker->alive = true;
        worker->connected = true;
        worker->capacity =
            (struct sched_size){between(w, 8000, 16000), 8000, i < 2 ? 2 : 0};
    }
    for (uint32_t t = 0; t < WORLD_TEAMS; t++) {
        w->limits[t] = (struct sched_limits){12, 30000, 30000, 3};
    }
    open_sched(w);
}

void
world_close(struct world *w)
{
    sched_destroy(w->s);
    sched_actions_free(&w->actions);
    g_ptr_array_free(w->leases, TRUE);
    g_array_free(w->log, TRUE);
}
