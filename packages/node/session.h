#ifndef GV_NODE_SESSION_H
#define GV_NODE_SESSION_H

#include "leader.h"

/*
 * The leader's sessions with workers. The leader sends a worker the starts
 * that are committed, and polls it: one poll at a time waits for ended runs
 * and renews the worker's lease. An end is committed before the next poll
 * acknowledges it, since the worker may then forget it.
 *
 * A run whose start was sent by a previous leader is looked up in the worker's
 * list of runs. A run that is not listed is stopped, after which the worker
 * never starts it. A list requested after the stop then shows whether the run
 * ever ran. A run whose start has timed out is looked up with a new token. If
 * it is not listed, its start has not been carried out and, as its token is
 * older, never will be: it is sent again, or the task starts elsewhere. A list
 * of ends may be cut: only the one that holds all ends that are not committed
 * yet shows which runs are missing.
 *
 * A worker may restart under its id. Its new process accepts calls that were
 * meant for the earlier one, also when they arrive late: it has seen no
 * fencing token, and its clock starts anew, so that their leases are valid.
 * The runs of the earlier process are therefore released only after a poll
 * with a higher token has been answered, which keeps late calls out, and after
 * those that the new process has are stopped. Then the worker is registered
 * anew.
 */

enum {
    CALL_TIMEOUT_MS = 900, /* not counting the wait of a poll */
    /* A worker answers a start at once. Urgent tasks run for less than a
     * second, so that a lost start must be noticed within a part of that. */
    START_TIMEOUT_MS = 300,
    /* Starts of one run that are sent before the run is given up and its task
     * started elsewhere. */
    STARTS_PER_RUN_MAX = 2,
    /* Delay before a worker that does not answer is polled again, doubled
     * after each failure. */
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 800,
    /* How long a worker gets no tasks after it refused one because it is
     * unhealthy or lacks capacity, or after a slow run on it was stopped. */
    AVOID_WORKER_MS = 1500,
};

enum run_phase {
    RUN_UNKNOWN, /* a previous leader may have sent its start */
    RUN_QUEUED,  /* its start is to be sent, or sent again */
    RUN_SENT,
    RUN_UNCERTAIN,   /* its start had no answer, or an unclear one */
    RUN_ACTIVE,      /* the worker has confirmed its start or listed it */
    RUN_STOP_QUEUED, /* its stop is to be sent */
    RUN_STOP_SENT,
    RUN_STOPPED, /* the worker has acknowledged the stop */
};

struct run {
    struct node_task task;
    enum run_phase phase;
    int64_t phase_since; /* when it entered this phase */
    bool end_proposed;   /* its end is being committed */
    /* Token of its last start; 0: none whose absence from a list shows that it
     * was not carried out. */
    uint64_t start_token;
    struct open_starts starts;
    /* When the start was confirmed or the run was first listed; 0: not yet. */
    int64_t run_started_ns;
    uint32_t percent;      /* share of its work done, as last listed */
    int64_t progressed_at; /* when percent last changed */
    char ticket[PLAN_TICKET_BYTES];
};

struct session {
    struct plan_worker plan; /* first: flow_worker.session points here */
    uint32_t number;
    struct map *runs; /* by task and run number */
    uint64_t token;   /* fencing token of calls to the worker's process */
    int64_t born_ms;  /* start of the process that is called */
    /* A later process than the registered one answers. The runs of the
     * registered one are being settled with it. */
    bool settling;
    struct buf announced; /* Flow__Worker of a later process, or empty */
    int64_t announced_born_ms;
    uint64_t announced_sequence;
    uint32_t stray_runs; /* not assigned here but not known to have ended */
    bool clock_known;
    int64_t clock_read_at;    /* local time at which clock_ms was read */
    int64_t clock_ms;         /* the worker's clock at clock_read_at */
    int64_t lease_expires_at; /* local time by which its lease has expired */
    int64_t answered_at;      /* last answer to a call */
    int64_t poll_due;
    int64_t retry_ms;    /* delay after the next failed poll */
    uint32_t open_calls; /* starts and stops */
    int64_t stop_due;    /* no stop is sent before, after a failed one */
    uint64_t announcement_sequence;
    uint64_t proposed_end_number;  /* of the last end proposed */
    uint32_t consecutive_failures; /* of runs of different jobs */
    uint64_t failed_job;           /* job of the last of them */
    bool adopting;         /* runs of a previous leader are to be added */
    bool polling;          /* a poll is open */
    bool poll_failing;     /* set by a failed poll until an answer */
    bool poll_answered;    /* a poll with the token was answered */
    bool lists_unreadable; /* the last answer had such entries */
    bool deregistered;
    /* When a process that has deregistered has exited. */
    int64_t exit_due_at;
    /* Its removal, or the registration of its next process, is being
     * committed. */
    bool removal_proposed;
    bool step_queued; /* is in the leader's step_queue */
    /* Failed polls, reset by an answer RELAY_KEPT_MS after the last failure.
     * Selects the path, see relay_choose(). */
    uint32_t polls_unanswered;
    int64_t poll_failed_at; /* last failed poll */
    /* No lease is renewed from then on, unless a run of the session is listed
     * or the lists can be read; 0: they could. */
    int64_t unreadable_until;
    int64_t cold_until; /* by its announcements it is slow until then */
    struct leader *leader;
    struct session *next_queued;
};

/* Polls the worker at once, with a new token, unless its answer to such a poll
 * is awaited. Open calls are abandoned. */
void
session_verify(struct leader *l, struct session *s);

/* Queues the session to be stepped in the next loop iteration. */
void
session_queue_step(struct session *s);

/* Returns the key of a run in session.runs. */
uint64_t
run_key(const struct node_task *t);

/* Adds a run, or resets the phase of a known one. */
struct run *
run_add(struct session *s, const struct node_task *task, enum run_phase phase,
        int64_t now);

/*
 * Returns the end, in ms of the worker's clock, of a lease granted now, and
 * records the local time by which it has expired. Returns 0 while the worker's
 * clock is unknown, or while polls fail: extending the lease of a worker that
 * does not answer would keep it from ever expiring.
 */
int64_t
session_extend_lease(struct leader *l, struct session *s);

void
run_remove(struct session *s, struct run *r);

void
run_set_phase(struct leader *l, struct run *r, enum run_phase phase);

/* Takes the next action for a run. May free it. */
void
run_step(struct leader *l, struct session *s, const struct flow_worker *w,
         struct run *r);

/* Returns whether the session has the run though it is not assigned to the
 * worker, as long as the worker may still execute it. */
bool
run_is_stray(const struct leader *l, const struct session *s,
             const struct run *r);

/* Prepares the session to settle the runs of the registered process with the
 * worker's process that started at born_ms. */
void
session_restart(struct leader *l, struct session *s, int64_t born_ms);

/* Returns whether the result is of a call to an earlier process, or of a call
 * from before its restart was noticed. It tells nothing about the current
 * process. */
bool
is_stale_result(const struct session *s, const struct out_call *call);

/* Queues a command that removes the session's worker and ends its runs, unless
 * one is being committed, or a start of one of them may still be sent. No more
 * tasks are placed on the worker once it is queued. */
void
session_propose_lost(struct leader *l, struct session *s, const char *reason);

/* Returns the task and sets *step to its step if the replicated state has that
 * run of it assigned to the worker; NULL otherwise. */
struct flow_task *
run_find_assigned_task(const struct leader *l, uint32_t worker,
                       const struct node_task *task, struct flow_step **step);

/* Queues a command that records that the run was not started and will not be.
 * Does nothing while a start of it may still be sent. */
void
run_propose_not_started(struct leader *l, struct session *s, struct run *r);

struct session *
session_find(struct leader *l, uint32_t number);

/* Returns NULL if the session does not have that run of the task. */
struct run *
run_find(struct session *s, const struct node_task *task);

/* Counts the call's result in the metrics, queues its session to be stepped,
 * and returns it; NULL if the session or the call's leader is gone. */
struct session *
worker_call_record_result(struct node *n, const struct out_call *call,
                          enum upstream_failure failure);

struct out_call *
worker_call_create(struct leader *l, struct session *s,
                   const struct flow_worker *w,
                   enum node_worker_call_kind kind,
                   worker_result_fn *answered);

/* Sends the call, through a relay if one is available. Returns false and frees
 * the call if it cannot be sent. */
bool
worker_call_send(struct leader *l, struct session *s,
                 const struct flow_worker *w, struct out_call *call,
                 int64_t deadline);

/* Records the time of a worker's answer and the clock in it. */
void
session_record_answer(struct leader *l, struct session *s,
                      const struct node_worker_result *result);

/* Excludes the worker from placement for at least the given time. */
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
