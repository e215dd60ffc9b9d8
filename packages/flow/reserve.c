/*
 * Reservations for gangs. A gang starts all its tasks at once. Without
 * reservations, smaller jobs take each piece of capacity as it becomes free,
 * and a wide gang never starts on a full fleet. A reservation has a start
 * time, at which enough capacity is expected to be free on approved workers.
 * Until then those workers take only tasks that end before it, fit beside the
 * gang or are more urgent than it.
 *
 * That time is a guess: tasks run longer than estimated, and more urgent ones
 * come. A reservation therefore ends. If its gang has not started by then, the
 * next one begins only after as long again as the gang has waited since its
 * first, and tasks that end before may use the workers. So a gang that cannot
 * start keeps other tasks off for a bounded time, and these make it wait at
 * most as long again as it has waited anyway.
 *
 * Load that this answers: gangs as wide as the fleet, beside tasks that run
 * several times as long as estimated.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* A reservation ends later than its start by this share of the time to the
     * start, because estimates are rough, and by at least
     * RESERVATION_GRACE_MIN_MS, so that answers on approval can arrive. */
    RESERVATION_GRACE_PERCENT = 100,
    RESERVATION_GRACE_MIN_MS = 4000,
};

/* Additional tasks that fit on a worker from at_ns on. */
struct capacity_gain {
    int64_t at_ns;
    uint64_t tasks;
};

struct capacity_gains {
    struct capacity_gain *list;
    size_t count;
    size_t cap;
};

/* Reports whether the gang may reserve the worker: one without a reservation
 * on which it may run, with or without a valid ticket. */
static bool
can_reserve(const struct worker_view *v, const struct candidate *c)
{
    if (v->reserved_from_ns != 0 || !view_can_run(v, c)) {
        return false;
    }
    if (!c->job->queue->needs_approval) {
        return true;
    }
    return v->verdict != NULL && v->verdict->approved;
}

static void
add_gain(struct capacity_gains *g, int64_t at_ns, uint64_t tasks)
{
    if (g->count == g->cap) {
        g->cap = g->cap * 2 + 64;
        g->list = mem_realloc(g->list, g->cap, sizeof(*g->list));
    }
    g->list[g->count++] = (struct capacity_gain){at_ns, tasks};
}

static int
compare_gains(const void *a, const void *b)
{
    const struct capacity_gain *x = a;
    const struct capacity_gain *y = b;

    return (x->at_ns > y->at_ns) - (x->at_ns < y->at_ns);
}

static int
compare_releases(const void *a, const void *b)
{
    const struct expected_release *x = a;
    const struct expected_release *y = b;

    return (x->at_ns > y->at_ns) - (x->at_ns < y->at_ns);
}

/* Adds the times at which more tasks of the candidate fit on the worker. */
static void
collect_gains(const struct plan_round *r, struct worker_view *v,
              const struct candidate *c, struct capacity_gains *out)
{
    struct flow_size available = view_available(v);
    uint64_t fitting = count_fitting_tasks(c, available);

    if (fitting > 0) {
        add_gain(out, r->now_ns, fitting);
    }
    if (v->release_count == 0) {
        return;
    }
    if (!v->releases_sorted) {
        qsort(v->releases, v->release_count, sizeof(*v->releases),
              compare_releases);
        v->releases_sorted = true;
    }
    for (size_t i = 0; i < v->release_count; i++) {
        uint64_t tasks;

        available = size_add(available, v->releases[i].size);
        tasks = count_fitting_tasks(c, available);
        if (tasks > fitting) {
            add_gain(out, v->releases[i].at_ns, tasks - fitting);
            fitting = tasks;
        }
    }
}

/* Returns the worker's expected available capacity at that time. */
static struct flow_size
available_at(const struct worker_view *v, int64_t at_ns)
{
    struct flow_size available = view_available(v);

    for (size_t i = 0; i < v->release_count; i++) {
        if (v->releases[i].at_ns <= at_ns) {
            available = size_add(available, v->releases[i].size);
        }
    }
    return available;
}

/* Returns when the gang is expected to fit; INT64_MAX if never. */
static int64_t
earliest_fit_ns(struct capacity_gains *g, uint64_t needed)
{
    uint64_t gained = 0;

    if (g->count == 0) {
        return INT64_MAX;
    }
    qsort(g->list, g->count, sizeof(*g->list), compare_gains);
    for (size_t i = 0; i < g->count; i++) {
        gained += g->list[i].tasks;
        if (gained >= needed) {
            return g->list[i].at_ns;
        }
    }
    return INT64_MAX;
}

/* Reserves workers for all tasks of the gang from at_ns on. */
static void
reserve_views(struct plan_round *r, const struct candidate *c, int64_t at_ns)
{
    struct flow_size size = c->demand;
    uint64_t needed = c->step->count;
    size_t count;
    struct worker_view **views = candidate_views(r, c, &count);

    for (size_t i = 0; i < count && needed > 0; i++) {
        struct worker_view *v = views[i];
        struct flow_size available;
        uint64_t tasks;

        if (!can_reserve(v, c)) {
            continue;
        }
        available = available_at(v, at_ns);
        tasks = count_fitting_tasks(c, available);
        tasks = tasks < needed ? tasks : needed;
        if (tasks == 0) {
            continue;
        }
        needed -= tasks;
        v->reserved_from_ns = at_ns;
        v->reserved_priority = c->priority;
        for (uint64_t k = 0; k < tasks; k++) {
            available = size_subtract(available, size);
        }
        v->unreserved = available;
    }
}

int64_t
reservation_start_ns(struct plan_round *r, struct flow_step *step,
                     int64_t fit_ns)
{
    if (step->reserved_since_ns == 0) {
        int64_t grace_ns =
            (fit_ns - r->now_ns) / 100 * RESERVATION_GRACE_PERCENT;
        int64_t grace_min_ns = RESERVATION_GRACE_MIN_MS * NS_PER_MS;

        step->reserved_since_ns = r->now_ns;
        step->reservation_end_ns =
            fit_ns + (grace_ns > grace_min_ns ? grace_ns : grace_min_ns);
    }
    else if (r->now_ns >= step->reservation_end_ns) {
        step->reservation_lapsed = true;
        step->reservation_end_ns =
            r->now_ns + (r->now_ns - step->reserved_since_ns);
    }
    round_reconsider_at(r, step->reservation_end_ns);
    return step->reservation_lapsed && step->reservation_end_ns > fit_ns
               ? step->reservation_end_ns
               : fit_ns;
}

void
forget_reservation(struct flow_step *step)
{
    step->reserved_since_ns = 0;
    step->reservation_end_ns = 0;
    step->reservation_lapsed = false;
}

int64_t
reserve_gang(struct plan_round *r, const struct candidate *c)
{
    struct capacity_gains gains = {0};
    size_t count;
    struct worker_view **views = candidate_views(r, c, &count);
    int64_t at_ns;

    if (r->reservations >= r->limits->reservations ||
        c->lateness == URGENCY_USELESS) {
        return INT64_MAX;
    }
    round_collect_releases(r);
    for (size_t i = 0; i < count; i++) {
        if (can_reserve(views[i], c)) {
            collect_gains(r, views[i], c, &gains);
        }
    }
    r->visits += count * 2 + gains.count;
    at_ns = earliest_fit_ns(&gains, c->step->count);
    mem_free(gains.list);
    if (at_ns != INT64_MAX) {
        r->reservations++;
        r->kept_for_gangs = true;
        reserve_views(r, c, reservation_start_ns(r, c->step, at_ns));
    }
    return at_ns;
}
