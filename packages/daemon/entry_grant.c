/*
 * Applies the leader's grants to this entry: configuration, endpoints and
 * units.
 */
#include <inttypes.h>

#include "entry_impl.h"
#include "log.h"
#include "mem.h"

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
        serve_router_event(e, &event);
        number = mem_alloc(sizeof(*number));
        *number = team->number;
        map_put_u64(seen, team->number, number);
        mem_free(map_del_u64(e->teams, team->number));
    }
    cursor = NULL;
    while ((number = map_next(e->teams, &cursor)) != NULL) {
        struct router_event event = {.kind = ROUTER_TEAM_GONE};

        event.team.number = *number;
        serve_router_event(e, &event);
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
        serve_router_event(e, &event);
        mem_free(id);
    }
    map_destroy(e->keys);
    e->keys = seen;
}

/* Returns false if the grant's configuration cannot be applied, or if the
 * version is below that of the grant afterwards. */
static bool
apply_config(struct entry *e, const Wire__EntryGrant *grant)
{
    struct str bytes = {(char *)grant->config.data, grant->config.len};
    uint64_t old_version = confview_version(e->config);

    if (bytes.len == 0) {
        return old_version >= grant->config_version;
    }
    switch (confview_apply(e->config, bytes)) {
    case CONFVIEW_APPLIED:
        apply_teams(e);
        apply_keys(e);
        e->report_now = true;
        break;
    case CONFVIEW_STALE:
        break;
    case CONFVIEW_GAP:
    case CONFVIEW_OTHER_CLUSTER:
    case CONFVIEW_MALFORMED:
        log_write(LOG_LEVEL_ERR,
                  "entry: cannot apply a configuration change to version "
                  "%" PRIu64,
                  old_version);
        return false;
    }
    return confview_version(e->config) >= grant->config_version;
}

static void
send_endpoint_to_router(struct entry *e, const struct known_endpoint *k)
{
    struct router_event event = {.kind = ROUTER_ENDPOINT};

    /* No deadline: the configuration lease limits how long the endpoint is
     * used, because the router sends nothing without that lease. */
    event.endpoint = (struct router_endpoint){
        k->id,          k->service, k->failure_domain, k->slots,
        k->connections, k->leaving, DEADLINE_NONE};
    serve_router_event(e, &event);
}

static void
replace_str(struct str *field, const char *value)
{
    str_free(field);
    *field = str_dup(str_of(value));
}

static void
update_endpoint(struct entry *e, const Wire__Endpoint *w, uint64_t term)
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
        upstream_set_slots(e->control->upstream, str_of(w->address),
                           k->units_held);
    }
    replace_str(&k->service, w->service);
    replace_str(&k->address, w->address);
    replace_str(&k->failure_domain, w->failure_domain);
    k->slots = w->slots;
    k->connections = w->connections;
    k->leaving = w->leaving;
    k->term = term;
    send_endpoint_to_router(e, k);
}

static void
remove_endpoint(struct entry *e, struct str id)
{
    struct router_event event = {.kind = ROUTER_ENDPOINT_GONE};
    struct known_endpoint *k = map_del(e->endpoints, id);

    if (k == NULL) {
        return;
    }
    event.endpoint.id = k->id;
    serve_router_event(e, &event);
    upstream_set_slots(e->control->upstream, k->address, 0);
    entry_endpoint_free(k);
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
remove_unlisted_endpoints(struct entry *e, const Wire__EntryGrant *grant)
{
    struct known_endpoint *k;
    void *cursor = NULL;

    while ((k = map_next(e->endpoints, &cursor)) != NULL) {
        if (k->term == grant->term && !is_listed(grant, k->id)) {
            remove_endpoint(e, k->id);
        }
    }
}

void
entry_remove_old_endpoints(struct entry *e)
{
    struct known_endpoint *k;
    void *cursor = NULL;

    if (e->old_endpoints_deadline > e->control->now) {
        return;
    }
    e->old_endpoints_deadline = DEADLINE_NONE;
    while ((k = map_next(e->endpoints, &cursor)) != NULL) {
        if (k->term != e->endpoints_term) {
            remove_endpoint(e, k->id);
        }
    }
}

static void
apply_endpoints(struct entry *e, const Wire__EntryGrant *grant)
{
    if (grant->endpoints_full) {
        remove_unlisted_endpoints(e, grant);
    }
    else if (e->endpoints_term != grant->term) {
        return;
    }
    for (size_t i = 0; i < grant->n_endpoints; i++) {
        update_endpoint(e, grant->endpoints[i], grant->term);
    }
    for (size_t i = 0; i < grant->n_endpoints_gone; i++) {
        remove_endpoint(e, str_of(grant->endpoints_gone[i]));
    }
    if (e->endpoints_term != grant->term) {
        e->old_endpoints_deadline =
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
                            .early_ns = grant->early_ms * NS_PER_MS,
                            .count = grant->n_units};

    grants.items = mem_zalloc(grant->n_units + 1, sizeof(*grants.items));
    for (size_t i = 0; i < grant->n_units; i++) {
        struct str pool = str_of(grant->units[i]->pool);

        grants.items[i] = (struct unit_grant){pool, grant->units[i]->units};
        if (str_starts(pool, STR(POOL_ENDPOINT))) {
            struct known_endpoint *k =
                map_get(e->endpoints, str_from(pool.ptr + 2, pool.len - 2));

            if (k != NULL) {
                k->units_held = grant->units[i]->units;
                upstream_set_slots(e->control->upstream, k->address,
                                   k->units_held);
            }
        }
    }
    event.grants = &grants;
    serve_router_event(e, &event);
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
    serve_router_event(e, &event);
}

static void
update_readiness(struct entry *e, const Wire__EntryGrant *grant)
{
    const struct settings *s = e->control->settings;
    const struct readiness_grant g = {
        .report_seq = grant->report_seq,
        .last_report_seq = e->report_seq,
        .endpoints_complete = grant->endpoints_complete,
        .deadline = e->control->now +
                    (s->endpoint_lease_ms + s->config_lease_ms) * NS_PER_MS,
    };

    if (readiness_handle_grant(&e->readiness, &g)) {
        e->report_now = true;
    }
}

void
entry_handle_grant(struct entry *e, const Wire__EntryGrant *grant)
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
        serve_router_event(e, &restart);
        e->report_now = true;
        return;
    }
    entry_set_leader_protocol(e, grant->typed);
    if (!apply_config(e, grant)) {
        return;
    }
    apply_endpoints(e, grant);
    apply_units(e, grant);
    renew_config_lease(e, grant);
    update_readiness(e, grant);
    if (grant->drain) {
        control_drain(e->control);
    }
}
