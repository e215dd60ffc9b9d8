#include "core.h"

#include "mem.h"

enum {
    ACCOUNTS_TRIED = 4,
    VICTIMS_TRIED = 8,
    VICTIMS_MAX = 64,
};

/* Leases of one worker whose end makes room, and what their end costs. */
struct plan {
    struct worker *worker;
    struct lease *victims[VICTIMS_MAX];
    size_t count;
    double cost;
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
        if (!lease_preemptible(lease) || !helps(room, &j->ask, lease) ||
            !yields(s, lease->job->account, j->account)) {
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
          struct plan *p)
{
    struct vec room = worker_avail(w);

    p->worker = w;
    p->count = 0;
    p->cost = 0;
    if (!w->by_fill.in_tree || !vec_covers(&w->by_capacity.own, &j->ask)) {
        return false;
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

/* Tries the workers of the account's cheapest leases that cover need. */
static void
search_account(struct sched *s, const struct account *a, const struct job *j,
               const struct vec *need, struct plan *best)
{
    struct fit_node *n = fit_next(&a->victims, need, NULL);

    for (int i = 0; n != NULL && i < VICTIMS_TRIED; i++) {
        struct lease *l = n->owner;
        struct plan p;
        if (lease_preemptible(l) && make_plan(s, l->worker, j, &p) &&
            (best->worker == NULL || p.cost < best->cost)) {
            *best = p;
        }
        n = fit_next(&a->victims, need, n);
    }
}

static void
claim(struct sched *s, struct job *j, struct worker *w)
{
    struct claim *c = mem_zalloc(1, sizeof(*c));
    struct team *t = j->account->team;

    c->job = j;
    c->task = job_take(s, j);
    c->worker = w;
    c->size = j->ask;
    link_init(&c->on_worker, c);
    link_init(&c->of_job, c);
    link_init(&c->of_team, c);
    link_insert_before(&w->claims, &c->on_worker);
    link_insert_before(&j->claims, &c->of_job);
    link_insert_before(&t->claims, &c->of_team);
    timer_init(&c->timer, TIMER_CLAIM, c);
    timer_set(s, &c->timer, s->now + s->config.claim_ns);
    j->live++;
    vec_add(&t->used, &c->size);
    vec_add(&w->claimed, &c->size);
    worker_update(s, w);
}

/*
 * Makes room for the next task of an urgent job by ending what is over its
 * share and cheapest to stop. Returns whether a claim waits for that room.
 */
bool
urgent_preempt(struct sched *s, struct job *j)
{
    struct account *accounts[ACCOUNTS_TRIED];
    struct plan best = {NULL};
    struct vec one = {{0}};
    int count;

    if (!j->urgent || j->class == SCHED_CLASS_GANG) {
        return false;
    }
    count = tried_accounts(s, j, accounts);
    for (int i = 0; i < count && best.worker == NULL; i++) {
        search_account(s, accounts[i], j, &j->ask, &best);
        if (best.worker == NULL) {
            one.d[DIM_ACCELERATORS] = j->ask.d[DIM_ACCELERATORS] > 0;
            search_account(s, accounts[i], j, &one, &best);
        }
    }
    if (best.worker == NULL) {
        return false;
    }
    for (size_t i = 0; i < best.count; i++) {
        s->stats.preemptions++;
        lease_stop(s, best.victims[i], s->config.preempt_ns);
    }
    claim(s, j, best.worker);
    return true;
}

/* Unlinks a claim; the task is then neither waiting nor placed. */
static void
release(struct sched *s, struct claim *c)
{
    vec_sub(&c->job->account->team->used, &c->size);
    team_mark_dirty(s, c->job->account->team);
    vec_sub(&c->worker->claimed, &c->size);
    c->job->live--;
    link_remove(&c->on_worker);
    link_remove(&c->of_job);
    link_remove(&c->of_team);
    timer_clear(s, &c->timer);
    mem_free(c);
}

void
claim_drop(struct sched *s, struct claim *c)
{
    struct worker *w = c->worker;
    struct job *j = c->job;
    uint32_t task = c->task;

    release(s, c);
    worker_update(s, w);
    worker_mark_dirty(s, w);
    job_put_back(s, j, task);
    job_queue(s, j);
}

void
claims_drop_worker(struct sched *s, struct worker *w)
{
    struct claim *c;

    while ((c = link_first(&w->claims)) != NULL) {
        claim_drop(s, c);
    }
}

/* The job is ending and marked so. */
void
claims_drop_job(struct sched *s, struct job *j)
{
    struct claim *c;

    while ((c = link_first(&j->claims)) != NULL) {
        claim_drop(s, c);
    }
}

/* Places urgent tasks whose room has become free, in order of claim. */
void
claims_serve(struct sched *s, struct worker *w)
{
    struct claim *c;

    while ((c = link_first(&w->claims)) != NULL) {
        struct job *j = c->job;
        uint32_t task = c->task;
        struct vec size = c->size;
        struct vec room = worker_avail(w);
        vec_add(&room, &w->claimed);
        if (!w->by_fill.in_tree || !vec_covers(&room, &size)) {
            return;
        }
        if (!vec_covers(&j->account->team->limit, &j->account->team->used)) {
            claim_drop(s, c); /* the limit was lowered meanwhile */
            continue;
        }
        release(s, c);
        lease_place(s, j, task, w, &size);
    }
}
