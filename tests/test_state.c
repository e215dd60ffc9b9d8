#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "confview.h"
#include "rng.h"
#include "state_fixture.h"

/* Guards against a lost update: of two operators that replace the same version
 * of a list, the second must get a conflict. */
static void
test_racing_operators(struct fixture *f, gconstpointer data)
{
    (void)data;
    fixture_set_teams(f, 1, "abc");
    g_assert_cmpint(f->result.kind, ==, STATE_APPLIED);
    g_assert_cmpuint(f->result.u.applied.version, ==, 2);
    fixture_set_teams(f, 1, "abd");
    g_assert_cmpint(f->result.kind, ==, STATE_CONFLICT);
    g_assert_cmpuint(f->result.u.conflict.version, ==, 2);
    g_assert_null(state_team_by_name(f->s, STR("d")));
    g_assert_nonnull(state_team_by_name(f->s, STR("c")));
    const struct state_audit *last = state_audit(f->s, state_audit_last(f->s));
    g_assert_cmpint(last->outcome, ==, STATE_CONFLICT);
    g_assert_cmpint(last->action, ==, STATE_CMD_TEAMS_SET);
}

/* Guards against a repeated operator command that is applied again or gets
 * another result than the first one. */
static void
test_operator_resend(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->by.idempotency_key = STR("once");
    uint64_t id = fixture_add_key(f, STATE_KEY_TEAM, "a", 1);
    uint64_t audits = state_audit_last(f->s);

    for (int i = 0; i < 2; i++) {
        fixture_add_key(f, STATE_KEY_TEAM, "a", 2);
        g_assert_cmpint(f->result.kind, ==, STATE_DUPLICATE);
        g_assert_cmpint(f->result.u.duplicate.kind, ==, STATE_APPLIED);
        g_assert_cmpuint(f->result.u.duplicate.number, ==, id);
        fixture_reload(f);
    }
    g_assert_cmpuint(state_audit_last(f->s), ==, audits);
    f->by.request_digest[0] = 9;
    fixture_add_key(f, STATE_KEY_TEAM, "a", 2);
    g_assert_cmpint(f->result.kind, ==, STATE_CONFLICT);
    f->by.wall_ms += 24 * HOUR_MS;
    g_assert_cmpuint(fixture_add_key(f, STATE_KEY_TEAM, "a", 2), ==, id + 1);
}

/* Guards against lists that name an unknown team, name a team twice or remove
 * a team with live jobs, and against a new team that inherits the keys or
 * limits of a removed team of the same name. */
static void
test_list_rules(struct fixture *f, gconstpointer data)
{
    struct state_limit_item limit = {STR("zz"), state_limit_none};
    uint32_t old_number = state_team_by_name(f->s, STR("b"))->number;

    (void)data;
    state_cmd_limits_set(&f->cmd, &f->by, 0, &limit, 1);
    fixture_apply(f);
    g_assert_cmpint(f->result.u.invalid.reason, ==, STATE_REASON_TEAM_UNKNOWN);
    limit.team = STR("b");
    limit.limit.tasks = 3;
    state_cmd_limits_set(&f->cmd, &f->by, 0, &limit, 1);
    fixture_apply(f);
    g_assert_cmpint(f->result.kind, ==, STATE_APPLIED);
    g_assert_cmpuint(state_limits_version(f->s), ==, 1);
    state_cmd_limits_set(&f->cmd, &f->by, 0, &limit, 1);
    fixture_apply(f);
    g_assert_cmpint(f->result.kind, ==, STATE_CONFLICT);
    g_assert_true(state_effective_limit(f->s, 1)->tasks == STATE_UNLIMITED);
    g_assert_cmpuint(state_effective_limit(f->s, old_number)->tasks, ==, 3);
    fixture_set_teams(f, 1, "aa");
    g_assert_cmpint(f->result.u.invalid.reason, ==,
                    STATE_REASON_DUPLICATE_NAME);
    fixture_put_job(f, "job", true, 0);
    fixture_set_teams(f, 1, "b");
    g_assert_cmpint(f->result.kind, ==, STATE_INVALID);
    g_assert_cmpint(f->result.u.invalid.reason, ==,
                    STATE_REASON_TEAM_HAS_JOBS);
    uint64_t key = fixture_add_key(f, STATE_KEY_TEAM, "b", 7);
    fixture_set_teams(f, 1, "a");
    fixture_set_teams(f, 2, "ab");
    g_assert_cmpint(f->result.kind, ==, STATE_APPLIED);
    g_assert_cmpuint(state_team_by_name(f->s, STR("b"))->number, >,
                     old_number);
    g_assert_cmpint(state_key(f->s, key)->withdrawn_ms, !=, 0);
    g_assert_cmpuint(state_limit_count(f->s), ==, 0);
}

/* Guards against commands of a key that may not send them or was withdrawn
 * before they were applied. */
static void
test_withdrawn_key(struct fixture *f, gconstpointer data)
{
    uint8_t hash[STATE_HASH_BYTES] = {4, 1};
    uint64_t team_a_key = fixture_add_key(f, STATE_KEY_TEAM, "a", 4);
    uint64_t team_b_key = fixture_add_key(f, STATE_KEY_TEAM, "b", 5);
    uint64_t operator_key = fixture_add_key(f, STATE_KEY_OPERATOR, "", 6);

    (void)data;
    f->by.key_id = team_b_key;
    fixture_put_job(f, "job", true, 0);
    g_assert_cmpint(f->result.u.invalid.reason, ==,
                    STATE_REASON_KEY_NOT_PERMITTED);
    f->by.key_id = team_a_key;
    g_assert_cmpuint(fixture_put_job(f, "job", true, 0), !=, 0);
    fixture_set_teams(f, 1, "abc");
    g_assert_cmpint(f->result.u.invalid.reason, ==,
                    STATE_REASON_KEY_NOT_PERMITTED);
    f->by.key_id = operator_key;
    g_assert_cmpuint(state_key_by_hash(f->s, hash)->id, ==, team_a_key);
    state_cmd_key_delete(&f->cmd, &f->by, team_a_key);
    fixture_apply(f);
    g_assert_null(state_key_by_hash(f->s, hash));
    f->by.key_id = team_a_key;
    fixture_put_job(f, "job2", true, 0);
    g_assert_cmpint(f->result.u.invalid.reason, ==,
                    STATE_REASON_KEY_WITHDRAWN);
}

/* Guards against a leader whose clock is far ahead: its records must not keep
 * themselves and all later ones from expiring. */
static void
test_wrong_clock(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->by.wall_ms = WALL_MS + 1000 * 24 * HOUR_MS;
    g_assert_cmpuint(fixture_begin_request(f, "a"), !=, 0);
    f->by.wall_ms = WALL_MS;
    g_assert_cmpuint(fixture_begin_request(f, "b"), !=, 0);
    f->by.wall_ms = WALL_MS - HOUR_MS;
    g_assert_cmpuint(fixture_begin_request(f, "c"), !=, 0);
    g_assert_cmpint(state_request(f->s, 1, STR("c"))->begun_ms, ==, WALL_MS);
    f->by.wall_ms = WALL_MS + 23 * HOUR_MS;
    g_assert_cmpuint(fixture_begin_request(f, "a"), ==, 1);
    f->by.wall_ms = WALL_MS + 24 * HOUR_MS;
    g_assert_cmpuint(fixture_begin_request(f, "a"), >, 3);
    g_assert_null(state_request(f->s, 1, STR("b")));
}

/* Guards against a configuration view that applies an older delta, skips
 * changes or accepts damaged bytes. */
static void
test_config_view(struct fixture *f, gconstpointer data)
{
    struct confview *v = confview_create();
    struct confview *fresh = confview_create();
    struct buf full = {0};
    struct buf delta = {0};
    uint8_t hash[STATE_HASH_BYTES] = {1, 1};

    (void)data;
    uint64_t id = fixture_add_key(f, STATE_KEY_TEAM, "a", 1);
    state_config_since(f->s, 0, &full);
    g_assert_cmpint(confview_apply(v, buf_str(&full)), ==, CONFVIEW_APPLIED);
    g_assert_cmpuint(confview_key(v, hash)->id, ==, id);
    state_cmd_key_delete(&f->cmd, &f->by, id);
    fixture_apply(f);
    state_config_since(f->s, confview_version(v), &delta);
    g_assert_cmpuint(delta.len, <, full.len);
    g_assert_cmpint(confview_apply(fresh, buf_str(&delta)), ==, CONFVIEW_GAP);
    g_assert_cmpint(confview_apply(v, buf_str(&delta)), ==, CONFVIEW_APPLIED);
    g_assert_null(confview_key(v, hash));
    g_assert_cmpint(confview_apply(v, buf_str(&full)), ==, CONFVIEW_STALE);
    g_assert_null(confview_key(v, hash));
    g_assert_cmpint(confview_apply(v, str_from(delta.ptr, 5)), !=,
                    CONFVIEW_APPLIED);
    /* More changes follow than the history holds, so that the view must get
     * the full configuration. */
    id = fixture_add_key(f, STATE_KEY_ENDPOINT, "", 1);
    for (int i = 0; i < STATE_HISTORY_MAX + 1; i++) {
        fixture_add_key(f, STATE_KEY_WORKER, "", (uint8_t)i);
        state_cmd_key_delete(&f->cmd, &f->by, f->result.u.applied.number);
        fixture_apply(f);
    }
    buf_clear(&delta);
    state_config_since(f->s, confview_version(v), &delta);
    g_assert_cmpint(confview_apply(v, buf_str(&delta)), ==, CONFVIEW_APPLIED);
    g_assert_cmpuint(confview_version(v), ==, state_config_version(f->s));
    g_assert_nonnull(confview_key(v, hash));
    g_assert_cmpuint(confview_key(v, hash)->id, ==, id);
    buf_free(&full);
    buf_free(&delta);
    confview_destroy(v);
    confview_destroy(fresh);
}

/* Guards against a crash on random bytes and a repeated index. */
static void
test_malformed(struct fixture *f, gconstpointer data)
{
    struct rng rng = {3};
    char bytes[64];

    (void)data;
    for (int i = 0; i < 50000; i++) {
        size_t len = rng_below(&rng, sizeof(bytes));
        for (size_t k = 0; k < len; k++) {
            bytes[k] = (char)rng_next(&rng);
        }
        state_apply(f->s, state_index(f->s) + 1, str_from(bytes, len),
                    &f->result);
    }
    fixture_set_teams(f, 1, "abc");
    g_assert_cmpint(f->result.kind, ==, STATE_APPLIED);
    state_apply(f->s, state_index(f->s), STR(""), &f->result);
    g_assert_cmpint(f->result.kind, ==, STATE_INVALID);
}

/* Applies rounds of commands, ten minutes apart: each round has one job, one
 * request and one operator command with an idempotency key. */
static void
apply_rounds(struct fixture *f, unsigned rounds)
{
    char name[32];

    for (unsigned i = 0; i < rounds; i++) {
        f->by.wall_ms += HOUR_MS / 6;
        snprintf(name, sizeof(name), "%u", (unsigned)state_index(f->s));
        uint64_t job = fixture_put_job(f, name, true, 0);
        uint64_t lease = state_highest_lease(f->s) + 1;
        fixture_place_task(f, job, 1, lease);
        fixture_add_usage(f, lease, 1);
        fixture_end_task(f, lease, STATE_OUTCOME_DONE);
        state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
        fixture_apply(f);
        fixture_store_response(f, name, fixture_begin_request(f, name));
        f->by.idempotency_key = str_of(name);
        state_cmd_vm_drain(&f->cmd, &f->by, STR("vm"), true);
        fixture_apply(f);
        f->by.idempotency_key = STR("");
    }
}

/* Registers the VM's process or, if early_ms is not 0, records its promise.
 * Returns the early_ms that the state holds. */
static uint64_t
put_vm(struct fixture *f, uint64_t run, uint64_t early_ms)
{
    if (early_ms == 0) {
        state_cmd_vm_put(&f->cmd, &f->by, STR("vm"), STR("d0"),
                         STR("10.0.0.1:1"), run, false);
    }
    else {
        state_cmd_vm_promise(&f->cmd, &f->by, STR("vm"), run, early_ms, run);
    }
    fixture_apply(f);
    return state_vm(f->s, STR("vm"))->early_ms;
}

/* Guards against a VM's promise that is attributed to another process or lost
 * by a snapshot or a repeated registration. */
static void
test_vm_promise(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_assert_cmpuint(put_vm(f, 1, 0), ==, 0);
    g_assert_cmpuint(put_vm(f, 1, 700), ==, 700);
    g_assert_cmpuint(put_vm(f, 1, 0), ==, 700);
    fixture_reload(f);
    g_assert_cmpuint(state_vm(f->s, STR("vm"))->early_ms, ==, 700);
    g_assert_cmpuint(state_vm(f->s, STR("vm"))->early_seq, ==, 1);
    g_assert_cmpuint(put_vm(f, 2, 500), ==, 700);
    g_assert_cmpuint(put_vm(f, 2, 0), ==, 0);
    g_assert_cmpuint(put_vm(f, 1, 700), ==, 0);
    g_assert_cmpuint(state_vm(f->s, STR("vm"))->run, ==, 2);
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

/*
 * Guards against expired records that keep their memory. The audit trail is
 * filled to its limit before the first measurement. Under a sanitizer
 * mallinfo2 reports 0, so that the test only executes the code.
 */
static void
test_memory_settles(struct fixture *f, gconstpointer data)
{
    (void)data;
    for (uint64_t i = 0; i < STATE_AUDIT_MAX; i++) {
        state_cmd_vm_drain(&f->cmd, &f->by, STR("vm"), true);
        fixture_apply(f);
    }
    apply_rounds(f, 1000);
    size_t before = heap_bytes();
    apply_rounds(f, 20000);
    g_assert_cmpuint(heap_bytes(), <, before + 50000);
    g_assert_nonnull(state_usage_get(f->s, 1, 202602));
}

/* Guards against an audit trail that exceeds its limit or drops other entries
 * than the oldest. */
static void
test_audit_bound(struct fixture *f, gconstpointer data)
{
    uint64_t before = state_audit_last(f->s);

    (void)data;
    for (uint64_t i = 0; i < STATE_AUDIT_MAX + 10; i++) {
        f->by.wall_ms = WALL_MS + (int64_t)i;
        state_cmd_key_delete(&f->cmd, &f->by, 1000 + i);
        fixture_apply(f);
    }
    g_assert_cmpuint(state_audit_last(f->s), ==,
                     before + STATE_AUDIT_MAX + 10);
    g_assert_cmpuint(state_audit_first(f->s), ==, before + 11);
    g_assert_null(state_audit(f->s, before + 10));
    fixture_reload(f);
    g_assert_cmpint(state_audit(f->s, before + 11)->wall_ms, ==, WALL_MS + 10);
    g_assert_true(
        str_eq(state_audit(f->s, before + 11)->object, STR("key k1010")));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    fixture_add_test("/state/racing_operators", test_racing_operators);
    fixture_add_test("/state/operator_resend", test_operator_resend);
    fixture_add_test("/state/list_rules", test_list_rules);
    fixture_add_test("/state/withdrawn_key", test_withdrawn_key);
    fixture_add_test("/state/wrong_clock", test_wrong_clock);
    fixture_add_test("/state/config_view", test_config_view);
    fixture_add_test("/state/malformed", test_malformed);
    fixture_add_test("/state/audit_bound", test_audit_bound);
    fixture_add_test("/state/memory_settles", test_memory_settles);
    fixture_add_test("/state/vm_promise", test_vm_promise);
    return g_test_run();
}
