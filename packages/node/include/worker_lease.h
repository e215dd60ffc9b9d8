#ifndef GV_WORKER_LEASE_H
#define GV_WORKER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How long the leases of workers last. A worker that stops answering is given
 * up when its last lease has surely ended, and its tasks start elsewhere.
 */

enum {
    /* A task without an end is at work again within this time after its worker
     * has failed. */
    ENDLESS_RETURN_MS = 9000,
    /* The part of that time for committing the loss of the worker and starting
     * the task elsewhere, also after a change of leader. */
    ENDLESS_RESTART_MS = 1500,
};

/* Returns the length of a lease granted to a worker. lease_max_ms is the
 * longest that workers accept; endless: it has tasks without an end. */
int64_t
worker_lease_ms(int64_t lease_max_ms, bool endless);

/* Returns the longest time on the leader's clock that a lease of ms on a
 * worker's clock can last. */
int64_t
worker_lease_bound_ns(int64_t ms);

#endif
