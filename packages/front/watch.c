#include "internal.h"

#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

/*
 * The watch thread does what libmicrohttpd does not: it detects that the peer
 * of a suspended connection has disconnected, and it bounds the time that a
 * request takes to arrive (the library's timeout restarts with every byte).
 * It also accepts connections, see listen.c.
 */

enum {
    EVENTS_MAX = 64,
    SWEEP_INTERVAL_MS = 100,
    PUSH_RETRY_MS = 5, /* while the ring is full */
    /* Time for libmicrohttpd to handle what it has read after the peer has
     * closed its side. */
    PEER_CLOSED_GRACE_MS = 1000,
};

#define TIMEOUT_BODY                                                          \
    "{\"error\":{\"code\":\"timeout\",\"message\":"                           \
    "\"the request took too long to arrive\",\"field\":\"\"}}"

void
watch_add(struct request *r)
{
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLONESHOT,
                                .data.u64 = r->call.id};

    r->watched =
        epoll_ctl(r->front->watch_fd, EPOLL_CTL_ADD, r->conn->fd, &event) == 0;
}

void
watch_remove(struct request *r)
{
    if (r->watched) {
        epoll_ctl(r->front->watch_fd, EPOLL_CTL_DEL, r->conn->fd, NULL);
        r->watched = false;
    }
}

static void
push_disconnect(struct front *f, struct request *r)
{
    if (!ring_push(f->ring, &r->disconnect_item)) {
        r->next_unsent = f->unsent_disconnects;
        f->unsent_disconnects = r;
    }
}

static void
retry_disconnects(struct front *f)
{
    struct request *list = f->unsent_disconnects;
    struct request *next;

    f->unsent_disconnects = NULL;
    for (struct request *r = list; r != NULL; r = next) {
        next = r->next_unsent;
        push_disconnect(f, r);
    }
}

static void
report_disconnect(struct front *f, uint64_t id)
{
    struct request *r;

    pthread_mutex_lock(&f->lock);
    r = map_get_u64(f->suspended, id);
    if (r != NULL && !r->disconnected) {
        r->disconnected = true;
        front_call_ref(&r->call);
    }
    else {
        r = NULL;
    }
    pthread_mutex_unlock(&f->lock);
    if (r != NULL) {
        counter_add(f->metrics.disconnects, 1);
        push_disconnect(f, r);
    }
}

/*
 * Shuts the connection down, with an answer of 408 if a request is arriving.
 * The answer cannot be interleaved with another: until the whole request has
 * arrived, libmicrohttpd sends nothing but 100 Continue or an error of its
 * own, each in one write.
 */
static void
expire_connection(struct conn *c)
{
    char text[512];
    int len;

    counter_add(c->front->metrics.expired, 1);
    c->expired = true;
    c->deadline = DEADLINE_NONE;
    if (c->phase == CONN_RECEIVING) {
        len = snprintf(text, sizeof(text),
                       "HTTP/1.1 408 Request Timeout\r\n"
                       "Connection: close\r\n"
                       "Content-Type: application/json\r\n"
                       "Guavarock-Outcome: not-run\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       strlen(TIMEOUT_BODY), TIMEOUT_BODY);
        (void)!send(c->fd, text, (size_t)len, MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    shutdown(c->fd, SHUT_RDWR);
}

/* An idle connection with unread bytes has not expired: they are the next
 * request. */
static bool
is_expired(const struct conn *c, int64_t now)
{
    char byte;

    if (c->phase == CONN_HANDLING || c->deadline > now) {
        return false;
    }
    return c->phase != CONN_IDLE ||
           recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/*
 * Detects the end of stream in the middle of a request. libmicrohttpd 0.9.75
 * misses it when it arrives together with the last bytes, because the library
 * waits for the next event after a read that did not fill its buffer.
 */
static void
check_peer_closed(struct conn *c, int64_t now)
{
    char byte;

    if (c->phase != CONN_RECEIVING || c->peer_closed ||
        recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0) {
        return;
    }
    c->peer_closed = true;
    if (c->deadline > now + PEER_CLOSED_GRACE_MS * NS_PER_MS) {
        c->deadline = now + PEER_CLOSED_GRACE_MS * NS_PER_MS;
    }
}

static void
sweep_connections(struct front *f)
{
    int64_t now = clock_now();

    pthread_mutex_lock(&f->lock);
    for (struct conn *c = f->conns; c != NULL; c = c->next) {
        if (!c->expired) {
            check_peer_closed(c, now);
        }
        if (is_expired(c, now)) {
            expire_connection(c);
        }
    }
    pthread_mutex_unlock(&f->lock);
}

static void
handle_event(struct front *f, uint64_t tag)
{
    uint64_t ticks;

    if (tag != WATCH_LISTENER && tag != WATCH_WAKE) {
        report_disconnect(f, tag);
        return;
    }
    if (tag == WATCH_WAKE && read(f->wake_fd, &ticks, sizeof(ticks)) < 0) {
        return;
    }
    listen_accept(f);
}

static void *
watch_run(void *arg)
{
    struct front *f = arg;
    struct epoll_event events[EVENTS_MAX];
    int64_t next_sweep = clock_now();

    while (!atomic_load(&f->stopping)) {
        int wait =
            f->unsent_disconnects != NULL ? PUSH_RETRY_MS : SWEEP_INTERVAL_MS;
        int count = epoll_wait(f->watch_fd, events, EVENTS_MAX, wait);

        for (int i = 0; i < count; i++) {
            handle_event(f, events[i].data.u64);
        }
        retry_disconnects(f);
        if (clock_now() >= next_sweep) {
            sweep_connections(f);
            if (atomic_load(&f->accept_paused)) {
                listen_accept(f);
            }
            next_sweep = clock_now() + SWEEP_INTERVAL_MS * NS_PER_MS;
        }
    }
    return NULL;
}

void
watch_close(struct front *f)
{
    close(f->watch_fd);
    close(f->wake_fd);
}

bool
watch_start(struct front *f)
{
    struct epoll_event event = {.events = EPOLLIN, .data.u64 = WATCH_WAKE};

    f->watch_fd = epoll_create1(EPOLL_CLOEXEC);
    f->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (f->watch_fd < 0 || f->wake_fd < 0 ||
        epoll_ctl(f->watch_fd, EPOLL_CTL_ADD, f->wake_fd, &event) < 0 ||
        pthread_create(&f->watch_thread, NULL, watch_run, f) != 0) {
        watch_close(f);
        return false;
    }
    return true;
}

void
watch_stop(struct front *f)
{
    uint64_t one = 1;
    struct request *next;

    atomic_store(&f->stopping, true);
    if (write(f->wake_fd, &one, sizeof(one)) < 0) {
        /* The thread checks stopping at least every SWEEP_INTERVAL_MS. */
        one = 0;
    }
    pthread_join(f->watch_thread, NULL);
    for (struct request *r = f->unsent_disconnects; r != NULL; r = next) {
        next = r->next_unsent;
        front_call_unref(&r->call);
    }
    f->unsent_disconnects = NULL;
}
