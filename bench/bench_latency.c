#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>

#include "clock.h"
#include "mem.h"
#include "str.h"

/*
 * The latency that the entries add. Each lane is a thread that sends requests
 * directly to an endpoint and through an entry by turns, so that both kinds
 * meet the same load of the machine, and half of the lanes is at each kind at
 * any time. A random pause before each request keeps the lanes out of step:
 * lanes that end together wait for each other at every process.
 *
 * Usage: bench_latency CONCURRENCY SECONDS REPEATS PAUSE_US PATH ENTRIES
 * ENDPOINTS; the last two are URLs separated by commas. GUAVAROCK_KEY is the
 * team's key. Concurrency counts requests of each kind. Prints one line per
 * repetition, and the median and extremes of the added latency at p99.
 */

enum {
    KINDS = 2,
    URLS_MAX = 64,
    LANES_MAX = 400,
    REPEATS_MAX = 100,
    LANE_SAMPLES = 1 << 16,
    TIMEOUT_MS = 5000,
    NS_PER_MICRO = 1000,
};

enum kind {
    DIRECT,
    ROUTED,
};

struct urls {
    char *list[URLS_MAX];
    size_t count;
};

struct bench {
    struct urls urls[KINDS];
    const char *path;
    const char *key;
    int64_t pause_ns;
    int64_t begin; /* of the samples */
    int64_t end;
};

struct lane {
    struct bench *bench;
    pthread_t thread;
    unsigned short seed[3];
    size_t index;
    int64_t *samples[KINDS];
    size_t count[KINDS];
    size_t failed;
};

struct sample_set {
    int64_t *list;
    size_t count;
};

static size_t
drop_body(char *data, size_t size, size_t count, void *arg)
{
    (void)data;
    (void)arg;
    return size * count;
}

static void
sleep_ns(int64_t ns)
{
    struct timespec t = {ns / NS_PER_S, ns % NS_PER_S};

    nanosleep(&t, NULL);
}

static void
set_url(struct lane *l, enum kind kind, CURL *easy)
{
    const struct urls *urls = &l->bench->urls[kind];
    /* One kept connection to an endpoint, whose stand-in has a thread for
     * each. */
    size_t i = kind == DIRECT ? l->index : (size_t)nrand48(l->seed);
    struct buf url = {0};

    buf_printf(&url, "%s%s%s", urls->list[i % urls->count],
               kind == ROUTED ? "/v1/services" : "", l->bench->path);
    curl_easy_setopt(easy, CURLOPT_URL, url.ptr);
    buf_free(&url);
}

static void
call(struct lane *l, enum kind kind, CURL *easy)
{
    const struct bench *b = l->bench;
    int64_t start;
    int64_t end;
    long status = 0;

    set_url(l, kind, easy);
    sleep_ns((int64_t)(erand48(l->seed) * 2 * (double)b->pause_ns));
    start = clock_now();
    if (curl_easy_perform(easy) != CURLE_OK) {
        l->failed++;
        return;
    }
    end = clock_now();
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    if (status != 200) {
        l->failed++;
    }
    else if (start >= b->begin && end < b->end &&
             l->count[kind] < LANE_SAMPLES) {
        l->samples[kind][l->count[kind]++] = end - start;
    }
}

static CURL *
open_handle(struct curl_slist *headers)
{
    CURL *easy = curl_easy_init();

    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
    /* A connection to each entry is kept. */
    curl_easy_setopt(easy, CURLOPT_MAXCONNECTS, (long)URLS_MAX);
    return easy;
}

static void *
lane_run(void *arg)
{
    struct lane *l = arg;
    struct buf auth = {0};
    struct curl_slist *headers;
    CURL *easy[KINDS];

    buf_printf(&auth, "Authorization: Bearer %s", l->bench->key);
    headers = curl_slist_append(NULL, auth.ptr);
    for (int k = 0; k < KINDS; k++) {
        easy[k] = open_handle(headers);
    }
    for (int k = (int)(l->index % KINDS); clock_now() < l->bench->end;
         k = 1 - k) {
        call(l, (enum kind)k, easy[k]);
    }
    for (int k = 0; k < KINDS; k++) {
        curl_easy_cleanup(easy[k]);
    }
    curl_slist_free_all(headers);
    buf_free(&auth);
    return NULL;
}

static int
by_size(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static int
by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
percentile_ms(const struct sample_set *s, double p)
{
    if (s->count == 0) {
        return 0;
    }
    return (double)s->list[(size_t)(p * (double)(s->count - 1))] / NS_PER_MS;
}

static struct sample_set
collect(const struct lane *lanes, size_t count, enum kind kind)
{
    struct sample_set out = {0};

    out.list = mem_alloc(count * LANE_SAMPLES * sizeof(*out.list));
    for (size_t i = 0; i < count; i++) {
        memcpy(out.list + out.count, lanes[i].samples[kind],
               lanes[i].count[kind] * sizeof(*out.list));
        out.count += lanes[i].count[kind];
    }
    qsort(out.list, out.count, sizeof(*out.list), by_value);
    return out;
}

static void
run_lanes(struct bench *b, struct lane *lanes, size_t count, int64_t seconds)
{
    b->begin = clock_now() + NS_PER_S;
    b->end = b->begin + seconds * NS_PER_S;
    for (size_t i = 0; i < count; i++) {
        pthread_create(&lanes[i].thread, NULL, lane_run, &lanes[i]);
    }
    for (size_t i = 0; i < count; i++) {
        pthread_join(lanes[i].thread, NULL);
    }
}

static size_t
take_failed(struct lane *lanes, size_t count)
{
    size_t failed = 0;

    for (size_t i = 0; i < count; i++) {
        failed += lanes[i].failed;
        lanes[i].failed = 0;
        memset(lanes[i].count, 0, sizeof(lanes[i].count));
    }
    return failed;
}

/* Returns the added latency at p99 in ms. */
static double
repeat(struct bench *b, struct lane *lanes, size_t count, int64_t seconds)
{
    struct sample_set direct;
    struct sample_set routed;
    double added;

    run_lanes(b, lanes, count, seconds);
    direct = collect(lanes, count, DIRECT);
    routed = collect(lanes, count, ROUTED);
    added = percentile_ms(&routed, 0.99) - percentile_ms(&direct, 0.99);
    printf("direct %zu p50 %.3f p99 %.3f p99.9 %.3f  routed %zu p50 %.3f "
           "p99 %.3f p99.9 %.3f  added p50 %.3f p99 %.3f  failed %zu\n",
           direct.count, percentile_ms(&direct, 0.5),
           percentile_ms(&direct, 0.99), percentile_ms(&direct, 0.999),
           routed.count, percentile_ms(&routed, 0.5),
           percentile_ms(&routed, 0.99), percentile_ms(&routed, 0.999),
           percentile_ms(&routed, 0.5) - percentile_ms(&direct, 0.5), added,
           take_failed(lanes, count));
    fflush(stdout);
    mem_free(direct.list);
    mem_free(routed.list);
    return added;
}

static void
split(struct urls *out, char *text)
{
    char *rest = NULL;

    for (char *u = strtok_r(text, ",", &rest);
         u != NULL && out->count < URLS_MAX; u = strtok_r(NULL, ",", &rest)) {
        out->list[out->count++] = u;
    }
}

static struct lane *
make_lanes(struct bench *b, size_t count)
{
    struct lane *lanes = mem_zalloc(count, sizeof(*lanes));

    for (size_t i = 0; i < count; i++) {
        lanes[i].bench = b;
        lanes[i].index = i;
        lanes[i].seed[0] = (unsigned short)i;
        for (int k = 0; k < KINDS; k++) {
            lanes[i].samples[k] = mem_alloc(LANE_SAMPLES * sizeof(int64_t));
        }
    }
    return lanes;
}

static void
free_lanes(struct lane *lanes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        for (int k = 0; k < KINDS; k++) {
            mem_free(lanes[i].samples[k]);
        }
    }
    mem_free(lanes);
}

static void
measure(struct bench *b, size_t count, int64_t seconds, int repeats)
{
    struct lane *lanes = make_lanes(b, count);
    double added[REPEATS_MAX] = {0};

    for (int i = 0; i < repeats; i++) {
        added[i] = repeat(b, lanes, count, seconds);
    }
    qsort(added, (size_t)repeats, sizeof(*added), by_size);
    printf("added p99 ms: median %.3f least %.3f most %.3f\n",
           added[repeats / 2], added[0], added[repeats - 1]);
    free_lanes(lanes, count);
}

int
main(int argc, char **argv)
{
    struct bench b = {0};
    size_t count;
    int repeats;

    b.key = getenv("GUAVAROCK_KEY");
    if (argc != 8 || b.key == NULL) {
        fprintf(stderr, "usage: bench_latency CONCURRENCY SECONDS REPEATS "
                        "PAUSE_US PATH ENTRIES ENDPOINTS\n");
        return 2;
    }
    count = KINDS * strtoul(argv[1], NULL, 10);
    repeats = (int)strtol(argv[3], NULL, 10);
    b.pause_ns = strtol(argv[4], NULL, 10) * NS_PER_MICRO;
    b.path = argv[5];
    split(&b.urls[ROUTED], argv[6]);
    split(&b.urls[DIRECT], argv[7]);
    if (count == 0 || count > LANES_MAX || repeats < 1 ||
        repeats > REPEATS_MAX || b.urls[ROUTED].count == 0 ||
        b.urls[DIRECT].count == 0) {
        fprintf(stderr, "bench_latency: a number is out of range\n");
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    measure(&b, count, strtol(argv[2], NULL, 10), repeats);
    curl_global_cleanup();
    return 0;
}
