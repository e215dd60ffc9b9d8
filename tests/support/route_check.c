#include <stdlib.h>

#include "route_sim.h"

void
route_check_add_violation(struct route_sim *sim, enum violation v)
{
    sim->violations |= 1U << v;
}

/*
 * Returns how many units of a pool an entry may still use. A paused entry
 * whose lease has ended can use none; route_check_pools counts its attempts
 * until they end.
 */
static uint32_t
usable_units(const struct route_sim *sim, int entry, struct str pool)
{
    const struct sim_entry *e = &sim->entries[entry];
    int64_t now = route_sim_local_now(sim, entry);
    struct unit_report u;

    if ((e->paused_steps > 0 && now >= e->lease_end) ||
        !router_get_pool(e->router, now, pool, &u)) {
        return 0;
    }
    return u.held;
}

/* Whether an attempt uses units that usable_units does not count: the process
 * that sent it has ended, or is paused and its lease has ended. */
static bool
is_unaccounted(const struct route_sim *sim, const struct sim_attempt *attempt)
{
    const struct sim_entry *e = &sim->entries[attempt->entry];

    return attempt->run != e->run ||
           (e->paused_steps > 0 &&
            route_sim_local_now(sim, attempt->entry) >= e->lease_end &&
            attempt->end > sim->now);
}

void
route_check_pools(struct route_sim *sim)
{
    uint32_t held[POOLS] = {0};

    for (int p = 0; p < POOLS; p++) {
        for (int i = 0; i < ENTRIES; i++) {
            held[p] += usable_units(sim, i, route_sim_pool_name(p));
        }
    }
    for (guint i = 0; i < sim->attempts->len; i++) {
        const struct sim_attempt *attempt =
            &g_array_index(sim->attempts, struct sim_attempt, i);
        if (is_unaccounted(sim, attempt)) {
            held[attempt->endpoint]++;
            held[ENDPOINTS + attempt->team]++;
        }
    }
    for (int p = 0; p < POOLS; p++) {
        if (sim->now >= sim->allowed_until[p]) {
            sim->allowed[p] = sim->capacity[p];
        }
        /* Team 1 is unlimited, so its pool is not enforced. */
        if (held[p] > sim->allowed[p] && p != ENDPOINTS + 1) {
            route_check_add_violation(sim, V_POOL);
        }
    }
}

void
route_check_send(struct route_sim *sim, int entry,
                 const struct router_action *a)
{
    struct sim_request *req = &sim->requests[a->request];
    struct sim_entry *e = &sim->entries[entry];
    int endpoint = atoi(a->endpoint.ptr);
    int64_t now = route_sim_local_now(sim, entry);

    if (req->answer_count > 0 || req->running_attempts > 0) {
        route_check_add_violation(sim, V_ANSWERS);
    }
    if (!req->idempotent && req->bytes_sent) {
        route_check_add_violation(sim, V_RESENT);
    }
    if (!req->record_committed) {
        route_check_add_violation(sim, V_UNCOMMITTED);
    }
    if (now >= e->config_deadline || req->key_withdrawn) {
        route_check_add_violation(sim, V_LEASE);
    }
    if (now >= e->announced_until[endpoint]) {
        route_check_add_violation(sim, V_LEAVING);
    }
    if (now >= req->deadline || a->deadline > req->deadline) {
        route_check_add_violation(sim, V_DEADLINE);
    }
    e->retries += req->send_count > 0;
    if (e->retries * 100 > e->arrivals * RETRY_PERCENT + 100 * RETRY_BURST) {
        route_check_add_violation(sim, V_BUDGET);
    }
    req->send_count++;
    req->running_attempts++;
}

void
route_check_answer(struct route_sim *sim, int entry,
                   const struct router_action *a)
{
    struct sim_request *req = &sim->requests[a->request];

    req->answer_count++;
    if (req->answer_count > 1) {
        route_check_add_violation(sim, V_ANSWERS);
    }
    if (a->kind == ROUTER_REFUSE &&
        (req->bytes_sent || req->running_attempts > 0)) {
        route_check_add_violation(sim, V_NOT_RUN);
    }
    if (a->kind == ROUTER_COMPLETE) {
        req->completed = true;
    }
    /* Only a pause of the process may delay an answer past the deadline. */
    if (route_sim_local_now(sim, entry) >
        MAX(req->deadline, sim->entries[entry].resume_time) + 2 * STEP_NS) {
        route_check_add_violation(sim, V_DEADLINE);
    }
}

void
route_check_limits(struct route_sim *sim, int entry)
{
    struct router_stats s;

    router_stats(sim->entries[entry].router, &s);
    if (s.ejected * 100 > ENDPOINTS * EJECT_PERCENT) {
        route_check_add_violation(sim, V_EJECTED);
    }
    if (s.awaiting_record + s.queued > QUEUE_MAX) {
        route_check_add_violation(sim, V_QUEUE);
    }
}

void
route_check_end(struct route_sim *sim, int first_new)
{
    for (int i = 0; i < sim->request_count; i++) {
        const struct sim_request *req = &sim->requests[i];
        if (req->run != sim->entries[req->entry].run) {
            continue;
        }
        if (req->answer_count != 1) {
            route_check_add_violation(sim, V_ANSWERS);
        }
        if (i >= first_new && !req->completed) {
            route_check_add_violation(sim, V_STUCK);
        }
    }
}
