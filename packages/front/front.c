#include "internal.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "mem.h"

enum {
    /* In a connection's memory, libmicrohttpd keeps a record of each header
     * field and the header of the answer besides the request's header. All
     * of it stays resident once the connection has served a request. */
    CONNECTION_MEMORY_EXTRA = 16 * 1024,
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
        .send_timeout_ns = 120 * NS_PER_S,
        .idle_timeout_ns = 75 * NS_PER_S,
        .default_timeout_ns = 30 * NS_PER_S,
        .max_timeout_ns = 600 * NS_PER_S,
        .retry_after_s = 1,
    };
}

static struct front_metrics
register_metrics(void)
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

static void
log_library_message(void *cls, const char *fmt, va_list args)
{
    char text[256];

    (void)cls;
    vsnprintf(text, sizeof(text), fmt, args);
    text[strcspn(text, "\n")] = '\0';
    log_write(LOG_LEVEL_DEBUG, "http server: %s", text);
}

static bool
shard_start(struct front *f, struct shard *shard)
{
    const struct front_config *config = &f->config;
    int64_t timeout_ns = config->idle_timeout_ns > config->receive_timeout_ns
                             ? config->idle_timeout_ns
                             : config->receive_timeout_ns;
    unsigned seconds = (unsigned)(timeout_ns / NS_PER_S) + 1;

    shard->front = f;
    shard->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC | MHD_USE_ERROR_LOG |
            MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET,
        0, NULL, NULL, front_on_access, f, MHD_OPTION_EXTERNAL_LOGGER,
        log_library_message, NULL, MHD_OPTION_CONNECTION_LIMIT,
        config->max_connections, MHD_OPTION_CONNECTION_TIMEOUT, seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        config->max_header + CONNECTION_MEMORY_EXTRA,
        MHD_OPTION_URI_LOG_CALLBACK, front_on_uri, f,
        MHD_OPTION_NOTIFY_CONNECTION, front_on_connection, shard,
        MHD_OPTION_NOTIFY_COMPLETED, front_on_completed, f, MHD_OPTION_END);
    return shard->daemon != NULL;
}

static void
shards_stop(struct front *f)
{
    for (unsigned i = 0; i < f->config.threads; i++) {
        if (f->shards[i].daemon != NULL) {
            MHD_stop_daemon(f->shards[i].daemon);
        }
    }
}

static bool
shards_start(struct front *f)
{
    for (unsigned i = 0; i < f->config.threads; i++) {
        if (!shard_start(f, &f->shards[i])) {
            shards_stop(f);
            errno = EIO;
            return false;
        }
    }
    return true;
}

static struct front *
front_alloc(const struct front_config *config, struct ring *ring)
{
    struct front *f = mem_zalloc(1, sizeof(*f));

    f->config = *config;
    f->ring = ring;
    atomic_init(&f->refs, 1);
    pthread_mutex_init(&f->lock, NULL);
    pthread_mutex_init(&f->accept_lock, NULL);
    pthread_cond_init(&f->resumed, NULL);
    f->suspended = map_create();
    f->shards = mem_zalloc(config->threads, sizeof(*f->shards));
    f->metrics = register_metrics();
    return f;
}

struct front *
front_create(const struct front_config *config, struct ring *ring)
{
    struct front *f = front_alloc(config, ring);

    if (!listen_open(f)) {
        goto fail;
    }
    if (!watch_start(f)) {
        goto fail_listener;
    }
    if (!shards_start(f)) {
        goto fail_watch;
    }
    listen_start(f);
    return f;

fail_watch:
    watch_stop(f);
    watch_close(f);
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

void
front_close_idle(struct front *f)
{
    int64_t reduction_ns =
        f->config.idle_timeout_ns - FRONT_DRAIN_IDLE_MS * NS_PER_MS;

    pthread_mutex_lock(&f->lock);
    if (!f->close_idle && reduction_ns > 0) {
        f->close_idle = true;
        for (struct conn *c = f->conns; c != NULL; c = c->next) {
            if (c->phase == CONN_IDLE) {
                c->deadline -= reduction_ns;
            }
        }
    }
    pthread_mutex_unlock(&f->lock);
}

unsigned
front_connections(const struct front *f)
{
    return atomic_load(&f->connections);
}

bool
front_overloaded(const struct front *f)
{
    return atomic_load(&f->buffered) > f->config.max_buffered;
}

unsigned
front_active_requests(const struct front *f)
{
    return atomic_load(&f->active);
}

void
front_destroy(struct front *f)
{
    if (f == NULL) {
        return;
    }
    front_stop_listening(f);
    watch_stop(f);
    front_abort_suspended(f);
    shards_stop(f);
    watch_close(f);
    front_unref(f);
}
