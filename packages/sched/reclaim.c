#include "preempt.h"

/*
 * Reclaims lent shares: batch work of the accounts furthest above their share
 * is stopped when big or old work of an account below its share fits nowhere.
 * A share is taken of what is in use, because a full fleet is never packed to
 * the last core. What keeps work from being stopped back and forth: an account
 * yields only what leaves it above the other one, by the size of the waiting
 * task, a task is reclaimed once, and the run time lost is at most a set part
 * of all run time.
 */

/* Above any size. */
#define ANY_SIZE (INT64_C(1) << 60)

enum {
    YIELDING_MAX = 4,
    QUEUES_TRIED = 4,
    TRIES = 256, /* workers looked at in one pass */
};

/* The accounts furthest above their share, at most a few. */
struct yielding {
    struct account *accounts[YIELDING_MAX];
    size_t count;
};

static const int64_t INTERVAL_NS = NS_PER_S;
/* Shares apply when the fleet is full: at least this much is in use. */
static const double FULL_PART = 0.85;
/* Unused budget is kept for this long. */
static const double BUDGET_SPAN_S = 600;
/* Beyond the time of a checkpoint, for the stop and its report. */
static const int64_t CLAIM_MARGIN_NS = 5 * NS_PER_S;

/* What is in use of the fleet, as the accounts' dominant shares. */
static double
used_part(const struct sched *s)
{
    double sum = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        sum += s->accounts[i]->dominant;
    }
    return sum;
}

/* Use relative to the account's share of what is in use, 1 at its share. */
static double
level(const struct sched *s, const struct account *a)
{
    return a->dominant * s->active_weight / (a->weight * s->in_use);
}

bool
reclaim_yields(const struct sched *s, const struct lease *l,
               const struct job *j)
{
    const struct account *from = l->job->account;
    double moved = dominant_share(s, &j->ask);

    return lease_preemptible(l) && l->state == LEASE_RUNNING &&
           l->job->class == SCHED_CLASS_BATCH &&
           !l->job->tasks[l->task].reclaimed &&
           level(s, from) > 1 + s->config.reclaim_above &&
           (from->dominant - moved) / from->weight >=
               (j->account->dominant + moved) / j->account->weight;
}

/* Finds the accounts furthest above their share. */
static void
find_yielding(struct sched *s, struct yielding *y)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        double above = level(s, a);
        size_t at = y->count;
        if (above <= 1 + s->config.reclaim_above) {
            continue;
        }
        while (at > 0 && above > level(s, y->accounts[at - 1])) {
            if (at < YIELDING_MAX) {
                y->accounts[at] = y->accounts[at - 1];
            }
            at--;
        }
        if (at < YIELDING_MAX) {
            y->accounts[at] = a;
            y->count += y->count < YIELDING_MAX ? 1 : 0;
        }
    }
}

static bool
carry_out(struct sched *s, struct job *j, const struct plan *p)
{
    if (p->cost > s->reclaim_budget) {
        return false;
    }
    s->reclaim_budget -= p->cost;
    s->stats.reclaimed_s += p->cost;
    for (size_t i = 0; i < p->count; i++) {
        struct lease *l = p->victims[i];
        l->job->tasks[l->task].reclaimed = true;
        s->stats.preemptions++;
        s->stats.reclaims++;
        lease_stop(s, l, s->config.checkpoint_ns);
    }
    claim_room(s, j, p->worker, s->config.checkpoint_ns + CLAIM_MARGIN_NS);
    if (p->count == 0) {
        worker_mark_dirty(s, p->worker);
    }
    if (j->waiting.count == 0) {
        queue_remove(s, j);
    }
    return true;
}

/* Makes room for the next task of j, if that costs little enough. */
static bool
reclaim_for(struct sched *s, struct job *j, const struct yielding *y,
            int *tries)
{
    struct vec one = {{0}};
    struct plan best = {.worker = NULL};

    if (s->reservation.job == j ||
        !team_allows(j->account->team, j, &j->ask)) {
        return false;
    }
    for (size_t i = 0; i < y->count && best.worker == NULL; i++) {
        preempt_search(s, y->accounts[i], j, &j->ask, REACH_RECLAIM, tries,
                       &best);
        preempt_search(s, y->accounts[i], j, &one, REACH_RECLAIM, tries,
                       &best);
    }
    return best.worker != NULL && carry_out(s, j, &best);
}

/* Tries the oldest blocked queues of an account until one gets room. */
static void
reclaim_share(struct sched *s, struct account *a, const struct yielding *y,
              int *tries)
{
    static const struct vec any = {
        {-ANY_SIZE, -ANY_SIZE, -ANY_SIZE, -ANY_SIZE}};
    const struct fit_tree *blocked = &a->lanes[LANE_NORMAL].blocked;
    struct fit_node *n = fit_min(blocked);

    for (int i = 0; n != NULL && i < QUEUES_TRIED; i++) {
        struct queue *q = n->owner;
        if (s->now - n->key < s->config.reserve_after_ns ||
            reclaim_for(s, link_first(&q->jobs), y, tries)) {
            return;
        }
        n = fit_next(blocked, &any, n);
    }
}

static void
earn_budget(struct sched *s)
{
    double rate =
        s->config.reclaim_part * s->in_use * (double)s->capacity.count;
    int64_t passed = s->now - s->reclaim_at;

    s->reclaim_budget += rate * (double)passed / NS_PER_S;
    if (s->reclaim_budget > rate * BUDGET_SPAN_S) {
        s->reclaim_budget = rate * BUDGET_SPAN_S;
    }
    s->reclaim_at = s->now;
}

/*
 * Called about once a second while work is blocked. The accounts take turns,
 * as one pass looks at a bounded number of workers.
 */
void
reclaim_shares(struct sched *s)
{
    struct yielding y = {.count = 0};
    int tries = TRIES;

    if (s->config.reclaim_part <= 0 || s->now - s->reclaim_at < INTERVAL_NS) {
        return;
    }
    s->in_use = used_part(s);
    earn_budget(s);
    if (s->in_use < FULL_PART) {
        return;
    }
    find_yielding(s, &y);
    for (size_t i = 0; i < s->account_count && y.count > 0 && tries > 0; i++) {
        struct account *a;
        s->reclaim_cursor = (s->reclaim_cursor + 1) % s->account_count;
        a = s->accounts[s->reclaim_cursor];
        if (level(s, a) < 1 && link_empty(&a->team->claims)) {
            reclaim_share(s, a, &y, &tries);
        }
    }
}
