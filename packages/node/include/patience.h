#ifndef GV_PATIENCE_H
#define GV_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides how long a call waits at an entry node while no leader answers. It
 * bounds the wait while a leader fails or the control group is down, because
 * a call that waits until its deadline leaves no time to retry elsewhere.
 */
struct patience {
    int64_t arrived;    /* monotonic ns, as all times here */
    int64_t deadline;   /* when the caller stops waiting */
    bool forwarded;     /* a leader may have acted on the call */
    bool leader_known;  /* a session with a leader exists */
    int64_t lost_since; /* when the last leader was lost, if none is known */
};

/* Returns the time in ns at which the call is answered without the leader. */
int64_t
patience_give_up_at(const struct patience *p);

/* Returns the delay in ms after which a caller refused now should retry. */
uint32_t
patience_retry_after_ms(const struct patience *p, int64_t now);

#endif
