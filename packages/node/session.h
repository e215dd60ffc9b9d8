#ifndef GV_NODE_SESSION_H
#define GV_NODE_SESSION_H

#include "leader.h"

/*
 * The leader's sessions with workers. A worker is told to start runs that
 * are committed; one call at a time waits for ends and renews its lease.
 * Ends are committed before the worker may forget them.
 *
 * A run whose start was not answered, or that a predecessor started, is
 * looked for in the worker's list. If it is not there it is stopped, after
 * which the worker never starts it; a list that is asked for after that
 * decides.
 */

enum {
    CALL_TIMEOUT_MS = 900, /* for a worker's answer beyond its wait */
    /* Between calls to a worker that does not answer, doubled each time. */
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 800,
    /* After a refusal for its health or room, others are tried for so long. */
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
    int64_t phase_since;   /* in this phase */
    bool end_proposed;     /* its end is being committed */
    int64_t started_at;    /* 0 until the worker has confirmed it */
    uint32_t percent;      /* of its work, as listed last */
    int64_t progressed_at; /* when percent last changed */
    char ticket[PLAN_TICKET_BYTES];
};

struct session {
    struct plan_worker plan; /* first: flow_worker.session points here */
    uint32_t number;
    struct map *runs;
    bool clock_known;
    int64_t
        clock_read_at; /* our time when the worker's clock showed clock_ms */
    int64_t clock_ms;
    int64_t lease_expires_at; /* our time when its lease has surely ended */
    int64_t answered_at;      /* last answer of its own */
    int64_t poll_due;
    int64_t retry_ms;
    uint32_t open_calls;
    uint64_t announcement_sequence;
    uint64_t proposed_end_number; /* ends up to this are being committed */
    uint32_t failures;            /* in a row */
    uint64_t failed_job;
    bool polling;
    bool poll_failing; /* the last call for ends was not answered */
    bool contacted;
    bool deregistered;
    bool loss_proposed;        /* its loss is being committed */
    bool step_queued;          /* a run or a call changed: step it at once */
    uint32_t polls_unanswered; /* calls for ends, see relay_choose */
    int64_t failed_at;
    struct leader *leader;
    struct session *next_queued;
};

/* Steps the session at the next wake-up. */
void
session_queue_step(struct session *s);

/* Names a task in a session's runs. */
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

/* Commits that the worker never ran it and never will. */
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
                   worker_answered *answered);

/* Sends it through another VM if one can be asked. Frees the call when it
 * could not be sent, and returns false. */
bool
worker_call_send(struct leader *l, const struct session *s,
                 const struct flow_worker *w, struct out_call *call,
                 int64_t deadline);

/* The worker has answered: its clock and its silence begin anew. */
void
session_answered(struct leader *l, struct session *s,
                 const struct node_result *result);

/* Places nothing there for that time. */
void
session_avoid(struct leader *l, struct session *s, int64_t ms);

void
run_send_start(struct leader *l, struct session *s,
               const struct flow_worker *w, struct run *r);

void
run_send_stop(struct leader *l, struct session *s, const struct flow_worker *w,
              struct run *r);

/* Asks for ends and renews the lease. */
void
session_poll(struct leader *l, struct session *s, const struct flow_worker *w);

#endif
