/*
 * The leader's table of endpoints: handles announcements and collects changes
 * for entries. The announce package keeps the endpoints' leases.
 */
#include "endpoint.h"
#include "leader_impl.h"
#include "log.h"
#include "mem.h"

enum {
    /* Removals that are kept. An entry that missed older ones gets the whole
     * table. */
    REMOVALS_MAX = 10000,
};

static void
record_free(struct endpoint_record *e)
{
    str_free(&e->id);
    str_free(&e->service);
    str_free(&e->address);
    str_free(&e->failure_domain);
    mem_free(e);
}

static void
drop_oldest_removal(struct leader *l)
{
    struct endpoint_removal *g = l->removal_first;

    l->removal_first = g->next;
    if (l->removal_first == NULL) {
        l->removal_last = NULL;
    }
    l->removals_dropped_seq = g->changed_seq;
    l->removal_count--;
    str_free(&g->id);
    mem_free(g);
}

void
endpoints_create(struct leader *l)
{
    const struct settings *s = l->control->settings;
    int64_t end = leader_lease_end(l, s->endpoint_lease_ms);
    struct announce_table_config config = {
        .lease_ns = s->endpoint_lease_ms * NS_PER_MS, .term = l->term};

    config.margin_ns = end - l->control->now - config.lease_ns;
    l->announced = announce_table_create(&config);
    l->endpoints = map_create();
    l->endpoints_complete_at = l->control->now + config.lease_ns;
}

void
endpoints_destroy(struct leader *l)
{
    struct endpoint_record *e;
    void *cursor = NULL;

    while ((e = map_next(l->endpoints, &cursor)) != NULL) {
        record_free(e);
    }
    while (l->removal_first != NULL) {
        drop_oldest_removal(l);
    }
    map_destroy(l->endpoints);
    announce_table_destroy(l->announced);
}

static void
append_pool_name(struct buf *out, struct str id)
{
    buf_printf(out, POOL_ENDPOINT "%.*s", STR_ARG(id));
}

/* A request needs a connection as well as a slot. */
static uint32_t
capacity_of(const struct endpoint_record *e)
{
    if (e->leaving) {
        return 0;
    }
    return e->slots < e->connections ? e->slots : e->connections;
}

static void
update_pool(struct leader *l, const struct endpoint_record *e)
{
    struct buf pool = {0};

    append_pool_name(&pool, e->id);
    ledger_pool_set(l->ledger, l->control->now, buf_str(&pool), e->service,
                    e->failure_domain, capacity_of(e));
    buf_free(&pool);
}

static void
remove_record(struct leader *l, struct endpoint_record *e)
{
    struct endpoint_removal *g = mem_zalloc(1, sizeof(*g));
    struct buf pool = {0};

    append_pool_name(&pool, e->id);
    ledger_pool_remove(l->ledger, l->control->now, buf_str(&pool));
    buf_free(&pool);
    g->id = str_dup(e->id);
    g->changed_seq = ++l->endpoint_seq;
    if (l->removal_last == NULL) {
        l->removal_first = g;
    }
    else {
        l->removal_last->next = g;
    }
    l->removal_last = g;
    if (++l->removal_count > REMOVALS_MAX) {
        drop_oldest_removal(l);
    }
    map_del(l->endpoints, e->id);
    record_free(e);
}

static bool
update_record(struct endpoint_record *e, const struct endpoint *in)
{
    bool leaving = in->state == ENDPOINT_LEAVING;
    bool changed = str_replace(&e->service, in->service);

    changed = str_replace(&e->address, in->address) || changed;
    changed = str_replace(&e->failure_domain, in->failure_domain) || changed;
    changed = changed || e->slots != in->slots ||
              e->connections != in->connections || e->leaving != leaving;
    e->slots = in->slots;
    e->connections = in->connections;
    e->leaving = leaving;
    return changed;
}

static void
fail_superseded(struct call *call)
{
    call_fail(call, 409, "superseded", "",
              "a later announcement was received by another entry");
}

void
api_endpoint_put(struct call *call)
{
    struct leader *l = call->leader;
    struct endpoint_answer answer = {
        .lease_ms = l->control->settings->endpoint_lease_ms};
    struct str id = str_of(call->match.param);
    struct endpoint_record *e = map_get(l->endpoints, id);
    struct api_error error;
    struct endpoint in = {0};
    struct announce_put put = {.id = id,
                               .key = call->key_id,
                               .run = call->run,
                               .group = call->group,
                               .when = call->arrived};
    struct buf body = {0};

    call->doc = endpoint_parse(call->body, &in, &error);
    if (call->doc == NULL) {
        call_fail_api(call, &error);
        return;
    }
    if (announce_table_put(l->announced, clock_now(), &put, &call->claim) ==
        ANNOUNCE_OUTDATED) {
        fail_superseded(call);
        return;
    }
    if (e == NULL) {
        e = mem_zalloc(1, sizeof(*e));
        e->id = str_dup(id);
        map_put(l->endpoints, id, e);
    }
    if (update_record(e, &in)) {
        e->changed_seq = ++l->endpoint_seq;
        update_pool(l, e);
    }
    endpoint_answer_render(&answer, &body);
    call_respond(call, 200, &body);
}

void
api_endpoint_delete(struct call *call)
{
    struct leader *l = call->leader;
    struct endpoint_record *e =
        map_get(l->endpoints, str_of(call->match.param));
    struct buf body = {0};

    if (e == NULL) {
        call_fail(call, 404, "not_found", "", "no such endpoint");
        return;
    }
    if (announce_table_delete(l->announced, clock_now(), e->id,
                              call->arrived) == ANNOUNCE_OUTDATED) {
        fail_superseded(call);
        return;
    }
    remove_record(l, e);
    buf_printf(&body, "{}");
    call_respond(call, 200, &body);
}

void
endpoints_step(struct leader *l)
{
    struct str id;

    while (announce_table_remove_expired(l->announced, l->control->now, &id)) {
        struct endpoint_record *e = map_get(l->endpoints, id);

        log_write(LOG_LEVEL_NOTICE, "endpoint: the lease of %.*s has expired",
                  STR_ARG(id));
        if (e != NULL) {
            remove_record(l, e);
        }
        str_free(&id);
    }
}

void
endpoints_revoke_key(struct leader *l, uint64_t key_id)
{
    announce_table_revoke_key(l->announced, key_id);
}

static void
add_change(struct endpoint_changes *out, const struct endpoint_record *e)
{
    Wire__Endpoint *w = &out->list[out->count];

    wire__endpoint__init(w);
    /* The strings come from str_dup and end in a NUL byte. */
    w->id = (char *)e->id.ptr;
    w->service = (char *)e->service.ptr;
    w->address = (char *)e->address.ptr;
    w->failure_domain = (char *)e->failure_domain.ptr;
    w->slots = e->slots;
    w->connections = e->connections;
    w->leaving = e->leaving;
    out->pointers[out->count] = w;
    out->count++;
}

void
endpoints_collect_changes(const struct leader *l, uint64_t seq, bool full,
                          struct endpoint_changes *out)
{
    size_t total = map_count(l->endpoints);
    const struct endpoint_record *e;
    void *cursor = NULL;

    *out = (struct endpoint_changes){0};
    if (!full && seq == l->endpoint_seq) {
        return;
    }
    out->list = mem_zalloc(total + 1, sizeof(*out->list));
    out->pointers = mem_zalloc(total + 1, sizeof(*out->pointers));
    while ((e = map_next(l->endpoints, &cursor)) != NULL) {
        if (full || e->changed_seq > seq) {
            add_change(out, e);
        }
    }
    if (full) {
        return;
    }
    out->removed = mem_zalloc(l->removal_count + 1, sizeof(*out->removed));
    for (const struct endpoint_removal *g = l->removal_first; g != NULL;
         g = g->next) {
        if (g->changed_seq > seq && map_get(l->endpoints, g->id) == NULL) {
            out->removed[out->removed_count++] = (char *)g->id.ptr;
        }
    }
}

void
endpoint_changes_free(struct endpoint_changes *c)
{
    mem_free(c->list);
    mem_free(c->pointers);
    mem_free(c->removed);
}
