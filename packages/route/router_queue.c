#include "clock.h"
#include "mem.h"
#include "router_int.h"

struct queue *
queue_find_or_create(struct service *s, struct team *t)
{
    struct queue *q = map_get_u64(s->queues, t->number);

    if (q != NULL) {
        return q;
    }
    q = mem_zalloc(1, sizeof(*q));
    q->service = s;
    q->team = t;
    q->node.seq = t->number;
    map_put_u64(s->queues, t->number, q);
    TAILQ_INSERT_TAIL(&t->queues, q, in_team);
    return q;
}

void
queue_destroy(struct queue *q)
{
    q->service->active_weight -= q->counted_weight;
    heap_remove(&q->service->active, &q->node);
    TAILQ_REMOVE(&q->team->queues, q, in_team);
    for (size_t i = 0; i < FLOW_COUNT; i++) {
        heap_free(&q->flows[i].requests);
    }
    mem_free(q);
}

void
queue_update(const struct router *r, int64_t now, struct queue *q)
{
    struct service *s = q->service;
    uint32_t weight = q->count > 0 ? q->team->weight : 0;
    bool active = q->count > 0 && team_can_send(r, q->team, now);

    s->active_weight += weight;
    s->active_weight -= q->counted_weight;
    q->counted_weight = weight;
    if (!active) {
        heap_remove(&s->active, &q->node);
        return;
    }
    if (q->node.pos == 0) {
        /* A queue earns no credit for time without requests or units. */
        q->vtime = q->vtime > s->virtual_now ? q->vtime : s->virtual_now;
        q->node.key = q->vtime;
        heap_insert(&s->active, &q->node);
    }
}

void
team_update_queues(const struct router *r, int64_t now, struct team *t)
{
    for (struct queue *q = TAILQ_FIRST(&t->queues); q != NULL;
         q = TAILQ_NEXT(q, in_team)) {
        queue_update(r, now, q);
    }
}

uint32_t
timeout_bucket(const struct request *req)
{
    uint64_t ms = (uint64_t)(req->deadline - req->arrived) / NS_PER_MS;
    uint32_t bits = ms == 0 ? 0 : 64 - (uint32_t)__builtin_clzll(ms);

    if (!req->has_deadline) {
        return 0;
    }
    return bits < TIMEOUT_BUCKETS ? bits : TIMEOUT_BUCKETS - 1;
}

struct flow *
request_select_flow(struct request *req)
{
    uint32_t i =
        req->has_deadline ? 0 : 1 + req->path_class % PATH_CLASS_COUNT;

    return &req->queue->flows[i];
}

static void
add_to_queued_counts(struct request *req, int64_t now)
{
    struct service *s = req->queue->service;

    if (s->queued == 0) {
        s->queued_since = now;
    }
    s->queued++;
    req->queue->team->runnable++;
}

static void
remove_from_queued_counts(struct request *req)
{
    req->queue->service->queued--;
    req->queue->team->runnable--;
}

void
queue_add_request(struct router *r, int64_t now, struct request *req)
{
    struct queue *q = req->queue;
    struct flow *f = request_select_flow(req);

    if (f->requests.count == 0 && f->vtime < q->flow_virtual_now) {
        f->vtime = q->flow_virtual_now;
    }
    req->state = REQUEST_QUEUED;
    req->flow = f;
    req->expected_cost_ns =
        cost_get_mean_ns(queue_find_cost(q, req->path_class));
    req->node.key = req->has_deadline ? req->deadline : req->arrived;
    req->node.seq = req->seq;
    heap_insert(&f->requests, &req->node);
    f->queued_cost_ns[timeout_bucket(req)] += req->expected_cost_ns;
    q->count++;
    add_to_queued_counts(req, now);
    queue_update(r, now, q);
}

static void
flow_remove_request(struct request *req)
{
    struct queue *q = req->queue;

    heap_remove(&req->flow->requests, &req->node);
    req->flow->queued_cost_ns[timeout_bucket(req)] -= req->expected_cost_ns;
    q->count--;
    if (q->count == 0) {
        q->service->active_weight -= q->counted_weight;
        q->counted_weight = 0;
        heap_remove(&q->service->active, &q->node);
    }
}

void
queue_remove_request(struct request *req)
{
    if (req->state == REQUEST_PARKED) {
        TAILQ_REMOVE(&req->queue->service->parked, req, in_parked);
    }
    else {
        flow_remove_request(req);
    }
    remove_from_queued_counts(req);
}

void
queue_park_request(struct request *req)
{
    flow_remove_request(req);
    req->state = REQUEST_PARKED;
    TAILQ_INSERT_TAIL(&req->queue->service->parked, req, in_parked);
}

/* Returns the flow with requests that has used the least cost, or NULL. */
static struct flow *
select_next_flow(struct queue *q)
{
    struct flow *best = NULL;

    for (size_t i = 0; i < FLOW_COUNT; i++) {
        struct flow *f = &q->flows[i];
        if (f->requests.count > 0 &&
            (best == NULL || f->vtime < best->vtime)) {
            best = f;
        }
    }
    return best;
}

struct request *
service_next_request(const struct router *r, struct service *s, int64_t now)
{
    struct heap_node *n;

    while ((n = heap_min(&s->active)) != NULL) {
        struct queue *q = NODE_OWNER(struct queue, n, node);
        if (!team_can_send(r, q->team, now)) {
            queue_update(r, now, q);
            continue;
        }
        struct flow *f = select_next_flow(q);
        return NODE_OWNER(struct request, heap_min(&f->requests), node);
    }
    return NULL;
}

void
queue_charge_cost(struct request *req, int64_t cost_ns)
{
    struct queue *q = req->queue;
    struct service *s = q->service;

    if (cost_ns > 0) {
        s->virtual_now = q->vtime > s->virtual_now ? q->vtime : s->virtual_now;
        q->flow_virtual_now = req->flow->vtime > q->flow_virtual_now
                                  ? req->flow->vtime
                                  : q->flow_virtual_now;
    }
    req->flow->vtime += cost_ns;
    q->vtime += cost_ns / q->team->weight;
    if (q->node.pos != 0) {
        q->node.key = q->vtime;
        heap_update(&s->active, &q->node);
    }
}
