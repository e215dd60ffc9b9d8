#ifndef GV_BENCH_ROUTE_MODEL_H
#define GV_BENCH_ROUTE_MODEL_H

#include "clock.h"
#include "heap.h"
#include "ledger.h"
#include "rng.h"
#include "router.h"

/* A model of several entries, one ledger and one service in seeded model
 * time. */

enum {
    ENTRIES = 9,
    ENTRIES_MAX = 22,
    DOMAINS = 3,
    ENDPOINTS = 50,
    ENDPOINTS_MAX = 500,
    SLOTS = 8,
    CAPACITY = ENDPOINTS * SLOTS,
    CLASSES = 2, /* check, bulk; each from a team of its own */
    MAX_WAITS = 1 << 20,
    SHIFT_SAMPLES = 20000,
};

#define WARM_NS (6 * NS_PER_S)
#define RUN_NS (8 * NS_PER_S)
/* More than the window after which a dead entry's units are free. */
#define LONG_RUN_NS (40 * NS_PER_S)
#define TICK_NS NS_PER_MS
/* Until a record of the leader is applied. */
#define COMMIT_NS (5 * NS_PER_MS)
/* Without a leader, when it changes. */
#define ELECTION_NS NS_PER_S
/* Processes and pools are older than the window of a leader change. */
#define AGE_NS (60 * NS_PER_S)

struct request_class {
    double share; /* of all requests */
    int64_t work_ns;
    int64_t timeout_ns;
    bool idempotent;
};

extern const struct request_class classes[CLASSES];

/* Mean slot time of a request, with 4 ms on the network. */
#define MEAN_SLOT_NS (32 * NS_PER_MS)

struct mode {
    const char *name;
    bool fixed;      /* equal static division of the slots */
    bool fifo;       /* no teams, classes or deadlines */
    bool no_refusal; /* the router believes in longer timeouts */
    bool unlimited;  /* retries */
};

struct scenario {
    double load;
    int entries;
    int endpoints;
    int64_t end_ns; /* of the arrivals, in model time */
    int failing;    /* endpoints that reset connections */
    bool shift;     /* demand moves to other entries half-way */
    bool uneven;    /* a third of the entries has 80 % of the demand */
    int64_t run_ns; /* that is measured, after WARM_NS */
    bool kill;      /* the last entry dies when the measuring starts */
    bool elect;     /* so does the leader; another leads ELECTION_NS later */
};

enum event_kind {
    EV_ARRIVE,
    EV_ENDED,
    EV_REPORT,
    EV_GRANTS,
    EV_COMMITTED,
    EV_TICK,
};

struct event {
    struct heap_node node;
    enum event_kind kind;
    int entry;
    uint64_t request;
    uint32_t attempt;
    int endpoint;
    bool ok;
    int64_t sent_at;
    struct report report;
    struct grants grants;
    struct ledger_record record;
};

struct request {
    int64_t arrived;
    int64_t work;
    int64_t sent;
    uint8_t cls;
    uint8_t entry;
};

struct sample {
    uint32_t *us;
    size_t count;
};

struct model {
    const struct mode *mode;
    const struct scenario *scenario;
    struct rng rng; /* of the demand */
    struct rng net; /* of the delays, so that ways meet the same demand */
    int64_t now;
    uint64_t seq;
    struct heap events;
    struct router *routers[ENTRIES_MAX];
    struct ledger *ledger;
    uint64_t term;
    struct ledger_vm vms[ENTRIES_MAX]; /* in the replicated state */
    uint64_t commits;
    struct router_actions actions;
    struct report report;
    struct grants grants;
    struct request *requests;
    uint64_t request_count;
    uint64_t request_cap;
    uint32_t running[ENDPOINTS_MAX];
    uint64_t served[ENDPOINTS_MAX];
    uint64_t started[ENDPOINTS_MAX];
    double useful_ns;
    uint64_t useful[CLASSES];
    uint64_t offered[CLASSES];
    uint64_t sends;
    uint64_t retries;
    uint64_t late;
    struct sample waits[CLASSES];
    double idle_strict;
    double idle_matched;
    uint64_t samples;
    uint32_t max_queued;
    uint64_t report_bytes;
    uint64_t reports;
    uint64_t moved;
    float hot_held[SHIFT_SAMPLES];
    int64_t cpu_ns;
    bool over;
};

/* ---- Events; route_model.c ---- */

struct event *
model_event_add(struct model *m, enum event_kind kind, int entry, int64_t at);
void
model_step(struct model *m, int entry, const struct router_event *ev);
struct str
model_domain_of(int n);
int64_t
model_next_gap(struct model *m, int entry);
void
model_handle(struct model *m, struct event *e);

/* ---- Runs; route_run.c ---- */

/* Fills *m, which model_finish empties. */
void
model_run(struct model *m, const struct mode *mode, const struct scenario *s,
          uint64_t seed);
void
model_finish(struct model *m);

#endif
