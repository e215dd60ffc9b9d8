#include "e2e_rig.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "await.h"
#include "e2e.h"

enum {
    LOAD_DELAY_MS = 5,
    USAGE_MS = 5000, /* more than the leader collects usage for */
};

struct cluster *
e2e_start(int control, int entries, bool relays)
{
    struct cluster *c = cluster_start(control, entries, relays);

    cluster_provision(c);
    cluster_worker(c, "w1", NULL);
    cluster_worker(c, "w2", NULL);
    cluster_endpoint(c, "e1", NULL);
    cluster_endpoint(c, "e2", NULL);
    cluster_await_workers(c, 2);
    cluster_await_endpoints(c, 2);
    for (int vm = 0; vm < c->count; vm++) {
        load_await(c, vm);
    }
    return c;
}

struct cluster *
e2e_start_endpoints(int entries, int endpoints, const char *const *options)
{
    struct cluster *c = cluster_start(3, entries, false);
    char id[16];

    cluster_provision(c);
    for (int i = 0; i < endpoints; i++) {
        snprintf(id, sizeof(id), "e%d", i + 1);
        cluster_endpoint(c, id, options);
    }
    cluster_await_endpoints(c, endpoints);
    for (int vm = 0; vm < c->count; vm++) {
        load_await(c, vm);
    }
    return c;
}

static void
put_jobs(const struct cluster *c, const char *prefix, int count, int cpu_milli,
         const char *payload)
{
    char id[64];

    for (int i = 0; i < count; i++) {
        const struct api_job job = {.id = id,
                                    .cpu_milli = cpu_milli,
                                    .idempotent = i % 2 == 0,
                                    .payload = payload};

        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        REQUIRE(api_job_put(c, &job) == 200);
    }
}

void
e2e_put_jobs(const struct cluster *c, const char *prefix, int count,
             const char *payload)
{
    put_jobs(c, prefix, count, 0, payload);
}

void
e2e_run_jobs(const struct cluster *c, const char *prefix, int count,
             int cpu_milli, const char *payload)
{
    put_jobs(c, prefix, count, cpu_milli, payload);
    AWAIT(e2e_starts(c, prefix) >= count);
}

void
e2e_release(const struct cluster *c, const char *name)
{
    char path[CLUSTER_PATH_BYTES + 32];

    snprintf(path, sizeof(path), "%s.%s", c->history_path, name);
    REQUIRE(g_file_set_contents(path, "", 0, NULL));
}

void
e2e_cancel(const struct cluster *c, const char *prefix)
{
    char path[64];
    const struct api_call call = {"DELETE", path, c->team.key, NULL,
                                  NULL,     NULL, -1,          0};

    snprintf(path, sizeof(path), "/v1/jobs?prefix=%s", prefix);
    AWAIT(api_call(c, &call, NULL) == 200);
}

int64_t
e2e_change_teams(const struct cluster *c, int weight, int vm)
{
    char items[128];

    snprintf(items, sizeof(items),
             "[{\"name\":\"lamps\",\"weight\":%d},"
             "{\"name\":\"looms\",\"weight\":1}]",
             weight);
    AWAIT(api_list_put(c, "teams", -1, items, NULL, vm) == 200);
    return api_list_version(c, "teams", vm);
}

struct load *
e2e_load(const struct cluster *c, int threads)
{
    const struct load_options options = {.threads = threads,
                                         .delay_ms = LOAD_DELAY_MS,
                                         .seed = (unsigned)e2e_random(1000)};

    return load_start(c, &options);
}

/* Lines of the history that contain both texts. */
static int
count_lines(const struct cluster *c, const char *a, const char *b)
{
    FILE *f = fopen(c->history_path, "re");
    char line[4096];
    int count = 0;

    while (fgets(line, sizeof(line), f) != NULL) {
        count += strstr(line, a) != NULL && strstr(line, b) != NULL;
    }
    fclose(f);
    return count;
}

bool
e2e_has_arrived(const struct cluster *c, const char *tag)
{
    return count_lines(c, "\"event\":\"request\"", tag) > 0;
}

int
e2e_starts(const struct cluster *c, const char *prefix)
{
    char job[64];

    snprintf(job, sizeof(job), "\"job\":\"%s-", prefix);
    return count_lines(c, "\"event\":\"start\"", job);
}

int64_t
e2e_status(const struct cluster *c, const char *path)
{
    json_t *status = api_status(c);
    int64_t number = api_number(status, path);

    json_decref(status);
    return number;
}

/* Processor time of all runs whose end is in the history. */
static int64_t
cpu_measured(const struct cluster *c)
{
    FILE *f = fopen(c->history_path, "re");
    char line[4096];
    int64_t sum = 0;

    while (fgets(line, sizeof(line), f) != NULL) {
        const char *at = strstr(line, "\"cpu_ms\":");

        if (at != NULL && strstr(line, "\"event\":\"end\"") != NULL) {
            sum += strtoll(at + strlen("\"cpu_ms\":"), NULL, 10);
        }
    }
    fclose(f);
    return sum;
}

/* What a worker reports of a lease that has already expired is committed some
 * time later. The checker decides whether all of it was. */
static void
await_usage(const struct cluster *c)
{
    int64_t until = clock_now() + USAGE_MS * NS_PER_MS;

    while (api_cpu_used(c) < cpu_measured(c) && clock_now() < until) {
        await_pause();
    }
}

void
e2e_finish(struct cluster *c)
{
    api_await_jobs_ended(c);
    await_usage(c);
    api_record_usage(c);
    cluster_check(c);
    cluster_destroy(c);
}
