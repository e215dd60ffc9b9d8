#ifndef GV_CLOCK_H
#define GV_CLOCK_H

#include <stdint.h>

#define NS_PER_US INT64_C(1000)
#define NS_PER_MS INT64_C(1000000)
#define NS_PER_S INT64_C(1000000000)

/* A deadline that never comes. */
#define DEADLINE_NONE INT64_MAX

/* Nanoseconds on a monotonic clock that goes on while the VM is suspended. */
int64_t
clock_now(void);

/* Milliseconds since 1970-01-01 UTC; for people to read, never for leases. */
int64_t
clock_wall_ms(void);

/* Whole milliseconds from now to deadline, rounded up, from 0 to max_ms. */
int
clock_wait_ms(int64_t now, int64_t deadline, int max_ms);

#endif
