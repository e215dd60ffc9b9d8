#include "clock.h"
#include "mem.h"
#include "router_int.h"

enum {
    /* A change of used alone is reported at most this often. It matters
     * because the ledger reclaims units that the last report shows as idle. */
    USED_REPORT_INTERVAL_NS = 25000000,
    /* A report is expedited when the demand has grown by more than
     * 1/GROWTH_DIVISOR or, below GROWTH_MIN_WANTED units, by any. With a
     * larger divisor, entries report and units move more often, and more
     * requests wait for units that are being moved (docs/routing.md). */
    GROWTH_DIVISOR = 5,
    GROWTH_MIN_WANTED = 8,
};

struct units *
units_find_or_create(struct router *r, const char *prefix, struct str name)
{
    struct buf full = {0};
    struct units *u;

    buf_append_str(&full, str_of(prefix));
    buf_append_str(&full, name);
    u = map_get(r->pools, buf_str(&full));
    if (u == NULL) {
        u = mem_zalloc(1, sizeof(*u));
        u->pool = str_dup(buf_str(&full));
        u->changed_seq = r->report_seq + 1;
        map_put(r->pools, u->pool, u);
        TAILQ_INSERT_TAIL(&r->units, u, in_router);
    }
    u->gone = false;
    buf_free(&full);
    return u;
}

static void
units_destroy(struct router *r, struct units *u)
{
    TAILQ_REMOVE(&r->units, u, in_router);
    map_del(r->pools, u->pool);
    str_free(&u->pool);
    mem_free(u);
}

void
units_destroy_all(struct router *r)
{
    struct units *u;

    while ((u = TAILQ_FIRST(&r->units)) != NULL) {
        units_destroy(r, u);
    }
}

void
expedite_report(struct router *r)
{
    r->report_expedited = true;
}

/* Sets held and updates the service's free slots and the endpoint's rank. */
static void
units_set_held(struct router *r, struct units *u, uint32_t held)
{
    if (u->endpoint != NULL) {
        u->endpoint->service->free_slots += held - u->held;
    }
    if (held < u->held) {
        expedite_report(r);
    }
    u->held = held;
    if (u->endpoint != NULL) {
        endpoint_update_rank(u->endpoint);
    }
}

/* Returns idle units beyond the target and the substituted units. */
static void
return_excess(struct router *r, struct units *u)
{
    uint32_t keep = u->target + u->substituted;

    if (u->held > keep) {
        units_set_held(r, u, keep > u->used ? keep : u->used);
    }
}

void
units_acquire_one(struct units *u)
{
    u->used++;
    if (u->endpoint != NULL) {
        u->endpoint->service->free_slots--;
        endpoint_update_rank(u->endpoint);
    }
}

void
units_release_one(struct router *r, struct units *u)
{
    u->used--;
    if (u->endpoint != NULL) {
        u->endpoint->service->free_slots++;
        endpoint_update_rank(u->endpoint);
    }
    return_excess(r, u);
}

uint32_t
units_count_free(const struct router *r, const struct units *u, int64_t now)
{
    return now >= r->units_deadline || u->used >= u->held ? 0
                                                          : u->held - u->used;
}

void
units_return_idle(struct router *r, struct units *u)
{
    u->target = 0;
    u->substituted = 0;
    return_excess(r, u);
}

void
units_retire(struct router *r, struct units *u)
{
    units_return_idle(r, u);
    u->gone = true;
    u->endpoint = NULL;
    u->team = NULL;
    u->service = NULL;
    expedite_report(r);
}

void
units_expire_lease(struct router *r)
{
    r->units_deadline = 0;
    for (struct units *u = TAILQ_FIRST(&r->units); u != NULL;
         u = TAILQ_NEXT(u, in_router)) {
        units_return_idle(r, u);
    }
}

static void
apply_unit_grant(struct router *r, int64_t now, const struct unit_grant *item)
{
    struct units *u = map_get(r->pools, item->pool);
    bool refuse;

    if (u == NULL) {
        return;
    }
    refuse = u->gone ||
             (u->endpoint != NULL && endpoint_is_refused(u->endpoint, now));
    u->return_requested = !refuse && item->units < u->target;
    u->target = refuse ? 0 : item->units;
    u->substituted = 0;
    if (u->held < u->target) {
        units_set_held(r, u, u->target);
    }
    return_excess(r, u);
}

/*
 * The leader reclaims units that the last report showed as idle. For each one
 * that is in use by now, returns an idle unit of another endpoint at once. If
 * the leader then repeats the request, it needs that particular unit, which is
 * kept no longer than its use.
 */
static void
return_substitutes(struct router *r, const struct unit_grant *item)
{
    struct units *u = map_get(r->pools, item->pool);
    struct heap_node *n;

    if (u == NULL || !u->return_requested || u->endpoint == NULL) {
        return;
    }
    while (u->held > u->target + u->substituted &&
           (n = heap_min(&u->endpoint->service->available)) != NULL) {
        struct units *idle = NODE_OWNER(struct endpoint, n, rank)->units;

        idle->target = idle->held - 1;
        idle->substituted = 0;
        return_excess(r, idle);
        u->substituted++;
    }
}

static void
update_all_team_queues(struct router *r, int64_t now)
{
    void *cursor = NULL;
    struct team *t;

    while ((t = map_next(r->teams, &cursor)) != NULL) {
        team_update_queues(r, now, t);
    }
}

/*
 * A message whose lease has ended, or that is older than the last one applied
 * or from a former leader, must not be applied: its units may have been
 * granted to other entries.
 */
void
apply_grants(struct router *r, int64_t now, const struct grants *g,
             struct router_actions *out)
{
    int64_t sent_at = router_report_sent(r, g->report_seq);
    int64_t deadline = sent_at + g->lease_ns;

    if (sent_at == 0 || now >= deadline || g->no.term != r->term ||
        grant_no_cmp(g->no, r->ack) <= 0 ||
        g->report_seq <= r->previous_term_seq) {
        return;
    }
    if (now >= r->units_deadline) {
        units_expire_lease(r);
    }
    r->ack = g->no;
    if (deadline > r->units_deadline) {
        r->units_deadline = deadline;
    }
    if (g->report_seq > r->report_acked) {
        r->report_acked = g->report_seq;
    }
    bound_apply_grants(r, now, g);
    for (size_t i = 0; i < g->count; i++) {
        apply_unit_grant(r, now, &g->items[i]);
    }
    for (size_t i = 0; i < g->count; i++) {
        return_substitutes(r, &g->items[i]);
    }
    update_all_team_queues(r, now);
    dispatch_all_services(r, now, out);
}

int64_t
router_report_sent(const struct router *r, uint64_t seq)
{
    if (seq == 0 || seq > r->report_seq ||
        seq + REPORT_HISTORY_COUNT <= r->report_seq) {
        return 0;
    }
    return r->report_sent_at[seq % REPORT_HISTORY_COUNT];
}

/* Counts requests in flight and those that would run if there were slots. */
static uint32_t
service_count_wanted(const struct service *s)
{
    void *cursor = NULL;
    const struct queue *q;
    uint32_t parked = s->queued;
    uint32_t waiting = 0;

    while ((q = map_next(s->queues, &cursor)) != NULL) {
        const struct units *u = q->team->units;
        parked -= q->count;
        uint32_t runnable = q->count;
        if (q->team->limited) {
            uint32_t free_units = u->held > u->used ? u->held - u->used : 0;
            runnable = runnable < free_units ? runnable : free_units;
        }
        waiting += runnable;
    }
    return s->in_flight + waiting + parked;
}

/*
 * Whether the demand has grown enough since the last report to expedite the
 * next one.
 */
static bool
demand_grew(uint32_t wanted, const struct units *u)
{
    uint32_t reported = u->reported_wanted;

    return wanted >
           reported +
               (reported < GROWTH_MIN_WANTED ? 0 : reported / GROWTH_DIVISOR);
}

/*
 * Whether the demand has fallen by more than one unit and 1/8 since the last
 * report, so that the next one is expedited: until it is sent, idle slots stay
 * here while other entries wait for them.
 */
static bool
demand_fell(uint32_t wanted, const struct units *u)
{
    return wanted + 1 + u->reported_wanted / 8 < u->reported_wanted;
}

void
expedite_for_demand_change(struct router *r, const struct service *s)
{
    uint32_t max_wanted = s->in_flight + s->queued;

    if (!r->report_expedited &&
        (demand_fell(max_wanted, s->demand) ||
         (demand_grew(max_wanted, s->demand) &&
          demand_grew(service_count_wanted(s), s->demand)))) {
        expedite_report(r);
    }
}

void
expedite_for_team_shortage(struct router *r, const struct team *t)
{
    if (t->limited && t->units->used >= t->units->held &&
        demand_grew(t->in_flight + t->runnable, t->units)) {
        expedite_report(r);
    }
}

/*
 * Returns wanted of a report: for an endpoint, 0 if it is refused and else 1;
 * for a team or a service, units in use plus requests that wait.
 */
static uint32_t
units_count_wanted(const struct units *u, int64_t now)
{
    if (u->endpoint != NULL) {
        return endpoint_is_refused(u->endpoint, now) ? 0 : 1;
    }
    if (u->team != NULL) {
        return u->team->limited ? u->team->in_flight + u->team->runnable : 0;
    }
    return u->service == NULL ? 0 : service_count_wanted(u->service);
}

bool
router_get_pool(const struct router *r, int64_t now, struct str pool,
                struct unit_report *out)
{
    const struct units *u = map_get(r->pools, pool);

    if (u == NULL) {
        return false;
    }
    *out = (struct unit_report){u->pool, u->used, u->used, 0};
    if (now < r->units_deadline && u->held > u->used) {
        out->held = u->held;
    }
    out->wanted = units_count_wanted(u, now);
    return true;
}

static void
report_add_item(struct report *out, const struct units *u)
{
    if (out->count == out->cap) {
        out->cap = out->cap == 0 ? 64 : out->cap * 2;
        out->items = mem_realloc(out->items, out->cap, sizeof(*out->items));
    }
    out->items[out->count] =
        (struct unit_report){u->pool, u->held, u->used, u->wanted};
    out->count++;
}

/*
 * Stores the values for this report if they changed. A change of used alone
 * counts only after USED_REPORT_INTERVAL_NS.
 */
static void
update_reported(struct router *r, int64_t now, struct units *u)
{
    bool report_used = u->used != u->reported_used &&
                       now >= u->used_reported_at + USED_REPORT_INTERVAL_NS;

    u->wanted = units_count_wanted(u, now);
    if (u->held == u->reported_held && u->wanted == u->reported_wanted &&
        !report_used) {
        return;
    }
    u->changed_seq = r->report_seq;
    u->reported_held = u->held;
    u->reported_used = u->used;
    u->reported_wanted = u->wanted;
    u->used_reported_at = now;
}

/*
 * Adds the pools that the leader may not know in their present state, and
 * frees retired ones that it does know.
 */
static void
report_units(struct router *r, int64_t now, struct report *out)
{
    struct units *next;

    for (struct units *u = TAILQ_FIRST(&r->units); u != NULL; u = next) {
        next = TAILQ_NEXT(u, in_router);
        if (r->draining && u->service == NULL && r->stats.queued == 0) {
            units_return_idle(r, u);
        }
        update_reported(r, now, u);
        if (u->changed_seq > r->report_acked || out->full) {
            report_add_item(out, u);
        }
        else if (u->gone && u->used == 0) {
            units_destroy(r, u);
        }
    }
}

void
router_report(struct router *r, int64_t now, struct report *out)
{
    if (now >= r->units_deadline) {
        units_expire_lease(r);
    }
    r->report_seq++;
    r->report_sent_at[r->report_seq % REPORT_HISTORY_COUNT] = now;
    r->reported_at = now;
    out->term = r->term;
    out->seq = r->report_seq;
    out->ack = r->ack;
    out->up_ns = now - r->run_started_ns;
    out->full = r->report_acked <= r->previous_term_seq;
    out->leaving = r->draining;
    out->early_ns = bound_prepare_report(r, now);
    out->count = 0;
    report_units(r, now, out);
    r->report_expedited = false;
}

int64_t
router_report_due(const struct router *r)
{
    int64_t interval_ns =
        r->report_expedited ? r->config.report_short_ns : r->config.report_ns;

    return r->reported_at == 0 ? r->run_started_ns
                               : r->reported_at + interval_ns;
}
