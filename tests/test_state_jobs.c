#include <string.h>

#include "state_fixture.h"

static void
test_job_resend(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", true, 1);

    (void)data;
    for (int i = 0; i < 2; i++) {
        fixture_put_job(f, "job", true, 1);
        g_assert_cmpint(f->r.kind, ==, STATE_DUPLICATE);
        g_assert_cmpuint(f->r.u.duplicate.number, ==, job);
        fixture_put_job(f, "job", true, 2);
        g_assert_cmpint(f->r.kind, ==, STATE_CONFLICT);
        fixture_restart(f);
        state_cmd_job_cancel(&f->cmd, &f->by, 1, STR("job"), false);
        fixture_apply(f);
        g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_CANCELLED);
    }
    f->by.wall_ms += 24 * HOUR;
    g_assert_cmpuint(fixture_put_job(f, "job", true, 2), ==, job + 1);
}

/* Guards against late reports changing a task that runs again elsewhere. */
static void
test_old_lease(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", true, 0);
    const struct state_task *task;

    (void)data;
    g_assert_cmpint(fixture_place(f, job, 2, 10), ==,
                    STATE_REASON_INCARNATION);
    g_assert_cmpint(fixture_place(f, job, 1, 10), ==, STATE_REASON_NONE);
    g_assert_cmpint(fixture_place(f, job, 1, 11), ==,
                    STATE_REASON_TASK_PLACED);
    g_assert_cmpint(fixture_end(f, 10, STATE_OUTCOME_LOST), ==,
                    STATE_REASON_NONE);
    g_assert_cmpint(fixture_place(f, job, 1, 10), ==, STATE_REASON_LEASE_OLD);
    g_assert_cmpint(fixture_place(f, job, 1, 12), ==, STATE_REASON_NONE);
    g_assert_cmpint(fixture_end(f, 10, STATE_OUTCOME_DONE), ==,
                    STATE_REASON_LEASE_OLD);
    task = &state_job(f->s, job)->tasks[0];
    g_assert_cmpint(task->state, ==, STATE_TASK_PLACED);
    g_assert_cmpuint(task->lease, ==, 12);
    g_assert_cmpuint(task->attempts, ==, 2);
    state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
    fixture_apply(f);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_JOB_HAS_TASKS);
    g_assert_cmpint(fixture_end(f, 12, STATE_OUTCOME_DONE), ==,
                    STATE_REASON_NONE);
    g_assert_cmpint(state_job(f->s, job)->tasks[0].exit_code, ==, 3);
    state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
    fixture_apply(f);
    g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_DONE);
    g_assert_cmpint(fixture_place(f, job, 1, 13), ==, STATE_REASON_JOB_ENDED);
}

/* Guards against a second start of what must start at most once. */
static void
test_start_once(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", false, 0);

    (void)data;
    g_assert_cmpint(fixture_place(f, job, 1, 1), ==, STATE_REASON_NONE);
    fixture_end(f, 1, STATE_OUTCOME_NEVER_STARTED);
    g_assert_cmpint(fixture_place(f, job, 1, 2), ==, STATE_REASON_NONE);
    fixture_end(f, 2, STATE_OUTCOME_LOST);
    fixture_restart(f);
    g_assert_cmpint(fixture_place(f, job, 1, 3), ==,
                    STATE_REASON_TASK_STARTED);
    /* It may have run, so the cancellation alone does not end it. */
    state_cmd_job_cancel(&f->cmd, &f->by, 1, STR("j"), true);
    fixture_apply(f);
    g_assert_cmpuint(f->r.u.applied.changed, ==, 1);
    g_assert_cmpuint(f->r.u.applied.jobs[0], ==, job);
    g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_QUEUED);
    g_assert_true(state_job(f->s, job)->cancel);
}

/* Guards against usage that is counted twice, or lost after the end. */
static void
test_usage_once(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", true, 0);

    (void)data;
    fixture_place(f, job, 1, 1);
    fixture_sample(f, 1, 100);
    fixture_sample(f, 1, 100);
    fixture_sample(f, 1, 60);
    fixture_restart(f);
    fixture_sample(f, 1, 100);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202601)->cpu_ms, ==, 100);
    fixture_end(f, 1, STATE_OUTCOME_LOST);
    fixture_place(f, job, 1, 2);
    f->by.wall_ms += 1000;
    fixture_sample(f, 1, 130);
    fixture_sample(f, 2, 5);
    fixture_restart(f);
    fixture_sample(f, 1, 130);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202601)->cpu_ms, ==, 100);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202602)->cpu_ms, ==, 35);
    f->by.wall_ms += HOUR + 1;
    fixture_sample(f, 1, 500);
    g_assert_cmpint(f->r.u.applied.rejects[0].reason, ==,
                    STATE_REASON_LEASE_OLD);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202602)->cpu_ms, ==, 35);
    fixture_sample(f, 2, UINT64_MAX);
    f->by.wall_ms += 1;
    g_assert_true(state_usage_get(f->s, 1, 202602)->cpu_ms > 35);
}

static enum state_result_kind
begin(struct fixture *f, uint64_t attempt, uint8_t digest)
{
    uint8_t body[STATE_DIGEST_BYTES] = {digest};

    state_cmd_request_begin(&f->cmd, &f->by, 1, STR("key"), body, STR("vm"),
                            attempt, 1000);
    fixture_apply(f);
    return f->r.kind;
}

static enum state_result_kind
finish(struct fixture *f, uint64_t number, enum state_request_state outcome)
{
    struct state_response response = {201, STR("h"), STR("body")};

    state_cmd_request_end(&f->cmd, &f->by, 1, STR("key"), number, outcome,
                          &response);
    fixture_apply(f);
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
    fixture_apply(f);
    g_assert_cmpuint(f->r.u.applied.changed, ==, 1);
    fixture_restart(f);
    g_assert_cmpint(begin(f, 1, 0), ==, STATE_DUPLICATE);
    g_assert_cmpint(state_request(f->s, 1, STR("key"))->state, ==,
                    STATE_REQUEST_UNKNOWN);
    g_assert_cmpint(finish(f, number + 1, STATE_REQUEST_FINISHED), ==,
                    STATE_NOT_FOUND);
    g_assert_cmpint(finish(f, number, STATE_REQUEST_FINISHED), ==,
                    STATE_APPLIED);
    fixture_restart(f);
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
    fixture_apply(f);
    fixture_set_teams(f, 0, "a");
    uint64_t a = fixture_begin_key(f, "a");
    uint64_t b = fixture_begin_key(f, "b");
    fixture_store(f, "b", b);
    fixture_store(f, "a", a);
    fixture_restart(f);
    fixture_store(f, "c", fixture_begin_key(f, "c"));
    g_assert_true(state_request(f->s, 1, STR("a"))->stored);
    g_assert_false(state_request(f->s, 1, STR("b"))->stored);
    g_assert_cmpint(state_request(f->s, 1, STR("b"))->state, ==,
                    STATE_REQUEST_FINISHED);
    fixture_begin_key(f, "d");
    g_assert_cmpint(f->r.kind, ==, STATE_INVALID);
    g_assert_cmpint(f->r.u.invalid.reason, ==, STATE_REASON_FULL);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    fixture_add("/state/job_resend", test_job_resend);
    fixture_add("/state/old_lease", test_old_lease);
    fixture_add("/state/start_once", test_start_once);
    fixture_add("/state/usage_once", test_usage_once);
    fixture_add("/state/request_records", test_request_records);
    fixture_add("/state/request_bounds", test_request_bounds);
    return g_test_run();
}
