#include "preempt.h"

enum {
    ACCOUNTS_TRIED = 4,
    VICTIMS_TRIED = 8,
    /* Accounts above their share have few workers where enough is theirs. */
    VICTIMS_TRIED_RECLAIM = 32,
    WORKERS_TRIED = 8,
};

/* Work of a team over its share yields; so does any non-urgent work of an
 * account that is further above its share than the urgent one. */
static bool
yields(const struct sched *s, const struct account *victim,
       const struct account *urgent)
{
    double ratio = account_ratio(s, victim);

    return victim == urgent || ratio > 1 || ratio > account_ratio(s, urgent);
}

/*
 * Urgent work within its account's share may also stop work of accounts below
 * theirs: with several tasks to a worker, there is often no worker that those
 * above their share could free. Urgent work beyond that share may not, so
 * that calling work urgent does not raise a team's share.
 */
static bool
may_stop_any(const struct sched *s, const struct job *j)
{
    const struct account *a = j->account;
    struct vec before_last = a->urgent;

    if (j->class == SCHED_CLASS_GANG) {
        struct vec others = vec_scale(&j->ask, j->waiting.count - 1);
        vec_add(&before_last, &others);
    }
    return dominant_share(s, &before_last) * s->active_weight < a->weight;
}

bool
preempt_takes_held(const struct sched *s, const struct job *j)
{
    const struct reservation *r = &s->reservation;

    return r->job != NULL && r->charged.d[DIM_TASKS] == 0 &&
           (r->job == j || !r->job->urgent || !may_stop_any(s, r->job));
}

/* Lost work: run time times the share of the worker that was used. */
static double
stop_cost(const struct sched *s, const struct lease *l)
{
    double part = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        if (l->worker->capacity.d[i] > 0) {
            double d = (double)l->size.d[i] / (double)l->worker->capacity.d[i];
            part = d > part ? d : part;
        }
    }
    return part * ((double)(s->now - l->began) / NS_PER_S + 1) +
           (l->job->class == SCHED_CLASS_SERVICE ? 1e6 : 0);
}

/* Whether the end of l gives some of what is still missing. */
static bool
helps(const struct vec *room, const struct vec *ask, const struct lease *l)
{
    for (int i = 0; i < DIM_TASKS; i++) {
        if (room->d[i] < ask->d[i] && l->size.d[i] > 0) {
            return true;
        }
    }
    return false;
}

static bool
may_stop(const struct sched *s, const struct lease *l, const struct job *j,
         enum reach reach)
{
    if (!lease_preemptible(l)) {
        return false;
    }
    switch (reach) {
    case REACH_ABOVE:
        return yields(s, l->job->account, j->account);
    case REACH_ANY:
        return true;
    case REACH_RECLAIM:
        return reclaim_yields(s, l, j);
    }
    return false;
}

static struct lease *
cheapest(struct sched *s, const struct plan *p, const struct vec *room,
         const struct job *j)
{
    struct lease *best = NULL;
    double best_cost = 0;

    for (struct link *l = p->worker->leases.next; l != &p->worker->leases;
         l = l->next) {
        struct lease *lease = l->owner;
        bool taken = false;
        double cost;
        if (!helps(room, &j->ask, lease) || !may_stop(s, lease, j, p->reach)) {
            continue;
        }
        for (size_t i = 0; i < p->count; i++) {
            taken = taken || p->victims[i] == lease;
        }
        cost = stop_cost(s, lease);
        if (!taken && (best == NULL || cost < best_cost)) {
            best = lease;
            best_cost = cost;
        }
    }
    return best;
}

/* Whether ending cheap leases of w makes room for a task of j. */
static bool
make_plan(struct sched *s, struct worker *w, const struct job *j,
          enum reach reach, struct plan *p)
{
    struct vec room = worker_avail(w);

    p->worker = w;
    p->count = 0;
    p->reach = reach;
    p->cost = 0;
    if (!w->by_fill.in_tree || !vec_covers(&w->by_capacity.own, &j->ask)) {
        return false;
    }
    if (reach == REACH_ANY && preempt_takes_held(s, j)) {
        vec_add(&room, &w->reserved);
    }
    while (!vec_covers(&room, &j->ask)) {
        struct lease *l = cheapest(s, p, &room, j);
        if (l == NULL || p->count == VICTIMS_MAX) {
            return false;
        }
        p->victims[p->count++] = l;
        p->cost += stop_cost(s, l);
        vec_add(&room, &l->size);
    }
    return true;
}

/* The accounts that use most above their share, at most a few. */
static int
tried_accounts(struct sched *s, const struct job *j, struct account **out)
{
    int count = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        int at = count;
        if (a->victims.count == 0 || !yields(s, a, j->account)) {
            continue;
        }
        while (at > 0 && account_ratio(s, a) > account_ratio(s, out[at - 1])) {
            if (at < ACCOUNTS_TRIED) {
                out[at] = out[at - 1];
            }
            at--;
        }
        if (at < ACCOUNTS_TRIED) {
            out[at] = a;
            count += count < ACCOUNTS_TRIED ? 1 : 0;
        }
    }
    return count;
}

void
preempt_search(struct sched *s, const struct account *a, const struct job *j,
               const struct vec *need, enum reach reach, int *left,
               struct plan *best)
{
    struct fit_node *n = fit_next(&a->victims, need, NULL);
    int most = reach == REACH_RECLAIM ? VICTIMS_TRIED_RECLAIM : VICTIMS_TRIED;

    for (int i = 0; n != NULL && *left > 0 && i < most; i++) {
        struct lease *l = n->owner;
        struct plan p;
        (*left)--;
        if (may_stop(s, l, j, reach) &&
            make_plan(s, l->worker, j, reach, &p) &&
            (best->worker == NULL || p.cost < best->cost)) {
            *best = p;
        }
        n = fit_next(&a->victims, need, n);
    }
}

/* Tries the first workers that ending all preemptible work would make fit. */
static void
search_workers(struct sched *s, const struct job *j, enum reach reach,
               struct plan *best)
{
    struct fit_node *n = fit_next(&s->stoppable, &j->ask, NULL);

    for (int i = 0; n != NULL && i < WORKERS_TRIED; i++) {
        struct plan p;
        if (make_plan(s, n->owner, j, reach, &p) &&
            (best->worker == NULL || p.cost < best->cost)) {
            *best = p;
        }
        n = fit_next(&s->stoppable, &j->ask, n);
    }
}

bool
preempt_plan(struct sched *s, const struct job *j, struct plan *best)
{
    struct account *accounts[ACCOUNTS_TRIED];
    struct vec one = {{0}};
    int count = tried_accounts(s, j, accounts);
    int left = 2 * ACCOUNTS_TRIED * VICTIMS_TRIED;

    best->worker = NULL;
    one.d[DIM_ACCELERATORS] = j->ask.d[DIM_ACCELERATORS] > 0;
    for (int i = 0; i < count && best->worker == NULL; i++) {
        preempt_search(s, accounts[i], j, &j->ask, REACH_ABOVE, &left, best);
        if (best->worker == NULL) {
            preempt_search(s, accounts[i], j, &one, REACH_ABOVE, &left, best);
        }
    }
    if (best->worker == NULL) {
        search_workers(s, j, REACH_ABOVE, best);
    }
    if (best->worker == NULL && may_stop_any(s, j)) {
        search_workers(s, j, REACH_ANY, best);
    }
    return best->worker != NULL;
}
