#include "preempt.h"

enum {
    ACCOUNTS_TRIED_MAX = 4,
    VICTIMS_TRIED_MAX = 8,
    /*
     * Reclaiming examines more leases, because few workers have enough leases
     * of accounts above their share.
     */
    VICTIMS_TRIED_RECLAIM_MAX = 32,
    WORKERS_TRIED_MAX = 8,
};

/*
 * Whether work of the victim account may be stopped for the urgent account: if
 * it uses more than its share, uses a larger part of its share than the
 * urgent account, or is that account itself.
 */
static bool
may_preempt_account(const struct sched *s, const struct account *victim,
                    const struct account *urgent)
{
    double ratio = account_share_ratio(s, victim);

    return victim == urgent || ratio > 1 ||
           ratio > account_share_ratio(s, urgent);
}

/*
 * Whether urgent work may also stop work of accounts below their share. With
 * several tasks on each worker, there is often no worker where stopping only
 * accounts above their share makes enough room. This is allowed only while the
 * urgent work of the account is within its share, so that marking work as
 * urgent does not raise a team's share.
 */
static bool
may_stop_any(const struct sched *s, const struct job *j)
{
    const struct account *a = j->account;
    struct vec before_last = a->urgent_used;

    if (j->class == SCHED_CLASS_GANG) {
        struct vec others = vec_scale(&j->request, j->waiting.count - 1);
        vec_add(&before_last, &others);
    }
    return compute_dominant_share(s, &before_last) * s->active_weight <
           a->weight;
}

bool
preempt_may_use_reserved(const struct sched *s, const struct job *j)
{
    const struct reservation *r = &s->reservation;

    return r->job != NULL && r->charged_to_team.d[DIM_TASKS] == 0 &&
           (r->job == j || !r->job->urgent || !may_stop_any(s, r->job));
}

/*
 * Returns the work lost by stopping l, in seconds of a whole worker: the run
 * time multiplied by the dominant share of the worker that l uses. Services
 * cost more than any other work.
 */
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
    return part * ((double)(s->now - l->began_ns) / NS_PER_S + 1) +
           (l->job->class == SCHED_CLASS_SERVICE ? 1e6 : 0);
}

/* Whether the end of l provides some of the room that is still missing. */
static bool
frees_missing_size(const struct vec *room, const struct vec *request,
                   const struct lease *l)
{
    for (int i = 0; i < DIM_TASKS; i++) {
        if (room->d[i] < request->d[i] && l->size.d[i] > 0) {
            return true;
        }
    }
    return false;
}

static bool
may_stop_lease(const struct sched *s, const struct lease *l,
               const struct job *j, enum preempt_scope scope)
{
    if (!lease_is_preemptible(l)) {
        return false;
    }
    switch (scope) {
    case SCOPE_ABOVE_SHARE:
        return may_preempt_account(s, l->job->account, j->account);
    case SCOPE_ANY:
        return true;
    case SCOPE_RECLAIM:
        return reclaim_may_stop(s, l, j);
    }
    return false;
}

static struct lease *
find_cheapest_victim(struct sched *s, const struct preempt_plan *p,
                     const struct vec *room, const struct job *j)
{
    struct lease *best = NULL;
    double best_cost = 0;

    for (struct link *l = p->worker->leases.next; l != &p->worker->leases;
         l = l->next) {
        struct lease *lease = l->owner;
        bool taken = false;
        double cost;
        if (!frees_missing_size(room, &j->request, lease) ||
            !may_stop_lease(s, lease, j, p->scope)) {
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

/*
 * Plans to stop the cheapest leases of w until a task of j fits there. Returns
 * false if that is not possible.
 */
static bool
plan_on_worker(struct sched *s, struct worker *w, const struct job *j,
               enum preempt_scope scope, struct preempt_plan *p)
{
    struct vec room = worker_available(w);

    p->worker = w;
    p->count = 0;
    p->scope = scope;
    p->cost = 0;
    if (!w->by_fill.in_tree || !vec_covers(&w->by_capacity.vec, &j->request)) {
        return false;
    }
    if (scope == SCOPE_ANY && preempt_may_use_reserved(s, j)) {
        vec_add(&room, &w->reserved);
    }
    while (!vec_covers(&room, &j->request)) {
        struct lease *l = find_cheapest_victim(s, p, &room, j);
        if (l == NULL || p->count == VICTIMS_MAX) {
            return false;
        }
        p->victims[p->count++] = l;
        p->cost += stop_cost(s, l);
        vec_add(&room, &l->size);
    }
    return true;
}

/*
 * Finds the accounts with victims that are furthest above their share, highest
 * first. Returns how many were written to out.
 */
static int
find_candidate_accounts(struct sched *s, const struct job *j,
                        struct account **out)
{
    int count = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        int at = count;
        if (a->victims.count == 0 || !may_preempt_account(s, a, j->account)) {
            continue;
        }
        while (at > 0 && account_share_ratio(s, a) >
                             account_share_ratio(s, out[at - 1])) {
            if (at < ACCOUNTS_TRIED_MAX) {
                out[at] = out[at - 1];
            }
            at--;
        }
        if (at < ACCOUNTS_TRIED_MAX) {
            out[at] = a;
            count += count < ACCOUNTS_TRIED_MAX ? 1 : 0;
        }
    }
    return count;
}

void
preempt_search_account(struct sched *s, const struct account *a,
                       const struct job *j, const struct vec *need,
                       enum preempt_scope scope, int *workers_left,
                       struct preempt_plan *best)
{
    struct fit_node *n = fit_find_next(&a->victims, need, NULL);
    int max_victims =
        scope == SCOPE_RECLAIM ? VICTIMS_TRIED_RECLAIM_MAX : VICTIMS_TRIED_MAX;

    for (int i = 0; n != NULL && *workers_left > 0 && i < max_victims; i++) {
        struct lease *l = n->owner;
        struct preempt_plan p;
        (*workers_left)--;
        if (may_stop_lease(s, l, j, scope) &&
            plan_on_worker(s, l->worker, j, scope, &p) &&
            (best->worker == NULL || p.cost < best->cost)) {
            *best = p;
        }
        n = fit_find_next(&a->victims, need, n);
    }
}

/*
 * Examines the first workers on which a task of j would fit if all preemptible
 * leases ended, and keeps the cheapest plan.
 */
static void
search_workers(struct sched *s, const struct job *j, enum preempt_scope scope,
               struct preempt_plan *best)
{
    struct fit_node *n = fit_find_next(&s->stoppable, &j->request, NULL);

    for (int i = 0; n != NULL && i < WORKERS_TRIED_MAX; i++) {
        struct preempt_plan p;
        if (plan_on_worker(s, n->owner, j, scope, &p) &&
            (best->worker == NULL || p.cost < best->cost)) {
            *best = p;
        }
        n = fit_find_next(&s->stoppable, &j->request, n);
    }
}

bool
preempt_find_plan(struct sched *s, const struct job *j,
                  struct preempt_plan *best)
{
    struct account *accounts[ACCOUNTS_TRIED_MAX];
    struct vec min_size = {{0}};
    int count = find_candidate_accounts(s, j, accounts);
    int workers_left = 2 * ACCOUNTS_TRIED_MAX * VICTIMS_TRIED_MAX;

    best->worker = NULL;
    min_size.d[DIM_ACCELERATORS] = j->request.d[DIM_ACCELERATORS] > 0;
    for (int i = 0; i < count && best->worker == NULL; i++) {
        preempt_search_account(s, accounts[i], j, &j->request,
                               SCOPE_ABOVE_SHARE, &workers_left, best);
        if (best->worker == NULL) {
            preempt_search_account(s, accounts[i], j, &min_size,
                                   SCOPE_ABOVE_SHARE, &workers_left, best);
        }
    }
    if (best->worker == NULL) {
        search_workers(s, j, SCOPE_ABOVE_SHARE, best);
    }
    if (best->worker == NULL && may_stop_any(s, j)) {
        search_workers(s, j, SCOPE_ANY, best);
    }
    return best->worker != NULL;
}
