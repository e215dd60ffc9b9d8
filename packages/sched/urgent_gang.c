#include "preempt.h"

#include "mem.h"

/* Workers for tasks of a gang, and the leases that must end for them. */
struct gang_plan {
    struct worker **workers;
    size_t found;
    struct lease **victims;
    size_t victim_count;
};

/* Counts a lease as if it had ended, or as running again. */
static void
count_victim(struct sched *s, struct lease *l, bool ended)
{
    int sign = ended ? -1 : 1;
    struct vec change = vec_scale(&l->size, sign);
    struct account *a = l->job->account;

    l->planned = ended;
    worker_count_stoppable(l->worker, &l->size, sign);
    gang_occupy(s, l->worker, &l->size, sign);
    vec_add(&a->used, &change);
    account_update(s, a);
}

static void
add_victims(struct sched *s, struct gang_plan *g, const struct plan *p)
{
    g->victims = mem_realloc(g->victims, g->victim_count + p->count + 1,
                             sizeof(struct lease *));
    for (size_t i = 0; i < p->count; i++) {
        g->victims[g->victim_count++] = p->victims[i];
        count_victim(s, p->victims[i], true);
    }
}

/* Plans one more task, on free room if there is some. */
static bool
plan_task(struct sched *s, struct job *j, struct gang_plan *g)
{
    struct worker *w = policy_pick(s, j);
    struct plan p;

    if (w == NULL) {
        if (!preempt_plan(s, j, &p)) {
            return false;
        }
        w = p.worker;
        add_victims(s, g, &p);
    }
    gang_occupy(s, w, &j->ask, 1);
    g->workers[g->found++] = w;
    return true;
}

/* Finds room for count tasks, counting what it takes only meanwhile. */
static bool
plan_tasks(struct sched *s, struct job *j, size_t count, struct gang_plan *g)
{
    *g = (struct gang_plan){NULL};
    g->workers = mem_alloc(count * sizeof(struct worker *));
    while (g->found < count && plan_task(s, j, g)) {
    }
    for (size_t i = 0; i < g->found; i++) {
        gang_occupy(s, g->workers[i], &j->ask, -1);
    }
    for (size_t i = 0; i < g->victim_count; i++) {
        count_victim(s, g->victims[i], false);
    }
    return g->found == count;
}

static void
carry_out(struct sched *s, const struct gang_plan *g)
{
    for (size_t i = 0; i < g->found; i++) {
        reservation_hold(s, g->workers[i], 1);
    }
    for (size_t i = 0; i < g->victim_count; i++) {
        s->stats.preemptions++;
        lease_stop(s, g->victims[i], s->config.preempt_ns);
    }
}

static void
plan_free(struct gang_plan *g)
{
    mem_free(g->workers);
    mem_free(g->victims);
}

bool
urgent_gang_preempt(struct sched *s, struct job *j)
{
    struct gang_plan g;
    bool all;

    if (s->reservation.job != NULL && !preempt_takes_held(s, j)) {
        return false;
    }
    all = plan_tasks(s, j, j->waiting.count, &g);
    if (all) {
        reservation_drop(s);
        (void)reservation_start(s, j);
        reservation_charge(s);
        s->reservation.shadow = s->now;
        carry_out(s, &g);
    }
    plan_free(&g);
    return all;
}

void
urgent_gang_refill(struct sched *s)
{
    const struct reservation *r = &s->reservation;
    struct gang_plan g;

    if (r->job == NULL || r->charged.d[DIM_TASKS] == 0 || r->held >= r->need) {
        return;
    }
    if (plan_tasks(s, r->job, (size_t)(r->need - r->held), &g)) {
        carry_out(s, &g);
    }
    plan_free(&g);
}
