/*
 * Tests of the bound on how long an entry's attempts last, in the router and
 * in the ledger. The bound is the longest request less early_ns of the entry's
 * reports: with a low bound, the ledger can reuse a dead entry's units early.
 */
#include <glib.h>

#include "clock.h"
#include "ledger.h"
#include "router.h"

#define T0 (10 * NS_PER_S)
#define LONGEST_REQUEST_NS (16 * NS_PER_S)

struct fixture {
    struct router *r;
    struct router_actions out;
    struct report report;
    int64_t now;
    int64_t early_ns;   /* of the grants that are sent */
    uint64_t grant_seq; /* of the last grants sent */
};

static void
step_router(struct fixture *f, const struct router_event *ev)
{
    f->out.count = 0;
    router_step(f->r, f->now, ev, &f->out);
}

/* Answers a report with 8 units of the endpoint. */
static void
send_grants(struct fixture *f, uint64_t report_seq)
{
    struct unit_grant item = {STR("e:a"), 8};
    struct grants g = {.no = {1, ++f->grant_seq},
                       .report_seq = report_seq,
                       .lease_ns = 60 * NS_PER_S,
                       .early_ns = f->early_ns,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    step_router(f, &ev);
}

/* Takes a report from the router and returns the bound in it, in seconds. */
static int64_t
report_bound_s(struct fixture *f)
{
    router_report(f->r, f->now, &f->report);
    return (LONGEST_REQUEST_NS - f->report.early_ns) / NS_PER_S;
}

/* Creates a router and answers its reports until its bound has fallen to
 * 1 s. */
static void
setup(struct fixture *f)
{
    struct router_config c = {.domain = STR("d0"),
                              .longest_request_ns = LONGEST_REQUEST_NS};
    struct router_event lease = {.kind = ROUTER_CONFIG_LEASE,
                                 .deadline = T0 + 60 * NS_PER_S};
    struct router_event leader = {.kind = ROUTER_LEADER, .term = 1};
    struct router_event team = {.kind = ROUTER_TEAM, .team = {1, 1, false}};
    struct router_event endpoint = {.kind = ROUTER_ENDPOINT,
                                    .endpoint = {STR("a"), STR("s"), STR("d0"),
                                                 8, 64, false,
                                                 T0 + 60 * NS_PER_S}};

    *f = (struct fixture){.now = T0};
    f->r = router_create(&c, f->now);
    step_router(f, &lease);
    step_router(f, &leader);
    step_router(f, &team);
    step_router(f, &endpoint);
    for (int64_t expected_s = LONGEST_REQUEST_NS / NS_PER_S / 2;
         expected_s >= 1; expected_s /= 2) {
        g_assert_cmpint(report_bound_s(f), ==, expected_s);
        send_grants(f, f->report.seq);
        f->now += NS_PER_S;
    }
}

static void
teardown(struct fixture *f)
{
    router_destroy(f->r);
    router_actions_free(&f->out);
    report_free(&f->report);
}

static void
submit_request(struct fixture *f, uint64_t id, int64_t timeout_ns)
{
    struct router_event ev = {.kind = ROUTER_REQUEST,
                              .request = {.id = id,
                                          .key = 7,
                                          .team = 1,
                                          .service = STR("s"),
                                          .has_deadline = true,
                                          .deadline = f->now + timeout_ns}};

    step_router(f, &ev);
}

static void
expect_sent(const struct fixture *f, uint64_t id)
{
    g_assert_cmpuint(f->out.count, ==, 1);
    g_assert_cmpint((int)f->out.items[0].kind, ==, (int)ROUTER_SEND);
    g_assert_cmpuint(f->out.items[0].request, ==, id);
}

/* Guards against a long request that is sent before the leader has answered a
 * report of the raised bound: the leader could reclaim its unit while it runs.
 * While it waits, it must not delay shorter requests, and must count in the
 * demand that the entry reports. */
static void
test_raise_waits_for_leader(void)
{
    struct unit_report demand = {0};
    struct fixture f;

    setup(&f);
    submit_request(&f, 1, 10 * NS_PER_S);
    g_assert_cmpuint(f.out.count, ==, 0);
    router_get_pool(f.r, f.now, STR("s:s"), &demand);
    g_assert_cmpuint(demand.wanted, ==, 1);
    submit_request(&f, 2, NS_PER_S / 2);
    expect_sent(&f, 2);
    send_grants(&f, f.report.seq);
    g_assert_cmpuint(f.out.count, ==, 0);
    g_assert_cmpint(report_bound_s(&f), ==, 16);
    send_grants(&f, f.report.seq);
    expect_sent(&f, 1);
    teardown(&f);
}

/* Guards against a long request that is sent while the replicated state may
 * still hold the lower bound, which a new leader would go by. */
static void
test_raise_waits_for_record(void)
{
    struct fixture f;

    setup(&f);
    f.early_ns = LONGEST_REQUEST_NS - NS_PER_S;
    submit_request(&f, 1, 10 * NS_PER_S);
    g_assert_cmpint(report_bound_s(&f), ==, 16);
    send_grants(&f, f.report.seq);
    g_assert_cmpuint(f.out.count, ==, 0);
    f.early_ns = 0;
    send_grants(&f, f.report.seq);
    expect_sent(&f, 1);
    teardown(&f);
}

/* Guards against a bound that is lowered while a request in flight may last
 * longer. */
static void
test_lower_bound(void)
{
    struct fixture f;

    setup(&f);
    submit_request(&f, 1, 10 * NS_PER_S);
    g_assert_cmpint(report_bound_s(&f), ==, 16);
    send_grants(&f, f.report.seq);
    expect_sent(&f, 1);
    f.now += NS_PER_S;
    g_assert_cmpint(report_bound_s(&f), ==, 16);
    f.now += NS_PER_S;
    g_assert_cmpint(report_bound_s(&f), ==, 8);
    f.now += 3 * NS_PER_S;
    g_assert_cmpint(report_bound_s(&f), ==, 8);
    f.now += NS_PER_S;
    g_assert_cmpint(report_bound_s(&f), ==, 4);
    teardown(&f);
}

static uint32_t
held_units(const struct ledger *l, int64_t now)
{
    struct ledger_pool_stats s = {0};

    ledger_pool_stats(l, now, STR("t:1"), &s);
    return s.held;
}

/* Guards against units of a dead entry that stay counted for longer than its
 * bound allows its requests to last, or for ever because the ledger still
 * fills grants for it. */
static void
test_reclaim_by_bound(void)
{
    struct ledger_config c = {.lease_ns = NS_PER_S,
                              .longest_request_ns = 5 * NS_PER_S};
    struct ledger *l = ledger_create(&c);
    struct unit_report item = {STR("t:1"), 0, 0, 8};
    struct report report = {.term = 1,
                            .seq = 1,
                            .full = true,
                            .early_ns = 4 * NS_PER_S,
                            .items = &item,
                            .count = 1};
    struct grants grants = {0};
    int64_t reclaim_time = T0 + ledger_reclaim_delay_ns(l) - report.early_ns;

    ledger_leader_changed(l, T0, 1, NULL, 0);
    ledger_pool_set(l, T0, STR("t:1"), STR(""), STR(""), 8);
    ledger_report(l, T0, 1, STR("vm1"), STR("d0"), &report);
    for (int64_t now = T0; now < reclaim_time; now += NS_PER_S / 10) {
        ledger_tick(l, now);
        ledger_fill_grants(l, now, 1, &grants);
        g_assert_cmpuint(held_units(l, now), ==, 8);
    }
    ledger_tick(l, reclaim_time);
    g_assert_cmpuint(held_units(l, reclaim_time), ==, 0);
    grants_free(&grants);
    ledger_destroy(l);
}

struct record_fixture {
    struct ledger *l;
    struct grants grants;
    uint64_t seq;
    int64_t now;
};

/* Reports early_s from a process that has run for up_s, and expects that the
 * grants in answer name expected_s as the most that the replicated state may
 * hold. */
static void
report_and_expect_recorded(struct record_fixture *f, int64_t early_s,
                           int64_t up_s, int64_t expected_s)
{
    struct report report = {.term = 1,
                            .seq = ++f->seq,
                            .full = f->seq == 1,
                            .up_ns = up_s * NS_PER_S,
                            .early_ns = early_s * NS_PER_S};

    f->now += 2 * NS_PER_S;
    ledger_report(f->l, f->now, 1, STR("vm1"), STR("d0"), &report);
    ledger_fill_grants(f->l, f->now, 1, &f->grants);
    g_assert_cmpint(f->grants.early_ns / NS_PER_S, ==, expected_s);
}

/* Expects exactly one due record, with early_s, and returns it. */
static struct ledger_record
expect_record(struct record_fixture *f, int64_t early_s)
{
    struct ledger_record r = {0};

    g_assert_true(ledger_take_due_record(f->l, &r));
    g_assert_cmpint(r.early_ns, ==, early_s * NS_PER_S);
    g_assert_false(ledger_take_due_record(f->l, &r));
    return r;
}

/* Guards against grants that name a smaller early_ns than a record that may
 * still be applied, so that the entry raises its bound too early; against
 * records for a process so young that requests of its predecessor may still
 * run; and against a new leader that ignores the recorded values. */
static void
test_recorded_bounds(void)
{
    struct ledger_config c = {.lease_ns = NS_PER_S,
                              .longest_request_ns = 5 * NS_PER_S};
    struct record_fixture f = {.l = ledger_create(&c), .now = T0};
    struct ledger_record none;

    ledger_leader_changed(f.l, T0 - 60 * NS_PER_S, 1, NULL, 0);
    report_and_expect_recorded(&f, 4, 3, 0);
    g_assert_false(ledger_take_due_record(f.l, &none));
    report_and_expect_recorded(&f, 4, 60, 4);
    struct ledger_record four = expect_record(&f, 4);
    report_and_expect_recorded(&f, 1, 60, 4);
    struct ledger_record one = expect_record(&f, 1);
    ledger_confirm_record(f.l, &four);
    report_and_expect_recorded(&f, 3, 60, 4);
    struct ledger_record three = expect_record(&f, 3);
    ledger_confirm_record(f.l, &one);
    report_and_expect_recorded(&f, 0, 60, 3);
    ledger_confirm_record(f.l, &three);
    struct ledger_record zero = expect_record(&f, 0);
    ledger_confirm_record(f.l, &zero);
    report_and_expect_recorded(&f, 0, 60, 0);

    struct ledger_vm vms[] = {{STR("vm1"), 1, 4 * NS_PER_S},
                              {STR("vm2"), 2, 3 * NS_PER_S}};
    int64_t delay_ns = ledger_reclaim_delay_ns(f.l);
    ledger_leader_changed(f.l, f.now, 2, vms, 2);
    ledger_tick(f.l, f.now + delay_ns - 3 * NS_PER_S - 1);
    g_assert_false(ledger_pool_is_within_capacity(f.l, f.now, STR("t:2")));
    ledger_tick(f.l, f.now + delay_ns - 3 * NS_PER_S);
    g_assert_true(ledger_pool_is_within_capacity(f.l, f.now, STR("t:2")));
    grants_free(&f.grants);
    ledger_destroy(f.l);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/bound/raise", test_raise_waits_for_leader);
    g_test_add_func("/bound/lower", test_lower_bound);
    g_test_add_func("/bound/reclaim", test_reclaim_by_bound);
    g_test_add_func("/bound/raise-recorded", test_raise_waits_for_record);
    g_test_add_func("/bound/records", test_recorded_bounds);
    return g_test_run();
}
