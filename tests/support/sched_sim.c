#include "sched_sim.h"

/* A disconnected worker stops its tasks after this time. */
static const int64_t WORKER_LEASE_NS = 5 * NS_PER_S;
/* The leader waits this much longer before it reports the worker expired. */
static const int64_t EXPIRY_MARGIN_NS = 100 * NS_PER_MS;

static bool
random_chance(struct sched_sim *sim, uint64_t percent)
{
    return rng_below(&sim->rng, 100) < percent;
}

/* Returns a number from low to high, both included. */
static uint64_t
random_between(struct sched_sim *sim, uint64_t low, uint64_t high)
{
    return low + rng_below(&sim->rng, high - low + 1);
}

struct sim_lease *
sched_sim_find_lease(struct sched_sim *sim, uint64_t lease)
{
    for (guint i = sim->leases->len; i > 0; i--) {
        struct sim_lease *l = g_ptr_array_index(sim->leases, i - 1);
        if (l->lease == lease) {
            return l;
        }
    }
    return NULL;
}

/*
 * Passes an event to the scheduler, checks the actions and appends those that
 * need a commit to the log.
 */
static void
send_event(struct sched_sim *sim, const struct sched_event *e)
{
    sched_actions_clear(&sim->actions);
    sched_step(sim->s, sim->now_ns, e, &sim->actions);
    sched_sim_check_actions(sim);
    for (size_t i = 0; i < sim->actions.count; i++) {
        const struct sched_action *a = &sim->actions.items[i];
        struct sim_lease *l;
        switch (a->kind) {
        case SCHED_ACTION_STOP:
        case SCHED_ACTION_CHECKPOINT:
            l = sched_sim_find_lease(sim, a->u.lease);
            l->stop_wanted |= a->kind == SCHED_ACTION_STOP;
            l->checkpoint_wanted |= a->kind == SCHED_ACTION_CHECKPOINT;
            break;
        case SCHED_ACTION_PLACE:
        case SCHED_ACTION_TASK:
        case SCHED_ACTION_JOB_OUTCOME:
            g_array_append_val(sim->log, *a);
            break;
        default:
            break;
        }
    }
}

static void
send_lease_event(struct sched_sim *sim, enum sched_event_kind kind,
                 uint64_t lease)
{
    struct sched_event e = {.kind = kind};

    e.u.lease = lease;
    send_event(sim, &e);
}

static void
send_task_ended(struct sched_sim *sim, uint64_t lease, enum sched_end end)
{
    struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};

    e.u.ended = (struct sched_ended_event){lease, end};
    send_event(sim, &e);
}

static void
send_team(struct sched_sim *sim, uint32_t team)
{
    struct sched_event e = {.kind = SCHED_EVENT_TEAM};

    e.u.team = (struct sched_team_event){team, team + 1, sim->limits[team]};
    if (sim->fault == FAULT_RAISED_LIMIT) {
        e.u.team.limits.tasks *= 3;
    }
    send_event(sim, &e);
}

static void
send_job(struct sched_sim *sim, const struct sim_job *j)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB};

    e.u.job = j->event;
    if (sim->fault == FAULT_ALL_IDEMPOTENT) {
        e.u.job.idempotent = true;
    }
    if (sim->fault == FAULT_GANG_AS_BATCH &&
        j->event.class == SCHED_CLASS_GANG) {
        e.u.job.class = SCHED_CLASS_BATCH;
    }
    send_event(sim, &e);
}

static void
fill_random_job(struct sched_sim *sim, struct sched_job_event *e)
{
    static const struct str names[] = {{"a", 1}, {"b", 1}, {"c", 1}};

    e->team = (uint32_t)rng_below(&sim->rng, SIM_TEAMS);
    e->name = names[rng_below(&sim->rng, 3)];
    e->class = (enum sched_class)rng_below(&sim->rng, 3);
    e->tasks = (uint32_t)random_between(sim, 1, SIM_MAX_TASKS);
    e->size.cpu_milli = random_between(sim, 100, 4000);
    e->size.memory_mib = random_between(sim, 10, 4000);
    e->size.accelerators = random_chance(sim, 15) ? 1 : 0;
    e->urgent = random_chance(sim, 15);
    e->idempotent = random_chance(sim, 60);
    e->open_queue = random_chance(sim, 20);
    e->run_time_ns = (int64_t)random_between(sim, 0, 3) * NS_PER_S;
    if (e->size.accelerators > 0 && e->class == SCHED_CLASS_GANG) {
        e->tasks = 2; /* the fleet has only 4 accelerators */
    }
}

/* Submits a random job under the next free number, if there is one. */
static void
submit_next_job(struct sched_sim *sim)
{
    for (uint32_t i = 0; i < SIM_JOBS; i++) {
        struct sim_job *j = &sim->jobs[i];
        if (!j->submitted) {
            j->submitted = true;
            j->event.job = i;
            fill_random_job(sim, &j->event);
            send_job(sim, j);
            return;
        }
    }
}

static void
cancel_job(struct sched_sim *sim, uint32_t i)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB_CANCEL};

    if (sim->jobs[i].submitted && !sim->jobs[i].outcome_decided) {
        sim->jobs[i].cancelled = true;
        e.u.cancel_job = i;
        send_event(sim, &e);
    }
}

/* Commits a placement; with a leader to notify, the commit may fail. */
static void
commit_placement(struct sched_sim *sim, const struct sched_place_action *a,
                 bool notify_leader)
{
    struct sim_lease *l = sched_sim_find_lease(sim, a->lease);
    bool failed =
        notify_leader && !sim->faults_disabled && random_chance(sim, 10);

    if (!failed) {
        l->committed = true;
        sim->jobs[a->job].tasks[a->task].committed_state = SCHED_TASK_PLACED;
        sim->jobs[a->job].tasks[a->task].placed = true;
        sim->max_lease = a->lease > sim->max_lease ? a->lease : sim->max_lease;
    }
    if (notify_leader) {
        send_lease_event(sim,
                         failed ? SCHED_EVENT_PLACEMENT_FAILED
                                : SCHED_EVENT_PLACEMENT_COMMITTED,
                         a->lease);
    }
}

/*
 * Commits the first entry of the log. notify_leader tells whether the current
 * scheduler gets the event; without it the commit happens as its leader fails.
 */
static void
commit_next(struct sched_sim *sim, bool notify_leader)
{
    struct sched_action a;
    struct sim_lease *l;
    struct sim_task *t;

    if (sim->log->len == 0) {
        return;
    }
    a = g_array_index(sim->log, struct sched_action, 0);
    g_array_remove_index(sim->log, 0);
    switch (a.kind) {
    case SCHED_ACTION_PLACE:
        commit_placement(sim, &a.u.place, notify_leader);
        break;
    case SCHED_ACTION_TASK:
        t = &sim->jobs[a.u.task.job].tasks[a.u.task.task];
        t->committed_state = a.u.task.state;
        t->failures = a.u.task.failures;
        t->losses = a.u.task.losses;
        l = sched_sim_find_lease(sim, a.u.task.lease);
        l->committed = false;
        if (l->run_state == RUN_FINISHED) {
            l->run_state = RUN_GONE; /* the worker got its acknowledgement */
        }
        break;
    default:
        if (a.u.outcome.outcome <= SCHED_OUTCOME_UNKNOWN) {
            sim->jobs[a.u.outcome.job].outcome_committed = true;
        }
        break;
    }
}

/* Starts the task of a lease on its worker. */
static void
begin_task(struct sched_sim *sim, struct sim_lease *l)
{
    struct sim_task *t = &sim->jobs[l->job].tasks[l->task];

    l->run_state = RUN_ACTIVE;
    l->ends_at_ns =
        sim->now_ns + (int64_t)random_between(sim, 100, 8000) * NS_PER_MS;
    l->end = !sim->faults_disabled && random_chance(sim, 15) ? SCHED_END_FAILED
                                                             : SCHED_END_DONE;
    t->starts++;
    sched_sim_check_task_start(sim, l);
}

/* Ends a task on its worker, which then reports the end. */
static void
finish_task(struct sched_sim *sim, struct sim_lease *l, enum sched_end end)
{
    if (l->run_state == RUN_ACTIVE && end == SCHED_END_DONE) {
        sim->jobs[l->job].tasks[l->task].completions++;
    }
    l->run_state = RUN_FINISHED;
    l->end = end;
}

/* Drops the leases of a worker whose process died or stopped its tasks. */
static void
forget_leases(struct sched_sim *sim, uint32_t worker)
{
    for (guint i = 0; i < sim->leases->len; i++) {
        struct sim_lease *l = g_ptr_array_index(sim->leases, i);
        if (l->worker == worker &&
            (l->run_state == RUN_ACTIVE || l->run_state == RUN_FINISHED)) {
            l->run_state = RUN_GONE;
        }
    }
}

/* Lets the worker act on a START, STOP or CHECKPOINT action of the lease. */
static void
deliver_commands(struct sched_sim *sim, struct sim_lease *l)
{
    const struct sim_worker *worker = &sim->workers[l->worker];

    if (l->run_state == RUN_UNKNOWN && l->committed &&
        l->start_epoch == sim->epoch &&
        l->start_incarnation == worker->incarnation) {
        if (l->stop_wanted) {
            finish_task(sim, l, SCHED_END_NEVER_STARTED);
        }
        else {
            begin_task(sim, l);
        }
    }
    else if (l->run_state == RUN_ACTIVE && l->stop_wanted) {
        finish_task(sim, l,
                    random_chance(sim, 10) ? SCHED_END_DONE
                                           : SCHED_END_STOPPED);
    }
    else if (l->run_state == RUN_ACTIVE && l->checkpoint_wanted &&
             random_chance(sim, 70)) {
        finish_task(sim, l, SCHED_END_CHECKPOINTED);
    }
}

/*
 * Reports the state of a lease to the leader. At the first synchronisation
 * with a leader, a committed lease that the worker does not know is lost.
 */
static void
report_lease(struct sched_sim *sim, struct sim_lease *l, bool first_sync)
{
    if (l->run_state == RUN_ACTIVE) {
        send_lease_event(sim, SCHED_EVENT_TASK_RUNNING, l->lease);
    }
    else if (l->run_state == RUN_FINISHED) {
        send_task_ended(sim, l->lease, l->end);
    }
    else if (first_sync && l->committed && l->start_epoch != sim->epoch) {
        l->run_state = RUN_GONE;
        send_task_ended(sim, l->lease, SCHED_END_LOST);
    }
}

static void
send_worker_up(struct sched_sim *sim, uint32_t i)
{
    static const struct str racks[] = {{"r0", 2}, {"r1", 2}, {"r2", 2}};
    struct sim_worker *worker = &sim->workers[i];
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};

    e.u.worker = (struct sched_worker_event){
        .worker = i,
        .incarnation = worker->incarnation,
        .capacity = worker->capacity,
        .rack = racks[i / 2],
        .failure_domain = racks[i % 2],
    };
    if (sim->fault == FAULT_DOUBLED_CAPACITY) {
        e.u.worker.capacity.cpu_milli *= 2;
        e.u.worker.capacity.memory_mib *= 2;
    }
    send_event(sim, &e);
    if (worker->draining) {
        e.kind = SCHED_EVENT_WORKER_DRAINING;
        e.u.draining = (struct sched_draining_event){i, true};
        send_event(sim, &e);
    }
    worker->session_epoch = sim->epoch;
    worker->session_incarnation = worker->incarnation;
}

/*
 * Synchronises a worker with the leader: it reports its leases starting at a
 * random one, some of them twice, and receives its commands.
 */
static void
sync_worker(struct sched_sim *sim, uint32_t i)
{
    struct sim_worker *worker = &sim->workers[i];
    bool first_sync = worker->session_epoch != sim->epoch;
    guint count = sim->leases->len;
    guint start = count == 0 ? 0 : (guint)rng_below(&sim->rng, count);

    if (!worker->alive || !worker->connected) {
        return;
    }
    if (first_sync || random_chance(sim, 10)) {
        send_worker_up(sim, i);
    }
    for (guint n = 0; n < count; n++) {
        struct sim_lease *l =
            g_ptr_array_index(sim->leases, (start + n) % count);
        if (l->worker != i) {
            continue;
        }
        if (l->run_state == RUN_ACTIVE && l->ends_at_ns <= sim->now_ns) {
            finish_task(sim, l, l->end);
        }
        report_lease(sim, l, first_sync);
        if (random_chance(sim, 20)) {
            report_lease(sim, l, false);
        }
        deliver_commands(sim, l);
    }
}

static void
send_worker_expired(struct sched_sim *sim, uint32_t i, uint64_t incarnation)
{
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_EXPIRED};

    e.u.expired = (struct sched_expired_event){i, incarnation};
    send_event(sim, &e);
}

/*
 * Disconnects a worker: either its process dies, or only its network fails and
 * its tasks run on until its lease ends.
 */
static void
disconnect_worker(struct sched_sim *sim, uint32_t i)
{
    struct sim_worker *worker = &sim->workers[i];

    if (!worker->alive || !worker->connected || worker->expiry_due_ns != 0) {
        return;
    }
    if (random_chance(sim, 50)) {
        worker->alive = false;
        forget_leases(sim, i);
    }
    worker->connected = false;
    worker->lease_ends_ns = sim->now_ns + WORKER_LEASE_NS;
    worker->expiry_due_ns = sim->now_ns + WORKER_LEASE_NS + EXPIRY_MARGIN_NS;
    worker->expiry_incarnation = worker->incarnation;
    if (sim->fault == FAULT_EARLY_EXPIRY) {
        send_worker_expired(sim, i, worker->incarnation);
    }
}

/* Reconnects a worker, under a new incarnation if its lease has ended. */
static void
reconnect_worker(struct sched_sim *sim, uint32_t i)
{
    struct sim_worker *worker = &sim->workers[i];

    if (worker->connected) {
        return;
    }
    worker->connected = true;
    if (worker->alive && sim->now_ns < worker->lease_ends_ns) {
        worker->expiry_due_ns = 0; /* the same session continues */
    }
    else {
        worker->alive = true;
        forget_leases(sim, i);
        worker->incarnation++;
        worker->draining = false;
        worker->session_epoch = 0;
    }
}

/* Advances the clock, expires disconnected workers that are due, and ticks. */
static void
advance_time(struct sched_sim *sim, int64_t ns)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};

    sim->now_ns += ns;
    for (uint32_t i = 0; i < SIM_WORKERS; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (!worker->connected && sim->now_ns >= worker->lease_ends_ns) {
            forget_leases(sim, i);
        }
        if (worker->expiry_due_ns != 0 &&
            sim->now_ns >= worker->expiry_due_ns) {
            worker->expiry_due_ns = 0;
            send_worker_expired(sim, i, worker->expiry_incarnation);
        }
    }
    send_event(sim, &e);
}

/* Gives a new leader's scheduler a job and the state of its tasks. */
static void
restore_job(struct sched_sim *sim, uint32_t i)
{
    struct sim_job *j = &sim->jobs[i];
    struct sched_event e = {.kind = SCHED_EVENT_RESTORE};

    send_job(sim, j);
    for (uint32_t t = 0; t < j->event.tasks; t++) {
        const struct sim_task *task = &j->tasks[t];
        if (!task->placed) {
            continue;
        }
        e.u.restore = (struct sched_restore_event){
            .job = i,
            .task = t,
            .state = task->committed_state,
            .failures = task->failures,
            .losses = task->losses,
        };
        for (guint n = 0; n < sim->leases->len; n++) {
            const struct sim_lease *l = g_ptr_array_index(sim->leases, n);
            if (l->committed && l->job == i && l->task == t) {
                e.u.restore.lease = l->lease;
                e.u.restore.worker = l->worker;
                e.u.restore.size = l->size;
            }
        }
        send_event(sim, &e);
    }
    if (j->cancelled) {
        e.kind = SCHED_EVENT_JOB_CANCEL;
        e.u.cancel_job = i;
        send_event(sim, &e);
    }
}

static void
create_scheduler(struct sched_sim *sim)
{
    struct sched_config config;

    sched_config_default(&config);
    config.next_lease =
        sim->fault == FAULT_LEASE_REUSE ? 1 : sim->max_lease + 1;
    config.start_grace_ns = 2 * NS_PER_S;
    config.retry_max_ns = 8 * NS_PER_S;
    config.reserve_after_ns = 3 * NS_PER_S;
    config.checkpoint_grace_ns = NS_PER_S;
    config.quarantine_ns = 3 * NS_PER_S;
    config.quarantine_max_fraction = 0.4;
    config.reclaim_max_fraction = SIM_RECLAIM_MAX_FRACTION;
    sim->s = sched_create(&config, sim->now_ns);
    sim->leader_start_ns = sim->now_ns;
    sim->stats = (struct sched_stats){0};
    sim->epoch++;
    for (uint32_t t = 0; t < SIM_TEAMS; t++) {
        send_team(sim, t);
    }
}

/*
 * Replaces the leader: a random prefix of the log is committed, the rest is
 * lost, and a new scheduler is restored from the committed state.
 */
static void
change_leader(struct sched_sim *sim)
{
    guint committed_count = (guint)rng_below(&sim->rng, sim->log->len + 1);

    for (guint i = 0; i < committed_count; i++) {
        commit_next(sim, false);
    }
    g_array_set_size(sim->log, 0);
    sched_destroy(sim->s);
    for (guint i = sim->leases->len; i > 0; i--) {
        struct sim_lease *l = g_ptr_array_index(sim->leases, i - 1);
        l->live = l->committed;
        l->stop_wanted = false;
        l->checkpoint_wanted = false;
        if (l->lease > sim->max_lease) {
            g_ptr_array_remove_index(sim->leases, i - 1);
        }
    }
    for (uint32_t i = 0; i < SIM_WORKERS; i++) {
        struct sim_worker *worker = &sim->workers[i];
        worker->expiry_due_ns =
            worker->connected
                ? worker->expiry_due_ns
                : sim->now_ns + WORKER_LEASE_NS + EXPIRY_MARGIN_NS;
        worker->expiry_incarnation = worker->incarnation;
        worker->expiry_due_ns = worker->connected ? 0 : worker->expiry_due_ns;
    }
    create_scheduler(sim);
    for (uint32_t i = 0; i < SIM_JOBS; i++) {
        struct sim_job *j = &sim->jobs[i];
        for (uint32_t t = 0; t < SIM_MAX_TASKS; t++) {
            j->tasks[t].scheduler_state = j->tasks[t].committed_state;
        }
        j->outcome_decided = j->outcome_committed;
        if (j->submitted && !j->outcome_decided &&
            !(sim->fault == FAULT_LOST_JOB && i % 4 == 0)) {
            restore_job(sim, i);
        }
    }
}

static void
change_team_limits(struct sched_sim *sim)
{
    uint32_t team = (uint32_t)rng_below(&sim->rng, SIM_TEAMS);

    sim->limits[team].tasks = random_between(sim, 0, 12);
    sim->limits[team].cpu_milli = random_between(sim, 0, 30000);
    sim->limits[team].memory_mib = random_between(sim, 0, 30000);
    sim->limits[team].accelerators = random_between(sim, 0, 3);
    send_team(sim, team);
}

static void
toggle_draining(struct sched_sim *sim, uint32_t i)
{
    struct sim_worker *worker = &sim->workers[i];
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_DRAINING};

    if (worker->session_epoch == sim->epoch) {
        worker->draining = !worker->draining;
        e.u.draining = (struct sched_draining_event){i, worker->draining};
        send_event(sim, &e);
    }
}

/* Sends late or repeated events for a lease that may have ended long ago. */
static void
send_stray_reports(struct sched_sim *sim)
{
    uint64_t lease = random_between(sim, 1, sim->max_lease + 1);
    struct sched_event e = {.kind = SCHED_EVENT_USAGE};
    const struct sim_lease *l = sched_sim_find_lease(sim, lease);

    e.u.usage = (struct sched_usage_event){
        .lease = lease,
        .cpu_milli = random_between(sim, 0, 8000),
        .memory_mib = random_between(sim, 0, 8000),
    };
    send_event(sim, &e);
    send_lease_event(sim, SCHED_EVENT_PLACEMENT_COMMITTED, sim->max_lease);
    if (l != NULL && !l->live && l->run_state == RUN_GONE) {
        send_task_ended(sim, lease, (enum sched_end)rng_below(&sim->rng, 6));
        send_lease_event(sim, SCHED_EVENT_TASK_RUNNING, lease);
    }
}

void
sched_sim_step(struct sched_sim *sim)
{
    uint32_t worker = (uint32_t)rng_below(&sim->rng, SIM_WORKERS);
    uint64_t draw = rng_below(&sim->rng, 100);

    if (draw < 30) {
        advance_time(sim, (int64_t)rng_below(&sim->rng, 600) * NS_PER_MS);
    }
    else if (draw < 50) {
        commit_next(sim, true);
    }
    else if (draw < 75) {
        sync_worker(sim, worker);
    }
    else if (draw < 81) {
        submit_next_job(sim);
    }
    else if (draw < 83) {
        cancel_job(sim, (uint32_t)rng_below(&sim->rng, SIM_JOBS));
    }
    else if (draw < 86) {
        disconnect_worker(sim, worker);
    }
    else if (draw < 91) {
        reconnect_worker(sim, worker);
    }
    else if (draw < 93) {
        change_team_limits(sim);
    }
    else if (draw < 95) {
        change_leader(sim);
    }
    else if (draw < 96) {
        toggle_draining(sim, worker);
    }
    else if (draw < 97 && random_chance(sim, 10)) {
        for (uint32_t i = 0; i < SIM_JOBS; i++) {
            cancel_job(sim, i);
        }
    }
    else {
        send_stray_reports(sim);
    }
}

void
sched_sim_finish(struct sched_sim *sim)
{
    sim->faults_disabled = true;
    for (uint32_t t = 0; t < SIM_TEAMS; t++) {
        sim->limits[t] = (struct sched_limits){1000, 1000000, 1000000, 1000};
        send_team(sim, t);
    }
    for (int round = 0; round < 400; round++) {
        for (uint32_t i = 0; i < SIM_WORKERS; i++) {
            reconnect_worker(sim, i);
            if (sim->workers[i].draining) {
                toggle_draining(sim, i);
            }
            sync_worker(sim, i);
        }
        while (sim->log->len > 0) {
            commit_next(sim, true);
        }
        advance_time(sim, NS_PER_S / 2);
    }
    sched_sim_check_finished(sim);
}

void
sched_sim_open(struct sched_sim *sim, uint64_t seed, enum sim_fault fault)
{
    *sim =
        (struct sched_sim){.fault = fault, .rng = {seed}, .now_ns = NS_PER_S};
    sim->leases = g_ptr_array_new_with_free_func(g_free);
    sim->log = g_array_new(FALSE, FALSE, sizeof(struct sched_action));
    for (uint32_t i = 0; i < SIM_WORKERS; i++) {
        struct sim_worker *worker = &sim->workers[i];
        worker->incarnation = 1;
        worker->alive = true;
        worker->connected = true;
        worker->capacity = (struct sched_size){
            random_between(sim, 8000, 16000), 8000, i < 2 ? 2 : 0};
    }
    for (uint32_t t = 0; t < SIM_TEAMS; t++) {
        sim->limits[t] = (struct sched_limits){12, 30000, 30000, 3};
    }
    create_scheduler(sim);
}

void
sched_sim_close(struct sched_sim *sim)
{
    sched_destroy(sim->s);
    sched_actions_free(&sim->actions);
    g_ptr_array_free(sim->leases, TRUE);
    g_array_free(sim->log, TRUE);
}
