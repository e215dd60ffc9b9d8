#ifndef GV_SCHED_H
#define GV_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * The placement core: takes an event and the time, returns actions. It does
 * no I/O, has no global state and is deterministic: equal event sequences
 * give equal actions. One thread uses it.
 *
 * Events only change state and return direct consequences (stops, outcomes);
 * placement decisions are taken on SCHED_EVENT_TICK, so that all events of
 * one wake-up are weighed together. The caller sends a tick at the end of a
 * wake-up whenever sched_next_deadline() is not after now.
 *
 * Life of a lease: PLACE (the caller commits it) -> event PLACEMENT_COMMITTED
 * -> START (only now the worker may be told) -> TASK_RUNNING -> TASK_ENDED or
 * WORKER_EXPIRED -> TASK (the caller commits the task's new state). A
 * placement that is cancelled before it is committed gets no START, and the
 * TASK action follows its PLACEMENT_COMMITTED or PLACEMENT_FAILED event.
 * Capacity and team limits count a lease from PLACE until TASK.
 *
 * After a leader change a new scheduler receives, before its first tick, all
 * teams, jobs, then one RESTORE per task that is not simply waiting, then
 * JOB_CANCEL for jobs being cancelled; workers follow as they sync. Restored
 * placements may have started and get no START.
 */
struct sched;

/* No limit. */
#define SCHED_UNLIMITED UINT64_MAX

enum sched_class {
    SCHED_CLASS_SERVICE,
    SCHED_CLASS_BATCH,
    SCHED_CLASS_GANG,
};

struct sched_size {
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
};

/* Relative weights of the four measures, 0 or more; only ratios matter. */
struct sched_weights {
    double waiting;
    double packing;
    double control;
    double share;
};

/* Zero-initialise and fill with sched_config_default(). Times in ns. */
struct sched_config {
    uint64_t next_lease; /* the first lease number to hand out, at least 1 */
    struct sched_weights weights;
    uint32_t decisions_per_tick; /* bound on placements decided in one tick */
    double open_queue_weight;    /* share weight of a team's open-queue work */
    int64_t checkpoint_ns;       /* from checkpoint to forced stop */
    int64_t preempt_ns;          /* the same, for urgent work */
    int64_t claim_ns;     /* wait for preempted capacity, then look again */
    int64_t retry_min_ns; /* first back-off, doubled at each failure */
    int64_t retry_max_ns;
    uint32_t max_failures;  /* of a task, then its job fails */
    uint32_t max_losses;    /* workers lost under a task, then its job fails */
    int64_t stable_ns;      /* running this long resets a task's failures */
    int64_t start_grace_ns; /* after creation, workers are still syncing */
    int64_t unschedulable_ns;  /* without a fitting worker, then reported */
    int64_t reserve_after_ns;  /* waiting this long, a big task may reserve */
    int64_t gang_retry_ns;     /* between attempts of gangs without one */
    int64_t quarantine_ns;     /* first quarantine, doubled at each relapse */
    int64_t quarantine_max_ns; /* longest quarantine */
    double quarantine_cap;     /* largest fraction of workers in quarantine */
    double quarantine_score;   /* failures not explained by the jobs */
    uint32_t quarantine_jobs;  /* least number of different jobs failing */
    size_t max_profiles;       /* learned (team, job name) pairs kept */
    double reclaim_above; /* an account this much above its share yields work,
                             as a part of the share */
    double reclaim_part;  /* run time lost by that, as a part of all run time;
                             0: no work is reclaimed */
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

/* Upper limits of all that a team may have under lease. */
struct sched_limits {
    uint64_t tasks;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
};

/*
 * Creates or changes a team. A team that is removed from the lists gets
 * limits of 0. Jobs of a team not yet seen wait.
 */
struct sched_team_event {
    uint32_t team;
    double weight; /* share weight, above 0 */
    struct sched_limits limits;
};

/*
 * A worker session began or changed. The same incarnation again updates the
 * worker. A new one is not draining until told so. Leases of an earlier
 * incarnation count until its WORKER_EXPIRED.
 */
struct sched_worker_event {
    uint32_t worker;
    uint64_t incarnation; /* not 0 */
    struct sched_size capacity;
    struct str rack;
    struct str failure_domain;
};

/*
 * Draining: nothing new starts there, idempotent tasks are checkpointed, the
 * others finish. draining false takes it back.
 */
struct sched_draining_event {
    uint32_t worker;
    bool draining;
};

/*
 * The lease of that incarnation has certainly ended, and with it all leases
 * placed on it. If the worker has not been seen, all restored leases on it.
 */
struct sched_expired_event {
    uint32_t worker;
    uint64_t incarnation;
};

struct sched_job_event {
    uint64_t job;
    uint32_t team;
    struct str name; /* with the team, the key for learning */
    enum sched_class class;
    uint32_t tasks;         /* at least 1 */
    struct sched_size size; /* of one task */
    bool urgent;
    bool idempotent;
    bool open_queue;
    int64_t run_time_ns; /* declared; 0 if unknown */
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
 * A task as the replicated state shows it. A WAITING one is restored if it
 * was placed before; each RESTORE counts as a possible start of the job.
 */
struct sched_restore_event {
    uint64_t job;
    uint32_t task;
    enum sched_task_state state;
    uint32_t worker;        /* if PLACED */
    uint64_t incarnation;   /* if PLACED: of the worker; 0: the current one */
    uint64_t lease;         /* if PLACED */
    struct sched_size size; /* if PLACED: as in the PLACE action */
    uint32_t failures;      /* from the last TASK action */
    uint32_t losses;        /* from the last TASK action */
};

enum sched_end {
    SCHED_END_DONE,
    SCHED_END_FAILED,
    SCHED_END_STOPPED,
    SCHED_END_CHECKPOINTED,
    SCHED_END_NEVER_STARTED, /* certainly: the worker never began it */
    SCHED_END_LOST, /* not running, but may have run: the worker does not
                       know the lease any more */
};

struct sched_ended_event {
    uint64_t lease;
    enum sched_end end;
};

/* The current figures may be late; the cumulative ones never decrease. */
struct sched_usage_event {
    uint64_t lease;
    uint64_t cpu_milli;  /* current */
    uint64_t memory_mib; /* current */
    uint64_t cpu_ms;     /* cumulative, as are the next two */
    uint64_t memory_mib_s;
    uint64_t accelerator_ms;
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
    SCHED_ACTION_START,       /* tell the worker of this committed placement */
    SCHED_ACTION_STOP,        /* tell the worker to stop the lease */
    SCHED_ACTION_CHECKPOINT,  /* tell the worker to checkpoint and end it */
    SCHED_ACTION_THROTTLE,    /* tell the worker to hold it to its size */
    SCHED_ACTION_TASK,        /* a lease ended: commit the task's new state */
    SCHED_ACTION_JOB_OUTCOME, /* commit the job's outcome */
    SCHED_ACTION_QUARANTINED,
    SCHED_ACTION_RELEASED,
};

enum sched_outcome {
    SCHED_OUTCOME_DONE,
    SCHED_OUTCOME_FAILED,
    SCHED_OUTCOME_CANCELLED,
    SCHED_OUTCOME_UNKNOWN,
    SCHED_OUTCOME_UNSCHEDULABLE, /* not terminal */
    SCHED_OUTCOME_SCHEDULABLE,   /* again; not terminal */
};

enum sched_reason {
    SCHED_REASON_NONE,
    SCHED_REASON_NO_WORKER,    /* no worker could hold one task */
    SCHED_REASON_TOO_MANY,     /* the fleet could not hold the whole gang */
    SCHED_REASON_TEAM_LIMIT,   /* more than the team's limit allows */
    SCHED_REASON_FAILURES,     /* a task failed max_failures times */
    SCHED_REASON_LOSSES,       /* a task lost max_losses workers */
    SCHED_REASON_MAY_HAVE_RUN, /* a non-idempotent task was lost */
};

struct sched_place_action {
    uint64_t job;
    uint32_t task;
    uint32_t worker;
    uint64_t lease;
    struct sched_size size; /* granted: the worker holds the task to it */
};

/* The lease has ended and no longer counts. */
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
    bool may_have_run; /* whether any task may have started */
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

/* A list owned by the caller; zero-initialised is empty. */
struct sched_actions {
    struct sched_action *items;
    size_t count;
    size_t cap;
};

void
sched_config_default(struct sched_config *config);

/* Copies config. now is the time of creation. */
struct sched *
sched_create(const struct sched_config *config, int64_t now);
void
sched_destroy(struct sched *s);

/*
 * Applies one event and appends the actions. Unknown leases, jobs and
 * workers, and repeated events, are ignored. now never decreases.
 */
void
sched_step(struct sched *s, int64_t now, const struct sched_event *event,
           struct sched_actions *actions);

/* When the next tick is due; at or before now while decisions are due. */
int64_t
sched_next_deadline(const struct sched *s);

void
sched_actions_clear(struct sched_actions *actions);
void
sched_actions_free(struct sched_actions *actions);

/*
 * Whether everything that the team has under lease is within its limits; a
 * lowered limit is in force once this holds. True for an unknown team.
 */
bool
sched_team_within_limit(const struct sched *s, uint32_t team);

/* What a team has under lease now, starting and stopping tasks included. */
struct sched_team_status {
    uint64_t tasks;
    struct sched_size used;
    double share;       /* dominant share of the fleet, from 0 to 1 */
    double entitlement; /* weight over the weights of teams with work */
};

/* Returns false for an unknown team. */
bool
sched_team_status(const struct sched *s, uint32_t team,
                  struct sched_team_status *out);

struct sched_stats {
    uint64_t decisions; /* placements decided since creation */
    uint64_t attempts;  /* searches, successful or not */
    uint64_t preemptions;
    uint64_t reclaims;  /* preemptions for an account below its share */
    double reclaimed_s; /* run time lost by those, in seconds of a worker */
    uint64_t backfills;
    uint64_t reservations;
    size_t jobs;
    size_t waiting_tasks;
    size_t leases;
    size_t workers_up;
    size_t quarantined;
};

void
sched_stats(const struct sched *s, struct sched_stats *out);

/* Text for a reason, for people and for the API. */
const char *
sched_reason_text(enum sched_reason reason);

#endif
