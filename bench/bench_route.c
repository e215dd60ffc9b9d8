/*
 * Model of several entries, one ledger and one service in seeded model time.
 * Prints the measures of docs/routing.md for the router and for baselines.
 * Usage: bench_route [SEED [SECTION]], with sections from 1 to 4
 *        bench_route size ENTRIES ENDPOINTS SECONDS, at load 0.9 and seed 1
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "heap.h"
#include "ledger.h"
#include "mem.h"
#include "rng.h"
#include "router.h"

enum {
    ENTRIES = 9,
    ENTRIES_MAX = 22,
    DOMAINS = 3,
    ENDPOINTS = 50,
    ENDPOINTS_MAX = 500,
    SLOTS = 8,
    CAPACITY = ENDPOINTS * SLOTS,
    CLASSES = 2, /* check, bulk; each from a team of its own */
    MAX_WAITS = 1 << 20,
    SHIFT_SAMPLES = 20000,
};

#define WARM_NS (6 * NS_PER_S)
#define RUN_NS (8 * NS_PER_S)
/* More than the window after which a dead entry's units are free. */
#define LONG_RUN_NS (40 * NS_PER_S)
#define TICK_NS NS_PER_MS

static const struct {
    double share; /* of all requests */
    int64_t work_ns;
    int64_t timeout_ns;
    bool idempotent;
} classes[CLASSES] = {
    {0.8, 10 * NS_PER_MS, 500 * NS_PER_MS, true},
    {0.2, 100 * NS_PER_MS, 5 * NS_PER_S, false},
};

/* Mean slot time of a request, with 4 ms on the network. */
#define MEAN_SLOT_NS (32 * NS_PER_MS)

struct mode {
    const char *name;
    bool fixed;      /* equal static division of the slots */
    bool fifo;       /* no teams, classes or deadlines */
    bool no_refusal; /* the router believes in longer timeouts */
    bool unlimited;  /* retries */
};

struct scenario {
    double load;
    int entries;
    int endpoints;
    int64_t end_ns; /* of the arrivals, in model time */
    int failing;    /* endpoints that reset connections */
    bool shift;     /* demand moves to other entries half-way */
    bool uneven;    /* a third of the entries has 80 % of the demand */
    int64_t run_ns; /* that is measured, after WARM_NS */
    bool kill;      /* the last entry dies when the measuring starts */
};

enum event_kind {
    EV_ARRIVE,
    EV_ENDED,
    EV_REPORT,
    EV_GRANTS,
    EV_TICK,
};

struct event {
    struct heap_node node;
    enum event_kind kind;
    int entry;
    uint64_t request;
    uint32_t attempt;
    int endpoint;
    bool ok;
    int64_t sent_at;
    struct report report;
    struct grants grants;
};

struct request {
    int64_t arrived;
    int64_t work;
    int64_t sent;
    uint8_t cls;
    uint8_t entry;
};

struct sample {
    uint32_t *us;
    size_t count;
};

struct model {
    const struct mode *mode;
    const struct scenario *scenario;
    struct rng rng;
    int64_t now;
    uint64_t seq;
    struct heap events;
    struct router *routers[ENTRIES_MAX];
    struct ledger *ledger;
    struct router_actions actions;
    struct report report;
    struct grants grants;
    struct request *requests;
    uint64_t request_count;
    uint64_t request_cap;
    uint32_t running[ENDPOINTS_MAX];
    uint64_t served[ENDPOINTS_MAX];
    uint64_t started[ENDPOINTS_MAX];
    double useful_ns;
    uint64_t useful[CLASSES];
    uint64_t offered[CLASSES];
    uint64_t sends;
    uint64_t retries;
    uint64_t late;
    struct sample waits[CLASSES];
    double idle_strict;
    double idle_matched;
    uint64_t samples;
    uint32_t max_queued;
    uint64_t report_bytes;
    uint64_t reports;
    uint64_t moved;
    float hot_held[SHIFT_SAMPLES];
    int64_t cpu_ns;
    bool over;
};

static int64_t
exponential(struct model *m, int64_t mean)
{
    return (int64_t)(-log(1 - rng_unit(&m->rng)) * (double)mean);
}

static int64_t
delay(struct model *m)
{
    return NS_PER_MS + (int64_t)rng_below(&m->rng, 2 * NS_PER_MS);
}

static struct event *
event_add(struct model *m, enum event_kind kind, int entry, int64_t at)
{
    struct event *e = mem_zalloc(1, sizeof(*e));

    e->kind = kind;
    e->entry = entry;
    e->node.key = at;
    e->node.seq = ++m->seq;
    heap_insert(&m->events, &e->node);
    return e;
}

static bool
measuring(const struct model *m)
{
    return m->now >= WARM_NS && m->now < WARM_NS + m->scenario->run_ns;
}

static bool
is_dead(const struct model *m, int entry)
{
    return m->scenario->kill && m->now >= WARM_NS &&
           entry == m->scenario->entries - 1;
}

static bool
fails(const struct model *m, int endpoint)
{
    return endpoint % 10 == 3 && endpoint / 10 < m->scenario->failing;
}

static void
start_attempt(struct model *m, int entry, const struct router_action *a)
{
    struct request *q = &m->requests[a->request];
    int endpoint = atoi(a->endpoint.ptr);
    bool bad = fails(m, endpoint);
    int64_t work = bad ? NS_PER_MS : q->work;
    struct event *e =
        event_add(m, EV_ENDED, entry, m->now + delay(m) + work + delay(m));

    m->sends += measuring(m);
    m->retries += a->attempt > 1 && measuring(m);
    if (a->attempt == 1) {
        q->sent = m->now;
    }
    e->request = a->request;
    e->attempt = a->attempt;
    e->endpoint = endpoint;
    e->ok = !bad;
    e->sent_at = m->now;
    m->running[endpoint]++;
    m->started[endpoint] += measuring(m);
    m->over = m->over || m->running[endpoint] > SLOTS;
}

static void
complete(struct model *m, const struct router_action *a)
{
    const struct request *q = &m->requests[a->request];
    struct sample *s = &m->waits[q->cls];

    if (!measuring(m)) {
        return;
    }
    if (m->now > q->arrived + classes[q->cls].timeout_ns) {
        m->late++;
        return;
    }
    m->useful[q->cls]++;
    m->useful_ns += (double)q->work + 4.0 * NS_PER_MS;
    if (s->count < MAX_WAITS) {
        s->us[s->count] = (uint32_t)((q->sent - q->arrived) / NS_PER_US);
        s->count++;
    }
}

static void
perform(struct model *m, int entry)
{
    for (size_t i = 0; i < m->actions.count; i++) {
        const struct router_action *a = &m->actions.items[i];
        if (a->kind == ROUTER_SEND) {
            start_attempt(m, entry, a);
        }
        else if (a->kind == ROUTER_COMPLETE) {
            complete(m, a);
        }
    }
    m->actions.count = 0;
}

static void
copy_items(struct report *r)
{
    struct unit_report *from = r->items;

    r->items = mem_alloc((r->count + 1) * sizeof(*from));
    for (size_t i = 0; i < r->count; i++) {
        r->items[i] = from[i];
        r->items[i].pool = str_dup(from[i].pool);
    }
}

static void
copy_grants(struct grants *g)
{
    struct unit_grant *from = g->items;

    g->items = mem_alloc((g->count + 1) * sizeof(*from));
    for (size_t i = 0; i < g->count; i++) {
        g->items[i] = from[i];
        g->items[i].pool = str_dup(from[i].pool);
    }
}

static void
send_report(struct model *m, int entry)
{
    struct event *e;

    if (m->mode->fixed || m->now < router_report_due(m->routers[entry])) {
        return;
    }
    router_report(m->routers[entry], m->now, &m->report);
    e = event_add(m, EV_REPORT, entry, m->now + delay(m));
    e->report = m->report;
    copy_items(&e->report);
    if (measuring(m)) {
        m->reports++;
        m->report_bytes += 40 + 16 * m->report.count;
    }
}

static void
step(struct model *m, int entry, const struct router_event *ev)
{
    int64_t start = clock_now();

    router_step(m->routers[entry], m->now, ev, &m->actions);
    m->cpu_ns += clock_now() - start;
    perform(m, entry);
    send_report(m, entry);
}

static void
send_grants(struct model *m, int entry)
{
    struct event *e = event_add(m, EV_GRANTS, entry, m->now + delay(m));

    e->grants = m->grants;
    copy_grants(&e->grants);
    m->moved += measuring(m) ? m->grants.count : 0;
}

static void
lead(struct model *m)
{
    int64_t start = clock_now();
    uint64_t run;

    ledger_tick(m->ledger, m->now);
    while (ledger_due(m->ledger, m->now, &run)) {
        ledger_plan(m->ledger, m->now, run, &m->grants);
        send_grants(m, (int)run);
    }
    m->cpu_ns += clock_now() - start;
}

static struct str
domain_of(int n)
{
    static const char *const names[DOMAINS] = {"d0", "d1", "d2"};

    return str_of(names[n % DOMAINS]);
}

static void
take_report(struct model *m, struct event *e)
{
    char vm[16];
    int64_t start = clock_now();

    snprintf(vm, sizeof(vm), "vm%d", e->entry);
    ledger_report(m->ledger, m->now, (uint64_t)e->entry, str_of(vm),
                  domain_of(e->entry), &e->report);
    if (ledger_plan(m->ledger, m->now, (uint64_t)e->entry, &m->grants)) {
        send_grants(m, e->entry);
    }
    m->cpu_ns += clock_now() - start;
    lead(m);
    for (size_t i = 0; i < e->report.count; i++) {
        str_free(&e->report.items[i].pool);
    }
    report_free(&e->report);
}

static void
take_grants(struct model *m, struct event *e)
{
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &e->grants};

    if (!is_dead(m, e->entry)) {
        step(m, e->entry, &ev);
    }
    for (size_t i = 0; i < e->grants.count; i++) {
        str_free(&e->grants.items[i].pool);
    }
    grants_free(&e->grants);
}

/* Part of the demand that arrives at an entry. */
static double
entry_share(const struct model *m, int entry)
{
    int hot = 0;

    if (!m->scenario->uneven && !m->scenario->shift) {
        return 1.0 / m->scenario->entries;
    }
    if (m->scenario->shift && m->now >= WARM_NS + RUN_NS / 2) {
        hot = 2;
    }
    return entry / 3 == hot ? 0.8 / 3 : 0.2 / 6;
}

static int64_t
next_gap(struct model *m, int entry)
{
    double slots = m->scenario->endpoints * SLOTS;
    double rate = m->scenario->load * slots / (double)MEAN_SLOT_NS;

    return 1 + exponential(m, (int64_t)(1 / (rate * entry_share(m, entry))));
}

static void
new_request(struct model *m, int entry)
{
    int cls = rng_unit(&m->rng) < classes[0].share ? 0 : 1;

    if (m->request_count == m->request_cap) {
        m->request_cap = m->request_cap == 0 ? 65536 : m->request_cap * 2;
        m->requests =
            mem_realloc(m->requests, m->request_cap, sizeof(*m->requests));
    }
    m->requests[m->request_count] =
        (struct request){.arrived = m->now,
                         .work = exponential(m, classes[cls].work_ns),
                         .cls = (uint8_t)cls,
                         .entry = (uint8_t)entry};
    m->offered[cls] += measuring(m);
}

static void
arrive(struct model *m, int entry)
{
    uint64_t id = m->request_count;
    const struct mode *mode = m->mode;
    struct router_event ev = {.kind = ROUTER_REQUEST};

    new_request(m, entry);
    int cls = m->requests[id].cls;
    ev.request = (struct router_request){
        .id = id,
        .key = (uint64_t)cls,
        .team = mode->fifo ? 0 : (uint32_t)cls,
        .service = STR("s"),
        .path_class = mode->fifo ? 0 : (uint32_t)cls,
        .idempotent = classes[cls].idempotent,
        .has_deadline = !mode->fifo,
        .deadline =
            m->now + classes[cls].timeout_ns * (mode->no_refusal ? 100 : 1),
        .bytes = 500,
    };
    m->request_count++;
    step(m, entry, &ev);
}

/* The load balancer sends what would meet a dead entry to another. */
static int
balance(struct model *m, int entry)
{
    int others = m->scenario->entries - 1;

    return is_dead(m, entry) ? (int)rng_below(&m->rng, (uint64_t)others)
                             : entry;
}

static void
ended(struct model *m, const struct event *e)
{
    struct router_event ev = {.kind = ROUTER_ATTEMPT_ENDED};

    m->running[e->endpoint]--;
    m->served[e->endpoint] += e->ok && measuring(m);
    if (is_dead(m, e->entry)) {
        return;
    }
    ev.attempt = (struct router_attempt){
        .request = e->request,
        .attempt = e->attempt,
        .result = e->ok ? ATTEMPT_OK : ATTEMPT_RESET,
        .bytes_sent = true,
        .duration_ns = m->now - e->sent_at,
    };
    step(m, e->entry, &ev);
}

static void
sample_idle(struct model *m)
{
    uint32_t all_waiting = 0;
    uint32_t all_idle = (uint32_t)m->scenario->endpoints * SLOTS;
    uint32_t hot = 0;

    for (int i = 0; i < m->scenario->entries; i++) {
        struct router_stats s;
        if (is_dead(m, i)) {
            continue;
        }
        router_stats(m->routers[i], &s);
        all_waiting += s.queued;
        all_idle -= s.in_flight;
        hot += i >= 6 ? s.slots_held : 0;
        if (s.queued > m->max_queued) {
            m->max_queued = s.queued;
        }
    }
    if (m->now / TICK_NS < SHIFT_SAMPLES) {
        m->hot_held[m->now / TICK_NS] = (float)hot;
    }
    if (!measuring(m)) {
        return;
    }
    m->samples++;
    m->idle_strict += all_waiting > 0 ? all_idle : 0;
    m->idle_matched += all_waiting < all_idle ? all_waiting : all_idle;
}

static void
tick(struct model *m)
{
    struct router_event ev = {.kind = ROUTER_TICK};

    for (int i = 0; i < m->scenario->entries; i++) {
        if (is_dead(m, i)) {
            continue;
        }
        if (router_next_deadline(m->routers[i]) <= m->now) {
            step(m, i, &ev);
        }
        send_report(m, i);
    }
    if (!m->mode->fixed) {
        lead(m);
    }
    sample_idle(m);
    event_add(m, EV_TICK, 0, m->now + TICK_NS);
}

static void
handle(struct model *m, struct event *e)
{
    switch (e->kind) {
    case EV_ARRIVE:
        arrive(m, balance(m, e->entry));
        if (m->now < m->scenario->end_ns) {
            event_add(m, EV_ARRIVE, e->entry, m->now + next_gap(m, e->entry));
        }
        break;
    case EV_ENDED:
        ended(m, e);
        break;
    case EV_REPORT:
        take_report(m, e);
        break;
    case EV_GRANTS:
        take_grants(m, e);
        break;
    case EV_TICK:
        tick(m);
        break;
    }
}

/* Equal static division: every entry gets its slots once and for ever. */
static void
grant_fixed(struct model *m, int entry)
{
    struct unit_grant items[ENDPOINTS_MAX];
    char names[ENDPOINTS_MAX][16];
    struct grants g = {.no = {1, 1},
                       .report_seq = 1,
                       .lease_ns = 1000 * NS_PER_S,
                       .items = items,
                       .count = (size_t)m->scenario->endpoints};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    router_report(m->routers[entry], m->now, &m->report);
    for (int i = 0; i < m->scenario->endpoints; i++) {
        uint32_t units = 0;
        for (int slot = 0; slot < SLOTS; slot++) {
            units += (i * SLOTS + slot) % m->scenario->entries == entry;
        }
        snprintf(names[i], sizeof(names[i]), "e:%d", i);
        items[i] = (struct unit_grant){str_of(names[i]), units};
    }
    step(m, entry, &ev);
}

static void
start_router(struct model *m, int entry)
{
    struct router_config c = {.domain = domain_of(entry),
                              .seed = rng_next(&m->rng)};
    struct router_event ev = {.kind = ROUTER_CONFIG_LEASE,
                              .deadline = 1000 * NS_PER_S};

    c.longest_request_ns = m->mode->no_refusal ? 900 * NS_PER_S : 0;
    if (m->mode->unlimited) {
        c.retry_percent = 100000;
        c.retry_burst = 1000000;
        c.eject_percent = 1;
    }
    m->routers[entry] = router_create(&c, m->now);
    step(m, entry, &ev);
    ev = (struct router_event){.kind = ROUTER_LEADER, .term = 1};
    step(m, entry, &ev);
    for (uint32_t team = 0; team < CLASSES; team++) {
        ev = (struct router_event){.kind = ROUTER_TEAM, .team = {team, 1, 0}};
        step(m, entry, &ev);
    }
    for (int i = 0; i < m->scenario->endpoints; i++) {
        char id[16];
        snprintf(id, sizeof(id), "%d", i);
        ev = (struct router_event){.kind = ROUTER_ENDPOINT,
                                   .endpoint = {str_of(id), STR("s"),
                                                domain_of(i), SLOTS, 64, false,
                                                1000 * NS_PER_S}};
        step(m, entry, &ev);
    }
    if (m->mode->fixed) {
        grant_fixed(m, entry);
    }
    event_add(m, EV_ARRIVE, entry, m->now + next_gap(m, entry));
}

static void
start(struct model *m)
{
    struct ledger_config c = {0};

    m->ledger = ledger_create(&c);
    ledger_leader_changed(m->ledger, m->now, 1, NULL, 0);
    for (int i = 0; i < m->scenario->endpoints; i++) {
        char pool[16];
        snprintf(pool, sizeof(pool), "e:%d", i);
        ledger_pool_set(m->ledger, m->now, str_of(pool), STR("s"),
                        domain_of(i), SLOTS);
    }
    for (int i = 0; i < CLASSES; i++) {
        m->waits[i].us = mem_alloc(MAX_WAITS * sizeof(uint32_t));
    }
    for (int i = 0; i < m->scenario->entries; i++) {
        start_router(m, i);
    }
    event_add(m, EV_TICK, 0, m->now + TICK_NS);
}

static void
finish(struct model *m)
{
    struct heap_node *n;

    while ((n = heap_pop(&m->events)) != NULL) {
        struct event *e = (struct event *)n;
        for (size_t i = 0; i < e->report.count; i++) {
            str_free(&e->report.items[i].pool);
        }
        for (size_t i = 0; i < e->grants.count; i++) {
            str_free(&e->grants.items[i].pool);
        }
        report_free(&e->report);
        grants_free(&e->grants);
        mem_free(e);
    }
    for (int i = 0; i < m->scenario->entries; i++) {
        router_destroy(m->routers[i]);
    }
    ledger_destroy(m->ledger);
    heap_free(&m->events);
    router_actions_free(&m->actions);
    report_free(&m->report);
    grants_free(&m->grants);
    mem_free(m->requests);
    for (int i = 0; i < CLASSES; i++) {
        mem_free(m->waits[i].us);
    }
}

static void
run(struct model *m, const struct mode *mode, const struct scenario *s,
    uint64_t seed)
{
    struct heap_node *n;

    memset(m, 0, sizeof(*m));
    m->mode = mode;
    m->scenario = s;
    m->rng.state = seed;
    m->now = NS_PER_MS;
    start(m);
    while ((n = heap_min(&m->events)) != NULL &&
           n->key < s->end_ns + NS_PER_S) {
        heap_remove(&m->events, n);
        m->now = n->key;
        handle(m, (struct event *)n);
        mem_free(n);
    }
}

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

static double
quantile_ms(struct sample *s, double q)
{
    if (s->count == 0) {
        return NAN;
    }
    qsort(s->us, s->count, sizeof(*s->us), compare_u32);
    return s->us[(size_t)(q * (double)(s->count - 1))] / 1000.0;
}

/* Time from the shift until the newly busy entries hold 90 % of what they
 * hold on average at the end. */
static double
reassign_ms(const struct model *m)
{
    int64_t at = (WARM_NS + RUN_NS / 2) / TICK_NS;
    int64_t end = (WARM_NS + RUN_NS) / TICK_NS;
    double last = 0;

    for (int64_t i = end - 1000; i < end; i++) {
        last += m->hot_held[i] / 1000;
    }
    for (int64_t i = at; i < end; i++) {
        if (m->hot_held[i] >= 0.9 * last) {
            return (double)(i - at);
        }
    }
    return NAN;
}

static void
print_row(struct model *m)
{
    double seconds = (double)m->scenario->run_ns / NS_PER_S;
    double busiest = 0;
    double total = 0;
    double samples = m->samples == 0 ? 1 : (double)m->samples;

    for (int i = 0; i < m->scenario->endpoints; i++) {
        busiest = fmax(busiest, (double)m->started[i]);
        total += (double)m->started[i];
    }
    printf("%-12s %5.2f %6.1f%% %8.0f %7.0f %6.1f%% %6.1f%% %8.1f %8.1f %8.1f "
           "%8.1f %6u %6.2f %5.1f%% %6.0f %5.1f%s\n",
           m->mode->name, m->scenario->load,
           100 * m->useful_ns / (double)m->scenario->run_ns / CAPACITY,
           (double)m->useful[0] / seconds, (double)m->useful[1] / seconds,
           100 * m->idle_strict / samples / CAPACITY,
           100 * m->idle_matched / samples / CAPACITY,
           quantile_ms(&m->waits[0], 0.5), quantile_ms(&m->waits[0], 0.99),
           quantile_ms(&m->waits[1], 0.5), quantile_ms(&m->waits[1], 0.99),
           m->max_queued, busiest * ENDPOINTS / total,
           100 * (double)m->retries / (double)(m->sends + 1),
           (double)m->cpu_ns / (double)m->request_count,
           (double)m->report_bytes / seconds / ENTRIES / 1024,
           m->over ? " SLOTS EXCEEDED" : "");
}

static void
print_head(const char *title)
{
    printf("\n%s\n%-12s %5s %7s %8s %7s %7s %7s %8s %8s %8s %8s %6s %6s %6s "
           "%6s %5s\n",
           title, "mode", "load", "goodput", "checks/s", "bulk/s", "idle",
           "match", "chk p50", "chk p99", "blk p50", "blk p99", "queue",
           "spread", "retry", "ns/req", "KB/s");
}

static uint64_t requests_total;

static void
compare(const char *title, const struct mode *modes, size_t count,
        struct scenario s, const double *loads, size_t load_count,
        uint64_t seed)
{
    static struct model m;

    s.entries = ENTRIES;
    s.endpoints = ENDPOINTS;
    s.run_ns = s.run_ns == 0 ? RUN_NS : s.run_ns;
    s.end_ns = WARM_NS + s.run_ns;
    print_head(title);
    for (size_t l = 0; l < load_count; l++) {
        s.load = loads[l];
        for (size_t i = 0; i < count; i++) {
            run(&m, &modes[i], &s, seed);
            requests_total += m.request_count;
            print_row(&m);
            if (s.shift && !modes[i].fixed) {
                printf("%-12s reassigned after %.0f ms\n", "",
                       reassign_ms(&m));
            }
            finish(&m);
        }
    }
}

/* Runs a size for callgrind and prints the number of requests. */
static int
run_size(char **args)
{
    static struct model m;
    static const struct mode leased = {.name = "leased"};
    struct scenario s = {.load = 0.9,
                         .entries = atoi(args[0]),
                         .endpoints = atoi(args[1]),
                         .end_ns = atoi(args[2]) * NS_PER_S};

    if (s.entries < 1 || s.entries > ENTRIES_MAX || s.endpoints < 1 ||
        s.endpoints > ENDPOINTS_MAX || s.end_ns < NS_PER_S) {
        fprintf(stderr, "at most %d entries and %d endpoints, at least 1 s\n",
                ENTRIES_MAX, ENDPOINTS_MAX);
        return 2;
    }
    run(&m, &leased, &s, 1);
    printf("%llu requests\n", (unsigned long long)m.request_count);
    finish(&m);
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct mode modes[] = {
        {.name = "leased"},
        {.name = "static", .fixed = true},
        {.name = "fifo", .fifo = true},
        {.name = "no-refusal", .no_refusal = true},
        {.name = "unlimited", .unlimited = true},
    };
    static const double normal[] = {0.9};
    static const double loads[] = {1, 2, 10};

    if (argc == 5 && strcmp(argv[1], "size") == 0) {
        return run_size(argv + 2);
    }
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int only = argc > 2 ? atoi(argv[2]) : 0;

    printf("9 entries, 50 endpoints of 8 slots, seed %llu\n",
           (unsigned long long)seed);
    if (only == 0 || only == 1) {
        compare("even demand", modes, 4, (struct scenario){0}, normal, 1,
                seed);
    }
    if (only == 0 || only == 2) {
        compare("80% of the demand at 3 of 9 entries", modes, 2,
                (struct scenario){.uneven = true}, normal, 1, seed);
    }
    if (only == 0 || only == 3) {
        compare("demand moves from 3 entries to 3 others", modes, 2,
                (struct scenario){.shift = true}, normal, 1, seed);
    }
    if (only == 0 || only == 4) {
        compare("overload, 10% of the endpoints fail", modes, 5,
                (struct scenario){.failing = 5}, loads, 3, seed);
    }
    if (only == 0 || only == 5) {
        compare("40 s, no fault", modes, 1,
                (struct scenario){.run_ns = LONG_RUN_NS}, normal, 1, seed);
        compare("40 s, one of 9 entries dies at the start", modes, 1,
                (struct scenario){.run_ns = LONG_RUN_NS, .kill = true}, normal,
                1, seed);
    }
    printf("\n%llu requests\n", (unsigned long long)requests_total);
    return 0;
}
