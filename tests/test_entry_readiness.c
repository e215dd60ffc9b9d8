/* Tests entry_readiness.c, which is internal to its package and therefore
 * compiled into the test. */
#include <glib.h>

/* NOLINTNEXTLINE(bugprone-suspicious-include) */
#include "../packages/daemon/entry_readiness.c"

static void
expect_ready(struct entry_readiness *r, int64_t now, uint32_t slots_held,
             uint32_t endpoints, bool expected)
{
    bool ready = readiness_check(r, now, slots_held, endpoints);

    g_assert_cmpint(ready, ==, expected);
}

static void
expect_report(struct entry_readiness *r, const struct readiness_grant *g,
              bool expected)
{
    bool report = readiness_handle_grant(r, g);

    g_assert_cmpint(report, ==, expected);
}

/* Guards against requests that wait at a restarted entry because the load
 * balancer sends them before the entry holds slots. */
static void
waits_for_units(void)
{
    struct entry_readiness r = {0};
    struct readiness_grant g = {.report_seq = 1,
                                .last_report_seq = 2,
                                .endpoints_complete = true,
                                .deadline = 1000};

    expect_ready(&r, 1, 0, 0, false);
    expect_report(&r, &g, true);
    expect_ready(&r, 2, 0, 4, false);
    g.report_seq = 2;
    expect_report(&r, &g, false);
    expect_ready(&r, 3, 8, 4, false);
    g.report_seq = 3;
    readiness_handle_grant(&r, &g);
    expect_ready(&r, 4, 0, 4, false);
    expect_ready(&r, 5, 8, 4, true);
    expect_ready(&r, 6, 0, 0, true);
}

static void
ready_without_endpoints(void)
{
    struct entry_readiness r = {0};
    struct readiness_grant g = {.report_seq = 1,
                                .last_report_seq = 1,
                                .endpoints_complete = true,
                                .deadline = 1000};

    readiness_handle_grant(&r, &g);
    g.report_seq = 2;
    readiness_handle_grant(&r, &g);
    expect_ready(&r, 1, 0, 0, true);
}

/* Guards against an entry that gets ready because the time of an earlier
 * leader is over, or by the list of that leader. */
static void
leader_replaced(void)
{
    struct entry_readiness r = {0};
    struct readiness_grant g = {.report_seq = 1,
                                .last_report_seq = 1,
                                .endpoints_complete = true,
                                .deadline = 1000};

    readiness_handle_grant(&r, &g);
    readiness_leader_changed(&r);
    expect_ready(&r, 1000, 0, 0, false);
    g.report_seq = 2;
    g.endpoints_complete = false;
    g.deadline = 3000;
    expect_report(&r, &g, false);
    expect_ready(&r, 2999, 8, 4, false);
    expect_ready(&r, 3000, 0, 4, true);
    readiness_leader_changed(&r);
    expect_ready(&r, 3001, 0, 4, true);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry-readiness/units", waits_for_units);
    g_test_add_func("/entry-readiness/no-endpoints", ready_without_endpoints);
    g_test_add_func("/entry-readiness/leader-replaced", leader_replaced);
    return g_test_run();
}
