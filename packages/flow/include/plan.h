#ifndef GV_PLAN_H
#define GV_PLAN_H

#include "flow.h"

/*
 * Placement of workflow tasks on workers. The planner decides which tasks
 * start where, from the replicated state and the leader's knowledge of the
 * workers. It reads no clock and sends nothing: the caller passes the time and
 * carries out the plan. Times without a unit in their name are nanoseconds of
 * the caller's monotonic clock.
 */

enum {
    PLAN_TICKET_BYTES = 64, /* including the terminating NUL */
    PLAN_REQUEST_WORKERS_MAX =
        100, /* workers that one approval request may name */
};

/* The approval service's answer on whether a step may run on a worker. */
struct flow_verdict {
    uint32_t worker; /* its number */
    bool approved;
    int64_t valid_until_ns; /* expiry of the ticket; 0: there is none */
    /* Planner only: index of the worker's view in an earlier round; checked
     * before use. */
    size_t view_index;
    char ticket[PLAN_TICKET_BYTES];
};

/* What is known of the approval of workers for one step. */
struct flow_approval {
    int64_t
        pending_until_ns; /* deadline of the open requests; 0: none is open */
    uint32_t open_requests;  /* requests without a response */
    int64_t latest_valid_ns; /* no ticket is valid longer */
    size_t count;
    size_t cap;
    struct flow_verdict verdicts[];
};

/* What the leader knows of a worker beyond the replicated state. It is the
 * first member of what flow_worker.session points to. */
struct plan_worker {
    bool usable;            /* it answers, holds a lease and is not draining */
    int64_t avoid_until_ns; /* no tasks start before, after a recent failure */
    /* Average logarithm of measured over expected run time, as of
     * observed_ns; see plan_observe_run. */
    double slowness_log;
    int64_t observed_ns;
    size_t view_index; /* planner only: of the worker's view in this round */
};

/* A task to start on a worker. */
struct plan_start {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t index;
    uint32_t run;
    struct flow_worker *worker;
    char ticket[PLAN_TICKET_BYTES]; /* empty: the queue needs no approval */
};

/* An approval request to send, and the workers that it names. */
struct plan_approval_request {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t workers[PLAN_REQUEST_WORKERS_MAX];
    size_t count;
};

/* Why tasks of a step that is ready were not placed. */
enum plan_wait_reason {
    PLAN_WAIT_NONE, /* all tasks were placed */
    PLAN_WAIT_TEAM_LIMIT,
    PLAN_WAIT_APPROVAL, /* workers with free capacity lack a valid ticket */
    PLAN_WAIT_CAPACITY, /* no suitable worker has enough free capacity */
};

/*
 * Report on a candidate step, for the log. A step is reported when it begins
 * or ends to wait, when it waits for its team's limit from now on or no more,
 * and every 2 s while it waits. Steps of jobs that arrived less than 1 s ago
 * are not reported.
 */
struct plan_wait_report {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    enum plan_wait_reason reason;
    uint32_t missing; /* unplaced tasks that the team's limit admits */
    int64_t reservation_start_ns; /* of the gang; INT64_MAX: none */
    uint32_t approved;            /* workers that are known to be approved */
    int lateness; /* 0: in time, 1: late, 2: too late to be of use */
};

/*
 * The outcome of one planning round. Zero it before its first use and free it
 * with plan_free. Its pointers into the state become invalid when the state
 * changes.
 */
struct plan {
    struct plan_start *starts;
    size_t start_count;
    size_t start_cap;
    struct plan_approval_request *approval_requests;
    size_t approval_request_count;
    size_t approval_request_cap;
    struct plan_wait_report *waiting;
    size_t waiting_count;
    size_t waiting_cap;
    size_t yielded; /* steps that left room to gangs of more urgent queues */
    struct flow_size claimed; /* by gangs in time that found no room */
    struct flow_size free;    /* of the workers that take tasks */
    /* The round ended before it had tried all candidates. The next one tries
     * the first candidates again, and then goes on behind the last one tried,
     * whose sort keys these are. */
    bool incomplete;
    uint32_t resume_class;
    int64_t resume_start_ns;
    uint64_t resume_order;
};

/* Upper bounds for one planning round. */
struct plan_limits {
    size_t starts; /* no step is tried once this many tasks are placed */
    size_t approval_requests;
    size_t reservations; /* gangs that workers are reserved for */
    /* No step is tried once this many worker views were looked at; 0: no
     * limit. Bounds the time of a round whatever the backlog. */
    size_t visits;
};

/*
 * Updates the worker's speed and the error of the queue's estimates from the
 * time of one run, which has finished or is projected from its progress. Both
 * are averaged as logarithms, because ratios are distributed symmetrically
 * around their mean there. Times under 1 ms are ignored, and so is a worker
 * without a session.
 */
void
plan_observe_run(struct flow_worker *w, struct flow_queue *q, double run_ms,
                 double estimate_ms, int64_t now);

/*
 * Returns the worker's speed; 1 is nominal. Without new observations it decays
 * towards 1.
 */
double
plan_speed(const struct plan_worker *p, int64_t now);

/* Returns the expected time in ms of a task's run at that worker speed. */
double
plan_run_ms(const struct flow_job *j, const struct flow_step *step,
            double speed);

/* Returns the planner's data on a worker, or NULL if it has no session. */
struct plan_worker *
plan_worker(const struct flow_worker *w);

/*
 * Runs a planning round and writes the outcome to plan, whose earlier content
 * is discarded but for where an incomplete round ended. Of the state, only
 * leader-only fields change.
 */
void
plan_make(struct flow_state *s, int64_t now, const struct plan_limits *limits,
          struct plan *plan);

/* Frees the plan's arrays and zeroes it. */
void
plan_free(struct plan *plan);

/*
 * Records the approval service's answer for one worker of a step. Workers that
 * a request named and that were not approved must be recorded as well, so that
 * they are not requested again. A ticket longer than PLAN_TICKET_BYTES - 1 is
 * dropped. The ticket is copied.
 */
void
plan_record_verdict(struct flow_step *step, uint32_t worker, bool approved,
                    struct str ticket, int64_t valid_until_ns);

/*
 * Records that an approval request for the step was sent, and the latest time
 * by which it will be answered or have failed.
 */
void
plan_record_request(struct flow_step *step, int64_t until);

/* Records that one of the step's approval requests was answered or failed. */
void
plan_record_response(struct flow_step *step);

/* Invalidates the step's ticket for a worker, which has rejected it. */
void
plan_invalidate_ticket(struct flow_step *step, uint32_t worker);

#endif
