#include <glib.h>

#include "state_gen.h"

enum {
    SEEDS = 24,
    STEPS = 4000,
    SLICE_BYTES_MAX = 3000,
};

struct slice_run {
    struct state_gen gen;
    struct state *sliced; /* has snapshots taken in slices */
    struct state *plain;  /* applies the same commands */
    struct buf expected;  /* the encoding when the snapshot began */
    bool active;          /* a snapshot is in progress */
    unsigned snapshot_count;
    unsigned concurrent_commands; /* applied during a snapshot */
};

static void
apply_next(struct slice_run *r)
{
    uint64_t index = state_index(r->sliced) + 1;
    struct state_result result;
    struct buf cmd = {0};

    state_gen_command(&r->gen, r->sliced, &cmd);
    state_apply(r->sliced, index, buf_str(&cmd), &result);
    state_apply(r->plain, index, buf_str(&cmd), &result);
    r->concurrent_commands += r->active;
    buf_free(&cmd);
}

static void
begin_snapshot(struct slice_run *r)
{
    buf_clear(&r->expected);
    state_encode(r->sliced, &r->expected);
    state_snapshot_begin(r->sliced);
    r->active = true;
}

static void
replace_states(struct slice_run *r, struct str bytes)
{
    state_destroy(r->sliced);
    state_destroy(r->plain);
    r->sliced = state_decode(bytes);
    r->plain = state_decode(bytes);
    g_assert_nonnull(r->sliced);
    r->active = false;
}

static void
join_chunks(struct state_chunks *chunks, struct buf *out)
{
    for (size_t i = 0; i < chunks->count; i++) {
        buf_append_str(out, buf_str(&chunks->list[i]));
    }
    state_chunks_free(chunks);
}

static void
finish_snapshot(struct slice_run *r)
{
    struct state_chunks chunks;
    struct buf bytes = {0};

    state_snapshot_take(r->sliced, &chunks);
    join_chunks(&chunks, &bytes);
    g_assert_cmpuint(bytes.len, ==, r->expected.len);
    g_assert_true(str_eq(buf_str(&bytes), buf_str(&r->expected)));
    r->active = false;
    r->snapshot_count++;
    /* Continue from the snapshot, as a member that restarts or receives it. */
    if (rng_below(&r->gen.rng, 8) == 0) {
        replace_states(r, buf_str(&bytes));
    }
    buf_free(&bytes);
}

static void
run_step(struct slice_run *r)
{
    struct rng *rng = &r->gen.rng;

    if (!r->active) {
        if (rng_below(rng, 6) == 0) {
            begin_snapshot(r);
        }
    }
    else if (rng_below(rng, 400) == 0) {
        /* An installed snapshot replaces the state while its own snapshot is
         * in progress. */
        replace_states(r, buf_str(&r->expected));
    }
    else if (rng_below(rng, 400) == 0) {
        begin_snapshot(r);
    }
    if (r->active && rng_below(rng, 3) == 0 &&
        state_snapshot_step(r->sliced, 1 + rng_below(rng, SLICE_BYTES_MAX))) {
        finish_snapshot(r);
    }
    apply_next(r);
}

static void
assert_same_encoding(const struct slice_run *r)
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
 * command changed a record that was not yet encoded, and against an
 * incremental snapshot that changes the state.
 */
static void
test_slices(gconstpointer data)
{
    struct slice_run r = {
        .gen = {.rng = {GPOINTER_TO_SIZE(data)}, .wall_ms = 1700000000000},
        .sliced = state_create(),
        .plain = state_create()};

    for (int i = 0; i < STEPS; i++) {
        run_step(&r);
        if (i % 100 == 0) {
            assert_same_encoding(&r);
        }
    }
    assert_same_encoding(&r);
    g_test_message("%u snapshots, %u commands between slices",
                   r.snapshot_count, r.concurrent_commands);
    g_assert_cmpuint(r.snapshot_count, >, 20);
    g_assert_cmpuint(r.concurrent_commands, >, STEPS / 3);
    buf_free(&r.expected);
    state_destroy(r.sliced);
    state_destroy(r.plain);
}

/* For tests of size limits that the random commands do not reach. */
struct bound_fixture {
    struct state *s;
    struct state_actor by;
    struct buf cmd;
};

static void
bound_fixture_apply(struct bound_fixture *b)
{
    struct state_result result;

    state_apply(b->s, state_index(b->s) + 1, buf_str(&b->cmd), &result);
    buf_clear(&b->cmd);
}

/* Creates a state with the team t; it is bootstrapped if data is NULL. */
static void
bound_fixture_setup(struct bound_fixture *b, gconstpointer data)
{
    struct state_settings settings = state_settings_default;
    struct state_team_item team = {STR("t"), 1};

    b->s = state_create();
    b->by.wall_ms = 1700000000000;
    settings.request_bytes_max = 1000;
    state_cmd_teams_set(&b->cmd, &b->by, 0, &team, 1);
    bound_fixture_apply(b);
    if (data == NULL) {
        state_cmd_bootstrap(&b->cmd, &b->by, 1, NULL, 0, &settings);
        bound_fixture_apply(b);
    }
}

static void
bound_fixture_teardown(struct bound_fixture *b, gconstpointer data)
{
    (void)data;
    state_destroy(b->s);
    buf_free(&b->cmd);
}

/* Applies b->cmd while a snapshot is in progress and asserts that the snapshot
 * holds the state before the command. */
static void
assert_snapshot_unaffected(struct bound_fixture *b)
{
    struct state_chunks chunks;
    struct buf before = {0};
    struct buf bytes = {0};

    state_encode(b->s, &before);
    state_snapshot_begin(b->s);
    bound_fixture_apply(b);
    g_assert_true(state_snapshot_step(b->s, SIZE_MAX));
    state_snapshot_take(b->s, &chunks);
    join_chunks(&chunks, &bytes);
    g_assert_true(str_eq(buf_str(&bytes), buf_str(&before)));
    buf_clear(&before);
    state_encode(b->s, &before);
    g_assert_false(str_eq(buf_str(&bytes), buf_str(&before)));
    buf_free(&before);
    buf_free(&bytes);
}

/* Encodes the end of a request with a response body of 400 bytes. */
static void
end_request(struct bound_fixture *b, const char *key, uint64_t number)
{
    static const char body[400];
    struct state_response response = {200, STR(""), {body, sizeof(body)}};

    state_cmd_request_end(&b->cmd, &b->by, 1, str_of(key), number,
                          STATE_REQUEST_FINISHED, &response);
}

/* Guards against a snapshot that omits a response which a later one displaced
 * after the snapshot began. */
static void
test_displaced_response(struct bound_fixture *b, gconstpointer data)
{
    static const char *const keys[] = {"a", "b", "c"};
    uint8_t digest[STATE_DIGEST_BYTES] = {0};

    (void)data;
    for (uint64_t i = 0; i < 3; i++) {
        state_cmd_request_begin(&b->cmd, &b->by, 1, str_of(keys[i]), digest,
                                STR("vm"), i, 1000);
        bound_fixture_apply(b);
    }
    end_request(b, "b", 2);
    bound_fixture_apply(b);
    end_request(b, "c", 3);
    bound_fixture_apply(b);
    end_request(b, "a", 1);
    assert_snapshot_unaffected(b);
    g_assert_false(state_request(b->s, 1, STR("b"))->stored);
}

/* Guards against a snapshot that omits the audit entry which a full audit
 * trail dropped after the snapshot began. */
static void
test_full_audit(struct bound_fixture *b, gconstpointer data)
{
    (void)data;
    while (state_audit_last(b->s) < STATE_AUDIT_MAX) {
        state_cmd_teams_set(&b->cmd, &b->by, UINT64_MAX, NULL, 0);
        bound_fixture_apply(b);
    }
    state_cmd_teams_set(&b->cmd, &b->by, UINT64_MAX, NULL, 0);
    assert_snapshot_unaffected(b);
    g_assert_cmpuint(state_audit_first(b->s), ==, 2);
}

/* Guards against a snapshot that omits a withdrawn key which a command dropped
 * after the snapshot began. */
static void
test_removed_tombstone(struct bound_fixture *b, gconstpointer data)
{
    (void)data;
    for (uint64_t i = 1; i <= STATE_WITHDRAWN_KEYS_MAX + 1; i++) {
        uint8_t hash[STATE_HASH_BYTES] = {(uint8_t)i, (uint8_t)(i >> 8)};

        state_cmd_key_add(&b->cmd, &b->by, STATE_KEY_WORKER, STR(""), hash);
        bound_fixture_apply(b);
        state_cmd_key_delete(&b->cmd, &b->by, i);
        bound_fixture_apply(b);
    }
    g_assert_nonnull(state_key(b->s, 1));
    state_cmd_entry_lost(&b->cmd, &b->by, STR("vm"));
    assert_snapshot_unaffected(b);
    g_assert_null(state_key(b->s, 1));
}

/* Guards against a snapshot that omits the configuration history which a
 * bootstrap cleared after the snapshot began. */
static void
test_late_bootstrap(struct bound_fixture *b, gconstpointer data)
{
    (void)data;
    state_cmd_bootstrap(&b->cmd, &b->by, 1, NULL, 0, &state_settings_default);
    assert_snapshot_unaffected(b);
}

static void
add_bound_test(const char *path, const void *data,
               void (*test)(struct bound_fixture *, gconstpointer))
{
    g_test_add(path, struct bound_fixture, data, bound_fixture_setup, test,
               bound_fixture_teardown);
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
    add_bound_test("/state/slices/displaced_response", NULL,
                   test_displaced_response);
    add_bound_test("/state/slices/full_audit", NULL, test_full_audit);
    add_bound_test("/state/slices/expired_key", NULL, test_removed_tombstone);
    add_bound_test("/state/slices/late_bootstrap", "no bootstrap",
                   test_late_bootstrap);
    return g_test_run();
}
