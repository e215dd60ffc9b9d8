#ifndef GV_ROUTER_INT_H
#define GV_ROUTER_INT_H

#include <sys/queue.h>

#include "heap.h"
#include "map.h"
#include "router.h"

enum {
    TRIED_MAX = 4,
    /* Requests without a caller's deadline queue by path class, modulo this
     * number; flow 0 holds those with a deadline. */
    CLASS_COUNT = 8,
    FLOW_COUNT = CLASS_COUNT + 1,
    /* Queued work is summed by the binary logarithm of the timeout in ms. */
    TIMEOUT_BUCKETS = 20,
    REPORTS_KEPT = 256,
};

TAILQ_HEAD(units_list, units);
TAILQ_HEAD(queue_list, queue);
TAILQ_HEAD(request_list, request);

/* Units of one pool and what the leader was last told about them. */
struct units {
    struct str pool;
    uint32_t held;
    uint32_t used;
    uint32_t target;    /* last granted; held sinks to it as units end */
    uint32_t swapped;   /* kept above it, for others returned instead */
    bool asked;         /* the grants being applied lower the target */
    uint32_t wanted;    /* set before a report */
    uint32_t told_held; /* in the last report */
    uint32_t told_used;
    uint32_t told_wanted;
    uint64_t changed_seq; /* last report in which something changed */
    int64_t used_told_at;
    bool gone; /* freed once a report without units is known */
    TAILQ_ENTRY(units) in_router;
    struct endpoint *endpoint; /* or */
    struct team *team;         /* or */
    struct service *service;
};

struct endpoint {
    uint32_t serial;
    struct str id;
    struct str domain;
    struct service *service;
    uint32_t slots;
    bool local;
    bool leaving;
    bool gone;
    int64_t deadline;
    uint32_t fails;   /* consecutive */
    uint32_t ejected; /* times in a row */
    bool out;         /* ejected until out_until */
    bool probation;   /* one request at a time decides */
    int64_t out_until;
    uint64_t last_pick;
    struct units *units;
    struct heap_node timer;
    struct heap *ranked;   /* the heap of the service that holds rank */
    struct heap_node rank; /* key: score; seq: last_pick */
};

struct cost {
    int64_t mean_ns;
    int64_t dev_ns;
    uint32_t samples;
    uint32_t skips; /* requests refused as too slow in a row */
};

struct flow {
    struct heap requests; /* by deadline, or by arrival */
    int64_t vtime;
    int64_t work[TIMEOUT_BUCKETS]; /* expected cost of those queued */
};

/* The requests of one team for one service. */
struct queue {
    struct service *service;
    struct team *team;
    struct heap_node node; /* in service->active; key: virtual time */
    int64_t vtime;
    int64_t flow_vnow;
    uint32_t count;          /* requests in the flows */
    uint32_t refs;           /* requests in any state */
    uint32_t weight_counted; /* part of the service's active_weight */
    struct flow flows[FLOW_COUNT];
    struct cost costs[CLASS_COUNT];
    TAILQ_ENTRY(queue) in_team;
};

struct service {
    struct str name;
    struct endpoint **endpoints;
    size_t endpoint_count;
    size_t endpoint_cap;
    struct heap open;           /* endpoints that can take a request */
    struct heap probes;         /* those on probation without a request */
    struct map *queues;         /* by team number */
    struct heap active;         /* queues with requests whose team has units */
    struct request_list parked; /* retries that wait for another endpoint */
    int64_t vnow;
    uint32_t queued;        /* in flows or parked */
    int64_t starving_since; /* queued is above 0 since then */
    uint32_t in_flight;
    uint32_t free_slots; /* held and unused, usable or not */
    uint64_t active_weight;
    double retry_tokens;
    struct units *demand;
};

struct team {
    uint32_t number;
    uint32_t weight;
    bool limited;
    bool gone;
    uint32_t waiting; /* marking, queued or parked */
    uint32_t in_flight;
    uint32_t runnable; /* queued or parked */
    struct units *units;
    struct queue_list queues;
};

enum request_state {
    REQUEST_MARKING,
    REQUEST_QUEUED,
    REQUEST_PARKED,
    REQUEST_IN_FLIGHT,
};

struct request {
    uint64_t id;
    uint64_t key;
    struct queue *queue;
    uint32_t path_class;
    bool idempotent;
    bool has_deadline;
    bool answered;   /* in flight only to keep its slot counted */
    bool no_retry;   /* caller gone or key withdrawn */
    bool bytes_sent; /* in any attempt */
    enum request_state state;
    int64_t arrived;
    int64_t deadline;
    int64_t work; /* expected cost when queued or sent */
    struct flow *flow;
    uint64_t seq;
    uint32_t bytes;
    uint32_t attempts;
    uint32_t tried[TRIED_MAX]; /* serials */
    struct endpoint *endpoint; /* in flight */
    struct heap_node node;     /* in a flow */
    struct heap_node timer;
    TAILQ_ENTRY(request) in_key;
    TAILQ_ENTRY(request) in_parked;
};

struct key {
    uint64_t id;
    struct request_list requests;
};

struct router {
    struct router_config config;
    int64_t started;
    int64_t config_deadline;
    int64_t units_deadline;
    bool draining;
    uint64_t term;
    struct grant_no ack;
    uint64_t report_seq;
    uint64_t report_acked; /* last report the leader answered */
    uint64_t term_seq;     /* last report to an earlier leader */
    int64_t reported_at;
    bool report_urgent;
    int64_t report_times[REPORTS_KEPT];
    struct map *services;
    struct map *teams;
    struct map *endpoints;
    struct map *requests;
    struct map *keys;
    struct map *pools; /* struct units by name */
    struct units_list units;
    int64_t bound_ns;      /* attempts end within so long */
    int64_t bound_wanted;  /* what reports say; at least bound_ns */
    uint64_t bound_seq;    /* first report that said so */
    int64_t bound_keep;    /* not lowered before */
    int64_t last_deadline; /* of all requests that ever arrived */
    struct heap timers;    /* unanswered requests by deadline */
    struct heap endpoint_timers;
    uint64_t seq;
    uint32_t serial;
    bool sweep; /* an unused service or team may be left */
    struct router_stats stats;
};

#define NODE_OWNER(type, node, field)                                         \
    ((type *)((char *)(node)-offsetof(type, field)))

/* units */
struct units *
units_make(struct router *r, const char *prefix, struct str name);
void
units_retire(struct router *r, struct units *u);
void
units_free_all(struct router *r);
void
units_take(struct units *u);
void
units_put(struct router *r, struct units *u);
uint32_t
units_free(const struct router *r, const struct units *u, int64_t now);
/* Returns every unit that is not in use. */
void
units_release(struct router *r, struct units *u);
void
units_lapse(struct router *r);
void
router_grants(struct router *r, int64_t now, const struct grants *g,
              struct router_actions *out);
/* The leader should hear of waiting requests or returned units soon. */
void
report_soon(struct router *r);

/* the bound on how long attempts last */
void
bound_init(struct router *r);
/* Whether an attempt of the request may start now. */
bool
bound_allows(const struct router *r, const struct request *req, int64_t now);
/* Call for each request before it may be sent. */
void
bound_arrival(struct router *r, int64_t now, int64_t deadline);
/* What a report says: how much earlier than the longest request would all
 * attempts end. */
int64_t
bound_report(struct router *r, int64_t now);
/* A grant of the leader of the current term. */
void
bound_answered(struct router *r, int64_t now, const struct grants *g);

/* services and teams */
struct service *
service_find(const struct router *r, struct str name);
struct service *
service_make(struct router *r, struct str name);
void
service_destroy(struct router *r, struct service *s);
/* Frees services and teams that are gone and unused. */
void
router_sweep(struct router *r);
void
team_set(struct router *r, int64_t now, const struct router_team *t,
         struct router_actions *out);
void
team_gone(struct router *r, uint32_t number, struct router_actions *out);
void
team_destroy(struct router *r, struct team *t);
bool
team_can_send(const struct router *r, const struct team *t, int64_t now);

/* endpoints */
void
endpoint_seen(struct router *r, int64_t now, const struct router_endpoint *s,
              struct router_actions *out);
void
endpoint_gone(struct router *r, struct str id);
void
endpoint_destroy(struct router *r, struct endpoint *e);
void
endpoint_timers(struct router *r, int64_t now, struct router_actions *out);
/* Call after anything changed that the choice depends on. */
void
endpoint_rank(struct endpoint *e);
/* The caller takes a unit of the result, which ranks it anew. */
struct endpoint *
endpoint_choose(struct router *r, struct service *s, const struct request *q);
/* Whether the service has an endpoint that was not tried yet. */
bool
endpoint_untried(const struct service *s, const struct request *q,
                 int64_t now);
void
endpoint_result(struct router *r, struct endpoint *e, int64_t now, bool ok);
bool
endpoint_refused(const struct endpoint *e, int64_t now);

/* queues */
struct queue *
queue_make(struct service *s, struct team *t);
void
queue_destroy(struct queue *q);
void
queue_add(struct router *r, int64_t now, struct request *req);
/* Takes out a request in state REQUEST_QUEUED or REQUEST_PARKED. */
void
queue_remove(struct request *req);
struct flow *
queue_flow(struct request *req);
/* Which part of a flow's work has timeouts like this request. */
uint32_t
queue_bucket(const struct request *req);
void
queue_park(struct request *req);
/* Enters or leaves the set of queues that may send. */
void
queue_update(const struct router *r, int64_t now, struct queue *q);
void
team_update(const struct router *r, int64_t now, struct team *t);
/* The request to send next, still queued, or NULL. */
struct request *
queue_next(const struct router *r, struct service *s, int64_t now);
/* Adds cost to what the request's queue and flow have used. */
void
queue_charge(struct request *req, int64_t cost_ns);

/* learned costs */
struct cost *
cost_of(struct queue *q, uint32_t path_class);
void
cost_learn(struct cost *c, int64_t duration_ns);
/* Average cost; a guess while unknown. */
int64_t
cost_mean(const struct cost *c);
/* Whether an attempt that starts then would likely miss the deadline; with
 * busy, others could use the slot and less risk is taken. Lets a part of a
 * slow class through, so that its cost is learned again. */
bool
cost_too_late(struct cost *c, int64_t now, int64_t wait, int64_t deadline,
              bool busy);
/* How long a request would wait in its queue. */
int64_t
expected_wait(const struct request *req, int64_t now);

/* requests */
void
request_arrived(struct router *r, int64_t now, const struct router_request *a,
                struct router_actions *out);
void
request_marked(struct router *r, int64_t now, uint64_t id,
               struct router_actions *out);
void
request_caller_gone(struct router *r, uint64_t id, struct router_actions *out);
void
key_withdrawn(struct router *r, uint64_t key, struct router_actions *out);
void
request_timers(struct router *r, int64_t now, struct router_actions *out);
/* Ends a request that is not in flight: not-run if that is true. */
void
request_end(struct router *r, struct request *req, enum router_reason reason,
            int64_t retry_after_ns, struct router_actions *out);
/* Answers a request once; it stays while an attempt is in flight. */
void
request_answer(struct router *r, struct request *req,
               enum router_action_kind kind, enum router_reason reason,
               int64_t retry_after_ns, struct router_actions *out);
void
request_free(struct router *r, struct request *req);
/* Whether a request of that size exceeds the bounds of all queues. */
bool
queue_full(const struct router *r, uint32_t bytes);
/* Enters or leaves the queue and its counts. */
void
request_enqueue(struct router *r, int64_t now, struct request *req);
void
request_unqueue(struct router *r, struct request *req);
/* Ends all requests that were not sent yet. */
void
requests_refuse(struct router *r, const struct team *only,
                enum router_reason reason, struct router_actions *out);

/* attempts */
/* Asks for a report when the demand differs from what the leader knows. */
void
demand_changed(struct router *r, const struct service *s);
void
team_starving(struct router *r, const struct team *t);
void
dispatch(struct router *r, struct service *s, int64_t now,
         struct router_actions *out);
void
dispatch_all(struct router *r, int64_t now, struct router_actions *out);
void
attempt_ended(struct router *r, int64_t now, const struct router_attempt *a,
              struct router_actions *out);

struct router_action *
action_add(struct router_actions *out, enum router_action_kind kind,
           const struct request *req);

#endif
