#include "route_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "mem.h"

const struct request_class classes[CLASSES] = {
    {0.8, 10 * NS_PER_MS, 500 * NS_PER_MS, true},
    {0.2, 100 * NS_PER_MS, 5 * NS_PER_S, false},
};

static int64_t
exponential(struct model *m, int64_t mean)
{
    return (int64_t)(-log(1 - rng_unit(&m->rng)) * (double)mean);
}

static int64_t
delay(struct model *m)
{
    return NS_PER_MS + (int64_t)rng_below(&m->net, 2 * NS_PER_MS);
}

struct event *
model_event_add(struct model *m, enum event_kind kind, int entry, int64_t at)
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
    struct event *e = model_event_add(m, EV_ENDED, entry,
                                      m->now + delay(m) + work + delay(m));

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
    e = model_event_add(m, EV_REPORT, entry, m->now + delay(m));
    e->report = m->report;
    copy_items(&e->report);
    if (measuring(m)) {
        m->reports++;
        m->report_bytes += 40 + 16 * m->report.count;
    }
}

void
model_step(struct model *m, int entry, const struct router_event *ev)
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
    struct event *e = model_event_add(m, EV_GRANTS, entry, m->now + delay(m));

    e->grants = m->grants;
    copy_grants(&e->grants);
    m->moved += measuring(m) ? m->grants.count : 0;
}

static void
lead(struct model *m);

static bool
leaderless(const struct model *m)
{
    return m->scenario->elect && m->now >= WARM_NS &&
           m->now < WARM_NS + ELECTION_NS;
}

/* A new leader forgets all holdings, and every entry is told of it. */
static void
elect(struct model *m)
{
    struct router_event ev = {.kind = ROUTER_LEADER, .term = ++m->term};

    ledger_leader_changed(m->ledger, m->now, m->term, m->vms,
                          (size_t)m->scenario->entries);
    for (int i = 0; i < m->scenario->entries; i++) {
        if (!is_dead(m, i)) {
            model_step(m, i, &ev);
        }
    }
}

static void
record_promises(struct model *m)
{
    struct ledger_record r;

    while (ledger_record_due(m->ledger, &r)) {
        model_event_add(m, EV_COMMITTED, (int)r.run, m->now + COMMIT_NS)
            ->record = r;
    }
}

static void
committed(struct model *m, const struct event *e)
{
    m->commits += measuring(m);
    m->vms[e->entry].early_ns = e->record.early_ns;
    ledger_recorded(m->ledger, &e->record);
    lead(m);
}

static void
lead(struct model *m)
{
    int64_t start = clock_now();
    uint64_t run;

    if (leaderless(m)) {
        return;
    }
    ledger_tick(m->ledger, m->now);
    record_promises(m);
    while (ledger_due(m->ledger, m->now, &run)) {
        ledger_plan(m->ledger, m->now, run, &m->grants);
        send_grants(m, (int)run);
    }
    m->cpu_ns += clock_now() - start;
}

struct str
model_domain_of(int n)
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
    if (!leaderless(m)) {
        ledger_report(m->ledger, m->now, (uint64_t)e->entry, str_of(vm),
                      model_domain_of(e->entry), &e->report);
    }
    if (!leaderless(m) &&
        ledger_plan(m->ledger, m->now, (uint64_t)e->entry, &m->grants)) {
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
        model_step(m, e->entry, &ev);
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

int64_t
model_next_gap(struct model *m, int entry)
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
    model_step(m, entry, &ev);
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
    model_step(m, e->entry, &ev);
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
            model_step(m, i, &ev);
        }
        send_report(m, i);
    }
    if (m->scenario->elect && m->term == 1 &&
        m->now >= WARM_NS + ELECTION_NS) {
        elect(m);
    }
    if (!m->mode->fixed) {
        lead(m);
    }
    sample_idle(m);
    model_event_add(m, EV_TICK, 0, m->now + TICK_NS);
}

void
model_handle(struct model *m, struct event *e)
{
    switch (e->kind) {
    case EV_ARRIVE:
        arrive(m, balance(m, e->entry));
        if (m->now < m->scenario->end_ns) {
            model_event_add(m, EV_ARRIVE, e->entry,
                            m->now + model_next_gap(m, e->entry));
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
    case EV_COMMITTED:
        committed(m, e);
        break;
    case EV_TICK:
        tick(m);
        break;
    }
}
