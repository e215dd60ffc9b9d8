#include "internal.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "clock.h"
#include "mem.h"

enum {
    STOP_RETRY_US = 1000,
};

void
upstream_config_default(struct upstream_config *config)
{
    *config = (struct upstream_config){
        .threads = 2,
        .queue = 4096,
        .max_response = 8 * 1024 * 1024,
        .max_header = 16 * 1024,
        .connect_timeout_ns = 1 * NS_PER_S,
        .idle_timeout_ns = 20 * NS_PER_S,
    };
}

static void
init_curl(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

static void
thread_free(struct upstream_thread *t)
{
    struct message *m;

    while (t->messages != NULL && (m = ring_pop(t->messages)) != NULL) {
        str_free(&m->address);
        mem_free(m);
    }
    ring_destroy(t->messages);
    if (t->epoll_fd >= 0) {
        close(t->epoll_fd);
    }
    map_destroy(t->hosts);
    map_destroy(t->sockets);
    map_destroy(t->attempts);
    heap_free(&t->timers);
}

static bool
thread_start(struct upstream *u, struct upstream_thread *t)
{
    struct epoll_event event = {.events = EPOLLIN};

    t->upstream = u;
    t->hosts = map_create();
    t->sockets = map_create();
    t->attempts = map_create();
    t->messages = ring_create(u->config.queue);
    t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (t->messages != NULL && t->epoll_fd >= 0) {
        event.data.u64 = (uint64_t)ring_fd(t->messages);
        if (epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, ring_fd(t->messages),
                      &event) == 0 &&
            pthread_create(&t->thread, NULL, thread_run, t) == 0) {
            return true;
        }
    }
    thread_free(t);
    return false;
}

#define ATTEMPTS_COUNTER(result)                                              \
    counter_get(COUNTER_SUM,                                                  \
                "guavarock_upstream_attempts_total{result=\"" result "\"}",   \
                "Attempts to endpoints that ended.")

static void
register_counters(struct upstream *u)
{
    u->attempts_ended[UPSTREAM_OK] = ATTEMPTS_COUNTER("ok");
    u->attempts_ended[UPSTREAM_REFUSED] = ATTEMPTS_COUNTER("refused");
    u->attempts_ended[UPSTREAM_RESET] = ATTEMPTS_COUNTER("reset");
    u->attempts_ended[UPSTREAM_TIMED_OUT] = ATTEMPTS_COUNTER("timed-out");
    u->attempts_ended[UPSTREAM_MALFORMED] = ATTEMPTS_COUNTER("malformed");
    u->attempts_ended[UPSTREAM_TOO_LARGE] = ATTEMPTS_COUNTER("too-large");
    u->attempts_ended[UPSTREAM_CANCELLED] = ATTEMPTS_COUNTER("cancelled");
    u->attempts_ended[UPSTREAM_NO_SLOT] = ATTEMPTS_COUNTER("no-slot");
}

struct upstream *
upstream_create(const struct upstream_config *config, struct ring *ring)
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    struct upstream *u = mem_zalloc(1, sizeof(*u));

    pthread_once(&once, init_curl);
    u->config = *config;
    u->results = ring;
    register_counters(u);
    u->threads = mem_zalloc(config->threads, sizeof(*u->threads));
    while (u->count < config->threads) {
        if (!thread_start(u, &u->threads[u->count])) {
            upstream_destroy(u);
            errno = EMFILE;
            return NULL;
        }
        u->count++;
    }
    return u;
}

static struct upstream_thread *
thread_for_address(struct upstream *u, struct str address)
{
    return &u->threads[str_hash(address) % u->count];
}

static bool
post_message(struct upstream_thread *t, struct message *m)
{
    if (ring_push(t->messages, m)) {
        return true;
    }
    str_free(&m->address);
    mem_free(m);
    return false;
}

bool
upstream_set_slots(struct upstream *u, struct str address, unsigned slots)
{
    struct message *m = mem_zalloc(1, sizeof(*m));

    m->kind = MESSAGE_SLOTS;
    m->address = str_dup(address);
    m->slots = slots;
    return post_message(thread_for_address(u, address), m);
}

bool
upstream_send(struct upstream *u, const struct upstream_call *call)
{
    struct message *m = mem_zalloc(1, sizeof(*m));

    m->kind = MESSAGE_SEND;
    m->call = *call;
    return post_message(thread_for_address(u, call->address), m);
}

bool
upstream_cancel(struct upstream *u, struct str address, uint64_t id)
{
    struct message *m = mem_zalloc(1, sizeof(*m));

    m->kind = MESSAGE_CANCEL;
    m->call.id = id;
    return post_message(thread_for_address(u, address), m);
}

void
upstream_result_free(struct upstream_result *result)
{
    if (result == NULL) {
        return;
    }
    http_headers_free(&result->headers);
    buf_free(&result->body);
    mem_free(result);
}

const char *
upstream_failure_name(enum upstream_failure failure)
{
    static const char *const names[] = {
        [UPSTREAM_OK] = "ok",
        [UPSTREAM_REFUSED] = "refused",
        [UPSTREAM_RESET] = "reset",
        [UPSTREAM_TIMED_OUT] = "timed-out",
        [UPSTREAM_MALFORMED] = "malformed",
        [UPSTREAM_TOO_LARGE] = "too-large",
        [UPSTREAM_CANCELLED] = "cancelled",
        [UPSTREAM_NO_SLOT] = "no-slot",
    };

    return names[failure];
}

void
upstream_destroy(struct upstream *u)
{
    if (u == NULL) {
        return;
    }
    for (unsigned i = 0; i < u->count; i++) {
        struct message *m = mem_zalloc(1, sizeof(*m));

        m->kind = MESSAGE_STOP;
        while (!ring_push(u->threads[i].messages, m)) {
            usleep(STOP_RETRY_US);
        }
    }
    for (unsigned i = 0; i < u->count; i++) {
        pthread_join(u->threads[i].thread, NULL);
        thread_free(&u->threads[i]);
    }
    mem_free(u->threads);
    mem_free(u);
}
