#ifndef GV_STATE_GEN_H
#define GV_STATE_GEN_H

#include "rng.h"
#include "state.h"

/* Random but plausible commands for tests of the replicated state. */
struct state_gen {
    struct rng rng;
    int64_t wall_ms;
    uint64_t next_lease;
};

/* Replaces out by a command that fits the current contents of s. */
void
state_gen_command(struct state_gen *g, const struct state *s, struct buf *out);

#endif
