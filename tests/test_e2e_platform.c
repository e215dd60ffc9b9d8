#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "http_client.h"
#include "proc.h"

/*
 * The whole path through platform/ on loopback: three control VMs, an entry,
 * workers, an approval service and an operator.
 */

enum {
    CONTROLS = 3,
    WORKERS = 4,
    JOBS = 24,
    WAIT_MS = 30000,
    METRICS_PORT = 3, /* after the rig's first */
    PAUSE_MS = 2500,  /* longer than a session's idle timeout */
};

struct rig {
    char *dir;
    char *minions_log;
    int port; /* the first of those that this test uses */
    pid_t control[CONTROLS];
    pid_t entry;
    pid_t minions;
    pid_t others; /* a second process of workers, or 0 */
    struct http_client *client;
};

static char *
control_ip(int i)
{
    return g_strdup_printf("127.0.7.%d", 11 + i);
}

static char *
write_settings(const struct rig *r, const char *vm, const char *ip,
               bool control)
{
    char *file = g_strdup_printf("%s/%s.json", r->dir, vm);
    GString *text = g_string_new("{");

    g_string_append_printf(
        text,
        "\"vm\":\"%s\",\"failure_domain\":\"d\",\"peer_listen\":\"%s:%d\","
        "\"peer_port\":%d,\"seeds\":[",
        vm, ip, r->port + 1, r->port + 1);
    for (int i = 0; i < CONTROLS; i++) {
        char *seed = control_ip(i);

        g_string_append_printf(text, "%s{\"address\":\"%s:%d\"}",
                               i == 0 ? "" : ",", seed, r->port);
        g_free(seed);
    }
    g_string_append_printf(
        text,
        "],\"first_start\":true,\"cluster_secret\":\"secret-of-the-test\","
        "\"approval_address\":\"127.0.7.30:%d\",\"heartbeat_ms\":300,"
        "\"lease_max_ms\":4000,\"job_keep_s\":60,\"grace_s\":6,"
        "\"metrics_listen\":\"%s:%d\",",
        r->port, ip, r->port + METRICS_PORT);
    if (control) {
        g_string_append_printf(
            text, "\"control_listen\":\"%s:%d\",\"data\":\"%s/%s\"}", ip,
            r->port, r->dir, vm);
    }
    else {
        g_string_append_printf(text,
                               "\"caller_listen\":\"%s:%d\","
                               "\"ready_listen\":\"%s:%d\"}",
                               ip, r->port, ip, r->port + 2);
    }
    g_file_set_contents(file, text->str, -1, NULL);
    g_string_free(text, TRUE);
    return file;
}

static pid_t
spawn(const struct rig *r, const char *vm, const char *ip, bool control)
{
    char *file = write_settings(r, vm, ip, control);
    char *log = g_strdup_printf("%s/%s.log", r->dir, vm);
    char *bin = g_build_filename(g_getenv("GV_BIN"), "guavarockd", NULL);
    char *argv[] = {bin, (char *)"--platform", NULL};
    pid_t pid;

    g_setenv("GUAVAROCK_SETTINGS", file, TRUE);
    pid = proc_spawn(log, argv);
    g_free(bin);
    g_free(log);
    g_free(file);
    return pid;
}

static pid_t
spawn_control(const struct rig *r, int i)
{
    char *ip = control_ip(i);
    char *vm = g_strdup_printf("c%d", i);
    pid_t pid = spawn(r, vm, ip, true);

    g_free(vm);
    g_free(ip);
    return pid;
}

static pid_t
spawn_minions(struct rig *r, const char *ip, const char *name)
{
    char *bin = g_build_filename(g_getenv("GV_BIN"), "fakes", "minions", NULL);
    char *address = g_strdup_printf("%s:%d", ip, r->port);
    char *log = g_strdup_printf("%s/%s.log", r->dir, name);
    char *count = g_strdup_printf("%d", WORKERS);
    char *argv[4 + CONTROLS] = {bin, address, count};
    pid_t pid;

    for (int i = 0; i < CONTROLS; i++) {
        char *control = control_ip(i);

        argv[3 + i] = g_strdup_printf("%s:%d", control, r->port);
        g_free(control);
    }
    pid = proc_spawn(log, argv);
    g_free(log);
    for (int i = 0; i < CONTROLS; i++) {
        g_free(argv[3 + i]);
    }
    g_free(count);
    g_free(address);
    g_free(bin);
    return pid;
}

/* Returns the status, 0 without a whole answer; copies the body. */
static long
call(struct rig *r, const char *method, const char *url, const char *body,
     char *out, size_t out_size)
{
    const char *const headers[] = {"X-Key: key", "Host: shop.example", NULL};
    struct http_call c = {.method = method,
                          .url = url,
                          .headers = headers,
                          .body = str_of(body),
                          .timeout_ms = 3500};
    struct http_answer answer = {0};
    long status;

    http_client_call(r->client, &c, &answer);
    status = answer.complete ? answer.status : 0;
    if (out != NULL) {
        g_strlcpy(out, answer.body.ptr == NULL ? "" : answer.body.ptr,
                  out_size);
    }
    http_answer_free(&answer);
    return status;
}

static void
await_status(struct rig *r, const char *method, const char *url,
             const char *body, long status)
{
    int64_t until = clock_now() + WAIT_MS * NS_PER_MS;
    long got = 0;

    while (clock_now() < until) {
        got = call(r, method, url, body, NULL, 0);
        if (got == status) {
            return;
        }
        g_usleep(100000);
    }
    g_assert_cmpint(got, ==, status);
}

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"shop.example\","
    "\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":"
    "3000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"svc\","
    "\"maxAttempts\":3,\"stretch\":3,\"advice\":{\"decisionMs\":1,"
    "\"perWorkerMs\":0.1,\"validityMs\":2000}}],\"services\":[{\"name\":"
    "\"svc\"}],\"limits\":{},\"tenants\":[{\"name\":\"t\",\"apiKeys\":"
    "[\"key\"],\"weight\":1,\"upperLimit\":{\"cpu\":0}}]}";

static void
set_up(struct rig *r)
{
    char *url;

    memset(r, 0, sizeof(*r));
    r->dir = g_dir_make_tmp("platform-XXXXXX", NULL);
    r->port = 20000 + (int)(getpid() % 4000) * 10;
    r->client = http_client_create();
    for (int i = 0; i < CONTROLS; i++) {
        r->control[i] = spawn_control(r, i);
    }
    r->entry = spawn(r, "e0", "127.0.7.20", false);
    r->minions_log = g_strdup_printf("%s/minions.log", r->dir);
    r->minions = spawn_minions(r, "127.0.7.30", "minions");
    url = g_strdup_printf("http://127.0.7.11:%d/config", r->port);
    await_status(r, "PUT", url, config, 200);
    g_free(url);
    url = g_strdup_printf("http://127.0.7.20:%d/", r->port + 2);
    await_status(r, "GET", url, "", 200);
    g_free(url);
}

static void
tear_down(struct rig *r)
{
    char *text = NULL;

    g_file_get_contents(r->minions_log, &text, NULL, NULL);
    g_assert_null(strstr(text, "TWICE"));
    g_free(text);
    proc_reset();
    http_client_destroy(r->client);
    g_free(r->minions_log);
    g_free(r->dir);
}

static char *
job_url(const struct rig *r, int job)
{
    return g_strdup_printf("http://127.0.7.20:%d/orders/%016x", r->port,
                           job + 1);
}

static void
submit(struct rig *r, int job)
{
    char *url = job_url(r, job);

    await_status(r, "POST", url,
                 "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,"
                 "\"memoryRequestMb\":64,\"estimatedMs\":300,\"gang\":true},"
                 "{\"count\":2,\"cpu\":500,\"memoryRequestMb\":64,"
                 "\"estimatedMs\":300,\"after\":[0]}]}",
                 200);
    g_free(url);
}

static void
await_completed(struct rig *r, int job)
{
    int64_t until = clock_now() + WAIT_MS * NS_PER_MS;
    char *url = job_url(r, job);
    char body[128] = "";

    while (clock_now() < until && strstr(body, "completed") == NULL) {
        long status = call(r, "GET", url, "", body, sizeof(body));

        /* An accepted job is never unknown. */
        g_assert_cmpint(status, !=, 410);
        g_usleep(50000);
    }
    g_assert_nonnull(strstr(body, "completed"));
    g_free(url);
}

/* Guards against work that is lost or run twice when control VMs are killed
 * one after the other, the leader among them, and started again. */
static void
leader_killed(void)
{
    struct rig r;

    set_up(&r);
    for (int job = 0; job < JOBS; job++) {
        submit(&r, job);
        if (job % 8 == 4) {
            int victim = job / 8;

            proc_kill(r.control[victim]);
            submit(&r, JOBS + job);
            r.control[victim] = spawn_control(&r, victim);
        }
    }
    for (int job = 0; job < JOBS; job++) {
        await_completed(&r, job);
        if (job % 8 == 4) {
            await_completed(&r, JOBS + job);
        }
    }
    tear_down(&r);
}

/* Guards against tasks that wait for ever on a worker that is gone: calls
 * that it did not answer kept its lease alive. */
static void
worker_killed(void)
{
    struct rig r;

    set_up(&r);
    r.others = spawn_minions(&r, "127.0.7.31", "others");
    g_usleep(1500000);
    for (int job = 0; job < JOBS; job++) {
        submit(&r, job);
    }
    proc_kill(r.others);
    for (int job = 0; job < JOBS; job++) {
        await_completed(&r, job);
    }
    tear_down(&r);
}

/* Guards against answers that do not fit the call. */
static void
refusals(void)
{
    struct rig r;
    char *url;

    set_up(&r);
    url = job_url(&r, 900);
    g_assert_cmpint(call(&r, "GET", url, "", NULL, 0), ==, 410);
    g_assert_cmpint(call(&r, "POST", url, "{", NULL, 0), ==, 400);
    g_free(url);
    url =
        g_strdup_printf("http://127.0.7.20:%d/other/0000000000000001", r.port);
    g_assert_cmpint(call(&r, "GET", url, "", NULL, 0), ==, 404);
    g_free(url);
    url = g_strdup_printf("http://127.0.7.12:%d/config", r.port);
    g_assert_cmpint(call(&r, "PUT", url, config, NULL, 0), ==, 200);
    g_assert_cmpint(call(&r, "PUT", url,
                         "{\"version\":1,\"routes\":[],\"services\":[]}", NULL,
                         0),
                    ==, 409);
    g_assert_cmpint(call(&r, "PUT", url, "{\"version\":2", NULL, 0), ==, 400);
    g_free(url);
    url = g_strdup_printf("http://127.0.7.12:%d/instances/x", r.port);
    g_assert_cmpint(call(&r, "PUT", url, "{\"state\":7}", NULL, 0), ==, 400);
    g_free(url);
    tear_down(&r);
}

/* Guards against an entry that cuts calls off when it is stopped. */
static void
entry_stops(void)
{
    struct rig r;

    set_up(&r);
    submit(&r, 1);
    proc_signal(r.entry, SIGTERM);
    submit(&r, 2);
    g_assert_cmpint(proc_wait(r.entry, 8000), ==, 0);
    r.entry = spawn(&r, "e0", "127.0.7.20", false);
    await_completed(&r, 1);
    await_completed(&r, 2);
    tear_down(&r);
}

/* A metric of a control VM, 0 if it is not there. */
static long
metric(struct rig *r, int vm, const char *name)
{
    char *ip = control_ip(vm);
    char *url =
        g_strdup_printf("http://%s:%d/metrics", ip, r->port + METRICS_PORT);
    char *text = g_malloc(65536);
    char *line = g_strdup_printf("\n%s ", name);
    const char *at;
    long value = 0;

    g_assert_cmpint(call(r, "GET", url, "", text, 65536), ==, 200);
    at = strstr(text, line);
    if (at != NULL) {
        value = strtol(at + strlen(line), NULL, 10);
    }
    g_free(line);
    g_free(text);
    g_free(url);
    g_free(ip);
    return value;
}

/* Guards against a leader that calls all workers itself: VMs in the workers'
 * failure domain do it, or any that can be reached. */
static void
relayed(void)
{
    struct rig r;
    long starts = 0;
    long own = 0;

    set_up(&r);
    for (int job = 0; job < JOBS; job++) {
        submit(&r, job);
    }
    for (int job = 0; job < JOBS; job++) {
        await_completed(&r, job);
    }
    for (int i = 0; i < CONTROLS; i++) {
        if (metric(&r, i, "guavarock_leading") == 1) {
            starts = metric(&r, i,
                            "guavarock_worker_calls_total{kind=\"start\","
                            "result=\"ok\"}");
            own = metric(&r, i,
                         "guavarock_upstream_attempts_total{result=\"ok\"}");
        }
    }
    g_assert_cmpint(starts, >=, JOBS * 4);
    g_assert_cmpint(own, <, starts / 4);
    tear_down(&r);
}

/* Guards against work that is lost, run twice or stands still when the VMs
 * that call the workers stop answering for a while, one after the other. */
static void
relays_paused(void)
{
    struct rig r;

    set_up(&r);
    for (int i = 0; i < CONTROLS; i++) {
        submit(&r, 2 * i);
        proc_signal(r.control[i], SIGSTOP);
        submit(&r, 2 * i + 1);
        g_usleep(PAUSE_MS * 1000);
        proc_signal(r.control[i], SIGCONT);
        await_completed(&r, 2 * i);
        await_completed(&r, 2 * i + 1);
    }
    tear_down(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/e2e/platform/leader-killed", leader_killed);
    g_test_add_func("/e2e/platform/worker-killed", worker_killed);
    g_test_add_func("/e2e/platform/relayed", relayed);
    g_test_add_func("/e2e/platform/relays-paused", relays_paused);
    g_test_add_func("/e2e/platform/refusals", refusals);
    g_test_add_func("/e2e/platform/entry-stops", entry_stops);
    return g_test_run();
}
