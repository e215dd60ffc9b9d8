/*
 * A stand-in for the platform's load balancer: TCP connections to --listen
 * go round-robin to those of the --to addresses whose /v1/ready answers 200.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>
#include <curl/curl.h>

#include "http_client.h"
#include "str.h"

enum {
    TARGETS_MAX = 32,
    PROBE_MS = 100,
    PROBE_TIMEOUT_MS = 500,
    CHUNK_BYTES = 65536,
};

static const char *listen_text;
static const char *targets[TARGETS_MAX];
static int ready[TARGETS_MAX];
static int target_count;

static struct sockaddr_in
address_of(const char *text)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[64] = "";
    const char *colon = strchr(text, ':');

    if (colon == NULL || colon - text >= (long)sizeof(host)) {
        fprintf(stderr, "balancer: bad address %s\n", text);
        exit(2);
    }
    memcpy(host, text, (size_t)(colon - text));
    inet_pton(AF_INET, host, &a.sin_addr);
    a.sin_port = htons((uint16_t)atoi(colon + 1));
    return a;
}

static void *
probe(void *arg)
{
    struct http_client *client = http_client_create();
    struct timespec pause = {0, PROBE_MS * 1000000L};
    int i = 0;

    (void)arg;
    for (;;) {
        struct buf url = {0};
        struct http_answer answer;

        buf_printf(&url, "http://%s/v1/ready", targets[i]);
        struct http_call call = {
            .method = "GET", .url = url.ptr, .timeout_ms = PROBE_TIMEOUT_MS};
        http_client_call(client, &call, &answer);
        ck_pr_store_int(&ready[i], answer.complete && answer.status == 200);
        http_answer_free(&answer);
        buf_free(&url);
        i = (i + 1) % target_count;
        if (i == 0) {
            nanosleep(&pause, NULL);
        }
    }
    return NULL;
}

static int
connect_next(void)
{
    static unsigned next;

    for (int tries = 0; tries < target_count; tries++) {
        int i = (int)(next++ % (unsigned)target_count);
        struct sockaddr_in a = address_of(targets[i]);
        int fd;

        if (!ck_pr_load_int(&ready[i])) {
            continue;
        }
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0) {
            return fd;
        }
        close(fd);
    }
    return -1;
}

struct pipe {
    int from;
    int to;
};

static void
copy(int from, int to)
{
    char chunk[CHUNK_BYTES];
    ssize_t len;

    while ((len = read(from, chunk, sizeof(chunk))) > 0) {
        for (ssize_t at = 0; at < len;) {
            ssize_t n = send(to, chunk + at, (size_t)(len - at), MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            at += n;
        }
    }
}

static void *
backward(void *arg)
{
    struct pipe *p = arg;

    copy(p->to, p->from);
    shutdown(p->from, SHUT_RDWR);
    return NULL;
}

static void *
serve(void *arg)
{
    struct pipe p = {.from = (int)(intptr_t)arg};
    pthread_t thread;

    p.to = connect_next();
    if (p.to >= 0) {
        pthread_create(&thread, NULL, backward, &p);
        copy(p.from, p.to);
        shutdown(p.to, SHUT_WR);
        pthread_join(thread, NULL);
        close(p.to);
    }
    close(p.from);
    return NULL;
}

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address to accept on", 0},
    {"to", 't', "IP:PORT", 0, "Address of an entry; may be repeated", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'l':
        listen_text = arg;
        break;
    case 't':
        if (target_count < TARGETS_MAX) {
            targets[target_count++] = arg;
        }
        break;
    case ARGP_KEY_END:
        if (listen_text == NULL || target_count == 0) {
            argp_error(state, "--listen or --to is missing");
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
    struct sockaddr_in a;
    pthread_t thread;
    int one = 1;
    int fd;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    a = address_of(listen_text);
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
        listen(fd, 1024) < 0) {
        perror("balancer: listen");
        return 1;
    }
    pthread_create(&thread, NULL, probe, NULL);
    for (;;) {
        int client = accept(fd, NULL, NULL);
        if (client < 0 || pthread_create(&thread, NULL, serve,
                                         (void *)(intptr_t)client) != 0) {
            continue;
        }
        pthread_detach(thread);
    }
}
