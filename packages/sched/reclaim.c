#include "preempt.h"

/*
 * Reclaims shares from accounts that use more than their entitlement. If a
 * task of an account below its share has waited for reserve_after_ns and fits
 * nowhere, batch work of the accounts furthest above their share is stopped
 * for it.
 *
 * Shares are relative to the capacity in use, because a full fleet is never
 * packed to the last core.
 *
 * Three rules keep work from being stopped back and forth: work is taken from
 * an account only if its use relative to its weight is still at least that of
 * the other account after the size of the waiting task has moved from one to
 * the other; a task is reclaimed at most once; and the run time lost is at
 * most a configured fraction of all run time.
 */

/* Larger than any size. Every node covers a vector of the negated value. */
#define ABOVE_ANY_SIZE (INT64_C(1) << 60)

enum {
    ACCOUNTS_ABOVE_MAX = 4,
    QUEUES_TRIED_MAX = 4,
    WORKERS_TRIED_MAX = 256, /* examined per call */
};

/* The accounts furthest above their share, highest first. */
struct accounts_above {
    struct account *accounts[ACCOUNTS_ABOVE_MAX];
    size_t count;
};

static const int64_t RECLAIM_INTERVAL_NS = NS_PER_S;
/*
 * Work is reclaimed only if at least this fraction of the fleet is in use;
 * otherwise the fleet is not full and shares do not matter.
 */
static const double FULL_FLEET_SHARE = 0.85;
/* Unused budget accumulates over at most this time. */
static const double BUDGET_SPAN_S = 600;
/* Time allowed after the checkpoint for the stop and its report. */
static const int64_t CLAIM_MARGIN_NS = 5 * NS_PER_S;

/*
 * Returns the part of the fleet that is in use, as the sum of the accounts'
 * dominant shares.
 */
static double
compute_share_in_use(const struct sched *s)
{
    double sum = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        sum += s->accounts[i]->dominant_share;
    }
    return sum;
}

/*
 * Returns the account's use relative to its share of the capacity in use: 1 if
 * it uses exactly its share.
 */
static double
share_level(const struct sched *s, const struct account *a)
{
    return a->dominant_share * s->active_weight /
           (a->weight * s->share_in_use);
}

bool
reclaim_may_stop(const struct sched *s, const struct lease *l,
                 const struct job *j)
{
    const struct account *from = l->job->account;
    double moved = compute_dominant_share(s, &j->request);

    return lease_is_preemptible(l) && l->state == LEASE_RUNNING &&
           l->job->class == SCHED_CLASS_BATCH &&
           !l->job->tasks[l->task].reclaimed &&
           share_level(s, from) > 1 + s->config.reclaim_min_excess &&
           (from->dominant_share - moved) / from->weight >=
               (j->account->dominant_share + moved) / j->account->weight;
}

static void
find_accounts_above(struct sched *s, struct accounts_above *above_share)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        double above = share_level(s, a);
        size_t at = above_share->count;
        if (above <= 1 + s->config.reclaim_min_excess) {
            continue;
        }
        while (at > 0 &&
               above > share_level(s, above_share->accounts[at - 1])) {
            if (at < ACCOUNTS_ABOVE_MAX) {
                above_share->accounts[at] = above_share->accounts[at - 1];
            }
            at--;
        }
        if (at < ACCOUNTS_ABOVE_MAX) {
            above_share->accounts[at] = a;
            above_share->count +=
                above_share->count < ACCOUNTS_ABOVE_MAX ? 1 : 0;
        }
    }
}

static bool
execute_plan(struct sched *s, struct job *j, const struct preempt_plan *p)
{
    if (p->cost > s->reclaim_budget_s) {
        return false;
    }
    s->reclaim_budget_s -= p->cost;
    s->stats.reclaimed_s += p->cost;
    for (size_t i = 0; i < p->count; i++) {
        struct lease *l = p->victims[i];
        l->job->tasks[l->task].reclaimed = true;
        s->stats.preemptions++;
        s->stats.reclaims++;
        lease_stop(s, l, s->config.checkpoint_grace_ns);
    }
    claim_create(s, j, p->worker,
                 s->config.checkpoint_grace_ns + CLAIM_MARGIN_NS);
    if (p->count == 0) {
        worker_mark_dirty(s, p->worker);
    }
    if (j->waiting.count == 0) {
        queue_remove(s, j);
    }
    return true;
}

/*
 * Finds work to stop for the next task of j and stops it if the budget covers
 * the lost run time. Returns whether a claim was created.
 */
static bool
reclaim_for_job(struct sched *s, struct job *j,
                const struct accounts_above *above_share, int *workers_left)
{
    struct vec min_size = {{0}};
    struct preempt_plan best = {.worker = NULL};

    if (s->reservation.job == j ||
        !team_has_room(j->account->team, j, &j->request)) {
        return false;
    }
    for (size_t i = 0; i < above_share->count && best.worker == NULL; i++) {
        preempt_search_account(s, above_share->accounts[i], j, &j->request,
                               SCOPE_RECLAIM, workers_left, &best);
        preempt_search_account(s, above_share->accounts[i], j, &min_size,
                               SCOPE_RECLAIM, workers_left, &best);
    }
    return best.worker != NULL && execute_plan(s, j, &best);
}

/*
 * Tries the oldest blocked queues of an account until room is made for one of
 * them or one has not waited long enough.
 */
static void
reclaim_for_account(struct sched *s, struct account *a,
                    const struct accounts_above *above_share,
                    int *workers_left)
{
    static const struct vec any = {
        {-ABOVE_ANY_SIZE, -ABOVE_ANY_SIZE, -ABOVE_ANY_SIZE, -ABOVE_ANY_SIZE}};
    const struct fit_tree *blocked = &a->lanes[LANE_NORMAL].blocked;
    struct fit_node *n = fit_first(blocked);

    for (int i = 0; n != NULL && i < QUEUES_TRIED_MAX; i++) {
        struct queue *q = n->owner;
        if (s->now - n->key < s->config.reserve_after_ns ||
            reclaim_for_job(s, link_first(&q->jobs), above_share,
                            workers_left)) {
            return;
        }
        n = fit_find_next(blocked, &any, n);
    }
}

static void
accrue_budget(struct sched *s)
{
    double rate = s->config.reclaim_max_fraction * s->share_in_use *
                  (double)s->up_workers.count;
    int64_t passed_ns = s->now - s->last_reclaim_ns;

    s->reclaim_budget_s += rate * (double)passed_ns / NS_PER_S;
    if (s->reclaim_budget_s > rate * BUDGET_SPAN_S) {
        s->reclaim_budget_s = rate * BUDGET_SPAN_S;
    }
    s->last_reclaim_ns = s->now;
}

/*
 * Called about once a second while work is blocked. Starts with another
 * account on each call, because one call examines only a bounded number of
 * workers.
 */
void
reclaim_shares(struct sched *s)
{
    struct accounts_above above_share = {.count = 0};
    int workers_left = WORKERS_TRIED_MAX;

    if (s->config.reclaim_max_fraction <= 0 ||
        s->now - s->last_reclaim_ns < RECLAIM_INTERVAL_NS) {
        return;
    }
    s->share_in_use = compute_share_in_use(s);
    accrue_budget(s);
    if (s->share_in_use < FULL_FLEET_SHARE) {
        return;
    }
    find_accounts_above(s, &above_share);
    for (size_t i = 0;
         i < s->account_count && above_share.count > 0 && workers_left > 0;
         i++) {
        struct account *a;
        s->reclaim_cursor = (s->reclaim_cursor + 1) % s->account_count;
        a = s->accounts[s->reclaim_cursor];
        if (share_level(s, a) < 1 && link_empty(&a->team->claims)) {
            reclaim_for_account(s, a, &above_share, &workers_left);
        }
    }
}
