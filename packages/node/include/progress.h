#ifndef GV_PROGRESS_H
#define GV_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether a run should be restarted on another worker, because it
 * stalled or is slow although its worker still answers calls. All times are
 * ns of the monotonic clock unless their name says ms.
 */
struct run_progress {
    int64_t now;
    int64_t started;    /* when the worker confirmed the start */
    int64_t progressed; /* when percent changed last */
    uint32_t percent;   /* share of its work that is done */
    uint32_t run;       /* starts of the task, including this one */
    double expected_ms; /* total run time on a worker of nominal speed */
    bool checkpoints;   /* a restart keeps most of the work done */
};

/* Returns the run's total time in ms, projected from its progress, or 0 if
 * there is too little progress to project from. */
double
progress_projected_ms(const struct run_progress *p);

/* Returns whether to stop the run and restart its task on another worker. */
bool
progress_should_restart(const struct run_progress *p);

#endif
