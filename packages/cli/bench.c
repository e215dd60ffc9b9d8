/*
 * The load generator: a fixed number of concurrent connections on one thread,
 * with libcurl's multi interface, for a bounded time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "clock.h"
#include "mem.h"

enum {
    CONCURRENCY_MAX = 2000,
    SECONDS_MAX = 3600,
    SAMPLES_MAX = 10000000,
    POLL_MS = 100,
    TASKS_MAX = 1000,
};

enum bench_kind {
    BENCH_REQUESTS,
    BENCH_JOBS,
};

struct bench {
    enum bench_kind kind;
    const char *target; /* service path or full URL, or job id prefix */
    long concurrency;
    long seconds;
    long rate;  /* per second over all connections, 0 for no limit */
    long tasks; /* of each job */
    struct cli *cli;
    CURLM *multi;
    int64_t deadline;
    int64_t next_start;
    uint64_t started;
    uint64_t done;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t refused;
    uint64_t broken;
    int64_t *samples;
    size_t sample_count;
};

struct lane {
    struct bench *bench;
    CURL *easy;
    struct curl_slist *headers;
    int64_t started; /* 0 while idle */
    char body[160];
    struct lane *next_idle;
};

static size_t
drop_body(char *data, size_t size, size_t count, void *arg)
{
    (void)data;
    (void)arg;
    return size * count;
}

static void
lane_setup(struct lane *l, struct bench *b)
{
    struct buf auth = {0};

    l->bench = b;
    l->easy = curl_easy_init();
    if (b->cli->key != NULL) {
        buf_printf(&auth, "Authorization: Bearer %s", b->cli->key);
        l->headers = curl_slist_append(NULL, auth.ptr);
        buf_free(&auth);
    }
    curl_easy_setopt(l->easy, CURLOPT_HTTPHEADER, l->headers);
    curl_easy_setopt(l->easy, CURLOPT_TIMEOUT_MS, b->cli->timeout_ms);
    curl_easy_setopt(l->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(l->easy, CURLOPT_WRITEFUNCTION, drop_body);
    curl_easy_setopt(l->easy, CURLOPT_PRIVATE, l);
}

static void
lane_start(struct lane *l, int64_t now)
{
    struct bench *b = l->bench;
    const char *server =
        b->cli->servers[b->started % (uint64_t)b->cli->server_count];
    struct buf url = {0};

    if (b->kind == BENCH_JOBS) {
        buf_printf(&url, "%s/v1/jobs/%s-%llu", server, b->target,
                   (unsigned long long)b->started);
        snprintf(l->body, sizeof(l->body),
                 "{\"class\":\"batch\",\"tasks\":%ld,\"cpu_milli\":100,"
                 "\"memory_mib\":16,\"payload\":\"run_ms=10 sent_ns=%lld\"}",
                 b->tasks, (long long)now);
        curl_easy_setopt(l->easy, CURLOPT_CUSTOMREQUEST, "PUT");
        curl_easy_setopt(l->easy, CURLOPT_POSTFIELDS, l->body);
    }
    else if (strncmp(b->target, "http://", 7) == 0) {
        buf_printf(&url, "%s", b->target);
    }
    else {
        buf_printf(&url, "%s/v1/services/%s", server, b->target);
    }
    curl_easy_setopt(l->easy, CURLOPT_URL, url.ptr);
    buf_free(&url);
    l->started = now;
    b->started++;
    curl_multi_add_handle(b->multi, l->easy);
}

static void
lane_finish(struct lane *l, CURLcode code)
{
    struct bench *b = l->bench;
    int64_t now = clock_now();
    char outcome[CLI_OUTCOME_BYTES];
    long status = 0;

    curl_easy_getinfo(l->easy, CURLINFO_RESPONSE_CODE, &status);
    cli_read_outcome(l->easy, outcome);
    curl_multi_remove_handle(b->multi, l->easy);
    if (code != CURLE_OK) {
        b->broken++;
    }
    else if (strcmp(outcome, "not-run") == 0) {
        b->not_run++;
    }
    else if (strcmp(outcome, "unknown") == 0) {
        b->unknown++;
    }
    else if (status >= 400) {
        b->refused++;
    }
    else {
        b->done++;
        if (b->sample_count < SAMPLES_MAX) {
            b->samples[b->sample_count++] = now - l->started;
        }
    }
    l->started = 0;
}

static int64_t
start_interval(const struct bench *b)
{
    return b->rate == 0 ? 0 : NS_PER_S / b->rate;
}

static void
start_idle(struct bench *b, struct lane *lanes, int64_t now)
{
    for (long i = 0; i < b->concurrency && now < b->deadline; i++) {
        if (lanes[i].started != 0) {
            continue;
        }
        if (b->next_start > now) {
            return;
        }
        b->next_start += start_interval(b);
        lane_start(&lanes[i], now);
    }
}

static long
reap(struct bench *b)
{
    struct CURLMsg *m;
    struct lane *l;
    int left;
    long count = 0;

    while ((m = curl_multi_info_read(b->multi, &left)) != NULL) {
        CURLcode code = m->data.result;
        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, (char **)&l);
        lane_finish(l, code);
        count++;
    }
    return count;
}

static void
run(struct bench *b)
{
    struct lane *lanes =
        mem_zalloc((size_t)b->concurrency, sizeof(struct lane));
    int running = 0;

    for (long i = 0; i < b->concurrency; i++) {
        lane_setup(&lanes[i], b);
    }
    b->next_start = clock_now();
    do {
        int64_t now = clock_now();
        start_idle(b, lanes, now);
        curl_multi_perform(b->multi, &running);
        if (reap(b) == 0) {
            int wait = clock_wait_ms(now, b->next_start, POLL_MS);
            curl_multi_poll(b->multi, NULL, 0, b->rate == 0 ? POLL_MS : wait,
                            NULL);
        }
    } while (clock_now() < b->deadline || running > 0);
    reap(b);
    for (long i = 0; i < b->concurrency; i++) {
        curl_easy_cleanup(lanes[i].easy);
        curl_slist_free_all(lanes[i].headers);
    }
    mem_free(lanes);
}

static int
by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
percentile_ms(const struct bench *b, double p)
{
    if (b->sample_count == 0) {
        return 0;
    }
    size_t at = (size_t)(p * (double)(b->sample_count - 1));
    return (double)b->samples[at] / NS_PER_MS;
}

static void
report(const struct bench *b, double seconds)
{
    qsort(b->samples, b->sample_count, sizeof(*b->samples), by_value);
    if (b->cli->json) {
        printf("{\"seconds\":%.3f,\"done\":%llu,\"per_second\":%.1f,"
               "\"not_run\":%llu,\"unknown\":%llu,\"refused\":%llu,"
               "\"broken\":%llu,\"p50_ms\":%.3f,\"p90_ms\":%.3f,"
               "\"p99_ms\":%.3f,\"max_ms\":%.3f}\n",
               seconds, (unsigned long long)b->done, (double)b->done / seconds,
               (unsigned long long)b->not_run, (unsigned long long)b->unknown,
               (unsigned long long)b->refused, (unsigned long long)b->broken,
               percentile_ms(b, 0.5), percentile_ms(b, 0.9),
               percentile_ms(b, 0.99), percentile_ms(b, 1));
        return;
    }
    printf("done %llu in %.1f s (%.1f/s), not run %llu, unknown %llu, "
           "refused %llu, broken %llu\n",
           (unsigned long long)b->done, seconds, (double)b->done / seconds,
           (unsigned long long)b->not_run, (unsigned long long)b->unknown,
           (unsigned long long)b->refused, (unsigned long long)b->broken);
    printf("latency ms: p50 %.3f  p90 %.3f  p99 %.3f  max %.3f\n",
           percentile_ms(b, 0.5), percentile_ms(b, 0.9),
           percentile_ms(b, 0.99), percentile_ms(b, 1));
}

static const struct argp_option options[] = {
    {"concurrency", 'c', "N", 0, "Concurrent calls (16)", 0},
    {"seconds", 'd', "S", 0, "Duration (10)", 0},
    {"rate", 'r', "N", 0, "Calls per second at most (no limit)", 0},
    {"jobs", 'j', NULL, 0, "Submit small jobs; TARGET is their prefix", 0},
    {"tasks", 't', "N", 0, "Tasks of each job (1)", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    struct bench *b = state->input;

    switch (key) {
    case 'c':
        b->concurrency =
            cli_number(state, "--concurrency", arg, CONCURRENCY_MAX);
        break;
    case 'd':
        b->seconds = cli_number(state, "--seconds", arg, SECONDS_MAX);
        break;
    case 'r':
        b->rate = cli_number(state, "--rate", arg, 10000000);
        break;
    case 'j':
        b->kind = BENCH_JOBS;
        break;
    case 't':
        b->tasks = cli_number(state, "--tasks", arg, TASKS_MAX);
        break;
    case ARGP_KEY_ARG:
        b->target = arg;
        break;
    case ARGP_KEY_END:
        if (b->target == NULL || b->concurrency == 0 || b->tasks == 0) {
            argp_error(state, "the target is missing, or no call or task is "
                              "allowed");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
cli_bench(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .options = options,
        .parser = parse,
        .args_doc = "TARGET",
        .doc = "Measure calls to TARGET: SERVICE/PATH through the entries, or "
               "an http:// URL without them."};
    struct bench b = {
        .concurrency = 16, .seconds = 10, .tasks = 1, .cli = cli};
    int64_t begin;

    argp_parse(&argp, argc, argv, 0, NULL, &b);
    b.multi = curl_multi_init();
    b.samples = mem_alloc(SAMPLES_MAX * sizeof(*b.samples));
    begin = clock_now();
    b.deadline = begin + b.seconds * NS_PER_S;
    run(&b);
    report(&b, (double)(clock_now() - begin) / NS_PER_S);
    curl_multi_cleanup(b.multi);
    mem_free(b.samples);
    return b.done == 0 ? CLI_NOT_RUN : CLI_OK;
}
