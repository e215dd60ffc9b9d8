#ifndef GV_FLOW_PLAN_IMPL_H
#define GV_FLOW_PLAN_IMPL_H

#include "plan.h"

/* A step with tasks to start, and the order in which it is tried. */
struct candidate {
    struct flow_job *job;
    size_t occurrence;
    struct flow_step *step;
    int rank; /* 0 can meet its objective, 1 is late, 2 too late */
    uint32_t priority;
    int64_t latest_start;
    uint64_t order;
};

/* A running task's expected end, when its room becomes free. */
struct release {
    int64_t at;
    struct flow_size size;
};

/* A worker in one round. */
struct view {
    struct flow_worker *worker;
    double speed;
    struct flow_size taken; /* in use or planned */
    uint32_t serving;       /* tasks with a latency bound, in use or planned */
    uint32_t best_effort;   /* tasks that take what others leave, likewise */
    struct release *releases;
    size_t release_count;
    size_t release_cap;
    int64_t reserved_from;      /* 0: nothing is reserved */
    uint32_t reserved_priority; /* of the gang that it is kept for */
    struct flow_size spare;     /* beyond the reservation, from then on */
    /* Of the candidate that is being placed; NULL: not asked for yet. */
    const struct flow_verdict *verdict;
};

/* What is kept below a team's limit for its gangs. */
struct team_hold {
    const struct flow_team *team;
    struct flow_size size;
};

struct round {
    struct flow_state *state;
    struct plan *plan;
    const struct plan_limits *limits;
    int64_t now;
    struct view *views;
    size_t view_count;
    struct candidate *candidates;
    size_t candidate_count;
    size_t candidate_cap;
    size_t reservations;
    bool releases_known;
    struct team_hold *holds;
    size_t hold_count;
    size_t hold_cap;
};

/* ---- candidates.c ---- */

void
round_collect(struct round *r);

/* Fills the expected releases of all views, which only reservations need. */
void
round_releases(struct round *r);

/* ---- fit.c: what fits where ---- */

bool
size_fits(struct flow_size size, struct flow_size room);
struct flow_size
size_add(struct flow_size a, struct flow_size b);

/* a - b, not below 0. */
struct flow_size
size_less(struct flow_size a, struct flow_size b);

/* What a task of the step takes of a worker. */
struct flow_size
step_takes(const struct flow_step *step);

/* How many tasks of a size have room. */
uint64_t
size_count(struct flow_size room, struct flow_size size);
struct flow_size
view_free(const struct view *v);

/* How many tasks of the candidate's step have room; tasks of a step may be
 * limited for each worker. */
uint64_t
room_for(const struct candidate *c, struct flow_size room);

/* When a task of the candidate that starts now is expected to end there. */
int64_t
expected_end(const struct round *r, const struct candidate *c,
             const struct view *v);

/* Whether the worker could ever run a task of the step. */
bool
view_suits(const struct round *r, const struct view *v,
           const struct candidate *c);

/* Whether a reservation leaves room for a task of that priority that runs
 * until ends. More urgent work is not kept out. */
bool
view_unreserved(const struct view *v, struct flow_size size, uint32_t priority,
                int64_t ends);

/* Sets the verdict of each view for the candidate, or clears them again. */
void
bind_verdicts(struct round *r, const struct candidate *c, bool set);
bool
ticket_valid(const struct flow_verdict *v, int64_t now);

/* ---- reserve.c ---- */

/* Keeps room for a gang that does not fit now; returns when it will fit, or
 * INT64_MAX when that cannot be told. */
int64_t
reserve_gang(struct round *r, const struct candidate *c);

/* ---- ask.c ---- */

/* Asks for the approval of workers while the step lacks approved ones; fits
 * is when a reservation begins. */
void
ask_approval(struct round *r, const struct candidate *c, uint32_t missing,
             int64_t fits);

#endif
