#include <stdlib.h>

#include "route_world.h"

void
violation(struct world *w, enum violation v)
{
    w->found |= 1U << v;
}

/*
 * What an entry may still use of a pool. A paused entry whose lease has ended
 * can use nothing more; what it sent counts in check_pools until it ended.
 */
static uint32_t
believed(const struct world *w, int entry, struct str pool)
{
    const struct member *m = &w->members[entry];
    int64_t now = local_now(w, entry);
    struct unit_report u;

    if ((m->paused > 0 && now >= m->lease_until) ||
        !router_pool(m->router, now, pool, &u)) {
        return 0;
    }
    return u.held;
}

/* Attempts at endpoints that no entry's holdings account for. */
static bool
unaccounted(const struct world *w, const struct flight *f)
{
    const struct member *m = &w->members[f->entry];

    return f->run != m->run ||
           (m->paused > 0 && local_now(w, f->entry) >= m->lease_until &&
            f->end > w->t);
}

void
check_pools(struct world *w)
{
    uint32_t held[POOLS] = {0};

    for (int p = 0; p < POOLS; p++) {
        for (int i = 0; i < ENTRIES; i++) {
            held[p] += believed(w, i, pool_name(p));
        }
    }
    for (guint i = 0; i < w->flights->len; i++) {
        const struct flight *f = &g_array_index(w->flights, struct flight, i);
        if (unaccounted(w, f)) {
            held[f->endpoint]++;
            held[ENDPOINTS + f->team]++;
        }
    }
    for (int p = 0; p < POOLS; p++) {
        if (w->t >= w->allowed_until[p]) {
            w->allowed[p] = w->capacity[p];
        }
        /* Team 1 has no limit, so its pool is not enforced. */
        if (held[p] > w->allowed[p] && p != ENDPOINTS + 1) {
            violation(w, V_POOL);
        }
    }
}

void
check_send(struct world *w, int entry, const struct router_action *a)
{
    struct track *q = &w->tracks[a->request];
    struct member *m = &w->members[entry];
    int endpoint = atoi(a->endpoint.ptr);
    int64_t now = local_now(w, entry);

    if (q->answers > 0 || q->running > 0) {
        violation(w, V_ENDS);
    }
    if (!q->idempotent && q->bytes) {
        violation(w, V_TWICE);
    }
    if (!q->marked) {
        violation(w, V_MARK);
    }
    if (now >= m->config_deadline || q->withdrawn) {
        violation(w, V_LEASE);
    }
    if (now >= m->seen[endpoint]) {
        violation(w, V_LEAVING);
    }
    if (now >= q->deadline || a->deadline > q->deadline) {
        violation(w, V_DEADLINE);
    }
    m->retries += q->sends > 0;
    if (m->retries * 100 > m->arrivals * RETRY_PERCENT + 100 * RETRY_BURST) {
        violation(w, V_BUDGET);
    }
    q->sends++;
    q->running++;
}

void
check_answer(struct world *w, int entry, const struct router_action *a)
{
    struct track *q = &w->tracks[a->request];

    q->answers++;
    if (q->answers > 1) {
        violation(w, V_ENDS);
    }
    if (a->kind == ROUTER_REFUSE && (q->bytes || q->running > 0)) {
        violation(w, V_NOT_RUN);
    }
    if (a->kind == ROUTER_COMPLETE) {
        q->completed = true;
    }
    /* Only a pause may delay an answer beyond the deadline. */
    if (local_now(w, entry) >
        MAX(q->deadline, w->members[entry].resumed) + 2 * STEP_NS) {
        violation(w, V_DEADLINE);
    }
}

void
check_bounds(struct world *w, int entry)
{
    struct router_stats s;

    router_stats(w->members[entry].router, &s);
    if (s.ejected * 100 > ENDPOINTS * EJECT_PERCENT) {
        violation(w, V_EJECTED);
    }
    if (s.marking + s.queued > QUEUE_MAX) {
        violation(w, V_QUEUE);
    }
}

void
check_end(struct world *w, int first_new)
{
    for (int i = 0; i < w->requests; i++) {
        const struct track *q = &w->tracks[i];
        if (q->run != w->members[q->entry].run) {
            continue;
        }
        if (q->answers != 1) {
            violation(w, V_ENDS);
        }
        if (i >= first_new && !q->completed) {
            violation(w, V_STUCK);
        }
    }
}
