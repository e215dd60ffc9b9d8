#include "preempt.h"

#include "mem.h"

/* Workers for the tasks of a gang, and the leases to stop for them. */
struct gang_plan {
    struct worker **workers;
    size_t found;
    struct lease **victims;
    size_t victim_count;
};

/*
 * Updates capacity and shares as if a victim had ended, or undoes that if
 * ended is false.
 */
static void
count_planned_victim(struct sched *s, struct lease *l, bool ended)
{
    int sign = ended ? -1 : 1;
    struct vec change = vec_scale(&l->size, sign);
    struct account *a = l->job->account;

    l->planned_victim = ended;
    worker_add_stoppable(l->worker, &l->size, sign);
    gang_add_planned_use(s, l->worker, &l->size, sign);
    vec_add(&a->used, &change);
    account_update(s, a);
}

static void
add_victims(struct sched *s, struct gang_plan *g, const struct preempt_plan *p)
{
    g->victims = mem_realloc(g->victims, g->victim_count + p->count + 1,
                             sizeof(struct lease *));
    for (size_t i = 0; i < p->count; i++) {
        g->victims[g->victim_count++] = p->victims[i];
        count_planned_victim(s, p->victims[i], true);
    }
}

/*
 * Plans one more task, in free capacity if possible. Returns false if no
 * worker can take it.
 */
static bool
plan_task(struct sched *s, struct job *j, struct gang_plan *g)
{
    struct worker *w = policy_pick_worker(s, j);
    struct preempt_plan p;

    if (w == NULL) {
        if (!preempt_find_plan(s, j, &p)) {
            return false;
        }
        w = p.worker;
        add_victims(s, g, &p);
    }
    gang_add_planned_use(s, w, &j->request, 1);
    g->workers[g->found++] = w;
    return true;
}

/*
 * Plans count tasks. The capacity that the plan takes is counted as used only
 * during planning. Returns whether all tasks were planned.
 */
static bool
plan_tasks(struct sched *s, struct job *j, size_t count, struct gang_plan *g)
{
    *g = (struct gang_plan){NULL};
    g->workers = mem_alloc(count * sizeof(struct worker *));
    while (g->found < count && plan_task(s, j, g)) {
    }
    for (size_t i = 0; i < g->found; i++) {
        gang_add_planned_use(s, g->workers[i], &j->request, -1);
    }
    for (size_t i = 0; i < g->victim_count; i++) {
        count_planned_victim(s, g->victims[i], false);
    }
    return g->found == count;
}

static void
execute_plan(struct sched *s, const struct gang_plan *g)
{
    for (size_t i = 0; i < g->found; i++) {
        reservation_hold_slots(s, g->workers[i], 1);
    }
    for (size_t i = 0; i < g->victim_count; i++) {
        s->stats.preemptions++;
        lease_stop(s, g->victims[i], s->config.preempt_grace_ns);
    }
}

static void
gang_plan_free(struct gang_plan *g)
{
    mem_free(g->workers);
    mem_free(g->victims);
}

bool
urgent_gang_preempt(struct sched *s, struct job *j)
{
    struct gang_plan g;
    bool all;

    if (s->reservation.job != NULL && !preempt_may_use_reserved(s, j)) {
        return false;
    }
    all = plan_tasks(s, j, j->waiting.count, &g);
    if (all) {
        reservation_release(s);
        (void)reservation_start(s, j);
        reservation_charge_team(s);
        s->reservation.shadow_ns = s->now;
        execute_plan(s, &g);
    }
    gang_plan_free(&g);
    return all;
}

void
urgent_gang_replace_slots(struct sched *s)
{
    const struct reservation *r = &s->reservation;
    struct gang_plan g;

    if (r->job == NULL || r->charged_to_team.d[DIM_TASKS] == 0 ||
        r->held_slots >= r->needed_slots) {
        return;
    }
    if (plan_tasks(s, r->job, (size_t)(r->needed_slots - r->held_slots), &g)) {
        execute_plan(s, &g);
    }
    gang_plan_free(&g);
}
