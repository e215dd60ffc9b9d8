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
    /* Workers of the one approval request that the objective of a job allows
     * for in each step. */
    PLAN_OBJECTIVE_WORKERS = 30,
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
    /* While it warms up after an evacuation of its domain, the usable part of
     * its capacity grows evenly between these times; 0: it is warm. */
    int64_t warming_since_ns;
    int64_t warm_at_ns;
    /* Until then no best-effort task may run on it, because it is needed for
     * tasks with a tail-latency target. */
    int64_t cleared_until_ns;
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

/* What a step needs an approval request for, the most urgent first. */
enum plan_request_purpose {
    PLAN_REQUEST_TICKETS, /* a gang that fits holds too few valid tickets */
    PLAN_REQUEST_WORKERS, /* too few workers are known to be approved */
    /* A gang whose approved workers have no room yet looks for others. */
    PLAN_REQUEST_SOONER,
    PLAN_REQUEST_USELESS, /* the job is too late to be of use */
};

/* An approval request to send, and the workers that it names. */
struct plan_approval_request {
    enum plan_request_purpose purpose;
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t workers[PLAN_REQUEST_WORKERS_MAX];
    size_t count;
    /* Further sort keys: service time that the queue will have used lately
     * when the request is sent, and the position in which it was planned. */
    double used_ms;
    size_t order;
};

/* Why tasks of a step that is ready were not placed. */
enum plan_wait_reason {
    PLAN_WAIT_NONE, /* all tasks were placed */
    PLAN_WAIT_TEAM_LIMIT,
    PLAN_WAIT_VERDICT,  /* too few workers are known to be approved */
    PLAN_WAIT_RESPONSE, /* an approval request is open */
    PLAN_WAIT_TICKET,   /* approved workers have room, but no valid ticket */
    PLAN_WAIT_APPROVED_FULL, /* others have room, approved workers have none */
    PLAN_WAIT_RESERVED,      /* workers with room are reserved for a gang */
    PLAN_WAIT_CAPACITY,      /* no suitable worker has enough free capacity */
    PLAN_WAIT_REASON_COUNT
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
    uint32_t verdicts;            /* workers that the service answered for */
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
    /* In the order in which they are to be sent, as far as VMs can take them.
     * Queues alternate so that they get equal shares of the service's time,
     * and the requests of a queue are ordered by their purpose. */
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
    /* When a round may place more although nothing else has changed;
     * INT64_MAX: never. */
    int64_t reconsider_ns;
    uint32_t resume_class;
    int64_t resume_start_ns;
    uint64_t resume_order;
};

/* Upper bounds for one planning round. */
struct plan_limits {
    size_t starts; /* no step is tried once this many tasks are placed */
    size_t approval_requests; /* of each queue */
    size_t reservations;      /* gangs that workers are reserved for */
    /* No step is tried once this many worker views were looked at; 0: no
     * limit. Bounds the time of a round whatever the backlog. */
    size_t visits;
    uint32_t tasks_per_worker; /* at the same time; 0: no limit */
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

/* Returns when a slower worker will have that speed without new observations.
 */
int64_t
plan_speed_reached_ns(const struct plan_worker *p, double speed, int64_t now);

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

/* Returns whether the team's tasks use more than its limit, which may have
 * been lowered since they were placed. */
bool
plan_is_over_limit(const struct flow_team *team);

/* Frees the plan's arrays and zeroes it. */
void
plan_free(struct plan *plan);

/*
 * Records the approval service's answer for one worker of a step, and returns
 * whether it is the first one. Workers that a request named and that were not
 * approved must be recorded as well, so that they are not requested again. A
 * ticket longer than PLAN_TICKET_BYTES - 1 is dropped. The ticket is copied.
 */
bool
plan_record_verdict(struct flow_step *step, uint32_t worker, bool approved,
                    struct str ticket, int64_t valid_until_ns);

/* Returns the time in ms that the approval service is expected to spend on a
 * request of the queue that names so many workers. */
int64_t
plan_approval_ms(const struct flow_queue *q, size_t workers);

/* Updates the share of workers that the service approves for steps of the
 * queue from first answers, of which so many approved. */
void
plan_observe_approvals(struct flow_queue *q, size_t answers, size_t approved);

/* Returns that share, within bounds that keep requests useful. */
double
plan_approved_share(const struct flow_queue *q);

/* Charges the request, which was sent, to its queue's share of the service. */
void
plan_charge_request(const struct plan_approval_request *request, int64_t now);

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
