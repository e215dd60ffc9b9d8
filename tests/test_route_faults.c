#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "route_sim.h"

enum {
#ifdef __SANITIZE_ADDRESS__
    DEFAULT_SEEDS = 800, /* AddressSanitizer makes a sequence about five times
                            slower */
#else
    DEFAULT_SEEDS = 3000,
#endif
};

/* Runs sequences without planted faults and fails at the first violation.
 * GV_ROUTE_SEED sets the first seed, GV_ROUTE_SEEDS the number of seeds. */
static void
run_sequences(bool short_timeouts)
{
    const char *first_seed = g_getenv("GV_ROUTE_SEED");
    const char *count = g_getenv("GV_ROUTE_SEEDS");
    uint64_t from = first_seed == NULL ? 1 : strtoull(first_seed, NULL, 10);
    uint64_t n = count == NULL ? DEFAULT_SEEDS : strtoull(count, NULL, 10);

    for (uint64_t seed = from; seed < from + n; seed++) {
        unsigned violations = route_sim_run(seed, FAULT_NONE, short_timeouts);
        if (violations != 0) {
            g_test_message("seed %" G_GUINT64_FORMAT ": violations %#x", seed,
                           violations);
            g_test_fail();
            return;
        }
    }
}

/* Guards against rules of the router or the ledger that are violated under
 * random faults. */
static void
test_sequences(void)
{
    run_sequences(false);
}

/* Guards against units that are reclaimed before the last request of a dead
 * entry has ended, when entries lower and raise their bound on attempt
 * durations. */
static void
test_short_timeouts(void)
{
    run_sequences(true);
}

struct planted_case {
    enum planted_fault fault;
    enum violation expected;
};

/* Guards against a checker that misses violations: it must detect each planted
 * fault. */
static void
test_planted_fault(gconstpointer data)
{
    const struct planted_case *c = data;
    bool short_timeouts = c->fault >= FAULT_HIDE_RAISE;

    /* These faults cause a violation only if an entry is disconnected, sends
     * long requests after its last report, and then dies. */
    bool rare = c->fault == FAULT_EARLY_END || short_timeouts;
    uint64_t seeds = rare ? 3000 : 100;

    for (uint64_t seed = 1; seed <= seeds; seed++) {
        if ((route_sim_run(seed, c->fault, short_timeouts) &
             (1U << c->expected)) != 0) {
            g_test_message("violation detected with seed %" G_GUINT64_FORMAT,
                           seed);
            return;
        }
    }
    g_test_fail();
}

int
main(int argc, char **argv)
{
    static const struct planted_case cases[] = {
        {FAULT_STALE_GRANT, V_POOL},    {FAULT_EARLY_RECLAIM, V_POOL},
        {FAULT_STALE_REPORT, V_POOL},   {FAULT_FORGET_VMS, V_POOL},
        {FAULT_HIDE_BYTES, V_RESENT},   {FAULT_HIDE_BYTES, V_NOT_RUN},
        {FAULT_LOST_ANSWER, V_ANSWERS}, {FAULT_HIDE_LEAVING, V_LEAVING},
        {FAULT_RETRY_BUDGET, V_BUDGET}, {FAULT_EARLY_COMMIT, V_UNCOMMITTED},
        {FAULT_LONG_LEASE, V_LEASE},    {FAULT_EJECT_PERCENT, V_EJECTED},
        {FAULT_QUEUE_MAX, V_QUEUE},     {FAULT_HIDE_KEY, V_LEASE},
        {FAULT_SLOW_CLOCK, V_DEADLINE}, {FAULT_LOST_GRANTS, V_STUCK},
        {FAULT_EARLY_END, V_POOL},      {FAULT_HIDE_RAISE, V_POOL},
        {FAULT_HIDE_RECORD, V_POOL},    {FAULT_EARLY_CONFIRM, V_POOL},
    };
    char name[64];

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/faults/sequences", test_sequences);
    g_test_add_func("/route/faults/brief", test_short_timeouts);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        snprintf(name, sizeof(name), "/route/faults/planted/%zu", i);
        g_test_add_data_func(name, &cases[i], test_planted_fault);
    }
    return g_test_run();
}
