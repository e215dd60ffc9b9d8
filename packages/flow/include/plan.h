#ifndef GV_PLAN_H
#define GV_PLAN_H

#include "flow.h"

/*
 * Placement of workflow steps: decides from the replicated state and what the
 * leader knows of the workers which tasks start where. Pure: the time is an
 * argument, nothing is sent.
 */

enum {
    PLAN_TICKET_BYTES = 64,
    PLAN_ASK_MAX = 100, /* workers that one call for approval may name */
};

/* Whether a step may run on a worker, as the approval service answered. */
struct flow_verdict {
    uint32_t worker;
    bool approved;
    int64_t valid_until; /* the ticket is not accepted later */
    size_t slot;         /* of the planner: where the worker was found last */
    char ticket[PLAN_TICKET_BYTES];
};

struct flow_approval {
    int64_t asked_until; /* calls are under way until then; 0: none */
    uint32_t open_calls;
    size_t count;
    size_t cap;
    struct flow_verdict verdicts[];
};

/* What the leader knows of a worker beyond the replicated state. */
struct plan_worker {
    bool usable;         /* answers, under a lease, and is not draining */
    int64_t avoid_until; /* it failed lately */
    /* Logarithm of its run times over the expected ones, and when a run was
     * last observed; see plan_observe. */
    double slowness_log;
    int64_t observed_at;
    size_t slot; /* of the planner: its place in this round */
};

struct plan_start {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t index;
    uint32_t run;
    struct flow_worker *worker;
    char ticket[PLAN_TICKET_BYTES]; /* empty: none is needed */
};

/* A call for approval to make. */
struct plan_ask {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t workers[PLAN_ASK_MAX];
    size_t count;
};

/* Why tasks of a step that could start were not placed. */
enum plan_wait {
    PLAN_WAIT_NONE,
    PLAN_WAIT_TEAM_LIMIT,
    PLAN_WAIT_APPROVAL, /* no ticket for a worker with room */
    PLAN_WAIT_ROOM,
};

/* A step of a job that is not new: written when its reason to wait changes,
 * and every few seconds. */
struct plan_waiting {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    enum plan_wait reason;
    uint32_t missing;  /* tasks */
    int64_t fits;      /* a gang's reservation; INT64_MAX: none */
    uint32_t approved; /* workers that are known to be */
    int lateness;      /* 0 in time, 1 late, 2 too late */
};

struct plan {
    struct plan_start *starts;
    size_t start_count;
    size_t start_cap;
    struct plan_ask *asks;
    size_t ask_count;
    size_t ask_cap;
    struct plan_waiting *waiting;
    size_t waiting_count;
    size_t waiting_cap;
};

struct plan_limits {
    size_t starts;       /* most decisions of one round */
    size_t asks;         /* most calls for approval that may begin now */
    size_t reservations; /* most gangs that room is kept for */
};

/*
 * Learns from a run, finished or projected from its progress, how fast the
 * worker is and how far the queue's estimates are off. Both are kept as
 * logarithms, because ratios scatter evenly around their mean there.
 */
void
plan_observe(struct flow_worker *w, struct flow_queue *q, double run_ms,
             double estimate_ms, int64_t now);

/* Speed of the worker, 1 is nominal. What was learned fades. */
double
plan_speed(const struct plan_worker *p, int64_t now);

/* Expected run time in ms of a task of the step on a worker of that speed. */
double
plan_run_ms(const struct flow_job *j, const struct flow_step *step,
            double speed);

/* The session of a worker as the planner sees it. */
struct plan_worker *
plan_worker(const struct flow_worker *w);

/* Fills plan, which is cleared first. */
void
plan_make(struct flow_state *s, int64_t now, const struct plan_limits *limits,
          struct plan *plan);
void
plan_free(struct plan *plan);

/* Records an answer for a step; a ticket longer than PLAN_TICKET_BYTES - 1
 * counts as none. Workers that were named and are not approved are kept as
 * refused. */
void
plan_verdict(struct flow_step *step, uint32_t worker, bool approved,
             struct str ticket, int64_t valid_until);

/* A call for approval is under way until then, at the latest. */
void
plan_asked(struct flow_step *step, int64_t until);

/* A call was answered or has failed. */
void
plan_answered(struct flow_step *step);

/* The worker refused the ticket of the step. */
void
plan_ticket_refused(struct flow_step *step, uint32_t worker);

#endif
