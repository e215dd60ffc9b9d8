#ifndef GV_STATE_VIEW_H
#define GV_STATE_VIEW_H

#include "state_types.h"

/* Look-ups in the replicated state; those by key return NULL if not found. */

struct state;

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
    bool removed; /* the record stays to name the team in usage rows */
    uint32_t live_jobs;
};

/* The list of teams, in the operator's order. */
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

/* The list of limits, in the operator's order. */
uint64_t
state_limits_version(const struct state *s);
size_t
state_limit_count(const struct state *s);
const struct state_team_limit *
state_limit_at(const struct state *s, size_t i);

/* Returns a team's limit: its own, or the default if the list omits it. */
const struct state_limit *
state_effective_limit(const struct state *s, uint32_t team);

struct state_key {
    uint64_t id;
    enum state_key_kind kind;
    uint32_t team;                  /* 0 unless kind is STATE_KEY_TEAM */
    uint8_t hash[STATE_HASH_BYTES]; /* all zeros once withdrawn */
    int64_t created_ms;
    int64_t withdrawn_ms; /* 0 while live */
};

/* Finds live keys only; the whole hash is compared in constant time. */
const struct state_key *
state_key_by_hash(const struct state *s, const uint8_t hash[STATE_HASH_BYTES]);
const struct state_key *
state_key(const struct state *s, uint64_t id);

/*
 * The functions with a cursor walk a table: *cursor is NULL at the first call,
 * and they return NULL at the end. Keys, workers, VMs and jobs come in the
 * order of their registration.
 */
const struct state_key *
state_key_next(const struct state *s, void **cursor);

struct state_vm {
    struct str name;
    struct str failure_domain;
    struct str address;
    bool draining;
    uint64_t run;       /* random number of the newest process */
    uint64_t clean_run; /* equals run if no older process can hold units */
    bool left;          /* the newest process has stopped and holds no units */
    uint64_t early_ms;  /* its promise (state_cmd_vm_promise), 0: none */
    uint64_t early_seq; /* number of the ledger's record of it, 0: none */
};

const struct state_vm *
state_vm(const struct state *s, struct str name);
const struct state_vm *
state_vm_next(const struct state *s, void **cursor);

struct state_worker {
    uint32_t number;
    uint32_t placed;      /* number of tasks that are placed on it */
    uint64_t incarnation; /* identifies the worker's current session */
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
    uint64_t lease;       /* the newest one, 0 before the first placement */
    uint64_t incarnation; /* the worker's at the newest placement */
    uint32_t worker;
    uint32_t cpu_milli; /* granted with the newest lease */
    uint32_t memory_mib;
    uint32_t accelerators;
    int32_t exit_code;
    uint16_t attempts;
    uint16_t failures; /* as counted by the scheduler */
    uint16_t losses;
    uint8_t state;   /* enum state_task_state */
    uint8_t outcome; /* enum state_task_outcome of the newest lease */
};

struct state_job {
    uint64_t number;
    uint64_t key_id; /* the key that submitted it, 0: the system */
    int64_t submitted_ms;
    int64_t ended_ms; /* 0 while live */
    struct str name;
    struct str reason;
    struct state_job_spec spec; /* without the payload once terminal */
    uint32_t team;
    uint32_t placed; /* number of tasks that are placed */
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

/*
 * Returns the job of the team that follows prev, the first one if prev is
 * NULL, and NULL at the end: the live jobs in the order of their submission,
 * then the terminal ones in the order of their end.
 */
const struct state_job *
state_team_job_next(const struct state *s, uint32_t team,
                    const struct state_job *prev);

/* Returns the highest lease number so far, 0 before the first placement. */
uint64_t
state_highest_lease(const struct state *s);

/*
 * Finds the task that a lease was granted to and whether the lease is live;
 * returns false when the lease is unknown.
 */
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

/* Returns the month of a wall time (UTC) as year * 100 + month. */
uint32_t
state_usage_month(int64_t wall_ms);
const struct state_usage *
state_usage_get(const struct state *s, uint32_t team, uint32_t month);

struct state_usage_sample;

/*
 * Returns whether applying the sample would change nothing: its usage is
 * counted already, or its lease is unknown.
 */
bool
state_usage_is_recorded(const struct state *s,
                        const struct state_usage_sample *sample);
const struct state_usage *
state_usage_next(const struct state *s, void **cursor);

struct state_audit {
    uint64_t seq;
    int64_t wall_ms;
    uint64_t key_id; /* the key that sent the command, 0: the system */
    enum state_command action;
    enum state_result_kind outcome;
    enum state_reason reason;
    uint64_t old_version; /* of the list or the configuration, 0: none */
    uint64_t new_version;
    struct str object; /* what the command changes, such as "key k7" */
};

/* Returns a command's name, such as "teams set"; never NULL. */
const char *
state_command_text(enum state_command command);

/*
 * The audit trail holds the sequence numbers from first to last; last is 0
 * while it is empty.
 */
uint64_t
state_audit_first(const struct state *s);
uint64_t
state_audit_last(const struct state *s);
const struct state_audit *
state_audit(const struct state *s, uint64_t seq);

struct state_request {
    uint64_t number;
    uint64_t attempt; /* the entry's number, see state_cmd_request_begin */
    uint32_t team;
    enum state_request_state state;
    struct str key;   /* idempotency key */
    struct str entry; /* process that accepted it, as VM:RUN (hex) */
    uint8_t digest[STATE_DIGEST_BYTES];
    int64_t begun_ms;
    int64_t timeout_ms;
    bool stored; /* finished, and the response is still stored */
    struct state_response response; /* without strings unless stored */
};

const struct state_request *
state_request(const struct state *s, uint32_t team, struct str key);
const struct state_request *
state_request_next(const struct state *s, void **cursor);

/* ---- Configuration for entries, decoded by confview.h ---- */

/* Returns a version that rises with every change of teams, limits or keys. */
uint64_t
state_config_version(const struct state *s);

/*
 * Appends to out an encoded delta from version to the current one, or the full
 * configuration if version is 0, above the current one or older than the
 * history. Appends nothing if version is the current one or the cluster is not
 * bootstrapped yet.
 */
void
state_config_since(const struct state *s, uint64_t version, struct buf *out);

#endif
