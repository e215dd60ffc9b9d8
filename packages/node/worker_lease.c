#include "worker_lease.h"

#include "clock.h"

enum {
    /* A lease is taken to last this much longer by the leader's clock than by
     * the worker's, which may be slower. */
    CLOCK_SLOW_MAX_PERCENT = 3,
    LEASE_MARGIN_MS = 150,
};

int64_t
worker_lease_ms(int64_t lease_max_ms, bool endless)
{
    int64_t bound_ms = ENDLESS_RETURN_MS - ENDLESS_RESTART_MS;
    int64_t endless_ms =
        (bound_ms - LEASE_MARGIN_MS) * 100 / (100 + CLOCK_SLOW_MAX_PERCENT);

    return endless && endless_ms < lease_max_ms ? endless_ms : lease_max_ms;
}

int64_t
worker_lease_bound_ns(int64_t ms)
{
    return (ms * (100 + CLOCK_SLOW_MAX_PERCENT) / 100 + LEASE_MARGIN_MS) *
           NS_PER_MS;
}
