#ifndef GV_LEDGER_H
#define GV_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"
#include "units.h"

/*
 * The leader's ledger of units leased to entries (units.h). It does no I/O and
 * reads no clock: the caller passes the monotonic time, now, in ns. Strings
 * that are passed in are copied.
 *
 * Invariant: the units that entries may believe they hold never exceed a
 * pool's capacity, except while a pool drains after its capacity was reduced,
 * when none of it are granted.
 *
 * The reclaim delay (ledger_reclaim_delay_ns) is the time after which units
 * that were leased to a silent entry have certainly ended.
 *
 * Every control VM keeps a ledger and calls ledger_pool_set on it, leader or
 * not, so that a new leader knows the recent capacities of its pools. Only the
 * leader takes reports and sends grants.
 */
struct ledger;

/* Fields that are 0 take the value from ledger_defaults. */
struct ledger_config {
    int64_t lease_ns;   /* unit lease of an entry */
    int64_t margin_ns;  /* fixed part of the margin on a lease */
    uint32_t drift_ppm; /* largest relative drift of an entry's clock */
    int64_t longest_request_ns; /* includes the time to cancel a request */
    int64_t balance_ns;         /* shortest time between balances of a group */
    int64_t resend_ns;          /* unacknowledged grants are repeated after */
    int64_t record_ns; /* shortest time between a record and one with a larger
                          promise, so that a duration bound that rises and
                          falls causes few commits */
};

/* Returns the default configuration. */
struct ledger_config
ledger_defaults(void);

/* Returns a ledger without pools; free it with ledger_destroy. */
struct ledger *
ledger_create(const struct ledger_config *config);
/* Accepts NULL. */
void
ledger_destroy(struct ledger *l);

/*
 * Creates a pool or sets its capacity in units; 0 drains it (an endpoint that
 * leaves). For an endpoint, service is the name of the service whose demand
 * its slots serve and domain its failure domain; for a team both are empty.
 */
void
ledger_pool_set(struct ledger *l, int64_t now, struct str pool,
                struct str service, struct str domain, uint32_t capacity);

/* Drains a pool and forgets it once no entry holds units of it. */
void
ledger_pool_remove(struct ledger *l, int64_t now, struct str pool);

/* A registered VM and the record of its newest process. */
struct ledger_vm {
    struct str name;
    uint64_t run;     /* random number of that process */
    int64_t early_ns; /* its recorded promise (early_ns of a report) */
};

/*
 * Call when this process has become leader in term. Forgets what entries hold.
 * vms are the registered VMs. Each is assumed to hold units until a process on
 * it reports that has run for the reclaim delay, or until the reclaim delay
 * less early_ns has passed.
 */
void
ledger_leader_changed(struct ledger *l, int64_t now, uint64_t term,
                      const struct ledger_vm *vms, size_t count);

/* A record of a process's promise for the replicated state. */
struct ledger_record {
    struct str vm;
    uint64_t run;
    int64_t early_ns; /* as in a report */
    uint64_t seq;     /* rises with each record of that process */
};

/*
 * Fills the next record to commit; returns false if there is none. Call it
 * after reports until it returns false. The string is valid until the next
 * call on the ledger.
 *
 * Some records may be lost, but those of a process must be applied in the
 * order in which they were returned, and only while it is the VM's newest
 * process in the state: a new process starts with early_ns 0.
 */
bool
ledger_take_due_record(struct ledger *l, struct ledger_record *out);

/*
 * Call when the replicated state of this leader holds the record. Returns
 * whether a later record of the process was proposed.
 */
bool
ledger_confirm_record(struct ledger *l, const struct ledger_record *r);

/*
 * Returns the reclaim delay in ns: lease, margins and longest request. Units
 * of a lease that was last renewed longer ago have ended.
 */
int64_t
ledger_reclaim_delay_ns(const struct ledger *l);

enum ledger_result {
    LEDGER_OK,
    LEDGER_STALE,      /* report out of order or repeated; not applied */
    LEDGER_OTHER_TERM, /* addressed to another leader; not applied */
    LEDGER_UNKNOWN,    /* partial report of an unknown entry; not applied. The
                          daemon tells the entry to send a full report
                          (ROUTER_LEADER event) */
};

/*
 * Applies a report. run is a random number that the entry's process chose at
 * its start, so that a restarted entry does not inherit its predecessor's
 * units. domain is the failure domain of the entry.
 */
enum ledger_result
ledger_report(struct ledger *l, int64_t now, uint64_t run, struct str vm,
              struct str domain, const struct report *report);

/* Drops an entry at once. It must be known to hold no units. */
void
ledger_entry_drop(struct ledger *l, int64_t now, uint64_t run);

/*
 * Fills the grant message for an entry, also when nothing changed, which
 * renews the entry's lease. Call it to answer each report and for each run
 * that ledger_due returns, only while the leader's quorum lease is valid. A
 * message that is not sent counts as lost. Returns false for an unknown run.
 * The caller frees out with grants_free and may reuse it before; its strings
 * are valid until the next call on the ledger.
 */
bool
ledger_fill_grants(struct ledger *l, int64_t now, uint64_t run,
                   struct grants *out);

/*
 * Sets run to an entry whose grants changed and should be sent now; returns
 * false if there is none.
 */
bool
ledger_due(struct ledger *l, int64_t now, uint64_t *run);

/*
 * Drops entries whose units have ended and balances pools. Call it at
 * ledger_next_deadline.
 */
void
ledger_tick(struct ledger *l, int64_t now);
/* Returns when to call ledger_tick; DEADLINE_NONE if there is no need. */
int64_t
ledger_next_deadline(const struct ledger *l);

/* Counts of units for status and metrics. */
struct ledger_pool_stats {
    uint32_t capacity;
    uint32_t held;    /* what entries that have reported may hold */
    uint32_t used;    /* as last reported */
    uint32_t unknown; /* what entries that have not reported may hold;
                         UINT32_MAX: there is no limit known */
};

/* Returns false for an unknown pool. */
bool
ledger_pool_stats(const struct ledger *l, int64_t now, struct str pool,
                  struct ledger_pool_stats *out);

/*
 * Whether entries together may hold no more units than the capacity of this
 * pool, so that a reduced limit is in force. For an unknown pool: whether no
 * VM may hold units that it has not reported.
 */
bool
ledger_pool_is_within_capacity(const struct ledger *l, int64_t now,
                               struct str pool);

#endif
