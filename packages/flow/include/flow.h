#ifndef GV_FLOW_H
#define GV_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.pb-c.h"
#include "map.h"
#include "str.h"

/*
 * The replicated state of workflows: jobs of several steps that depend on
 * each other, the workers that may run them, the configuration of queues,
 * services and teams, and upkeep waves. Commands are encoded Flow__Batch
 * messages; applying them is deterministic. Wall times are milliseconds
 * since 1970, taken from the commands.
 */
struct flow_state;

/* How a run of a task ended. Only FAILED counts against max_attempts. */
enum flow_end {
    FLOW_END_DONE = 1,
    FLOW_END_FAILED = 2,
    FLOW_END_STOPPED = 3,
    FLOW_END_LAPSED = 4, /* the worker's lease expired */
    FLOW_END_BROKEN = 5, /* another member of the gang ended */
    FLOW_END_ALONE = 6,  /* the other members did not start in time */
    FLOW_END_NEVER = 7,  /* certainly: the worker never started the run */
};

enum flow_job_state {
    FLOW_JOB_QUEUED,
    FLOW_JOB_RUNNING,
    FLOW_JOB_COMPLETED,
    FLOW_JOB_FAILED,
    FLOW_JOB_CANCELLED,
};

struct flow_size {
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
};

/* A worker process from its start to its end; numbers are never reused. */
struct flow_worker {
    uint32_t number;
    struct str id;
    int64_t born_ms; /* wall time of its start; tells lives of one id apart */
    struct str address;
    struct str service;
    struct str domain;
    struct str machine;
    struct str rack;
    struct str *labels;
    size_t label_count;
    struct flow_size capacity;
    struct flow_size used; /* by assigned tasks that count against capacity */
    uint32_t tasks;        /* assigned */
    uint32_t serving;      /* of these, with a bound on their tail latency */
    uint32_t best_effort;  /* of these, taking what others leave */
    bool draining;
    uint64_t last_seen; /* number of the last end that is recorded */
    void *session;      /* of the leader; not replicated */
};

struct flow_team {
    struct str name;
    uint32_t weight;
    struct flow_size limit; /* 0: no limit of that kind */
    struct flow_size used;  /* by all assigned tasks */
    uint32_t live_jobs;
    bool configured;
};

struct flow_queue {
    struct str name;
    struct str host;
    struct str prefix;
    struct str service;
    uint32_t timeout_ms;
    uint32_t latency_target_ms;
    uint32_t priority; /* 0 is the most urgent */
    uint32_t max_attempts;
    double stretch;
    bool needs_approval;         /* of the workers that a step may use */
    uint32_t approval_ms;        /* cost of a call for approval */
    uint32_t approval_worker_us; /* and of each worker that it names */
    uint32_t ticket_ms;          /* validity of an approval */
    bool open;                   /* calls need no key */
    bool guarded; /* the service's workers refuse what does not fit */
    bool configured;
    uint32_t pending; /* jobs of which no task has started */
    double bias_log;  /* of the leader: learned, see plan_observe */
    double bias;      /* exp(bias_log), once something was learned */
};

struct flow_task {
    uint32_t run;       /* the newest, 0 before the first */
    uint32_t worker;    /* number, while assigned */
    uint32_t failed_on; /* worker of the last failure, 0 for none */
    uint16_t failures;
    bool assigned; /* run may exist on worker */
    bool done;
    struct str checkpoint;
    int64_t started_at; /* of the leader: its time of the start, or 0 */
};

struct flow_approval;

struct flow_step {
    const Flow__Step *spec;
    struct flow_task *tasks;
    uint32_t count;
    uint32_t done;
    uint32_t assigned;
    uint32_t gang_failures;         /* runs of a gang that have failed */
    uint32_t gang_failed_run;       /* the newest of these */
    struct flow_approval *approval; /* of the leader; not replicated */
    uint8_t wait_reason;            /* likewise: enum plan_wait */
    int64_t wait_noted_at;          /* likewise */
};

struct flow_occurrence {
    uint32_t number;
    uint32_t steps_done;
    struct flow_step *steps; /* one for each step of the spec */
};

struct flow_job {
    uint64_t id;
    struct flow_queue *queue;
    struct flow_team *team;
    Flow__JobSpec *spec;
    enum flow_job_state state;
    bool cancelled;
    bool started;
    int64_t wall_ms; /* accepted */
    int64_t ended_wall_ms;
    uint32_t due;  /* occurrences that became due */
    uint32_t done; /* occurrences completed */
    uint32_t assigned;
    struct flow_occurrence *occurrences; /* that are due and not completed */
    size_t occurrence_count;
    struct flow_job *prev; /* live jobs, in the order of acceptance */
    struct flow_job *next;
    int64_t seen_at; /* of the leader: when it first saw the job */
    bool begun;      /* likewise: a worker has confirmed one of its runs */
};

struct flow_upkeep {
    uint64_t wave;
    struct str *machines;
    bool *done;
    size_t count;
    size_t done_count;
    uint32_t concurrent_max;
    int64_t due_wall_ms;
};

struct flow_state *
flow_state_create(void);
void
flow_state_destroy(struct flow_state *s);

/* Applies one batch; malformed bytes change nothing and return false. */
bool
flow_state_apply(struct flow_state *s, struct str bytes);

/* Appends a snapshot. */
void
flow_state_encode(const struct flow_state *s, struct buf *out);

/* NULL for bytes that are no snapshot. */
struct flow_state *
flow_state_decode(struct str bytes);

/* The newest configuration, NULL before the first. */
const Flow__Config *
flow_config(const struct flow_state *s);

/* The queue that a call to host and path selects, by the longest prefix;
 * NULL when none does. */
struct flow_queue *
flow_route(const struct flow_state *s, struct str host, struct str path);
struct flow_queue *
flow_queue_named(const struct flow_state *s, struct str name);

/* The team that holds the key in the newest configuration, or NULL. */
struct flow_team *
flow_team_of_key(const struct flow_state *s, struct str key);
struct flow_job *
flow_job(const struct flow_state *s, uint64_t id);

/* The first live job: neither completed, failed nor cancelled and gone. */
struct flow_job *
flow_first_live(const struct flow_state *s);
size_t
flow_live_count(const struct flow_state *s);
struct flow_worker *
flow_worker(const struct flow_state *s, uint32_t number);
struct flow_worker *
flow_worker_by_id(const struct flow_state *s, struct str id);

/* Walks the workers; cursor is NULL at first. */
struct flow_worker *
flow_worker_next(const struct flow_state *s, void **cursor);
size_t
flow_worker_count(const struct flow_state *s);
struct flow_upkeep *
flow_upkeep(const struct flow_state *s, uint64_t wave);
struct flow_upkeep *
flow_upkeep_next(const struct flow_state *s, void **cursor);

/* Jobs of the queue that have not begun as far as the leader knows: those
 * whose only starts went to workers that have not answered are counted. */
uint32_t
flow_pending(const struct flow_state *s, const struct flow_queue *q);

/* The occurrence with that number, or NULL when it is not under way. */
struct flow_occurrence *
flow_occurrence(const struct flow_job *j, uint32_t number);

/* The task that a reference names, or NULL; sets *step. */
struct flow_task *
flow_task(const struct flow_state *s, const Flow__Task *ref,
          struct flow_step **step);

/* Whether all steps that the step depends on are done. */
bool
flow_step_ready(const struct flow_occurrence *o, const struct flow_step *step);

/* Whether the tasks of a step occupy capacity that others could use. */
bool
flow_step_counts(const struct flow_step *step);

/* The size of one task of the step. */
struct flow_size
flow_step_size(const struct flow_step *step);

/* Whether two configurations have the same content. */
bool
flow_config_equal(const Flow__Config *a, const Flow__Config *b);

/* Why a configuration cannot take effect; NULL when it can. */
const char *
flow_config_problem(const Flow__Config *c);

/* Why no job can have this spec; NULL when one can. */
const char *
flow_spec_problem(const Flow__JobSpec *spec);

/* Wall time of the newest applied batch. */
int64_t
flow_wall_ms(const struct flow_state *s);

/* Callback for assigned tasks of a worker. */
typedef void
flow_visit(void *arg, struct flow_job *j, struct flow_occurrence *o,
           struct flow_step *step, uint32_t index);

/* Visits every assigned task; worker 0 stands for all workers. */
void
flow_visit_assigned(const struct flow_state *s, uint32_t worker,
                    flow_visit *visit, void *arg);

#endif
