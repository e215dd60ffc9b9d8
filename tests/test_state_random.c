#include <glib.h>
#include <string.h>

#include "confview.h"
#include "state_gen.h"

enum {
    SEEDS = 12,
    STEPS = 1500, /* commands per seed */
};

static bool
same_bytes(const struct state *a, const struct state *b)
{
    struct buf left = {0};
    struct buf right = {0};
    bool same;

    state_encode(a, &left);
    state_encode(b, &right);
    same = str_eq(buf_str(&left), buf_str(&right));
    buf_free(&left);
    buf_free(&right);
    return same;
}

static void
assert_same_bytes(const struct state *a, const struct state *b)
{
    g_assert_true(same_bytes(a, b));
}

static struct state *
copy_by_snapshot(const struct state *s)
{
    struct buf bytes = {0};
    struct state *copy;

    state_encode(s, &bytes);
    copy = state_decode(buf_str(&bytes));
    g_assert_nonnull(copy);
    buf_free(&bytes);
    return copy;
}

static unsigned result_counts[STATE_CMD_ENTRY_LOST + 1][STATE_INVALID + 1];
static unsigned reason_counts[STATE_REASON_COUNT];

static void
count_result(const struct state_result *r)
{
    result_counts[r->command][r->kind]++;
    if (r->kind == STATE_INVALID || r->kind == STATE_NOT_FOUND) {
        reason_counts[r->u.invalid.reason]++;
    }
    for (size_t i = 0;
         r->kind == STATE_APPLIED && i < r->u.applied.reject_count; i++) {
        reason_counts[r->u.applied.rejects[i].reason]++;
    }
}

/* Compares the members of two results that hold no pointers. */
static void
assert_same_result(const struct state_result *a, const struct state_result *b)
{
    g_assert_cmpint(a->kind, ==, b->kind);
    g_assert_cmpint(a->command, ==, b->command);
    switch (a->kind) {
    case STATE_APPLIED:
        g_assert_cmpuint(a->u.applied.version, ==, b->u.applied.version);
        g_assert_cmpuint(a->u.applied.number, ==, b->u.applied.number);
        g_assert_cmpuint(a->u.applied.changed, ==, b->u.applied.changed);
        g_assert_cmpuint(a->u.applied.reject_count, ==,
                         b->u.applied.reject_count);
        break;
    case STATE_CONFLICT:
        g_assert_cmpuint(a->u.conflict.version, ==, b->u.conflict.version);
        break;
    case STATE_DUPLICATE:
        g_assert_cmpuint(a->u.duplicate.number, ==, b->u.duplicate.number);
        break;
    case STATE_NOT_FOUND:
    case STATE_INVALID:
        g_assert_cmpint(a->u.invalid.reason, ==, b->u.invalid.reason);
        break;
    }
}

/* Returns a text for the first violated invariant, or NULL. */
static const char *
find_violation(const struct state *s)
{
    void *cursor = NULL;
    const struct state_job *job;
    uint64_t placed = 0;
    uint64_t on_workers = 0;
    const struct state_worker *worker;

    while ((job = state_job_next(s, &cursor)) != NULL) {
        uint32_t placed_in_job = 0;
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            uint64_t number;
            uint32_t index;
            bool live;
            if (job->tasks[i].lease > state_highest_lease(s)) {
                return "a lease is above the highest";
            }
            if (job->tasks[i].state != STATE_TASK_PLACED) {
                continue;
            }
            placed_in_job++;
            if (!state_lease(s, job->tasks[i].lease, &number, &index, &live) ||
                number != job->number || index != i || !live) {
                return "a placed task's lease is not live";
            }
            if (state_worker(s, job->tasks[i].worker) == NULL) {
                return "a placed task's worker is gone";
            }
        }
        if (placed_in_job != job->placed) {
            return "a job miscounts its placed tasks";
        }
        if (state_job_terminal(job->state) && placed_in_job > 0) {
            return "a terminal job has placed tasks";
        }
        if (!state_job_terminal(job->state) &&
            state_team(s, job->team)->removed) {
            return "a live job's team is gone";
        }
        placed += placed_in_job;
    }
    cursor = NULL;
    while ((worker = state_worker_next(s, &cursor)) != NULL) {
        on_workers += worker->placed;
    }
    return placed == on_workers ? NULL : "workers miscount their tasks";
}

/* Asserts that the view holds the live keys and the teams of s, no others. */
static void
assert_view_matches(const struct confview *v, const struct state *s)
{
    void *cursor = NULL;
    const struct state_key *key;
    const struct confview_team *team;
    size_t count = 0;

    g_assert_cmpuint(confview_version(v), ==, state_config_version(s));
    while ((key = state_key_next(s, &cursor)) != NULL) {
        const struct confview_key *seen = confview_key(v, key->hash);
        if (key->withdrawn_ms == 0) {
            g_assert_nonnull(seen);
            g_assert_cmpuint(seen->id, ==, key->id);
            g_assert_cmpuint(seen->team, ==, key->team);
        }
    }
    cursor = NULL;
    while (confview_key_next(v, &cursor) != NULL) {
        count++;
    }
    cursor = NULL;
    while ((key = state_key_next(s, &cursor)) != NULL) {
        count -= key->withdrawn_ms == 0;
    }
    g_assert_cmpuint(count, ==, 0);
    cursor = NULL;
    while ((team = confview_team_next(v, &cursor)) != NULL) {
        const struct state_team *real = state_team_by_name(s, team->name);
        g_assert_cmpuint(real->number, ==, team->number);
        g_assert_cmpuint(real->weight, ==, team->weight);
        g_assert_cmpuint(state_effective_limit(s, team->number)->tasks, ==,
                         team->limit.tasks);
        count++;
    }
    g_assert_cmpuint(count, ==, state_team_count(s));
}

static void
update_view(struct confview *v, const struct state *s)
{
    struct buf bytes = {0};

    state_config_since(s, confview_version(v), &bytes);
    if (bytes.len > 0) {
        g_assert_cmpint(confview_apply(v, buf_str(&bytes)), ==,
                        CONFVIEW_APPLIED);
        assert_view_matches(v, s);
    }
    g_assert_cmpint(confview_apply(v, buf_str(&bytes)), ==, CONFVIEW_STALE);
    buf_free(&bytes);
}

struct replicas {
    struct state *original;
    struct state *replica;  /* applies the same commands */
    struct state *restored; /* at times replaced by its decoded snapshot */
    struct confview *frequent_view; /* updated at every step */
    struct confview *rare_view;     /* updated rarely */
};

static void
apply_next(struct replicas *r, struct state_gen *g, uint64_t index,
           struct buf *cmd)
{
    struct state_result results[3];

    state_gen_command(g, r->original, cmd);
    state_apply(r->original, index, buf_str(cmd), &results[0]);
    count_result(&results[0]);
    state_apply(r->replica, index, buf_str(cmd), &results[1]);
    state_apply(r->restored, index, buf_str(cmd), &results[2]);
    assert_same_result(&results[0], &results[1]);
    assert_same_result(&results[0], &results[2]);
    g_assert_cmpstr(find_violation(r->original), ==, NULL);
    update_view(r->frequent_view, r->original);
}

static void
compare_replicas(struct replicas *r)
{
    struct state *copy = copy_by_snapshot(r->restored);

    assert_same_bytes(r->original, r->replica);
    assert_same_bytes(r->original, r->restored);
    state_destroy(r->restored);
    r->restored = copy;
    assert_same_bytes(r->original, r->restored);
    update_view(r->rare_view, r->original);
}

/*
 * Guards against replicas that diverge, against snapshots that omit data on
 * which a later command depends, and against damaged commands that violate the
 * state's invariants.
 */
static void
test_replicas(gconstpointer data)
{
    struct state_gen g = {.rng = {GPOINTER_TO_SIZE(data)},
                          .wall_ms = 1700000000000};
    struct replicas r = {state_create(), state_create(), state_create(),
                         confview_create(), confview_create()};
    struct buf cmd = {0};

    for (uint64_t i = 1; i <= STEPS; i++) {
        apply_next(&r, &g, i, &cmd);
        if (rng_below(&g.rng, 40) == 0) {
            compare_replicas(&r);
        }
    }
    compare_replicas(&r);
    buf_free(&cmd);
    state_destroy(r.original);
    state_destroy(r.replica);
    state_destroy(r.restored);
    confview_destroy(r.frequent_view);
    confview_destroy(r.rare_view);
}

/* Tests that the checks above detect a lost command and a wrong count. */
static void
test_planted_faults(void)
{
    struct state_gen g = {.rng = {5}, .wall_ms = 1700000000000};
    struct state *s = state_create();
    struct state *other = state_create();
    struct buf cmd = {0};
    struct state_result result;
    struct state_job *job;
    void *cursor = NULL;
    bool skipped = false;

    for (uint64_t i = 1; i <= 400; i++) {
        state_gen_command(&g, s, &cmd);
        state_apply(s, i, buf_str(&cmd), &result);
        if (i > 200 && !skipped && result.kind == STATE_APPLIED &&
            result.command == STATE_CMD_JOB_PUT) {
            skipped = true;
            buf_clear(&cmd);
        }
        state_apply(other, i, buf_str(&cmd), &result);
    }
    g_assert_false(same_bytes(s, other));
    g_assert_cmpstr(find_violation(s), ==, NULL);
    job = (struct state_job *)state_job_next(s, &cursor);
    job->placed++;
    g_assert_cmpstr(find_violation(s), ==, "a job miscounts its placed tasks");
    job->placed--;
    buf_free(&cmd);
    state_destroy(s);
    state_destroy(other);
}

/* Guards against a decoder that accepts a truncated snapshot or crashes on a
 * damaged one. */
static void
test_damaged_snapshots(void)
{
    struct state_gen g = {.rng = {99}, .wall_ms = 1700000000000};
    struct state *s = state_create();
    struct buf cmd = {0};
    struct buf bytes = {0};
    struct state_result result;

    for (uint64_t i = 1; i <= 600; i++) {
        state_gen_command(&g, s, &cmd);
        state_apply(s, i, buf_str(&cmd), &result);
    }
    state_encode(s, &bytes);
    for (size_t i = 0; i < 400; i++) {
        size_t cut = rng_below(&g.rng, bytes.len);
        size_t at = rng_below(&g.rng, bytes.len);
        char old = bytes.ptr[at];
        g_assert_null(state_decode(str_from(bytes.ptr, cut)));
        bytes.ptr[at] ^= (char)(1 + rng_below(&g.rng, 255));
        /* The changed byte may be valid; commands must then be applicable. */
        struct state *damaged = state_decode(buf_str(&bytes));
        if (damaged != NULL) {
            state_gen_command(&g, damaged, &cmd);
            state_apply(damaged, UINT64_MAX, buf_str(&cmd), &result);
        }
        state_destroy(damaged);
        bytes.ptr[at] = old;
    }
    buf_free(&bytes);
    buf_free(&cmd);
    state_destroy(s);
}

/* Guards against a type of command of which no generated one is ever applied,
 * which would leave its code untested. Runs after test_replicas. */
static void
test_coverage(void)
{
    for (int c = STATE_CMD_BOOTSTRAP; c <= STATE_CMD_ENTRY_LOST; c++) {
        g_test_message("%s: applied %u, conflict %u, duplicate %u, "
                       "not found %u, invalid %u",
                       state_command_text((enum state_command)c),
                       result_counts[c][STATE_APPLIED],
                       result_counts[c][STATE_CONFLICT],
                       result_counts[c][STATE_DUPLICATE],
                       result_counts[c][STATE_NOT_FOUND],
                       result_counts[c][STATE_INVALID]);
        g_assert_cmpuint(result_counts[c][STATE_APPLIED], >, 0);
    }
    for (int r = STATE_REASON_MALFORMED; r < STATE_REASON_COUNT; r++) {
        g_test_message("%s: %u", state_reason_text((enum state_reason)r),
                       reason_counts[r]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (gsize seed = 1; seed <= SEEDS; seed++) {
        char *path = g_strdup_printf("/state/replicas/%zu", seed);
        g_test_add_data_func(path, GSIZE_TO_POINTER(seed), test_replicas);
        g_free(path);
    }
    g_test_add_func("/state/replicas/covered", test_coverage);
    g_test_add_func("/state/planted_faults", test_planted_faults);
    g_test_add_func("/state/damaged_snapshots", test_damaged_snapshots);
    return g_test_run();
}
