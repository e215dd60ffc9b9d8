/*
 * Chooses an endpoint for a request. Each service keeps the endpoints that can
 * take a request in heaps by score, so that a choice does not scan all of
 * them.
 */
#include "router_int.h"

enum {
    /* Terms of an endpoint's score; the smallest score is chosen. */
    SCORE_FULL = 1024,  /* this entry uses every slot of the endpoint */
    SCORE_REMOTE = 512, /* other failure domain: like half the slots in use */
    SCORE_PER_FAILURE = 256, /* per consecutive failure */
    SCORE_PROBE_ADJUST = -4096,
    SCORE_PROBATION_ADJUST = 4096,
};

/*
 * Returns a score that prefers free capacity and this entry's failure domain,
 * and avoids endpoints that just failed.
 */
static int64_t
endpoint_score(const struct endpoint *e)
{
    int64_t sum = (int64_t)e->units->used * SCORE_FULL / (e->slots + 1);

    sum += e->local ? 0 : SCORE_REMOTE;
    sum += (int64_t)e->consecutive_failures * SCORE_PER_FAILURE;
    return sum;
}

/* Returns the heap for the endpoint, or NULL if it can take no request. */
static struct heap *
find_rank_heap(const struct endpoint *e)
{
    const struct units *u = e->units;

    if (u->held <= u->used || u->used >= e->slots || e->gone || e->leaving ||
        e->ejected) {
        return NULL;
    }
    if (e->probation) {
        return u->used == 0 ? &e->service->probes : NULL;
    }
    return &e->service->available;
}

void
endpoint_update_rank(struct endpoint *e)
{
    struct heap *to = find_rank_heap(e);

    if (e->rank.pos != 0) {
        heap_remove(e->rank_heap, &e->rank);
    }
    e->rank_heap = to;
    if (to != NULL) {
        e->rank.key = endpoint_score(e);
        e->rank.seq = e->last_chosen_seq;
        heap_insert(to, &e->rank);
    }
}

static bool
was_tried(const struct request *req, const struct endpoint *e)
{
    for (uint32_t i = 0; i < req->attempts && i < MAX_TRIED; i++) {
        if (req->tried[i] == e->serial) {
            return true;
        }
    }
    return false;
}

/* Returns the endpoint with the smallest score that was not tried, or NULL. */
static struct endpoint *
find_first_untried(struct heap *h, const struct request *req)
{
    struct heap_node *skipped[MAX_TRIED];
    struct heap_node *n;
    size_t count = 0;

    while ((n = heap_min(h)) != NULL && count < MAX_TRIED &&
           was_tried(req, NODE_OWNER(struct endpoint, n, rank))) {
        skipped[count] = heap_pop(h);
        count++;
    }
    n = heap_min(h);
    while (count > 0) {
        count--;
        heap_insert(h, skipped[count]);
    }
    return n == NULL ? NULL : NODE_OWNER(struct endpoint, n, rank);
}

/* Whether a, with adjust added to its score, is chosen before b. */
static bool
ranks_before(const struct heap_node *a, int64_t adjust,
             const struct heap_node *b)
{
    int64_t key = a->key + adjust;

    return key < b->key || (key == b->key && a->seq < b->seq);
}

/*
 * An endpoint on probation gets one request at a time. Idempotent requests
 * prefer it, as a probe; others go there only when no other endpoint is free.
 */
struct endpoint *
endpoint_choose(struct router *r, struct service *s, const struct request *req)
{
    struct endpoint *best = find_first_untried(&s->available, req);
    struct endpoint *probe = find_first_untried(&s->probes, req);
    int64_t adjust =
        req->idempotent ? SCORE_PROBE_ADJUST : SCORE_PROBATION_ADJUST;

    if (probe != NULL &&
        (best == NULL || ranks_before(&probe->rank, adjust, &best->rank))) {
        best = probe;
    }
    if (best != NULL) {
        r->seq++;
        best->last_chosen_seq = r->seq;
    }
    return best;
}

bool
service_has_untried_endpoint(const struct service *s,
                             const struct request *req, int64_t now)
{
    for (size_t i = 0; i < s->endpoint_count; i++) {
        const struct endpoint *e = s->endpoints[i];
        if (!endpoint_is_refused(e, now) && !was_tried(req, e)) {
            return true;
        }
    }
    return false;
}
