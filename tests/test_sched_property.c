#include <stdlib.h>

#include "sched_sim.h"

enum {
    DEFAULT_SEQUENCES = 1200,
    STEPS_PER_SEQUENCE = 400,
    FAULT_SEQUENCES = 60,
};

/* Runs one random sequence; returns the first violation, or NULL. */
static const char *
run_sequence(uint64_t seed, enum sim_fault fault)
{
    struct sched_sim sim;
    const char *violation;

    sched_sim_open(&sim, seed, fault);
    for (int i = 0; i < STEPS_PER_SEQUENCE && sim.violation == NULL; i++) {
        sched_sim_step(&sim);
    }
    if (sim.violation == NULL) {
        sched_sim_finish(&sim);
    }
    violation = sim.violation;
    sched_sim_close(&sim);
    return violation;
}

/*
 * Guards against a broken invariant (capacity, limits, gangs, repeated runs,
 * lost jobs) after a random sequence of submissions, worker losses and leader
 * changes. The environment variables SCHED_SEED and SCHED_SEQUENCES set the
 * first seed and the number of sequences.
 */
static void
test_sequences(void)
{
    const char *seed_text = getenv("SCHED_SEED");
    const char *count_text = getenv("SCHED_SEQUENCES");
    uint64_t seed = seed_text == NULL ? 1 : strtoull(seed_text, NULL, 10);
    uint64_t end =
        seed + (count_text == NULL ? DEFAULT_SEQUENCES
                                   : strtoull(count_text, NULL, 10));

    for (; seed < end; seed++) {
        const char *violation = run_sequence(seed, FAULT_NONE);
        if (violation != NULL) {
            g_error("seed %lu: %s", (unsigned long)seed, violation);
        }
    }
}

/* A fault to inject and the violation that it must cause. */
struct injected_fault {
    const char *path;
    enum sim_fault fault;
    const char *violation;
};

static const struct injected_fault injected_faults[] = {
    {"/sched/planted/capacity", FAULT_DOUBLED_CAPACITY,
     "worker capacity exceeded"},
    {"/sched/planted/one-place", FAULT_EARLY_EXPIRY,
     "task active more than once"},
    {"/sched/planted/limit", FAULT_RAISED_LIMIT, "team limit exceeded"},
    {"/sched/planted/at-most-once", FAULT_ALL_IDEMPOTENT,
     "non-idempotent task started twice"},
    {"/sched/planted/reclaim", FAULT_ALL_IDEMPOTENT,
     "reclaimed a task that must not be reclaimed"},
    {"/sched/planted/gang", FAULT_GANG_AS_BATCH, "gang placed partially"},
    {"/sched/planted/lost-job", FAULT_LOST_JOB,
     "submitted job without committed outcome"},
    {"/sched/planted/lease", FAULT_LEASE_REUSE, "lease number used twice"},
};

/*
 * Guards against a checker that misses violations: at least one sequence with
 * an injected fault must end with the expected violation.
 */
static void
test_injected_fault(gconstpointer data)
{
    const struct injected_fault *injected = data;
    int found = 0;

    for (uint64_t seed = 1; seed <= FAULT_SEQUENCES; seed++) {
        found += g_strcmp0(run_sequence(seed, injected->fault),
                           injected->violation) == 0;
    }
    g_assert_cmpint(found, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/sequences", test_sequences);
    for (size_t i = 0; i < G_N_ELEMENTS(injected_faults); i++) {
        g_test_add_data_func(injected_faults[i].path, &injected_faults[i],
                             test_injected_fault);
    }
    return g_test_run();
}
