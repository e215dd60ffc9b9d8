#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "confview.h"
#include "rng.h"
#include "state.h"

/* 2026-01-31 23:59:59 UTC, so that a second later is another month. */
#define WALL INT64_C(1769903999000)
#define HOUR INT64_C(3600000)

struct fixture {
    struct state *s;
    struct state_result r;
    struct buf cmd;
    struct state_actor by;
};

static void
apply(struct fixture *f)
{
    state_apply(f->s, state_index(f->s) + 1, buf_str(&f->cmd), &f->r);
    buf_clear(&f->cmd);
}

static void
set_teams(struct fixture *f, uint64_t version, const char *names)
{
    struct state_team_item items[8];
    size_t count = strlen(names);

    for (size_t i = 0; i < count; i++) {
        items[i].name = str_from(names + i, 1);
        items[i].weight = 1;
    }
    state_cmd_teams_set(&f->cmd, &f->by, version, items, count);
    apply(f);
}

static uint64_t
add_key(struct fixture *f, enum state_key_kind kind, const char *team,
        uint8_t first_byte)
{
    uint8_t hash[STATE_HASH_BYTES] = {first_byte, 1};

    state_cmd_key_add(&f->cmd, &f->by, kind, str_of(team), hash);
    apply(f);
    return f->r.kind == STATE_APPLIED ? f->r.u.applied.number : 0;
}

static void
setup(struct fixture *f, gconstpointer data)
{
    struct state_capacity capacity = {1000, 1000, 0};

    (void)data;
    memset(f, 0, sizeof(*f));
    f->s = state_create();
    f->by.wall_ms = WALL;
    state_cmd_bootstrap(&f->cmd, &f->by, 5, NULL, 0, &state_settings_default);
    apply(f);
    set_teams(f, 0, "ab");
    state_cmd_worker_put(&f->cmd, &f->by, STR("w"), 1, STR("r"), STR("fd"),
                         &capacity);
    apply(f);
}

static void
teardown(struct fixture *f, gconstpointer data)
{
    (void)data;
    state_destroy(f->s);
    buf_free(&f->cmd);
}

/* Replaces the state by one that was read from its snapshot. */
static void
restart(struct fixture *f)
{
    struct buf bytes = {0};
    struct state *next;

    state_encode(f->s, &bytes);
    next = state_decode(buf_str(&bytes));
    g_assert_nonnull(next);
    state_destroy(f->s);
    f->s = next;
    buf_free(&bytes);
}

static uint64_t
put_job(struct fixture *f, const char *name, bool idempotent, uint8_t digest)
{
    struct state_job_spec spec = {.class = STATE_JOB_BATCH,
                                  .tasks = 1,
                                  .idempotent = idempotent,
                                  .payload = STR("p")};
    uint8_t body[STATE_DIGEST_BYTES] = {digest};

    state_cmd_job_put(&f->cmd, &f->by, 1, str_of(name), &spec, body);
    apply(f);
    return f->r.kind == STATE_APPLIED ? f->r.u.applied.number : 0;
}

/* Returns the reason why the item was refused, or STATE_REASON_NONE. */
static enum state_reason
place(struct fixture *f, uint64_t job, uint64_t incarnation, uint64_t lease)
{
    struct state_placement item = {
        .job = job, .worker = 1, .incarnation = incarnation, .lease = lease};

    state_cmd_tasks_placed(&f->cmd, &f->by, &item, 1);
    apply(f);
    g_assert_cmpint(f->r.kind, ==, STATE_APPLIED);
    return f->r.u.applied.reject_count == 0 ? STATE_REASON_NONE
                                            : f->r.u.applied.rejects[0].reason;
}

static enum state_reason
end(struct fixture *f, uint64_t lease, enum state_task_outcome outcome)
{
    struct state_end item = {
        .lease = lease, .outcome = outcome, .exit_code = 3};

    state_cmd_tasks_ended(&f->cmd, &f->by, &item, 1);
    apply(f);
    return f->r.u.applied.reject_count == 0 ? STATE_REASON_NONE
                                            : f->r.u.applied.rejects[0].reason;
}

static void
sample(struct fixture *f, uint64_t lease, uint64_t cpu_ms)
{
    struct state_sample item = {lease, cpu_ms, 0, 0};

    state_cmd_usage(&f->cmd, &f->by, &item, 1);
    apply(f);
}

/* Guards against one of two racing operators overwriting the other. */
static void
test_racing_operators(struct fixture *f, gconstpointer data)
{
    (void)data;
    set_teams(f, 1, "abc");
    g_assert_cmpint(f->r.kind, ==, STATE_APPLIED);
    g_assert_cmpuint(f->r.u.applied.version, ==, 2);
    set_teams(f, 1, "abd");
    g_assert_cmpint(f->r.kind, ==, STATE_CONFLICT);
    g_assert_cmpuint(f->r.u.conflict.version, ==, 2);
    g_assert_null(state_team_by_name(f->s, STR("d")));
    g_assert_nonnull(state_team_by_name(f->s, STR("c")));
    const struct state_audit *last = state_audit(f->s, state_audit_last(f->s));
    g_assert_cmpint(last->outcome, ==, STATE_CONFLICT);
    g_assert_cmpint(last->action, ==, STATE_CMD_TEAMS_SET);
}

/* Guards against a resend that runs again, or is told another result. */
static void
test_operator_resend(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->by.idempotency_key = STR("once");
    uint64_t id = add_key(f, STATE_KEY_TEAM, "a", 1);
    uint64_t audits = state_audit_last(f->s);

    for (int i = 0; i < 2; i++) {
        add_key(f, STATE_KEY_TEAM, "a", 2);
        g_assert_cmpint(f->r.kind, ==, STATE_DUPLICATE);
        g_assert_cmpint(f->r.u.duplicate.kind, ==, STATE_APPLIED);
        g_assert_cmpuint(f->r.u.duplicate.number, ==, id);
        restart(f);
    }
    g_assert_cmpuint(state_audit_last(f->s), ==, audits);
    f->by.request_digest[0] = 9;
    add_key(f, STATE_KEY_TEAM, "a", 2);
    g_assert_cmpint(f->r.kind, ==, STATE_CONFLICT);
    f->by.wall_ms += 24 * HOUR;
    g_assert_cmpuint(add_key(f, STATE_KEY_TEAM, "a", 2), ==, id + 1);
}

/* Guards against a list that names strangers or loses a team with jobs. */
static void
test_list_rules(struct fixture *f, gconstpointer data)
{
    struct state_limit_item limit = {STR("zz"), state_limit_none};
    uint32_t old = state_team_by_name(f->s, STR("b"))->number;

    (void)data;
    state_cmd_limits_set(&f->cmd, &f->by, 0, &limit, 1);
    apply(f);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_TEAM_UNKNOWN);
    limit.team = STR("b");
    limit.limit.tasks = 3;
    state_cmd_limits_set(&f->cmd, &f->by, 0, &limit, 1);
    apply(f);
    g_assert_cmpint(f->r.kind, ==, STATE_APPLIED);
    g_assert_cmpuint(state_limits_version(f->s), ==, 1);
    state_cmd_limits_set(&f->cmd, &f->by, 0, &limit, 1);
    apply(f);
    g_assert_cmpint(f->r.kind, ==, STATE_CONFLICT);
    g_assert_true(state_limit_of(f->s, 1)->tasks == STATE_UNLIMITED);
    g_assert_cmpuint(state_limit_of(f->s, old)->tasks, ==, 3);
    set_teams(f, 1, "aa");
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_NAME_TWICE);
    put_job(f, "job", true, 0);
    set_teams(f, 1, "b");
    g_assert_cmpint(f->r.kind, ==, STATE_INVALID);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_TEAM_HAS_JOBS);
    uint64_t key = add_key(f, STATE_KEY_TEAM, "b", 7);
    set_teams(f, 1, "a");
    set_teams(f, 2, "ab");
    g_assert_cmpint(f->r.kind, ==, STATE_APPLIED);
    g_assert_cmpuint(state_team_by_name(f->s, STR("b"))->number, >, old);
    g_assert_cmpint(state_key(f->s, key)->withdrawn_ms, !=, 0);
    g_assert_cmpuint(state_limit_count(f->s), ==, 0);
}

/* Guards against work for a key that was withdrawn before it was applied. */
static void
test_withdrawn_key(struct fixture *f, gconstpointer data)
{
    uint8_t hash[STATE_HASH_BYTES] = {4, 1};
    uint64_t mine = add_key(f, STATE_KEY_TEAM, "a", 4);
    uint64_t other = add_key(f, STATE_KEY_TEAM, "b", 5);
    uint64_t root = add_key(f, STATE_KEY_OPERATOR, "", 6);

    (void)data;
    f->by.key_id = other;
    put_job(f, "job", true, 0);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_KEY_KIND);
    f->by.key_id = mine;
    g_assert_cmpuint(put_job(f, "job", true, 0), !=, 0);
    set_teams(f, 1, "abc");
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_KEY_KIND);
    f->by.key_id = root;
    g_assert_cmpuint(state_key_by_hash(f->s, hash)->id, ==, mine);
    state_cmd_key_delete(&f->cmd, &f->by, mine);
    apply(f);
    g_assert_null(state_key_by_hash(f->s, hash));
    f->by.key_id = mine;
    put_job(f, "job2", true, 0);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_KEY_WITHDRAWN);
}

static void
test_job_resend(struct fixture *f, gconstpointer data)
{
    uint64_t job = put_job(f, "job", true, 1);

    (void)data;
    for (int i = 0; i < 2; i++) {
        put_job(f, "job", true, 1);
        g_assert_cmpint(f->r.kind, ==, STATE_DUPLICATE);
        g_assert_cmpuint(f->r.u.duplicate.number, ==, job);
        put_job(f, "job", true, 2);
        g_assert_cmpint(f->r.kind, ==, STATE_CONFLICT);
        restart(f);
        state_cmd_job_cancel(&f->cmd, &f->by, 1, STR("job"), false);
        apply(f);
        g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_CANCELLED);
    }
    f->by.wall_ms += 24 * HOUR;
    g_assert_cmpuint(put_job(f, "job", true, 2), ==, job + 1);
}

/* Guards against late reports changing a task that runs again elsewhere. */
static void
test_old_lease(struct fixture *f, gconstpointer data)
{
    uint64_t job = put_job(f, "job", true, 0);
    const struct state_task *task;

    (void)data;
    g_assert_cmpint(place(f, job, 2, 10), ==, STATE_REASON_INCARNATION);
    g_assert_cmpint(place(f, job, 1, 10), ==, STATE_REASON_NONE);
    g_assert_cmpint(place(f, job, 1, 11), ==, STATE_REASON_TASK_PLACED);
    g_assert_cmpint(end(f, 10, STATE_OUTCOME_LOST), ==, STATE_REASON_NONE);
    g_assert_cmpint(place(f, job, 1, 10), ==, STATE_REASON_LEASE_OLD);
    g_assert_cmpint(place(f, job, 1, 12), ==, STATE_REASON_NONE);
    g_assert_cmpint(end(f, 10, STATE_OUTCOME_DONE), ==,
                    STATE_REASON_LEASE_OLD);
    task = &state_job(f->s, job)->tasks[0];
    g_assert_cmpint(task->state, ==, STATE_TASK_PLACED);
    g_assert_cmpuint(task->lease, ==, 12);
    g_assert_cmpuint(task->attempts, ==, 2);
    state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
    apply(f);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_JOB_HAS_TASKS);
    g_assert_cmpint(end(f, 12, STATE_OUTCOME_DONE), ==, STATE_REASON_NONE);
    g_assert_cmpint(state_job(f->s, job)->tasks[0].exit_code, ==, 3);
    state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
    apply(f);
    g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_DONE);
    g_assert_cmpint(place(f, job, 1, 13), ==, STATE_REASON_JOB_ENDED);
}

/* Guards against a second start of what must start at most once. */
static void
test_start_once(struct fixture *f, gconstpointer data)
{
    uint64_t job = put_job(f, "job", false, 0);

    (void)data;
    g_assert_cmpint(place(f, job, 1, 1), ==, STATE_REASON_NONE);
    end(f, 1, STATE_OUTCOME_NEVER_STARTED);
    g_assert_cmpint(place(f, job, 1, 2), ==, STATE_REASON_NONE);
    end(f, 2, STATE_OUTCOME_LOST);
    restart(f);
    g_assert_cmpint(place(f, job, 1, 3), ==, STATE_REASON_TASK_STARTED);
    /* It may have run, so the cancellation alone does not end it. */
    state_cmd_job_cancel(&f->cmd, &f->by, 1, STR("j"), true);
    apply(f);
    g_assert_cmpuint(f->r.u.applied.changed, ==, 1);
    g_assert_cmpuint(f->r.u.applied.jobs[0], ==, job);
    g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_QUEUED);
    g_assert_true(state_job(f->s, job)->cancel);
}

/* Guards against usage that is counted twice, or lost after the end. */
static void
test_usage_once(struct fixture *f, gconstpointer data)
{
    uint64_t job = put_job(f, "job", true, 0);

    (void)data;
    place(f, job, 1, 1);
    sample(f, 1, 100);
    sample(f, 1, 100);
    sample(f, 1, 60);
    restart(f);
    sample(f, 1, 100);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202601)->cpu_ms, ==, 100);
    end(f, 1, STATE_OUTCOME_LOST);
    place(f, job, 1, 2);
    f->by.wall_ms += 1000;
    sample(f, 1, 130);
    sample(f, 2, 5);
    restart(f);
    sample(f, 1, 130);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202601)->cpu_ms, ==, 100);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202602)->cpu_ms, ==, 35);
    f->by.wall_ms += HOUR + 1;
    sample(f, 1, 500);
    g_assert_cmpint(f->r.u.applied.rejects[0].reason, ==,
                    STATE_REASON_LEASE_OLD);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202602)->cpu_ms, ==, 35);
    sample(f, 2, UINT64_MAX);
    f->by.wall_ms += 1;
    g_assert_true(state_usage_get(f->s, 1, 202602)->cpu_ms > 35);
}

static enum state_result_kind
begin(struct fixture *f, uint64_t attempt, uint8_t digest)
{
    uint8_t body[STATE_DIGEST_BYTES] = {digest};

    state_cmd_request_begin(&f->cmd, &f->by, 1, STR("key"), body, STR("vm"),
                            attempt, 1000);
    apply(f);
    return f->r.kind;
}

static enum state_result_kind
finish(struct fixture *f, uint64_t number, enum state_request_state outcome)
{
    struct state_response response = {201, STR("h"), STR("body")};

    state_cmd_request_end(&f->cmd, &f->by, 1, STR("key"), number, outcome,
                          &response);
    apply(f);
    return f->r.kind;
}

/* Guards against a request that runs twice over lost answers and entries. */
static void
test_request_records(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_assert_cmpint(begin(f, 1, 0), ==, STATE_APPLIED);
    uint64_t number = f->r.u.applied.number;
    g_assert_cmpint(begin(f, 1, 0), ==, STATE_APPLIED);
    g_assert_cmpuint(f->r.u.applied.number, ==, number);
    g_assert_cmpint(begin(f, 2, 0), ==, STATE_DUPLICATE);
    g_assert_cmpint(begin(f, 2, 1), ==, STATE_CONFLICT);
    state_cmd_entry_lost(&f->cmd, &f->by, STR("vm"));
    apply(f);
    g_assert_cmpuint(f->r.u.applied.changed, ==, 1);
    restart(f);
    g_assert_cmpint(begin(f, 1, 0), ==, STATE_DUPLICATE);
    g_assert_cmpint(state_request(f->s, 1, STR("key"))->state, ==,
                    STATE_REQUEST_UNKNOWN);
    g_assert_cmpint(finish(f, number + 1, STATE_REQUEST_FINISHED), ==,
                    STATE_NOT_FOUND);
    g_assert_cmpint(finish(f, number, STATE_REQUEST_FINISHED), ==,
                    STATE_APPLIED);
    restart(f);
    g_assert_cmpint(finish(f, number, STATE_REQUEST_NOT_RUN), ==,
                    STATE_DUPLICATE);
    const struct state_request *r = state_request(f->s, 1, STR("key"));
    g_assert_true(r->stored && str_eq(r->response.body, STR("body")));
    f->by.wall_ms += 24 * HOUR;
    g_assert_cmpint(begin(f, 3, 1), ==, STATE_APPLIED);
    finish(f, f->r.u.applied.number, STATE_REQUEST_NOT_RUN);
    g_assert_cmpint(begin(f, 4, 2), ==, STATE_APPLIED);
    f->by.wall_ms += 1000 + STATE_REQUEST_GRACE_MS + 1;
    g_assert_cmpint(begin(f, 5, 2), ==, STATE_DUPLICATE);
    g_assert_cmpint(state_request(f->s, 1, STR("key"))->state, ==,
                    STATE_REQUEST_UNKNOWN);
}

static void
store(struct fixture *f, const char *key, uint64_t number)
{
    struct state_response response = {200, STR(""), STR("123456")};

    state_cmd_request_end(&f->cmd, &f->by, 1, str_of(key), number,
                          STATE_REQUEST_FINISHED, &response);
    apply(f);
}

static uint64_t
begin_key(struct fixture *f, const char *key)
{
    uint8_t body[STATE_DIGEST_BYTES] = {0};

    state_cmd_request_begin(&f->cmd, &f->by, 1, str_of(key), body, STR("vm"),
                            1, 1000);
    apply(f);
    return f->r.kind == STATE_APPLIED ? f->r.u.applied.number : 0;
}

/* Guards against bounds that drop what must not run again. */
static void
test_request_bounds(struct fixture *f, gconstpointer data)
{
    struct state_settings small = state_settings_default;

    (void)data;
    state_destroy(f->s);
    f->s = state_create();
    small.request_max = 3;
    small.request_bytes_max = 13;
    state_cmd_bootstrap(&f->cmd, &f->by, 5, NULL, 0, &small);
    apply(f);
    set_teams(f, 0, "a");
    uint64_t a = begin_key(f, "a");
    uint64_t b = begin_key(f, "b");
    store(f, "b", b);
    store(f, "a", a);
    restart(f);
    store(f, "c", begin_key(f, "c"));
    g_assert_true(state_request(f->s, 1, STR("a"))->stored);
    g_assert_false(state_request(f->s, 1, STR("b"))->stored);
    g_assert_cmpint(state_request(f->s, 1, STR("b"))->state, ==,
                    STATE_REQUEST_FINISHED);
    begin_key(f, "d");
    g_assert_cmpint(f->r.kind, ==, STATE_INVALID);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_FULL);
}

/* Guards against one wrong clock that keeps every later record for ever. */
static void
test_wrong_clock(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->by.wall_ms = WALL + 1000 * 24 * HOUR;
    g_assert_cmpuint(begin_key(f, "a"), !=, 0);
    f->by.wall_ms = WALL;
    g_assert_cmpuint(begin_key(f, "b"), !=, 0);
    f->by.wall_ms = WALL - HOUR;
    g_assert_cmpuint(begin_key(f, "c"), !=, 0);
    g_assert_cmpint(state_request(f->s, 1, STR("c"))->begun_ms, ==, WALL);
    f->by.wall_ms = WALL + 23 * HOUR;
    g_assert_cmpuint(begin_key(f, "a"), ==, 1);
    f->by.wall_ms = WALL + 24 * HOUR;
    g_assert_cmpuint(begin_key(f, "a"), >, 3);
    g_assert_null(state_request(f->s, 1, STR("b")));
}

/* Guards against an entry that goes back, skips or takes another cluster. */
static void
test_config_view(struct fixture *f, gconstpointer data)
{
    struct confview *v = confview_create();
    struct confview *fresh = confview_create();
    struct buf old = {0};
    struct buf delta = {0};
    uint8_t hash[STATE_HASH_BYTES] = {1, 1};

    (void)data;
    uint64_t id = add_key(f, STATE_KEY_TEAM, "a", 1);
    state_config_since(f->s, 0, &old);
    g_assert_cmpint(confview_apply(v, buf_str(&old)), ==, CONFVIEW_APPLIED);
    g_assert_cmpuint(confview_key(v, hash)->id, ==, id);
    state_cmd_key_delete(&f->cmd, &f->by, id);
    apply(f);
    state_config_since(f->s, confview_version(v), &delta);
    g_assert_cmpuint(delta.len, <, old.len);
    g_assert_cmpint(confview_apply(fresh, buf_str(&delta)), ==, CONFVIEW_GAP);
    g_assert_cmpint(confview_apply(v, buf_str(&delta)), ==, CONFVIEW_APPLIED);
    g_assert_null(confview_key(v, hash));
    g_assert_cmpint(confview_apply(v, buf_str(&old)), ==, CONFVIEW_STALE);
    g_assert_null(confview_key(v, hash));
    g_assert_cmpint(confview_apply(v, str_from(delta.ptr, 5)), !=,
                    CONFVIEW_APPLIED);
    /* Its change is older than the history and must come all the same. */
    id = add_key(f, STATE_KEY_ENDPOINT, "", 1);
    for (int i = 0; i < STATE_HISTORY_MAX + 1; i++) {
        add_key(f, STATE_KEY_WORKER, "", (uint8_t)i);
        state_cmd_key_delete(&f->cmd, &f->by, f->r.u.applied.number);
        apply(f);
    }
    buf_clear(&delta);
    state_config_since(f->s, confview_version(v), &delta);
    g_assert_cmpint(confview_apply(v, buf_str(&delta)), ==, CONFVIEW_APPLIED);
    g_assert_cmpuint(confview_version(v), ==, state_config_version(f->s));
    g_assert_nonnull(confview_key(v, hash));
    g_assert_cmpuint(confview_key(v, hash)->id, ==, id);
    buf_free(&old);
    buf_free(&delta);
    confview_destroy(v);
    confview_destroy(fresh);
}

/* Guards against a process that ends on bytes that are no command. */
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
        state_apply(f->s, state_index(f->s) + 1, str_from(bytes, len), &f->r);
    }
    set_teams(f, 1, "abc");
    g_assert_cmpint(f->r.kind, ==, STATE_APPLIED);
    state_apply(f->s, state_index(f->s), STR(""), &f->r);
    g_assert_cmpint(f->r.kind, ==, STATE_INVALID);
}

/* Ten minutes, a job, a request and a resent operator command each. */
static void
live_through(struct fixture *f, unsigned turns)
{
    char name[32];

    for (unsigned i = 0; i < turns; i++) {
        f->by.wall_ms += HOUR / 6;
        snprintf(name, sizeof(name), "%u", (unsigned)state_index(f->s));
        uint64_t job = put_job(f, name, true, 0);
        uint64_t lease = state_highest_lease(f->s) + 1;
        place(f, job, 1, lease);
        sample(f, lease, 1);
        end(f, lease, STATE_OUTCOME_DONE);
        state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
        apply(f);
        store(f, name, begin_key(f, name));
        f->by.idempotency_key = str_of(name);
        state_cmd_vm_drain(&f->cmd, &f->by, STR("vm"), true);
        apply(f);
        f->by.idempotency_key = STR("");
    }
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

/*
 * Guards against memory that retention does not give back. The audit trail,
 * which grows to its bound, is filled first. Under a sanitizer the heap reads
 * as empty and only the walk itself is checked.
 */
static void
test_memory_settles(struct fixture *f, gconstpointer data)
{
    (void)data;
    for (uint64_t i = 0; i < STATE_AUDIT_MAX; i++) {
        state_cmd_vm_drain(&f->cmd, &f->by, STR("vm"), true);
        apply(f);
    }
    live_through(f, 1000);
    size_t early = heap_bytes();
    live_through(f, 20000);
    g_assert_cmpuint(heap_bytes(), <, early + 50000);
    g_assert_nonnull(state_usage_get(f->s, 1, 202602));
}

/* Guards against an audit trail that grows for ever or loses the newest. */
static void
test_audit_bound(struct fixture *f, gconstpointer data)
{
    uint64_t before = state_audit_last(f->s);

    (void)data;
    for (uint64_t i = 0; i < STATE_AUDIT_MAX + 10; i++) {
        f->by.wall_ms = WALL + (int64_t)i;
        state_cmd_key_delete(&f->cmd, &f->by, 1000 + i);
        apply(f);
    }
    g_assert_cmpuint(state_audit_last(f->s), ==,
                     before + STATE_AUDIT_MAX + 10);
    g_assert_cmpuint(state_audit_first(f->s), ==, before + 11);
    g_assert_null(state_audit(f->s, before + 10));
    restart(f);
    g_assert_cmpint(state_audit(f->s, before + 11)->wall_ms, ==, WALL + 10);
    g_assert_true(
        str_eq(state_audit(f->s, before + 11)->object, STR("key 1010")));
}

static void
add(const char *path, void (*test)(struct fixture *, gconstpointer))
{
    g_test_add(path, struct fixture, NULL, setup, test, teardown);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add("/state/racing_operators", test_racing_operators);
    add("/state/operator_resend", test_operator_resend);
    add("/state/list_rules", test_list_rules);
    add("/state/withdrawn_key", test_withdrawn_key);
    add("/state/job_resend", test_job_resend);
    add("/state/old_lease", test_old_lease);
    add("/state/start_once", test_start_once);
    add("/state/usage_once", test_usage_once);
    add("/state/request_records", test_request_records);
    add("/state/request_bounds", test_request_bounds);
    add("/state/wrong_clock", test_wrong_clock);
    add("/state/config_view", test_config_view);
    add("/state/malformed", test_malformed);
    add("/state/audit_bound", test_audit_bound);
    add("/state/memory_settles", test_memory_settles);
    return g_test_run();
}
