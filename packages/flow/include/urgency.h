#ifndef GV_FLOW_URGENCY_H
#define GV_FLOW_URGENCY_H

#include "flow.h"

/*
 * Order of steps that wait, and the room that less urgent steps leave to
 * gangs that wait. Answers a load of about all that the fleet can do, with
 * bursts: tasks of batch queues, which fit into each piece of room as it
 * becomes free, would otherwise keep gangs of more urgent queues waiting until
 * these are late, although the batches could wait. Pure functions: the caller
 * passes the time.
 */

enum urgency {
    URGENCY_IN_TIME,
    URGENCY_LATE,
    URGENCY_USELESS, /* too late to be of use */
};

/* Times of a step, in ns. */
struct urgency_times {
    int64_t arrived_ns;      /* when its job arrived */
    int64_t latest_start_ns; /* a later start misses the objective */
    int64_t objective_ns;    /* of the job, from its arrival */
};

enum urgency
urgency_of(const struct urgency_times *t, int64_t now);

/*
 * Returns the class by which steps are sorted, the lowest first. A late job
 * keeps only a part of its worth. It comes after the jobs of its own and the
 * next less urgent priority that can be in time, and before all other less
 * urgent jobs. Jobs that are too late to be of use come last.
 */
uint32_t
urgency_class(enum urgency urgency, uint32_t priority);

/* Reports whether the step leaves room to gangs of more urgent queues: it is
 * late, or can wait for a good part of its objective. */
bool
urgency_yields(const struct urgency_times *t, int64_t now);

/* Returns when urgency_of or urgency_yields next gives another result;
 * INT64_MAX: never. */
int64_t
urgency_next_change_ns(const struct urgency_times *t, int64_t now);

/* The room of the workers of one service, and what waiting gangs claim of it.
 * Zero it before its first use and free it with headroom_free. */
struct headroom {
    struct flow_size capacity; /* of the workers that take tasks */
    struct flow_size free;     /* of that */
    struct flow_size claimed;  /* by the gangs of all priorities */
    struct headroom_claim *claims;
    size_t claim_count;
};

void
headroom_add_worker(struct headroom *h, struct flow_size capacity,
                    struct flow_size available);

/* Records that tasks of that size in all were placed, or removed again. */
void
headroom_take(struct headroom *h, struct flow_size size);
void
headroom_return(struct headroom *h, struct flow_size size);

/* Adds a gang of that size, of a queue with that priority, to the claims. */
void
headroom_claim(struct headroom *h, uint32_t priority, struct flow_size size);

/*
 * Reports whether a task of that size leaves the room that gangs of more
 * urgent queues claim. Their claims count up to a share of the capacity, so
 * that gangs which wait for something else leave most of the fleet in use.
 */
bool
headroom_allows(const struct headroom *h, uint32_t priority,
                struct flow_size size);

void
headroom_free(struct headroom *h);

#endif
