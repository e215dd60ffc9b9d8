#include "clock.h"
#include "mem.h"
#include "router_int.h"

enum {
    /* A change of the use alone is told at most so often; the ledger asks for
     * units that were idle in the last report. */
    USED_TOLD_NS = 25000000,
    /* With smaller parts, entries report and units move more often, and more
     * requests wait for units that are on their way (docs/routing.md). */
    GREW_PART = 5,
    GREW_LEAST = 8,
};

struct units *
units_make(struct router *r, const char *prefix, struct str name)
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
units_free_all(struct router *r)
{
    struct units *u;

    while ((u = TAILQ_FIRST(&r->units)) != NULL) {
        units_destroy(r, u);
    }
}

void
report_soon(struct router *r)
{
    r->report_urgent = true;
}

/* Sets held and keeps the count of free slots of the service. */
static void
set_held(struct router *r, struct units *u, uint32_t held)
{
    if (u->endpoint != NULL) {
        u->endpoint->service->free_slots += held - u->held;
    }
    if (held < u->held) {
        report_soon(r);
    }
    u->held = held;
    if (u->endpoint != NULL) {
        endpoint_rank(u->endpoint);
    }
}

static void
sink(struct router *r, struct units *u)
{
    uint32_t keep = u->target + u->swapped;

    if (u->held > keep) {
        set_held(r, u, keep > u->used ? keep : u->used);
    }
}

void
units_take(struct units *u)
{
    u->used++;
    if (u->endpoint != NULL) {
        u->endpoint->service->free_slots--;
        endpoint_rank(u->endpoint);
    }
}

void
units_put(struct router *r, struct units *u)
{
    u->used--;
    if (u->endpoint != NULL) {
        u->endpoint->service->free_slots++;
        endpoint_rank(u->endpoint);
    }
    sink(r, u);
}

uint32_t
units_free(const struct router *r, const struct units *u, int64_t now)
{
    return now >= r->units_deadline || u->used >= u->held ? 0
                                                          : u->held - u->used;
}

void
units_release(struct router *r, struct units *u)
{
    u->target = 0;
    u->swapped = 0;
    sink(r, u);
}

/* Called when none is in use; reported until the leader knows. */
void
units_retire(struct router *r, struct units *u)
{
    units_release(r, u);
    u->gone = true;
    u->endpoint = NULL;
    u->team = NULL;
    u->service = NULL;
    report_soon(r);
}

void
units_lapse(struct router *r)
{
    r->units_deadline = 0;
    for (struct units *u = TAILQ_FIRST(&r->units); u != NULL;
         u = TAILQ_NEXT(u, in_router)) {
        units_release(r, u);
    }
}

static void
apply_item(struct router *r, int64_t now, const struct unit_grant *item)
{
    struct units *u = map_get(r->pools, item->pool);
    bool refuse;

    if (u == NULL) {
        return;
    }
    refuse =
        u->gone || (u->endpoint != NULL && endpoint_refused(u->endpoint, now));
    u->asked = !refuse && item->units < u->target;
    u->target = refuse ? 0 : item->units;
    u->swapped = 0;
    if (u->held < u->target) {
        set_held(r, u, u->target);
    }
    sink(r, u);
}

/*
 * The leader asks for units that it takes to be idle. In place of one that is
 * in use by now, an idle one of another endpoint goes back at once. When the
 * leader repeats the request, it wants that very unit.
 */
static void
swap_item(struct router *r, const struct unit_grant *item)
{
    struct units *u = map_get(r->pools, item->pool);
    struct heap_node *n;

    if (u == NULL || !u->asked || u->endpoint == NULL) {
        return;
    }
    while (u->held > u->target + u->swapped &&
           (n = heap_min(&u->endpoint->service->open)) != NULL) {
        struct units *idle = NODE_OWNER(struct endpoint, n, rank)->units;

        idle->target = idle->held - 1;
        idle->swapped = 0;
        sink(r, idle);
        u->swapped++;
    }
}

static void
refresh_team_queues(struct router *r, int64_t now)
{
    void *cursor = NULL;
    struct team *t;

    while ((t = map_next(r->teams, &cursor)) != NULL) {
        team_update(r, now, t);
    }
}

/*
 * A grant whose lease has passed, or that a former leader or an earlier
 * message made, must not be applied: the units may be with others by now.
 */
void
router_grants(struct router *r, int64_t now, const struct grants *g,
              struct router_actions *out)
{
    int64_t sent = router_report_sent(r, g->report_seq);
    int64_t deadline = sent + g->lease_ns;

    if (sent == 0 || now >= deadline || g->no.term != r->term ||
        grant_no_cmp(g->no, r->ack) <= 0 || g->report_seq <= r->term_seq) {
        return;
    }
    if (now >= r->units_deadline) {
        units_lapse(r);
    }
    r->ack = g->no;
    if (deadline > r->units_deadline) {
        r->units_deadline = deadline;
    }
    if (g->report_seq > r->report_acked) {
        r->report_acked = g->report_seq;
    }
    bound_answered(r, now, g);
    for (size_t i = 0; i < g->count; i++) {
        apply_item(r, now, &g->items[i]);
    }
    for (size_t i = 0; i < g->count; i++) {
        swap_item(r, &g->items[i]);
    }
    refresh_team_queues(r, now);
    dispatch_all(r, now, out);
}

int64_t
router_report_sent(const struct router *r, uint64_t seq)
{
    if (seq == 0 || seq > r->report_seq ||
        seq + REPORTS_KEPT <= r->report_seq) {
        return 0;
    }
    return r->report_times[seq % REPORTS_KEPT];
}

/* Requests that could run if the service had slots. */
static uint32_t
service_wants(const struct service *s)
{
    void *cursor = NULL;
    const struct queue *q;
    uint32_t parked = s->queued;
    uint32_t waiting = 0;

    while ((q = map_next(s->queues, &cursor)) != NULL) {
        const struct units *u = q->team->units;
        parked -= q->count;
        uint32_t can = q->count;
        if (q->team->limited) {
            uint32_t room = u->held > u->used ? u->held - u->used : 0;
            can = can < room ? can : room;
        }
        waiting += can;
    }
    return s->in_flight + waiting + parked;
}

/* Growth by a fifth is worth a report; less waits for the next one. With a
 * small demand, each request that waits is. */
static bool
grew(uint32_t wants, const struct units *u)
{
    uint32_t told = u->told_wanted;

    return wants > told + (told < GREW_LEAST ? 0 : told / GREW_PART);
}

/* So is a fall: until it is told, other entries wait for idle slots. */
static bool
fell(uint32_t wants, const struct units *u)
{
    return wants + 1 + u->told_wanted / 8 < u->told_wanted;
}

void
demand_changed(struct router *r, const struct service *s)
{
    uint32_t most = s->in_flight + s->queued;

    if (!r->report_urgent &&
        (fell(most, s->demand) ||
         (grew(most, s->demand) && grew(service_wants(s), s->demand)))) {
        report_soon(r);
    }
}

void
team_starving(struct router *r, const struct team *t)
{
    if (t->limited && t->units->used >= t->units->held &&
        grew(t->in_flight + t->runnable, t->units)) {
        report_soon(r);
    }
}

static uint32_t
current_wants(const struct units *u, int64_t now)
{
    if (u->endpoint != NULL) {
        return endpoint_refused(u->endpoint, now) ? 0 : 1;
    }
    if (u->team != NULL) {
        return u->team->limited ? u->team->in_flight + u->team->runnable : 0;
    }
    return u->service == NULL ? 0 : service_wants(u->service);
}

bool
router_pool(const struct router *r, int64_t now, struct str pool,
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
    out->wanted = current_wants(u, now);
    return true;
}

static void
add_item(struct report *out, const struct units *u)
{
    if (out->count == out->cap) {
        out->cap = out->cap == 0 ? 64 : out->cap * 2;
        out->items = mem_realloc(out->items, out->cap, sizeof(*out->items));
    }
    out->items[out->count] =
        (struct unit_report){u->pool, u->held, u->used, u->wanted};
    out->count++;
}

/* Notes what is told; use alone is told at the longer interval only. */
static void
refresh_told(struct router *r, int64_t now, struct units *u)
{
    bool used =
        u->used != u->told_used && now >= u->used_told_at + USED_TOLD_NS;

    u->wanted = current_wants(u, now);
    if (u->held == u->told_held && u->wanted == u->told_wanted && !used) {
        return;
    }
    u->changed_seq = r->report_seq;
    u->told_held = u->held;
    u->told_used = u->used;
    u->told_wanted = u->wanted;
    u->used_told_at = now;
}

static void
report_units(struct router *r, int64_t now, struct report *out)
{
    struct units *next;

    for (struct units *u = TAILQ_FIRST(&r->units); u != NULL; u = next) {
        next = TAILQ_NEXT(u, in_router);
        if (r->draining && u->service == NULL && r->stats.queued == 0) {
            units_release(r, u);
        }
        refresh_told(r, now, u);
        if (u->changed_seq > r->report_acked || out->full) {
            add_item(out, u);
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
        units_lapse(r);
    }
    r->report_seq++;
    r->report_times[r->report_seq % REPORTS_KEPT] = now;
    r->reported_at = now;
    out->term = r->term;
    out->seq = r->report_seq;
    out->ack = r->ack;
    out->up_ns = now - r->started;
    out->full = r->report_acked <= r->term_seq;
    out->leaving = r->draining;
    out->early_ns = bound_report(r, now);
    out->count = 0;
    report_units(r, now, out);
    r->report_urgent = false;
}

int64_t
router_report_due(const struct router *r)
{
    int64_t gap =
        r->report_urgent ? r->config.report_short_ns : r->config.report_ns;

    return r->reported_at == 0 ? r->started : r->reported_at + gap;
}
