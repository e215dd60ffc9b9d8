#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "mem.h"
#include "peer_impl.h"

enum {
    EVENTS_PER_WAIT = 64,
    WAITS_PER_POLL = 4,
    ACCEPTS_PER_POLL = 64,
    LISTEN_BACKLOG = 256,
};

/* Pause after a failed accept, such as EMFILE. */
#define ACCEPT_PAUSE_NS (100 * NS_PER_MS)

/* Sessions that both sides opened within this time count as simultaneous. */
#define SIMULTANEOUS_OPEN_NS (1 * NS_PER_S)

static int64_t
ms_or_default(int64_t ms, int64_t default_ms)
{
    return (ms == 0 ? default_ms : ms) * NS_PER_MS;
}

static void
set_config(struct peer_hub *p, const struct peer_config *c, int64_t now)
{
    p->vm = str_dup(c->vm);
    p->member_id = c->member_id;
    p->cluster_id = c->cluster_id;
    memcpy(p->cluster_key, c->cluster_key, sizeof(p->cluster_key));
    p->connect_timeout = ms_or_default(c->connect_timeout_ms, 3000);
    p->keepalive = ms_or_default(c->keepalive_ms, 500);
    p->idle_timeout = ms_or_default(c->idle_timeout_ms, 2000);
    p->backoff_min = ms_or_default(c->backoff_min_ms, 50);
    p->backoff_max = ms_or_default(c->backoff_max_ms, 2000);
    p->send_queue_max =
        c->send_queue_max == 0 ? 32 * 1024 * 1024 : c->send_queue_max;
    p->accept_max = c->accept_max == 0 ? 64 : c->accept_max;
    p->rng.state = c->seed;
    p->now = now;
    randombytes_buf(&p->instance, sizeof(p->instance));
}

/* Returns what failed, or NULL. */
static const char *
open_listener(struct peer_hub *p, struct str text)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = NULL};
    struct address address;
    int one = 1;

    if (!address_parse(text, &address)) {
        return "invalid listen address";
    }
    p->listener = socket(address.storage.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (p->listener < 0) {
        return "socket";
    }
    setsockopt(p->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(p->listener, (struct sockaddr *)&address.storage, address.len) !=
        0) {
        return "bind";
    }
    if (listen(p->listener, LISTEN_BACKLOG) != 0) {
        return "listen";
    }
    getsockname(p->listener, (struct sockaddr *)&address.storage,
                &address.len);
    p->port = address_port(&address);
    return epoll_ctl(p->epoll, EPOLL_CTL_ADD, p->listener, &event) == 0
               ? NULL
               : "epoll";
}

static const char *
open_hub(struct peer_hub *p, const struct peer_config *c, int64_t now)
{
    const char *failed = NULL;

    p->epoll = epoll_create1(EPOLL_CLOEXEC);
    if (p->epoll < 0) {
        return "epoll";
    }
    if (c->listen.len > 0) {
        failed = open_listener(p, c->listen);
    }
    for (size_t i = 0; i < c->target_count && failed == NULL; i++) {
        if (!peer_add_target(p, &c->targets[i], now)) {
            failed = "invalid target address or VM name";
        }
    }
    return failed;
}

struct peer_hub *
peer_create(const struct peer_config *config,
            const struct peer_handler *handler, int64_t now, char *error,
            size_t error_size)
{
    struct peer_hub *p;
    const char *failed;

    if (sodium_init() < 0) {
        snprintf(error, error_size, "cannot initialize libsodium");
        return NULL;
    }
    if (config->vm.len == 0 || config->vm.len > PEER_NAME_MAX) {
        snprintf(error, error_size, "VM name is empty or too long");
        return NULL;
    }
    p = mem_zalloc(1, sizeof(*p));
    p->listener = -1;
    p->handler = *handler;
    set_config(p, config, now);
    failed = open_hub(p, config, now);
    if (failed != NULL) {
        snprintf(error, error_size, "%s: %s", failed, strerror(errno));
        peer_destroy(p);
        return NULL;
    }
    return p;
}

void
peer_destroy(struct peer_hub *p)
{
    struct target *next;

    if (p == NULL) {
        return;
    }
    while (p->sessions != NULL) {
        session_free(p->sessions);
    }
    for (struct target *t = p->targets; t != NULL; t = next) {
        next = t->next;
        target_free(t);
    }
    if (p->listener >= 0) {
        close(p->listener);
    }
    if (p->epoll >= 0) {
        close(p->epoll);
    }
    str_free(&p->vm);
    buf_free(&p->plain);
    sodium_memzero(p->cluster_key, sizeof(p->cluster_key));
    mem_free(p);
}

int
peer_fd(const struct peer_hub *p)
{
    return p->epoll;
}

uint16_t
peer_port(const struct peer_hub *p)
{
    return p->port;
}

void
peer_set_identity(struct peer_hub *p, uint64_t member_id, uint64_t cluster_id)
{
    p->member_id = member_id;
    p->cluster_id = cluster_id;
}

/* The established session to a VM other than except. */
static struct peer_session *
find_session(const struct peer_hub *p, struct str vm,
             const struct peer_session *except)
{
    for (struct peer_session *s = p->sessions; s != NULL; s = s->next) {
        if (s != except && s->state == SESSION_UP && !s->closing &&
            str_eq(s->identity.vm, vm)) {
            return s;
        }
    }
    return NULL;
}

struct peer_session *
peer_find(const struct peer_hub *p, struct str vm)
{
    return find_session(p, vm, NULL);
}

static struct str
dialer_name(const struct peer_session *s)
{
    return s->hs.dialer ? s->hub->vm : s->identity.vm;
}

/*
 * Whether s is to be closed in favour of other. Without this rule two
 * processes that dial each other at once would each keep the session that the
 * other one closes.
 */
static bool
loses_simultaneous_open(const struct peer_session *s,
                        const struct peer_session *other)
{
    return s->instance == other->instance &&
           s->hs.dialer != other->hs.dialer &&
           s->up_since - other->up_since < SIMULTANEOUS_OPEN_NS &&
           str_cmp(dialer_name(s), dialer_name(other)) > 0;
}

static void
call_down(struct peer_session *s)
{
    struct peer_handler *handler = &s->hub->handler;

    if (s->up_called) {
        s->up_called = false;
        handler->down(handler->arg, s, s->reason);
    }
}

bool
hub_add_session(struct peer_session *s)
{
    struct peer_session *other = find_session(s->hub, s->identity.vm, s);

    if (other == NULL) {
        return true;
    }
    if (loses_simultaneous_open(s, other)) {
        session_fail(s, PEER_DOWN_REPLACED);
        return false;
    }
    session_fail(other, PEER_DOWN_REPLACED);
    call_down(other);
    return true;
}

static void
pause_accept(struct peer_hub *p)
{
    log_write(LOG_LEVEL_ERR, "peer: accept: %s", strerror(errno));
    epoll_ctl(p->epoll, EPOLL_CTL_DEL, p->listener, NULL);
    p->accept_paused_until = p->now + ACCEPT_PAUSE_NS;
}

static void
resume_accept(struct peer_hub *p)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = NULL};

    if (p->accept_paused_until != 0 && p->now >= p->accept_paused_until) {
        p->accept_paused_until = 0;
        epoll_ctl(p->epoll, EPOLL_CTL_ADD, p->listener, &event);
    }
}

/* A handshake takes a few round trips, so the oldest one is the least likely
 * to complete. Refusing new connections instead would let idle connections
 * of unauthenticated clients lock the peers out. New sessions are added at the
 * front of the list, so the last match is the oldest. */
static void
close_oldest_handshake(struct peer_hub *p)
{
    struct peer_session *oldest = NULL;

    for (struct peer_session *s = p->sessions; s != NULL; s = s->next) {
        if (s->state != SESSION_UP && !s->hs.dialer && !s->closing) {
            oldest = s;
        }
    }
    if (oldest != NULL) {
        session_fail(oldest, PEER_DOWN_TIMEOUT);
    }
}

static void
add_accepted(struct peer_hub *p, int fd, const struct address *remote)
{
    struct epoll_event event = {.events = EPOLLIN};

    if (p->pending_accepts >= p->accept_max) {
        close_oldest_handshake(p);
    }
    event.data.ptr = session_create(p, fd, NULL, remote);
    p->pending_accepts++;
    if (epoll_ctl(p->epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        session_fail(event.data.ptr, PEER_DOWN_CLOSED);
    }
}

static void
accept_connections(struct peer_hub *p)
{
    for (int i = 0; i < ACCEPTS_PER_POLL; i++) {
        struct address remote = {.len = sizeof(remote.storage)};
        int fd = accept4(p->listener, (struct sockaddr *)&remote.storage,
                         &remote.len, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            add_accepted(p, fd, &remote);
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            pause_accept(p);
        }
        return;
    }
}

static void
handle_event(struct peer_hub *p, const struct epoll_event *event)
{
    struct peer_session *s = event->data.ptr;

    if (s == NULL) {
        accept_connections(p);
        return;
    }
    /* The error of a failed connection is reported as writable. */
    if (!s->closing && (event->events & (EPOLLOUT | EPOLLERR)) != 0) {
        session_writable(s);
    }
    if (!s->closing && s->state != SESSION_CONNECTING &&
        (event->events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        session_readable(s);
    }
}

static void
handle_events(struct peer_hub *p)
{
    struct epoll_event events[EVENTS_PER_WAIT];

    for (int round = 0; round < WAITS_PER_POLL; round++) {
        int n = epoll_wait(p->epoll, events, EVENTS_PER_WAIT, 0);
        for (int i = 0; i < n; i++) {
            handle_event(p, &events[i]);
        }
        if (n < EVENTS_PER_WAIT) {
            return;
        }
    }
}

static int64_t
idle_deadline(const struct peer_session *s)
{
    int64_t since = s->last_received;

    /* If no queued bytes are sent, the other side does not read. */
    if (s->out.len > s->out_pos && s->last_progress < since) {
        since = s->last_progress;
    }
    return since + s->hub->idle_timeout;
}

static void
check_timers(struct peer_session *s)
{
    int64_t now = s->hub->now;

    if (s->closing) {
        return;
    }
    if (s->state != SESSION_UP) {
        if (now >= s->handshake_deadline) {
            session_fail(s, PEER_DOWN_TIMEOUT);
        }
        return;
    }
    if (now >= idle_deadline(s)) {
        log_write(LOG_LEVEL_NOTICE, "peer %.*s (%s): idle timeout",
                  STR_ARG(s->identity.vm), s->remote);
        session_fail(s, PEER_DOWN_TIMEOUT);
        return;
    }
    /* Queued frames make a keepalive unnecessary. */
    if (now >= s->last_queued + s->hub->keepalive &&
        s->out.len == s->out_pos) {
        session_keepalive(s);
    }
}

/* After a session of the VM ended, delays the dials of its other addresses by
 * a random time. They were not dialed while the session was up. */
static void
delay_targets(struct peer_hub *p, struct str vm)
{
    for (struct target *t = p->targets; t != NULL; t = t->next) {
        if (t->session == NULL && str_eq(t->vm, vm) && t->retry_at <= p->now) {
            t->retry_at =
                p->now + (int64_t)(rng_unit(&p->rng) * (double)p->backoff_min);
        }
    }
}

static void
remove_session(struct peer_hub *p, struct peer_session *s)
{
    bool was_up = s->state == SESSION_UP;

    call_down(s);
    if (!was_up && !s->hs.dialer) {
        p->pending_accepts--;
    }
    if (s->target != NULL) {
        target_session_closed(p, s->target, was_up, p->now - s->up_since);
    }
    if (was_up) {
        delay_targets(p, s->identity.vm);
    }
    session_free(s);
}

static void
remove_closing(struct peer_hub *p)
{
    struct peer_session *next;

    while (p->has_closing) {
        p->has_closing = false;
        for (struct peer_session *s = p->sessions; s != NULL; s = next) {
            next = s->next;
            if (s->closing) {
                remove_session(p, s);
            }
        }
    }
}

void
peer_poll(struct peer_hub *p, int64_t now)
{
    p->now = now;
    resume_accept(p);
    handle_events(p);
    /* The timers come after the input, so that after a pause of this process
     * sessions with unread input do not time out. */
    for (struct peer_session *s = p->sessions; s != NULL; s = s->next) {
        check_timers(s);
    }
    remove_closing(p);
    for (struct target *t = p->targets; t != NULL; t = t->next) {
        if (target_due(p, t, now)) {
            target_dial(p, t);
        }
    }
}

static int64_t
session_deadline(const struct peer_session *s)
{
    int64_t idle;
    int64_t alive;

    if (s->state != SESSION_UP) {
        return s->handshake_deadline;
    }
    idle = idle_deadline(s);
    alive = s->last_queued + s->hub->keepalive;
    return s->out.len == s->out_pos && alive < idle ? alive : idle;
}

int64_t
peer_next_deadline(const struct peer_hub *p)
{
    int64_t next = DEADLINE_NONE;

    if (p->has_closing) {
        return p->now;
    }
    if (p->accept_paused_until != 0) {
        next = p->accept_paused_until;
    }
    for (const struct peer_session *s = p->sessions; s != NULL; s = s->next) {
        int64_t at = session_deadline(s);
        next = at < next ? at : next;
    }
    for (const struct target *t = p->targets; t != NULL; t = t->next) {
        if (target_due(p, t, DEADLINE_NONE) && t->retry_at < next) {
            next = t->retry_at;
        }
    }
    return next;
}
