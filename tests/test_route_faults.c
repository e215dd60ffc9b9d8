#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "route_world.h"

enum {
#ifdef __SANITIZE_ADDRESS__
    SEEDS = 800, /* the sanitizer slows a sequence down about fivefold */
#else
    SEEDS = 3000,
#endif
};

static void
run_sequences(bool brief)
{
    const char *only = g_getenv("GV_ROUTE_SEED");
    const char *count = g_getenv("GV_ROUTE_SEEDS");
    uint64_t from = only == NULL ? 1 : strtoull(only, NULL, 10);
    uint64_t n = count == NULL ? SEEDS : strtoull(count, NULL, 10);

    for (uint64_t seed = from; seed < from + n; seed++) {
        unsigned found = world_run(seed, PLANT_NONE, brief);
        if (found != 0) {
            g_test_message("seed %" G_GUINT64_FORMAT ": violations %#x", seed,
                           found);
            g_test_fail();
            return;
        }
    }
}

/* Guards against any violation in thousands of random fault sequences. */
static void
test_sequences(void)
{
    run_sequences(false);
}

/* Guards against units that are reclaimed before the last request of a dead
 * entry has ended, when entries promise that their requests end early. */
static void
test_brief(void)
{
    run_sequences(true);
}

struct planted {
    enum plant plant;
    enum violation expect;
};

/* Guards against a checker that is blind: each fault must be found. */
static void
test_planted(gconstpointer data)
{
    const struct planted *p = data;
    bool brief = p->plant >= PLANT_LOST_RAISE;

    /* They show only when an entry is cut off and then dies with a long
     * request, of which it sent some after its last report. */
    bool rare = p->plant == PLANT_EARLY_END || brief;
    uint64_t seeds = rare ? 3000 : 100;

    for (uint64_t seed = 1; seed <= seeds; seed++) {
        if ((world_run(seed, p->plant, brief) & (1U << p->expect)) != 0) {
            g_test_message("found with seed %" G_GUINT64_FORMAT, seed);
            return;
        }
    }
    g_test_fail();
}

int
main(int argc, char **argv)
{
    static const struct planted planted[] = {
        {PLANT_STALE_GRANT, V_POOL},    {PLANT_EARLY_RECLAIM, V_POOL},
        {PLANT_STALE_REPORT, V_POOL},   {PLANT_FORGET_VMS, V_POOL},
        {PLANT_NO_BYTES, V_TWICE},      {PLANT_NO_BYTES, V_NOT_RUN},
        {PLANT_LOST_END, V_ENDS},       {PLANT_HIDE_LEAVING, V_LEAVING},
        {PLANT_BUDGET, V_BUDGET},       {PLANT_EARLY_MARK, V_MARK},
        {PLANT_LONG_LEASE, V_LEASE},    {PLANT_EJECT, V_EJECTED},
        {PLANT_QUEUE, V_QUEUE},         {PLANT_HIDE_KEY, V_LEASE},
        {PLANT_SLOW_CLOCK, V_DEADLINE}, {PLANT_DEAF, V_STUCK},
        {PLANT_EARLY_END, V_POOL},      {PLANT_LOST_RAISE, V_POOL},
        {PLANT_LOST_RECORD, V_POOL},    {PLANT_EARLY_ANSWER, V_POOL},
    };
    char name[64];

    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/faults/sequences", test_sequences);
    g_test_add_func("/route/faults/brief", test_brief);
    for (size_t i = 0; i < G_N_ELEMENTS(planted); i++) {
        snprintf(name, sizeof(name), "/route/faults/planted/%zu", i);
        g_test_add_data_func(name, &planted[i], test_planted);
    }
    return g_test_run();
}
