#include <stdio.h>
#include <stdlib.h>

#include "route_sim.h"

/* Ends the attempts that are due and reports them to their routers. */
static void
end_due_attempts(struct route_sim *sim)
{
    for (guint i = 0; i < sim->attempts->len;) {
        struct sim_attempt attempt =
            g_array_index(sim->attempts, struct sim_attempt, i);
        bool alive = attempt.run == sim->entries[attempt.entry].run;
        if (attempt.end > sim->now ||
            (alive && sim->entries[attempt.entry].paused_steps > 0)) {
            i++;
            continue;
        }
        g_array_remove_index_fast(sim->attempts, i);
        sim->requests[attempt.request].running_attempts--;
        struct router_event ev = {
            .kind = ROUTER_ATTEMPT_ENDED,
            .attempt = {.request = (uint64_t)attempt.request,
                        .attempt = attempt.number,
                        .result = attempt.result,
                        .bytes_sent = attempt.bytes_sent,
                        .duration_ns = sim->now - attempt.start}};
        if (sim->fault == FAULT_HIDE_BYTES &&
            attempt.result >= ATTEMPT_RESET) {
            ev.attempt.bytes_sent = false;
        }
        if (alive) {
            route_sim_step_router(sim, attempt.entry, &ev);
            if (!sim->faults_off && route_sim_random_bool(sim, 50)) {
                route_sim_step_router(sim, attempt.entry,
                                      &ev); /* must be ignored */
            }
        }
    }
}

static void
submit_request(struct route_sim *sim, int entry)
{
    struct sim_request *req = &sim->requests[sim->request_count];
    struct router_event ev = {.kind = ROUTER_REQUEST};
    struct router_request *r = &ev.request;
    int64_t now = route_sim_local_now(sim, entry);

    if (sim->request_count == MAX_REQUESTS) {
        return;
    }
    r->id = (uint64_t)sim->request_count;
    r->key = rng_below(&sim->rng, 5);
    r->team = (uint32_t)route_sim_team_of(r->id);
    r->service = STR("s");
    r->path_class = (uint32_t)rng_below(&sim->rng, 4);
    r->idempotent = route_sim_random_bool(sim, 600);
    r->needs_record = !sim->faults_off && route_sim_random_bool(sim, 300);
    r->has_deadline = !sim->faults_off && route_sim_random_bool(sim, 500);
    r->deadline = now + route_sim_random_ns(sim, 20, 400);
    if (sim->short_timeouts && !sim->faults_off &&
        sim->now / TIMEOUT_PHASE_NS % 2 == 0 &&
        !route_sim_random_bool(sim, 20)) {
        r->has_deadline = true;
        r->deadline = now + route_sim_random_ns(sim, 20, 60);
    }
    r->bytes = 100;
    *req = (struct sim_request){.entry = entry,
                                .run = sim->entries[entry].run,
                                .key = r->key,
                                .idempotent = r->idempotent,
                                .record_committed = !r->needs_record,
                                .deadline = now + ROUTER_LONGEST_NS};
    if (r->has_deadline) {
        req->deadline = MIN(req->deadline, r->deadline);
    }
    sim->request_count++;
    sim->entries[entry].arrivals++;
    route_sim_step_router(sim, entry, &ev);
}

/* Commits the idempotency records of some of an entry's newest requests. */
static void
commit_idempotency_records(struct route_sim *sim, int entry)
{
    for (int i = MAX(0, sim->request_count - 40); i < sim->request_count;
         i++) {
        struct sim_request *req = &sim->requests[i];
        if (req->record_committed || req->run != sim->entries[entry].run ||
            !route_sim_random_bool(sim, 200)) {
            continue;
        }
        req->record_committed = sim->fault != FAULT_EARLY_COMMIT;
        struct router_event ev = {.kind = ROUTER_RECORD_COMMITTED,
                                  .id = (uint64_t)i};
        route_sim_step_router(sim, entry, &ev);
    }
}

static void
announce_endpoints(struct route_sim *sim, int entry)
{
    struct sim_entry *e = &sim->entries[entry];
    char id[16];

    for (int i = 0; i < ENDPOINTS; i++) {
        bool announced_leaving =
            sim->leaving[i] && sim->fault != FAULT_HIDE_LEAVING;
        snprintf(id, sizeof(id), "%d", i);
        struct router_event ev = {
            .kind = ROUTER_ENDPOINT,
            .endpoint = {.id = str_of(id),
                         .service = STR("s"),
                         .domain = i % 2 == 0 ? STR("d0") : STR("d1"),
                         .slots = 4,
                         .connections = 8,
                         .leaving = announced_leaving,
                         .deadline = route_sim_local_now(sim, entry) +
                                     ANNOUNCEMENT_NS}};
        e->announced_until[i] = sim->leaving[i] ? 0 : ev.endpoint.deadline;
        if (announced_leaving && route_sim_random_bool(sim, 500)) {
            ev.kind = ROUTER_ENDPOINT_GONE;
        }
        route_sim_step_router(sim, entry, &ev);
    }
}

static void
renew_config_lease(struct route_sim *sim, int entry)
{
    struct sim_entry *e = &sim->entries[entry];
    struct router_event ev = {.kind = ROUTER_CONFIG_LEASE};

    ev.deadline = route_sim_local_now(sim, entry) + LEASE_NS;
    e->config_deadline = ev.deadline;
    if (sim->fault == FAULT_LONG_LEASE) {
        e->config_deadline -= LEASE_NS * 3 / 4;
    }
    route_sim_step_router(sim, entry, &ev);
}

static void
set_team(struct route_sim *sim, int entry, int team)
{
    struct router_event ev = {.kind = ROUTER_TEAM,
                              .team = {.number = (uint32_t)team,
                                       .weight = 1 + (uint32_t)team,
                                       .limited = team == 0}};

    route_sim_step_router(sim, entry, &ev);
}

static void
start_entry(struct route_sim *sim, int entry)
{
    struct sim_entry *e = &sim->entries[entry];
    struct router_config config = {
        .domain = entry % 2 == 0 ? STR("d0") : STR("d1"),
        .seed = rng_next(&sim->rng),
        .longest_request_ns = ROUTER_LONGEST_NS,
        .default_timeout_ns = ROUTER_LONGEST_NS,
        .queue_max = QUEUE_MAX,
        .retry_percent = RETRY_PERCENT,
        .retry_burst = RETRY_BURST,
        .eject_failures = 3,
        .eject_ns = 50 * NS_PER_MS,
        .eject_percent = EJECT_PERCENT,
        .report_ns = 50 * NS_PER_MS,
        .report_short_ns = STEP_NS,
    };

    if (sim->fault == FAULT_RETRY_BUDGET) {
        config.retry_percent = 100;
        config.retry_burst = 100;
        config.eject_percent = 1;
    }
    if (sim->fault == FAULT_EJECT_PERCENT) {
        config.eject_percent = 100;
    }
    if (sim->fault == FAULT_QUEUE_MAX) {
        config.queue_max = 2 * QUEUE_MAX;
    }
    router_destroy(e->router);
    *e = (struct sim_entry){
        .run = ++sim->last_run,
        .clock_offset_ns = route_sim_random_ns(sim, 1000, 100000),
        .drift_ppm = (int64_t)rng_below(&sim->rng, 801) - 400};
    /* The first processes are older than the reclaim delay, so that the ledger
     * records their early_ns. */
    int64_t age_ns = sim->last_run <= ENTRIES ? RECLAIM_DELAY_NS : 0;
    e->router =
        router_create(&config, route_sim_local_now(sim, entry) - age_ns);
    for (int team = 0; team < TEAMS; team++) {
        set_team(sim, entry, team);
    }
    renew_config_lease(sim, entry);
    announce_endpoints(sim, entry);
    struct router_event ev = {.kind = ROUTER_LEADER, .term = sim->term};
    route_sim_step_router(sim, entry, &ev);
}

/* Sets a pool's capacity in all ledgers. After a reduction, the checker allows
 * the larger capacity for a reclaim delay. */
static void
set_pool_capacity(struct route_sim *sim, int pool, uint32_t capacity)
{
    bool endpoint = pool < ENDPOINTS;

    if (capacity < sim->capacity[pool]) {
        sim->allowed_until[pool] = sim->now + RECLAIM_DELAY_NS;
    }
    sim->capacity[pool] = capacity;
    sim->allowed[pool] = MAX(sim->allowed[pool], capacity);
    for (int i = 0; i < LEDGERS; i++) {
        ledger_pool_set(sim->ledgers[i], sim->now, route_sim_pool_name(pool),
                        endpoint ? STR("s") : STR(""),
                        pool % 2 == 0 ? STR("d0") : STR("d1"), capacity);
    }
}

static void
change_leader(struct route_sim *sim)
{
    size_t count = sim->fault == FAULT_FORGET_VMS ? 0 : ENTRIES;

    route_sim_commit_log(sim, true);
    sim->leader = (int)rng_below(&sim->rng, LEDGERS);
    sim->term++;
    ledger_leader_changed(sim->ledgers[sim->leader], sim->now, sim->term,
                          sim->vms, count);
    for (int i = 0; i < ENTRIES; i++) {
        g_ptr_array_add(
            sim->messages,
            route_message_copy(&(struct message){
                .kind = MESSAGE_LEADER,
                .delivery_time = sim->now + route_sim_random_ns(sim, 1, 100),
                .entry = i,
                .run = sim->entries[i].run,
                .term = sim->term}));
    }
}

static void
withdraw_key(struct route_sim *sim, int entry)
{
    uint64_t key = rng_below(&sim->rng, 5);
    struct router_event ev = {.kind = ROUTER_KEY_WITHDRAWN, .key = key};

    for (int i = 0; i < sim->request_count; i++) {
        struct sim_request *req = &sim->requests[i];
        req->key_withdrawn |=
            req->key == key && req->run == sim->entries[entry].run;
    }
    if (sim->fault != FAULT_HIDE_KEY) {
        route_sim_step_router(sim, entry, &ev);
    }
}

/*
 * Disconnects an entry and changes the leader in a phase of long timeouts,
 * unless an entry is disconnected already. The faults from FAULT_HIDE_RECORD
 * on cause a violation only in this state, which random faults rarely reach:
 * all other entries must report to the new leader, from processes that are
 * older than the reclaim delay.
 */
static void
disconnect_at_leader_change(struct route_sim *sim, int entry)
{
    bool any_disconnected = false;

    for (int i = 0; i < ENTRIES; i++) {
        any_disconnected =
            any_disconnected || sim->entries[i].disconnected_steps > 0;
    }
    if (!any_disconnected && sim->now / TIMEOUT_PHASE_NS % 2 != 0) {
        sim->entries[entry].disconnected_steps = FAULT_STEPS / 2;
        change_leader(sim);
    }
}

static void
inject_random_fault(struct route_sim *sim)
{
    int entry = (int)rng_below(&sim->rng, ENTRIES);
    int endpoint = (int)rng_below(&sim->rng, ENDPOINTS);
    struct sim_entry *e = &sim->entries[entry];
    struct router_event ev = {.kind = ROUTER_CALLER_GONE};

    if (sim->fault >= FAULT_HIDE_RECORD) {
        disconnect_at_leader_change(sim, entry);
        return;
    }
    switch (rng_below(&sim->rng, 12)) {
    case 0:
        start_entry(sim, entry);
        break;
    case 1:
        e->paused_steps = (int)rng_below(&sim->rng, 150);
        break;
    case 2:
        e->disconnected_steps = (int)rng_below(&sim->rng, 150);
        /* Also tests a running entry that the next leader cannot reach. */
        if (route_sim_random_bool(sim, 500)) {
            change_leader(sim);
        }
        break;
    case 3:
        change_leader(sim);
        break;
    case 4:
        set_pool_capacity(sim, endpoint,
                          1 + (uint32_t)rng_below(&sim->rng, 4));
        break;
    case 5:
        set_pool_capacity(sim, ENDPOINTS,
                          1 + (uint32_t)rng_below(&sim->rng, 6));
        break;
    case 6:
        sim->leaving[endpoint] = !sim->leaving[endpoint];
        break;
    case 7:
        sim->failing[endpoint] = !sim->failing[endpoint];
        break;
    case 8:
        withdraw_key(sim, entry);
        break;
    case 9:
        ev.kind = ROUTER_DRAIN;
        if (e->paused_steps == 0) {
            route_sim_step_router(sim, entry, &ev);
        }
        break;
    default:
        if (e->paused_steps == 0 && sim->request_count > 0) {
            ev.id =
                (uint64_t)sim->request_count - 1 -
                rng_below(&sim->rng, (uint64_t)MIN(sim->request_count, 20));
            if (sim->requests[ev.id].run == e->run) {
                route_sim_step_router(sim, entry, &ev);
            }
        }
    }
}

static void
send_report(struct route_sim *sim, int entry)
{
    struct sim_entry *e = &sim->entries[entry];
    struct message message = {
        .kind = MESSAGE_REPORT, .entry = entry, .run = e->run};

    router_report(e->router, route_sim_local_now(sim, entry), &sim->report);
    e->max_early_ns = MAX(e->max_early_ns, sim->report.early_ns);
    if (sim->fault == FAULT_EARLY_END) {
        sim->report.early_ns = ROUTER_LONGEST_NS;
    }
    if (sim->fault == FAULT_HIDE_RAISE) {
        sim->report.early_ns = e->max_early_ns;
    }
    message.report = sim->report;
    route_sim_send_message(sim, message);
    if (sim->fault == FAULT_STALE_REPORT && route_sim_random_bool(sim, 300)) {
        message.report.seq += 40;
        message.report.ack.seq += 1000;
        message.delivery_time = sim->now + route_sim_random_ns(sim, 20, 200);
        g_ptr_array_add(sim->messages, route_message_copy(&message));
    }
}

static void
step_entry(struct route_sim *sim, int entry, int64_t n)
{
    struct sim_entry *e = &sim->entries[entry];
    struct router_event tick = {.kind = ROUTER_TICK};

    e->disconnected_steps -= e->disconnected_steps > 0;
    if (e->paused_steps > 0) {
        e->resume_time = route_sim_local_now(sim, entry) + STEP_NS;
        return;
    }
    route_sim_step_router(sim, entry, &tick);
    if (e->disconnected_steps == 0 && n % 10 == entry) {
        renew_config_lease(sim, entry);
        announce_endpoints(sim, entry);
    }
    if (!sim->faults_off && route_sim_random_bool(sim, 350)) {
        submit_request(sim, entry);
    }
    commit_idempotency_records(sim, entry);
    if (route_sim_local_now(sim, entry) >= router_report_due(e->router)) {
        send_report(sim, entry);
    }
    route_check_limits(sim, entry);
}

static void
step_sim(struct route_sim *sim, int64_t n)
{
    sim->now += STEP_NS;
    for (int i = 0; i < ENTRIES; i++) {
        sim->entries[i].paused_steps -= sim->entries[i].paused_steps > 0;
    }
    route_sim_deliver_messages(sim);
    end_due_attempts(sim);
    route_sim_run_leader(sim);
    for (int i = 0; i < ENTRIES; i++) {
        step_entry(sim, i, n);
    }
    route_check_pools(sim);
    if (!sim->faults_off && route_sim_random_bool(sim, 60)) {
        inject_random_fault(sim);
    }
}

static void
init_sim(struct route_sim *sim, uint64_t seed, enum planted_fault fault,
         bool short_timeouts)
{
    struct ledger_config config = {.lease_ns = LEASE_NS,
                                   .margin_ns = MARGIN_NS,
                                   .drift_ppm = 2 * DRIFT_PPM,
                                   .longest_request_ns = LEDGER_LONGEST_NS,
                                   .balance_ns = STEP_NS,
                                   .resend_ns = 40 * NS_PER_MS,
                                   .record_ns = 20 * NS_PER_MS};

    bool failing = fault == FAULT_RETRY_BUDGET || fault == FAULT_EJECT_PERCENT;
    static const struct str names[] = {STR("vm0"), STR("vm1"), STR("vm2"),
                                       STR("vm3")};

    *sim = (struct route_sim){.rng = {seed},
                              .fault = fault,
                              .now = NS_PER_S,
                              .short_timeouts = short_timeouts};
    sim->messages = g_ptr_array_new();
    sim->log = g_array_new(FALSE, FALSE, sizeof(struct command));
    sim->attempts = g_array_new(FALSE, FALSE, sizeof(struct sim_attempt));
    if (fault == FAULT_EARLY_RECLAIM) {
        config.longest_request_ns = 1;
        config.lease_ns = LEASE_NS / 3;
    }
    for (int i = 0; i < LEDGERS; i++) {
        sim->ledgers[i] = ledger_create(&config);
    }
    sim->term = 1;
    ledger_leader_changed(sim->ledgers[0], sim->now, sim->term, NULL, 0);
    for (int i = 0; i < POOLS; i++) {
        set_pool_capacity(sim, i, i < ENDPOINTS ? 2 : TEAM_LIMIT);
    }
    for (int i = 0; i < ENDPOINTS; i++) {
        sim->failing[i] = failing && i != 0;
    }
    for (int i = 0; i < ENTRIES; i++) {
        start_entry(sim, i);
        sim->vms[i] = (struct ledger_vm){names[i], sim->entries[i].run, 0};
    }
}

static void
free_sim(struct route_sim *sim)
{
    for (int i = 0; i < ENTRIES; i++) {
        router_destroy(sim->entries[i].router);
    }
    for (int i = 0; i < LEDGERS; i++) {
        ledger_destroy(sim->ledgers[i]);
    }
    for (guint i = 0; i < sim->messages->len; i++) {
        route_message_free(g_ptr_array_index(sim->messages, i));
    }
    g_ptr_array_free(sim->messages, TRUE);
    g_array_free(sim->attempts, TRUE);
    g_array_free(sim->log, TRUE);
    router_actions_free(&sim->actions);
    report_free(&sim->report);
    grants_free(&sim->grants);
}

/* Ends all faults, then checks that every request was answered and that new
 * ones are completed. */
static void
run_without_faults(struct route_sim *sim)
{
    int first_new;

    sim->faults_off = true;
    for (int i = 0; i < ENDPOINTS; i++) {
        sim->leaving[i] = false;
        sim->failing[i] = false;
    }
    /* With a limit of 1, two requests of the team at two entries may rightly
     * miss their deadline. */
    set_pool_capacity(sim, ENDPOINTS, TEAM_LIMIT);
    for (int i = 0; i < ENTRIES; i++) {
        sim->entries[i].paused_steps = 0;
        sim->entries[i].disconnected_steps = 0;
    }
    for (int n = 0; n < SETTLE_STEPS; n++) {
        step_sim(sim, n);
    }
    first_new = sim->request_count;
    for (int i = 0; i < ENTRIES && sim->request_count < MAX_REQUESTS; i++) {
        submit_request(sim, i);
        sim->requests[sim->request_count - 1].deadline += NS_PER_S;
    }
    for (int n = 0; n < 80; n++) {
        step_sim(sim, n);
    }
    route_check_end(sim, first_new);
}

unsigned
route_sim_run(uint64_t seed, enum planted_fault fault, bool short_timeouts)
{
    static struct route_sim sim;

    init_sim(&sim, seed, fault, short_timeouts);
    for (int n = 0; n < FAULT_STEPS; n++) {
        step_sim(&sim, n);
    }
    run_without_faults(&sim);
    free_sim(&sim);
    return sim.violations;
}
