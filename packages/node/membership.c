#include "membership.h"

#include "clock.h"

enum {
    /* Two election timeouts. Until a voter too many is removed, the loss of
     * one VM fewer stops the group. */
    VOTER_SILENT_MS = 600,
    /* A silent learner takes up a place, but is part of no quorum. */
    LEARNER_SILENT_MS = 10000,
};

/* Whether the group is better off without a silent voter. */
static bool
can_spare_voter(const struct membership_peer *members, size_t count)
{
    size_t voters = 0;
    bool blocked = false;

    for (size_t i = 0; i < count; i++) {
        voters += members[i].voter;
        blocked = blocked || members[i].promotion_blocked;
    }
    return voters > MEMBERSHIP_VOTERS || blocked;
}

static bool
is_removable(const struct membership_peer *m, bool spare_voter, int64_t now)
{
    int64_t silent_ms = (now - m->silent_since) / NS_PER_MS;

    if (m->self || m->active) {
        return false;
    }
    return m->voter ? spare_voter && silent_ms >= VOTER_SILENT_MS
                    : silent_ms >= LEARNER_SILENT_MS;
}

size_t
membership_pick_removal(const struct membership_peer *members, size_t count,
                        int64_t now)
{
    bool spare_voter = can_spare_voter(members, count);
    size_t best = count;

    for (size_t i = 0; i < count; i++) {
        if (is_removable(&members[i], spare_voter, now) &&
            (best == count ||
             members[i].silent_since < members[best].silent_since)) {
            best = i;
        }
    }
    return best;
}
