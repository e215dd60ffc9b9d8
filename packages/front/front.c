#include "internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "mem.h"

enum {
    /* Beside the header itself the library keeps a record of each field, and
     * the header of the answer, in a connection's memory. */
    CONNECTION_MEMORY_EXTRA = 24 * 1024,
    BACKLOG = 1024,
};

void
front_config_default(struct front_config *config)
{
    *config = (struct front_config){
        .threads = 4,
        .max_connections = 4096,
        .max_body = 8 * 1024 * 1024,
        .max_buffered = 256 * 1024 * 1024,
        .max_header = 16 * 1024,
        .receive_timeout_ns = 30 * NS_PER_S,
        .idle_timeout_ns = 75 * NS_PER_S,
        .default_timeout_ns = 30 * NS_PER_S,
        .max_timeout_ns = 600 * NS_PER_S,
        .retry_after_s = 1,
    };
}

static struct front_metrics
front_metrics(void)
{
    return (struct front_metrics){
        .requests = counter_get(COUNTER_SUM, "guavarock_front_requests_total",
                                "Requests handed to the control thread."),
        .refused = counter_get(COUNTER_SUM, "guavarock_front_refused_total",
                               "Requests refused by the HTTP server."),
        .expired = counter_get(COUNTER_SUM, "guavarock_front_expired_total",
                               "Connections closed for being slow or idle."),
        .disconnects =
            counter_get(COUNTER_SUM, "guavarock_front_disconnects_total",
                        "Callers gone before their answer."),
    };
}

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
        listen(fd, BACKLOG) == 0) {
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

static void
on_log(void *cls, const char *fmt, va_list args)
{
    char text[256];

    (void)cls;
    vsnprintf(text, sizeof(text), fmt, args);
    text[strcspn(text, "\n")] = '\0';
    log_write(LOG_LEVEL_DEBUG, "http server: %s", text);
}

static struct MHD_Daemon *
start_daemon(struct front *f)
{
    const struct front_config *config = &f->config;
    int64_t longest = config->idle_timeout_ns > config->receive_timeout_ns
                          ? config->idle_timeout_ns
                          : config->receive_timeout_ns;
    unsigned seconds = (unsigned)(longest / NS_PER_S) + 1;

    return MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC | MHD_USE_ERROR_LOG |
            MHD_ALLOW_SUSPEND_RESUME,
        0, NULL, NULL, front_on_access, f, MHD_OPTION_EXTERNAL_LOGGER, on_log,
        NULL, MHD_OPTION_LISTEN_SOCKET, f->listen_fd,
        MHD_OPTION_THREAD_POOL_SIZE, config->threads,
        MHD_OPTION_CONNECTION_LIMIT, config->max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        config->max_header * 2 + CONNECTION_MEMORY_EXTRA,
        MHD_OPTION_URI_LOG_CALLBACK, front_on_uri, f,
        MHD_OPTION_NOTIFY_CONNECTION, front_on_connection, f,
        MHD_OPTION_NOTIFY_COMPLETED, front_on_completed, f, MHD_OPTION_END);
}

struct front *
front_create(const struct front_config *config, struct ring *ring)
{
    struct front *f = mem_zalloc(1, sizeof(*f));

    f->config = *config;
    f->ring = ring;
    atomic_init(&f->refs, 1);
    pthread_mutex_init(&f->lock, NULL);
    pthread_cond_init(&f->resumed, NULL);
    f->suspended = map_create();
    f->metrics = front_metrics();
    f->listen_fd = open_listener(&config->address);
    if (f->listen_fd < 0) {
        goto fail;
    }
    f->port = bound_port(f->listen_fd);
    if (!watch_start(f)) {
        goto fail_listener;
    }
    f->daemon = start_daemon(f);
    if (f->daemon != NULL) {
        return f;
    }
    errno = EIO;
    watch_stop(f);
    close(f->watch_fd);
    close(f->wake_fd);
fail_listener:
    close(f->listen_fd);
fail:
    front_unref(f);
    return NULL;
}

uint16_t
front_port(const struct front *f)
{
    return f->port;
}

void
front_drain(struct front *f)
{
    atomic_store(&f->draining, true);
}

unsigned
front_active(const struct front *f)
{
    return atomic_load(&f->active);
}

/* Connections that the kernel has accepted but the library has not. */
static void
take_backlog(struct front *f)
{
    struct sockaddr_storage address;
    socklen_t len = sizeof(address);
    int fd;

    while ((fd = accept4(f->listen_fd, (struct sockaddr *)&address, &len,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        MHD_add_connection(f->daemon, fd, (struct sockaddr *)&address, len);
        len = sizeof(address);
    }
}

void
front_stop_listening(struct front *f)
{
    if (MHD_quiesce_daemon(f->daemon) == MHD_INVALID_SOCKET) {
        return;
    }
    take_backlog(f);
    /* The library forbids to close the socket before it has stopped; without
     * the shutdown the kernel would go on accepting for nobody. */
    shutdown(f->listen_fd, SHUT_RDWR);
}

void
front_destroy(struct front *f)
{
    if (f == NULL) {
        return;
    }
    front_stop_listening(f);
    watch_stop(f);
    front_break_suspended(f);
    MHD_stop_daemon(f->daemon);
    close(f->listen_fd);
    close(f->watch_fd);
    close(f->wake_fd);
    front_unref(f);
}
