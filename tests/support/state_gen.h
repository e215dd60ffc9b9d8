#ifndef GV_STATE_GEN_H
#define GV_STATE_GEN_H

#include "rng.h"
#include "state.h"

/*
 * Generator of random commands for tests of the replicated state. Most fit the
 * state's contents; about one in 25 has a flipped bit or is truncated.
 */
struct state_gen {
    struct rng rng;
    int64_t wall_ms;     /* time of the next command */
    uint64_t next_lease; /* first lease of the last generated placement */
};

/* Replaces out's contents by an encoded command; may make it empty. */
void
state_gen_command(struct state_gen *g, const struct state *s, struct buf *out);

#endif
