/*
 * Maintenance ("upkeep") waves: machines that need maintenance before a
 * deadline, a limited number at a time.
 */
#include "internal.h"

#include "mem.h"

void
upkeep_free(struct flow_upkeep *u)
{
    for (size_t i = 0; i < u->count; i++) {
        str_free(&u->machines[i]);
    }
    mem_free(u->machines);
    mem_free(u->done);
    mem_free(u);
}

static struct flow_upkeep *
create_wave(struct flow_state *s, const Flow__Upkeep *in)
{
    struct flow_upkeep *u = mem_zalloc(1, sizeof(*u));

    u->wave = in->wave;
    u->count = in->n_machines;
    u->machines = mem_zalloc(u->count + 1, sizeof(*u->machines));
    u->done = mem_zalloc(u->count + 1, sizeof(*u->done));
    for (size_t i = 0; i < u->count; i++) {
        u->machines[i] = str_dup(str_of(in->machines[i]));
    }
    u->concurrent_max = in->concurrent_max < 1 ? 1 : in->concurrent_max;
    u->due_wall_ms = in->due_wall_ms;
    map_put_u64(s->upkeeps, u->wave, u);
    return u;
}

static void
mark_done(struct flow_upkeep *u, struct str machine)
{
    for (size_t i = 0; i < u->count; i++) {
        if (!u->done[i] && str_eq(u->machines[i], machine)) {
            u->done[i] = true;
            u->done_count++;
        }
    }
}

/* Creates the wave if it is new. A repeated wave only marks the machines that
 * it lists as done. */
void
upkeep_apply(struct flow_state *s, const Flow__Upkeep *in)
{
    struct flow_upkeep *u = flow_upkeep(s, in->wave);

    if (u == NULL) {
        u = create_wave(s, in);
    }
    for (size_t i = 0; i < in->n_done; i++) {
        mark_done(u, str_of(in->done[i]));
    }
}

struct flow_upkeep *
flow_upkeep(const struct flow_state *s, uint64_t wave)
{
    return map_get_u64(s->upkeeps, wave);
}

struct flow_upkeep *
flow_upkeep_next(const struct flow_state *s, void **cursor)
{
    return map_next(s->upkeeps, cursor);
}
