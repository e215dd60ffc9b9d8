#ifndef GV_ENTRY_READINESS_H
#define GV_ENTRY_READINESS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when a started entry is ready for requests: once the current leader
 * has listed all endpoints and granted units of them, or that leader has had
 * the time to do so. Nothing that an earlier leader sent counts, because a new
 * leader first has to hear from all endpoints again.
 */
struct entry_readiness {
    bool was_ready; /* an entry that was ready once stays ready */
    /* Ready from then on; 0: the current leader has granted nothing yet. */
    int64_t deadline;
    /* Number of the last report when the list of endpoints was complete; 0:
     * not yet. */
    uint64_t listed_seq;
    bool report_answered; /* a report after that has been answered */
};

/* What a grant of the current leader says. */
struct readiness_grant {
    uint64_t report_seq;      /* report that it answers */
    uint64_t last_report_seq; /* last report that the entry has sent */
    bool endpoints_complete;
    int64_t deadline; /* by when all endpoints have announced themselves */
};

/* Forgets what an earlier leader sent. */
void
readiness_leader_changed(struct entry_readiness *r);

/* Returns true if the entry should report at once, to ask for units. */
bool
readiness_handle_grant(struct entry_readiness *r,
                       const struct readiness_grant *grant);

/* Returns whether an entry that holds these slots and knows so many endpoints
 * is ready at now. */
bool
readiness_check(struct entry_readiness *r, int64_t now, uint32_t slots_held,
                uint32_t endpoints);

#endif
