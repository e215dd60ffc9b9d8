#include "router.h"

#include "clock.h"
#include "mem.h"
#include "router_int.h"

struct router_config
router_defaults(void)
{
    return (struct router_config){
        .longest_request_ns = 25 * NS_PER_S,
        .default_timeout_ns = 10 * NS_PER_S,
        .queue_max = 8192,
        .queue_bytes_max = 32 << 20,
        .team_queue_max = 4096,
        .max_attempts = 3,
        .retry_percent = 10,
        .retry_burst = 20,
        .eject_failures = 5,
        .eject_ns = NS_PER_S,
        .eject_max_ns = 60 * NS_PER_S,
        .eject_percent = 30,
        .report_ns = 100 * NS_PER_MS,
        .report_short_ns = 3 * NS_PER_MS,
    };
}

#define DEFAULT(field)                                                        \
    do {                                                                      \
        if (c->field == 0) {                                                  \
            c->field = d.field;                                               \
        }                                                                     \
    } while (0)

static void
fill_defaults(struct router_config *c)
{
    struct router_config d = router_defaults();

    DEFAULT(longest_request_ns);
    DEFAULT(default_timeout_ns);
    DEFAULT(queue_max);
    DEFAULT(queue_bytes_max);
    DEFAULT(team_queue_max);
    DEFAULT(max_attempts);
    DEFAULT(retry_percent);
    DEFAULT(retry_burst);
    DEFAULT(eject_failures);
    DEFAULT(eject_ns);
    DEFAULT(eject_max_ns);
    DEFAULT(eject_percent);
    DEFAULT(report_ns);
    DEFAULT(report_short_ns);
    if (c->max_attempts > MAX_TRIED) {
        c->max_attempts = MAX_TRIED;
    }
}

struct router *
router_create(const struct router_config *config, int64_t now)
{
    struct router *r = mem_zalloc(1, sizeof(*r));

    r->config = *config;
    r->config.domain = str_dup(config->domain);
    fill_defaults(&r->config);
    r->run_started_ns = now;
    TAILQ_INIT(&r->units);
    r->services = map_create();
    r->teams = map_create();
    r->endpoints = map_create();
    r->requests = map_create();
    r->keys = map_create();
    r->pools = map_create();
    bound_init(r);
    return r;
}

static void
free_requests(struct router *r)
{
    void *cursor = NULL;
    struct request *req;

    while ((req = map_next(r->requests, &cursor)) != NULL) {
        request_free(r, req);
    }
}

void
router_destroy(struct router *r)
{
    void *cursor = NULL;
    struct endpoint *e;
    struct service *s;
    struct team *t;

    if (r == NULL) {
        return;
    }
    free_requests(r);
    while ((e = map_next(r->endpoints, &cursor)) != NULL) {
        endpoint_destroy(r, e);
    }
    cursor = NULL;
    while ((s = map_next(r->services, &cursor)) != NULL) {
        service_destroy(r, s);
    }
    cursor = NULL;
    while ((t = map_next(r->teams, &cursor)) != NULL) {
        team_destroy(r, t);
    }
    units_destroy_all(r);
    map_destroy(r->services);
    map_destroy(r->teams);
    map_destroy(r->endpoints);
    map_destroy(r->requests);
    map_destroy(r->keys);
    map_destroy(r->pools);
    heap_free(&r->timers);
    heap_free(&r->endpoint_timers);
    str_free(&r->config.domain);
    mem_free(r);
}

/*
 * Addresses reports to the leader of this term: it gets full reports, and
 * grants that answer earlier reports are not applied any more.
 */
static void
set_leader_term(struct router *r, uint64_t term)
{
    if (term < r->term) {
        return;
    }
    r->term = term;
    r->previous_term_seq = r->report_seq;
    expedite_report(r);
}

static void
renew_config_lease(struct router *r, int64_t now, int64_t deadline,
                   struct router_actions *out)
{
    if (deadline > r->config_deadline) {
        r->config_deadline = deadline;
    }
    dispatch_all_services(r, now, out);
}

static void
handle_event(struct router *r, int64_t now, const struct router_event *ev,
             struct router_actions *out)
{
    switch (ev->kind) {
    case ROUTER_CONFIG_LEASE:
        renew_config_lease(r, now, ev->deadline, out);
        break;
    case ROUTER_LEADER:
        set_leader_term(r, ev->term);
        break;
    case ROUTER_TEAM:
        team_apply_config(r, now, &ev->team, out);
        break;
    case ROUTER_TEAM_GONE:
        team_remove(r, ev->team.number, out);
        break;
    case ROUTER_ENDPOINT:
        endpoint_apply_announcement(r, now, &ev->endpoint, out);
        break;
    case ROUTER_ENDPOINT_GONE:
        endpoint_remove(r, ev->endpoint.id);
        break;
    case ROUTER_GRANTS:
        apply_grants(r, now, ev->grants, out);
        break;
    case ROUTER_REQUEST:
        handle_request(r, now, &ev->request, out);
        break;
    case ROUTER_RECORD_COMMITTED:
        handle_record_committed(r, now, ev->id, out);
        break;
    case ROUTER_ATTEMPT_ENDED:
        handle_attempt_end(r, now, &ev->attempt, out);
        break;
    case ROUTER_CALLER_GONE:
        handle_caller_gone(r, ev->id, out);
        break;
    case ROUTER_KEY_WITHDRAWN:
        handle_key_withdrawn(r, ev->key, out);
        break;
    case ROUTER_DRAIN:
        r->draining = true;
        expedite_report(r);
        break;
    case ROUTER_TICK:
        break;
    }
}

/* Handles expired leases and timers, before the event that arrived. */
static void
handle_expirations(struct router *r, int64_t now, struct router_actions *out)
{
    if (r->units_deadline != 0 && now >= r->units_deadline) {
        units_expire_lease(r);
    }
    if (now >= r->config_deadline &&
        r->stats.awaiting_record + r->stats.queued > 0) {
        refuse_unsent_requests(r, NULL, ROUTER_REASON_NO_LEASE, out);
    }
    handle_request_timers(r, now, out);
    handle_endpoint_timers(r, now, out);
}

void
router_step(struct router *r, int64_t now, const struct router_event *event,
            struct router_actions *out)
{
    handle_expirations(r, now, out);
    handle_event(r, now, event, out);
    if (r->sweep_needed) {
        sweep_unused(r);
    }
}

void
router_actions_free(struct router_actions *a)
{
    mem_free(a->items);
    *a = (struct router_actions){0};
}

int64_t
router_next_deadline(const struct router *r)
{
    const struct heap_node *request = heap_min(&r->timers);
    const struct heap_node *endpoint = heap_min(&r->endpoint_timers);
    int64_t next = DEADLINE_NONE;

    if (request != NULL) {
        next = request->key;
    }
    if (endpoint != NULL && endpoint->key < next) {
        next = endpoint->key;
    }
    if (r->stats.awaiting_record + r->stats.queued > 0 &&
        r->config_deadline < next) {
        next = r->config_deadline;
    }
    return next;
}

bool
router_is_idle(const struct router *r)
{
    return map_count(r->requests) == 0;
}

void
router_stats(const struct router *r, struct router_stats *out)
{
    *out = r->stats;
    out->endpoints = (uint32_t)map_count(r->endpoints);
    out->slots_held = 0;
    for (const struct units *u = TAILQ_FIRST(&r->units); u != NULL;
         u = TAILQ_NEXT(u, in_router)) {
        out->slots_held += u->endpoint == NULL ? 0 : u->held;
    }
}
