#include "send_window.h"

#include "clock.h"

enum {
    LEASE_PARTS = 4,
    /* How far two clocks may drift apart. */
    DRIFT_PERCENT = 2,
    /* A report is not used for longer, as the drift since it would take up
     * much of the window. */
    REPORT_MAX_AGE_MS = 10000,
};

int64_t
send_window_end(int64_t now, int64_t lease_max_ms)
{
    int64_t part = lease_max_ms / LEASE_PARTS;

    return now + (part < SEND_WINDOW_MS ? part : SEND_WINDOW_MS) * NS_PER_MS;
}

void
send_window_record_clock(struct vm_clock *c, int64_t reported,
                         int64_t received_at)
{
    if (reported <= 0 || (send_window_clock_known(c, received_at) &&
                          send_window_translate(c, received_at) >= reported)) {
        return;
    }
    *c = (struct vm_clock){reported, received_at};
}

bool
send_window_clock_known(const struct vm_clock *c, int64_t now)
{
    return c->reported != 0 &&
           now - c->received_at < REPORT_MAX_AGE_MS * NS_PER_MS;
}

/* The report was read no later than it was received, so the other clock is at
 * least as far on as the time that has passed here since, less the drift. */
int64_t
send_window_translate(const struct vm_clock *c, int64_t local)
{
    int64_t passed = local - c->received_at;
    int64_t drift = (passed < 0 ? -passed : passed) * DRIFT_PERCENT / 100;

    return c->reported + passed - drift;
}
