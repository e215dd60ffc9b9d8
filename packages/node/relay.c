/*
 * Calls to workers that another VM, the relay, makes for the leader, because
 * the HTTP exchanges would take most of the leader's CPU time. A relay keeps
 * connections to workers across leader changes and has no other state.
 */
#include <string.h>

#include "clock.h"
#include "event.h"
#include "internal.h"
#include "mem.h"

enum {
    /* Round-trip time to the relay, added to the deadline of the call. */
    RELAY_ROUND_TRIP_MS = 250,
    /* Interval between checks for calls that the relay did not answer. */
    EXPIRY_SCAN_MS = 100,
    /* Interval at which a relay reports its clock. */
    CLOCK_REPORT_MS = 1000,
    /* How long a relay is not chosen after an unanswered call: it may be
     * suspended or partitioned from its workers. */
    AVOID_MS = 3000,
    /* Calls or answers that are queued for one message: a quarter of the
     * longest that is allowed, as each may hold checkpoints. */
    QUEUE_BYTES_MAX = PEER_PAYLOAD_MAX / 4,
};

struct relay {
    struct map *calls; /* unanswered calls of this leader, by id */
    uint64_t last_id;
    int64_t scan_due;
    int64_t clock_report_due;
};

static struct event_kind event_relay = {.name = "relay", .per_second = 20};

struct relay *
relay_create(void)
{
    struct relay *r = mem_zalloc(1, sizeof(*r));

    r->calls = map_create();
    return r;
}

void
relay_destroy(struct relay *r)
{
    struct out_call *call;
    void *cursor = NULL;

    if (r == NULL) {
        return;
    }
    while ((call = map_next(r->calls, &cursor)) != NULL) {
        out_call_free(call);
    }
    map_destroy(r->calls);
    mem_free(r);
}

/* Functions that run on the leader. */

static void
task_unpack(struct node_task *out, const Flow__Task *in)
{
    if (in == NULL) {
        *out = (struct node_task){0};
        return;
    }
    *out = (struct node_task){.job = in->job,
                              .occurrence = in->occurrence,
                              .step = in->step,
                              .index = in->index,
                              .run = in->run};
}

static char *
str_or_empty(struct str s)
{
    return s.ptr == NULL ? (char *)"" : (char *)s.ptr;
}

static void
call_pack(Node__WorkerCall *out, Flow__Task *task, const struct out_call *in)
{
    const struct node_worker_call *call = &in->call;

    node__worker_call__init(out);
    out->kind = (uint32_t)call->kind;
    out->address = str_or_empty(in->address);
    out->worker = str_or_empty(call->worker);
    out->token = call->token;
    switch (call->kind) {
    case NODE_CALL_START:
        run_to_flow_task(task, &call->u.start.task, 0);
        out->task = task;
        out->payload.data = (uint8_t *)call->u.start.payload.ptr;
        out->payload.len = call->u.start.payload.len;
        out->lease_until_ms = call->u.start.lease_until_ms;
        out->checkpoint = str_or_empty(call->u.start.checkpoint);
        out->ticket = str_or_empty(call->u.start.ticket);
        break;
    case NODE_CALL_STOP:
        run_to_flow_task(task, &call->u.stop.task, 0);
        out->task = task;
        break;
    case NODE_CALL_POLL:
        out->last_seen = call->u.poll.last_seen;
        out->lease_until_ms = call->u.poll.lease_until_ms;
        out->wait_ms = call->u.poll.wait_ms;
        break;
    }
}

static void
send_calls(struct link *l)
{
    Node__Envelope envelope = NODE__ENVELOPE__INIT;

    envelope.msg_case = NODE__ENVELOPE__MSG_WORKER_CALLS;
    envelope.worker_calls.data = (uint8_t *)l->worker_calls.ptr;
    envelope.worker_calls.len = l->worker_calls.len;
    link_send(l, &envelope);
    l->worker_calls.len = 0;
}

static void
send_answers(struct link *l)
{
    Node__Envelope envelope = NODE__ENVELOPE__INIT;

    envelope.msg_case = NODE__ENVELOPE__MSG_WORKER_ANSWERS;
    envelope.worker_answers.data = (uint8_t *)l->worker_answers.ptr;
    envelope.worker_answers.len = l->worker_answers.len;
    link_send(l, &envelope);
    l->worker_answers.len = 0;
}

void
relay_send(struct node *n, struct out_call *call, struct link *via,
           int64_t deadline)
{
    struct relay *r = n->relay;
    Node__WorkerCalls list = NODE__WORKER_CALLS__INIT;
    Node__WorkerCall item;
    Node__WorkerCall *items[] = {&item};
    Flow__Task task;
    size_t len;

    call_pack(&item, &task, call);
    call->id = ++r->last_id;
    call->link = via->id;
    call->sent = n->now;
    call->deadline = deadline + RELAY_ROUND_TRIP_MS * NS_PER_MS;
    item.id = call->id;
    item.timeout_ms = (uint32_t)((deadline - n->now) / NS_PER_MS);
    item.send_by_ns = send_window_translate(&via->clock, call->send_by);
    list.calls = items;
    list.n_calls = 1;
    len = node__worker_calls__get_packed_size(&list);
    node__worker_calls__pack(&list,
                             (uint8_t *)buf_reserve(&via->worker_calls, len));
    via->worker_calls.len += len;
    if (via->worker_calls.len > QUEUE_BYTES_MAX) {
        send_calls(via);
    }
    map_put_u64(r->calls, call->id, call);
}

static void
finish_call(struct node *n, struct out_call *call,
            enum upstream_failure failure,
            const struct node_worker_result *result)
{
    map_del_u64(n->relay->calls, call->id);
    call->on_result(n, call, failure, result);
    out_call_free(call);
}

static void
answer_unpack(struct node_worker_result *out, const Node__WorkerAnswer *in)
{
    out->refusal = (enum node_refusal)in->refusal;
    out->clock_ms = in->clock_ms;
    out->born_ms = in->born_ms;
    out->running_unreadable = in->running_unreadable;
    out->ended_unreadable = in->ended_unreadable;
    out->checkpoints_dropped = in->checkpoints_dropped;
    out->running = mem_zalloc(in->n_running + 1, sizeof(*out->running));
    out->ended = mem_zalloc(in->n_ended + 1, sizeof(*out->ended));
    for (size_t i = 0; i < in->n_running; i++) {
        struct node_active_run *to = &out->running[out->running_count++];

        task_unpack(&to->task, in->running[i]->task);
        to->percent = in->running[i]->percent;
        to->load = in->running[i]->load;
    }
    for (size_t i = 0; i < in->n_ended; i++) {
        struct node_ended_run *to = &out->ended[out->ended_count++];

        to->number = in->ended[i]->number;
        task_unpack(&to->task, in->ended[i]->task);
        to->how = in->ended[i]->how;
        to->checkpoint = str_dup(str_of(in->ended[i]->checkpoint));
    }
}

void
relay_handle_answers(struct node *n, struct link *from, struct str bytes)
{
    Node__WorkerAnswers *list = node__worker_answers__unpack(
        NULL, bytes.len, (const uint8_t *)bytes.ptr);

    if (list == NULL) {
        event_write(&event_relay, "other=%.*s outcome=malformed-answers",
                    STR_ARG(from->vm));
        return;
    }
    for (size_t i = 0; i < list->n_answers; i++) {
        const Node__WorkerAnswer *in = list->answers[i];
        struct out_call *call = map_get_u64(n->relay->calls, in->id);
        struct node_worker_result result = {0};

        if (call == NULL || call->link != from->id) {
            continue;
        }
        answer_unpack(&result, in);
        finish_call(n, call, (enum upstream_failure)in->failure, &result);
        node_worker_result_free(&result);
    }
    node__worker_answers__free_unpacked(list, NULL);
}

/* Reports a call as timed out: the relay may still make it. */
static void
time_out_call(struct node *n, struct out_call *call)
{
    const struct node_worker_result empty_result = {.clock_ms = -1,
                                                    .born_ms = -1};

    call->unanswered = true;
    finish_call(n, call, UPSTREAM_TIMED_OUT, &empty_result);
}

void
relay_link_down(struct node *n, uint64_t link)
{
    struct out_call *call;
    void *cursor = NULL;

    while ((call = map_next(n->relay->calls, &cursor)) != NULL) {
        if (call->link == link) {
            time_out_call(n, call);
        }
    }
}

void
relay_avoid(struct node *n, uint64_t link)
{
    struct link *l = link == 0 ? NULL : map_get_u64(n->links, link);

    if (l != NULL) {
        l->relay_avoid_until = n->now + AVOID_MS * NS_PER_MS;
    }
}

void
relay_step(struct node *n)
{
    struct relay *r = n->relay;
    struct out_call *call;
    struct link *l;
    void *cursor = NULL;

    if (map_count(r->calls) > 0 && n->now >= r->scan_due) {
        r->scan_due = n->now + EXPIRY_SCAN_MS * NS_PER_MS;
        while ((call = map_next(r->calls, &cursor)) != NULL) {
            if (n->now >= call->deadline) {
                event_write(&event_relay,
                            "call=%d worker=%u outcome=no-answer link=%llu",
                            (int)call->call.kind, call->worker,
                            (unsigned long long)call->link);
                relay_avoid(n, call->link);
                time_out_call(n, call);
            }
        }
    }
    if (n->now >= r->clock_report_due) {
        r->clock_report_due = n->now + CLOCK_REPORT_MS * NS_PER_MS;
        links_announce(n);
    }
    cursor = NULL;
    while ((l = map_next(n->links, &cursor)) != NULL) {
        if (l->worker_calls.len > 0) {
            send_calls(l);
        }
        if (l->worker_answers.len > 0) {
            send_answers(l);
        }
    }
}

int64_t
relay_next_deadline(const struct node *n)
{
    const struct relay *r = n->relay;

    return map_count(r->calls) > 0 && r->scan_due < r->clock_report_due
               ? r->scan_due
               : r->clock_report_due;
}

/*
 * Returns the rank of a VM as the worker's relay; the highest is chosen. VMs
 * in the worker's failure domain rank first, and control VMs before entry
 * nodes, which are smaller. The remaining bits are a hash of VM and worker, so
 * that the choice is stable while the set of VMs is. After failures the rank
 * is only the hash, as any VM may be the one that reaches the worker.
 */
static uint64_t
rank_relay(const struct link *l, const struct flow_worker *w,
           uint32_t failures)
{
    uint64_t same_domain = str_eq(l->failure_domain, w->domain) ? 1 : 0;
    uint64_t control = l->member_id != 0 ? 1 : 0;
    uint64_t hash_input = (w->number + ((uint64_t)failures << 32)) *
                          UINT64_C(0x9e3779b97f4a7c15);
    uint64_t hash =
        (l->vm_hash ^ hash_input) * UINT64_C(0xc2b2ae3d27d4eb4f) >> 2;

    return failures > 0 ? hash : same_domain << 63 | control << 62 | hash;
}

struct link *
relay_choose(const struct node *n, const struct flow_worker *w,
             uint32_t failures)
{
    struct link *best = NULL;
    struct link *l;
    uint64_t best_rank = 0;
    void *cursor = NULL;

    /* The leader itself makes the first retry and every second one after. */
    if (failures % 2 == 1) {
        return NULL;
    }
    while ((l = map_next(n->links, &cursor)) != NULL) {
        uint64_t this_rank;

        if (!l->relays || n->now < l->relay_avoid_until ||
            !send_window_clock_known(&l->clock, n->now)) {
            continue;
        }
        this_rank = rank_relay(l, w, failures);
        if (best == NULL || this_rank > best_rank) {
            best = l;
            best_rank = this_rank;
        }
    }
    return best;
}

/* Functions that run on the relay. */

static struct node_worker_call
call_unpack(const Node__WorkerCall *in)
{
    struct node_worker_call out = {.kind =
                                       (enum node_worker_call_kind)in->kind,
                                   .worker = str_of(in->worker),
                                   .token = in->token};

    switch (out.kind) {
    case NODE_CALL_START:
        task_unpack(&out.u.start.task, in->task);
        out.u.start.payload = str_from(in->payload.data, in->payload.len);
        out.u.start.lease_until_ms = in->lease_until_ms;
        out.u.start.checkpoint = str_of(in->checkpoint);
        out.u.start.ticket = str_of(in->ticket);
        break;
    case NODE_CALL_STOP:
        task_unpack(&out.u.stop.task, in->task);
        break;
    case NODE_CALL_POLL:
        out.u.poll.last_seen = in->last_seen;
        out.u.poll.lease_until_ms = in->lease_until_ms;
        out.u.poll.wait_ms = in->wait_ms;
        break;
    }
    return out;
}

static void
queue_answer(struct link *l, Node__WorkerAnswer *answer)
{
    Node__WorkerAnswers list = NODE__WORKER_ANSWERS__INIT;
    Node__WorkerAnswer *items[] = {answer};
    size_t len;

    list.answers = items;
    list.n_answers = 1;
    len = node__worker_answers__get_packed_size(&list);
    node__worker_answers__pack(
        &list, (uint8_t *)buf_reserve(&l->worker_answers, len));
    l->worker_answers.len += len;
    if (l->worker_answers.len > QUEUE_BYTES_MAX) {
        send_answers(l);
    }
}

/* The arrays that a Node__WorkerAnswer points to while it is encoded. */
struct packed_result {
    Node__Running *running;
    Node__Running **running_list;
    Node__Ended *ended;
    Node__Ended **ended_list;
    Flow__Task *tasks;
};

static void
result_pack(struct packed_result *p, Node__WorkerAnswer *out,
            const struct node_worker_result *in)
{
    size_t tasks = 0;

    p->running = mem_alloc((in->running_count + 1) * sizeof(*p->running));
    p->running_list =
        mem_alloc((in->running_count + 1) * sizeof(*p->running_list));
    p->ended = mem_alloc((in->ended_count + 1) * sizeof(*p->ended));
    p->ended_list = mem_alloc((in->ended_count + 1) * sizeof(*p->ended_list));
    p->tasks = mem_alloc((in->running_count + in->ended_count + 1) *
                         sizeof(*p->tasks));
    for (size_t i = 0; i < in->running_count; i++) {
        node__running__init(&p->running[i]);
        run_to_flow_task(&p->tasks[tasks], &in->running[i].task, 0);
        p->running[i].task = &p->tasks[tasks++];
        p->running[i].percent = in->running[i].percent;
        p->running[i].load = in->running[i].load;
        p->running_list[i] = &p->running[i];
    }
    for (size_t i = 0; i < in->ended_count; i++) {
        node__ended__init(&p->ended[i]);
        p->ended[i].number = in->ended[i].number;
        run_to_flow_task(&p->tasks[tasks], &in->ended[i].task, 0);
        p->ended[i].task = &p->tasks[tasks++];
        p->ended[i].how = in->ended[i].how;
        p->ended[i].checkpoint = str_or_empty(in->ended[i].checkpoint);
        p->ended_list[i] = &p->ended[i];
    }
    out->refusal = (uint32_t)in->refusal;
    out->clock_ms = in->clock_ms;
    out->born_ms = in->born_ms;
    out->running_unreadable = in->running_unreadable;
    out->ended_unreadable = in->ended_unreadable;
    out->checkpoints_dropped = in->checkpoints_dropped;
    out->running = p->running_list;
    out->n_running = in->running_count;
    out->ended = p->ended_list;
    out->n_ended = in->ended_count;
}

static void
packed_result_free(struct packed_result *p)
{
    mem_free(p->running);
    mem_free(p->running_list);
    mem_free(p->ended);
    mem_free(p->ended_list);
    mem_free(p->tasks);
}

static void
send_answer(struct node *n, uint64_t link, uint64_t id,
            enum upstream_failure failure,
            const struct node_worker_result *result)
{
    struct link *l = map_get_u64(n->links, link);
    Node__WorkerAnswer answer = NODE__WORKER_ANSWER__INIT;
    struct packed_result packed;

    if (l == NULL) {
        return;
    }
    answer.id = id;
    answer.failure = (uint32_t)failure;
    result_pack(&packed, &answer, result);
    queue_answer(l, &answer);
    packed_result_free(&packed);
}

static void
log_expired(const struct out_call *call)
{
    event_write(&event_relay,
                "call=%d address=%.*s outcome=not-sent late_ms=%lld",
                (int)call->call.kind, STR_ARG(call->address),
                (long long)((clock_now() - call->send_by) / NS_PER_MS));
}

static void
forward_result(struct node *n, struct out_call *call,
               enum upstream_failure failure,
               const struct node_worker_result *result)
{
    if (failure == UPSTREAM_CANCELLED) {
        log_expired(call);
    }
    send_answer(n, call->link, call->requester_id, failure, result);
}

/* Makes a call for the leader unless its send window has ended, for example
 * because this process was paused. */
static void
make_call(struct node *n, const struct link *from, const Node__WorkerCall *in)
{
    const struct node_worker_result empty_result = {.clock_ms = -1,
                                                    .born_ms = -1};
    struct out_call *call = mem_zalloc(1, sizeof(*call));

    call->call = call_unpack(in);
    call->address = str_dup(str_of(in->address));
    call->on_result = forward_result;
    call->link = from->id;
    call->requester_id = in->id;
    call->send_by = in->send_by_ns;
    if (call->send_by != 0 && clock_now() >= call->send_by) {
        forward_result(n, call, UPSTREAM_CANCELLED, &empty_result);
        out_call_free(call);
        return;
    }
    if (!out_send_worker_call(n, call, n->now + in->timeout_ms * NS_PER_MS)) {
        send_answer(n, from->id, in->id, UPSTREAM_NO_SLOT, &empty_result);
    }
}

void
relay_handle_calls(struct node *n, struct link *from, struct str bytes)
{
    Node__WorkerCalls *list = node__worker_calls__unpack(
        NULL, bytes.len, (const uint8_t *)bytes.ptr);

    if (list == NULL) {
        event_write(&event_relay, "other=%.*s outcome=malformed-calls",
                    STR_ARG(from->vm));
        return;
    }
    for (size_t i = 0; i < list->n_calls; i++) {
        make_call(n, from, list->calls[i]);
    }
    node__worker_calls__free_unpacked(list, NULL);
}
