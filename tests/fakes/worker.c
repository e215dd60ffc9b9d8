/*
 * A stand-in worker: syncs with the entries and pretends to run the tasks it
 * is given. The payload steers a task: "run_ms=N exit=N cpu=MILLI mem=MIB",
 * all optional; run_ms=-1 runs until stopped. "until=NAME" alone runs until
 * the file HISTORY.NAME exists. Usage is reported as cumulative
 * counters of what the task pretends to consume. SIGTERM drains: running
 * tasks get --drain-ms to finish, the rest is checkpointed, then exit 0.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>
#include <jansson.h>

#include "clock.h"
#include "history.h"
#include "http_client.h"
#include "map.h"
#include "mem.h"
#include "str.h"

enum {
    ENTRIES_MAX = 16,
    SYNC_TIMEOUT_MS = 2500,
    DEFAULT_RUN_MS = 50,
};

struct task {
    uint64_t lease;
    int64_t started;
    int64_t end;     /* deadline of the pretended run */
    int64_t counted; /* usage is counted up to here */
    int64_t cpu_milli;
    int64_t memory_mib;
    int64_t accelerators;
    int64_t used_cpu_milli;
    int64_t used_memory_mib;
    int64_t cpu_us;
    int64_t memory_mib_ms;
    int64_t accelerator_ms;
    int exit_code;
    char until[128];     /* ends once this file exists, unless empty */
    const char *outcome; /* NULL while it runs */
    int throttled;
};

struct options {
    const char *id;
    const char *rack;
    const char *failure_domain;
    const char *key;
    const char *history;
    const char *entries[ENTRIES_MAX];
    int entry_count;
    int cpu_milli;
    int memory_mib;
    int accelerators;
    int wait_ms;
    int drain_ms;
    int fail_all;
};

static struct options opt = {
    .id = "worker1",
    .rack = "rack1",
    .failure_domain = "fd1",
    .cpu_milli = 16000,
    .memory_mib = 32768,
    .wait_ms = 100,
    .drain_ms = 2000,
};

static struct history *history;
static struct map *tasks;
static uint64_t seq;
static uint64_t incarnation;
static int64_t lease_deadline;
static volatile sig_atomic_t stopping;

static void
on_stop(int sig)
{
    (void)sig;
    stopping = 1;
}

static long
payload_number(const char *payload, const char *name, long otherwise)
{
    const char *at = strstr(payload, name);

    return at == NULL ? otherwise : strtol(at + strlen(name), NULL, 10);
}

static int64_t
member(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

static void
task_start(const json_t *start, int64_t now)
{
    const char *payload = json_string_value(json_object_get(start, "payload"));
    struct task *t = mem_zalloc(1, sizeof(*t));
    long run_ms;

    payload = payload == NULL ? "" : payload;
    t->lease = (uint64_t)member(start, "lease");
    t->cpu_milli = member(start, "cpu_milli");
    t->memory_mib = member(start, "memory_mib");
    t->accelerators = member(start, "accelerators");
    t->used_cpu_milli = payload_number(payload, "cpu=", t->cpu_milli);
    t->used_memory_mib = payload_number(payload, "mem=", t->memory_mib);
    t->exit_code = opt.fail_all ? 1 : (int)payload_number(payload, "exit=", 0);
    run_ms =
        opt.fail_all ? 1 : payload_number(payload, "run_ms=", DEFAULT_RUN_MS);
    if (strncmp(payload, "until=", 6) == 0) {
        run_ms = -1;
        snprintf(t->until, sizeof(t->until), "%s.%s", opt.history,
                 payload + 6);
    }
    t->started = now;
    t->counted = now;
    t->end = run_ms < 0 ? DEADLINE_NONE : now + run_ms * NS_PER_MS;
    map_put_u64(tasks, t->lease, t);
    history_write(
        history,
        "\"event\":\"start\",\"worker\":\"%s\",\"lease\":%" PRIu64
        ",\"team\":\"%s\",\"job\":\"%s\",\"task\":%" PRId64
        ",\"cpu_milli\":%" PRId64 ",\"memory_mib\":%" PRId64
        ",\"accelerators\":%" PRId64,
        opt.id, t->lease, json_string_value(json_object_get(start, "team")),
        json_string_value(json_object_get(start, "job")),
        member(start, "task"), t->cpu_milli, t->memory_mib, t->accelerators);
}

/* The task ended when its usage was counted last, which is the lease's end
 * for a worker that was paused beyond it. */
static void
task_end(struct task *t, const char *outcome)
{
    t->outcome = outcome;
    history_write(history,
                  "\"event\":\"end\",\"worker\":\"%s\",\"lease\":%" PRIu64
                  ",\"outcome\":\"%s\",\"at\":%" PRId64 ",\"cpu_ms\":%" PRId64
                  ",\"memory_mib_s\":%" PRId64 ",\"accelerator_ms\":%" PRId64,
                  opt.id, t->lease, outcome, t->counted, t->cpu_us / 1000,
                  t->memory_mib_ms / 1000, t->accelerator_ms);
}

/* Counts usage up to now, the end of the run or the end of the lease. */
static void
task_account(struct task *t, int64_t now)
{
    int64_t limit = t->end < lease_deadline ? t->end : lease_deadline;
    int64_t us = ((now < limit ? now : limit) - t->counted) / NS_PER_US;

    if (us <= 0) {
        return;
    }
    t->cpu_us += us * t->used_cpu_milli / 1000;
    t->memory_mib_ms += us * t->used_memory_mib / 1000;
    t->accelerator_ms += us * t->accelerators / 1000;
    t->counted += us * NS_PER_US;
}

static void
run_tasks(int64_t now)
{
    void *cursor = NULL;
    struct task *t;
    int64_t limit;

    while ((t = map_next(tasks, &cursor)) != NULL) {
        if (t->outcome != NULL) {
            continue;
        }
        if (t->until[0] != '\0' && access(t->until, F_OK) == 0) {
            t->until[0] = '\0';
            t->end = now;
        }
        limit = t->end < lease_deadline ? t->end : lease_deadline;
        task_account(t, now);
        if (now >= limit) {
            task_end(t, t->end > lease_deadline ? "stopped"
                        : t->exit_code == 0     ? "done"
                                                : "failed");
        }
    }
}

static void
stop_all(const char *outcome)
{
    void *cursor = NULL;
    struct task *t;

    while ((t = map_next(tasks, &cursor)) != NULL) {
        if (t->outcome == NULL) {
            task_account(t, clock_now());
            task_end(t, outcome);
        }
    }
}

static json_t *
usage_of(const struct task *t)
{
    return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "lease",
                     (json_int_t)t->lease, "cpu_ms",
                     (json_int_t)(t->cpu_us / 1000), "memory_mib_s",
                     (json_int_t)(t->memory_mib_ms / 1000), "accelerator_ms",
                     (json_int_t)t->accelerator_ms, "cpu_milli",
                     (json_int_t)t->used_cpu_milli, "memory_mib",
                     (json_int_t)t->used_memory_mib);
}

static char *
sync_body(void)
{
    json_t *leases = json_array();
    json_t *finished = json_array();
    json_t *usage = json_array();
    void *cursor = NULL;
    struct task *t;
    json_t *body;
    char *text;

    while ((t = map_next(tasks, &cursor)) != NULL) {
        json_array_append_new(usage, usage_of(t));
        if (t->outcome == NULL) {
            json_array_append_new(leases, json_pack("{s:I,s:s}", "lease",
                                                    (json_int_t)t->lease,
                                                    "state", "running"));
        }
        else {
            json_array_append_new(
                finished,
                json_pack("{s:I,s:s,s:i}", "lease", (json_int_t)t->lease,
                          "outcome", t->outcome, "exit_code", t->exit_code));
        }
    }
    body = json_pack(
        "{s:I,s:I,s:s,s:s,s:{s:i,s:i,s:i},s:o,s:o,s:o,s:b,s:i}", "incarnation",
        (json_int_t)incarnation, "seq", (json_int_t)++seq, "rack", opt.rack,
        "failure_domain", opt.failure_domain, "capacity", "cpu_milli",
        opt.cpu_milli, "memory_mib", opt.memory_mib, "accelerators",
        opt.accelerators, "leases", leases, "finished", finished, "usage",
        usage, "draining", (int)stopping, "wait_ms",
        json_array_size(finished) != 0 || stopping ? 0 : opt.wait_ms);
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

/* Reports a task that came too late to be started as not started. */
static void
task_refuse(uint64_t lease)
{
    struct task *t = mem_zalloc(1, sizeof(*t));

    t->lease = lease;
    t->outcome = "not-started";
    map_put_u64(tasks, lease, t);
}

static void
handle_starts(const json_t *answer, int64_t now)
{
    const json_t *start;
    size_t i;

    json_array_foreach(json_object_get(answer, "start"), i, start)
    {
        uint64_t lease = (uint64_t)member(start, "lease");
        /* A lease number starts at most once: finished tasks stay known
         * until the leader has acknowledged them and stops repeating them. */
        if (map_get_u64(tasks, lease) != NULL) {
            continue;
        }
        if (stopping || now >= lease_deadline) {
            task_refuse(lease);
        }
        else {
            task_start(start, now);
        }
    }
}

static void
handle_list(const json_t *list, const char *outcome)
{
    const json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        struct task *t =
            map_get_u64(tasks, (uint64_t)json_integer_value(item));
        if (t == NULL || t->outcome != NULL) {
            continue;
        }
        if (outcome == NULL) {
            t->throttled = 1;
            t->used_cpu_milli = t->used_cpu_milli < t->cpu_milli
                                    ? t->used_cpu_milli
                                    : t->cpu_milli;
            continue;
        }
        task_account(t, clock_now());
        task_end(t, outcome);
    }
}

static void
handle_acks(const json_t *list)
{
    const json_t *item;
    size_t i;

    json_array_foreach(list, i, item)
    {
        uint64_t lease = (uint64_t)json_integer_value(item);
        struct task *t = map_get_u64(tasks, lease);
        if (t != NULL && t->outcome != NULL) {
            map_del_u64(tasks, lease);
            mem_free(t);
        }
    }
}

static void
handle_answer(const struct http_answer *out, int64_t sent)
{
    json_t *answer = json_loadb(out->body.ptr, out->body.len, 0, NULL);

    if (answer == NULL) {
        return;
    }
    lease_deadline = sent + member(answer, "lease_ms") * NS_PER_MS;
    handle_acks(json_object_get(answer, "finished_ack"));
    handle_list(json_object_get(answer, "stop"), "stopped");
    handle_list(json_object_get(answer, "checkpoint"), "checkpointed");
    handle_list(json_object_get(answer, "throttle"), NULL);
    handle_starts(answer, clock_now());
    json_decref(answer);
}

static void
sync_once(struct http_client *client)
{
    static int next;
    struct buf url = {0};
    char *body = sync_body();
    struct http_answer out;
    int64_t sent = clock_now();

    buf_printf(&url, "%s/v1/workers/%s/sync", opt.entries[next], opt.id);
    struct http_call call = {.method = "POST",
                             .url = url.ptr,
                             .key = opt.key,
                             .body = str_of(body),
                             .timeout_ms = SYNC_TIMEOUT_MS};
    http_client_call(client, &call, &out);
    if (out.complete && out.status == 200) {
        handle_answer(&out, sent);
    }
    else {
        if (out.status != 0) {
            fprintf(stderr, "sync: %ld %s\n", out.status, out.body.ptr);
        }
        next = next + 1 < opt.entry_count ? next + 1 : 0;
        struct timespec pause = {0, 100 * 1000000};
        nanosleep(&pause, NULL);
    }
    http_answer_free(&out);
    buf_free(&url);
    free(body);
}

static const struct argp_option options[] = {
    {"id", 'i', "ID", 0, "Worker id", 0},
    {"rack", 'r', "NAME", 0, "Rack", 0},
    {"failure-domain", 'f', "NAME", 0, "Failure domain", 0},
    {"key", 'k', "KEY", 0, "Worker key", 0},
    {"entry", 'e', "URL", 0, "Entry URL; may be repeated", 0},
    {"cpu-milli", 'c', "N", 0, "Processors in thousandths", 0},
    {"memory-mib", 'm', "N", 0, "Memory", 0},
    {"accelerators", 'a', "N", 0, "Accelerators", 0},
    {"wait-ms", 'w', "MS", 0, "Long-poll time of a sync", 0},
    {"drain-ms", 'd', "MS", 0, "Time for tasks to finish on SIGTERM", 0},
    {"fail-all", 'x', NULL, 0, "Fail every task", 0},
    {"history", 'h', "FILE", 0, "Append events to FILE", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'i':
        opt.id = arg;
        break;
    case 'r':
        opt.rack = arg;
        break;
    case 'f':
        opt.failure_domain = arg;
        break;
    case 'k':
        opt.key = arg;
        break;
    case 'e':
        if (opt.entry_count < ENTRIES_MAX) {
            opt.entries[opt.entry_count++] = arg;
        }
        break;
    case 'c':
        opt.cpu_milli = atoi(arg);
        break;
    case 'm':
        opt.memory_mib = atoi(arg);
        break;
    case 'a':
        opt.accelerators = atoi(arg);
        break;
    case 'w':
        opt.wait_ms = atoi(arg);
        break;
    case 'd':
        opt.drain_ms = atoi(arg);
        break;
    case 'x':
        opt.fail_all = 1;
        break;
    case 'h':
        opt.history = arg;
        break;
    case ARGP_KEY_END:
        if (opt.entry_count == 0) {
            argp_error(state, "--entry is missing");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = options, .parser = parse};
    struct sigaction action = {.sa_handler = on_stop};
    struct http_client *client;
    int64_t drain_deadline = DEADLINE_NONE;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    incarnation = (uint64_t)clock_wall_ms();
    history = history_open(opt.history);
    history_write(history,
                  "\"event\":\"worker\",\"worker\":\"%s\",\"cpu_milli\":%d,"
                  "\"memory_mib\":%d,\"accelerators\":%d",
                  opt.id, opt.cpu_milli, opt.memory_mib, opt.accelerators);
    tasks = map_create();
    client = http_client_create();
    for (;;) {
        run_tasks(clock_now());
        if (stopping && drain_deadline == DEADLINE_NONE) {
            drain_deadline = clock_now() + opt.drain_ms * NS_PER_MS;
        }
        if (stopping && clock_now() >= drain_deadline) {
            stop_all("checkpointed");
        }
        sync_once(client);
        if (stopping && map_count(tasks) == 0) {
            break;
        }
        /* Do not spin while the leader withholds an acknowledgement. */
        struct timespec pause = {0, 10 * 1000000};
        nanosleep(&pause, NULL);
    }
    http_client_destroy(client);
    map_destroy(tasks);
    history_close(history);
    curl_global_cleanup();
    return 0;
}
