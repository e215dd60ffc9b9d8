/*
 * Carries out the planner's decisions: commits starts and distributes requests
 * to the approval service over the VMs.
 */
#include "leader.h"

#include <stdio.h>
#include <string.h>

#include "approval_vm.h"
#include "clock.h"
#include "event.h"
#include "mem.h"

enum {
    /* Starts after which a round takes up no further step. They are committed
     * as one batch, which must cost the leader only a few ms. */
    STARTS_PER_ROUND_MAX = 400,
    REQUESTS_PER_ROUND_MAX = 64,
    /* Worker views that a round looks at before it stops to try steps. Bounds
     * the time of a round, whatever the backlog. */
    VISITS_PER_ROUND_MAX = 30000,
    /* Number of gangs that workers are reserved for. It grows with the fleet,
     * as each gang reserves several workers. */
    RESERVATIONS_MIN = 6,
    WORKERS_PER_RESERVATION = 20,
    /* Minimum pause between planning rounds. Changes that arrive meanwhile are
     * handled by one round. */
    PLAN_PAUSE_MIN_MS = 4,
    /* Minimum pause after a round as a multiple of its duration. Planning then
     * takes at most a fifth of the leader's time. */
    PLAN_PAUSE_FACTOR = 4,
    /* Added to a request's timeout, as it may queue behind other requests of
     * the same VM. */
    QUEUEING_TIMEOUT_MS = 1200,
    /* Added to a request's timeout at the VM, for its answer to reach the
     * leader. */
    ANSWER_TIMEOUT_MS = 200,
    /* How long a VM gets no requests after one failed: it may be unable to
     * reach the service. */
    AVOID_VM_MS = 3000,
    /* Subtracted from a ticket's validity. Its age is unknown: it was issued
     * before the answer was sent to the leader through another VM. */
    TICKET_MARGIN_MS = 40,
};

static struct event_kind event_start = {.name = "start", .per_second = 200};
static struct event_kind event_approval = {.name = "approval-asked",
                                           .per_second = 60};
static struct event_kind event_waiting = {.name = "waiting", .per_second = 40};

static struct event_kind event_headroom = {.name = "headroom",
                                           .per_second = 1};

/* A request to the approval service that was sent to a VM. */
struct approval_request {
    uint64_t id;
    uint64_t link;   /* id of the link to that VM */
    Flow__Task task; /* only job, occurrence and step are set */
    uint32_t workers[PLAN_REQUEST_WORKERS_MAX];
    size_t count;
    int64_t sent;
    int64_t deadline;
    int64_t cost_ms;    /* expected time at the service */
    uint32_t ticket_ms; /* validity of the tickets */
};

void
leader_free_approvals(struct leader *l)
{
    struct approval_request *a;
    void *cursor = NULL;

    while ((a = map_next(l->approvals, &cursor)) != NULL) {
        struct link *link = map_get_u64(l->node->links, a->link);

        if (link != NULL) {
            link->open_approvals = 0;
            link->approvals_expected_ms = 0;
        }
        mem_free(a);
    }
    map_destroy(l->approvals);
}

static bool
can_send_to_vm(const struct leader *l, const struct link *link,
               bool long_request, size_t index)
{
    const struct approval_vm vm = {
        .index = index,
        .open_requests = link->open_approvals,
        .expected_ms = link->approvals_expected_ms,
        .avoid_until_ns = link->approval_avoid_until,
    };

    return approval_vm_can_take(&vm, long_request, l->node->now);
}

/* Returns the VM with the lowest expected time for its open requests, or NULL
 * if no VM can take one. The leader is the busiest process and calls the
 * service only through other VMs. */
static struct link *
find_least_loaded_vm(const struct leader *l, bool long_request)
{
    struct link *best = NULL;
    struct link *link;
    void *cursor = NULL;
    size_t index = 0;

    while ((link = map_next(l->node->links, &cursor)) != NULL) {
        if (can_send_to_vm(l, link, long_request, index++) &&
            (best == NULL ||
             link->approvals_expected_ms < best->approvals_expected_ms)) {
            best = link;
        }
    }
    return best;
}

static void
send_approval_request(struct leader *l,
                      const struct plan_approval_request *request,
                      struct link *link)
{
    const struct flow_queue *q = request->job->queue;
    struct approval_request *a = mem_zalloc(1, sizeof(*a));
    Node__Ask ask = NODE__ASK__INIT;
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    char *names[PLAN_REQUEST_WORKERS_MAX];

    a->id = ++l->last_approval_id;
    a->sent = l->node->now;
    a->link = link->id;
    flow__task__init(&a->task);
    a->task.job = request->job->id;
    a->task.occurrence = request->occurrence->number;
    a->task.step = (uint32_t)(request->step - request->occurrence->steps);
    a->ticket_ms = q->ticket_ms;
    for (size_t i = 0; i < request->count; i++) {
        struct flow_worker *w = flow_worker(l->state, request->workers[i]);

        a->workers[a->count++] = request->workers[i];
        names[ask.n_workers++] = (char *)w->id.ptr;
    }
    a->cost_ms = plan_approval_ms(q, request->count);
    ask.id = a->id;
    ask.job = a->task.job;
    ask.occurrence = a->task.occurrence;
    ask.step = a->task.step;
    ask.workers = names;
    ask.timeout_ms = (uint32_t)(link->approvals_expected_ms + a->cost_ms * 2) +
                     QUEUEING_TIMEOUT_MS;
    a->deadline =
        l->node->now + (ask.timeout_ms + ANSWER_TIMEOUT_MS) * NS_PER_MS;
    plan_record_request(request->step, a->deadline);
    plan_charge_request(request, l->node->now);
    metrics_approval_sent(l->node->metrics, q->priority, a->cost_ms);
    map_put_u64(l->approvals, a->id, a);
    link->open_approvals++;
    link->approvals_expected_ms += a->cost_ms;
    envelope.msg_case = NODE__ENVELOPE__MSG_ASK;
    envelope.ask = &ask;
    link_send(link, &envelope);
}

static void
log_approval_result(const struct leader *l, const struct approval_request *a,
                    size_t approved, const char *outcome)
{
    event_write(&event_approval,
                "job=%016llx step=%u.%u workers=%zu approved=%zu took_ms=%lld "
                "cost_ms=%lld link=%llu outcome=%s",
                (unsigned long long)a->task.job, a->task.occurrence,
                a->task.step, a->count, approved,
                (long long)((l->node->now - a->sent) / NS_PER_MS),
                (long long)a->cost_ms, (unsigned long long)a->link, outcome);
}

static void
free_approval_request(struct leader *l, struct approval_request *a)
{
    struct link *link = map_get_u64(l->node->links, a->link);

    if (link != NULL && link->open_approvals > 0) {
        link->open_approvals--;
        link->approvals_expected_ms -= a->cost_ms;
    }
    map_del_u64(l->approvals, a->id);
    mem_free(a);
}

/* Records the failure with the planner, which may request approval for the
 * step again through another VM. */
static void
fail_approval_request(struct leader *l, struct approval_request *a)
{
    struct link *link = map_get_u64(l->node->links, a->link);
    struct flow_step *step;

    log_approval_result(l, a, 0, "failed");
    if (link != NULL) {
        link->approval_avoid_until = l->node->now + AVOID_VM_MS * NS_PER_MS;
    }
    if (flow_task(l->state, &a->task, &step) != NULL) {
        plan_record_response(step);
    }
    l->plan_needed = true;
    free_approval_request(l, a);
}

void
leader_link_down(struct leader *l, uint64_t link)
{
    struct approval_request *a;
    void *cursor = NULL;

    while ((a = map_next(l->approvals, &cursor)) != NULL) {
        if (a->link == link) {
            fail_approval_request(l, a);
        }
    }
}

static const Node__Ticket *
find_ticket(const Node__Answer *answer, struct str worker)
{
    for (size_t i = 0; i < answer->n_approved; i++) {
        if (str_eq(str_of(answer->approved[i]->worker), worker)) {
            return answer->approved[i];
        }
    }
    return NULL;
}

/* Returns how many workers of the request the answer approves. It may name
 * others, which are ignored. */
static size_t
count_asked(const struct leader *l, const struct approval_request *a,
            const Node__Answer *answer)
{
    size_t n = 0;

    for (size_t i = 0; i < a->count; i++) {
        const struct flow_worker *w = flow_worker(l->state, a->workers[i]);

        n += w != NULL && find_ticket(answer, w->id) != NULL;
    }
    return n;
}

void
leader_handle_approval(struct leader *l, const Node__Answer *answer,
                       uint64_t from)
{
    struct approval_request *a = map_get_u64(l->approvals, answer->id);
    struct flow_step *step = NULL;
    int64_t valid_until_ns;

    if (a == NULL || a->link != from) {
        return;
    }
    if (!answer->ok) {
        fail_approval_request(l, a);
        return;
    }
    log_approval_result(l, a, answer->n_approved, "answered");
    if (count_asked(l, a, answer) < answer->n_approved) {
        event_write(&event_approval,
                    "job=%016llx step=%u.%u link=%llu outcome=unasked-workers",
                    (unsigned long long)a->task.job, a->task.occurrence,
                    a->task.step, (unsigned long long)a->link);
    }
    metrics_approval(l->node->metrics, l->node->now - a->sent);
    valid_until_ns =
        l->node->now + ((int64_t)a->ticket_ms - TICKET_MARGIN_MS) * NS_PER_MS;
    if (flow_task(l->state, &a->task, &step) != NULL) {
        size_t first_answers = 0;
        size_t first_approved = 0;

        plan_record_response(step);
        for (size_t i = 0; i < a->count; i++) {
            struct flow_worker *w = flow_worker(l->state, a->workers[i]);
            const Node__Ticket *t =
                w == NULL ? NULL : find_ticket(answer, w->id);

            if (w != NULL && plan_record_verdict(step, w->number, t != NULL,
                                                 t == NULL ? str_from(NULL, 0)
                                                           : str_of(t->ticket),
                                                 valid_until_ns)) {
                first_answers++;
                first_approved += t != NULL;
            }
        }
        plan_observe_approvals(flow_job(l->state, a->task.job)->queue,
                               first_answers, first_approved);
    }
    l->plan_needed = true;
    free_approval_request(l, a);
}

static void
expire_approval_requests(struct leader *l)
{
    struct approval_request *a;
    void *cursor = NULL;

    while ((a = map_next(l->approvals, &cursor)) != NULL) {
        if (l->node->now >= a->deadline) {
            fail_approval_request(l, a);
        }
    }
}

static size_t
count_sendable_requests(const struct leader *l)
{
    struct link *link;
    void *cursor = NULL;
    size_t n = 0;

    while ((link = map_next(l->node->links, &cursor)) != NULL) {
        n += approval_vm_free_requests(link->open_approvals);
    }
    return n < REQUESTS_PER_ROUND_MAX ? n : REQUESTS_PER_ROUND_MAX;
}

static void
propose_start(struct leader *l, const struct plan_start *start)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Task task = FLOW__TASK__INIT;
    struct planned_start *planned = &l->planned[l->planned_count++];

    planned->task.job = start->job->id;
    planned->task.occurrence = start->occurrence->number;
    planned->task.step = (uint32_t)(start->step - start->occurrence->steps);
    planned->task.index = start->index;
    planned->task.run = start->run;
    planned->worker = start->worker->number;
    memcpy(planned->ticket, start->ticket, sizeof(planned->ticket));
    task.job = planned->task.job;
    task.occurrence = planned->task.occurrence;
    task.step = planned->task.step;
    task.index = planned->task.index;
    task.run = planned->task.run;
    task.worker = planned->worker;
    command.kind_case = FLOW__COMMAND__KIND_START;
    command.start = &task;
    leader_queue_command(l, &command);
    metrics_start(l->node->metrics, !start->job->started,
                  l->node->now - start->job->arrived_ns);
    event_write(
        &event_start,
        "job=%016llx task=%u.%u.%u run=%u worker=%.*s "
        "waited_ms=%lld used_cpu=%llu",
        (unsigned long long)start->job->id, planned->task.occurrence,
        planned->task.step, planned->task.index, start->run,
        STR_ARG(start->worker->id),
        (long long)((l->node->now - start->job->arrived_ns) / NS_PER_MS),
        (unsigned long long)start->worker->used.cpu_milli);
}

static int64_t
next_plan_time(int64_t began, int64_t ended)
{
    int64_t pause = (ended - began) * PLAN_PAUSE_FACTOR;
    int64_t min_pause = PLAN_PAUSE_MIN_MS * NS_PER_MS;

    return ended + (pause > min_pause ? pause : min_pause);
}

static void
log_waiting(const struct leader *l, const struct plan_wait_report *report)
{
    const struct flow_job *j = report->job;
    int64_t waited_ms = (l->node->now - j->arrived_ns) / NS_PER_MS;
    struct flow_size size = flow_step_size(report->step);

    event_write(
        &event_waiting,
        "job=%016llx step=%u.%zu reason=%s waited_ms=%lld late=%d "
        "fits_in_ms=%lld verdicts=%u approved=%u tasks=%u "
        "cpu=%llu gang=%d team=%.*s team_cpu=%llu team_cpu_limit=%llu "
        "team_memory=%llu team_memory_limit=%llu",
        (unsigned long long)j->id, report->occurrence->number,
        (size_t)(report->step - report->occurrence->steps),
        metrics_wait_reason_name(report->reason), (long long)waited_ms,
        report->lateness,
        report->reservation_start_ns == INT64_MAX
            ? -1LL
            : (long long)((report->reservation_start_ns - l->node->now) /
                          NS_PER_MS),
        report->verdicts, report->approved, report->missing,
        (unsigned long long)size.cpu_milli, report->step->spec->gang,
        STR_ARG(j->team->name), (unsigned long long)j->team->used.cpu_milli,
        (unsigned long long)j->team->limit.cpu_milli,
        (unsigned long long)j->team->used.memory_mib,
        (unsigned long long)j->team->limit.memory_mib);
}

/* Returns when a VM that is avoided may be sent requests again; INT64_MAX:
 * none is avoided. */
static int64_t
next_vm_available(const struct leader *l)
{
    struct link *link;
    void *cursor = NULL;
    int64_t next = INT64_MAX;

    while ((link = map_next(l->node->links, &cursor)) != NULL) {
        if (link->approval_avoid_until > l->node->now &&
            link->approval_avoid_until < next) {
            next = link->approval_avoid_until;
        }
    }
    return next;
}

/* Sends as many requests as VMs can take. The others are planned again once a
 * request is answered or a VM is no longer avoided. */
static void
send_approval_requests(struct leader *l)
{
    for (size_t i = 0; i < l->plan.approval_request_count; i++) {
        bool long_request = approval_vm_is_long(
            l->plan.approval_requests[i].job->queue->approval_ms);
        struct link *link = find_least_loaded_vm(l, long_request);
        int64_t next;

        if (link != NULL) {
            send_approval_request(l, &l->plan.approval_requests[i], link);
            continue;
        }
        next = next_vm_available(l);
        if (next < l->plan.reconsider_ns) {
            l->plan.reconsider_ns = next;
        }
    }
}

void
leader_plan_step(struct leader *l)
{
    struct plan_limits limits = {.starts = STARTS_PER_ROUND_MAX,
                                 .visits = VISITS_PER_ROUND_MAX};
    int64_t began;

    expire_approval_requests(l);
    l->plan_needed = l->plan_needed || l->node->now >= l->plan.reconsider_ns;
    if (!l->plan_needed || l->plan_committing || l->node->now < l->plan_due) {
        return;
    }
    /* Leaves room for runs that are listed without being assigned. */
    limits.tasks_per_worker = l->node->adapter->running_max / 2;
    limits.approval_requests = count_sendable_requests(l);
    limits.reservations =
        RESERVATIONS_MIN + map_count(l->sessions) / WORKERS_PER_RESERVATION;
    began = clock_now();
    plan_make(l->state, l->node->now, &limits, &l->plan);
    l->plan_needed = l->plan.incomplete;
    l->plan_due = next_plan_time(began, clock_now());
    metrics_plan(l->node->metrics, clock_now() - began);
    if (l->plan.yielded > 0) {
        metrics_yielded(l->node->metrics, l->plan.yielded);
        event_write(&event_headroom,
                    "yielded=%zu claimed_cpu=%llu free_cpu=%llu "
                    "claimed_memory=%llu free_memory=%llu",
                    l->plan.yielded,
                    (unsigned long long)l->plan.claimed.cpu_milli,
                    (unsigned long long)l->plan.free.cpu_milli,
                    (unsigned long long)l->plan.claimed.memory_mib,
                    (unsigned long long)l->plan.free.memory_mib);
    }
    for (size_t i = 0; i < l->plan.waiting_count; i++) {
        log_waiting(l, &l->plan.waiting[i]);
        metrics_waiting(l->node->metrics, &l->plan.waiting[i]);
    }
    send_approval_requests(l);
    if (l->plan.start_count == 0) {
        return;
    }
    l->planned =
        mem_realloc(l->planned, l->plan.start_count, sizeof(*l->planned));
    l->planned_count = 0;
    for (size_t i = 0; i < l->plan.start_count; i++) {
        propose_start(l, &l->plan.starts[i]);
    }
    l->plan_committing = true;
    leader_open_batch(l)->has_starts = true;
}

void
leader_queue_planned_starts(struct leader *l)
{
    l->plan_committing = false;
    for (size_t i = 0; i < l->planned_count; i++) {
        workers_queue_start(l, &l->planned[i]);
    }
    l->planned_count = 0;
}
