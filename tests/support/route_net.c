#include <stdio.h>
#include <stdlib.h>

#include "mem.h"
#include "route_sim.h"

bool
route_sim_random_bool(struct route_sim *sim, unsigned per_mille)
{
    return rng_below(&sim->rng, 1000) < per_mille;
}

int64_t
route_sim_random_ns(struct route_sim *sim, int64_t low_ms, int64_t high_ms)
{
    return (low_ms +
            (int64_t)rng_below(&sim->rng, (uint64_t)(high_ms - low_ms + 1))) *
           NS_PER_MS;
}

int64_t
route_sim_local_now(const struct route_sim *sim, int entry)
{
    const struct sim_entry *e = &sim->entries[entry];

    return e->clock_offset_ns + sim->now + sim->now / 1000000 * e->drift_ppm;
}

struct str
route_sim_pool_name(int pool)
{
    static const char *const names[POOLS] = {"e:0", "e:1", "e:2",
                                             "e:3", "t:0", "t:1"};

    return str_of(names[pool]);
}

/* Starts the attempt of a ROUTER_SEND at its endpoint and draws its result. */
static void
start_attempt(struct route_sim *sim, int entry, const struct router_action *a,
              int team)
{
    struct sim_request *req = &sim->requests[a->request];
    int64_t remaining_ns = a->deadline - route_sim_local_now(sim, entry);
    struct sim_attempt attempt = {.live = true,
                                  .request = (int)a->request,
                                  .number = a->attempt,
                                  .entry = entry,
                                  .run = sim->entries[entry].run,
                                  .endpoint = atoi(a->endpoint.ptr),
                                  .team = team,
                                  .bytes_sent = true,
                                  .start = sim->now,
                                  .end = sim->now +
                                         route_sim_random_ns(sim, 1, 60)};

    if (!sim->faults_off &&
        (sim->failing[attempt.endpoint] || route_sim_random_bool(sim, 30))) {
        attempt.result = ATTEMPT_ERROR_RESPONSE + rng_below(&sim->rng, 5);
        attempt.bytes_sent = attempt.result != ATTEMPT_REFUSED;
        if (attempt.result == ATTEMPT_TIMED_OUT) {
            attempt.end = sim->now + ROUTER_LONGEST_NS;
        }
    }
    if (sim->fault == FAULT_EARLY_RECLAIM || sim->fault == FAULT_EARLY_END ||
        sim->fault >= FAULT_HIDE_RAISE) {
        attempt.end = sim->now + ROUTER_LONGEST_NS;
    }
    /* The endpoint drops a request whose deadline, which is sent with it, has
     * passed. */
    if (attempt.end > sim->now + remaining_ns + CANCEL_NS) {
        attempt.end = sim->now + remaining_ns + CANCEL_NS;
    }
    req->bytes_sent = req->bytes_sent || attempt.bytes_sent;
    g_array_append_val(sim->attempts, attempt);
}

static void
cancel_attempt(struct route_sim *sim, const struct router_action *a)
{
    for (guint i = 0; i < sim->attempts->len; i++) {
        struct sim_attempt *attempt =
            &g_array_index(sim->attempts, struct sim_attempt, i);
        if (attempt->live && attempt->request == (int)a->request &&
            attempt->number == a->attempt) {
            attempt->end = MIN(attempt->end, sim->now + CANCEL_NS);
            attempt->result = ATTEMPT_CANCELLED;
        }
    }
}

int
route_sim_team_of(uint64_t request)
{
    return (int)(request % TEAMS);
}

static void
perform_actions(struct route_sim *sim, int entry)
{
    for (size_t i = 0; i < sim->actions.count; i++) {
        const struct router_action *a = &sim->actions.items[i];
        switch (a->kind) {
        case ROUTER_SEND:
            route_check_send(sim, entry, a);
            start_attempt(sim, entry, a, route_sim_team_of(a->request));
            break;
        case ROUTER_CANCEL:
            cancel_attempt(sim, a);
            break;
        default:
            if (sim->fault != FAULT_LOST_ANSWER ||
                !route_sim_random_bool(sim, 20)) {
                route_check_answer(sim, entry, a);
            }
        }
    }
    sim->actions.count = 0;
}

void
route_sim_step_router(struct route_sim *sim, int entry,
                      const struct router_event *ev)
{
    int64_t now = route_sim_local_now(sim, entry);

    if (sim->fault == FAULT_SLOW_CLOCK) {
        now -= 100 * NS_PER_MS;
    }
    router_step(sim->entries[entry].router, now, ev, &sim->actions);
    perform_actions(sim, entry);
}

void
route_message_free(gpointer p)
{
    struct message *m = p;

    for (size_t i = 0; i < m->report.count; i++) {
        str_free(&m->report.items[i].pool);
    }
    for (size_t i = 0; i < m->grants.count; i++) {
        str_free(&m->grants.items[i].pool);
    }
    report_free(&m->report);
    grants_free(&m->grants);
    mem_free(m);
}

struct message *
route_message_copy(const struct message *from)
{
    struct message *m = mem_alloc(sizeof(*m));

    *m = *from;
    m->report.items =
        mem_zalloc(m->report.count + 1, sizeof(*m->report.items));
    m->grants.items =
        mem_zalloc(m->grants.count + 1, sizeof(*m->grants.items));
    for (size_t i = 0; i < m->report.count; i++) {
        m->report.items[i] = from->report.items[i];
        m->report.items[i].pool = str_dup(from->report.items[i].pool);
    }
    for (size_t i = 0; i < m->grants.count; i++) {
        m->grants.items[i] = from->grants.items[i];
        m->grants.items[i].pool = str_dup(from->grants.items[i].pool);
    }
    return m;
}

void
route_sim_send_message(struct route_sim *sim, struct message message)
{
    bool faults_on = !sim->faults_off;
    int copies = 1;

    if (faults_on && (sim->entries[message.entry].disconnected_steps > 0 ||
                      route_sim_random_bool(sim, 50))) {
        return;
    }
    copies += faults_on && route_sim_random_bool(sim, 50);
    for (int i = 0; i < copies; i++) {
        message.delivery_time = sim->now + route_sim_random_ns(sim, 1, 12);
        if (faults_on && route_sim_random_bool(sim, 40)) {
            message.delivery_time += route_sim_random_ns(sim, 20, 800);
        }
        g_ptr_array_add(sim->messages, route_message_copy(&message));
    }
}

/* Sends the grants in sim->grants, after applying the planted fault. */
static void
send_grants(struct route_sim *sim, int entry)
{
    struct message message = {.kind = MESSAGE_GRANTS,
                              .entry = entry,
                              .run = sim->entries[entry].run,
                              .grants = sim->grants};

    if (sim->fault == FAULT_LOST_GRANTS) {
        return;
    }
    if (sim->fault == FAULT_HIDE_RAISE || sim->fault == FAULT_EARLY_CONFIRM) {
        message.grants.early_ns = 0;
    }
    route_sim_send_message(sim, message);
    if (sim->fault == FAULT_STALE_GRANT && route_sim_random_bool(sim, 300)) {
        message.grants.no.seq += 10;
        message.grants.lease_ns *= 4;
        message.delivery_time = sim->now + route_sim_random_ns(sim, 20, 200);
        g_ptr_array_add(sim->messages, route_message_copy(&message));
    }
}

static int
find_entry_by_run(const struct route_sim *sim, uint64_t run)
{
    for (int i = 0; i < ENTRIES; i++) {
        if (sim->entries[i].run == run) {
            return i;
        }
    }
    return -1;
}

/* Appends a command to the log, sometimes late, or loses it. */
static void
propose_command(struct route_sim *sim, int entry, struct ledger_record r)
{
    struct command c = {.commit_time =
                            sim->now + route_sim_random_ns(sim, 1, 60),
                        .entry = entry,
                        .record = r};
    /* With slow commits, an entry that does not wait for them causes V_POOL
     * more often. */
    bool slow = sim->fault == FAULT_EARLY_CONFIRM;

    if (!sim->faults_off && route_sim_random_bool(sim, slow ? 500 : 40)) {
        c.commit_time += route_sim_random_ns(sim, 20, 800);
    }
    if (sim->log->len > 0) {
        c.commit_time =
            MAX(c.commit_time,
                g_array_index(sim->log, struct command, sim->log->len - 1)
                    .commit_time);
    }
    if (sim->faults_off || !route_sim_random_bool(sim, 50)) {
        g_array_append_val(sim->log, c);
    }
}

/* Applies a committed command to the replicated state; leads says whether the
 * current leader applies it too. */
static void
apply_command(struct route_sim *sim, const struct command *c, bool leads)
{
    struct ledger_vm *vm = &sim->vms[c->entry];
    const struct ledger_record *r = &c->record;

    if (r->seq == 0) {
        if (vm->run != r->run) {
            vm->run = r->run;
            vm->early_ns = 0;
        }
        return;
    }
    if (vm->run == r->run) {
        if (sim->fault != FAULT_HIDE_RECORD || r->early_ns > vm->early_ns) {
            vm->early_ns = r->early_ns;
        }
        if (leads) {
            ledger_confirm_record(sim->ledgers[sim->leader], r);
        }
    }
}

void
route_sim_commit_log(struct route_sim *sim, bool leader_lost)
{
    while (sim->log->len > 0) {
        struct command c = g_array_index(sim->log, struct command, 0);
        if (leader_lost ? route_sim_random_bool(sim, 500)
                        : c.commit_time > sim->now) {
            break;
        }
        g_array_remove_index(sim->log, 0);
        apply_command(sim, &c, !leader_lost);
    }
    if (leader_lost) {
        g_array_set_size(sim->log, 0);
    }
}

/* Proposes the ledger's due records to the replicated state. */
static void
propose_records(struct route_sim *sim)
{
    struct ledger_record r;

    while (ledger_take_due_record(sim->ledgers[sim->leader], &r)) {
        int entry = r.vm.ptr[2] - '0';
        r.vm = sim->vms[entry].name;
        propose_command(sim, entry, r);
    }
}

/* Returns whether the report's process is the one registered for its VM, the
 * only one from which a leader takes reports; else proposes to register it. */
static bool
ensure_registered(struct route_sim *sim, const struct message *m)
{
    if (sim->vms[m->entry].run == m->run) {
        return true;
    }
    propose_command(sim, m->entry, (struct ledger_record){.run = m->run});
    return false;
}

void
route_sim_run_leader(struct route_sim *sim)
{
    struct ledger *l = sim->ledgers[sim->leader];
    uint64_t run;

    route_sim_commit_log(sim, false);
    propose_records(sim);
    ledger_tick(l, sim->now);
    while (ledger_due(l, sim->now, &run)) {
        g_assert_true(ledger_fill_grants(l, sim->now, run, &sim->grants));
        if (find_entry_by_run(sim, run) >= 0) {
            send_grants(sim, find_entry_by_run(sim, run));
        }
    }
}

/* Passes a report to the leader's ledger and sends the answer. */
static void
handle_report(struct route_sim *sim, const struct message *m)
{
    struct ledger *l = sim->ledgers[sim->leader];
    char vm[16];
    char domain[16];
    enum ledger_result result;

    if (!ensure_registered(sim, m)) {
        return;
    }
    snprintf(vm, sizeof(vm), "vm%d", m->entry);
    snprintf(domain, sizeof(domain), "d%d", m->entry % 2);
    result = ledger_report(l, sim->now, m->run, str_of(vm), str_of(domain),
                           &m->report);
    propose_records(sim);
    if (result == LEDGER_UNKNOWN) {
        route_sim_send_message(sim, (struct message){.kind = MESSAGE_LEADER,
                                                     .entry = m->entry,
                                                     .run = m->run,
                                                     .term = sim->term});
        return;
    }
    if (result == LEDGER_OK && m->run == sim->entries[m->entry].run &&
        ledger_fill_grants(l, sim->now, m->run, &sim->grants)) {
        send_grants(sim, m->entry);
    }
}

static void
handle_message(struct route_sim *sim, const struct message *m)
{
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &m->grants};

    if (m->kind == MESSAGE_REPORT) {
        handle_report(sim, m);
        return;
    }
    if (m->run != sim->entries[m->entry].run) {
        return;
    }
    if (m->kind == MESSAGE_GRANTS) {
        struct sim_entry *receiver = &sim->entries[m->entry];
        int64_t sent =
            router_report_sent(receiver->router, m->grants.report_seq);
        receiver->lease_end =
            MAX(receiver->lease_end, sent + m->grants.lease_ns);
    }
    if (m->kind == MESSAGE_LEADER) {
        ev = (struct router_event){.kind = ROUTER_LEADER, .term = m->term};
    }
    route_sim_step_router(sim, m->entry, &ev);
}

void
route_sim_deliver_messages(struct route_sim *sim)
{
    for (guint i = 0; i < sim->messages->len;) {
        struct message *m = g_ptr_array_index(sim->messages, i);
        if (m->delivery_time > sim->now ||
            (m->kind != MESSAGE_REPORT &&
             sim->entries[m->entry].paused_steps > 0)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index_fast(sim->messages, i);
        handle_message(sim, m);
        route_message_free(m);
    }
}
