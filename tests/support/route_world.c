#include <stdio.h>
#include <stdlib.h>

#include "route_world.h"

static void
land(struct world *w)
{
    for (guint i = 0; i < w->flights->len;) {
        struct flight f = g_array_index(w->flights, struct flight, i);
        bool alive = f.run == w->members[f.entry].run;
        if (f.end > w->t || (alive && w->members[f.entry].paused > 0)) {
            i++;
            continue;
        }
        g_array_remove_index_fast(w->flights, i);
        w->tracks[f.request].running--;
        struct router_event ev = {.kind = ROUTER_ATTEMPT_ENDED,
                                  .attempt = {.request = (uint64_t)f.request,
                                              .attempt = f.attempt,
                                              .result = f.result,
                                              .bytes_sent = f.bytes,
                                              .duration_ns = w->t - f.start}};
        if (w->plant == PLANT_NO_BYTES && f.result >= ATTEMPT_RESET) {
            ev.attempt.bytes_sent = false;
        }
        if (alive) {
            world_event(w, f.entry, &ev);
            if (!w->quiet && world_chance(w, 50)) {
                world_event(w, f.entry, &ev); /* a duplicate changes nothing */
            }
        }
    }
}

static void
arrive(struct world *w, int entry)
{
    struct track *q = &w->tracks[w->requests];
    struct router_event ev = {.kind = ROUTER_REQUEST};
    struct router_request *r = &ev.request;
    int64_t now = local_now(w, entry);

    if (w->requests == REQUESTS) {
        return;
    }
    r->id = (uint64_t)w->requests;
    r->key = rng_below(&w->rng, 5);
    r->team = (uint32_t)team_of(r->id);
    r->service = STR("s");
    r->path_class = (uint32_t)rng_below(&w->rng, 4);
    r->idempotent = world_chance(w, 600);
    r->needs_mark = !w->quiet && world_chance(w, 300);
    r->has_deadline = !w->quiet && world_chance(w, 500);
    r->deadline = now + world_between(w, 20, 400);
    if (w->brief && !w->quiet && w->t / BRIEF_NS % 2 == 0 &&
        !world_chance(w, 20)) {
        r->has_deadline = true;
        r->deadline = now + world_between(w, 20, 60);
    }
    r->bytes = 100;
    *q = (struct track){.entry = entry,
                        .run = w->members[entry].run,
                        .key = r->key,
                        .idempotent = r->idempotent,
                        .marked = !r->needs_mark,
                        .deadline = now + ROUTER_LONGEST_NS};
    if (r->has_deadline) {
        q->deadline = MIN(q->deadline, r->deadline);
    }
    w->requests++;
    w->members[entry].arrivals++;
    world_event(w, entry, &ev);
}

static void
mark_some(struct world *w, int entry)
{
    for (int i = MAX(0, w->requests - 40); i < w->requests; i++) {
        struct track *q = &w->tracks[i];
        if (q->marked || q->run != w->members[entry].run ||
            !world_chance(w, 200)) {
            continue;
        }
        q->marked = w->plant != PLANT_EARLY_MARK;
        struct router_event ev = {.kind = ROUTER_MARKED, .id = (uint64_t)i};
        world_event(w, entry, &ev);
    }
}

static void
announce(struct world *w, int entry)
{
    struct member *m = &w->members[entry];
    char id[16];

    for (int i = 0; i < ENDPOINTS; i++) {
        bool told = w->leaving[i] && w->plant != PLANT_HIDE_LEAVING;
        snprintf(id, sizeof(id), "%d", i);
        struct router_event ev = {
            .kind = ROUTER_ENDPOINT,
            .endpoint = {.id = str_of(id),
                         .service = STR("s"),
                         .domain = i % 2 == 0 ? STR("d0") : STR("d1"),
                         .slots = 4,
                         .connections = 8,
                         .leaving = told,
                         .deadline = local_now(w, entry) + ANNOUNCED_NS}};
        m->seen[i] = w->leaving[i] ? 0 : ev.endpoint.deadline;
        if (told && world_chance(w, 500)) {
            ev.kind = ROUTER_ENDPOINT_GONE;
        }
        world_event(w, entry, &ev);
    }
}

static void
renew_config(struct world *w, int entry)
{
    struct member *m = &w->members[entry];
    struct router_event ev = {.kind = ROUTER_CONFIG_LEASE};

    ev.deadline = local_now(w, entry) + LEASE_NS;
    m->config_deadline = ev.deadline;
    if (w->plant == PLANT_LONG_LEASE) {
        m->config_deadline -= LEASE_NS * 3 / 4;
    }
    world_event(w, entry, &ev);
}

static void
set_team(struct world *w, int entry, int team)
{
    struct router_event ev = {.kind = ROUTER_TEAM,
                              .team = {.number = (uint32_t)team,
                                       .weight = 1 + (uint32_t)team,
                                       .limited = team == 0}};

    world_event(w, entry, &ev);
}

static void
start_entry(struct world *w, int entry)
{
    struct member *m = &w->members[entry];
    struct router_config config = {
        .domain = entry % 2 == 0 ? STR("d0") : STR("d1"),
        .seed = rng_next(&w->rng),
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

    if (w->plant == PLANT_BUDGET) {
        config.retry_percent = 100;
        config.retry_burst = 100;
        config.eject_percent = 1;
    }
    if (w->plant == PLANT_EJECT) {
        config.eject_percent = 100;
    }
    if (w->plant == PLANT_QUEUE) {
        config.queue_max = 2 * QUEUE_MAX;
    }
    router_destroy(m->router);
    *m = (struct member){.run = ++w->runs,
                         .offset = world_between(w, 1000, 100000),
                         .ppm = (int64_t)rng_below(&w->rng, 801) - 400};
    /* The first processes are old enough to record a promise. */
    int64_t age = w->runs <= ENTRIES ? WINDOW_NS : 0;
    m->router = router_create(&config, local_now(w, entry) - age);
    for (int team = 0; team < TEAMS; team++) {
        set_team(w, entry, team);
    }
    renew_config(w, entry);
    announce(w, entry);
    struct router_event ev = {.kind = ROUTER_LEADER, .term = w->term};
    world_event(w, entry, &ev);
}

static void
set_capacity(struct world *w, int pool, uint32_t capacity)
{
    bool endpoint = pool < ENDPOINTS;

    if (capacity < w->capacity[pool]) {
        w->allowed_until[pool] = w->t + WINDOW_NS;
    }
    w->capacity[pool] = capacity;
    w->allowed[pool] = MAX(w->allowed[pool], capacity);
    for (int i = 0; i < LEDGERS; i++) {
        ledger_pool_set(w->ledgers[i], w->t, pool_name(pool),
                        endpoint ? STR("s") : STR(""),
                        pool % 2 == 0 ? STR("d0") : STR("d1"), capacity);
    }
}

static void
change_leader(struct world *w)
{
    size_t count = w->plant == PLANT_FORGET_VMS ? 0 : ENTRIES;

    world_commit(w, true);
    w->leader = (int)rng_below(&w->rng, LEDGERS);
    w->term++;
    ledger_leader_changed(w->ledgers[w->leader], w->t, w->term, w->vms, count);
    for (int i = 0; i < ENTRIES; i++) {
        g_ptr_array_add(w->mails, mail_copy(&(struct mail){
                                      .kind = MAIL_LEADER,
                                      .at = w->t + world_between(w, 1, 100),
                                      .entry = i,
                                      .run = w->members[i].run,
                                      .term = w->term}));
    }
}

static void
withdraw(struct world *w, int entry)
{
    uint64_t key = rng_below(&w->rng, 5);
    struct router_event ev = {.kind = ROUTER_KEY_WITHDRAWN, .key = key};

    for (int i = 0; i < w->requests; i++) {
        struct track *q = &w->tracks[i];
        q->withdrawn |= q->key == key && q->run == w->members[entry].run;
    }
    if (w->plant != PLANT_HIDE_KEY) {
        world_event(w, entry, &ev);
    }
}

/*
 * Cuts an entry off beside a leader change, when requests have become longer.
 * What shows only then is rare among all faults, because every other entry has
 * to report, from a process that is old enough.
 */
static void
isolate(struct world *w, int entry)
{
    bool cut = false;

    for (int i = 0; i < ENTRIES; i++) {
        cut = cut || w->members[i].cut > 0;
    }
    if (!cut && w->t / BRIEF_NS % 2 != 0) {
        w->members[entry].cut = STEPS / 2;
        change_leader(w);
    }
}

static void
chaos(struct world *w)
{
    int entry = (int)rng_below(&w->rng, ENTRIES);
    int endpoint = (int)rng_below(&w->rng, ENDPOINTS);
    struct member *m = &w->members[entry];
    struct router_event ev = {.kind = ROUTER_CALLER_GONE};

    if (w->plant >= PLANT_LOST_RECORD) {
        isolate(w, entry);
        return;
    }
    switch (rng_below(&w->rng, 12)) {
    case 0:
        start_entry(w, entry);
        break;
    case 1:
        m->paused = (int)rng_below(&w->rng, 150);
        break;
    case 2:
        m->cut = (int)rng_below(&w->rng, 150);
        /* The next leader does not hear from an entry that goes on. */
        if (world_chance(w, 500)) {
            change_leader(w);
        }
        break;
    case 3:
        change_leader(w);
        break;
    case 4:
        set_capacity(w, endpoint, 1 + (uint32_t)rng_below(&w->rng, 4));
        break;
    case 5:
        set_capacity(w, ENDPOINTS, 1 + (uint32_t)rng_below(&w->rng, 6));
        break;
    case 6:
        w->leaving[endpoint] = !w->leaving[endpoint];
        break;
    case 7:
        w->failing[endpoint] = !w->failing[endpoint];
        break;
    case 8:
        withdraw(w, entry);
        break;
    case 9:
        ev.kind = ROUTER_DRAIN;
        if (m->paused == 0) {
            world_event(w, entry, &ev);
        }
        break;
    default:
        if (m->paused == 0 && w->requests > 0) {
            ev.id = (uint64_t)w->requests - 1 -
                    rng_below(&w->rng, (uint64_t)MIN(w->requests, 20));
            if (w->tracks[ev.id].run == m->run) {
                world_event(w, entry, &ev);
            }
        }
    }
}

static void
send_report(struct world *w, int entry)
{
    struct member *m = &w->members[entry];
    struct mail mail = {.kind = MAIL_REPORT, .entry = entry, .run = m->run};

    router_report(m->router, local_now(w, entry), &w->report);
    m->early_most = MAX(m->early_most, w->report.early_ns);
    if (w->plant == PLANT_EARLY_END) {
        w->report.early_ns = ROUTER_LONGEST_NS;
    }
    if (w->plant == PLANT_LOST_RAISE) {
        w->report.early_ns = m->early_most;
    }
    mail.report = w->report;
    world_post(w, mail);
    if (w->plant == PLANT_STALE_REPORT && world_chance(w, 300)) {
        mail.report.seq += 40;
        mail.report.ack.seq += 1000;
        mail.at = w->t + world_between(w, 20, 200);
        g_ptr_array_add(w->mails, mail_copy(&mail));
    }
}

static void
run_entry(struct world *w, int entry, int64_t n)
{
    struct member *m = &w->members[entry];
    struct router_event tick = {.kind = ROUTER_TICK};

    m->cut -= m->cut > 0;
    if (m->paused > 0) {
        m->resumed = local_now(w, entry) + STEP_NS;
        return;
    }
    world_event(w, entry, &tick);
    if (m->cut == 0 && n % 10 == entry) {
        renew_config(w, entry);
        announce(w, entry);
    }
    if (!w->quiet && world_chance(w, 350)) {
        arrive(w, entry);
    }
    mark_some(w, entry);
    if (local_now(w, entry) >= router_report_due(m->router)) {
        send_report(w, entry);
    }
    check_bounds(w, entry);
}

static void
world_step(struct world *w, int64_t n)
{
    w->t += STEP_NS;
    for (int i = 0; i < ENTRIES; i++) {
        w->members[i].paused -= w->members[i].paused > 0;
    }
    world_deliver(w);
    land(w);
    world_lead(w);
    for (int i = 0; i < ENTRIES; i++) {
        run_entry(w, i, n);
    }
    check_pools(w);
    if (!w->quiet && world_chance(w, 60)) {
        chaos(w);
    }
}

static void
world_init(struct world *w, uint64_t seed, enum plant plant, bool brief)
{
    struct ledger_config config = {.lease_ns = LEASE_NS,
                                   .margin_ns = MARGIN_NS,
                                   .drift_ppm = 2 * DRIFT_PPM,
                                   .longest_request_ns = LEDGER_LONGEST_NS,
                                   .balance_ns = STEP_NS,
                                   .resend_ns = 40 * NS_PER_MS,
                                   .record_ns = 20 * NS_PER_MS};

    bool failing = plant == PLANT_BUDGET || plant == PLANT_EJECT;
    static const struct str names[] = {STR("vm0"), STR("vm1"), STR("vm2"),
                                       STR("vm3")};

    *w = (struct world){
        .rng = {seed}, .plant = plant, .t = NS_PER_S, .brief = brief};
    w->mails = g_ptr_array_new();
    w->log = g_array_new(FALSE, FALSE, sizeof(struct command));
    w->flights = g_array_new(FALSE, FALSE, sizeof(struct flight));
    if (plant == PLANT_EARLY_RECLAIM) {
        config.longest_request_ns = 1;
        config.lease_ns = LEASE_NS / 3;
    }
    for (int i = 0; i < LEDGERS; i++) {
        w->ledgers[i] = ledger_create(&config);
    }
    w->term = 1;
    ledger_leader_changed(w->ledgers[0], w->t, w->term, NULL, 0);
    for (int i = 0; i < POOLS; i++) {
        set_capacity(w, i, i < ENDPOINTS ? 2 : TEAM_LIMIT);
    }
    for (int i = 0; i < ENDPOINTS; i++) {
        w->failing[i] = failing && i != 0;
    }
    for (int i = 0; i < ENTRIES; i++) {
        start_entry(w, i);
        w->vms[i] = (struct ledger_vm){names[i], w->members[i].run, 0};
    }
}

static void
world_free(struct world *w)
{
    for (int i = 0; i < ENTRIES; i++) {
        router_destroy(w->members[i].router);
    }
    for (int i = 0; i < LEDGERS; i++) {
        ledger_destroy(w->ledgers[i]);
    }
    for (guint i = 0; i < w->mails->len; i++) {
        mail_free(g_ptr_array_index(w->mails, i));
    }
    g_ptr_array_free(w->mails, TRUE);
    g_array_free(w->flights, TRUE);
    g_array_free(w->log, TRUE);
    router_actions_free(&w->actions);
    report_free(&w->report);
    grants_free(&w->grants);
}

/* Faults end; every request must have been answered and new ones served. */
static void
settle(struct world *w)
{
    int first;

    w->quiet = true;
    for (int i = 0; i < ENDPOINTS; i++) {
        w->leaving[i] = false;
        w->failing[i] = false;
    }
    /* With a limit of 1, two requests of the team at two entries may take
     * longer than the deadline, which is no fault. */
    set_capacity(w, ENDPOINTS, TEAM_LIMIT);
    for (int i = 0; i < ENTRIES; i++) {
        w->members[i].paused = 0;
        w->members[i].cut = 0;
    }
    for (int n = 0; n < QUIET_STEPS; n++) {
        world_step(w, n);
    }
    first = w->requests;
    for (int i = 0; i < ENTRIES && w->requests < REQUESTS; i++) {
        arrive(w, i);
        w->tracks[w->requests - 1].deadline += NS_PER_S;
    }
    for (int n = 0; n < 80; n++) {
        world_step(w, n);
    }
    check_end(w, first);
}

unsigned
world_run(uint64_t seed, enum plant plant, bool brief)
{
    static struct world w;

    world_init(&w, seed, plant, brief);
    for (int n = 0; n < STEPS; n++) {
        world_step(&w, n);
    }
    settle(&w);
    world_free(&w);
    return w.found;
}
