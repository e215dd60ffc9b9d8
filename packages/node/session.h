#ifndef GV_NODE_SESSION_H
#define GV_NODE_SESSION_H

#include "leader.h"

/*
 * The leader's sessions with workers. A worker is told to start runs that
 * are committed; one call at a time waits for ends and renews its lease.
 * Ends are committed before the worker may forget them.
 *
 * A run whose start was not answered, or that a predecessor started, is
 * looked up in the worker's list. A run that is not listed is stopped, after
 * which the worker never starts it; a list requested after the stop then shows
 * whether it ever ran.
 */

enum {
    CALL_TIMEOUT_MS = 900, /* for a worker's answer beyond its wait */
    /* Retry delay for a worker that does not answer, doubled each time. */
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 800,
    /* How long a worker gets no tasks after it refused one for its health or
     * lack of capacity. */
    AVOID_MS = 1500,
};

enum run_phase {
    RUN_UNKNOWN, /* a predecessor may have started it */
    RUN_QUEUED,  /* its start waits to be sent */
    RUN_SENT,
    RUN_UNCERTAIN, /* no clear answer to its start */
    RUN_ACTIVE,
    RUN_STOP_QUEUED,
    RUN_STOP_SENT,
    RUN_STOPPED, /* the worker has acknowledged the stop */
};

struct run {
    struct node_task task;
    enum run_phase phase;
    int64_t phase_since;    /* in this phase */
    bool end_proposed;      /* its end is being committed */
    int64_t run_started_ns; /* 0 until the worker has confirmed it */
    uint32_t percent;       /* of its work, as listed last */
    int64_t progressed_at;  /* when percent last changed */
    char ticket[PLAN_TICKET_BYTES];
};

struct session {
    struct plan_worker plan; /* first: flow_worker.session points here */
    uint32_t number;
    struct map *runs;
    bool clock_known;
    int64_t clock_read_at; /* local time at which clock_ms was read */
    int64_t clock_ms;
    int64_t lease_expires_at; /* local time by which its lease has ended */
    int64_t answered_at;      /* last answer of its own */
    int64_t poll_due;
    int64_t retry_ms;
    uint32_t open_calls;
    uint64_t announcement_sequence;
    uint64_t proposed_end_number; /* last end number proposed */
    uint32_t failures;            /* in a row */
    uint64_t failed_job;
    bool polling;
    bool poll_failing; /* the last call for ends was not answered */
    bool contacted;
    bool deregistered;
    bool loss_proposed;        /* its loss is being committed */
    bool step_queued;          /* is in the leader's step_queue */
    uint32_t polls_unanswered; /* see relay_choose() */
    int64_t failed_at;
    struct leader *leader;
    struct session *next_queued;
};

/* Queues the session to be stepped in the next loop iteration. */
void
session_queue_step(struct session *s);

/* Returns the key of a task in session.runs. */
uint64_t
run_key(const struct node_task *t);

/* Adds a run, or replaces the task's earlier one. */
struct run *
run_add(struct session *s, const struct node_task *task, enum run_phase phase,
        int64_t now);

/*
 * The end of a lease granted now, on the worker's clock; 0 while its clock is
 * not known. Notes when that lease has surely ended. A worker that does not
 * answer is granted nothing, or its lease would never end.
 */
int64_t
session_extend_lease(struct leader *l, struct session *s);

void
run_set_phase(struct leader *l, struct run *r, enum run_phase phase);

/* Commits once that the session's worker is gone; nothing is placed on it any
 * more. */
void
session_propose_lost(struct leader *l, struct session *s, const char *reason);

/* The task, while that run of it is recorded as assigned to the worker; NULL
 * otherwise. Sets *step with it. */
struct flow_task *
run_assigned(const struct leader *l, uint32_t worker,
             const struct node_task *task, struct flow_step **step);

/* Queues a command that records that the run never ran and never will. */
void
run_propose_never_ran(struct leader *l, struct session *s, struct run *r);

struct session *
session_find(struct leader *l, uint32_t number);

/* NULL when that run is not expected on the worker. */
struct run *
run_find(struct session *s, const struct node_task *task);

/* The session that an answered call belongs to, unless the leader has
 * changed. */
struct session *
call_session(struct node *n, const struct out_call *call,
             enum upstream_failure failure);

struct out_call *
worker_call_create(struct leader *l, struct session *s,
                   const struct flow_worker *w, enum node_call_kind kind,
                   worker_result_fn *answered);

/* Sends it through another VM if one can be asked. Frees the call when it
 * could not be sent, and returns false. */
bool
worker_call_send(struct leader *l, const struct session *s,
                 const struct flow_worker *w, struct out_call *call,
                 int64_t deadline);

/* Records that the worker answered, and its clock. */
void
session_answered(struct leader *l, struct session *s,
                 const struct node_result *result);

/* Places no tasks on the worker for the given time. */
void
session_avoid(struct leader *l, struct session *s, int64_t ms);

void
run_send_start(struct leader *l, struct session *s,
               const struct flow_worker *w, struct run *r);

void
run_send_stop(struct leader *l, struct session *s, const struct flow_worker *w,
              struct run *r);

/* Polls the worker for ended runs and renews its lease. */
void
session_poll(struct leader *l, struct session *s, const struct flow_worker *w);

#endif
