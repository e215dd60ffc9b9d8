#ifndef GV_TESTS_ROUTE_WORLD_H
#define GV_TESTS_ROUTE_WORLD_H

#include <glib.h>

#include "clock.h"
#include "ledger.h"
#include "rng.h"
#include "router.h"

/*
 * Entries, control VMs and endpoints in model time under random faults,
 * watched by a checker that knows only what crosses the interfaces.
 */
enum {
    ENTRIES = 4,
    LEDGERS = 3,
    ENDPOINTS = 4,
    TEAMS = 2,
    POOLS = ENDPOINTS + TEAMS,
    REQUESTS = 2048,
    STEPS = 250,
    /* A late report (0.8 s) restarts the window of an entry that died. */
    QUIET_STEPS = 340,
    TEAM_LIMIT = 5,
    QUEUE_MAX = 12,
    RETRY_PERCENT = 20,
    RETRY_BURST = 5,
    EJECT_PERCENT = 50,
};

#define STEP_NS (5 * NS_PER_MS)
#define LEASE_NS (300 * NS_PER_MS)
#define ROUTER_LONGEST_NS (300 * NS_PER_MS)
#define CANCEL_NS (20 * NS_PER_MS)
#define LEDGER_LONGEST_NS (ROUTER_LONGEST_NS + 2 * CANCEL_NS)
#define MARGIN_NS (5 * NS_PER_MS)
#define DRIFT_PPM 500
#define WINDOW_NS (LEASE_NS + LEDGER_LONGEST_NS + 2 * MARGIN_NS)
#define ANNOUNCED_NS (300 * NS_PER_MS)
#define BRIEF_NS (500 * NS_PER_MS)

/* What the checker can find; planted faults name the one they must cause. */
enum violation {
    V_POOL,     /* more units believed held than the capacity */
    V_TWICE,    /* a non-idempotent request sent again after bytes */
    V_NOT_RUN,  /* refused although bytes may have been sent */
    V_ENDS,     /* answered twice, or never */
    V_LEAVING,  /* sent to an endpoint that left or expired */
    V_BUDGET,   /* more retries than the budget */
    V_MARK,     /* sent before the idempotency record was committed */
    V_LEASE,    /* sent without configuration lease or with withdrawn key */
    V_EJECTED,  /* more endpoints ejected than configured */
    V_QUEUE,    /* queue longer than its bound */
    V_DEADLINE, /* answered late */
    V_STUCK,    /* a healthy system does not serve */
    VIOLATIONS,
};

enum plant {
    PLANT_NONE,
    PLANT_STALE_GRANT,   /* an old grant comes back with a new number */
    PLANT_EARLY_RECLAIM, /* the ledger reclaims before requests ended */
    PLANT_STALE_REPORT,  /* an old report comes back with a new number */
    PLANT_NO_BYTES,      /* sent bytes are reported as not sent */
    PLANT_LOST_END,      /* an answer is lost */
    PLANT_HIDE_LEAVING,  /* the router is not told that an endpoint leaves */
    PLANT_BUDGET,        /* the router is configured with a larger budget */
    PLANT_EARLY_MARK,    /* marked before the record is committed */
    PLANT_LONG_LEASE,    /* the router believes in a longer lease */
    PLANT_HIDE_KEY,      /* the router is not told of a withdrawn key */
    PLANT_EJECT,         /* ... in a larger part that may be ejected */
    PLANT_QUEUE,         /* ... in a longer queue */
    PLANT_SLOW_CLOCK,    /* the router's time lags by 100 ms */
    PLANT_DEAF,          /* no grant arrives */
    PLANT_FORGET_VMS,    /* a new leader knows of no registered entries */
    PLANT_EARLY_END,     /* reports say that attempts end at once */
    PLANT_LOST_RAISE,    /* reports never say that attempts take longer */
    PLANT_LOST_RECORD,   /* the state never says so */
    PLANT_EARLY_ANSWER,  /* answers say that the state does already */
};

struct track {
    int entry;
    uint64_t run;
    uint64_t key;
    bool idempotent;
    bool marked;
    bool bytes;
    bool withdrawn;
    int sends;
    int answers;
    int running; /* attempts now at an endpoint */
    int64_t deadline;
    bool completed;
};

struct flight {
    bool live;
    int request;
    uint32_t attempt;
    int entry;
    uint64_t run;
    int endpoint;
    int team;
    bool bytes;
    enum attempt_result result;
    int64_t start;
    int64_t end;
};

enum mail_kind {
    MAIL_REPORT,
    MAIL_GRANT,
    MAIL_LEADER,
};

struct mail {
    enum mail_kind kind;
    int64_t at;
    int entry;
    uint64_t run;
    struct report report;
    struct grants grants;
    uint64_t term;
};

/* A command to the replicated state: a promise or, with seq 0, another
 * process of the VM. */
struct command {
    int64_t at; /* committed */
    int entry;
    struct ledger_record record;
};

struct member {
    struct router *router;
    uint64_t run;
    int64_t offset;
    int64_t ppm;
    int paused;
    int cut;
    int64_t lease_until; /* of its units */
    int64_t resumed;     /* end of the last pause */
    int64_t config_deadline;
    int64_t early_most;      /* largest early_ns of its reports */
    int64_t seen[ENDPOINTS]; /* end of the announcement known here */
    uint64_t retries;
    uint64_t arrivals;
};

struct world {
    struct rng rng;
    enum plant plant;
    int64_t t;
    struct member members[ENTRIES];
    struct ledger *ledgers[LEDGERS];
    int leader;
    uint64_t term;
    uint64_t runs;
    uint32_t capacity[POOLS];
    uint32_t allowed[POOLS]; /* largest capacity within the window */
    int64_t allowed_until[POOLS];
    bool leaving[ENDPOINTS];
    bool failing[ENDPOINTS];
    struct ledger_vm vms[ENTRIES]; /* in the replicated state */
    GArray *log;                   /* not committed yet, in order */
    GPtrArray *mails;
    GArray *flights;
    struct track tracks[REQUESTS];
    int requests;
    struct router_actions actions;
    struct report report;
    struct grants grants;
    unsigned found; /* bit per violation */
    bool quiet;
    bool brief; /* few requests have long timeouts */
};

/* Runs one sequence; returns a bit per violation. With brief, nearly all
 * timeouts are short for BRIEF_NS at a time, so that entries lower and raise
 * their bound. */
unsigned
world_run(uint64_t seed, enum plant plant, bool brief);

/* The checker, called by the world. */
void
check_pools(struct world *w);
void
check_send(struct world *w, int entry, const struct router_action *a);
void
check_answer(struct world *w, int entry, const struct router_action *a);
void
check_bounds(struct world *w, int entry);
void
check_end(struct world *w, int first_new);
void
violation(struct world *w, enum violation v);

/* The network and the world outside, used by the world. */
bool
world_chance(struct world *w, unsigned per_mille);
/* A random time between two numbers of milliseconds. */
int64_t
world_between(struct world *w, int64_t low_ms, int64_t high_ms);
/* Steps an entry's router and performs its actions. */
void
world_event(struct world *w, int entry, const struct router_event *ev);
/* Sends, loses, repeats or delays a message. */
void
world_post(struct world *w, struct mail mail);
void
world_deliver(struct world *w);
/* Commits what is due of the log. With leader_lost, the next leader has a part
 * of the rest. */
void
world_commit(struct world *w, bool leader_lost);
/* The leader's timers and grants. */
void
world_lead(struct world *w);
struct mail *
mail_copy(const struct mail *from);
void
mail_free(gpointer p);
int
team_of(uint64_t request);

int64_t
local_now(const struct world *w, int entry);
struct str
pool_name(int pool);

#endif
