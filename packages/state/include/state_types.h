#ifndef GV_STATE_TYPES_H
#define GV_STATE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Limits and types that commands, results and look-ups share. */

#define STATE_UNLIMITED UINT64_MAX

enum {
    STATE_HASH_BYTES = 32,           /* hash of an API key */
    STATE_DIGEST_BYTES = 16,         /* digest of a request's or job's body */
    STATE_NAME_MAX = 256,            /* bytes of a name or an address */
    STATE_REASON_MAX = 256,          /* bytes of the reason of a job's state */
    STATE_IDEMPOTENCY_KEY_MAX = 256, /* bytes */
    STATE_TEAMS_MAX = 10000,
    STATE_PAYLOAD_MAX = 16 * 1024, /* bytes of one job's payload */
    STATE_JOB_TASKS_MAX = 10000,
    STATE_RESPONSE_BODY_MAX = 64 * 1024,    /* bytes */
    STATE_RESPONSE_HEADERS_MAX = 16 * 1024, /* bytes */
    STATE_AUDIT_MAX = 100000, /* audit entries; the oldest are dropped */
    STATE_HISTORY_MAX = 1000, /* configuration changes kept for deltas */
    STATE_OPERATOR_RESULTS_MAX = 50000, /* stored results of operator commands;
                                        the oldest are dropped */
    STATE_TERMINAL_JOBS_MAX = 200000,   /* the oldest are dropped */
    STATE_LIVE_JOBS_MAX = 1000000,      /* further jobs are refused */
    STATE_LIVE_PAYLOAD_MAX = 256 * 1024 * 1024, /* bytes of all live jobs */
    STATE_ENDED_LEASES_MAX = 100000, /* ended leases that still accept usage;
                                        the oldest are dropped */
};

/*
 * Retention times. The clock of retention is the highest wall time of the
 * applied commands; a command that is more than an hour behind it sets it
 * back.
 */
#define STATE_OPERATOR_RESULT_KEEP_MS INT64_C(86400000)
#define STATE_TERMINAL_JOB_KEEP_MS INT64_C(86400000)
#define STATE_ENDED_LEASE_KEEP_MS INT64_C(3600000)

/* Number of withdrawn keys that stay as tombstones; older ones are dropped. */
#define STATE_WITHDRAWN_KEYS_MAX 10000

/*
 * A request record that is still running this long after its timeout becomes
 * unknown when the request is repeated.
 */
#define STATE_REQUEST_GRACE_MS INT64_C(60000)

enum state_key_kind {
    STATE_KEY_TEAM = 1,
    STATE_KEY_ENDPOINT = 2,
    STATE_KEY_WORKER = 3,
    STATE_KEY_OPERATOR = 4,
};

enum state_job_class {
    STATE_JOB_SERVICE = 1,
    STATE_JOB_BATCH = 2,
    STATE_JOB_GANG = 3,
};

enum state_job_state {
    STATE_JOB_QUEUED = 1,
    STATE_JOB_RUNNING = 2,
    STATE_JOB_UNSCHEDULABLE = 3, /* not terminal: may be queued again */
    STATE_JOB_DONE = 4,
    STATE_JOB_FAILED = 5,
    STATE_JOB_CANCELLED = 6,
    STATE_JOB_UNKNOWN = 7,
};

enum state_task_state {
    STATE_TASK_WAITING = 1,
    STATE_TASK_PLACED = 2,
    STATE_TASK_ENDED = 3,
};

enum state_task_outcome {
    STATE_OUTCOME_NONE = 0,
    STATE_OUTCOME_DONE = 1,
    STATE_OUTCOME_FAILED = 2,
    STATE_OUTCOME_STOPPED = 3,
    STATE_OUTCOME_CHECKPOINTED = 4,
    STATE_OUTCOME_NEVER_STARTED = 5,
    STATE_OUTCOME_LOST = 6, /* the worker's lease expired */
};

enum state_request_state {
    STATE_REQUEST_RUNNING = 1,
    STATE_REQUEST_FINISHED = 2,
    STATE_REQUEST_UNKNOWN = 3,
    STATE_REQUEST_NOT_RUN = 4, /* only in an end command: removes the record */
};

/*
 * Why a command or an item of a batch had no effect. Snapshots store the
 * numbers of these values in audit entries and operator results.
 */
enum state_reason {
    STATE_REASON_NONE = 0,
    STATE_REASON_MALFORMED,         /* the bytes do not decode as a command */
    STATE_REASON_VERSION_MISMATCH,  /* the expected version is not current */
    STATE_REASON_REQUEST_MISMATCH,  /* the idempotency key or job name
                                    belongs to a different request */
    STATE_REASON_KEY_WITHDRAWN,     /* the acting key is withdrawn */
    STATE_REASON_KEY_NOT_PERMITTED, /* the acting key may not do this */
    STATE_REASON_BAD_FIELD,         /* a value is missing or out of range */
    STATE_REASON_DUPLICATE_NAME,    /* a list holds a name twice */
    STATE_REASON_TEAM_UNKNOWN,
    STATE_REASON_TEAM_HAS_JOBS, /* a team with live jobs cannot be removed */
    STATE_REASON_HASH_IN_USE,   /* same first 8 bytes as a live key's */
    STATE_REASON_BOOTSTRAPPED,  /* the cluster exists already */
    STATE_REASON_WORKER_UNKNOWN,
    STATE_REASON_WORKER_HAS_TASKS,     /* a worker with placed tasks cannot be
                                          deleted */
    STATE_REASON_INCARNATION_MISMATCH, /* not the worker's current one */
    STATE_REASON_JOB_UNKNOWN,
    STATE_REASON_JOB_ENDED,     /* the job is terminal */
    STATE_REASON_JOB_CANCELLED, /* its cancellation was requested */
    STATE_REASON_JOB_HAS_TASKS, /* tasks are still placed */
    STATE_REASON_TASK_PLACED,   /* the task already has a lease */
    STATE_REASON_TASK_STARTED,  /* a non-idempotent task started before */
    STATE_REASON_LEASE_STALE,   /* not above the highest one when placed; ended
                                   or unknown otherwise */
    STATE_REASON_FULL,          /* a limit of the state's size is reached */
    STATE_REASON_NOT_FOUND,
    STATE_REASON_COUNT,
};

/* Returns a short English text for error messages; never NULL. */
const char *
state_reason_text(enum state_reason reason);

enum state_command {
    STATE_CMD_NONE = 0, /* a malformed or an empty entry */
    STATE_CMD_BOOTSTRAP,
    STATE_CMD_TEAMS_SET,
    STATE_CMD_LIMITS_SET,
    STATE_CMD_KEY_ADD,
    STATE_CMD_KEY_DELETE,
    STATE_CMD_VM_PUT,
    STATE_CMD_VM_DRAIN,
    STATE_CMD_VM_DELETE,
    STATE_CMD_WORKER_PUT,
    STATE_CMD_WORKER_DELETE,
    STATE_CMD_JOB_PUT,
    STATE_CMD_JOB_CANCEL,
    STATE_CMD_TASKS_PLACED,
    STATE_CMD_TASKS_ENDED,
    STATE_CMD_JOB_OUTCOME,
    STATE_CMD_USAGE,
    STATE_CMD_REQUEST_BEGIN,
    STATE_CMD_REQUEST_END,
    STATE_CMD_ENTRY_LOST,
};

/* A team's limits; STATE_UNLIMITED where there is none. */
struct state_limit {
    uint64_t tasks;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
    uint64_t requests;
};

extern const struct state_limit state_limit_none;

/* A member of the initial raft configuration. */
struct state_member {
    uint64_t member_id;
    struct str vm;
    struct str address;
};

/*
 * Settings of the state machine. They are part of the bootstrap command and
 * never change, because every replica must apply commands with the same ones.
 */
struct state_settings {
    struct state_limit default_limit; /* of teams without their own limit */
    int64_t request_keep_ms; /* of a request record, counted from its begin */
    uint32_t request_max;    /* request records; further begins are refused */
    uint64_t request_bytes_max; /* of stored responses; the oldest go first */
};

/* No limits, 24 h, 500,000 records, 128 MiB. */
extern const struct state_settings state_settings_default;

struct state_capacity {
    uint32_t cpu_milli;
    uint32_t memory_mib;
    uint32_t accelerators;
};

struct state_job_spec {
    enum state_job_class class;
    uint32_t tasks;
    uint32_t cpu_milli;
    uint32_t memory_mib;
    uint32_t accelerators;
    uint32_t run_time_s; /* as declared; 0: not declared */
    bool urgent;
    bool idempotent;
    struct str queue; /* empty: the team's own queue */
    struct str payload;
};

struct state_response {
    uint32_t status;
    struct str headers; /* stored as given, not interpreted */
    struct str body;
};

enum state_result_kind {
    STATE_APPLIED = 1,
    STATE_CONFLICT = 2,
    STATE_DUPLICATE = 3,
    STATE_NOT_FOUND = 4,
    STATE_INVALID = 5,
};

#endif
