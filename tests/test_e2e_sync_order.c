/* End-to-end tests of worker syncs that arrive after later ones. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"

/* A worker that the test plays itself. */
struct own_worker {
    const struct cluster *c;
    int64_t seq;
    int64_t lease; /* 0: none was given */
};

/* Sends a sync with the sequence number that lists the lease unless that is 0,
 * and returns the status. Records the first lease that it is to start. */
static long
sync_as(struct own_worker *w, int64_t seq, int64_t listed)
{
    char body[512];
    char leases[80] = "";
    const struct api_call call = {.method = "POST",
                                  .path = "/v1/workers/own/sync",
                                  .key = w->c->worker.key,
                                  .body = body,
                                  .vm = -1};
    json_t *answer = NULL;
    const json_t *start;
    long status;

    if (listed != 0) {
        snprintf(leases, sizeof(leases),
                 "{\"lease\":%lld,\"state\":\"running\"}", (long long)listed);
    }
    snprintf(body, sizeof(body),
             "{\"incarnation\":1,\"seq\":%lld,\"rack\":\"r\","
             "\"failure_domain\":\"fd1\",\"capacity\":{\"cpu_milli\":4000,"
             "\"memory_mib\":4000,\"accelerators\":0},\"leases\":[%s],"
             "\"finished\":[],\"usage\":[],\"draining\":false,"
             "\"wait_ms\":20}",
             (long long)seq, leases);
    status = api_call(w->c, &call, &answer);
    start = json_array_get(json_object_get(answer, "start"), 0);
    if (start != NULL && w->lease == 0) {
        w->lease = api_number(start, "lease");
    }
    json_decref(answer);
    return status;
}

static long
next_sync(struct own_worker *w)
{
    return sync_as(w, ++w->seq, w->lease);
}

/* Guards against a running task that is taken not to have started, because a
 * paused entry passes a sync from before its start to a new leader. */
static void
old_sync_at_new_leader(void)
{
    struct cluster *c = cluster_start(3, 0, false);
    struct own_worker w = {.c = c};
    const struct api_job job = {.id = "job", .payload = "run_ms=60000"};
    struct api_call cancel = {
        .method = "DELETE", .path = "/v1/jobs/job", .vm = -1};
    int old;

    cluster_provision(c);
    cancel.key = c->team.key;
    AWAIT(next_sync(&w) == 200);
    g_assert_cmpint(api_job_put(c, &job), ==, 200);
    AWAIT(next_sync(&w) == 200 && w.lease != 0);
    AWAIT(next_sync(&w) == 200);
    g_assert_cmpint(api_call(c, &cancel, NULL), ==, 200);
    old = cluster_leader(c, -1);
    cluster_vm_kill(c, old);
    cluster_leader(c, old);
    AWAIT(sync_as(&w, 1, 0) == 200);
    g_assert_cmpstr(api_job_state(c, "job"), ==, "running");
    AWAIT(next_sync(&w) == 200);
    g_assert_cmpstr(api_job_state(c, "job"), ==, "running");
    w.lease = 0;
    AWAIT(next_sync(&w) == 200 &&
          strcmp(api_job_state(c, "job"), "running") != 0);
    cluster_destroy(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/sync-order/new-leader", old_sync_at_new_leader);
    return e2e_run(argc, argv);
}
