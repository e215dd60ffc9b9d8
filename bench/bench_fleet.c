/*
 * A load of many workers and endpoints from one process: each worker syncs as
 * soon as its last sync was answered, runs what it is given for --run-ms, and
 * each endpoint announces itself every second. Prints syncs, starts and
 * announcements per second, the latency of announcements, and the time from
 * the sending of a job by "guavarock bench" on this machine to a task's start.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "clock.h"
#include "mem.h"
#include "str.h"

enum {
    ENTRIES_MAX = 16,
    TASKS_MAX = 256, /* of one worker */
    ANNOUNCE_MS = 1000,
    RETRY_MS = 200,
    POLL_MS = 20,
    TIMEOUT_MS = 10000,
    SAMPLES_MAX = 1000000,
};

/* In the payload of a job of "guavarock bench". */
#define SENT_LABEL "sent_ns="

struct task {
    uint64_t lease;
    int64_t end;
    bool finished;
};

struct client {
    CURL *easy;
    int number;
    bool is_endpoint;
    bool busy;
    int64_t due;
    int64_t sent;
    uint64_t seq;
    struct task tasks[TASKS_MAX];
    int task_count;
    char *body;
    struct buf answer;
};

static struct {
    const char *entries[ENTRIES_MAX];
    int entry_count;
    const char *worker_key;
    const char *endpoint_key;
    long workers;
    long endpoints;
    long seconds;
    long wait_ms;
    long run_ms;
} opt = {.seconds = 10, .wait_ms = 3000, .run_ms = 100};

static CURLM *multi;
static int64_t incarnation;
static uint64_t syncs;
static uint64_t starts;
static uint64_t announcements;
static uint64_t failures;

struct samples {
    int64_t *values;
    size_t count;
};

static struct samples announced;
static struct samples waited;

static void
samples_add(struct samples *s, int64_t value)
{
    if (s->count < SAMPLES_MAX) {
        s->values[s->count++] = value;
    }
}

static size_t
take_body(char *data, size_t size, size_t count, void *arg)
{
    buf_append(arg, data, size * count);
    return size * count;
}

static char *
endpoint_body(const struct client *c)
{
    struct buf out = {0};

    buf_printf(&out,
               "{\"service\":\"s%d\",\"address\":\"127.0.0.1:%d\","
               "\"failure_domain\":\"fd%d\",\"slots\":8,\"connections\":64,"
               "\"state\":\"ready\"}",
               c->number % 10, 20000 + c->number, c->number % 3);
    buf_append(&out, "", 1);
    return out.ptr;
}

static char *
worker_body(struct client *c, int64_t now)
{
    struct buf leases = {0};
    struct buf finished = {0};
    struct buf out = {0};
    bool news = false;

    for (int i = 0; i < c->task_count; i++) {
        struct task *t = &c->tasks[i];

        t->finished = t->finished || t->end <= now;
        news = news || t->finished;
        if (t->finished) {
            buf_printf(&finished,
                       "%s{\"lease\":%" PRIu64
                       ",\"outcome\":\"done\",\"exit_code\":0}",
                       finished.len == 0 ? "" : ",", t->lease);
        }
        else {
            buf_printf(&leases,
                       "%s{\"lease\":%" PRIu64 ",\"state\":\"running\"}",
                       leases.len == 0 ? "" : ",", t->lease);
        }
    }
    buf_printf(&out,
               "{\"incarnation\":%" PRId64 ",\"seq\":%" PRIu64
               ",\"rack\":\"r%d\",\"failure_domain\":\"fd%d\",\"capacity\":{"
               "\"cpu_milli\":16000,\"memory_mib\":32768,\"accelerators\":0},"
               "\"leases\":[%.*s],\"finished\":[%.*s],\"usage\":[],"
               "\"draining\":false,\"wait_ms\":%ld}",
               incarnation, ++c->seq, c->number / 40, c->number % 3,
               STR_ARG(buf_str(&leases)), STR_ARG(buf_str(&finished)),
               news ? 0 : (c->task_count > 0 ? opt.run_ms : opt.wait_ms));
    buf_append(&out, "", 1);
    buf_free(&leases);
    buf_free(&finished);
    return out.ptr;
}

static void
send_call(struct client *c, int64_t now)
{
    const char *entry = opt.entries[c->number % opt.entry_count];
    struct buf url = {0};

    mem_free(c->body);
    c->body = c->is_endpoint ? endpoint_body(c) : worker_body(c, now);
    buf_printf(&url,
               c->is_endpoint ? "%s/v1/endpoints/be%d"
                              : "%s/v1/workers/bw%d/sync",
               entry, c->number);
    curl_easy_setopt(c->easy, CURLOPT_URL, url.ptr);
    curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body);
    buf_free(&url);
    buf_clear(&c->answer);
    c->busy = true;
    c->sent = now;
    curl_multi_add_handle(multi, c->easy);
}

static void
forget(struct client *c, uint64_t lease)
{
    for (int i = 0; i < c->task_count; i++) {
        if (c->tasks[i].lease == lease) {
            c->tasks[i] = c->tasks[--c->task_count];
            return;
        }
    }
}

static bool
knows(const struct client *c, uint64_t lease)
{
    for (int i = 0; i < c->task_count; i++) {
        if (c->tasks[i].lease == lease) {
            return true;
        }
    }
    return false;
}

static void
note_wait(const json_t *start, int64_t now)
{
    const char *payload = json_string_value(json_object_get(start, "payload"));
    const char *sent = payload == NULL ? NULL : strstr(payload, SENT_LABEL);

    if (sent != NULL) {
        samples_add(&waited,
                    now - strtoll(sent + strlen(SENT_LABEL), NULL, 10));
    }
}

static void
take_answer(struct client *c, int64_t now)
{
    json_t *answer = json_loadb(c->answer.ptr, c->answer.len, 0, NULL);
    const json_t *item;
    size_t i;

    json_array_foreach(json_object_get(answer, "finished_ack"), i, item)
    {
        forget(c, (uint64_t)json_integer_value(item));
    }
    json_array_foreach(json_object_get(answer, "start"), i, item)
    {
        uint64_t lease =
            (uint64_t)json_integer_value(json_object_get(item, "lease"));

        if (!knows(c, lease) && c->task_count < TASKS_MAX) {
            c->tasks[c->task_count++] = (struct task){
                .lease = lease, .end = now + opt.run_ms * NS_PER_MS};
            starts++;
            note_wait(item, now);
        }
    }
    json_decref(answer);
}

static void
finish(struct client *c, CURLcode code, int64_t now)
{
    long status = 0;

    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(multi, c->easy);
    c->busy = false;
    c->due = now;
    if (code != CURLE_OK || status != 200) {
        failures++;
        c->due = now + RETRY_MS * NS_PER_MS;
        return;
    }
    if (c->is_endpoint) {
        announcements++;
        c->due = c->sent + ANNOUNCE_MS * NS_PER_MS;
        samples_add(&announced, now - c->sent);
        return;
    }
    syncs++;
    take_answer(c, now);
}

static void
reap(int64_t now)
{
    struct CURLMsg *m;
    struct client *c;
    int left;

    while ((m = curl_multi_info_read(multi, &left)) != NULL) {
        CURLcode code = m->data.result;

        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, (char **)&c);
        finish(c, code, now);
    }
}

static struct curl_slist *
headers(const char *key)
{
    struct buf line = {0};
    struct curl_slist *list;

    buf_printf(&line, "Authorization: Bearer %s", key);
    list = curl_slist_append(NULL, line.ptr);
    buf_free(&line);
    return list;
}

static void
setup(struct client *c, int number, bool is_endpoint,
      struct curl_slist *header_list)
{
    c->easy = curl_easy_init();
    c->number = number;
    c->is_endpoint = is_endpoint;
    curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST,
                     is_endpoint ? "PUT" : "POST");
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, header_list);
    curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
    curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, &c->answer);
    curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
    /* Spread over a second, as a fleet is. */
    c->due = clock_now() + number % 1000 * NS_PER_MS;
}

static int
by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
percentile_ms(const struct samples *s, double p)
{
    if (s->count == 0) {
        return 0;
    }
    return (double)s->values[(size_t)(p * (double)(s->count - 1))] / NS_PER_MS;
}

static void
print_samples(const char *label, struct samples *s)
{
    if (s->count == 0) {
        return;
    }
    qsort(s->values, s->count, sizeof(*s->values), by_value);
    printf("%s ms: p50 %.2f  p99 %.2f  max %.2f\n", label,
           percentile_ms(s, 0.5), percentile_ms(s, 0.99), percentile_ms(s, 1));
}

static void
run(struct client *clients, long total)
{
    int64_t begin = clock_now();
    int64_t deadline = begin + opt.seconds * NS_PER_S;
    int running;
    int64_t now;

    while ((now = clock_now()) < deadline) {
        for (long i = 0; i < total; i++) {
            if (!clients[i].busy && clients[i].due <= now) {
                send_call(&clients[i], now);
            }
        }
        curl_multi_perform(multi, &running);
        reap(clock_now());
        curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
    }
    printf("workers %ld endpoints %ld: syncs %.1f/s starts %.1f/s "
           "announcements %.1f/s failures %" PRIu64 "\n",
           opt.workers, opt.endpoints, (double)syncs / (double)opt.seconds,
           (double)starts / (double)opt.seconds,
           (double)announcements / (double)opt.seconds, failures);
    print_samples("announcement", &announced);
    print_samples("job sent to task started", &waited);
}

static const struct argp_option options[] = {
    {"entry", 'e', "URL", 0, "Entry URL; may be repeated", 0},
    {"worker-key", 'k', "KEY", 0, "Key of the kind worker", 0},
    {"endpoint-key", 'K', "KEY", 0, "Key of the kind endpoint", 0},
    {"workers", 'w', "N", 0, "Workers", 0},
    {"endpoints", 'n', "N", 0, "Endpoints", 0},
    {"seconds", 'd', "S", 0, "Duration (10)", 0},
    {"wait-ms", 'W', "MS", 0, "Long-poll time of a sync (3000)", 0},
    {"run-ms", 'r', "MS", 0, "Run time of a task (100)", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'e':
        if (opt.entry_count < ENTRIES_MAX) {
            opt.entries[opt.entry_count++] = arg;
        }
        break;
    case 'k':
        opt.worker_key = arg;
        break;
    case 'K':
        opt.endpoint_key = arg;
        break;
    case 'w':
        opt.workers = atol(arg);
        break;
    case 'n':
        opt.endpoints = atol(arg);
        break;
    case 'd':
        opt.seconds = atol(arg);
        break;
    case 'W':
        opt.wait_ms = atol(arg);
        break;
    case 'r':
        opt.run_ms = atol(arg);
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
    struct curl_slist *worker_headers;
    struct curl_slist *endpoint_headers;
    struct client *clients;
    long total;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    incarnation = clock_wall_ms();
    multi = curl_multi_init();
    total = opt.workers + opt.endpoints;
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, total);
    announced.values = mem_alloc(SAMPLES_MAX * sizeof(int64_t));
    waited.values = mem_alloc(SAMPLES_MAX * sizeof(int64_t));
    clients = mem_zalloc((size_t)total + 1, sizeof(*clients));
    worker_headers = headers(opt.worker_key == NULL ? "" : opt.worker_key);
    endpoint_headers =
        headers(opt.endpoint_key == NULL ? "" : opt.endpoint_key);
    for (long i = 0; i < total; i++) {
        bool is_endpoint = i >= opt.workers;

        setup(&clients[i], (int)i, is_endpoint,
              is_endpoint ? endpoint_headers : worker_headers);
    }
    run(clients, total);
    for (long i = 0; i < total; i++) {
        if (clients[i].busy) {
            curl_multi_remove_handle(multi, clients[i].easy);
        }
        curl_easy_cleanup(clients[i].easy);
        mem_free(clients[i].body);
        buf_free(&clients[i].answer);
    }
    curl_slist_free_all(worker_headers);
    curl_slist_free_all(endpoint_headers);
    curl_multi_cleanup(multi);
    mem_free(clients);
    mem_free(announced.values);
    mem_free(waited.values);
    curl_global_cleanup();
    return 0;
}
