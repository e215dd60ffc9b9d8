/*
 * Commits the scheduler's decisions in batches.
 */
#include "mem.h"
#include "placement_impl.h"

static void
send_lease_event(struct leader *l, enum sched_event_kind kind, uint64_t lease)
{
    const struct sched_event event = {.kind = kind, .u.lease = lease};

    placement_send_event(l, &event);
}

/* A batch of placements or ends whose command is being committed. */
struct batch {
    struct leader *leader;
    size_t count;
    uint64_t leases[];
};

static struct batch *
batch_create(struct leader *l, size_t count)
{
    struct batch *b = mem_zalloc(1, sizeof(*b) + count * sizeof(b->leases[0]));

    b->leader = l;
    b->count = count;
    return b;
}

static bool
is_rejected(const struct state_result *result, size_t item)
{
    if (result->kind != STATE_APPLIED) {
        return true;
    }
    for (size_t i = 0; i < result->u.applied.reject_count; i++) {
        if (result->u.applied.rejects[i].item == item) {
            return true;
        }
    }
    return false;
}

/* Only the first placement of a task counts; later ones are repetitions. */
static void
observe_wait(struct leader *l, const struct lease_record *r)
{
    const struct state_job *job = state_job(leader_state(l), r->job);

    if (r->committed && job != NULL && job->tasks != NULL &&
        job->tasks[r->task].attempts == 1) {
        leader_metrics_add_wait(l->metrics, job, clock_wall_ms());
    }
}

static void
placements_applied(void *arg, const struct state_result *result)
{
    struct batch *b = arg;
    struct leader *l = b->leader;

    for (size_t i = 0; result != NULL && i < b->count; i++) {
        struct lease_record *r = map_get_u64(l->leases, b->leases[i]);
        bool rejected = is_rejected(result, i);

        if (r != NULL) {
            r->committed = !rejected;
            observe_wait(l, r);
        }
        send_lease_event(l,
                         rejected ? SCHED_EVENT_PLACEMENT_FAILED
                                  : SCHED_EVENT_PLACEMENT_COMMITTED,
                         b->leases[i]);
        if (rejected && r != NULL &&
            map_get_u64(l->leases, b->leases[i]) == r) {
            lease_record_free(l, r);
        }
    }
    mem_free(b);
}

static void
propose_placements(struct leader *l)
{
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};
    struct batch *b;

    if (l->placement_count == 0) {
        return;
    }
    b = batch_create(l, l->placement_count);
    for (size_t i = 0; i < b->count; i++) {
        b->leases[i] = l->placements[i].lease;
    }
    state_cmd_tasks_placed(&command, &actor, l->placements,
                           l->placement_count);
    if (replica_propose(l->replica, buf_str(&command),
                        (struct replica_waiter){placements_applied, b})) {
        l->placement_count = 0;
    }
    else {
        mem_free(b);
    }
    buf_free(&command);
}

static void
ends_applied(void *arg, const struct state_result *result)
{
    struct batch *b = arg;
    struct leader *l = b->leader;

    for (size_t i = 0; result != NULL && i < b->count; i++) {
        struct lease_record *r = map_get_u64(l->leases, b->leases[i]);

        if (r == NULL) {
            continue;
        }
        /* The worker has not reported the end of a lost lease. The report,
         * with its last sample of usage, is acknowledged when it comes. */
        if (r->outcome != STATE_OUTCOME_LOST) {
            worker_ack_finished(l, worker_session_get(l, r->worker), r->lease);
        }
        lease_record_free(l, r);
    }
    mem_free(b);
}

static bool
propose_ends(struct leader *l)
{
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};
    struct batch *b;
    bool ok;

    if (l->end_count == 0) {
        return true;
    }
    b = batch_create(l, l->end_count);
    for (size_t i = 0; i < b->count; i++) {
        b->leases[i] = l->ends[i].lease;
    }
    state_cmd_tasks_ended(&command, &actor, l->ends, l->end_count);
    ok = replica_propose(l->replica, buf_str(&command),
                         (struct replica_waiter){ends_applied, b});
    if (ok) {
        l->end_count = 0;
    }
    else {
        mem_free(b);
    }
    buf_free(&command);
    return ok;
}

struct pending_outcome {
    struct leader *leader;
    uint64_t job;
};

static void
outcome_applied(void *arg, const struct state_result *result)
{
    struct pending_outcome *pending = arg;

    if (result != NULL) {
        job_answer_waiting(pending->leader, pending->job);
    }
    mem_free(pending);
}

static enum state_job_state
outcome_state(const struct state_job *job, enum sched_outcome outcome)
{
    switch (outcome) {
    case SCHED_OUTCOME_DONE:
        return STATE_JOB_DONE;
    case SCHED_OUTCOME_FAILED:
        return STATE_JOB_FAILED;
    case SCHED_OUTCOME_CANCELLED:
        return STATE_JOB_CANCELLED;
    case SCHED_OUTCOME_UNKNOWN:
        return STATE_JOB_UNKNOWN;
    case SCHED_OUTCOME_UNSCHEDULABLE:
        return STATE_JOB_UNSCHEDULABLE;
    case SCHED_OUTCOME_SCHEDULABLE:
        break;
    }
    return job->placed > 0 ? STATE_JOB_RUNNING : STATE_JOB_QUEUED;
}

static bool
propose_outcome(struct leader *l, const struct sched_outcome_action *action)
{
    const struct state_job *job = state_job(leader_state(l), action->job);
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};
    struct pending_outcome *pending;
    const char *reason = action->reason == SCHED_REASON_NONE
                             ? ""
                             : sched_reason_text(action->reason);
    bool ok;

    if (job == NULL || state_job_terminal(job->state)) {
        return true;
    }
    pending = mem_zalloc(1, sizeof(*pending));
    pending->leader = l;
    pending->job = action->job;
    state_cmd_job_outcome(&command, &actor, action->job,
                          outcome_state(job, action->outcome), str_of(reason));
    ok = replica_propose(l->replica, buf_str(&command),
                         (struct replica_waiter){outcome_applied, pending});
    if (!ok) {
        mem_free(pending);
    }
    buf_free(&command);
    return ok;
}

static void
propose_outcomes(struct leader *l)
{
    size_t done = 0;

    while (done < l->outcome_count && propose_outcome(l, &l->outcomes[done])) {
        done++;
    }
    for (size_t i = done; i < l->outcome_count; i++) {
        l->outcomes[i - done] = l->outcomes[i];
    }
    l->outcome_count -= done;
}

static void
propose_usage(struct leader *l)
{
    size_t count = map_count(l->usage);
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};
    struct state_usage_sample *list;
    struct state_usage_sample *sample;
    void *cursor = NULL;
    size_t n = 0;

    if (count == 0) {
        return;
    }
    list = mem_alloc(count * sizeof(*list));
    while ((sample = map_next(l->usage, &cursor)) != NULL) {
        list[n++] = *sample;
    }
    state_cmd_usage(&command, &actor, list, n);
    /* Samples are cumulative, so the next one replaces a lost one. */
    if (replica_propose(l->replica, buf_str(&command), replica_no_waiter)) {
        cursor = NULL;
        while ((sample = map_next(l->usage, &cursor)) != NULL) {
            map_del_u64(l->usage, sample->lease);
            mem_free(sample);
        }
    }
    mem_free(list);
    buf_free(&command);
}

void
placement_propose_queued(struct leader *l)
{
    /* Usage goes first, so that a lease's last sample precedes its end. */
    if (l->end_count != 0 || l->usage_due <= l->control->now) {
        propose_usage(l);
        l->usage_due = l->control->now + USAGE_FLUSH_MS * NS_PER_MS;
    }
    /* Ends are proposed first: a placement may use what they free. */
    if (propose_ends(l)) {
        propose_placements(l);
        propose_outcomes(l);
    }
}
