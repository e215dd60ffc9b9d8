/* Units that are returned in place of others, in the router and the ledger. */
#include <glib.h>

#include "clock.h"
#include "ledger.h"
#include "router.h"

#define T0 (10 * NS_PER_S)

struct entry {
    struct router *r;
    struct router_actions out;
    struct report report;
    uint64_t grant;
};

static void
event(struct entry *f, const struct router_event *ev)
{
    f->out.count = 0;
    router_step(f->r, T0, ev, &f->out);
}

static void
grant(struct entry *f, const char *pool, uint32_t units)
{
    struct unit_grant item = {str_of(pool), units};
    struct grants g = {.no = {1, ++f->grant},
                       .lease_ns = 60 * NS_PER_S,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    router_report(f->r, T0, &f->report);
    g.report_seq = f->report.seq;
    event(f, &ev);
}

static uint32_t
held(const struct entry *f, const char *pool)
{
    struct unit_report u = {0};

    router_pool(f->r, T0, str_of(pool), &u);
    return u.held;
}

static void
setup(struct entry *f)
{
    struct router_event ev = {.kind = ROUTER_CONFIG_LEASE,
                              .deadline = T0 + 60 * NS_PER_S};

    *f = (struct entry){
        .r = router_create(&(struct router_config){.seed = 1}, T0)};
    event(f, &ev);
    ev = (struct router_event){.kind = ROUTER_LEADER, .term = 1};
    event(f, &ev);
    ev = (struct router_event){.kind = ROUTER_TEAM, .team = {1, 1, false}};
    event(f, &ev);
    for (int i = 0; i < 2; i++) {
        ev = (struct router_event){.kind = ROUTER_ENDPOINT,
                                   .endpoint = {i == 0 ? STR("a") : STR("b"),
                                                STR("s"), STR(""), 1, 1, false,
                                                T0 + 60 * NS_PER_S}};
        event(f, &ev);
    }
    grant(f, "e:a", 1);
    ev = (struct router_event){
        .kind = ROUTER_REQUEST,
        .request = {.id = 1, .key = 1, .team = 1, .service = STR("s")}};
    event(f, &ev);
    g_assert_cmpuint(f->out.count, ==, 1);
    grant(f, "e:b", 1);
}

static void
finish(struct entry *f)
{
    struct router_event ev = {.kind = ROUTER_ATTEMPT_ENDED,
                              .attempt = {.request = 1, .attempt = 1}};

    event(f, &ev);
}

static void
teardown(struct entry *f)
{
    router_destroy(f->r);
    router_actions_free(&f->out);
    report_free(&f->report);
}

/* Guards against units that others wait for while an idle one is kept, and
 * against losing two units when the leader asked for one. */
static void
test_entry(void)
{
    struct entry f;

    setup(&f);
    grant(&f, "e:a", 0);
    g_assert_cmpuint(held(&f, "e:a"), ==, 1);
    g_assert_cmpuint(held(&f, "e:b"), ==, 0);
    finish(&f);
    g_assert_cmpuint(held(&f, "e:a"), ==, 1);
    teardown(&f);
}

/* Guards against a pool that shrinks while an entry keeps its units for ever:
 * the leader repeats what it does not accept. */
static void
test_repeated(void)
{
    struct entry f;

    setup(&f);
    grant(&f, "e:a", 0);
    grant(&f, "e:b", 1);
    grant(&f, "e:a", 0);
    g_assert_cmpuint(held(&f, "e:b"), ==, 1);
    finish(&f);
    g_assert_cmpuint(held(&f, "e:a"), ==, 0);
    teardown(&f);
}

struct leader {
    struct ledger *l;
    struct grants grants;
    struct grant_no ack;
    uint64_t seq;
    int64_t now;
};

/* Reports what entry 1 holds of both pools and applies the answer. */
static void
report(struct leader *f, uint32_t a, uint32_t b, uint32_t used)
{
    struct unit_report items[] = {{STR("e:a"), a, used, 1},
                                  {STR("e:b"), b, 0, 1},
                                  {STR("s:s"), used, used, used}};
    struct report r = {.term = 1,
                       .seq = ++f->seq,
                       .ack = f->ack,
                       .full = f->seq == 1,
                       .items = items,
                       .count = 3};

    f->now += NS_PER_S / 5;
    ledger_report(f->l, f->now, 1, STR("vm1"), STR(""), &r);
    ledger_plan(f->l, f->now, 1, &f->grants);
    f->ack = f->grants.no;
}

static int
planned(const struct leader *f, const char *pool)
{
    for (size_t i = 0; i < f->grants.count; i++) {
        if (str_eq(f->grants.items[i].pool, str_of(pool))) {
            return (int)f->grants.items[i].units;
        }
    }
    return -1;
}

/* Another entry asks for a slot; the one of pool a seems to be idle. */
static void
ask(struct leader *f)
{
    struct unit_report want = {STR("s:s"), 0, 0, 1};
    struct report r = {
        .term = 1, .seq = 1, .full = true, .items = &want, .count = 1};

    *f = (struct leader){.l = ledger_create(&(struct ledger_config){0}),
                         .now = T0};
    ledger_leader_changed(f->l, T0, 1, NULL, 0);
    ledger_pool_set(f->l, T0, STR("e:a"), STR("s"), STR(""), 2);
    ledger_pool_set(f->l, T0, STR("e:b"), STR("s"), STR(""), 1);
    report(f, 2, 1, 0);
    ledger_report(f->l, f->now, 2, STR("vm2"), STR(""), &r);
    report(f, 2, 1, 0);
    g_assert_cmpint(planned(f, "e:a"), ==, 1);
}

/* Guards against asking for a unit again after another came back for it, and
 * against keeping units of a pool that shrinks. */
static void
test_ledger(void)
{
    struct leader f;

    for (uint32_t capacity = 2; capacity > 0; capacity--) {
        ask(&f);
        ledger_pool_set(f.l, f.now, STR("e:a"), STR("s"), STR(""), capacity);
        report(&f, 2, 0, 2);
        g_assert_cmpint(planned(&f, "e:a"), ==, (int)capacity);
        grants_free(&f.grants);
        ledger_destroy(f.l);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/swap/entry", test_entry);
    g_test_add_func("/swap/repeated", test_repeated);
    g_test_add_func("/swap/ledger", test_ledger);
    return g_test_run();
}
