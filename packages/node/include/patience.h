#ifndef GV_PATIENCE_H
#define GV_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds the time that a call waits at an entry node while no leader answers,
 * because a leader failed or the control group is down. A caller whose call
 * waits until its deadline has no time left to retry at another entry node.
 * All times are ns of the monotonic clock.
 */
struct patience {
    int64_t arrived;    /* when the call arrived at the entry node */
    int64_t deadline;   /* when the caller stops waiting */
    bool forwarded;     /* sent to a leader, which may have acted on it */
    bool leader_known;  /* a session with a leader exists */
    int64_t lost_since; /* last time a leader was known, if none is now */
};

/* Returns the time at which the entry node answers the call itself, because
 * no leader did. */
int64_t
patience_give_up_at(const struct patience *p);

/* Returns the delay after which a caller that is refused at now should
 * retry. */
uint32_t
patience_retry_after_ms(const struct patience *p, int64_t now);

#endif
