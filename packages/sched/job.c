#include "core.h"

#include "mem.h"

enum {
    TASKS_MAX = 1000000,
    BACKOFF_SHIFT_MAX = 20,
};

static void
task_list_push(struct job *j, struct task_list *list, uint32_t i)
{
    struct task *t = &j->tasks[i];

    t->prev = NO_TASK;
    t->next = list->first;
    if (list->first != NO_TASK) {
        j->tasks[list->first].prev = i;
    }
    list->first = i;
    list->count++;
}

static void
task_list_remove(struct job *j, struct task_list *list, uint32_t i)
{
    struct task *t = &j->tasks[i];

    if (t->prev == NO_TASK) {
        list->first = t->next;
    }
    else {
        j->tasks[t->prev].next = t->next;
    }
    if (t->next != NO_TASK) {
        j->tasks[t->next].prev = t->prev;
    }
    list->count--;
}

static void
task_list_clear(struct task_list *list)
{
    list->first = NO_TASK;
    list->count = 0;
}

bool
job_is_ending(const struct job *j)
{
    return j->cancelled || j->failed;
}

/*
 * Returns the room needed under the team's limit to place the next task, or
 * all waiting tasks of a gang.
 */
struct vec
job_needed_room(const struct job *j)
{
    return vec_scale(&j->request,
                     j->class == SCHED_CLASS_GANG ? j->waiting.count : 1);
}

/* Removes the next task from the waiting list and returns its index. */
uint32_t
job_take_task(struct sched *s, struct job *j)
{
    uint32_t i = j->waiting.first;

    task_list_remove(j, &j->waiting, i);
    s->stats.waiting_tasks--;
    return i;
}

void
job_return_task(struct sched *s, struct job *j, uint32_t task)
{
    j->tasks[task].state = SCHED_TASK_WAITING;
    task_list_push(j, &j->waiting, task);
    s->stats.waiting_tasks++;
}

/*
 * Delays a task before its next attempt. The back-off doubles with failures,
 * the number of earlier failures and losses. A job has one back-off timer for
 * all its tasks: if it is already armed, the task waits for that time instead.
 */
void
job_delay_task(struct sched *s, struct job *j, uint32_t task,
               uint32_t failures)
{
    uint32_t shift =
        failures > BACKOFF_SHIFT_MAX ? BACKOFF_SHIFT_MAX : failures;
    int64_t wait = s->config.retry_min_ns << shift;

    wait = wait > s->config.retry_max_ns ? s->config.retry_max_ns : wait;
    j->tasks[task].state = SCHED_TASK_WAITING;
    task_list_push(j, &j->delayed, task);
    s->stats.waiting_tasks++;
    if (j->backoff_timer.node.pos == 0) {
        timer_set(s, &j->backoff_timer, s->now + wait);
    }
}

void
job_end_backoff(struct sched *s, struct job *j)
{
    while (j->delayed.count > 0) {
        uint32_t i = j->delayed.first;
        task_list_remove(j, &j->delayed, i);
        task_list_push(j, &j->waiting, i);
    }
    if (j->queue == NULL) {
        j->enqueued_ns = s->now;
    }
    job_enqueue(s, j);
}

static void
leave_parked(struct sched *s, struct job *j)
{
    if (j->parked_reason == SCHED_REASON_TOO_MANY_TASKS) {
        s->parked_gang_count--;
    }
    j->parked_reason = SCHED_REASON_NONE;
    link_remove(&j->parked_link);
    fit_remove(&s->parked_jobs, &j->parked_node);
    timer_clear(s, &j->park_timer);
}

/*
 * Removes a job that cannot be placed from the queues. The job is reported as
 * unschedulable only after a delay, because workers may still be connecting.
 */
void
job_park(struct sched *s, struct job *j, enum sched_reason reason)
{
    int64_t report_ns = s->now + s->config.unschedulable_ns;
    int64_t earliest_ns = s->created_ns + s->config.start_grace_ns;

    if (s->reservation.job == j) {
        reservation_release(s);
    }
    team_release_hold(s, j);
    queue_remove(s, j);
    j->parked_reason = reason;
    if (reason == SCHED_REASON_TEAM_LIMIT) {
        link_insert_before(&j->account->parked_jobs, &j->parked_link);
    }
    else if (reason == SCHED_REASON_TOO_MANY_TASKS) {
        link_insert_before(&s->parked_gangs, &j->parked_link);
        s->parked_gang_count++;
    }
    else {
        j->parked_node.vec = vec_negate(&j->size);
        j->parked_node.key = j->arrived_ns;
        fit_insert(&s->parked_jobs, &j->parked_node);
    }
    timer_set(s, &j->park_timer,
              report_ns > earliest_ns ? report_ns : earliest_ns);
}

static void
emit_outcome(struct sched *s, const struct job *j, enum sched_outcome outcome,
             enum sched_reason reason)
{
    struct sched_outcome_action *a =
        &emit_action(s, SCHED_ACTION_JOB_OUTCOME)->u.outcome;

    a->job = j->id;
    a->outcome = outcome;
    a->reason = reason;
    a->may_have_run = j->may_have_run;
}

void
job_report_unschedulable(struct sched *s, struct job *j)
{
    if (j->reported_unschedulable) {
        return;
    }
    j->reported_unschedulable = true;
    emit_outcome(s, j, SCHED_OUTCOME_UNSCHEDULABLE, j->parked_reason);
}

/*
 * Returns a parked job to the queues. A report that it is unschedulable is
 * withdrawn only when the job is actually queued again.
 */
void
job_unpark(struct sched *s, struct job *j)
{
    leave_parked(s, j);
    job_enqueue(s, j);
}

/*
 * Queues a job that has waiting tasks. A job that is ending or parked is not
 * queued, nor is a gang that still has leases, claims or delayed tasks. A job
 * that needs more than its team's limit is parked.
 */
void
job_enqueue(struct sched *s, struct job *j)
{
    struct vec need;

    if (j->queue != NULL || j->waiting.count == 0 || job_is_ending(j) ||
        j->parked_reason != SCHED_REASON_NONE) {
        return;
    }
    if (j->class == SCHED_CLASS_GANG &&
        (j->active_count > 0 || j->delayed.count > 0)) {
        return;
    }
    j->request = learned_request(s, j);
    need = job_needed_room(j);
    if (!vec_covers(&j->account->team->limit, &need)) {
        j->request = j->size;
        need = job_needed_room(j);
    }
    if (!vec_covers(&j->account->team->limit, &need)) {
        job_park(s, j, SCHED_REASON_TEAM_LIMIT);
        return;
    }
    if (j->reported_unschedulable &&
        fleet_has_fitting_worker(s, &j->request)) {
        j->reported_unschedulable = false;
        emit_outcome(s, j, SCHED_OUTCOME_SCHEDULABLE, SCHED_REASON_NONE);
    }
    queue_add(s, j);
}

static void
init_tasks(struct sched *s, struct job *j, uint32_t count)
{
    j->tasks_count = count;
    j->tasks = mem_zalloc(count, sizeof(*j->tasks));
    task_list_clear(&j->waiting);
    task_list_clear(&j->delayed);
    for (uint32_t i = count; i > 0; i--) {
        task_list_push(j, &j->waiting, i - 1);
    }
    s->stats.waiting_tasks += count;
}

static struct job *
job_create(struct sched *s, const struct sched_job_event *e)
{
    struct job *j = mem_zalloc(1, sizeof(*j));
    struct team *t = team_get_or_create(s, e->team);

    j->id = e->job;
    j->account = &t->accounts[e->open_queue ? 1 : 0];
    j->profile = profile_acquire(s, e->team, e->name);
    j->class = e->class;
    j->urgent = e->urgent;
    j->idempotent = e->idempotent;
    j->size = vec_from_size(&e->size);
    j->request = j->size;
    j->run_time_ns = e->run_time_ns;
    j->arrived_ns = s->now;
    j->enqueued_ns = s->now;
    link_init(&j->leases, NULL);
    link_init(&j->claims, NULL);
    link_init(&j->in_queue, j);
    link_init(&j->parked_link, j);
    fit_node_init(&j->parked_node, j, e->job);
    timer_init(&j->backoff_timer, TIMER_BACKOFF, j);
    timer_init(&j->park_timer, TIMER_PARKED, j);
    if (j->class == SCHED_CLASS_SERVICE) {
        j->policy.service.spread_counts = map_create();
    }
    map_put_u64(s->jobs, j->id, j);
    account_jobs_changed(s, j->account, 1);
    return j;
}

void
job_handle_event(struct sched *s, const struct sched_job_event *e)
{
    struct job *j;

    if (map_get_u64(s->jobs, e->job) != NULL) {
        return;
    }
    j = job_create(s, e);
    if (e->tasks == 0 || e->tasks > TASKS_MAX) {
        init_tasks(s, j, 1);
        job_fail(s, j, SCHED_REASON_TOO_MANY_TASKS);
        job_update_state(s, j);
        return;
    }
    init_tasks(s, j, e->tasks);
    job_enqueue(s, j);
}

static void
stop_leases(struct sched *s, struct job *j, int64_t grace_ns)
{
    struct link *next;

    for (struct link *l = j->leases.next; l != &j->leases; l = next) {
        next = l->next;
        lease_stop(s, l->owner, grace_ns);
    }
}

static void
discard_waiting_tasks(struct sched *s, struct job *j)
{
    s->stats.waiting_tasks -= j->waiting.count;
    s->stats.waiting_tasks -= j->delayed.count;
    task_list_clear(&j->waiting);
    task_list_clear(&j->delayed);
    timer_clear(s, &j->backoff_timer);
}

static void
leave_queues(struct sched *s, struct job *j)
{
    if (s->reservation.job == j) {
        reservation_release(s);
    }
    team_release_hold(s, j);
    queue_remove(s, j);
    leave_parked(s, j);
}

static void
stop_job(struct sched *s, struct job *j)
{
    leave_queues(s, j);
    claims_cancel_of_job(s, j);
    discard_waiting_tasks(s, j);
    stop_leases(s, j, 0);
}

/*
 * Fails a job because one of its tasks ended permanently without success; the
 * other tasks are stopped.
 */
void
job_fail(struct sched *s, struct job *j, enum sched_reason reason)
{
    if (!j->failed) {
        j->failed = true;
        j->reason = reason;
        stop_job(s, j);
    }
    if (j->outcome_unknown) {
        j->reason = SCHED_REASON_MAY_HAVE_RUN;
    }
}

void
job_cancel(struct sched *s, uint64_t id)
{
    struct job *j = map_get_u64(s->jobs, id);

    if (j == NULL || j->cancelled) {
        return;
    }
    j->cancelled = true;
    if (!j->failed) {
        stop_job(s, j);
    }
    if (s->ticked) {
        job_update_state(s, j);
    }
}

static void
finish_job(struct sched *s, struct job *j)
{
    if (j->outcome_unknown) {
        emit_outcome(s, j, SCHED_OUTCOME_UNKNOWN, SCHED_REASON_MAY_HAVE_RUN);
    }
    else if (j->failed) {
        emit_outcome(s, j, SCHED_OUTCOME_FAILED, j->reason);
    }
    else if (j->done_count == j->tasks_count) {
        emit_outcome(s, j, SCHED_OUTCOME_DONE, SCHED_REASON_NONE);
    }
    else {
        emit_outcome(s, j, SCHED_OUTCOME_CANCELLED, SCHED_REASON_NONE);
    }
    leave_queues(s, j);
    account_jobs_changed(s, j->account, -1);
    map_del_u64(s->jobs, j->id);
    job_free(s, j);
}

/*
 * Stops all members of a gang that has lost one, so that the gang is placed
 * again as a whole.
 */
void
job_restart_gang(struct sched *s, struct job *j)
{
    if (!j->policy.gang.restarting) {
        j->policy.gang.restarting = true;
        stop_leases(s, j, s->config.checkpoint_grace_ns);
    }
}

/*
 * Must be called after the state of a task has changed. Finishes and frees the
 * job if all its tasks have ended; otherwise queues its waiting tasks.
 */
void
job_update_state(struct sched *s, struct job *j)
{
    if (j->active_count == 0 &&
        (job_is_ending(j) || j->done_count == j->tasks_count)) {
        finish_job(s, j);
        return;
    }
    if (j->class == SCHED_CLASS_GANG) {
        if (j->active_count == 0) {
            j->policy.gang.restarting = false;
        }
        else if (j->waiting.count + j->delayed.count > 0 &&
                 !job_is_ending(j)) {
            job_restart_gang(s, j);
        }
    }
    job_enqueue(s, j);
}

static void
restore_lease(struct sched *s, struct job *j,
              const struct sched_restore_event *e)
{
    struct vec size = vec_from_size(&e->size);
    struct lease *l;

    if (map_get_u64(s->leases, e->lease) != NULL) {
        return;
    }
    l = lease_create(s, j, e->task, worker_get_or_create(s, e->worker), &size,
                     e->lease);
    l->state = LEASE_STARTED;
    l->incarnation = e->incarnation;
    j->may_have_run = true;
    if (s->next_lease <= e->lease) {
        s->next_lease = e->lease + 1;
    }
}

void
job_handle_restore(struct sched *s, const struct sched_restore_event *e)
{
    struct job *j = map_get_u64(s->jobs, e->job);
    struct task *t;

    if (j == NULL || e->task >= j->tasks_count) {
        return;
    }
    t = &j->tasks[e->task];
    if (t->state != SCHED_TASK_WAITING) {
        return;
    }
    t->failures = (uint8_t)e->failures;
    t->losses = (uint8_t)e->losses;
    j->may_have_run = true;
    if (e->state == SCHED_TASK_WAITING) {
        return;
    }
    queue_remove(s, j);
    task_list_remove(j, &j->waiting, e->task);
    s->stats.waiting_tasks--;
    t->state = (uint8_t)e->state;
    j->done_count += e->state == SCHED_TASK_DONE ? 1 : 0;
    j->outcome_unknown = j->outcome_unknown || e->state == SCHED_TASK_UNKNOWN;
    if (e->state == SCHED_TASK_PLACED) {
        restore_lease(s, j, e);
    }
    else if (e->state == SCHED_TASK_UNKNOWN) {
        job_fail(s, j, SCHED_REASON_MAY_HAVE_RUN);
    }
    else if (e->state == SCHED_TASK_FAILED) {
        job_fail(s, j, SCHED_REASON_FAILURES);
    }
}

/*
 * Called on the first tick, when all state has been restored: ends jobs that
 * must end, queues the others, and enforces the limits of the teams.
 */
void
jobs_finish_restore(struct sched *s)
{
    void *cursor = NULL;
    void *p;

    while ((p = map_next(s->jobs, &cursor)) != NULL) {
        struct job *j = p;
        if (job_is_ending(j)) {
            stop_job(s, j);
        }
        job_update_state(s, j);
    }
    cursor = NULL;
    while ((p = map_next(s->teams, &cursor)) != NULL) {
        team_enforce_limits(s, p);
    }
}

/* Frees a job with its leases and claims, without emitting any action. */
void
job_free(struct sched *s, struct job *j)
{
    struct lease *l;
    struct claim *c;

    while ((l = link_first(&j->leases)) != NULL) {
        lease_free(s, l);
    }
    while ((c = link_first(&j->claims)) != NULL) {
        link_remove(&c->of_job);
        timer_clear(s, &c->timer);
        mem_free(c);
    }
    timer_clear(s, &j->backoff_timer);
    timer_clear(s, &j->park_timer);
    profile_release(s, j->profile);
    if (j->class == SCHED_CLASS_SERVICE) {
        map_destroy(j->policy.service.spread_counts);
    }
    mem_free(j->tasks);
    mem_free(j);
}
