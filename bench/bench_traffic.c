#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "clock.h"
#include "front.h"
#include "mem.h"
#include "upstream.h"

/*
 * A chain over the loopback address: client (upstream) -> entry (front, one
 * control thread, upstream) -> endpoint (front, one thread). Prints requests
 * per second, latency and the CPU time of the whole process per request.
 * Usage: bench_traffic [connections [seconds]]
 */

enum {
    RING = 4096,
    BODY_BYTES = 200,
    SAMPLES_MAX = 1 << 20,
    NS_PER_MICRO = 1000,
};

struct node {
    struct front *front;
    struct ring *calls;
    struct upstream *upstream; /* NULL: answers by itself */
    struct ring *results;
    char next[32]; /* the upstream's address */
    atomic_bool stop;
    pthread_t thread;
};

static void
answer(struct front_call *call)
{
    struct front_response response = {.status = 200};

    memset(buf_reserve(&response.body, BODY_BYTES), 'x', BODY_BYTES);
    response.body.len = BODY_BYTES;
    front_respond(call, &response);
}

static void
forward(struct node *n, struct front_call *call)
{
    struct upstream_call out = {.id = call->id,
                                .address = str_of(n->next),
                                .target = call->path,
                                .headers = &call->headers,
                                .body = buf_str(&call->body),
                                .deadline = call->deadline,
                                .user = call,
                                .method = call->method,
                                .idempotent = call->idempotent};

    if (!upstream_send(n->upstream, &out)) {
        struct front_response refusal = {.status = 503};

        front_respond(call, &refusal);
    }
}

static void
take_calls(struct node *n)
{
    struct front_item *item;

    ring_clear(n->calls);
    while ((item = ring_pop(n->calls)) != NULL) {
        struct front_call *call = item->call;
        bool is_call = item->kind == FRONT_ITEM_CALL;

        front_item_release(item);
        if (is_call && n->upstream != NULL) {
            forward(n, call);
        }
        else if (is_call) {
            answer(call);
        }
    }
}

static void
take_results(struct node *n)
{
    struct upstream_result *result;

    if (n->upstream == NULL) {
        return;
    }
    ring_clear(n->results);
    while ((result = ring_pop(n->results)) != NULL) {
        struct front_response response = {
            .status = result->failure == UPSTREAM_OK ? result->status : 502,
            .headers = result->headers,
            .body = result->body};

        result->headers = (struct http_headers){0};
        result->body = (struct buf){0};
        front_respond(result->user, &response);
        upstream_result_free(result);
    }
}

static void *
node_run(void *arg)
{
    struct node *n = arg;
    struct pollfd fds[2] = {{.fd = ring_fd(n->calls), .events = POLLIN},
                            {.fd = -1, .events = POLLIN}};

    if (n->upstream != NULL) {
        fds[1].fd = ring_fd(n->results);
    }
    while (!atomic_load(&n->stop)) {
        poll(fds, 2, 100);
        take_calls(n);
        take_results(n);
    }
    return NULL;
}

static void
node_start(struct node *n, const char *next, unsigned slots)
{
    struct front_config config;
    struct upstream_config out;
    struct sockaddr_in *address = (void *)&config.address;

    front_config_default(&config);
    address->sin_family = AF_INET;
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    config.threads = 2;
    n->calls = ring_create(RING);
    n->front = front_create(&config, n->calls);
    if (next != NULL) {
        upstream_config_default(&out);
        n->results = ring_create(RING);
        n->upstream = upstream_create(&out, n->results);
        snprintf(n->next, sizeof(n->next), "%s", next);
        upstream_set_slots(n->upstream, str_of(n->next), slots);
    }
    pthread_create(&n->thread, NULL, node_run, n);
}

static void
node_stop(struct node *n)
{
    atomic_store(&n->stop, true);
    pthread_join(n->thread, NULL);
    upstream_destroy(n->upstream);
    front_destroy(n->front);
    ring_destroy(n->calls);
    ring_destroy(n->results);
}

struct load {
    struct upstream *client;
    struct ring *results;
    struct str address;
    struct str body;
    enum http_method method;
    uint64_t next_id;
    int64_t *samples;
    size_t count;
    size_t failed;
};

static void
load_send(struct load *l)
{
    struct upstream_call call = {.id = ++l->next_id,
                                 .address = l->address,
                                 .target = STR("/v1/services/ledger/check"),
                                 .body = l->body,
                                 .deadline = clock_now() + 10 * NS_PER_S,
                                 .method = l->method,
                                 /* keeps the client's connections open */
                                 .idempotent = true};

    if (!upstream_send(l->client, &call)) {
        abort();
    }
}

/* Keeps so many requests in flight until the deadline, then drains them. */
static void
load_run(struct load *l, unsigned flight, int64_t deadline)
{
    unsigned open = 0;

    while (open < flight) {
        load_send(l);
        open++;
    }
    while (open != 0) {
        struct pollfd p = {.fd = ring_fd(l->results), .events = POLLIN};
        struct upstream_result *result;

        poll(&p, 1, 1000);
        ring_clear(l->results);
        while ((result = ring_pop(l->results)) != NULL) {
            l->failed += result->failure != UPSTREAM_OK ||
                         result->body.len != BODY_BYTES;
            if (l->count < SAMPLES_MAX) {
                l->samples[l->count++] = result->duration_ns;
            }
            upstream_result_free(result);
            open--;
            if (clock_now() < deadline) {
                load_send(l);
                open++;
            }
        }
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static int64_t
cpu_ns(void)
{
    struct rusage r;

    getrusage(RUSAGE_SELF, &r);
    return (r.ru_utime.tv_sec + r.ru_stime.tv_sec) * NS_PER_S +
           (r.ru_utime.tv_usec + r.ru_stime.tv_usec) * NS_PER_US;
}

static void
measure(struct load *l, const char *name, unsigned flight, int seconds)
{
    int64_t start = clock_now();
    int64_t cpu = cpu_ns();
    double elapsed;

    l->count = 0;
    l->failed = 0;
    load_run(l, flight, start + seconds * NS_PER_S);
    elapsed = (double)(clock_now() - start);
    cpu = cpu_ns() - cpu;
    qsort(l->samples, l->count, sizeof(*l->samples), compare);
    printf("%s connections=%u requests/s=%.0f p50_us=%lld p99_us=%lld "
           "cpu_us/request=%.1f failed=%zu\n",
           name, flight, (double)l->count / elapsed * (double)NS_PER_S,
           (long long)(l->samples[l->count / 2] / NS_PER_MICRO),
           (long long)(l->samples[l->count * 99 / 100] / NS_PER_MICRO),
           (double)cpu / (double)l->count / NS_PER_MICRO, l->failed);
}

int
main(int argc, char **argv)
{
    unsigned flight = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : 64;
    int seconds = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 3;
    struct node endpoint = {0};
    struct node entry = {0};
    struct load load = {0};
    struct upstream_config config;
    char address[32];

    node_start(&endpoint, NULL, 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u",
             front_port(endpoint.front));
    node_start(&entry, address, flight);
    snprintf(address, sizeof(address), "127.0.0.1:%u",
             front_port(entry.front));
    upstream_config_default(&config);
    load.results = ring_create(RING);
    load.client = upstream_create(&config, load.results);
    load.address = str_of(address);
    load.samples = mem_zalloc(SAMPLES_MAX, sizeof(*load.samples));
    upstream_set_slots(load.client, load.address, flight);
    load.method = HTTP_GET;
    measure(&load, "get", flight, seconds);
    load.method = HTTP_POST;
    load.body = STR("{\"order\":1}");
    measure(&load, "post", flight, seconds);
    upstream_destroy(load.client);
    ring_destroy(load.results);
    mem_free(load.samples);
    node_stop(&entry);
    node_stop(&endpoint);
    return 0;
}
