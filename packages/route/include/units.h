#ifndef GV_UNITS_H
#define GV_UNITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * What entries and the leader exchange about leased units; EntrySync and
 * EntryGrant carry these structs.
 *
 * A pool is named by a string:
 *   e:ID       the slots of endpoint ID
 *   t:NUMBER   the concurrent requests of the team with that number
 *   s:SERVICE  no pool: the demand of an entry for slots of that service
 * What the router and the ledger give out ends with a NUL byte.
 */
#define POOL_ENDPOINT "e:"
#define POOL_TEAM "t:"
#define POOL_SERVICE "s:"

/*
 * Orders the grants of all leaders. term is the raft term of the leader, seq
 * rises with each struct grants within the term. An entry applies a message
 * only if its number is above the last one applied.
 */
struct grant_no {
    uint64_t term;
    uint64_t seq;
};

/*
 * One pool in a report. An endpoint pool with wanted 0 is refused by the
 * entry (ejected). For a team and a service, wanted is units in use plus
 * requests that wait.
 */
struct unit_report {
    struct str pool;
    uint32_t held;
    uint32_t used;
    uint32_t wanted;
};

/*
 * A report holds every pool that changed since the last report that the
 * leader is known to have received; a pool left out is unchanged.
 */
struct report {
    uint64_t term;       /* of the leader that is addressed */
    uint64_t seq;        /* rises with each report of this process */
    struct grant_no ack; /* last grants applied */
    int64_t up_ns;       /* how long this process has run */
    bool full;           /* holds every pool: the leader knows none yet */
    bool leaving;        /* draining: wants no spare units */
    /* Every attempt of this process, those that it starts before it sends a
     * smaller number included, ends so much earlier than the longest request
     * that starts at the same time would. A smaller number is used only once
     * the leader has answered a report with it, and that answer's early_ns is
     * no larger. */
    int64_t early_ns;
    struct unit_report *items;
    size_t count;
    size_t cap;
};

/* The entry may hold up to units of the pool; fewer than held asks back. */
struct unit_grant {
    struct str pool;
    uint32_t units;
};

struct grants {
    struct grant_no no;
    uint64_t report_seq; /* last report received: starts the lease */
    int64_t lease_ns;
    /* The most that the replicated state may tell a new leader of this
     * process's promise, as early_ns of a report. Attempts that end later
     * than that wait. */
    int64_t early_ns;
    struct unit_grant *items;
    size_t count;
    size_t cap;
};

/* Free the arrays; the strings belong to the router or the ledger. */
void
report_free(struct report *r);
void
grants_free(struct grants *g);

int
grant_no_cmp(struct grant_no a, struct grant_no b);

#endif
