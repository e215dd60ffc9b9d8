/*
 * The steps that have tasks to start, in the order in which they are tried.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* A job this many times later than its objective is of no use. */
    LATE_FACTOR = 3,
    /* A task past its expected end is expected to take a share of its run
     * time more, and at least so long. */
    OVERDUE_MS = 200,
    OVERDUE_PERCENT = 30,
};

/* Longest chain of estimated work from the step on, in ms. */
static int64_t
chain_from(const struct flow_job *j, size_t step, const int64_t *memo)
{
    int64_t longest = 0;

    for (size_t i = step + 1; i < j->spec->n_steps; i++) {
        for (size_t k = 0; k < j->spec->steps[i]->n_after; k++) {
            if (j->spec->steps[i]->after[k] == step && memo[i] > longest) {
                longest = memo[i];
            }
        }
    }
    return longest + j->spec->steps[step]->estimate_ms +
           (j->queue->needs_approval ? j->queue->approval_ms : 0);
}

/* Fills chains[i] for each step; returns the longest of all. */
static int64_t
chains(const struct flow_job *j, int64_t *out)
{
    int64_t longest = 0;

    for (size_t i = j->spec->n_steps; i-- > 0;) {
        out[i] = chain_from(j, i, out);
        longest = out[i] > longest ? out[i] : longest;
    }
    return longest;
}

static int64_t
objective_ms(const struct flow_job *j, int64_t chain_ms)
{
    return (int64_t)((double)chain_ms * j->queue->stretch) +
           j->queue->latency_target_ms;
}

static uint32_t
waiting_tasks(const struct flow_step *step)
{
    uint32_t waiting = 0;

    if (step->spec->gang) {
        return step->assigned == 0 && step->done == 0 ? step->count : 0;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        waiting += !step->tasks[i].done && !step->tasks[i].assigned;
    }
    return waiting;
}

static void
add_candidate(struct round *r, struct flow_job *j, size_t occurrence,
              size_t step, const int64_t *chain, int64_t objective)
{
    struct candidate *c;

    if (r->candidate_count == r->candidate_cap) {
        r->candidate_cap = r->candidate_cap * 2 + 64;
        r->candidates = mem_realloc(r->candidates, r->candidate_cap,
                                    sizeof(*r->candidates));
    }
    c = &r->candidates[r->candidate_count];
    c->job = j;
    c->occurrence = occurrence;
    c->step = &j->occurrences[occurrence].steps[step];
    c->priority = j->queue->priority;
    c->latest_start = j->seen_at + (objective - chain[step]) * NS_PER_MS;
    c->rank = r->now <= c->latest_start ? 0 : 1;
    if (r->now > j->seen_at + LATE_FACTOR * objective * NS_PER_MS) {
        c->rank = 2;
    }
    c->order = r->candidate_count++;
}

static void
collect_job(struct round *r, struct flow_job *j)
{
    int64_t *chain = mem_zalloc(j->spec->n_steps, sizeof(*chain));
    int64_t objective = objective_ms(j, chains(j, chain));

    for (size_t i = 0; i < j->occurrence_count; i++) {
        struct flow_occurrence *o = &j->occurrences[i];

        for (size_t k = 0; k < j->spec->n_steps; k++) {
            struct flow_step *step = &o->steps[k];

            if (step->done + step->assigned < step->count &&
                waiting_tasks(step) > 0 && flow_step_ready(o, step)) {
                add_candidate(r, j, i, k, chain, objective);
            }
        }
    }
    mem_free(chain);
}

/*
 * A late job is worth a part of what it was: it comes after the jobs of its
 * queue that can be in time, but before less urgent queues' late jobs. What is
 * of no use any more comes last.
 */
static uint32_t
urgency(const struct candidate *c)
{
    return c->rank > 1 ? UINT32_MAX : c->priority * 2 + (uint32_t)c->rank * 3;
}

static int
compare(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;
    uint32_t left = urgency(x);
    uint32_t right = urgency(y);

    if (left != right) {
        return left < right ? -1 : 1;
    }
    if (x->latest_start != y->latest_start) {
        return x->latest_start < y->latest_start ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

static void
collect_workers(struct round *r)
{
    struct flow_worker *w;
    void *cursor = NULL;

    r->views = mem_zalloc(flow_worker_count(r->state) + 1, sizeof(*r->views));
    while ((w = flow_worker_next(r->state, &cursor)) != NULL) {
        struct view *v = &r->views[r->view_count];

        if (plan_worker(w) == NULL) {
            continue;
        }
        v->worker = w;
        v->speed = plan_speed(plan_worker(w), r->now);
        v->taken = w->used;
        v->serving = w->serving;
        v->best_effort = w->best_effort;
        plan_worker(w)->slot = r->view_count++;
    }
}

static void
collect_release(void *arg, struct flow_job *j, struct flow_occurrence *o,
                struct flow_step *step, uint32_t index)
{
    struct round *r = arg;
    const struct flow_task *t = &step->tasks[index];
    struct flow_worker *w = flow_worker(r->state, t->worker);
    struct view *v;
    int64_t run;
    int64_t at;

    (void)o;
    if (w == NULL || plan_worker(w) == NULL) {
        return;
    }
    v = &r->views[plan_worker(w)->slot];
    if (v->release_count == v->release_cap) {
        v->release_cap = v->release_cap * 2 + 16;
        v->releases =
            mem_realloc(v->releases, v->release_cap, sizeof(*v->releases));
    }
    run = (int64_t)(plan_run_ms(j, step, v->speed) * (double)NS_PER_MS);
    at = (t->started_at != 0 ? t->started_at : r->now) + run;
    if (at < r->now) {
        at = r->now + run * OVERDUE_PERCENT / 100;
    }
    if (at < r->now + OVERDUE_MS * NS_PER_MS) {
        at = r->now + OVERDUE_MS * NS_PER_MS;
    }
    if (step->spec->endless) {
        at = INT64_MAX;
    }
    v->releases[v->release_count++] = (struct release){at, step_takes(step)};
}

void
round_releases(struct round *r)
{
    if (!r->releases_known) {
        r->releases_known = true;
        flow_visit_assigned(r->state, 0, collect_release, r);
    }
}

void
round_collect(struct round *r)
{
    collect_workers(r);
    for (struct flow_job *j = flow_first_live(r->state); j != NULL;
         j = j->next) {
        if (j->state <= FLOW_JOB_RUNNING) {
            collect_job(r, j);
        }
    }
    if (r->candidate_count == 0) {
        return;
    }
    qsort(r->candidates, r->candidate_count, sizeof(*r->candidates), compare);
}
