#include "core.h"

static const int64_t URGENT_RETRY_NS = 200 * NS_PER_MS;

enum attempt {
    ATTEMPT_PLACED,
    ATTEMPT_NO_ROOM,
    ATTEMPT_LIMITED,
};

/* No worker has room: wait for one, or leave the queue if none ever could. */
static void
no_room(struct sched *s, struct queue *q, struct job *j)
{
    if (!fleet_fits(s, &j->ask)) {
        if (fleet_fits(s, &j->size)) {
            queue_remove(s, j);
            job_queue(s, j);
        }
        else {
            job_park(s, j, SCHED_REASON_NO_WORKER);
        }
        return;
    }
    queue_move(s, q, &q->account->lanes[q->lane].blocked);
    if (q->lane == LANE_URGENT && s->urgent.node.pos == 0) {
        timer_set(s, &s->urgent, s->now + URGENT_RETRY_NS);
    }
}

static void
placed(struct sched *s, struct job *j)
{
    team_unhold(s, j);
    if (s->reservation.job == j) {
        reservation_drop(s);
    }
    if (j->waiting.count == 0) {
        queue_remove(s, j);
    }
}

static bool
try_room(struct sched *s, struct job *j)
{
    struct worker *w = policy_pick(s, j);
    struct lease *l;
    bool backfill = false;

    if (w == NULL && urgent_preempt(s, j)) {
        return true;
    }
    if (w == NULL) {
        w = backfill_pick(s, j);
        backfill = w != NULL;
    }
    if (w == NULL) {
        return false;
    }
    l = lease_place(s, j, job_take(s, j), w, &j->ask);
    l->backfill = backfill;
    s->stats.backfills += backfill ? 1 : 0;
    return true;
}

/* Tries to place the first job of a queue, all of it if it is a gang. */
static enum attempt
attempt(struct sched *s, struct queue *q)
{
    struct job *j = link_first(&q->jobs);
    struct vec need = job_need(j);

    if (!team_allows(j->account->team, j, &need)) {
        if (!vec_covers(&j->account->team->limit, &need)) {
            queue_remove(s, j);
            job_queue(s, j);
        }
        else {
            team_hold(s, j, &need);
            queue_move(s, q, &q->account->lanes[q->lane].limited);
        }
        return ATTEMPT_LIMITED;
    }
    if (j->class == SCHED_CLASS_GANG) {
        return gang_try(s, q, j) ? ATTEMPT_PLACED : ATTEMPT_NO_ROOM;
    }
    if (!try_room(s, j)) {
        no_room(s, q, j);
        return ATTEMPT_NO_ROOM;
    }
    placed(s, j);
    return ATTEMPT_PLACED;
}

/* The blocked queue that fits avail, of the account that is first in order. */
static struct queue *
blocked_fitting(struct sched *s, const struct vec *avail, int lane)
{
    struct vec need = vec_negative(avail);
    struct queue *best = NULL;
    double best_key = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        const struct lane *l = &a->lanes[lane];
        struct fit_node *n;
        double key;
        if (l->blocked.count == 0 ||
            (best != NULL &&
             account_key(s, a, l->blocked_since) >= best_key)) {
            continue;
        }
        n = fit_next(&l->blocked, &need, NULL);
        if (n == NULL) {
            continue;
        }
        key = account_key(s, a, n->key);
        if (best == NULL || key < best_key) {
            best = n->owner;
            best_key = key;
        }
    }
    return best;
}

static void
wake(struct sched *s, struct queue *q)
{
    queue_move(s, q, &q->account->lanes[q->lane].ready);
    s->woken = q;
}

/* Offers a worker's room to claims, the reservation and blocked queues. */
static bool
wake_for_worker(struct sched *s, struct worker *w)
{
    struct vec avail;

    claims_serve(s, w);
    reservation_offer(s, w);
    if (!w->by_fill.in_tree) {
        return false;
    }
    avail = worker_avail(w);
    for (int lane = 0; lane < LANES; lane++) {
        struct queue *q = blocked_fitting(s, &avail, lane);
        if (q != NULL) {
            wake(s, q);
            s->woken_by = w;
            return true;
        }
    }
    return false;
}

/* The oldest queue that the room under the team's limit allows again. */
static bool
wake_for_team(struct sched *s, struct team *t)
{
    struct vec need = t->used;
    struct queue *best = NULL;

    vec_sub(&need, &t->limit);
    if (t->hold != NULL && t->hold->queue != NULL) {
        struct vec total = t->used;
        vec_add(&total, &t->hold_need);
        if (vec_covers(&t->limit, &total)) {
            best = t->hold->queue;
        }
    }
    for (int i = 0; best == NULL && i < 2 * LANES; i++) {
        struct lane *l = &t->accounts[i % 2].lanes[i / 2];
        struct fit_node *n = fit_next(&l->limited, &need, NULL);
        best = n == NULL ? NULL : n->owner;
    }
    if (best == NULL ||
        best->tree != &best->account->lanes[best->lane].limited) {
        return false;
    }
    wake(s, best);
    s->woken_team = t;
    return true;
}

/* Wakes one queue for capacity or limits that were released. */
static void
wake_next(struct sched *s)
{
    struct worker *w;
    struct team *t;

    while (s->woken == NULL && (w = link_first(&s->dirty_workers)) != NULL) {
        if (!wake_for_worker(s, w)) {
            link_remove(&w->dirty);
        }
    }
    while (s->woken == NULL && (t = link_first(&s->dirty_teams)) != NULL) {
        if (!wake_for_team(s, t)) {
            link_remove(&t->dirty);
        }
    }
}

/* What woke the queue is done with unless it may help others. */
static void
after_woken(struct sched *s, enum attempt result, const struct vec *need)
{
    struct vec avail;

    if (s->woken_team != NULL && result == ATTEMPT_LIMITED) {
        link_remove(&s->woken_team->dirty);
    }
    if (s->woken_by != NULL && result == ATTEMPT_NO_ROOM) {
        avail = worker_avail(s->woken_by);
        if (vec_covers(&avail, need)) {
            link_remove(&s->woken_by->dirty);
        }
    }
    s->woken_by = NULL;
    s->woken_team = NULL;
}

static void
decide(struct sched *s, struct queue *q)
{
    struct vec need = ((struct job *)link_first(&q->jobs))->ask;
    bool woken = s->woken == q;
    enum attempt result;

    if (woken) {
        s->woken = NULL;
    }
    result = attempt(s, q);
    if (woken) {
        after_woken(s, result, &need);
    }
}

static void
urgent_retry(struct sched *s)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        queues_retry(s, a, &a->lanes[LANE_URGENT].blocked);
    }
}

static void
fire(struct sched *s, struct timer *t)
{
    switch (t->kind) {
    case TIMER_BACKOFF:
        job_backoff_over(s, t->owner);
        break;
    case TIMER_PARKED:
        job_park_report(s, t->owner);
        break;
    case TIMER_STOP:
        lease_stop_overdue(s, t->owner);
        break;
    case TIMER_CLAIM:
        claim_drop(s, t->owner);
        break;
    case TIMER_QUARANTINE:
        quarantine_probe(s, t->owner);
        break;
    case TIMER_RESERVE:
        reserve_next(s);
        break;
    case TIMER_SHADOW:
        reservation_overdue(s);
        break;
    case TIMER_URGENT:
        urgent_retry(s);
        break;
    }
}

static void
fire_due(struct sched *s)
{
    struct heap_node *n;

    while ((n = heap_min(&s->timers)) != NULL && n->key <= s->now) {
        heap_pop(&s->timers);
        fire(s, (struct timer *)n);
    }
}

bool
place_pending(const struct sched *s)
{
    return heap_min(&s->ready[LANE_URGENT]) != NULL ||
           heap_min(&s->ready[LANE_NORMAL]) != NULL ||
           !link_empty(&s->dirty_workers) || !link_empty(&s->dirty_teams);
}

void
place_tick(struct sched *s)
{
    uint64_t end = s->stats.decisions + s->config.decisions_per_tick;
    uint64_t end_attempts = s->stats.attempts + s->config.decisions_per_tick;

    if (!s->ticked) {
        s->ticked = true;
        jobs_restored(s);
    }
    fire_due(s);
    shares_refresh(s);
    while (s->stats.decisions < end && s->stats.attempts < end_attempts) {
        struct queue *q;
        wake_next(s);
        if (reservation_complete(s)) {
            reserve_next(s);
            continue;
        }
        q = queue_pick(s);
        if (q == NULL) {
            break;
        }
        decide(s, q);
    }
}
