#ifndef GV_STATE_IMPL_H
#define GV_STATE_IMPL_H

#include "map.h"
#include "numtab.h"
#include "snapshot_cow.h"
#include "state.h"
#include "state.pb-c.h"

/* How many records of one kind a command may drop because their retention time
 * has passed. Bounds the time that state_apply takes. */
#define EXPIRE_BATCH 64

/* The end of the year 9999, in milliseconds since the epoch. */
#define WALL_MS_MAX INT64_C(253402300799999)

struct job {
    struct state_job pub; /* first: state_team_job_next casts it to its job */
    struct job *prev;     /* in the team's list of live or of ended jobs */
    struct job *next;
    struct job *end_next; /* in the list of all teams' ended jobs */
    uint64_t end_seq;     /* rises with each job that ends, 0 while live */
    bool ever_placed;     /* a task was placed at least once */
    uint32_t saved_in;    /* id of the last snapshot with a copy of the job */
    struct state_task tasks[];
};

struct job_list {
    struct job *first;
    struct job *last;
};

struct team {
    struct state_team pub;
    struct job_list live;
    struct job_list ended;
    struct state_limit limit;
    bool has_limit;   /* the list of limits names the team */
    bool in_new_list; /* used only while a list is being replaced */
};

struct lease {
    uint64_t number;
    uint64_t job;
    uint32_t task;
    uint32_t team;
    uint64_t cpu_ms;
    uint64_t memory_mib_s;
    uint64_t accelerator_ms;
    int64_t ended_ms;   /* -1 while live */
    struct lease *next; /* in the list of ended leases, oldest first */
};

struct request {
    struct state_request pub;
    struct request *prev; /* in the list of running or of stored requests */
    struct request *next;
    uint64_t store_seq; /* rises with each stored response, 0: none */
    uint32_t saved_in;  /* id of the last snapshot with a copy of it */
};

struct request_list {
    struct request *first;
    struct request *last;
};

/* A configuration change in the encoding that entries receive. */
struct change {
    uint64_t version;
    struct str bytes;
};

/* The result of the first operator command with an idempotency key; repeated
 * commands are answered from it. */
struct operator_result {
    struct str scope; /* 8 bytes of key id, then the idempotency key */
    uint8_t digest[STATE_DIGEST_BYTES];
    int64_t wall_ms;
    struct state_first_result first;
};

struct state {
    uint64_t index;
    uint64_t cluster_id;
    struct state_settings settings;
    struct state_member *members;
    size_t member_count;
    int64_t wall_ms; /* clock of retention, see retention.c */
    uint64_t teams_version;
    uint64_t limits_version;
    uint64_t config_version;
    uint32_t next_team;
    uint32_t next_worker;
    uint64_t next_key;
    uint64_t next_job;
    uint64_t next_request;
    uint64_t next_end;   /* end_seq of the next job that ends */
    uint64_t next_store; /* store_seq of the next stored response */
    uint64_t highest_lease;

    struct map *teams;         /* number to struct team */
    struct map *teams_by_name; /* teams that are not removed */
    struct team **team_order;
    size_t team_count;
    struct state_team_limit *limits;
    size_t limit_count;

    struct map *keys;         /* id to struct state_key */
    struct map *keys_by_hash; /* first 8 bytes of a live key's hash */
    size_t withdrawn_key_count;

    struct change *history; /* ring buffer of STATE_HISTORY_MAX */
    size_t history_first;
    size_t history_count;

    struct state_audit *audit; /* ring buffer of audit_cap */
    size_t audit_cap;
    size_t audit_first;
    size_t audit_count;
    uint64_t audit_last;
    struct map *operator_results; /* scope to struct operator_result */

    struct map *vms;     /* name to struct state_vm */
    struct map *workers; /* number to struct state_worker */
    struct map *workers_by_name;

    struct numtab jobs;       /* number to struct job */
    struct map *jobs_by_name; /* 4 bytes of team, then the name */
    struct job *ended_job_first;
    struct job *ended_job_last;
    size_t ended_job_count;
    size_t live_job_count;
    size_t live_payload_bytes;

    struct numtab leases; /* number to struct lease */
    struct lease *ended_lease_first;
    struct lease *ended_lease_last;
    size_t ended_lease_count;
    struct map *usage; /* team << 32 | month to struct state_usage */

    struct map *requests; /* 4 bytes of team, then the key */
    struct request_list running_requests;
    struct request_list stored_requests;
    uint64_t stored_response_bytes;

    struct snapshot *snapshot; /* in progress, or NULL */
    uint32_t snapshot_id;      /* rises with each snapshot that begins */

    /* Storage that the last result points to. */
    uint64_t *changed_jobs;
    size_t changed_cap;
    struct state_reject *rejects;
    size_t reject_cap;
};

/* The command that is being applied. */
struct apply {
    struct state *s;
    const State__Command *cmd;
    struct state_result *result;
    char object_buf[STATE_NAME_MAX + 64];
    struct str object; /* what is changed, for the audit trail */
    uint64_t old_version;
    uint64_t new_version;
};

/* ---- results ---- */

void
result_applied(struct apply *a, uint64_t version, uint64_t number,
               size_t changed);
void
result_conflict(struct apply *a, uint64_t version, enum state_reason reason);
void
result_invalid(struct apply *a, enum state_reason reason);
void
result_not_found(struct apply *a, enum state_reason reason);
void
result_duplicate(struct apply *a, const struct state_first_result *first);
void
result_reject(struct apply *a, size_t item, enum state_reason reason);
void
result_changed_job(struct apply *a, uint64_t job);

/* ---- protobuf ---- */

ProtobufCBinaryData
proto_bin(struct str s);
struct str
proto_str(ProtobufCBinaryData b);
bool
proto_digest(ProtobufCBinaryData b, uint8_t out[STATE_DIGEST_BYTES]);
void
proto_append(struct buf *out, const ProtobufCMessage *message);
void
proto_limit_write(State__Limit *to, const struct state_limit *from);
void
proto_spec_write(State__JobSpec *to, const struct state_job_spec *from);

/* Returns false when a field is out of range. The strings point into the
 * message. */
bool
proto_spec_read(const State__JobSpec *from, struct state_job_spec *to);
struct state_limit
proto_limit_read(const State__Limit *from);
void
proto_settings_read(struct state_settings *to, const State__Settings *from);
bool
name_valid(struct str name);
bool
name_valid_or_empty(struct str name);

/* ---- command handlers, grouped by file ---- */

void
apply_bootstrap(struct apply *a);
void
apply_teams_set(struct apply *a);
void
apply_limits_set(struct apply *a);
void
apply_key_add(struct apply *a);
void
apply_key_delete(struct apply *a);
void
apply_vm_put(struct apply *a);
void
apply_vm_drain(struct apply *a);
void
apply_vm_delete(struct apply *a);
void
apply_worker_put(struct apply *a);
void
apply_worker_delete(struct apply *a);
void
apply_job_put(struct apply *a);
void
apply_job_cancel(struct apply *a);
void
apply_tasks_placed(struct apply *a);
void
apply_tasks_ended(struct apply *a);
void
apply_job_outcome(struct apply *a);
void
apply_usage(struct apply *a);
void
apply_request_begin(struct apply *a);
void
apply_request_end(struct apply *a);
void
apply_entry_lost(struct apply *a);

/* ---- tables and lists of the state ---- */

void
state_members_free(struct state *s);
void
members_set(struct state *s, State__Member **members, size_t count);

struct team *
team_by_number(const struct state *s, uint32_t number);
struct team *
team_find_live(const struct state *s, uint32_t number);
struct team *
team_add(struct state *s, uint32_t number, struct str name, uint32_t weight);
void
team_free(struct team *team);

struct state_key *
key_find_live(const struct state *s, uint64_t id);
struct state_key *
key_insert(struct state *s, const struct state_key *from);
void
key_withdraw(struct state *s, struct state_key *key);

/* Withdraws a removed team's keys and appends their ids to the array, which
 * the caller frees. */
void
keys_withdraw_team(struct state *s, uint32_t team, uint64_t **ids,
                   size_t *count);
void
keys_expire(struct state *s);
uint64_t
key_hash_prefix(const uint8_t hash[STATE_HASH_BYTES]);

/* Assigns the next configuration version to the change and adds it to the
 * history. */
void
config_record(struct state *s, State__ConfigChange *change);
void
config_history_add(struct state *s, uint64_t version, struct str bytes);

void
audit_append(struct apply *a);
struct state_audit *
audit_push(struct state *s, uint64_t seq);

/* Returns true if the command repeats an earlier one and the result is set:
 * duplicate, or conflict if the digests differ. */
bool
operator_result_replay(struct apply *a);
void
operator_result_record(struct apply *a);
void
operator_result_insert(struct state *s, const struct operator_result *from);
void
operator_result_free(struct operator_result *record);
void
operator_results_expire(struct state *s);

void
vm_insert(struct state *s, const struct state_vm *from);
void
vm_free(struct state_vm *vm);
struct state_worker *
worker_insert(struct state *s, const struct state_worker *from);
void
worker_free(struct state_worker *worker);

struct job *
job_by_number(const struct state *s, uint64_t number);
struct job *
job_create(const struct state_job *from);
void
job_insert(struct state *s, struct job *job);
void
job_end(struct state *s, struct job *job, enum state_job_state state);

/* Appends a terminal job to its team's and the global list of ended jobs. */
void
job_link_ended(struct state *s, struct job *job);
void
job_set_reason(struct job *job, struct str reason);
void
job_free(struct job *job);
void
jobs_expire(struct state *s);

struct lease *
lease_by_number(const struct state *s, uint64_t number);
struct lease *
lease_insert(struct state *s, const struct lease *from);
void
lease_end(struct state *s, struct lease *lease);
void
lease_link_ended(struct state *s, struct lease *lease);
void
leases_expire(struct state *s);
void
usage_add(struct state *s, const struct state_usage *delta);

/* Returns the request that was added after r, or NULL. */
struct request *
request_after(const struct state *s, const struct request *r);
struct request *
request_insert(struct state *s, const struct state_request *from);
void
request_link(struct request_list *list, struct request *r);
void
request_store(struct state *s, struct request *r,
              const struct state_response *response);
void
request_free(struct request *r);
void
requests_expire(struct state *s);

/* ---- retention.c ---- */

void
retention_update_clock(struct state *s, int64_t wall_ms);
void
retention_expire(struct state *s);

/* ---- checks of the key that sent the command ----
 *
 * They set the result and return false if the key may not send it. */

bool
actor_is_operator(struct apply *a);
bool
actor_may_use_team(struct apply *a, uint32_t team);

#endif
