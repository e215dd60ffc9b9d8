/*
 * Carries out the planner's decisions: commits starts and distributes calls to
 * the approval service over the VMs.
 */
#include "leader.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "event.h"
#include "mem.h"

enum {
    /* Starts per batch, to bound it to a few ms of the leader's time. */
    STARTS_MAX = 400,
    ASKS_MAX = 64,
    /* Gangs that capacity is reserved for: each holds several workers, so
     * that a larger fleet can reserve for more. */
    RESERVATIONS_MIN = 6,
    WORKERS_PER_RESERVATION = 20,
    /* Minimum interval between planning rounds, so that each considers all
     * that arrived since the last. */
    PLAN_INTERVAL_MS = 4,
    /* A round is followed by a pause of so many times its own time, so that
     * planning takes at most a fifth of the leader's time. */
    PLAN_PAUSE_FACTOR = 4,
    /* An approval call may queue behind others of the same VM. */
    ASK_TIMEOUT_EXTRA_MS = 1200,
    /* Open calls per VM: the service queues 32 per machine. */
    ASKS_PER_VM = 3,
    /* A call that the service works on for longer is a long one. */
    LONG_CALL_MS = 40,
    LONG_CALL_VMS = 3,
    /* How long a VM is skipped after a failed call: it may not reach the
     * service. */
    AVOID_VM_MS = 3000,
    /* A ticket's age when it reaches the leader is not known: it was issued
     * before the answer travelled through another VM. */
    TICKET_TRAVEL_MS = 40,
};

static struct event_kind event_start = {.name = "start", .per_second = 200};
static struct event_kind event_approval = {.name = "approval-asked",
                                           .per_second = 60};
static struct event_kind event_waiting = {.name = "waiting", .per_second = 40};

/* A call to the approval service that a VM is making. */
struct approval_request {
    uint64_t id;
    uint64_t link; /* 0: this process */
    Flow__Task task;
    uint32_t workers[PLAN_REQUEST_WORKERS_MAX];
    size_t count;
    int64_t sent;
    int64_t deadline;
    int64_t cost_ms;
    uint32_t ticket_ms;
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

/* Every third VM is kept for calls that are answered at once, which would
 * otherwise wait behind long ones. */
static bool
can_ask_vm(const struct leader *l, const struct link *link, bool long_call,
           size_t index)
{
    return link->open_approvals < ASKS_PER_VM &&
           l->node->now >= link->approval_avoid_until &&
           !(long_call && index % LONG_CALL_VMS == 0);
}

/* Returns the VM with the least approval work, NULL if none can take a call.
 * The leader, which is busiest, makes no such calls itself. */
static struct link *
least_loaded_vm(const struct leader *l, bool long_call)
{
    struct link *best = NULL;
    struct link *link;
    void *cursor = NULL;
    size_t index = 0;

    while ((link = map_next(l->node->links, &cursor)) != NULL) {
        if (can_ask_vm(l, link, long_call, index++) &&
            (best == NULL ||
             link->approvals_expected_ms < best->approvals_expected_ms)) {
            best = link;
        }
    }
    return best;
}

static void
send_approval_request(struct leader *l, const struct plan_approval_request *in,
                      struct link *link)
{
    const struct flow_queue *q = in->job->queue;
    struct approval_request *a = mem_zalloc(1, sizeof(*a));
    Node__Ask ask = NODE__ASK__INIT;
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    char *names[PLAN_REQUEST_WORKERS_MAX];

    a->id = ++l->last_approval_id;
    a->sent = l->node->now;
    a->link = link->id;
    flow__task__init(&a->task);
    a->task.job = in->job->id;
    a->task.occurrence = in->occurrence->number;
    a->task.step = (uint32_t)(in->step - in->occurrence->steps);
    a->ticket_ms = q->ticket_ms;
    for (size_t i = 0; i < in->count; i++) {
        struct flow_worker *w = flow_worker(l->state, in->workers[i]);

        a->workers[a->count++] = in->workers[i];
        names[ask.n_workers++] = (char *)w->id.ptr;
    }
    a->cost_ms =
        q->approval_ms + (int64_t)in->count * q->approval_worker_us / 1000;
    ask.id = a->id;
    ask.job = a->task.job;
    ask.occurrence = a->task.occurrence;
    ask.step = a->task.step;
    ask.workers = names;
    ask.timeout_ms = (uint32_t)(link->approvals_expected_ms + a->cost_ms * 2) +
                     ASK_TIMEOUT_EXTRA_MS;
    a->deadline = l->node->now + (ask.timeout_ms + 200) * NS_PER_MS;
    plan_record_request(in->step, a->deadline);
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

/* The step may be asked for again, at another VM. */
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
    l->dirty = true;
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
    metrics_approval(l->node->metrics, l->node->now - a->sent);
    valid_until_ns =
        l->node->now + ((int64_t)a->ticket_ms - TICKET_TRAVEL_MS) * NS_PER_MS;
    if (flow_task(l->state, &a->task, &step) != NULL) {
        plan_record_response(step);
        for (size_t i = 0; i < a->count; i++) {
            struct flow_worker *w = flow_worker(l->state, a->workers[i]);
            const Node__Ticket *t =
                w == NULL ? NULL : find_ticket(answer, w->id);

            if (w != NULL) {
                plan_record_verdict(step, w->number, t != NULL,
                                    t == NULL ? str_from(NULL, 0)
                                              : str_of(t->ticket),
                                    valid_until_ns);
            }
        }
    }
    l->dirty = true;
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
approval_capacity(const struct leader *l)
{
    struct link *link;
    void *cursor = NULL;
    size_t n = 0;

    while ((link = map_next(l->node->links, &cursor)) != NULL) {
        n += link->open_approvals < ASKS_PER_VM
                 ? ASKS_PER_VM - link->open_approvals
                 : 0;
    }
    return n < ASKS_MAX ? n : ASKS_MAX;
}

static void
propose_start(struct leader *l, const struct plan_start *in)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Task task = FLOW__TASK__INIT;
    struct planned_start *out = &l->planned[l->planned_count++];

    out->task.job = in->job->id;
    out->task.occurrence = in->occurrence->number;
    out->task.step = (uint32_t)(in->step - in->occurrence->steps);
    out->task.index = in->index;
    out->task.run = in->run;
    out->worker = in->worker->number;
    memcpy(out->ticket, in->ticket, sizeof(out->ticket));
    task.job = out->task.job;
    task.occurrence = out->task.occurrence;
    task.step = out->task.step;
    task.index = out->task.index;
    task.run = out->task.run;
    task.worker = out->worker;
    command.kind_case = FLOW__COMMAND__KIND_START;
    command.start = &task;
    leader_queue_command(l, &command);
    metrics_start(l->node->metrics, !in->job->started,
                  l->node->now - in->job->arrived_ns);
    event_write(&event_start,
                "job=%016llx task=%u.%u.%u run=%u worker=%.*s "
                "waited_ms=%lld used_cpu=%llu",
                (unsigned long long)in->job->id, out->task.occurrence,
                out->task.step, out->task.index, in->run,
                STR_ARG(in->worker->id),
                (long long)((l->node->now - in->job->arrived_ns) / NS_PER_MS),
                (unsigned long long)in->worker->used.cpu_milli);
}

static int64_t
next_plan_time(int64_t began, int64_t ended)
{
    int64_t pause = (ended - began) * PLAN_PAUSE_FACTOR;
    int64_t least = PLAN_INTERVAL_MS * NS_PER_MS;

    return ended + (pause > least ? pause : least);
}

static const char *
wait_reason_name(enum plan_wait_reason reason)
{
    switch (reason) {
    case PLAN_WAIT_NONE:
        return "none";
    case PLAN_WAIT_TEAM_LIMIT:
        return "team-limit";
    case PLAN_WAIT_APPROVAL:
        return "approval";
    case PLAN_WAIT_CAPACITY:
        return "room";
    }
    return "none";
}

static void
log_waiting(const struct leader *l, const struct plan_wait_report *in)
{
    const struct flow_job *j = in->job;
    int64_t waited_ms = (l->node->now - j->arrived_ns) / NS_PER_MS;
    struct flow_size size = flow_step_size(in->step);

    event_write(&event_waiting,
                "job=%016llx step=%u.%zu reason=%s waited_ms=%lld late=%d "
                "fits_in_ms=%lld approved=%u tasks=%u "
                "cpu=%llu gang=%d team=%.*s team_cpu=%llu team_cpu_limit=%llu "
                "team_memory=%llu team_memory_limit=%llu",
                (unsigned long long)j->id, in->occurrence->number,
                (size_t)(in->step - in->occurrence->steps),
                wait_reason_name(in->reason), (long long)waited_ms,
                in->lateness,
                in->fits == INT64_MAX
                    ? -1LL
                    : (long long)((in->fits - l->node->now) / NS_PER_MS),
                in->approved, in->missing, (unsigned long long)size.cpu_milli,
                in->step->spec->gang, STR_ARG(j->team->name),
                (unsigned long long)j->team->used.cpu_milli,
                (unsigned long long)j->team->limit.cpu_milli,
                (unsigned long long)j->team->used.memory_mib,
                (unsigned long long)j->team->limit.memory_mib);
}

void
leader_plan_step(struct leader *l)
{
    const struct plan_limits limits = {
        STARTS_MAX, approval_capacity(l),
        RESERVATIONS_MIN + map_count(l->sessions) / WORKERS_PER_RESERVATION};

    expire_approval_requests(l);
    if (!l->dirty || l->plan_committing || l->node->now < l->plan_due) {
        return;
    }
    l->dirty = false;
    plan_make(l->state, l->node->now, &limits, &l->plan);
    l->plan_due = next_plan_time(l->node->now, clock_now());
    for (size_t i = 0; i < l->plan.waiting_count; i++) {
        log_waiting(l, &l->plan.waiting[i]);
    }
    for (size_t i = 0; i < l->plan.approval_request_count; i++) {
        bool long_call =
            l->plan.asks[i].job->queue->approval_ms > LONG_CALL_MS;
        struct link *link = least_loaded_vm(l, long_call);

        if (link == NULL) {
            continue;
        }
        send_approval_request(l, &l->plan.asks[i], link);
    }
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
    leader_open_batch(l)->plan = true;
}

void
leader_plan_applied(struct leader *l)
{
    l->plan_committing = false;
    for (size_t i = 0; i < l->planned_count; i++) {
        workers_queue_start(l, &l->planned[i]);
    }
    l->planned_count = 0;
}
