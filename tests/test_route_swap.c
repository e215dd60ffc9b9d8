/*
 * Tests of substituted units: when the leader reclaims a unit that has come
 * into use since the last report, the entry returns an idle unit of another
 * endpoint of the same service, and the ledger accepts it instead.
 */
#include <glib.h>

#include "clock.h"
#include "ledger.h"
#include "router.h"

#define T0 (10 * NS_PER_S)

struct router_fixture {
    struct router *r;
    struct router_actions out;
    struct report report;
    uint64_t grant_seq; /* of the last grants sent */
};

static void
step_router(struct router_fixture *f, const struct router_event *ev)
{
    f->out.count = 0;
    router_step(f->r, T0, ev, &f->out);
}

/* Answers a new report with a grant of one pool. */
static void
grant_units(struct router_fixture *f, const char *pool, uint32_t units)
{
    struct unit_grant item = {str_of(pool), units};
    struct grants g = {.no = {1, ++f->grant_seq},
                       .lease_ns = 60 * NS_PER_S,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    router_report(f->r, T0, &f->report);
    g.report_seq = f->report.seq;
    step_router(f, &ev);
}

static uint32_t
held_units(const struct router_fixture *f, const char *pool)
{
    struct unit_report u = {0};

    router_get_pool(f->r, T0, str_of(pool), &u);
    return u.held;
}

/* Gives the entry one unit each of endpoints a and b, and sends a request to
 * a. */
static void
setup(struct router_fixture *f)
{
    struct router_event ev = {.kind = ROUTER_CONFIG_LEASE,
                              .deadline = T0 + 60 * NS_PER_S};

    *f = (struct router_fixture){
        .r = router_create(&(struct router_config){.seed = 1}, T0)};
    step_router(f, &ev);
    ev = (struct router_event){.kind = ROUTER_LEADER, .term = 1};
    step_router(f, &ev);
    ev = (struct router_event){.kind = ROUTER_TEAM, .team = {1, 1, false}};
    step_router(f, &ev);
    for (int i = 0; i < 2; i++) {
        ev = (struct router_event){.kind = ROUTER_ENDPOINT,
                                   .endpoint = {i == 0 ? STR("a") : STR("b"),
                                                STR("s"), STR(""), 1, 1, false,
                                                T0 + 60 * NS_PER_S}};
        step_router(f, &ev);
    }
    grant_units(f, "e:a", 1);
    ev = (struct router_event){
        .kind = ROUTER_REQUEST,
        .request = {.id = 1, .key = 1, .team = 1, .service = STR("s")}};
    step_router(f, &ev);
    g_assert_cmpuint(f->out.count, ==, 1);
    grant_units(f, "e:b", 1);
}

static void
end_attempt(struct router_fixture *f)
{
    struct router_event ev = {.kind = ROUTER_ATTEMPT_ENDED,
                              .attempt = {.request = 1, .attempt = 1}};

    step_router(f, &ev);
}

static void
teardown(struct router_fixture *f)
{
    router_destroy(f->r);
    router_actions_free(&f->out);
    report_free(&f->report);
}

/* Guards against an entry that keeps an idle unit of another endpoint although
 * the unit that the leader asked for is in use, and against one that returns
 * both units. */
static void
test_router_returns_substitute(void)
{
    struct router_fixture f;

    setup(&f);
    grant_units(&f, "e:a", 0);
    g_assert_cmpuint(held_units(&f, "e:a"), ==, 1);
    g_assert_cmpuint(held_units(&f, "e:b"), ==, 0);
    end_attempt(&f);
    g_assert_cmpuint(held_units(&f, "e:a"), ==, 1);
    teardown(&f);
}

/* Guards against an entry that never returns the units of a shrinking pool.
 * The leader then does not accept another endpoint's unit and repeats its
 * request, which the entry must meet with a unit of that pool. */
static void
test_repeated_request(void)
{
    struct router_fixture f;

    setup(&f);
    grant_units(&f, "e:a", 0);
    grant_units(&f, "e:b", 1);
    grant_units(&f, "e:a", 0);
    g_assert_cmpuint(held_units(&f, "e:b"), ==, 1);
    end_attempt(&f);
    g_assert_cmpuint(held_units(&f, "e:a"), ==, 0);
    teardown(&f);
}

struct ledger_fixture {
    struct ledger *l;
    struct grants grants;
    struct grant_no ack;
    uint64_t seq;
    int64_t now;
};

/* Reports what entry 1 holds of pools a and b. The next report acknowledges
 * the grants in answer to it. */
static void
send_report(struct ledger_fixture *f, uint32_t held_a, uint32_t held_b,
            uint32_t used_a)
{
    struct unit_report items[] = {{STR("e:a"), held_a, used_a, 1},
                                  {STR("e:b"), held_b, 0, 1},
                                  {STR("s:s"), used_a, used_a, used_a}};
    struct report r = {.term = 1,
                       .seq = ++f->seq,
                       .ack = f->ack,
                       .full = f->seq == 1,
                       .items = items,
                       .count = 3};

    f->now += NS_PER_S / 5;
    ledger_report(f->l, f->now, 1, STR("vm1"), STR(""), &r);
    ledger_fill_grants(f->l, f->now, 1, &f->grants);
    f->ack = f->grants.no;
}

/* Returns the units of a pool in the last grants; -1 if they leave it out. */
static int
granted_units(const struct ledger_fixture *f, const char *pool)
{
    for (size_t i = 0; i < f->grants.count; i++) {
        if (str_eq(f->grants.items[i].pool, str_of(pool))) {
            return (int)f->grants.items[i].units;
        }
    }
    return -1;
}

/* Creates a ledger that reclaims a unit of pool a, which was idle in the last
 * report, from entry 1, because entry 2 wants a slot. */
static void
setup_reclaimed_unit(struct ledger_fixture *f)
{
    struct unit_report want = {STR("s:s"), 0, 0, 1};
    struct report r = {
        .term = 1, .seq = 1, .full = true, .items = &want, .count = 1};

    *f = (struct ledger_fixture){
        .l = ledger_create(&(struct ledger_config){0}), .now = T0};
    ledger_leader_changed(f->l, T0, 1, NULL, 0);
    ledger_pool_set(f->l, T0, STR("e:a"), STR("s"), STR(""), 2);
    ledger_pool_set(f->l, T0, STR("e:b"), STR("s"), STR(""), 1);
    send_report(f, 2, 1, 0);
    ledger_report(f->l, f->now, 2, STR("vm2"), STR(""), &r);
    send_report(f, 2, 1, 0);
    g_assert_cmpint(granted_units(f, "e:a"), ==, 1);
}

/* Guards against a ledger that asks for a unit again after a unit of another
 * endpoint was returned for it, and against one that accepts this for a pool
 * that shrinks. */
static void
test_ledger_accepts_substitute(void)
{
    struct ledger_fixture f;

    for (uint32_t capacity = 2; capacity > 0; capacity--) {
        setup_reclaimed_unit(&f);
        ledger_pool_set(f.l, f.now, STR("e:a"), STR("s"), STR(""), capacity);
        send_report(&f, 2, 0, 2);
        g_assert_cmpint(granted_units(&f, "e:a"), ==, (int)capacity);
        grants_free(&f.grants);
        ledger_destroy(f.l);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/swap/entry", test_router_returns_substitute);
    g_test_add_func("/swap/repeated", test_repeated_request);
    g_test_add_func("/swap/ledger", test_ledger_accepts_substitute);
    return g_test_run();
}
