#ifndef GV_MEASURES_H
#define GV_MEASURES_H

#include <stdint.h>

#include "state.h"

struct leader;

/*
 * Metrics of placement that the leader exports: waiting time, packing, cost of
 * decisions, shares. All are 0 in a process that does not lead, but for the
 * sums, which count since the start of the process.
 */
struct measures;

struct measures *
measures_create(void);

/* Sets all gauges to 0. */
void
measures_destroy(struct measures *m);

/* A task was placed for the first time; its placement is committed. now_ms is
 * wall-clock time. */
void
measures_started(struct measures *m, const struct state_job *job,
                 int64_t now_ms);

/* Processor time of the control thread in one call of the scheduler. */
void
measures_decided(struct measures *m, int64_t ns);

/* Sets the gauges; for each scrape. */
void
measures_refresh(struct measures *m, const struct leader *l);

#endif
