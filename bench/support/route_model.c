#include "route_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <valgrind/callgrind.h>

#include "mem.h"

const struct request_class classes[CLASSES] = {
    {0.8, 10 * NS_PER_MS, 500 * NS_PER_MS, true},
    {0.2, 100 * NS_PER_MS, 5 * NS_PER_S, false},
};

/* Draws from an exponential distribution, of the demand's generator. */
static int64_t
draw_exponential(struct model *m, int64_t mean)
{
    return (int64_t)(-log(1 - rng_unit(&m->demand_rng)) * (double)mean);
}

/* Draws the delay of one message: 1 to 3 ms. */
static int64_t
draw_delay_ns(struct model *m)
{
    return NS_PER_MS + (int64_t)rng_below(&m->delay_rng, 2 * NS_PER_MS);
}

struct event *
model_add_event(struct model *m, enum event_kind kind, int entry, int64_t at)
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
is_measuring(const struct model *m)
{
    return m->now >= WARMUP_NS &&
           m->now < WARMUP_NS + m->scenario->measured_ns;
}

static bool
is_dead(const struct model *m, int entry)
{
    return m->scenario->entry_dies && m->now >= WARMUP_NS &&
           entry == m->scenario->entries - 1;
}

/* The failing endpoints are 3, 13, 23 and so on. */
static bool
is_failing_endpoint(const struct model *m, int endpoint)
{
    return endpoint % 10 == 3 &&
           endpoint / 10 < m->scenario->failing_endpoints;
}

static void
start_attempt(struct model *m, int entry, const struct router_action *a)
{
    struct request *q = &m->requests[a->request];
    int endpoint = atoi(a->endpoint.ptr);
    bool failing = is_failing_endpoint(m, endpoint);
    int64_t work = failing ? NS_PER_MS : q->work_ns;
    struct event *e =
        model_add_event(m, EV_ATTEMPT_ENDED, entry,
                        m->now + draw_delay_ns(m) + work + draw_delay_ns(m));

    m->sends += is_measuring(m);
    m->retries += a->attempt > 1 && is_measuring(m);
    if (a->attempt == 1) {
        q->send_time = m->now;
    }
    e->request = a->request;
    e->attempt = a->attempt;
    e->endpoint = endpoint;
    e->ok = !failing;
    e->send_time = m->now;
    m->running_attempts[endpoint]++;
    m->started_attempts[endpoint] += is_measuring(m);
    m->slots_exceeded =
        m->slots_exceeded || m->running_attempts[endpoint] > SLOTS;
}

static void
count_completion(struct model *m, const struct router_action *a)
{
    const struct request *q = &m->requests[a->request];
    struct wait_samples *s = &m->waits[q->cls];

    if (!is_measuring(m)) {
        return;
    }
    if (m->now > q->arrival_time + classes[q->cls].timeout_ns) {
        m->late_count++;
        return;
    }
    m->useful_count[q->cls]++;
    m->useful_slot_ns += (double)q->work_ns + 4.0 * NS_PER_MS;
    if (s->count < MAX_WAIT_SAMPLES) {
        s->wait_us[s->count] =
            (uint32_t)((q->send_time - q->arrival_time) / NS_PER_US);
        s->count++;
    }
}

static void
perform_actions(struct model *m, int entry)
{
    for (size_t i = 0; i < m->actions.count; i++) {
        const struct router_action *a = &m->actions.items[i];
        if (a->kind == ROUTER_SEND) {
            start_attempt(m, entry, a);
        }
        else if (a->kind == ROUTER_COMPLETE) {
            count_completion(m, a);
        }
    }
    m->actions.count = 0;
}

static void
copy_report_items(struct report *r)
{
    struct unit_report *from = r->items;

    r->items = mem_alloc((r->count + 1) * sizeof(*from));
    for (size_t i = 0; i < r->count; i++) {
        r->items[i] = from[i];
        r->items[i].pool = str_dup(from[i].pool);
    }
}

static void
copy_grant_items(struct grants *g)
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

    if (m->mode->static_split ||
        m->now < router_report_due(m->routers[entry])) {
        return;
    }
    CALLGRIND_TOGGLE_COLLECT;
    router_report(m->routers[entry], m->now, &m->report);
    CALLGRIND_TOGGLE_COLLECT;
    e = model_add_event(m, EV_REPORT, entry, m->now + draw_delay_ns(m));
    e->report = m->report;
    copy_report_items(&e->report);
    if (is_measuring(m)) {
        m->report_count++;
        m->report_bytes += 40 + 16 * m->report.count;
    }
}

void
model_step_router(struct model *m, int entry, const struct router_event *ev)
{
    int64_t start = clock_now();

    CALLGRIND_TOGGLE_COLLECT;
    router_step(m->routers[entry], m->now, ev, &m->actions);
    CALLGRIND_TOGGLE_COLLECT;
    m->cpu_ns += clock_now() - start;
    perform_actions(m, entry);
    send_report(m, entry);
}

static void
send_grants(struct model *m, int entry)
{
    struct event *e =
        model_add_event(m, EV_GRANTS, entry, m->now + draw_delay_ns(m));

    e->grants = m->grants;
    copy_grant_items(&e->grants);
    m->granted_pool_count += is_measuring(m) ? m->grants.count : 0;
}

static void
run_leader(struct model *m);

static bool
is_leaderless(const struct model *m)
{
    return m->scenario->leader_changes && m->now >= WARMUP_NS &&
           m->now < WARMUP_NS + ELECTION_NS;
}

/* Makes the ledger that of a new leader, which forgets all holdings, and tells
 * every live entry. */
static void
change_leader(struct model *m)
{
    struct router_event ev = {.kind = ROUTER_LEADER, .term = ++m->term};

    ledger_leader_changed(m->ledger, m->now, m->term, m->vms,
                          (size_t)m->scenario->entries);
    for (int i = 0; i < m->scenario->entries; i++) {
        if (!is_dead(m, i)) {
            model_step_router(m, i, &ev);
        }
    }
}

/* Schedules the commit of the ledger's due records. */
static void
schedule_records(struct model *m)
{
    struct ledger_record r;

    while (ledger_take_due_record(m->ledger, &r)) {
        model_add_event(m, EV_COMMITTED, (int)r.run, m->now + COMMIT_NS)
            ->record = r;
    }
}

static void
apply_record(struct model *m, const struct event *e)
{
    m->recorded_count += is_measuring(m);
    m->vms[e->entry].early_ns = e->record.early_ns;
    ledger_confirm_record(m->ledger, &e->record);
    run_leader(m);
}

/* Fills m->grants for the next entry that is due; returns whether one is. */
static bool
fill_due_grants(struct model *m, uint64_t *run)
{
    bool due;

    CALLGRIND_TOGGLE_COLLECT;
    due = ledger_due(m->ledger, m->now, run);
    if (due) {
        ledger_fill_grants(m->ledger, m->now, *run, &m->grants);
    }
    CALLGRIND_TOGGLE_COLLECT;
    return due;
}

/* Runs the ledger's timers and sends the grants that are due. */
static void
run_leader(struct model *m)
{
    int64_t start = clock_now();
    uint64_t run;

    if (is_leaderless(m)) {
        return;
    }
    CALLGRIND_TOGGLE_COLLECT;
    ledger_tick(m->ledger, m->now);
    CALLGRIND_TOGGLE_COLLECT;
    schedule_records(m);
    while (fill_due_grants(m, &run)) {
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
handle_report(struct model *m, struct event *e)
{
    char vm[16];
    bool granted = false;
    int64_t start = clock_now();

    snprintf(vm, sizeof(vm), "vm%d", e->entry);
    if (!is_leaderless(m)) {
        CALLGRIND_TOGGLE_COLLECT;
        ledger_report(m->ledger, m->now, (uint64_t)e->entry, str_of(vm),
                      model_domain_of(e->entry), &e->report);
        granted = ledger_fill_grants(m->ledger, m->now, (uint64_t)e->entry,
                                     &m->grants);
        CALLGRIND_TOGGLE_COLLECT;
    }
    if (granted) {
        send_grants(m, e->entry);
    }
    m->cpu_ns += clock_now() - start;
    run_leader(m);
    for (size_t i = 0; i < e->report.count; i++) {
        str_free(&e->report.items[i].pool);
    }
    report_free(&e->report);
}

static void
handle_grants(struct model *m, struct event *e)
{
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &e->grants};

    if (!is_dead(m, e->entry)) {
        model_step_router(m, e->entry, &ev);
    }
    for (size_t i = 0; i < e->grants.count; i++) {
        str_free(&e->grants.items[i].pool);
    }
    grants_free(&e->grants);
}

/* Returns the share, from 0 to 1, of the demand that arrives at an entry. */
static double
entry_demand_share(const struct model *m, int entry)
{
    int busy_group = 0; /* of three entries */

    if (!m->scenario->uneven_demand && !m->scenario->demand_shifts) {
        return 1.0 / m->scenario->entries;
    }
    if (m->scenario->demand_shifts && m->now >= WARMUP_NS + MEASURED_NS / 2) {
        busy_group = 2;
    }
    return entry / 3 == busy_group ? 0.8 / 3 : 0.2 / 6;
}

int64_t
model_draw_gap_ns(struct model *m, int entry)
{
    double slots = m->scenario->endpoints * SLOTS;
    double rate = m->scenario->load * slots / (double)MEAN_SLOT_TIME_NS;

    return 1 + draw_exponential(
                   m, (int64_t)(1 / (rate * entry_demand_share(m, entry))));
}

static void
add_request(struct model *m, int entry)
{
    int cls = rng_unit(&m->demand_rng) < classes[0].share ? 0 : 1;

    if (m->request_count == m->request_cap) {
        m->request_cap = m->request_cap == 0 ? 65536 : m->request_cap * 2;
        m->requests =
            mem_realloc(m->requests, m->request_cap, sizeof(*m->requests));
    }
    m->requests[m->request_count] =
        (struct request){.arrival_time = m->now,
                         .work_ns = draw_exponential(m, classes[cls].work_ns),
                         .cls = (uint8_t)cls,
                         .entry = (uint8_t)entry};
    m->offered_count[cls] += is_measuring(m);
}

static void
submit_request(struct model *m, int entry)
{
    uint64_t id = m->request_count;
    const struct mode *mode = m->mode;
    struct router_event ev = {.kind = ROUTER_REQUEST};

    add_request(m, entry);
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
    model_step_router(m, entry, &ev);
}

/* Returns the entry, or a random live one in place of a dead one, as a load
 * balancer would choose. */
static int
pick_live_entry(struct model *m, int entry)
{
    int others = m->scenario->entries - 1;

    return is_dead(m, entry) ? (int)rng_below(&m->demand_rng, (uint64_t)others)
                             : entry;
}

static void
end_attempt(struct model *m, const struct event *e)
{
    struct router_event ev = {.kind = ROUTER_ATTEMPT_ENDED};

    m->running_attempts[e->endpoint]--;
    m->successful_attempts[e->endpoint] += e->ok && is_measuring(m);
    if (is_dead(m, e->entry)) {
        return;
    }
    ev.attempt = (struct router_attempt){
        .request = e->request,
        .attempt = e->attempt,
        .result = e->ok ? ATTEMPT_OK : ATTEMPT_RESET,
        .bytes_sent = true,
        .duration_ns = m->now - e->send_time,
    };
    model_step_router(m, e->entry, &ev);
}

/* Samples queues, idle slots and held units; once each tick. */
static void
sample_slots(struct model *m)
{
    uint32_t all_waiting = 0;
    uint32_t all_idle = (uint32_t)m->scenario->endpoints * SLOTS;
    uint32_t shifted_held = 0;

    for (int i = 0; i < m->scenario->entries; i++) {
        struct router_stats s;
        if (is_dead(m, i)) {
            continue;
        }
        router_stats(m->routers[i], &s);
        all_waiting += s.queued;
        all_idle -= s.in_flight;
        shifted_held += i >= 6 ? s.slots_held : 0;
        if (s.queued > m->max_queued) {
            m->max_queued = s.queued;
        }
    }
    if (m->now / TICK_NS < HELD_SAMPLES) {
        m->shifted_held[m->now / TICK_NS] = (float)shifted_held;
    }
    if (!is_measuring(m)) {
        return;
    }
    m->idle_sample_count++;
    m->idle_strict += all_waiting > 0 ? all_idle : 0;
    m->idle_matched += all_waiting < all_idle ? all_waiting : all_idle;
}

static void
handle_tick(struct model *m)
{
    struct router_event ev = {.kind = ROUTER_TICK};

    for (int i = 0; i < m->scenario->entries; i++) {
        if (is_dead(m, i)) {
            continue;
        }
        if (router_next_deadline(m->routers[i]) <= m->now) {
            model_step_router(m, i, &ev);
        }
        send_report(m, i);
    }
    if (m->scenario->leader_changes && m->term == 1 &&
        m->now >= WARMUP_NS + ELECTION_NS) {
        change_leader(m);
    }
    if (!m->mode->static_split) {
        run_leader(m);
    }
    sample_slots(m);
    model_add_event(m, EV_TICK, 0, m->now + TICK_NS);
}

void
model_handle_event(struct model *m, struct event *e)
{
    switch (e->kind) {
    case EV_REQUEST:
        submit_request(m, pick_live_entry(m, e->entry));
        if (m->now < m->scenario->end_ns) {
            model_add_event(m, EV_REQUEST, e->entry,
                            m->now + model_draw_gap_ns(m, e->entry));
        }
        break;
    case EV_ATTEMPT_ENDED:
        end_attempt(m, e);
        break;
    case EV_REPORT:
        handle_report(m, e);
        break;
    case EV_GRANTS:
        handle_grants(m, e);
        break;
    case EV_COMMITTED:
        apply_record(m, e);
        break;
    case EV_TICK:
        handle_tick(m);
        break;
    }
}
