#ifndef GV_LEADER_IMPL_H
#define GV_LEADER_IMPL_H

#include "announce.h"
#include "api.h"
#include "caller.h"
#include "clock.h"
#include "control.h"
#include "heap.h"
#include "leader.h"
#include "leader_metrics.h"
#include "ledger.h"
#include "map.h"
#include "operator.h"
#include "replica.h"
#include "sched.h"
#include "state.h"
#include "worker.h"

enum {
    /* Allowance for the resolution of timers and the cost of a wake-up. */
    LEASE_MARGIN_MS = 200,
    /* A call is answered this long before its caller gives up. */
    CALL_MARGIN_MS = 300,
    USAGE_FLUSH_MS = 2000,
};

struct call;
struct worker_session;

/* ---- API calls ---- */

/* An HTTP call that an entry forwarded; freed by its one response. */
struct call {
    struct call *prev;
    struct call *next;
    struct leader *leader;
    uint64_t link_id;
    uint64_t id;
    enum http_method method;
    struct buf text; /* holds the strings below */
    struct str path;
    struct str query;
    struct str idempotency_key;
    struct str if_match;
    struct str body;
    struct api_match match;
    uint64_t key_id;
    uint32_t team;
    int64_t deadline; /* to answer by */
    void (*applied)(struct call *call, const struct state_result *result);
    struct call *wait_next; /* in a list of calls that wait */
    uint64_t target_number; /* number of the job or key it is about */
    bool waits_for_job;
    uint64_t version;         /* configuration version to be in force */
    uint64_t list_version;    /* to show in the response */
    int status;               /* of the response once in force */
    const char *content_type; /* NULL: JSON */
    struct buf answer;        /* the body once in force */
    struct json_doc *doc;     /* owns a parsed body */
    /* Of an announcement: when it arrived, at which process, and the claim
     * that the process gets. */
    struct announce_when arrived;
    uint64_t run;
    uint64_t group;
    uint64_t claim;
    struct worker_sync sync;
    bool is_protobuf; /* the entry has parsed it, and renders the answer */
};

/* Responds with a JSON body, which is taken over, and frees the call. */
void
call_respond(struct call *call, int status, struct buf *body);

/* The entry renders the body. */
void
call_respond_worker_answer(struct call *call,
                           const Wire__WorkerAnswer *answer);
void
call_fail(struct call *call, int status, const char *code, const char *field,
          const char *message);
void
call_fail_api(struct call *call, const struct api_error *error);

/* A refusal or conflict of the state machine as an HTTP error. */
void
call_fail_state(struct call *call, const struct state_result *result);

/* This process no longer leads: the entry is to ask the new leader. */
void
call_fail_not_leader(struct call *call);

/* Refuses the calls that are held for a key that was withdrawn. */
void
calls_refuse_withdrawn_key(struct leader *l, uint64_t key_id,
                           const struct call *except);

/* Proposes a command; call->applied runs with the result. */
void
call_propose(struct call *call, struct buf *command,
             void (*applied)(struct call *call,
                             const struct state_result *result));

/* Who acts, for a command made from this call. */
struct state_actor
call_actor(const struct call *call);

/* A job with its tasks counted by state. */
struct caller_job_status
job_describe(const struct state_job *job);

/* Parts per million, rounded. */
uint32_t
fraction_to_ppm(double part);

/* Sums up workers and their capacity. */
void
leader_count_workers(const struct leader *l, struct operator_status *out);

/* Handlers by route. */
void
api_job_put(struct call *call);
void
api_job_get(struct call *call);
void
api_job_list(struct call *call);
void
api_job_cancel(struct call *call);
void
api_list_get(struct call *call);
void
api_list_put(struct call *call);
void
api_key_create(struct call *call);
void
api_key_list(struct call *call);
void
api_key_delete(struct call *call);
void
api_audit(struct call *call);
void
api_usage(struct call *call);
void
api_status(struct call *call);
void
api_vm_list(struct call *call);
void
api_vm_drain(struct call *call);
void
api_worker_list(struct call *call);
void
api_endpoint_list(struct call *call);
void
api_team_list(struct call *call);
void
api_endpoint_put(struct call *call);
void
api_endpoint_delete(struct call *call);
void
api_worker_sync(struct call *call);

/* The state of a job has changed: answers calls that wait for its end. */
void
job_answer_waiting(struct leader *l, uint64_t number);

/* Takes a call off the list of those that wait for its job. */
void
job_wait_remove(struct call *call);

/* Answers calls whose time to wait has passed. */
void
jobs_step(struct leader *l);

/* ---- Placement ---- */

/* A lease that is placed and not known to have ended. */
struct lease_record {
    uint64_t lease;
    uint64_t job;
    uint32_t task;
    uint32_t worker;
    uint64_t incarnation;
    struct sched_size size;
    bool committed;
    bool offered; /* START was given, or restored from the state */
    bool running;
    bool ended; /* the worker reported its end, or its lease expired */
    bool stop;
    bool checkpoint;
    bool throttle;
    bool throttle_sent;
    enum state_task_outcome outcome;
    int32_t exit_code;
    struct lease_record *prev; /* of the same worker */
    struct lease_record *next;
};

void
placement_create(struct leader *l);
void
placement_destroy(struct leader *l);
void
placement_send_event(struct leader *l, const struct sched_event *event);
void
placement_update_team(struct leader *l, const struct state_team *team);
void
placement_add_job(struct leader *l, const struct state_job *job);
void
placement_cancel_job(struct leader *l, uint64_t job);

/* Ticks the scheduler and proposes what it decided. */
void
placement_step(struct leader *l);

/* ---- Workers ---- */

struct worker_session {
    uint32_t number;
    struct str name;
    uint64_t incarnation;
    uint64_t seq;
    bool up; /* the scheduler knows it */
    bool draining;
    bool quarantined;
    struct heap_node expiry; /* key: when its lease has certainly ended */
    struct heap_node poll;   /* key: when the held call is answered */
    struct call *call;       /* held sync, or NULL */
    struct lease_record *leases;
    uint64_t *acks;
    size_t ack_count;
    size_t ack_cap;
    uint64_t *stops; /* leases to stop that the leader does not know */
    size_t stop_count;
    size_t stop_cap;
    bool answer_queued; /* in the list of sessions to answer */
    struct worker_session *answer_next;
};

void
workers_create(struct leader *l);

/* A lease of that incarnation is about to be restored: one that is not the
 * worker's latest will not be reported again and only expires. */
void
worker_restore_incarnation(struct leader *l, uint32_t worker,
                           uint64_t incarnation);
void
workers_destroy(struct leader *l);
struct worker_session *
worker_session_get(struct leader *l, uint32_t number);

/* The session has something to tell its worker. */
void
worker_queue_answer(struct leader *l, struct worker_session *w);

/* Takes a held sync from its session; false when the call is not one. */
bool
worker_release_call(struct leader *l, const struct call *call);

/* The end of a lease is committed: the worker may forget it. */
void
worker_ack_finished(struct leader *l, struct worker_session *w,
                    uint64_t lease);
void
workers_step(struct leader *l);
int64_t
workers_next_deadline(const struct leader *l);

/* worker_typed.c: false when the name is empty or too long. */
bool
worker_wire_decode(struct call *call, const Wire__WorkerSync *wire);
void
worker_wire_free(struct call *call);
void
worker_wire_respond(struct call *call, const struct worker_answer *a);

/* ---- Endpoints ---- */

struct endpoint_record {
    struct str id;
    struct str service;
    struct str address;
    struct str failure_domain;
    uint32_t slots;
    uint32_t connections;
    bool leaving;
    uint64_t changed_seq; /* number of its last change */
};

/* Remembers a removal until every entry has heard of it. */
struct endpoint_removal {
    struct str id;
    uint64_t changed_seq;
    struct endpoint_removal *next;
};

void
endpoints_create(struct leader *l);
void
endpoints_destroy(struct leader *l);
void
endpoints_step(struct leader *l);

/* Entries may not renew endpoints that were announced with the key. */
void
endpoints_revoke_key(struct leader *l, uint64_t key_id);

/* Adds the changes after seq to a grant, or all when full is set. */
struct endpoint_changes {
    Wire__Endpoint *list;
    Wire__Endpoint **pointers;
    size_t count;
    char **removed;
    size_t removed_count;
};

void
endpoints_collect_changes(const struct leader *l, uint64_t seq, bool full,
                          struct endpoint_changes *out);
void
endpoint_changes_free(struct endpoint_changes *c);

/* ---- Entries ---- */

struct entry_record {
    struct str vm;
    uint64_t link_id;
    uint64_t run;
    uint64_t config_version; /* applied */
    uint64_t endpoints_seq;  /* confirmed; 0: none of this leader's */
    bool draining;
    int64_t lease_end;     /* of the configuration lease */
    int64_t old_lease_end; /* of an earlier process of this VM */
    int64_t reported_at;
};

void
entries_create(struct leader *l);
void
entries_destroy(struct leader *l);
void
entries_step(struct leader *l);

/* Teams, limits or keys changed: sends the change to all entries. */
void
entries_send_config(struct leader *l);

/* Whether every entry has applied the version or can no longer serve. */
bool
entries_in_force(const struct leader *l, uint64_t version);
const struct entry_record *
entries_find(const struct leader *l, struct str vm);

/* Responds with call->status and call->answer once call->version is in force
 * everywhere, or, when the call's deadline comes first, tells so. */
void
config_wait_add(struct call *call, uint64_t version);
void
config_waits_step(struct leader *l);

/* ---- Records of requests with an idempotency key ---- */

void
requests_create(struct leader *l);
void
requests_destroy(struct leader *l);

/* Another process of this VM has reported: what ran on older ones is lost. */
void
requests_mark_lost(struct leader *l, struct str vm, uint64_t run);
void
requests_step(struct leader *l);

/* ---- The leader ---- */

struct leader {
    struct control *control;
    struct replica *replica;
    uint64_t term;

    struct call *calls;        /* all that are not answered */
    struct call *config_waits; /* wait for a configuration to be in force */
    struct map *job_waits;     /* job number to a list of calls */

    struct leader_metrics *metrics;
    struct sched *sched;
    struct sched_actions actions;
    struct map *leases; /* lease number to struct lease_record */
    struct state_placement *placements;
    size_t placement_count;
    size_t placement_cap;
    struct state_end *ends;
    size_t end_count;
    size_t end_cap;
    struct sched_outcome_action *outcomes;
    size_t outcome_count;
    size_t outcome_cap;
    struct map *usage; /* lease number to struct state_sample */
    int64_t usage_due;

    struct map *workers; /* number to struct worker_session */
    struct heap worker_expiry;
    struct heap worker_polls;
    struct heap old_incarnations; /* earlier processes, by lease end */
    struct worker_session *answer_queue;

    struct map *endpoints;            /* id to struct endpoint_record */
    struct announce_table *announced; /* their leases */
    int64_t endpoints_complete_at;    /* all had time to announce themselves */
    uint64_t endpoint_seq;
    uint64_t removals_dropped_seq; /* removals up to here are forgotten */
    struct endpoint_removal *removal_first;
    struct endpoint_removal *removal_last;
    size_t removal_count;
    uint64_t sent_endpoint_seq; /* last change sent to all entries */
    uint64_t
        promises_checked_index; /* of the state that was told to the ledger */
    bool promises_pending;      /* some are proposed and not applied */

    struct map *entries; /* VM to struct entry_record */
    struct ledger *ledger;
    uint64_t sent_config_version;

    struct map *request_owners; /* entry tag to struct request_owner */
    int64_t owners_due;
};

/* When a lease of length ms that is granted now has certainly ended. */
int64_t
leader_lease_end(const struct leader *l, uint32_t ms);
const struct state *
leader_state(const struct leader *l);

/* Commits what a new cluster lacks; does nothing on an existing one. */
void
leader_bootstrap(struct leader *l);

/* An actor for commands of the system itself. */
struct state_actor
leader_system_actor(void);

#endif
