#ifndef GV_ROUTER_H
#define GV_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"
#include "units.h"

/*
 * The request router of one entry: queues requests, sends them to endpoints
 * within the units that the ledger leased to this entry, and retries. It is
 * pure: events and the time go in, actions come out.
 */
struct router;

/* Zero fields take the defaults of router_defaults. */
struct router_config {
    struct str domain;          /* failure domain of this entry */
    uint64_t seed;              /* spreads first choices among entries */
    int64_t longest_request_ns; /* bound of any request's deadline */
    int64_t default_timeout_ns; /* of requests without a deadline */
    uint32_t queue_max;         /* requests marking or queued, all services */
    uint64_t queue_bytes_max;   /* their bodies and headers */
    uint32_t team_queue_max;    /* requests of one team */
    uint32_t max_attempts;
    uint32_t retry_percent; /* retries per 100 requests */
    uint32_t retry_burst;   /* retries saved up at most */
    uint32_t eject_failures;
    int64_t eject_ns;        /* first ejection; doubles with each further */
    int64_t eject_max_ns;    /* longest ejection */
    uint32_t eject_percent;  /* of a service's endpoints at most */
    int64_t report_ns;       /* time between reports */
    int64_t report_short_ns; /* ... while requests wait or units return */
};

struct router_config
router_defaults(void);

struct router *
router_create(const struct router_config *config, int64_t now);
void
router_destroy(struct router *r);

enum router_event_kind {
    ROUTER_CONFIG_LEASE, /* configuration lease renewed */
    ROUTER_LEADER,       /* reports now go to the leader of this term */
    ROUTER_TEAM,
    ROUTER_TEAM_GONE,
    ROUTER_ENDPOINT, /* endpoint announcement */
    ROUTER_ENDPOINT_GONE,
    ROUTER_GRANTS,
    ROUTER_REQUEST,
    ROUTER_MARKED,        /* idempotency record of a request committed */
    ROUTER_ATTEMPT_ENDED, /* exactly once for each ROUTER_SEND */
    ROUTER_CALLER_GONE,
    ROUTER_KEY_WITHDRAWN,
    ROUTER_DRAIN,
    ROUTER_TICK, /* at router_next_deadline */
};

struct router_team {
    uint32_t number;
    uint32_t weight; /* at least 1 */
    bool limited;    /* needs units of the pool t:NUMBER */
};

struct router_endpoint {
    struct str id;
    struct str service;
    struct str domain;
    uint32_t slots;
    uint32_t connections;
    bool leaving;
    int64_t deadline; /* of this announcement */
};

struct router_request {
    uint64_t id; /* never used again in this process */
    uint64_t key;
    uint32_t team;
    struct str service;
    uint32_t path_class; /* hash of the path's first part; learns costs */
    bool idempotent;
    bool needs_mark;   /* waits for ROUTER_MARKED before it is sent */
    bool has_deadline; /* the caller gave the deadline */
    int64_t deadline;  /* ignored without has_deadline */
    uint32_t bytes;
};

enum attempt_result {
    ATTEMPT_OK,             /* complete response */
    ATTEMPT_ERROR_RESPONSE, /* complete response that shows a fault (5xx) */
    ATTEMPT_REFUSED,        /* connection refused */
    ATTEMPT_RESET,
    ATTEMPT_TIMED_OUT,
    ATTEMPT_MALFORMED, /* response malformed or too large */
    ATTEMPT_CANCELLED, /* ended by ROUTER_CANCEL */
};

struct router_attempt {
    uint64_t request;
    uint32_t attempt; /* as in the ROUTER_SEND */
    enum attempt_result result;
    bool bytes_sent; /* whether any byte may have reached the endpoint */
    int64_t duration_ns;
};

struct router_event {
    enum router_event_kind kind;
    union {
        int64_t deadline; /* ROUTER_CONFIG_LEASE */
        uint64_t term;    /* ROUTER_LEADER */
        uint64_t id;      /* ROUTER_MARKED, ROUTER_CALLER_GONE: request */
        uint64_t key;     /* ROUTER_KEY_WITHDRAWN */
        struct router_team team;         /* ROUTER_TEAM_GONE: number only */
        struct router_endpoint endpoint; /* ROUTER_ENDPOINT_GONE: id only */
        const struct grants *grants;
        struct router_request request;
        struct router_attempt attempt;
    };
};

/*
 * Each request gets exactly one of REFUSE, FAIL and COMPLETE. After it, the
 * router remembers an attempt in flight only for its slot.
 */
enum router_action_kind {
    ROUTER_SEND,
    ROUTER_REFUSE,   /* not-run: no byte can have reached an endpoint */
    ROUTER_FAIL,     /* unknown */
    ROUTER_COMPLETE, /* forward the response of the attempt that ended */
    ROUTER_CANCEL,   /* end this attempt; ROUTER_ATTEMPT_ENDED follows */
};

enum router_reason {
    ROUTER_REASON_NONE,
    ROUTER_REASON_NO_LEASE,    /* 503: the configuration lease has ended */
    ROUTER_REASON_NO_TEAM,     /* 403 */
    ROUTER_REASON_NO_SERVICE,  /* 404: no endpoint has announced it */
    ROUTER_REASON_QUEUE_FULL,  /* 503 */
    ROUTER_REASON_TEAM_FULL,   /* 429: the team's part of the queue */
    ROUTER_REASON_TOO_LATE,    /* 503: would not finish in time */
    ROUTER_REASON_DEADLINE,    /* 504 or 503: deadline passed */
    ROUTER_REASON_KEY,         /* 401: key withdrawn */
    ROUTER_REASON_CALLER_GONE, /* nobody is left to answer */
    ROUTER_REASON_NO_BUDGET,   /* 502 or 503: retry budget used up */
    ROUTER_REASON_ENDPOINT,    /* 502 or 503: attempts failed */
    ROUTER_REASON_DUPLICATE,   /* request id in use; changes nothing */
};

struct router_action {
    enum router_action_kind kind;
    uint64_t request;
    uint32_t attempt;    /* SEND, CANCEL, COMPLETE */
    struct str endpoint; /* SEND; valid until the next step */
    int64_t deadline;    /* SEND: the attempt must end by then */
    enum router_reason reason;
    int64_t retry_after_ns; /* REFUSE */
};

/* Zero-initialise; router_step appends, the caller resets count. */
struct router_actions {
    struct router_action *items;
    size_t count;
    size_t cap;
};

void
router_step(struct router *r, int64_t now, const struct router_event *event,
            struct router_actions *out);
void
router_actions_free(struct router_actions *a);
int64_t
router_next_deadline(const struct router *r);

/*
 * Fills the next report and remembers now as its time of sending. Strings are
 * valid until the next step. Call it when router_report_due has come.
 */
void
router_report(struct router *r, int64_t now, struct report *out);
int64_t
router_report_due(const struct router *r);

/*
 * When the report with this number was sent, so that leases granted in answer
 * to it can be counted from then; 0 if it is too long ago.
 */
int64_t
router_report_sent(const struct router *r, uint64_t seq);

/*
 * What this entry holds of a pool: units that it may use at now, but at least
 * those in use. Returns false for an unknown pool.
 */
bool
router_pool(const struct router *r, int64_t now, struct str pool,
            struct unit_report *out);

/* Nothing is queued or in flight. */
bool
router_idle(const struct router *r);

struct router_stats {
    uint32_t marking;
    uint32_t queued;
    uint32_t in_flight;
    uint32_t endpoints;
    uint32_t ejected;
    uint32_t slots_held;
    uint64_t queued_bytes;
    uint64_t sent;
    uint64_t retries;
    uint64_t refused;
    uint64_t failed;
    uint64_t completed;
};

void
router_stats(const struct router *r, struct router_stats *out);

#endif
