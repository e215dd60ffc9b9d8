#include "clock.h"
#include "mem.h"
#include "router_int.h"

struct router_action *
action_add(struct router_actions *out, enum router_action_kind kind,
           const struct request *req)
{
    struct router_action *a;

    if (out->count == out->cap) {
        out->cap = out->cap == 0 ? 16 : out->cap * 2;
        out->items = mem_realloc(out->items, out->cap, sizeof(*out->items));
    }
    a = &out->items[out->count];
    out->count++;
    *a = (struct router_action){
        .kind = kind, .request = req->id, .attempt = req->attempts};
    return a;
}

static void
key_add(struct router *r, struct request *req)
{
    struct key *k = map_get_u64(r->keys, req->key);

    if (k == NULL) {
        k = mem_zalloc(1, sizeof(*k));
        k->id = req->key;
        TAILQ_INIT(&k->requests);
        map_put_u64(r->keys, k->id, k);
    }
    TAILQ_INSERT_TAIL(&k->requests, req, in_key);
}

static void
key_remove(struct router *r, struct request *req)
{
    struct key *k = map_get_u64(r->keys, req->key);

    TAILQ_REMOVE(&k->requests, req, in_key);
    if (TAILQ_EMPTY(&k->requests)) {
        map_del_u64(r->keys, k->id);
        mem_free(k);
    }
}

/* Counts the request against the limits on waiting requests. */
static void
add_to_waiting_counts(struct router *r, struct request *req)
{
    req->queue->team->waiting++;
    r->stats.queued_bytes += req->bytes;
}

/* Reverses add_to_waiting_counts and removes the request from its queue. */
static void
remove_from_waiting(struct router *r, struct request *req)
{
    req->queue->team->waiting--;
    r->stats.queued_bytes -= req->bytes;
    if (req->state == REQUEST_AWAITING_RECORD) {
        r->stats.awaiting_record--;
    }
    else {
        r->stats.queued--;
        queue_remove_request(req);
    }
}

void
request_dequeue(struct router *r, struct request *req)
{
    remove_from_waiting(r, req);
}

void
request_enqueue(struct router *r, int64_t now, struct request *req)
{
    add_to_waiting_counts(r, req);
    r->stats.queued++;
    queue_add_request(r, now, req);
    expedite_for_team_shortage(r, req->queue->team);
}

void
request_free(struct router *r, struct request *req)
{
    heap_remove(&r->timers, &req->timer);
    key_remove(r, req);
    map_del_u64(r->requests, req->id);
    req->queue->refs--;
    mem_free(req);
}

void
request_answer(struct router *r, struct request *req,
               enum router_action_kind kind, enum router_reason reason,
               int64_t retry_after_ns, struct router_actions *out)
{
    struct router_action *a = action_add(out, kind, req);

    a->reason = reason;
    a->retry_after_ns = retry_after_ns;
    r->stats.refused += kind == ROUTER_REFUSE;
    r->stats.failed += kind == ROUTER_FAIL;
    r->stats.completed += kind == ROUTER_COMPLETE;
    req->answered = true;
    heap_remove(&r->timers, &req->timer);
}

void
request_end_waiting(struct router *r, struct request *req,
                    enum router_reason reason, int64_t retry_after_ns,
                    struct router_actions *out)
{
    enum router_action_kind kind =
        req->bytes_sent ? ROUTER_FAIL : ROUTER_REFUSE;

    remove_from_waiting(r, req);
    request_answer(r, req, kind, reason, retry_after_ns, out);
    request_free(r, req);
}

/* Refuses a request for which no struct request is kept. */
static void
refuse_new_request(struct router *r, uint64_t id, enum router_reason reason,
                   int64_t retry_after_ns, struct router_actions *out)
{
    struct request none = {.id = id};
    struct router_action *a = action_add(out, ROUTER_REFUSE, &none);

    a->reason = reason;
    a->retry_after_ns = retry_after_ns;
    r->stats.refused++;
}

bool
is_queue_full(const struct router *r, uint32_t bytes)
{
    return r->stats.awaiting_record + r->stats.queued >= r->config.queue_max ||
           r->stats.queued_bytes + bytes > r->config.queue_bytes_max;
}

static enum router_reason
check_admission(const struct router *r, int64_t now,
                const struct router_request *arrival, const struct team *t,
                const struct service *s)
{
    if (map_get_u64(r->requests, arrival->id) != NULL) {
        return ROUTER_REASON_DUPLICATE;
    }
    if (now >= r->config_deadline) {
        return ROUTER_REASON_NO_LEASE;
    }
    if (t == NULL || t->gone) {
        return ROUTER_REASON_NO_TEAM;
    }
    if (s == NULL || s->endpoint_count == 0) {
        return ROUTER_REASON_NO_SERVICE;
    }
    if (is_queue_full(r, arrival->bytes)) {
        return ROUTER_REASON_QUEUE_FULL;
    }
    if (t->waiting >= r->config.team_queue_max) {
        return ROUTER_REASON_TEAM_FULL;
    }
    return ROUTER_REASON_NONE;
}

static struct request *
request_create(struct router *r, int64_t now,
               const struct router_request *arrival, struct queue *q)
{
    struct request *req = mem_zalloc(1, sizeof(*req));
    int64_t longest = now + r->config.longest_request_ns;

    r->seq++;
    req->id = arrival->id;
    req->key = arrival->key;
    req->queue = q;
    req->path_class = arrival->path_class;
    req->idempotent = arrival->idempotent;
    req->has_deadline = arrival->has_deadline;
    req->arrived = now;
    req->deadline = arrival->has_deadline ? arrival->deadline
                                          : now + r->config.default_timeout_ns;
    req->deadline = req->deadline < longest ? req->deadline : longest;
    bound_note_deadline(r, now, req->deadline);
    req->seq = r->seq;
    req->bytes = arrival->bytes;
    req->flow = request_select_flow(req);
    return req;
}

static void
admit_request(struct router *r, int64_t now, struct request *req,
              bool needs_record, struct router_actions *out)
{
    struct service *s = req->queue->service;

    req->queue->refs++;
    req->timer.key = req->deadline;
    req->timer.seq = req->seq;
    heap_insert(&r->timers, &req->timer);
    map_put_u64(r->requests, req->id, req);
    key_add(r, req);
    s->retry_tokens += r->config.retry_percent / 100.0;
    if (s->retry_tokens > r->config.retry_burst) {
        s->retry_tokens = r->config.retry_burst;
    }
    if (needs_record) {
        req->state = REQUEST_AWAITING_RECORD;
        add_to_waiting_counts(r, req);
        r->stats.awaiting_record++;
        return;
    }
    request_enqueue(r, now, req);
    dispatch_service(r, s, now, out);
}

void
handle_request(struct router *r, int64_t now,
               const struct router_request *arrival,
               struct router_actions *out)
{
    struct team *t = map_get_u64(r->teams, arrival->team);
    struct service *s = service_find(r, arrival->service);
    enum router_reason reason = check_admission(r, now, arrival, t, s);
    struct request *req;
    int64_t wait_ns;

    if (reason != ROUTER_REASON_NONE) {
        refuse_new_request(r, arrival->id, reason, NS_PER_S, out);
        return;
    }
    req = request_create(r, now, arrival, queue_find_or_create(s, t));
    wait_ns = estimate_wait_ns(req, now);
    if (cost_would_miss_deadline(queue_find_cost(req->queue, req->path_class),
                                 now, wait_ns, req->deadline, s->queued > 0)) {
        refuse_new_request(r, arrival->id, ROUTER_REASON_TOO_LATE, wait_ns,
                           out);
        mem_free(req);
        return;
    }
    admit_request(r, now, req, arrival->needs_record, out);
}

void
handle_record_committed(struct router *r, int64_t now, uint64_t id,
                        struct router_actions *out)
{
    struct request *req = map_get_u64(r->requests, id);

    if (req == NULL || req->state != REQUEST_AWAITING_RECORD) {
        return;
    }
    remove_from_waiting(r, req);
    request_enqueue(r, now, req);
    dispatch_service(r, req->queue->service, now, out);
}

void
handle_caller_gone(struct router *r, uint64_t id, struct router_actions *out)
{
    struct request *req = map_get_u64(r->requests, id);

    if (req == NULL || req->answered) {
        return;
    }
    if (req->state == REQUEST_IN_FLIGHT) {
        /* The attempt goes on: its slot is in use anyway, and the response is
         * stored in case the caller sends the request again. */
        req->no_retry = true;
        return;
    }
    request_end_waiting(r, req, ROUTER_REASON_CALLER_GONE, 0, out);
}

void
handle_key_withdrawn(struct router *r, uint64_t key,
                     struct router_actions *out)
{
    const struct key *k = map_get_u64(r->keys, key);
    struct request *next;

    if (k == NULL) {
        return;
    }
    for (struct request *req = TAILQ_FIRST(&k->requests); req != NULL;
         req = next) {
        next = TAILQ_NEXT(req, in_key);
        if (req->state == REQUEST_IN_FLIGHT) {
            req->no_retry = true;
            continue;
        }
        request_end_waiting(r, req, ROUTER_REASON_KEY, 0, out);
    }
}

void
refuse_unsent_requests(struct router *r, const struct team *only,
                       enum router_reason reason, struct router_actions *out)
{
    void *cursor = NULL;
    struct request *req;

    while ((req = map_next(r->requests, &cursor)) != NULL) {
        if (only != NULL && req->queue->team != only) {
            continue;
        }
        if (req->state != REQUEST_IN_FLIGHT) {
            request_end_waiting(r, req, reason, NS_PER_S, out);
        }
        else if (only != NULL) {
            req->no_retry = true;
        }
    }
}

/*
 * Ends requests at their deadline. An attempt in flight is cancelled; its slot
 * counts as used until ROUTER_ATTEMPT_ENDED.
 */
void
handle_request_timers(struct router *r, int64_t now,
                      struct router_actions *out)
{
    struct heap_node *n;

    while ((n = heap_min(&r->timers)) != NULL && n->key <= now) {
        struct request *req = NODE_OWNER(struct request, n, timer);
        if (req->state != REQUEST_IN_FLIGHT) {
            request_end_waiting(r, req, ROUTER_REASON_DEADLINE, NS_PER_S, out);
            continue;
        }
        action_add(out, ROUTER_CANCEL, req);
        request_answer(r, req, ROUTER_FAIL, ROUTER_REASON_DEADLINE, 0, out);
    }
}
