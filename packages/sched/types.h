#ifndef GV_SCHED_TYPES_H
#define GV_SCHED_TYPES_H

#include "clock.h"
#include "fit.h"
#include "heap.h"
#include "link.h"
#include "map.h"
#include "sched.h"

/* Priority lanes: ready urgent work is always placed first. */
enum {
    LANE_URGENT,
    LANE_NORMAL,
    LANES,
};

enum {
    HISTOGRAM_BUCKETS = 64,
    BLAMED_PROFILES_MAX = 4,
    NO_TASK = UINT32_MAX, /* end of a task list */
};

/* The object that owns the timer, and what happens when it expires. */
enum timer_kind {
    TIMER_BACKOFF, /* job: delayed tasks are queued again */
    TIMER_PARKED,  /* job: it is reported as unschedulable */
    TIMER_STOP,    /* lease: it is stopped, the checkpoint took too long */
    TIMER_CLAIM,   /* claim: it is cancelled, victims took too long to end */
    TIMER_QUARANTINE, /* worker: probation begins */
    TIMER_RESERVE,    /* scheduler: the next job may take the reservation */
    TIMER_SHADOW,     /* scheduler: backfilled tasks must have ended */
    TIMER_URGENT,     /* scheduler: blocked urgent work is tried again */
};

struct timer {
    struct heap_node node;
    enum timer_kind kind;
    void *owner;
};

/* A histogram with buckets at powers of 2^(1/4) whose samples decay. */
struct decayed_histogram {
    float weight[HISTOGRAM_BUCKETS];
    float total;
    uint32_t samples;
};

/* Statistics of the jobs with one name in one team. */
struct profile {
    struct link lru; /* in sched.profile_lru while no job uses it */
    struct str key;  /* team and job name */
    uint64_t id;
    size_t users;                    /* number of jobs that use it */
    struct decayed_histogram run_s;  /* run times in s */
    struct decayed_histogram cpu;    /* peak use relative to declared size */
    struct decayed_histogram memory; /* peak use relative to declared size */
    double runs;                     /* decayed count */
    double failures;                 /* decayed count */
};

/* Jobs of one account with about the same request, in order of arrival. */
struct queue {
    struct fit_node node;
    struct fit_node big_node; /* in lane.big_queues */
    struct account *account;
    uint64_t shape; /* of the jobs, see compute_shape() */
    int lane;
    struct fit_tree *tree; /* tree of the lane that holds node, or NULL */
    uint64_t head_id;      /* id of the first job when last moved */
    struct link jobs;
};

/* The queues of one account and priority, by what they wait for. */
struct lane {
    struct fit_tree ready;        /* to be tried on the next tick */
    struct fit_tree blocked;      /* no worker has room for the next task */
    struct fit_tree limited;      /* the team's limit leaves no room */
    struct fit_tree gangs;        /* gangs waiting for retry or reservation */
    struct fit_node last_retried; /* key and seq of the gang retried last */
    struct fit_tree big_queues;   /* those of blocked that may starve */
    int64_t blocked_since_ns;     /* lower bound of the keys in blocked */
    struct heap_node heap;        /* in sched.ready_lanes[] unless ready is
                                     empty */
};

/*
 * The unit of fair sharing: either the own work of a team or its open-queue
 * work.
 */
struct account {
    struct team *team;
    double weight;
    struct vec used;
    struct vec urgent_used; /* the part of used that is urgent */
    double dominant_share;  /* of the fleet, 0 to 1 */
    double share_key;       /* contribution of the share to the order key */
    size_t jobs;            /* number of jobs */
    struct lane lanes[LANES];
    struct map *queues;      /* by shape */
    struct fit_tree victims; /* leases, cheapest to stop first */
    struct link parked_jobs; /* jobs that exceed the team's limit */
};

struct team {
    uint32_t id;
    bool known; /* a team event was received */
    struct vec limit;
    struct vec used;
    struct vec stopping_used;   /* the part of used that was told to end */
    struct vec service_used;    /* the part of used that belongs to services */
    struct account accounts[2]; /* own work, open-queue work */
    struct job *hold_job;       /* job for which room is held; NULL: none */
    struct vec hold_request;    /* room held for it under the limit */
    struct link claims;
    struct link dirty; /* in sched.dirty_teams: used fell or limit rose */
};

struct task {
    uint8_t state; /* enum sched_task_state */
    bool delayed;
    bool reclaimed; /* was stopped once by reclaim.c */
    uint8_t failures;
    uint8_t losses;
    uint32_t prev; /* in its task list */
    uint32_t next; /* in its task list */
    struct lease *lease;
    struct claim *claim;
};

/* A doubly linked list of a job's tasks, by task index. */
struct task_list {
    uint32_t first;
    uint32_t count;
};

struct service_policy {
    struct map *spread_counts; /* tasks per VM, rack and failure domain */
};

struct gang_policy {
    uint32_t uncommitted; /* placements not yet committed */
    bool restarting;      /* members are being stopped, to start together */
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
    bool outcome_unknown; /* a non-idempotent task may have run */
    bool may_have_run;
    bool reported_unschedulable;
    enum sched_reason reason;        /* of the outcome */
    enum sched_reason parked_reason; /* NONE unless parked */
    struct vec size;                 /* declared size of one task */
    struct vec min_request;          /* after a task exceeded its memory */
    struct vec request;              /* for one task, while queued */
    int64_t run_time_ns;             /* declared, 0 if unknown */
    int64_t arrived_ns;
    int64_t enqueued_ns; /* time since which it waits */
    uint32_t tasks_count;
    uint32_t done_count;
    uint32_t retries; /* for the back-off */
    struct task *tasks;
    struct task_list waiting;
    struct task_list delayed; /* until the back-off ends */
    struct link leases;
    struct link claims;
    size_t active_count; /* number of leases and claims */
    struct queue *queue; /* NULL: not queued */
    struct link in_queue;
    struct link parked_link;     /* while parked for TEAM_LIMIT or TOO_MANY */
    struct fit_node parked_node; /* while parked for NO_WORKER */
    struct timer backoff_timer;
    struct timer park_timer;
    /* State of the policy for the job's class. */
    union {
        struct service_policy service;
        struct gang_policy gang;
    } policy;
};

enum lease_state {
    LEASE_PLACING,   /* the placement is not committed */
    LEASE_COMMITTED, /* committed; a gang member waits for the others */
    LEASE_STARTED,   /* the worker may run it */
    LEASE_RUNNING,   /* the worker reported that it runs */
};

struct lease {
    uint64_t id;
    struct job *job;
    uint32_t task;
    enum lease_state state;
    bool placement_cancelled; /* no START once committed */
    bool stopping;            /* told to end, or placement_cancelled */
    bool stop_sent;
    bool backfill; /* uses room held by the reservation */
    bool exceeded_memory;
    bool planned_victim; /* of the urgent gang that is being planned */
    struct worker *worker;
    uint64_t incarnation; /* of the worker; 0: restored, not confirmed */
    struct vec size;
    int64_t began_ns;     /* time when placed, then when reported running */
    int64_t throttled_ns; /* time of the last THROTTLE, 0: none */
    uint64_t peak_cpu_milli;
    uint64_t peak_memory_mib;
    struct link on_worker;
    struct link of_job;
    struct link deferred_link;   /* in sched.deferred_finishes */
    struct fit_node victim_node; /* in account.victims */
    struct fit_node end_node;    /* in sched.expected_ends */
    struct timer stop_timer;
    struct domain *domain; /* as counted in the job's spread_counts */
    struct rack *rack;     /* likewise */
};

/*
 * Capacity of a worker that is kept for a task while the leases stopped for it
 * end. Urgent jobs and reclaim.c create claims.
 */
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

/* A failure domain. */
struct domain {
    uint32_t id;
    /* Usable workers without and with accelerators, emptiest first. */
    struct fit_tree free_workers[2];
};

struct worker {
    uint32_t id;
    uint64_t incarnation;
    bool up;
    bool draining;
    bool quarantined;
    bool probation; /* gets one task at a time after a quarantine */
    struct vec capacity;
    struct vec used;             /* by leases */
    struct vec claimed;          /* by claims */
    struct vec reserved;         /* by the reservation */
    int64_t reserved_slots;      /* slots of the reservation held here */
    int64_t free_reserved_slots; /* those of them that are free now */
    struct rack *rack;
    struct domain *domain;
    struct fit_node by_fill;     /* in sched.free_workers, fullest first */
    struct fit_node by_domain;   /* in domain.free_workers, emptiest first */
    struct fit_node by_capacity; /* in sched.up_workers */
    struct vec stoppable; /* size of the leases that urgent work may stop */
    struct fit_node by_stoppable; /* in sched.stoppable */
    struct fit_node by_reserved;  /* in reservation.tree: free capacity
                                     including what is reserved */
    struct link leases;
    struct link claims;
    struct link dirty; /* in sched.dirty_workers: capacity was released */
    struct link reservation_link; /* in reservation.workers */
    double fault_score;           /* failures not explained by the jobs */
    uint64_t blamed_profiles[BLAMED_PROFILES_MAX]; /* ids, failed here */
    uint32_t blamed_profile_count;
    int64_t quarantine_ns; /* length of the last quarantine, 0: none */
    struct timer quarantine_timer;
    struct vec shadow_free; /* free capacity at the forecast time */
    uint64_t shadow_pass;   /* forecast for which shadow_free is valid */
};

/*
 * The reservation keeps freed capacity for one job at a time, a gang or a big
 * task. A slot is the room for one task. Other work may use the capacity until
 * the shadow time, at which the reservation is expected to be complete.
 */
struct reservation {
    struct job *job; /* NULL: there is no reservation */
    struct vec slot_size;
    int64_t needed_slots;
    int64_t held_slots;
    int64_t free_slots;         /* those of held_slots that are free now */
    int64_t max_free_slots;     /* maximum of free_slots so far */
    int64_t shadow_ns;          /* shadow time */
    int64_t last_progress_ns;   /* time when max_free_slots last rose */
    struct vec charged_to_team; /* for a gang for which work is stopped */
    struct link workers;        /* with held slots */
    struct fit_tree tree;       /* the same workers, by free capacity */
};

struct sched {
    struct sched_config config;
    int64_t now; /* time of the current event, ns */
    int64_t created_ns;
    bool ticked;                   /* the first tick has been handled */
    struct sched_actions *actions; /* output of the current event */
    uint64_t next_lease;
    uint64_t next_id; /* of profiles and tree nodes */
    struct map *teams;
    struct map *workers;
    struct map *jobs;
    struct map *leases;
    struct map *profiles;
    struct link profile_lru; /* profiles without jobs, oldest first */
    struct map *racks;
    struct map *domains;
    struct domain **domain_list;
    size_t domain_count;
    struct account **accounts;
    size_t account_count;
    double total_weight;       /* of all accounts */
    double active_weight;      /* of accounts with jobs */
    bool shares_stale;         /* capacity of the fleet or a weight changed */
    int64_t shares_updated_ns; /* time when all accounts were last ordered */
    struct vec fleet_capacity;
    struct vec fleet_free;
    /* Usable workers without and with accelerators, fullest first. */
    struct fit_tree free_workers[2];
    /* Usable workers, by free capacity plus preemptible leases. */
    struct fit_tree stoppable;
    struct fit_tree up_workers;    /* up and not draining, by capacity */
    struct fit_tree expected_ends; /* leases of non-services by expected end */
    struct heap ready_lanes[LANES]; /* lanes of accounts with ready queues */
    struct heap timers;
    uint64_t timer_seq;
    struct fit_tree parked_jobs; /* jobs that fit no worker */
    struct link parked_gangs;    /* gangs that need more than the fleet */
    size_t parked_gang_count;
    size_t parked_gang_rechecks; /* to be checked since a worker came */
    struct link dirty_workers;
    struct link dirty_teams;
    struct link deferred_finishes;  /* leases to finish after this event */
    struct queue *woken_queue;      /* made ready by released room */
    struct worker *woken_by_worker; /* that released the room, or NULL */
    struct team *woken_by_team;     /* that released the room, or NULL */
    struct reservation reservation;
    struct timer reserve_timer;
    struct timer shadow_timer;
    struct timer urgent_timer;
    int64_t last_reclaim_ns;   /* time of the last attempt to reclaim */
    double share_in_use;       /* sum of all dominant shares at that time */
    size_t reclaim_cursor;     /* index of the last account served */
    double reclaim_budget_s;   /* run time that may be lost, as reclaimed_s */
    uint64_t shadow_pass;      /* number of the current forecast */
    double fleet_failure_rate; /* decayed fraction of tasks that fail */
    size_t quarantined;        /* number of workers */
    size_t retry_cursor; /* index of the account whose gang was retried last */
    struct sched_stats stats;
};

#endif
