#ifndef GV_LEDGER_INT_H
#define GV_LEDGER_INT_H

#include <sys/queue.h>

#include "heap.h"
#include "ledger.h"
#include "map.h"

TAILQ_HEAD(group_list, group);
TAILQ_HEAD(pool_list, pool);
TAILQ_HEAD(share_list, share);
TAILQ_HEAD(demand_list, demand);
TAILQ_HEAD(entry_list, entry);

/*
 * Pools whose units serve the same demand: the endpoints of a service, or the
 * single pool of a team. All times are in ns on the caller's clock.
 */
struct group {
    struct str name;
    struct pool_list pools;
    struct demand_list demands;
    uint32_t demand_count;
    bool dirty;          /* on the ledger's list of groups to balance */
    int64_t balanced_at; /* time of the last balance */
    TAILQ_ENTRY(group) in_dirty;
};

struct pool {
    struct str name;
    struct str domain; /* failure domain of the endpoint; empty for a team */
    struct group *group;
    uint32_t capacity;           /* units */
    uint32_t peak_capacity;      /* largest within the reclaim delay */
    int64_t peak_capacity_until; /* peak_capacity is valid until then */
    int64_t known_since;         /* when the ledger first heard of the pool */
    uint32_t may_hold;           /* sum of may_hold over the shares */
    uint32_t target_sum;         /* sum of target over the shares */
    uint32_t adopted;        /* units in first reports after a leader change */
    uint32_t refusing_count; /* shares whose entry refuses the pool */
    bool gone;               /* not configured or removed; freed when unused */
    bool configured; /* set by ledger_pool_set or ledger_pool_remove; false if
                        known only from entries' reports */
    struct share_list shares;
    TAILQ_ENTRY(pool) in_group;
};

/* The units that one entry holds of one pool. */
struct share {
    struct pool *pool;
    struct entry *entry;
    uint32_t held;            /* as last reported */
    uint32_t used;            /* as last reported */
    uint32_t wanted;          /* as last reported */
    uint32_t target;          /* units that the ledger wants it to hold */
    uint32_t sent_target;     /* target in the last grant message */
    uint32_t unconfirmed_max; /* largest target sent but not acknowledged */
    uint32_t may_hold;        /* most that the entry may believe it holds */
    uint64_t sent_seq;        /* number of the last message with this pool */
    int64_t sent_at;          /* when that message was filled */
    bool refused;             /* the entry wants no unit of this pool */
    bool pending; /* on the entry's list: unsent or unacknowledged */
    TAILQ_ENTRY(share) in_pool;
    TAILQ_ENTRY(share) in_entry;
    TAILQ_ENTRY(share) in_pending;
};

/* The units that one entry wants of one group. */
struct demand {
    struct group *group;
    struct entry *entry;
    uint32_t used;          /* as last reported */
    uint32_t wanted;        /* as last reported */
    double smoothed_wanted; /* average over DEMAND_TIME_CONSTANT_NS */
    int64_t smoothed_at;    /* time of the last report; 0: none yet */
    uint32_t target_sum;    /* over the entry's shares; valid in a balance */
    uint32_t unrequested_returns; /* units that the report being applied
                                     returns without a request */
    uint32_t goal;                /* units assigned by the current balance */
    TAILQ_ENTRY(demand) in_group;
    TAILQ_ENTRY(demand) in_entry;
};

/* One process of an entry, identified by its run. */
struct entry {
    uint64_t run;
    struct str vm;
    struct str domain;      /* failure domain */
    uint64_t seq;           /* of the last report */
    struct grant_no ack;    /* last grants that the entry applied */
    bool leaving;           /* draining: gets no spare units */
    bool due;               /* on the ledger's list of entries to send to */
    uint32_t target_sum;    /* scratch value of sum_entry_targets */
    int64_t lease_end;      /* when the lease has ended on the entry's clock,
                               however far that clock drifts within drift_ppm */
    struct heap_node timer; /* key: when all its units have ended */
    struct map *shares;     /* by pool address */
    struct share_list share_list;
    struct demand_list demands;
    struct share_list pending;
    TAILQ_ENTRY(entry) in_due;
};

/* A VM and the record of its process in the replicated state. */
struct vm {
    struct str name;
    uint64_t run;
    int64_t unreported_until;  /* may hold unreported units until then; 0: it
                                  holds none */
    int64_t recorded_early_ns; /* promise in the replicated state */
    uint64_t recorded_seq;     /* sequence number of that record */
    int64_t proposed_early_ns; /* last promise proposed for recording */
    uint64_t proposed_seq;
    int64_t proposed_at;
    int64_t inflight_max_early_ns; /* largest proposal that may still be
                                      applied; 0: none above the record */
    uint64_t inflight_max_seq;
    bool record_due; /* ledger_take_due_record has to return the proposal */
};

struct ledger {
    struct ledger_config config;
    uint64_t term;             /* of this leader; 0: not leader yet */
    uint64_t grant_seq;        /* of the last grant message in this term */
    struct map *pools;         /* by name */
    struct map *groups;        /* by name */
    struct map *entries;       /* by run */
    struct map *vms;           /* registered and reporting VMs, by name */
    bool records_pending;      /* some VM may have record_due set */
    int64_t leader_changed_at; /* when this process became leader */
    int64_t recovery_until;    /* 0: no VM may hold unreported units */
    struct heap timers;        /* entries, by when their units have ended */
    struct group_list dirty;   /* groups to balance */
    struct entry_list due;     /* entries whose grants changed */
};

struct pool *
pool_find(const struct ledger *l, struct str name);
struct pool *
pool_find_or_create(struct ledger *l, int64_t now, struct str name,
                    struct str service);
void
pool_destroy(struct ledger *l, struct pool *p);

/* Destroys a removed pool unless an entry may hold, uses or wants units. */
void
pool_destroy_if_unused(struct ledger *l, struct pool *p);

/*
 * Returns how many units entries that have not reported to this leader may
 * hold: UINT32_MAX if the pool's earlier capacity is not known.
 */
uint32_t
pool_count_unknown_units(const struct ledger *l, const struct pool *p);

/* Returns how many units may be granted now. */
uint32_t
pool_count_free_units(const struct ledger *l, const struct pool *p);

/* Returns the group with that name; creates it if there is none. */
struct group *
group_find_or_create(struct ledger *l, struct str name);
void
group_destroy_if_unused(struct ledger *l, struct group *g);
/* Schedules the group for the next balance. */
void
group_mark_dirty(struct ledger *l, struct group *g);

struct share *
share_find_or_create(struct pool *p, struct entry *e);
void
share_destroy(struct share *s);
void
share_set_may_hold(struct share *s, uint32_t may_hold);
/* Updates the pool's count of refusing entries as well. */
void
share_set_refused(struct share *s, bool refused);

/*
 * Sets the target and schedules a message to the entry. An increase counts
 * in may_hold at once.
 */
void
share_set_target(struct ledger *l, struct share *s, uint32_t target);

struct demand *
demand_find_or_create(struct group *g, struct entry *e);
/* Stores what an entry reported and updates the average demand. */
void
demand_update(struct demand *d, int64_t now, uint32_t used, uint32_t wanted);
void
demand_destroy(struct demand *d);

struct entry *
entry_create(struct ledger *l, uint64_t run, struct str vm, struct str domain);
void
entry_destroy(struct ledger *l, struct entry *e);

/*
 * Restarts the entry's lease when a report with this early_ns arrives. Its
 * units have ended a reclaim delay (ledger_reclaim_delay_ns) less early_ns
 * after now.
 */
void
entry_renew_lease(struct ledger *l, int64_t now, struct entry *e,
                  int64_t early_ns);
/* Whether the entry's lease is valid, so that it may use its units. */
bool
entry_is_active(const struct entry *e, int64_t now);

/*
 * Grants and reclaims units of a group so that each entry's holding approaches
 * its demand.
 */
void
group_balance(struct ledger *l, int64_t now, struct group *g);

/*
 * Balances the groups that changed, each at most once per balance_ns of the
 * configuration.
 */
void
balance_dirty_groups(struct ledger *l, int64_t now);

/* Returns the VM with that name; creates it if there is none. */
struct vm *
vm_find_or_create(struct ledger *l, struct str name);
void
vms_destroy_all(struct ledger *l);

/*
 * Assumes after a leader change that the VM holds units until it reports or
 * they have ended according to its record.
 */
void
vm_set_unreported(struct ledger *l, const struct ledger_vm *known,
                  int64_t now);

/* The VM's units are now known from its report. */
void
vm_set_reported(struct ledger *l, struct str name);

/* Stops waiting for reports of VMs whose unreported units have ended. */
void
vms_expire(struct ledger *l, int64_t now);

/*
 * Proposes the promise of a report for the replicated state if it should be
 * recorded; ledger_take_due_record then returns it.
 */
void
promise_update(struct ledger *l, int64_t now, struct entry *e,
               const struct report *report);

/*
 * Returns the largest early_ns that the replicated state may hold for the
 * entry's process; INT64_MAX if this is not known.
 */
int64_t
promise_max_recorded_ns(const struct ledger *l, const struct entry *e);

/*
 * Call when every registered VM has reported or its units have certainly
 * ended: no units are unaccounted for any more.
 */
void
end_recovery(struct ledger *l);

#endif
