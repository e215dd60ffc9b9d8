#include "clock.h"

#include <time.h>

int64_t
clock_now(void)
{
    struct timespec ts;

    /* CLOCK_MONOTONIC stands still while a VM is suspended, and leases would
     * outlast their deadline when it resumes. */
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (int64_t)ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

int64_t
clock_wall_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / NS_PER_MS;
}

int
clock_wait_ms(int64_t now, int64_t deadline, int max_ms)
{
    if (deadline <= now) {
        return 0;
    }
    if (deadline - now >= max_ms * NS_PER_MS) {
        return max_ms;
    }
    return (int)((deadline - now + NS_PER_MS - 1) / NS_PER_MS);
}
