#include "leader_wait.h"

#include "clock.h"

enum {
    /* Duration of an election without failures. */
    ELECTION_MS = 700,
    /* A group that has had no leader for this long is taken to be down, not
     * electing, and calls do not wait for it. */
    GROUP_DOWN_MS = 1500,
    /* A call that was not forwarded can be refused safely, so it waits for
     * only part of an election. */
    UNFORWARDED_WAIT_MS = 350,
    /* A leader may have acted on a forwarded call. Its outcome is unknown, so
     * it waits for an election and the new leader's reply. */
    FORWARDED_WAIT_MS = 1200,
    /* Maximum wait as a share of the caller's timeout, which leaves the caller
     * time for one retry. */
    TIMEOUT_SHARE_PERCENT = 40,
    RETRY_MIN_MS = 1000,
    RETRY_MAX_MS = 2000, /* callers give up after a few seconds */
};

int64_t
leader_wait_give_up_at(const struct leader_wait *p)
{
    int64_t max_wait_ms =
        p->forwarded ? FORWARDED_WAIT_MS : UNFORWARDED_WAIT_MS;
    int64_t max_share_ns =
        (p->deadline - p->arrived) / 100 * TIMEOUT_SHARE_PERCENT;
    int64_t give_up_at = p->arrived + max_wait_ms * NS_PER_MS;

    if (!p->leader_known && !p->forwarded &&
        p->arrived > p->leader_last_known + GROUP_DOWN_MS * NS_PER_MS) {
        return p->arrived;
    }
    return give_up_at < p->arrived + max_share_ns ? give_up_at
                                                  : p->arrived + max_share_ns;
}

/* Returns RETRY_MIN_MS during the first two elections of an outage, then the
 * length of the outage so far, up to RETRY_MAX_MS, because an outage that has
 * lasted long is expected to last longer. */
uint32_t
leader_wait_retry_after_ms(const struct leader_wait *p, int64_t now)
{
    int64_t outage_ms =
        p->leader_known ? 0 : (now - p->leader_last_known) / NS_PER_MS;

    if (outage_ms < ELECTION_MS * 2) {
        return RETRY_MIN_MS;
    }
    return outage_ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)outage_ms;
}
