/*
 * API calls that an entry forwards to the leader. After a change of leader a
 * call is sent again if the state recognises repetitions of it; see
 * may_repeat.
 */

#include "entry_impl.h"
#include "mem.h"

#define FORWARD_OF(node)                                                      \
    ((struct forwarded_call *)((char *)(node)-offsetof(struct forwarded_call, \
                                                       expiry)))

/* Adds the call to the list that forward_step sends. */
void
forward_queue(struct entry *e, struct forwarded_call *f)
{
    f->link_id = 0;
    if (!f->queued) {
        f->queued = true;
        f->next_unsent = e->unsent;
        f->unsent_pprev = &e->unsent;
        if (f->next_unsent != NULL) {
            f->next_unsent->unsent_pprev = &f->next_unsent;
        }
        e->unsent = f;
    }
}

static void
forward_dequeue(struct forwarded_call *f)
{
    if (!f->queued) {
        return;
    }
    f->queued = false;
    *f->unsent_pprev = f->next_unsent;
    if (f->next_unsent != NULL) {
        f->next_unsent->unsent_pprev = f->unsent_pprev;
    }
}

void
forward_free(struct entry *e, struct forwarded_call *f)
{
    announce_unlink_unconfirmed(e, f);
    forward_dequeue(f);
    heap_remove(&e->forward_expiry, &f->expiry);
    map_del_u64(e->forwards, f->id);
    str_free(&f->endpoint);
    str_free(&f->worker);
    mem_free(f);
}

/* Returns whether a call may be sent again, because executing it twice has no
 * further effect. */
static bool
may_repeat(const struct front_call *call)
{
    return call->method != HTTP_POST || call->idempotency_key.ptr != NULL ||
           str_starts(call->path, STR("/v1/workers/"));
}

static void
fail_call(struct entry *e, struct forwarded_call *f)
{
    struct front_call *call = f->call;

    if (f->sent) {
        entry_refuse_call(call, 504, "no_leader",
                          "the leader was lost; the outcome is unknown",
                          "unknown", 0);
    }
    else {
        entry_refuse_call(call, 503, "no_leader", "no leader is known",
                          "not-run", 1);
    }
    forward_free(e, f);
}

/* Under this path, a GET has a query only to wait for a job. */
static bool
is_long_poll(const struct front_call *call)
{
    return call->method == HTTP_GET &&
           str_starts(call->path, STR("/v1/jobs/"));
}

static void
send_call(struct entry *e, struct forwarded_call *f, struct link *to)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__Call call = WIRE__CALL__INIT;
    Wire__Arrival arrival = WIRE__ARRIVAL__INIT;
    uint8_t hash[STATE_HASH_BYTES];
    struct typed_sync sync;
    bool typed = e->leader_protocol == LEADER_PROTOCOL_TYPED &&
                 forward_sync_build(f, &sync);
    struct str path = str_dup(typed ? STR("") : f->call->path);
    /* While draining, long polls are answered at once. */
    bool no_wait = e->control->drain != DRAIN_NONE && is_long_poll(f->call);
    struct str query = str_dup(no_wait ? STR("") : f->call->query);
    struct str idempotency = str_dup(f->call->idempotency_key);
    struct str if_match = str_dup(f->call->if_match);

    call.id = f->id;
    call.method = (char *)http_method_name(f->call->method);
    call.path = (char *)path.ptr;
    call.query = (char *)query.ptr;
    call.idempotency_key = (char *)idempotency.ptr;
    call.if_match = (char *)if_match.ptr;
    if (f->call->key.len != 0) {
        hash_bearer_key(f->call->key, hash);
        call.key_hash.data = hash;
        call.key_hash.len = sizeof(hash);
    }
    if (announce_get_arrival(e, f, &arrival)) {
        call.arrival = &arrival;
    }
    if (typed) {
        call.worker_sync = &sync.wire;
    }
    else {
        call.body.data = (uint8_t *)f->call->body.ptr;
        call.body.len = f->call->body.len;
    }
    call.deadline_ms = (f->call->deadline - e->control->now) / NS_PER_MS;
    envelope.msg_case = WIRE__ENVELOPE__MSG_CALL;
    envelope.call = &call;
    f->link_id = to->id;
    f->sent = true;
    link_send(to, &envelope);
    if (typed) {
        forward_sync_free(&sync);
    }
    str_free(&path);
    str_free(&query);
    str_free(&idempotency);
    str_free(&if_match);
}

struct forwarded_call *
forward_create(struct entry *e, struct front_call *call)
{
    struct forwarded_call *f = mem_zalloc(1, sizeof(*f));

    f->id = e->next_id++;
    f->call = call;
    f->expiry.key = call->deadline;
    f->expiry.seq = f->id;
    map_put_u64(e->forwards, f->id, f);
    heap_insert(&e->forward_expiry, &f->expiry);
    return f;
}

static void
send_or_queue(struct entry *e, struct forwarded_call *f)
{
    struct link *leader = entry_leader_link(e);

    if (leader != NULL) {
        send_call(e, f, leader);
    }
    else {
        forward_queue(e, f);
    }
}

void
forward_call(struct entry *e, struct front_call *call)
{
    send_or_queue(e, forward_create(e, call));
}

void
forward_worker_sync(struct entry *e, struct front_call *call,
                    struct str worker)
{
    struct forwarded_call *f = forward_create(e, call);

    f->worker = str_dup(worker);
    send_or_queue(e, f);
}

void
forward_end_long_polls(struct entry *e)
{
    struct forwarded_call *f;
    struct forwarded_call *polls = NULL;
    void *cursor = NULL;

    /* Collected first, because the map must not change during iteration. */
    while ((f = map_next(e->forwards, &cursor)) != NULL) {
        if (is_long_poll(f->call) && !f->queued) {
            f->next_unsent = polls;
            polls = f;
        }
    }
    while ((f = polls) != NULL) {
        polls = f->next_unsent;
        /* The new id makes the reply to the earlier message be ignored. */
        map_del_u64(e->forwards, f->id);
        f->id = e->next_id++;
        map_put_u64(e->forwards, f->id, f);
        forward_queue(e, f);
    }
    forward_step(e);
}

static void
respond(struct forwarded_call *f, const Wire__Reply *reply)
{
    struct front_response response = {.status = (int)reply->status};
    struct str type = str_of(reply->content_type);
    struct buf text = {0};

    if (reply->worker_answer != NULL) {
        forward_sync_render(reply->worker_answer, &response.body);
    }
    else {
        buf_append(&response.body, reply->body.data, reply->body.len);
    }
    http_headers_add(&response.headers, STR("Content-Type"),
                     type.len == 0 ? STR("application/json") : type);
    http_headers_add(&response.headers, STR("Guavarock-Outcome"),
                     str_of(reply->outcome));
    if (reply->retry_after_s > 0) {
        buf_printf(&text, "%d", (int)reply->retry_after_s);
        http_headers_add(&response.headers, STR("Retry-After"),
                         buf_str(&text));
        buf_free(&text);
    }
    front_respond(f->call, &response);
}

void
entry_handle_reply(struct entry *e, const Wire__Reply *reply)
{
    struct forwarded_call *f = map_get_u64(e->forwards, reply->id);

    if (f == NULL) {
        return;
    }
    if (!reply->not_leader) {
        announce_handle_reply(e, f, reply);
        respond(f, reply);
        forward_free(e, f);
        return;
    }
    /* forward_step sends the queued call again once a leader is known. */
    if (!may_repeat(f->call)) {
        fail_call(e, f);
        return;
    }
    forward_queue(e, f);
}

void
forward_link_down(struct entry *e, const struct link *l)
{
    struct forwarded_call *f;
    void *cursor = NULL;

    while ((f = map_next(e->forwards, &cursor)) != NULL) {
        if (f->link_id != l->id) {
            continue;
        }
        if (may_repeat(f->call)) {
            forward_queue(e, f);
        }
        else {
            fail_call(e, f);
        }
    }
}

static void
send_unsent(struct entry *e, struct link *leader)
{
    struct forwarded_call *f = e->unsent;
    struct forwarded_call *next;

    e->unsent = NULL;
    for (; f != NULL; f = next) {
        next = f->next_unsent;
        f->queued = false;
        if (announce_can_send(e, f)) {
            send_call(e, f, leader);
        }
        else {
            forward_queue(e, f);
        }
    }
}

void
forward_step(struct entry *e)
{
    struct link *leader = entry_leader_link(e);
    struct heap_node *n;

    while ((n = heap_min(&e->forward_expiry)) != NULL &&
           n->key <= e->control->now) {
        fail_call(e, FORWARD_OF(n));
    }
    if (leader != NULL) {
        send_unsent(e, leader);
    }
    while (leader == NULL && e->control->drain >= DRAIN_FINISH &&
           e->unsent != NULL) {
        fail_call(e, e->unsent);
    }
}

void
forward_destroy(struct entry *e)
{
    struct forwarded_call *f;
    void *cursor = NULL;

    while ((f = map_next(e->forwards, &cursor)) != NULL) {
        fail_call(e, f);
    }
    heap_free(&e->forward_expiry);
    map_destroy(e->forwards);
}
