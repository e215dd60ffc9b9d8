/*
 * Restores a new leader's scheduler from the teams, jobs and leases of the
 * replicated state.
 */
#include "placement_impl.h"

static enum sched_task_state
to_sched_state(const struct state_task *task)
{
    switch ((enum state_task_state)task->state) {
    case STATE_TASK_WAITING:
        return SCHED_TASK_WAITING;
    case STATE_TASK_PLACED:
        return SCHED_TASK_PLACED;
    case STATE_TASK_ENDED:
        break;
    }
    switch ((enum state_task_outcome)task->outcome) {
    case STATE_OUTCOME_DONE:
        return SCHED_TASK_DONE;
    case STATE_OUTCOME_FAILED:
        return SCHED_TASK_FAILED;
    case STATE_OUTCOME_STOPPED:
        return SCHED_TASK_CANCELLED;
    default:
        return SCHED_TASK_UNKNOWN;
    }
}

static void
restore_task(struct leader *l, const struct state_job *job, uint32_t index)
{
    const struct state_task *task = &job->tasks[index];
    struct sched_event event = {.kind = SCHED_EVENT_RESTORE};
    struct lease_record *r;

    if (task->state == STATE_TASK_WAITING && task->lease == 0) {
        return;
    }
    event.u.restore = (struct sched_restore_event){
        .job = job->number,
        .task = index,
        .state = to_sched_state(task),
        .worker = task->worker,
        .incarnation = task->incarnation,
        .lease = task->lease,
        .size = {task->cpu_milli, task->memory_mib, task->accelerators},
        .failures = task->failures,
        .losses = task->losses};
    if (task->state == STATE_TASK_PLACED) {
        worker_restore_incarnation(l, task->worker, task->incarnation);
        r = lease_record_create(l, task->lease, job->number, index,
                                task->worker, task->incarnation);
        r->size = event.u.restore.size;
        r->committed = true;
        /* The previous leader's answer may be lost, so the lease is offered
         * again; the worker starts it at most once. */
        r->offered = true;
    }
    placement_send_event(l, &event);
}

static void
restore_jobs(struct leader *l)
{
    const struct state *state = leader_state(l);
    const struct state_job *job;
    void *cursor = NULL;

    while ((job = state_job_next(state, &cursor)) != NULL) {
        if (!state_job_terminal(job->state)) {
            placement_add_job(l, job);
        }
    }
    cursor = NULL;
    while ((job = state_job_next(state, &cursor)) != NULL) {
        for (uint32_t i = 0;
             !state_job_terminal(job->state) && i < job->spec.tasks; i++) {
            restore_task(l, job, i);
        }
    }
    cursor = NULL;
    while ((job = state_job_next(state, &cursor)) != NULL) {
        if (job->cancel && !state_job_terminal(job->state)) {
            placement_cancel_job(l, job->number);
        }
    }
}

void
placement_restore(struct leader *l)
{
    const struct state *state = leader_state(l);

    for (size_t i = 0; i < state_team_count(state); i++) {
        placement_update_team(l, state_team_at(state, i));
    }
    restore_jobs(l);
}
