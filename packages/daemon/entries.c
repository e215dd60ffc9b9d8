/*
 * The leader's records of entries, and the handling of their reports.
 */
#include "entries_impl.h"
#include "mem.h"

static struct entry_record *
entry_record_get(struct leader *l, struct str vm)
{
    struct entry_record *e = map_get(l->entries, vm);

    if (e == NULL) {
        e = mem_zalloc(1, sizeof(*e));
        e->vm = str_dup(vm);
        map_put(l->entries, vm, e);
    }
    return e;
}

const struct entry_record *
entries_find(const struct leader *l, struct str vm)
{
    return map_get(l->entries, vm);
}

/* The previous leader may have renewed the lease of every VM just now. */
void
entries_create(struct leader *l)
{
    const struct state *state = leader_state(l);
    const struct state_vm *vm;
    struct ledger_vm *vms = NULL;
    size_t count = 0;
    void *cursor = NULL;

    l->entries = map_create();
    l->ledger = control_get_ledger(l->control);
    while ((vm = state_vm_next(state, &cursor)) != NULL) {
        struct entry_record *e = entry_record_get(l, vm->name);

        if (vm->left) {
            continue;
        }
        e->old_lease_end =
            leader_lease_end(l, l->control->settings->config_lease_ms);
        vms = mem_realloc(vms, count + 1, sizeof(*vms));
        vms[count++] = (struct ledger_vm){vm->name, vm->run,
                                          (int64_t)vm->early_ms * NS_PER_MS};
    }
    ledger_leader_changed(l->ledger, l->control->now, l->term, vms, count);
    mem_free(vms);
    l->sent_config_version = state_config_version(state);
}

void
entries_destroy(struct leader *l)
{
    struct entry_record *e;
    void *cursor = NULL;

    while ((e = map_next(l->entries, &cursor)) != NULL) {
        str_free(&e->vm);
        mem_free(e);
    }
    map_destroy(l->entries);
}

static void
propose_vm(struct leader *l, const Wire__EntrySync *sync, bool left)
{
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};

    state_cmd_vm_put(&command, &actor, str_of(sync->vm),
                     str_of(sync->failure_domain), str_of(sync->address),
                     sync->run, left);
    replica_propose(l->replica, buf_str(&command), replica_no_waiter);
    buf_free(&command);
}

static bool
ensure_registered(struct leader *l, const Wire__EntrySync *sync)
{
    const struct state_vm *vm = state_vm(leader_state(l), str_of(sync->vm));

    if (vm != NULL && vm->run == sync->run &&
        str_eq(vm->failure_domain, str_of(sync->failure_domain)) &&
        str_eq(vm->address, str_of(sync->address))) {
        return true;
    }
    propose_vm(l, sync, false);
    return false;
}

/* Withdraws the order to drain once the VM has begun to drain. */
static void
clear_drain(struct leader *l, struct str name)
{
    const struct state_vm *vm = state_vm(leader_state(l), name);
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};

    if (vm == NULL || !vm->draining) {
        return;
    }
    state_cmd_vm_drain(&command, &actor, name, false);
    replica_propose(l->replica, buf_str(&command), replica_no_waiter);
    buf_free(&command);
}

/* Whether earlier processes of this VM are recorded to hold nothing. */
static bool
has_clean_start(const struct leader *l, const Wire__EntrySync *sync)
{
    const struct state_vm *vm = state_vm(leader_state(l), str_of(sync->vm));

    return vm != NULL && vm->clean_run == sync->run;
}

static int64_t
longest_lease_ms(const struct leader *l)
{
    int64_t end = leader_lease_end(l, l->control->settings->config_lease_ms);

    return (end - l->control->now) / NS_PER_MS;
}

static void
update_record(struct leader *l, struct link *from, const Wire__EntrySync *sync)
{
    struct entry_record *e = entry_record_get(l, str_of(sync->vm));

    if (e->run == 0 &&
        (has_clean_start(l, sync) || sync->up_ms > longest_lease_ms(l))) {
        /* No earlier process of the VM holds a lease: that is recorded, or
         * this process has run for longer than any lease lasts. */
        e->old_lease_end = 0;
    }
    if (e->run != sync->run) {
        if (e->lease_end > e->old_lease_end) {
            e->old_lease_end = e->lease_end;
        }
        e->run = sync->run;
        e->config_version = 0;
        e->endpoints_seq = 0;
        requests_mark_lost(l, e->vm, sync->run);
    }
    e->link_id = from->id;
    e->reported_at = l->control->now;
    if (sync->config_version > e->config_version) {
        e->config_version = sync->config_version;
    }
    e->endpoints_seq =
        sync->endpoints_term == l->term ? sync->endpoints_seq : 0;
    e->draining = sync->draining;
}

/*
 * A process that has left sends no more requests and holds nothing. The state
 * records it, so that a later leader does not wait for its leases and requests
 * to expire.
 */
static void
handle_left(struct leader *l, struct link *from, const Wire__EntrySync *sync)
{
    const struct state_vm *vm = state_vm(leader_state(l), str_of(sync->vm));
    struct entry_record *e = entry_record_get(l, str_of(sync->vm));

    if (vm != NULL && vm->run == sync->run && vm->left) {
        ledger_entry_drop(l->ledger, l->control->now, sync->run);
        if (e->run == sync->run) {
            e->lease_end = 0;
        }
        entries_send_left(l, from);
        return;
    }
    propose_vm(l, sync, true);
}

static enum ledger_result
report_to_ledger(struct leader *l, const Wire__EntrySync *sync)
{
    struct report report = {.term = sync->term,
                            .seq = sync->seq,
                            .ack = {sync->ack_term, sync->ack_seq},
                            .up_ns = sync->up_ms * NS_PER_MS,
                            .leaving = sync->draining,
                            .full = sync->full,
                            .early_ns = sync->early_ms * NS_PER_MS,
                            .count = sync->n_units};
    enum ledger_result result;

    if (has_clean_start(l, sync) &&
        report.up_ns < ledger_reclaim_delay_ns(l->ledger)) {
        report.up_ns = ledger_reclaim_delay_ns(l->ledger);
    }
    report.items = mem_zalloc(sync->n_units + 1, sizeof(*report.items));
    for (size_t i = 0; i < sync->n_units; i++) {
        const Wire__UnitReport *u = sync->units[i];

        report.items[i] =
            (struct unit_report){str_of(u->pool), u->held, u->used, u->wanted};
    }
    result =
        ledger_report(l->ledger, l->control->now, sync->run, str_of(sync->vm),
                      str_of(sync->failure_domain), &report);
    mem_free(report.items);
    return result;
}

void
leader_handle_entry_sync(struct leader *l, struct link *from,
                         const Wire__EntrySync *sync)
{
    enum ledger_result result;

    if (!replica_leads(l->replica) || !str_eq(from->vm, str_of(sync->vm)) ||
        !ensure_registered(l, sync)) {
        return;
    }
    if (sync->left) {
        handle_left(l, from, sync);
        return;
    }
    result = report_to_ledger(l, sync);
    if (result == LEDGER_UNKNOWN) {
        entries_send_restart(l, from);
        return;
    }
    if (result != LEDGER_OK) {
        return;
    }
    update_record(l, from, sync);
    if (sync->draining) {
        clear_drain(l, str_of(sync->vm));
    }
    entries_record_promises(l);
    entries_send_grant(l, entry_record_get(l, str_of(sync->vm)));
}
