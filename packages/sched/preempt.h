#ifndef GV_SCHED_PREEMPT_H
#define GV_SCHED_PREEMPT_H

#include "core.h"

enum {
    VICTIMS_MAX = 64,
};

/* Whose work may be stopped. */
enum preempt_scope {
    /* For urgent work: work of accounts above their share. */
    SCOPE_ABOVE_SHARE,
    /* For urgent work: any work, and room held by the reservation. */
    SCOPE_ANY,
    /* For an account below its share, see reclaim.c. */
    SCOPE_RECLAIM,
};

/* Leases to stop on one worker to make room there, and the work lost. */
struct preempt_plan {
    struct worker *worker; /* NULL: no plan was found */
    struct lease *victims[VICTIMS_MAX];
    size_t count;
    enum preempt_scope scope;
    double cost; /* run time lost, in seconds of a whole worker */
};

/*
 * Finds the cheapest plan to make room for one task of an urgent job. Examines
 * only a bounded number of workers. Returns false if there is no plan.
 */
bool
preempt_find_plan(struct sched *s, const struct job *j,
                  struct preempt_plan *best);

/*
 * Examines the workers of the account's cheapest leases that cover need, and
 * replaces *best if a plan for a task of j is cheaper. Stops after a number of
 * leases that depends on the scope, or once *workers_left, which it decrements
 * for each lease, is 0.
 */
void
preempt_search_account(struct sched *s, const struct account *a,
                       const struct job *j, const struct vec *need,
                       enum preempt_scope scope, int *workers_left,
                       struct preempt_plan *best);

/* Whether l may be stopped for a job of an account below its share. */
bool
reclaim_may_stop(const struct sched *s, const struct lease *l,
                 const struct job *j);

/* Whether an urgent job may use the room held by the reservation. */
bool
preempt_may_use_reserved(const struct sched *s, const struct job *j);

/* urgent_gang.c */

/*
 * Reserves room for all waiting tasks of an urgent gang and stops the work
 * that uses this room. Returns false, without doing either, if not enough work
 * can be stopped.
 */
bool
urgent_gang_preempt(struct sched *s, struct job *j);

/* Replaces slots that the reservation of an urgent gang lost with workers. */
void
urgent_gang_replace_slots(struct sched *s);

#endif
