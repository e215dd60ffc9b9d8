/* One test per rule of the leader's ledger. */
#include <glib.h>
#include <unistd.h>

#include "clock.h"
#include "ledger.h"

#define T0 (100 * NS_PER_S)
#define STEP (10 * NS_PER_MS)

enum {
    LARGE_LIMIT_S = 20,
};

struct fixture {
    struct ledger *l;
    int64_t now;
    uint64_t seq[8];
    struct grant_no ack[8];
    struct grants grants;
};

static void
setup_with(struct fixture *f, const struct ledger_config *c)
{
    *f = (struct fixture){.now = T0};
    f->l = ledger_create(c);
    ledger_leader_changed(f->l, f->now, 1, NULL, 0);
    ledger_pool_set(f->l, f->now, STR("t:1"), STR(""), STR(""), 8);
}

static void
setup(struct fixture *f)
{
    const struct ledger_config c = {.lease_ns = NS_PER_S,
                                    .longest_request_ns = 5 * NS_PER_S};

    setup_with(f, &c);
}

static void
teardown(struct fixture *f)
{
    ledger_destroy(f->l);
    grants_free(&f->grants);
}

/* Sends a report with one pool and takes the answer as applied. */
static enum ledger_result
report(struct fixture *f, uint64_t run, const char *pool, uint32_t held,
       uint32_t used, uint32_t wanted)
{
    static const char *const vms[] = {"vm0", "vm1", "vm2", "vm3", "vm4"};
    struct unit_report item = {str_of(pool), held, used, wanted};
    struct report r = {.term = 1,
                       .seq = ++f->seq[run],
                       .ack = f->ack[run],
                       .up_ns = 1000 * NS_PER_S,
                       .full = f->seq[run] == 1,
                       .items = &item,
                       .count = 1};
    enum ledger_result result =
        ledger_report(f->l, f->now, run, str_of(vms[run]), STR("d0"), &r);

    f->now += STEP;
    return result;
}

/* The units of a pool in the next message to an entry; -1 when unchanged. */
static int
planned(struct fixture *f, uint64_t run, const char *pool)
{
    f->now += STEP;
    ledger_plan(f->l, f->now, run, &f->grants);
    f->ack[run] = f->grants.no;
    for (size_t i = 0; i < f->grants.count; i++) {
        if (str_eq(f->grants.items[i].pool, str_of(pool))) {
            return (int)f->grants.items[i].units;
        }
    }
    return -1;
}

static void
expect_plan(struct fixture *f, uint64_t run, const char *pool, int units)
{
    int got = planned(f, run, pool);

    g_assert_cmpint(got, ==, units);
}

static void
expect_result(enum ledger_result got, enum ledger_result want)
{
    g_assert_cmpint((int)got, ==, (int)want);
}

static void
expect_possible(const struct fixture *f, const char *pool, uint32_t units)
{
    struct ledger_pool_stats s = {0};
    bool known = ledger_pool_stats(f->l, f->now, str_of(pool), &s);

    g_assert_true(known);
    g_assert_cmpuint(s.held, ==, units);
}

static void
expect_settled(const struct fixture *f, bool want)
{
    bool got = ledger_pool_settled(f->l, f->now, STR("t:1"));

    g_assert_cmpint(got, ==, want);
}

/* Guards against an unfair split of equal demand. */
static void
test_equal_demand(void)
{
    struct fixture f;

    setup(&f);
    report(&f, 1, "t:1", 0, 0, 10);
    report(&f, 2, "t:1", 0, 0, 10);
    expect_plan(&f, 1, "t:1", 4);
    expect_plan(&f, 2, "t:1", 4);
    expect_possible(&f, "t:1", 8);
    teardown(&f);
}

static void
exchange(struct fixture *f, uint64_t run, uint32_t *held, uint32_t wanted)
{
    int units;

    report(f, run, "t:1", *held, 0, wanted);
    units = planned(f, run, "t:1");
    *held = units < 0 ? *held : (uint32_t)units;
}

/* Guards against a started entry that holds nothing until the units of its
 * dead predecessor come back, because nobody exceeds its goal by much. */
static void
test_first_unit(void)
{
    struct fixture f;
    uint32_t held[5] = {0};

    setup(&f);
    for (int round = 0; round < 10; round++) {
        for (uint64_t run = 1; run <= 4; run++) {
            exchange(&f, run, &held[run], 2);
        }
    }
    for (uint64_t run = 1; run <= 4; run++) {
        g_assert_cmpuint(held[run], ==, 2);
    }
    /* Run 4 has died; run 0 is a new process. */
    for (int round = 0; round < 10 && held[0] == 0; round++) {
        for (uint64_t run = 0; run <= 3; run++) {
            exchange(&f, run, &held[run], 0);
        }
    }
    g_assert_cmpuint(held[0], ==, 1);
    teardown(&f);
}

/* Guards against units handed on before they are confirmed as returned. */
static void
test_confirmed_return(void)
{
    struct fixture f;

    setup(&f);
    report(&f, 1, "t:1", 0, 0, 8);
    expect_plan(&f, 1, "t:1", 8);
    report(&f, 1, "t:1", 8, 2, 2);
    report(&f, 2, "t:1", 0, 0, 6);
    expect_plan(&f, 2, "t:1", -1);
    int left = planned(&f, 1, "t:1");
    g_assert_cmpint(left, >=, 2);
    g_assert_cmpint(left, <, 8);
    expect_plan(&f, 2, "t:1", -1);
    report(&f, 1, "t:1", (uint32_t)left, 2, 2);
    expect_plan(&f, 2, "t:1", 8 - left);
    teardown(&f);
}

/* Guards against freeing units twice by late or repeated reports. */
static void
test_late_reports(void)
{
    struct fixture f;

    setup(&f);
    report(&f, 1, "t:1", 0, 0, 8);
    planned(&f, 1, "t:1");
    f.ack[1].seq = 0; /* sent before the grant arrived */
    report(&f, 1, "t:1", 0, 0, 8);
    expect_possible(&f, "t:1", 8);
    f.seq[1]--;
    expect_result(report(&f, 1, "t:1", 0, 0, 0), LEDGER_STALE);
    expect_possible(&f, "t:1", 8);
    teardown(&f);
}

/* Guards against an ask-back that got lost being waited for for ever. */
static void
test_repeats_ask_back(void)
{
    struct fixture f;

    setup(&f);
    report(&f, 1, "t:1", 0, 0, 8);
    planned(&f, 1, "t:1");
    report(&f, 1, "t:1", 8, 0, 0);
    report(&f, 2, "t:1", 0, 0, 8);
    int left = planned(&f, 1, "t:1");
    g_assert_cmpint(left, <, 8);
    report(&f, 1, "t:1", 8, 0, 0); /* acknowledges a later message */
    f.now += NS_PER_S / 2;
    expect_plan(&f, 1, "t:1", left);
    teardown(&f);
}

/* Guards against reuse of a dead entry's units while requests may run. */
static void
test_reclaim(void)
{
    struct fixture f;

    setup(&f);
    report(&f, 1, "t:1", 0, 0, 8);
    planned(&f, 1, "t:1");
    int64_t last = f.now;
    f.now = last + 6 * NS_PER_S;
    ledger_tick(f.l, f.now);
    expect_possible(&f, "t:1", 8);
    f.now = last + ledger_window(f.l);
    ledger_tick(f.l, f.now);
    expect_possible(&f, "t:1", 0);
    teardown(&f);
}

/* Guards against units that are reclaimed from a silent entry whose clock is
 * 1% slower while it may still use them. */
static void
test_reclaim_drift(void)
{
    struct ledger_config c = {.lease_ns = 3 * NS_PER_S,
                              .longest_request_ns = 30 * NS_PER_S};
    const int64_t span = c.lease_ns + c.longest_request_ns;
    struct fixture f;

    setup_with(&f, &c);
    report(&f, 1, "t:1", 0, 0, 8);
    planned(&f, 1, "t:1");
    f.now += span + span / 100;
    ledger_tick(f.l, f.now);
    expect_possible(&f, "t:1", 8);
    teardown(&f);
}

/* Guards against a leader that moves the units of a large limit one by one and
 * does nothing else meanwhile: the limit is raised and lowered 100 times. */
static void
test_large_limit(void)
{
    const uint32_t large = 1 << 24;
    struct fixture f;

    setup(&f);
    alarm(LARGE_LIMIT_S);
    for (int round = 0; round < 100; round++) {
        ledger_pool_set(f.l, f.now, STR("t:1"), STR(""), STR(""), large);
        for (uint64_t run = 1; run <= 4; run++) {
            int32_t held = planned(&f, run, "t:1");

            report(&f, run, "t:1", held < 0 ? 0 : (uint32_t)held, 0, 10);
        }
        ledger_tick(f.l, f.now);
        ledger_pool_set(f.l, f.now, STR("t:1"), STR(""), STR(""), 8);
        ledger_tick(f.l, f.now);
    }
    alarm(0);
    teardown(&f);
}

/* Guards against new grants while a pool drains after a shrink. */
static void
test_shrink(void)
{
    struct fixture f;

    setup(&f);
    report(&f, 1, "t:1", 0, 0, 4);
    report(&f, 2, "t:1", 0, 0, 4);
    planned(&f, 1, "t:1");
    planned(&f, 2, "t:1");
    report(&f, 1, "t:1", 4, 4, 4);
    report(&f, 2, "t:1", 4, 4, 4);
    ledger_pool_set(f.l, f.now, STR("t:1"), STR(""), STR(""), 2);
    expect_plan(&f, 1, "t:1", 1);
    expect_plan(&f, 2, "t:1", 1);
    expect_settled(&f, false);
    report(&f, 1, "t:1", 1, 1, 4);
    report(&f, 3, "t:1", 0, 0, 4);
    expect_plan(&f, 3, "t:1", -1);
    report(&f, 2, "t:1", 1, 1, 4);
    expect_settled(&f, true);
    teardown(&f);
}

/* Guards against a new leader granting what unreported entries may hold. */
static void
test_new_leader(void)
{
    struct fixture f;
    struct ledger_vm vms[] = {{.name = STR("vm1")}, {.name = STR("vm2")}};

    setup(&f);
    f.now += 1000 * NS_PER_S;
    ledger_leader_changed(f.l, f.now, 1, vms, 2);
    int64_t changed = f.now;
    report(&f, 1, "t:1", 3, 3, 8);
    expect_plan(&f, 1, "t:1", -1);
    /* What a reporting entry returned is certainly free. */
    report(&f, 1, "t:1", 1, 1, 1);
    report(&f, 3, "t:1", 0, 0, 8);
    expect_plan(&f, 3, "t:1", 2);
    f.now = changed + ledger_window(f.l) - STEP;
    ledger_tick(f.l, f.now);
    report(&f, 3, "t:1", 2, 2, 8);
    report(&f, 3, "t:1", 2, 2, 8);
    expect_plan(&f, 3, "t:1", -1);
    ledger_tick(f.l, f.now);
    int more = planned(&f, 3, "t:1");
    g_assert_cmpint(more, >, 2);
    teardown(&f);
}

/* Guards against taking a report for another leader, or a partial one from
 * an entry whose other holdings are not known. */
static void
test_unknown(void)
{
    struct fixture f;
    struct report r = {.term = 2, .seq = 1, .full = true};

    setup(&f);
    g_assert_cmpint(
        (int)ledger_report(f.l, f.now, 1, STR("vm1"), STR("d0"), &r), ==,
        LEDGER_OTHER_TERM);
    r.term = 0; /* a control VM that never led must not take it either */
    struct ledger *follower = ledger_create(&(struct ledger_config){0});
    expect_result(ledger_report(follower, f.now, 1, STR("vm1"), STR("d0"), &r),
                  LEDGER_OTHER_TERM);
    ledger_destroy(follower);
    f.seq[1] = 1;
    expect_result(report(&f, 1, "t:1", 1, 1, 1), LEDGER_UNKNOWN);
    teardown(&f);
}

/* Guards against slots in a remote failure domain while local ones are free,
 * and against slots of a pool that the entry refuses. */
static void
test_locality(void)
{
    struct fixture f;

    setup(&f);
    ledger_pool_set(f.l, f.now, STR("e:a"), STR("s"), STR("d1"), 4);
    ledger_pool_set(f.l, f.now, STR("e:b"), STR("s"), STR("d0"), 4);
    report(&f, 1, "s:s", 0, 0, 3);
    report(&f, 2, "s:s", 0, 0, 3);
    report(&f, 2, "e:b", 0, 0, 0);
    int local = planned(&f, 1, "e:b");
    int remote = planned(&f, 2, "e:a");
    g_assert_cmpint(local, >=, 3);
    g_assert_cmpint(remote, >=, 3);
    expect_plan(&f, 2, "e:b", -1);
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/ledger/equal-demand", test_equal_demand);
    g_test_add_func("/ledger/first-unit", test_first_unit);
    g_test_add_func("/ledger/confirmed-return", test_confirmed_return);
    g_test_add_func("/ledger/late-reports", test_late_reports);
    g_test_add_func("/ledger/repeats-ask-back", test_repeats_ask_back);
    g_test_add_func("/ledger/reclaim", test_reclaim);
    g_test_add_func("/ledger/reclaim-drift", test_reclaim_drift);
    g_test_add_func("/ledger/large-limit", test_large_limit);
    g_test_add_func("/ledger/shrink", test_shrink);
    g_test_add_func("/ledger/new-leader", test_new_leader);
    g_test_add_func("/ledger/unknown", test_unknown);
    g_test_add_func("/ledger/locality", test_locality);
    return g_test_run();
}
