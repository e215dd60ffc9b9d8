#ifndef GV_SEND_WINDOW_H
#define GV_SEND_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Until when a call to a worker may be sent.
 *
 * A worker that restarts under its id accepts calls that were meant for its
 * earlier process. The leader starts a run elsewhere once the worker's lease
 * has ended, so a call that a VM was paused with must not be sent after that.
 * The VM that makes the call checks the end of the window on its own clock
 * when the connection is open. That connection leads to one process of the
 * worker, so a pause after the check cannot take the call to a later one.
 *
 * Times are clock_now(), which goes on while a process is stopped or its VM is
 * suspended.
 */

enum {
    /* A call is sent within this time of being queued by the leader, or never.
     * Less where leases are so short that it would exceed a quarter of them.
     */
    SEND_WINDOW_MS = 1000,
};

/* Returns the end of the window of a call that is queued at now. */
int64_t
send_window_end(int64_t now, int64_t lease_max_ms);

/* The clock of another VM, as that VM last reported it. */
struct vm_clock {
    int64_t reported; /* 0: not known */
    int64_t received_at;
};

/* Records a report. One that took longer than an earlier report is ignored,
 * since it tells less about the clock. */
void
send_window_record_clock(struct vm_clock *c, int64_t reported,
                         int64_t received_at);

/* Returns whether the clock is known well enough at now to translate the end
 * of a window. */
bool
send_window_clock_known(const struct vm_clock *c, int64_t now);

/* Returns a time on the other VM's clock that is no later than the local
 * time. */
int64_t
send_window_translate(const struct vm_clock *c, int64_t local);

#endif
