/* End-to-end faults of jobs and workers. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "proc.h"

enum {
    WAVE = 1000,
    WAVE_THREADS = 4,
};

static struct cluster *
start(int workers)
{
    struct cluster *c = cluster_start(3, 0, false);
    char id[16];

    cluster_provision(c);
    for (int i = 0; i < workers; i++) {
        snprintf(id, sizeof(id), "w%d", i + 1);
        cluster_worker(c, id, NULL);
    }
    cluster_await_workers(c, workers);
    return c;
}

static void
put_jobs(const struct cluster *c, const char *prefix, int count,
         bool idempotent, const char *payload)
{
    char id[64];

    for (int i = 0; i < count; i++) {
        const struct api_job job = {
            .id = id, .idempotent = idempotent, .payload = payload};

        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        g_assert_cmpint(api_job_put(c, &job), ==, 200);
    }
}

static void
await_jobs(const struct cluster *c, const char *prefix, int count,
           const char *state)
{
    char id[64];

    for (int i = 0; i < count; i++) {
        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        api_await_job(c, id, state);
    }
}

/* Guards against tasks that are lost, run in two places or start twice when
 * their worker dies. */
static void
test_worker_killed(void)
{
    struct cluster *c = start(2);

    put_jobs(c, "again", 10, true, "until=killed");
    put_jobs(c, "once", 10, false, "until=killed");
    AWAIT(e2e_status(c, "tasks_running") == 20);
    cluster_fake_kill(c, 0);
    e2e_release(c, "killed");
    api_await_jobs_ended(c);
    await_jobs(c, "again", 10, "done");
    cluster_fake_start(c, 0);
    cluster_await_workers(c, 2);
    put_jobs(c, "after", 4, false, "run_ms=50");
    await_jobs(c, "after", 4, "done");
    e2e_finish(c);
}

static bool
has_registered(const struct cluster *c, int64_t commits)
{
    return e2e_status(c, "commit_index") > commits;
}

/* Guards against tasks of a worker's earlier process that never end because
 * the leader that knew of that process died as well. */
static void
test_worker_and_leader_killed(void)
{
    struct cluster *c = start(2);
    int old = cluster_leader(c, -1);
    int64_t commits;

    put_jobs(c, "again", 10, true, "run_ms=30000");
    AWAIT(e2e_starts(c, "again") >= 10);
    cluster_fake_kill(c, 0);
    cluster_fake_kill(c, 1);
    commits = e2e_status(c, "commit_index");
    cluster_fake_start(c, 0);
    cluster_fake_start(c, 1);
    AWAIT(has_registered(c, commits + 1));
    cluster_vm_kill(c, old);
    cluster_leader(c, old);
    cluster_await_workers(c, 2);
    /* The leases of the earlier processes end and the tasks start again. */
    AWAIT(e2e_starts(c, "again") >= 20);
    e2e_cancel(c, "again");
    e2e_finish(c);
}

/* Guards against a paused worker whose tasks are started elsewhere while its
 * lease may still be valid, and whose late report counts. */
static void
test_worker_frozen(void)
{
    struct cluster *c = start(2);

    put_jobs(c, "again", 10, true, "until=frozen");
    put_jobs(c, "once", 10, false, "until=frozen");
    AWAIT(e2e_status(c, "tasks_running") == 20);
    cluster_fake_freeze(c, 0, true);
    cluster_await_workers(c, 1);
    e2e_release(c, "frozen");
    cluster_fake_freeze(c, 0, false);
    cluster_await_workers(c, 2);
    api_await_jobs_ended(c);
    await_jobs(c, "again", 10, "done");
    e2e_finish(c);
}

/* Guards against a worker that fails every task and thereby attracts and
 * spoils all jobs. */
static void
test_worker_failing(void)
{
    static const char *const failing[] = {"--fail-all", NULL};
    struct cluster *c = start(4);
    char id[32];

    cluster_worker(c, "bad", failing);
    cluster_await_workers(c, 5);
    /* Two fill a worker, so that all workers get some. */
    for (int i = 0; i < 40; i++) {
        const struct api_job job = {.id = id,
                                    .cpu_milli = 8000,
                                    .idempotent = true,
                                    .payload = "run_ms=300"};

        snprintf(id, sizeof(id), "big-%d", i);
        g_assert_cmpint(api_job_put(c, &job), ==, 200);
    }
    AWAIT(e2e_status(c, "workers_quarantined") == 1);
    put_jobs(c, "good", 20, true, "run_ms=30");
    await_jobs(c, "good", 20, "done");
    await_jobs(c, "big", 40, "done");
    e2e_finish(c);
}

/* Guards against head-of-line blocking by a job that no worker can hold. */
static void
test_unschedulable(void)
{
    struct cluster *c = start(1);
    const struct api_job huge = {.id = "huge", .cpu_milli = 1000000};
    const struct api_call cancel = {
        "DELETE", "/v1/jobs/huge", c->team.key, NULL, NULL, NULL, -1, 0};

    g_assert_cmpint(api_job_put(c, &huge), ==, 200);
    put_jobs(c, "small", 10, false, "run_ms=30");
    await_jobs(c, "small", 10, "done");
    api_await_job(c, "huge", "unschedulable");
    put_jobs(c, "late", 10, false, "run_ms=30");
    await_jobs(c, "late", 10, "done");
    g_assert_cmpstr(api_job_state(c, "huge"), ==, "unschedulable");
    g_assert_cmpint(api_call(c, &cancel, NULL), ==, 200);
    api_await_job(c, "huge", "cancelled");
    e2e_finish(c);
}

struct submitter {
    struct cluster *c;
    int number;
};

static void *
submit(void *arg)
{
    const struct submitter *s = arg;
    char prefix[32];

    snprintf(prefix, sizeof(prefix), "wave-%d", s->number);
    put_jobs(s->c, prefix, WAVE / WAVE_THREADS, true, "run_ms=-1");
    return NULL;
}

static void
submit_wave(const struct cluster *c)
{
    struct submitter submitters[WAVE_THREADS];
    pthread_t threads[WAVE_THREADS];

    for (int i = 0; i < WAVE_THREADS; i++) {
        submitters[i] = (struct submitter){e2e_clone(c), i};
        pthread_create(&threads[i], NULL, submit, &submitters[i]);
    }
    for (int i = 0; i < WAVE_THREADS; i++) {
        pthread_join(threads[i], NULL);
        e2e_clone_free(submitters[i].c);
    }
}

/* Guards against cancellations that are lost or that stop the leader, and
 * against cancelled tasks that go on running. */
static void
test_cancel_wave(void)
{
    struct cluster *c = start(2);
    const struct api_call cancel = {
        "DELETE", "/v1/jobs?prefix=wave", c->team.key, NULL, NULL, NULL, -1,
        0};
    json_t *answer = NULL;

    submit_wave(c);
    AWAIT(e2e_status(c, "tasks_running") > 0);
    g_assert_cmpint(api_call(c, &cancel, &answer), ==, 200);
    g_assert_cmpint(api_number(answer, "cancelled"), ==, WAVE);
    json_decref(answer);
    api_await_jobs_ended(c);
    api_await_job(c, "wave-0-0", "cancelled");
    put_jobs(c, "after", 4, false, "run_ms=30");
    await_jobs(c, "after", 4, "done");
    e2e_finish(c);
}

/* Guards against a lowered limit that is reported in force while more runs;
 * the checker compares what runs with the limit. */
static void
test_limit_lowered(void)
{
    struct cluster *c = start(2);
    const struct api_call cancel = {
        "DELETE", "/v1/jobs?prefix=long", c->team.key, NULL, NULL, NULL, -1,
        0};

    put_jobs(c, "long", 20, true, "run_ms=-1");
    AWAIT(e2e_status(c, "tasks_running") == 20);
    api_limit_tasks(c, 5);
    /* The status shows committed ends, which come a moment later. */
    AWAIT(e2e_status(c, "tasks_running") <= 5);
    put_jobs(c, "more", 5, true, "run_ms=30");
    cluster_vm_kill(c, cluster_leader(c, -1));
    api_limit_tasks(c, 3);
    api_limit_tasks(c, 10);
    AWAIT(e2e_status(c, "tasks_running") == 10);
    g_assert_cmpint(api_call(c, &cancel, NULL), ==, 200);
    await_jobs(c, "more", 5, "done");
    e2e_finish(c);
}

/* Guards against work that is lost or interrupted by a planned stop of a
 * worker. */
static void
test_worker_drain(void)
{
    struct cluster *c = start(3);

    put_jobs(c, "job", 12, false, "until=draining");
    AWAIT(e2e_status(c, "tasks_running") == 12);
    proc_signal(c->fakes[0].pid, SIGTERM);
    e2e_release(c, "draining");
    cluster_fake_stop(c, 0);
    put_jobs(c, "next", 12, false, "run_ms=300");
    cluster_fake_stop(c, 1);
    await_jobs(c, "job", 12, "done");
    await_jobs(c, "next", 12, "done");
    cluster_await_workers(c, 1);
    e2e_finish(c);
}

/* Guards against a job that runs again, or is refused, when it is submitted
 * again after a lost answer and a leader change. */
static void
test_job_resent(void)
{
    struct cluster *c = start(1);
    const struct api_job job = {.id = "same", .payload = "run_ms=50"};
    const struct api_job other = {.id = "same", .payload = "run_ms=51"};
    int old;

    g_assert_cmpint(api_job_put(c, &job), ==, 200);
    api_await_job(c, "same", "done");
    old = cluster_leader(c, -1);
    cluster_vm_kill(c, old);
    cluster_leader(c, old);
    g_assert_cmpint(api_job_put(c, &job), ==, 200);
    g_assert_cmpint(api_job_put(c, &other), ==, 409);
    api_await_job(c, "same", "done");
    e2e_finish(c);
}

/* Guards against half a gang that holds capacity, and work that is urgent but
 * waits behind other work. */
static void
test_gang_and_urgent(void)
{
    struct cluster *c = start(2);
    const struct api_job gang = {
        .id = "gang", .class = "gang", .tasks = 24, .payload = "run_ms=200"};
    const struct api_job urgent = {
        .id = "urgent", .urgent = true, .payload = "run_ms=50"};
    const struct api_call cancel = {
        "DELETE", "/v1/jobs?prefix=fill", c->team.key, NULL, NULL, NULL, -1,
        0};

    put_jobs(c, "small", 10, true, "run_ms=300");
    g_assert_cmpint(api_job_put(c, &gang), ==, 200);
    api_await_job(c, "gang", "done");
    put_jobs(c, "fill", 40, true, "run_ms=-1");
    AWAIT(e2e_status(c, "tasks_running") == 32);
    g_assert_cmpint(api_job_put(c, &urgent), ==, 200);
    api_await_job(c, "urgent", "done");
    g_assert_cmpint(api_call(c, &cancel, NULL), ==, 200);
    e2e_finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/worker-killed", test_worker_killed);
    e2e_case("/e2e/worker-and-leader-killed", test_worker_and_leader_killed);
    e2e_case("/e2e/worker-frozen", test_worker_frozen);
    e2e_case("/e2e/worker-failing", test_worker_failing);
    e2e_case("/e2e/unschedulable", test_unschedulable);
    e2e_case("/e2e/cancel-wave", test_cancel_wave);
    e2e_case("/e2e/limit-lowered", test_limit_lowered);
    e2e_case("/e2e/worker-drain", test_worker_drain);
    e2e_case("/e2e/job-resent", test_job_resent);
    e2e_case("/e2e/gang-and-urgent", test_gang_and_urgent);
    return e2e_run(argc, argv);
}
