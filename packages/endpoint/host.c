#include "internal.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock.h"
#include "mem.h"

static ino_t
inode_of(int fd)
{
    struct stat st;

    return fstat(fd, &st) == 0 && S_ISSOCK(st.st_mode) ? st.st_ino : 0;
}

/*
 * Shuts an idle connection down and discards what was received on it. libcurl
 * 7.88 regards a connection with unread bytes as usable and would take them
 * for the response to the next attempt.
 */
static void
shut_down_socket(struct sock *s)
{
    char discarded[4096];

    shutdown(s->fd, SHUT_RDWR);
    while (recv(s->fd, discarded, sizeof(discarded), MSG_DONTWAIT) > 0) {
        continue;
    }
    s->shut_down = true;
    s->host->open--;
}

void
host_check_idle(struct host *h)
{
    char c;

    for (struct sock *s = h->sockets; s != NULL; s = s->next) {
        if (!s->polled && !s->shut_down &&
            (recv(s->fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
             errno != EAGAIN)) {
            shut_down_socket(s);
        }
    }
}

/* Shuts idle connections down until at most keep are open, or none is idle.
 * libcurl has no call to close a single idle connection; it closes a socket
 * that was shut down before its next use. */
static void
shut_down_idle(struct host *h, unsigned keep)
{
    for (struct sock *s = h->sockets; s != NULL && h->open > keep;
         s = s->next) {
        if (!s->polled && !s->shut_down) {
            shut_down_socket(s);
        }
    }
}

curl_socket_t
host_open_socket(void *client, curlsocktype purpose,
                 struct curl_sockaddr *address)
{
    struct host *h = client;
    struct sock *s;
    int fd;

    (void)purpose;
    /* libcurl's own limit counts sockets that were shut down, too, so the
     * slots are enforced here. */
    if (h->slots != 0) {
        shut_down_idle(h, h->slots - 1);
    }
    if (h->open >= h->slots) {
        return CURL_SOCKET_BAD;
    }
    fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    s = mem_zalloc(1, sizeof(*s));
    s->host = h;
    s->fd = fd;
    s->inode = inode_of(fd);
    s->next = h->sockets;
    if (s->next != NULL) {
        s->next->prev = s;
    }
    h->sockets = s;
    h->open++;
    map_put_u64(h->thread->sockets, (uint64_t)fd, s);
    return fd;
}

static void
sock_free(struct sock *s)
{
    struct host *h = s->host;

    /* The descriptor may already belong to a newer socket. */
    if (map_get_u64(h->thread->sockets, (uint64_t)s->fd) == s) {
        map_del_u64(h->thread->sockets, (uint64_t)s->fd);
    }
    h->open -= s->shut_down ? 0 : 1;
    if (s->next != NULL) {
        s->next->prev = s->prev;
    }
    if (s->prev != NULL) {
        s->prev->next = s->next;
    }
    else {
        h->sockets = s->next;
    }
    mem_free(s);
}

int
host_close_socket(void *client, curl_socket_t fd)
{
    struct host *h = client;
    struct sock *s = map_get_u64(h->thread->sockets, (uint64_t)fd);

    if (s != NULL) {
        sock_free(s);
    }
    return close(fd);
}

/* libcurl 7.88 closes a socket that did not connect in time without calling
 * host_close_socket; its record would occupy a slot permanently. */
void
host_forget_closed(struct host *h)
{
    struct sock *next;

    for (struct sock *s = h->sockets; s != NULL; s = next) {
        next = s->next;
        if (inode_of(s->fd) != s->inode) {
            sock_free(s);
        }
    }
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *unused)
{
    struct host *h = arg;
    struct sock *s = map_get_u64(h->thread->sockets, (uint64_t)fd);
    struct epoll_event event = {.data.u64 = (uint64_t)fd};
    int op;

    (void)easy;
    (void)unused;
    if (s == NULL) {
        return 0;
    }
    if (what == CURL_POLL_REMOVE) {
        s->polled = false;
        epoll_ctl(h->thread->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
        return 0;
    }
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                   ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    op = s->polled ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    s->polled = true;
    epoll_ctl(h->thread->epoll_fd, op, fd, &event);
    return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *arg)
{
    struct host *h = arg;

    (void)multi;
    if (h->timer.pos != 0) {
        heap_remove(&h->thread->timers, &h->timer);
    }
    if (timeout_ms >= 0) {
        h->timer.key = clock_now() + timeout_ms * NS_PER_MS;
        heap_insert(&h->thread->timers, &h->timer);
    }
    return 0;
}

static struct host *
host_create(struct upstream_thread *t, struct str address)
{
    struct host *h = mem_zalloc(1, sizeof(*h));

    h->thread = t;
    h->address = str_dup(address);
    h->multi = curl_multi_init();
    curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
    curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
    map_put(t->hosts, address, h);
    return h;
}

struct host *
host_get(struct upstream_thread *t, struct str address)
{
    struct host *h = map_get(t->hosts, address);

    return h != NULL ? h : host_create(t, address);
}

void
host_destroy(struct host *h)
{
    map_del(h->thread->hosts, h->address);
    curl_multi_cleanup(h->multi);
    while (h->sockets != NULL) {
        sock_free(h->sockets);
    }
    if (h->timer.pos != 0) {
        heap_remove(&h->thread->timers, &h->timer);
    }
    str_free(&h->address);
    mem_free(h);
}

void
host_close_excess(struct host *h)
{
    if (h->slots == 0 && h->active == 0) {
        host_destroy(h);
        return;
    }
    shut_down_idle(h, h->slots);
}

void
host_set_slots(struct host *h, unsigned slots)
{
    /* libcurl takes 0 for no limit; host_open_socket enforces 0 slots. */
    long limit = slots == 0 ? 1 : (long)slots;

    h->slots = slots;
    curl_multi_setopt(h->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, limit);
    curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, limit);
    host_close_excess(h);
}

static void
end_completed_attempts(struct host *h)
{
    CURLMsg *message;
    int remaining;

    while ((message = curl_multi_info_read(h->multi, &remaining)) != NULL) {
        struct attempt *a = NULL;
        CURLcode code = message->data.result;

        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &a);
        attempt_end(a, code);
    }
}

void
host_run_transfers(struct host *h, curl_socket_t fd, int events)
{
    int running;

    curl_multi_socket_action(h->multi, fd, events, &running);
    end_completed_attempts(h);
    host_close_excess(h);
}
