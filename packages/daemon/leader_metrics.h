#ifndef GV_LEADER_METRICS_H
#define GV_LEADER_METRICS_H

#include <stdint.h>

#include "state.h"

struct leader;

/*
 * Metrics of placement that the leader exports: waiting time, packing, cost of
 * decisions, shares. All are 0 in a process that does not lead, but for the
 * sums, which count since the start of the process.
 */
struct leader_metrics;

struct leader_metrics *
leader_metrics_create(void);

/* Sets all gauges to 0. */
void
leader_metrics_destroy(struct leader_metrics *m);

/* A task was placed for the first time; its placement is committed. now_ms is
 * wall-clock time. */
void
leader_metrics_add_wait(struct leader_metrics *m, const struct state_job *job,
                        int64_t now_ms);

/* Processor time of the control thread in one call of the scheduler. */
void
leader_metrics_add_decision_ns(struct leader_metrics *m, int64_t ns);

/* Sets the gauges; for each scrape. */
void
leader_metrics_refresh(struct leader_metrics *m, const struct leader *l);

#endif
