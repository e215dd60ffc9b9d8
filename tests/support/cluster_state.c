/* What the VMs of a cluster report, and its fakes. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "await.h"
#include "checker.h"
#include "cluster_api.h"
#include "proc.h"

enum {
    PROBE_MS = 600, /* more than test_e2e_ready.c looks at readiness for */
    FAKE_STOP_MS = 12000,
    WHOLE_MS = 30000,
    LEAVING_BOUND_MS = 1200,
};

/* ---- VMs ---- */

static bool
probe(const struct cluster *c, int vm, const char *path,
      struct http_answer *answer)
{
    char url[128];
    struct http_call call = {
        .method = "GET", .url = url, .timeout_ms = PROBE_MS};

    if (c->vms[vm].pid == 0) {
        *answer = (struct http_answer){0};
        return false;
    }
    snprintf(url, sizeof(url), "http://%s%s", c->vms[vm].http, path);
    http_client_call(c->client, &call, answer);
    return answer->complete && answer->status == 200;
}

bool
cluster_vm_ready(const struct cluster *c, int vm)
{
    struct http_answer answer;
    bool ready = probe(c, vm, "/v1/ready", &answer);

    http_answer_free(&answer);
    return ready;
}

void
cluster_await_ready(const struct cluster *c, int vm)
{
    AWAIT(cluster_vm_ready(c, vm));
}

bool
cluster_vm_leads(const struct cluster *c, int vm)
{
    struct http_answer answer;
    bool yes = probe(c, vm, "/metrics", &answer) &&
               strstr(answer.body.ptr, "\nguavarock_leading 1") != NULL;

    http_answer_free(&answer);
    return yes;
}

static int
look_for_leader(const struct cluster *c, int except)
{
    for (int i = 0; i < c->control; i++) {
        if (i != except && cluster_vm_leads(c, i)) {
            return i;
        }
    }
    return -1;
}

int
cluster_leader(const struct cluster *c, int except)
{
    int vm;

    AWAIT((vm = look_for_leader(c, except)) >= 0);
    return vm;
}

int
cluster_follower(const struct cluster *c)
{
    return (cluster_leader(c, -1) + 1) % c->control;
}

static bool
vm_whole(const json_t *vm, int64_t newest)
{
    const char *role = json_string_value(json_object_get(vm, "role"));

    return json_is_true(json_object_get(vm, "connected")) &&
           strcmp(role, "learner") != 0 &&
           api_number(vm, "config_version") == newest;
}

static bool
whole(const struct cluster *c)
{
    const struct api_call call = {
        "GET", "/v1/vms", c->operator_key, NULL, NULL, NULL, -1, 0};
    json_t *body;
    json_t *list;
    const json_t *vm;
    int64_t newest = 0;
    int good = 0;
    int control = 0;
    size_t i;

    api_call(c, &call, &body);
    list = json_object_get(body, "vms");
    json_array_foreach(list, i, vm)
    {
        int64_t version = api_number(vm, "config_version");
        newest = version > newest ? version : newest;
    }
    json_array_foreach(list, i, vm)
    {
        const char *role = json_string_value(json_object_get(vm, "role"));

        good += vm_whole(vm, newest);
        control += strcmp(role, "control") == 0 || strcmp(role, "leader") == 0;
    }
    json_decref(body);
    return good == c->count && control == c->control;
}

void
cluster_await_whole(const struct cluster *c)
{
    AWAIT_MS(whole(c), WHOLE_MS);
}

/* Renamed into place, so that it is never read half written. */
void
cluster_vm_fault(struct cluster *c, int vm, const char *lines)
{
    char path[CLUSTER_PATH_BYTES + 16];

    history_write(c->history,
                  "\"event\":\"fault\",\"kind\":\"%s\","
                  "\"vm\":\"%s\"",
                  lines == NULL ? "disk-good" : "disk-faulty",
                  c->vms[vm].name);
    snprintf(path, sizeof(path), "%s.fault", c->vms[vm].data);
    unlink(path);
    if (lines != NULL) {
        REQUIRE(g_file_set_contents(path, lines, -1, NULL));
    }
}

/* ---- Fakes ---- */

static int
fake_create(struct cluster *c, const char *id, bool is_worker, int entry,
            const char *const *options)
{
    struct cluster_fake *f = &c->fakes[c->fake_count];

    REQUIRE(c->fake_count < CLUSTER_FAKES_MAX);
    *f = (struct cluster_fake){.is_worker = is_worker, .entry = entry};
    snprintf(f->id, sizeof(f->id), "%s", id);
    f->port = is_worker ? 0 : cluster_port(c);
    for (int i = 0; options != NULL && options[i] != NULL; i++) {
        snprintf(f->text[i], sizeof(f->text[i]), "%s", options[i]);
    }
    cluster_fake_start(c, c->fake_count);
    return c->fake_count++;
}

int
cluster_worker(struct cluster *c, const char *id, const char *const *options)
{
    return fake_create(c, id, true, -1, options);
}

int
cluster_worker_at(struct cluster *c, const char *id, int vm)
{
    return fake_create(c, id, true, vm, NULL);
}

int
cluster_endpoint(struct cluster *c, const char *id, const char *const *options)
{
    return fake_create(c, id, false, -1, options);
}

/* Whether the fake has written its first event after that offset; it handles
 * signals by then. */
static bool
has_begun(const struct cluster *c, const struct cluster_fake *f, long offset)
{
    FILE *history = fopen(c->history_path, "re");
    char wanted[96];
    char line[4096];
    bool found = false;

    snprintf(wanted, sizeof(wanted), "\"event\":\"%s\",\"%s\":\"%s\"",
             f->is_worker ? "worker" : "endpoint",
             f->is_worker ? "worker" : "endpoint", f->id);
    fseek(history, offset, SEEK_SET);
    while (!found && fgets(line, sizeof(line), history) != NULL) {
        found = strstr(line, wanted) != NULL;
    }
    fclose(history);
    return found;
}

void
cluster_fake_start(struct cluster *c, int fake)
{
    struct stat history;
    struct cluster_fake *f = &c->fakes[fake];
    char program[CLUSTER_PATH_BYTES + 16];
    char log[CLUSTER_PATH_BYTES];
    char port[16];
    char urls[CLUSTER_VMS_MAX][48];
    char *argv[64];
    int n = 0;

    snprintf(program, sizeof(program), "%s/fakes/%s", c->bin,
             f->is_worker ? "worker" : "endpoint");
    snprintf(log, sizeof(log), "%s/%s.log", c->dir, f->id);
    snprintf(port, sizeof(port), "%d", f->port);
    argv[n++] = program;
    argv[n++] = "--id";
    argv[n++] = f->id;
    argv[n++] = "--history";
    argv[n++] = c->history_path;
    argv[n++] = "--key";
    argv[n++] = f->is_worker ? c->worker.key : c->endpoint.key;
    for (int i = 0; i < (f->entry < 0 ? c->count : 1); i++) {
        int vm = f->entry < 0 ? (i + fake) % c->count : f->entry;

        snprintf(urls[i], sizeof(urls[i]), "http://%s", c->vms[vm].http);
        argv[n++] = "--entry";
        argv[n++] = urls[i];
    }
    if (!f->is_worker) {
        argv[n++] = "--ip";
        argv[n++] = c->ip;
        argv[n++] = "--port";
        argv[n++] = port;
    }
    for (int i = 0; i < 8 && f->text[i][0] != '\0'; i++) {
        argv[n++] = f->text[i];
    }
    argv[n] = NULL;
    REQUIRE(stat(c->history_path, &history) == 0);
    f->pid = proc_spawn(log, argv);
    AWAIT(has_begun(c, f, history.st_size));
}

static void
write_fake_event(const struct cluster *c, int fake, const char *event)
{
    const struct cluster_fake *f = &c->fakes[fake];

    history_write(c->history, "\"event\":\"%s\",\"%s\":\"%s\"", event,
                  f->is_worker ? "worker" : "endpoint", f->id);
}

void
cluster_fake_kill(struct cluster *c, int fake)
{
    proc_kill(c->fakes[fake].pid);
    c->fakes[fake].pid = 0;
    write_fake_event(c, fake, "killed");
}

void
cluster_fake_stop(struct cluster *c, int fake)
{
    int status;

    proc_signal(c->fakes[fake].pid, SIGTERM);
    status = proc_wait(c->fakes[fake].pid, FAKE_STOP_MS);
    if (status != 0) {
        fprintf(stderr, "%s ended with %d\n", c->fakes[fake].id, status);
    }
    REQUIRE(status == 0);
    c->fakes[fake].pid = 0;
}

void
cluster_fake_freeze(struct cluster *c, int fake, bool frozen)
{
    write_fake_event(c, fake, frozen ? "frozen" : "continued");
    proc_signal(c->fakes[fake].pid, frozen ? SIGSTOP : SIGCONT);
}

static bool
status_shows(const struct cluster *c, const char *field, int count)
{
    json_t *status = api_status(c);
    bool yes = api_number(status, field) == count;

    json_decref(status);
    return yes;
}

void
cluster_await_workers(const struct cluster *c, int count)
{
    AWAIT(status_shows(c, "workers", count));
}

void
cluster_await_endpoints(const struct cluster *c, int count)
{
    AWAIT(status_shows(c, "endpoints", count));
}

int
cluster_violations(const struct cluster *c, struct buf *report)
{
    const struct checker_options options = {.leaving_ns =
                                                LEAVING_BOUND_MS * NS_PER_MS};

    return checker_run(c->history_path, &options, report);
}

void
cluster_check(struct cluster *c)
{
    struct buf report = {0};
    int violations = cluster_violations(c, &report);

    if (violations != 0) {
        fprintf(stderr, "history checker: %d violations\n%s", violations,
                report.ptr);
        abort();
    }
    buf_free(&report);
}
