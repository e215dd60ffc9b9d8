/* Sets up a run, processes its events in order and frees it. */
#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "route_model.h"

/* Grants an entry its part of an equal static division of the slots, with a
 * lease that outlasts the run. */
static void
grant_static_split(struct model *m, int entry)
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
    model_step_router(m, entry, &ev);
}

/* Creates an entry's router, tells it leases, leader, teams and endpoints, and
 * schedules the first request. */
static void
start_entry(struct model *m, int entry)
{
    struct router_config c = {.domain = model_domain_of(entry),
                              .seed = rng_next(&m->demand_rng)};
    struct router_event ev = {.kind = ROUTER_CONFIG_LEASE,
                              .deadline = 1000 * NS_PER_S};
    char vm[16];

    c.longest_request_ns = m->mode->no_refusal ? 900 * NS_PER_S : 0;
    if (m->mode->unlimited_retries) {
        c.retry_percent = 100000;
        c.retry_burst = 1000000;
        c.eject_percent = 1;
    }
    m->routers[entry] = router_create(&c, m->now - PROCESS_AGE_NS);
    model_step_router(m, entry, &ev);
    ev = (struct router_event){.kind = ROUTER_LEADER, .term = 1};
    model_step_router(m, entry, &ev);
    for (uint32_t team = 0; team < CLASSES; team++) {
        ev = (struct router_event){.kind = ROUTER_TEAM, .team = {team, 1, 0}};
        model_step_router(m, entry, &ev);
    }
    for (int i = 0; i < m->scenario->endpoints; i++) {
        char id[16];
        snprintf(id, sizeof(id), "%d", i);
        ev = (struct router_event){.kind = ROUTER_ENDPOINT,
                                   .endpoint = {str_of(id), STR("s"),
                                                model_domain_of(i), SLOTS, 64,
                                                false, 1000 * NS_PER_S}};
        model_step_router(m, entry, &ev);
    }
    if (m->mode->static_split) {
        grant_static_split(m, entry);
    }
    snprintf(vm, sizeof(vm), "vm%d", entry);
    m->vms[entry] =
        (struct ledger_vm){str_dup(str_of(vm)), (uint64_t)entry, 0};
    model_add_event(m, EV_REQUEST, entry,
                    m->now + model_draw_gap_ns(m, entry));
}

static void
start_model(struct model *m)
{
    struct ledger_config c = {0};

    m->ledger = ledger_create(&c);
    m->term = 1;
    ledger_leader_changed(m->ledger, m->now, m->term, NULL, 0);
    for (int i = 0; i < m->scenario->endpoints; i++) {
        char pool[16];
        snprintf(pool, sizeof(pool), "e:%d", i);
        ledger_pool_set(m->ledger, m->now - PROCESS_AGE_NS, str_of(pool),
                        STR("s"), model_domain_of(i), SLOTS);
    }
    for (int i = 0; i < CLASSES; i++) {
        m->waits[i].wait_us = mem_alloc(MAX_WAIT_SAMPLES * sizeof(uint32_t));
    }
    for (int i = 0; i < m->scenario->entries; i++) {
        start_entry(m, i);
    }
    model_add_event(m, EV_TICK, 0, m->now + TICK_NS);
}

void
model_free(struct model *m)
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
        str_free(&m->vms[i].name);
    }
    ledger_destroy(m->ledger);
    heap_free(&m->events);
    router_actions_free(&m->actions);
    report_free(&m->report);
    grants_free(&m->grants);
    mem_free(m->requests);
    for (int i = 0; i < CLASSES; i++) {
        mem_free(m->waits[i].wait_us);
    }
}

void
model_run(struct model *m, const struct mode *mode, const struct scenario *s,
          uint64_t seed)
{
    struct heap_node *n;

    memset(m, 0, sizeof(*m));
    m->mode = mode;
    m->scenario = s;
    m->demand_rng.state = seed;
    m->delay_rng.state = ~seed;
    m->now = NS_PER_MS;
    start_model(m);
    while ((n = heap_min(&m->events)) != NULL &&
           n->key < s->end_ns + NS_PER_S) {
        heap_remove(&m->events, n);
        m->now = n->key;
        model_handle_event(m, (struct event *)n);
        mem_free(n);
    }
}
