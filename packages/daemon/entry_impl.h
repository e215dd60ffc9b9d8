#ifndef GV_ENTRY_IMPL_H
#define GV_ENTRY_IMPL_H

#include "announce.h"
#include "clock.h"
#include "confview.h"
#include "control.h"
#include "entry.h"
#include "entry_readiness.h"
#include "heap.h"
#include "map.h"
#include "router.h"
#include "worker.h"

/* An API call that is forwarded to the leader and waits for its reply. */
struct forwarded_call {
    uint64_t id;
    struct front_call *call;
    uint64_t link_id;        /* link that it was sent on; 0: to be sent */
    bool sent;               /* at least once: a leader may have executed it */
    struct heap_node expiry; /* key: deadline of the call */
    struct forwarded_call *next_unsent;
    struct forwarded_call **unsent_pprev; /* the pointer to this one */
    bool queued;                          /* in the list entry.unsent */
    /* Id of the endpoint that it announces or deletes, owned; empty: it does
     * neither. */
    struct str endpoint;
    struct str worker; /* worker whose sync it is, owned; empty: no sync */
    uint64_t key_id;
    uint64_t confirm_seq; /* number of the renewal whose answer confirms it; 0:
                           * the call itself is forwarded */
    struct forwarded_call *next_unconfirmed;
};

enum request_phase {
    REQUEST_COMMITTING_RECORD, /* the leader commits the idempotency record */
    REQUEST_ROUTED,            /* queued or in flight in the router */
    REQUEST_STORING_RESPONSE,  /* the leader commits the response */
};

/* A request to a service. */
struct request {
    uint64_t id;
    struct front_call *call;
    enum request_phase phase;
    uint32_t team;
    uint64_t key_id;
    struct str service;     /* owned */
    struct str target;      /* path and query at the endpoint; owned */
    bool sent;              /* the router has requested an attempt */
    bool has_record;        /* needs an idempotency record */
    uint64_t record_number; /* of the idempotency record; 0: none yet */
    uint64_t link_id; /* that the Begin or End without a reply was sent on */
    uint64_t message_id; /* of that Begin or End; 0: none is waiting */
    struct front_response response; /* valid in REQUEST_STORING_RESPONSE */
};

/* An attempt to run a request at an endpoint. */
struct attempt {
    uint64_t id;             /* id of the upstream call */
    uint64_t request_id;     /* the request may have ended already */
    uint32_t attempt_number; /* as given by the router */
    struct str address;
    /* Owned here, because the request may be answered and freed before the
     * attempt ends. */
    struct front_call *call; /* holds a reference */
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
    uint32_t units_held; /* units leased to this entry, which is also the
                            most connections it may open */
    uint64_t term;       /* of the leader that last sent it */
};

/*
 * Whether the leader knows the typed messages, as its grants say. During an
 * upgrade the leader may run an older version than the entry.
 */
enum leader_protocol {
    LEADER_PROTOCOL_UNKNOWN, /* no grant has arrived yet */
    LEADER_PROTOCOL_UNTYPED, /* knows neither Renewal nor Call.worker_sync */
    LEADER_PROTOCOL_TYPED,
};

struct entry {
    struct control *control;
    struct confview *config;
    int64_t config_deadline; /* end of the configuration lease */
    struct entry_readiness readiness;
    bool left;          /* this process sends no more requests */
    bool left_recorded; /* the leader has recorded that */
    int64_t leave_due;  /* next report that this process has left */

    struct str leader_vm; /* owned; empty: not known */
    uint64_t leader_term;
    enum leader_protocol leader_protocol;
    bool report_now;     /* send a report in the next step */
    uint64_t report_seq; /* of the last report sent */

    struct router *router;
    struct router_actions actions;
    struct map *endpoints;   /* endpoint id to struct known_endpoint */
    uint64_t endpoints_term; /* of the last leader that sent endpoints */
    int64_t old_endpoints_deadline; /* when endpoints are removed that the
                                     * current leader has not sent */
    uint64_t endpoints_seq;         /* last change of endpoints applied */
    struct map *teams;              /* team numbers known to the router */
    struct map *keys;               /* key ids of the current configuration */

    struct map *forwards; /* id to struct forwarded_call */
    struct heap forward_expiry;
    struct forwarded_call *unsent;    /* calls to be sent */
    struct announce_cache *announced; /* endpoints whose leases it renews */
    /* Announcements that a renewal reply is to confirm. */
    struct forwarded_call *unconfirmed;
    bool renewal_in_flight; /* the last renewal has no reply yet */
    bool renewal_wanted;    /* another one is to be sent soon */
    int64_t renewal_sent;   /* time of the last renewal */
    uint64_t next_id;       /* for calls, requests and messages */
    struct map *requests;   /* id to struct request */
    /* Team and idempotency key to struct request. */
    struct map *keyed_requests;
    struct map *requests_by_message; /* Begin or End id to struct request */
    struct map *attempts;            /* upstream id to struct attempt */
    struct attempt *unstarted;       /* not accepted by the HTTP client */
    /* Result of the attempt whose end is being handled; else NULL. */
    struct upstream_result *result;
    int64_t sweep_due; /* next check of deadlines and resending */
};

/* entry.c */
void
entry_endpoint_free(struct known_endpoint *k);

/* entry_report.c */
void
entry_send_report(struct entry *e, struct link *to);

/*
 * entry_grant.c: removes the endpoints that the current leader has not sent,
 * one endpoint lease after its first list. Endpoints announce themselves to a
 * new leader within that time; until then the previous leader's stay in use.
 */
void
entry_remove_old_endpoints(struct entry *e);

/* entry_http.c */

/* Answers a call with an error in JSON. code, message and outcome go into the
 * response; retry_after_s 0: no Retry-After. */
void
entry_refuse_call(struct front_call *call, int status, const char *code,
                  const char *message, const char *outcome, int retry_after_s);

/* Hashes a bearer key in the way the state stores it. */
void
hash_bearer_key(struct str key, uint8_t hash[STATE_HASH_BYTES]);

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

/* Sends the long polls to the leader again, without a wait. */
void
forward_end_long_polls(struct entry *e);
void
forward_destroy(struct entry *e);

/* Creates and registers a forwarded call that is neither sent nor queued yet.
 */
struct forwarded_call *
forward_create(struct entry *e, struct front_call *call);

/* Queues a call, which forward_step sends; an announcement is sent once its
 * arrival is known in the leader's time. */
void
forward_queue(struct entry *e, struct forwarded_call *f);
void
forward_free(struct entry *e, struct forwarded_call *f);

/* entry_announce.c */

/* Handles the announcement or deletion of an endpoint. */
void
announce_handle_call(struct entry *e, struct front_call *call, struct str id);

/* Handles the leader's reply to a forwarded announcement. */
void
announce_handle_reply(struct entry *e, const struct forwarded_call *f,
                      const Wire__Reply *reply);

/* Returns whether the call may be sent. An announcement has to wait until its
 * arrival is known in the leader's time. */
bool
announce_can_send(const struct entry *e, const struct forwarded_call *f);

/* Sets when the announcement arrived, in the leader's time. Returns false if
 * that is unknown or the call is no announcement. */
bool
announce_get_arrival(const struct entry *e, const struct forwarded_call *f,
                     Wire__Arrival *out);

/* Removes the call from the list of unconfirmed announcements. */
void
announce_unlink_unconfirmed(struct entry *e, struct forwarded_call *f);

/* Stores whether the leader knows the typed messages, as its grant says. */
void
entry_set_leader_protocol(struct entry *e, bool typed);
void
announce_leader_changed(struct entry *e);
void
announce_step(struct entry *e, struct link *leader);
int64_t
announce_next_deadline(const struct entry *e);

/* forward_sync.c */

/* A worker's sync as a typed message, and the memory that it points to. */
struct typed_sync {
    struct json_doc *doc;
    struct worker_sync sync;
    Wire__WorkerSync wire;
    Wire__WorkerFinished *finished;
    Wire__WorkerFinished **pointers;
    uint64_t *numbers;
};

/* Converts a worker's sync from JSON. Returns false if the call is no sync, or
 * if its JSON is invalid and the leader is to answer the error. */
bool
forward_sync_build(const struct forwarded_call *f, struct typed_sync *out);
void
forward_sync_free(struct typed_sync *m);

/* Appends the JSON of a worker answer to body. */
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

/* Passes an event to the router and executes its actions. */
void
serve_router_event(struct entry *e, const struct router_event *event);

#endif
