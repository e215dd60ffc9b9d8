#include "clock.h"
#include "router_int.h"

enum {
    /* Parked requests that one dispatch examines, which bounds its cost. */
    PARKED_SCAN = 8,
    /* A cancelled attempt counts as a failure of the endpoint only if it took
     * longer than the mean plus this many deviations. */
    SLOW_DEVIATIONS = 4,
};

static void
send_request(struct router *r, struct request *req, struct endpoint *e,
             int64_t now, struct router_actions *out)
{
    struct queue *q = req->queue;
    struct team *t = q->team;
    struct router_action *a;

    queue_charge_cost(req, req->expected_cost_ns);
    request_dequeue(r, req);
    req->state = REQUEST_IN_FLIGHT;
    req->endpoint = e;
    req->tried[req->attempts % MAX_TRIED] = e->serial;
    req->attempts++;
    q->service->in_flight++;
    t->in_flight++;
    r->stats.in_flight++;
    r->stats.sent++;
    units_acquire_one(e->units);
    units_acquire_one(t->units);
    team_update_queues(r, now, t);
    a = action_add(out, ROUTER_SEND, req);
    a->endpoint = e->id;
    a->deadline = req->deadline;
}

/*
 * Sends parked requests: retries whose untried endpoints were busy, and
 * requests that waited for a higher duration bound. They go before queued
 * requests because they are the oldest.
 */
static void
dispatch_parked(struct router *r, struct service *s, int64_t now,
                struct router_actions *out)
{
    struct request *next;
    int scanned = 0;

    for (struct request *req = TAILQ_FIRST(&s->parked);
         req != NULL && scanned < PARKED_SCAN; req = next) {
        next = TAILQ_NEXT(req, in_parked);
        scanned++;
        if (!team_can_send(r, req->queue->team, now) ||
            !bound_allows_request(r, req, now)) {
            continue;
        }
        struct endpoint *e = endpoint_choose(r, s, req);
        if (e != NULL) {
            send_request(r, req, e, now, out);
        }
        else if (req->attempts > 0 &&
                 !service_has_untried_endpoint(s, req, now)) {
            request_end_waiting(r, req, ROUTER_REASON_ENDPOINT, NS_PER_S, out);
        }
    }
}

/*
 * Sends, parks or ends the request. Returns false if it stays queued because
 * no endpoint can take it.
 */
static bool
dispatch_request(struct router *r, struct service *s, struct request *req,
                 int64_t now, struct router_actions *out)
{
    struct endpoint *e;

    if (cost_would_miss_deadline(queue_find_cost(req->queue, req->path_class),
                                 now, 0, req->deadline, s->queued > 1)) {
        request_end_waiting(r, req, ROUTER_REASON_TOO_LATE, NS_PER_S, out);
        return true;
    }
    if (!bound_allows_request(r, req, now)) {
        queue_park_request(req);
        return true;
    }
    e = endpoint_choose(r, s, req);
    if (e != NULL) {
        send_request(r, req, e, now, out);
        return true;
    }
    if (req->attempts == 0) {
        return false;
    }
    queue_park_request(req);
    return true;
}

void
dispatch_service(struct router *r, struct service *s, int64_t now,
                 struct router_actions *out)
{
    struct request *req;

    if (now >= r->config_deadline || now >= r->units_deadline) {
        return;
    }
    if (!TAILQ_EMPTY(&s->parked) && s->free_slots > 0) {
        dispatch_parked(r, s, now, out);
    }
    while (s->free_slots > 0 &&
           (req = service_next_request(r, s, now)) != NULL) {
        if (!dispatch_request(r, s, req, now, out)) {
            break;
        }
    }
    expedite_for_demand_change(r, s);
}

void
dispatch_all_services(struct router *r, int64_t now,
                      struct router_actions *out)
{
    void *cursor = NULL;
    struct service *s;

    while ((s = map_next(r->services, &cursor)) != NULL) {
        if (s->queued > 0) {
            dispatch_service(r, s, now, out);
        }
    }
}

/* Whether the result counts as a failure of the endpoint. */
static bool
is_endpoint_failure(const struct request *req, const struct router_attempt *a)
{
    const struct cost *c = queue_find_cost(req->queue, req->path_class);

    if (a->result != ATTEMPT_CANCELLED) {
        return a->result != ATTEMPT_OK;
    }
    return a->duration_ns > c->mean_ns + SLOW_DEVIATIONS * c->dev_ns;
}

static void
release_slot(struct router *r, struct request *req, int64_t now)
{
    struct queue *q = req->queue;
    struct endpoint *e = req->endpoint;

    req->endpoint = NULL;
    q->service->in_flight--;
    q->team->in_flight--;
    r->stats.in_flight--;
    units_release_one(r, e->units);
    if (e->gone && e->units->used == 0) {
        endpoint_destroy(r, e);
    }
    units_release_one(r, q->team->units);
    team_update_queues(r, now, q->team);
}

/* Returns why the request must not be retried, or ROUTER_REASON_NONE. */
static enum router_reason
check_retry(struct router *r, const struct request *req, int64_t now)
{
    struct service *s = req->queue->service;

    if (req->no_retry) {
        return ROUTER_REASON_CALLER_GONE;
    }
    if ((req->bytes_sent && !req->idempotent) ||
        req->attempts >= r->config.max_attempts ||
        !service_has_untried_endpoint(s, req, now)) {
        return ROUTER_REASON_ENDPOINT;
    }
    if (now >= r->config_deadline) {
        return ROUTER_REASON_NO_LEASE;
    }
    if (now + queue_find_cost(req->queue, req->path_class)->mean_ns >=
        req->deadline) {
        return ROUTER_REASON_DEADLINE;
    }
    if (is_queue_full(r, req->bytes)) {
        return ROUTER_REASON_QUEUE_FULL;
    }
    if (s->retry_tokens < 1) {
        return ROUTER_REASON_NO_BUDGET;
    }
    return ROUTER_REASON_NONE;
}

static void
retry_or_end(struct router *r, struct request *req, int64_t now,
             const struct router_attempt *a, struct router_actions *out)
{
    enum router_reason reason = check_retry(r, req, now);
    enum router_action_kind kind =
        req->bytes_sent ? ROUTER_FAIL : ROUTER_REFUSE;

    if (reason == ROUTER_REASON_NONE) {
        req->queue->service->retry_tokens -= 1;
        r->stats.retries++;
        request_enqueue(r, now, req);
        return;
    }
    if (a->result == ATTEMPT_ERROR_RESPONSE) {
        kind = ROUTER_COMPLETE;
        reason = ROUTER_REASON_NONE;
    }
    request_answer(r, req, kind, reason, NS_PER_S, out);
    request_free(r, req);
}

void
handle_attempt_end(struct router *r, int64_t now,
                   const struct router_attempt *a, struct router_actions *out)
{
    struct request *req = map_get_u64(r->requests, a->request);
    struct service *s;

    if (req == NULL || req->state != REQUEST_IN_FLIGHT ||
        req->attempts != a->attempt) {
        return;
    }
    s = req->queue->service;
    if (a->bytes_sent || a->result == ATTEMPT_OK ||
        a->result == ATTEMPT_ERROR_RESPONSE) {
        req->bytes_sent = true;
    }
    endpoint_record_result(r, req->endpoint, now,
                           !is_endpoint_failure(req, a));
    if (a->result == ATTEMPT_OK) {
        cost_add_sample(queue_find_cost(req->queue, req->path_class),
                        a->duration_ns);
    }
    queue_charge_cost(req, a->duration_ns - req->expected_cost_ns);
    release_slot(r, req, now);
    if (req->answered) {
        request_free(r, req);
    }
    else if (a->result == ATTEMPT_OK) {
        request_answer(r, req, ROUTER_COMPLETE, ROUTER_REASON_NONE, 0, out);
        request_free(r, req);
    }
    else {
        retry_or_end(r, req, now, a, out);
    }
    dispatch_service(r, s, now, out);
}
