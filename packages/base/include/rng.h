#ifndef GV_RNG_H
#define GV_RNG_H

#include <stdint.h>

/* A seeded generator (SplitMix64) for schedules, jitter and tests. */
struct rng {
    uint64_t state;
};

uint64_t
rng_next(struct rng *r);

/* A number from 0 to bound - 1; bound must not be 0. */
uint64_t
rng_below(struct rng *r, uint64_t bound);

/* A number from 0 up to, not including, 1. */
double
rng_unit(struct rng *r);

#endif
