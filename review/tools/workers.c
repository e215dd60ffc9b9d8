/*
 * Stand-ins of the platform's workers and its approval service, as PROTOCOL.md
 * describes them: several workers in one process, each at a port of its own.
 *
 *     workers IP PORT COUNT LEASE_MAX_MS RECORD CONTROL_IP:PORT...
 *
 * PORT serves the approval service, which approves every worker, and the
 * faults. Worker N (from 0) listens on PORT + 10 + N and announces itself
 * every HEARTBEAT_MS.
 *
 * What a task does is given by words of its spec: "run_ms=N" (200) and
 * "fail_runs=N" (0): runs 1 to N end failed.
 *
 * Each start and end is a line of the record: time in ms of the monotonic
 * clock, START or END, worker, task, run and how it ended.
 *
 * POST /fault/hang {"worker":N,"ms":N}: the worker stalls its calls, without
 * carrying them out, for that time; its heartbeats go on.
 * POST /fault/late {"count":N,"ms":N}: the next starts get no answer and are
 * carried out that much later, if their worker is up then. Each is recorded as
 * LATE, with worker, task and run.
 * POST /fault/restart {"worker":N,"ms":N}: the worker crashes and starts again
 * under its id after that time; it knows nothing of before.
 * POST /fault/drain {"worker":N}: it announces that it is draining; it goes on
 * serving. The acknowledgement is recorded as DRAINING.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "front.h"
#include "http_client.h"
#include "mem.h"

enum {
    WORKERS_MAX = 64,
    RUNS_MAX = 200000,
    HELD_MAX = 64,
    LATE_MAX = 64,
    PORT_OFFSET = 10,
    HEARTBEAT_MS = 1500,
    STOP_MS = 50,
    CPU_MILLI = 16000,
    MEMORY_MB = 32768,
    ENDS_PER_ANSWER_MAX = 500,
    STEP_US = 2000,
};

enum run_state {
    RUN_ACTIVE,
    RUN_STOPPING,
    RUN_ENDED,
};

struct run {
    char task[64];
    json_int_t number; /* of the run */
    enum run_state state;
    const char *how; /* it ended, or is to end */
    int64_t started_ms;
    int64_t ends_ms;
    uint64_t end; /* number of the end; 0: not listed */
    struct run *next;
};

/* A start that got no answer. */
struct late_start {
    struct worker *worker; /* NULL: the entry is free */
    json_t *body;
    struct front_call *call;
    int64_t carried_out_ms;
};

struct worker {
    char id[64];
    char address[64];
    struct ring *ring;
    int64_t born_ms;
    int64_t clock_base;
    json_int_t token;
    int64_t lease_end_ms;
    uint64_t last_end;
    uint64_t last_seen;
    struct run *runs; /* the latest first */
    struct front_call *poll;
    int64_t poll_until_ms;
    uint64_t sequence;
    int64_t announce_due_ms;
    bool draining;
    bool draining_acked;
    int64_t hang_until_ms;
    struct front_call *hung[HELD_MAX];
    size_t hung_count;
    int64_t down_until_ms; /* 0: it is up */
};

static struct worker workers[WORKERS_MAX];
static size_t worker_count;
static int64_t lease_max_ms;
static FILE *record;
static struct late_start late_starts[LATE_MAX];
static int late_count; /* starts that will be late */
static int64_t late_ms;

static int64_t
now_ms(void)
{
    return clock_now() / NS_PER_MS;
}

static int64_t
worker_clock(const struct worker *w)
{
    return now_ms() - w->clock_base + 1;
}

static void
respond(struct front_call *call, int status, json_t *body)
{
    struct front_response response = {.status = status};
    char *text = json_dumps(body, JSON_COMPACT);

    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    buf_append(&response.body, text, strlen(text));
    free(text);
    json_decref(body);
    front_respond(call, &response);
}

static json_t *
clock_body(const struct worker *w)
{
    return json_pack("{s:I}", "clockMs", (json_int_t)worker_clock(w));
}

static void
refuse(struct worker *w, struct front_call *call, const char *reason)
{
    json_t *body = clock_body(w);

    json_object_set_new(body, "reason", json_string(reason));
    respond(call, 409, body);
}

static struct run *
find_latest(const struct worker *w, const char *task)
{
    struct run *r = w->runs;

    while (r != NULL && strcmp(r->task, task) != 0) {
        r = r->next;
    }
    return r;
}

static struct run *
add_run(struct worker *w, const char *task, json_int_t number)
{
    struct run *r = mem_zalloc(1, sizeof(*r));

    snprintf(r->task, sizeof(r->task), "%s", task);
    r->number = number;
    r->next = w->runs;
    w->runs = r;
    return r;
}

static void
end_run(struct worker *w, struct run *r, const char *how)
{
    r->state = RUN_ENDED;
    r->how = how;
    r->end = ++w->last_end;
    fprintf(record, "%lld END %s %s %d %s\n", (long long)now_ms(), w->id,
            r->task, (int)r->number, how);
    fflush(record);
}

static int
spec_number(const char *spec, const char *word, int if_absent)
{
    const char *at = spec == NULL ? NULL : strstr(spec, word);

    return at == NULL ? if_absent : atoi(at + strlen(word));
}

static void
extend_lease(struct worker *w, const json_t *body)
{
    json_int_t until = json_integer_value(json_object_get(body, "deadlineMs"));
    int64_t latest = worker_clock(w) + lease_max_ms;

    until = until > latest ? latest : until;
    if (until > w->lease_end_ms) {
        w->lease_end_ms = until;
    }
}

/* Returns the reason of the refusal, or NULL if the run is there. */
static const char *
carry_out_start(struct worker *w, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *spec = json_string_value(json_object_get(body, "taskSpec"));
    json_int_t number = json_integer_value(json_object_get(body, "run"));
    int64_t now = worker_clock(w);
    struct run *r = find_latest(w, task);

    if (json_integer_value(json_object_get(body, "deadlineMs")) <= now) {
        return "late";
    }
    extend_lease(w, body);
    if (r != NULL && number <= r->number) {
        return number == r->number && r->state == RUN_ACTIVE ? NULL : "old";
    }
    r = add_run(w, task, number);
    r->started_ms = now;
    r->ends_ms = now + spec_number(spec, "run_ms=", 200);
    r->how = number <= spec_number(spec, "fail_runs=", 0) ? "failed" : "done";
    fprintf(record, "%lld START %s %s %d\n", (long long)now_ms(), w->id, task,
            (int)number);
    fflush(record);
    return NULL;
}

/* Keeps the call without an answer if it is to be late. */
static bool
keep_late_start(struct worker *w, struct front_call *call, json_t *body)
{
    for (size_t i = 0; late_count > 0 && i < LATE_MAX; i++) {
        struct late_start *l = &late_starts[i];

        if (l->worker == NULL) {
            *l = (struct late_start){w, json_incref(body), call,
                                     now_ms() + late_ms};
            late_count--;
            fprintf(record, "%lld LATE %s %s %d\n", (long long)now_ms(), w->id,
                    json_string_value(json_object_get(body, "task")),
                    (int)json_integer_value(json_object_get(body, "run")));
            fflush(record);
            return true;
        }
    }
    return false;
}

static void
start_run(struct worker *w, struct front_call *call, json_t *body)
{
    const char *refusal;

    if (json_string_value(json_object_get(body, "task")) == NULL) {
        respond(call, 400, clock_body(w));
        return;
    }
    if (keep_late_start(w, call, body)) {
        return;
    }
    refusal = carry_out_start(w, body);
    if (refusal != NULL) {
        refuse(w, call, refusal);
        return;
    }
    respond(call, 200, clock_body(w));
}

static void
stop_run(struct worker *w, struct front_call *call, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    json_int_t number = json_integer_value(json_object_get(body, "run"));
    struct run *r = task == NULL ? NULL : find_latest(w, task);

    if (task == NULL) {
        respond(call, 400, clock_body(w));
        return;
    }
    if (r != NULL && r->number == number && r->state == RUN_ACTIVE) {
        r->state = RUN_STOPPING;
        r->ends_ms = worker_clock(w) + STOP_MS;
    }
    if (r == NULL || r->number < number) {
        add_run(w, task, number)->state = RUN_ENDED;
    }
    respond(call, 200, clock_body(w));
}

static json_t *
running_entry(const struct worker *w, const struct run *r)
{
    int64_t whole = r->ends_ms - r->started_ms;
    int64_t done = worker_clock(w) - r->started_ms;
    int percent =
        done >= whole || whole == 0 ? 100 : (int)(done * 100 / whole);

    return json_pack("[s,I,s,i,i]", r->task, r->number, "", percent, 0);
}

static void
answer_poll(struct worker *w)
{
    json_t *body = clock_body(w);
    json_t *running = json_array();
    json_t *finished = json_array();

    /* The runs are listed from the latest; ends are to be in order. */
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        if (r->state != RUN_ENDED) {
            json_array_append_new(running, running_entry(w, r));
        }
    }
    for (uint64_t n = w->last_seen + 1;
         n <= w->last_end && json_array_size(finished) < ENDS_PER_ANSWER_MAX;
         n++) {
        for (const struct run *r = w->runs; r != NULL; r = r->next) {
            if (r->end == n) {
                json_array_append_new(
                    finished, json_pack("[I,s,I,s,s]", (json_int_t)n, r->task,
                                        r->number, r->how, ""));
            }
        }
    }
    json_object_set_new(body, "born", json_integer(w->born_ms));
    json_object_set_new(body, "running", running);
    json_object_set_new(body, "finished", finished);
    respond(w->poll, 200, body);
    w->poll = NULL;
}

static void
hold(struct worker *w, struct front_call *call, const json_t *body)
{
    uint64_t seen =
        (uint64_t)json_integer_value(json_object_get(body, "lastSeen"));

    extend_lease(w, body);
    seen = seen > w->last_end ? w->last_end : seen;
    w->last_seen = seen > w->last_seen ? seen : w->last_seen;
    if (w->poll != NULL) {
        answer_poll(w);
    }
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

/* Checks the worker's identity and the fencing token. */
static bool
accept_call(struct worker *w, struct front_call *call, const json_t *body)
{
    struct str expected =
        http_headers_get(&call->headers, "X-Expected-Instance");
    json_int_t token =
        json_integer_value(json_object_get(body, "fencingToken"));

    if (expected.len > 0 && !str_eq(expected, str_of(w->id))) {
        respond(call, 421, clock_body(w));
        return false;
    }
    if (token < w->token) {
        refuse(w, call, "fence");
        return false;
    }
    w->token = token;
    return true;
}

static void
handle_worker_call(struct worker *w, struct front_call *call)
{
    json_t *body;

    if (w->down_until_ms != 0) {
        front_abort(call);
        return;
    }
    if (now_ms() < w->hang_until_ms && w->hung_count < HELD_MAX) {
        w->hung[w->hung_count++] = call;
        return;
    }
    body = parse_body(call);
    if (body == NULL) {
        respond(call, 400, clock_body(w));
    }
    else if (accept_call(w, call, body)) {
        if (str_eq(call->path, STR("/run-start"))) {
            start_run(w, call, body);
        }
        else if (str_eq(call->path, STR("/run-stop"))) {
            stop_run(w, call, body);
        }
        else if (str_eq(call->path, STR("/hold"))) {
            hold(w, call, body);
        }
        else {
            respond(call, 404, clock_body(w));
        }
    }
    json_decref(body);
}

static json_t *
approve(const json_t *body)
{
    json_t *rows = json_array();
    const json_t *id;
    size_t i;

    json_array_foreach(json_object_get(body, "workers"), i, id)
    {
        json_array_append_new(
            rows, json_pack("[s,s]", json_string_value(id), "ticket"));
    }
    return json_pack("{s:o}", "approved", rows);
}

static struct worker *
worker_of(const json_t *body)
{
    json_int_t n = json_integer_value(json_object_get(body, "worker"));

    return &workers[(size_t)n < worker_count ? n : 0];
}

static void
restart(struct worker *w, int64_t down_ms)
{
    for (struct run *r = w->runs; r != NULL; r = r->next) {
        if (r->state != RUN_ENDED) {
            end_run(w, r, "crashed");
        }
    }
    fprintf(record, "%lld CRASH %s\n", (long long)now_ms(), w->id);
    fflush(record);
    if (w->poll != NULL) {
        front_abort(w->poll);
        w->poll = NULL;
    }
    w->down_until_ms = now_ms() + down_ms;
}

/* Begins the next life of a worker that was down long enough. */
static void
step_restart(struct worker *w)
{
    if (w->down_until_ms == 0 || now_ms() < w->down_until_ms) {
        return;
    }
    w->down_until_ms = 0;
    w->runs = NULL;
    w->token = 0;
    w->lease_end_ms = 0;
    w->last_end = 0;
    w->last_seen = 0;
    w->sequence = 0;
    w->born_ms = clock_wall_ms();
    w->clock_base = now_ms();
    w->announce_due_ms = now_ms() + HEARTBEAT_MS;
    fprintf(record, "%lld BORN %s\n", (long long)now_ms(), w->id);
    fflush(record);
}

static void
step_late_starts(void)
{
    for (size_t i = 0; i < LATE_MAX; i++) {
        struct late_start *l = &late_starts[i];
        struct worker *w = l->worker;
        json_int_t token;

        if (w == NULL || now_ms() < l->carried_out_ms) {
            continue;
        }
        token = json_integer_value(json_object_get(l->body, "fencingToken"));
        if (w->down_until_ms == 0 && token >= w->token) {
            const char *refusal = carry_out_start(w, l->body);

            w->token = token;
            fprintf(record, "%lld CARRIED-OUT %s %s\n", (long long)now_ms(),
                    w->id, refusal == NULL ? "started" : refusal);
        }
        else {
            fprintf(record, "%lld CARRIED-OUT %s %s\n", (long long)now_ms(),
                    w->id, w->down_until_ms != 0 ? "down" : "fence");
        }
        fflush(record);
        front_abort(l->call);
        json_decref(l->body);
        l->worker = NULL;
    }
}

static void
handle_service_call(struct front_call *call)
{
    json_t *body = parse_body(call);
    json_t *answer;

    if (str_eq(call->path, STR("/fault/hang"))) {
        worker_of(body)->hang_until_ms =
            now_ms() + json_integer_value(json_object_get(body, "ms"));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/late"))) {
        late_count = (int)json_integer_value(json_object_get(body, "count"));
        late_ms = json_integer_value(json_object_get(body, "ms"));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/restart"))) {
        restart(worker_of(body),
                json_integer_value(json_object_get(body, "ms")));
        answer = json_object();
    }
    else if (str_eq(call->path, STR("/fault/drain"))) {
        worker_of(body)->draining = true;
        worker_of(body)->announce_due_ms = 0;
        answer = json_object();
    }
    else {
        answer = approve(body);
    }
    json_decref(body);
    respond(call, 200, answer);
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

static char *
encode_heartbeat(struct worker *w, size_t index)
{
    char rack[16];
    json_t *beat;
    char *text;

    snprintf(rack, sizeof(rack), "r1-%zu", index / 8);
    beat = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "svc", "address", w->address, "zone", "z", "version", "v1",
        "slots", 8, "state", w->draining ? "draining" : "ready",
        "coldRemainingMs", 0, "capacity", "cpu", CPU_MILLI, "memoryRequestMb",
        MEMORY_MB, "gpu", 0, "labels", "a", rack, "clockMs",
        (json_int_t)worker_clock(w), "sequence", (json_int_t)++w->sequence,
        "born", (json_int_t)w->born_ms);
    text = json_dumps(beat, JSON_COMPACT);
    json_decref(beat);
    return text;
}

/* Calls the next control VM until one acknowledges within a second. */
static void
announce(struct worker *w, size_t index, struct http_client *client,
         char **control, int count)
{
    static int first;
    char *body = encode_heartbeat(w, index);
    bool ok = false;

    for (int i = 0; i < count && !ok; i++) {
        char url[160];
        struct http_call call = {.method = "PUT",
                                 .url = url,
                                 .body = str_of(body),
                                 .timeout_ms = 1000};
        struct http_answer answer = {0};

        snprintf(url, sizeof(url), "http://%s/instances/%s",
                 control[(first + i) % count], w->id);
        http_client_call(client, &call, &answer);
        ok = answer.complete && answer.status == 200;
        http_answer_free(&answer);
        first += !ok;
    }
    free(body);
    if (ok && w->draining && !w->draining_acked) {
        w->draining_acked = true;
        fprintf(record, "%lld DRAINING %s\n", (long long)now_ms(), w->id);
        fflush(record);
    }
}

static void
step_runs(struct worker *w)
{
    int64_t now = worker_clock(w);

    for (struct run *r = w->runs; r != NULL; r = r->next) {
        if (r->state == RUN_ENDED) {
            continue;
        }
        if (now >= w->lease_end_ms) {
            end_run(w, r, "lapsed");
        }
        else if (now >= r->ends_ms) {
            end_run(w, r, r->state == RUN_STOPPING ? "stopped" : r->how);
        }
    }
}

static void
step_worker(struct worker *w)
{
    handle_ring(w->ring, w);
    step_restart(w);
    step_runs(w);
    if (w->hung_count > 0 && now_ms() >= w->hang_until_ms) {
        /* They were not carried out; their connections break. */
        while (w->hung_count > 0) {
            front_abort(w->hung[--w->hung_count]);
        }
    }
    if (w->poll != NULL &&
        (w->last_end > w->last_seen || now_ms() >= w->poll_until_ms) &&
        now_ms() >= w->hang_until_ms) {
        answer_poll(w);
    }
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

static bool
start_worker(size_t index, const char *ip, int port)
{
    struct worker *w = &workers[index];

    snprintf(w->id, sizeof(w->id), "i-%08zx", index + 0x7f3a0000);
    snprintf(w->address, sizeof(w->address), "%s:%d", ip, port);
    w->born_ms = clock_wall_ms();
    w->clock_base = now_ms();
    w->announce_due_ms =
        now_ms() + HEARTBEAT_MS * (int64_t)index / (int64_t)worker_count;
    return listen_on(ip, port, &w->ring) != NULL;
}

int
main(int argc, char **argv)
{
    struct http_client *client = http_client_create();
    struct ring *service_calls;

    if (argc < 7) {
        fprintf(stderr, "usage: workers IP PORT COUNT LEASE_MAX_MS RECORD "
                        "CONTROL...\n");
        return 2;
    }
    worker_count = (size_t)atoi(argv[3]);
    lease_max_ms = atoi(argv[4]);
    record = fopen(argv[5], "a");
    if (worker_count > WORKERS_MAX || record == NULL ||
        listen_on(argv[1], atoi(argv[2]), &service_calls) == NULL) {
        return 1;
    }
    for (size_t i = 0; i < worker_count; i++) {
        if (!start_worker(i, argv[1], atoi(argv[2]) + PORT_OFFSET + (int)i)) {
            return 1;
        }
    }
    for (;;) {
        usleep(STEP_US);
        handle_ring(service_calls, NULL);
        step_late_starts();
        for (size_t i = 0; i < worker_count; i++) {
            struct worker *w = &workers[i];

            step_worker(w);
            if (w->down_until_ms == 0 && now_ms() >= w->announce_due_ms) {
                w->announce_due_ms = now_ms() + HEARTBEAT_MS;
                announce(w, i, client, argv + 6, argc - 6);
            }
        }
    }
}
