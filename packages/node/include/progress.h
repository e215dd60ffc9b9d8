#ifndef GV_PROGRESS_H
#define GV_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a run is worth waiting for. Answers the load of workers that stand
 * still or turn slow while their other answers are good.
 */
struct run_progress {
    int64_t now;        /* ns, as all times */
    int64_t started;    /* confirmed by the worker */
    int64_t progressed; /* when percent changed last */
    uint32_t percent;   /* of its work */
    uint32_t run;       /* number of the task's starts, this one included */
    double expected_ms; /* on a nominal worker */
    bool checkpoints;   /* a restart keeps most of the work */
};

/* The whole run's time projected from its progress, in ms; 0 while too
 * little of it has been seen. */
double
progress_projected_ms(const struct run_progress *p);

/* Whether to stop the run and start the task again elsewhere. */
bool
progress_restart(const struct run_progress *p);

#endif
