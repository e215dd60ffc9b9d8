#ifndef GV_FLOW_H
#define GV_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.pb-c.h"
#include "map.h"
#include "str.h"

/*
 * Replicated state of workflows: jobs whose steps depend on each other, the
 * workers that run their tasks, the configuration of queues, services and
 * teams, and maintenance ("upkeep") waves. The state changes only by applying
 * encoded Flow__Batch messages, and applying them is deterministic: the same
 * batches in the same order give the same state on every member.
 *
 * Fields marked "leader only" are not replicated and not part of a snapshot.
 * Times named wall_ms are milliseconds since 1970 and come from the commands.
 * Leader-only times are nanoseconds of the leader's monotonic clock.
 *
 * Pointers returned by the functions below belong to the state. They stay
 * valid until the next batch is applied or the state is destroyed.
 */
struct flow_state;

/*
 * How a run of a task ended. Only FLOW_END_FAILED counts against the queue's
 * max_attempts.
 */
enum flow_run_end {
    FLOW_END_DONE = 1,
    FLOW_END_FAILED = 2,
    FLOW_END_STOPPED = 3,       /* the worker stopped the run on request */
    FLOW_END_LEASE_EXPIRED = 4, /* the worker's lease expired */
    FLOW_END_GANG_ENDED = 5,    /* another task of the gang ended */
    FLOW_END_GANG_INCOMPLETE =
        6, /* the gang's other tasks did not start in time */
    FLOW_END_NOT_STARTED =
        7, /* the worker is known not to have started the run */
};

enum flow_job_state {
    FLOW_JOB_QUEUED,
    FLOW_JOB_RUNNING,
    FLOW_JOB_COMPLETED,
    FLOW_JOB_FAILED,
    FLOW_JOB_CANCELLED,
};

/* Amounts of the resources that a task needs or a worker offers. */
struct flow_size {
    uint64_t cpu_milli; /* thousandths of a processor core */
    uint64_t memory_mib;
    uint64_t accelerators;
};

/*
 * One worker process. A process that starts again under the same id is a new
 * worker with a new number; numbers are never reused.
 */
struct flow_worker {
    uint32_t number;
    struct str id;
    int64_t born_ms; /* wall time of the process start */
    struct str address;
    struct str service;
    struct str domain; /* failure domain */
    struct str machine;
    struct str rack;
    struct str *labels;
    size_t label_count;
    struct flow_size capacity;
    struct flow_size
        used;         /* by assigned tasks; see flow_step_uses_cpu_capacity */
    uint32_t tasks;   /* assigned tasks */
    uint32_t serving; /* assigned tasks with a tail-latency target */
    uint32_t best_effort; /* assigned best-effort tasks */
    uint32_t endless;     /* assigned tasks without an end */
    bool draining;
    bool evacuated;     /* its domain is evacuated */
    uint64_t last_seen; /* sequence number of the last recorded run end */
    void *session;      /* leader only: struct plan_worker, or NULL */
};

/* A team, its resource limit and what its tasks use. */
struct flow_team {
    struct str name;
    uint32_t weight;
    struct flow_size limit; /* 0: no limit on that resource */
    struct flow_size used;  /* by all assigned tasks */
    uint32_t jobs;          /* all that refer to it, ended ones too */
    uint32_t live_jobs;
    bool configured; /* is part of the current configuration */
};

/*
 * A queue of jobs. A job's objective is the estimated time of its critical
 * path times stretch, plus latency_target_ms. With needs_approval, the path
 * includes one approval request for each step.
 */
struct flow_queue {
    struct str name;
    struct str host;
    struct str prefix; /* of the request path */
    struct str service;
    uint32_t timeout_ms;
    uint32_t latency_target_ms;
    uint32_t priority; /* 0 is the most urgent */
    uint32_t max_attempts;
    double stretch;       /* factor on the estimated run time of a job */
    uint32_t approval_ms; /* expected time of an approval request */
    uint32_t approval_worker_us; /* added for each worker it names */
    uint32_t ticket_ms;          /* validity of an approval ticket */
    uint32_t jobs;               /* all that refer to it, ended ones too */
    uint32_t pending;    /* unended jobs of which no task was ever assigned */
    bool needs_approval; /* steps run only on approved workers */
    bool open;           /* requests need no key */
    bool guarded;    /* the service's workers reject tasks that do not fit */
    bool configured; /* is part of the current configuration */
    double bias_log; /* leader only: average log of measured over estimated */
    double bias;     /* leader only: exp(bias_log), 0 until observed */
    /* Leader only: time that the approval service spent on the queue lately,
     * decayed exponentially, as of approval_used_ns. */
    double approval_used_ms;
    int64_t approval_used_ns;
    /* Leader only: average share of workers that the service approves, 0
     * until observed. */
    double approved_share;
    /* Planner only: requests of the queue in the current round, and service
     * time used including them. */
    size_t approval_planned;
    double approval_planned_ms;
};

struct flow_task {
    uint32_t run;           /* number of the latest run, 0 before the first */
    uint32_t worker;        /* its worker's number while assigned, else 0 */
    uint32_t failed_on;     /* worker of the last failure, 0: none */
    uint32_t confirmed_run; /* leader only: the latest that a worker listed */
    uint32_t moved_run; /* leader only: the latest that an evacuation ends */
    uint16_t failures;
    bool assigned; /* the run may exist on the worker */
    bool done;
    struct str checkpoint;  /* the latest reported, empty: none */
    int64_t run_started_ns; /* leader only: start of the run in ns, or 0 */
};

struct flow_approval;

/* A step of an occurrence: count tasks that run the same work. */
struct flow_step {
    const Flow__Step *spec;
    struct flow_task *tasks;
    uint32_t count;
    uint32_t done;                  /* tasks that are done */
    uint32_t assigned;              /* tasks that are assigned */
    uint32_t gang_failures;         /* runs of the gang that failed */
    uint32_t gang_failed_run;       /* the latest run that failed */
    struct flow_approval *approval; /* leader only: NULL before a request */
    /* Leader only: when the waiting gang first reserved workers, 0: it has
     * not. */
    int64_t reserved_since_ns;
    int64_t reservation_end_ns; /* leader only */
    /* Leader only: since when it has had tasks to start; 0: it has none. */
    int64_t waits_since_ns;
    bool reservation_lapsed; /* leader only: one ended without a start */
    uint8_t wait_reason; /* leader only: last reported enum plan_wait_reason */
    int64_t wait_reported_ns; /* leader only: time of that report in ns */
};

/* One execution of a job's steps. A job without a schedule has one. */
struct flow_occurrence {
    uint32_t number;
    uint32_t steps_done;     /* unused */
    struct flow_step *steps; /* one for each step of the spec */
};

struct flow_job {
    uint64_t id;
    struct flow_queue *queue;
    struct flow_team *team;
    struct str address; /* host and path prefix that it was submitted under */
    Flow__JobSpec *spec;
    enum flow_job_state state;
    bool cancelled;
    bool started;    /* a task was assigned, or the job has ended */
    int64_t wall_ms; /* when the job was accepted */
    int64_t ended_wall_ms;
    uint32_t due;                        /* occurrences that have become due */
    uint32_t done;                       /* occurrences that have completed */
    uint32_t assigned;                   /* tasks that are assigned */
    struct flow_occurrence *occurrences; /* due and not removed */
    size_t occurrence_count;
    struct flow_job *prev; /* list of live jobs, in order of acceptance */
    struct flow_job *next;
    int64_t arrived_ns; /* leader only: arrival of the job in ns */
    bool run_confirmed; /* leader only: by a worker, for any of its tasks */
};

/* A maintenance wave: machines to be taken out of use before a deadline. */
struct flow_upkeep {
    uint64_t wave; /* its number */
    struct str *machines;
    bool *done; /* parallel to machines */
    size_t count;
    size_t done_count;
    uint32_t concurrent_max; /* machines under maintenance at a time */
    int64_t due_wall_ms;     /* deadline of the whole wave */
};

enum {
    /* Changes of evacuations that the audit trail keeps. */
    FLOW_EVACUATION_CHANGES_MAX = 64,
};

/* Whether a failure domain is evacuated: nothing starts there meanwhile. Also
 * an entry of the audit trail. */
struct flow_evacuation {
    struct str domain;
    bool active;
    uint64_t change; /* number of the domain's last change, from 1 */
    int64_t wall_ms; /* when that was committed */
    struct str vm;   /* that took the request for it */
    /* Leader only: when no task was left there, 0: not yet. */
    int64_t empty_wall_ms;
};

/* Returns an empty state; the caller frees it with flow_state_destroy. */
struct flow_state *
flow_state_create(void);

/* Frees the state and all that it holds; s may be NULL. */
void
flow_state_destroy(struct flow_state *s);

/*
 * Applies one encoded Flow__Batch; bytes are not kept. Returns false and
 * changes nothing if they cannot be decoded. Commands that are out of date or
 * do not apply to the state are skipped.
 */
bool
flow_state_apply(struct flow_state *s, struct str bytes);

/* Appends an encoded Flow__Snapshot of the state to out. */
void
flow_state_encode(const struct flow_state *s, struct buf *out);

/*
 * Returns the state that a snapshot describes, or NULL if bytes are not a
 * valid snapshot. The caller frees it with flow_state_destroy; bytes are not
 * kept.
 */
struct flow_state *
flow_state_decode(struct str bytes);

/* Returns the current configuration, or NULL before the first. */
const Flow__Config *
flow_current_config(const struct flow_state *s);

/*
 * Returns the configured queue for a request to host and path, or NULL if none
 * matches. The longest matching path prefix wins.
 */
struct flow_queue *
flow_match_queue(const struct flow_state *s, struct str host, struct str path);

/*
 * Returns the queue with that name, or NULL. Queues that were removed from the
 * configuration, or that only a job names, are found too.
 */
struct flow_queue *
flow_queue_by_name(const struct flow_state *s, struct str name);

/* Returns the team that owns the key in the current configuration, or NULL. */
struct flow_team *
flow_team_by_key(const struct flow_state *s, struct str key);

/* Returns the job with that id, or NULL if it is unknown or was pruned. */
struct flow_job *
flow_job(const struct flow_state *s, uint64_t id);

/* Returns the number of recorded cancellations of jobs that were not known. */
size_t
flow_cancellation_count(const struct flow_state *s);

/*
 * Reports whether calls to the queue's host and prefix concern the job: it is
 * in that queue, or was submitted under that host and prefix to a queue that a
 * later configuration replaced.
 */
bool
flow_job_is_at(const struct flow_job *j, const struct flow_queue *q);

/* Returns the wall time at which an occurrence is due, INT64_MAX if that is
 * later than can be represented. */
int64_t
flow_due_wall_ms(const Flow__JobSpec *spec, uint32_t occurrence);

/*
 * Returns the first live job, or NULL; the others follow by flow_job.next. A
 * job is live until it has ended and none of its tasks is assigned.
 */
struct flow_job *
flow_first_live(const struct flow_state *s);

/* Returns the number of live jobs. */
size_t
flow_live_count(const struct flow_state *s);

/* Returns the worker with that number, or NULL. */
struct flow_worker *
flow_worker(const struct flow_state *s, uint32_t number);

/* Returns the current worker with that id, or NULL. */
struct flow_worker *
flow_worker_by_id(const struct flow_state *s, struct str id);

/*
 * Iterates over the workers: returns the next one, or NULL at the end. *cursor
 * must be NULL for the first call.
 */
struct flow_worker *
flow_worker_next(const struct flow_state *s, void **cursor);

/* Returns the number of workers. */
size_t
flow_worker_count(const struct flow_state *s);

/* Returns the maintenance wave with that number, or NULL. */
struct flow_upkeep *
flow_upkeep(const struct flow_state *s, uint64_t wave);

/* Iterates over the maintenance waves like flow_worker_next. */
struct flow_upkeep *
flow_upkeep_next(const struct flow_state *s, void **cursor);

/* Returns the evacuation of the failure domain, perhaps withdrawn, or NULL if
 * there was none. */
struct flow_evacuation *
flow_evacuation(const struct flow_state *s, struct str domain);

/* Iterates over the evacuations, also withdrawn ones, like
 * flow_worker_next. */
struct flow_evacuation *
flow_evacuation_next(const struct flow_state *s, void **cursor);

/* Returns the number of evacuations, also withdrawn ones. */
size_t
flow_evacuation_count(const struct flow_state *s);

/* Returns the audit trail of the evacuations, the oldest change first. */
const struct flow_evacuation *
flow_evacuation_changes(const struct flow_state *s, size_t *count);

/* Reports whether the service has workers, all of them in evacuated failure
 * domains. */
bool
flow_is_service_evacuated(const struct flow_state *s, struct str service);

/*
 * Returns the number of the jobs at the queue, see flow_job_is_at(), that no
 * worker is known to have begun. It includes running jobs whose tasks were
 * assigned only to workers that have not answered yet.
 */
uint32_t
flow_count_pending_jobs(const struct flow_state *s,
                        const struct flow_queue *q);

/*
 * Returns the occurrence with that number, or NULL if it is not due yet or was
 * removed. A completed occurrence is removed once none of its tasks is
 * assigned.
 */
struct flow_occurrence *
flow_occurrence(const struct flow_job *j, uint32_t number);

/* Returns the task that ref names and sets *step, or NULL if there is none. */
struct flow_task *
flow_task(const struct flow_state *s, const Flow__Task *ref,
          struct flow_step **step);

/* Reports whether all steps that the step depends on are done. */
bool
flow_step_is_ready(const struct flow_occurrence *o,
                   const struct flow_step *step);

/*
 * Reports whether tasks of the step count against a worker's processor
 * capacity. Best-effort tasks do not: they run on what other tasks leave.
 */
bool
flow_step_uses_cpu_capacity(const struct flow_step *step);

/* Returns the size of one task of the step. */
struct flow_size
flow_step_size(const struct flow_step *step);

/* Reports whether two configurations have the same document. */
bool
flow_config_equal(const Flow__Config *a, const Flow__Config *b);

/*
 * Returns why a configuration is invalid, as a static string for the operator,
 * or NULL if it is valid.
 */
const char *
flow_validate_config(const Flow__Config *c);

/*
 * Returns why a job specification is invalid, as a static string for the
 * caller, or NULL if it is valid. spec may be NULL, which is invalid.
 */
const char *
flow_validate_spec(const Flow__JobSpec *spec);

/* Returns the latest wall time of the applied batches, in ms since 1970. */
int64_t
flow_wall_ms(const struct flow_state *s);

/* Callback for an assigned task: the task with that index of the step. */
typedef void
flow_visit_fn(void *arg, struct flow_job *j, struct flow_occurrence *o,
              struct flow_step *step, uint32_t index);

/*
 * Calls visit for every task that is assigned to the worker, or to any worker
 * if worker is 0. The callback may release the task that it is given.
 */
void
flow_visit_assigned(const struct flow_state *s, uint32_t worker,
                    flow_visit_fn *visit, void *arg);

#endif
