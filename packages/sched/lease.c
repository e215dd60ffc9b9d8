#include "core.h"

#include "mem.h"

/*
 * Percentage of its size at which a task counts as exceeding it; usage
 * slightly above the size may be a rounding error.
 */
static const int64_t EXCEEDED_PERCENT = 105;
/*
 * After a task has exceeded its memory, its next request is this percentage of
 * the memory it was seen to use.
 */
static const int64_t RAISED_MEMORY_PERCENT = 125;
/*
 * Expected run time of a task whose run time is unknown; long, so that such
 * tasks are expected to end after those whose run time is known.
 */
static const int64_t UNKNOWN_RUN_TIME_NS = 3600 * NS_PER_S;
static const int64_t THROTTLE_REPEAT_NS = 10 * NS_PER_S;

struct lease *
lease_create(struct sched *s, struct job *j, uint32_t task, struct worker *w,
             const struct vec *size, uint64_t id)
{
    struct lease *l = mem_zalloc(1, sizeof(*l));
    int64_t expected = expected_run_time_ns(j, 0.5);

    l->id = id;
    l->job = j;
    l->task = task;
    l->worker = w;
    l->size = *size;
    l->began_ns = s->now;
    link_init(&l->on_worker, l);
    link_init(&l->of_job, l);
    link_init(&l->deferred_link, l);
    fit_node_init(&l->victim_node, l, id);
    fit_node_init(&l->end_node, l, id);
    timer_init(&l->stop_timer, TIMER_STOP, l);
    link_insert_before(&w->leases, &l->on_worker);
    link_insert_before(&j->leases, &l->of_job);
    map_put_u64(s->leases, id, l);
    j->tasks[task].lease = l;
    j->tasks[task].state = SCHED_TASK_PLACED;
    j->active_count++;
    if (lease_is_preemptible(l)) {
        worker_add_stoppable(w, size, 1);
    }
    worker_charge(s, w, size, 1);
    team_charge(s, l);
    spread_count_lease(l, 1);
    if (j->class != SCHED_CLASS_SERVICE) {
        l->end_node.key =
            s->now + (expected > 0 ? expected : UNKNOWN_RUN_TIME_NS);
        l->end_node.vec = *size;
        fit_insert(&s->expected_ends, &l->end_node);
    }
    return l;
}

struct lease *
lease_place(struct sched *s, struct job *j, uint32_t task, struct worker *w,
            const struct vec *size)
{
    struct lease *l = lease_create(s, j, task, w, size, s->next_lease++);
    struct sched_place_action *a =
        &emit_action(s, SCHED_ACTION_PLACE)->u.place;

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
    timer_clear(s, &l->stop_timer);
    fit_remove(&s->expected_ends, &l->end_node);
    link_remove(&l->on_worker);
    link_remove(&l->of_job);
    link_remove(&l->deferred_link);
    map_del_u64(s->leases, l->id);
    mem_free(l);
}

static void
start_lease(struct sched *s, struct lease *l)
{
    l->state = LEASE_STARTED;
    l->job->may_have_run = true;
    emit_lease_action(s, SCHED_ACTION_START, l);
}

/*
 * Starts all members of a gang. Called once all its placements are committed;
 * does nothing if one of them was cancelled.
 */
static void
start_gang(struct sched *s, struct job *j)
{
    for (struct link *l = j->leases.next; l != &j->leases; l = l->next) {
        if (((struct lease *)l->owner)->placement_cancelled) {
            return;
        }
    }
    for (struct link *l = j->leases.next; l != &j->leases; l = l->next) {
        struct lease *lease = l->owner;
        if (lease->state == LEASE_COMMITTED) {
            start_lease(s, lease);
        }
    }
}

static void
defer_finish(struct sched *s, struct lease *l)
{
    link_remove(&l->deferred_link);
    link_insert_before(&s->deferred_finishes, &l->deferred_link);
}

void
lease_handle_placement_committed(struct sched *s, uint64_t id)
{
    struct lease *l = map_get_u64(s->leases, id);

    if (l == NULL || l->state != LEASE_PLACING) {
        return;
    }
    l->state = LEASE_COMMITTED;
    if (l->job->class == SCHED_CLASS_GANG) {
        l->job->policy.gang.uncommitted--;
    }
    if (l->placement_cancelled) {
        defer_finish(s, l);
    }
    else if (!l->worker->up || l->worker->incarnation != l->incarnation) {
        lease_stop(s, l, 0);
    }
    else if (l->job->class != SCHED_CLASS_GANG) {
        start_lease(s, l);
    }
    if (l->job->class == SCHED_CLASS_GANG &&
        l->job->policy.gang.uncommitted == 0) {
        start_gang(s, l->job);
    }
}

void
lease_handle_placement_failed(struct sched *s, uint64_t id)
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
lease_handle_running(struct sched *s, uint64_t id)
{
    struct lease *l = map_get_u64(s->leases, id);

    if (l == NULL || l->state != LEASE_STARTED) {
        return;
    }
    l->state = LEASE_RUNNING;
    l->began_ns = s->now;
    if (l->incarnation == 0 && l->worker->up) {
        l->incarnation = l->worker->incarnation;
    }
}

void
lease_handle_ended(struct sched *s, const struct sched_ended_event *e)
{
    struct lease *l = map_get_u64(s->leases, e->lease);

    /*
     * An uncommitted lease was not announced to any worker, so a report about
     * it is invalid.
     */
    if (l != NULL && l->state >= LEASE_STARTED) {
        lease_finish(s, l, e->end);
    }
}

bool
lease_is_preemptible(const struct lease *l)
{
    const struct job *j = l->job;

    return !l->stopping && !l->planned_victim && !j->urgent && j->idempotent &&
           j->class != SCHED_CLASS_GANG;
}

static void
mark_stopping(struct sched *s, struct lease *l)
{
    if (!l->stopping) {
        if (lease_is_preemptible(l)) {
            worker_add_stoppable(l->worker, &l->size, -1);
            worker_update_stoppable(s, l->worker);
        }
        l->stopping = true;
        vec_add(&l->job->account->team->stopping_used, &l->size);
    }
}

/*
 * Ends a lease. A running task is told to checkpoint, and to stop once
 * grace_ns has passed; with a grace of 0 it is told to stop at once, with
 * DEADLINE_NONE only to checkpoint. A lease that was not started ends without
 * a message to the worker.
 */
void
lease_stop(struct sched *s, struct lease *l, int64_t grace_ns)
{
    bool was_stopping = l->stopping;

    if (l->stop_sent || l->placement_cancelled) {
        return;
    }
    mark_stopping(s, l);
    if (l->state <= LEASE_COMMITTED) {
        l->placement_cancelled = true;
        if (l->state == LEASE_COMMITTED) {
            defer_finish(s, l);
        }
        return;
    }
    if (grace_ns == 0) {
        l->stop_sent = true;
        timer_clear(s, &l->stop_timer);
        emit_lease_action(s, SCHED_ACTION_STOP, l);
        return;
    }
    if (!was_stopping) {
        emit_lease_action(s, SCHED_ACTION_CHECKPOINT, l);
    }
    if (grace_ns != DEADLINE_NONE &&
        (l->stop_timer.node.pos == 0 ||
         l->stop_timer.node.key > s->now + grace_ns)) {
        timer_set(s, &l->stop_timer, s->now + grace_ns);
    }
}

void
lease_force_stop(struct sched *s, struct lease *l)
{
    lease_stop(s, l, 0);
}

/*
 * Finishes the leases whose end was deferred because their lists were being
 * traversed.
 */
void
leases_finish_deferred(struct sched *s)
{
    struct lease *l;

    while ((l = link_first(&s->deferred_finishes)) != NULL) {
        lease_finish(s, l,
                     l->state <= LEASE_COMMITTED ? SCHED_END_NEVER_STARTED
                                                 : SCHED_END_LOST);
    }
}

/*
 * Whether it is unknown how far a non-idempotent task ran, so that it must not
 * be run again.
 */
static bool
is_outcome_unknown(const struct lease *l, enum sched_end end)
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
count_failure(struct sched *s, struct lease *l)
{
    struct job *j = l->job;
    struct task *t = &j->tasks[l->task];

    if (s->now - l->began_ns >= s->config.failure_reset_ns) {
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
count_loss(struct sched *s, struct lease *l)
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
next_task_state(struct sched *s, struct lease *l, enum sched_end end)
{
    if (end == SCHED_END_DONE) {
        return SCHED_TASK_DONE;
    }
    if (is_outcome_unknown(l, end)) {
        return SCHED_TASK_UNKNOWN;
    }
    if (l->job->cancelled || l->job->failed) {
        return SCHED_TASK_CANCELLED;
    }
    /* A task that was told to end may report the signal as a failure. */
    if (end == SCHED_END_FAILED && !l->stopping) {
        return count_failure(s, l);
    }
    if (end == SCHED_END_LOST) {
        return count_loss(s, l);
    }
    return SCHED_TASK_WAITING;
}

static void
emit_task_state(struct sched *s, const struct lease *l, const struct task *t)
{
    struct sched_task_action *a = &emit_action(s, SCHED_ACTION_TASK)->u.task;

    a->job = l->job->id;
    a->task = l->task;
    a->lease = l->id;
    a->worker = l->worker->id;
    a->state = t->state;
    a->failures = t->failures;
    a->losses = t->losses;
}

static void
requeue_task(struct sched *s, struct job *j, uint32_t task, enum sched_end end)
{
    const struct task *t = &j->tasks[task];

    if (end == SCHED_END_FAILED || end == SCHED_END_LOST) {
        uint32_t times = t->failures + t->losses;
        job_delay_task(s, j, task, times > 0 ? times - 1 : 0);
    }
    else if (end == SCHED_END_NEVER_STARTED) {
        job_delay_task(s, j, task, 0);
    }
    else {
        job_return_task(s, j, task);
    }
}

/*
 * Removes a lease that has certainly ended, releases its capacity and updates
 * the state of its task and job. May free the job and the worker.
 */
void
lease_finish(struct sched *s, struct lease *l, enum sched_end end)
{
    struct job *j = l->job;
    struct worker *w = l->worker;
    struct task *t = &j->tasks[l->task];
    bool is_fault = end == SCHED_END_FAILED && !l->stopping;
    uint32_t task = l->task;

    t->state = next_task_state(s, l, end);
    t->lease = NULL;
    emit_task_state(s, l, t);
    if (is_fault || end == SCHED_END_DONE) {
        quarantine_record_result(s, w, j->profile, is_fault);
        profile_record_end(s, l, end);
    }
    else {
        profile_record_end(s, l, SCHED_END_STOPPED);
    }
    if (lease_is_preemptible(l)) {
        worker_add_stoppable(w, &l->size, -1);
    }
    spread_count_lease(l, -1);
    team_release(s, l);
    worker_charge(s, w, &l->size, -1);
    lease_free(s, l);
    j->active_count--;
    worker_free_if_unused(s, w);
    switch (t->state) {
    case SCHED_TASK_WAITING:
        requeue_task(s, j, task, end);
        break;
    case SCHED_TASK_DONE:
        j->done_count++;
        break;
    case SCHED_TASK_UNKNOWN:
        j->outcome_unknown = true;
        job_fail(s, j, SCHED_REASON_MAY_HAVE_RUN);
        break;
    case SCHED_TASK_FAILED:
        job_fail(s, j, j->reason);
        break;
    default:
        break;
    }
    job_update_state(s, j);
}

/*
 * Tells the worker to limit the task to its size. The action is repeated, at
 * most every THROTTLE_REPEAT_NS, because a usage report may predate the
 * previous one.
 */
static void
throttle_lease(struct sched *s, struct lease *l)
{
    if (l->throttled_ns == 0 ||
        s->now - l->throttled_ns >= THROTTLE_REPEAT_NS) {
        l->throttled_ns = s->now;
        emit_lease_action(s, SCHED_ACTION_THROTTLE, l);
    }
}

/*
 * Handles a task that uses more memory than its size. An idempotent task is
 * restarted with a larger request if a worker and the team's limit can hold
 * that; other tasks are throttled.
 */
static void
handle_memory_exceeded(struct sched *s, struct lease *l, int64_t memory)
{
    struct job *j = l->job;
    struct vec raised = l->size;

    raised.d[DIM_MEMORY] = memory * RAISED_MEMORY_PERCENT / 100;
    if (l->exceeded_memory || l->stopping) {
        return;
    }
    if (!j->idempotent || j->class == SCHED_CLASS_GANG ||
        !fleet_has_fitting_worker(s, &raised) ||
        !vec_covers(&j->account->team->limit, &raised)) {
        throttle_lease(s, l);
        return;
    }
    l->exceeded_memory = true;
    if (j->min_request.d[DIM_MEMORY] < raised.d[DIM_MEMORY]) {
        j->min_request.d[DIM_MEMORY] = raised.d[DIM_MEMORY];
    }
    lease_stop(s, l, s->config.checkpoint_grace_ns);
}

void
lease_handle_usage(struct sched *s, const struct sched_usage_event *e)
{
    struct lease *l = map_get_u64(s->leases, e->lease);
    int64_t cpu;
    int64_t memory;

    if (l == NULL || l->state < LEASE_STARTED) {
        return;
    }
    cpu = vec_from_size(&(struct sched_size){.cpu_milli = e->cpu_milli})
              .d[DIM_CPU];
    memory = vec_from_size(&(struct sched_size){.memory_mib = e->memory_mib})
                 .d[DIM_MEMORY];
    l->peak_cpu_milli =
        (uint64_t)cpu > l->peak_cpu_milli ? (uint64_t)cpu : l->peak_cpu_milli;
    if ((uint64_t)memory > l->peak_memory_mib) {
        l->peak_memory_mib = (uint64_t)memory;
    }
    if (memory * 100 > l->size.d[DIM_MEMORY] * EXCEEDED_PERCENT) {
        handle_memory_exceeded(s, l, memory);
    }
    else if (cpu * 100 > l->size.d[DIM_CPU] * EXCEEDED_PERCENT) {
        throttle_lease(s, l);
    }
}
