#include "core.h"

#include "mem.h"

/* A task of a quarter of a VM can be starved by small ones. */
static const int64_t BIG_PART = 4;

enum {
    OCTAVE_BITS = 3, /* eight sizes per power of two */
    DIM_BITS = 10,
};

/* Numbers from v to below v * 9/8 or so give the same result. */
static uint64_t
rounded(int64_t v)
{
    uint64_t u = (uint64_t)v;
    unsigned bits;

    if (u < (1U << OCTAVE_BITS)) {
        return u;
    }
    bits = 63 - (unsigned)__builtin_clzll(u);
    return (uint64_t)bits << OCTAVE_BITS |
           (u >> (bits - OCTAVE_BITS) & ((1U << OCTAVE_BITS) - 1));
}

static uint64_t
shape_of(const struct job *j)
{
    uint64_t shape = j->class == SCHED_CLASS_GANG ? 1 : 0;

    shape = shape << 1 | (j->urgent ? 1 : 0);
    for (int i = 0; i < DIM_TASKS; i++) {
        shape = shape << DIM_BITS | rounded(j->ask.d[i]);
    }
    if (j->class == SCHED_CLASS_GANG) {
        shape = shape << DIM_BITS | rounded(j->waiting.count);
    }
    return shape;
}

static struct queue *
queue_get(struct sched *s, struct job *j)
{
    uint64_t shape = shape_of(j);
    struct queue *q = map_get_u64(j->account->queues, shape);

    if (q == NULL) {
        q = mem_zalloc(1, sizeof(*q));
        fit_node_init(&q->node, q, s->next_id++);
        fit_node_init(&q->big, q, s->next_id++);
        q->account = j->account;
        q->shape = shape;
        q->lane = j->urgent ? LANE_URGENT : LANE_NORMAL;
        link_init(&q->jobs, NULL);
        map_put_u64(j->account->queues, shape, q);
    }
    return q;
}

static void
leave_tree(struct sched *s, struct queue *q)
{
    struct fit_tree *from = q->tree;

    if (from == NULL) {
        return;
    }
    fit_remove(from, &q->node);
    fit_remove(&q->account->lanes[q->lane].big, &q->big);
    q->tree = NULL;
    if (from == &q->account->lanes[q->lane].ready) {
        lane_update(s, q->account, q->lane);
    }
}

/* Whether one task needs a good part of the largest worker. */
static bool
is_big(const struct sched *s, const struct vec *ask)
{
    if (s->capacity.root == NULL) {
        return false;
    }
    for (int i = 0; i < DIM_TASKS; i++) {
        if (ask->d[i] > 0 &&
            ask->d[i] * BIG_PART >= s->capacity.root->max.d[i]) {
            return true;
        }
    }
    return false;
}

static void
enter_blocked(struct sched *s, struct queue *q, struct lane *lane)
{
    if (lane->blocked.count == 0 || q->node.key < lane->blocked_since) {
        lane->blocked_since = q->node.key;
    }
    if (is_big(s, &((const struct job *)link_first(&q->jobs))->ask)) {
        q->big.key = q->node.key;
        q->big.own = q->node.own;
        fit_insert(&lane->big, &q->big);
    }
}

/* The node's vector is minus what must be free for the queue's first job. */
void
queue_move(struct sched *s, struct queue *q, struct fit_tree *to)
{
    struct lane *lane = &q->account->lanes[q->lane];
    const struct job *j = link_first(&q->jobs);
    struct vec need = j->ask;

    leave_tree(s, q);
    if (to == &lane->limited) {
        need = job_need(j);
    }
    q->node.own = vec_negative(&need);
    q->node.key = j->enqueued;
    q->tree = to;
    q->head = j->id;
    if (to == &lane->blocked) {
        enter_blocked(s, q, lane);
    }
    fit_insert(to, &q->node);
    if (to == &lane->ready) {
        lane_update(s, q->account, q->lane);
    }
    else if (to != &lane->limited) {
        reserve_soon(s);
    }
}

static void
queue_free(struct sched *s, struct queue *q)
{
    leave_tree(s, q);
    if (s->woken == q) {
        s->woken = NULL;
    }
    map_del_u64(q->account->queues, q->shape);
    mem_free(q);
}

/* Call after the first job may have changed. */
void
queue_refresh(struct sched *s, struct queue *q)
{
    const struct job *first = link_first(&q->jobs);

    if (first == NULL) {
        queue_free(s, q);
    }
    else if (q->tree == NULL || q->head != first->id) {
        queue_move(s, q, &q->account->lanes[q->lane].ready);
    }
}

/*
 * Work that waited before goes first. Jobs of one queue differ in size by an
 * eighth at most, so the first one holds up the others only briefly.
 */
void
queue_add(struct sched *s, struct job *j)
{
    struct queue *q = queue_get(s, j);
    const struct job *last = link_empty(&q->jobs) ? NULL : q->jobs.prev->owner;

    j->queue = q;
    if (last == NULL || last->enqueued <= j->enqueued) {
        link_insert_before(&q->jobs, &j->in_queue);
    }
    else {
        link_insert_before(q->jobs.next, &j->in_queue);
    }
    queue_refresh(s, q);
}

void
queue_remove(struct sched *s, struct job *j)
{
    struct queue *q = j->queue;

    if (q == NULL) {
        return;
    }
    j->queue = NULL;
    link_remove(&j->in_queue);
    queue_refresh(s, q);
}

void
queues_retry(struct sched *s, struct account *a, struct fit_tree *tree)
{
    struct fit_node *n;

    while ((n = fit_min(tree)) != NULL) {
        struct queue *q = n->owner;
        queue_move(s, q, &a->lanes[q->lane].ready);
    }
}

struct queue *
queue_pick(struct sched *s)
{
    for (int lane = 0; lane < LANES; lane++) {
        const struct heap_node *first = heap_min(&s->ready[lane]);
        if (first != NULL) {
            const struct lane *l =
                (const struct lane *)((const char *)first -
                                      offsetof(struct lane, heap));
            return fit_min(&l->ready)->owner;
        }
    }
    return NULL;
}
