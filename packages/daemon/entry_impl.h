#ifndef GV_ENTRY_IMPL_H
#define GV_ENTRY_IMPL_H

#include "announce.h"
#include "clock.h"
#include "confview.h"
#include "control.h"
#include "entry.h"
#include "heap.h"
#include "map.h"
#include "router.h"
#include "worker.h"

/* An API call that waits for the leader's reply. */
struct forwarded_call {
    uint64_t id;
    struct front_call *call;
    uint64_t link_id;        /* that it was sent on; 0: to be sent */
    bool sent;               /* a leader may have carried it out */
    struct heap_node expiry; /* key: the call's deadline */
    struct forwarded_call *next_unsent;
    struct forwarded_call *
        *unsent_pprev; /* the pointer in the list to this one */
    bool queued;       /* in the list of those to be sent */
    /* An announcement of an endpoint, or its end; owned. */
    struct str endpoint;
    struct str worker; /* whose sync it is; owned */
    uint64_t key_id;
    uint64_t confirm_seq; /* message to the leader that confirms it; 0: the
                           * call itself is forwarded */
    struct forwarded_call *next_unconfirmed;
};

enum request_phase {
    REQUEST_COMMITTING_RECORD, /* the idempotency record is being committed */
    REQUEST_ROUTED,            /* the router decides */
    REQUEST_STORING_RESPONSE,  /* the response is being committed */
};

/* A request to a service. */
struct request {
    uint64_t id;
    struct front_call *call;
    enum request_phase phase;
    uint32_t team;
    uint64_t key_id;
    struct str service;     /* owned, as is target */
    struct str target;      /* path and query at the endpoint */
    bool sent;              /* an attempt was made */
    bool has_record;        /* has an idempotency record */
    uint64_t record_number; /* its number */
    uint64_t link_id;       /* of the Begin or End that waits for a reply */
    uint64_t message_id;    /* id of that Begin or End; 0: to be sent */
    struct front_response response; /* to give while STORING */
};

/* One attempt at an endpoint. */
struct attempt {
    uint64_t id;             /* of the upstream call */
    uint64_t request_id;     /* id; the request itself may have gone */
    uint32_t attempt_number; /* the router's */
    struct str address;
    /* Copies, because the caller may be answered before the attempt ends. */
    struct front_call *call; /* one reference */
    struct str target;
    struct attempt *next_unstarted;
};

struct known_endpoint {
    struct str id;
    struct str service;
    struct str address;
    struct str failure_domain;
    uint32_t slots;
    uint32_t connections;
    bool leaving;
    uint32_t units_held; /* units, and so connections, of this entry */
    uint64_t term;       /* of the leader that told of it last */
};

/* What the leader's grants say of it. During an upgrade it may be older. */
enum leader_protocol {
    LEADER_PROTOCOL_UNKNOWN,
    LEADER_PROTOCOL_UNTYPED, /* knows neither Renewal nor Call.worker_sync */
    LEADER_PROTOCOL_TYPED,
};

struct entry {
    struct control *control;
    struct confview *config;
    int64_t config_deadline; /* of the configuration lease */
    bool was_ready;          /* was ready since the process started */
    int64_t ready_deadline; /* ready at the latest; 0 before the first lease */
    uint64_t endpoints_listed_seq; /* last report before the list of endpoints
                                    * was complete; 0 until then */
    bool units_report_answered;    /* ... and a later one was answered */
    bool left;                     /* sends nothing any more */
    bool left_recorded;            /* ... and the state says so */
    int64_t leave_due;

    struct str leader_vm; /* owned */
    uint64_t leader_term;
    enum leader_protocol leader_protocol;
    bool report_now;     /* without waiting until it is due */
    uint64_t report_seq; /* last one sent */

    struct router *router;
    struct router_actions actions;
    struct map *endpoints; /* id to struct known_endpoint */
    uint64_t endpoints_term;
    int64_t old_endpoints_deadline; /* of those that no leader since told of */
    uint64_t endpoints_seq;
    struct map *teams; /* numbers known to the router */
    struct map *keys;  /* key ids of the current configuration */

    struct map *forwards; /* by id */
    struct heap forward_expiry;
    struct forwarded_call *unsent;
    struct announce_cache *announced;   /* whose leases it renews */
    struct forwarded_call *unconfirmed; /* wait for the leader's answer */
    bool renewal_in_flight;             /* the last message is unanswered */
    bool renewal_wanted;                /* ... and another is to follow */
    int64_t renewal_sent;
    uint64_t next_id;
    struct map *requests;            /* by id */
    struct map *keyed_requests;      /* team and key to struct request */
    struct map *requests_by_message; /* Begin or End id to request id */
    struct map *attempts;            /* by upstream id */
    struct attempt *unstarted;       /* could not be handed to the client */
    struct upstream_result *result;  /* of the attempt that has just ended */
    int64_t sweep_due;
};

/* entry.c */
void
entry_endpoint_free(struct known_endpoint *k);

/* entry_report.c */
void
entry_send_report(struct entry *e, struct link *to);

/*
 * entry_grant.c: endpoints announce themselves to a new leader within their
 * lease. Until then those that its predecessor told of stay in use.
 */
void
entry_remove_old_endpoints(struct entry *e);

/* entry_http.c */

/* Answers with an error body. */
void
front_refuse(struct front_call *call, int status, const char *code,
             const char *message, const char *outcome, int retry_after_s);

/* Hashes a bearer key as the state stores it. */
void
key_hash(struct str key, uint8_t hash[STATE_HASH_BYTES]);

/* forward.c */
void
forward_call(struct entry *e, struct front_call *call);
void
forward_worker_sync(struct entry *e, struct front_call *call,
                    struct str worker);
void
forward_link_down(struct entry *e, const struct link *l);
void
forward_step(struct entry *e);

/* Asks the leader again, without waiting, for what callers wait for. */
void
forward_end_long_polls(struct entry *e);
void
forward_destroy(struct entry *e);

/* Registers a call that is neither sent nor queued yet. */
struct forwarded_call *
forward_create(struct entry *e, struct front_call *call);

/* forward_step sends it, an announcement once its arrival is known in the
 * leader's time. */
void
forward_queue(struct entry *e, struct forwarded_call *f);
void
forward_free(struct entry *e, struct forwarded_call *f);

/* entry_announce.c */

/* An announcement of an endpoint, or its end. */
void
announce_call(struct entry *e, struct front_call *call, struct str id);

/* The leader has accepted a forwarded announcement. */
void
announce_granted(struct entry *e, const struct forwarded_call *f,
                 const Wire__Reply *reply);

/* Whether the call may be sent; an announcement waits for the leader's time.
 */
bool
announce_sendable(const struct entry *e, const struct forwarded_call *f);

/* When the call arrived, in the leader's time; false when that is unknown. */
bool
announce_arrival(const struct entry *e, const struct forwarded_call *f,
                 Wire__Arrival *out);
void
announce_unlink_unconfirmed(struct entry *e, struct forwarded_call *f);

/* A grant of the leader tells which messages it knows. */
void
entry_set_leader_protocol(struct entry *e, bool typed);
void
announce_leader_changed(struct entry *e);
void
announce_step(struct entry *e, struct link *leader);
int64_t
announce_next_deadline(const struct entry *e);

/* forward_sync.c */

/* A worker's sync as a typed message; owns what the message points to. */
struct typed_sync {
    struct json_doc *doc;
    struct worker_sync sync;
    Wire__WorkerSync wire;
    Wire__WorkerFinished *finished;
    Wire__WorkerFinished **pointers;
    uint64_t *numbers;
};

/* Returns false when the call is another, or the leader is to refuse it. */
bool
forward_sync_build(const struct forwarded_call *f, struct typed_sync *out);
void
forward_sync_free(struct typed_sync *m);
void
forward_sync_render(const Wire__WorkerAnswer *wire, struct buf *body);

/* serve.c */
void
serve_call(struct entry *e, struct front_call *call, struct str service,
           struct str rest);
void
serve_caller_gone(struct entry *e, const struct front_call *call);
void
serve_link_down(struct entry *e, const struct link *l);
void
serve_step(struct entry *e);
void
serve_destroy(struct entry *e);

/* Steps the router and carries out its actions. */
void
serve_router_event(struct entry *e, const struct router_event *event);

#endif
