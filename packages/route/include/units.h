#ifndef GV_UNITS_H
#define GV_UNITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * The reports and grants by which entries lease units from the leader. An
 * entry is a process that accepts callers' requests and sends them to
 * endpoints. A unit allows one request in flight; a pool is the set of units
 * of an endpoint or a team. The wire messages EntrySync and EntryGrant carry
 * these structs.
 *
 * A pool is named by a string:
 *   e:ID       the slots of endpoint ID
 *   t:NUMBER   the concurrent requests of the team with that number
 *   s:SERVICE  no pool: the demand of an entry for slots of that service
 * The names that the router and the ledger return end with a NUL byte.
 */
#define POOL_ENDPOINT "e:"
#define POOL_TEAM "t:"
#define POOL_SERVICE "s:"

/*
 * The number of a grant message, which orders the messages of all leaders. An
 * entry applies a message only if its number is above the last one applied.
 */
struct grant_no {
    uint64_t term; /* raft term of the leader */
    uint64_t seq;  /* rises with each message of the term */
};

/* One pool, or the demand for one service, in a report. */
struct unit_report {
    struct str pool;
    uint32_t held;   /* units leased to the entry */
    uint32_t used;   /* units in use by requests in flight */
    uint32_t wanted; /* team, service: units in use plus requests that wait;
                        endpoint: 0 if the entry refuses it (ejected, leaving
                        or gone), else 1 */
};

/*
 * An entry's report to the leader. It lists every pool that changed since the
 * last report that the leader is known to have received; a pool left out is
 * unchanged.
 */
struct report {
    uint64_t term;       /* of the leader that it is addressed to */
    uint64_t seq;        /* rises with each report of this process */
    struct grant_no ack; /* number of the last grants applied */
    int64_t up_ns;       /* how long this process has run */
    bool full;           /* lists every pool: the leader knows none yet */
    bool leaving;        /* draining: wants no spare units */
    /* The promise of this process: each of its attempts ends at least this
     * long before the longest request that starts at the same time would. It
     * covers all attempts that start until a smaller number takes effect,
     * which happens only once the leader has answered a report with that
     * number and the answer's early_ns is no larger. */
    int64_t early_ns;
    struct unit_report *items;
    size_t count;
    size_t cap;
};

/* One pool in a grant message. */
struct unit_grant {
    struct str pool;
    uint32_t units; /* the entry may hold so many; if it holds more, it must
                       return the excess as requests end */
};

/* A grant message of the leader to one entry. */
struct grants {
    struct grant_no no;
    uint64_t report_seq; /* last report received; the lease starts when it was
                            sent */
    int64_t lease_ns;    /* length of the lease of all units held */
    /* The largest promise (early_ns of a report) that the replicated state may
     * hold for this process, and thus tell a new leader. The entry delays
     * attempts that could break it. */
    int64_t early_ns;
    struct unit_grant *items;
    size_t count;
    size_t cap;
};

/*
 * Frees the array of items and zeroes the struct. The strings belong to the
 * router or the ledger. grants_free does the same for grants.
 */
void
report_free(struct report *r);
void
grants_free(struct grants *g);

/* Returns -1, 0 or 1 if a is below, equal to or above b. */
int
grant_no_cmp(struct grant_no a, struct grant_no b);

#endif
