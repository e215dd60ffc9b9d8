#ifndef GV_STATE_CMD_H
#define GV_STATE_CMD_H

#include "state_types.h"

/* Commands of the replicated state, as they are put into the log. */

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

struct state_team_item {
    struct str name;
    uint32_t weight; /* at least 1 */
};

struct state_limit_item {
    struct str team;
    struct state_limit limit;
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

/*
 * Records that the requests of the VM's process end early_ms earlier than the
 * longest request would (route/units.h), as its report early_seq, at least 1,
 * says. Not found when another process is registered.
 */
void
state_cmd_vm_promise(struct buf *out, const struct state_actor *by,
                     struct str name, uint64_t run, uint64_t early_ms,
                     uint64_t early_seq);
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

#endif
