/*
 * Fills the leader's grants to entries and sends them when they are due.
 */
#include "entries_impl.h"
#include "mem.h"

static void
fill_config(const struct leader *l, const struct entry_record *e,
            struct buf *bytes, Wire__EntryGrant *grant)
{
    const struct state *state = leader_state(l);

    grant->config_version = state_config_version(state);
    if (e->config_version < grant->config_version) {
        state_config_since(state, e->config_version, bytes);
        grant->config.data = (uint8_t *)bytes->ptr;
        grant->config.len = bytes->len;
    }
}

static void
fill_endpoints(const struct leader *l, const struct entry_record *e,
               struct endpoint_changes *changes, Wire__EntryGrant *grant)
{
    bool full =
        e->endpoints_seq == 0 || e->endpoints_seq < l->removals_dropped_seq;

    endpoints_collect_changes(l, e->endpoints_seq, full, changes);
    grant->endpoints_full = full;
    grant->endpoints_seq = l->endpoint_seq;
    grant->endpoints_complete = l->control->now >= l->endpoints_complete_at;
    grant->n_endpoints = changes->count;
    grant->endpoints = changes->pointers;
    grant->n_endpoints_gone = changes->removed_count;
    grant->endpoints_gone = changes->removed;
}

struct unit_list {
    Wire__UnitGrant *list;
    Wire__UnitGrant **pointers;
};

static void
fill_units(const struct grants *grants, struct unit_list *units,
           Wire__EntryGrant *grant)
{
    units->list = mem_zalloc(grants->count + 1, sizeof(*units->list));
    units->pointers = mem_zalloc(grants->count + 1, sizeof(*units->pointers));
    for (size_t i = 0; i < grants->count; i++) {
        Wire__UnitGrant *u = &units->list[i];

        wire__unit_grant__init(u);
        u->pool = (char *)grants->items[i].pool.ptr;
        u->units = grants->items[i].units;
        units->pointers[i] = u;
    }
    grant->n_units = grants->count;
    grant->units = units->pointers;
    grant->term = grants->no.term;
    grant->seq = grants->no.seq;
    grant->report_seq = grants->report_seq;
    grant->unit_lease_ms = grants->lease_ns / NS_PER_MS;
    grant->early_ms = grants->early_ns / NS_PER_MS;
}

bool
entries_send_grant(struct leader *l, struct entry_record *e)
{
    const struct state_vm *vm = state_vm(leader_state(l), e->vm);
    uint32_t lease_ms = l->control->settings->config_lease_ms;
    struct link *to = control_find_link_by_id(l->control, e->link_id);
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntryGrant grant = WIRE__ENTRY_GRANT__INIT;
    struct endpoint_changes changes = {0};
    struct unit_list units = {0};
    struct grants grants = {0};
    struct buf config = {0};

    if (to == NULL || !replica_leads(l->replica) ||
        !ledger_fill_grants(l->ledger, l->control->now, e->run, &grants)) {
        return false;
    }
    fill_units(&grants, &units, &grant);
    fill_config(l, e, &config, &grant);
    fill_endpoints(l, e, &changes, &grant);
    grant.config_lease_ms = lease_ms;
    grant.typed = true;
    grant.drain = vm != NULL && vm->draining;
    e->lease_end = leader_lease_end(l, lease_ms);
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_GRANT;
    envelope.entry_grant = &grant;
    link_send(to, &envelope);
    endpoint_changes_free(&changes);
    grants_free(&grants);
    mem_free(units.list);
    mem_free(units.pointers);
    buf_free(&config);
    return true;
}

/* Sends a message that grants nothing and carries only flags. */
static void
send_flags(const struct leader *l, struct link *to, bool restart, bool left)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntryGrant grant = WIRE__ENTRY_GRANT__INIT;

    grant.term = l->term;
    grant.restart = restart;
    grant.left = left;
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_GRANT;
    envelope.entry_grant = &grant;
    link_send(to, &envelope);
}

void
entries_send_restart(const struct leader *l, struct link *to)
{
    send_flags(l, to, true, false);
}

void
entries_send_left(const struct leader *l, struct link *to)
{
    send_flags(l, to, false, true);
}

void
entries_send_config(struct leader *l)
{
    uint64_t version = state_config_version(leader_state(l));
    struct entry_record *e;
    void *cursor = NULL;

    l->sent_config_version = version;
    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (e->run != 0 && e->config_version < version) {
            entries_send_grant(l, e);
        }
    }
}

static void
send_endpoints(struct leader *l)
{
    struct entry_record *e;
    void *cursor = NULL;

    if (l->sent_endpoint_seq == l->endpoint_seq) {
        return;
    }
    l->sent_endpoint_seq = l->endpoint_seq;
    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (e->run != 0) {
            entries_send_grant(l, e);
        }
    }
}

static struct entry_record *
find_by_run(const struct leader *l, uint64_t run)
{
    struct entry_record *e;
    void *cursor = NULL;

    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (e->run == run) {
            return e;
        }
    }
    return NULL;
}

void
entries_step(struct leader *l)
{
    uint64_t run;

    if (!replica_leads(l->replica)) {
        return;
    }
    ledger_tick(l->ledger, l->control->now);
    if (state_config_version(leader_state(l)) != l->sent_config_version) {
        control_update_pools(l->control);
        entries_send_config(l);
    }
    send_endpoints(l);
    entries_confirm_promises(l);
    while (ledger_due(l->ledger, l->control->now, &run)) {
        struct entry_record *e = find_by_run(l, run);
        struct grants unsent = {0};

        if (e != NULL &&
            control_find_link_by_id(l->control, e->link_id) != NULL) {
            if (!entries_send_grant(l, e)) {
                /* The leader's lease has just ended. The entry stays due, so
                 * another pass would fail as well. */
                return;
            }
        }
        else {
            /* Not connected: the grant counts as lost, and the ledger repeats
             * it later. */
            ledger_fill_grants(l->ledger, l->control->now, run, &unsent);
            grants_free(&unsent);
        }
    }
}
