#ifndef GV_ROUTER_H
#define GV_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"
#include "units.h"

/*
 * The request router of one entry. It queues requests, sends them to endpoints
 * within the units that the ledger leased to this entry (units.h), and retries
 * them. It does no I/O and reads no clock: the caller passes events and the
 * monotonic time in ns, and carries out the actions that are returned. Strings
 * that are passed in are copied.
 */
struct router;

/* Fields that are 0 take the value from router_defaults. */
struct router_config {
    struct str domain; /* failure domain of this entry */
    uint64_t seed;     /* makes entries choose different endpoints first */
    int64_t longest_request_ns; /* longest time from arrival to deadline; later
                                   deadlines are lowered to it */
    int64_t default_timeout_ns; /* for requests without a deadline */
    uint32_t queue_max;         /* most requests that wait, all services */
    uint64_t queue_bytes_max;   /* most bytes of their bodies and headers */
    uint32_t team_queue_max;    /* most requests of one team that wait */
    uint32_t max_attempts;      /* per request, the first one included */
    uint32_t retry_percent;     /* retries allowed per 100 requests */
    uint32_t retry_burst;       /* most unused retries kept per service */
    uint32_t eject_failures; /* consecutive failures that eject an endpoint */
    int64_t eject_ns; /* first ejection; each further one is twice as long */
    int64_t eject_max_ns;    /* longest ejection */
    uint32_t eject_percent;  /* largest part of a service's endpoints that may
                                be ejected at a time */
    int64_t report_ns;       /* time between reports */
    int64_t report_short_ns; /* same, when the leader should soon hear of
                                waiting requests or returned units */
};

/* Returns the default configuration. */
struct router_config
router_defaults(void);

/*
 * Returns a router that knows no team or endpoint; free it with
 * router_destroy.
 */
struct router *
router_create(const struct router_config *config, int64_t now);
/* Frees the router with all requests. Accepts NULL. */
void
router_destroy(struct router *r);

enum router_event_kind {
    ROUTER_CONFIG_LEASE, /* the configuration lease was renewed */
    ROUTER_LEADER,       /* reports now go to the leader of this term */
    ROUTER_TEAM,         /* a team was created or changed */
    ROUTER_TEAM_GONE,
    ROUTER_ENDPOINT, /* an endpoint was announced */
    ROUTER_ENDPOINT_GONE,
    ROUTER_GRANTS,           /* a grant message arrived */
    ROUTER_REQUEST,          /* a request arrived */
    ROUTER_RECORD_COMMITTED, /* the idempotency record of a request is
                                committed */
    ROUTER_ATTEMPT_ENDED,    /* exactly once for each ROUTER_SEND */
    ROUTER_CALLER_GONE,      /* the caller has disconnected */
    ROUTER_KEY_WITHDRAWN,    /* a bearer key is not valid any more */
    ROUTER_DRAIN,            /* this entry stops: it returns idle units */
    ROUTER_TICK,             /* send at router_next_deadline */
};

struct router_team {
    uint32_t number;
    uint32_t weight; /* share of busy services; 0 counts as 1 */
    bool limited;    /* needs units of the pool t:NUMBER */
};

struct router_endpoint {
    struct str id;
    struct str service;
    struct str domain;    /* failure domain */
    uint32_t slots;       /* requests that it takes at a time */
    uint32_t connections; /* connections that it accepts */
    bool leaving;         /* takes no new requests */
    int64_t deadline;     /* end of this announcement */
};

struct router_request {
    uint64_t id;  /* never used again in this process */
    uint64_t key; /* identifies the bearer key of the caller */
    uint32_t team;
    struct str service;
    uint32_t path_class; /* hash of the path's first part; durations are
                            learned by class */
    bool idempotent;
    bool
        needs_record; /* waits for ROUTER_RECORD_COMMITTED before it is sent */
    bool has_deadline; /* the caller gave the deadline */
    int64_t deadline;  /* ignored without has_deadline */
    uint32_t bytes;    /* of body and headers */
};

enum attempt_result {
    ATTEMPT_OK,             /* complete response */
    ATTEMPT_ERROR_RESPONSE, /* complete response with a server error (5xx) */
    ATTEMPT_REFUSED,        /* connection refused */
    ATTEMPT_RESET,          /* connection reset */
    ATTEMPT_TIMED_OUT,
    ATTEMPT_MALFORMED, /* response malformed or too large */
    ATTEMPT_CANCELLED, /* ended by ROUTER_CANCEL */
};

struct router_attempt {
    uint64_t request;
    uint32_t attempt; /* as in the ROUTER_SEND */
    enum attempt_result result;
    bool bytes_sent; /* a byte may have reached the endpoint */
    int64_t duration_ns;
};

struct router_event {
    enum router_event_kind kind;
    union {
        int64_t deadline; /* ROUTER_CONFIG_LEASE */
        uint64_t term;    /* ROUTER_LEADER */
        uint64_t id; /* ROUTER_RECORD_COMMITTED, ROUTER_CALLER_GONE: request */
        uint64_t key;                    /* ROUTER_KEY_WITHDRAWN */
        struct router_team team;         /* ROUTER_TEAM_GONE: number only */
        struct router_endpoint endpoint; /* ROUTER_ENDPOINT_GONE: id only */
        const struct grants *grants;
        struct router_request request;
        struct router_attempt attempt;
    };
};

/*
 * Each request gets exactly one of ROUTER_REFUSE, ROUTER_FAIL and
 * ROUTER_COMPLETE. An attempt that is still in flight after it only keeps its
 * slot in use.
 */
enum router_action_kind {
    ROUTER_SEND,     /* start an attempt */
    ROUTER_REFUSE,   /* not-run: no byte can have reached an endpoint */
    ROUTER_FAIL,     /* unknown: an endpoint may have run the request */
    ROUTER_COMPLETE, /* forward the response of the attempt that ended */
    ROUTER_CANCEL,   /* end this attempt; ROUTER_ATTEMPT_ENDED follows */
};

enum router_reason {
    ROUTER_REASON_NONE,
    ROUTER_REASON_NO_LEASE,    /* 503: the configuration lease has ended */
    ROUTER_REASON_NO_TEAM,     /* 403 */
    ROUTER_REASON_NO_SERVICE,  /* 404: no endpoint has announced it */
    ROUTER_REASON_QUEUE_FULL,  /* 503 */
    ROUTER_REASON_TEAM_FULL,   /* 429: too many requests of the team wait */
    ROUTER_REASON_TOO_LATE,    /* 503: would likely miss its deadline */
    ROUTER_REASON_DEADLINE,    /* 504 or 503: deadline passed */
    ROUTER_REASON_KEY,         /* 401: key withdrawn */
    ROUTER_REASON_CALLER_GONE, /* the caller has disconnected, or an attempt
                                  failed after the key or team was removed */
    ROUTER_REASON_NO_BUDGET,   /* 502 or 503: the retry budget is used up */
    ROUTER_REASON_ENDPOINT,    /* 502 or 503: attempts failed */
    ROUTER_REASON_DUPLICATE,   /* the request id is in use; the earlier request
                                  is not affected */
};

struct router_action {
    enum router_action_kind kind;
    uint64_t request;
    uint32_t attempt;    /* SEND, CANCEL, COMPLETE: number of the attempt */
    struct str endpoint; /* SEND: its id; valid until the next step */
    int64_t deadline;    /* SEND: the attempt must end by then */
    enum router_reason reason;
    int64_t retry_after_ns; /* REFUSE */
};

/*
 * A list of actions. Initialise it with zeros; router_step appends and the
 * caller resets count. Free it with router_actions_free.
 */
struct router_actions {
    struct router_action *items;
    size_t count;
    size_t cap;
};

/*
 * Handles expired timers and the event, and appends the resulting actions in
 * the order in which they are to be carried out.
 */
void
router_step(struct router *r, int64_t now, const struct router_event *event,
            struct router_actions *out);
/* Frees the array and zeroes the struct. */
void
router_actions_free(struct router_actions *a);
/* Returns when to send ROUTER_TICK; DEADLINE_NONE if there is no need. */
int64_t
router_next_deadline(const struct router *r);

/*
 * Fills the next report and stores now as its time of sending. Call it when
 * the time of router_report_due has come. The caller frees out with
 * report_free and may reuse it before; its strings are valid until the next
 * step.
 */
void
router_report(struct router *r, int64_t now, struct report *out);
/* Returns when the next report is due. */
int64_t
router_report_due(const struct router *r);

/*
 * Returns when the report with this number was sent, which is when a lease
 * granted in answer to it starts; 0 if the report is unknown or too old.
 */
int64_t
router_report_sent(const struct router *r, uint64_t seq);

/*
 * Fills what this entry holds of a pool: the units that it may use at now, but
 * at least those in use. Returns false for an unknown pool.
 */
bool
router_get_pool(const struct router *r, int64_t now, struct str pool,
                struct unit_report *out);

/* Whether the router has no request, waiting or in flight. */
bool
router_is_idle(const struct router *r);

struct router_stats {
    uint32_t awaiting_record; /* requests: record not committed yet */
    uint32_t queued;          /* requests that wait for an endpoint */
    uint32_t in_flight;       /* attempts that have not ended */
    uint32_t endpoints;       /* known endpoints */
    uint32_t ejected;         /* endpoints ejected now */
    uint32_t slots_held;      /* units of endpoints */
    uint64_t queued_bytes;    /* of awaiting_record and queued */
    uint64_t sent;            /* attempts started so far */
    uint64_t retries;         /* so far, as all below */
    uint64_t refused;
    uint64_t failed;
    uint64_t completed;
};

/* Fills counts for status and metrics. */
void
router_stats(const struct router *r, struct router_stats *out);

#endif
