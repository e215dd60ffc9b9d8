#ifndef GV_SCHED_PREEMPT_H
#define GV_SCHED_PREEMPT_H

#include "core.h"

enum {
    VICTIMS_MAX = 64,
};

/* Whose work may be stopped. */
enum reach {
    REACH_ABOVE,   /* of accounts above their share, for urgent work */
    REACH_ANY,     /* also of others, and room held by the reservation */
    REACH_RECLAIM, /* for an account below its share, see reclaim.c */
};

/* Leases of one worker whose end makes room, and what their end costs. */
struct plan {
    struct worker *worker; /* NULL: none was found */
    struct lease *victims[VICTIMS_MAX];
    size_t count;
    enum reach reach;
    double cost; /* seconds of a whole worker's work */
};

/* Finds the cheapest leases, at most a few workers' worth compared, whose end
 * makes room for one task of an urgent job. */
bool
preempt_plan(struct sched *s, const struct job *j, struct plan *best);

/*
 * Tries the workers of the account's cheapest leases that cover need and
 * keeps the cheapest plan for a task of j. Looks at no more workers than a
 * bound for its reach and *left, which it lowers.
 */
void
preempt_search(struct sched *s, const struct account *a, const struct job *j,
               const struct vec *need, enum reach reach, int *left,
               struct plan *best);

/* Whether the end of l may be used for an account below its share. */
bool
reclaim_yields(const struct sched *s, const struct lease *l,
               const struct job *j);

/* Whether the held room of the reservation may be taken for urgent work. */
bool
preempt_takes_held(const struct sched *s, const struct job *j);

/* urgent_gang.c */

/*
 * Reserves room for all waiting tasks of an urgent gang and stops the work
 * that is in the way; does neither if there is not enough such work.
 */
bool
urgent_gang_preempt(struct sched *s, struct job *j);

/* Replaces slots that such a reservation lost with their workers. */
void
urgent_gang_refill(struct sched *s);

#endif
