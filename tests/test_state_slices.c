#include <glib.h>

#include "state_gen.h"

enum {
    SEEDS = 24,
    STEPS = 4000,
    SLICE_MAX = 3000, /* bytes */
};

struct run {
    struct state_gen gen;
    struct state *sliced; /* has snapshots taken in slices */
    struct state *plain;  /* applies the same commands */
    struct buf expected;  /* the encoding when the snapshot began */
    bool active;
    unsigned taken;
    unsigned busy_commands; /* applied between slices */
};

static void
apply(struct run *r)
{
    uint64_t index = state_index(r->sliced) + 1;
    struct state_result result;
    struct buf cmd = {0};

    state_gen_command(&r->gen, r->sliced, &cmd);
    state_apply(r->sliced, index, buf_str(&cmd), &result);
    state_apply(r->plain, index, buf_str(&cmd), &result);
    r->busy_commands += r->active;
    buf_free(&cmd);
}

static void
begin(struct run *r)
{
    buf_clear(&r->expected);
    state_encode(r->sliced, &r->expected);
    state_snapshot_begin(r->sliced);
    r->active = true;
}

static void
replace(struct run *r, struct str bytes)
{
    state_destroy(r->sliced);
    state_destroy(r->plain);
    r->sliced = state_decode(bytes);
    r->plain = state_decode(bytes);
    g_assert_nonnull(r->sliced);
    r->active = false;
}

static void
join(struct state_chunks *chunks, struct buf *out)
{
    for (size_t i = 0; i < chunks->count; i++) {
        buf_append_str(out, buf_str(&chunks->list[i]));
    }
    state_chunks_free(chunks);
}

static void
take(struct run *r)
{
    struct state_chunks chunks;
    struct buf bytes = {0};

    state_snapshot_take(r->sliced, &chunks);
    join(&chunks, &bytes);
    g_assert_cmpuint(bytes.len, ==, r->expected.len);
    g_assert_true(str_eq(buf_str(&bytes), buf_str(&r->expected)));
    r->active = false;
    r->taken++;
    /* A member that restarts from the snapshot, or is sent it. */
    if (rng_below(&r->gen.rng, 8) == 0) {
        replace(r, buf_str(&bytes));
    }
    buf_free(&bytes);
}

static void
step(struct run *r)
{
    struct rng *rng = &r->gen.rng;

    if (!r->active && rng_below(rng, 6) == 0) {
        begin(r);
    }
    else if (r->active && rng_below(rng, 400) == 0) {
        /* An install or a leader change that ends the snapshot half-way. */
        replace(r, buf_str(&r->expected));
    }
    else if (r->active && rng_below(rng, 400) == 0) {
        begin(r);
    }
    if (r->active && rng_below(rng, 3) == 0 &&
        state_snapshot_step(r->sliced, 1 + rng_below(rng, SLICE_MAX))) {
        take(r);
    }
    apply(r);
}

static void
assert_equal(const struct run *r)
{
    struct buf a = {0};
    struct buf b = {0};

    state_encode(r->sliced, &a);
    state_encode(r->plain, &b);
    g_assert_true(str_eq(buf_str(&a), buf_str(&b)));
    buf_free(&a);
    buf_free(&b);
}

/*
 * Guards against a snapshot that mixes the states of two indexes because a
 * command changed a record before its slice, and against slices that change
 * the state.
 */
static void
test_slices(gconstpointer data)
{
    struct run r = {
        .gen = {.rng = {GPOINTER_TO_SIZE(data)}, .wall_ms = 1700000000000},
        .sliced = state_create(),
        .plain = state_create()};

    for (int i = 0; i < STEPS; i++) {
        step(&r);
        if (i % 100 == 0) {
            assert_equal(&r);
        }
    }
    assert_equal(&r);
    g_test_message("%u snapshots, %u commands between slices", r.taken,
                   r.busy_commands);
    g_assert_cmpuint(r.taken, >, 20);
    g_assert_cmpuint(r.busy_commands, >, STEPS / 3);
    buf_free(&r.expected);
    state_destroy(r.sliced);
    state_destroy(r.plain);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (gsize seed = 1; seed <= SEEDS; seed++) {
        char *path = g_strdup_printf("/state/slices/%zu", seed);
        g_test_add_data_func(path, GSIZE_TO_POINTER(seed), test_slices);
        g_free(path);
    }
    return g_test_run();
}
