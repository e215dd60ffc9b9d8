/*
 * Calls that start and stop runs on workers.
 */
#include "session.h"

#include <string.h>

#include "clock.h"
#include "event.h"
#include "mem.h"

static struct event_kind event_call = {.name = "worker-call",
                                       .per_second = 60};

struct session *
worker_call_record_result(struct node *n, const struct out_call *call,
                          enum upstream_failure failure)
{
    struct session *s;

    metrics_worker_call(n->metrics, call->call.kind, failure);
    if (n->leader == NULL || leader_current_term(n->leader) != call->term) {
        return NULL;
    }
    s = session_find(n->leader, call->worker);
    if (s != NULL) {
        session_queue_step(s);
    }
    return s;
}

struct out_call *
worker_call_create(struct leader *l, struct session *s,
                   const struct flow_worker *w,
                   enum node_worker_call_kind kind, worker_result_fn *answered)
{
    struct out_call *call = mem_zalloc(1, sizeof(*call));

    call->call.kind = kind;
    call->call.worker = w->id;
    call->call.token = s->token;
    call->address = str_dup(w->address);
    call->on_result = answered;
    call->worker = s->number;
    call->term = l->term;
    call->send_by =
        send_window_end(l->node->now, (int64_t)l->node->settings.lease_max_ms);
    return call;
}

bool
worker_call_send(struct leader *l, struct session *s,
                 const struct flow_worker *w, struct out_call *call,
                 int64_t deadline)
{
    struct link *via = relay_choose(l->node, w, s->polls_unanswered);

    if (via == NULL) {
        return out_send_worker_call(l->node, call, deadline);
    }
    relay_send(l->node, call, via, deadline);
    return true;
}

static void
handle_start_refusal(struct leader *l, struct session *s, struct run *r,
                     enum node_refusal refusal)
{
    struct flow_step *step;
    Flow__Task task;

    event_write(&event_call,
                "call=start job=%016llx task=%u.%u.%u run=%u worker=%u "
                "refusal=%d",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run, s->number,
                (int)refusal);
    run_to_flow_task(&task, &r->task, s->number);
    /* The run is looked up again if its end cannot be committed. */
    run_set_phase(l, r, RUN_UNCERTAIN);
    r->start_token = 0;
    switch (refusal) {
    case NODE_REFUSAL_BAD_TICKET:
        if (flow_task(l->state, &task, &step) != NULL) {
            plan_invalidate_ticket(step, s->number);
        }
        run_propose_not_started(l, s, r);
        break;
    case NODE_REFUSAL_NO_CAPACITY:
    case NODE_REFUSAL_UNHEALTHY:
        session_avoid(l, s, AVOID_WORKER_MS);
        run_propose_not_started(l, s, r);
        break;
    case NODE_REFUSAL_LEASE_EXPIRED:
    case NODE_REFUSAL_INVALID:
        run_propose_not_started(l, s, r);
        break;
    case NODE_REFUSAL_FENCED:
    case NODE_REFUSAL_STALE_RUN:
    case NODE_REFUSAL_WRONG_WORKER:
    case NODE_REFUSAL_MALFORMED:
    case NODE_REFUSAL_NONE:
        break;
    }
}

/* Records the time of the start, from which the planner predicts when the
 * run's capacity becomes free. */
static void
record_start_time(struct leader *l, const struct session *s,
                  const struct node_task *task)
{
    struct flow_step *step;
    Flow__Task ref;
    struct flow_task *t;

    run_to_flow_task(&ref, task, s->number);
    t = flow_task(l->state, &ref, &step);
    if (t != NULL && t->run == task->run) {
        t->run_started_ns = l->node->now;
        t->confirmed_run = task->run;
        flow_job(l->state, task->job)->run_confirmed = true;
    }
}

static void
handle_start_result(struct node *n, struct out_call *call,
                    enum upstream_failure failure,
                    const struct node_worker_result *result)
{
    struct session *s = worker_call_record_result(n, call, failure);
    struct run *r;

    if (s == NULL || is_stale_result(s, call)) {
        return;
    }
    s->open_calls--;
    r = run_find(s, &call->task);
    if (failure != UPSTREAM_OK) {
        event_write(&event_call,
                    "call=start job=%016llx run=%u worker=%u failure=%s",
                    (unsigned long long)call->task.job, call->task.run,
                    s->number, upstream_failure_name(failure));
        if (r != NULL && r->phase == RUN_SENT) {
            run_set_phase(n->leader, r, RUN_UNCERTAIN);
            if (call->unanswered) {
                open_starts_abandon(&r->starts);
            }
            if (failure == UPSTREAM_TIMED_OUT) {
                session_verify(n->leader, s);
            }
        }
        return;
    }
    session_record_answer(n->leader, s, result);
    if (r != NULL && r->phase == RUN_SENT) {
        if (result->refusal == NODE_REFUSAL_NONE) {
            run_set_phase(n->leader, r, RUN_ACTIVE);
            r->run_started_ns = n->now;
            record_start_time(n->leader, s, &r->task);
        }
        else {
            handle_start_refusal(n->leader, s, r, result->refusal);
        }
    }
}

/* Sends a start or stop call and sets the run's phase to sent. If the call
 * cannot be sent, the run returns to its previous phase and the call is tried
 * again. */
static void
send_run_call(struct leader *l, struct session *s, const struct flow_worker *w,
              struct run *r, struct out_call *call, enum run_phase sent)
{
    enum run_phase queued = r->phase;
    int64_t timeout_ms = call->call.kind == NODE_CALL_START ? START_TIMEOUT_MS
                                                            : CALL_TIMEOUT_MS;

    call->task = r->task;
    run_set_phase(l, r, sent);
    s->open_calls++;
    if (!worker_call_send(l, s, w, call,
                          l->node->now + timeout_ms * NS_PER_MS)) {
        s->open_calls--;
        run_set_phase(l, r, queued);
    }
}

void
run_send_start(struct leader *l, struct session *s,
               const struct flow_worker *w, struct run *r)
{
    struct flow_step *step;
    const struct flow_task *t =
        run_find_assigned_task(l, s->number, &r->task, &step);
    const struct flow_job *j = flow_job(l->state, r->task.job);
    struct out_call *call;
    int64_t send_by;

    if (t == NULL || j->state > FLOW_JOB_RUNNING) {
        run_propose_not_started(l, s, r);
        return;
    }
    call = worker_call_create(l, s, w, NODE_CALL_START, handle_start_result);
    call->call.u.start.task = r->task;
    call->call.u.start.payload =
        str_from(j->spec->payload.data, j->spec->payload.len);
    call->call.u.start.lease_until_ms = session_extend_lease(l, s);
    call->call.u.start.checkpoint = t->checkpoint;
    call->call.u.start.ticket = str_of(r->ticket);
    send_by = call->send_by;
    send_run_call(l, s, w, r, call, RUN_SENT);
    if (r->phase == RUN_SENT) {
        r->start_token = s->token;
        open_starts_add(&r->starts, send_by);
    }
}

static void
handle_stop_result(struct node *n, struct out_call *call,
                   enum upstream_failure failure,
                   const struct node_worker_result *result)
{
    struct session *s = worker_call_record_result(n, call, failure);
    struct run *r;

    if (s == NULL || is_stale_result(s, call)) {
        return;
    }
    s->open_calls--;
    r = run_find(s, &call->task);
    if (failure == UPSTREAM_OK) {
        session_record_answer(n->leader, s, result);
    }
    if (r != NULL && r->phase == RUN_STOP_SENT) {
        bool stopped =
            failure == UPSTREAM_OK && result->refusal == NODE_REFUSAL_NONE;

        run_set_phase(n->leader, r, stopped ? RUN_STOPPED : RUN_STOP_QUEUED);
        if (!stopped) {
            s->stop_due = n->now + RETRY_MIN_MS * NS_PER_MS;
        }
    }
}

void
run_send_stop(struct leader *l, struct session *s, const struct flow_worker *w,
              struct run *r)
{
    struct out_call *call =
        worker_call_create(l, s, w, NODE_CALL_STOP, handle_stop_result);

    call->call.u.stop.task = r->task;
    send_run_call(l, s, w, r, call, RUN_STOP_SENT);
}
