#ifndef GV_ROUTER_INT_H
#define GV_ROUTER_INT_H

#include <sys/queue.h>

#include "heap.h"
#include "map.h"
#include "router.h"

/* All times are in ns on the caller's clock. */

enum {
    /* Endpoints remembered per request; bounds max_attempts. */
    MAX_TRIED = 4,
    /* Requests without a caller's deadline queue by path class, modulo this
     * number; flow 0 holds those with a deadline. */
    PATH_CLASS_COUNT = 8,
    FLOW_COUNT = PATH_CLASS_COUNT + 1,
    /* The expected cost of queued requests is summed by the binary logarithm
     * of their timeout in ms. */
    TIMEOUT_BUCKETS = 20,
    /* Reports whose time of sending is remembered. */
    REPORT_HISTORY_COUNT = 256,
};

TAILQ_HEAD(units_list, units);
TAILQ_HEAD(queue_list, queue);
TAILQ_HEAD(request_list, request);

/*
 * The units that this entry holds of one pool, and what it last reported about
 * them. For a service, only the demand.
 */
struct units {
    struct str pool;
    uint32_t held;
    uint32_t used;
    uint32_t target;        /* last granted; held falls to it as units end */
    uint32_t substituted;   /* units kept above target because idle units of
                               other pools were returned instead */
    bool return_requested;  /* the grants being applied lower the target */
    uint32_t wanted;        /* set before a report */
    uint32_t reported_held; /* in the last report */
    uint32_t reported_used;
    uint32_t reported_wanted;
    uint64_t changed_seq;     /* last report in which a value changed */
    int64_t used_reported_at; /* time of that report */
    bool gone; /* retired; freed once the leader has answered a report that
                  shows no unit */
    TAILQ_ENTRY(units) in_router;
    /* At most one of these is set; none once the pool is retired. */
    struct endpoint *endpoint;
    struct team *team;
    struct service *service;
};

struct endpoint {
    uint32_t serial; /* unique in this router */
    struct str id;
    struct str domain; /* failure domain */
    struct service *service;
    uint32_t slots;   /* requests that it takes at a time */
    bool local;       /* in this entry's failure domain */
    bool leaving;     /* announced that it takes no new requests */
    bool gone;        /* removed; freed once no request is in flight */
    int64_t deadline; /* end of its last announcement */
    uint32_t consecutive_failures;
    uint32_t ejection_count; /* recent ones; each doubles the next one */
    bool ejected;            /* until ejected_until */
    bool probation; /* ejection has ended: one request at a time decides
                       whether it is ejected again */
    int64_t ejected_until;
    uint64_t last_chosen_seq; /* rises with each choice in this router */
    struct units *units;
    struct heap_node timer; /* key: end of the ejection or announcement */
    struct heap *rank_heap; /* heap of the service that holds rank, or NULL */
    struct heap_node rank;  /* key: score; seq: last_chosen_seq */
};

/* Learned duration of the attempts of a queue's path class. */
struct cost {
    int64_t mean_ns;
    int64_t dev_ns;          /* mean deviation */
    uint32_t samples;        /* at most MIN_SAMPLES */
    uint32_t too_slow_count; /* requests judged too slow since last sample */
};

/* Requests of a queue that share its capacity fairly with other flows. */
struct flow {
    struct heap requests; /* by deadline (flow 0) or by arrival */
    int64_t vtime; /* virtual time: cost that the flow has used, in ns */
    int64_t queued_cost_ns[TIMEOUT_BUCKETS]; /* expected, by timeout */
};

/* The requests of one team for one service. */
struct queue {
    struct service *service;
    struct team *team;
    struct heap_node node;    /* in service->active; key: virtual time */
    int64_t vtime;            /* cost used, divided by the weight, in ns */
    int64_t flow_virtual_now; /* virtual time at which idle flows join */
    uint32_t count;           /* requests in the flows */
    uint32_t refs;            /* requests in any state */
    uint32_t counted_weight;  /* part of the service's active_weight */
    struct flow flows[FLOW_COUNT];
    struct cost costs[PATH_CLASS_COUNT];
    TAILQ_ENTRY(queue) in_team;
};

struct service {
    struct str name;
    struct endpoint **endpoints;
    size_t endpoint_count;
    size_t endpoint_cap;
    struct heap available;      /* endpoints that can take a request */
    struct heap probes;         /* endpoints on probation without a request */
    struct map *queues;         /* by team number */
    struct heap active;         /* queues with requests whose team has units */
    struct request_list parked; /* requests that wait for another endpoint or
                                   a higher duration bound */
    int64_t virtual_now;        /* virtual time at which idle queues join */
    uint32_t queued;            /* requests in flows or parked */
    int64_t queued_since;       /* since when queued is above 0 */
    uint32_t in_flight;
    uint32_t free_slots;    /* units held and unused, also of endpoints that
                               can take no request */
    uint64_t active_weight; /* sum of the weights of teams with requests */
    double retry_tokens;    /* retries that may be sent */
    struct units *demand;
};

struct team {
    uint32_t number;
    uint32_t weight;
    bool limited;     /* its requests need units */
    bool gone;        /* removed; freed once it has no request */
    uint32_t waiting; /* awaiting their record, queued or parked */
    uint32_t in_flight;
    uint32_t runnable; /* queued or parked */
    struct units *units;
    struct queue_list queues;
};

enum request_state {
    REQUEST_AWAITING_RECORD, /* the idempotency record is not committed */
    REQUEST_QUEUED,
    REQUEST_PARKED, /* waits for another endpoint or a higher bound */
    REQUEST_IN_FLIGHT,
};

struct request {
    uint64_t id;
    uint64_t key; /* identifies the bearer key of the caller */
    struct queue *queue;
    uint32_t path_class;
    bool idempotent;
    bool has_deadline; /* the caller gave the deadline */
    bool answered;     /* in flight only to keep its slot counted */
    bool no_retry;     /* caller or team gone, or key withdrawn */
    bool bytes_sent;   /* in any attempt */
    enum request_state state;
    int64_t arrived;
    int64_t deadline;
    int64_t expected_cost_ns; /* mean cost of its class when it was queued */
    struct flow *flow;
    uint64_t seq; /* order of arrival */
    uint32_t bytes;
    uint32_t attempts;         /* started so far */
    uint32_t tried[MAX_TRIED]; /* serials of endpoints */
    struct endpoint *endpoint; /* of the attempt in flight */
    struct heap_node node;     /* in a flow */
    struct heap_node timer;    /* key: deadline */
    TAILQ_ENTRY(request) in_key;
    TAILQ_ENTRY(request) in_parked;
};

/* The requests sent with one bearer key. */
struct key {
    uint64_t id;
    struct request_list requests;
};

struct router {
    struct router_config config;
    int64_t run_started_ns;
    int64_t config_deadline; /* end of the configuration lease */
    int64_t units_deadline;  /* end of the unit lease; 0: none */
    bool draining;
    uint64_t term;              /* of the leader that reports address */
    struct grant_no ack;        /* last grants applied */
    uint64_t report_seq;        /* last report filled */
    uint64_t report_acked;      /* last report that a leader answered */
    uint64_t previous_term_seq; /* last report to an earlier leader */
    int64_t reported_at;        /* time of the last report; 0: none yet */
    bool report_expedited;      /* the next one is due after report_short_ns */
    int64_t report_sent_at[REPORT_HISTORY_COUNT]; /* by seq modulo the size */
    struct map *services;                         /* by name */
    struct map *teams;                            /* by number */
    struct map *endpoints;                        /* by id */
    struct map *requests;                         /* by id */
    struct map *keys;                             /* by id */
    struct map *pools; /* struct units by pool name */
    struct units_list units;
    int64_t bound_ns;        /* duration bound: each attempt ends within it */
    int64_t bound_wanted_ns; /* bound that reports state; at least bound_ns */
    uint64_t bound_report_seq; /* first report that states bound_wanted_ns */
    int64_t bound_keep_until;  /* the bound is not lowered before */
    int64_t latest_deadline;   /* of all requests that ever arrived */
    struct heap timers;        /* unanswered requests by deadline */
    struct heap endpoint_timers;
    uint64_t seq;      /* last number given to a request or a choice */
    uint32_t serial;   /* last number given to an endpoint */
    bool sweep_needed; /* sweep_unused may find something to free */
    struct router_stats stats;
};

/* The struct of that type whose member field is *node. */
#define NODE_OWNER(type, node, field)                                         \
    ((type *)((char *)(node)-offsetof(type, field)))

/* units */
/* Returns the units of the pool named prefix + name; creates them if new. */
struct units *
units_find_or_create(struct router *r, const char *prefix, struct str name);
/*
 * Call when no unit is in use and their owner is being freed. They are
 * reported, and freed once the leader has answered.
 */
void
units_retire(struct router *r, struct units *u);
void
units_destroy_all(struct router *r);
/* Counts one unit as used. */
void
units_acquire_one(struct units *u);
/* Counts one unit as unused and returns it if it exceeds the target. */
void
units_release_one(struct router *r, struct units *u);
/* Returns how many units may be used now; 0 once the lease has ended. */
uint32_t
units_count_free(const struct router *r, const struct units *u, int64_t now);
/* Returns every unit that is not in use to the leader. */
void
units_return_idle(struct router *r, struct units *u);
/* Returns all idle units because the unit lease has ended. */
void
units_expire_lease(struct router *r);
/* Applies a grant message unless it is outdated, and dispatches requests. */
void
apply_grants(struct router *r, int64_t now, const struct grants *g,
             struct router_actions *out);
/* Makes the next report due after report_short_ns instead of report_ns. */
void
expedite_report(struct router *r);

/* duration bound of attempts */
void
bound_init(struct router *r);
/* Whether an attempt of the request may start now. */
bool
bound_allows_request(const struct router *r, const struct request *req,
                     int64_t now);
/* Call for each request, before it may be sent. */
void
bound_note_deadline(struct router *r, int64_t now, int64_t deadline);
/*
 * Lowers the bound if possible. Returns the early_ns of a report: how much
 * earlier than the longest request all attempts end.
 */
int64_t
bound_prepare_report(struct router *r, int64_t now);
/* Raises the bound if this grant of the current leader allows it. */
void
bound_apply_grants(struct router *r, int64_t now, const struct grants *g);

/* services and teams */
struct service *
service_find(const struct router *r, struct str name);
/* Returns the service with that name; creates it if there is none. */
struct service *
service_find_or_create(struct router *r, struct str name);
void
service_destroy(struct router *r, struct service *s);
/* Frees services and teams that are gone and unused. */
void
sweep_unused(struct router *r);
/* Creates or changes a team. */
void
team_apply_config(struct router *r, int64_t now,
                  const struct router_team *config,
                  struct router_actions *out);
/* Refuses the team's unsent requests; it is freed after the last one. */
void
team_remove(struct router *r, uint32_t number, struct router_actions *out);
void
team_destroy(struct router *r, struct team *t);
/* Whether the team is known and has a free unit or needs none. */
bool
team_can_send(const struct router *r, const struct team *t, int64_t now);

/* endpoints */
/* Creates, changes or prolongs an endpoint. */
void
endpoint_apply_announcement(struct router *r, int64_t now,
                            const struct router_endpoint *announced,
                            struct router_actions *out);
/* Removes an endpoint; it is freed after its last request. */
void
endpoint_remove(struct router *r, struct str id);
void
endpoint_destroy(struct router *r, struct endpoint *e);
/* Ends ejections and announcements that are due. */
void
handle_endpoint_timers(struct router *r, int64_t now,
                       struct router_actions *out);
/* Call after anything changed on which the choice of an endpoint depends. */
void
endpoint_update_rank(struct endpoint *e);
/*
 * Returns the best endpoint for the request, or NULL. The caller acquires a
 * unit of it, which updates its rank.
 */
struct endpoint *
endpoint_choose(struct router *r, struct service *s,
                const struct request *req);
/* Whether an endpoint that is not refused was not tried for the request. */
bool
service_has_untried_endpoint(const struct service *s,
                             const struct request *req, int64_t now);
/* Records whether an attempt succeeded; may eject the endpoint. */
void
endpoint_record_result(struct router *r, struct endpoint *e, int64_t now,
                       bool ok);
/* Whether the endpoint must get no new request. */
bool
endpoint_is_refused(const struct endpoint *e, int64_t now);

/* queues */
/* Returns the queue of the team for the service; creates it if needed. */
struct queue *
queue_find_or_create(struct service *s, struct team *t);
void
queue_destroy(struct queue *q);
void
queue_add_request(struct router *r, int64_t now, struct request *req);
/* Removes a request in state REQUEST_QUEUED or REQUEST_PARKED. */
void
queue_remove_request(struct request *req);
/* Returns the flow of its queue to which the request belongs. */
struct flow *
request_select_flow(struct request *req);
/* Returns the index in queued_cost_ns for the request's timeout. */
uint32_t
timeout_bucket(const struct request *req);
/* Moves a queued request to the service's list of parked requests. */
void
queue_park_request(struct request *req);
/* Adds the queue to, or removes it from, the queues that may send. */
void
queue_update(const struct router *r, int64_t now, struct queue *q);
/* Calls queue_update for each queue of the team. */
void
team_update_queues(const struct router *r, int64_t now, struct team *t);
/* Returns the request to send next, still queued, or NULL. */
struct request *
service_next_request(const struct router *r, struct service *s, int64_t now);
/* Adds the cost to the virtual time of the request's queue and flow. */
void
queue_charge_cost(struct request *req, int64_t cost_ns);

/* learned costs */
/* Returns the learned cost of a path class. */
struct cost *
queue_find_cost(struct queue *q, uint32_t path_class);
/* Learns the duration of a successful attempt. */
void
cost_add_sample(struct cost *c, int64_t duration_ns);
/* Returns the mean cost, or a default without samples. */
int64_t
cost_get_mean_ns(const struct cost *c);
/*
 * Whether an attempt that starts wait_ns after now would likely miss the
 * deadline. With busy, other requests could use the slot, so less risk is
 * taken. Lets some requests of a slow class through, so that its cost is
 * learned again.
 */
bool
cost_would_miss_deadline(struct cost *c, int64_t now, int64_t wait_ns,
                         int64_t deadline, bool busy);
/* Estimates how long a request would wait in its queue. */
int64_t
estimate_wait_ns(const struct request *req, int64_t now);

/* requests */
void
handle_request(struct router *r, int64_t now,
               const struct router_request *arrival,
               struct router_actions *out);
void
handle_record_committed(struct router *r, int64_t now, uint64_t id,
                        struct router_actions *out);
void
handle_caller_gone(struct router *r, uint64_t id, struct router_actions *out);
void
handle_key_withdrawn(struct router *r, uint64_t key,
                     struct router_actions *out);
void
handle_request_timers(struct router *r, int64_t now,
                      struct router_actions *out);
/*
 * Answers and frees a request that is not in flight: refused if no byte can
 * have reached an endpoint, else failed.
 */
void
request_end_waiting(struct router *r, struct request *req,
                    enum router_reason reason, int64_t retry_after_ns,
                    struct router_actions *out);
/* Answers a request once; it is kept while an attempt is in flight. */
void
request_answer(struct router *r, struct request *req,
               enum router_action_kind kind, enum router_reason reason,
               int64_t retry_after_ns, struct router_actions *out);
void
request_free(struct router *r, struct request *req);
/* Whether a request of that size exceeds the limits on all queues. */
bool
is_queue_full(const struct router *r, uint32_t bytes);
/* Adds the request to its queue and all counts of waiting requests. */
void
request_enqueue(struct router *r, int64_t now, struct request *req);
/* Removes the request from its queue and all counts of waiting requests. */
void
request_dequeue(struct router *r, struct request *req);
/*
 * Ends all requests, or those of the team only, that are not in flight; those
 * of the team in flight are not retried.
 */
void
refuse_unsent_requests(struct router *r, const struct team *only,
                       enum router_reason reason, struct router_actions *out);

/* attempts */
/* Expedites a report if the demand differs much from the reported one. */
void
expedite_for_demand_change(struct router *r, const struct service *s);
/* Expedites a report if the team lacks units for waiting requests. */
void
expedite_for_team_shortage(struct router *r, const struct team *t);
/* Sends waiting requests of the service while slots and units are free. */
void
dispatch_service(struct router *r, struct service *s, int64_t now,
                 struct router_actions *out);
void
dispatch_all_services(struct router *r, int64_t now,
                      struct router_actions *out);
void
handle_attempt_end(struct router *r, int64_t now,
                   const struct router_attempt *a, struct router_actions *out);

/* Appends an action for the request's current attempt. */
struct router_action *
action_add(struct router_actions *out, enum router_action_kind kind,
           const struct request *req);

#endif
