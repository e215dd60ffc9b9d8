#include <stdio.h>
#include <stdlib.h>

#include "mem.h"
#include "route_world.h"

bool
world_chance(struct world *w, unsigned per_mille)
{
    return rng_below(&w->rng, 1000) < per_mille;
}

int64_t
world_between(struct world *w, int64_t low_ms, int64_t high_ms)
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
                       .end = w->t + world_between(w, 1, 60)};

    if (!w->quiet && (w->failing[f.endpoint] || world_chance(w, 30))) {
        f.result = ATTEMPT_ERROR_RESPONSE + rng_below(&w->rng, 5);
        f.bytes = f.result != ATTEMPT_REFUSED;
        if (f.result == ATTEMPT_TIMED_OUT) {
            f.end = w->t + ROUTER_LONGEST_NS;
        }
    }
    if (w->plant == PLANT_EARLY_RECLAIM || w->plant == PLANT_EARLY_END ||
        w->plant >= PLANT_LOST_RAISE) {
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

int
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
            if (w->plant != PLANT_LOST_END || !world_chance(w, 20)) {
                check_answer(w, entry, a);
            }
        }
    }
    w->actions.count = 0;
}

void
world_event(struct world *w, int entry, const struct router_event *ev)
{
    int64_t now = local_now(w, entry);

    if (w->plant == PLANT_SLOW_CLOCK) {
        now -= 100 * NS_PER_MS;
    }
    router_step(w->members[entry].router, now, ev, &w->actions);
    perform(w, entry);
}

void
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

struct mail *
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

void
world_post(struct world *w, struct mail mail)
{
    bool bad = !w->quiet;
    int copies = 1;

    if (bad && (w->members[mail.entry].cut > 0 || world_chance(w, 50))) {
        return;
    }
    copies += bad && world_chance(w, 50);
    for (int i = 0; i < copies; i++) {
        mail.at = w->t + world_between(w, 1, 12);
        if (bad && world_chance(w, 40)) {
            mail.at += world_between(w, 20, 800);
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

    if (w->plant == PLANT_DEAF) {
        return;
    }
    if (w->plant == PLANT_LOST_RAISE || w->plant == PLANT_EARLY_ANSWER) {
        mail.grants.early_ns = 0;
    }
    world_post(w, mail);
    if (w->plant == PLANT_STALE_GRANT && world_chance(w, 300)) {
        mail.grants.no.seq += 10;
        mail.grants.lease_ns *= 4;
        mail.at = w->t + world_between(w, 20, 200);
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
propose(struct world *w, int entry, struct ledger_record r)
{
    struct command c = {
        .at = w->t + world_between(w, 1, 60), .entry = entry, .record = r};
    bool slow = w->plant == PLANT_EARLY_ANSWER; /* waiting shows then */

    if (!w->quiet && world_chance(w, slow ? 500 : 40)) {
        c.at += world_between(w, 20, 800);
    }
    if (w->log->len > 0) {
        c.at = MAX(c.at,
                   g_array_index(w->log, struct command, w->log->len - 1).at);
    }
    if (w->quiet || !world_chance(w, 50)) {
        g_array_append_val(w->log, c);
    }
}

static void
apply(struct world *w, const struct command *c, bool leads)
{
    struct ledger_vm *vm = &w->vms[c->entry];
    const struct ledger_record *r = &c->record;

    if (r->seq == 0) {
        if (vm->run != r->run) {
            vm->run = r->run;
            vm->early_ns = 0;
        }
        return;
    }
    if (vm->run == r->run) {
        if (w->plant != PLANT_LOST_RECORD || r->early_ns > vm->early_ns) {
            vm->early_ns = r->early_ns;
        }
        if (leads) {
            ledger_recorded(w->ledgers[w->leader], r);
        }
    }
}

void
world_commit(struct world *w, bool leader_lost)
{
    while (w->log->len > 0) {
        struct command c = g_array_index(w->log, struct command, 0);
        if (leader_lost ? world_chance(w, 500) : c.at > w->t) {
            break;
        }
        g_array_remove_index(w->log, 0);
        apply(w, &c, !leader_lost);
    }
    if (leader_lost) {
        g_array_set_size(w->log, 0);
    }
}

static void
record_promises(struct world *w)
{
    struct ledger_record r;

    while (ledger_record_due(w->ledgers[w->leader], &r)) {
        int entry = r.vm.ptr[2] - '0';
        r.vm = w->vms[entry].name;
        propose(w, entry, r);
    }
}

/* A leader takes the reports of the process that the state names. */
static bool
registered(struct world *w, const struct mail *m)
{
    if (w->vms[m->entry].run == m->run) {
        return true;
    }
    propose(w, m->entry, (struct ledger_record){.run = m->run});
    return false;
}

void
world_lead(struct world *w)
{
    struct ledger *l = w->ledgers[w->leader];
    uint64_t run;

    world_commit(w, false);
    record_promises(w);
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

    if (!registered(w, m)) {
        return;
    }
    snprintf(vm, sizeof(vm), "vm%d", m->entry);
    snprintf(domain, sizeof(domain), "d%d", m->entry % 2);
    result =
        ledger_report(l, w->t, m->run, str_of(vm), str_of(domain), &m->report);
    record_promises(w);
    if (result == LEDGER_UNKNOWN) {
        world_post(w, (struct mail){.kind = MAIL_LEADER,
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
    world_event(w, m->entry, &ev);
}

void
world_deliver(struct world *w)
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
