#include "internal.h"

#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

/*
 * The library neither notices that the peer of a suspended connection is gone
 * nor bounds the time that a request takes to arrive (its time-out restarts
 * with every byte). One thread does both.
 */

enum {
    EVENTS = 64,
    SWEEP_MS = 100,
    RETRY_MS = 5, /* while the ring is full */
    /* For the library to handle what it has read. */
    ENDED_MS = 1000,
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
push_gone(struct front *f, struct request *r)
{
    if (!ring_push(f->ring, &r->gone_item)) {
        r->next_gone = f->gone_list;
        f->gone_list = r;
    }
}

static void
retry_gone(struct front *f)
{
    struct request *list = f->gone_list;
    struct request *next;

    f->gone_list = NULL;
    for (struct request *r = list; r != NULL; r = next) {
        next = r->next_gone;
        push_gone(f, r);
    }
}

static void
peer_gone(struct front *f, uint64_t id)
{
    struct request *r;

    pthread_mutex_lock(&f->lock);
    r = map_get_u64(f->suspended, id);
    if (r != NULL && !r->gone) {
        r->gone = true;
        front_call_ref(&r->call);
    }
    else {
        r = NULL;
    }
    pthread_mutex_unlock(&f->lock);
    if (r != NULL) {
        counter_add(f->metrics.disconnects, 1);
        push_gone(f, r);
    }
}

/*
 * Until the whole request has arrived the library sends nothing but 100
 * Continue or an error of its own, each in one piece; so this answer cannot
 * be mixed into another one.
 */
static void
expire(struct conn *c)
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

/* An idle connection whose next request has arrived unread is not closed. */
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
 * The library 0.9.75 waits for the next event after a read that did not fill
 * its buffer. It therefore misses the end of a request that is cut short when
 * the end arrives together with the last bytes.
 */
static void
check_ended(struct conn *c, int64_t now)
{
    char byte;

    if (c->phase != CONN_RECEIVING || c->ended ||
        recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0) {
        return;
    }
    c->ended = true;
    if (c->deadline > now + ENDED_MS * NS_PER_MS) {
        c->deadline = now + ENDED_MS * NS_PER_MS;
    }
}

static void
sweep(struct front *f)
{
    int64_t now = clock_now();

    pthread_mutex_lock(&f->lock);
    for (struct conn *c = f->conns; c != NULL; c = c->next) {
        if (!c->expired) {
            check_ended(c, now);
        }
        if (is_expired(c, now)) {
            expire(c);
        }
    }
    pthread_mutex_unlock(&f->lock);
}

static void
handle_event(struct front *f, uint64_t what)
{
    uint64_t ticks;

    if (what != WATCH_LISTENER && what != WATCH_WAKE) {
        peer_gone(f, what);
        return;
    }
    if (what == WATCH_WAKE && read(f->wake_fd, &ticks, sizeof(ticks)) < 0) {
        return;
    }
    listen_accept(f);
}

static void *
watch_run(void *arg)
{
    struct front *f = arg;
    struct epoll_event events[EVENTS];
    int64_t next_sweep = clock_now();

    while (!atomic_load(&f->stopping)) {
        int wait = f->gone_list != NULL ? RETRY_MS : SWEEP_MS;
        int count = epoll_wait(f->watch_fd, events, EVENTS, wait);

        for (int i = 0; i < count; i++) {
            handle_event(f, events[i].data.u64);
        }
        retry_gone(f);
        if (clock_now() >= next_sweep) {
            sweep(f);
            if (atomic_load(&f->accept_paused)) {
                listen_accept(f);
            }
            next_sweep = clock_now() + SWEEP_MS * NS_PER_MS;
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
        pthread_create(&f->watcher, NULL, watch_run, f) != 0) {
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
        /* The thread looks at stopping after SWEEP_MS at the latest. */
        one = 0;
    }
    pthread_join(f->watcher, NULL);
    for (struct request *r = f->gone_list; r != NULL; r = next) {
        next = r->next_gone;
        front_call_unref(&r->call);
    }
    f->gone_list = NULL;
}
