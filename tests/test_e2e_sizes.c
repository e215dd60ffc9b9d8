/* End-to-end tests of tasks whose declared sizes or run times are far off. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"

enum {
    USED_MIB = 1500, /* the declared size is the default of the harness */
    LIARS = 12,
    QUARTER_CPU_MILLI = 4000,
    DAY_S = 86400,
};

/* The memory that the newest start of the job was granted; 0: none. */
static long
granted(const struct cluster *c, const char *job, int *starts)
{
    FILE *f = fopen(c->history_path, "re");
    char line[4096];
    char name[64];
    long memory = 0;

    g_assert_nonnull(f);
    snprintf(name, sizeof(name), "\"job\":\"%s\"", job);
    *starts = 0;
    while (fgets(line, sizeof(line), f) != NULL) {
        const char *at = strstr(line, "\"memory_mib\":");

        if (strstr(line, "\"event\":\"start\"") != NULL &&
            strstr(line, name) != NULL && at != NULL) {
            ++*starts;
            memory = strtol(at + strlen("\"memory_mib\":"), NULL, 10);
        }
    }
    fclose(f);
    return memory;
}

/* Guards against tasks that keep a VM overcommitted because they use more than
 * they declared, against a second run of one that must not run twice, and
 * against usage that shows declared sizes. */
static void
test_larger(void)
{
    const struct api_job cpu = {.id = "cpu",
                                .tasks = 3,
                                .cpu_milli = 500,
                                .idempotent = true,
                                .payload = "run_ms=1500 cpu=4000"};
    const struct api_job grows = {
        .id = "grows", .idempotent = true, .payload = "run_ms=4000 mem=1500"};
    const struct api_job once = {
        .id = "once", .idempotent = false, .payload = "run_ms=4000 mem=1500"};
    struct cluster *c = cluster_start(3, 0, false);
    int starts;

    cluster_provision(c);
    cluster_worker(c, "w1", NULL);
    cluster_worker(c, "w2", NULL);
    cluster_await_workers(c, 2);
    g_assert_cmpint(api_job_put(c, &cpu), ==, 200);
    g_assert_cmpint(api_job_put(c, &grows), ==, 200);
    g_assert_cmpint(api_job_put(c, &once), ==, 200);
    AWAIT(granted(c, "grows", &starts) >= USED_MIB);
    g_assert_cmpint(starts, ==, 2);
    api_await_job(c, "cpu", "done");
    api_await_job(c, "grows", "done");
    api_await_job(c, "once", "done");
    granted(c, "once", &starts);
    g_assert_cmpint(starts, ==, 1);
    e2e_finish(c);
}

/* Guards against a gang or an urgent job that waits for the declared end of
 * what has long ended or runs on, and against tasks that are stopped because
 * they run longer than declared. */
static void
test_run_times(void)
{
    const struct api_job gang = {.id = "gang",
                                 .class = "gang",
                                 .tasks = 4,
                                 .cpu_milli = QUARTER_CPU_MILLI,
                                 .idempotent = true,
                                 .run_time_s = DAY_S,
                                 .payload = "run_ms=50"};
    const struct api_job urgent = {.id = "urgent",
                                   .cpu_milli = QUARTER_CPU_MILLI,
                                   .idempotent = true,
                                   .urgent = true,
                                   .run_time_s = DAY_S,
                                   .payload = "run_ms=50"};
    struct cluster *c = cluster_start(3, 0, false);
    char id[32];

    cluster_provision(c);
    cluster_worker(c, "w1", NULL);
    cluster_worker(c, "w2", NULL);
    cluster_await_workers(c, 2);
    for (int i = 0; i < LIARS; i++) {
        bool runs_on = i % 3 == 0;
        const struct api_job job = {.id = id,
                                    .cpu_milli = QUARTER_CPU_MILLI,
                                    .run_time_s = runs_on ? 1 : DAY_S,
                                    .payload = runs_on ? "run_ms=3000"
                                                       : "run_ms=100"};

        snprintf(id, sizeof(id), "liar-%d", i);
        g_assert_cmpint(api_job_put(c, &job), ==, 200);
    }
    g_assert_cmpint(api_job_put(c, &gang), ==, 200);
    g_assert_cmpint(api_job_put(c, &urgent), ==, 200);
    api_await_job(c, "urgent", "done");
    api_await_job(c, "gang", "done");
    for (int i = 0; i < LIARS; i++) {
        snprintf(id, sizeof(id), "liar-%d", i);
        api_await_job(c, id, "done");
    }
    g_assert_cmpint(e2e_starts(c, "liar"), ==, LIARS);
    e2e_finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/sizes/larger", test_larger);
    e2e_case("/e2e/sizes/run-times", test_run_times);
    return e2e_run(argc, argv);
}
