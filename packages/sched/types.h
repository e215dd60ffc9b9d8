#ifndef GV_SCHED_TYPES_H
#define GV_SCHED_TYPES_H

#include "clock.h"
#include "fit.h"
#include "heap.h"
#include "link.h"
#include "map.h"
#include "sched.h"

enum {
    LANE_URGENT,
    LANE_NORMAL,
    LANES,
};

enum {
    QUANTILE_BUCKETS = 64,
    BLAMED_JOBS = 4,
    NO_TASK = UINT32_MAX,
};

enum timer_kind {
    TIMER_BACKOFF,    /* job: delayed tasks wait again */
    TIMER_PARKED,     /* job: report it unschedulable */
    TIMER_STOP,       /* lease: the checkpoint took too long */
    TIMER_CLAIM,      /* claim: the victims took too long */
    TIMER_QUARANTINE, /* worker: begin probation */
    TIMER_RESERVE,    /* scheduler: next gang or big task */
    TIMER_SHADOW,     /* scheduler: backfilled tasks must end */
    TIMER_URGENT,     /* scheduler: blocked urgent work looks again */
};

struct timer {
    struct heap_node node;
    enum timer_kind kind;
    void *owner;
};

/* A decayed histogram over powers of 2^(1/4). */
struct quantile {
    float weight[QUANTILE_BUCKETS];
    float total;
    uint32_t samples;
};

/* What was learned about the jobs of one name in one team. */
struct profile {
    struct link lru;
    struct str key;
    uint64_t id;
    size_t users; /* jobs that point here */
    struct quantile run_s;
    struct quantile cpu; /* used, relative to declared */
    struct quantile memory;
    double runs; /* decayed counts */
    double failures;
};

/* Jobs of one account of about the same size, in order of arrival. */
struct queue {
    struct fit_node node;
    struct fit_node big; /* in lane.big */
    struct account *account;
    uint64_t shape;
    int lane;
    struct fit_tree *tree; /* that holds node, or NULL */
    uint64_t head;         /* number of the first job when last refreshed */
    struct link jobs;
};

struct lane {
    struct fit_tree ready;   /* to be tried */
    struct fit_tree blocked; /* no capacity; vector: minus one task */
    struct fit_tree limited; /* team limit; vector: minus one or all tasks */
    struct fit_tree gangs;   /* gangs that wait for a retry or reservation */
    struct fit_node retried; /* key and seq of the gang retried last */
    struct fit_tree big;     /* blocked ones that small tasks may starve */
    int64_t blocked_since;   /* at most the least key of blocked */
    struct heap_node heap;   /* in sched.ready[lane] while ready has nodes */
};

/* A share of the fleet: the own or the open-queue work of one team. */
struct account {
    struct team *team;
    double weight;
    struct vec used;
    struct vec urgent; /* the part of used that is urgent */
    double dominant;   /* share of the fleet, 0 to 1 */
    double share_key;  /* the part of its order that is due to its share */
    size_t jobs;
    struct lane lanes[LANES];
    struct map *queues;      /* by shape */
    struct fit_tree victims; /* leases, cheapest to stop first */
    struct link parked;      /* jobs above the team's limit */
};

struct team {
    uint32_t id;
    bool known; /* a team event was seen */
    struct vec limit;
    struct vec used;
    struct vec stopping; /* the part of used that was told to end */
    struct vec services; /* the part of used that does not end by itself */
    struct account accounts[2]; /* own, open queue */
    struct job *hold;           /* others leave room for it under the limit */
    struct vec hold_need;
    struct link claims;
    struct link dirty; /* in sched.dirty_teams: used fell or limit rose */
};

struct task {
    uint8_t state; /* enum sched_task_state */
    bool delayed;
    bool reclaimed; /* stopped for another account's share already */
    uint8_t failures;
    uint8_t losses;
    uint32_t prev;
    uint32_t next;
    struct lease *lease;
    struct claim *claim;
};

struct task_list {
    uint32_t first;
    uint32_t count;
};

struct service_policy {
    struct map *spread; /* tasks per VM, rack and failure domain */
};

struct gang_policy {
    uint32_t uncommitted; /* placements not yet committed */
    bool regroup;         /* the members are being stopped */
};

struct job {
    uint64_t id;
    struct account *account;
    struct profile *profile;
    enum sched_class class;
    bool urgent;
    bool idempotent;
    bool cancelled;
    bool failed;
    bool unknown;
    bool may_have_run;
    bool reported;                   /* as unschedulable */
    enum sched_reason reason;        /* of the outcome */
    enum sched_reason parked_reason; /* NONE unless parked */
    struct vec size;                 /* declared */
    struct vec grown;                /* observed above the declared size */
    struct vec ask;                  /* asked for one task while queued */
    int64_t run_time_ns;
    int64_t arrived;
    int64_t enqueued; /* since when it waits */
    uint32_t tasks_count;
    uint32_t done;
    uint32_t retries; /* for the back-off */
    struct task *tasks;
    struct task_list waiting;
    struct task_list delayed;
    struct link leases;
    struct link claims;
    size_t live; /* leases and claims */
    struct queue *queue;
    struct link in_queue;
    struct link parked; /* while unschedulable for TEAM_LIMIT or TOO_MANY */
    struct fit_node parked_fit; /* while unschedulable for NO_WORKER */
    struct timer backoff;
    struct timer park;
    /* What its policy keeps, by class. */
    union {
        struct service_policy service;
        struct gang_policy gang;
    } policy;
};

enum lease_state {
    LEASE_PLACING,   /* not committed */
    LEASE_COMMITTED, /* a gang member that waits for the others */
    LEASE_STARTED,   /* the worker may run it */
    LEASE_RUNNING,   /* the worker reported it */
};

struct lease {
    uint64_t id;
    struct job *job;
    uint32_t task;
    enum lease_state state;
    bool drop;     /* no START once committed */
    bool stopping; /* checkpoint or stop was sent, or drop */
    bool stop_sent;
    bool backfill;
    bool outgrew;
    bool planned; /* to be stopped for a gang that is being planned */
    struct worker *worker;
    uint64_t incarnation; /* 0: restored, not confirmed */
    struct vec size;
    int64_t began; /* placed, or first seen running */
    int64_t throttled;
    uint64_t peak_cpu;
    uint64_t peak_memory;
    struct link on_worker;
    struct link of_job;
    struct link dropped;
    struct fit_node victim;
    struct fit_node ends;
    struct timer stop;
    struct domain *domain; /* as counted in job.spread */
    struct rack *rack;
};

/* Capacity of a worker kept for an urgent task while victims end. */
struct claim {
    struct job *job;
    uint32_t task;
    struct worker *worker;
    struct vec size;
    struct link on_worker;
    struct link of_job;
    struct link of_team;
    struct timer timer;
};

struct rack {
    uint32_t id;
};

struct domain {
    uint32_t id;
    struct fit_tree
        free[2]; /* without and with accelerators; emptiest first */
};

struct worker {
    uint32_t id;
    uint64_t incarnation;
    bool up;
    bool draining;
    bool quarantined;
    bool probation;
    struct vec capacity;
    struct vec used;
    struct vec claimed;
    struct vec reserved;
    int64_t slots;      /* of the reservation, held here */
    int64_t slots_free; /* of those, not occupied by backfill */
    struct rack *rack;
    struct domain *domain;
    struct fit_node by_fill;   /* fullest first, in sched.free */
    struct fit_node by_domain; /* emptiest first, in its domain */
    struct fit_node by_capacity;
    struct vec stoppable; /* leases that urgent work may stop */
    struct fit_node by_stoppable;
    struct fit_node by_held; /* free capacity with the reservation's part */
    struct link leases;
    struct link claims;
    struct link dirty;
    struct link held;
    double score;
    uint64_t blamed[BLAMED_JOBS]; /* profiles that failed here */
    uint32_t blamed_count;
    int64_t quarantine_ns;
    struct timer release;
    struct vec shadow_free; /* scratch of the shadow time */
    uint64_t shadow_mark;
};

/* The one job for which freed capacity is kept, see gang.c. */
struct reservation {
    struct job *job; /* NULL: none */
    struct vec size;
    int64_t need;
    int64_t held;
    int64_t ready;
    int64_t most; /* the most that were ready at once */
    int64_t shadow;
    int64_t progress;   /* when most rose last */
    struct vec charged; /* to the team, for a gang that work is stopped for */
    struct link workers;
    struct fit_tree tree;
};

struct sched {
    struct sched_config config;
    int64_t now;
    int64_t created;
    bool ticked;
    struct sched_actions *out;
    uint64_t next_lease;
    uint64_t next_id;
    struct map *teams;
    struct map *workers;
    struct map *jobs;
    struct map *leases;
    struct map *profiles;
    struct link profile_lru;
    struct map *racks;
    struct map *domains;
    struct domain **domain_list;
    size_t domain_count;
    struct account **accounts;
    size_t account_count;
    double total_weight;  /* of all accounts */
    double active_weight; /* of accounts with jobs */
    bool shares_stale;
    int64_t shares_at; /* when all accounts were last ordered */
    struct vec fleet;
    struct vec free_sum;
    struct fit_tree free[2];
    /* Workers that can be used, by room plus preemptible work. */
    struct fit_tree stoppable;
    struct fit_tree capacity; /* of all workers that are up */
    struct fit_tree ends;     /* running batch leases by expected end */
    struct heap ready[LANES];
    struct heap timers;
    uint64_t timer_seq;
    struct fit_tree parked;   /* jobs that fit no worker */
    struct link parked_gangs; /* that need more than the fleet */
    size_t parked_gang_count;
    size_t recheck_left; /* parked gangs not checked since a worker came */
    struct link dirty_workers;
    struct link dirty_teams;
    struct link dropped; /* leases that end without a worker */
    struct queue *woken;
    struct worker *woken_by;
    struct team *woken_team;
    struct reservation reservation;
    struct timer reserve;
    struct timer shadow;
    struct timer urgent;
    int64_t reclaim_at;    /* when it was last looked for */
    double in_use;         /* of the fleet then, as a sum of dominant shares */
    size_t reclaim_cursor; /* account that was looked at last */
    double reclaim_budget; /* run time that may be lost, as reclaimed_s */
    uint64_t shadow_mark;
    double fleet_failures; /* decayed fraction of tasks that fail */
    size_t quarantined;
    size_t retry_cursor; /* account whose gang was retried last */
    struct sched_stats stats;
};

#endif
