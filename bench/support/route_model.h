#ifndef GV_BENCH_ROUTE_MODEL_H
#define GV_BENCH_ROUTE_MODEL_H

#include "clock.h"
#include "heap.h"
#include "ledger.h"
#include "rng.h"
#include "router.h"

/*
 * Simulates several entries, one ledger and one service in simulated time. A
 * mode, scenario and seed always give the same results, except for cpu_ns.
 * Times are in nanoseconds.
 */

enum {
    ENTRIES = 9,
    ENTRIES_MAX = 22,
    DOMAINS = 3,
    ENDPOINTS = 50,
    ENDPOINTS_MAX = 500,
    SLOTS = 8,
    TOTAL_SLOTS = ENDPOINTS * SLOTS,
    CLASSES = 2, /* checks and bulk requests, each from its own team */
    MAX_WAIT_SAMPLES = 1 << 20,
    HELD_SAMPLES = 20000, /* ticks for which shifted_held is sampled */
};

#define WARMUP_NS (6 * NS_PER_S)
#define MEASURED_NS (8 * NS_PER_S)
/* Longer than the reclaim delay after which a dead entry's units are
 * reclaimed. */
#define LONG_MEASURED_NS (40 * NS_PER_S)
#define TICK_NS NS_PER_MS
/* Time from the proposal of a ledger record until it is applied. */
#define COMMIT_NS (5 * NS_PER_MS)
/* Time without a leader at a leader change. */
#define ELECTION_NS NS_PER_S
/* Age of processes and pools at the start: longer than the reclaim delay, so
 * that a report covers all units of its VM, and a new leader knows which units
 * of a pool may be held. */
#define PROCESS_AGE_NS (60 * NS_PER_S)

struct request_class {
    double share;    /* of all requests, from 0 to 1 */
    int64_t work_ns; /* mean time at the endpoint */
    int64_t timeout_ns;
    bool idempotent;
};

extern const struct request_class classes[CLASSES];

/* Mean time for which a request uses a slot, with 4 ms on the network. */
#define MEAN_SLOT_TIME_NS (32 * NS_PER_MS)

/* The router and ledger as they are, or a baseline to compare with. */
struct mode {
    const char *name;  /* as printed */
    bool static_split; /* equal static division of the slots */
    bool fifo;         /* one team and path class, no deadlines */
    bool no_refusal;   /* the router is given 100 times the timeouts */
    bool unlimited_retries;
};

struct scenario {
    double load; /* offered, as a multiple of what all slots can serve */
    int entries;
    int endpoints;
    int64_t end_ns;        /* simulated time at which arrivals end */
    int failing_endpoints; /* number that reset connections */
    bool demand_shifts;    /* 80 % of it moves from entries 0 to 2 to entries
                              6 to 8 at half time */
    bool uneven_demand;    /* 80 % of it arrives at entries 0 to 2 */
    int64_t measured_ns;   /* length of the measurement after WARMUP_NS */
    bool entry_dies;     /* the last entry dies when the measurement starts */
    bool leader_changes; /* the leader dies then, and the next one leads
                            ELECTION_NS later */
};

enum event_kind {
    EV_REQUEST,
    EV_ATTEMPT_ENDED,
    EV_REPORT,
    EV_GRANTS,
    EV_COMMITTED,
    EV_TICK,
};

/* An event at the time node.key; which other fields are set depends on its
 * kind. */
struct event {
    struct heap_node node;
    enum event_kind kind;
    int entry;
    uint64_t request;
    uint32_t attempt;
    int endpoint;
    bool ok;
    int64_t send_time;
    struct report report;
    struct grants grants;
    struct ledger_record record;
};

struct request {
    int64_t arrival_time;
    int64_t work_ns;   /* time at the endpoint */
    int64_t send_time; /* of the first attempt */
    uint8_t cls;
    uint8_t entry;
};

/* Times from arrival to the first attempt, of completed requests. */
struct wait_samples {
    uint32_t *wait_us;
    size_t count;
};

struct model {
    const struct mode *mode;
    const struct scenario *scenario;
    struct rng demand_rng;
    struct rng delay_rng; /* separate, so that all modes get the same demand */
    int64_t now;
    uint64_t seq; /* of the last event */
    struct heap events;
    struct router *routers[ENTRIES_MAX];
    struct ledger *ledger;
    uint64_t term;
    struct ledger_vm vms[ENTRIES_MAX]; /* in the replicated state */
    uint64_t recorded_count;           /* ledger records applied */
    struct router_actions actions;
    struct report report;
    struct grants grants;
    struct request *requests;
    uint64_t request_count;
    uint64_t request_cap;
    uint32_t running_attempts[ENDPOINTS_MAX];
    /* Counts and sums of the measured time; useful requests are those
     * completed within their timeout. */
    uint64_t successful_attempts[ENDPOINTS_MAX];
    uint64_t started_attempts[ENDPOINTS_MAX];
    double useful_slot_ns;
    uint64_t useful_count[CLASSES];
    uint64_t offered_count[CLASSES];
    uint64_t sends;
    uint64_t retries;
    uint64_t late_count; /* completed after their timeout */
    struct wait_samples waits[CLASSES];
    /* Sums over ticks: all idle slots while any request waits, and the smaller
     * of idle slots and waiting requests. */
    double idle_strict;
    double idle_matched;
    uint64_t idle_sample_count;
    uint32_t max_queued; /* longest queue of an entry, with the warm-up */
    uint64_t report_bytes;
    uint64_t report_count;
    uint64_t granted_pool_count;      /* pools in all grants that were sent */
    float shifted_held[HELD_SAMPLES]; /* by tick: units held by the entries to
                                         which demand_shifts moves demand */
    int64_t cpu_ns;      /* of routers and ledger, with the warm-up */
    bool slots_exceeded; /* an endpoint ran more than SLOTS attempts */
};

/* Events, in route_model.c. */

/* Adds an event at a time; the model owns it. */
struct event *
model_add_event(struct model *m, enum event_kind kind, int entry, int64_t at);
/* Steps an entry's router, performs its actions and sends a report if due. */
void
model_step_router(struct model *m, int entry, const struct router_event *ev);
/* Returns the failure domain of the entry or endpoint n. */
struct str
model_domain_of(int n);
/* Returns a random time until the next request arrives at an entry. */
int64_t
model_draw_gap_ns(struct model *m, int entry);
/* Handles an event and frees what it points to, but not the event. */
void
model_handle_event(struct model *m, struct event *e);

/* Start and end of a run, in route_run.c. */

/* Runs a scenario and fills *m, whose memory model_free frees. mode and s must
 * stay valid until then. */
void
model_run(struct model *m, const struct mode *mode, const struct scenario *s,
          uint64_t seed);
void
model_free(struct model *m);

#endif
