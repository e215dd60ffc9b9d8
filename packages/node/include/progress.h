#ifndef GV_PROGRESS_H
#define GV_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether a run should be restarted elsewhere. It handles workers
 * whose runs stall or slow down while the workers still answer calls normally.
 */
struct run_progress {
    int64_t now;        /* monotonic ns, as all times here */
    int64_t started;    /* confirmed by the worker */
    int64_t progressed; /* when percent changed last */
    uint32_t percent;   /* of its work */
    uint32_t run;       /* number of the task's starts, this one included */
    double expected_ms; /* on a nominal worker */
    bool checkpoints;   /* a restart keeps most of the work */
};

/* Returns the run's total time in ms, projected from its progress; 0 while
 * there is too little progress to project from. */
double
progress_projected_ms(const struct run_progress *p);

/* Returns whether to stop the run and start the task again elsewhere. */
bool
progress_should_restart(const struct run_progress *p);

#endif
