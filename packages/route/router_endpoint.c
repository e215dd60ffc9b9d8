#include "clock.h"
#include "mem.h"
#include "router_int.h"

/* Returns when the ejection or the announcement ends, whichever is first. */
static int64_t
next_timer_key(const struct endpoint *e)
{
    if (e->ejected && e->ejected_until < e->deadline) {
        return e->ejected_until;
    }
    return e->deadline;
}

static void
endpoint_set_timer(struct router *r, struct endpoint *e)
{
    e->timer.key = next_timer_key(e);
    e->timer.seq = e->serial;
    if (e->timer.pos == 0) {
        heap_insert(&r->endpoint_timers, &e->timer);
    }
    else {
        heap_update(&r->endpoint_timers, &e->timer);
    }
}

static void
service_add_endpoint(struct service *s, struct endpoint *e)
{
    if (s->endpoint_count == s->endpoint_cap) {
        s->endpoint_cap = s->endpoint_cap == 0 ? 16 : s->endpoint_cap * 2;
        s->endpoints =
            mem_realloc(s->endpoints, s->endpoint_cap, sizeof(*s->endpoints));
    }
    s->endpoints[s->endpoint_count] = e;
    s->endpoint_count++;
}

static void
service_remove_endpoint(struct service *s, const struct endpoint *e)
{
    size_t i = 0;

    while (s->endpoints[i] != e) {
        i++;
    }
    s->endpoint_count--;
    s->endpoints[i] = s->endpoints[s->endpoint_count];
}

static struct endpoint *
endpoint_create(struct router *r, const struct router_endpoint *announced)
{
    struct endpoint *e = mem_zalloc(1, sizeof(*e));

    r->serial++;
    e->serial = r->serial;
    e->id = str_dup(announced->id);
    e->domain = str_dup(announced->domain);
    e->service = service_find_or_create(r, announced->service);
    service_add_endpoint(e->service, e);
    e->units = units_find_or_create(r, POOL_ENDPOINT, announced->id);
    e->units->endpoint = e;
    e->service->free_slots += e->units->held - e->units->used;
    /* Lets entries with different seeds choose different endpoints first. */
    e->last_chosen_seq = r->serial * (r->config.seed | 1) >> 40;
    map_put(r->endpoints, e->id, e);
    return e;
}

/* Puts the endpoint on probation. */
static void
endpoint_end_ejection(struct router *r, struct endpoint *e)
{
    e->ejected = false;
    e->probation = true;
    r->stats.ejected--;
    endpoint_update_rank(e);
    expedite_report(r);
}

/*
 * Whether more of the service's endpoints than eject_percent would be ejected,
 * counting more in addition to those that are.
 */
static bool
exceeds_ejection_limit(const struct router *r, const struct service *s,
                       uint32_t more)
{
    uint32_t total = 0;
    uint32_t ejected = more;

    for (size_t i = 0; i < s->endpoint_count; i++) {
        const struct endpoint *e = s->endpoints[i];
        total += !e->gone && !e->leaving;
        ejected += e->ejected && !e->gone && !e->leaving;
    }
    return ejected * 100 > total * r->config.eject_percent;
}

/*
 * Ends ejections early, the next to end first, when too large a part of the
 * service is ejected because other endpoints left.
 */
static void
enforce_ejection_limit(struct router *r, struct service *s)
{
    while (exceeds_ejection_limit(r, s, 0)) {
        struct endpoint *first = NULL;
        for (size_t i = 0; i < s->endpoint_count; i++) {
            struct endpoint *e = s->endpoints[i];
            if (e->ejected &&
                (first == NULL || e->ejected_until < first->ejected_until)) {
                first = e;
            }
        }
        if (first == NULL) {
            return;
        }
        endpoint_end_ejection(r, first);
    }
}

void
endpoint_destroy(struct router *r, struct endpoint *e)
{
    struct service *s = e->service;

    if (e->ejected) {
        endpoint_end_ejection(r, e);
    }
    units_retire(r, e->units);
    e->gone = true;
    endpoint_update_rank(e);
    service_remove_endpoint(s, e);
    heap_remove(&r->endpoint_timers, &e->timer);
    map_del(r->endpoints, e->id);
    str_free(&e->id);
    str_free(&e->domain);
    mem_free(e);
    enforce_ejection_limit(r, s);
    r->sweep_needed = r->sweep_needed || s->endpoint_count == 0;
}

/* Returns the idle slots of an endpoint that must get no new request. */
static void
endpoint_withdraw(struct router *r, struct endpoint *e)
{
    units_return_idle(r, e->units);
    endpoint_update_rank(e);
    enforce_ejection_limit(r, e->service);
    expedite_report(r);
}

void
endpoint_remove(struct router *r, struct str id)
{
    struct endpoint *e = map_get(r->endpoints, id);

    if (e == NULL) {
        return;
    }
    e->gone = true;
    if (e->units->used == 0) {
        endpoint_destroy(r, e);
        return;
    }
    endpoint_withdraw(r, e);
}

void
endpoint_apply_announcement(struct router *r, int64_t now,
                            const struct router_endpoint *announced,
                            struct router_actions *out)
{
    struct endpoint *e = map_get(r->endpoints, announced->id);

    if (e != NULL && !str_eq(e->service->name, announced->service)) {
        /* The endpoint joins its new service only once its requests for the
         * old one have ended and it announces itself again. */
        endpoint_remove(r, announced->id);
        e = map_get(r->endpoints, announced->id);
        if (e != NULL) {
            return;
        }
    }
    if (now >= announced->deadline) {
        return;
    }
    if (e == NULL) {
        e = endpoint_create(r, announced);
    }
    e->gone = false;
    e->leaving = announced->leaving;
    e->slots = announced->slots < announced->connections
                   ? announced->slots
                   : announced->connections;
    e->local = str_eq(announced->domain, r->config.domain);
    if (announced->deadline > e->deadline) {
        e->deadline = announced->deadline;
    }
    if (e->leaving) {
        endpoint_withdraw(r, e);
    }
    endpoint_update_rank(e);
    endpoint_set_timer(r, e);
    dispatch_service(r, e->service, now, out);
}

bool
endpoint_is_refused(const struct endpoint *e, int64_t now)
{
    return e->gone || e->leaving || e->ejected || now >= e->deadline;
}

void
handle_endpoint_timers(struct router *r, int64_t now,
                       struct router_actions *out)
{
    struct heap_node *n;

    while ((n = heap_min(&r->endpoint_timers)) != NULL && n->key <= now) {
        struct endpoint *e = NODE_OWNER(struct endpoint, n, timer);
        struct service *s = e->service;
        if (e->ejected && now >= e->ejected_until) {
            endpoint_end_ejection(r, e);
        }
        if (now < e->deadline) {
            endpoint_set_timer(r, e);
            dispatch_service(r, s, now, out);
            continue;
        }
        heap_remove(&r->endpoint_timers, n);
        endpoint_remove(r, e->id);
    }
}

/* Ejects the endpoint; each recent ejection doubles the time. */
static void
endpoint_eject(struct router *r, struct endpoint *e, int64_t now)
{
    int64_t ejection_ns = r->config.eject_ns;

    for (uint32_t i = 0;
         i < e->ejection_count && ejection_ns < r->config.eject_max_ns; i++) {
        ejection_ns *= 2;
    }
    if (ejection_ns > r->config.eject_max_ns) {
        ejection_ns = r->config.eject_max_ns;
    }
    e->ejected = true;
    e->probation = false;
    e->ejected_until = now + ejection_ns;
    e->ejection_count++;
    r->stats.ejected++;
    endpoint_withdraw(r, e);
    endpoint_set_timer(r, e);
}

void
endpoint_record_result(struct router *r, struct endpoint *e, int64_t now,
                       bool ok)
{
    if (ok) {
        e->consecutive_failures = 0;
        if (e->probation) {
            e->probation = false;
        }
        else if (e->ejection_count > 0 &&
                 now >= e->ejected_until + r->config.eject_max_ns) {
            e->ejection_count = 0;
        }
        endpoint_update_rank(e);
        return;
    }
    if (e->consecutive_failures < UINT16_MAX) {
        e->consecutive_failures++;
    }
    endpoint_update_rank(e);
    if (e->ejected || e->gone) {
        return;
    }
    if ((e->probation ||
         e->consecutive_failures >= r->config.eject_failures) &&
        !exceeds_ejection_limit(r, e->service, 1)) {
        endpoint_eject(r, e, now);
    }
}
