#include <stdlib.h>

#include "sched_world.h"

enum {
    SEQUENCES = 1200,
    STEPS = 400,
    FAULT_SEQUENCES = 60,
};

/* Runs one sequence; returns the violation found, or NULL. */
static const char *
run(uint64_t seed, enum world_fault fault)
{
    struct world w;
    const char *violation;

    world_open(&w, seed, fault);
    for (int i = 0; i < STEPS && w.violation == NULL; i++) {
        world_step(&w);
    }
    if (w.violation == NULL) {
        world_finish(&w);
    }
    violation = w.violation;
    world_close(&w);
    return violation;
}

/*
 * Guards against any sequence of faults that breaks an invariant. SCHED_SEED
 * and SCHED_SEQUENCES choose another range of seeds.
 */
static void
test_sequences(void)
{
    const char *first = getenv("SCHED_SEED");
    const char *count = getenv("SCHED_SEQUENCES");
    uint64_t seed = first == NULL ? 1 : strtoull(first, NULL, 10);
    uint64_t end =
        seed + (count == NULL ? SEQUENCES : strtoull(count, NULL, 10));

    for (; seed < end; seed++) {
        const char *violation = run(seed, FAULT_NONE);
        if (violation != NULL) {
            g_error("seed %lu: %s", (unsigned long)seed, violation);
        }
    }
}

struct planted {
    const char *path;
    enum world_fault fault;
    const char *expect;
};

static const struct planted planted[] = {
    {"/sched/planted/capacity", FAULT_CAPACITY, "capacity"},
    {"/sched/planted/one-place", FAULT_EARLY_EXPIRY, "one place"},
    {"/sched/planted/limit", FAULT_LIMIT, "limit"},
    {"/sched/planted/at-most-once", FAULT_RESTART, "started twice"},
    {"/sched/planted/reclaim", FAULT_RESTART, "reclaimed what must go on"},
    {"/sched/planted/gang", FAULT_HALF_GANG, "gang placed in part"},
    {"/sched/planted/lost-job", FAULT_LOST_JOB, "job lost"},
    {"/sched/planted/lease", FAULT_LEASE_REUSE, "lease used twice"},
};

/* Guards against a checker that cannot see the violation it looks for. */
static void
test_planted(gconstpointer data)
{
    const struct planted *p = data;
    int found = 0;

    for (uint64_t seed = 1; seed <= FAULT_SEQUENCES; seed++) {
        found += g_strcmp0(run(seed, p->fault), p->expect) == 0;
    }
    g_assert_cmpint(found, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/sequences", test_sequences);
    for (size_t i = 0; i < G_N_ELEMENTS(planted); i++) {
        g_test_add_data_func(planted[i].path, &planted[i], test_planted);
    }
    return g_test_run();
}
