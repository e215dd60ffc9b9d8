#include "membership.h"

#include "clock.h"

enum {
    /* Two election timeouts. Until a voter too many is removed, the loss of
     * one VM fewer stops the group. */
    VOTER_SILENT_MS = 600,
    /* A silent learner takes up a place, but is part of no quorum. */
    LEARNER_SILENT_MS = 10000,
};

static bool
is_removable(const struct membership_peer *m, size_t voters, int64_t now)
{
    int64_t silent_ms = (now - m->silent_since) / NS_PER_MS;

    if (m->self || m->active) {
        return false;
    }
    return m->voter
               ? voters > MEMBERSHIP_VOTERS && silent_ms >= VOTER_SILENT_MS
               : silent_ms >= LEARNER_SILENT_MS;
}

size_t
membership_pick_removal(const struct membership_peer *members, size_t count,
                        int64_t now)
{
    size_t voters = 0;
    size_t best = count;

    for (size_t i = 0; i < count; i++) {
        voters += members[i].voter;
    }
    for (size_t i = 0; i < count; i++) {
        if (is_removable(&members[i], voters, now) &&
            (best == count ||
             members[i].silent_since < members[best].silent_since)) {
            best = i;
        }
    }
    return best;
}
