/*
 * Polls of workers: each waits for ended runs, lists the running ones and
 * renews the worker's lease.
 */
#include "session.h"

#include <string.h>

#include "clock.h"
#include "event.h"
#include "mem.h"
#include "progress.h"

enum {
    /* How long a poll waits for ended runs. It is bounded because each poll
     * renews the lease, and the lease must outlast a leader change. */
    POLL_WAIT_MS = 900,
    /* Wait of the first poll, and while it is uncertain whether a run
     * exists. */
    POLL_SHORT_WAIT_MS = 20,
    /* Consecutive failed runs, of different jobs, after which a worker gets no
     * tasks for AVOID_SUSPECT_MS. */
    FAILURES_MAX = 3,
    AVOID_SUSPECT_MS = 4000,
    /* An answer that comes this long after the last failed poll resets the
     * path to the preferred relay. Until then the path that works is kept. */
    RELAY_KEPT_MS = 5000,
    /* Unexpected runs of a worker that are stopped at a time. A worker that
     * lists ever new ones would otherwise fill the leader's memory. */
    STRAY_RUNS_MAX = 1000,
    /* How long a worker keeps its lease if entries that cannot be read may be
     * all that is left of its runs. */
    UNREADABLE_MAX_MS = 2000,
};

static struct event_kind event_end = {.name = "end", .per_second = 200};
static struct event_kind event_call = {.name = "worker-call",
                                       .per_second = 60};
static struct event_kind event_slow = {.name = "run-slow", .per_second = 40};
static struct event_kind event_unread = {.name = "worker-answer",
                                         .per_second = 20};
static struct event_kind event_stray = {.name = "run-stray", .per_second = 40};

/* Logs a run that is listed by a worker it is not assigned to, with the run
 * that the replicated state has of the task. */
static void
log_stray(const struct leader *l, const struct session *s,
          const struct node_task *task)
{
    const struct flow_worker *w = flow_worker(l->state, s->number);
    struct flow_step *step;
    Flow__Task ref;
    const struct flow_task *t;

    run_to_flow_task(&ref, task, s->number);
    t = flow_task(l->state, &ref, &step);
    event_write(&event_stray,
                "job=%016llx task=%u.%u.%u run=%u worker=%.*s number=%u "
                "born=%lld known_run=%u assigned_to=%u done=%d",
                (unsigned long long)task->job, task->occurrence, task->step,
                task->index, task->run, STR_ARG(w->id), s->number,
                (long long)w->born_ms, t == NULL ? 0 : t->run,
                t == NULL || !t->assigned ? 0 : t->worker,
                t != NULL && t->done);
}

/* Queues a stop for a run that is listed but not expected on the worker. One
 * beyond STRAY_RUNS_MAX is stopped when it is listed again after others have
 * ended; the worker gets no tasks meanwhile. */
static void
stop_unexpected(struct leader *l, struct session *s,
                const struct node_task *task)
{
    if (s->stray_runs >= STRAY_RUNS_MAX) {
        return;
    }
    log_stray(l, s, task);
    metrics_stray(l->node->metrics);
    run_add(s, task, RUN_STOP_QUEUED, l->node->now);
    s->stray_runs++;
}

/*
 * Updates a run's progress and the estimate of the worker's speed. Stops a run
 * that has stalled, or that another worker would finish sooner.
 */
static void
update_progress(struct leader *l, struct session *s, struct run *r,
                const struct node_active_run *listed)
{
    struct flow_worker *w = flow_worker(l->state, s->number);
    struct flow_job *j = flow_job(l->state, r->task.job);
    struct flow_step *step;
    struct flow_task *t;
    Flow__Task ref;
    struct run_progress progress = {.now = l->node->now};

    run_to_flow_task(&ref, &r->task, s->number);
    if (j != NULL) {
        j->run_confirmed = true;
    }
    if (r->run_started_ns == 0 || listed->percent != r->percent ||
        r->progressed_at == 0) {
        r->run_started_ns =
            r->run_started_ns == 0 ? l->node->now : r->run_started_ns;
        r->percent = listed->percent;
        r->progressed_at = l->node->now;
    }
    t = j == NULL ? NULL : flow_task(l->state, &ref, &step);
    if (t == NULL || r->phase != RUN_ACTIVE) {
        return;
    }
    if (t->run == r->task.run) {
        t->confirmed_run = t->run;
    }
    if (step->spec->endless) {
        return;
    }
    progress.started = r->run_started_ns;
    progress.progressed = r->progressed_at;
    progress.percent = r->percent;
    progress.run = r->task.run;
    progress.expected_ms = plan_run_ms(j, step, 1);
    progress.checkpoints = step->spec->checkpoints;
    /* The speed of a run that is on time is observed when it ends. */
    if (progress_projected_ms(&progress) > progress.expected_ms * 2) {
        plan_observe_run(w, j->queue, progress_projected_ms(&progress),
                         step->spec->estimate_ms, l->node->now);
    }
    if (progress_should_restart(&progress)) {
        event_write(
            &event_slow,
            "job=%016llx task=%u.%u.%u run=%u worker=%.*s percent=%u "
            "elapsed_ms=%lld expected_ms=%.0f outcome=stopped",
            (unsigned long long)r->task.job, r->task.occurrence, r->task.step,
            r->task.index, r->task.run, STR_ARG(w->id), r->percent,
            (long long)((l->node->now - r->run_started_ns) / NS_PER_MS),
            progress.expected_ms);
        session_avoid(l, s, AVOID_WORKER_MS);
        run_set_phase(l, r, RUN_STOP_QUEUED);
    }
}

/* Handles a run whose start has timed out, and which a poll with a later token
 * does not list. */
static void
handle_lost_start(struct leader *l, struct session *s, struct run *r)
{
    event_write(&event_call,
                "call=start job=%016llx task=%u.%u.%u run=%u starts=%u lost=1",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run, r->starts.count);
    if (r->starts.count < STARTS_PER_RUN_MAX) {
        run_set_phase(l, r, RUN_QUEUED);
    }
    else {
        run_propose_not_started(l, s, r);
    }
}

/* Decides on a run that was missing from a list requested after it entered its
 * phase. */
static void
handle_unlisted_run(struct leader *l, struct session *s, struct run *r)
{
    struct flow_step *step;

    switch (r->phase) {
    case RUN_STOPPED:
        if (run_find_assigned_task(l, s->number, &r->task, &step) == NULL) {
            run_remove(s, r);
        }
        else {
            run_propose_not_started(l, s, r);
        }
        break;
    case RUN_UNKNOWN:
        if (s->settling) {
            /* A stray run may be an earlier one of the same task. */
            if (s->stray_runs == 0) {
                run_propose_not_started(l, s, r);
            }
            break;
        }
        run_set_phase(l, r, RUN_STOP_QUEUED);
        break;
    case RUN_UNCERTAIN:
        /* Otherwise its start was refused, or its connection broke. */
        if (r->start_token != 0 && r->start_token < s->token && !s->settling) {
            handle_lost_start(l, s, r);
            break;
        }
        run_set_phase(l, r, RUN_STOP_QUEUED);
        break;
    case RUN_ACTIVE:
        run_set_phase(l, r, RUN_STOP_QUEUED);
        break;
    case RUN_QUEUED:
    case RUN_SENT:
    case RUN_STOP_QUEUED:
    case RUN_STOP_SENT:
        break;
    }
}

static bool
is_listed(const struct node_worker_result *result, const struct run *r)
{
    for (size_t i = 0; i < result->running_count; i++) {
        if (run_key(&result->running[i].task) == run_key(&r->task) &&
            result->running[i].task.run == r->task.run) {
            return true;
        }
    }
    for (size_t i = 0; i < result->ended_count; i++) {
        if (run_key(&result->ended[i].task) == run_key(&r->task) &&
            result->ended[i].task.run == r->task.run) {
            return true;
        }
    }
    return false;
}

/* Updates the session's runs that the worker listed as running. */
static void
update_running(struct leader *l, struct session *s,
               const struct node_worker_result *result)
{
    struct run *r;

    for (size_t i = 0; i < result->running_count; i++) {
        r = run_find(s, &result->running[i].task);
        if (r == NULL) {
            stop_unexpected(l, s, &result->running[i].task);
            continue;
        }
        if (r->phase == RUN_UNKNOWN || r->phase == RUN_UNCERTAIN) {
            run_set_phase(l, r, RUN_ACTIVE);
        }
        r->end_proposed = false;
        open_starts_listed(&r->starts);
        update_progress(l, s, r, &result->running[i]);
    }
}

/*
 * Decides on the session's runs that the worker did not list in the answer to
 * a poll sent at sent_at. An end that did not fit into the answer is listed
 * only after those in it are committed, so that nothing follows from an answer
 * that may not hold all ends. Nor does anything from one with entries that
 * cannot be read.
 */
static void
handle_unlisted_runs(struct leader *l, struct session *s,
                     const struct node_worker_result *result, int64_t sent_at)
{
    struct run *r;
    void *cursor = NULL;

    if (result->ended_count >= l->node->adapter->ended_max ||
        result->running_unreadable > 0 || result->ended_unreadable > 0) {
        return;
    }
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        if (sent_at >= r->phase_since && !is_listed(result, r)) {
            handle_unlisted_run(l, s, r);
        }
    }
}

/* Updates the worker's speed and its count of failures. A worker on which runs
 * of several jobs fail in a row is avoided. */
static void
record_outcome(struct leader *l, struct session *s,
               const struct node_ended_run *e)
{
    struct run *r = run_find(s, &e->task);
    struct flow_job *j = flow_job(l->state, e->task.job);

    if (j != NULL) {
        j->run_confirmed = true;
    }
    if (e->how == FLOW_END_DONE && r != NULL && r->run_started_ns != 0 &&
        j != NULL && e->task.step < j->spec->n_steps) {
        plan_observe_run(
            flow_worker(l->state, s->number), j->queue,
            (double)(l->node->now - r->run_started_ns) / NS_PER_MS,
            j->spec->steps[e->task.step]->estimate_ms, l->node->now);
    }
    if (e->how == FLOW_END_DONE) {
        s->consecutive_failures = 0;
        return;
    }
    if (e->how != FLOW_END_FAILED || e->task.job == s->failed_job) {
        return;
    }
    s->failed_job = e->task.job;
    if (++s->consecutive_failures >= FAILURES_MAX) {
        session_avoid(l, s, AVOID_SUSPECT_MS);
    }
}

/*
 * Notes that the run has ended, and returns whether its end is to be
 * committed. Ends on a restarted worker are not acknowledged, so that each is
 * reported again until the worker is registered anew; only those of the runs
 * that are being settled are committed, once.
 */
static bool
should_record_end(struct session *s, const struct node_ended_run *e)
{
    struct run *r = run_find(s, &e->task);
    bool record = !s->settling || (r != NULL && !r->end_proposed);

    if (r != NULL) {
        r->end_proposed = true;
    }
    return record;
}

/* Returns whether the end is not to be committed yet, as another start of its
 * run may still be sent. */
static bool
is_end_held(const struct leader *l, struct session *s,
            const struct node_ended_run *e)
{
    struct run *r = run_find(s, &e->task);

    if (r == NULL) {
        return false;
    }
    open_starts_listed(&r->starts);
    return open_starts_any(&r->starts, l->node->now);
}

/* Queues a command with the reported ends that are not committed yet. The ends
 * up to last_seen are committed. Returns whether none was held. */
static bool
queue_ends(struct leader *l, struct session *s,
           const struct node_worker_result *result, uint64_t last_seen)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__End *items = mem_alloc((result->ended_count + 1) * sizeof(*items));
    Flow__Task *tasks = mem_alloc((result->ended_count + 1) * sizeof(*tasks));
    Flow__End **list = mem_alloc((result->ended_count + 1) * sizeof(*list));
    uint64_t highest = last_seen;
    bool held = false;

    leader_propose_if_long(l);

    for (size_t i = 0; i < result->ended_count && !held; i++) {
        const struct node_ended_run *e = &result->ended[i];

        held = is_end_held(l, s, e);
        if (held || e->number <= last_seen || !should_record_end(s, e)) {
            continue;
        }
        highest = e->number > highest ? e->number : highest;
        /* Its run is missing from the answers that follow. */
        if (e->how == 0) {
            continue;
        }
        run_to_flow_task(&tasks[ends.n_ends], &e->task, s->number);
        flow__end__init(&items[ends.n_ends]);
        items[ends.n_ends].task = &tasks[ends.n_ends];
        items[ends.n_ends].how = e->how;
        items[ends.n_ends].checkpoint = (char *)e->checkpoint.ptr;
        list[ends.n_ends] = &items[ends.n_ends];
        ends.n_ends++;
        record_outcome(l, s, e);
        metrics_end(l->node->metrics, e->how);
        event_write(&event_end,
                    "job=%016llx task=%u.%u.%u run=%u how=%u worker=%u "
                    "number=%llu",
                    (unsigned long long)e->task.job, e->task.occurrence,
                    e->task.step, e->task.index, e->task.run, e->how,
                    s->number, (unsigned long long)e->number);
    }
    if (ends.n_ends > 0 || (highest > last_seen && !s->settling)) {
        ends.worker = s->number;
        ends.last_seen = s->settling ? 0 : highest;
        ends.ends = list;
        command.kind_case = FLOW__COMMAND__KIND_ENDS;
        command.ends = &ends;
        leader_queue_command(l, &command);
        if (!s->settling) {
            s->proposed_end_number = highest;
        }
    }
    mem_free(list);
    mem_free(tasks);
    mem_free(items);
    return !held;
}

static void
handle_poll_failure(struct leader *l, struct session *s,
                    const struct flow_worker *w, const struct out_call *call,
                    enum upstream_failure failure)
{
    if (failure == UPSTREAM_NO_SLOT) {
        relay_avoid(l->node, call->link);
    }
    s->polls_unanswered++;
    s->poll_failing = true;
    s->poll_failed_at = l->node->now;
    s->poll_due = l->node->now + s->retry_ms * NS_PER_MS;
    s->retry_ms =
        s->retry_ms * 2 > RETRY_MAX_MS ? RETRY_MAX_MS : s->retry_ms * 2;
    /* A refused connection shows that the process has exited, a broken one
     * does not. A process drains before it deregisters, so that otherwise the
     * deregistration was of an earlier one. */
    if (s->deregistered && w->draining && failure == UPSTREAM_REFUSED) {
        session_propose_lost(
            l, s, "deregistered, and its address refuses connections");
    }
}

/* Reports whether the answer lists a run of the session as running. */
static bool
lists_own_run(struct session *s, const struct node_worker_result *result)
{
    for (size_t i = 0; i < result->running_count; i++) {
        if (run_find(s, &result->running[i].task) != NULL) {
            return true;
        }
    }
    return false;
}

static void
log_unreadable(const struct leader *l, const struct flow_worker *w,
               const struct node_worker_result *result)
{
    if (result->running_unreadable == 0 && result->ended_unreadable == 0 &&
        result->checkpoints_dropped == 0) {
        return;
    }
    metrics_unreadable(l->node->metrics,
                       result->running_unreadable + result->ended_unreadable,
                       result->checkpoints_dropped);
    event_write(&event_unread,
                "worker=%.*s number=%u running=%zu running_unreadable=%u "
                "ended=%zu ended_unreadable=%u checkpoints_dropped=%u",
                STR_ARG(w->id), w->number, result->running_count,
                result->running_unreadable, result->ended_count,
                result->ended_unreadable, result->checkpoints_dropped);
}

/*
 * Returns whether the lease of the worker may be renewed. Entries that cannot
 * be read may be runs of the session, which are neither confirmed nor ended
 * then. Without a lease the worker ends all its runs, and is registered anew.
 * Ends that are to be acknowledged make room for others in the next answer.
 */
static bool
may_renew_lease(struct leader *l, struct session *s, bool ends_to_acknowledge,
                const struct node_worker_result *result)
{
    bool hidden = result->running_unreadable > 0 ||
                  (result->ended_unreadable > 0 && map_count(s->runs) > 0);

    s->lists_unreadable =
        result->running_unreadable > 0 || result->ended_unreadable > 0;
    if (!hidden || ends_to_acknowledge || lists_own_run(s, result)) {
        s->unreadable_until = 0;
        return true;
    }
    if (s->unreadable_until == 0) {
        s->unreadable_until = l->node->now + UNREADABLE_MAX_MS * NS_PER_MS;
    }
    return l->node->now < s->unreadable_until;
}

static void
handle_poll_answer(struct leader *l, struct session *s, struct flow_worker *w,
                   const struct node_worker_result *result, int64_t sent_at)
{
    bool ends_to_acknowledge;
    bool ends_queued;

    if (result->refusal == NODE_REFUSAL_WRONG_WORKER) {
        s->poll_due = l->node->now + RETRY_MIN_MS * NS_PER_MS;
        session_propose_lost(l, s, "another worker answers at its address");
        return;
    }
    if (result->born_ms >= 0 && result->born_ms != s->born_ms) {
        session_restart(l, s, result->born_ms);
        return;
    }
    if (result->refusal != NODE_REFUSAL_NONE) {
        /* It tells nothing about the runs, so that it must not renew their
         * lease either. */
        event_write(&event_unread, "worker=%.*s number=%u refusal=%d",
                    STR_ARG(w->id), w->number, (int)result->refusal);
        s->poll_failing = true;
        /* A later process that is announced may answer otherwise. */
        s->poll_due =
            l->node->now +
            (s->announced_born_ms > s->born_ms ? RETRY_MIN_MS : RETRY_MAX_MS) *
                NS_PER_MS;
        return;
    }
    session_record_answer(l, s, result);
    log_unreadable(l, w, result);
    /* Only an answer to a poll tells which process of the worker gave it. */
    s->poll_failing = false;
    s->retry_ms = RETRY_MIN_MS;
    s->poll_answered = true;
    if (s->deregistered && sent_at >= s->exit_due_at) {
        /* The deregistration was of an earlier process of the worker. */
        s->deregistered = false;
    }
    if (s->polls_unanswered > 0 &&
        l->node->now - s->poll_failed_at > RELAY_KEPT_MS * NS_PER_MS) {
        s->polls_unanswered = 0;
    }
    update_running(l, s, result);
    handle_unlisted_runs(l, s, result, sent_at);
    ends_queued = queue_ends(l, s, result, s->settling ? 0 : w->last_seen);
    /* A poll does not wait while there are ends that are not acknowledged. */
    s->poll_due = l->node->now;
    if (s->settling || !ends_queued) {
        s->poll_due += POLL_SHORT_WAIT_MS * NS_PER_MS;
    }
    ends_to_acknowledge = s->proposed_end_number > w->last_seen;
    if (!may_renew_lease(l, s, ends_to_acknowledge, result)) {
        s->poll_failing = true;
    }
    /* Ends that cannot be acknowledged make each poll return at once. */
    if ((result->running_unreadable > 0 || result->ended_unreadable > 0) &&
        !ends_to_acknowledge) {
        s->poll_due = l->node->now + RETRY_MIN_MS * NS_PER_MS;
    }
}

static void
handle_poll_result(struct node *n, struct out_call *call,
                   enum upstream_failure failure,
                   const struct node_worker_result *result)
{
    struct session *s = worker_call_record_result(n, call, failure);
    struct flow_worker *w;

    if (s == NULL || is_stale_result(s, call)) {
        return;
    }
    s->polling = false;
    w = flow_worker(n->leader->state, s->number);
    if (w == NULL) {
        return;
    }
    if (failure != UPSTREAM_OK) {
        event_write(&event_call, "call=poll worker=%.*s failure=%s",
                    STR_ARG(w->id), upstream_failure_name(failure));
        handle_poll_failure(n->leader, s, w, call, failure);
        return;
    }
    handle_poll_answer(n->leader, s, w, result, call->sent);
}

/* Returns how long a poll waits for ends. An answer decides on uncertain runs,
 * but not before no start of them can be sent any more. */
static uint32_t
poll_wait_ms(const struct leader *l, const struct session *s)
{
    int64_t wait_ms = POLL_WAIT_MS;
    struct run *r;
    void *cursor = NULL;

    if (!s->poll_answered || s->settling) {
        return POLL_SHORT_WAIT_MS;
    }
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        int64_t decided_ms = POLL_SHORT_WAIT_MS;

        if (r->phase != RUN_UNKNOWN && r->phase != RUN_UNCERTAIN &&
            r->phase != RUN_STOPPED) {
            continue;
        }
        if (r->phase == RUN_STOPPED &&
            open_starts_any(&r->starts, l->node->now)) {
            decided_ms += (r->starts.open_until - l->node->now) / NS_PER_MS;
        }
        wait_ms = decided_ms < wait_ms ? decided_ms : wait_ms;
    }
    return (uint32_t)wait_ms;
}

void
session_poll(struct leader *l, struct session *s, const struct flow_worker *w)
{
    struct out_call *call =
        worker_call_create(l, s, w, NODE_CALL_POLL, handle_poll_result);
    uint32_t wait_ms = poll_wait_ms(l, s);

    /* After a failed poll, another process of the worker may answer, which
     * must not forget ends by the numbers of the earlier one. */
    call->call.u.poll.last_seen =
        s->poll_answered && !s->poll_failing && !s->settling ? w->last_seen
                                                             : 0;
    call->call.u.poll.lease_until_ms = session_extend_lease(l, s);
    call->call.u.poll.wait_ms = wait_ms;
    s->polling = worker_call_send(
        l, s, w, call, l->node->now + (wait_ms + CALL_TIMEOUT_MS) * NS_PER_MS);
}
