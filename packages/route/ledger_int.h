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
 * single pool of a team.
 */
struct group {
    struct str name;
    struct pool_list pools;
    struct demand_list demands;
    uint32_t demand_count;
    bool dirty;
    int64_t balanced_at;
    TAILQ_ENTRY(group) in_dirty;
};

struct pool {
    struct str name;
    struct str domain;
    struct group *group;
    uint32_t capacity;
    uint32_t peak;      /* largest capacity within the window */
    int64_t peak_until; /* the peak counts until then */
    int64_t since;      /* first known */
    uint32_t possible;  /* sum of possible over the shares */
    uint32_t targets;   /* sum of target over the shares */
    uint32_t adopted;   /* held by first reports after a leader change */
    uint32_t refusals;  /* shares refused by their entry */
    bool gone;
    bool told; /* to this ledger, not only by entries' reports */
    struct share_list shares;
    TAILQ_ENTRY(pool) in_group;
};

/* What one entry holds of one pool. */
struct share {
    struct pool *pool;
    struct entry *entry;
    uint32_t held; /* as last reported */
    uint32_t used;
    uint32_t wanted;
    uint32_t target;   /* units the entry should have */
    uint32_t sent;     /* target last sent */
    uint32_t peak;     /* largest target sent and not yet confirmed */
    uint32_t possible; /* units the entry may believe it holds */
    uint64_t sent_seq; /* grant number of the last message with this pool */
    int64_t sent_at;
    bool refused; /* the entry wants no unit of this pool */
    bool pending; /* on the entry's list: unsent or unconfirmed */
    TAILQ_ENTRY(share) in_pool;
    TAILQ_ENTRY(share) in_entry;
    TAILQ_ENTRY(share) in_pending;
};

/* What one entry wants of one group. */
struct demand {
    struct group *group;
    struct entry *entry;
    uint32_t used;
    uint32_t wanted;
    double smooth; /* wanted, averaged over DEMAND_TAU_NS */
    int64_t smooth_at;
    uint32_t level;    /* sum of targets; valid while balancing */
    uint32_t returned; /* unasked, with the report that is being taken */
    uint32_t goal;
    TAILQ_ENTRY(demand) in_group;
    TAILQ_ENTRY(demand) in_entry;
};

/* One run of an entry's process. */
struct entry {
    uint64_t run;
    struct str vm;
    struct str domain;
    uint64_t seq; /* of the last report */
    struct grant_no ack;
    bool leaving;
    bool due;
    uint32_t level;         /* of the group that is being balanced */
    int64_t lease_end;      /* on the leader's clock, with margin */
    struct heap_node timer; /* key: when all its units have ended */
    struct map *shares;     /* by pool address */
    struct share_list share_list;
    struct demand_list demands;
    struct share_list pending;
    TAILQ_ENTRY(entry) in_due;
};

/* A VM and what the replicated state says of its process. */
struct vm {
    struct str name;
    uint64_t run;
    int64_t unreported_until; /* may hold unknown units; 0: no */
    int64_t recorded;         /* promise in the state, as early_ns */
    uint64_t recorded_seq;    /* report that it is from */
    int64_t proposed;         /* last one given to be recorded */
    uint64_t proposed_seq;
    int64_t proposed_at;
    int64_t high; /* largest that may be in flight; 0: none above recorded */
    uint64_t high_seq;
    bool due;
};

struct ledger {
    struct ledger_config config;
    uint64_t term;
    uint64_t grant_seq;
    struct map *pools;   /* by name */
    struct map *groups;  /* by name */
    struct map *entries; /* by run */
    struct map *vms;     /* registered and reporting ones, by name */
    bool records_due;
    int64_t changed_at;
    int64_t recover_until; /* 0 when every VM has reported */
    struct heap timers;    /* entries */
    struct group_list dirty;
    struct entry_list due;
};

struct pool *
pool_find(const struct ledger *l, struct str name);
struct pool *
pool_make(struct ledger *l, int64_t now, struct str name, struct str service);
void
pool_destroy(struct ledger *l, struct pool *p);

/* Destroys a pool that is gone and that no entry holds or reports. */
void
pool_destroy_if_unused(struct ledger *l, struct pool *p);

/* Units that unreported entries may hold after a leader change. */
uint32_t
pool_unknown(const struct ledger *l, const struct pool *p);

/* Units that may be granted now. */
uint32_t
pool_free_units(const struct ledger *l, const struct pool *p);

struct group *
group_make(struct ledger *l, struct str name);
void
group_destroy_if_unused(struct ledger *l, struct group *g);
void
group_touch(struct ledger *l, struct group *g);

struct share *
share_make(struct pool *p, struct entry *e);
void
share_destroy(struct share *s);
void
share_set_possible(struct share *s, uint32_t possible);
void
share_set_refused(struct share *s, bool refused);

/* Changes the target; a raise counts as possible at once. */
void
share_set_target(struct ledger *l, struct share *s, uint32_t target);

struct demand *
demand_make(struct group *g, struct entry *e);
void
demand_update(struct demand *d, int64_t now, uint32_t used, uint32_t wanted);
void
demand_destroy(struct demand *d);

struct entry *
entry_make(struct ledger *l, uint64_t run, struct str vm, struct str domain);
void
entry_destroy(struct ledger *l, struct entry *e);

/* Restarts the entry's lease at now, when a report arrived that says early_ns.
 */
void
entry_renew(struct ledger *l, int64_t now, struct entry *e, int64_t early_ns);
bool
entry_active(const struct entry *e, int64_t now);

/* Moves units within a group towards the demand of its entries. */
void
group_balance(struct ledger *l, int64_t now, struct group *g);

/* Balances the groups that changed. */
void
ledger_balance(struct ledger *l, int64_t now);

struct vm *
vm_make(struct ledger *l, struct str name);
void
vms_clear(struct ledger *l);
/* A new leader has not heard from that VM. */
void
vm_unreported(struct ledger *l, const struct ledger_vm *known, int64_t now);
void
vm_reported(struct ledger *l, struct str name);
/* Ends the waits for VMs whose units have certainly ended. */
void
vms_expire(struct ledger *l, int64_t now);

/* Takes what a report promises; ledger_record_due then gives it out. */
void
promise_reported(struct ledger *l, int64_t now, struct entry *e,
                 const struct report *report);
/* The most that the state may say for that process, as early_ns. */
int64_t
promise_most(const struct ledger *l, const struct entry *e);

/* Every registered VM has reported, or its units have certainly ended. */
void
ledger_end_recovery(struct ledger *l);

#endif
