/* Tests of the leader's ledger, one per rule. */
#include <glib.h>
#include <unistd.h>

#include "clock.h"
#include "ledger.h"

#define T0 (100 * NS_PER_S)
#define STEP_NS (10 * NS_PER_MS)

enum {
    LARGE_LIMIT_TIMEOUT_S = 20,
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

/* Passes a report of one pool to the ledger. It acknowledges the last grants
 * that next_granted_units filled for this process. */
static enum ledger_result
send_report(struct fixture *f, uint64_t run, const char *pool, uint32_t held,
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

    f->now += STEP_NS;
    return result;
}

/* Fills the next grants for an entry and returns their units of a pool; -1 if
 * they leave the pool out, as unchanged. */
static int
next_granted_units(struct fixture *f, uint64_t run, const char *pool)
{
    f->now += STEP_NS;
    ledger_fill_grants(f->l, f->now, run, &f->grants);
    f->ack[run] = f->grants.no;
    for (size_t i = 0; i < f->grants.count; i++) {
        if (str_eq(f->grants.items[i].pool, str_of(pool))) {
            return (int)f->grants.items[i].units;
        }
    }
    return -1;
}

static void
expect_granted(struct fixture *f, uint64_t run, const char *pool, int units)
{
    int got = next_granted_units(f, run, pool);

    g_assert_cmpint(got, ==, units);
}

static void
expect_result(enum ledger_result got, enum ledger_result want)
{
    g_assert_cmpint((int)got, ==, (int)want);
}

static void
expect_held(const struct fixture *f, const char *pool, uint32_t units)
{
    struct ledger_pool_stats s = {0};
    bool known = ledger_pool_stats(f->l, f->now, str_of(pool), &s);

    g_assert_true(known);
    g_assert_cmpuint(s.held, ==, units);
}

static void
expect_within_capacity(const struct fixture *f, bool want)
{
    bool got = ledger_pool_is_within_capacity(f->l, f->now, STR("t:1"));

    g_assert_cmpint(got, ==, want);
}

/* Guards against a pool that is split unequally between entries of equal
 * demand. */
static void
test_equal_demand(void)
{
    struct fixture f;

    setup(&f);
    send_report(&f, 1, "t:1", 0, 0, 10);
    send_report(&f, 2, "t:1", 0, 0, 10);
    expect_granted(&f, 1, "t:1", 4);
    expect_granted(&f, 2, "t:1", 4);
    expect_held(&f, "t:1", 8);
    teardown(&f);
}

/* Sends a report and applies the answer to *held. */
static void
exchange_messages(struct fixture *f, uint64_t run, uint32_t *held,
                  uint32_t wanted)
{
    int units;

    send_report(f, run, "t:1", *held, 0, wanted);
    units = next_granted_units(f, run, "t:1");
    *held = units < 0 ? *held : (uint32_t)units;
}

/* Guards against a restarted entry that gets no unit until those of its dead
 * predecessor are reclaimed, because no other entry holds so many more units
 * than its goal that the ledger would move one. */
static void
test_restarted_entry_gets_unit(void)
{
    struct fixture f;
    uint32_t held[5] = {0};

    setup(&f);
    for (int round = 0; round < 10; round++) {
        for (uint64_t run = 1; run <= 4; run++) {
            exchange_messages(&f, run, &held[run], 2);
        }
    }
    for (uint64_t run = 1; run <= 4; run++) {
        g_assert_cmpuint(held[run], ==, 2);
    }
    /* Run 4 has died; run 0 is a new process. */
    for (int round = 0; round < 10 && held[0] == 0; round++) {
        for (uint64_t run = 0; run <= 3; run++) {
            exchange_messages(&f, run, &held[run], 0);
        }
    }
    g_assert_cmpuint(held[0], ==, 1);
    teardown(&f);
}

/* Guards against units that are granted again before their holder has
 * confirmed their return. */
static void
test_confirmed_return(void)
{
    struct fixture f;

    setup(&f);
    send_report(&f, 1, "t:1", 0, 0, 8);
    expect_granted(&f, 1, "t:1", 8);
    send_report(&f, 1, "t:1", 8, 2, 2);
    send_report(&f, 2, "t:1", 0, 0, 6);
    expect_granted(&f, 2, "t:1", -1);
    int kept = next_granted_units(&f, 1, "t:1");
    g_assert_cmpint(kept, >=, 2);
    g_assert_cmpint(kept, <, 8);
    expect_granted(&f, 2, "t:1", -1);
    send_report(&f, 1, "t:1", (uint32_t)kept, 2, 2);
    expect_granted(&f, 2, "t:1", 8 - kept);
    teardown(&f);
}

/* Guards against late or repeated reports that free units which the entry may
 * hold. */
static void
test_late_reports(void)
{
    struct fixture f;

    setup(&f);
    send_report(&f, 1, "t:1", 0, 0, 8);
    next_granted_units(&f, 1, "t:1");
    f.ack[1].seq = 0; /* the report was sent before the grants arrived */
    send_report(&f, 1, "t:1", 0, 0, 8);
    expect_held(&f, "t:1", 8);
    f.seq[1]--;
    expect_result(send_report(&f, 1, "t:1", 0, 0, 0), LEDGER_STALE);
    expect_held(&f, "t:1", 8);
    teardown(&f);
}

/* Guards against a ledger that asks an entry only once to return units: if
 * that message is lost, they are never returned. */
static void
test_reclaim_request_is_repeated(void)
{
    struct fixture f;

    setup(&f);
    send_report(&f, 1, "t:1", 0, 0, 8);
    next_granted_units(&f, 1, "t:1");
    send_report(&f, 1, "t:1", 8, 0, 0);
    send_report(&f, 2, "t:1", 0, 0, 8);
    int kept = next_granted_units(&f, 1, "t:1");
    g_assert_cmpint(kept, <, 8);
    send_report(&f, 1, "t:1", 8, 0, 0); /* acknowledges a later message */
    f.now += NS_PER_S / 2;
    expect_granted(&f, 1, "t:1", kept);
    teardown(&f);
}

/* Guards against reclaiming a dead entry's units while its requests may still
 * run, and against never reclaiming them. */
static void
test_reclaim(void)
{
    struct fixture f;

    setup(&f);
    send_report(&f, 1, "t:1", 0, 0, 8);
    next_granted_units(&f, 1, "t:1");
    int64_t last = f.now;
    f.now = last + 6 * NS_PER_S;
    ledger_tick(f.l, f.now);
    expect_held(&f, "t:1", 8);
    f.now = last + ledger_reclaim_delay_ns(f.l);
    ledger_tick(f.l, f.now);
    expect_held(&f, "t:1", 0);
    teardown(&f);
}

/* Guards against reclaiming units too early from a silent entry whose clock
 * is 1% slower than the leader's. */
static void
test_reclaim_drift(void)
{
    struct ledger_config c = {.lease_ns = 3 * NS_PER_S,
                              .longest_request_ns = 30 * NS_PER_S};
    const int64_t span = c.lease_ns + c.longest_request_ns;
    struct fixture f;

    setup_with(&f, &c);
    send_report(&f, 1, "t:1", 0, 0, 8);
    next_granted_units(&f, 1, "t:1");
    f.now += span + span / 100;
    ledger_tick(f.l, f.now);
    expect_held(&f, "t:1", 8);
    teardown(&f);
}

/* Guards against a ledger that moves the units of a team with a very large
 * limit one by one, which blocks the leader: alarm() ends the test if raising
 * and lowering the limit 100 times takes too long. */
static void
test_large_limit(void)
{
    const uint32_t large = 1 << 24;
    struct fixture f;

    setup(&f);
    alarm(LARGE_LIMIT_TIMEOUT_S);
    for (int round = 0; round < 100; round++) {
        ledger_pool_set(f.l, f.now, STR("t:1"), STR(""), STR(""), large);
        for (uint64_t run = 1; run <= 4; run++) {
            int32_t held = next_granted_units(&f, run, "t:1");

            send_report(&f, run, "t:1", held < 0 ? 0 : (uint32_t)held, 0, 10);
        }
        ledger_tick(f.l, f.now);
        ledger_pool_set(f.l, f.now, STR("t:1"), STR(""), STR(""), 8);
        ledger_tick(f.l, f.now);
    }
    alarm(0);
    teardown(&f);
}

/* Guards against granting units of a pool whose capacity was lowered while
 * entries hold more than the new capacity. */
static void
test_shrink(void)
{
    struct fixture f;

    setup(&f);
    send_report(&f, 1, "t:1", 0, 0, 4);
    send_report(&f, 2, "t:1", 0, 0, 4);
    next_granted_units(&f, 1, "t:1");
    next_granted_units(&f, 2, "t:1");
    send_report(&f, 1, "t:1", 4, 4, 4);
    send_report(&f, 2, "t:1", 4, 4, 4);
    ledger_pool_set(f.l, f.now, STR("t:1"), STR(""), STR(""), 2);
    expect_granted(&f, 1, "t:1", 1);
    expect_granted(&f, 2, "t:1", 1);
    expect_within_capacity(&f, false);
    send_report(&f, 1, "t:1", 1, 1, 4);
    send_report(&f, 3, "t:1", 0, 0, 4);
    expect_granted(&f, 3, "t:1", -1);
    send_report(&f, 2, "t:1", 1, 1, 4);
    expect_within_capacity(&f, true);
    teardown(&f);
}

/* Guards against a new leader that grants units which entries that have not
 * reported yet may hold. */
static void
test_new_leader(void)
{
    struct fixture f;
    struct ledger_vm vms[] = {{.name = STR("vm1")}, {.name = STR("vm2")}};

    setup(&f);
    f.now += 1000 * NS_PER_S;
    ledger_leader_changed(f.l, f.now, 1, vms, 2);
    int64_t change_time = f.now;
    send_report(&f, 1, "t:1", 3, 3, 8);
    expect_granted(&f, 1, "t:1", -1);
    /* Units that a reporting entry returned are certainly free. */
    send_report(&f, 1, "t:1", 1, 1, 1);
    send_report(&f, 3, "t:1", 0, 0, 8);
    expect_granted(&f, 3, "t:1", 2);
    f.now = change_time + ledger_reclaim_delay_ns(f.l) - STEP_NS;
    ledger_tick(f.l, f.now);
    send_report(&f, 3, "t:1", 2, 2, 8);
    send_report(&f, 3, "t:1", 2, 2, 8);
    expect_granted(&f, 3, "t:1", -1);
    ledger_tick(f.l, f.now);
    int units = next_granted_units(&f, 3, "t:1");
    g_assert_cmpint(units, >, 2);
    teardown(&f);
}

/* Guards against taking a report that is addressed to another leader, or a
 * partial one from an entry whose other holdings are unknown. */
static void
test_rejected_reports(void)
{
    struct fixture f;
    struct report r = {.term = 2, .seq = 1, .full = true};

    setup(&f);
    g_assert_cmpint(
        (int)ledger_report(f.l, f.now, 1, STR("vm1"), STR("d0"), &r), ==,
        LEDGER_OTHER_TERM);
    r.term = 0; /* a control VM that never led must not take it */
    struct ledger *follower = ledger_create(&(struct ledger_config){0});
    expect_result(ledger_report(follower, f.now, 1, STR("vm1"), STR("d0"), &r),
                  LEDGER_OTHER_TERM);
    ledger_destroy(follower);
    f.seq[1] = 1;
    expect_result(send_report(&f, 1, "t:1", 1, 1, 1), LEDGER_UNKNOWN);
    teardown(&f);
}

/* Guards against granting slots in another failure domain while the entry's
 * own has free ones, and against granting slots of an endpoint that the entry
 * refuses. */
static void
test_locality(void)
{
    struct fixture f;

    setup(&f);
    ledger_pool_set(f.l, f.now, STR("e:a"), STR("s"), STR("d1"), 4);
    ledger_pool_set(f.l, f.now, STR("e:b"), STR("s"), STR("d0"), 4);
    send_report(&f, 1, "s:s", 0, 0, 3);
    send_report(&f, 2, "s:s", 0, 0, 3);
    send_report(&f, 2, "e:b", 0, 0, 0);
    int local = next_granted_units(&f, 1, "e:b");
    int remote = next_granted_units(&f, 2, "e:a");
    g_assert_cmpint(local, >=, 3);
    g_assert_cmpint(remote, >=, 3);
    expect_granted(&f, 2, "e:b", -1);
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/ledger/equal-demand", test_equal_demand);
    g_test_add_func("/ledger/first-unit", test_restarted_entry_gets_unit);
    g_test_add_func("/ledger/confirmed-return", test_confirmed_return);
    g_test_add_func("/ledger/late-reports", test_late_reports);
    g_test_add_func("/ledger/repeats-ask-back",
                    test_reclaim_request_is_repeated);
    g_test_add_func("/ledger/reclaim", test_reclaim);
    g_test_add_func("/ledger/reclaim-drift", test_reclaim_drift);
    g_test_add_func("/ledger/large-limit", test_large_limit);
    g_test_add_func("/ledger/shrink", test_shrink);
    g_test_add_func("/ledger/new-leader", test_new_leader);
    g_test_add_func("/ledger/unknown", test_rejected_reports);
    g_test_add_func("/ledger/locality", test_locality);
    return g_test_run();
}
