#include <glib.h>
#include <string.h>

#include "platform_rig.h"
#include "proc.h"

/*
 * End-to-end tests of starts that workers carry out later than the leader
 * expects. A run that the leader doesn't expect is a stray run.
 */

enum {
    CONTROLS = 3,
    TASK_CPU = 4000, /* the capacity of a worker */
    RUN_MS = 4000,
    /* Longer than it takes to place a task that a restarted worker lost. */
    LATE_MS = 1500,
    STOP_MS = 2500,
    /* Their ends fill three answers to polls and more. */
    MANY_TASKS = 2000,
    LEASE_MAX_MS = 10000,
    RETURN_MAX_MS = 9000,
    REGISTER_MS = 1500,        /* until changes of workers are known */
    CHECKPOINT_MAX = 64 << 10, /* bytes that are kept */
    /* Job numbers. */
    LATE_JOB = 0,
    OTHER_JOB = 1,
    FIRST_JOB = 2,
};

/* Submits a job whose tasks each take a whole worker of the kind. */
static void
submit_tasks(struct platform_rig *r, int job, int count, const char *kind,
             int run_ms)
{
    char *body = g_strdup_printf(
        "{\"taskSpec\":\"run_ms=%d cpu=%d ticket=0\",\"steps\":[{\"count\":%d,"
        "\"cpu\":%d,\"memoryRequestMb\":64,\"estimatedMs\":%d,"
        "\"requirements\":\"%s\"}]}",
        run_ms, TASK_CPU, count, TASK_CPU, run_ms, kind);

    platform_submit_body(r, job, body);
    g_free(body);
}

static void
submit(struct platform_rig *r, int job, const char *kind, int run_ms)
{
    submit_tasks(r, job, 1, kind, run_ms);
}

/* Opens the rig and completes a job, after which a connection for starts is
 * kept open to each worker. */
static void
open_rig(struct platform_rig *r)
{
    platform_open(r, CONTROLS, 1, 1);
    r->queue = "/plain/";
    submit_tasks(r, FIRST_JOB, PLATFORM_WORKERS_PER_PROCESS, "a", 800);
    platform_await_completed(r, FIRST_JOB);
}

/* Submits LATE_JOB, whose first start gets no answer. Returns the worker. */
static int
lose_start(struct platform_rig *r, const char *fault)
{
    platform_fault(r, "lose-starts", fault);
    submit(r, LATE_JOB, "a", RUN_MS);
    platform_await_fault_count(r, "lost", 1);
    return platform_fault_count(r, "lost_worker");
}

static long
count_ends(struct platform_rig *r, const char *how)
{
    char *name = g_strdup_printf("guavarock_run_ends_total{how=\"%s\"}", how);
    long count = 0;

    for (int i = 0; i < CONTROLS; i++) {
        count += platform_metric(r, i, name);
    }
    g_free(name);
    return count;
}

/* Guards against a start without an answer that costs the run, and an urgent
 * task the second that it takes to notice that and to rule the run out. The
 * start is sent again, and the late copy of it is refused. */
static void
lost_start_sent_again(void)
{
    struct platform_rig r;

    open_rig(&r);
    lose_start(&r, "{\"count\":1,\"hold\":true,\"late_ms\":1500}");
    platform_await_completed(&r, LATE_JOB);
    platform_await_fault_count(&r, "late_refused", 1);
    g_assert_cmpint(count_ends(&r, "never"), ==, 0);
    g_assert_cmpint(platform_fault_count(&r, "late_accepted"), ==, 0);
    platform_close(&r);
}

/* Restarts the worker as one of kind "b", which can't run LATE_JOB again. */
static void
restart_worker(struct platform_rig *r, int worker, const char *run_lost)
{
    char *body = g_strdup_printf(
        "{\"worker\":%d,\"kind\":\"b\",\"run_lost\":%s}", worker, run_lost);

    platform_fault(r, "restart", body);
    g_free(body);
}

static void
await_late_start(struct platform_rig *r)
{
    int64_t give_up_at = g_get_monotonic_time() + PLATFORM_WAIT_MS * 1000;

    while (platform_fault_count(r, "late_accepted") +
                   platform_fault_count(r, "late_refused") ==
               0 &&
           g_get_monotonic_time() < give_up_at) {
        g_usleep(10000);
    }
}

/* Guards against a task that runs twice, and a worker over its capacity, when
 * a start arrives in the next life of its worker. */
static void
late_start_after_restart(const char *fault)
{
    struct platform_rig r;

    open_rig(&r);
    restart_worker(&r, lose_start(&r, fault), "false");
    submit(&r, OTHER_JOB, "b", RUN_MS);
    await_late_start(&r);
    platform_await_completed(&r, LATE_JOB);
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
}

static void
late_start_after_restart_closed(void)
{
    char *fault = g_strdup_printf("{\"count\":1,\"late_ms\":%d}", LATE_MS);

    late_start_after_restart(fault);
    g_free(fault);
}

static void
late_start_after_restart_held(void)
{
    char *fault =
        g_strdup_printf("{\"count\":1,\"late_ms\":%d,\"hold\":true}", LATE_MS);

    late_start_after_restart(fault);
    g_free(fault);
}

/* Guards against a task that runs twice because its start arrived in the next
 * life of its worker before the leader knew of that life. */
static void
start_before_restart_known(void)
{
    struct platform_rig r;

    open_rig(&r);
    restart_worker(&r, lose_start(&r, "{\"count\":1,\"late_ms\":20000}"),
                   "true");
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
}

/* Guards against a start that is taken not to be carried out because a copy of
 * it, sent by libcurl on a new connection, was refused. */
static void
refused_resend(void)
{
    struct platform_rig r;
    char *fault = g_strdup_printf(
        "{\"count\":1,\"late_ms\":%d,\"refuse_copy\":true}", LATE_MS);

    open_rig(&r);
    lose_start(&r, fault);
    await_late_start(&r);
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
    g_free(fault);
}

/* Guards against tasks for a worker whose capacity a stray run takes until its
 * stop has ended. */
static void
stray_run_counts(void)
{
    struct platform_rig r;
    char *stops = g_strdup_printf("{\"ms\":%d}", STOP_MS);
    char *url;
    int worker;

    open_rig(&r);
    platform_fault(&r, "stops", stops);
    worker = lose_start(&r, "{\"count\":1,\"late_ms\":20000}");
    url = platform_job_url(&r, 0, LATE_JOB);
    platform_await_status(&r, "DELETE", url, "", 200);
    restart_worker(&r, worker, "true");
    platform_await_fault_count(&r, "stopping", 1);
    submit(&r, OTHER_JOB, "b", 300);
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
    g_free(url);
    g_free(stops);
}

/* Guards against a restarted worker that is lost, while it still stops a run,
 * because it answered late. */
static void
slow_stop_after_restart(void)
{
    struct platform_rig r;
    char *stops = g_strdup_printf("{\"ms\":%d}", STOP_MS);
    char *polls;
    int worker;

    open_rig(&r);
    platform_fault(&r, "stops", stops);
    worker = lose_start(&r, "{\"count\":1,\"late_ms\":2500}");
    polls = g_strdup_printf("{\"worker\":%d,\"ms\":3000}", worker);
    platform_fault(&r, "drop-polls", polls);
    restart_worker(&r, worker, "false");
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
    g_free(polls);
    g_free(stops);
}

/* Guards against a task that is released by a restart while an earlier run of
 * it, which came late, is still being stopped. */
static void
release_beside_stray(void)
{
    struct platform_rig r;
    char *stops = g_strdup_printf("{\"ms\":%d}", STOP_MS);
    int worker;
    int starts;

    open_rig(&r);
    platform_fault(&r, "stops", stops);
    starts = platform_fault_count(&r, "starts");
    worker = lose_start(&r, "{\"count\":1,\"late_ms\":20000}");
    /* Run 2 starts on the same worker, the only one left of its kind. */
    platform_await_fault_count(&r, "starts", starts + 2);
    restart_worker(&r, worker, "true");
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
    g_free(stops);
}

/* Announces a worker of the given id at the address of worker 0 of the rig,
 * which started an hour later than that worker. */
static void
announce_at_worker_0(struct platform_rig *r, const char *id)
{
    char *path = g_strdup_printf("/instances/%s", id);
    char *url = platform_control_url(r, 0, 0, path);
    char *body = g_strdup_printf(
        "{\"service\":\"svc\",\"address\":\"127.0.7.30:%d\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"capacity\":{"
        "\"cpu\":4000,\"memoryRequestMb\":8192,\"gpu\":0},\"labels\":[\"a\","
        "\"r1\"],\"clockMs\":1,\"born\":%" G_GINT64_FORMAT ",\"sequence\":1}",
        r->port + 1, g_get_real_time() / 1000 + 3600000);

    platform_await_status(r, "PUT", url, body, 200);
    g_free(body);
    g_free(url);
    g_free(path);
}

/* Guards against runs that are released because a worker that is not there
 * was announced, under the id or at the address of one that is. */
static void
false_announcement(const char *id)
{
    struct platform_rig r;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    submit(&r, LATE_JOB, "b", RUN_MS);
    g_usleep(RUN_MS * 1000 / 4);
    /* Has room for the task. */
    restart_worker(&r, 1, "false");
    g_usleep(RUN_MS * 1000 / 4);
    announce_at_worker_0(&r, id);
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
}

static void
false_announcement_of_address(void)
{
    false_announcement("i-other");
}

static void
false_announcement_of_id(void)
{
    false_announcement("i-30-0");
}

/* Guards against a worker that is never used again after the deregistration of
 * its earlier process arrived late. */
static void
late_deregistration(void)
{
    struct platform_rig r;
    char *url;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    submit(&r, OTHER_JOB, "b", 300);
    platform_await_completed(&r, OTHER_JOB);
    url = platform_control_url(&r, 0, 0, "/instances/i-30-0");
    platform_await_status(&r, "DELETE", url, "", 200);
    submit(&r, LATE_JOB, "b", 300);
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
    g_free(url);
}

/* Waits until a task of the job has been started. */
static void
await_started(struct platform_rig *r, int job)
{
    int64_t give_up_at = g_get_monotonic_time() + PLATFORM_WAIT_MS * 1000;
    char *url = platform_job_url(r, 0, job);
    char body[128] = "";

    while (g_get_monotonic_time() < give_up_at &&
           strstr(body, "running") == NULL) {
        g_usleep(10000);
        platform_call(r, "GET", url, "", body, sizeof(body));
    }
    g_assert_nonnull(strstr(body, "running"));
    g_free(url);
}

/* Guards against tasks without an end that return later than their users can
 * wait, because their worker is given up only after the longest lease. */
static void
endless_tasks_return(void)
{
    static const char body[] =
        "{\"taskSpec\":\"run_ms=60000 ticket=0\",\"steps\":[{\"count\":2,"
        "\"cpu\":500,\"memoryRequestMb\":64,\"estimatedMs\":60000,"
        "\"longRunning\":true,\"requirements\":\"a\"}]}";
    struct platform_rig r;
    int64_t killed_us;

    platform_open_leases(&r, CONTROLS, 1, 1, LEASE_MAX_MS);
    r.queue = "/plain/";
    for (int i = 0; i < PLATFORM_WORKERS_PER_PROCESS; i++) {
        restart_worker(&r, i, "false");
    }
    platform_start_workers(&r, 1);
    g_usleep(REGISTER_MS * 1000);
    platform_submit_body(&r, FIRST_JOB, body);
    await_started(&r, FIRST_JOB);
    platform_fault(&r, "restart", "{\"worker\":0,\"kind\":\"a\"}");
    /* Until a lease from before the start would have ended anyway. */
    g_usleep((LEASE_MAX_MS - RETURN_MAX_MS / 2) * 1000);
    g_assert_cmpint(platform_fault_count(&r, "starts"), ==, 0);
    proc_kill(r.workers[1]);
    killed_us = g_get_monotonic_time();
    platform_await_fault_count(&r, "starts", 2);
    g_assert_cmpint((g_get_monotonic_time() - killed_us) / 1000, <=,
                    RETURN_MAX_MS);
    platform_close(&r);
}

/* Guards against tasks that run again because their ends did not fit into the
 * next answers of their worker. */
static void
many_ends_at_once(void)
{
    struct platform_rig r;
    char *body = g_strdup_printf(
        "{\"taskSpec\":\"run_ms=60000 cpu=2 ticket=0\",\"steps\":[{"
        "\"count\":%d,\"cpu\":2,\"memoryRequestMb\":1,"
        "\"estimatedMs\":60000,\"requirements\":\"b\"}]}",
        MANY_TASKS);
    int starts;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    starts = platform_fault_count(&r, "starts");
    platform_submit_body(&r, OTHER_JOB, body);
    platform_await_fault_count(&r, "starts", starts + MANY_TASKS);
    platform_fault(&r, "finish", "{\"worker\":0}");
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
    g_free(body);
}

/* Guards against a task that runs twice, or never again, because the next
 * process of its worker lists more ends than an answer holds. */
static void
restart_with_cut_lists(void)
{
    struct platform_rig r;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    submit(&r, LATE_JOB, "b", RUN_MS);
    await_started(&r, LATE_JOB);
    restart_worker(&r, 1, "false");
    platform_fault(&r, "restart",
                   "{\"worker\":0,\"kind\":\"c\",\"ends\":1200}");
    platform_await_completed(&r, LATE_JOB);
    submit(&r, OTHER_JOB, "c", RUN_MS);
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
}

/* Submits a job whose tasks each take a whole worker of the kind, run for 60 s
 * and have saved a checkpoint of so many bytes when they are interrupted. */
static void
submit_checkpointing(struct platform_rig *r, int job, int count,
                     const char *kind, int bytes)
{
    char *body = g_strdup_printf(
        "{\"taskSpec\":\"run_ms=60000 cpu=%d ticket=0 checkpoint=%d\","
        "\"steps\":[{\"count\":%d,\"cpu\":%d,\"memoryRequestMb\":64,"
        "\"estimatedMs\":60000,\"checkpointing\":true,"
        "\"requirements\":\"%s\"}]}",
        TASK_CPU, bytes, count, TASK_CPU, kind);

    platform_submit_body(r, job, body);
    g_free(body);
}

/* Guards against workers that are never used again because of the size of a
 * checkpoint (review/11). */
static void
cancelled_with_long_checkpoints(void)
{
    struct platform_rig r;
    int starts;
    char *url;

    open_rig(&r);
    starts = platform_fault_count(&r, "starts");
    submit_checkpointing(&r, LATE_JOB, PLATFORM_WORKERS_PER_PROCESS, "a",
                         10000);
    platform_await_fault_count(&r, "starts",
                               starts + PLATFORM_WORKERS_PER_PROCESS);
    url = platform_job_url(&r, 0, LATE_JOB);
    platform_await_status(&r, "DELETE", url, "", 200);
    submit_tasks(&r, OTHER_JOB, PLATFORM_WORKERS_PER_PROCESS, "a", 300);
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
    g_free(url);
}

/* Interrupts the only task of a job, and waits until it runs again. Returns
 * how many starts had a checkpoint. */
static int
interrupt_task(struct platform_rig *r, int job, int bytes)
{
    int starts = platform_fault_count(r, "starts");
    int resumed = platform_fault_count(r, "resumed");

    submit_checkpointing(r, job, 1, "b", bytes);
    platform_await_fault_count(r, "starts", starts + 1);
    await_started(r, job);
    platform_fault(r, "finish", "{\"worker\":0,\"interrupted\":true}");
    platform_await_fault_count(r, "starts", starts + 2);
    resumed = platform_fault_count(r, "resumed") - resumed;
    platform_fault(r, "finish", "{\"worker\":0}");
    platform_await_completed(r, job);
    return resumed;
}

/* Guards against a task that loses a checkpoint of the largest size that is
 * kept, or is started with a part of a longer one. */
static void
largest_checkpoint(void)
{
    struct platform_rig r;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    g_assert_cmpint(interrupt_task(&r, LATE_JOB, CHECKPOINT_MAX), ==, 1);
    g_assert_cmpint(interrupt_task(&r, OTHER_JOB, CHECKPOINT_MAX + 1), ==, 0);
    platform_close(&r);
}

/* Guards against tasks that never return because the ends of workers, with
 * their checkpoints, exceed a message between VMs. */
static void
many_long_checkpoints(void)
{
    enum {
        TASKS = 400, /* their checkpoints have 25 MiB */
    };
    struct platform_rig r;
    char *body = g_strdup_printf(
        "{\"taskSpec\":\"run_ms=60000 cpu=2 ticket=0 checkpoint=%d\","
        "\"steps\":[{\"count\":%d,\"cpu\":2,\"memoryRequestMb\":1,"
        "\"estimatedMs\":60000,\"checkpointing\":true,"
        "\"requirements\":\"b\"}]}",
        CHECKPOINT_MAX, TASKS);
    int starts;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    starts = platform_fault_count(&r, "starts");
    platform_submit_body(&r, LATE_JOB, body);
    platform_await_fault_count(&r, "starts", starts + TASKS);
    await_started(&r, LATE_JOB);
    platform_fault(&r, "finish", "{\"worker\":0,\"interrupted\":true}");
    platform_await_fault_count(&r, "resumed", TASKS);
    platform_fault(&r, "finish", "{\"worker\":0}");
    platform_await_completed(&r, LATE_JOB);
    platform_close(&r);
    g_free(body);
}

/* Guards against a worker whose other ends are not taken note of beside ends
 * that cannot be read. */
static void
unreadable_ends(void)
{
    struct platform_rig r;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    platform_fault(&r, "unreadable", "{\"worker\":0,\"ends\":3}");
    submit(&r, LATE_JOB, "b", 300);
    platform_await_completed(&r, LATE_JOB);
    platform_fault(&r, "unreadable", "{\"worker\":0,\"ends\":1200}");
    submit(&r, OTHER_JOB, "b", 300);
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
}

/* Guards against a run that is taken for lost, and a worker that is lost for
 * good, because a running task cannot be read. */
static void
unreadable_run(void)
{
    struct platform_rig r;
    int starts;

    open_rig(&r);
    restart_worker(&r, 0, "false");
    starts = platform_fault_count(&r, "starts");
    submit(&r, LATE_JOB, "b", RUN_MS);
    await_started(&r, LATE_JOB);
    platform_fault(&r, "unreadable", "{\"worker\":0,\"running\":1}");
    platform_await_completed(&r, LATE_JOB);
    g_assert_cmpint(platform_fault_count(&r, "starts"), ==, starts + 1);
    submit(&r, OTHER_JOB, "b", 300);
    platform_await_completed(&r, OTHER_JOB);
    platform_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* One failed case does not end the program, as several are known red. */
    g_test_set_nonfatal_assertions();
    g_test_add_func("/e2e/platform/lost-start-sent-again",
                    lost_start_sent_again);
    g_test_add_func("/e2e/platform/late-start-after-worker-restart",
                    late_start_after_restart_closed);
    g_test_add_func("/e2e/platform/late-start-after-worker-restart-held",
                    late_start_after_restart_held);
    g_test_add_func("/e2e/platform/late-start-before-restart-is-known",
                    start_before_restart_known);
    g_test_add_func("/e2e/platform/refused-resend-of-taken-start",
                    refused_resend);
    g_test_add_func("/e2e/platform/stray-run-counts", stray_run_counts);
    g_test_add_func("/e2e/platform/false-announcement-of-address",
                    false_announcement_of_address);
    g_test_add_func("/e2e/platform/false-announcement-of-id",
                    false_announcement_of_id);
    g_test_add_func("/e2e/platform/late-deregistration", late_deregistration);
    g_test_add_func("/e2e/platform/slow-stop-after-restart",
                    slow_stop_after_restart);
    g_test_add_func("/e2e/platform/release-beside-stray",
                    release_beside_stray);
    g_test_add_func("/e2e/platform/many-ends-at-once", many_ends_at_once);
    g_test_add_func("/e2e/platform/restart-with-cut-lists",
                    restart_with_cut_lists);
    g_test_add_func("/e2e/platform/endless-tasks-return",
                    endless_tasks_return);
    g_test_add_func("/e2e/platform/cancelled-with-long-checkpoints",
                    cancelled_with_long_checkpoints);
    g_test_add_func("/e2e/platform/largest-checkpoint", largest_checkpoint);
    g_test_add_func("/e2e/platform/many-long-checkpoints",
                    many_long_checkpoints);
    g_test_add_func("/e2e/platform/unreadable-ends", unreadable_ends);
    g_test_add_func("/e2e/platform/unreadable-run", unreadable_run);
    return g_test_run();
}
