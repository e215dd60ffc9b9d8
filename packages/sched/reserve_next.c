#include "preempt.h"

/* Above any size. */
#define GANG_ANY (INT64_C(1) << 60)

/* Without another free slot for this long, another job may reserve. */
static const int64_t STALL_NS = 300 * NS_PER_S;
/* Gangs above the fleet's size that are looked at again per timer. */
static const int PARKED_CHECKS = 4;
/* Gangs without the reservation that are tried per timer. */
static const int RETRIES = 8;
static const int RETRIES_PER_LANE = 4;

/* Arms the timer that looks after gangs and big tasks. */
void
reserve_soon(struct sched *s)
{
    if (s->reserve.node.pos == 0) {
        timer_set(s, &s->reserve, s->now + s->config.gang_retry_ns);
    }
}

/* The oldest queue of the lane that may reserve, NULL if there is none. */
static struct queue *
reserve_candidate(struct sched *s, struct lane *l)
{
    struct fit_node *gang = fit_min(&l->gangs);
    struct fit_node *big = fit_min(&l->big);

    if (big != NULL && s->now - big->key < s->config.reserve_after_ns) {
        big = NULL;
    }
    if (gang != NULL && (big == NULL || gang->key <= big->key)) {
        return gang->owner;
    }
    return big == NULL ? NULL : big->owner;
}

static struct queue *
next_to_reserve(struct sched *s, bool *more)
{
    struct queue *best = NULL;
    double best_key = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        for (int lane = 0; lane < LANES; lane++) {
            struct queue *q = reserve_candidate(s, &a->lanes[lane]);
            double key;
            *more = *more || a->lanes[lane].gangs.count > 0 ||
                    a->lanes[lane].blocked.count > 0;
            if (q == NULL) {
                continue;
            }
            key = account_key(s, a, q->node.key);
            if (best == NULL || q->lane < best->lane ||
                (q->lane == best->lane && key < best_key)) {
                best = q;
                best_key = key;
            }
        }
    }
    return best;
}

/* The lane's gang after the one tried last, round and round. */
static struct queue *
next_to_retry(struct lane *l)
{
    static const struct vec any = {
        {-GANG_ANY, -GANG_ANY, -GANG_ANY, -GANG_ANY}};
    struct fit_node *n = fit_next(&l->gangs, &any, &l->retried);

    n = n == NULL ? fit_min(&l->gangs) : n;
    if (n == NULL) {
        return NULL;
    }
    l->retried.key = n->key;
    l->retried.seq = n->seq;
    return n->owner;
}

/* Some gangs without a reservation look whether they fit by now. */
static void
retry_some(struct sched *s)
{
    int left = RETRIES;

    for (size_t i = 0; i < s->account_count && left > 0; i++) {
        struct account *a;
        s->retry_cursor = (s->retry_cursor + 1) % s->account_count;
        a = s->accounts[s->retry_cursor];
        for (int n = 0; n < LANES * RETRIES_PER_LANE; n++) {
            struct lane *lane = &a->lanes[n % LANES];
            struct queue *q = next_to_retry(lane);
            if (q != NULL) {
                queue_move(s, q, &lane->ready);
                left--;
            }
        }
    }
}

/* An urgent gang of each account looks whether it can start or preempt. */
static void
retry_urgent(struct sched *s)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct lane *lane = &s->accounts[i]->lanes[LANE_URGENT];
        struct queue *q = next_to_retry(lane);
        if (q != NULL) {
            queue_move(s, q, &lane->ready);
        }
    }
}

/* The work stopped for an urgent gang will end, however long it takes. */
static bool
stalled(const struct sched *s)
{
    const struct reservation *r = &s->reservation;

    if (r->charged.d[DIM_TASKS] > 0 && r->held >= r->need) {
        return false;
    }
    return s->now - r->progress >= STALL_NS && r->ready < r->need;
}

/* The reserved job goes behind all that wait. */
static void
give_way(struct sched *s)
{
    struct job *j = s->reservation.job;
    struct queue *q = j->queue;

    j->enqueued = s->now;
    reservation_drop(s);
    if (q != NULL && q->tree != NULL) {
        queue_move(s, q, q->tree);
    }
}

static void
recheck_parked(struct sched *s)
{
    for (int i = 0; s->recheck_left > 0 && i < PARKED_CHECKS; i++) {
        struct job *j = link_first(&s->parked_gangs);
        s->recheck_left--;
        if (j == NULL) {
            s->recheck_left = 0;
            break;
        }
        if (fleet_slots(s, &j->size, j->waiting.count) >=
            (int64_t)j->waiting.count) {
            job_unpark(s, j);
        }
        else {
            link_remove(&j->parked);
            link_insert_before(&s->parked_gangs, &j->parked);
        }
    }
}

/* Lets the next job reserve, and some gangs try without. */
void
reserve_next(struct sched *s)
{
    bool more = false;
    struct reservation *r = &s->reservation;
    struct queue *q;

    reclaim_shares(s);
    q = next_to_reserve(s, &more);
    recheck_parked(s);
    more = more || s->recheck_left > 0;
    urgent_gang_refill(s);
    retry_urgent(s);
    if (r->job != NULL && q != NULL && stalled(s)) {
        give_way(s);
        q = next_to_reserve(s, &more);
    }
    if (r->job == NULL && q != NULL) {
        struct job *j = link_first(&q->jobs);
        if (j->class == SCHED_CLASS_GANG) {
            queue_move(s, q, &q->account->lanes[q->lane].ready);
        }
        else {
            (void)reservation_start(s, j);
            reservation_foresee(s);
        }
    }
    else if (q != NULL) {
        retry_some(s);
    }
    if (more) {
        reserve_soon(s);
    }
}
