/*
 * The choice of an endpoint for a request. Each service keeps its endpoints
 * that can take one in heaps by score, so that a choice does not look at all
 * of them.
 */
#include "router_int.h"

enum {
    /* Parts of a score; the smallest wins. */
    SCORE_FULL = 1024,  /* every slot of the endpoint in use by this entry */
    SCORE_REMOTE = 512, /* another failure domain: half the slots' worth */
    SCORE_FAIL = 256,   /* per consecutive failure */
    SCORE_PROBE = -4096,
    SCORE_PROBATION = 4096,
};

/*
 * Prefers free capacity and the own failure domain, and avoids endpoints that
 * just failed.
 */
static int64_t
score(const struct endpoint *e)
{
    int64_t sum = (int64_t)e->units->used * SCORE_FULL / (e->slots + 1);

    sum += e->local ? 0 : SCORE_REMOTE;
    sum += (int64_t)e->fails * SCORE_FAIL;
    return sum;
}

/* The heap in which the endpoint belongs, or NULL if it can take nothing. */
static struct heap *
heap_for(const struct endpoint *e)
{
    const struct units *u = e->units;

    if (u->held <= u->used || u->used >= e->slots || e->gone || e->leaving ||
        e->out) {
        return NULL;
    }
    if (e->probation) {
        return u->used == 0 ? &e->service->probes : NULL;
    }
    return &e->service->open;
}

void
endpoint_rank(struct endpoint *e)
{
    struct heap *to = heap_for(e);

    if (e->rank.pos != 0) {
        heap_remove(e->ranked, &e->rank);
    }
    e->ranked = to;
    if (to != NULL) {
        e->rank.key = score(e);
        e->rank.seq = e->last_pick;
        heap_insert(to, &e->rank);
    }
}

static bool
tried(const struct request *q, const struct endpoint *e)
{
    for (uint32_t i = 0; i < q->attempts && i < TRIED_MAX; i++) {
        if (q->tried[i] == e->serial) {
            return true;
        }
    }
    return false;
}

/* The endpoint of the smallest score that the request was not sent to. */
static struct endpoint *
first_untried(struct heap *h, const struct request *q)
{
    struct heap_node *skipped[TRIED_MAX];
    struct heap_node *n;
    size_t count = 0;

    while ((n = heap_min(h)) != NULL && count < TRIED_MAX &&
           tried(q, NODE_OWNER(struct endpoint, n, rank))) {
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

static bool
better(const struct heap_node *a, int64_t adjust, const struct heap_node *b)
{
    int64_t key = a->key + adjust;

    return key < b->key || (key == b->key && a->seq < b->seq);
}

/*
 * An endpoint on probation gets one idempotent request at a time as a probe;
 * others go there only when nothing else is free.
 */
struct endpoint *
endpoint_choose(struct router *r, struct service *s, const struct request *q)
{
    struct endpoint *best = first_untried(&s->open, q);
    struct endpoint *probe = first_untried(&s->probes, q);
    int64_t adjust = q->idempotent ? SCORE_PROBE : SCORE_PROBATION;

    if (probe != NULL &&
        (best == NULL || better(&probe->rank, adjust, &best->rank))) {
        best = probe;
    }
    if (best != NULL) {
        r->seq++;
        best->last_pick = r->seq;
    }
    return best;
}

bool
endpoint_untried(const struct service *s, const struct request *q, int64_t now)
{
    for (size_t i = 0; i < s->endpoint_count; i++) {
        const struct endpoint *e = s->endpoints[i];
        if (!endpoint_refused(e, now) && !tried(q, e)) {
            return true;
        }
    }
    return false;
}
