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
    /* Added to each lease for the resolution of timers and the latency of a
     * wake-up. */
    LEASE_MARGIN_MS = 200,
    /* The response is sent this long before the caller's deadline. */
    CALL_MARGIN_MS = 300,
    USAGE_FLUSH_MS = 2000, /* longest time between usage commands */
};

struct call;
struct worker_session;

/* ---- API calls ---- */

/* An HTTP call that an entry forwarded. Sending its response frees it. */
struct call {
    struct call *prev;
    struct call *next;
    struct leader *leader;
    uint64_t link_id; /* to the entry */
    uint64_t id;      /* that the entry gave it */
    enum http_method method;
    struct buf text; /* storage of the strings below and in sync */
    struct str path;
    struct str query;
    struct str idempotency_key;
    struct str if_match;
    struct str body;
    struct api_match match;
    uint64_t key_id;
    uint32_t team;
    int64_t deadline; /* time by which to respond */
    void (*applied)(struct call *call, const struct state_result *result);
    struct call *wait_next; /* in config_waits or a list of job_waits */
    uint64_t target_number; /* of the job or key that it concerns */
    bool waits_for_job;
    uint64_t version;         /* of the configuration that is waited for */
    uint64_t list_version;    /* shown in the response */
    int status;               /* of the response after the wait */
    const char *content_type; /* NULL: JSON */
    struct buf answer;        /* its body; empty: in_force is rendered */
    struct json_doc *doc;     /* owns a parsed body */
    /* Of an announcement of an endpoint: when it arrived, at which entry
     * process, and the claim that this process gets. */
    struct announce_interval arrived;
    uint64_t run;
    uint64_t group;
    uint64_t claim;
    struct worker_sync sync;
    bool is_protobuf; /* sync arrived as a message; the entry renders JSON */
};

/* Responds with the body, which is freed, and frees the call. */
void
call_respond(struct call *call, int status, struct buf *body);

/* Responds to a sync with a message, from which the entry renders JSON. */
void
call_respond_worker_answer(struct call *call,
                           const Wire__WorkerAnswer *answer);
void
call_fail(struct call *call, int status, const char *code, const char *field,
          const char *message);
void
call_fail_api(struct call *call, const struct api_error *error);

/* Responds with the HTTP error for a command that was not applied. */
void
call_fail_state(struct call *call, const struct state_result *result);

/* Replies that this process no longer leads: the entry asks the new leader. */
void
call_fail_not_leader(struct call *call);

/* Fails the held calls, but for one, that were made with a withdrawn key. */
void
calls_refuse_withdrawn_key(struct leader *l, uint64_t key_id,
                           const struct call *except);

/*
 * Proposes a command, which is freed. applied gets the result, and responds or
 * holds the call. Fails the call if too much is uncommitted or leadership is
 * lost.
 */
void
call_propose(struct call *call, struct buf *command,
             void (*applied)(struct call *call,
                             const struct state_result *result));

/* Returns the actor of a command that this call proposes. */
struct state_actor
call_actor(const struct call *call);

/* Returns a job's status with its tasks counted by state. */
struct caller_job_status
job_describe(const struct state_job *job);

/* Returns a fraction in parts per million, rounded. */
uint32_t
fraction_to_ppm(double part);

/* Adds the workers that are up and their capacity to out. */
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

/* Responds to the calls that wait for the job's end, if it has ended. */
void
job_answer_waiting(struct leader *l, uint64_t number);

/* Removes a call from the list of calls that wait for its job. */
void
job_wait_remove(struct call *call);

/* Responds to calls that have waited until their deadline. */
void
jobs_step(struct leader *l);

/* ---- Placement ---- */

/* A lease that was placed and whose end is not committed. */
struct lease_record {
    uint64_t lease;
    uint64_t job;
    uint32_t task;
    uint32_t worker;
    uint64_t incarnation; /* of the worker */
    uint64_t stop_seq; /* of the sync first answered with its stop; 0: none */
    struct sched_size size;
    bool committed; /* the placement is */
    bool offered;   /* the scheduler returned START, or restored */
    bool running;   /* the worker reported it */
    bool ended;     /* the worker reported its end, or its lease expired */
    bool stop;      /* the worker is to stop it; likewise the next two */
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

/* Sends an event to the scheduler and handles the actions that it returns. */
void
placement_send_event(struct leader *l, const struct sched_event *event);

/* Tell the scheduler of a team or job in the state, or of a cancelled job. */
void
placement_update_team(struct leader *l, const struct state_team *team);
void
placement_add_job(struct leader *l, const struct state_job *job);
void
placement_cancel_job(struct leader *l, uint64_t job);

/* Runs a tick of the scheduler if one is due; proposes its decisions. */
void
placement_step(struct leader *l);

/* ---- Workers ---- */

struct worker_session {
    uint32_t number;
    struct str name;
    uint64_t incarnation;
    uint64_t seq; /* of the last sync */
    bool up;      /* the scheduler knows it as up, with its capacity */
    bool draining;
    bool quarantined;
    struct heap_node expiry;   /* key: certain end of the lease */
    struct heap_node hold_end; /* key: latest time to answer held_call */
    struct call *held_call;    /* a sync, or NULL */
    struct lease_record *leases;
    uint64_t *acks; /* leases whose reported ends are committed */
    size_t ack_count;
    size_t ack_cap;
    uint64_t *stops; /* reported leases that the leader does not know */
    size_t stop_count;
    size_t stop_cap;
    bool answer_queued; /* in the leader's answer_queue */
    struct worker_session *answer_next;
};

void
workers_create(struct leader *l);

/*
 * Must be called before a lease of that incarnation is restored. An
 * incarnation that is not the worker's latest does not report any more, so
 * its leases are set to expire.
 */
void
worker_restore_incarnation(struct leader *l, uint32_t worker,
                           uint64_t incarnation);
void
workers_destroy(struct leader *l);

/* Returns the session of a registered worker; creates it if necessary. */
struct worker_session *
worker_session_get(struct leader *l, uint32_t number);

/* Queues an answer to the worker's held sync, if there is one. */
void
worker_queue_answer(struct leader *l, struct worker_session *w);

/* Detaches a held sync from its session; false if the call is not one. */
bool
worker_release_call(struct leader *l, const struct call *call);

/* Tells the worker that the end of a lease is committed. */
void
worker_ack_finished(struct leader *l, struct worker_session *w,
                    uint64_t lease);
void
workers_step(struct leader *l);
int64_t
workers_next_deadline(const struct leader *l);

/*
 * worker_wire.c: fills the call from a message. Returns false if the worker's
 * name is empty or too long.
 */
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
    uint64_t changed_seq; /* endpoint_seq of its last change */
};

/* A removed endpoint, kept so that entries can be told. */
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

/* Revokes the claims of endpoints that were announced with the key. */
void
endpoints_revoke_key(struct leader *l, uint64_t key_id);

/* Changes of endpoints for a grant. The strings belong to the leader. */
struct endpoint_changes {
    Wire__Endpoint *list;
    Wire__Endpoint **pointers;
    size_t count;
    char **removed;
    size_t removed_count;
};

/*
 * Sets out to the changes after seq, or to all endpoints when full is set. The
 * caller frees it with endpoint_changes_free.
 */
void
endpoints_collect_changes(const struct leader *l, uint64_t seq, bool full,
                          struct endpoint_changes *out);
void
endpoint_changes_free(struct endpoint_changes *c);

/* ---- Entries ---- */

struct entry_record {
    struct str vm;
    uint64_t link_id;
    uint64_t run;            /* of its process; 0: none has reported */
    uint64_t config_version; /* applied */
    uint64_t endpoints_seq;  /* applied; 0: none of this leader's */
    bool draining;
    int64_t lease_end;     /* of the configuration lease */
    int64_t old_lease_end; /* of earlier processes of this VM */
    int64_t reported_at;   /* 0: not to this leader */
};

void
entries_create(struct leader *l);
void
entries_destroy(struct leader *l);
void
entries_step(struct leader *l);

/* Sends changes of teams, limits and keys to entries that lack them. */
void
entries_send_config(struct leader *l);

/*
 * Whether every entry has applied that version of the configuration or has no
 * valid configuration lease.
 */
bool
entries_in_force(const struct leader *l, uint64_t version);
const struct entry_record *
entries_find(const struct leader *l, struct str vm);

/*
 * Holds the call until the version of the configuration is in force on all
 * entries and no team is above its limits, or until the call's deadline. Then
 * responds with call->status and call->answer. If the answer is empty, the
 * body gives call->list_version and whether the configuration is in force.
 */
void
config_wait_add(struct call *call, uint64_t version);
void
config_waits_step(struct leader *l);

/* ---- Records of requests with an idempotency key ---- */

void
requests_create(struct leader *l);
void
requests_destroy(struct leader *l);

/*
 * The process run of the VM has reported: requests that other processes of
 * the VM began are lost.
 */
void
requests_mark_lost(struct leader *l, struct str vm, uint64_t run);
void
requests_step(struct leader *l);

/* ---- The leader ---- */

struct leader {
    struct control *control;
    struct replica *replica;
    uint64_t term;

    struct call *calls;        /* all that have no response yet */
    struct call *config_waits; /* that wait for a configuration */
    struct map *job_waits;     /* job number to a list of calls */

    struct leader_metrics *metrics;
    struct sched *sched;
    struct sched_actions actions;
    struct map *leases; /* lease number to struct lease_record */
    struct state_placement *placements;
    size_t placement_count;
    size_t placement_cap;
    struct state_task_end *ends;
    size_t end_count;
    size_t end_cap;
    struct sched_outcome_action *outcomes;
    size_t outcome_count;
    size_t outcome_cap;
    struct map
        *usage; /* lease number to struct state_usage_sample to propose */
    int64_t usage_due; /* when to propose them */

    struct map *workers; /* number to struct worker_session */
    struct heap worker_expiry;
    struct heap held_syncs;
    struct heap old_incarnations;        /* by lease end */
    struct worker_session *answer_queue; /* whose held sync to answer */

    struct map *endpoints;            /* id to struct endpoint_record */
    struct announce_table *announced; /* leases of endpoints */
    int64_t endpoints_complete_at; /* all endpoints have announced by then */
    uint64_t endpoint_seq;         /* number of the last change */
    uint64_t removals_dropped_seq; /* last removal that was dropped */
    struct endpoint_removal *removal_first;
    struct endpoint_removal *removal_last;
    size_t removal_count;
    uint64_t sent_endpoint_seq;      /* last change sent to entries */
    uint64_t promises_checked_index; /* of the state last checked */
    bool promises_pending;           /* some are proposed, not applied */

    struct map *entries; /* VM to struct entry_record */
    struct ledger *ledger;
    uint64_t sent_config_version; /* last version sent to entries */

    struct map *request_owners; /* entry tag to struct request_owner */
    int64_t owners_due;         /* time of the next check for lost ones */
};

/* Returns when a lease of ms that is granted now has certainly ended. */
int64_t
leader_lease_end(const struct leader *l, uint32_t ms);
const struct state *
leader_state(const struct leader *l);

/* Commits the initial state of a new cluster, as far as it is missing. */
void
leader_bootstrap(struct leader *l);

/* Returns the actor of commands that no API call caused. */
struct state_actor
leader_system_actor(void);

#endif
