/* The bound on how long attempts last, in the router and in the ledger. */
#include <glib.h>

#include "clock.h"
#include "ledger.h"
#include "router.h"

#define T0 (10 * NS_PER_S)
#define LONGEST (16 * NS_PER_S)

struct fixture {
    struct router *r;
    struct router_actions out;
    struct report report;
    int64_t now;
    int64_t early_ns; /* in answers */
    uint64_t grant;
};

static void
event(struct fixture *f, const struct router_event *ev)
{
    f->out.count = 0;
    router_step(f->r, f->now, ev, &f->out);
}

static void
answer(struct fixture *f, uint64_t report_seq)
{
    struct unit_grant item = {STR("e:a"), 8};
    struct grants g = {.no = {1, ++f->grant},
                       .report_seq = report_seq,
                       .lease_ns = 60 * NS_PER_S,
                       .early_ns = f->early_ns,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    event(f, &ev);
}

/* Sends a report; returns how many seconds attempts may last. */
static int64_t
bound_s(struct fixture *f)
{
    router_report(f->r, f->now, &f->report);
    return (LONGEST - f->report.early_ns) / NS_PER_S;
}

static void
setup(struct fixture *f)
{
    struct router_config c = {.domain = STR("d0"),
                              .longest_request_ns = LONGEST};
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
    event(f, &lease);
    event(f, &leader);
    event(f, &team);
    event(f, &endpoint);
    for (int64_t want = LONGEST / NS_PER_S / 2; want >= 1; want /= 2) {
        g_assert_cmpint(bound_s(f), ==, want);
        answer(f, f->report.seq);
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
arrive(struct fixture *f, uint64_t id, int64_t timeout_ns)
{
    struct router_event ev = {.kind = ROUTER_REQUEST,
                              .request = {.id = id,
                                          .key = 7,
                                          .team = 1,
                                          .service = STR("s"),
                                          .has_deadline = true,
                                          .deadline = f->now + timeout_ns}};

    event(f, &ev);
}

static void
expect_sent(const struct fixture *f, uint64_t id)
{
    g_assert_cmpuint(f->out.count, ==, 1);
    g_assert_cmpint((int)f->out.items[0].kind, ==, (int)ROUTER_SEND);
    g_assert_cmpuint(f->out.items[0].request, ==, id);
}

/* Guards against a long request that is sent before the leader knows that it
 * must wait longer for the entry's units, that delays others, or that waits
 * without being counted in what the entry asks for.
 */
static void
test_raise(void)
{
    struct unit_report demand = {0};
    struct fixture f;

    setup(&f);
    arrive(&f, 1, 10 * NS_PER_S);
    g_assert_cmpuint(f.out.count, ==, 0);
    router_pool(f.r, f.now, STR("s:s"), &demand);
    g_assert_cmpuint(demand.wanted, ==, 1);
    arrive(&f, 2, NS_PER_S / 2);
    expect_sent(&f, 2);
    answer(&f, f.report.seq);
    g_assert_cmpuint(f.out.count, ==, 0);
    g_assert_cmpint(bound_s(&f), ==, 16);
    answer(&f, f.report.seq);
    expect_sent(&f, 1);
    teardown(&f);
}

/* Guards against a long request that is sent while a later leader may know of
 * a lower bound only. */
static void
test_raise_recorded(void)
{
    struct fixture f;

    setup(&f);
    f.early_ns = LONGEST - NS_PER_S;
    arrive(&f, 1, 10 * NS_PER_S);
    g_assert_cmpint(bound_s(&f), ==, 16);
    answer(&f, f.report.seq);
    g_assert_cmpuint(f.out.count, ==, 0);
    f.early_ns = 0;
    answer(&f, f.report.seq);
    expect_sent(&f, 1);
    teardown(&f);
}

/* Guards against a promise that a request in flight does not keep. */
static void
test_lower(void)
{
    struct fixture f;

    setup(&f);
    arrive(&f, 1, 10 * NS_PER_S);
    g_assert_cmpint(bound_s(&f), ==, 16);
    answer(&f, f.report.seq);
    expect_sent(&f, 1);
    f.now += NS_PER_S;
    g_assert_cmpint(bound_s(&f), ==, 16);
    f.now += NS_PER_S;
    g_assert_cmpint(bound_s(&f), ==, 8);
    f.now += 3 * NS_PER_S;
    g_assert_cmpint(bound_s(&f), ==, 8);
    f.now += NS_PER_S;
    g_assert_cmpint(bound_s(&f), ==, 4);
    teardown(&f);
}

static uint32_t
held(const struct ledger *l, int64_t now)
{
    struct ledger_pool_stats s = {0};

    ledger_pool_stats(l, now, STR("t:1"), &s);
    return s.held;
}

/* Guards against units of a dead entry that are counted for longer than its
 * requests can last, or, when grants are sent to it, for ever. */
static void
test_reclaim(void)
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
    int64_t end = T0 + ledger_window(l) - report.early_ns;

    ledger_leader_changed(l, T0, 1, NULL, 0);
    ledger_pool_set(l, T0, STR("t:1"), STR(""), STR(""), 8);
    ledger_report(l, T0, 1, STR("vm1"), STR("d0"), &report);
    for (int64_t now = T0; now < end; now += NS_PER_S / 10) {
        ledger_tick(l, now);
        ledger_plan(l, now, 1, &grants);
        g_assert_cmpuint(held(l, now), ==, 8);
    }
    ledger_tick(l, end);
    g_assert_cmpuint(held(l, end), ==, 0);
    grants_free(&grants);
    ledger_destroy(l);
}

struct records {
    struct ledger *l;
    struct grants grants;
    uint64_t seq;
    int64_t now;
};

/* Reports a promise and expects this as the most that the state may say. */
static void
expect_promise(struct records *f, int64_t early_s, int64_t up_s,
               int64_t most_s)
{
    struct report report = {.term = 1,
                            .seq = ++f->seq,
                            .full = f->seq == 1,
                            .up_ns = up_s * NS_PER_S,
                            .early_ns = early_s * NS_PER_S};

    f->now += 2 * NS_PER_S;
    ledger_report(f->l, f->now, 1, STR("vm1"), STR("d0"), &report);
    ledger_plan(f->l, f->now, 1, &f->grants);
    g_assert_cmpint(f->grants.early_ns / NS_PER_S, ==, most_s);
}

static struct ledger_record
expect_record(struct records *f, int64_t early_s)
{
    struct ledger_record r = {0};

    g_assert_true(ledger_record_due(f->l, &r));
    g_assert_cmpint(r.early_ns, ==, early_s * NS_PER_S);
    g_assert_false(ledger_record_due(f->l, &r));
    return r;
}

/* Guards against an entry that is told that no later leader can know of a
 * promise while a record of it may still be applied, against promises of a
 * process whose predecessor's requests may last longer, and against a new
 * leader that does not use them. */
static void
test_records(void)
{
    struct ledger_config c = {.lease_ns = NS_PER_S,
                              .longest_request_ns = 5 * NS_PER_S};
    struct records f = {.l = ledger_create(&c), .now = T0};
    struct ledger_record none;

    ledger_leader_changed(f.l, T0 - 60 * NS_PER_S, 1, NULL, 0);
    expect_promise(&f, 4, 3, 0);
    g_assert_false(ledger_record_due(f.l, &none));
    expect_promise(&f, 4, 60, 4);
    struct ledger_record four = expect_record(&f, 4);
    expect_promise(&f, 1, 60, 4);
    struct ledger_record one = expect_record(&f, 1);
    ledger_recorded(f.l, &four);
    expect_promise(&f, 3, 60, 4);
    struct ledger_record three = expect_record(&f, 3);
    ledger_recorded(f.l, &one);
    expect_promise(&f, 0, 60, 3);
    ledger_recorded(f.l, &three);
    struct ledger_record zero = expect_record(&f, 0);
    ledger_recorded(f.l, &zero);
    expect_promise(&f, 0, 60, 0);

    struct ledger_vm vms[] = {{STR("vm1"), 1, 4 * NS_PER_S},
                              {STR("vm2"), 2, 3 * NS_PER_S}};
    int64_t window = ledger_window(f.l);
    ledger_leader_changed(f.l, f.now, 2, vms, 2);
    ledger_tick(f.l, f.now + window - 3 * NS_PER_S - 1);
    g_assert_false(ledger_pool_settled(f.l, f.now, STR("t:2")));
    ledger_tick(f.l, f.now + window - 3 * NS_PER_S);
    g_assert_true(ledger_pool_settled(f.l, f.now, STR("t:2")));
    grants_free(&f.grants);
    ledger_destroy(f.l);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/bound/raise", test_raise);
    g_test_add_func("/bound/lower", test_lower);
    g_test_add_func("/bound/reclaim", test_reclaim);
    g_test_add_func("/bound/raise-recorded", test_raise_recorded);
    g_test_add_func("/bound/records", test_records);
    return g_test_run();
}
