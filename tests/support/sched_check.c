#include "sched_world.h"

static void
violate(struct world *w, bool holds, const char *what)
{
    if (!holds && w->violation == NULL) {
        w->violation = what;
    }
}

static void
add(struct sched_limits *sum, const struct sched_size *size)
{
    sum->tasks++;
    sum->cpu_milli += size->cpu_milli;
    sum->memory_mib += size->memory_mib;
    sum->accelerators += size->accelerators;
}

/* A lease counts while it is decided or while the worker runs it. */
static bool
counts(const struct world_lease *l)
{
    return l->live || l->run == RUN_ACTIVE;
}

static void
check_place(struct world *w, const struct world_lease *l)
{
    const struct world_job *job = &w->jobs[l->job];
    const struct world_worker *worker = &w->workers[l->worker];
    const struct sched_limits *limit = &w->limits[job->event.team];
    struct sched_limits on_worker = {0};
    struct sched_limits of_team = {0};
    int copies = 0;

    for (guint i = 0; i < w->leases->len; i++) {
        const struct world_lease *o = g_ptr_array_index(w->leases, i);
        if (!counts(o)) {
            continue;
        }
        if (o->worker == l->worker) {
            add(&on_worker, &o->size);
        }
        if (w->jobs[o->job].event.team == job->event.team) {
            add(&of_team, &o->size);
        }
        copies += o->job == l->job && o->task == l->task;
    }
    violate(w, copies == 1, "one place");
    violate(w,
            on_worker.cpu_milli <= worker->capacity.cpu_milli &&
                on_worker.memory_mib <= worker->capacity.memory_mib &&
                on_worker.accelerators <= worker->capacity.accelerators,
            "capacity");
    violate(w,
            of_team.tasks <= limit->tasks &&
                of_team.cpu_milli <= limit->cpu_milli &&
                of_team.memory_mib <= limit->memory_mib &&
                of_team.accelerators <= limit->accelerators,
            "limit");
    violate(w, !job->ended, "placed after its outcome");
    violate(w, !job->cancelled, "placed after its cancellation");
}

/* After a step, a gang has all unfinished tasks under lease or none new. */
static void
check_gang(struct world *w, uint32_t job)
{
    const struct world_job *j = &w->jobs[job];
    uint32_t waiting = 0;

    for (uint32_t t = 0; t < j->event.tasks; t++) {
        waiting += j->tasks[t].state == SCHED_TASK_WAITING;
    }
    violate(w, waiting == 0, "gang placed in part");
}

static void
note_place(struct world *w, const struct sched_place_action *a)
{
    struct world_lease *l = g_new0(struct world_lease, 1);

    violate(w, world_lease(w, a->lease) == NULL, "lease used twice");
    l->lease = a->lease;
    l->job = (uint32_t)a->job;
    l->task = a->task;
    l->worker = a->worker;
    l->size = a->size;
    l->live = true;
    g_ptr_array_add(w->leases, l);
    w->jobs[a->job].tasks[a->task].state = SCHED_TASK_PLACED;
    check_place(w, l);
}

static void
note_start(struct world *w, struct world_lease *l)
{
    const struct world_job *j = &w->jobs[l->job];

    violate(w, l->live && l->committed, "start before the commit");
    if (j->event.class == SCHED_CLASS_GANG) {
        for (guint i = 0; i < w->leases->len; i++) {
            const struct world_lease *o = g_ptr_array_index(w->leases, i);
            violate(w, o->job != l->job || !o->live || o->committed,
                    "gang started in part");
        }
    }
    l->start_epoch = w->epoch;
    l->start_incarnation = w->workers[l->worker].session_incarnation;
}

static void
note_task(struct world *w, const struct sched_task_action *a)
{
    struct world_lease *l = world_lease(w, a->lease);

    violate(w, l != NULL && l->live, "end of a lease that is not live");
    if (l != NULL) {
        l->live = false;
    }
    w->jobs[a->job].tasks[a->task].state = a->state;
}

static void
note_outcome(struct world *w, const struct sched_outcome_action *a)
{
    struct world_job *j = &w->jobs[a->job];
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
        violate(w, done == j->event.tasks, "done without having run");
        break;
    case SCHED_OUTCOME_CANCELLED:
        violate(w, j->cancelled, "cancelled without being asked");
        break;
    case SCHED_OUTCOME_UNKNOWN:
        violate(w, !j->event.idempotent, "unknown though it may be repeated");
        break;
    case SCHED_OUTCOME_FAILED:
        break;
    }
    violate(w, !j->ended, "two outcomes");
    violate(w, starts == 0 || a->may_have_run, "said not to have run");
    j->ended = true;
}

/* Only started batch work that may be stopped is reclaimed, and once. */
static void
note_reclaim(struct world *w, const struct world_lease *l)
{
    const struct sched_job_event *e = &w->jobs[l->job].event;
    struct world_task *t = &w->jobs[l->job].tasks[l->task];

    violate(w,
            e->class == SCHED_CLASS_BATCH && e->idempotent && !e->urgent &&
                l->start_epoch != 0,
            "reclaimed what must go on");
    violate(w, t->reclaim_epoch != w->epoch, "reclaimed twice");
    t->reclaim_epoch = w->epoch;
}

/* Judges the steps whose only stops are for another account's share. */
static void
check_reclaims(struct world *w)
{
    struct sched_stats before = w->stats;
    double passed = (double)(w->now - w->opened) / NS_PER_S;
    size_t checkpoints = 0;
    uint64_t count;

    sched_stats(w->s, &w->stats);
    count = w->stats.reclaims - before.reclaims;
    /* At most each dimension is in use as the dominant one of an account. */
    violate(w,
            w->stats.reclaimed_s <=
                3 * WORLD_WORKERS * WORLD_RECLAIM_PART * passed,
            "reclaimed too much");
    for (size_t i = 0; i < w->actions.count; i++) {
        checkpoints += w->actions.items[i].kind == SCHED_ACTION_CHECKPOINT;
    }
    if (count == 0 || checkpoints != count ||
        w->stats.preemptions - before.preemptions != count) {
        return;
    }
    for (size_t i = 0; i < w->actions.count; i++) {
        const struct sched_action *a = &w->actions.items[i];
        if (a->kind == SCHED_ACTION_CHECKPOINT) {
            note_reclaim(w, world_lease(w, a->u.lease));
        }
    }
}

void
check_actions(struct world *w)
{
    check_reclaims(w);
    for (size_t i = 0; i < w->actions.count; i++) {
        const struct sched_action *a = &w->actions.items[i];
        switch (a->kind) {
        case SCHED_ACTION_PLACE:
            note_place(w, &a->u.place);
            break;
        case SCHED_ACTION_START:
            note_start(w, world_lease(w, a->u.lease));
            break;
        case SCHED_ACTION_TASK:
            note_task(w, &a->u.task);
            break;
        case SCHED_ACTION_JOB_OUTCOME:
            note_outcome(w, &a->u.outcome);
            break;
        default:
            break;
        }
    }
    for (size_t i = 0; i < w->actions.count; i++) {
        const struct sched_action *a = &w->actions.items[i];
        if (a->kind == SCHED_ACTION_PLACE &&
            w->jobs[a->u.place.job].event.class == SCHED_CLASS_GANG) {
            check_gang(w, (uint32_t)a->u.place.job);
        }
    }
}

void
check_start(struct world *w, const struct world_lease *l)
{
    const struct world_job *j = &w->jobs[l->job];
    int running = 0;

    for (guint i = 0; i < w->leases->len; i++) {
        const struct world_lease *o = g_ptr_array_index(w->leases, i);
        running +=
            o->job == l->job && o->task == l->task && o->run == RUN_ACTIVE;
    }
    violate(w, running == 1, "one place");
    violate(w, j->event.idempotent || j->tasks[l->task].starts <= 1,
            "started twice");
}

void
check_finished(struct world *w)
{
    for (int i = 0; i < WORLD_JOBS; i++) {
        const struct world_job *j = &w->jobs[i];
        violate(w, !j->submitted || j->ended_committed, "job lost");
    }
    for (guint i = 0; i < w->leases->len; i++) {
        const struct world_lease *l = g_ptr_array_index(w->leases, i);
        violate(w, !counts(l), "lease left over");
    }
}
