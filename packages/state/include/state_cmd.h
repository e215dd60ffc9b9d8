#ifndef GV_STATE_CMD_H
#define GV_STATE_CMD_H

#include "state_types.h"

/*
 * Encoders of the commands that are put into the log. "Applied" and the other
 * kinds in the comments below are those of struct state_result; "number",
 * "version" and "rejects" are its fields.
 */

/*
 * Who sends a command and when. key_id 0 is the system itself, which may send
 * every command. Any other key must be live when the command is applied: an
 * operator's key for bootstrap, lists, keys, VM drain and deletions, a key of
 * the job's team or of an operator for jobs. The same commands that need an
 * operator's key use the idempotency key, which is scoped by key_id.
 * request_digest must not depend on anything that differs between a request
 * and its repetition, such as a newly generated key.
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
    uint64_t lease;     /* above every earlier lease */
    uint32_t cpu_milli; /* resources granted to the task */
    uint32_t memory_mib;
    uint32_t accelerators;
};

/* The end of a placed task. */
struct state_task_end {
    uint64_t lease;
    enum state_task_outcome outcome;
    int32_t exit_code;
    enum state_task_state next; /* STATE_TASK_WAITING if it is to be placed
                                   again, else STATE_TASK_ENDED */
    uint32_t failures; /* of the task so far, as the scheduler counts */
    uint32_t losses;
};

/* Usage of a lease, cumulative since it began. */
struct state_usage_sample {
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

/*
 * Replaces the list of teams. Teams that the new list omits are removed with
 * their limits and keys. Applied: version is the list's new one. Conflict:
 * expected_version is not the current one.
 */
void
state_cmd_teams_set(struct buf *out, const struct state_actor *by,
                    uint64_t expected_version,
                    const struct state_team_item *teams, size_t count);

/*
 * Replaces the list of limits. Applied: version is the list's new one.
 * Conflict: expected_version is not the current one.
 */
void
state_cmd_limits_set(struct buf *out, const struct state_actor *by,
                     uint64_t expected_version,
                     const struct state_limit_item *limits, size_t count);

/*
 * Adds the key with this hash. team must be empty unless kind is
 * STATE_KEY_TEAM. Applied: number is the key's id.
 */
void
state_cmd_key_add(struct buf *out, const struct state_actor *by,
                  enum state_key_kind kind, struct str team,
                  const uint8_t hash[STATE_HASH_BYTES]);

/* Withdraws a key; it remains as a tombstone without its hash. */
void
state_cmd_key_delete(struct buf *out, const struct state_actor *by,
                     uint64_t id);

/*
 * Registers a VM's process or changes its address or failure domain; the
 * draining mark stays. run is the random number of the process. left means
 * that the process has stopped for good and holds no units (route's units.h).
 */
void
state_cmd_vm_put(struct buf *out, const struct state_actor *by,
                 struct str name, struct str failure_domain,
                 struct str address, uint64_t run, bool left);

/*
 * Records the promise of the VM's process (early_ns in route's units.h): its
 * requests end at least early_ms before the longest request that starts at the
 * same time would. early_seq, at least 1, is the number of the ledger's
 * record. Not found: another process is registered.
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

/*
 * Registers a worker or updates a registered one. Applied: number is the
 * worker's number.
 */
void
state_cmd_worker_put(struct buf *out, const struct state_actor *by,
                     struct str name, uint64_t incarnation, struct str rack,
                     struct str failure_domain,
                     const struct state_capacity *capacity);
void
state_cmd_worker_delete(struct buf *out, const struct state_actor *by,
                        struct str name);

/*
 * Submits a job. Applied or duplicate: number is the job's number. Conflict:
 * the team's job of this name has another body digest.
 */
void
state_cmd_job_put(struct buf *out, const struct state_actor *by, uint32_t team,
                  struct str name, const struct state_job_spec *spec,
                  const uint8_t body_digest[STATE_DIGEST_BYTES]);

/*
 * Cancels one job or, if prefix is true, every live job of the team whose name
 * starts with name. A job of which no task was ever placed becomes cancelled
 * at once; the others have their cancel flag set until a job outcome command
 * ends them. Applied: jobs lists the changed ones.
 */
void
state_cmd_job_cancel(struct buf *out, const struct state_actor *by,
                     uint32_t team, struct str name, bool prefix);

/*
 * Records placements and ends of tasks. Applied: rejects lists the items that
 * had no effect.
 */
void
state_cmd_tasks_placed(struct buf *out, const struct state_actor *by,
                       const struct state_placement *items, size_t count);
void
state_cmd_tasks_ended(struct buf *out, const struct state_actor *by,
                      const struct state_task_end *items, size_t count);

/*
 * Sets a job's state. No task may be placed, and the state must not be
 * STATE_JOB_RUNNING, which only placements set.
 */
void
state_cmd_job_outcome(struct buf *out, const struct state_actor *by,
                      uint64_t job, enum state_job_state state,
                      struct str reason);

/*
 * Adds to the teams' usage by how much each sample exceeds what the lease's
 * earlier samples reported. Applied: rejects lists samples of unknown leases.
 */
void
state_cmd_usage(struct buf *out, const struct state_actor *by,
                const struct state_usage_sample *items, size_t count);

/*
 * Creates the record of a request with an idempotency key. attempt is a number
 * that the entry gives to each request it receives; repeating a begin with the
 * same entry and attempt is applied again and gives the same number.
 * Applied: the request may run, number identifies the record. Duplicate:
 * number is the record of the first request, which state_request returns.
 * Conflict: the key was used for another request. Invalid with
 * STATE_REASON_FULL: there is no room for the record, refuse the request.
 */
void
state_cmd_request_begin(struct buf *out, const struct state_actor *by,
                        uint32_t team, struct str key,
                        const uint8_t digest[STATE_DIGEST_BYTES],
                        struct str entry, uint64_t attempt,
                        int64_t timeout_ms);

/*
 * Ends the request record with this number. A missing response, one that is
 * too large to store, or the outcome STATE_REQUEST_UNKNOWN makes the record
 * unknown. The response of a record that is already unknown is still stored.
 * STATE_REQUEST_NOT_RUN removes the record, so that a repeated request may
 * run. response may be NULL. Duplicate: the record is finished already.
 */
void
state_cmd_request_end(struct buf *out, const struct state_actor *by,
                      uint32_t team, struct str key, uint64_t number,
                      enum state_request_state outcome,
                      const struct state_response *response);

/*
 * Makes the running records of an entry unknown. Applied: changed is their
 * number.
 */
void
state_cmd_entry_lost(struct buf *out, const struct state_actor *by,
                     struct str entry);

#endif
