#ifndef GV_PATIENCE_H
#define GV_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How long a call waits at an entry while no leader answers. Answers the load
 * of a leader that fails or of a control group that is down: a call that
 * waits to its deadline has no time left to be tried elsewhere.
 */
struct patience {
    int64_t arrived;    /* ns, as all times */
    int64_t deadline;   /* of the caller */
    bool forwarded;     /* a leader may have acted on the call */
    bool leader_known;  /* a session with a leader exists */
    int64_t lost_since; /* when the last leader was lost, if none is known */
};

/* When the call is answered without the leader. */
int64_t
patience_ends(const struct patience *p);

/* When a caller that is refused now should return, in ms. */
uint32_t
patience_retry_ms(const struct patience *p, int64_t now);

#endif
