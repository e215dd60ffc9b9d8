#ifndef GV_FLOW_PLAN_IMPL_H
#define GV_FLOW_PLAN_IMPL_H

#include "plan.h"
#include "urgency.h"

enum {
    /* Remaining validity that a ticket needs at the time of a decision. The
     * worker checks it after the commit of the start, the call to the worker
     * and the queues before both. */
    TICKET_MIN_REMAINING_MS = 120,
};

/* Workers below this speed get no tasks: even a task with slack would be
 * late there. */
#define WORKER_SPEED_MIN 0.35

/* A step with tasks to start, and its sort keys. */
struct candidate {
    struct flow_job *job;
    size_t occurrence; /* index in job->occurrences */
    struct flow_step *step;
    enum urgency lateness;
    bool yields;   /* leaves room to gangs of more urgent queues */
    bool pressing; /* nothing that is kept for gangs holds it up any more */
    uint32_t priority;       /* of the queue; 0 is the most urgent */
    uint32_t service;        /* index of the queue's service in the round */
    struct flow_size size;   /* of a task */
    struct flow_size demand; /* the part that uses a worker's capacity */
    uint32_t class;          /* first sort key, the lowest first */
    int64_t latest_start_ns; /* a later start misses the objective */
    int64_t objective_ns;    /* of the job, from its arrival */
    uint64_t order;          /* order of collection, breaks ties */
};

/* Resources that become free at the expected end of a running task. */
struct expected_release {
    int64_t at_ns;
    struct flow_size size;
};

/* A worker in one planning round. */
struct worker_view {
    struct flow_worker *worker;
    uint32_t service; /* index of its service in the round */
    bool runnable;    /* takes tasks at all in this round */
    double speed;
    struct flow_size committed; /* to assigned and planned tasks */
    uint32_t serving;     /* tasks with a tail-latency target, likewise */
    uint32_t best_effort; /* best-effort tasks, likewise */
    uint32_t tasks_left;  /* that it may get besides the assigned ones */
    bool cleared;         /* its best-effort tasks are being displaced */
    /* What its best-effort tasks use; see displace_best_effort(). */
    struct flow_size best_effort_size;
    struct expected_release *releases;
    size_t release_count;
    size_t release_cap;
    bool releases_sorted;
    int64_t reserved_from_ns;   /* 0: there is no reservation */
    uint32_t reserved_priority; /* of the gang that reserved */
    /* Capacity that the gang leaves from reserved_from_ns on. */
    struct flow_size unreserved;
    /* On the candidate that is being placed; NULL: none is known. */
    const struct flow_verdict *verdict;
};

/* What a round has placed and reserved of a team's limit so far. */
struct team_plan {
    const struct flow_team *team;
    struct flow_size placed;
    struct flow_size reserved;
    int64_t reserved_from_ns; /* of the first reservation; 0: there is none */
};

struct team_release {
    const struct flow_team *team;
    struct expected_release release;
};

/* Index of a service that no worker belongs to. */
#define SERVICE_NONE UINT32_MAX

/* The data of one planning round. */
struct plan_round {
    struct flow_state *state;
    struct plan *plan;
    const struct plan_limits *limits;
    int64_t now_ns;
    /* Worker views looked at so far, the measure of the round's work. */
    size_t visits;
    struct worker_view *views;
    size_t view_count;
    struct worker_view **all; /* all views */
    /* More than this of a resource is free on no worker that takes tasks. */
    struct flow_size free_max;
    /* Views on which the candidate that is being placed is approved. */
    struct worker_view **approved;
    size_t approved_count;
    struct placement_option *options; /* scratch space for all views */
    struct str *services;             /* of the workers, without duplicates */
    uint32_t service_count;
    struct headroom *headroom; /* by service */
    struct candidate *candidates;
    size_t candidate_count;
    size_t candidate_cap;
    int64_t *path_ms; /* scratch space for the critical paths of one job */
    size_t path_cap;
    size_t reservations; /* gangs that have reserved workers */
    bool kept_for_gangs; /* workers, a part of a team's limit, or headroom */
    bool releases_collected;
    size_t best_effort_workers; /* with best-effort tasks at the start */
    bool best_effort_collected;
    struct best_effort_task *best_effort_tasks; /* assigned ones */
    size_t best_effort_task_count;
    size_t best_effort_task_cap;
    struct team_plan *teams;
    size_t team_count;
    size_t team_cap;
    struct team_release *team_releases; /* of all assigned tasks */
    size_t team_release_count;
    size_t team_release_cap;
};

/* Defined in plan.c. */

/* Has another round made at that time, even if nothing else has changed. */
void
round_reconsider_at(struct plan_round *r, int64_t at_ns);

/* Defined in candidates.c. */

/* Fills the views and the sorted list of candidates. */
void
round_collect_candidates(struct plan_round *r);

/* Returns the index of a service in the round, or SERVICE_NONE. */
uint32_t
round_find_service(const struct plan_round *r, struct str service);

/* Compares two candidates by the order in which they are tried. */
int
candidate_compare(const void *a, const void *b);

/* Returns when what is kept for gangs holds the candidate up no more if the
 * load is low by then; INT64_MAX: never. */
int64_t
presses_at_ns(const struct candidate *c);

/* Fills the expected releases of all views and teams, once per round. Only
 * reservations need them, so that most rounds save the walk over all tasks. */
void
round_collect_releases(struct plan_round *r);

/* Defined in plan.c. */

/* Frees what the round holds. */
void
round_destroy(struct plan_round *r);

/* Defined in fit.c. */

/* Reports whether size is available in each resource. */
bool
size_fits(struct flow_size size, struct flow_size available);
struct flow_size
size_add(struct flow_size a, struct flow_size b);

/* Returns the larger one of each resource. */
struct flow_size
size_max(struct flow_size a, struct flow_size b);

/* Returns a - b for each resource, at least 0. */
struct flow_size
size_subtract(struct flow_size a, struct flow_size b);

/* Returns how much of a worker's capacity a task of the step uses. */
struct flow_size
step_demand(const struct flow_step *step);

/* Returns the views that the candidate may be placed on, given a valid ticket
 * and free capacity: the approved ones, or all if it needs no approval. */
struct worker_view **
candidate_views(const struct plan_round *r, const struct candidate *c,
                size_t *count);

/* Returns how many tasks of that size fit, UINT32_MAX for an empty size. */
uint64_t
size_count_fitting(struct flow_size available, struct flow_size size);

/* Returns the capacity that is not committed. */
struct flow_size
view_available(const struct worker_view *v);

/* Returns how many tasks of the candidate's step fit into one worker's
 * available capacity, at most the step's limit for each worker. */
uint64_t
count_fitting_tasks(const struct candidate *c, struct flow_size available);

/* Returns when a task of the candidate that starts now on the worker is
 * expected to end. */
int64_t
expected_end_ns(const struct plan_round *r, const struct candidate *c,
                const struct worker_view *v);

/* Returns how many tasks of the step are assigned to the worker. */
uint32_t
count_assigned_to(const struct flow_step *step, uint32_t worker);

/* Reports whether the worker may run a task of the step once it has enough
 * free capacity, an approval, and no tasks of a kind that keeps it off. */
bool
view_is_suitable(const struct worker_view *v, const struct candidate *c);

/* Reports whether the worker may run a task of the step, given enough free
 * capacity and an approval. */
bool
view_can_run(const struct worker_view *v, const struct candidate *c);

/* Reports whether the worker takes tasks at all now: it is usable, fast enough
 * and neither draining, evacuated nor avoided. */
bool
view_is_runnable(const struct plan_round *r, const struct worker_view *v);

/* Returns the part of its capacity that is withheld from a worker that is
 * warming up. */
struct flow_size
view_withheld(const struct plan_round *r, const struct worker_view *v);

/* Reports whether the worker's reservation, if any, admits a task that ends at
 * ends_ns: it ends before the reservation begins, fits beside it, or is more
 * urgent than the gang. */
bool
view_reservation_allows(const struct worker_view *v, struct flow_size size,
                        uint32_t priority, int64_t ends_ns);

/* Sets the verdict of each view to the candidate's and collects the approved
 * views, or resets the verdicts to NULL if set is false. */
void
set_view_verdicts(struct plan_round *r, const struct candidate *c, bool set);

/* Reports whether v, which may be NULL, holds a ticket that lasts long enough
 * to start a task now. */
bool
is_ticket_valid(const struct flow_verdict *v, int64_t now_ns);

/* Defined in reserve.c. */

/* Reserves workers for a gang that does not fit now. Returns when it is
 * expected to fit, or INT64_MAX if nothing was reserved. */
int64_t
reserve_gang(struct plan_round *r, const struct candidate *c);

/* Returns when the gang's reservation begins if the gang is expected to fit at
 * fit_ns, and keeps the time at which it ends. */
int64_t
reservation_start_ns(struct plan_round *r, struct flow_step *step,
                     int64_t fit_ns);

/* Has the step reserve anew when it next waits, after its gang was placed. */
void
forget_reservation(struct flow_step *step);

/* Defined in team_limit.c. */

/* Returns the round's data on the team. The pointer is valid until another
 * team is looked up. */
struct team_plan *
team_plan_find(struct plan_round *r, const struct flow_team *team);

/* Reports whether the limit of its team admits another task of the candidate
 * now. */
bool
team_limit_allows(struct plan_round *r, const struct candidate *c);

/* Reserves the size of a gang that the limit of its team keeps out. */
void
reserve_team_limit(struct plan_round *r, const struct candidate *c);

/* Defined in displace.c. */

/* Counts the workers with best-effort tasks and marks the views of those that
 * are being cleared. */
void
round_find_best_effort(struct plan_round *r);

/* Reports whether the candidate could take the place of best-effort tasks. */
bool
may_displace(const struct plan_round *r, const struct candidate *c);

/* Clears workers for the candidate, of which that many tasks found none. */
void
displace_best_effort(struct plan_round *r, const struct candidate *c,
                     uint32_t missing);

/* Defined in plan_wait.c. */

/* Reports whether a step that waits for capacity or approval is to be
 * reported. */
bool
is_wait_report_due(const struct plan_round *r, const struct candidate *c);

/* Returns why the step waits, with tasks that were not placed, or its last
 * reported reason if no report is due. To be called before the step reserves
 * workers for itself. */
enum plan_wait_reason
find_wait_reason(struct plan_round *r, const struct candidate *c,
                 bool team_limited, uint32_t missing);

/* Adds a report on the step to the plan if its reason to wait is new or was
 * reported some time ago. */
void
report_waiting(struct plan_round *r, const struct candidate *c,
               enum plan_wait_reason reason, uint32_t missing, int64_t fit_ns);

/* Defined in approval_share.c. */

/* Sorts the plan's approval requests so that queues get equal shares of the
 * service's time, and ends the count of requests by queue. */
void
sort_approval_requests(struct plan *plan, int64_t now);

/* Defined in approval_request.c. */

/* Reports whether the step may request approval now: the round may make more
 * requests of its queue, and the step has none open. */
bool
request_is_possible(const struct plan_round *r, const struct candidate *c);

/* Plans approval requests for a step with unplaced tasks. missing is their
 * number; fit_ns is the start of the gang's reservation, or INT64_MAX. */
void
request_approval(struct plan_round *r, const struct candidate *c,
                 uint32_t missing, int64_t fit_ns);

#endif
