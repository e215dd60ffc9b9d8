#include "rng.h"

uint64_t
rng_next(struct rng *r)
{
    uint64_t z = (r->state += UINT64_C(0x9e3779b97f4a7c15));

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint64_t
rng_below(struct rng *r, uint64_t bound)
{
    return (uint64_t)(((unsigned __int128)rng_next(r) * bound) >> 64);
}

double
rng_unit(struct rng *r)
{
    return (double)(rng_next(r) >> 11) * 0x1p-53;
}
