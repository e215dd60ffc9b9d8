#include <glib.h>
#include <string.h>

#include "flow_fixture.h"

static struct flow_job *
submit_two_step_job(struct flow_fixture *f, uint64_t id)
{
    Flow__Step *steps[] = {flow_fixture_create_step(2, 1000, -1),
                           flow_fixture_create_step(1, 1000, 0)};

    return flow_fixture_submit_job(f, id, steps, 2);
}

static struct flow_job *
submit_gang_job(struct flow_fixture *f, uint64_t id, uint32_t count)
{
    Flow__Step *steps[] = {flow_fixture_create_step(count, 1000, -1)};

    steps[0]->gang = true;
    return flow_fixture_submit_job(f, id, steps, 1);
}

/* A job id that is submitted again must not create a second job. */
static void
submit_twice(void)
{
    struct flow_fixture f;
    struct flow_job *j;

    flow_fixture_init(&f);
    j = submit_two_step_job(&f, 7);
    g_assert_cmpuint(j->queue->pending, ==, 1);
    g_assert_true(submit_two_step_job(&f, 7) == j);
    g_assert_cmpuint(j->queue->pending, ==, 1);
    g_assert_cmpuint(flow_live_count(f.state), ==, 1);
    flow_fixture_free(&f);
}

/* A step must not be ready before all tasks of the step that it depends on are
 * done, and a job must not complete before its last step. */
static void
steps_in_order(void)
{
    struct flow_fixture f;
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    j = submit_two_step_job(&f, 1);
    flow_fixture_start_run(&f, 1, 0, 0, 1, w);
    flow_fixture_start_run(&f, 1, 0, 1, 1, w);
    g_assert_cmpint(j->state, ==, FLOW_JOB_RUNNING);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_DONE, "");
    g_assert_false(
        flow_step_is_ready(&j->occurrences[0], &j->occurrences[0].steps[1]));
    flow_fixture_end_run(&f, 1, 0, 1, 1, w, FLOW_END_DONE, "");
    g_assert_true(
        flow_step_is_ready(&j->occurrences[0], &j->occurrences[0].steps[1]));
    g_assert_cmpint(j->state, ==, FLOW_JOB_RUNNING);
    flow_fixture_start_run(&f, 1, 1, 0, 1, w);
    flow_fixture_end_run(&f, 1, 1, 0, 1, w, FLOW_END_DONE, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_COMPLETED);
    g_assert_cmpuint(flow_worker(f.state, w)->used.cpu_milli, ==, 0);
    flow_fixture_free(&f);
}

/* The end of an earlier run must not end the current run, and a task must not
 * have two runs at a time. Its checkpoint must survive the end of a run. */
static void
old_run_ignored(void)
{
    struct flow_fixture f;
    struct flow_task *t;
    uint32_t a;
    uint32_t b;

    flow_fixture_init(&f);
    a = flow_fixture_add_worker(&f, "a", 1, 8000);
    b = flow_fixture_add_worker(&f, "b", 1, 8000);
    t = submit_two_step_job(&f, 1)->occurrences[0].steps[0].tasks;
    flow_fixture_start_run(&f, 1, 0, 0, 1, a);
    flow_fixture_start_run(&f, 1, 0, 0, 2, b);
    g_assert_cmpuint(t->worker, ==, a);
    flow_fixture_end_run(&f, 1, 0, 0, 1, a, FLOW_END_STOPPED, "point");
    flow_fixture_start_run(&f, 1, 0, 0, 1, b);
    g_assert_false(t->assigned);
    flow_fixture_start_run(&f, 1, 0, 0, 2, b);
    flow_fixture_end_run(&f, 1, 0, 0, 1, a, FLOW_END_DONE, "");
    g_assert_true(t->assigned);
    g_assert_false(t->done);
    g_assert_cmpstr(t->checkpoint.ptr, ==, "point");
    flow_fixture_free(&f);
}

/* A job must fail once a task has failed as often as its queue allows. Runs
 * that end with their worker's lease must not count. */
static void
attempts(void)
{
    struct flow_fixture f;
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    j = submit_two_step_job(&f, 1);
    for (uint32_t run = 1; run <= 3; run++) {
        flow_fixture_start_run(&f, 1, 0, 0, run, w);
        flow_fixture_end_run(&f, 1, 0, 0, run, w, FLOW_END_LEASE_EXPIRED, "");
    }
    flow_fixture_start_run(&f, 1, 0, 0, 4, w);
    flow_fixture_end_run(&f, 1, 0, 0, 4, w, FLOW_END_FAILED, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_RUNNING);
    flow_fixture_start_run(&f, 1, 0, 0, 5, w);
    flow_fixture_end_run(&f, 1, 0, 0, 5, w, FLOW_END_FAILED, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_FAILED);
    flow_fixture_start_run(&f, 1, 0, 1, 1, w);
    g_assert_cmpuint(j->assigned, ==, 0);
    flow_fixture_free(&f);
}

/* The capacity that tasks of a cancelled job use must stay charged to worker
 * and team until their runs end. Otherwise the worker is overcommitted. */
static void
cancel_keeps_room(void)
{
    struct flow_fixture f;
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    j = submit_two_step_job(&f, 1);
    flow_fixture_start_run(&f, 1, 0, 0, 1, w);
    flow_fixture_cancel_job(&f, 1);
    g_assert_cmpint(j->state, ==, FLOW_JOB_CANCELLED);
    g_assert_cmpuint(flow_worker(f.state, w)->used.cpu_milli, ==, 1000);
    g_assert_cmpuint(j->team->used.cpu_milli, ==, 1000);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_STOPPED, "");
    g_assert_cmpuint(flow_worker(f.state, w)->used.cpu_milli, ==, 0);
    g_assert_cmpuint(j->team->used.cpu_milli, ==, 0);
    g_assert_cmpuint(flow_live_count(f.state), ==, 0);
    flow_fixture_free(&f);
}

/* One finished task must complete the whole gang, and the capacity of its
 * other tasks must stay charged until their runs end too. */
static void
gang_done(void)
{
    struct flow_fixture f;
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    j = submit_gang_job(&f, 1, 3);
    for (uint32_t i = 0; i < 3; i++) {
        flow_fixture_start_run(&f, 1, 0, i, 1, w);
    }
    flow_fixture_end_run(&f, 1, 0, 1, 1, w, FLOW_END_DONE, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_COMPLETED);
    g_assert_cmpuint(flow_worker(f.state, w)->used.cpu_milli, ==, 2000);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_DONE, "");
    flow_fixture_remove_worker(&f, w);
    g_assert_cmpuint(j->assigned, ==, 0);
    g_assert_cmpint(j->state, ==, FLOW_JOB_COMPLETED);
    flow_fixture_free(&f);
}

/* A job must count as pending until a worker has confirmed one of its runs.
 * The worker that its tasks were assigned to may never answer. */
static void
pending_until_begun(void)
{
    struct flow_fixture f;
    struct flow_queue *q;
    uint32_t a;

    flow_fixture_init(&f);
    a = flow_fixture_add_worker(&f, "a", 1, 8000);
    q = submit_gang_job(&f, 1, 2)->queue;
    submit_gang_job(&f, 2, 2);
    g_assert_cmpuint(flow_count_pending_jobs(f.state, q), ==, 2);
    for (uint32_t i = 0; i < 2; i++) {
        flow_fixture_start_run(&f, 1, 0, i, 1, a);
    }
    g_assert_cmpuint(flow_count_pending_jobs(f.state, q), ==, 2);
    flow_job(f.state, 1)->run_confirmed = true;
    g_assert_cmpuint(flow_count_pending_jobs(f.state, q), ==, 1);
    /* A new leader knows of the run only by its recorded end. */
    flow_job(f.state, 1)->run_confirmed = false;
    flow_fixture_end_run(&f, 1, 0, 0, 1, a, FLOW_END_FAILED, "");
    g_assert_cmpuint(flow_count_pending_jobs(f.state, q), ==, 1);
    flow_fixture_free(&f);
}

static bool
is_at(const struct flow_state *s, uint64_t job, const char *path)
{
    return flow_job_is_at(flow_job(s, job),
                          flow_match_queue(s, STR("host"), str_of(path)));
}

/* Guards against accepted jobs that are unknown at their address, and missing
 * in its count, once a queue of another name has their host and prefix. */
static void
replaced_queue(void)
{
    struct flow_fixture f;
    struct flow_state *copy;
    struct buf bytes = {0};

    flow_fixture_init(&f);
    submit_gang_job(&f, 1, 2);
    f.queue = "replacement";
    flow_fixture_set_config(&f, 2, "two", false, 0);
    g_assert_true(is_at(f.state, 1, "/q/"));
    g_assert_cmpuint(
        flow_count_pending_jobs(
            f.state, flow_match_queue(f.state, STR("host"), STR("/q/"))),
        ==, 1);

    flow_state_encode(f.state, &bytes);
    copy = flow_state_decode(buf_str(&bytes));
    g_assert_nonnull(copy);
    g_assert_true(is_at(copy, 1, "/q/"));
    flow_state_destroy(copy);
    buf_free(&bytes);

    /* The queue itself may come back under another prefix. */
    f.queue = "q";
    f.prefix = "/moved/";
    flow_fixture_set_config(&f, 3, "three", false, 0);
    submit_gang_job(&f, 2, 2);
    g_assert_true(is_at(f.state, 1, "/moved/"));
    f.queue = "replacement";
    f.prefix = "/q/";
    flow_fixture_set_config(&f, 4, "four", false, 0);
    g_assert_true(is_at(f.state, 1, "/q/"));
    g_assert_false(is_at(f.state, 2, "/q/"));
    flow_fixture_free(&f);
}

/* Guards against accepted jobs that fail after one attempt of several, or
 * never go on, after a restart: a snapshot must hold the settings of a removed
 * queue and team while jobs refer to them. */
static void
removed_queue_in_snapshot(void)
{
    struct flow_fixture f;
    struct buf bytes = {0};
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    flow_fixture_set_config(&f, 2, "two", true, 5000);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    submit_two_step_job(&f, 1);
    flow_fixture_start_run(&f, 1, 0, 0, 1, w);
    f.queue = "other";
    f.prefix = "/other/";
    f.team = "other";
    flow_fixture_set_config(&f, 3, "three", false, 0);
    flow_state_encode(f.state, &bytes);
    flow_state_destroy(f.state);
    f.state = flow_state_decode(buf_str(&bytes));
    g_assert_nonnull(f.state);
    buf_free(&bytes);

    j = flow_job(f.state, 1);
    g_assert_false(j->queue->configured);
    g_assert_true(str_eq(j->queue->service, STR("s")));
    g_assert_cmpuint(j->queue->max_attempts, ==, 2);
    g_assert_true(j->queue->needs_approval);
    g_assert_false(j->team->configured);
    g_assert_cmpuint(j->team->limit.cpu_milli, ==, 5000);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_FAILED, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_RUNNING);
    flow_fixture_free(&f);
}

/* Guards against members of the group that differ: one that was restored from
 * a snapshot does not know a removed queue without jobs. */
static void
removed_queue_takes_no_jobs(void)
{
    struct flow_fixture f;
    Flow__Step *steps[] = {flow_fixture_create_step(1, 1000, -1)};

    flow_fixture_init(&f);
    f.queue = "other";
    flow_fixture_set_config(&f, 2, "two", false, 0);
    g_assert_null(flow_fixture_submit_job(&f, 1, steps, 1));
    flow_fixture_free(&f);
}

static void
cancel_at(struct flow_fixture *f, uint64_t job, const char *address)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Cancel cancel = FLOW__CANCEL__INIT;

    cancel.job = job;
    cancel.address = (char *)address;
    command.kind_case = FLOW__COMMAND__KIND_CANCEL;
    command.cancel = &cancel;
    flow_fixture_apply(f, &command);
}

static void
prune(struct flow_fixture *f, int64_t before_ms)
{
    Flow__Command command = FLOW__COMMAND__INIT;

    command.kind_case = FLOW__COMMAND__KIND_PRUNE_BEFORE_MS;
    command.prune_before_ms = before_ms;
    flow_fixture_apply(f, &command);
}

/* Guards against a job that runs although it was cancelled, because the
 * cancelling call overtook the submission, also over a restart. */
static void
cancelled_before_submitted(void)
{
    struct flow_fixture f;
    struct buf bytes = {0};
    struct flow_job *j;

    flow_fixture_init(&f);
    cancel_at(&f, 1, "host/q/");
    cancel_at(&f, 2, "host/other/");
    cancel_at(&f, 3, "host/q/");
    g_assert_null(flow_job(f.state, 1));
    g_assert_cmpuint(flow_cancellation_count(f.state), ==, 3);
    flow_state_encode(f.state, &bytes);
    flow_state_destroy(f.state);
    f.state = flow_state_decode(buf_str(&bytes));
    g_assert_nonnull(f.state);
    buf_free(&bytes);

    j = submit_two_step_job(&f, 1);
    g_assert_cmpint(j->state, ==, FLOW_JOB_CANCELLED);
    g_assert_cmpuint(flow_live_count(f.state), ==, 0);
    g_assert_cmpuint(flow_count_pending_jobs(f.state, j->queue), ==, 0);
    g_assert_cmpint(submit_two_step_job(&f, 2)->state, ==, FLOW_JOB_QUEUED);
    cancel_at(&f, 2, "host/q/");
    g_assert_cmpint(flow_job(f.state, 2)->state, ==, FLOW_JOB_CANCELLED);

    prune(&f, f.wall_ms + 1);
    g_assert_cmpuint(flow_cancellation_count(f.state), ==, 0);
    g_assert_cmpint(submit_two_step_job(&f, 3)->state, ==, FLOW_JOB_QUEUED);
    flow_fixture_free(&f);
}

/* Two failed tasks of a gang in the same run must count as one failure, also
 * when the state is restored from a snapshot between the two. */
static void
gang_members_fail(void)
{
    struct flow_fixture f;
    struct buf bytes = {0};
    struct flow_job *j;
    uint32_t a;

    flow_fixture_init(&f);
    a = flow_fixture_add_worker(&f, "a", 1, 8000);
    submit_gang_job(&f, 1, 2);
    for (uint32_t i = 0; i < 2; i++) {
        flow_fixture_start_run(&f, 1, 0, i, 1, a);
    }
    flow_fixture_end_run(&f, 1, 0, 0, 1, a, FLOW_END_FAILED, "");
    flow_state_encode(f.state, &bytes);
    flow_state_destroy(f.state);
    f.state = flow_state_decode(buf_str(&bytes));
    flow_fixture_end_run(&f, 1, 0, 1, 1, a, FLOW_END_FAILED, "");
    j = flow_job(f.state, 1);
    g_assert_cmpint(j->state, ==, FLOW_JOB_RUNNING);
    for (uint32_t i = 0; i < 2; i++) {
        flow_fixture_start_run(&f, 1, 0, i, 2, a);
    }
    flow_fixture_end_run(&f, 1, 0, 0, 2, a, FLOW_END_FAILED, "");
    flow_fixture_end_run(&f, 1, 0, 1, 2, a, FLOW_END_GANG_ENDED, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_FAILED);
    buf_free(&bytes);
    flow_fixture_free(&f);
}

/* A run of a gang must count as one attempt, however many tasks it has. */
static void
gang_attempts(void)
{
    struct flow_fixture f;
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    j = submit_gang_job(&f, 1, 2);
    flow_fixture_start_run(&f, 1, 0, 0, 1, w);
    flow_fixture_start_run(&f, 1, 0, 1, 1, w);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_FAILED, "");
    flow_fixture_end_run(&f, 1, 0, 1, 1, w, FLOW_END_GANG_ENDED, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_RUNNING);
    flow_fixture_start_run(&f, 1, 0, 0, 2, w);
    flow_fixture_start_run(&f, 1, 0, 1, 2, w);
    flow_fixture_end_run(&f, 1, 0, 1, 2, w, FLOW_END_FAILED, "");
    g_assert_cmpint(j->state, ==, FLOW_JOB_FAILED);
    flow_fixture_free(&f);
}

/* When a worker process starts again under its id, the runs of the earlier
 * process must end, and a late registration of that one must be ignored. */
static void
worker_starts_again(void)
{
    struct flow_fixture f;
    struct flow_task *t;
    uint32_t first;
    uint32_t second;

    flow_fixture_init(&f);
    first = flow_fixture_add_worker(&f, "w", 10, 8000);
    t = submit_two_step_job(&f, 1)->occurrences[0].steps[0].tasks;
    flow_fixture_start_run(&f, 1, 0, 0, 1, first);
    second = flow_fixture_add_worker(&f, "w", 20, 8000);
    g_assert_cmpuint(second, !=, first);
    g_assert_false(t->assigned);
    g_assert_null(flow_worker(f.state, first));
    g_assert_cmpuint(flow_fixture_add_worker(&f, "w", 10, 8000), ==, second);
    flow_fixture_free(&f);
}

/* A configuration must be ignored if its version is not higher than the
 * current one. */
static void
config_order(void)
{
    struct flow_fixture f;
    const Flow__Config *c;

    flow_fixture_init(&f);
    flow_fixture_set_config(&f, 5, "five", false, 0);
    flow_fixture_set_config(&f, 4, "four", false, 0);
    flow_fixture_set_config(&f, 5, "other", false, 0);
    c = flow_current_config(f.state);
    g_assert_cmpuint(c->version, ==, 5);
    g_assert_cmpmem(c->document.data, c->document.len, "five", 4);
    flow_fixture_free(&f);
}

/* The tasks without an end must be counted for each worker, also after a
 * snapshot, since they shorten its lease. */
static void
endless_tasks_counted(void)
{
    Flow__Step *steps[] = {flow_fixture_create_step(2, 1000, -1)};
    struct flow_fixture f;
    struct flow_state *restored;
    struct buf bytes = {0};
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    steps[0]->endless = true;
    flow_fixture_submit_job(&f, 1, steps, 1);
    submit_two_step_job(&f, 2);
    flow_fixture_start_run(&f, 2, 0, 0, 1, w);
    g_assert_cmpuint(flow_worker(f.state, w)->endless, ==, 0);
    flow_fixture_start_run(&f, 1, 0, 0, 1, w);
    flow_fixture_start_run(&f, 1, 0, 1, 1, w);
    flow_state_encode(f.state, &bytes);
    restored = flow_state_decode(buf_str(&bytes));
    g_assert_cmpuint(flow_worker(restored, w)->endless, ==, 2);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_STOPPED, "");
    g_assert_cmpuint(flow_worker(f.state, w)->endless, ==, 1);
    flow_state_destroy(restored);
    buf_free(&bytes);
    flow_fixture_free(&f);
}

/* A state that is restored from a snapshot must equal the original, and bytes
 * that are not a snapshot must be rejected. */
static void
snapshot(void)
{
    struct flow_fixture f;
    struct buf first = {0};
    struct buf second = {0};
    struct flow_state *copy;
    struct flow_job *j;
    uint32_t w;

    flow_fixture_init(&f);
    w = flow_fixture_add_worker(&f, "w", 1, 8000);
    submit_two_step_job(&f, 1);
    submit_gang_job(&f, 2, 2);
    submit_two_step_job(&f, 3);
    flow_fixture_start_run(&f, 1, 0, 0, 1, w);
    flow_fixture_end_run(&f, 1, 0, 0, 1, w, FLOW_END_FAILED, "saved");
    flow_fixture_start_run(&f, 1, 0, 0, 2, w);
    flow_fixture_cancel_job(&f, 3);
    flow_state_encode(f.state, &first);
    copy = flow_state_decode(buf_str(&first));
    g_assert_nonnull(copy);
    flow_state_encode(copy, &second);
    g_assert_cmpmem(first.ptr, first.len, second.ptr, second.len);
    j = flow_job(copy, 1);
    g_assert_true(j->occurrences[0].steps[0].tasks[0].assigned);
    g_assert_cmpuint(j->occurrences[0].steps[0].tasks[0].failures, ==, 1);
    g_assert_cmpuint(flow_worker(copy, w)->used.cpu_milli, ==, 1000);
    g_assert_cmpint(flow_job(copy, 3)->state, ==, FLOW_JOB_CANCELLED);
    g_assert_cmpuint(flow_live_count(copy), ==, 2);
    g_assert_null(flow_state_decode(STR("\xff\xff\xff")));
    flow_state_destroy(copy);
    buf_free(&first);
    buf_free(&second);
    flow_fixture_free(&f);
}

/* Job specifications without steps or tasks, with too many tasks, with a
 * cyclic dependency or with a schedule without interval must be rejected. */
static void
spec_checks(void)
{
    Flow__JobSpec spec = FLOW__JOB_SPEC__INIT;
    Flow__Step *steps[] = {flow_fixture_create_step(1, 1, 0)};

    g_assert_nonnull(flow_validate_spec(NULL));
    g_assert_nonnull(flow_validate_spec(&spec));
    spec.steps = steps;
    spec.n_steps = 1;
    g_assert_nonnull(flow_validate_spec(&spec));
    steps[0]->n_after = 0;
    g_assert_null(flow_validate_spec(&spec));
    steps[0]->count = 0;
    g_assert_nonnull(flow_validate_spec(&spec));
    steps[0]->count = 1000000;
    g_assert_nonnull(flow_validate_spec(&spec));
    steps[0]->count = 1;
    spec.occurrences = 2;
    g_assert_nonnull(flow_validate_spec(&spec));
    spec.occurrences = 0;
    steps[0]->size->cpu_milli = UINT32_MAX;
    g_assert_null(flow_validate_spec(&spec));
    steps[0]->size->cpu_milli = UINT64_MAX / 2;
    g_assert_nonnull(flow_validate_spec(&spec));
    flow__step__free_unpacked(steps[0], NULL);
}

/* Guards against an occurrence of a distant schedule that is due at once. */
static void
due_saturates(void)
{
    Flow__JobSpec spec = FLOW__JOB_SPEC__INIT;

    spec.first_due_ms = 1000;
    spec.interval_ms = 10;
    g_assert_cmpint(flow_due_wall_ms(&spec, 3), ==, 1030);
    spec.interval_ms = INT64_MAX;
    g_assert_cmpint(flow_due_wall_ms(&spec, 0), ==, 1000);
    g_assert_cmpint(flow_due_wall_ms(&spec, 1), ==, INT64_MAX);
    g_assert_cmpint(flow_due_wall_ms(&spec, 2), ==, INT64_MAX);
    spec.first_due_ms = INT64_MAX;
    g_assert_cmpint(flow_due_wall_ms(&spec, 0), ==, INT64_MAX);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow/submit-twice", submit_twice);
    g_test_add_func("/flow/steps-in-order", steps_in_order);
    g_test_add_func("/flow/old-run-ignored", old_run_ignored);
    g_test_add_func("/flow/attempts", attempts);
    g_test_add_func("/flow/cancel-keeps-room", cancel_keeps_room);
    g_test_add_func("/flow/gang-done", gang_done);
    g_test_add_func("/flow/gang-attempts", gang_attempts);
    g_test_add_func("/flow/gang-members-fail", gang_members_fail);
    g_test_add_func("/flow/pending-until-begun", pending_until_begun);
    g_test_add_func("/flow/replaced-queue", replaced_queue);
    g_test_add_func("/flow/removed-queue-in-snapshot",
                    removed_queue_in_snapshot);
    g_test_add_func("/flow/removed-queue-takes-no-jobs",
                    removed_queue_takes_no_jobs);
    g_test_add_func("/flow/cancelled-before-submitted",
                    cancelled_before_submitted);
    g_test_add_func("/flow/worker-starts-again", worker_starts_again);
    g_test_add_func("/flow/config-order", config_order);
    g_test_add_func("/flow/endless-tasks-counted", endless_tasks_counted);
    g_test_add_func("/flow/snapshot", snapshot);
    g_test_add_func("/flow/spec-checks", spec_checks);
    g_test_add_func("/flow/due-saturates", due_saturates);
    return g_test_run();
}
