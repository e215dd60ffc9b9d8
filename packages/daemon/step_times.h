#ifndef GV_STEP_TIMES_H
#define GV_STEP_TIMES_H

#include <stdint.h>

/*
 * Metrics of the duration of the control loop's steps, and a log line for each
 * step that exceeds a limit. A long step delays heartbeats and lease renewals,
 * because the control thread handles everything else between steps.
 */
struct step_times;

/* Steps longer than limit_ns, and wake-ups that are later than this, are
 * logged and counted as stalls. */
struct step_times *
step_times_create(int64_t limit_ns);
void
step_times_destroy(struct step_times *t);

/* Records a step that began and ended at these times, in nanoseconds. */
void
step_times_add(struct step_times *t, int64_t began, int64_t ended);

/* Records a wake-up at now, which was due by the deadline. */
void
step_times_add_wakeup(struct step_times *t, int64_t deadline, int64_t now);

#endif
