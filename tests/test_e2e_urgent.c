/* End-to-end tests of urgent work on a full fleet. */

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"

enum {
    WORKERS = 3,
    TASKS = 12,             /* fill the workers */
    URGENT_START_MS = 2000, /* the target for urgent work */
};

/* A fleet that team lamps fills with work of a minute. */
static struct cluster *
start_full(void)
{
    static const char *const options[] = {"--cpu-milli", "4000", NULL};
    const struct api_job fill = {.id = "fill",
                                 .tasks = TASKS,
                                 .cpu_milli = 1000,
                                 .idempotent = true,
                                 .payload = "run_ms=60000"};
    struct cluster *c = cluster_start(3, 0, false);
    char id[16];

    cluster_provision(c);
    for (int i = 0; i < WORKERS; i++) {
        snprintf(id, sizeof(id), "w%d", i + 1);
        cluster_worker(c, id, options);
    }
    cluster_await_workers(c, WORKERS);
    g_assert_cmpint(api_job_put(c, &fill), ==, 200);
    api_await_job(c, "fill", "running");
    return c;
}

static void
finish(struct cluster *c, const struct cluster_key *lamps)
{
    const struct api_call cancel = {.method = "DELETE",
                                    .path = "/v1/jobs/fill",
                                    .key = lamps->key,
                                    .vm = -1};

    g_assert_cmpint(api_call(c, &cancel, NULL), ==, 200);
    c->team = *lamps;
    e2e_finish(c);
}

static bool
has_started(const struct cluster *c, const char *id)
{
    const char *state = api_job_state(c, id);

    return strcmp(state, "running") == 0 || strcmp(state, "done") == 0;
}

/* Team looms submits the job, which must start in time, and end while the
 * work that it stopped runs again. */
static void
run_urgent(const struct api_job *job)
{
    struct cluster *c = start_full();
    struct cluster_key lamps = c->team;
    int64_t until;

    AWAIT(e2e_status(c, "tasks_running") == TASKS);
    c->team = api_key_create(c, "team", "looms");
    until = clock_now() + URGENT_START_MS * NS_PER_MS;
    g_assert_cmpint(api_job_put(c, job), ==, 200);
    while (!has_started(c, job->id)) {
        g_assert_cmpint(clock_now(), <, until);
        await_pause();
    }
    api_await_job(c, job->id, "done");
    AWAIT(e2e_status(c, "tasks_running") == TASKS);
    finish(c, &lamps);
}

/* Guards against urgent work that waits for a full fleet to empty, and
 * against stopped work that does not come back. */
static void
test_preempts(void)
{
    const struct api_job job = {.id = "urgent",
                                .cpu_milli = 4000,
                                .urgent = true,
                                .payload = "run_ms=500"};

    run_urgent(&job);
}

/* The same for a gang that needs a part of each worker. */
static void
test_gang_preempts(void)
{
    const struct api_job job = {.id = "gang",
                                .class = "gang",
                                .tasks = WORKERS,
                                .cpu_milli = 3000,
                                .urgent = true,
                                .payload = "run_ms=500"};

    run_urgent(&job);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/urgent/preempts", test_preempts);
    e2e_case("/e2e/urgent/gang-preempts", test_gang_preempts);
    return e2e_run(argc, argv);
}
