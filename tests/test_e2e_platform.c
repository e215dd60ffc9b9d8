#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "odd_entries.h"
#include "platform_rig.h"
#include "proc.h"
#include "send_window.h"
#include "server.h"

/* End-to-end tests of the platform adapter with real processes on loopback. */

enum {
    CONTROLS = 3,
    JOBS = 24,
    ODD_ANSWERS_MS = 500,
    RESUMED_MS = 1000,
    IN_FLIGHT_MS = 100, /* for starts that were sent and are not lost */
    PAUSE_MS = 2500,    /* longer than the idle timeout of a peer session */
};

/* Guards against jobs that are lost or tasks that run twice when the control
 * VMs, and so the leader, are killed and restarted one after the other. */
static void
leader_killed(void)
{
    struct platform_rig r;

    platform_open(&r, CONTROLS, 1, 1);
    for (int job = 0; job < JOBS; job++) {
        platform_submit(&r, job);
        if (job % 8 == 4) {
            int victim = job / 8;

            proc_kill(r.control[victim]);
            platform_submit(&r, JOBS + job);
            platform_start_control(&r, victim);
        }
    }
    for (int job = 0; job < JOBS; job++) {
        platform_await_completed(&r, job);
        if (job % 8 == 4) {
            platform_await_completed(&r, JOBS + job);
        }
    }
    platform_close(&r);
}

/* Guards against tasks that stay assigned to a dead worker forever, because
 * calls that it did not answer renewed its lease. */
static void
worker_killed(void)
{
    struct platform_rig r;

    platform_open(&r, CONTROLS, 1, 1);
    platform_start_workers(&r, 1);
    g_usleep(1500000);
    for (int job = 0; job < JOBS; job++) {
        platform_submit(&r, job);
    }
    proc_kill(r.workers[1]);
    for (int job = 0; job < JOBS; job++) {
        platform_await_completed(&r, job);
    }
    platform_close(&r);
}

static void
run_jobs(struct platform_rig *r, int first, int count)
{
    for (int job = first; job < first + count; job++) {
        platform_submit(r, job);
    }
    for (int job = first; job < first + count; job++) {
        platform_await_completed(r, job);
    }
}

static void
change_evacuation(struct platform_rig *r, int control, const char *method,
                  const char *zone, long status)
{
    char *path = g_strdup_printf("/evacuations/%s", zone);
    char *url = platform_control_url(r, control, 0, path);

    platform_await_status(r, method, url, "", status);
    g_free(url);
    g_free(path);
}

/* Runs a command of guavarock against control VM 0. */
static void
run_command(struct platform_rig *r, const char *command, const char *zone)
{
    char *bin = g_build_filename(g_getenv("GV_BIN"), "guavarock", NULL);
    char *log = g_strdup_printf("%s/cli.log", r->dir);
    char *url = platform_control_url(r, 0, 0, "");
    char *argv[] = {bin,
                    (char *)"--server",
                    url,
                    (char *)"evacuation",
                    (char *)command,
                    (char *)zone,
                    NULL};

    g_assert_cmpint(proc_wait(proc_spawn(log, argv), PLATFORM_WAIT_MS), ==, 0);
    g_free(url);
    g_free(log);
    g_free(bin);
}

/* Guards against starts in an evacuated failure domain, in particular by a
 * leader that has read the state from its disk, and against a domain that is
 * not used again. */
static void
evacuated(void)
{
    enum {
        BODY_BYTES = 4096,
    };
    struct platform_rig r;
    char *body = g_malloc0(BODY_BYTES);
    char *url;

    platform_open(&r, CONTROLS, 1, 1);
    url = platform_control_url(&r, 2, 0, "/v1/evacuations");
    change_evacuation(&r, 0, "POST", "nowhere", 404);
    change_evacuation(&r, 1, "POST", "y", 200);
    platform_fault(&r, "evacuated", "{\"zone\":\"y\"}");
    change_evacuation(&r, 0, "POST", "y", 200);
    run_jobs(&r, 0, 4);
    for (int i = 0; i < CONTROLS; i++) {
        proc_kill(r.control[i]);
    }
    for (int i = 0; i < CONTROLS; i++) {
        platform_start_control(&r, i);
    }
    run_jobs(&r, 4, 4);
    g_assert_cmpint(platform_call(&r, "GET", url, "", body, BODY_BYTES), ==,
                    200);
    g_assert_nonnull(
        strstr(body, "{\"failure_domain\":\"y\",\"evacuated\":true,"));
    g_assert_null(strstr(body, "nowhere"));
    g_assert_cmpint(platform_fault_count(&r, "starts_y"), ==, 0);
    run_command(&r, "request", "z");
    run_command(&r, "list", NULL);
    run_command(&r, "audit", NULL);
    g_free(url);
    url = platform_job_url(&r, 0, 8);
    g_assert_cmpint(platform_call(&r, "POST", url, platform_job, NULL, 0), ==,
                    503);
    platform_fault(&r, "evacuated", "{\"zone\":\"\"}");
    change_evacuation(&r, 1, "DELETE", "y", 200);
    run_command(&r, "withdraw", "y");
    run_jobs(&r, 8, 4);
    g_assert_cmpint(platform_fault_count(&r, "starts_y"), >, 0);
    g_free(url);
    g_free(body);
    platform_close(&r);
}

/* Guards against a start that was under way when its domain was evacuated, and
 * that its worker carries out afterwards. */
static void
evacuated_under_way(void)
{
    /* Fills all workers. */
    static const char wide_job[] =
        "{\"taskSpec\":\"ticket=0\",\"steps\":[{\"count\":32,\"cpu\":500,"
        "\"memoryRequestMb\":64,\"estimatedMs\":300}]}";
    struct platform_rig r;

    platform_open(&r, CONTROLS, 1, 1);
    r.queue = "/plain/";
    platform_fault(&r, "lose-starts",
                   "{\"count\":-1,\"worker\":1,\"late_ms\":800,"
                   "\"hold\":true}");
    platform_submit_body(&r, 0, wide_job);
    platform_await_fault_count(&r, "lost", 1);
    change_evacuation(&r, 1, "POST", "y", 200);
    g_usleep(IN_FLIGHT_MS * 1000);
    platform_fault(&r, "evacuated", "{\"zone\":\"y\"}");
    platform_await_fault_count(&r, "late_refused", 1);
    platform_await_completed(&r, 0);
    g_assert_cmpint(platform_fault_count(&r, "late_accepted"), ==, 0);
    platform_close(&r);
}

/* Guards against long runs with checkpoints that stay in an evacuated domain
 * although there is room elsewhere. */
static void
evacuated_moved(void)
{
    static const char long_job[] =
        "{\"taskSpec\":\"ticket=0 run_ms=60000 cpu=1000\",\"steps\":[{"
        "\"count\":8,\"cpu\":1000,\"memoryRequestMb\":64,"
        "\"estimatedMs\":60000,\"checkpointing\":true}]}";
    struct platform_rig r;
    int64_t give_up_at;
    const char *zone;
    char *metric;
    long left = -1;
    int starts;

    platform_open(&r, CONTROLS, 1, 1);
    r.queue = "/plain/";
    platform_submit_body(&r, 0, long_job);
    platform_await_fault_count(&r, "starts", 8);
    starts = platform_fault_count(&r, "starts_y");
    zone = starts > 0 ? "y" : "z";
    metric = g_strdup_printf(
        "guavarock_evacuation_tasks{failure_domain=\"%s\"}", zone);
    change_evacuation(&r, 0, "POST", zone, 200);
    give_up_at = clock_now() + PLATFORM_WAIT_MS * NS_PER_MS;
    while (left != 0 && clock_now() < give_up_at) {
        g_usleep(50000);
        left = platform_metric(&r, 0, metric);
    }
    g_assert_cmpint(left, ==, 0);
    platform_await_fault_count(&r, "starts", 8 + (starts > 0 ? starts : 8));
    g_free(metric);
    platform_close(&r);
}

/* Guards against wrong status codes for invalid calls. */
static void
error_statuses(void)
{
    struct platform_rig r;
    char *config = platform_config(1);
    char *url;

    platform_open(&r, CONTROLS, 1, 1);
    url = platform_job_url(&r, 0, 900);
    g_assert_cmpint(platform_call(&r, "GET", url, "", NULL, 0), ==, 410);
    g_assert_cmpint(platform_call(&r, "POST", url, "{", NULL, 0), ==, 400);
    g_free(url);
    url =
        g_strdup_printf("http://127.0.7.20:%d/other/0000000000000001", r.port);
    g_assert_cmpint(platform_call(&r, "GET", url, "", NULL, 0), ==, 404);
    g_free(url);
    url = g_strdup_printf("http://127.0.7.12:%d/config", r.port);
    g_assert_cmpint(platform_call(&r, "PUT", url, config, NULL, 0), ==, 200);
    g_assert_cmpint(
        platform_call(&r, "PUT", url,
                      "{\"version\":1,\"routes\":[],\"services\":[]}", NULL,
                      0),
        ==, 409);
    g_assert_cmpint(platform_call(&r, "PUT", url, "{\"version\":2", NULL, 0),
                    ==, 400);
    g_free(url);
    url = g_strdup_printf("http://127.0.7.12:%d/instances/x", r.port);
    g_assert_cmpint(platform_call(&r, "PUT", url, "{\"state\":7}", NULL, 0),
                    ==, 400);
    g_free(url);
    g_free(config);
    platform_close(&r);
}

/* Guards against a job that runs although its cancelling was acknowledged,
 * because the submission arrived after it. */
static void
cancelled_before_submitted(void)
{
    enum {
        JOB = 1,
        BODY_BYTES = 4096,
    };
    struct platform_rig r;
    char *body = g_malloc0(BODY_BYTES);
    char *url;

    platform_open(&r, CONTROLS, 2, 1);
    url = platform_job_url(&r, 1, JOB);
    g_assert_cmpint(platform_call(&r, "DELETE", url, "", NULL, 0), ==, 410);
    g_assert_cmpint(platform_call(&r, "GET", url, "", NULL, 0), ==, 410);
    platform_submit(&r, JOB);
    g_usleep(1500000);
    g_assert_cmpint(platform_call(&r, "GET", url, "", body, BODY_BYTES), ==,
                    200);
    g_assert_nonnull(strstr(body, "cancelled"));
    g_assert_cmpint(platform_fault_count(&r, "starts"), ==, 0);
    g_free(url);
    g_free(body);
    platform_close(&r);
}

/* Returns the configuration with another name for each route. */
static char *
config_with_new_names(int version)
{
    char *config = platform_config(version);
    char **parts = g_strsplit(config, "\"routes\":[{\"name\":\"r\"", 2);
    char *renamed = g_strjoinv("\"routes\":[{\"name\":\"s\"", parts);

    g_assert_cmpuint(g_strv_length(parts), ==, 2);
    g_strfreev(parts);
    g_free(config);
    return renamed;
}

/* Guards against accepted jobs that are unknown at their address, and cannot
 * be cancelled, once a route of another name has replaced theirs. */
static void
route_replaced(void)
{
    enum {
        BODY_BYTES = 4096,
    };
    static const char long_job[] =
        "{\"taskSpec\":\"run_ms=60000\",\"steps\":[{\"count\":1,"
        "\"cpu\":500,\"memoryRequestMb\":64,\"estimatedMs\":60000}]}";
    struct platform_rig r;
    char *config = config_with_new_names(2);
    char *body = g_malloc0(BODY_BYTES);
    char *url;

    platform_open(&r, CONTROLS, 1, 1);
    platform_submit_body(&r, 1, long_job);
    url = platform_control_url(&r, 0, 0, "/config");
    g_assert_cmpint(platform_call(&r, "PUT", url, config, NULL, 0), ==, 200);
    g_free(url);
    url = platform_job_url(&r, 0, 1);
    g_assert_cmpint(platform_call(&r, "GET", url, "", body, BODY_BYTES), ==,
                    200);
    g_assert_cmpint(platform_call(&r, "DELETE", url, "", NULL, 0), ==, 200);
    g_assert_cmpint(platform_call(&r, "GET", url, "", body, BODY_BYTES), ==,
                    200);
    g_assert_nonnull(strstr(body, "cancelled"));
    g_free(url);
    g_free(body);
    g_free(config);
    platform_close(&r);
}

/* Guards against an entry node that drops calls in progress on SIGTERM. */
static void
entry_stops(void)
{
    struct platform_rig r;

    platform_open(&r, CONTROLS, 1, 1);
    platform_submit(&r, 1);
    proc_signal(r.entry[0], SIGTERM);
    platform_submit(&r, 2);
    g_assert_cmpint(proc_wait(r.entry[0], 8000), ==, 0);
    platform_start_entry(&r, 0);
    platform_await_completed(&r, 1);
    platform_await_completed(&r, 2);
    platform_close(&r);
}

/* Guards against a leader that calls all workers itself instead of through
 * relays, which are other VMs. */
static void
calls_relayed(void)
{
    struct platform_rig r;
    long starts = 0;
    long direct_calls = 0;

    platform_open(&r, CONTROLS, 1, 1);
    for (int job = 0; job < JOBS; job++) {
        platform_submit(&r, job);
    }
    for (int job = 0; job < JOBS; job++) {
        platform_await_completed(&r, job);
    }
    for (int i = 0; i < CONTROLS; i++) {
        long leading = platform_metric(&r, i, "guavarock_leading");

        g_assert_cmpint(leading, >=, 0);
        if (leading == 1) {
            starts =
                platform_metric(&r, i,
                                "guavarock_worker_calls_total{kind=\"start\","
                                "result=\"ok\"}");
            direct_calls = platform_metric(
                &r, i, "guavarock_upstream_attempts_total{result=\"ok\"}");
        }
    }
    g_assert_cmpint(starts, >=, JOBS * 4);
    g_assert_cmpint(direct_calls, >=, 0);
    g_assert_cmpint(direct_calls, <, starts / 4);
    platform_close(&r);
}

static void
signal_controls(const struct platform_rig *r, int number)
{
    for (int i = 0; i < CONTROLS; i++) {
        proc_signal(r->control[i], number);
    }
}

/* Guards against answers that leave the outcome open for jobs that no leader
 * has received: all control VMs stand still for about the idle timeout of
 * a session, and what is submitted after the first unanswered request has
 * certainly not run. */
static void
controls_paused(void)
{
    struct platform_rig r;
    char *read_url;
    char *url;

    platform_open(&r, CONTROLS, 1, 1);
    platform_submit(&r, 0);
    read_url = platform_job_url(&r, 0, 0);
    url = platform_job_url(&r, 0, 1);
    signal_controls(&r, SIGSTOP);
    /* The entry node answers this one without the leader, after 1.2 s. */
    g_assert_cmpint(platform_call(&r, "GET", read_url, "", NULL, 0), ==, 503);
    g_assert_cmpint(platform_call(&r, "POST", url, platform_job, NULL, 0), ==,
                    503);
    signal_controls(&r, SIGCONT);
    platform_await_completed(&r, 0);
    platform_submit(&r, 1);
    platform_await_completed(&r, 1);
    g_free(read_url);
    g_free(url);
    platform_close(&r);
}

/* Guards against jobs that are lost or make no progress, and tasks that run
 * twice, when VMs that relay worker calls are paused one after the other. */
static void
relays_paused(void)
{
    struct platform_rig r;

    platform_open(&r, CONTROLS, 1, 1);
    for (int i = 0; i < CONTROLS; i++) {
        platform_submit(&r, 2 * i);
        proc_signal(r.control[i], SIGSTOP);
        platform_submit(&r, 2 * i + 1);
        g_usleep(PAUSE_MS * 1000);
        proc_signal(r.control[i], SIGCONT);
        platform_await_completed(&r, 2 * i);
        platform_await_completed(&r, 2 * i + 1);
    }
    platform_close(&r);
}

/* Sends an announcement to control VM i and returns the status. */
static long
put_entry(struct platform_rig *r, int i, const char *id, const char *body)
{
    char *path = g_strdup_printf("/instances/%s", id);
    char *url = platform_control_url(r, i, 0, path);
    long status = platform_call(r, "PUT", url, body, NULL, 0);

    g_free(url);
    g_free(path);
    return status;
}

/* Returns the log of control VM i. Free with g_free(). */
static char *
read_log(const struct platform_rig *r, int i)
{
    char *path = g_strdup_printf("%s/c%d.log", r->dir, i);
    char *log = NULL;

    g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
    g_free(path);
    return log;
}

/* Counts the lines of the control VMs' logs that hold the text. */
static int
count_log_lines(const struct platform_rig *r, const char *text)
{
    int n = 0;

    for (int i = 0; i < CONTROLS; i++) {
        char *log = read_log(r, i);

        for (const char *at = log; (at = strstr(at, text)) != NULL; at++) {
            n++;
        }
        g_free(log);
    }
    return n;
}

static void
assert_all_run(const struct platform_rig *r)
{
    for (int i = 0; i < CONTROLS; i++) {
        g_assert_cmpint(proc_wait(r->control[i], 0), ==, PROC_RUNNING);
    }
    g_assert_cmpint(proc_wait(r->entry[0], 0), ==, PROC_RUNNING);
}

/* Guards against processes that end, or workers that are displaced or no
 * longer used, because of an entry that another writer left. */
static void
odd_entries_refused(void)
{
    struct platform_rig r;
    static const struct odd_entry no_born = {.name = "missing-born",
                                             .member = "born"};
    char *address;
    char *body;
    int accepted = 0;

    platform_open(&r, CONTROLS, 1, 1);
    run_jobs(&r, 0, 4);
    address = g_strdup_printf("127.0.7.30:%d", r.port + 1);
    for (size_t i = 0; i < odd_entry_count; i++) {
        body = odd_entry_body(&odd_entries[i], address, clock_wall_ms());
        long known = put_entry(&r, (int)i % CONTROLS, "i-30-0", body);
        long unknown = put_entry(&r, (int)i % CONTROLS, "odd", body);

        if (known / 100 != 4 || unknown / 100 != 4) {
            g_printerr("%s: %ld for a known worker, %ld for a new one\n",
                       odd_entries[i].name, known, unknown);
            accepted++;
        }
        g_free(body);
    }
    /* Taken for an announcement of an earlier process. */
    body = odd_entry_body(&no_born, address, 0);
    g_assert_cmpint(put_entry(&r, 0, "i-30-0", body), ==, 200);
    g_assert_cmpint(put_entry(&r, 1, "odd", body), ==, 200);
    g_free(body);
    assert_all_run(&r);
    run_jobs(&r, 4, 8);
    g_assert_cmpint(accepted, ==, 0);
    g_assert_cmpint(count_log_lines(&r, "worker=odd"), ==, 0);
    g_assert_cmpint(count_log_lines(&r, "outcome=lost"), ==, 0);
    g_assert_cmpint(count_log_lines(&r, "worker-lost"), ==, 0);
    for (int i = 0; i < CONTROLS; i++) {
        proc_kill(r.control[i]);
        platform_start_control(&r, i);
        run_jobs(&r, 12 + 2 * i, 2);
    }
    assert_all_run(&r);
    g_free(address);
    platform_close(&r);
}

/* Returns the start time with which the worker registered. */
static int64_t
read_born(const struct platform_rig *r, const char *id)
{
    char *key = g_strdup_printf("event=worker worker=%s ", id);
    int64_t born_ms = 0;

    for (int i = 0; i < CONTROLS && born_ms == 0; i++) {
        char *log = read_log(r, i);
        const char *line = strstr(log, key);

        if (line != NULL) {
            born_ms = g_ascii_strtoll(strstr(line, "born=") + strlen("born="),
                                      NULL, 10);
        }
        g_free(log);
    }
    g_free(key);
    g_assert_cmpint(born_ms, !=, 0);
    return born_ms;
}

/* Guards against a live worker that is displaced, or gets no more tasks,
 * because an entry names a service that is not configured. */
static void
unknown_service_refused(void)
{
    static const struct odd_entry entry = {
        .name = "unknown-service", .member = "service", .before = "\"other\""};
    struct platform_rig r;
    char *address;
    char *body;

    platform_open(&r, CONTROLS, 1, 1);
    run_jobs(&r, 0, 2);
    address = g_strdup_printf("127.0.7.30:%d", r.port + 1);
    body = odd_entry_body(&entry, address, clock_wall_ms());
    g_assert_cmpint(put_entry(&r, 0, "odd", body), ==, 400);
    g_assert_cmpint(put_entry(&r, 1, "i-30-0", body), ==, 400);
    g_free(body);
    body = odd_entry_body(&entry, address, read_born(&r, "i-30-0"));
    g_assert_cmpint(put_entry(&r, 2, "i-30-0", body), ==, 400);
    g_free(body);
    run_jobs(&r, 2, 4);
    g_assert_cmpint(count_log_lines(&r, "outcome=lost"), ==, 0);
    g_assert_cmpint(count_log_lines(&r, "outcome=changed"), ==, 0);
    g_free(address);
    platform_close(&r);
}

/* Answers the calls to an odd worker for a while, polls with body. */
static void
answer_polls(struct server *server, const char *body)
{
    int64_t until = clock_now() + ODD_ANSWERS_MS * NS_PER_MS;
    int polls = 0;

    while (clock_now() < until) {
        struct front_item *item = server_next_item(server, 20);

        if (item == NULL) {
            continue;
        }
        if (item->kind == FRONT_ITEM_CALL) {
            bool poll = str_eq(item->call->path, STR("/hold"));

            g_assert_false(str_eq(item->call->path, STR("/run-start")));
            server_respond(item->call, 200, poll ? body : "{}");
            polls += poll;
        }
        front_item_release(item);
    }
    g_assert_cmpint(polls, >, 0);
}

/* Guards against a leader that ends or stands still, or a worker that is used,
 * because of what a worker answers. */
static void
odd_answers_ignored(void)
{
    struct front_config config = server_config();
    struct platform_rig r;
    struct server server = server_start(&config, 64);
    char *address = g_strdup_printf("127.0.0.1:%u", server.port);
    char *url;

    platform_open(&r, CONTROLS, 1, 1);
    run_jobs(&r, 0, 2);
    url = platform_job_url(&r, 0, 0);
    for (size_t i = 0; i < odd_answer_count; i++) {
        int64_t born_ms = clock_wall_ms();
        char *entry = odd_entry_body(NULL, address, born_ms);
        char *body = odd_answer_body(&odd_answers[i], born_ms);

        g_assert_cmpint(put_entry(&r, 0, "odd", entry), ==, 200);
        g_test_message("%s", odd_answers[i].name);
        answer_polls(&server, body);
        g_assert_cmpint(platform_call(&r, "GET", url, "", NULL, 0), ==, 200);
        platform_submit(&r, 2 + (int)i);
        g_free(body);
        g_free(entry);
    }
    for (size_t i = 0; i < odd_answer_count; i++) {
        platform_await_completed(&r, 2 + (int)i);
    }
    assert_all_run(&r);
    g_free(url);
    g_free(address);
    platform_close(&r);
    server_wait_closed(&server, true);
    server_stop(&server);
}

/* Appends count runs of jobs that nobody submitted, from number first on. */
static char *
new_runs_body(int64_t born_ms, unsigned first, unsigned count)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "{\"clockMs\":1000,\"born\":%lld,"
                           "\"finished\":[],\"running\":[",
                           (long long)born_ms);
    for (unsigned i = 0; i < count; i++) {
        g_string_append_printf(text, "%s[\"%016x.0.0.0\",1,\"\",0,0]",
                               i == 0 ? "" : ",", first + i);
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

/* Guards against a leader whose memory grows with a worker that lists ever new
 * runs and refuses to stop them. */
static void
ever_new_runs_bounded(void)
{
    enum {
        RUNS_PER_POLL = 400,
        POLLS = 6,
        STRAY_RUNS_BOUND = 1000,
    };
    struct front_config config = server_config();
    struct platform_rig r;
    struct server server = server_start(&config, 64);
    char *address = g_strdup_printf("127.0.0.1:%u", server.port);
    int64_t born_ms = clock_wall_ms();
    char *entry = odd_entry_body(NULL, address, born_ms);
    int64_t give_up_at = clock_now() + PLATFORM_WAIT_MS * NS_PER_MS;
    unsigned polls = 0;
    long strays = 0;

    platform_open(&r, CONTROLS, 1, 1);
    run_jobs(&r, 0, 2);
    g_assert_cmpint(put_entry(&r, 0, "odd", entry), ==, 200);
    while (polls < POLLS && clock_now() < give_up_at) {
        struct front_item *item = server_next_item(&server, 20);

        if (item == NULL) {
            continue;
        }
        if (item->kind == FRONT_ITEM_CALL &&
            str_eq(item->call->path, STR("/hold"))) {
            char *body = new_runs_body(born_ms, 1 + polls * RUNS_PER_POLL,
                                       RUNS_PER_POLL);

            server_respond(item->call, 200, body);
            g_free(body);
            polls++;
        }
        else if (item->kind == FRONT_ITEM_CALL) {
            server_respond(item->call, 503, "{}");
        }
        front_item_release(item);
    }
    g_assert_cmpuint(polls, ==, POLLS);
    for (int i = 0; i < CONTROLS; i++) {
        long count = platform_metric(&r, i, "guavarock_stray_runs_total");

        g_assert_cmpint(count, >=, 0);
        strays += count;
    }
    g_assert_cmpint(strays, >=, RUNS_PER_POLL);
    g_assert_cmpint(strays, <=, STRAY_RUNS_BOUND);
    run_jobs(&r, 2, 4);
    g_free(entry);
    g_free(address);
    platform_close(&r);
    server_wait_closed(&server, true);
    server_stop(&server);
}

/* Submits a job whose tasks each take a whole worker, and returns how many
 * starts of it the paused control VM i has kept from the workers. */
static int
run_beside_paused_relay(struct platform_rig *r, int i, int job)
{
    static const char body[] =
        "{\"taskSpec\":\"cpu=4000 ticket=0\",\"steps\":[{\"count\":4,"
        "\"cpu\":4000,\"memoryRequestMb\":64,\"estimatedMs\":300}]}";
    int before = count_log_lines(r, "event=relay call=0 worker=");

    proc_signal(r->control[i], SIGSTOP);
    platform_submit_body(r, job, body);
    platform_await_completed(r, job);
    /* The relay may send the starts within their window when it goes on. */
    g_usleep(SEND_WINDOW_MS * 1000);
    return count_log_lines(r, "event=relay call=0 worker=") - before;
}

/* Guards against starts that a paused VM sends when it goes on, long after the
 * leader has counted on them. */
static void
paused_relay_sends_no_old_start(void)
{
    struct platform_rig r;
    int kept = 0;

    platform_open(&r, CONTROLS, 1, 1);
    r.queue = "/plain/";
    /* Each worker has one of the two followers as its relay. */
    for (int i = 0; i < CONTROLS; i++) {
        int starts;

        if (platform_metric(&r, i, "guavarock_leading") == 1) {
            continue;
        }
        kept += run_beside_paused_relay(&r, i, i);
        starts = platform_fault_count(&r, "starts");
        proc_signal(r.control[i], SIGCONT);
        g_usleep(RESUMED_MS * 1000);
        g_assert_cmpint(platform_fault_count(&r, "starts"), ==, starts);
    }
    g_assert_cmpint(kept, >, 0);
    platform_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/e2e/platform/leader-killed", leader_killed);
    g_test_add_func("/e2e/platform/worker-killed", worker_killed);
    g_test_add_func("/e2e/platform/evacuated", evacuated);
    g_test_add_func("/e2e/platform/evacuated-under-way", evacuated_under_way);
    g_test_add_func("/e2e/platform/evacuated-moved", evacuated_moved);
    g_test_add_func("/e2e/platform/relayed", calls_relayed);
    g_test_add_func("/e2e/platform/controls-paused", controls_paused);
    g_test_add_func("/e2e/platform/relays-paused", relays_paused);
    g_test_add_func("/e2e/platform/paused-relay-sends-no-old-start",
                    paused_relay_sends_no_old_start);
    g_test_add_func("/e2e/platform/refusals", error_statuses);
    g_test_add_func("/e2e/platform/route-replaced", route_replaced);
    g_test_add_func("/e2e/platform/cancelled-before-submitted",
                    cancelled_before_submitted);
    g_test_add_func("/e2e/platform/entry-stops", entry_stops);
    g_test_add_func("/e2e/platform/odd-entries", odd_entries_refused);
    g_test_add_func("/e2e/platform/unknown-service", unknown_service_refused);
    g_test_add_func("/e2e/platform/odd-answers", odd_answers_ignored);
    g_test_add_func("/e2e/platform/ever-new-runs", ever_new_runs_bounded);
    return g_test_run();
}
