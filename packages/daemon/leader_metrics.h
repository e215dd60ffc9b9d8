#ifndef GV_LEADER_METRICS_H
#define GV_LEADER_METRICS_H

#include <stdint.h>

#include "state.h"

struct leader;

/*
 * Placement metrics of the leader: waiting times, use of the fleet's capacity,
 * cost of decisions, and teams' shares. In a process that does not lead, all
 * gauges are 0; sums count since the start of the process.
 */
struct leader_metrics;

struct leader_metrics *
leader_metrics_create(void);

/* Also sets all gauges to 0. Accepts NULL. */
void
leader_metrics_destroy(struct leader_metrics *m);

/*
 * Counts the waiting time of a task whose first placement was committed at
 * now_ms, in wall-clock time.
 */
void
leader_metrics_add_wait(struct leader_metrics *m, const struct state_job *job,
                        int64_t now_ms);

/* Adds the time that one tick of the scheduler took. */
void
leader_metrics_add_decision_ns(struct leader_metrics *m, int64_t ns);

/* Sets the gauges and counts decisions; for each scrape. */
void
leader_metrics_refresh(struct leader_metrics *m, const struct leader *l);

#endif
