#include "mem.h"
#include "state_impl.h"

struct lease *
lease_by_number(const struct state *s, uint64_t number)
{
    return numtab_get(&s->leases, number);
}

struct lease *
lease_insert(struct state *s, const struct lease *from)
{
    struct lease *lease = mem_alloc(sizeof(*lease));

    *lease = *from;
    lease->next = NULL;
    numtab_put(&s->leases, lease->number, lease);
    return lease;
}

void
lease_link_ended(struct state *s, struct lease *lease)
{
    if (s->ended_lease_last == NULL) {
        s->ended_lease_first = lease;
    }
    else {
        s->ended_lease_last->next = lease;
    }
    s->ended_lease_last = lease;
    s->ended_lease_count++;
}

/* The record is kept for STATE_ENDED_LEASE_KEEP_MS, because usage samples may
 * arrive after the lease's end. */
void
lease_end(struct state *s, struct lease *lease)
{
    lease->ended_ms = s->wall_ms;
    lease_link_ended(s, lease);
}

static void
drop_oldest_lease(struct state *s)
{
    struct lease *lease = s->ended_lease_first;

    snapshot_save_oldest_lease(s, lease);
    s->ended_lease_first = lease->next;
    if (s->ended_lease_first == NULL) {
        s->ended_lease_last = NULL;
    }
    s->ended_lease_count--;
    numtab_del(&s->leases, lease->number);
    mem_free(lease);
}

/* A batch may end more than EXPIRE_BATCH leases at once. Those above the limit
 * of their number are all dropped, so that the list stays bounded. */
void
leases_expire(struct state *s)
{
    while (s->ended_lease_count > STATE_ENDED_LEASES_MAX) {
        drop_oldest_lease(s);
    }
    for (int i = 0; i < EXPIRE_BATCH && s->ended_lease_first != NULL; i++) {
        int64_t age = s->wall_ms - s->ended_lease_first->ended_ms;
        if (age < STATE_ENDED_LEASE_KEEP_MS) {
            return;
        }
        drop_oldest_lease(s);
    }
}

static enum state_reason
check_job(const struct job *job, uint32_t index)
{
    if (job == NULL || index >= job->pub.spec.tasks) {
        return STATE_REASON_JOB_UNKNOWN;
    }
    if (state_job_terminal(job->pub.state)) {
        return STATE_REASON_JOB_ENDED;
    }
    if (job->pub.cancel) {
        return STATE_REASON_JOB_CANCELLED;
    }
    return STATE_REASON_NONE;
}

/* A non-idempotent task that may have started is placed again only to continue
 * from a checkpoint. */
static enum state_reason
check_task(const struct job *job, const struct state_task *task)
{
    if (task->state == STATE_TASK_PLACED) {
        return STATE_REASON_TASK_PLACED;
    }
    if (task->lease != 0 && !job->pub.spec.idempotent &&
        task->outcome != STATE_OUTCOME_NEVER_STARTED &&
        task->outcome != STATE_OUTCOME_CHECKPOINTED) {
        return STATE_REASON_TASK_STARTED;
    }
    return STATE_REASON_NONE;
}

static enum state_reason
check_worker(const struct state_worker *worker, uint64_t incarnation)
{
    if (worker == NULL) {
        return STATE_REASON_WORKER_UNKNOWN;
    }
    if (worker->incarnation != incarnation) {
        return STATE_REASON_INCARNATION_MISMATCH;
    }
    return STATE_REASON_NONE;
}

static void
place_task(struct state *s, struct job *job, const State__Placement *item,
           struct state_worker *worker)
{
    struct state_task *task = &job->tasks[item->task];
    struct lease lease = {.number = item->lease,
                          .job = item->job,
                          .task = item->task,
                          .team = job->pub.team,
                          .ended_ms = -1};

    snapshot_save_job(s, job);
    task->lease = item->lease;
    task->incarnation = item->incarnation;
    task->worker = item->worker;
    task->exit_code = 0;
    task->cpu_milli = item->cpu_milli;
    task->memory_mib = item->memory_mib;
    task->accelerators = item->accelerators;
    task->state = STATE_TASK_PLACED;
    task->outcome = STATE_OUTCOME_NONE;
    if (task->attempts < UINT16_MAX) {
        task->attempts++;
    }
    job->ever_placed = true;
    job->pub.placed++;
    job->pub.state = STATE_JOB_RUNNING;
    job_set_reason(job, STR(""));
    worker->placed++;
    s->highest_lease = item->lease;
    lease_insert(s, &lease);
}

static enum state_reason
try_place(struct state *s, const State__Placement *item)
{
    struct job *job = job_by_number(s, item->job);
    struct state_worker *worker = map_get_u64(s->workers, item->worker);
    enum state_reason reason = check_job(job, item->task);

    if (reason == STATE_REASON_NONE) {
        reason = check_task(job, &job->tasks[item->task]);
    }
    if (reason == STATE_REASON_NONE) {
        reason = check_worker(worker, item->incarnation);
    }
    if (reason == STATE_REASON_NONE && item->lease <= s->highest_lease) {
        reason = STATE_REASON_LEASE_STALE;
    }
    if (reason == STATE_REASON_NONE) {
        place_task(s, job, item, worker);
    }
    return reason;
}

void
apply_tasks_placed(struct apply *a)
{
    const State__TasksPlaced *batch = a->cmd->tasks_placed;
    size_t changed = 0;

    for (size_t i = 0; i < batch->n_items; i++) {
        enum state_reason reason = try_place(a->s, batch->items[i]);
        if (reason == STATE_REASON_NONE) {
            changed++;
        }
        else {
            result_reject(a, i, reason);
        }
    }
    result_applied(a, 0, 0, changed);
}

static uint16_t
saturate_u16(uint32_t value)
{
    return value < UINT16_MAX ? (uint16_t)value : UINT16_MAX;
}

static void
end_task(struct state *s, struct lease *lease, const State__TaskEnd *item)
{
    struct job *job = job_by_number(s, lease->job);
    struct state_task *task = &job->tasks[lease->task];
    struct state_worker *worker = map_get_u64(s->workers, task->worker);

    snapshot_save_job(s, job);
    task->state = item->waiting ? STATE_TASK_WAITING : STATE_TASK_ENDED;
    task->failures = saturate_u16(item->failures);
    task->losses = saturate_u16(item->losses);
    task->outcome = (uint8_t)item->outcome;
    task->exit_code = item->exit_code;
    job->pub.placed--;
    worker->placed--;
    if (job->pub.placed == 0 && item->outcome != STATE_OUTCOME_DONE) {
        job->pub.state = STATE_JOB_QUEUED;
    }
    lease_end(s, lease);
}

/* A lease ends once; the end of an ended or unknown lease is rejected. */
static enum state_reason
try_end(struct state *s, const State__TaskEnd *item)
{
    struct lease *lease = lease_by_number(s, item->lease);

    if (item->outcome < STATE_OUTCOME_DONE ||
        item->outcome > STATE_OUTCOME_LOST) {
        return STATE_REASON_BAD_FIELD;
    }
    if (lease == NULL || lease->ended_ms >= 0) {
        return STATE_REASON_LEASE_STALE;
    }
    end_task(s, lease, item);
    return STATE_REASON_NONE;
}

void
apply_tasks_ended(struct apply *a)
{
    const State__TasksEnded *batch = a->cmd->tasks_ended;
    size_t changed = 0;

    for (size_t i = 0; i < batch->n_items; i++) {
        enum state_reason reason = try_end(a->s, batch->items[i]);
        if (reason == STATE_REASON_NONE) {
            changed++;
        }
        else {
            result_reject(a, i, reason);
        }
    }
    result_applied(a, 0, 0, changed);
}

uint64_t
state_highest_lease(const struct state *s)
{
    return s->highest_lease;
}

bool
state_lease(const struct state *s, uint64_t number, uint64_t *job,
            uint32_t *task, bool *live)
{
    const struct lease *lease = lease_by_number(s, number);

    if (lease == NULL) {
        return false;
    }
    *job = lease->job;
    *task = lease->task;
    *live = lease->ended_ms < 0;
    return true;
}
