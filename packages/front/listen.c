#include "internal.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * The watch thread accepts connections and passes the sockets to
 * libmicrohttpd, for two reasons: version 0.9.75 aborts the process when
 * MHD_quiesce_daemon runs while one of its threads reaches its connection
 * limit, and that limit applies to each thread rather than to all together.
 */

enum {
    LISTEN_BACKLOG = 1024,
};

static int
open_listener(const struct sockaddr_storage *address)
{
    socklen_t len = address->ss_family == AF_INET6
                        ? sizeof(struct sockaddr_in6)
                        : sizeof(struct sockaddr_in);
    int one = 1;
    int fd = socket(address->ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
        bind(fd, (const struct sockaddr *)address, len) == 0 &&
        listen(fd, LISTEN_BACKLOG) == 0) {
        return fd;
    }
    one = errno;
    close(fd);
    errno = one;
    return -1;
}

static uint16_t
bound_port(int fd)
{
    union {
        struct sockaddr any;
        struct sockaddr_in v4;
        struct sockaddr_in6 v6;
    } address = {.v6 = {0}};
    socklen_t len = sizeof(address);

    if (getsockname(fd, &address.any, &len) < 0) {
        return 0;
    }
    return ntohs(address.any.sa_family == AF_INET6 ? address.v6.sin6_port
                                                   : address.v4.sin_port);
}

bool
listen_open(struct front *f)
{
    f->listen_fd = open_listener(&f->config.address);
    if (f->listen_fd < 0) {
        return false;
    }
    f->port = bound_port(f->listen_fd);
    return true;
}

/* Uses EPOLLONESHOT, so that pending connections don't wake the watch thread
 * while the server is full. */
static void
arm_listener(struct front *f, int op)
{
    struct epoll_event event = {.events = EPOLLIN | EPOLLONESHOT,
                                .data.u64 = WATCH_LISTENER};

    epoll_ctl(f->watch_fd, op, f->listen_fd, &event);
}

void
listen_start(struct front *f)
{
    arm_listener(f, EPOLL_CTL_ADD);
}

static struct shard *
least_loaded_shard(struct front *f)
{
    struct shard *best = &f->shards[0];

    for (unsigned i = 1; i < f->config.threads; i++) {
        if (atomic_load(&f->shards[i].connections) <
            atomic_load(&best->connections)) {
            best = &f->shards[i];
        }
    }
    return best;
}

void
listen_connection_closed(struct front *f, struct shard *shard)
{
    uint64_t one = 1;

    atomic_fetch_sub(&shard->connections, 1);
    atomic_fetch_sub(&f->connections, 1);
    if (atomic_load(&f->accept_paused) &&
        write(f->wake_fd, &one, sizeof(one)) < 0) {
        return; /* the eventfd's counter is full: a wake-up is pending */
    }
}

enum accept_result {
    ACCEPTED_ONE,
    ACCEPTED_ALL,    /* no connection is pending */
    ACCEPTED_FULL,   /* max_connections are open */
    ACCEPTED_FAILED, /* out of descriptors or memory */
};

static enum accept_result
accept_one(struct front *f)
{
    struct sockaddr_storage address;
    socklen_t len = sizeof(address);
    struct shard *shard = least_loaded_shard(f);
    int fd;

    if (atomic_load(&f->connections) >= f->config.max_connections) {
        return ACCEPTED_FULL;
    }
    fd = accept4(f->listen_fd, (struct sockaddr *)&address, &len,
                 SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
            return ACCEPTED_ONE;
        }
        return errno == EAGAIN ? ACCEPTED_ALL : ACCEPTED_FAILED;
    }
    atomic_fetch_add(&f->connections, 1);
    atomic_fetch_add(&shard->connections, 1);
    if (MHD_add_connection(shard->daemon, fd, (struct sockaddr *)&address,
                           len) != MHD_YES) {
        listen_connection_closed(f, shard);
    }
    return ACCEPTED_ONE;
}

static enum accept_result
accept_waiting(struct front *f)
{
    enum accept_result result;

    do {
        result = accept_one(f);
    } while (result == ACCEPTED_ONE);
    return result;
}

void
listen_accept(struct front *f)
{
    enum accept_result result;

    pthread_mutex_lock(&f->accept_lock);
    if (f->listen_fd >= 0) {
        result = accept_waiting(f);
        /* While paused, each closed connection and each sweep tries again.
         * A connection that closed before the flag was set woke no one, so
         * the count is checked once more. */
        atomic_store(&f->accept_paused, result != ACCEPTED_ALL);
        if (result == ACCEPTED_ALL ||
            (result == ACCEPTED_FULL &&
             atomic_load(&f->connections) < f->config.max_connections)) {
            arm_listener(f, EPOLL_CTL_MOD);
        }
    }
    pthread_mutex_unlock(&f->accept_lock);
}

void
front_stop_listening(struct front *f)
{
    pthread_mutex_lock(&f->accept_lock);
    if (f->listen_fd >= 0) {
        /* Connections that the kernel has established are still served. */
        accept_waiting(f);
        close(f->listen_fd);
        f->listen_fd = -1;
    }
    pthread_mutex_unlock(&f->accept_lock);
}
