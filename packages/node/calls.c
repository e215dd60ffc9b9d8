/*
 * API calls of callers, operators and workers. Each is forwarded to the leader
 * as a request and answered with the leader's reply. Requests are idempotent,
 * so pending ones are sent again after a leader change or a lost session.
 */
#include "call_outcome.h"
#include "clock.h"
#include "evacuation_api.h"
#include "event.h"
#include "internal.h"
#include "leader_wait.h"
#include "leader_watch.h"
#include "mem.h"

enum {
    DEFAULT_TIMEOUT_MS = 3000, /* for calls without a timeout */
    /* Time before the deadline reserved for sending the response. */
    RESPONSE_MARGIN_MS = 60,
    /* Interval between sends of an unanswered request: the leader may have
     * failed. */
    RESEND_MS = 600,
    /* Delay before a request is sent again that reached a VM which is not the
     * leader. */
    NOT_LEADER_RESEND_MS = 50,
    /* Delay before a request that was not sent yet is looked at again. */
    HELD_RESEND_MS = 25,
};

struct pending_call {
    uint64_t id;
    struct front_call *call;
    Node__Request *request;
    bool own_api; /* not of the adapter */
    int64_t arrived;
    int64_t deadline;
    int64_t resend_at;
    uint64_t link; /* that the request was sent on; 0: this process or none */
    bool must_resend; /* to be sent, or sent again; never read */
    uint32_t copies;  /* sent; a leader may have processed any of them */
};

struct calls {
    struct node *node;
    struct map *pending; /* by id */
    uint64_t last_id;
    /* The leader that pending requests were last sent to. */
    uint64_t sent_term;
    struct str sent_vm;
    bool leader_known;
    int64_t leader_last_known; /* the last time at which a leader was known */
    struct leader_watch watch; /* of the session with the leader */
    bool leader_silent;        /* as last logged */
};

static struct event_kind event_silent = {.name = "leader-silent"};
static struct event_kind event_call = {.name = "call", .per_second = 60};
static struct event_kind event_refused = {.name = "call-refused",
                                          .per_second = 60};

struct calls *
calls_create(struct node *n)
{
    struct calls *c = mem_zalloc(1, sizeof(*c));

    c->node = n;
    c->leader_last_known = n->now;
    c->pending = map_create();
    return c;
}

static void
pending_call_free(struct calls *c, struct pending_call *p)
{
    map_del_u64(c->pending, p->id);
    node__request__free_unpacked(p->request, NULL);
    mem_free(p);
}

static void
send_response(struct calls *c, struct pending_call *p,
              const Node__Reply *reply)
{
    struct front_response response = {0};
    struct event_kind *kind =
        reply->outcome == NODE__OUTCOME__OK ? &event_call : &event_refused;

    if (p->own_api) {
        evacuation_api_encode(p->request, reply, &response);
    }
    else {
        c->node->adapter->encode(p->request, reply, &response);
    }
    event_write(kind,
                "method=%s path=%.*s outcome=%d status=%d waited_ms=%lld "
                "leader=%.*s reason=\"%s\"",
                http_method_name(p->call->method), STR_ARG(p->call->path),
                (int)reply->outcome, response.status,
                (long long)((c->node->now - p->arrived) / NS_PER_MS),
                STR_ARG(c->node->leader_vm), reply->reason);
    metrics_call(c->node->metrics, reply->outcome, c->node->now - p->arrived);
    front_respond(p->call, &response);
    pending_call_free(c, p);
}

static struct leader_wait
get_leader_wait(const struct calls *c, const struct pending_call *p)
{
    return (struct leader_wait){.arrived = p->arrived,
                                .deadline = p->deadline,
                                .forwarded = p->copies > 0,
                                .leader_known = c->leader_known,
                                .leader_last_known = c->leader_last_known};
}

static void
refuse_call(struct calls *c, struct pending_call *p, Node__Outcome outcome,
            const char *reason)
{
    Node__Reply reply = NODE__REPLY__INIT;
    struct leader_wait wait = get_leader_wait(c, p);

    reply.outcome = outcome;
    reply.reason = (char *)reason;
    reply.retry_after_ms = leader_wait_retry_after_ms(&wait, c->node->now);
    send_response(c, p, &reply);
}

void
calls_destroy(struct calls *c)
{
    struct pending_call *p;
    void *cursor = NULL;

    if (c == NULL) {
        return;
    }
    while ((p = map_next(c->pending, &cursor)) != NULL) {
        front_abort(p->call);
        pending_call_free(c, p);
    }
    map_destroy(c->pending);
    str_free(&c->sent_vm);
    mem_free(c);
}

/* Fills in what the leader needs to tell an outdated request for an evacuation
 * from a new one. */
static void
complete_request(const struct node *n, Node__Request *request)
{
    const struct flow_evacuation *held = NULL;

    if (request->kind_case != NODE__REQUEST__KIND_EVACUATION) {
        return;
    }
    if (n->group != NULL && n->group->state != NULL) {
        held = flow_evacuation(n->group->state,
                               str_of(request->evacuation->domain));
    }
    request->evacuation->seen_change = held == NULL ? 0 : held->change;
    request->evacuation->vm = (char *)str_dup(n->settings.vm).ptr;
}

/* Whether a leader that the request is sent to understands it. */
static bool
is_understood(const Node__Request *request, const struct link *leader)
{
    return leader->keeps_evacuations ||
           (request->kind_case != NODE__REQUEST__KIND_EVACUATION &&
            request->kind_case != NODE__REQUEST__KIND_READ_EVACUATIONS);
}

/* Reports whether requests are held back from the leader, which has not been
 * heard on the session l for too long. */
static bool
is_leader_silent(struct calls *c, const struct link *l)
{
    int64_t now = c->node->now;
    bool silent;

    leader_watch_heard(&c->watch, l->id, peer_session_heard_at(l->session));
    silent = leader_watch_is_silent(&c->watch, now);
    if (silent != c->leader_silent) {
        c->leader_silent = silent;
        event_write(&event_silent, "leader=%.*s silent=%d heard_ms=%lld",
                    STR_ARG(l->vm), silent,
                    (long long)((now - c->watch.heard_at) / NS_PER_MS));
    }
    return silent;
}

/* Sends the request to the leader unless none is reachable or it is silent. */
static void
forward_call(struct calls *c, struct pending_call *p)
{
    struct node *n = c->node;
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    struct link *l;

    p->must_resend = true;
    p->resend_at = n->now + RESEND_MS * NS_PER_MS;
    if (n->group != NULL && n->leader != NULL && group_is_leader(n->group)) {
        p->must_resend = false;
        p->copies++;
        p->link = 0;
        leader_handle_request(n->leader, (struct requester){0, p->id},
                              p->request);
        return;
    }
    l = links_leader(n);
    if (l == NULL || !is_understood(p->request, l)) {
        if (p->copies == 0) {
            p->resend_at = n->now + HELD_RESEND_MS * NS_PER_MS;
        }
        return;
    }
    if (is_leader_silent(c, l)) {
        p->resend_at = n->now + HELD_RESEND_MS * NS_PER_MS;
        return;
    }
    leader_watch_sent(&c->watch, n->now);
    p->must_resend = false;
    p->copies++;
    p->link = l->id;
    envelope.msg_case = NODE__ENVELOPE__MSG_REQUEST;
    envelope.request = p->request;
    link_send(l, &envelope);
}

static void
accept_call(struct calls *c, struct front_call *call)
{
    struct node *n = c->node;
    struct front_response response = {0};
    struct pending_call *p;
    int64_t timeout_ms = 0;
    bool control = n->settings.control_listen.len > 0;
    bool own_api = control && evacuation_api_is_call(call);
    Node__Request *request =
        own_api ? evacuation_api_decode(call, &response)
                : n->adapter->decode(call, control, &response, &timeout_ms);

    if (request == NULL) {
        event_write(&event_refused,
                    "method=%s path=%.*s outcome=malformed status=%d",
                    http_method_name(call->method), STR_ARG(call->path),
                    response.status);
        front_respond(call, &response);
        return;
    }
    p = mem_zalloc(1, sizeof(*p));
    p->id = ++c->last_id;
    p->call = call;
    p->request = request;
    p->own_api = own_api;
    p->request->id = p->id;
    complete_request(n, p->request);
    p->arrived = call->arrived;
    timeout_ms = timeout_ms > 0 ? timeout_ms : DEFAULT_TIMEOUT_MS;
    p->deadline =
        call->arrived + (timeout_ms - RESPONSE_MARGIN_MS) * NS_PER_MS;
    map_put_u64(c->pending, p->id, p);
    forward_call(c, p);
}

void
calls_handle_item(struct calls *c, struct front_item *item)
{
    if (item->kind == FRONT_ITEM_CALL) {
        accept_call(c, item->call);
    }
    front_item_release(item);
}

void
calls_handle_reply(struct calls *c, const Node__Reply *reply)
{
    struct pending_call *p = map_get_u64(c->pending, reply->id);
    Node__Outcome outcome;

    if (p == NULL) {
        return;
    }
    if (reply->outcome == NODE__OUTCOME__NOT_LEADER) {
        p->must_resend = true;
        p->resend_at = c->node->now + NOT_LEADER_RESEND_MS * NS_PER_MS;
        return;
    }
    outcome = call_outcome_replied(p->request, p->copies, reply->outcome);
    if (outcome != reply->outcome) {
        event_write(&event_refused,
                    "method=%s path=%.*s copies=%u outcome=%d "
                    "reason=\"%s\" detail=\"an earlier copy may have been "
                    "accepted\"",
                    http_method_name(p->call->method), STR_ARG(p->call->path),
                    p->copies, (int)reply->outcome, reply->reason);
        refuse_call(c, p, outcome, reply->reason);
        return;
    }
    send_response(c, p, reply);
}

void
calls_link_down(struct calls *c, uint64_t link)
{
    struct pending_call *p;
    void *cursor = NULL;

    while ((p = map_next(c->pending, &cursor)) != NULL) {
        if (p->link == link) {
            p->link = 0;
            p->must_resend = true;
            p->resend_at = c->node->now;
        }
    }
}

void
calls_step(struct calls *c)
{
    struct node *n = c->node;
    struct pending_call *p;
    void *cursor = NULL;
    bool leader_changed =
        c->sent_term != n->leader_term || !str_eq(c->sent_vm, n->leader_vm);

    c->leader_known = n->leader != NULL || links_leader(n) != NULL;
    if (c->leader_known) {
        c->leader_last_known = n->now;
    }
    if (leader_changed) {
        c->sent_term = n->leader_term;
        str_replace(&c->sent_vm, n->leader_vm);
    }
    while ((p = map_next(c->pending, &cursor)) != NULL) {
        struct leader_wait wait = get_leader_wait(c, p);

        if (n->now >= leader_wait_give_up_at(&wait)) {
            refuse_call(c, p, call_outcome_expired(p->request, p->copies),
                        "no answer from the leader");
            continue;
        }
        if (leader_changed || n->now >= p->resend_at) {
            forward_call(c, p);
        }
    }
}

int64_t
calls_next_deadline(const struct calls *c)
{
    int64_t deadline = DEADLINE_NONE;
    struct pending_call *p;
    void *cursor = NULL;

    while ((p = map_next(c->pending, &cursor)) != NULL) {
        struct leader_wait wait = get_leader_wait(c, p);
        int64_t give_up_at = leader_wait_give_up_at(&wait);
        int64_t due = p->resend_at < give_up_at ? p->resend_at : give_up_at;

        deadline = due < deadline ? due : deadline;
    }
    return deadline;
}

size_t
calls_count(const struct calls *c)
{
    return map_count(c->pending);
}
