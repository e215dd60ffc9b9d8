#include "preempt.h"

/* Larger than any size. Every node covers a vector of the negated value. */
#define ABOVE_ANY_SIZE (INT64_C(1) << 60)

/*
 * If the number of free slots has not reached a new maximum for this long,
 * another job may take over the reservation.
 */
static const int64_t STALL_NS = 300 * NS_PER_S;
/*
 * Maximum number of parked gangs checked against the fleet's size per run of
 * the timer.
 */
static const int PARKED_CHECKS_MAX = 4;
/*
 * Once this many gangs without the reservation have been retried in one run of
 * the timer, the gangs of further accounts wait for the next run.
 */
static const int RETRIES_MAX = 8;
static const int RETRIES_PER_LANE_MAX = 4;

/* Arms the timer of reservation_choose_next(), unless it is armed. */
void
reservation_arm_timer(struct sched *s)
{
    if (s->reserve_timer.node.pos == 0) {
        timer_set(s, &s->reserve_timer, s->now + s->config.gang_retry_ns);
    }
}

/*
 * Returns the oldest queue of the lane that may take the reservation: a gang,
 * or a big task that has waited for reserve_after_ns. NULL if there is none.
 */
static struct queue *
pick_candidate(struct sched *s, struct lane *l)
{
    struct fit_node *gang = fit_first(&l->gangs);
    struct fit_node *big = fit_first(&l->big_queues);

    if (big != NULL && s->now - big->key < s->config.reserve_after_ns) {
        big = NULL;
    }
    if (gang != NULL && (big == NULL || gang->key <= big->key)) {
        return gang->owner;
    }
    return big == NULL ? NULL : big->owner;
}

static struct queue *
pick_next_to_reserve(struct sched *s, bool *more)
{
    struct queue *best = NULL;
    double best_key = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        for (int lane = 0; lane < LANES; lane++) {
            struct queue *q = pick_candidate(s, &a->lanes[lane]);
            double key;
            *more = *more || a->lanes[lane].gangs.count > 0 ||
                    a->lanes[lane].blocked.count > 0;
            if (q == NULL) {
                continue;
            }
            key = account_order_key(s, a, q->node.key);
            if (best == NULL || q->lane < best->lane ||
                (q->lane == best->lane && key < best_key)) {
                best = q;
                best_key = key;
            }
        }
    }
    return best;
}

/*
 * Returns the gang after the one that was retried last in this lane, in
 * round-robin order; NULL if there is none.
 */
static struct queue *
pick_next_to_retry(struct lane *l)
{
    static const struct vec any = {
        {-ABOVE_ANY_SIZE, -ABOVE_ANY_SIZE, -ABOVE_ANY_SIZE, -ABOVE_ANY_SIZE}};
    struct fit_node *n = fit_find_next(&l->gangs, &any, &l->last_retried);

    n = n == NULL ? fit_first(&l->gangs) : n;
    if (n == NULL) {
        return NULL;
    }
    l->last_retried.key = n->key;
    l->last_retried.seq = n->seq;
    return n->owner;
}

/*
 * Retries some gangs that do not have the reservation, because they may fit by
 * now.
 */
static void
retry_gangs(struct sched *s)
{
    int left = RETRIES_MAX;

    for (size_t i = 0; i < s->account_count && left > 0; i++) {
        struct account *a;
        s->retry_cursor = (s->retry_cursor + 1) % s->account_count;
        a = s->accounts[s->retry_cursor];
        for (int n = 0; n < LANES * RETRIES_PER_LANE_MAX; n++) {
            struct lane *lane = &a->lanes[n % LANES];
            struct queue *q = pick_next_to_retry(lane);
            if (q != NULL) {
                queue_move(s, q, &lane->ready);
                left--;
            }
        }
    }
}

/*
 * Retries one urgent gang of each account, which may fit by now or find enough
 * work to preempt.
 */
static void
retry_urgent_gangs(struct sched *s)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct lane *lane = &s->accounts[i]->lanes[LANE_URGENT];
        struct queue *q = pick_next_to_retry(lane);
        if (q != NULL) {
            queue_move(s, q, &lane->ready);
        }
    }
}

/*
 * Whether the reservation makes no progress. A reservation for which enough
 * work is already being stopped (that of an urgent gang) is not stalled: this
 * work will end, however long it takes.
 */
static bool
is_stalled(const struct sched *s)
{
    const struct reservation *r = &s->reservation;

    if (r->charged_to_team.d[DIM_TASKS] > 0 &&
        r->held_slots >= r->needed_slots) {
        return false;
    }
    return s->now - r->last_progress_ns >= STALL_NS &&
           r->free_slots < r->needed_slots;
}

/* Releases the reservation and moves its job behind all waiting jobs. */
static void
requeue_reserved_job(struct sched *s)
{
    struct job *j = s->reservation.job;
    struct queue *q = j->queue;

    j->enqueued_ns = s->now;
    reservation_release(s);
    if (q != NULL && q->tree != NULL) {
        queue_move(s, q, q->tree);
    }
}

static void
recheck_parked_gangs(struct sched *s)
{
    for (int i = 0; s->parked_gang_rechecks > 0 && i < PARKED_CHECKS_MAX;
         i++) {
        struct job *j = link_first(&s->parked_gangs);
        s->parked_gang_rechecks--;
        if (j == NULL) {
            s->parked_gang_rechecks = 0;
            break;
        }
        if (fleet_count_slots(s, &j->size, j->waiting.count) >=
            (int64_t)j->waiting.count) {
            job_unpark(s, j);
        }
        else {
            link_remove(&j->parked_link);
            link_insert_before(&s->parked_gangs, &j->parked_link);
        }
    }
}

/*
 * Gives the reservation to the next job if it is free or stalled, and retries
 * some of the gangs that do not have it. Also reclaims shares and rechecks
 * parked gangs. Runs when reserve_timer expires and whenever a reservation is
 * completed.
 */
void
reservation_choose_next(struct sched *s)
{
    bool more = false;
    struct reservation *r = &s->reservation;
    struct queue *q;

    reclaim_shares(s);
    q = pick_next_to_reserve(s, &more);
    recheck_parked_gangs(s);
    more = more || s->parked_gang_rechecks > 0;
    urgent_gang_replace_slots(s);
    retry_urgent_gangs(s);
    if (r->job != NULL && q != NULL && is_stalled(s)) {
        requeue_reserved_job(s);
        q = pick_next_to_reserve(s, &more);
    }
    if (r->job == NULL && q != NULL) {
        struct job *j = link_first(&q->jobs);
        if (j->class == SCHED_CLASS_GANG) {
            queue_move(s, q, &q->account->lanes[q->lane].ready);
        }
        else {
            (void)reservation_start(s, j);
            reservation_forecast(s);
        }
    }
    else if (q != NULL) {
        retry_gangs(s);
    }
    if (more) {
        reservation_arm_timer(s);
    }
}
