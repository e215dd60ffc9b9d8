#include "core.h"

#include "mem.h"

/* A usage sample this far above the size is not a rounding error. */
static const int64_t OUTGROWN_PERCENT = 105;
/* Room above what a task was seen to use when it outgrew its size. */
static const int64_t REGROW_PERCENT = 125;
/* Tasks of unknown run time are expected to end after those that are known. */
static const int64_t RUN_UNKNOWN_NS = 3600 * NS_PER_S;
static const int64_t THROTTLE_REPEAT_NS = 10 * NS_PER_S;

struct lease *
lease_create(struct sched *s, struct job *j, uint32_t task, struct worker *w,
             const struct vec *size, uint64_t id)
{
    struct lease *l = mem_zalloc(1, sizeof(*l));
    int64_t expected = expected_run_ns(j, 0.5);

    l->id = id;
    l->job = j;
    l->task = task;
    l->worker = w;
    l->size = *size;
    l->began = s->now;
    link_init(&l->on_worker, l);
    link_init(&l->of_job, l);
    link_init(&l->dropped, l);
    fit_node_init(&l->victim, l, id);
    fit_node_init(&l->ends, l, id);
    timer_init(&l->stop, TIMER_STOP, l);
    link_insert_before(&w->leases, &l->on_worker);
    link_insert_before(&j->leases, &l->of_job);
    map_put_u64(s->leases, id, l);
    j->tasks[task].lease = l;
    j->tasks[task].state = SCHED_TASK_PLACED;
    j->live++;
    if (lease_preemptible(l)) {
        worker_count_stoppable(w, size, 1);
    }
    worker_charge(s, w, size, 1);
    team_charge(s, l);
    spread_count(l, 1);
    if (j->class != SCHED_CLASS_SERVICE) {
        l->ends.key = s->now + (expected > 0 ? expected : RUN_UNKNOWN_NS);
        l->ends.own = *size;
        fit_insert(&s->ends, &l->ends);
    }
    return l;
}

struct lease *
lease_place(struct sched *s, struct job *j, uint32_t task, struct worker *w,
            const struct vec *size)
{
    struct lease *l = lease_create(s, j, task, w, size, s->next_lease++);
    struct sched_place_action *a = &emit(s, SCHED_ACTION_PLACE)->u.place;

    l->incarnation = w->incarnation;
    a->job = j->id;
    a->task = task;
    a->worker = w->id;
    a->lease = l->id;
    a->size.cpu_milli = (uint64_t)size->d[DIM_CPU];
    a->size.memory_mib = (uint64_t)size->d[DIM_MEMORY];
    a->size.accelerators = (uint64_t)size->d[DIM_ACCELERATORS];
    if (j->class == SCHED_CLASS_GANG) {
        j->policy.gang.uncommitted++;
    }
    s->stats.decisions++;
    return l;
}

void
lease_free(struct sched *s, struct lease *l)
{
    timer_clear(s, &l->stop);
    fit_remove(&s->ends, &l->ends);
    link_remove(&l->on_worker);
    link_remove(&l->of_job);
    link_remove(&l->dropped);
    map_del_u64(s->leases, l->id);
    mem_free(l);
}

static void
start(struct sched *s, struct lease *l)
{
    l->state = LEASE_STARTED;
    l->job->may_have_run = true;
    emit_lease(s, SCHED_ACTION_START, l);
}

/* No member of a gang starts before all placements are committed. */
static void
start_gang(struct sched *s, struct job *j)
{
    for (struct link *l = j->leases.next; l != &j->leases; l = l->next) {
        if (((struct lease *)l->owner)->drop) {
            return;
        }
    }
    for (struct link *l = j->leases.next; l != &j->leases; l = l->next) {
        struct lease *lease = l->owner;
        if (lease->state == LEASE_COMMITTED) {
            start(s, lease);
        }
    }
}

static void
defer_end(struct sched *s, struct lease *l)
{
    link_remove(&l->dropped);
    link_insert_before(&s->dropped, &l->dropped);
}

void
lease_committed(struct sched *s, uint64_t id)
{
    struct lease *l = map_get_u64(s->leases, id);

    if (l == NULL || l->state != LEASE_PLACING) {
        return;
    }
    l->state = LEASE_COMMITTED;
    if (l->job->class == SCHED_CLASS_GANG) {
        l->job->policy.gang.uncommitted--;
    }
    if (l->drop) {
        defer_end(s, l);
    }
    else if (!l->worker->up || l->worker->incarnation != l->incarnation) {
        lease_stop(s, l, 0);
    }
    else if (l->job->class != SCHED_CLASS_GANG) {
        start(s, l);
    }
    if (l->job->class == SCHED_CLASS_GANG &&
        l->job->policy.gang.uncommitted == 0) {
        start_gang(s, l->job);
    }
}

void
lease_failed(struct sched *s, uint64_t id)
{
    struct lease *l = map_get_u64(s->leases, id);

    if (l == NULL || l->state != LEASE_PLACING) {
        return;
    }
    if (l->job->class == SCHED_CLASS_GANG) {
        l->job->policy.gang.uncommitted--;
    }
    l->state = LEASE_COMMITTED;
    lease_finish(s, l, SCHED_END_NEVER_STARTED);
}

void
lease_running(struct sched *s, uint64_t id)
{
    struct lease *l = map_get_u64(s->leases, id);

    if (l == NULL || l->state != LEASE_STARTED) {
        return;
    }
    l->state = LEASE_RUNNING;
    l->began = s->now;
    if (l->incarnation == 0 && l->worker->up) {
        l->incarnation = l->worker->incarnation;
    }
}

void
lease_ended(struct sched *s, const struct sched_ended_event *e)
{
    struct lease *l = map_get_u64(s->leases, e->lease);

    /* No worker has been told of an uncommitted lease. */
    if (l != NULL && l->state >= LEASE_STARTED) {
        lease_finish(s, l, e->end);
    }
}

bool
lease_preemptible(const struct lease *l)
{
    const struct job *j = l->job;

    return !l->stopping && !l->planned && !j->urgent && j->idempotent &&
           j->class != SCHED_CLASS_GANG;
}

static void
mark_stopping(struct sched *s, struct lease *l)
{
    if (!l->stopping) {
        if (lease_preemptible(l)) {
            worker_count_stoppable(l->worker, &l->size, -1);
            worker_update_stoppable(s, l->worker);
        }
        l->stopping = true;
        vec_add(&l->job->account->team->stopping, &l->size);
    }
}

/*
 * Ends a lease: by checkpoint, and by stop once grace_ns has passed; at once
 * with a grace of 0. One that was not started ends without its worker.
 */
void
lease_stop(struct sched *s, struct lease *l, int64_t grace_ns)
{
    bool told = l->stopping;

    if (l->stop_sent || l->drop) {
        return;
    }
    mark_stopping(s, l);
    if (l->state <= LEASE_COMMITTED) {
        l->drop = true;
        if (l->state == LEASE_COMMITTED) {
            defer_end(s, l);
        }
        return;
    }
    if (grace_ns == 0) {
        l->stop_sent = true;
        timer_clear(s, &l->stop);
        emit_lease(s, SCHED_ACTION_STOP, l);
        return;
    }
    if (!told) {
        emit_lease(s, SCHED_ACTION_CHECKPOINT, l);
    }
    if (grace_ns != DEADLINE_NONE &&
        (l->stop.node.pos == 0 || l->stop.node.key > s->now + grace_ns)) {
        timer_set(s, &l->stop, s->now + grace_ns);
    }
}

void
lease_stop_overdue(struct sched *s, struct lease *l)
{
    lease_stop(s, l, 0);
}

/* Ends leases whose end was noticed while lists were being walked. */
void
leases_drop(struct sched *s)
{
    struct lease *l;

    while ((l = link_first(&s->dropped)) != NULL) {
        lease_finish(s, l,
                     l->state <= LEASE_COMMITTED ? SCHED_END_NEVER_STARTED
                                                 : SCHED_END_LOST);
    }
}

/* Whether the end says that what the task did, if anything, is unknown. */
static bool
outcome_unknown(const struct lease *l, enum sched_end end)
{
    if (l->job->idempotent || end == SCHED_END_NEVER_STARTED) {
        return false;
    }
    return end == SCHED_END_LOST ||
           (end != SCHED_END_DONE && l->stopping && !l->job->cancelled &&
            !l->job->failed) ||
           ((end == SCHED_END_STOPPED || end == SCHED_END_CHECKPOINTED) &&
            !l->stopping);
}

static enum sched_task_state
after_failure(struct sched *s, struct lease *l)
{
    struct job *j = l->job;
    struct task *t = &j->tasks[l->task];

    if (s->now - l->began >= s->config.stable_ns) {
        t->failures = 0;
    }
    t->failures++;
    if (j->idempotent && t->failures < s->config.max_failures) {
        return SCHED_TASK_WAITING;
    }
    j->reason = SCHED_REASON_FAILURES;
    return SCHED_TASK_FAILED;
}

static enum sched_task_state
after_loss(struct sched *s, struct lease *l)
{
    struct task *t = &l->job->tasks[l->task];

    t->losses++;
    if (t->losses < s->config.max_losses) {
        return SCHED_TASK_WAITING;
    }
    l->job->reason = SCHED_REASON_LOSSES;
    return SCHED_TASK_FAILED;
}

static enum sched_task_state
next_state(struct sched *s, struct lease *l, enum sched_end end)
{
    if (end == SCHED_END_DONE) {
        return SCHED_TASK_DONE;
    }
    if (outcome_unknown(l, end)) {
        return SCHED_TASK_UNKNOWN;
    }
    if (l->job->cancelled || l->job->failed) {
        return SCHED_TASK_CANCELLED;
    }
    /* A task that is told to end may report the signal as a failure. */
    if (end == SCHED_END_FAILED && !l->stopping) {
        return after_failure(s, l);
    }
    if (end == SCHED_END_LOST) {
        return after_loss(s, l);
    }
    return SCHED_TASK_WAITING;
}

static void
emit_task(struct sched *s, const struct lease *l, const struct task *t)
{
    struct sched_task_action *a = &emit(s, SCHED_ACTION_TASK)->u.task;

    a->job = l->job->id;
    a->task = l->task;
    a->lease = l->id;
    a->worker = l->worker->id;
    a->state = t->state;
    a->failures = t->failures;
    a->losses = t->losses;
}

static void
requeue(struct sched *s, struct job *j, uint32_t task, enum sched_end end)
{
    const struct task *t = &j->tasks[task];

    if (end == SCHED_END_FAILED || end == SCHED_END_LOST) {
        uint32_t times = t->failures + t->losses;
        job_delay(s, j, task, times > 0 ? times - 1 : 0);
    }
    else if (end == SCHED_END_NEVER_STARTED) {
        job_delay(s, j, task, 0);
    }
    else {
        job_put_back(s, j, task);
    }
}

/* The lease has certainly ended; it counts no more. */
void
lease_finish(struct sched *s, struct lease *l, enum sched_end end)
{
    struct job *j = l->job;
    struct worker *w = l->worker;
    struct task *t = &j->tasks[l->task];
    bool fault = end == SCHED_END_FAILED && !l->stopping;
    uint32_t task = l->task;

    t->state = next_state(s, l, end);
    t->lease = NULL;
    emit_task(s, l, t);
    if (fault || end == SCHED_END_DONE) {
        quarantine_note(s, w, j->profile, fault);
        learn_end(s, l, end);
    }
    else {
        learn_end(s, l, SCHED_END_STOPPED);
    }
    if (lease_preemptible(l)) {
        worker_count_stoppable(w, &l->size, -1);
    }
    spread_count(l, -1);
    team_release(s, l);
    worker_charge(s, w, &l->size, -1);
    lease_free(s, l);
    j->live--;
    worker_maybe_forget(s, w);
    switch (t->state) {
    case SCHED_TASK_WAITING:
        requeue(s, j, task, end);
        break;
    case SCHED_TASK_DONE:
        j->done++;
        break;
    case SCHED_TASK_UNKNOWN:
        j->unknown = true;
        job_end(s, j, SCHED_REASON_MAY_HAVE_RUN);
        break;
    case SCHED_TASK_FAILED:
        job_end(s, j, j->reason);
        break;
    default:
        break;
    }
    job_settle(s, j);
}

/* A throttle is repeated, because a report may be older than the last one. */
static void
throttle(struct sched *s, struct lease *l)
{
    if (l->throttled == 0 || s->now - l->throttled >= THROTTLE_REPEAT_NS) {
        l->throttled = s->now;
        emit_lease(s, SCHED_ACTION_THROTTLE, l);
    }
}

/* It restarts elsewhere with more memory, if there can be more. */
static void
outgrew_memory(struct sched *s, struct lease *l, int64_t memory)
{
    struct job *j = l->job;
    struct vec grown = l->size;

    grown.d[DIM_MEMORY] = memory * REGROW_PERCENT / 100;
    if (l->outgrew || l->stopping) {
        return;
    }
    if (!j->idempotent || j->class == SCHED_CLASS_GANG ||
        !fleet_fits(s, &grown) ||
        !vec_covers(&j->account->team->limit, &grown)) {
        throttle(s, l);
        return;
    }
    l->outgrew = true;
    if (j->grown.d[DIM_MEMORY] < grown.d[DIM_MEMORY]) {
        j->grown.d[DIM_MEMORY] = grown.d[DIM_MEMORY];
    }
    lease_stop(s, l, s->config.checkpoint_ns);
}

void
lease_usage(struct sched *s, const struct sched_usage_event *e)
{
    struct lease *l = map_get_u64(s->leases, e->lease);
    int64_t cpu;
    int64_t memory;

    if (l == NULL || l->state < LEASE_STARTED) {
        return;
    }
    cpu = vec_of(&(struct sched_size){.cpu_milli = e->cpu_milli}).d[DIM_CPU];
    memory = vec_of(&(struct sched_size){.memory_mib = e->memory_mib})
                 .d[DIM_MEMORY];
    l->peak_cpu = (uint64_t)cpu > l->peak_cpu ? (uint64_t)cpu : l->peak_cpu;
    if ((uint64_t)memory > l->peak_memory) {
        l->peak_memory = (uint64_t)memory;
    }
    if (memory * 100 > l->size.d[DIM_MEMORY] * OUTGROWN_PERCENT) {
        outgrew_memory(s, l, memory);
    }
    else if (cpu * 100 > l->size.d[DIM_CPU] * OUTGROWN_PERCENT) {
        throttle(s, l);
    }
}
