#ifndef GV_STATE_H
#define GV_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * The replicated state machine. It does no I/O, reads no clock and uses no
 * global state: applying the same commands in the same order gives the same
 * state and the same snapshot bytes on every replica. All pointers and
 * strings that a look-up returns belong to the state and are valid until the
 * next state_apply.
 */

#define STATE_UNLIMITED UINT64_MAX

enum {
    STATE_HASH_BYTES = 32,   /* hash of a key */
    STATE_DIGEST_BYTES = 16, /* digest of a request or job body */
    STATE_NAME_MAX = 256,    /* bytes in any name or address */
    STATE_REASON_MAX = 256,  /* bytes in the reason of a job's state */
    STATE_IDEMPOTENCY_KEY_MAX = 256,
    STATE_TEAMS_MAX = 10000,
    STATE_PAYLOAD_MAX = 16 * 1024,
    STATE_JOB_TASKS_MAX = 10000,
    STATE_RESPONSE_BODY_MAX = 64 * 1024,
    STATE_RESPONSE_HEADERS_MAX = 16 * 1024,
    STATE_AUDIT_MAX = 100000,
    STATE_HISTORY_MAX = 1000,        /* configuration changes for deltas */
    STATE_OPERATOR_KEYS_MAX = 50000, /* recorded operator results */
    STATE_TERMINAL_JOBS_MAX = 200000,
    STATE_LIVE_JOBS_MAX = 1000000,
    STATE_LIVE_PAYLOAD_MAX = 256 * 1024 * 1024, /* bytes in all live jobs */
    STATE_ENDED_LEASES_MAX = 100000, /* ended leases that take late usage */
};

/*
 * Retention, measured on the highest wall time of the applied commands. A
 * command that is more than an hour behind it sets it back.
 */
#define STATE_OPERATOR_KEY_KEEP_MS INT64_C(86400000)
#define STATE_TERMINAL_JOB_KEEP_MS INT64_C(86400000)
#define STATE_ENDED_LEASE_KEEP_MS INT64_C(3600000)
#define STATE_WITHDRAWN_KEY_KEEP 10000 /* tombstones, newest kept */

/* A running request record is unknown this long after its timeout. */
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
    STATE_JOB_UNSCHEDULABLE = 3, /* live: may become queued again */
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
    STATE_REQUEST_NOT_RUN = 4, /* only as an outcome: removes the record */
};

/* Why a command or an item of a batch had no effect. */
enum state_reason {
    STATE_REASON_NONE = 0,
    STATE_REASON_MALFORMED,     /* the bytes are no command */
    STATE_REASON_VERSION,       /* the expected version is not current */
    STATE_REASON_OTHER_REQUEST, /* the key or job was used differently */
    STATE_REASON_KEY_WITHDRAWN, /* the acting key is gone */
    STATE_REASON_KEY_KIND,      /* the acting key may not do this */
    STATE_REASON_BAD_FIELD,     /* a value is missing or out of range */
    STATE_REASON_NAME_TWICE,    /* a list names something twice */
    STATE_REASON_TEAM_UNKNOWN,
    STATE_REASON_TEAM_HAS_JOBS, /* a team with live jobs cannot go */
    STATE_REASON_HASH_IN_USE,   /* another key has this hash */
    STATE_REASON_BOOTSTRAPPED,  /* the cluster exists already */
    STATE_REASON_WORKER_UNKNOWN,
    STATE_REASON_WORKER_HAS_TASKS, /* a worker with placed tasks stays */
    STATE_REASON_INCARNATION,      /* the worker has restarted since */
    STATE_REASON_JOB_UNKNOWN,
    STATE_REASON_JOB_ENDED,     /* the job is terminal */
    STATE_REASON_JOB_CANCELLED, /* cancellation was requested */
    STATE_REASON_JOB_HAS_TASKS, /* tasks are still placed */
    STATE_REASON_TASK_PLACED,   /* the task already has a lease */
    STATE_REASON_TASK_STARTED,  /* a non-idempotent task started before */
    STATE_REASON_LEASE_OLD,     /* not above the highest, or superseded */
    STATE_REASON_FULL,          /* a bound of the state is reached */
    STATE_REASON_NOT_FOUND,
    STATE_REASON_COUNT,
};

/* A short English text, for error messages. */
const char *
state_reason_text(enum state_reason reason);

struct state;

/* An empty state; a bootstrap command or a snapshot gives it an identity. */
struct state *
state_create(void);
void
state_destroy(struct state *s);

/* ---- Commands ---- */

enum state_command {
    STATE_CMD_NONE = 0, /* malformed or empty */
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

/*
 * Who acts and when. key_id 0 is the system itself, which is always allowed.
 * Any other key must be live when the command is applied: an operator's for
 * lists, keys, VM drain and deletions, a key of the job's team (or an
 * operator's) for jobs. The idempotency key is used by the commands of
 * operators (teams set, limits set, key add, key delete, VM drain); it is
 * scoped by key_id, and request_digest must not depend on anything that
 * differs between a request and its resend, such as a newly drawn key.
 */
struct state_actor {
    uint64_t key_id;
    int64_t wall_ms;
    struct str idempotency_key; /* empty: none */
    uint8_t request_digest[STATE_DIGEST_BYTES];
};

/* One team's upper limits; STATE_UNLIMITED where there is none. */
struct state_limit {
    uint64_t tasks;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
    uint64_t requests;
};

extern const struct state_limit state_limit_none;

/* A member of the first raft configuration. */
struct state_member {
    uint64_t member_id;
    struct str vm;
    struct str address;
};

/* Fixed when the cluster is created, because every replica must agree. */
struct state_settings {
    struct state_limit default_limit; /* of a team that the list omits */
    int64_t request_keep_ms;          /* of a request record, from its begin */
    uint32_t request_max;             /* records; further begins are refused */
    uint64_t request_bytes_max;       /* stored responses; oldest dropped */
};

/* Unlimited, 24 h, 500,000 records, 128 MiB. */
extern const struct state_settings state_settings_default;

struct state_team_item {
    struct str name;
    uint32_t weight; /* at least 1 */
};

struct state_limit_item {
    struct str team;
    struct state_limit limit;
};

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
    uint32_t run_time_s; /* declared; 0: not declared */
    bool urgent;
    bool idempotent;
    struct str queue; /* empty: the team's own */
    struct str payload;
};

struct state_placement {
    uint64_t job;
    uint32_t task;
    uint32_t worker;
    uint64_t incarnation;
    uint64_t lease;     /* above every lease before it */
    uint32_t cpu_milli; /* granted to the task, as are the next two */
    uint32_t memory_mib;
    uint32_t accelerators;
};

struct state_end {
    uint64_t lease;
    enum state_task_outcome outcome;
    int32_t exit_code;
    enum state_task_state next; /* WAITING: to be placed again; or ENDED */
    uint32_t failures;          /* counted by the scheduler so far */
    uint32_t losses;
};

/* Cumulative since the lease began. */
struct state_sample {
    uint64_t lease;
    uint64_t cpu_ms;
    uint64_t memory_mib_s;
    uint64_t accelerator_ms;
};

struct state_response {
    uint32_t status;
    struct str headers; /* as the caller encoded them */
    struct str body;
};

/*
 * Each state_cmd_* appends one encoded command to out; out must be empty for
 * the bytes to be a whole log entry.
 */
void
state_cmd_bootstrap(struct buf *out, const struct state_actor *by,
                    uint64_t cluster_id, const struct state_member *members,
                    size_t count, const struct state_settings *settings);

/* Replaces the list of teams. Applied: the new version. */
void
state_cmd_teams_set(struct buf *out, const struct state_actor *by,
                    uint64_t expected_version,
                    const struct state_team_item *teams, size_t count);

/* Replaces the list of limits. Applied: the new version. */
void
state_cmd_limits_set(struct buf *out, const struct state_actor *by,
                     uint64_t expected_version,
                     const struct state_limit_item *limits, size_t count);

/* team is empty unless kind is STATE_KEY_TEAM. Applied: number is the id. */
void
state_cmd_key_add(struct buf *out, const struct state_actor *by,
                  enum state_key_kind kind, struct str team,
                  const uint8_t hash[STATE_HASH_BYTES]);
void
state_cmd_key_delete(struct buf *out, const struct state_actor *by,
                     uint64_t id);

/*
 * Registers a VM's process or changes its address; keeps the draining mark.
 * run is a random number of the process. left tells that the process has
 * stopped for good and holds nothing.
 */
void
state_cmd_vm_put(struct buf *out, const struct state_actor *by,
                 struct str name, struct str failure_domain,
                 struct str address, uint64_t run, bool left);
void
state_cmd_vm_drain(struct buf *out, const struct state_actor *by,
                   struct str name, bool draining);
void
state_cmd_vm_delete(struct buf *out, const struct state_actor *by,
                    struct str name);

/* Applied: number is the worker's number. */
void
state_cmd_worker_put(struct buf *out, const struct state_actor *by,
                     struct str name, uint64_t incarnation, struct str rack,
                     struct str failure_domain,
                     const struct state_capacity *capacity);
void
state_cmd_worker_delete(struct buf *out, const struct state_actor *by,
                        struct str name);

/* Applied or duplicate: number is the job's number. */
void
state_cmd_job_put(struct buf *out, const struct state_actor *by, uint32_t team,
                  struct str name, const struct state_job_spec *spec,
                  const uint8_t body_digest[STATE_DIGEST_BYTES]);

/*
 * Cancels one job, or with prefix every live job whose name starts with name.
 * A job without placed tasks becomes cancelled at once, the others carry the
 * cancel mark until the job outcome command. Applied: the jobs it changed.
 */
void
state_cmd_job_cancel(struct buf *out, const struct state_actor *by,
                     uint32_t team, struct str name, bool prefix);

/* Applied: rejects lists the items that had no effect. */
void
state_cmd_tasks_placed(struct buf *out, const struct state_actor *by,
                       const struct state_placement *items, size_t count);
void
state_cmd_tasks_ended(struct buf *out, const struct state_actor *by,
                      const struct state_end *items, size_t count);

/* A terminal state needs all tasks to have ended. */
void
state_cmd_job_outcome(struct buf *out, const struct state_actor *by,
                      uint64_t job, enum state_job_state state,
                      struct str reason);

/* Applied: rejects lists the samples of unknown leases. */
void
state_cmd_usage(struct buf *out, const struct state_actor *by,
                const struct state_sample *items, size_t count);

/*
 * attempt is drawn at random by the entry for each request that it received;
 * sending the same begin again is applied again with the same number.
 * Applied: the request may run, number identifies the record. Duplicate:
 * number is the first record, state_request shows it. Conflict: the key was
 * used for another request. Invalid with STATE_REASON_FULL: refuse it.
 */
void
state_cmd_request_begin(struct buf *out, const struct state_actor *by,
                        uint32_t team, struct str key,
                        const uint8_t digest[STATE_DIGEST_BYTES],
                        struct str entry, uint64_t attempt,
                        int64_t timeout_ms);

/*
 * Ends record number. A response that is too large to store, or outcome
 * STATE_REQUEST_UNKNOWN, makes the record unknown. A late end of an unknown
 * record stores its response. STATE_REQUEST_NOT_RUN removes the record, so
 * that a resend may run. Repeating an end is a duplicate.
 */
void
state_cmd_request_end(struct buf *out, const struct state_actor *by,
                      uint32_t team, struct str key, uint64_t number,
                      enum state_request_state outcome,
                      const struct state_response *response);

/* Turns the running records of an entry to unknown. Applied: changed. */
void
state_cmd_entry_lost(struct buf *out, const struct state_actor *by,
                     struct str entry);

enum state_result_kind {
    STATE_APPLIED = 1,
    STATE_CONFLICT = 2,
    STATE_DUPLICATE = 3,
    STATE_NOT_FOUND = 4,
    STATE_INVALID = 5,
};

struct state_reject {
    size_t item; /* index in the batch */
    enum state_reason reason;
};

/* What the first command of a duplicate got. */
struct state_first {
    enum state_result_kind kind;
    uint64_t version;
    uint64_t number;
    enum state_reason reason;
};

struct state_result {
    enum state_result_kind kind;
    enum state_command command;
    union {
        struct {
            uint64_t version; /* of the list, or the configuration version */
            uint64_t number;  /* of the key, worker, job or record */
            size_t changed;   /* items, jobs or records changed */
            const uint64_t
                *jobs; /* job cancel: changed jobs, `changed` long */
            const struct state_reject *rejects;
            size_t reject_count;
        } applied;
        struct {
            uint64_t version; /* the current one of the list */
            enum state_reason reason;
        } conflict;
        struct state_first duplicate;
        struct {
            enum state_reason reason;
        } not_found;
        struct {
            enum state_reason reason;
        } invalid;
    } u;
};

/*
 * Applies one committed log entry. Any bytes are allowed; an empty entry (as
 * a new leader appends) only moves the index. Indexes must rise; an index at
 * or below state_index is ignored and reported as invalid.
 */
void
state_apply(struct state *s, uint64_t index, struct str bytes,
            struct state_result *result);

/* The index of the last applied entry. */
uint64_t
state_index(const struct state *s);

/* ---- Snapshots ---- */

/* Appends the whole state to out. */
void
state_encode(const struct state *s, struct buf *out);

/*
 * The same bytes in slices, with commands applied in between: they are those
 * of the state when the snapshot began. begin drops an earlier snapshot that
 * was not taken. step encodes about that many more bytes and returns whether
 * all are encoded; only then take gives them away and ends the snapshot.
 */
void
state_snapshot_begin(struct state *s);
bool
state_snapshot_step(struct state *s, size_t bytes);

/* The bytes of a snapshot are those of all buffers in order. */
struct state_chunks {
    struct buf *list;
    size_t count;
};

void
state_snapshot_take(struct state *s, struct state_chunks *out);
void
state_snapshot_abort(struct state *s);
void
state_chunks_free(struct state_chunks *chunks);

/* Returns NULL when the bytes are damaged or of an unknown format. */
struct state *
state_decode(struct str bytes);

/* ---- Look-ups ---- */

uint64_t
state_cluster_id(const struct state *s);
const struct state_settings *
state_settings_get(const struct state *s);
size_t
state_member_count(const struct state *s);
const struct state_member *
state_member_at(const struct state *s, size_t i);

struct state_team {
    uint32_t number;
    uint32_t weight;
    struct str name;
    bool removed; /* kept for the names of usage rows */
    uint32_t live_jobs;
};

/* The list in the operator's order. */
uint64_t
state_teams_version(const struct state *s);
size_t
state_team_count(const struct state *s);
const struct state_team *
state_team_at(const struct state *s, size_t i);
const struct state_team *
state_team_by_name(const struct state *s, struct str name);

/* Also finds removed teams. */
const struct state_team *
state_team(const struct state *s, uint32_t number);

struct state_team_limit {
    uint32_t team;
    struct state_limit limit;
};

/* The list in the operator's order. */
uint64_t
state_limits_version(const struct state *s);
size_t
state_limit_count(const struct state *s);
const struct state_team_limit *
state_limit_at(const struct state *s, size_t i);

/* The limits in force for a team, the default one if the list omits it. */
const struct state_limit *
state_limit_of(const struct state *s, uint32_t team);

struct state_key {
    uint64_t id;
    enum state_key_kind kind;
    uint32_t team;                  /* 0 unless kind is STATE_KEY_TEAM */
    uint8_t hash[STATE_HASH_BYTES]; /* zeros once withdrawn */
    int64_t created_ms;
    int64_t withdrawn_ms; /* 0 while live */
};

/* Finds live keys only. */
const struct state_key *
state_key_by_hash(const struct state *s, const uint8_t hash[STATE_HASH_BYTES]);
const struct state_key *
state_key(const struct state *s, uint64_t id);

/*
 * The iterators start with *cursor NULL and return NULL at the end. Keys,
 * workers, VMs and jobs come in the order of their registration.
 */
const struct state_key *
state_key_next(const struct state *s, void **cursor);

struct state_vm {
    struct str name;
    struct str failure_domain;
    struct str address;
    bool draining;
    uint64_t run;       /* of the newest process */
    uint64_t clean_run; /* equals run when no older process holds anything */
    bool left;          /* the newest process has stopped, holding nothing */
};

const struct state_vm *
state_vm(const struct state *s, struct str name);
const struct state_vm *
state_vm_next(const struct state *s, void **cursor);

struct state_worker {
    uint32_t number;
    uint32_t placed; /* tasks */
    uint64_t incarnation;
    struct str name;
    struct str rack;
    struct str failure_domain;
    struct state_capacity capacity;
};

const struct state_worker *
state_worker(const struct state *s, uint32_t number);
const struct state_worker *
state_worker_by_name(const struct state *s, struct str name);
const struct state_worker *
state_worker_next(const struct state *s, void **cursor);

struct state_task {
    uint64_t lease; /* the newest, 0 before the first placement */
    uint64_t incarnation;
    uint32_t worker;
    uint32_t cpu_milli; /* granted with the newest lease */
    uint32_t memory_mib;
    uint32_t accelerators;
    int32_t exit_code;
    uint16_t attempts;
    uint16_t failures; /* as the scheduler counted them */
    uint16_t losses;
    uint8_t state;   /* enum state_task_state */
    uint8_t outcome; /* enum state_task_outcome of the newest lease */
};

struct state_job {
    uint64_t number;
    uint64_t key_id; /* that submitted it */
    int64_t submitted_ms;
    int64_t ended_ms; /* 0 while live */
    struct str name;
    struct str reason;
    struct state_job_spec spec; /* the payload is dropped at the end */
    uint32_t team;
    uint32_t placed; /* tasks */
    enum state_job_state state;
    bool cancel; /* cancellation was requested */
    uint8_t body_digest[STATE_DIGEST_BYTES];
    const struct state_task *tasks; /* spec.tasks of them */
};

bool
state_job_terminal(enum state_job_state state);
const struct state_job *
state_job(const struct state *s, uint64_t number);
const struct state_job *
state_job_by_name(const struct state *s, uint32_t team, struct str name);
const struct state_job *
state_job_next(const struct state *s, void **cursor);

/* Walks one team's jobs, first the live ones in order, then the others. */
const struct state_job *
state_team_job_next(const struct state *s, uint32_t team,
                    const struct state_job *prev);
uint64_t
state_highest_lease(const struct state *s);

/* The task that holds or last held this lease; false when it is unknown. */
bool
state_lease(const struct state *s, uint64_t lease, uint64_t *job,
            uint32_t *task, bool *live);

struct state_usage {
    uint32_t team;
    uint32_t month; /* year * 100 + month, UTC */
    uint64_t cpu_ms;
    uint64_t memory_mib_s;
    uint64_t accelerator_ms;
};

/* A wall time's month as year * 100 + month. */
uint32_t
state_month(int64_t wall_ms);
const struct state_usage *
state_usage_get(const struct state *s, uint32_t team, uint32_t month);
const struct state_usage *
state_usage_next(const struct state *s, void **cursor);

struct state_audit {
    uint64_t seq;
    int64_t wall_ms;
    uint64_t key_id;
    enum state_command action;
    enum state_result_kind outcome;
    enum state_reason reason;
    uint64_t old_version;
    uint64_t new_version;
    struct str object;
};

/* "teams set" and the like. */
const char *
state_command_text(enum state_command command);

/* Sequence numbers run from first to last; last is 0 when there is none. */
uint64_t
state_audit_first(const struct state *s);
uint64_t
state_audit_last(const struct state *s);
const struct state_audit *
state_audit(const struct state *s, uint64_t seq);

struct state_request {
    uint64_t number;
    uint64_t attempt;
    uint32_t team;
    enum state_request_state state;
    struct str key;
    struct str entry;
    uint8_t digest[STATE_DIGEST_BYTES];
    int64_t begun_ms;
    int64_t timeout_ms;
    bool stored; /* finished and the response is still kept */
    struct state_response response;
};

const struct state_request *
state_request(const struct state *s, uint32_t team, struct str key);
const struct state_request *
state_request_next(const struct state *s, void **cursor);

/* ---- Configuration for entries (decoded by confview.h) ---- */

/* Rises with every change of teams, limits or keys. */
uint64_t
state_config_version(const struct state *s);

/*
 * Appends to out the changes after version, or the whole configuration when
 * the history does not reach back to it. Appends nothing when version is the
 * current one or there is no cluster yet.
 */
void
state_config_since(const struct state *s, uint64_t version, struct buf *out);

#endif
