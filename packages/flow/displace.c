/*
 * Displacement of best-effort tasks by tasks with a tail-latency target. The
 * two kinds do not share a worker, and best-effort tasks may run without end.
 * If all workers have some, none of the others could ever start. A worker is
 * then cleared: for a few seconds no best-effort task may run on it, and the
 * leader stops those that do. They keep their checkpoints and start again
 * elsewhere.
 *
 * Load that this answers: best-effort tasks on every worker of a service, and
 * tasks with a target that lose theirs or are submitted later.
 */
#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* How long a worker stays clear: to stop its tasks, to commit their ends
     * and to have an answer on approval. */
    CLEAR_MS = 5000,
    CLEARED_PER_ROUND_MAX = 16,
};

/* An assigned best-effort task. */
struct best_effort_task {
    const struct flow_step *step;
    struct worker_view *view;
};

void
round_find_best_effort(struct plan_round *r)
{
    for (size_t i = 0; i < r->view_count; i++) {
        struct worker_view *v = &r->views[i];

        int64_t cleared_until_ns = plan_worker(v->worker)->cleared_until_ns;

        r->best_effort_workers += v->best_effort > 0;
        v->cleared = cleared_until_ns > r->now_ns;
        if (v->cleared) {
            round_reconsider_at(r, cleared_until_ns);
        }
    }
}

bool
may_displace(const struct plan_round *r, const struct candidate *c)
{
    return r->best_effort_workers > 0 && c->step->spec->tail_target_ms > 0 &&
           !c->step->spec->best_effort;
}

static void
collect_task(void *arg, struct flow_job *j, struct flow_occurrence *o,
             struct flow_step *step, uint32_t index)
{
    struct plan_round *r = arg;
    struct flow_worker *w;
    struct worker_view *v;

    (void)j;
    (void)o;
    if (!step->spec->best_effort) {
        return;
    }
    w = flow_worker(r->state, step->tasks[index].worker);
    if (w == NULL || plan_worker(w) == NULL) {
        return;
    }
    v = &r->views[plan_worker(w)->view_index];
    v->best_effort_size = size_add(v->best_effort_size, step_demand(step));
    if (r->best_effort_task_count == r->best_effort_task_cap) {
        r->best_effort_task_cap = r->best_effort_task_cap * 2 + 32;
        r->best_effort_tasks =
            mem_realloc(r->best_effort_tasks, r->best_effort_task_cap,
                        sizeof(*r->best_effort_tasks));
    }
    r->best_effort_tasks[r->best_effort_task_count++] =
        (struct best_effort_task){step, v};
}

static void
collect_best_effort_tasks(struct plan_round *r)
{
    if (!r->best_effort_collected) {
        r->best_effort_collected = true;
        r->visits += r->view_count;
        flow_visit_assigned(r->state, 0, collect_task, r);
    }
}

/* Reports whether no more tasks of the step are unavailable than its budget
 * allows, if those on workers that are being cleared count as unavailable. */
static bool
is_within_budget(const struct plan_round *r, const struct flow_step *step)
{
    uint32_t budget = step->spec->disruption_budget;
    uint32_t unavailable = 0;

    for (uint32_t i = 0; budget > 0 && i < step->count; i++) {
        const struct flow_task *t = &step->tasks[i];
        const struct flow_worker *w =
            t->assigned ? flow_worker(r->state, t->worker) : NULL;

        unavailable += w == NULL || plan_worker(w) == NULL ||
                       r->views[plan_worker(w)->view_index].cleared;
    }
    return unavailable <= budget;
}

/* Marks the view as cleared if the budgets of its best-effort tasks allow
 * it. */
static bool
try_clear(struct plan_round *r, struct worker_view *v)
{
    v->cleared = true;
    for (size_t i = 0; i < r->best_effort_task_count; i++) {
        const struct best_effort_task *t = &r->best_effort_tasks[i];

        if (t->view == v && !is_within_budget(r, t->step)) {
            v->cleared = false;
            return false;
        }
    }
    r->visits += r->best_effort_task_count;
    return true;
}

/* Returns how many tasks of the candidate the worker can take once it has no
 * best-effort tasks. */
static uint64_t
slots_without_best_effort(const struct plan_round *r,
                          const struct candidate *c,
                          const struct worker_view *v)
{
    struct flow_size available =
        size_add(view_available(v), v->best_effort_size);
    uint32_t tasks_max = c->step->spec->per_worker_max;
    uint64_t slots = count_fitting_tasks(c, available);

    if (!view_is_suitable(v, c) ||
        (v->verdict != NULL && !v->verdict->approved) ||
        !view_reservation_allows(v, c->demand, c->priority,
                                 expected_end_ns(r, c, v))) {
        return 0;
    }
    if (tasks_max > 0) {
        uint32_t present = count_assigned_to(c->step, v->worker->number);
        uint32_t left = tasks_max > present ? tasks_max - present : 0;

        slots = slots < left ? slots : left;
    }
    return slots;
}

/* Keeps the capacity on a worker from the candidates that come later. */
static uint64_t
claim_slots(struct worker_view *v, const struct candidate *c, uint64_t slots,
            uint64_t needed)
{
    uint64_t claimed = slots < needed ? slots : needed;

    for (uint64_t i = 0; i < claimed; i++) {
        v->committed = size_add(v->committed, c->demand);
    }
    return claimed;
}

/* Returns for how many of the tasks there is capacity that they only have to
 * wait for: on workers that lack a ticket, or that are being cleared. */
static uint64_t
claim_expected_slots(struct plan_round *r, const struct candidate *c,
                     uint64_t needed)
{
    uint64_t claimed = 0;

    for (size_t i = 0; i < r->view_count && claimed < needed; i++) {
        struct worker_view *v = &r->views[i];
        bool lacks_ticket = c->job->queue->needs_approval &&
                            !is_ticket_valid(v->verdict, r->now_ns);

        if (v->best_effort == 0 && lacks_ticket) {
            claimed += slots_without_best_effort(r, c, v);
        }
        else if (v->best_effort > 0 && v->cleared) {
            claimed += claim_slots(v, c, slots_without_best_effort(r, c, v),
                                   needed - claimed);
        }
    }
    return claimed;
}

/* Returns the worker to clear next: the one with the fewest best-effort tasks,
 * of equals an approved one, or NULL. */
static struct worker_view *
choose_worker_to_clear(const struct plan_round *r, const struct candidate *c,
                       const bool *refused)
{
    struct worker_view *best = NULL;

    for (size_t i = 0; i < r->view_count; i++) {
        struct worker_view *v = &r->views[i];

        if (v->best_effort == 0 || v->cleared || refused[i] ||
            slots_without_best_effort(r, c, v) == 0) {
            continue;
        }
        if (best == NULL || v->best_effort < best->best_effort ||
            (v->best_effort == best->best_effort && v->verdict != NULL &&
             best->verdict == NULL)) {
            best = v;
        }
    }
    return best;
}

/* Returns how many tasks the workers with best-effort tasks could take. */
static uint64_t
count_displaceable_slots(const struct plan_round *r, const struct candidate *c)
{
    uint64_t slots = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        const struct worker_view *v = &r->views[i];

        if (v->best_effort > 0 && !v->cleared) {
            slots += slots_without_best_effort(r, c, v);
        }
    }
    return slots;
}

void
displace_best_effort(struct plan_round *r, const struct candidate *c,
                     uint32_t missing)
{
    uint64_t needed = c->step->spec->gang ? c->step->count : missing;
    bool *refused;
    uint64_t claimed;

    collect_best_effort_tasks(r);
    claimed = claim_expected_slots(r, c, needed);
    r->visits += r->view_count * 2;
    if (claimed >= needed ||
        (c->step->spec->gang &&
         claimed + count_displaceable_slots(r, c) < needed)) {
        return;
    }
    needed -= claimed;
    refused = mem_zalloc(r->view_count, sizeof(*refused));
    for (int i = 0; i < CLEARED_PER_ROUND_MAX && needed > 0; i++) {
        struct worker_view *v = choose_worker_to_clear(r, c, refused);

        r->visits += r->view_count;
        if (v == NULL) {
            break;
        }
        if (!try_clear(r, v)) {
            refused[v - r->views] = true;
            continue;
        }
        plan_worker(v->worker)->cleared_until_ns =
            r->now_ns + CLEAR_MS * NS_PER_MS;
        round_reconsider_at(r, plan_worker(v->worker)->cleared_until_ns);
        needed -=
            claim_slots(v, c, slots_without_best_effort(r, c, v), needed);
    }
    mem_free(refused);
}
