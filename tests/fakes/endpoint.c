/*
 * A stand-in endpoint: announces itself to the entries and answers requests.
 * GET /any?delay_ms=N&status=N&size=N&fail=reset answers after a delay, with
 * that status, a body of that size (the request's body when no size is
 * given), or by closing the connection. SIGTERM announces "leaving", finishes
 * what runs and exits with 0.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>
#include <microhttpd.h>

#include "clock.h"
#include "history.h"
#include "http_client.h"
#include "mem.h"
#include "str.h"

enum {
    ENTRIES_MAX = 16,
    HEARTBEAT_MS = 500,
    CALL_TIMEOUT_MS = 2000,
};

struct options {
    const char *id;
    const char *service;
    const char *ip;
    int port;
    const char *failure_domain;
    const char *key;
    const char *history;
    char *entries[ENTRIES_MAX];
    int entry_count;
    int slots;
    int connections;
    int delay_ms;
    int linger_ms;
};

static struct options opt = {
    .id = "endpoint1",
    .service = "echo",
    .ip = "127.0.0.1",
    .port = 0,
    .failure_domain = "fd1",
    .slots = 8,
    .connections = 64,
    .linger_ms = 3000,
};

static struct history *history;
static pthread_mutex_t active_lock = PTHREAD_MUTEX_INITIALIZER;
static int active;

struct request {
    struct buf body;
    int done;
};

static int
change_active(int by)
{
    int now;

    pthread_mutex_lock(&active_lock);
    active += by;
    now = active;
    pthread_mutex_unlock(&active_lock);
    return now;
}

static long
query_number(struct MHD_Connection *c, const char *name, long otherwise)
{
    const char *v =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);

    return v == NULL ? otherwise : strtol(v, NULL, 10);
}

static void
sleep_ms(long ms)
{
    struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

    nanosleep(&ts, NULL);
}

static struct MHD_Response *
make_response(struct MHD_Connection *c, struct request *r)
{
    long size = query_number(c, "size", -1);
    char *text;

    if (size < 0) {
        return MHD_create_response_from_buffer(r->body.len, r->body.ptr,
                                               MHD_RESPMEM_MUST_COPY);
    }
    text = mem_alloc((size_t)size + 1);
    memset(text, 'x', (size_t)size);
    return MHD_create_response_from_buffer((size_t)size, text,
                                           MHD_RESPMEM_MUST_FREE);
}

static enum MHD_Result
answer(struct MHD_Connection *c, const char *url, const char *method,
       struct request *r)
{
    const char *fail =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "fail");
    const char *tag =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "tag");
    struct MHD_Response *response;
    enum MHD_Result result;

    history_write(history,
                  "\"event\":\"request\",\"endpoint\":\"%s\",\"method\":"
                  "\"%s\",\"path\":\"%s\",\"tag\":\"%s\",\"active\":%d",
                  opt.id, method, url, tag == NULL ? "" : tag,
                  change_active(1));
    sleep_ms(query_number(c, "delay_ms", opt.delay_ms));
    history_write(history,
                  "\"event\":\"response\",\"endpoint\":\"%s\",\"tag\":\"%s\"",
                  opt.id, tag == NULL ? "" : tag);
    change_active(-1);
    if (fail != NULL) {
        return MHD_NO;
    }
    response = make_response(c, r);
    MHD_add_response_header(response, "X-Endpoint", opt.id);
    if (tag != NULL) {
        MHD_add_response_header(response, "X-Tag", tag);
    }
    result = MHD_queue_response(
        c, (unsigned)query_number(c, "status", MHD_HTTP_OK), response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
handle(void *cls, struct MHD_Connection *c, const char *url,
       const char *method, const char *version, const char *data, size_t *size,
       void **state)
{
    struct request *r = *state;

    (void)cls;
    (void)version;
    if (r == NULL) {
        *state = mem_zalloc(1, sizeof(*r));
        return MHD_YES;
    }
    if (*size != 0) {
        buf_append(&r->body, data, *size);
        *size = 0;
        return MHD_YES;
    }
    return answer(c, url, method, r);
}

static void
completed(void *cls, struct MHD_Connection *c, void **state,
          enum MHD_RequestTerminationCode why)
{
    struct request *r = *state;

    (void)cls;
    (void)c;
    (void)why;
    if (r != NULL) {
        buf_free(&r->body);
        mem_free(r);
    }
}

static void
announce(struct http_client *client, const char *state)
{
    static int next;
    struct buf url = {0};
    struct buf body = {0};
    struct http_answer out;

    buf_printf(&body,
               "{\"service\":\"%s\",\"address\":\"%s:%d\","
               "\"failure_domain\":\"%s\",\"slots\":%d,\"connections\":%d,"
               "\"state\":\"%s\"}",
               opt.service, opt.ip, opt.port, opt.failure_domain, opt.slots,
               opt.connections, state);
    for (int i = 0; i < opt.entry_count; i++) {
        buf_clear(&url);
        buf_printf(&url, "%s/v1/endpoints/%s",
                   opt.entries[(next + i) % opt.entry_count], opt.id);
        struct http_call call = {.method = "PUT",
                                 .url = url.ptr,
                                 .key = opt.key,
                                 .body = buf_str(&body),
                                 .timeout_ms = CALL_TIMEOUT_MS};
        http_client_call(client, &call, &out);
        int ok = out.complete && out.status == 200;
        if (!ok && out.status != 0) {
            fprintf(stderr, "announce: %ld %s\n", out.status, out.body.ptr);
        }
        http_answer_free(&out);
        if (ok) {
            /* Stay with an entry that answers. */
            next = (next + i) % opt.entry_count;
            break;
        }
    }
    buf_free(&url);
    buf_free(&body);
}

static int
wait_for_stop(const sigset_t *set, int ms)
{
    struct timespec ts = {ms / 1000, (long)(ms % 1000) * 1000000};

    return sigtimedwait(set, NULL, &ts) > 0;
}

static void
leave(struct http_client *client)
{
    int64_t until = clock_now() + opt.linger_ms * NS_PER_MS;

    history_write(history, "\"event\":\"leaving\",\"endpoint\":\"%s\"",
                  opt.id);
    while (clock_now() < until) {
        announce(client, "leaving");
        sleep_ms(HEARTBEAT_MS);
    }
    while (change_active(0) > 0) {
        sleep_ms(20);
    }
    history_write(history, "\"event\":\"gone\",\"endpoint\":\"%s\"", opt.id);
}

static const struct argp_option options[] = {
    {"id", 'i', "ID", 0, "Endpoint id", 0},
    {"service", 's', "NAME", 0, "Service name", 0},
    {"ip", 'a', "IP", 0, "Address; 127.0.0.1 by default", 0},
    {"port", 'p', "PORT", 0, "Port", 0},
    {"failure-domain", 'f', "NAME", 0, "Failure domain", 0},
    {"key", 'k', "KEY", 0, "Endpoint key", 0},
    {"entry", 'e', "URL", 0, "Entry URL; may be repeated", 0},
    {"slots", 'n', "N", 0, "Slots", 0},
    {"connections", 'c', "N", 0, "Connections", 0},
    {"delay-ms", 'd', "MS", 0, "Default time to answer", 0},
    {"linger-ms", 'l', "MS", 0, "Time to announce leaving", 0},
    {"history", 'h', "FILE", 0, "Append events to FILE", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    (void)state;
    switch (key) {
    case 'i':
        opt.id = arg;
        break;
    case 's':
        opt.service = arg;
        break;
    case 'a':
        opt.ip = arg;
        break;
    case 'p':
        opt.port = atoi(arg);
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
    case 'n':
        opt.slots = atoi(arg);
        break;
    case 'c':
        opt.connections = atoi(arg);
        break;
    case 'd':
        opt.delay_ms = atoi(arg);
        break;
    case 'l':
        opt.linger_ms = atoi(arg);
        break;
    case 'h':
        opt.history = arg;
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
    struct sockaddr_in addr = {.sin_family = AF_INET};
    struct http_client *client;
    struct MHD_Daemon *daemon;
    sigset_t set;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    history = history_open(opt.history);
    addr.sin_port = htons((uint16_t)opt.port);
    inet_pton(AF_INET, opt.ip, &addr.sin_addr);
    daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
        (uint16_t)opt.port, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR,
        &addr, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);
    if (daemon == NULL) {
        perror("MHD_start_daemon");
        return 1;
    }
    history_write(history,
                  "\"event\":\"endpoint\",\"endpoint\":\"%s\",\"slots\":%d",
                  opt.id, opt.slots);
    client = http_client_create();
    do {
        announce(client, "ready");
    } while (!wait_for_stop(&set, HEARTBEAT_MS));
    leave(client);
    MHD_stop_daemon(daemon);
    http_client_destroy(client);
    history_close(history);
    curl_global_cleanup();
    return 0;
}
