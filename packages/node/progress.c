#include "progress.h"

#include "clock.h"

enum {
    /* A run has stalled if its progress did not change for the longer of
     * STALL_MIN_MS and STALL_PERCENT of the expected run time. Workers report
     * progress in whole percent, about once a second. */
    STALL_MIN_MS = 2500,
    STALL_PERCENT = 30,
    /* No projection is made below these, because reports lag and the start
     * takes time. */
    PROJECT_MIN_MS = 1000,
    PROJECT_MIN_PERCENT = 10,
    /* A slow run is restarted if its remaining time exceeds SLOW_MIN_MS and
     * SLOW_FACTOR times the time of a new run. */
    SLOW_FACTOR = 2,
    SLOW_MIN_MS = 2000,
    /* A run is not slow before this multiple of its expected time, because
     * estimates are wrong by up to this factor. */
    OVERDUE_FACTOR = 2,
    /* After this many starts the task, not the worker, is taken to be slow,
     * and its run is left alone. */
    STARTS_MAX = 4,
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
is_stalled(const struct run_progress *p)
{
    double unchanged_ms = (double)(p->now - p->progressed) / NS_PER_MS;
    double stall_ms = p->expected_ms * STALL_PERCENT / 100;

    return unchanged_ms > (stall_ms > STALL_MIN_MS ? stall_ms : STALL_MIN_MS);
}

bool
progress_should_restart(const struct run_progress *p)
{
    double projected_ms = progress_projected_ms(p);
    double remaining_ms = projected_ms * (100 - p->percent) / 100;
    double restart_ms = p->expected_ms;

    if (p->run >= STARTS_MAX || p->percent >= 100) {
        return false;
    }
    if (is_stalled(p)) {
        return true;
    }
    if (p->checkpoints) {
        restart_ms = restart_ms * (100 - p->percent) / 100;
    }
    return elapsed_ms(p) > p->expected_ms * OVERDUE_FACTOR &&
           remaining_ms > restart_ms * SLOW_FACTOR &&
           remaining_ms > SLOW_MIN_MS;
}
