#include "core.h"

/* Candidates compared per decision when control cost weighs as packing. */
static const int CANDIDATES = 8;
static const int CANDIDATES_MAX = 32;

static int
candidates(const struct sched *s)
{
    const struct sched_weights *w = &s->config.weights;
    double n =
        w->control > 0 ? CANDIDATES * w->packing / w->control : CANDIDATES_MAX;

    return n < 1 ? 1 : n > CANDIDATES_MAX ? CANDIDATES_MAX : (int)n;
}

/*
 * How bad the remainder of a worker is after a task: the size of what is left
 * and how far its shape is from even. Lower is better.
 */
static double
remainder_cost(const struct worker *w, const struct vec *avail,
               const struct vec *ask)
{
    double least = 1;
    double most = 0;
    double sum = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        double part;
        if (w->capacity.d[i] == 0) {
            continue;
        }
        part = (double)(avail->d[i] - ask->d[i]) / (double)w->capacity.d[i];
        least = part < least ? part : least;
        most = part > most ? part : most;
        sum += part;
    }
    return sum + (most - least);
}

/* The best of the first few workers that fit, fullest first. */
static struct worker *
best_of(const struct fit_tree *tree, const struct vec *ask, int count)
{
    struct worker *best = NULL;
    double best_cost = 0;
    struct fit_node *n = fit_next(tree, ask, NULL);

    for (int i = 0; n != NULL && i < count; i++) {
        struct worker *w = n->owner;
        double cost = remainder_cost(w, &n->own, ask);
        if (best == NULL || cost < best_cost) {
            best = w;
            best_cost = cost;
        }
        n = i + 1 < count ? fit_next(tree, ask, n) : NULL;
    }
    return best;
}

/* Accelerator VMs serve other work only when no other VM fits. */
struct worker *
batch_pick(struct sched *s, struct job *j)
{
    struct worker *w = NULL;
    int count = candidates(s);

    if (j->ask.d[DIM_ACCELERATORS] == 0) {
        w = best_of(&s->free[0], &j->ask, count);
    }
    return w != NULL ? w : best_of(&s->free[1], &j->ask, count);
}

/*
 * A worker whose room is held by the reservation, if the task is expected to
 * end before that room is needed and can be stopped if it does not.
 */
struct worker *
backfill_pick(struct sched *s, struct job *j)
{
    int64_t run = expected_run_ns(j, 0.9);
    struct fit_node *n;

    if (s->reservation.job == NULL || s->reservation.job == j ||
        j->class != SCHED_CLASS_BATCH || !j->idempotent || run == 0 ||
        run > s->reservation.shadow - s->now) {
        return NULL;
    }
    n = fit_next(&s->reservation.tree, &j->ask, NULL);
    return n == NULL ? NULL : n->owner;
}
