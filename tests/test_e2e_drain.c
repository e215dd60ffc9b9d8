/* End-to-end tests of planned stops with API calls under way. */

#include <pthread.h>
#include <signal.h>

#include <glib.h>

#include <ck_pr.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"

enum {
    CALLERS = 6,
    WAIT_MS = 25000, /* longer than drain_deadline_ms of the test's settings */
};

struct caller {
    struct cluster *c;
    pthread_t thread;
    int vm;
    int stop;
    long status;
    int done;
};

/* Long polls of a job that does not end. */
static void *
poll_job(void *arg)
{
    struct caller *caller = arg;
    const struct api_call call = {.method = "GET",
                                  .path = "/v1/jobs/waits?wait_ms=25000",
                                  .key = caller->c->team.key,
                                  .vm = caller->vm,
                                  .timeout_ms = WAIT_MS};

    caller->status = api_call(caller->c, &call, NULL);
    ck_pr_store_int(&caller->done, 1);
    return NULL;
}

static int64_t
calls_taken(const struct cluster *c, int vm)
{
    return api_metric(c, vm, "guavarock_front_requests_total");
}

/* Guards against a planned stop that a long poll holds up until the deadline,
 * when the stop fails and the poll is cut off. */
static void
test_long_poll(void)
{
    struct cluster *c = cluster_start(3, 0, false);
    const struct api_job job = {.id = "waits", .payload = ""};
    struct caller caller = {.vm = cluster_follower(c)};
    int64_t before;

    cluster_provision(c);
    g_assert_cmpint(api_job_put(c, &job), ==, 200);
    before = calls_taken(c, caller.vm);
    caller.c = e2e_clone(c);
    REQUIRE(pthread_create(&caller.thread, NULL, poll_job, &caller) == 0);
    /* Each look is a call itself. */
    for (int looks = 1; calls_taken(c, caller.vm) <= before + looks; looks++) {
        await_pause();
    }
    cluster_vm_stop(c, caller.vm);
    pthread_join(caller.thread, NULL);
    g_assert_cmpint(caller.status, ==, 200);
    e2e_clone_free(caller.c);
    cluster_destroy(c);
}

static void *
read_status(void *arg)
{
    struct caller *caller = arg;
    const struct api_call call = {.method = "GET",
                                  .path = "/v1/status",
                                  .key = caller->c->operator_key,
                                  .vm = caller->vm,
                                  .timeout_ms = WAIT_MS};

    while (!ck_pr_load_int(&caller->stop)) {
        api_call(caller->c, &call, NULL);
    }
    return NULL;
}

/* Guards against calls that wait for a leader while no VM is left to lead. */
static void
test_stop_all(void)
{
    struct cluster *c = cluster_start(3, 0, false);
    struct caller callers[CALLERS] = {{0}};

    cluster_provision(c);
    for (int i = 0; i < CALLERS; i++) {
        callers[i].c = e2e_clone(c);
        callers[i].vm = i % c->count;
        REQUIRE(pthread_create(&callers[i].thread, NULL, read_status,
                               &callers[i]) == 0);
    }
    for (int vm = 0; vm < c->count; vm++) {
        kill(c->vms[vm].pid, SIGTERM);
    }
    for (int vm = 0; vm < c->count; vm++) {
        cluster_vm_stop(c, vm);
    }
    for (int i = 0; i < CALLERS; i++) {
        ck_pr_store_int(&callers[i].stop, 1);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
        e2e_clone_free(callers[i].c);
    }
    cluster_destroy(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/drain/long-poll", test_long_poll);
    e2e_case("/e2e/drain/stop-all", test_stop_all);
    return e2e_run(argc, argv);
}
