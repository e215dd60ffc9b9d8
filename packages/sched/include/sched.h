#ifndef GV_SCHED_H
#define GV_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * The scheduler decides which task runs on which worker. It takes an event and
 * the current time, and returns actions. It does no I/O, has no global state
 * and is deterministic: equal event sequences give equal actions. A scheduler
 * must be used by one thread at a time. All times are in ns.
 *
 * Most events only change state and return direct consequences, such as stops
 * and outcomes. Placements are decided on SCHED_EVENT_TICK, so that all events
 * of one wake-up are considered together. The caller must send a tick at the
 * end of a wake-up whenever sched_next_deadline() is not after now.
 *
 * A lease is the right of a task to use capacity of a worker. It goes through
 * these steps:
 *
 * - The scheduler returns PLACE, and the caller commits the placement.
 * - The caller reports PLACEMENT_COMMITTED, or PLACEMENT_FAILED.
 * - The scheduler returns START. Only then may the caller tell the worker.
 * - The caller reports TASK_RUNNING, then TASK_ENDED or WORKER_EXPIRED.
 * - The scheduler returns TASK, and the caller commits the task's new state.
 *
 * If a placement is cancelled before it is committed, there is no START, and
 * TASK follows PLACEMENT_COMMITTED or PLACEMENT_FAILED. A lease counts against
 * the capacity of its worker and the limits of its team from PLACE to TASK.
 *
 * After a leader change, a new scheduler must receive these events before its
 * first tick, in this order: all teams; all jobs; one RESTORE for each task
 * that is not simply waiting; JOB_CANCEL for each job that is being cancelled.
 * Workers follow as they sync. A restored placement may have started already
 * and gets no START.
 */
struct sched;

/* Value of a limit that is not set. */
#define SCHED_UNLIMITED UINT64_MAX

enum sched_class {
    SCHED_CLASS_SERVICE,
    SCHED_CLASS_BATCH,
    SCHED_CLASS_GANG,
};

/* Resources requested by a task or provided by a worker. */
struct sched_size {
    uint64_t cpu_milli; /* thousandths of a core */
    uint64_t memory_mib;
    uint64_t accelerators;
};

/*
 * Weights of the goals that placement trades off, 0 or more. Only their ratios
 * matter.
 */
struct sched_weights {
    double waiting; /* place the work that has waited longest */
    double packing; /* leave small, evenly shaped remainders free */
    double control; /* spend little computation on a decision */
    double share;   /* keep accounts at their share of the fleet */
};

/*
 * Configuration; sched_config_default() fills it in. An account is the unit of
 * fair sharing: the work of one team, either its own or from the open queue.
 */
struct sched_config {
    uint64_t next_lease; /* first lease number to use, at least 1 */
    struct sched_weights weights;
    uint32_t decisions_per_tick; /* limit of placements decided in one tick */
    double open_queue_weight;    /* share weight of a team's open-queue work */
    int64_t checkpoint_grace_ns; /* from checkpoint to forced stop */
    int64_t preempt_grace_ns;    /* the same, if stopped for urgent work */
    int64_t claim_timeout_ns;    /* wait for preempted capacity, then retry */
    int64_t retry_min_ns;        /* first back-off, doubled at each failure */
    int64_t retry_max_ns;        /* longest back-off */
    uint32_t max_failures;       /* of a task, then its job fails */
    uint32_t max_losses;       /* workers lost by a task, then its job fails */
    int64_t failure_reset_ns;  /* run time that resets a task's failures */
    int64_t start_grace_ns;    /* after creation, while workers still sync */
    int64_t unschedulable_ns;  /* without a fitting worker until reported */
    int64_t reserve_after_ns;  /* wait after which a big task may reserve */
    int64_t gang_retry_ns;     /* between attempts of unreserved gangs */
    int64_t quarantine_ns;     /* first quarantine, doubled at each relapse */
    int64_t quarantine_max_ns; /* longest quarantine */
    double quarantine_max_fraction; /* largest fraction of workers in
                                       quarantine */
    /* Fault score at which a quarantine begins: the weighted number of recent
     * failures that the jobs do not explain. */
    double quarantine_min_score;
    /* Least number of different (team, job name) pairs among them. */
    uint32_t quarantine_min_jobs;
    size_t max_profiles; /* learned (team, job name) pairs kept */
    /* An account that exceeds its share by more than this fraction of it may
     * lose work to accounts below theirs. */
    double reclaim_min_excess;
    /* Maximum run time lost by that, as a fraction of all run time; 0: no work
     * is reclaimed. */
    double reclaim_max_fraction;
};

enum sched_event_kind {
    SCHED_EVENT_TEAM,
    SCHED_EVENT_WORKER_UP,
    SCHED_EVENT_WORKER_DRAINING,
    SCHED_EVENT_WORKER_EXPIRED,
    SCHED_EVENT_JOB,
    SCHED_EVENT_JOB_CANCEL,
    SCHED_EVENT_RESTORE,
    SCHED_EVENT_PLACEMENT_COMMITTED,
    SCHED_EVENT_PLACEMENT_FAILED,
    SCHED_EVENT_TASK_RUNNING,
    SCHED_EVENT_TASK_ENDED,
    SCHED_EVENT_USAGE,
    SCHED_EVENT_TICK,
};

/* Limits of what a team may have under lease at any time. */
struct sched_limits {
    uint64_t tasks;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
};

/*
 * Creates or changes a team. A team that was removed from the configuration
 * must get limits of 0. Jobs of a team without this event wait.
 */
struct sched_team_event {
    uint32_t team;
    double weight; /* share weight, above 0 */
    struct sched_limits limits;
};

/*
 * A worker session began or changed. The incarnation identifies the session.
 * An event is ignored if the worker is up with the same incarnation and
 * capacity; any other event sets all fields and ends draining. Leases placed
 * on an earlier incarnation count until its WORKER_EXPIRED.
 */
struct sched_worker_event {
    uint32_t worker;
    uint64_t incarnation; /* not 0 */
    struct sched_size capacity;
    struct str rack;
    struct str failure_domain;
};

/*
 * A worker began to drain, or stopped draining. On a draining worker nothing
 * new starts, idempotent tasks are checkpointed, and other tasks finish.
 */
struct sched_draining_event {
    uint32_t worker;
    bool draining;
};

/*
 * The given session of a worker has certainly ended, and with it all leases
 * placed on it. Leases restored with incarnation 0 have ended too, unless
 * another session of the worker is up.
 */
struct sched_expired_event {
    uint32_t worker;
    uint64_t incarnation;
};

/* A new job. The scheduler copies name. */
struct sched_job_event {
    uint64_t job;
    uint32_t team;
    struct str name; /* statistics are kept per team and name */
    enum sched_class class;
    uint32_t tasks;         /* at least 1 */
    struct sched_size size; /* of one task */
    bool urgent;
    bool idempotent;
    bool open_queue;
    int64_t run_time_ns; /* declared, of one task; 0: unknown */
};

enum sched_task_state {
    SCHED_TASK_WAITING,
    SCHED_TASK_PLACED,
    SCHED_TASK_DONE,
    SCHED_TASK_FAILED,
    SCHED_TASK_CANCELLED,
    SCHED_TASK_UNKNOWN,
};

/*
 * The replicated state of a task after a leader change. A WAITING task is
 * restored only if it was placed before: each RESTORE means that some task of
 * the job may have started.
 */
struct sched_restore_event {
    uint64_t job;
    uint32_t task;
    enum sched_task_state state;
    uint32_t worker;        /* if PLACED */
    uint64_t incarnation;   /* if PLACED: of the worker; 0: its current one */
    uint64_t lease;         /* if PLACED */
    struct sched_size size; /* if PLACED: as in the PLACE action */
    uint32_t failures;      /* from the last TASK action */
    uint32_t losses;        /* from the last TASK action */
};

/* How a task ended. */
enum sched_end {
    SCHED_END_DONE,
    SCHED_END_FAILED,
    SCHED_END_STOPPED,
    SCHED_END_CHECKPOINTED,
    SCHED_END_NEVER_STARTED, /* the worker certainly did not start it */
    SCHED_END_LOST,          /* not running, but may have run: the worker no
                                longer knows the lease */
};

struct sched_ended_event {
    uint64_t lease;
    enum sched_end end;
};

/*
 * Resource use of a lease. Current values may be out of date; cumulative ones
 * never decrease.
 */
struct sched_usage_event {
    uint64_t lease;
    uint64_t cpu_milli;      /* current */
    uint64_t memory_mib;     /* current */
    uint64_t cpu_ms;         /* cumulative */
    uint64_t memory_mib_s;   /* cumulative */
    uint64_t accelerator_ms; /* cumulative */
};

struct sched_event {
    enum sched_event_kind kind;
    union {
        struct sched_team_event team;
        struct sched_worker_event worker;
        struct sched_draining_event draining;
        struct sched_expired_event expired;
        struct sched_job_event job;
        uint64_t cancel_job;
        struct sched_restore_event restore;
        uint64_t lease; /* PLACEMENT_COMMITTED or _FAILED, TASK_RUNNING */
        struct sched_ended_event ended;
        struct sched_usage_event usage;
    } u;
};

enum sched_action_kind {
    SCHED_ACTION_PLACE,       /* commit this placement */
    SCHED_ACTION_START,       /* tell the worker about a committed placement */
    SCHED_ACTION_STOP,        /* tell the worker to stop the lease */
    SCHED_ACTION_CHECKPOINT,  /* tell the worker to checkpoint, then end it */
    SCHED_ACTION_THROTTLE,    /* tell the worker to limit it to its size */
    SCHED_ACTION_TASK,        /* a lease ended: commit the task's new state */
    SCHED_ACTION_JOB_OUTCOME, /* commit the job's outcome */
    SCHED_ACTION_QUARANTINED, /* nothing new is placed on the worker */
    SCHED_ACTION_RELEASED,    /* the worker's quarantine has ended */
};

enum sched_outcome {
    SCHED_OUTCOME_DONE,
    SCHED_OUTCOME_FAILED,
    SCHED_OUTCOME_CANCELLED,
    SCHED_OUTCOME_UNKNOWN,
    SCHED_OUTCOME_UNSCHEDULABLE, /* not final: cannot be placed for now */
    SCHED_OUTCOME_SCHEDULABLE,   /* not final: can be placed again */
};

/* Why a job failed or cannot be placed. */
enum sched_reason {
    SCHED_REASON_NONE,
    SCHED_REASON_NO_WORKER,      /* no worker could hold one task */
    SCHED_REASON_TOO_MANY_TASKS, /* the fleet could not hold the whole gang, or
                              the number of tasks is not allowed */
    SCHED_REASON_TEAM_LIMIT,     /* the job needs more than its team's limit */
    SCHED_REASON_FAILURES,       /* a task failed max_failures times, or once
                                    if it is not idempotent */
    SCHED_REASON_LOSSES,         /* a task lost max_losses workers */
    SCHED_REASON_MAY_HAVE_RUN, /* unknown whether a non-idempotent task ran */
};

struct sched_place_action {
    uint64_t job;
    uint32_t task;
    uint32_t worker;
    uint64_t lease;
    struct sched_size size; /* granted; the worker limits the task to it */
};

/* The new state of a task whose lease has ended and no longer counts. */
struct sched_task_action {
    uint64_t job;
    uint32_t task;
    uint64_t lease;
    uint32_t worker;
    enum sched_task_state state; /* never PLACED */
    uint32_t failures;
    uint32_t losses;
};

struct sched_outcome_action {
    uint64_t job;
    enum sched_outcome outcome;
    enum sched_reason reason;
    bool may_have_run; /* any task of the job may have started */
};

struct sched_action {
    enum sched_action_kind kind;
    union {
        struct sched_place_action place;
        uint64_t lease; /* START, STOP, CHECKPOINT, THROTTLE */
        struct sched_task_action task;
        struct sched_outcome_action outcome;
        uint32_t worker; /* QUARANTINED, RELEASED */
    } u;
};

/*
 * A list of actions, owned by the caller. A zero-initialised list is empty;
 * sched_actions_free() releases its memory.
 */
struct sched_actions {
    struct sched_action *items;
    size_t count;
    size_t cap;
};

/* Sets all fields of config to their defaults. */
void
sched_config_default(struct sched_config *config);

/*
 * Creates a scheduler at the time now. Copies config. The caller must release
 * the scheduler with sched_destroy().
 */
struct sched *
sched_create(const struct sched_config *config, int64_t now);

/* Frees a scheduler; does nothing if s is NULL. */
void
sched_destroy(struct sched *s);

/*
 * Applies one event at the time now and appends the resulting actions. Events
 * for unknown leases, jobs or workers and repeated events are ignored. A value
 * of now before that of an earlier call is replaced by the earlier one.
 */
void
sched_step(struct sched *s, int64_t now, const struct sched_event *event,
           struct sched_actions *actions);

/*
 * Returns the time at which the next tick is due, DEADLINE_NONE if no tick is
 * due. The time is not after now while placements remain to be decided.
 */
int64_t
sched_next_deadline(const struct sched *s);

/* Empties a list and keeps its memory for reuse. */
void
sched_actions_clear(struct sched_actions *actions);

/* Frees the memory of a list and leaves it empty. */
void
sched_actions_free(struct sched_actions *actions);

/*
 * Returns whether everything that the team has under lease is within its
 * limits. A lowered limit has taken effect once this is true. Returns true for
 * an unknown team.
 */
bool
sched_team_is_within_limit(const struct sched *s, uint32_t team);

/* What a team has under lease, including starting and stopping tasks. */
struct sched_team_status {
    uint64_t tasks;
    struct sched_size used;
    double share;       /* dominant share of the fleet, from 0 to 1 */
    double entitlement; /* weight relative to all teams with work */
};

/* Fills in out. Returns false for an unknown team, without changing out. */
bool
sched_team_status(const struct sched *s, uint32_t team,
                  struct sched_team_status *out);

/* Counters since creation, and current numbers of objects. */
struct sched_stats {
    uint64_t decisions;   /* placements decided */
    uint64_t attempts;    /* searches for a worker, successful or not */
    uint64_t preemptions; /* leases stopped for other work */
    uint64_t reclaims;    /* preemptions for an account below its share */
    double reclaimed_s; /* run time lost by reclaims, in s of a whole worker */
    uint64_t backfills; /* placements on capacity held for a reservation */
    uint64_t reservations; /* started */
    size_t jobs;           /* current, as are the following */
    size_t waiting_tasks;
    size_t leases;
    size_t workers_up;
    size_t quarantined; /* workers in quarantine */
};

/* Fills in out. */
void
sched_stats(const struct sched *s, struct sched_stats *out);

/*
 * Returns a description of a reason, as shown to users and in the API. It is a
 * static string, empty for SCHED_REASON_NONE.
 */
const char *
sched_reason_text(enum sched_reason reason);

#endif
