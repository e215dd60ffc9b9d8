/*
 * Entries on the leader: reports, grants, and whether a configuration is in
 * force everywhere.
 */
#include <inttypes.h>
#include <string.h>

#include "leader_impl.h"
#include "log.h"
#include "mem.h"
#include "operator.h"

/* ---- Records ---- */

static struct entry_record *
entry_record(struct leader *l, struct str vm)
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

/* Every registered VM may hold a lease that the predecessor just renewed. */
void
entries_create(struct leader *l)
{
    const struct state *state = leader_state(l);
    const struct state_vm *vm;
    struct str *names = NULL;
    size_t count = 0;
    void *cursor = NULL;

    l->entries = map_create();
    l->ledger = control_ledger(l->control);
    while ((vm = state_vm_next(state, &cursor)) != NULL) {
        struct entry_record *e = entry_record(l, vm->name);

        if (vm->left) {
            continue;
        }
        e->old_lease_end =
            leader_lease_end(l, l->control->settings->config_lease_ms);
        names = mem_realloc(names, count + 1, sizeof(*names));
        names[count++] = vm->name;
    }
    ledger_leader_changed(l->ledger, l->control->now, l->term, names, count);
    mem_free(names);
    l->pushed_version = state_config_version(state);
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

/* ---- Grants ---- */

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
        e->endpoints_seq == 0 || e->endpoints_seq < l->endpoint_gone_floor;

    endpoints_since(l, e->endpoints_seq, full, changes);
    grant->endpoints_full = full;
    grant->endpoints_seq = l->endpoint_seq;
    grant->n_endpoints = changes->count;
    grant->endpoints = changes->pointers;
    grant->n_endpoints_gone = changes->gone_count;
    grant->endpoints_gone = changes->gone;
}

struct unit_space {
    Wire__UnitGrant *list;
    Wire__UnitGrant **pointers;
    struct buf names;
};

static void
fill_units(const struct grants *grants, struct unit_space *space,
           Wire__EntryGrant *grant)
{
    size_t bytes = 0;

    for (size_t i = 0; i < grants->count; i++) {
        bytes += grants->items[i].pool.len + 1;
    }
    buf_reserve(&space->names, bytes + 1);
    space->list = mem_zalloc(grants->count + 1, sizeof(*space->list));
    space->pointers = mem_zalloc(grants->count + 1, sizeof(*space->pointers));
    for (size_t i = 0; i < grants->count; i++) {
        Wire__UnitGrant *u = &space->list[i];

        wire__unit_grant__init(u);
        u->pool = space->names.ptr + space->names.len;
        buf_append_str(&space->names, grants->items[i].pool);
        buf_append(&space->names, "", 1);
        u->units = grants->items[i].units;
        space->pointers[i] = u;
    }
    grant->n_units = grants->count;
    grant->units = space->pointers;
    grant->term = grants->no.term;
    grant->seq = grants->no.seq;
    grant->report_seq = grants->report_seq;
    grant->unit_lease_ms = grants->lease_ns / NS_PER_MS;
}

static void
send_grant(struct leader *l, struct entry_record *e)
{
    const struct state_vm *vm = state_vm(leader_state(l), e->vm);
    uint32_t lease_ms = l->control->settings->config_lease_ms;
    struct link *to = control_link_by_id(l->control, e->link_id);
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntryGrant grant = WIRE__ENTRY_GRANT__INIT;
    struct endpoint_changes changes = {0};
    struct unit_space space = {0};
    struct grants grants = {0};
    struct buf config = {0};

    if (to == NULL || !replica_leads(l->replica) ||
        !ledger_plan(l->ledger, l->control->now, e->run, &grants)) {
        return;
    }
    fill_units(&grants, &space, &grant);
    fill_config(l, e, &config, &grant);
    fill_endpoints(l, e, &changes, &grant);
    grant.config_lease_ms = lease_ms;
    grant.drain = vm != NULL && vm->draining;
    e->lease_end = leader_lease_end(l, lease_ms);
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_GRANT;
    envelope.entry_grant = &grant;
    link_send(to, &envelope);
    endpoint_changes_free(&changes);
    grants_free(&grants);
    mem_free(space.list);
    mem_free(space.pointers);
    buf_free(&space.names);
    buf_free(&config);
}

static void
send_restart(struct leader *l, struct link *to)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntryGrant grant = WIRE__ENTRY_GRANT__INIT;

    grant.term = l->term;
    grant.restart = true;
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_GRANT;
    envelope.entry_grant = &grant;
    link_send(to, &envelope);
}

void
entries_push_config(struct leader *l)
{
    uint64_t version = state_config_version(leader_state(l));
    struct entry_record *e;
    void *cursor = NULL;

    l->pushed_version = version;
    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (e->run != 0 && e->config_version < version) {
            send_grant(l, e);
        }
    }
}

static void
push_endpoints(struct leader *l)
{
    struct entry_record *e;
    void *cursor = NULL;

    if (l->pushed_endpoints == l->endpoint_seq) {
        return;
    }
    l->pushed_endpoints = l->endpoint_seq;
    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (e->run != 0) {
            send_grant(l, e);
        }
    }
}

static void
send_left(const struct leader *l, struct link *to)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntryGrant grant = WIRE__ENTRY_GRANT__INIT;

    grant.term = l->term;
    grant.left = true;
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_GRANT;
    envelope.entry_grant = &grant;
    link_send(to, &envelope);
}

static struct entry_record *
find_run(const struct leader *l, uint64_t run)
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
    if (state_config_version(leader_state(l)) != l->pushed_version) {
        control_sync_pools(l->control);
        entries_push_config(l);
    }
    push_endpoints(l);
    while (ledger_due(l->ledger, l->control->now, &run)) {
        struct entry_record *e = find_run(l, run);
        struct grants lost = {0};

        if (e != NULL && control_link_by_id(l->control, e->link_id) != NULL) {
            send_grant(l, e);
        }
        else {
            /* Counts as sent and lost; the ledger repeats it later. */
            ledger_plan(l->ledger, l->control->now, run, &lost);
            grants_free(&lost);
        }
    }
}

/* ---- Reports ---- */

static bool
ensure_registered(struct leader *l, const Wire__EntrySync *sync)
{
    struct str name = str_of(sync->vm);
    const struct state_vm *vm = state_vm(leader_state(l), name);
    struct state_actor actor = leader_actor();
    struct buf command = {0};

    if (vm != NULL && vm->run == sync->run &&
        str_eq(vm->failure_domain, str_of(sync->failure_domain)) &&
        str_eq(vm->address, str_of(sync->address))) {
        return true;
    }
    state_cmd_vm_put(&command, &actor, name, str_of(sync->failure_domain),
                     str_of(sync->address), sync->run, false);
    replica_propose(l->replica, buf_str(&command), replica_no_waiter);
    buf_free(&command);
    return false;
}

/* The mark stays until the VM has begun to stop. */
static void
clear_drain(struct leader *l, struct str name)
{
    const struct state_vm *vm = state_vm(leader_state(l), name);
    struct state_actor actor = leader_actor();
    struct buf command = {0};

    if (vm == NULL || !vm->draining) {
        return;
    }
    state_cmd_vm_drain(&command, &actor, name, false);
    replica_propose(l->replica, buf_str(&command), replica_no_waiter);
    buf_free(&command);
}

/* Whether no older process of this VM can hold anything. */
static bool
is_clean(const struct leader *l, const Wire__EntrySync *sync)
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
take_record(struct leader *l, struct link *from, const Wire__EntrySync *sync)
{
    struct entry_record *e = entry_record(l, str_of(sync->vm));

    if (e->run == 0 &&
        (is_clean(l, sync) || sync->up_ms > longest_lease_ms(l))) {
        /* This process has run for longer than any lease, so no earlier
         * process of the VM holds one. */
        e->old_lease_end = 0;
    }
    if (e->run != sync->run) {
        if (e->lease_end > e->old_lease_end) {
            e->old_lease_end = e->lease_end;
        }
        e->run = sync->run;
        e->config_version = 0;
        e->endpoints_seq = 0;
        requests_entry_seen(l, e->vm, sync->run);
    }
    e->link_id = from->id;
    e->seen = l->control->now;
    if (sync->config_version > e->config_version) {
        e->config_version = sync->config_version;
    }
    e->endpoints_seq =
        sync->endpoints_term == l->term ? sync->endpoints_seq : 0;
    e->draining = sync->draining;
}

/*
 * A process that has stopped sending holds nothing. Recorded in the state, so
 * that a later leader need not wait for its leases and requests to run out.
 */
static void
take_leave(struct leader *l, struct link *from, const Wire__EntrySync *sync)
{
    const struct state_vm *vm = state_vm(leader_state(l), str_of(sync->vm));
    struct entry_record *e = entry_record(l, str_of(sync->vm));
    struct state_actor actor = leader_actor();
    struct buf command = {0};

    if (vm != NULL && vm->run == sync->run && vm->left) {
        ledger_entry_expired(l->ledger, l->control->now, sync->run);
        if (e->run == sync->run) {
            e->lease_end = 0;
        }
        send_left(l, from);
        return;
    }
    state_cmd_vm_put(&command, &actor, str_of(sync->vm),
                     str_of(sync->failure_domain), str_of(sync->address),
                     sync->run, true);
    replica_propose(l->replica, buf_str(&command), replica_no_waiter);
    buf_free(&command);
}

void
leader_entry_sync(struct leader *l, struct link *from,
                  const Wire__EntrySync *sync)
{
    struct report report = {.term = sync->term,
                            .seq = sync->seq,
                            .ack = {sync->ack_term, sync->ack_seq},
                            .up_ns = sync->up_ms * NS_PER_MS,
                            .leaving = sync->draining,
                            .full = sync->full};
    enum ledger_result result;

    if (!replica_leads(l->replica) || !str_eq(from->vm, str_of(sync->vm)) ||
        !ensure_registered(l, sync)) {
        return;
    }
    if (sync->left) {
        take_leave(l, from, sync);
        return;
    }
    if (is_clean(l, sync) && report.up_ns < ledger_window(l->ledger)) {
        report.up_ns = ledger_window(l->ledger);
    }
    report.items = mem_zalloc(sync->n_units + 1, sizeof(*report.items));
    report.count = sync->n_units;
    for (size_t i = 0; i < sync->n_units; i++) {
        const Wire__UnitReport *u = sync->units[i];

        report.items[i] =
            (struct unit_report){str_of(u->pool), u->held, u->used, u->wanted};
    }
    result =
        ledger_report(l->ledger, l->control->now, sync->run, str_of(sync->vm),
                      str_of(sync->failure_domain), &report);
    mem_free(report.items);
    if (result == LEDGER_UNKNOWN) {
        send_restart(l, from);
        return;
    }
    if (result != LEDGER_OK) {
        return;
    }
    take_record(l, from, sync);
    if (sync->draining) {
        clear_drain(l, str_of(sync->vm));
    }
    send_grant(l, entry_record(l, str_of(sync->vm)));
}

/* ---- In force ---- */

/*
 * old_lease_end covers processes of the VM that have not confirmed anything
 * to this leader: earlier ones, and before the first report any.
 */
static bool
entry_in_force(const struct leader *l, const struct entry_record *e,
               uint64_t version)
{
    int64_t now = l->control->now;

    if (e->old_lease_end > now) {
        return false;
    }
    return e->config_version >= version || e->lease_end <= now;
}

bool
entries_in_force(const struct leader *l, uint64_t version)
{
    const struct entry_record *e;
    void *cursor = NULL;

    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (!entry_in_force(l, e, version)) {
            return false;
        }
    }
    return true;
}

static bool
limits_settled(const struct leader *l)
{
    const struct state *state = leader_state(l);
    struct buf pool = {0};
    bool settled = true;

    for (size_t i = 0; settled && i < state_team_count(state); i++) {
        uint32_t team = state_team_at(state, i)->number;

        buf_clear(&pool);
        buf_printf(&pool, POOL_TEAM "%" PRIu32, team);
        settled =
            sched_team_within_limit(l->sched, team) &&
            ledger_pool_settled(l->ledger, l->control->now, buf_str(&pool));
    }
    buf_free(&pool);
    return settled;
}

void
inforce_wait(struct call *call, uint64_t version)
{
    call->version = version;
    call->wait_next = call->leader->inforce;
    call->leader->inforce = call;
}

static void
inforce_answer(struct call *call, bool in_force)
{
    struct operator_accepted accepted = {call->list_version, in_force};

    if (call->answer.len == 0) {
        operator_accepted_render(&accepted, &call->answer);
    }
    call_respond(call, call->status, &call->answer);
}

void
inforce_step(struct leader *l)
{
    bool settled = l->inforce != NULL && limits_settled(l);
    struct call *next;

    for (struct call *call = l->inforce; call != NULL; call = next) {
        next = call->wait_next;
        if (settled && entries_in_force(l, call->version) &&
            replica_leads(l->replica)) {
            inforce_answer(call, true);
        }
        else if (call->deadline <= l->control->now) {
            inforce_answer(call, false);
        }
    }
}
