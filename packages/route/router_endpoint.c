#include "clock.h"
#include "mem.h"
#include "router_int.h"

static int64_t
next_change(const struct endpoint *e)
{
    if (e->out && e->out_until < e->deadline) {
        return e->out_until;
    }
    return e->deadline;
}

static void
set_timer(struct router *r, struct endpoint *e)
{
    e->timer.key = next_change(e);
    e->timer.seq = e->serial;
    if (e->timer.pos == 0) {
        heap_insert(&r->endpoint_timers, &e->timer);
    }
    else {
        heap_update(&r->endpoint_timers, &e->timer);
    }
}

static void
service_add(struct service *s, struct endpoint *e)
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
service_remove(struct service *s, const struct endpoint *e)
{
    size_t i = 0;

    while (s->endpoints[i] != e) {
        i++;
    }
    s->endpoint_count--;
    s->endpoints[i] = s->endpoints[s->endpoint_count];
}

static struct endpoint *
endpoint_make(struct router *r, const struct router_endpoint *seen)
{
    struct endpoint *e = mem_zalloc(1, sizeof(*e));

    r->serial++;
    e->serial = r->serial;
    e->id = str_dup(seen->id);
    e->domain = str_dup(seen->domain);
    e->service = service_make(r, seen->service);
    service_add(e->service, e);
    e->units = units_make(r, POOL_ENDPOINT, seen->id);
    e->units->endpoint = e;
    e->service->free_slots += e->units->held - e->units->used;
    e->last_pick = r->serial * (r->config.seed | 1) >> 40;
    map_put(r->endpoints, e->id, e);
    return e;
}

static void
end_ejection(struct router *r, struct endpoint *e)
{
    e->out = false;
    e->probation = true;
    r->stats.ejected--;
    endpoint_rank(e);
    report_soon(r);
}

/* Whether more of a service are ejected than configured. */
static bool
too_many_out(const struct router *r, const struct service *s, uint32_t more)
{
    uint32_t members = 0;
    uint32_t out = more;

    for (size_t i = 0; i < s->endpoint_count; i++) {
        const struct endpoint *e = s->endpoints[i];
        members += !e->gone && !e->leaving;
        out += e->out && !e->gone && !e->leaving;
    }
    return out * 100 > members * r->config.eject_percent;
}

/* The ejection that ends first ends early when other endpoints leave. */
static void
limit_ejections(struct router *r, struct service *s)
{
    while (too_many_out(r, s, 0)) {
        struct endpoint *first = NULL;
        for (size_t i = 0; i < s->endpoint_count; i++) {
            struct endpoint *e = s->endpoints[i];
            if (e->out && (first == NULL || e->out_until < first->out_until)) {
                first = e;
            }
        }
        if (first == NULL) {
            return;
        }
        end_ejection(r, first);
    }
}

void
endpoint_destroy(struct router *r, struct endpoint *e)
{
    struct service *s = e->service;

    if (e->out) {
        end_ejection(r, e);
    }
    units_retire(r, e->units);
    e->gone = true;
    endpoint_rank(e);
    service_remove(s, e);
    heap_remove(&r->endpoint_timers, &e->timer);
    map_del(r->endpoints, e->id);
    str_free(&e->id);
    str_free(&e->domain);
    mem_free(e);
    limit_ejections(r, s);
    r->sweep = r->sweep || s->endpoint_count == 0;
}

/* Gives back the slots of an endpoint that gets no new request. */
static void
leave(struct router *r, struct endpoint *e)
{
    units_release(r, e->units);
    endpoint_rank(e);
    limit_ejections(r, e->service);
    report_soon(r);
}

void
endpoint_gone(struct router *r, struct str id)
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
    leave(r, e);
}

void
endpoint_seen(struct router *r, int64_t now, const struct router_endpoint *s,
              struct router_actions *out)
{
    struct endpoint *e = map_get(r->endpoints, s->id);

    if (e != NULL && !str_eq(e->service->name, s->service)) {
        /* The new service starts once the old requests have ended. */
        endpoint_gone(r, s->id);
        e = map_get(r->endpoints, s->id);
        if (e != NULL) {
            return;
        }
    }
    if (now >= s->deadline) {
        return;
    }
    if (e == NULL) {
        e = endpoint_make(r, s);
    }
    e->gone = false;
    e->leaving = s->leaving;
    e->slots = s->slots < s->connections ? s->slots : s->connections;
    e->local = str_eq(s->domain, r->config.domain);
    if (s->deadline > e->deadline) {
        e->deadline = s->deadline;
    }
    if (e->leaving) {
        leave(r, e);
    }
    endpoint_rank(e);
    set_timer(r, e);
    dispatch(r, e->service, now, out);
}

bool
endpoint_refused(const struct endpoint *e, int64_t now)
{
    return e->gone || e->leaving || e->out || now >= e->deadline;
}

void
endpoint_timers(struct router *r, int64_t now, struct router_actions *out)
{
    struct heap_node *n;

    while ((n = heap_min(&r->endpoint_timers)) != NULL && n->key <= now) {
        struct endpoint *e = NODE_OWNER(struct endpoint, n, timer);
        struct service *s = e->service;
        if (e->out && now >= e->out_until) {
            end_ejection(r, e);
        }
        if (now < e->deadline) {
            set_timer(r, e);
            dispatch(r, s, now, out);
            continue;
        }
        heap_remove(&r->endpoint_timers, n);
        endpoint_gone(r, e->id);
    }
}

static void
eject(struct router *r, struct endpoint *e, int64_t now)
{
    int64_t span = r->config.eject_ns;

    for (uint32_t i = 0; i < e->ejected && span < r->config.eject_max_ns;
         i++) {
        span *= 2;
    }
    if (span > r->config.eject_max_ns) {
        span = r->config.eject_max_ns;
    }
    e->out = true;
    e->probation = false;
    e->out_until = now + span;
    e->ejected++;
    r->stats.ejected++;
    leave(r, e);
    set_timer(r, e);
}

void
endpoint_result(struct router *r, struct endpoint *e, int64_t now, bool ok)
{
    if (ok) {
        e->fails = 0;
        if (e->probation) {
            e->probation = false;
        }
        else if (e->ejected > 0 &&
                 now >= e->out_until + r->config.eject_max_ns) {
            e->ejected = 0;
        }
        endpoint_rank(e);
        return;
    }
    if (e->fails < UINT16_MAX) {
        e->fails++;
    }
    endpoint_rank(e);
    if (e->out || e->gone) {
        return;
    }
    if ((e->probation || e->fails >= r->config.eject_failures) &&
        !too_many_out(r, e->service, 1)) {
        eject(r, e, now);
    }
}
