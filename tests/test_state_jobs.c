#include <string.h>

#include "state_fixture.h"

/* Guards against a resubmitted job that runs again within its retention time,
 * and against a different job that is taken for it. */
static void
test_job_resend(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", true, 1);

    (void)data;
    for (int i = 0; i < 2; i++) {
        fixture_put_job(f, "job", true, 1);
        g_assert_cmpint(f->result.kind, ==, STATE_DUPLICATE);
        g_assert_cmpuint(f->result.u.duplicate.number, ==, job);
        fixture_put_job(f, "job", true, 2);
        g_assert_cmpint(f->result.kind, ==, STATE_CONFLICT);
        fixture_reload(f);
        state_cmd_job_cancel(&f->cmd, &f->by, 1, STR("job"), false);
        fixture_apply(f);
        g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_CANCELLED);
    }
    f->by.wall_ms += 24 * HOUR_MS;
    g_assert_cmpuint(fixture_put_job(f, "job", true, 2), ==, job + 1);
}

/* Guards against a late report for an ended lease that changes the task after
 * it has been placed again. */
static void
test_old_lease(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", true, 0);
    const struct state_task *task;

    (void)data;
    g_assert_cmpint(fixture_place_task(f, job, 2, 10), ==,
                    STATE_REASON_INCARNATION_MISMATCH);
    g_assert_cmpint(fixture_place_task(f, job, 1, 10), ==, STATE_REASON_NONE);
    g_assert_cmpint(fixture_place_task(f, job, 1, 11), ==,
                    STATE_REASON_TASK_PLACED);
    g_assert_cmpint(fixture_end_task(f, 10, STATE_OUTCOME_LOST), ==,
                    STATE_REASON_NONE);
    g_assert_cmpint(fixture_place_task(f, job, 1, 10), ==,
                    STATE_REASON_LEASE_STALE);
    g_assert_cmpint(fixture_place_task(f, job, 1, 12), ==, STATE_REASON_NONE);
    g_assert_cmpint(fixture_end_task(f, 10, STATE_OUTCOME_DONE), ==,
                    STATE_REASON_LEASE_STALE);
    task = &state_job(f->s, job)->tasks[0];
    g_assert_cmpint(task->state, ==, STATE_TASK_PLACED);
    g_assert_cmpuint(task->lease, ==, 12);
    g_assert_cmpuint(task->attempts, ==, 2);
    state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
    fixture_apply(f);
    g_assert_cmpint(f->result.u.invalid.reason, ==,
                    STATE_REASON_JOB_HAS_TASKS);
    g_assert_cmpint(fixture_end_task(f, 12, STATE_OUTCOME_DONE), ==,
                    STATE_REASON_NONE);
    g_assert_cmpint(state_job(f->s, job)->tasks[0].exit_code, ==, 3);
    state_cmd_job_outcome(&f->cmd, &f->by, job, STATE_JOB_DONE, STR(""));
    fixture_apply(f);
    g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_DONE);
    g_assert_cmpint(fixture_place_task(f, job, 1, 13), ==,
                    STATE_REASON_JOB_ENDED);
}

/* Guards against a second placement of a non-idempotent task that may have
 * started. */
static void
test_start_once(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", false, 0);

    (void)data;
    g_assert_cmpint(fixture_place_task(f, job, 1, 1), ==, STATE_REASON_NONE);
    fixture_end_task(f, 1, STATE_OUTCOME_NEVER_STARTED);
    g_assert_cmpint(fixture_place_task(f, job, 1, 2), ==, STATE_REASON_NONE);
    fixture_end_task(f, 2, STATE_OUTCOME_LOST);
    fixture_reload(f);
    g_assert_cmpint(fixture_place_task(f, job, 1, 3), ==,
                    STATE_REASON_TASK_STARTED);
    /* A task has been placed, so that only a job outcome ends the job. */
    state_cmd_job_cancel(&f->cmd, &f->by, 1, STR("j"), true);
    fixture_apply(f);
    g_assert_cmpuint(f->result.u.applied.changed, ==, 1);
    g_assert_cmpuint(f->result.u.applied.jobs[0], ==, job);
    g_assert_cmpint(state_job(f->s, job)->state, ==, STATE_JOB_QUEUED);
    g_assert_true(state_job(f->s, job)->cancel);
}

/* Guards against usage that is counted twice, or lost when it is reported
 * after the end of its lease. */
static void
test_usage_once(struct fixture *f, gconstpointer data)
{
    uint64_t job = fixture_put_job(f, "job", true, 0);

    (void)data;
    fixture_place_task(f, job, 1, 1);
    fixture_add_usage(f, 1, 100);
    fixture_add_usage(f, 1, 100);
    fixture_add_usage(f, 1, 60);
    fixture_reload(f);
    fixture_add_usage(f, 1, 100);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202601)->cpu_ms, ==, 100);
    fixture_end_task(f, 1, STATE_OUTCOME_LOST);
    fixture_place_task(f, job, 1, 2);
    f->by.wall_ms += 1000;
    fixture_add_usage(f, 1, 130);
    fixture_add_usage(f, 2, 5);
    fixture_reload(f);
    fixture_add_usage(f, 1, 130);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202601)->cpu_ms, ==, 100);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202602)->cpu_ms, ==, 35);
    f->by.wall_ms += HOUR_MS + 1;
    fixture_add_usage(f, 1, 500);
    g_assert_cmpint(f->result.u.applied.rejects[0].reason, ==,
                    STATE_REASON_LEASE_STALE);
    g_assert_cmpuint(state_usage_get(f->s, 1, 202602)->cpu_ms, ==, 35);
    fixture_add_usage(f, 2, UINT64_MAX);
    f->by.wall_ms += 1;
    g_assert_true(state_usage_get(f->s, 1, 202602)->cpu_ms > 35);
}

static enum state_result_kind
begin_request(struct fixture *f, uint64_t attempt, uint8_t digest)
{
    uint8_t body[STATE_DIGEST_BYTES] = {digest};

    state_cmd_request_begin(&f->cmd, &f->by, 1, STR("key"), body, STR("vm"),
                            attempt, 1000);
    fixture_apply(f);
    return f->result.kind;
}

static enum state_result_kind
end_request(struct fixture *f, uint64_t number,
            enum state_request_state outcome)
{
    struct state_response response = {201, STR("h"), STR("body")};

    state_cmd_request_end(&f->cmd, &f->by, 1, STR("key"), number, outcome,
                          &response);
    fixture_apply(f);
    return f->result.kind;
}

/* Guards against a request that runs twice because its response or the
 * entry that accepted it was lost. */
static void
test_request_records(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_assert_cmpint(begin_request(f, 1, 0), ==, STATE_APPLIED);
    uint64_t number = f->result.u.applied.number;
    g_assert_cmpint(begin_request(f, 1, 0), ==, STATE_APPLIED);
    g_assert_cmpuint(f->result.u.applied.number, ==, number);
    g_assert_cmpint(begin_request(f, 2, 0), ==, STATE_DUPLICATE);
    g_assert_cmpint(begin_request(f, 2, 1), ==, STATE_CONFLICT);
    state_cmd_entry_lost(&f->cmd, &f->by, STR("vm"));
    fixture_apply(f);
    g_assert_cmpuint(f->result.u.applied.changed, ==, 1);
    fixture_reload(f);
    g_assert_cmpint(begin_request(f, 1, 0), ==, STATE_DUPLICATE);
    g_assert_cmpint(state_request(f->s, 1, STR("key"))->state, ==,
                    STATE_REQUEST_UNKNOWN);
    g_assert_cmpint(end_request(f, number + 1, STATE_REQUEST_FINISHED), ==,
                    STATE_NOT_FOUND);
    g_assert_cmpint(end_request(f, number, STATE_REQUEST_FINISHED), ==,
                    STATE_APPLIED);
    fixture_reload(f);
    g_assert_cmpint(end_request(f, number, STATE_REQUEST_NOT_RUN), ==,
                    STATE_DUPLICATE);
    const struct state_request *r = state_request(f->s, 1, STR("key"));
    g_assert_true(r->stored && str_eq(r->response.body, STR("body")));
    f->by.wall_ms += 24 * HOUR_MS;
    g_assert_cmpint(begin_request(f, 3, 1), ==, STATE_APPLIED);
    end_request(f, f->result.u.applied.number, STATE_REQUEST_NOT_RUN);
    g_assert_cmpint(begin_request(f, 4, 2), ==, STATE_APPLIED);
    f->by.wall_ms += 1000 + STATE_REQUEST_GRACE_MS + 1;
    g_assert_cmpint(begin_request(f, 5, 2), ==, STATE_DUPLICATE);
    g_assert_cmpint(state_request(f->s, 1, STR("key"))->state, ==,
                    STATE_REQUEST_UNKNOWN);
}

/* Guards against limits that drop a request record, so that its request could
 * run again: only the oldest stored response may be dropped. */
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
    uint64_t a = fixture_begin_request(f, "a");
    uint64_t b = fixture_begin_request(f, "b");
    fixture_store_response(f, "b", b);
    fixture_store_response(f, "a", a);
    fixture_reload(f);
    fixture_store_response(f, "c", fixture_begin_request(f, "c"));
    g_assert_true(state_request(f->s, 1, STR("a"))->stored);
    g_assert_false(state_request(f->s, 1, STR("b"))->stored);
    g_assert_cmpint(state_request(f->s, 1, STR("b"))->state, ==,
                    STATE_REQUEST_FINISHED);
    fixture_begin_request(f, "d");
    g_assert_cmpint(f->result.kind, ==, STATE_INVALID);
    g_assert_cmpint(f->result.u.invalid.reason, ==, STATE_REASON_FULL);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    fixture_add_test("/state/job_resend", test_job_resend);
    fixture_add_test("/state/old_lease", test_old_lease);
    fixture_add_test("/state/start_once", test_start_once);
    fixture_add_test("/state/usage_once", test_usage_once);
    fixture_add_test("/state/request_records", test_request_records);
    fixture_add_test("/state/request_bounds", test_request_bounds);
    return g_test_run();
}
