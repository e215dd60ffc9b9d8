#include "progress.h"

#include "clock.h"

enum {
    /* Workers report progress in whole percent, about once a second. */
    STALL_MIN_MS = 2500,
    STALL_PERCENT = 30, /* of the expected run time */
    /* Below these no projection is made: reports lag, and a start takes
     * time. */
    PROJECT_MIN_MS = 1000,
    PROJECT_MIN_PERCENT = 10,
    /* A restart is worthwhile when the remaining time is this many times the
     * time of a new run. */
    SLOW_FACTOR = 2,
    SLOW_MIN_MS = 2000,
    /* Estimates are off by up to this factor, which is no reason to
     * restart. */
    OVERDUE_FACTOR = 2,
    /* After this many starts the task itself is taken to be slow. */
    RESTARTS_MAX = 4,
};

static double
elapsed_ms(const struct run_progress *p)
{
    return (double)(p->now - p->started) / NS_PER_MS;
}

double
progress_projected_ms(const struct run_progress *p)
{
    if (p->percent < PROJECT_MIN_PERCENT || p->percent >= 100 ||
        elapsed_ms(p) < PROJECT_MIN_MS) {
        return 0;
    }
    return elapsed_ms(p) * 100 / p->percent;
}

static bool
stalled(const struct run_progress *p)
{
    double still = (double)(p->now - p->progressed) / NS_PER_MS;
    double most = p->expected_ms * STALL_PERCENT / 100;

    return still > (most > STALL_MIN_MS ? most : STALL_MIN_MS);
}

bool
progress_should_restart(const struct run_progress *p)
{
    double projected = progress_projected_ms(p);
    double rest = projected * (100 - p->percent) / 100;
    double again = p->expected_ms;

    if (p->run >= RESTARTS_MAX || p->percent >= 100) {
        return false;
    }
    if (stalled(p)) {
        return true;
    }
    if (p->checkpoints) {
        again = again * (100 - p->percent) / 100;
    }
    return elapsed_ms(p) > p->expected_ms * OVERDUE_FACTOR &&
           rest > again * SLOW_FACTOR && rest > SLOW_MIN_MS;
}
