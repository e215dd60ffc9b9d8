#include "platform_rig.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "http_client.h"
#include "proc.h"

/* Added to the rig's port. */
enum {
    PEER_PORT_OFFSET = 1,
    READY_PORT_OFFSET = 2,
};

enum {
    LEASE_MAX_MS = 4000,
};

const char platform_job[] =
    "{\"taskSpec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,"
    "\"memoryRequestMb\":64,\"estimatedMs\":300,\"gang\":true},"
    "{\"count\":2,\"cpu\":500,\"memoryRequestMb\":64,"
    "\"estimatedMs\":300,\"after\":[0]}]}";

static char *
control_ip(int i)
{
    return g_strdup_printf("127.0.7.%d", 11 + i);
}

/* Writes the settings of a control VM or an entry node and returns the path of
 * the file. Free with g_free(). */
static char *
write_settings(const struct platform_rig *r, const char *vm, const char *ip,
               bool control)
{
    char *path = g_strdup_printf("%s/%s.json", r->dir, vm);
    GString *text = g_string_new("{");

    g_string_append_printf(
        text,
        "\"vm\":\"%s\",\"failure_domain\":\"d\",\"peer_listen\":\"%s:%d\","
        "\"peer_port\":%d,\"seeds\":[",
        vm, ip, r->port + PEER_PORT_OFFSET, r->port + PEER_PORT_OFFSET);
    for (int i = 0; i < PLATFORM_SEEDS; i++) {
        char *seed = control_ip(i);

        g_string_append_printf(text, "%s{\"address\":\"%s:%d\"}",
                               i == 0 ? "" : ",", seed, r->port);
        g_free(seed);
    }
    g_string_append_printf(
        text,
        "],\"first_start\":true,\"cluster_secret\":\"secret-of-the-test\","
        "\"approval_address\":\"127.0.7.30:%d\",\"heartbeat_ms\":300,"
        "\"lease_max_ms\":%d,\"job_keep_s\":300,\"grace_s\":6,"
        "\"metrics_listen\":\"%s:%d\",",
        r->port, r->lease_max_ms, ip, r->port + PLATFORM_METRICS_PORT_OFFSET);
    if (control) {
        g_string_append_printf(
            text, "\"control_listen\":\"%s:%d\",\"data\":\"%s/%s\"}", ip,
            r->port, r->dir, vm);
    }
    else {
        g_string_append_printf(text,
                               "\"caller_listen\":\"%s:%d\","
                               "\"ready_listen\":\"%s:%d\"}",
                               ip, r->port, ip, r->port + READY_PORT_OFFSET);
    }
    g_file_set_contents(path, text->str, -1, NULL);
    g_string_free(text, TRUE);
    return path;
}

static pid_t
spawn_guavarockd(const struct platform_rig *r, const char *vm, const char *ip,
                 bool control)
{
    char *settings_path = write_settings(r, vm, ip, control);
    char *log_path = g_strdup_printf("%s/%s.log", r->dir, vm);
    bool faulty = control && r->faulty_disks;
    char *bin = g_build_filename(
        g_getenv("GV_BIN"), faulty ? "fakes/guavarockd_faulty" : "guavarockd",
        NULL);
    char *data = g_strdup_printf("%s/%s", r->dir, vm);
    char *argv[] = {bin, (char *)"--platform", NULL};
    pid_t pid;

    if (faulty) {
        g_setenv("GV_FAULT_DIR", data, TRUE);
    }

    g_setenv("GUAVAROCK_SETTINGS", settings_path, TRUE);
    pid = proc_spawn(log_path, argv);
    g_free(data);
    g_free(bin);
    g_free(log_path);
    g_free(settings_path);
    return pid;
}

void
platform_start_control(struct platform_rig *r, int i)
{
    char *ip = control_ip(i);
    char *vm = g_strdup_printf("c%d", i);

    r->control[i] = spawn_guavarockd(r, vm, ip, true);
    g_free(vm);
    g_free(ip);
}

void
platform_start_entry(struct platform_rig *r, int i)
{
    char *ip = g_strdup_printf("127.0.7.%d", 20 + i);
    char *vm = g_strdup_printf("e%d", i);

    r->entry[i] = spawn_guavarockd(r, vm, ip, false);
    g_free(vm);
    g_free(ip);
}

void
platform_start_workers(struct platform_rig *r, int i)
{
    char *bin = g_build_filename(g_getenv("GV_BIN"), "fakes",
                                 "platform_workers", NULL);
    char *address = g_strdup_printf("127.0.7.%d:%d", 30 + i, r->port);
    char *log = g_strdup_printf("%s/workers%d.log", r->dir, i);
    char *count = g_strdup_printf("%d", PLATFORM_WORKERS_PER_PROCESS);
    char *argv[4 + PLATFORM_CONTROLS_MAX] = {bin, address, count};

    for (int k = 0; k < r->controls; k++) {
        char *ip = control_ip(k);

        argv[3 + k] = g_strdup_printf("%s:%d", ip, r->port);
        g_free(ip);
    }
    r->workers[i] = proc_spawn(log, argv);
    for (int k = 0; k < r->controls; k++) {
        g_free(argv[3 + k]);
    }
    g_free(count);
    g_free(log);
    g_free(address);
    g_free(bin);
}

long
platform_call(struct platform_rig *r, const char *method, const char *url,
              const char *body, char *out, size_t out_size)
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

void
platform_await_status(struct platform_rig *r, const char *method,
                      const char *url, const char *body, long status)
{
    int64_t give_up_at = clock_now() + PLATFORM_WAIT_MS * NS_PER_MS;
    long last_status = 0;

    while (clock_now() < give_up_at) {
        last_status = platform_call(r, method, url, body, NULL, 0);
        if (last_status == status) {
            return;
        }
        g_usleep(100000);
    }
    g_assert_cmpint(last_status, ==, status);
}

char *
platform_config(int version)
{
    return g_strdup_printf(
        "{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":"
        "\"shop.example\",\"pathPrefix\":\"/orders/\",\"kind\":"
        "\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,"
        "\"priority\":0,\"service\":\"svc\",\"maxAttempts\":3,\"stretch\":3,"
        "\"advice\":{\"decisionMs\":1,\"perWorkerMs\":0.1,\"validityMs\":2000}"
        "},{\"name\":\"q\",\"host\":\"shop.example\",\"pathPrefix\":"
        "\"/plain/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
        "\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"svc\","
        "\"maxAttempts\":3,\"stretch\":3}],"
        "\"services\":[{\"name\":\"svc\"}],\"limits\":{},\"tenants\":[{"
        "\"name\":\"t\",\"apiKeys\":[\"key\"],\"weight\":1,"
        "\"upperLimit\":{\"cpu\":0}}]}",
        version);
}

char *
platform_control_url(const struct platform_rig *r, int i, int port_offset,
                     const char *path)
{
    char *ip = control_ip(i);
    char *url =
        g_strdup_printf("http://%s:%d%s", ip, r->port + port_offset, path);

    g_free(ip);
    return url;
}

long
platform_metric(struct platform_rig *r, int i, const char *name)
{
    enum {
        METRICS_BYTES = 65536,
    };
    char *url =
        platform_control_url(r, i, PLATFORM_METRICS_PORT_OFFSET, "/metrics");
    char *text = g_malloc0(METRICS_BYTES);
    char *line = g_strdup_printf("\n%s ", name);
    const char *at;
    long value = -1;

    if (platform_call(r, "GET", url, "", text, METRICS_BYTES) == 200) {
        at = strstr(text, line);
        value = at == NULL ? 0 : strtol(at + strlen(line), NULL, 10);
    }
    g_free(line);
    g_free(text);
    g_free(url);
    return value;
}

char *
platform_job_url(const struct platform_rig *r, int entry, int job)
{
    return g_strdup_printf("http://127.0.7.%d:%d%s%016x", 20 + entry, r->port,
                           r->queue, job + 1);
}

static void
open_rig(struct platform_rig *r, int controls, int entries,
         int worker_processes, bool faulty_disks, int lease_max_ms)
{
    char *config = platform_config(1);
    char *url;

    memset(r, 0, sizeof(*r));
    r->faulty_disks = faulty_disks;
    r->lease_max_ms = lease_max_ms;
    r->dir = g_dir_make_tmp("platform-XXXXXX", NULL);
    r->port = 20000 + (int)(getpid() % 4000) * 10;
    r->client = http_client_create();
    r->queue = "/orders/";
    r->controls = controls;
    r->entries = entries;
    r->worker_processes = worker_processes;
    for (int i = 0; i < controls; i++) {
        platform_start_control(r, i);
    }
    for (int i = 0; i < entries; i++) {
        platform_start_entry(r, i);
    }
    for (int i = 0; i < worker_processes; i++) {
        platform_start_workers(r, i);
    }
    url = platform_control_url(r, 0, 0, "/config");
    platform_await_status(r, "PUT", url, config, 200);
    g_free(url);
    g_free(config);
    for (int i = 0; i < entries; i++) {
        url = g_strdup_printf("http://127.0.7.%d:%d/", 20 + i,
                              r->port + READY_PORT_OFFSET);
        platform_await_status(r, "GET", url, "", 200);
        g_free(url);
    }
}

void
platform_open(struct platform_rig *r, int controls, int entries,
              int worker_processes)
{
    open_rig(r, controls, entries, worker_processes, false, LEASE_MAX_MS);
}

void
platform_open_leases(struct platform_rig *r, int controls, int entries,
                     int worker_processes, int lease_max_ms)
{
    open_rig(r, controls, entries, worker_processes, false, lease_max_ms);
}

void
platform_open_faulty(struct platform_rig *r, int controls, int entries,
                     int worker_processes)
{
    open_rig(r, controls, entries, worker_processes, true, LEASE_MAX_MS);
}

/* Prints the lines in which workers say that they were called wrongly, and
 * returns their number. */
static int
print_caller_faults(const char *log)
{
    char **lines = g_strsplit(log, "\n", -1);
    int count = 0;

    for (char **line = lines; *line != NULL; line++) {
        if (g_str_has_prefix(*line, "TWICE") ||
            g_str_has_prefix(*line, "LIMIT") ||
            g_str_has_prefix(*line, "DRAIN") ||
            g_str_has_prefix(*line, "UNASKED") ||
            g_str_has_prefix(*line, "EVACUATED")) {
            g_test_message("%s", *line);
            count++;
        }
    }
    g_strfreev(lines);
    return count;
}

void
platform_close(struct platform_rig *r)
{
    int faults = 0;

    for (int i = 0; i < PLATFORM_WORKER_PROCESSES_MAX; i++) {
        char *log = g_strdup_printf("%s/workers%d.log", r->dir, i);
        char *text = NULL;

        if (g_file_get_contents(log, &text, NULL, NULL)) {
            faults += print_caller_faults(text);
        }
        g_free(text);
        g_free(log);
    }
    proc_reset();
    http_client_destroy(r->client);
    g_free(r->dir);
    g_assert_cmpint(faults, ==, 0);
}

void
platform_submit(struct platform_rig *r, int job)
{
    platform_submit_body(r, job, platform_job);
}

void
platform_submit_body(struct platform_rig *r, int job, const char *body)
{
    char *url = platform_job_url(r, 0, job);

    platform_await_status(r, "POST", url, body, 200);
    g_free(url);
}

void
platform_await_completed(struct platform_rig *r, int job)
{
    int64_t give_up_at = clock_now() + PLATFORM_WAIT_MS * NS_PER_MS;
    char *url = platform_job_url(r, 0, job);
    char body[128] = "";

    while (clock_now() < give_up_at && strstr(body, "completed") == NULL) {
        long status = platform_call(r, "GET", url, "", body, sizeof(body));

        /* 410 says that the job is unknown, which an accepted one never is. */
        g_assert_cmpint(status, !=, 410);
        g_usleep(50000);
    }
    g_assert_nonnull(strstr(body, "completed"));
    g_free(url);
}

static char *
fault_url(const struct platform_rig *r, const char *name)
{
    return g_strdup_printf("http://127.0.7.30:%d/fault/%s", r->port, name);
}

void
platform_fault(struct platform_rig *r, const char *name, const char *body)
{
    char *url = fault_url(r, name);

    g_assert_cmpint(platform_call(r, "POST", url, body, NULL, 0), ==, 200);
    g_free(url);
}

int
platform_fault_count(struct platform_rig *r, const char *name)
{
    char *url = fault_url(r, "counts");
    char *member = g_strdup_printf("\"%s\":", name);
    char text[512];
    const char *at;
    int value;

    g_assert_cmpint(platform_call(r, "GET", url, "", text, sizeof(text)), ==,
                    200);
    at = strstr(text, member);
    g_assert_nonnull(at);
    value = (int)strtol(at + strlen(member), NULL, 10);
    g_free(member);
    g_free(url);
    return value;
}

void
platform_await_fault_count(struct platform_rig *r, const char *name, int count)
{
    int64_t give_up_at = clock_now() + PLATFORM_WAIT_MS * NS_PER_MS;
    int last_count = 0;

    while (clock_now() < give_up_at) {
        last_count = platform_fault_count(r, name);
        if (last_count >= count) {
            return;
        }
        g_usleep(10000);
    }
    g_assert_cmpint(last_count, >=, count);
}
