#ifndef GV_LEADER_WAIT_H
#define GV_LEADER_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds the time that a call waits at an entry node while no leader answers,
 * because a leader failed or the control group is down. A caller whose call
 * waits until its deadline has no time left to retry at another entry node.
 * All times are ns of the monotonic clock.
 */
struct leader_wait {
    int64_t arrived;   /* when the call arrived at the entry node */
    int64_t deadline;  /* when the caller stops waiting */
    bool forwarded;    /* sent to a leader, which may have acted on it */
    bool leader_known; /* a session with a leader exists */
    /* Last time at which a leader was known; unused if leader_known. */
    int64_t leader_last_known;
};

/* Returns the time at which the entry node refuses the call if no leader has
 * answered it by then. */
int64_t
leader_wait_give_up_at(const struct leader_wait *p);

/* Returns the delay after which a caller that is refused at now should
 * retry. */
uint32_t
leader_wait_retry_after_ms(const struct leader_wait *p, int64_t now);

#endif
