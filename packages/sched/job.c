#include "core.h"

#include "mem.h"

enum {
    TASKS_MAX = 1000000,
    BACKOFF_SHIFT_MAX = 20,
};

static void
list_push(struct job *j, struct task_list *list, uint32_t i)
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
list_remove(struct job *j, struct task_list *list, uint32_t i)
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
list_clear(struct task_list *list)
{
    list->first = NO_TASK;
    list->count = 0;
}

bool
job_ending(const struct job *j)
{
    return j->cancelled || j->failed;
}

/* What must be free under the team's limit before the job is placed. */
struct vec
job_need(const struct job *j)
{
    return vec_scale(&j->ask,
                     j->class == SCHED_CLASS_GANG ? j->waiting.count : 1);
}

/* Takes the next waiting task. */
uint32_t
job_take(struct sched *s, struct job *j)
{
    uint32_t i = j->waiting.first;

    list_remove(j, &j->waiting, i);
    s->stats.waiting_tasks--;
    return i;
}

void
job_put_back(struct sched *s, struct job *j, uint32_t task)
{
    j->tasks[task].state = SCHED_TASK_WAITING;
    list_push(j, &j->waiting, task);
    s->stats.waiting_tasks++;
}

/* Back-off is per job, so that it costs one timer however many tasks fail. */
void
job_delay(struct sched *s, struct job *j, uint32_t task, uint32_t failures)
{
    uint32_t shift =
        failures > BACKOFF_SHIFT_MAX ? BACKOFF_SHIFT_MAX : failures;
    int64_t wait = s->config.retry_min_ns << shift;

    wait = wait > s->config.retry_max_ns ? s->config.retry_max_ns : wait;
    j->tasks[task].state = SCHED_TASK_WAITING;
    list_push(j, &j->delayed, task);
    s->stats.waiting_tasks++;
    if (j->backoff.node.pos == 0) {
        timer_set(s, &j->backoff, s->now + wait);
    }
}

void
job_backoff_over(struct sched *s, struct job *j)
{
    while (j->delayed.count > 0) {
        uint32_t i = j->delayed.first;
        list_remove(j, &j->delayed, i);
        list_push(j, &j->waiting, i);
    }
    if (j->queue == NULL) {
        j->enqueued = s->now;
    }
    job_queue(s, j);
}

static void
parked_leave(struct sched *s, struct job *j)
{
    if (j->parked_reason == SCHED_REASON_TOO_MANY) {
        s->parked_gang_count--;
    }
    j->parked_reason = SCHED_REASON_NONE;
    link_remove(&j->parked);
    fit_remove(&s->parked, &j->parked_fit);
    timer_clear(s, &j->park);
}

/*
 * Takes a job that cannot be placed out of the queues. It is reported only
 * after a while, because workers may still be on their way.
 */
void
job_park(struct sched *s, struct job *j, enum sched_reason reason)
{
    int64_t due = s->now + s->config.unschedulable_ns;
    int64_t first = s->created + s->config.start_grace_ns;

    if (s->reservation.job == j) {
        reservation_drop(s);
    }
    team_unhold(s, j);
    queue_remove(s, j);
    j->parked_reason = reason;
    if (reason == SCHED_REASON_TEAM_LIMIT) {
        link_insert_before(&j->account->parked, &j->parked);
    }
    else if (reason == SCHED_REASON_TOO_MANY) {
        link_insert_before(&s->parked_gangs, &j->parked);
        s->parked_gang_count++;
    }
    else {
        j->parked_fit.own = vec_negative(&j->size);
        j->parked_fit.key = j->arrived;
        fit_insert(&s->parked, &j->parked_fit);
    }
    timer_set(s, &j->park, due > first ? due : first);
}

static void
emit_outcome(struct sched *s, const struct job *j, enum sched_outcome outcome,
             enum sched_reason reason)
{
    struct sched_outcome_action *a =
        &emit(s, SCHED_ACTION_JOB_OUTCOME)->u.outcome;

    a->job = j->id;
    a->outcome = outcome;
    a->reason = reason;
    a->may_have_run = j->may_have_run;
}

void
job_park_report(struct sched *s, struct job *j)
{
    if (j->reported) {
        return;
    }
    j->reported = true;
    emit_outcome(s, j, SCHED_OUTCOME_UNSCHEDULABLE, j->parked_reason);
}

/* A report is taken back only when the job is queued again. */
void
job_unpark(struct sched *s, struct job *j)
{
    parked_leave(s, j);
    job_queue(s, j);
}

/* Queues what waits, unless something else must happen before. */
void
job_queue(struct sched *s, struct job *j)
{
    struct vec need;

    if (j->queue != NULL || j->waiting.count == 0 || job_ending(j) ||
        j->parked_reason != SCHED_REASON_NONE) {
        return;
    }
    if (j->class == SCHED_CLASS_GANG &&
        (j->live > 0 || j->delayed.count > 0)) {
        return;
    }
    j->ask = learned_ask(s, j);
    need = job_need(j);
    if (!vec_covers(&j->account->team->limit, &need)) {
        j->ask = j->size;
        need = job_need(j);
    }
    if (!vec_covers(&j->account->team->limit, &need)) {
        job_park(s, j, SCHED_REASON_TEAM_LIMIT);
        return;
    }
    if (j->reported && fleet_fits(s, &j->ask)) {
        j->reported = false;
        emit_outcome(s, j, SCHED_OUTCOME_SCHEDULABLE, SCHED_REASON_NONE);
    }
    queue_add(s, j);
}

static void
tasks_init(struct sched *s, struct job *j, uint32_t count)
{
    j->tasks_count = count;
    j->tasks = mem_zalloc(count, sizeof(*j->tasks));
    list_clear(&j->waiting);
    list_clear(&j->delayed);
    for (uint32_t i = count; i > 0; i--) {
        list_push(j, &j->waiting, i - 1);
    }
    s->stats.waiting_tasks += count;
}

static struct job *
job_create(struct sched *s, const struct sched_job_event *e)
{
    struct job *j = mem_zalloc(1, sizeof(*j));
    struct team *t = team_get(s, e->team);

    j->id = e->job;
    j->account = &t->accounts[e->open_queue ? 1 : 0];
    j->profile = profile_get(s, e->team, e->name);
    j->class = e->class;
    j->urgent = e->urgent;
    j->idempotent = e->idempotent;
    j->size = vec_of(&e->size);
    j->ask = j->size;
    j->run_time_ns = e->run_time_ns;
    j->arrived = s->now;
    j->enqueued = s->now;
    link_init(&j->leases, NULL);
    link_init(&j->claims, NULL);
    link_init(&j->in_queue, j);
    link_init(&j->parked, j);
    fit_node_init(&j->parked_fit, j, e->job);
    timer_init(&j->backoff, TIMER_BACKOFF, j);
    timer_init(&j->park, TIMER_PARKED, j);
    if (j->class == SCHED_CLASS_SERVICE) {
        j->policy.service.spread = map_create();
    }
    map_put_u64(s->jobs, j->id, j);
    account_jobs_changed(s, j->account, 1);
    return j;
}

void
job_event(struct sched *s, const struct sched_job_event *e)
{
    struct job *j;

    if (map_get_u64(s->jobs, e->job) != NULL) {
        return;
    }
    j = job_create(s, e);
    if (e->tasks == 0 || e->tasks > TASKS_MAX) {
        tasks_init(s, j, 1);
        job_end(s, j, SCHED_REASON_TOO_MANY);
        job_settle(s, j);
        return;
    }
    tasks_init(s, j, e->tasks);
    job_queue(s, j);
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
drop_waiting(struct sched *s, struct job *j)
{
    s->stats.waiting_tasks -= j->waiting.count;
    s->stats.waiting_tasks -= j->delayed.count;
    list_clear(&j->waiting);
    list_clear(&j->delayed);
    timer_clear(s, &j->backoff);
}

static void
leave_queues(struct sched *s, struct job *j)
{
    if (s->reservation.job == j) {
        reservation_drop(s);
    }
    team_unhold(s, j);
    queue_remove(s, j);
    parked_leave(s, j);
}

static void
wind_down(struct sched *s, struct job *j)
{
    leave_queues(s, j);
    claims_drop_job(s, j);
    drop_waiting(s, j);
    stop_leases(s, j, 0);
}

/* One task ended for good without success: the others are stopped. */
void
job_end(struct sched *s, struct job *j, enum sched_reason reason)
{
    if (!j->failed) {
        j->failed = true;
        j->reason = reason;
        wind_down(s, j);
    }
    if (j->unknown) {
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
        wind_down(s, j);
    }
    if (s->ticked) {
        job_settle(s, j);
    }
}

static void
finish(struct sched *s, struct job *j)
{
    if (j->unknown) {
        emit_outcome(s, j, SCHED_OUTCOME_UNKNOWN, SCHED_REASON_MAY_HAVE_RUN);
    }
    else if (j->failed) {
        emit_outcome(s, j, SCHED_OUTCOME_FAILED, j->reason);
    }
    else if (j->done == j->tasks_count) {
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

/* A gang that lost a member is stopped and waits as a whole again. */
void
job_regroup(struct sched *s, struct job *j)
{
    if (!j->policy.gang.regroup) {
        j->policy.gang.regroup = true;
        stop_leases(s, j, s->config.checkpoint_ns);
    }
}

/* Call after a task's state changed; may free the job. */
void
job_settle(struct sched *s, struct job *j)
{
    if (j->live == 0 && (job_ending(j) || j->done == j->tasks_count)) {
        finish(s, j);
        return;
    }
    if (j->class == SCHED_CLASS_GANG) {
        if (j->live == 0) {
            j->policy.gang.regroup = false;
        }
        else if (j->waiting.count + j->delayed.count > 0 && !job_ending(j)) {
            job_regroup(s, j);
        }
    }
    job_queue(s, j);
}

static void
restore_placed(struct sched *s, struct job *j,
               const struct sched_restore_event *e)
{
    struct vec size = vec_of(&e->size);
    struct lease *l;

    if (map_get_u64(s->leases, e->lease) != NULL) {
        return;
    }
    l = lease_create(s, j, e->task, worker_get(s, e->worker), &size, e->lease);
    l->state = LEASE_STARTED;
    l->incarnation = e->incarnation;
    j->may_have_run = true;
    if (s->next_lease <= e->lease) {
        s->next_lease = e->lease + 1;
    }
}

void
job_restore(struct sched *s, const struct sched_restore_event *e)
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
    list_remove(j, &j->waiting, e->task);
    s->stats.waiting_tasks--;
    t->state = (uint8_t)e->state;
    j->done += e->state == SCHED_TASK_DONE ? 1 : 0;
    j->unknown = j->unknown || e->state == SCHED_TASK_UNKNOWN;
    if (e->state == SCHED_TASK_PLACED) {
        restore_placed(s, j, e);
    }
    else if (e->state == SCHED_TASK_UNKNOWN) {
        job_end(s, j, SCHED_REASON_MAY_HAVE_RUN);
    }
    else if (e->state == SCHED_TASK_FAILED) {
        job_end(s, j, SCHED_REASON_FAILURES);
    }
}

/* Everything has been restored: draw the conclusions. */
void
jobs_restored(struct sched *s)
{
    void *cursor = NULL;
    void *p;

    while ((p = map_next(s->jobs, &cursor)) != NULL) {
        struct job *j = p;
        if (job_ending(j)) {
            wind_down(s, j);
        }
        job_settle(s, j);
    }
    cursor = NULL;
    while ((p = map_next(s->teams, &cursor)) != NULL) {
        team_enforce(s, p);
    }
}

/* Frees a job and what it has under lease, without any action. */
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
    timer_clear(s, &j->backoff);
    timer_clear(s, &j->park);
    profile_release(s, j->profile);
    if (j->class == SCHED_CLASS_SERVICE) {
        map_destroy(j->policy.service.spread);
    }
    mem_free(j->tasks);
    mem_free(j);
}
