#ifndef GV_EVACUATE_H
#define GV_EVACUATE_H

#include "flow.h"

/*
 * Decides what becomes of the runs in evacuated failure domains. A run that
 * goes on there loses nothing unless the domain is lost; one that is moved
 * loses the time to stop, restore and start again. Load that this answers: a
 * fleet in which the rest has to take over what a domain ran, while new work
 * arrives.
 *
 * Runs are moved into room elsewhere that no waiting work needs, first those
 * that never end by themselves, then those with the longest time left, and
 * best-effort ones last.
 */
enum evacuate_verdict {
    EVACUATE_MOVE,
    EVACUATE_MOVING,      /* it is being moved */
    EVACUATE_UNCONFIRMED, /* no worker has listed the run, or all its gang */
    EVACUATE_ENDS_SOON,
    EVACUATE_WOULD_LOSE, /* a stop would lose its work: no checkpoints */
    EVACUATE_BUDGET,     /* too many tasks of its step are not at work */
    EVACUATE_NO_ROOM,    /* no room elsewhere that nothing else waits for */
    EVACUATE_VERDICTS,
};

/* A run to stop. The planner then starts its task elsewhere. */
struct evacuate_move {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t index;
};

struct evacuate_limits {
    int64_t short_ms; /* runs that are expected to end within this go on */
    size_t moves;     /* no gang or task is moved once so many runs are */
};

/* Zero it before its first use and free it with evacuate_plan_free. Its
 * pointers become invalid when the state changes. */
struct evacuate_plan {
    struct evacuate_move *moves;
    size_t move_count;
    size_t move_cap;
    /* Tasks by verdict. A gang counts as one. */
    uint32_t verdicts[EVACUATE_VERDICTS];
};

/* Decides on all runs in evacuated domains and replaces the content of plan.
 * Sets flow_task.moved_run of the runs to be moved, which the caller stops. */
void
evacuate_make(struct flow_state *s, int64_t now_ns,
              const struct evacuate_limits *limits,
              struct evacuate_plan *plan);

/* Frees the plan's array and zeroes it. */
void
evacuate_plan_free(struct evacuate_plan *plan);

#endif
