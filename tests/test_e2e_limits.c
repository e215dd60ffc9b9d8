/* End-to-end tests of teams' upper limits; the history checker compares what
 * runs with the limit in force. */

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"

enum {
    TASKS = 24,
    THREADS = 16,
};

/* Guards against a limit of processors or memory that is not kept while tasks
 * start and end, after it was lowered, or by the next leader. */
static void
test_resources(void)
{
    const struct api_limit first = {.cpu_milli = 5000};
    const struct api_limit lowered = {.cpu_milli = 3000};
    const struct api_limit memory = {.memory_mib = 600};
    const struct api_job job = {.id = "many",
                                .tasks = TASKS,
                                .cpu_milli = 1000,
                                .idempotent = true,
                                .payload = "run_ms=150"};
    struct cluster *c = cluster_start(3, 0, false);
    int leader;

    cluster_provision(c);
    api_limit(c, &first);
    cluster_worker(c, "w1", NULL);
    cluster_worker(c, "w2", NULL);
    cluster_await_workers(c, 2);
    g_assert_cmpint(api_job_put(c, &job), ==, 200);
    api_await_job(c, "many", "running");
    api_limit(c, &lowered);
    leader = cluster_leader(c, -1);
    cluster_vm_kill(c, leader);
    AWAIT(cluster_leader(c, leader) >= 0);
    cluster_vm_start(c, leader);
    cluster_await_ready(c, leader);
    api_limit(c, &memory);
    e2e_finish(c);
}

/* Guards against entries that together send more requests of a team than its
 * limit. */
static void
test_requests(void)
{
    const struct api_limit first = {.requests = 5};
    const struct api_limit lowered = {.requests = 2};
    const struct load_options options = {.threads = THREADS, .delay_ms = 20};
    struct cluster *c = e2e_start_endpoints(1, 2, NULL);
    struct load *load;

    api_limit(c, &first);
    load = load_start(c, &options);
    load_await_more(load, 100);
    api_limit(c, &lowered);
    load_await_more(load, 60);
    api_limit(c, &first);
    load_await_more(load, 60);
    load_stop(load);
    e2e_finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/limits/resources", test_resources);
    e2e_case("/e2e/limits/requests", test_requests);
    return e2e_run(argc, argv);
}
