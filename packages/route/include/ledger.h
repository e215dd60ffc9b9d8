#ifndef GV_LEDGER_H
#define GV_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"
#include "units.h"

/*
 * The leader's account of leased units. It is pure: no I/O, no clock of its
 * own. Invariant: the units that entries may believe they hold never exceed a
 * pool's capacity, except while a pool drains after a shrink, when nothing is
 * granted.
 *
 * Every control VM keeps a ledger and calls ledger_pool_set on it, leader or
 * not, so that a new leader knows how large its pools recently were. Reports
 * and plans are for the leader only.
 */
struct ledger;

/* Zero fields take the defaults of ledger_defaults. */
struct ledger_config {
    int64_t lease_ns;           /* unit lease of an entry */
    int64_t margin_ns;          /* fixed part of the drift margin */
    uint32_t drift_ppm;         /* relative clock drift allowed for */
    int64_t longest_request_ns; /* includes the time to end a cancelled one */
    int64_t balance_ns;         /* least time between balances of a group */
    int64_t resend_ns;          /* unconfirmed grants are repeated after */
    int64_t record_ns; /* least time until a larger promise is recorded, so
                          that a bound that goes up and down costs few
                          commits */
};

struct ledger_config
ledger_defaults(void);

struct ledger *
ledger_create(const struct ledger_config *config);
void
ledger_destroy(struct ledger *l);

/*
 * Sets a pool's capacity; 0 drains it (an endpoint that leaves). For an
 * endpoint, service groups the pools whose slots serve the same demand and
 * domain is its failure domain; for a team both are empty.
 */
void
ledger_pool_set(struct ledger *l, int64_t now, struct str pool,
                struct str service, struct str domain, uint32_t capacity);

/* Forgets a pool once nothing of it is held any more; drains it till then. */
void
ledger_pool_gone(struct ledger *l, int64_t now, struct str pool);

/* A registered VM; early_ns is what was recorded for its newest process. */
struct ledger_vm {
    struct str name;
    uint64_t run;
    int64_t early_ns;
};

/*
 * This process became leader in term. vms are the registered VMs: each may
 * hold units until a process on it that has run for longer than
 * ledger_window reported, or the window less early_ns has passed. Forgets all
 * holdings.
 */
void
ledger_leader_changed(struct ledger *l, int64_t now, uint64_t term,
                      const struct ledger_vm *vms, size_t count);

/* A process's promise (early_ns of a report) for the replicated state. */
struct ledger_record {
    struct str vm;
    uint64_t run;
    int64_t early_ns;
    uint64_t seq; /* rises with each record of that process */
};

/*
 * Returns a record to commit; the string is valid until the next call. Records
 * of a process are to be applied in the order in which they were given out, if
 * at all, and only while it is the VM's newest process in the state: the
 * record of another process starts with early_ns 0. Call it after reports.
 */
bool
ledger_record_due(struct ledger *l, struct ledger_record *out);

/*
 * The state of this leader now holds that record. Returns whether a later one
 * of the process was given out.
 */
bool
ledger_recorded(struct ledger *l, const struct ledger_record *r);

/* Lease, margins and longest request: all older units have then ended. */
int64_t
ledger_window(const struct ledger *l);

enum ledger_result {
    LEDGER_OK,
    LEDGER_STALE,      /* reordered or repeated; changes nothing */
    LEDGER_OTHER_TERM, /* addressed to another leader; changes nothing */
    LEDGER_UNKNOWN,    /* partial report of an entry that is not known: the
                          daemon tells the entry to start over
                          (ROUTER_LEADER event) */
};

/*
 * Takes a report. run is a random number of the entry's process, chosen at its
 * start, so that a restarted entry does not inherit what its predecessor held.
 */
enum ledger_result
ledger_report(struct ledger *l, int64_t now, uint64_t run, struct str vm,
              struct str domain, const struct report *report);

/* Drops an entry at once; only for one that is known to hold nothing. */
void
ledger_entry_expired(struct ledger *l, int64_t now, uint64_t run);

/*
 * Fills the message for an entry, also when nothing changed, and renews its
 * lease. Call it to answer each report and for each run that ledger_due
 * returns, and send what it filled, or lose it: a message not sent counts as
 * lost. Only while the leader's quorum lease is valid. Returns false for an
 * unknown run. Strings are valid until the next call on the ledger.
 */
bool
ledger_plan(struct ledger *l, int64_t now, uint64_t run, struct grants *out);

/* Returns an entry whose grants changed and should be sent now. */
bool
ledger_due(struct ledger *l, int64_t now, uint64_t *run);

/* Expires leases; call it at ledger_next_deadline. */
void
ledger_tick(struct ledger *l, int64_t now);
int64_t
ledger_next_deadline(const struct ledger *l);

/* Counts for status and metrics. */
struct ledger_pool_stats {
    uint32_t capacity;
    uint32_t held;    /* what entries may hold, as far as known */
    uint32_t used;    /* as last reported */
    uint32_t unknown; /* what entries that have not reported may hold */
};

bool
ledger_pool_stats(const struct ledger *l, int64_t now, struct str pool,
                  struct ledger_pool_stats *out);

/*
 * Whether no entry may hold more than the capacity of this pool: a lowered
 * limit is then in force.
 */
bool
ledger_pool_settled(const struct ledger *l, int64_t now, struct str pool);

#endif
