#include "core.h"

#include "mem.h"

/*
 * A task is big if it needs at least 1/4 of the largest worker in some
 * dimension; small tasks can starve such a task.
 */
static const int64_t BIG_TASK_DIVISOR = 4;

enum {
    ROUND_BITS = 3, /* eight steps per power of two */
    DIM_BITS = 10,  /* holds any result of round_size() */
};

/*
 * Returns the number of the step that contains v. There are eight steps per
 * power of two, so the sizes in one step differ by less than 1/8.
 */
static uint64_t
round_size(int64_t v)
{
    uint64_t u = (uint64_t)v;
    unsigned bits;

    if (u < (1U << ROUND_BITS)) {
        return u;
    }
    bits = 63 - (unsigned)__builtin_clzll(u);
    return (uint64_t)bits << ROUND_BITS |
           (u >> (bits - ROUND_BITS) & ((1U << ROUND_BITS) - 1));
}

/*
 * Returns the key of the queue for j: its rounded request, its urgency,
 * whether it is a gang and, for a gang, the rounded number of waiting tasks.
 */
static uint64_t
compute_shape(const struct job *j)
{
    uint64_t shape = j->class == SCHED_CLASS_GANG ? 1 : 0;

    shape = shape << 1 | (j->urgent ? 1 : 0);
    for (int i = 0; i < DIM_TASKS; i++) {
        shape = shape << DIM_BITS | round_size(j->request.d[i]);
    }
    if (j->class == SCHED_CLASS_GANG) {
        shape = shape << DIM_BITS | round_size(j->waiting.count);
    }
    return shape;
}

static struct queue *
queue_get_or_create(struct sched *s, struct job *j)
{
    uint64_t shape = compute_shape(j);
    struct queue *q = map_get_u64(j->account->queues, shape);

    if (q == NULL) {
        q = mem_zalloc(1, sizeof(*q));
        fit_node_init(&q->node, q, s->next_id++);
        fit_node_init(&q->big_node, q, s->next_id++);
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
    fit_remove(&q->account->lanes[q->lane].big_queues, &q->big_node);
    q->tree = NULL;
    if (from == &q->account->lanes[q->lane].ready) {
        lane_update_order(s, q->account, q->lane);
    }
}

/* Whether a request is so large that small tasks may starve it. */
static bool
is_big_request(const struct sched *s, const struct vec *request)
{
    if (s->up_workers.root == NULL) {
        return false;
    }
    for (int i = 0; i < DIM_TASKS; i++) {
        if (request->d[i] > 0 && request->d[i] * BIG_TASK_DIVISOR >=
                                     s->up_workers.root->subtree_max.d[i]) {
            return true;
        }
    }
    return false;
}

static void
add_to_blocked(struct sched *s, struct queue *q, struct lane *lane)
{
    if (lane->blocked.count == 0 || q->node.key < lane->blocked_since_ns) {
        lane->blocked_since_ns = q->node.key;
    }
    if (is_big_request(s,
                       &((const struct job *)link_first(&q->jobs))->request)) {
        q->big_node.key = q->node.key;
        q->big_node.vec = q->node.vec;
        fit_insert(&lane->big_queues, &q->big_node);
    }
}

/*
 * Moves a queue to another tree of its lane. The node's vector is the negated
 * room that the first job needs: the whole job under the team's limit in the
 * limited tree, otherwise one task. A search for queues whose first job fits
 * in some room then looks for vectors that cover the negated room.
 */
void
queue_move(struct sched *s, struct queue *q, struct fit_tree *to)
{
    struct lane *lane = &q->account->lanes[q->lane];
    const struct job *j = link_first(&q->jobs);
    struct vec need = j->request;

    leave_tree(s, q);
    if (to == &lane->limited) {
        need = job_needed_room(j);
    }
    q->node.vec = vec_negate(&need);
    q->node.key = j->enqueued_ns;
    q->tree = to;
    q->head_id = j->id;
    if (to == &lane->blocked) {
        add_to_blocked(s, q, lane);
    }
    fit_insert(to, &q->node);
    if (to == &lane->ready) {
        lane_update_order(s, q->account, q->lane);
    }
    else if (to != &lane->limited) {
        reservation_arm_timer(s);
    }
}

static void
queue_free(struct sched *s, struct queue *q)
{
    leave_tree(s, q);
    if (s->woken_queue == q) {
        s->woken_queue = NULL;
    }
    map_del_u64(q->account->queues, q->shape);
    mem_free(q);
}

/*
 * Must be called whenever the first job of the queue may have changed. Frees
 * an empty queue; makes the queue ready if its first job is another one.
 */
void
queue_refresh(struct sched *s, struct queue *q)
{
    const struct job *first = link_first(&q->jobs);

    if (first == NULL) {
        queue_free(s, q);
    }
    else if (q->tree == NULL || q->head_id != first->id) {
        queue_move(s, q, &q->account->lanes[q->lane].ready);
    }
}

/*
 * Adds a job to the queue of its shape. A job that has waited longer than the
 * last one goes to the front. The sizes of jobs in one queue differ by less
 * than 1/8, so a first job that does not fit delays the others only briefly.
 */
void
queue_add(struct sched *s, struct job *j)
{
    struct queue *q = queue_get_or_create(s, j);
    const struct job *last = link_empty(&q->jobs) ? NULL : q->jobs.prev->owner;

    j->queue = q;
    if (last == NULL || last->enqueued_ns <= j->enqueued_ns) {
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
queues_make_ready(struct sched *s, struct account *a, struct fit_tree *tree)
{
    struct fit_node *n;

    while ((n = fit_first(tree)) != NULL) {
        struct queue *q = n->owner;
        queue_move(s, q, &a->lanes[q->lane].ready);
    }
}

struct queue *
queue_pick_next(struct sched *s)
{
    for (int lane = 0; lane < LANES; lane++) {
        const struct heap_node *first = heap_min(&s->ready_lanes[lane]);
        if (first != NULL) {
            const struct lane *l =
                (const struct lane *)((const char *)first -
                                      offsetof(struct lane, heap));
            return fit_first(&l->ready)->owner;
        }
    }
    return NULL;
}
