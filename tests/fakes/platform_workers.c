/*
 * A fake of the workers and the approval service of the users' platform that
 * implements their side of the protocol: several workers in one process, each
 * at an address of its own, that announce themselves to the control VMs.
 *
 *     platform_workers APPROVAL_IP:PORT WORKERS CONTROL_IP:PORT...
 *
 * Worker N (from 1) listens on the approval port + N. Each task runs for
 * RUN_MS. The start of a task that is running or has ended "done" on any
 * worker of the process prints a line with "TWICE" to standard output, on
 * which the tests fail.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "front.h"
#include "http_client.h"
#include "map.h"
#include "mem.h"

enum {
    RUN_MS = 300,
    HEARTBEAT_MS = 300, /* of each worker */
    LEASE_MAX_MS = 4000,
    WORKERS_MAX = 16,
    RUNS_MAX = 4096,
    CONTROLS_MAX = 5,
};

enum run_state {
    RUN_ACTIVE,
    RUN_DONE,
    RUN_STOPPED,
    RUN_LEASE_EXPIRED,
};

static const char *const run_end_names[] = {"", "done", "stopped", "lapsed"};

struct run {
    char task[80];
    json_int_t run;
    enum run_state state;
    int64_t ends_ms; /* when it will be done, on the worker's clock */
    uint64_t number; /* sequence number of its end; 0: none to report */
};

struct worker {
    char id[32];
    char address[64];
    struct front *front;
    struct ring *ring;
    struct run runs[RUNS_MAX];
    size_t run_count;
    uint64_t last_end;       /* number of the last end */
    uint64_t last_seen;      /* number of the last end the leader has seen */
    json_int_t token;        /* highest fencing token of a call */
    int64_t lease_end_ms;    /* on the worker's clock */
    struct front_call *poll; /* the open long poll, or NULL */
    int64_t poll_until_ms;
    uint64_t sequence; /* of the last announcement */
};

static struct worker workers[WORKERS_MAX];
static size_t worker_count;
static struct map *done_tasks; /* tasks that have ended "done" */
static int64_t started_wall_ms;

static int64_t
now_ms(void)
{
    return clock_now() / NS_PER_MS;
}

static void
send_response(struct front_call *call, int status, json_t *body)
{
    struct front_response response = {.status = status};
    char *text = json_dumps(body, JSON_COMPACT);

    buf_append(&response.body, text, strlen(text));
    free(text);
    json_decref(body);
    front_respond(call, &response);
}

static json_t *
encode_runs(struct worker *w)
{
    json_t *running = json_array();
    json_t *finished = json_array();

    for (size_t i = 0; i < w->run_count; i++) {
        struct run *r = &w->runs[i];

        if (r->state == RUN_ACTIVE) {
            json_array_append_new(
                running, json_pack("[s,I,s,i,i]", r->task, r->run, "", 50, 0));
        }
        else if (r->number > w->last_seen) {
            json_array_append_new(
                finished,
                json_pack("[I,s,I,s,s]", (json_int_t)r->number, r->task,
                          r->run, run_end_names[r->state], ""));
        }
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "clockMs", (json_int_t)now_ms(),
                     "born", (json_int_t)started_wall_ms, "running", running,
                     "finished", finished);
}

static bool
has_unreported_ends(const struct worker *w)
{
    return w->last_end > w->last_seen;
}

static void
end_run(struct worker *w, struct run *r, enum run_state state)
{
    r->state = state;
    r->number = ++w->last_end;
    if (state == RUN_DONE) {
        map_put(done_tasks, str_of(r->task), w);
    }
}

static void
update_runs(struct worker *w)
{
    int64_t now = now_ms();

    for (size_t i = 0; i < w->run_count; i++) {
        struct run *r = &w->runs[i];

        if (r->state != RUN_ACTIVE) {
            continue;
        }
        if (now >= r->ends_ms) {
            end_run(w, r, RUN_DONE);
        }
        else if (now >= w->lease_end_ms) {
            end_run(w, r, RUN_LEASE_EXPIRED);
        }
    }
    if (w->poll != NULL &&
        (has_unreported_ends(w) || now >= w->poll_until_ms)) {
        send_response(w->poll, 200, encode_runs(w));
        w->poll = NULL;
    }
}

static struct run *
find_run(struct worker *w, const char *task)
{
    for (size_t i = w->run_count; i-- > 0;) {
        if (strcmp(w->runs[i].task, task) == 0) {
            return &w->runs[i];
        }
    }
    return NULL;
}

static void
extend_lease(struct worker *w, const json_t *body)
{
    json_int_t lease_until_ms =
        json_integer_value(json_object_get(body, "deadlineMs"));

    if (lease_until_ms > now_ms() + LEASE_MAX_MS) {
        lease_until_ms = now_ms() + LEASE_MAX_MS;
    }
    if (lease_until_ms > w->lease_end_ms) {
        w->lease_end_ms = lease_until_ms;
    }
}

static void
refuse(struct front_call *call, const char *reason)
{
    send_response(call, 409,
                  json_pack("{s:I,s:s}", "clockMs", (json_int_t)now_ms(),
                            "reason", reason));
}

static void
report_duplicate_run(const char *task)
{
    bool running = false;

    for (size_t i = 0; i < worker_count; i++) {
        struct run *r = find_run(&workers[i], task);

        running = running || (r != NULL && r->state == RUN_ACTIVE);
    }
    if (running || map_get(done_tasks, str_of(task)) != NULL) {
        printf("TWICE %s\n", task);
        fflush(stdout);
    }
}

static void
handle_start(struct worker *w, struct front_call *call, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    json_int_t run = json_integer_value(json_object_get(body, "run"));
    struct run *r = find_run(w, task);

    if (json_integer_value(json_object_get(body, "deadlineMs")) <= now_ms()) {
        refuse(call, "late");
        return;
    }
    if (r != NULL && run <= r->run) {
        if (r->state == RUN_ACTIVE && run == r->run) {
            send_response(call, 200,
                          json_pack("{s:I}", "clockMs", (json_int_t)now_ms()));
            return;
        }
        refuse(call, "old");
        return;
    }
    if (json_object_get(body, "ticket") == NULL) {
        refuse(call, "ticket");
        return;
    }
    report_duplicate_run(task);
    extend_lease(w, body);
    if (w->run_count < RUNS_MAX) {
        r = &w->runs[w->run_count++];
        snprintf(r->task, sizeof(r->task), "%s", task);
        r->run = run;
        r->state = RUN_ACTIVE;
        r->ends_ms = now_ms() + RUN_MS;
    }
    send_response(call, 200,
                  json_pack("{s:I}", "clockMs", (json_int_t)now_ms()));
}

static void
handle_stop(struct worker *w, struct front_call *call, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    struct run *r = find_run(w, task);

    if (r != NULL && r->state == RUN_ACTIVE) {
        end_run(w, r, RUN_STOPPED);
    }
    else if (r == NULL && w->run_count < RUNS_MAX) {
        r = &w->runs[w->run_count++];
        snprintf(r->task, sizeof(r->task), "%s", task);
        r->run = json_integer_value(json_object_get(body, "run"));
        r->state = RUN_STOPPED;
    }
    send_response(call, 200,
                  json_pack("{s:I}", "clockMs", (json_int_t)now_ms()));
}

static void
handle_poll(struct worker *w, struct front_call *call, const json_t *body)
{
    json_int_t seen = json_integer_value(json_object_get(body, "lastSeen"));

    extend_lease(w, body);
    if ((uint64_t)seen > w->last_seen) {
        w->last_seen = (uint64_t)seen;
    }
    if (w->poll != NULL) {
        send_response(w->poll, 200, encode_runs(w));
    }
    w->poll = call;
    w->poll_until_ms =
        now_ms() + json_integer_value(json_object_get(body, "waitMs"));
}

static void
handle_worker_call(struct worker *w, struct front_call *call)
{
    json_t *body = json_loadb(call->body.ptr == NULL ? "" : call->body.ptr,
                              call->body.len, 0, NULL);
    json_int_t token =
        json_integer_value(json_object_get(body, "fencingToken"));

    if (body == NULL) {
        send_response(call, 400, json_object());
        return;
    }
    if (token < w->token) {
        refuse(call, "fence");
    }
    else {
        w->token = token;
        if (str_eq(call->path, STR("/run-start"))) {
            handle_start(w, call, body);
        }
        else if (str_eq(call->path, STR("/run-stop"))) {
            handle_stop(w, call, body);
        }
        else {
            handle_poll(w, call, body);
        }
    }
    json_decref(body);
}

/* Approves every second worker of the call, starting with the first. */
static void
handle_approval_call(struct front_call *call)
{
    json_t *body = json_loadb(call->body.ptr == NULL ? "" : call->body.ptr,
                              call->body.len, 0, NULL);
    json_t *rows = json_array();
    const json_t *id;
    size_t i;

    json_array_foreach(json_object_get(body, "workers"), i, id)
    {
        if (i % 2 == 0) {
            json_array_append_new(
                rows, json_pack("[s,s]", json_string_value(id), "ticket"));
        }
    }
    json_decref(body);
    send_response(call, 200, json_pack("{s:o}", "approved", rows));
}

static struct front *
listen_on(const char *ip, int port, struct ring **ring)
{
    struct front_config config;
    struct sockaddr_in *address = (struct sockaddr_in *)&config.address;

    front_config_default(&config);
    config.threads = 1;
    memset(&config.address, 0, sizeof(config.address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &address->sin_addr);
    *ring = ring_create(1024);
    return front_create(&config, *ring);
}

static void
send_heartbeat(struct worker *w, struct http_client *client, char **control,
               int count)
{
    static int first_control;
    char url[128];
    char *body;
    json_t *announcement = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "svc", "address", w->address, "zone", "z", "version", "v1",
        "slots", 8, "state", "ready", "capacity", "cpu", 4000,
        "memoryRequestMb", 8192, "gpu", 0, "labels", "a", "r1", "clockMs",
        (json_int_t)now_ms(), "born", (json_int_t)started_wall_ms, "sequence",
        (json_int_t)++w->sequence);

    body = json_dumps(announcement, JSON_COMPACT);
    for (int i = 0; i < count; i++) {
        struct http_call call = {.method = "PUT",
                                 .url = url,
                                 .body = str_of(body),
                                 .timeout_ms = 400};
        struct http_answer answer = {0};
        bool ok;

        snprintf(url, sizeof(url), "http://%s/instances/%s",
                 control[(first_control + i) % count], w->id);
        http_client_call(client, &call, &answer);
        ok = answer.complete && answer.status == 200;
        http_answer_free(&answer);
        if (ok) {
            break;
        }
        first_control++;
    }
    free(body);
    json_decref(announcement);
}

static void
handle_ring(struct ring *ring, struct worker *w)
{
    struct front_item *item;

    ring_clear(ring);
    while ((item = ring_pop(ring)) != NULL) {
        if (item->kind == FRONT_ITEM_CALL) {
            if (w != NULL) {
                handle_worker_call(w, item->call);
            }
            else {
                handle_approval_call(item->call);
            }
        }
        else if (w != NULL && w->poll == item->call) {
            send_response(w->poll, 200, encode_runs(w));
            w->poll = NULL;
        }
        front_item_release(item);
    }
}

int
main(int argc, char **argv)
{
    struct http_client *client = http_client_create();
    struct ring *approvals;
    char ip[32];
    int port;
    int64_t heartbeat_due = 0;

    if (argc < 4 || sscanf(argv[1], "%31[^:]:%d", ip, &port) != 2) {
        fprintf(stderr, "usage: platform_workers IP:PORT N ADDR...\n");
        return 2;
    }
    done_tasks = map_create();
    started_wall_ms = clock_wall_ms();
    worker_count = (size_t)atoi(argv[2]);
    if (worker_count > WORKERS_MAX ||
        listen_on(ip, port, &approvals) == NULL) {
        return 1;
    }
    for (size_t i = 0; i < worker_count; i++) {
        struct worker *w = &workers[i];

        snprintf(w->id, sizeof(w->id), "i-%s-%d", strrchr(ip, '.') + 1,
                 (int)i);
        snprintf(w->address, sizeof(w->address), "%s:%d", ip,
                 port + 1 + (int)i);
        w->front = listen_on(ip, port + 1 + (int)i, &w->ring);
        if (w->front == NULL) {
            return 1;
        }
    }
    for (;;) {
        usleep(5000);
        handle_ring(approvals, NULL);
        for (size_t i = 0; i < worker_count; i++) {
            handle_ring(workers[i].ring, &workers[i]);
            update_runs(&workers[i]);
        }
        if (now_ms() >= heartbeat_due) {
            static size_t next;

            heartbeat_due = now_ms() + HEARTBEAT_MS / (int64_t)worker_count;
            send_heartbeat(&workers[next++ % worker_count], client, argv + 3,
                           argc - 3);
        }
    }
}
