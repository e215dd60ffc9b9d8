#include "patience.h"

#include "clock.h"

enum {
    /* Duration of an election without failures. */
    ELECTION_MS = 700,
    /* A group without a leader for this long is down rather than electing,
     * so that waiting does not help. */
    DOWN_MS = 1500,
    /* A call that was not forwarded can safely be refused, so it waits only
     * for part of an election. */
    UNSENT_MS = 350,
    /* The outcome of a call that a leader may have acted on is unknown, so it
     * waits for an election and the new leader's reply. */
    SENT_MS = 1200,
    /* Share of the caller's timeout, so that it can retry once. */
    SHARE_PERCENT = 40,
    RETRY_MIN_MS = 1000,
    RETRY_MAX_MS = 2000,
};

int64_t
patience_give_up_at(const struct patience *p)
{
    int64_t most = p->forwarded ? SENT_MS : UNSENT_MS;
    int64_t share = (p->deadline - p->arrived) / 100 * SHARE_PERCENT;
    int64_t ends = p->arrived + most * NS_PER_MS;

    if (!p->leader_known && !p->forwarded &&
        p->arrived > p->lost_since + DOWN_MS * NS_PER_MS) {
        return p->arrived;
    }
    return ends < p->arrived + share ? ends : p->arrived + share;
}

/* An outage that has lasted long is expected to last longer. The delay is
 * capped because callers give up after a few seconds. */
uint32_t
patience_retry_after_ms(const struct patience *p, int64_t now)
{
    int64_t down = p->leader_known ? 0 : (now - p->lost_since) / NS_PER_MS;

    if (down < ELECTION_MS * 2) {
        return RETRY_MIN_MS;
    }
    return down > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)down;
}
