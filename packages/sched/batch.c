#include "core.h"

/*
 * Workers compared per decision when the weights of control cost and packing
 * are equal.
 */
static const int CANDIDATES = 8;
static const int CANDIDATES_MAX = 32;

static int
candidate_count(const struct sched *s)
{
    const struct sched_weights *w = &s->config.weights;
    double n =
        w->control > 0 ? CANDIDATES * w->packing / w->control : CANDIDATES_MAX;

    return n < 1 ? 1 : n > CANDIDATES_MAX ? CANDIDATES_MAX : (int)n;
}

/*
 * Returns the cost of what would remain free on a worker after placing a task:
 * the size of the remainder plus how unevenly it is spread over the
 * dimensions. Lower is better.
 */
static double
remainder_cost(const struct worker *w, const struct vec *avail,
               const struct vec *request)
{
    double min_part = 1;
    double max_part = 0;
    double sum = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        double part;
        if (w->capacity.d[i] == 0) {
            continue;
        }
        part =
            (double)(avail->d[i] - request->d[i]) / (double)w->capacity.d[i];
        min_part = part < min_part ? part : min_part;
        max_part = part > max_part ? part : max_part;
        sum += part;
    }
    return sum + (max_part - min_part);
}

/*
 * Returns the worker with the lowest remainder cost among the first count
 * workers with room, fullest first.
 */
static struct worker *
pick_cheapest(const struct fit_tree *tree, const struct vec *request,
              int count)
{
    struct worker *best = NULL;
    double best_cost = 0;
    struct fit_node *n = fit_find_next(tree, request, NULL);

    for (int i = 0; n != NULL && i < count; i++) {
        struct worker *w = n->owner;
        double cost = remainder_cost(w, &n->vec, request);
        if (best == NULL || cost < best_cost) {
            best = w;
            best_cost = cost;
        }
        n = i + 1 < count ? fit_find_next(tree, request, n) : NULL;
    }
    return best;
}

/*
 * VMs with accelerators take tasks that need none only if no other VM has
 * room.
 */
struct worker *
batch_pick_worker(struct sched *s, struct job *j)
{
    struct worker *w = NULL;
    int count = candidate_count(s);

    if (j->request.d[DIM_ACCELERATORS] == 0) {
        w = pick_cheapest(&s->free_workers[0], &j->request, count);
    }
    return w != NULL ? w
                     : pick_cheapest(&s->free_workers[1], &j->request, count);
}

/*
 * Returns a worker whose free capacity is held by the reservation, if the task
 * is expected to end before the reservation needs it and can be stopped
 * otherwise; NULL if there is none.
 */
struct worker *
backfill_pick_worker(struct sched *s, struct job *j)
{
    int64_t run_time_ns = expected_run_time_ns(j, 0.9);
    struct fit_node *n;

    if (s->reservation.job == NULL || s->reservation.job == j ||
        j->class != SCHED_CLASS_BATCH || !j->idempotent || run_time_ns == 0 ||
        run_time_ns > s->reservation.shadow_ns - s->now) {
        return NULL;
    }
    n = fit_find_next(&s->reservation.tree, &j->request, NULL);
    return n == NULL ? NULL : n->owner;
}
