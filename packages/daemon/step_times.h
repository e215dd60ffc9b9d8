#ifndef GV_STEP_TIMES_H
#define GV_STEP_TIMES_H

#include <stdint.h>

/*
 * How long the steps of the control loop take, as metrics, and a log line for
 * each that exceeds the limit: the control thread does nothing else meanwhile,
 * so heartbeats and leases depend on it.
 */
struct step_times;

/* limit_ns: steps that take longer, and pauses of the process, are logged. */
struct step_times *
step_times_create(int64_t limit_ns);
void
step_times_destroy(struct step_times *t);

/* A step that began and ended at these times. */
void
step_times_add(struct step_times *t, int64_t began, int64_t ended);

/* The loop was to wake up by the deadline and did at now. */
void
step_times_add_wakeup(struct step_times *t, int64_t deadline, int64_t now);

#endif
