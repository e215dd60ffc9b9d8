#include <glib.h>
#include <string.h>

#include "platform_rig.h"
#include "proc.h"
#include "send_window.h"

/*
 * End-to-end tests of orders to workers that are still to be carried out when
 * what permitted them has ended.
 */

enum {
    CONTROLS = 3,
    TASK_CPU = 4000, /* the capacity of a worker */
    /* Shorter than the silence after which a worker gets no tasks. */
    SILENT_MS = 1800,
    ANNOUNCED_MS = 1500,  /* until changes of workers are known */
    LEASE_MAX_MS = 10000, /* not over before a test has ended */
    LOST_MS = 3000,       /* until a worker that has left is given up */
    JOB = 0,
};

/* Opens the rig with worker 0 as the only one of kind "b". */
static void
open_rig(struct platform_rig *r)
{
    platform_open(r, CONTROLS, 1, 1);
    r->queue = "/plain/";
    platform_fault(r, "restart", "{\"worker\":0,\"kind\":\"b\"}");
    g_usleep(ANNOUNCED_MS * 1000);
}

/* Returns the time of the last line in the log of control VM i that holds both
 * texts; 0 if there is none. */
static int64_t
find_event(const struct platform_rig *r, int i, const char *text,
           const char *other_text)
{
    char *path = g_strdup_printf("%s/c%d.log", r->dir, i);
    char *log = NULL;
    char **lines;
    int64_t at_ms = 0;

    g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
    lines = g_strsplit(log, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        if (strstr(*line, text) != NULL && strstr(*line, other_text) != NULL) {
            at_ms = g_ascii_strtoll(*line + strlen("t="), NULL, 10);
        }
    }
    g_strfreev(lines);
    g_free(log);
    g_free(path);
    return at_ms;
}

static void
await_failed_poll(const struct platform_rig *r)
{
    int64_t give_up_at = g_get_monotonic_time() + PLATFORM_WAIT_MS * 1000;
    bool failed = false;

    while (!failed && g_get_monotonic_time() < give_up_at) {
        for (int i = 0; i < CONTROLS; i++) {
            failed = failed || find_event(r, i, "call=poll worker=i-30-0",
                                          "failure=") != 0;
        }
        g_usleep(2000);
    }
    g_assert_true(failed);
}

/* Submits JOB while worker 0 does not answer polls, so that its start is
 * placed there and stays queued for up to SILENT_MS. */
static void
queue_start(struct platform_rig *r)
{
    char *polls = g_strdup_printf("{\"worker\":0,\"ms\":%d}", SILENT_MS);
    char *body = g_strdup_printf(
        "{\"taskSpec\":\"run_ms=300 cpu=%d ticket=0\",\"steps\":[{"
        "\"count\":1,\"cpu\":%d,\"memoryRequestMb\":64,"
        "\"estimatedMs\":300,\"requirements\":\"b\"}]}",
        TASK_CPU, TASK_CPU);

    platform_fault(r, "drop-polls", polls);
    await_failed_poll(r);
    platform_submit_body(r, JOB, body);
    g_free(body);
    g_free(polls);
}

/* Guards against a start that was placed on a worker before it began to drain
 * and is sent long after. */
static void
queued_start_after_drain(void)
{
    struct platform_rig r;

    open_rig(&r);
    queue_start(&r);
    platform_fault(&r, "drain", "{\"worker\":0}");
    g_usleep((SILENT_MS + ANNOUNCED_MS) * 1000);
    platform_fault(&r, "restart", "{\"worker\":1,\"kind\":\"b\"}");
    platform_await_completed(&r, JOB);
    platform_close(&r);
}

/* Puts a configuration whose team may use that much CPU; 0: any. */
static void
put_limit(struct platform_rig *r, int version, int cpu)
{
    char *config = platform_config(version);
    char *limit = g_strdup_printf("\"upperLimit\":{\"cpu\":%d}", cpu);
    char **parts = g_strsplit(config, "\"upperLimit\":{\"cpu\":0}", 2);
    char *changed = g_strjoinv(limit, parts);
    char *url = platform_control_url(r, 0, 0, "/config");

    platform_await_status(r, "PUT", url, changed, 200);
    g_free(url);
    g_free(changed);
    g_strfreev(parts);
    g_free(limit);
    g_free(config);
}

/* Guards against a start that was placed below its team's limit and is sent
 * after the limit was lowered. */
static void
queued_start_after_limit(void)
{
    struct platform_rig r;
    int starts;

    open_rig(&r);
    starts = platform_fault_count(&r, "starts");
    queue_start(&r);
    put_limit(&r, 2, TASK_CPU / 2);
    g_usleep((SILENT_MS + ANNOUNCED_MS) * 1000);
    g_assert_cmpint(platform_fault_count(&r, "starts"), ==, starts);
    put_limit(&r, 3, 0);
    platform_await_completed(&r, JOB);
    platform_close(&r);
}

/* Guards against a worker that keeps its tasks for ever although it refuses
 * the polls that would renew their lease. */
static void
refused_polls_renew_no_lease(void)
{
    struct platform_rig r;

    open_rig(&r);
    platform_submit_body(
        &r, JOB,
        "{\"taskSpec\":\"run_ms=1000 ticket=0\",\"steps\":[{\"count\":1,"
        "\"cpu\":500,\"memoryRequestMb\":64,\"estimatedMs\":1000,"
        "\"requirements\":\"b\"}]}");
    platform_await_fault_count(&r, "starts", 1);
    platform_fault(&r, "drop-polls",
                   "{\"worker\":0,\"ms\":120000,\"status\":503}");
    platform_fault(&r, "restart", "{\"worker\":1,\"kind\":\"b\"}");
    platform_await_completed(&r, JOB);
    platform_close(&r);
}

/* Opens the rig with the workers of process 1 as the only ones of kind "a",
 * and JOB at work on one of them. */
static void
open_rig_with_leaver(struct platform_rig *r)
{
    platform_open_leases(r, CONTROLS, 1, 1, LEASE_MAX_MS);
    r->queue = "/plain/";
    for (int i = 0; i < PLATFORM_WORKERS_PER_PROCESS; i++) {
        char *body = g_strdup_printf("{\"worker\":%d,\"kind\":\"b\"}", i);

        platform_fault(r, "restart", body);
        g_free(body);
    }
    platform_start_workers(r, 1);
    g_usleep(ANNOUNCED_MS * 1000);
    platform_submit_body(
        r, JOB,
        "{\"taskSpec\":\"run_ms=60000 ticket=0\",\"steps\":[{\"count\":1,"
        "\"cpu\":500,\"memoryRequestMb\":64,\"estimatedMs\":60000,"
        "\"requirements\":\"a\"}]}");
    g_usleep(ANNOUNCED_MS * 1000);
}

/* The workers of process 1 announce that they drain. */
static void
drain_process(struct platform_rig *r)
{
    char *url = g_strdup_printf("http://127.0.7.31:%d/fault/drain", r->port);

    for (int i = 0; i < PLATFORM_WORKERS_PER_PROCESS; i++) {
        char *body = g_strdup_printf("{\"worker\":%d}", i);

        g_assert_cmpint(platform_call(r, "POST", url, body, NULL, 0), ==, 200);
        g_free(body);
    }
    g_free(url);
    g_usleep(ANNOUNCED_MS * 1000);
}

/* Deregisters the workers of process 1 at control VM i. */
static void
deregister_process(struct platform_rig *r, int i)
{
    for (int worker = 0; worker < PLATFORM_WORKERS_PER_PROCESS; worker++) {
        char *path = g_strdup_printf("/instances/i-31-%d", worker);
        char *url = platform_control_url(r, i, 0, path);

        platform_await_status(r, "DELETE", url, "", 200);
        g_free(url);
        g_free(path);
    }
}

static int
find_leader(struct platform_rig *r)
{
    int64_t give_up_at = g_get_monotonic_time() + PLATFORM_WAIT_MS * 1000;

    while (g_get_monotonic_time() < give_up_at) {
        for (int i = 0; i < CONTROLS; i++) {
            if (platform_metric(r, i, "guavarock_leading") == 1) {
                return i;
            }
        }
        g_usleep(5000);
    }
    g_assert_not_reached();
}

/* Guards against a task that a new leader starts elsewhere because its worker
 * has left, while a paused VM may still send a start of the leader before to
 * the worker's next process. */
static void
new_leader_waits_for_window(void)
{
    struct platform_rig r;
    int64_t elected_ms;
    int64_t lost_ms;
    int leader;

    open_rig_with_leaver(&r);
    drain_process(&r);
    proc_kill(r.workers[1]);
    leader = find_leader(&r);
    proc_kill(r.control[leader]);
    leader = find_leader(&r);
    deregister_process(&r, leader);
    g_usleep(LOST_MS * 1000);
    elected_ms = find_event(&r, leader, "event=role", "role=leader");
    lost_ms = find_event(&r, leader, "event=worker-lost", "tasks=1");
    g_assert_cmpint(lost_ms, !=, 0);
    g_assert_cmpint(lost_ms - elected_ms, >=, SEND_WINDOW_MS);
    platform_close(&r);
}

/* Guards against a worker that is given up because its address refuses
 * connections for a moment after the deregistration of its earlier process,
 * which arrived late. A process says that it drains before it deregisters. */
static void
deregistration_of_earlier_process(void)
{
    struct platform_rig r;
    int leader;

    open_rig_with_leaver(&r);
    leader = find_leader(&r);
    proc_kill(r.workers[1]);
    deregister_process(&r, leader);
    g_usleep(LOST_MS * 1000);
    g_assert_cmpint(find_event(&r, leader, "event=worker-lost", "tasks=1"), ==,
                    0);
    platform_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/e2e/platform/queued-start-after-drain",
                    queued_start_after_drain);
    g_test_add_func("/e2e/platform/queued-start-after-limit",
                    queued_start_after_limit);
    g_test_add_func("/e2e/platform/refused-polls-renew-no-lease",
                    refused_polls_renew_no_lease);
    g_test_add_func("/e2e/platform/new-leader-waits-for-window",
                    new_leader_waits_for_window);
    g_test_add_func("/e2e/platform/deregistration-of-earlier-process",
                    deregistration_of_earlier_process);
    return g_test_run();
}
