/* Lists that are longer than one answer: jobs and the audit trail. */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"

enum {
    JOBS = 7,
    PAGE = 2,
};

static json_t *
get(const struct cluster *c, const char *key, const char *path)
{
    const struct api_call call = {
        .method = "GET", .path = path, .key = key, .vm = 0};
    json_t *out = NULL;

    g_assert_cmpint(api_call(c, &call, &out), ==, 200);
    return out;
}

static void
cancel(const struct cluster *c, const char *id)
{
    char path[64];
    const struct api_call call = {
        .method = "DELETE", .path = path, .key = c->team.key, .vm = 0};

    snprintf(path, sizeof(path), "/v1/jobs/%s", id);
    g_assert_cmpint(api_call(c, &call, NULL), ==, 200);
}

/* Marks what the page shows and returns the id of its last job. */
static int
take_page(const json_t *page, bool seen[JOBS])
{
    const json_t *jobs = json_object_get(page, "jobs");
    const json_t *job;
    size_t at;
    int last = -1;

    json_array_foreach(jobs, at, job)
    {
        const char *id = json_string_value(json_object_get(job, "id"));

        g_assert_cmpint(sscanf(id, "j%d", &last), ==, 1);
        seen[last] = true;
    }
    return last;
}

/* Guards against jobs that a listing misses because the last job of a page
 * has ended, or was removed, before the next page is read. */
static void
test_job_pages(void)
{
    struct cluster *c = cluster_start(1, 0, false);
    char path[96] = "/v1/jobs?limit=2";
    bool seen[JOBS] = {false};
    bool more = true;
    char id[16];

    cluster_provision(c);
    for (int i = 0; i < JOBS; i++) {
        const struct api_job job = {.id = id, .payload = ""};

        snprintf(id, sizeof(id), "j%d", i);
        g_assert_cmpint(api_job_put(c, &job), ==, 200);
    }
    for (int pages = 0; more; pages++) {
        json_t *page = get(c, c->team.key, path);
        const char *next = json_string_value(json_object_get(page, "next"));
        int last = take_page(page, seen);

        g_assert_cmpint(pages, <, 2 * JOBS);
        more = next != NULL;
        if (more) {
            snprintf(path, sizeof(path), "/v1/jobs?limit=%d&after=%s", PAGE,
                     next);
            snprintf(id, sizeof(id), "j%d", last);
            cancel(c, id);
        }
        json_decref(page);
    }
    for (int i = 0; i < JOBS; i++) {
        g_assert_true(seen[i]);
    }
    cluster_destroy(c);
}

static int64_t
first_seq(const json_t *page)
{
    const json_t *entries = json_object_get(page, "entries");

    return api_number(json_array_get(entries, 0), "seq");
}

/* Guards against an audit trail of which only the oldest entries can be
 * read. */
static void
test_audit_pages(void)
{
    struct cluster *c = cluster_start(1, 0, false);
    int64_t newest;
    json_t *page;

    cluster_provision(c);
    page = get(c, c->operator_key, "/v1/audit");
    newest = (int64_t)json_array_size(json_object_get(page, "entries"));
    json_decref(page);
    g_assert_cmpint(newest, >, 3);
    page = get(c, c->operator_key, "/v1/audit?last=2");
    g_assert_cmpint(first_seq(page), ==, newest - 1);
    g_assert_cmpint(api_number(page, "next"), ==, 0);
    json_decref(page);
    page = get(c, c->operator_key, "/v1/audit?last=3&limit=1");
    g_assert_cmpint(first_seq(page), ==, newest - 2);
    g_assert_cmpint(api_number(page, "next"), ==, newest - 2);
    json_decref(page);
    page = get(c, c->operator_key, "/v1/audit?last=1000000");
    g_assert_cmpint(first_seq(page), ==, 1);
    json_decref(page);
    cluster_destroy(c);
}

/* Guards against a command line that shows only the first answer. */
static void
test_command_line(void)
{
    struct cluster *c = cluster_start(1, 0, false);
    char path[64];
    char line[512];
    int rows = 0;
    FILE *out;

    for (int i = 0; i < 1100; i++) {
        const struct api_call call = {
            .method = "DELETE", .path = path, .key = c->operator_key, .vm = 0};

        /* Refused, which the audit trail records. */
        snprintf(path, sizeof(path), "/v1/keys/k%d", 1000 + i);
        g_assert_cmpint(api_call(c, &call, NULL), ==, 404);
    }
    snprintf(line, sizeof(line),
             "GUAVAROCK_KEY=%s %s/guavarock --server http://%s audit",
             c->operator_key, c->bin, c->vms[0].http);
    out = popen(line, "r");
    g_assert_nonnull(out);
    while (fgets(line, sizeof(line), out) != NULL) {
        rows++;
    }
    g_assert_cmpint(pclose(out), ==, 0);
    g_assert_cmpint(rows, >, 1100);
    cluster_destroy(c);
}

/* The entry of team lamps in GET /v1/teams. */
static json_t *
lamps(const struct cluster *c)
{
    json_t *list = get(c, c->operator_key, "/v1/teams");
    const json_t *team;
    size_t at;
    json_t *found = NULL;

    json_array_foreach(json_object_get(list, "teams"), at, team)
    {
        if (g_strcmp0(json_string_value(json_object_get(team, "team")),
                      "lamps") == 0) {
            found = json_deep_copy(team);
        }
    }
    g_assert_nonnull(found);
    json_decref(list);
    return found;
}

static bool
lamps_has(const struct cluster *c, const char *field, int64_t wanted)
{
    json_t *team = lamps(c);
    int64_t value = api_number(team, field);

    json_decref(team);
    return value == wanted;
}

/* Guards against a team's row, or metrics, that disagree with what it runs
 * and awaits. */
static void
test_team_list(void)
{
    static const char *const options[] = {"--cpu-milli", "4000", NULL};
    const struct api_job running = {
        .id = "runs", .cpu_milli = 1000, .payload = "run_ms=60000"};
    const struct api_job waiting = {
        .id = "waits", .cpu_milli = 4000, .payload = ""};
    struct cluster *c = cluster_start(1, 0, false);
    json_t *team;

    cluster_provision(c);
    cluster_worker(c, "w1", options);
    cluster_await_workers(c, 1);
    g_assert_true(lamps_has(c, "tasks", 0));
    g_assert_cmpint(api_job_put(c, &running), ==, 200);
    api_await_job(c, "runs", "running");
    g_assert_cmpint(api_job_put(c, &waiting), ==, 200);
    AWAIT(lamps_has(c, "jobs_queued", 1));
    team = lamps(c);
    g_assert_cmpint(api_number(team, "tasks"), ==, 1);
    g_assert_cmpint(api_number(team, "jobs_running"), ==, 1);
    g_assert_cmpint(api_number(team, "used.cpu_milli"), ==, 1000);
    g_assert_cmpint(api_number(team, "share_ppm"), >=, 250000);
    g_assert_cmpint(api_number(team, "entitlement_ppm"), ==, 1000000);
    g_assert_cmpint(api_number(team, "queued_since_ms"), >, 0);
    json_decref(team);
    g_assert_cmpint(api_metric(c, 0, "guavarock_team_tasks{team=\"lamps\"}"),
                    ==, 1);
    g_assert_cmpint(
        api_metric(c, 0, "guavarock_task_wait_ms_count{class=\"batch\"}"), ==,
        1);
    g_assert_cmpint(api_metric(c, 0,
                               "guavarock_task_wait_ms_bucket{class=\"batch\","
                               "le=\"+Inf\"}"),
                    ==, 1);
    g_assert_cmpint(
        api_metric(c, 0, "guavarock_fleet_leased{resource=\"cpu_milli\"}"), ==,
        1000);
    g_assert_cmpint(
        api_metric(c, 0, "guavarock_fleet_capacity{resource=\"cpu_milli\"}"),
        ==, 4000);
    g_assert_cmpint(api_metric(c, 0, "guavarock_tasks_waiting"), ==, 1);
    cancel(c, "runs");
    cancel(c, "waits");
    AWAIT(lamps_has(c, "tasks", 0));
    g_assert_true(lamps_has(c, "queued_since_ms", 0));
    cluster_destroy(c);
}

static void
set_teams(const struct cluster *c, const char *items)
{
    g_assert_cmpint(api_list_put(c, "teams", -1, items, NULL, 0), ==, 200);
}

/* A row of GET /v1/usage of this month, "{}" while there is none; *rows is
 * the number of rows. */
static json_t *
usage_row(const struct cluster *c, const char *name, int *rows)
{
    char path[64];
    time_t now = time(NULL);
    json_t *answer;
    json_t *found = json_object();
    const json_t *team;
    size_t at;

    strftime(path, sizeof(path), "/v1/usage?month=%Y-%m", gmtime(&now));
    answer = get(c, c->operator_key, path);
    *rows = 0;
    json_array_foreach(json_object_get(answer, "teams"), at, team)
    {
        if (g_strcmp0(json_string_value(json_object_get(team, "team")),
                      name) == 0) {
            ++*rows;
            json_object_update(found, (json_t *)team);
        }
    }
    json_decref(answer);
    return found;
}

static int64_t
cpu_used(const struct cluster *c, const char *name)
{
    int rows;
    json_t *row = usage_row(c, name, &rows);
    int64_t used = rows == 0 ? 0 : api_number(row, "cpu_ms");

    json_decref(row);
    return used;
}

static void
run_job(const struct cluster *c, const char *id)
{
    const struct api_job job = {
        .id = id, .cpu_milli = 1000, .payload = "run_ms=300"};

    g_assert_cmpint(api_job_put(c, &job), ==, 200);
    api_await_job(c, id, "done");
}

/* Guards against usage that vanishes from the chart, or a chart that cannot
 * be read, when a team is taken off the list and put back. */
static void
test_usage_of_removed_team(void)
{
    struct cluster *c = cluster_start(1, 0, false);
    char line[512];
    int64_t before;
    int rows;

    cluster_provision(c);
    cluster_worker(c, "w1", NULL);
    cluster_await_workers(c, 1);
    run_job(c, "first");
    AWAIT(cpu_used(c, "lamps") > 0);
    before = cpu_used(c, "lamps");
    set_teams(c, "[{\"name\":\"looms\",\"weight\":1}]");
    g_assert_cmpint(cpu_used(c, "lamps"), >=, before);
    set_teams(c, "[{\"name\":\"looms\",\"weight\":1},"
                 "{\"name\":\"lamps\",\"weight\":1}]");
    c->team = api_key_create(c, "team", "lamps");
    run_job(c, "second");
    AWAIT(cpu_used(c, "lamps") > before);
    json_decref(usage_row(c, "lamps", &rows));
    g_assert_cmpint(rows, ==, 1);
    snprintf(line, sizeof(line),
             "GUAVAROCK_KEY=%s %s/guavarock --server http://%s usage",
             c->operator_key, c->bin, c->vms[0].http);
    g_assert_cmpint(system(line), ==, 0);
    cluster_destroy(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/lists/job-pages", test_job_pages);
    e2e_case("/e2e/lists/audit-pages", test_audit_pages);
    e2e_case("/e2e/lists/teams", test_team_list);
    e2e_case("/e2e/lists/usage-of-removed-team", test_usage_of_removed_team);
    e2e_case("/e2e/lists/command-line", test_command_line);
    return e2e_run(argc, argv);
}
