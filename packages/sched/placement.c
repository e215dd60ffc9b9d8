#include "core.h"

static const int64_t URGENT_RETRY_NS = 200 * NS_PER_MS;

enum placement_result {
    RESULT_PLACED,  /* or a claim was created */
    RESULT_NO_ROOM, /* no worker has room */
    RESULT_LIMITED, /* the team's limit leaves no room */
};

/*
 * Handles a job for which no worker has room. The queue is blocked until
 * capacity is released; a job that no worker could ever hold is parked. A job
 * that only its raised request makes too large is queued again, with a new
 * request.
 */
static void
handle_no_room(struct sched *s, struct queue *q, struct job *j)
{
    if (!fleet_has_fitting_worker(s, &j->request)) {
        if (fleet_has_fitting_worker(s, &j->size)) {
            queue_remove(s, j);
            job_enqueue(s, j);
        }
        else {
            job_park(s, j, SCHED_REASON_NO_WORKER);
        }
        return;
    }
    queue_move(s, q, &q->account->lanes[q->lane].blocked);
    if (q->lane == LANE_URGENT && s->urgent_timer.node.pos == 0) {
        timer_set(s, &s->urgent_timer, s->now + URGENT_RETRY_NS);
    }
}

static void
handle_placed(struct sched *s, struct job *j)
{
    team_release_hold(s, j);
    if (s->reservation.job == j) {
        reservation_release(s);
    }
    if (j->waiting.count == 0) {
        queue_remove(s, j);
    }
}

static bool
try_place_task(struct sched *s, struct job *j)
{
    struct worker *w = policy_pick_worker(s, j);
    struct lease *l;
    bool backfill = false;

    if (w == NULL && urgent_preempt(s, j)) {
        return true;
    }
    if (w == NULL) {
        w = backfill_pick_worker(s, j);
        backfill = w != NULL;
    }
    if (w == NULL) {
        return false;
    }
    l = lease_place(s, j, job_take_task(s, j), w, &j->request);
    l->backfill = backfill;
    s->stats.backfills += backfill ? 1 : 0;
    return true;
}

/*
 * Tries to place the next task of the first job in a queue, or all waiting
 * tasks if that job is a gang.
 */
static enum placement_result
attempt_placement(struct sched *s, struct queue *q)
{
    struct job *j = link_first(&q->jobs);
    struct vec need = job_needed_room(j);

    if (!team_has_room(j->account->team, j, &need)) {
        if (!vec_covers(&j->account->team->limit, &need)) {
            queue_remove(s, j);
            job_enqueue(s, j);
        }
        else {
            team_hold_room(s, j, &need);
            queue_move(s, q, &q->account->lanes[q->lane].limited);
        }
        return RESULT_LIMITED;
    }
    if (j->class == SCHED_CLASS_GANG) {
        return gang_try_place(s, q, j) ? RESULT_PLACED : RESULT_NO_ROOM;
    }
    if (!try_place_task(s, j)) {
        handle_no_room(s, q, j);
        return RESULT_NO_ROOM;
    }
    handle_placed(s, j);
    return RESULT_PLACED;
}

/*
 * Returns the blocked queue whose first job fits in avail, of the account that
 * comes first in the scheduling order; NULL if there is none.
 */
static struct queue *
find_blocked_queue(struct sched *s, const struct vec *avail, int lane)
{
    struct vec need = vec_negate(avail);
    struct queue *best = NULL;
    double best_key = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        const struct lane *l = &a->lanes[lane];
        struct fit_node *n;
        double key;
        if (l->blocked.count == 0 ||
            (best != NULL &&
             account_order_key(s, a, l->blocked_since_ns) >= best_key)) {
            continue;
        }
        n = fit_find_next(&l->blocked, &need, NULL);
        if (n == NULL) {
            continue;
        }
        key = account_order_key(s, a, n->key);
        if (best == NULL || key < best_key) {
            best = n->owner;
            best_key = key;
        }
    }
    return best;
}

static void
wake_queue(struct sched *s, struct queue *q)
{
    queue_move(s, q, &q->account->lanes[q->lane].ready);
    s->woken_queue = q;
}

/*
 * Offers the free capacity of a worker to its claims, then to the reservation,
 * then to the blocked queues. Returns true if a queue was made ready.
 */
static bool
wake_for_worker(struct sched *s, struct worker *w)
{
    struct vec avail;

    claims_place_ready(s, w);
    reservation_take_free_slots(s, w);
    if (!w->by_fill.in_tree) {
        return false;
    }
    avail = worker_available(w);
    for (int lane = 0; lane < LANES; lane++) {
        struct queue *q = find_blocked_queue(s, &avail, lane);
        if (q != NULL) {
            wake_queue(s, q);
            s->woken_by_worker = w;
            return true;
        }
    }
    return false;
}

/*
 * Makes one queue ready that the team's limit held back and that now fits
 * under it: that of the job for which room is held, otherwise the oldest one,
 * urgent lane first. Returns false if there is none.
 */
static bool
wake_for_team(struct sched *s, struct team *t)
{
    struct vec need = t->used;
    struct queue *best = NULL;

    vec_sub(&need, &t->limit);
    if (t->hold_job != NULL && t->hold_job->queue != NULL) {
        struct vec total = t->used;
        vec_add(&total, &t->hold_request);
        if (vec_covers(&t->limit, &total)) {
            best = t->hold_job->queue;
        }
    }
    for (int i = 0; best == NULL && i < 2 * LANES; i++) {
        struct lane *l = &t->accounts[i % 2].lanes[i / 2];
        struct fit_node *n = fit_find_next(&l->limited, &need, NULL);
        best = n == NULL ? NULL : n->owner;
    }
    if (best == NULL ||
        best->tree != &best->account->lanes[best->lane].limited) {
        return false;
    }
    wake_queue(s, best);
    s->woken_by_team = t;
    return true;
}

/*
 * Makes one queue ready for which capacity or room under a limit was released.
 */
static void
wake_next_queue(struct sched *s)
{
    struct worker *w;
    struct team *t;

    while (s->woken_queue == NULL &&
           (w = link_first(&s->dirty_workers)) != NULL) {
        if (!wake_for_worker(s, w)) {
            link_remove(&w->dirty);
        }
    }
    while (s->woken_queue == NULL &&
           (t = link_first(&s->dirty_teams)) != NULL) {
        if (!wake_for_team(s, t)) {
            link_remove(&t->dirty);
        }
    }
}

/*
 * Called after an attempt to place a job from the woken queue. If the attempt
 * failed although the job fits in the released room, the worker or team is no
 * longer dirty; otherwise the same queue would be woken again without end.
 */
static void
update_wake_source(struct sched *s, enum placement_result result,
                   const struct vec *need)
{
    struct vec avail;

    if (s->woken_by_team != NULL && result == RESULT_LIMITED) {
        link_remove(&s->woken_by_team->dirty);
    }
    if (s->woken_by_worker != NULL && result == RESULT_NO_ROOM) {
        avail = worker_available(s->woken_by_worker);
        if (vec_covers(&avail, need)) {
            link_remove(&s->woken_by_worker->dirty);
        }
    }
    s->woken_by_worker = NULL;
    s->woken_by_team = NULL;
}

static void
try_queue(struct sched *s, struct queue *q)
{
    struct vec need = ((struct job *)link_first(&q->jobs))->request;
    bool woken = s->woken_queue == q;
    enum placement_result result;

    if (woken) {
        s->woken_queue = NULL;
    }
    result = attempt_placement(s, q);
    if (woken) {
        update_wake_source(s, result, &need);
    }
}

static void
retry_urgent_queues(struct sched *s)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        queues_make_ready(s, a, &a->lanes[LANE_URGENT].blocked);
    }
}

static void
run_timer(struct sched *s, struct timer *t)
{
    switch (t->kind) {
    case TIMER_BACKOFF:
        job_end_backoff(s, t->owner);
        break;
    case TIMER_PARKED:
        job_report_unschedulable(s, t->owner);
        break;
    case TIMER_STOP:
        lease_force_stop(s, t->owner);
        break;
    case TIMER_CLAIM:
        claim_cancel(s, t->owner);
        break;
    case TIMER_QUARANTINE:
        quarantine_begin_probation(s, t->owner);
        break;
    case TIMER_RESERVE:
        reservation_choose_next(s);
        break;
    case TIMER_SHADOW:
        reservation_handle_shadow_time(s);
        break;
    case TIMER_URGENT:
        retry_urgent_queues(s);
        break;
    }
}

static void
run_due_timers(struct sched *s)
{
    struct heap_node *n;

    while ((n = heap_min(&s->timers)) != NULL && n->key <= s->now) {
        heap_pop(&s->timers);
        run_timer(s, (struct timer *)n);
    }
}

bool
placement_is_pending(const struct sched *s)
{
    return heap_min(&s->ready_lanes[LANE_URGENT]) != NULL ||
           heap_min(&s->ready_lanes[LANE_NORMAL]) != NULL ||
           !link_empty(&s->dirty_workers) || !link_empty(&s->dirty_teams);
}

void
placement_run_tick(struct sched *s)
{
    uint64_t max_decisions = s->stats.decisions + s->config.decisions_per_tick;
    uint64_t max_attempts = s->stats.attempts + s->config.decisions_per_tick;

    if (!s->ticked) {
        s->ticked = true;
        jobs_finish_restore(s);
    }
    run_due_timers(s);
    accounts_refresh_shares(s);
    while (s->stats.decisions < max_decisions &&
           s->stats.attempts < max_attempts) {
        struct queue *q;
        wake_next_queue(s);
        if (reservation_try_complete(s)) {
            reservation_choose_next(s);
            continue;
        }
        q = queue_pick_next(s);
        if (q == NULL) {
            break;
        }
        try_queue(s, q);
    }
}
