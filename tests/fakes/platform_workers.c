/*
 * A fake of the workers and the approval service of the users' platform that
 * implements their side of the protocol: several workers in one process, each
 * at an address of its own, that announce themselves to the control VMs.
 *
 *     platform_workers APPROVAL_IP:PORT WORKERS CONTROL_IP:PORT...
 *
 * Worker N (from 0) listens on the approval port + 1 + N. What a worker does,
 * and the lines that it prints when it is called wrongly, are in
 * support/fake_worker.h.
 *
 * A test switches faults on by POSTs to the approval port. Each has a JSON
 * body; members may be absent.
 *
 *     /fault/lose-starts {"count":N,"percent":P,"worker":W,"late_ms":D,
 *                         "hold":B,"refuse_copy":B}
 *
 * The next N starts (-1: all from now on) of worker W (-1, the default: of
 * any) get no answer and are carried out D ms later. Each start is chosen with
 * a chance of P % (100). The connection is closed at once, with "hold" after
 * HOLD_MS. With "refuse_copy" the next copy of such a start is refused with
 * 503. Starts that were lost before stay lost.
 *
 *     /fault/restart {"worker":W,"kind":K,"run_lost":B,"ends":N}
 *
 * Worker W (0) starts again under its id, of kind K ("a"). With "run_lost",
 * lost starts then arrive at once, before other calls. It lists N ends of runs
 * that nobody asked for.
 *
 *     /fault/drop-polls {"worker":W,"ms":N,"status":S}
 *
 * Polls of worker W (0) get no answer for N ms, or are refused with status S.
 *
 *     /fault/finish {"worker":W,"interrupted":B}
 *
 * All runs of worker W (0) are done at once, the last that started first, or
 * end before that with "interrupted".
 *
 *     /fault/unreadable {"worker":W,"running":N,"ends":M}
 *
 * The lists of worker W (0) have N more entries of running tasks and M more of
 * ends that cannot be read.
 *
 *     /fault/stops {"ms":N}
 *
 * Stops take N ms from now on.
 *
 *     /fault/drain {"worker":W}
 *
 * Worker W (0) announces that it drains, in this life. A line "DRAIN ..." is
 * printed for each start that it carries out more than DRAIN_MS after the
 * acknowledgement.
 *
 *     /fault/evacuated {"zone":Z}
 *
 * Prints a line "EVACUATED ..." for each start that is carried out by a worker
 * of zone Z from now on; "" ends that. Workers with an even number are in zone
 * "z", the others in "y".
 *
 * GET /fault/counts returns "starts" (calls), "starts_y" (carried out by
 * workers of zone "y"), "lost" (starts that got no
 * answer), "lost_worker" (which worker the last of them was for),
 * "late_accepted" and "late_refused" (outcomes of those carried out since),
 * "stopping" (runs being stopped) and "resumed" (starts with a checkpoint).
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "fake_worker.h"
#include "front.h"
#include "http_client.h"

enum {
    HEARTBEAT_MS = 300, /* of each worker */
    HOLD_MS = 3000,     /* of a connection without an answer */
    DRAIN_MS = 500,
    WORKERS_MAX = 16,
    LOST_MAX = 256, /* at the same time */
};

struct worker {
    struct fake_worker *model;
    char address[64];
    char kind[8];
    struct ring *ring;
    struct front_call *poll; /* the open long poll, or NULL */
    int64_t poll_until_ms;
    uint64_t sequence; /* of the last announcement in this life */
    int64_t announce_due_ms;
    int64_t polls_until_ms; /* polls get no answer until then */
    int polls_status;       /* they are refused with; 0: closed */
    bool draining;
    int64_t drained_from_ms; /* no start is allowed from then on; 0: any is */
};

/* A start that got no answer. It is kept for HOLD_MS, or until it has been
 * carried out if that is later. */
struct lost_start {
    struct worker *worker; /* NULL: the entry is free */
    char *expected;        /* X-Expected-Instance */
    json_t *body;
    int64_t arrives_ms; /* when it is carried out; 0: it was */
    int64_t kept_until_ms;
    struct front_call *held; /* or NULL */
    bool refuse_copy;
};

/* The starts that will be lost, see the usage. */
struct start_fault {
    int count;
    int percent;
    int worker;
    int64_t late_ms;
    bool hold;
    bool refuse_copy;
};

static struct worker workers[WORKERS_MAX];
static size_t worker_count;
static struct start_fault start_fault;
static struct lost_start lost[LOST_MAX];
static char evacuated_zone[8];
static int start_count; /* calls since the process started */
static int start_y_count;
static int lost_count;     /* since the process started */
static int last_lost = -1; /* the worker of the last of them */
static int late_accepted;
static int late_refused;

static int64_t
now_ms(void)
{
    return clock_now() / NS_PER_MS;
}

/* Takes ownership of the body. */
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

static void
send_reply(struct front_call *call, struct fake_reply reply)
{
    send_response(call, reply.status, reply.body);
}

static void
answer_poll(struct worker *w)
{
    if (w->poll != NULL) {
        send_reply(w->poll, fake_worker_lists(w->model));
        w->poll = NULL;
    }
}

/* Returns NULL if all entries are in use. */
static struct lost_start *
find_free_entry(void)
{
    for (size_t i = 0; i < LOST_MAX; i++) {
        if (lost[i].worker == NULL) {
            return &lost[i];
        }
    }
    return NULL;
}

/* Loses the start if the fault is on. Returns false if it isn't. */
static bool
lose_start(struct worker *w, struct front_call *call, const char *expected,
           json_t *body)
{
    struct start_fault *f = &start_fault;
    struct lost_start *l = find_free_entry();

    if (f->count == 0 || l == NULL ||
        (f->worker >= 0 && w != &workers[f->worker]) ||
        rand() % 100 >= f->percent) {
        return false;
    }
    if (f->count > 0) {
        f->count--;
    }
    *l = (struct lost_start){.worker = w,
                             .expected = strdup(expected),
                             .body = json_incref(body),
                             .arrives_ms = now_ms() + f->late_ms,
                             .kept_until_ms = now_ms() + HOLD_MS,
                             .refuse_copy = f->refuse_copy};
    lost_count++;
    last_lost = (int)(w - workers);
    if (f->hold) {
        l->held = call;
    }
    else {
        front_abort(call);
    }
    return true;
}

/* Returns whether the call copies a lost start and is to be refused. */
static bool
is_refused_copy(const struct worker *w, const json_t *body)
{
    for (size_t i = 0; i < LOST_MAX; i++) {
        struct lost_start *l = &lost[i];

        if (l->worker == w && l->refuse_copy &&
            json_equal(json_object_get(l->body, "task"),
                       json_object_get(body, "task")) &&
            json_equal(json_object_get(l->body, "run"),
                       json_object_get(body, "run"))) {
            l->refuse_copy = false;
            return true;
        }
    }
    return false;
}

static const char *
worker_zone(const struct worker *w)
{
    return (w - workers) % 2 == 0 ? "z" : "y";
}

static struct fake_reply
start_run(struct worker *w, const char *expected, const json_t *body)
{
    struct fake_reply reply = fake_worker_start(w->model, expected, body);

    if (reply.status == 200) {
        start_y_count += strcmp(worker_zone(w), "y") == 0;
        if (strcmp(worker_zone(w), evacuated_zone) == 0) {
            printf("EVACUATED %s on %s\n",
                   json_string_value(json_object_get(body, "task")),
                   w->address);
            fflush(stdout);
        }
        if (w->drained_from_ms != 0 && now_ms() >= w->drained_from_ms) {
            printf("DRAIN %s on %s\n",
                   json_string_value(json_object_get(body, "task")),
                   w->address);
            fflush(stdout);
        }
    }
    return reply;
}

static void
carry_out(struct lost_start *l)
{
    struct fake_reply reply = start_run(l->worker, l->expected, l->body);

    l->arrives_ms = 0;
    late_accepted += reply.status == 200;
    late_refused += reply.status != 200;
    json_decref(reply.body);
}

static void
free_entry(struct lost_start *l)
{
    if (l->held != NULL) {
        front_abort(l->held);
    }
    free(l->expected);
    json_decref(l->body);
    *l = (struct lost_start){0};
}

static void
step_lost_starts(void)
{
    for (size_t i = 0; i < LOST_MAX; i++) {
        struct lost_start *l = &lost[i];

        if (l->worker == NULL) {
            continue;
        }
        if (l->arrives_ms != 0 && now_ms() >= l->arrives_ms) {
            carry_out(l);
        }
        if (l->held != NULL && now_ms() >= l->kept_until_ms) {
            front_abort(l->held);
            l->held = NULL;
        }
        if (l->arrives_ms == 0 && now_ms() >= l->kept_until_ms) {
            free_entry(l);
        }
    }
}

static void
handle_start(struct worker *w, struct front_call *call, const char *expected,
             json_t *body)
{
    start_count++;
    if (is_refused_copy(w, body)) {
        send_reply(call, fake_worker_reply(w->model, 503));
    }
    else if (!lose_start(w, call, expected, body)) {
        send_reply(call, start_run(w, expected, body));
    }
}

static void
handle_poll(struct worker *w, struct front_call *call, const char *expected,
            const json_t *body)
{
    struct fake_reply reply = fake_worker_hold(w->model, expected, body);

    if (reply.body != NULL) {
        send_reply(call, reply);
        return;
    }
    answer_poll(w);
    w->poll = call;
    w->poll_until_ms =
        now_ms() + json_integer_value(json_object_get(body, "waitMs"));
}

static json_t *
parse_body(const struct front_call *call)
{
    return json_loadb(call->body.ptr == NULL ? "" : call->body.ptr,
                      call->body.len, 0, NULL);
}

static void
handle_worker_call(struct worker *w, struct front_call *call)
{
    json_t *body = parse_body(call);
    struct str header =
        http_headers_get(&call->headers, "X-Expected-Instance");
    char expected[64];

    snprintf(expected, sizeof(expected), "%.*s", STR_ARG(header));
    if (body == NULL) {
        send_reply(call, fake_worker_reply(w->model, 400));
    }
    else if (str_eq(call->path, STR("/run-start"))) {
        handle_start(w, call, expected, body);
    }
    else if (str_eq(call->path, STR("/run-stop"))) {
        send_reply(call, fake_worker_stop(w->model, expected, body));
    }
    else if (now_ms() < w->polls_until_ms && w->polls_status != 0) {
        send_reply(call, fake_worker_reply(w->model, w->polls_status));
    }
    else if (now_ms() < w->polls_until_ms) {
        front_abort(call);
    }
    else {
        handle_poll(w, call, expected, body);
    }
    json_decref(body);
}

/*
 * Returns whether a step may run on the worker: on every second pair of
 * workers of each process, for every second step on the other pairs. The
 * answer for a worker does not depend on the call, and no step depends on a
 * single process or zone.
 */
static bool
is_approved(const char *step, const char *id)
{
    int pair = (id[strlen(id) - 1] - '0') / 2;

    return (step[strlen(step) - 1] + pair) % 2 == 0;
}

static json_t *
approve(const json_t *body)
{
    const char *step = json_string_value(json_object_get(body, "step"));
    json_t *rows = json_array();
    const json_t *id;
    size_t i;

    json_array_foreach(json_object_get(body, "workers"), i, id)
    {
        char ticket[64];

        if (step != NULL && is_approved(step, json_string_value(id))) {
            fake_worker_ticket(json_string_value(id), step, ticket,
                               sizeof(ticket));
            json_array_append_new(
                rows, json_pack("[s,s]", json_string_value(id), ticket));
        }
    }
    return json_pack("{s:o}", "approved", rows);
}

static int
get_int(const json_t *body, const char *name, int if_absent)
{
    const json_t *value = json_object_get(body, name);

    return json_is_integer(value) ? (int)json_integer_value(value) : if_absent;
}

static void
set_start_fault(const json_t *body)
{
    start_fault = (struct start_fault){
        .count = get_int(body, "count", 0),
        .percent = get_int(body, "percent", 100),
        .worker = get_int(body, "worker", -1),
        .late_ms = get_int(body, "late_ms", 0),
        .hold = json_is_true(json_object_get(body, "hold")),
        .refuse_copy = json_is_true(json_object_get(body, "refuse_copy"))};
}

static void
restart_worker(const json_t *body)
{
    struct worker *w = &workers[get_int(body, "worker", 0)];
    const char *kind = json_string_value(json_object_get(body, "kind"));

    if (w->poll != NULL) {
        front_abort(w->poll);
        w->poll = NULL;
    }
    fake_worker_restart(w->model);
    fake_worker_add_ends(w->model, get_int(body, "ends", 0));
    snprintf(w->kind, sizeof(w->kind), "%s", kind == NULL ? "a" : kind);
    w->sequence = 0;
    w->announce_due_ms = 0;
    w->draining = false;
    w->drained_from_ms = 0;
    if (json_is_true(json_object_get(body, "run_lost"))) {
        for (size_t i = 0; i < LOST_MAX; i++) {
            if (lost[i].worker == w && lost[i].arrives_ms != 0) {
                carry_out(&lost[i]);
            }
        }
    }
}

static void
drop_polls(const json_t *body)
{
    struct worker *w = &workers[get_int(body, "worker", 0)];

    w->polls_until_ms = now_ms() + get_int(body, "ms", 0);
    w->polls_status = get_int(body, "status", 0);
    if (w->polls_status != 0) {
        answer_poll(w);
    }
    if (w->poll != NULL) {
        front_abort(w->poll);
        w->poll = NULL;
    }
}

static void
drain_worker(const json_t *body)
{
    struct worker *w = &workers[get_int(body, "worker", 0)];

    w->draining = true;
    w->announce_due_ms = 0;
}

static json_t *
count_faults(void)
{
    return json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "starts",
                     start_count, "starts_y", start_y_count, "lost",
                     lost_count, "lost_worker", last_lost, "late_accepted",
                     late_accepted, "late_refused", late_refused, "stopping",
                     (int)fake_worker_stopping(), "resumed",
                     (int)fake_worker_resumed());
}

/* Handles a call of the approval service or a fault. */
static void
handle_service_call(struct front_call *call)
{
    json_t *body = parse_body(call);
    json_t *answer;

    if (str_eq(call->path, STR("/fault/lose-starts"))) {
        set_start_fault(body);
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/restart"))) {
        restart_worker(body);
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/drop-polls"))) {
        drop_polls(body);
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/drain"))) {
        drain_worker(body);
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/finish"))) {
        fake_worker_finish(
            workers[get_int(body, "worker", 0)].model,
            !json_is_true(json_object_get(body, "interrupted")));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/unreadable"))) {
        fake_worker_add_unreadable(workers[get_int(body, "worker", 0)].model,
                                   get_int(body, "running", 0),
                                   get_int(body, "ends", 0));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/stops"))) {
        fake_worker_set_stop_ms(get_int(body, "ms", 0));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/evacuated"))) {
        snprintf(evacuated_zone, sizeof(evacuated_zone), "%s",
                 json_string_value(json_object_get(body, "zone")));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/counts"))) {
        answer = count_faults();
    }
    else {
        answer = approve(body);
    }
    json_decref(body);
    send_response(call, 200, answer);
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

/* Returns a heartbeat's body. Free with free(). */
static char *
encode_heartbeat(struct worker *w)
{
    json_t *announcement = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "svc", "address", w->address, "zone", worker_zone(w),
        "version", "v1", "slots", 8, "state",
        w->draining ? "draining" : "ready", "capacity", "cpu", FAKE_WORKER_CPU,
        "memoryRequestMb", FAKE_WORKER_MEMORY_MB, "gpu", 0, "labels", w->kind,
        "r1", "clockMs", (json_int_t)fake_worker_clock(w->model), "born",
        (json_int_t)fake_worker_born(w->model), "sequence",
        (json_int_t)++w->sequence);
    char *text = json_dumps(announcement, JSON_COMPACT);

    json_decref(announcement);
    return text;
}

/* Sends a heartbeat to the first control VM that accepts it. */
static void
send_heartbeat(struct worker *w, struct http_client *client, char **control,
               int count)
{
    static int first_control;
    char url[128];
    char *body = encode_heartbeat(w);

    for (int i = 0; i < count; i++) {
        struct http_call call = {.method = "PUT",
                                 .url = url,
                                 .body = str_of(body),
                                 .timeout_ms = 400};
        struct http_answer answer = {0};
        bool ok;

        snprintf(url, sizeof(url), "http://%s/instances/%s",
                 control[(first_control + i) % count],
                 fake_worker_id(w->model));
        http_client_call(client, &call, &answer);
        ok = answer.complete && answer.status == 200;
        http_answer_free(&answer);
        if (ok) {
            if (w->draining && w->drained_from_ms == 0) {
                w->drained_from_ms = now_ms() + DRAIN_MS;
            }
            break;
        }
        first_control++;
    }
    free(body);
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
                handle_service_call(item->call);
            }
        }
        else if (w != NULL && w->poll == item->call) {
            answer_poll(w);
        }
        front_item_release(item);
    }
}

static void
step_worker(struct worker *w)
{
    handle_ring(w->ring, w);
    fake_worker_step(w->model);
    if (w->poll != NULL &&
        (fake_worker_has_ends(w->model) || now_ms() >= w->poll_until_ms)) {
        answer_poll(w);
    }
}

/* Returns whether the worker listens. */
static bool
start_worker(size_t index, const char *ip, int approval_port)
{
    struct worker *w = &workers[index];
    int port = approval_port + 1 + (int)index;
    char id[32];

    snprintf(id, sizeof(id), "i-%s-%d", strrchr(ip, '.') + 1, (int)index);
    snprintf(w->address, sizeof(w->address), "%s:%d", ip, port);
    snprintf(w->kind, sizeof(w->kind), "a");
    w->model = fake_worker_create(id);
    w->announce_due_ms =
        now_ms() + HEARTBEAT_MS * (int64_t)index / (int64_t)worker_count;
    return listen_on(ip, port, &w->ring) != NULL;
}

int
main(int argc, char **argv)
{
    struct http_client *client = http_client_create();
    struct ring *service_calls;
    char ip[32];
    int port;

    if (argc < 4 || sscanf(argv[1], "%31[^:]:%d", ip, &port) != 2) {
        fprintf(stderr, "usage: platform_workers IP:PORT N ADDR...\n");
        return 2;
    }
    worker_count = (size_t)atoi(argv[2]);
    if (worker_count > WORKERS_MAX ||
        listen_on(ip, port, &service_calls) == NULL) {
        return 1;
    }
    for (size_t i = 0; i < worker_count; i++) {
        if (!start_worker(i, ip, port)) {
            return 1;
        }
    }
    for (;;) {
        usleep(5000);
        handle_ring(service_calls, NULL);
        step_lost_starts();
        for (size_t i = 0; i < worker_count; i++) {
            struct worker *w = &workers[i];

            step_worker(w);
            if (now_ms() >= w->announce_due_ms) {
                w->announce_due_ms = now_ms() + HEARTBEAT_MS;
                send_heartbeat(w, client, argv + 3, argc - 3);
            }
        }
    }
}
