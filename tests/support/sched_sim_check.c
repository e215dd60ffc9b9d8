#include "sched_sim.h"

/* Records message as the violation if holds is false and none is recorded. */
static void
check_invariant(struct sched_sim *sim, bool holds, const char *message)
{
    if (!holds && sim->violation == NULL) {
        sim->violation = message;
    }
}

static void
add_usage(struct sched_limits *sum, const struct sched_size *size)
{
    sum->tasks++;
    sum->cpu_milli += size->cpu_milli;
    sum->memory_mib += size->memory_mib;
    sum->accelerators += size->accelerators;
}

/*
 * Whether a lease counts against capacity and limits: while the scheduler has
 * not ended it, or while the worker runs its task.
 */
static bool
is_counted(const struct sim_lease *l)
{
    return l->live || l->run_state == RUN_ACTIVE;
}

/* Checks a new placement against capacity, limits and the job's state. */
static void
check_placement(struct sched_sim *sim, const struct sim_lease *l)
{
    const struct sim_job *job = &sim->jobs[l->job];
    const struct sim_worker *worker = &sim->workers[l->worker];
    const struct sched_limits *limit = &sim->limits[job->event.team];
    struct sched_limits worker_usage = {0};
    struct sched_limits team_usage = {0};
    int copies = 0;

    for (guint i = 0; i < sim->leases->len; i++) {
        const struct sim_lease *other = g_ptr_array_index(sim->leases, i);
        if (!is_counted(other)) {
            continue;
        }
        if (other->worker == l->worker) {
            add_usage(&worker_usage, &other->size);
        }
        if (sim->jobs[other->job].event.team == job->event.team) {
            add_usage(&team_usage, &other->size);
        }
        copies += other->job == l->job && other->task == l->task;
    }
    check_invariant(sim, copies == 1, "task active more than once");
    check_invariant(
        sim,
        worker_usage.cpu_milli <= worker->capacity.cpu_milli &&
            worker_usage.memory_mib <= worker->capacity.memory_mib &&
            worker_usage.accelerators <= worker->capacity.accelerators,
        "worker capacity exceeded");
    check_invariant(sim,
                    team_usage.tasks <= limit->tasks &&
                        team_usage.cpu_milli <= limit->cpu_milli &&
                        team_usage.memory_mib <= limit->memory_mib &&
                        team_usage.accelerators <= limit->accelerators,
                    "team limit exceeded");
    check_invariant(sim, !job->outcome_decided,
                    "task placed after the job's outcome");
    check_invariant(sim, !job->cancelled,
                    "task placed after the job's cancellation");
}

/*
 * Checks that an event which placed tasks of a gang left none of the gang's
 * tasks waiting.
 */
static void
check_gang(struct sched_sim *sim, uint32_t job)
{
    const struct sim_job *j = &sim->jobs[job];
    uint32_t waiting = 0;

    for (uint32_t t = 0; t < j->event.tasks; t++) {
        waiting += j->tasks[t].scheduler_state == SCHED_TASK_WAITING;
    }
    check_invariant(sim, waiting == 0, "gang placed partially");
}

static void
record_placement(struct sched_sim *sim, const struct sched_place_action *a)
{
    struct sim_lease *l = g_new0(struct sim_lease, 1);

    check_invariant(sim, sched_sim_find_lease(sim, a->lease) == NULL,
                    "lease number used twice");
    l->lease = a->lease;
    l->job = (uint32_t)a->job;
    l->task = a->task;
    l->worker = a->worker;
    l->size = a->size;
    l->live = true;
    g_ptr_array_add(sim->leases, l);
    sim->jobs[a->job].tasks[a->task].scheduler_state = SCHED_TASK_PLACED;
    check_placement(sim, l);
}

/*
 * Checks that a START action follows the commit, for a gang the commits of all
 * its placements, and records the session that it was sent in.
 */
static void
check_start_action(struct sched_sim *sim, struct sim_lease *l)
{
    const struct sim_job *j = &sim->jobs[l->job];

    check_invariant(sim, l->live && l->committed, "START before the commit");
    if (j->event.class == SCHED_CLASS_GANG) {
        for (guint i = 0; i < sim->leases->len; i++) {
            const struct sim_lease *other = g_ptr_array_index(sim->leases, i);
            check_invariant(
                sim, other->job != l->job || !other->live || other->committed,
                "gang started partially");
        }
    }
    l->start_epoch = sim->epoch;
    l->start_incarnation = sim->workers[l->worker].session_incarnation;
}

static void
record_task_state(struct sched_sim *sim, const struct sched_task_action *a)
{
    struct sim_lease *l = sched_sim_find_lease(sim, a->lease);

    check_invariant(sim, l != NULL && l->live,
                    "TASK action for a lease that is not live");
    if (l != NULL) {
        l->live = false;
    }
    sim->jobs[a->job].tasks[a->task].scheduler_state = a->state;
}

static void
check_outcome(struct sched_sim *sim, const struct sched_outcome_action *a)
{
    struct sim_job *j = &sim->jobs[a->job];
    uint32_t starts = 0;
    uint32_t done = 0;

    for (uint32_t t = 0; t < j->event.tasks; t++) {
        starts += j->tasks[t].starts;
        done += j->tasks[t].completions > 0;
    }
    switch (a->outcome) {
    case SCHED_OUTCOME_UNSCHEDULABLE:
    case SCHED_OUTCOME_SCHEDULABLE:
        return;
    case SCHED_OUTCOME_DONE:
        check_invariant(sim, done == j->event.tasks,
                        "job done although a task never completed");
        break;
    case SCHED_OUTCOME_CANCELLED:
        check_invariant(sim, j->cancelled, "job cancelled without a request");
        break;
    case SCHED_OUTCOME_UNKNOWN:
        check_invariant(sim, !j->event.idempotent,
                        "idempotent job with unknown outcome");
        break;
    case SCHED_OUTCOME_FAILED:
        break;
    }
    check_invariant(sim, !j->outcome_decided,
                    "job with two terminal outcomes");
    check_invariant(sim, starts == 0 || a->may_have_run,
                    "may_have_run false although a task started");
    j->outcome_decided = true;
}

/*
 * Checks that a reclaimed task is idempotent, not urgent, of a batch job and
 * started, and that a leader reclaims it only once.
 */
static void
check_reclaim(struct sched_sim *sim, const struct sim_lease *l)
{
    const struct sched_job_event *e = &sim->jobs[l->job].event;
    struct sim_task *t = &sim->jobs[l->job].tasks[l->task];

    check_invariant(sim,
                    e->class == SCHED_CLASS_BATCH && e->idempotent &&
                        !e->urgent && l->start_epoch != 0,
                    "reclaimed a task that must not be reclaimed");
    check_invariant(sim, t->reclaim_epoch != sim->epoch,
                    "task reclaimed twice by one leader");
    t->reclaim_epoch = sim->epoch;
}

/*
 * Checks the run time lost by reclaiming, and each reclaimed task if all
 * checkpoints of this event are due to reclaiming; otherwise the actions do
 * not tell which ones are.
 */
static void
check_reclaims(struct sched_sim *sim)
{
    struct sched_stats before = sim->stats;
    double elapsed_s = (double)(sim->now_ns - sim->leader_start_ns) / NS_PER_S;
    size_t checkpoints = 0;
    uint64_t count;

    sched_stats(sim->s, &sim->stats);
    count = sim->stats.reclaims - before.reclaims;
    /* Each of the three resources may be the dominant one of an account. */
    check_invariant(sim,
                    sim->stats.reclaimed_s <=
                        3 * SIM_WORKERS * SIM_RECLAIM_MAX_FRACTION * elapsed_s,
                    "reclaimed more run time than allowed");
    for (size_t i = 0; i < sim->actions.count; i++) {
        checkpoints += sim->actions.items[i].kind == SCHED_ACTION_CHECKPOINT;
    }
    if (count == 0 || checkpoints != count ||
        sim->stats.preemptions - before.preemptions != count) {
        return;
    }
    for (size_t i = 0; i < sim->actions.count; i++) {
        const struct sched_action *a = &sim->actions.items[i];
        if (a->kind == SCHED_ACTION_CHECKPOINT) {
            check_reclaim(sim, sched_sim_find_lease(sim, a->u.lease));
        }
    }
}

void
sched_sim_check_actions(struct sched_sim *sim)
{
    check_reclaims(sim);
    for (size_t i = 0; i < sim->actions.count; i++) {
        const struct sched_action *a = &sim->actions.items[i];
        switch (a->kind) {
        case SCHED_ACTION_PLACE:
            record_placement(sim, &a->u.place);
            break;
        case SCHED_ACTION_START:
            check_start_action(sim, sched_sim_find_lease(sim, a->u.lease));
            break;
        case SCHED_ACTION_TASK:
            record_task_state(sim, &a->u.task);
            break;
        case SCHED_ACTION_JOB_OUTCOME:
            check_outcome(sim, &a->u.outcome);
            break;
        default:
            break;
        }
    }
    for (size_t i = 0; i < sim->actions.count; i++) {
        const struct sched_action *a = &sim->actions.items[i];
        if (a->kind == SCHED_ACTION_PLACE &&
            sim->jobs[a->u.place.job].event.class == SCHED_CLASS_GANG) {
            check_gang(sim, (uint32_t)a->u.place.job);
        }
    }
}

void
sched_sim_check_task_start(struct sched_sim *sim, const struct sim_lease *l)
{
    const struct sim_job *j = &sim->jobs[l->job];
    int running = 0;

    for (guint i = 0; i < sim->leases->len; i++) {
        const struct sim_lease *other = g_ptr_array_index(sim->leases, i);
        running += other->job == l->job && other->task == l->task &&
                   other->run_state == RUN_ACTIVE;
    }
    check_invariant(sim, running == 1, "task active more than once");
    check_invariant(sim, j->event.idempotent || j->tasks[l->task].starts <= 1,
                    "non-idempotent task started twice");
}

void
sched_sim_check_finished(struct sched_sim *sim)
{
    for (int i = 0; i < SIM_JOBS; i++) {
        const struct sim_job *j = &sim->jobs[i];
        check_invariant(sim, !j->submitted || j->outcome_committed,
                        "submitted job without committed outcome");
    }
    for (guint i = 0; i < sim->leases->len; i++) {
        const struct sim_lease *l = g_ptr_array_index(sim->leases, i);
        check_invariant(sim, !is_counted(l),
                        "lease still active after all jobs ended");
    }
}
