#include <stdio.h>
#include <stdlib.h>

#include "mem.h"
#include "route_world.h"

static bool
chance(struct world *w, unsigned per_mille)
{
    return rng_below(&w->rng, 1000) < per_mille;
}

static int64_t
between(struct world *w, int64_t low_ms, int64_t high_ms)
{
    return (low_ms +
            (int64_t)rng_below(&w->rng, (uint64_t)(high_ms - low_ms + 1))) *
           NS_PER_MS;
}

int64_t
local_now(const struct world *w, int entry)
{
    const struct member *m = &w->members[entry];

    return m->offset + w->t + w->t / 1000000 * m->ppm;
}

struct str
pool_name(int pool)
{
    static const char *const names[POOLS] = {"e:0", "e:1", "e:2",
                                             "e:3", "t:0", "t:1"};

    return str_of(names[pool]);
}

static void
launch(struct world *w, int entry, const struct router_action *a, int team)
{
    struct track *q = &w->tracks[a->request];
    int64_t left = a->deadline - local_now(w, entry);
    struct flight f = {.live = true,
                       .request = (int)a->request,
                       .attempt = a->attempt,
                       .entry = entry,
                       .run = w->members[entry].run,
                       .endpoint = atoi(a->endpoint.ptr),
                       .team = team,
                       .bytes = true,
                       .start = w->t,
                       .end = w->t + between(w, 1, 60)};

    if (!w->quiet && (w->failing[f.endpoint] || chance(w, 30))) {
        f.result = ATTEMPT_ERROR_RESPONSE + rng_below(&w->rng, 5);
        f.bytes = f.result != ATTEMPT_REFUSED;
        if (f.result == ATTEMPT_TIMED_OUT) {
            f.end = w->t + ROUTER_LONGEST_NS;
        }
    }
    if (w->plant == PLANT_EARLY_RECLAIM) {
        f.end = w->t + ROUTER_LONGEST_NS;
    }
    /* The endpoint drops what is past the deadline sent along. */
    if (f.end > w->t + left + CANCEL_NS) {
        f.end = w->t + left + CANCEL_NS;
    }
    q->bytes = q->bytes || f.bytes;
    g_array_append_val(w->flights, f);
}

static void
cancel(struct world *w, const struct router_action *a)
{
    for (guint i = 0; i < w->flights->len; i++) {
        struct flight *f = &g_array_index(w->flights, struct flight, i);
        if (f->live && f->request == (int)a->request &&
            f->attempt == a->attempt) {
            f->end = MIN(f->end, w->t + CANCEL_NS);
            f->result = ATTEMPT_CANCELLED;
        }
    }
}

static int
team_of(uint64_t request)
{
    return (int)(request % TEAMS);
}

static void
perform(struct world *w, int entry)
{
    for (size_t i = 0; i < w->actions.count; i++) {
        const struct router_action *a = &w->actions.items[i];
        switch (a->kind) {
        case ROUTER_SEND:
            check_send(w, entry, a);
            launch(w, entry, a, team_of(a->request));
            break;
        case ROUTER_CANCEL:
            cancel(w, a);
            break;
        default:
            if (w->plant != PLANT_LOST_END || !chance(w, 20)) {
                check_answer(w, entry, a);
            }
        }
    }
    w->actions.count = 0;
}

static void
step(struct world *w, int entry, const struct router_event *ev)
{
    router_step(w->members[entry].router, local_now(w, entry), ev,
                &w->actions);
    perform(w, entry);
}

static void
mail_free(gpointer p)
{
    struct mail *m = p;

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

static struct mail *
mail_copy(const struct mail *from)
{
    struct mail *m = mem_alloc(sizeof(*m));

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

/* Sends, loses, repeats or delays a message. */
static void
post(struct world *w, struct mail mail)
{
    bool bad = !w->quiet;
    int copies = 1;

    if (bad && (w->members[mail.entry].cut > 0 || chance(w, 50))) {
        return;
    }
    copies += bad && chance(w, 50);
    for (int i = 0; i < copies; i++) {
        mail.at = w->t + between(w, 1, 12);
        if (bad && chance(w, 40)) {
            mail.at += between(w, 20, 800);
        }
        g_ptr_array_add(w->mails, mail_copy(&mail));
    }
}

static void
post_grants(struct world *w, int entry)
{
    struct mail mail = {.kind = MAIL_GRANT,
                        .entry = entry,
                        .run = w->members[entry].run,
                        .grants = w->grants};

    post(w, mail);
    if (w->plant == PLANT_STALE_GRANT && chance(w, 300)) {
        mail.grants.no.seq += 10;
        mail.grants.lease_ns *= 4;
        mail.at = w->t + between(w, 20, 200);
        g_ptr_array_add(w->mails, mail_copy(&mail));
    }
}

static int
entry_of_run(const struct world *w, uint64_t run)
{
    for (int i = 0; i < ENTRIES; i++) {
        if (w->members[i].run == run) {
            return i;
        }
    }
    return -1;
}

static void
leader_work(struct world *w)
{
    struct ledger *l = w->ledgers[w->leader];
    uint64_t run;

    ledger_tick(l, w->t);
    while (ledger_due(l, w->t, &run)) {
        g_assert_true(ledger_plan(l, w->t, run, &w->grants));
        if (entry_of_run(w, run) >= 0) {
            post_grants(w, entry_of_run(w, run));
        }
    }
}

static void
take_report(struct world *w, const struct mail *m)
{
    struct ledger *l = w->ledgers[w->leader];
    char vm[16];
    char domain[16];
    enum ledger_result result;

    snprintf(vm, sizeof(vm), "vm%d", m->entry);
    snprintf(domain, sizeof(domain), "d%d", m->entry % 2);
    result =
        ledger_report(l, w->t, m->run, str_of(vm), str_of(domain), &m->report);
    if (result == LEDGER_UNKNOWN) {
        post(w, (struct mail){.kind = MAIL_LEADER,
                              .entry = m->entry,
                              .run = m->run,
                              .term = w->term});
        return;
    }
    if (result == LEDGER_OK && m->run == w->members[m->entry].run &&
        ledger_plan(l, w->t, m->run, &w->grants)) {
        post_grants(w, m->entry);
    }
}

static void
open_mail(struct world *w, const struct mail *m)
{
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &m->grants};

    if (m->kind == MAIL_REPORT) {
        take_report(w, m);
        return;
    }
    if (m->run != w->members[m->entry].run) {
        return;
    }
    if (m->kind == MAIL_GRANT) {
        struct member *to = &w->members[m->entry];
        int64_t sent = router_report_sent(to->router, m->grants.report_seq);
        to->lease_until = MAX(to->lease_until, sent + m->grants.lease_ns);
    }
    if (m->kind == MAIL_LEADER) {
        ev = (struct router_event){.kind = ROUTER_LEADER, .term = m->term};
    }
    step(w, m->entry, &ev);
}

static void
deliver(struct world *w)
{
    for (guint i = 0; i < w->mails->len;) {
        struct mail *m = g_ptr_array_index(w->mails, i);
        if (m->at > w->t ||
            (m->kind != MAIL_REPORT && w->members[m->entry].paused > 0)) {
            i++;
            continue;
        }
        g_ptr_array_steal_index_fast(w->mails, i);
        open_mail(w, m);
        mail_free(m);
    }
}

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
            step(w, f.entry, &ev);
            if (!w->quiet && chance(w, 50)) {
                step(w, f.entry, &ev); /* a duplicate changes nothing */
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
    r->idempotent = chance(w, 600);
    r->needs_mark = !w->quiet && chance(w, 300);
    r->has_deadline = !w->quiet && chance(w, 500);
    r->deadline = now + between(w, 20, 400);
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
    step(w, entry, &ev);
}

static void
mark_some(struct world *w, int entry)
{
    for (int i = MAX(0, w->requests - 40); i < w->requests; i++) {
        struct track *q = &w->tracks[i];
        if (q->marked || q->run != w->members[entry].run || !chance(w, 200)) {
            continue;
        }
        q->marked = w->plant != PLANT_EARLY_MARK;
        struct router_event ev = {.kind = ROUTER_MARKED, .id = (uint64_t)i};
        step(w, entry, &ev);
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
        if (told && chance(w, 500)) {
            ev.kind = ROUTER_ENDPOINT_GONE;
        }
        step(w, entry, &ev);
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
    step(w, entry, &ev);
}

static void
set_team(struct world *w, int entry, int team)
{
    struct router_event ev = {.kind = ROUTER_TEAM,
                              .team = {.number = (uint32_t)team,
                                       .weight = 1 + (uint32_t)team,
                                       .limited = team == 0}};

    step(w, entry, &ev);
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
                         .offset = between(w, 1000, 100000),
                         .ppm = (int64_t)rng_below(&w->rng, 801) - 400};
    m->router = router_create(&config, local_now(w, entry));
    for (int team = 0; team < TEAMS; team++) {
        set_team(w, entry, team);
    }
    renew_config(w, entry);
    announce(w, entry);
    struct router_event ev = {.kind = ROUTER_LEADER, .term = w->term};
    step(w, entry, &ev);
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
    struct str vms[] = {STR("vm0"), STR("vm1"), STR("vm2"), STR("vm3")};
    size_t count = w->plant == PLANT_FORGET_VMS ? 0 : ENTRIES;

    w->leader = (int)rng_below(&w->rng, LEDGERS);
    w->term++;
    ledger_leader_changed(w->ledgers[w->leader], w->t, w->term, vms, count);
    for (int i = 0; i < ENTRIES; i++) {
        g_ptr_array_add(
            w->mails, mail_copy(&(struct mail){.kind = MAIL_LEADER,
                                               .at = w->t + between(w, 1, 100),
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
        step(w, entry, &ev);
    }
}

static void
chaos(struct world *w)
{
    int entry = (int)rng_below(&w->rng, ENTRIES);
    int endpoint = (int)rng_below(&w->rng, ENDPOINTS);
    struct member *m = &w->members[entry];
    struct router_event ev = {.kind = ROUTER_CALLER_GONE};

    switch (rng_below(&w->rng, 12)) {
    case 0:
        start_entry(w, entry);
        break;
    case 1:
        m->paused = (int)rng_below(&w->rng, 150);
        break;
    case 2:
        m->cut = (int)rng_below(&w->rng, 150);
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
            step(w, entry, &ev);
        }
        break;
    default:
        if (m->paused == 0 && w->requests > 0) {
            ev.id = (uint64_t)w->requests - 1 -
                    rng_below(&w->rng, (uint64_t)MIN(w->requests, 20));
            if (w->tracks[ev.id].run == m->run) {
                step(w, entry, &ev);
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
    mail.report = w->report;
    post(w, mail);
    if (w->plant == PLANT_STALE_REPORT && chance(w, 300)) {
        mail.report.seq += 40;
        mail.report.ack.seq += 1000;
        mail.at = w->t + between(w, 20, 200);
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
    step(w, entry, &tick);
    if (m->cut == 0 && n % 10 == entry) {
        renew_config(w, entry);
        announce(w, entry);
    }
    if (!w->quiet && chance(w, 350)) {
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
    deliver(w);
    land(w);
    leader_work(w);
    for (int i = 0; i < ENTRIES; i++) {
        run_entry(w, i, n);
    }
    check_pools(w);
    if (!w->quiet && chance(w, 60)) {
        chaos(w);
    }
}

static void
world_init(struct world *w, uint64_t seed, enum plant plant)
{
    struct ledger_config config = {.lease_ns = LEASE_NS,
                                   .margin_ns = MARGIN_NS,
                                   .drift_ppm = 2 * DRIFT_PPM,
                                   .longest_request_ns = LEDGER_LONGEST_NS,
                                   .balance_ns = STEP_NS,
                                   .resend_ns = 40 * NS_PER_MS};

    *w = (struct world){.rng = {seed}, .plant = plant, .t = NS_PER_S};
    w->mails = g_ptr_array_new();
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
        w->failing[i] = plant == PLANT_BUDGET && i != 0;
    }
    for (int i = 0; i < ENTRIES; i++) {
        start_entry(w, i);
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
world_run(uint64_t seed, enum plant plant)
{
    static struct world w;

    world_init(&w, seed, plant);
    for (int n = 0; n < STEPS; n++) {
        world_step(&w, n);
    }
    settle(&w);
    world_free(&w);
    return w.found;
}
