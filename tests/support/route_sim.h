#ifndef GV_TESTS_ROUTE_SIM_H
#define GV_TESTS_ROUTE_SIM_H

#include <glib.h>

#include "clock.h"
#include "ledger.h"
#include "rng.h"
#include "router.h"

/*
 * Simulates entries, control VMs and endpoints in simulated time under random
 * faults. A checker, which sees only what crosses the interfaces of the router
 * and the ledger, records every violation of their rules. Times are in
 * nanoseconds.
 */
enum {
    ENTRIES = 4,
    LEDGERS = 3,
    ENDPOINTS = 4,
    TEAMS = 2,
    POOLS = ENDPOINTS + TEAMS,
    MAX_REQUESTS = 2048,
    FAULT_STEPS = 250,
    /* Steps without faults before the final requests. They last longer than
     * the delay of a late report (0.8 s) plus RECLAIM_DELAY_NS, because such a
     * report restarts the reclaim delay of an entry that died. */
    SETTLE_STEPS = 340,
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
#define RECLAIM_DELAY_NS (LEASE_NS + LEDGER_LONGEST_NS + 2 * MARGIN_NS)
#define ANNOUNCEMENT_NS (300 * NS_PER_MS)
/* Length of the alternating phases of short and of mixed request timeouts. */
#define TIMEOUT_PHASE_NS (500 * NS_PER_MS)

/* Violations that the checker detects. "Sent" means a ROUTER_SEND action. */
enum violation {
    V_POOL,    /* entries may use more units than the capacity */
    V_RESENT,  /* a non-idempotent request sent again after bytes */
    V_NOT_RUN, /* refused although bytes may have been sent */
    V_ANSWERS, /* answered twice or never, or sent after its answer or while
                  another attempt runs */
    V_LEAVING, /* sent to an endpoint that left or expired */
    V_BUDGET,  /* more retries than the budget allows */
    V_UNCOMMITTED, /* sent before the idempotency record was committed */
    V_LEASE,       /* sent without configuration lease or with withdrawn key */
    V_EJECTED,     /* more endpoints ejected than configured */
    V_QUEUE,       /* queue longer than its bound */
    V_DEADLINE,    /* answered or sent late, or sent with a later deadline */
    V_STUCK,       /* a system without faults does not serve a request */
    VIOLATIONS,
};

/*
 * Faults that a run plants, one at a time, in the router's configuration, its
 * events or the messages. The checker must detect each of them.
 */
enum planted_fault {
    FAULT_NONE,
    FAULT_STALE_GRANT,   /* an old grant is resent with a new number */
    FAULT_EARLY_RECLAIM, /* the ledger reclaims before requests end */
    FAULT_STALE_REPORT,  /* an old report is resent with a new number */
    FAULT_HIDE_BYTES,    /* sent bytes are reported as not sent */
    FAULT_LOST_ANSWER,   /* an answer to a caller is lost */
    FAULT_HIDE_LEAVING,  /* the router is not told of leaving endpoints */
    FAULT_RETRY_BUDGET,  /* the router's retry budget is too large */
    FAULT_EARLY_COMMIT,  /* ROUTER_RECORD_COMMITTED comes too early */
    FAULT_LONG_LEASE,    /* the router's configuration lease is too long */
    FAULT_HIDE_KEY,      /* the router is not told of a withdrawn key */
    FAULT_EJECT_PERCENT, /* the router's eject_percent is too large */
    FAULT_QUEUE_MAX,     /* the router's queue_max is too large */
    FAULT_SLOW_CLOCK,    /* the router's clock lags by 100 ms */
    FAULT_LOST_GRANTS,   /* no grant arrives */
    FAULT_FORGET_VMS,    /* a new leader knows of no registered VMs */
    FAULT_EARLY_END,     /* reports say that attempts end at once */
    FAULT_HIDE_RAISE,    /* reports never lower early_ns again */
    FAULT_HIDE_RECORD,   /* records never lower early_ns in the state */
    FAULT_EARLY_CONFIRM, /* grants say that no early_ns is recorded */
};

/* What the checker knows of a request. */
struct sim_request {
    int entry;
    uint64_t run; /* of the entry's process that took the request */
    uint64_t key;
    bool idempotent;
    bool record_committed; /* its idempotency record is committed, if needed */
    bool bytes_sent;       /* bytes of any attempt may have been sent */
    bool key_withdrawn;
    int send_count;
    int answer_count;
    int running_attempts; /* attempts now at an endpoint */
    int64_t deadline;     /* on the entry's clock */
    bool completed;
};

/* An attempt at an endpoint. */
struct sim_attempt {
    bool live;
    int request;
    uint32_t number; /* of this attempt of the request, as in ROUTER_SEND */
    int entry;
    uint64_t run;
    int endpoint;
    int team;
    bool bytes_sent;
    enum attempt_result result;
    int64_t start;
    int64_t end;
};

enum message_kind {
    MESSAGE_REPORT,
    MESSAGE_GRANTS,
    MESSAGE_LEADER,
};

/* A message between an entry and the leader. */
struct message {
    enum message_kind kind;
    int64_t delivery_time;
    int entry; /* the sender of a report, else the receiver */
    uint64_t run;
    struct report report;
    struct grants grants;
    uint64_t term;
};

/* A command to the replicated state: a ledger record or, with record.seq 0,
 * the registration of another process of the VM. */
struct command {
    int64_t commit_time;
    int entry;
    struct ledger_record record;
};

struct sim_entry {
    struct router *router;
    uint64_t run;
    int64_t clock_offset_ns;
    int64_t drift_ppm;
    int paused_steps;       /* steps until the process runs again */
    int disconnected_steps; /* steps until messages reach it again */
    int64_t lease_end;      /* of its units, on its clock */
    int64_t resume_time;    /* end of the last pause, on its clock */
    int64_t config_deadline;
    int64_t max_early_ns;               /* largest early_ns of its reports */
    int64_t announced_until[ENDPOINTS]; /* deadline of the announcement that
                                           this entry knows; 0 if it left */
    uint64_t retries;
    uint64_t arrivals;
};

struct route_sim {
    struct rng rng;
    enum planted_fault fault;
    int64_t now;
    struct sim_entry entries[ENTRIES];
    struct ledger *ledgers[LEDGERS];
    int leader;
    uint64_t term;
    uint64_t last_run; /* number given to the newest process */
    uint32_t capacity[POOLS];
    uint32_t allowed[POOLS]; /* largest within the reclaim delay */
    int64_t allowed_until[POOLS];
    bool leaving[ENDPOINTS];
    bool failing[ENDPOINTS];
    struct ledger_vm vms[ENTRIES]; /* in the replicated state */
    GArray *log; /* struct command that are not committed yet, in order */
    GPtrArray *messages;
    GArray *attempts;
    struct sim_request requests[MAX_REQUESTS];
    int request_count;
    struct router_actions actions;
    struct report report;
    struct grants grants;
    unsigned violations; /* bit per enum violation */
    bool faults_off;
    bool short_timeouts; /* few requests have long timeouts */
};

/*
 * Runs one fault sequence and returns a bit per violation. With
 * short_timeouts, nearly all request timeouts are short in every other
 * TIMEOUT_PHASE_NS, so that entries lower and raise their bound on attempt
 * durations.
 */
unsigned
route_sim_run(uint64_t seed, enum planted_fault fault, bool short_timeouts);

/* The checker, called by the simulation. */

/* Checks that entries and their attempts use no more than each capacity. */
void
route_check_pools(struct route_sim *sim);
/* Checks a ROUTER_SEND action of an entry. */
void
route_check_send(struct route_sim *sim, int entry,
                 const struct router_action *a);
/* Checks an action that answers the caller. */
void
route_check_answer(struct route_sim *sim, int entry,
                   const struct router_action *a);
/* Checks an entry's queue length and number of ejected endpoints. */
void
route_check_limits(struct route_sim *sim, int entry);
/* Checks at the end that all requests were answered, and that those from
 * first_new on were completed. */
void
route_check_end(struct route_sim *sim, int first_new);
void
route_check_add_violation(struct route_sim *sim, enum violation v);

/* The network, the endpoints and the leader, used by the simulation. */

bool
route_sim_random_bool(struct route_sim *sim, unsigned per_mille);
/* Returns a random time, in nanoseconds, between two numbers of milliseconds,
 * both included. */
int64_t
route_sim_random_ns(struct route_sim *sim, int64_t low_ms, int64_t high_ms);
/* Steps an entry's router and performs its actions. */
void
route_sim_step_router(struct route_sim *sim, int entry,
                      const struct router_event *ev);
/* Queues copies of a message, or loses, repeats or delays it. */
void
route_sim_send_message(struct route_sim *sim, struct message message);
void
route_sim_deliver_messages(struct route_sim *sim);
/* Commits the commands that are due. With leader_lost, commits a random prefix
 * of the log, which the next leader has, and discards the others. */
void
route_sim_commit_log(struct route_sim *sim, bool leader_lost);
/* Runs the leader's timers and sends the grants that are due. */
void
route_sim_run_leader(struct route_sim *sim);
/* Returns a deep copy, which route_message_free frees. */
struct message *
route_message_copy(const struct message *from);
void
route_message_free(gpointer p);
int
route_sim_team_of(uint64_t request);

/* Returns the time on an entry's clock. */
int64_t
route_sim_local_now(const struct route_sim *sim, int entry);
struct str
route_sim_pool_name(int pool);

#endif
