#ifndef GV_MEMBERSHIP_H
#define GV_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides which member of the Raft group its leader removes. A removed VM that
 * still runs asks to be added again (group_join.c), so that a removal by
 * mistake costs the group a voter for seconds, not for good.
 */

enum {
    /* Voters that the group keeps. Silent voters beyond them are removed. */
    MEMBERSHIP_VOTERS = 5,
};

/* What the leader knows of a member. Times are ns of the monotonic clock. */
struct membership_peer {
    bool voter;
    bool self;
    bool active; /* replied within the election timeout */
    /* A learner that has caught up, but cannot be promoted while so many
     * voters are silent. */
    bool promotion_blocked;
    /* Send time of the newest message that it answered, or the time of the
     * election if that is later: a new leader has heard from nobody yet. */
    int64_t silent_since;
};

/* Returns the index of the member to remove now, or count if there is none: a
 * learner that has been silent for some time, or such a voter if there are
 * more than MEMBERSHIP_VOTERS or if it keeps a learner from being promoted. Of
 * several it is the one that has been silent longest. */
size_t
membership_pick_removal(const struct membership_peer *members, size_t count,
                        int64_t now);

#endif
