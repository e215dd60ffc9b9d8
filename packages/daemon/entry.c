#include "entry.h"

#include <inttypes.h>
#include <string.h>

#include <sodium.h>

#include "caller.h"
#include "counter.h"
#include "endpoint.h"
#include "entry_impl.h"
#include "log.h"
#include "mem.h"
#include "operator.h"
#include "platform.h"
#include "worker.h"

enum {
    SWEEP_MS = 50,
    LEAVE_REPEAT_MS = 50,
};

static const struct api_table *const tables[] = {
    &caller_routes, &endpoint_routes, &worker_routes, &operator_routes,
    &platform_routes};

struct entry *
entry_create(struct control *c)
{
    struct entry *e = mem_zalloc(1, sizeof(*e));
    struct router_config config = router_defaults();

    config.domain = c->settings->failure_domain;
    config.seed = c->run;
    config.longest_request_ns = c->settings->longest_request_ms * NS_PER_MS;
    config.default_timeout_ns = config.longest_request_ns;
    e->control = c;
    e->started = c->now;
    e->next_id = 1;
    e->old_endpoints_end = DEADLINE_NONE;
    e->config = confview_create();
    e->router = router_create(&config, c->now);
    e->endpoints = map_create();
    e->teams = map_create();
    e->keys = map_create();
    e->forwards = map_create();
    e->requests = map_create();
    e->marks = map_create();
    e->messages = map_create();
    e->attempts = map_create();
    return e;
}

static void
endpoint_free(struct known_endpoint *k)
{
    str_free(&k->id);
    str_free(&k->service);
    str_free(&k->address);
    str_free(&k->failure_domain);
    mem_free(k);
}

static void
numbers_free(struct map *numbers)
{
    void *cursor = NULL;
    void *number;

    while ((number = map_next(numbers, &cursor)) != NULL) {
        mem_free(number);
    }
    map_destroy(numbers);
}

void
entry_destroy(struct entry *e)
{
    struct known_endpoint *k;
    void *cursor = NULL;

    if (e == NULL) {
        return;
    }
    forward_destroy(e);
    serve_destroy(e);
    while ((k = map_next(e->endpoints, &cursor)) != NULL) {
        endpoint_free(k);
    }
    map_destroy(e->endpoints);
    numbers_free(e->teams);
    numbers_free(e->keys);
    router_actions_free(&e->actions);
    router_destroy(e->router);
    confview_destroy(e->config);
    str_free(&e->leader_vm);
    mem_free(e);
}

bool
entry_ready(const struct entry *e)
{
    return e->config_deadline > clock_now();
}

/* ---- HTTP calls ---- */

void
front_refuse(struct front_call *call, int status, const char *code,
             const char *message, const char *outcome, int retry_after_s)
{
    struct front_response response = {.status = status};
    struct api_error error;
    struct buf text = {0};

    api_fail(&error, status, code, "", "%s", message);
    api_error_render(&error, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    http_headers_add(&response.headers, STR("Guavarock-Outcome"),
                     str_of(outcome));
    if (retry_after_s > 0) {
        buf_printf(&text, "%d", retry_after_s);
        http_headers_add(&response.headers, STR("Retry-After"),
                         buf_str(&text));
        buf_free(&text);
    }
    front_respond(call, &response);
}

void
key_hash(struct str key, uint8_t hash[STATE_HASH_BYTES])
{
    crypto_generichash(hash, STATE_HASH_BYTES, (const unsigned char *)key.ptr,
                       key.len, NULL, 0);
}

static void
respond_probe(struct front_call *call, bool ok, const char *reason)
{
    struct front_response response = {.status = ok ? 200 : 503};
    struct platform_probe probe = {ok, ok ? (struct str){NULL, 0}
                                          : str_of(reason)};

    platform_probe_render(&probe, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    front_respond(call, &response);
}

static void
respond_ready(struct entry *e, struct front_call *call)
{
    if (e->control->drain != DRAIN_NONE) {
        respond_probe(call, false, "draining");
    }
    else {
        respond_probe(call, entry_ready(e), "no configuration lease");
    }
}

static void
gauge(const char *name, const char *help, uint64_t value)
{
    counter_set(counter_get(COUNTER_GAUGE, name, help), value);
}

static void
refresh_gauges(const struct entry *e)
{
    struct router_stats stats;

    router_stats(e->router, &stats);
    gauge("guavarock_requests_queued", "Requests that wait for a slot.",
          stats.queued);
    gauge("guavarock_requests_in_flight", "Requests at endpoints.",
          stats.in_flight);
    gauge("guavarock_slots_held", "Endpoint slots leased to this entry.",
          stats.slots_held);
    gauge("guavarock_endpoints", "Endpoints known.", stats.endpoints);
    gauge("guavarock_endpoints_ejected", "Endpoints ejected here.",
          stats.ejected);
    gauge("guavarock_requests_sent", "Attempts sent to endpoints.",
          stats.sent);
    gauge("guavarock_request_retries", "Attempts after the first.",
          stats.retries);
    gauge("guavarock_requests_refused", "Requests refused as not-run.",
          stats.refused);
    gauge("guavarock_requests_failed", "Requests with an unknown outcome.",
          stats.failed);
    gauge("guavarock_requests_completed", "Requests answered.",
          stats.completed);
    gauge("guavarock_config_version", "Configuration version applied.",
          confview_version(e->config));
    gauge("guavarock_config_lease", "1 while the configuration lease lasts.",
          entry_ready(e));
    gauge("guavarock_leading", "1 while this process leads.",
          e->control->leader != NULL);
}

static void
respond_metrics(struct entry *e, struct front_call *call)
{
    struct front_response response = {.status = 200};

    refresh_gauges(e);
    counter_render(&response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR(PLATFORM_METRICS_TYPE));
    front_respond(call, &response);
}

static void
refuse_unmatched(struct front_call *call, const struct api_match *match,
                 const struct api_error *error)
{
    struct front_response response = {.status = error->status};

    api_error_render(error, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    http_headers_add(&response.headers, STR("Guavarock-Outcome"),
                     STR("not-run"));
    if (error->status == 405) {
        http_headers_add(&response.headers, STR("Allow"),
                         str_of(match->allow));
    }
    front_respond(call, &response);
}

static void
handle_call(struct entry *e, struct front_call *call)
{
    struct api_match match = {0};
    struct api_error error;

    if (!api_match(tables, sizeof(tables) / sizeof(tables[0]), call->method,
                   call->path, &match, &error)) {
        refuse_unmatched(call, &match, &error);
        return;
    }
    switch (match.route) {
    case API_SERVICE_CALL:
        serve_call(e, call, str_of(match.param), match.rest);
        break;
    case API_LIVE:
        respond_probe(call, true, "");
        break;
    case API_READY:
        respond_ready(e, call);
        break;
    case API_METRICS:
        respond_metrics(e, call);
        break;
    default:
        forward_call(e, call);
    }
}

void
entry_front_item(struct entry *e, struct front_item *item)
{
    switch (item->kind) {
    case FRONT_ITEM_CALL:
        handle_call(e, item->call);
        break;
    case FRONT_ITEM_GONE:
        serve_gone(e, item->call);
        break;
    }
    front_item_release(item);
}

/* ---- Leader and reports ---- */

struct link *
entry_leader_link(const struct entry *e)
{
    if (e->leader_vm.len == 0) {
        return NULL;
    }
    return control_link(e->control, e->leader_vm);
}

void
entry_leader_hint(struct entry *e, const Wire__Leader *hint)
{
    struct str vm = str_of(hint->vm);
    struct router_event event = {.kind = ROUTER_LEADER};

    if (hint->term < e->leader_term || vm.len == 0 ||
        (hint->term == e->leader_term && str_eq(vm, e->leader_vm))) {
        return;
    }
    str_free(&e->leader_vm);
    e->leader_vm = str_dup(vm);
    e->leader_term = hint->term;
    e->endpoints_seq = 0;
    event.term = hint->term;
    serve_event(e, &event);
    e->report_now = 1;
    forward_step(e);
    serve_step(e);
}

struct sync_space {
    Wire__UnitReport *list;
    Wire__UnitReport **pointers;
    struct buf names;
};

static void
fill_units(const struct report *report, struct sync_space *space,
           Wire__EntrySync *sync)
{
    size_t bytes = 0;

    for (size_t i = 0; i < report->count; i++) {
        bytes += report->items[i].pool.len + 1;
    }
    buf_reserve(&space->names, bytes + 1);
    space->list = mem_zalloc(report->count + 1, sizeof(*space->list));
    space->pointers = mem_zalloc(report->count + 1, sizeof(*space->pointers));
    for (size_t i = 0; i < report->count; i++) {
        Wire__UnitReport *u = &space->list[i];

        wire__unit_report__init(u);
        u->pool = space->names.ptr + space->names.len;
        buf_append_str(&space->names, report->items[i].pool);
        buf_append(&space->names, "", 1);
        u->held = report->items[i].held;
        u->used = report->items[i].used;
        u->wanted = report->items[i].wanted;
        space->pointers[i] = u;
    }
    sync->n_units = report->count;
    sync->units = space->pointers;
}

static void
send_report(struct entry *e, struct link *to)
{
    const struct settings *s = e->control->settings;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntrySync sync = WIRE__ENTRY_SYNC__INIT;
    struct sync_space space = {0};
    struct report report = {0};
    struct str vm = str_dup(s->vm);
    struct str domain = str_dup(s->failure_domain);
    struct str address = str_dup(s->listen);

    router_report(e->router, e->control->now, &report);
    fill_units(&report, &space, &sync);
    sync.term = report.term;
    sync.seq = report.seq;
    sync.ack_term = report.ack.term;
    sync.ack_seq = report.ack.seq;
    sync.up_ms = report.up_ns / NS_PER_MS;
    sync.draining = report.leaving;
    sync.full = report.full;
    sync.left = e->left;
    sync.config_version = confview_version(e->config);
    sync.endpoints_term = e->endpoints_term;
    sync.endpoints_seq = e->endpoints_seq;
    sync.vm = (char *)vm.ptr;
    sync.failure_domain = (char *)domain.ptr;
    sync.address = (char *)address.ptr;
    sync.run = e->control->run;
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_SYNC;
    envelope.entry_sync = &sync;
    link_send(to, &envelope);
    report_free(&report);
    str_free(&vm);
    str_free(&domain);
    str_free(&address);
    mem_free(space.list);
    mem_free(space.pointers);
    buf_free(&space.names);
}

/* ---- Grants ---- */

static void
apply_teams(struct entry *e)
{
    const struct confview_team *team;
    void *cursor = NULL;
    struct map *seen = map_create();
    uint32_t *number;

    while ((team = confview_team_next(e->config, &cursor)) != NULL) {
        struct router_event event = {.kind = ROUTER_TEAM};

        event.team = (struct router_team){
            team->number, team->weight == 0 ? 1 : team->weight,
            team->limit.requests != STATE_UNLIMITED};
        serve_event(e, &event);
        number = mem_alloc(sizeof(*number));
        *number = team->number;
        map_put_u64(seen, team->number, number);
        mem_free(map_del_u64(e->teams, team->number));
    }
    cursor = NULL;
    while ((number = map_next(e->teams, &cursor)) != NULL) {
        struct router_event event = {.kind = ROUTER_TEAM_GONE};

        event.team.number = *number;
        serve_event(e, &event);
        mem_free(number);
    }
    map_destroy(e->teams);
    e->teams = seen;
}

static void
apply_keys(struct entry *e)
{
    const struct confview_key *key;
    struct map *seen = map_create();
    uint64_t *id;
    void *cursor = NULL;

    while ((key = confview_key_next(e->config, &cursor)) != NULL) {
        id = map_del_u64(e->keys, key->id);
        if (id == NULL) {
            id = mem_alloc(sizeof(*id));
            *id = key->id;
        }
        map_put_u64(seen, key->id, id);
    }
    cursor = NULL;
    while ((id = map_next(e->keys, &cursor)) != NULL) {
        struct router_event event = {.kind = ROUTER_KEY_WITHDRAWN};

        event.key = *id;
        serve_event(e, &event);
        mem_free(id);
    }
    map_destroy(e->keys);
    e->keys = seen;
}

/* Returns false when the entry cannot use the grant. */
static bool
apply_config(struct entry *e, const Wire__EntryGrant *grant)
{
    struct str bytes = {(char *)grant->config.data, grant->config.len};
    uint64_t before = confview_version(e->config);

    if (bytes.len == 0) {
        return before >= grant->config_version;
    }
    switch (confview_apply(e->config, bytes)) {
    case CONFVIEW_APPLIED:
        apply_teams(e);
        apply_keys(e);
        e->report_now = 1;
        break;
    case CONFVIEW_STALE:
        break;
    case CONFVIEW_GAP:
    case CONFVIEW_OTHER:
    case CONFVIEW_MALFORMED:
        log_write(LOG_LEVEL_ERR,
                  "entry: a configuration change does not fit version "
                  "%" PRIu64,
                  before);
        return false;
    }
    return confview_version(e->config) >= grant->config_version;
}

static void
tell_endpoint(struct entry *e, const struct known_endpoint *k)
{
    struct router_event event = {.kind = ROUTER_ENDPOINT};

    /* The configuration lease bounds how long this is used: a router without
     * it sends nothing. */
    event.endpoint = (struct router_endpoint){
        k->id,          k->service, k->failure_domain, k->slots,
        k->connections, k->leaving, DEADLINE_NONE};
    serve_event(e, &event);
}

static void
replace(struct str *field, const char *value)
{
    str_free(field);
    *field = str_dup(str_of(value));
}

static void
take_endpoint(struct entry *e, const Wire__Endpoint *w, uint64_t term)
{
    struct str id = str_of(w->id);
    struct known_endpoint *k = map_get(e->endpoints, id);

    if (k == NULL) {
        k = mem_zalloc(1, sizeof(*k));
        k->id = str_dup(id);
        map_put(e->endpoints, id, k);
    }
    if (!str_eq(k->address, str_of(w->address)) && k->address.len != 0) {
        upstream_set_slots(e->control->upstream, k->address, 0);
        upstream_set_slots(e->control->upstream, str_of(w->address), k->held);
    }
    replace(&k->service, w->service);
    replace(&k->address, w->address);
    replace(&k->failure_domain, w->failure_domain);
    k->slots = w->slots;
    k->connections = w->connections;
    k->leaving = w->leaving;
    k->term = term;
    tell_endpoint(e, k);
}

static void
drop_endpoint(struct entry *e, struct str id)
{
    struct router_event event = {.kind = ROUTER_ENDPOINT_GONE};
    struct known_endpoint *k = map_del(e->endpoints, id);

    if (k == NULL) {
        return;
    }
    event.endpoint.id = k->id;
    serve_event(e, &event);
    upstream_set_slots(e->control->upstream, k->address, 0);
    endpoint_free(k);
}

static bool
is_listed(const Wire__EntryGrant *grant, struct str id)
{
    for (size_t i = 0; i < grant->n_endpoints; i++) {
        if (str_eq(str_of(grant->endpoints[i]->id), id)) {
            return true;
        }
    }
    return false;
}

static void
drop_unlisted(struct entry *e, const Wire__EntryGrant *grant)
{
    struct known_endpoint *k;
    void *cursor = NULL;

    while ((k = map_next(e->endpoints, &cursor)) != NULL) {
        if (k->term == grant->term && !is_listed(grant, k->id)) {
            drop_endpoint(e, k->id);
        }
    }
}

/*
 * Endpoints announce themselves to a new leader within their lease. Until
 * then those that its predecessor told of stay in use.
 */
static void
drop_old_endpoints(struct entry *e)
{
    struct known_endpoint *k;
    void *cursor = NULL;

    if (e->old_endpoints_end > e->control->now) {
        return;
    }
    e->old_endpoints_end = DEADLINE_NONE;
    while ((k = map_next(e->endpoints, &cursor)) != NULL) {
        if (k->term != e->endpoints_term) {
            drop_endpoint(e, k->id);
        }
    }
}

static void
apply_endpoints(struct entry *e, const Wire__EntryGrant *grant)
{
    if (grant->endpoints_full) {
        drop_unlisted(e, grant);
    }
    else if (e->endpoints_term != grant->term) {
        return;
    }
    for (size_t i = 0; i < grant->n_endpoints; i++) {
        take_endpoint(e, grant->endpoints[i], grant->term);
    }
    for (size_t i = 0; i < grant->n_endpoints_gone; i++) {
        drop_endpoint(e, str_of(grant->endpoints_gone[i]));
    }
    if (e->endpoints_term != grant->term) {
        e->old_endpoints_end =
            e->control->now +
            e->control->settings->endpoint_lease_ms * NS_PER_MS;
    }
    e->endpoints_term = grant->term;
    e->endpoints_seq = grant->endpoints_seq;
}

static void
apply_units(struct entry *e, const Wire__EntryGrant *grant)
{
    struct router_event event = {.kind = ROUTER_GRANTS};
    struct grants grants = {.no = {grant->term, grant->seq},
                            .report_seq = grant->report_seq,
                            .lease_ns = grant->unit_lease_ms * NS_PER_MS,
                            .count = grant->n_units};

    grants.items = mem_zalloc(grant->n_units + 1, sizeof(*grants.items));
    for (size_t i = 0; i < grant->n_units; i++) {
        struct str pool = str_of(grant->units[i]->pool);

        grants.items[i] = (struct unit_grant){pool, grant->units[i]->units};
        if (str_starts(pool, STR(POOL_ENDPOINT))) {
            struct known_endpoint *k =
                map_get(e->endpoints, str_from(pool.ptr + 2, pool.len - 2));

            if (k != NULL) {
                k->held = grant->units[i]->units;
                upstream_set_slots(e->control->upstream, k->address, k->held);
            }
        }
    }
    event.grants = &grants;
    serve_event(e, &event);
    mem_free(grants.items);
}

static void
renew_config_lease(struct entry *e, const Wire__EntryGrant *grant)
{
    struct router_event event = {.kind = ROUTER_CONFIG_LEASE};
    int64_t sent = router_report_sent(e->router, grant->report_seq);
    int64_t deadline = sent + grant->config_lease_ms * NS_PER_MS;

    if (sent == 0 || deadline <= e->config_deadline) {
        return;
    }
    e->config_deadline = deadline;
    event.deadline = deadline;
    serve_event(e, &event);
}

void
entry_grant(struct entry *e, const Wire__EntryGrant *grant)
{
    struct router_event restart = {.kind = ROUTER_LEADER};

    if (grant->term != e->leader_term) {
        return;
    }
    if (grant->left) {
        e->left_recorded = e->left;
        return;
    }
    if (grant->restart) {
        restart.term = grant->term;
        serve_event(e, &restart);
        e->report_now = 1;
        return;
    }
    if (!apply_config(e, grant)) {
        return;
    }
    apply_endpoints(e, grant);
    apply_units(e, grant);
    renew_config_lease(e, grant);
    if (grant->drain) {
        control_drain(e->control);
    }
}

/* ---- Links, time, drain ---- */

void
entry_link_down(struct entry *e, const struct link *l)
{
    forward_link_down(e, l);
    serve_link_down(e, l);
}

void
entry_step(struct entry *e)
{
    struct router_event tick = {.kind = ROUTER_TICK};
    struct link *leader = entry_leader_link(e);
    int64_t now = e->control->now;

    if (router_next_deadline(e->router) <= now) {
        serve_event(e, &tick);
    }
    if (leader != NULL &&
        (e->report_now != 0 || router_report_due(e->router) <= now)) {
        e->report_now = 0;
        send_report(e, leader);
    }
    if (e->sweep_due <= now) {
        e->sweep_due = now + SWEEP_MS * NS_PER_MS;
        drop_old_endpoints(e);
        forward_step(e);
        serve_step(e);
    }
}

int64_t
entry_next_deadline(const struct entry *e)
{
    int64_t deadline = e->sweep_due;
    int64_t router = router_next_deadline(e->router);
    int64_t report = router_report_due(e->router);

    if (router < deadline) {
        deadline = router;
    }
    if (report < deadline && entry_leader_link(e) != NULL) {
        deadline = report;
    }
    return deadline;
}

void
entry_drain(struct entry *e)
{
    struct router_event event = {.kind = ROUTER_DRAIN};

    if (!e->draining) {
        e->draining = true;
        serve_event(e, &event);
        e->report_now = 1;
    }
}

bool
entry_leave(struct entry *e)
{
    if (!e->left || e->leave_due <= e->control->now) {
        e->left = true;
        e->report_now = 1;
        e->leave_due = e->control->now + LEAVE_REPEAT_MS * NS_PER_MS;
    }
    return e->left_recorded;
}

bool
entry_idle(const struct entry *e)
{
    return map_count(e->requests) == 0 && map_count(e->forwards) == 0 &&
           map_count(e->attempts) == 0 && router_idle(e->router);
}
