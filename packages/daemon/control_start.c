/*
 * Starts the parts of the process and stops them in the reverse order.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <sodium.h>

#include "control_impl.h"
#include "entry.h"
#include "ledger.h"
#include "log.h"
#include "replica.h"
#include "storage.h"

enum {
    FRONT_RING_CAPACITY = 8192,
    UPSTREAM_RING_CAPACITY = 8192,
    STORAGE_RING_CAPACITY = 64,
    PEER_TARGETS_MAX = 8,
};

bool
control_watch_fd(const struct control *c, int fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.fd = fd};

    return epoll_ctl(c->epoll, EPOLL_CTL_ADD, fd, &event) == 0;
}

static bool
parse_address(struct str text, struct sockaddr_storage *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
    struct buf host = {0};
    struct str rest = text;
    uint64_t port = 0;
    bool ok;

    memset(out, 0, sizeof(*out));
    if (text.len > 0 && text.ptr[0] == '[') {
        rest = str_from(text.ptr + 1, text.len - 1);
        buf_append_str(&host, str_cut(&rest, ']'));
        str_cut(&rest, ':');
        buf_append(&host, "", 1);
        v6->sin6_family = AF_INET6;
        ok = inet_pton(AF_INET6, host.ptr, &v6->sin6_addr) == 1 &&
             str_to_u64(rest, UINT16_MAX, &port);
        v6->sin6_port = htons((uint16_t)port);
    }
    else {
        buf_append_str(&host, str_cut(&rest, ':'));
        buf_append(&host, "", 1);
        v4->sin_family = AF_INET;
        ok = inet_pton(AF_INET, host.ptr, &v4->sin_addr) == 1 &&
             str_to_u64(rest, UINT16_MAX, &port);
        v4->sin_port = htons((uint16_t)port);
    }
    buf_free(&host);
    return ok;
}

static bool
start_front(struct control *c)
{
    struct front_config config;

    front_config_default(&config);
    if (!parse_address(c->settings->listen, &config.address)) {
        log_write(LOG_LEVEL_CRIT,
                  "front: listen address %.*s is not a numeric IP:PORT",
                  STR_ARG(c->settings->listen));
        return false;
    }
    config.threads = c->settings->front_threads;
    c->front = front_create(&config, c->front_ring);
    if (c->front == NULL) {
        log_write(LOG_LEVEL_CRIT, "front: cannot listen on %.*s: %s",
                  STR_ARG(c->settings->listen), strerror(errno));
        return false;
    }
    return true;
}

static bool
start_peers(struct control *c)
{
    const struct peer_handler handler = {
        c, links_session_up, links_session_frame, links_session_down};
    const struct settings *s = c->settings;
    struct peer_target targets[PEER_TARGETS_MAX] = {0};
    struct peer_config config = {.vm = s->vm,
                                 .seed = c->run,
                                 .listen = s->peer_listen,
                                 .targets = targets};
    char error[256] = "";

    if (s->single) {
        return true;
    }
    if (c->replica != NULL) {
        config.member_id = replica_member_id(c->replica);
        config.cluster_id = replica_cluster_id(c->replica);
    }
    memcpy(config.cluster_key, s->cluster_key, sizeof(config.cluster_key));
    for (size_t i = 0; i < s->control_count; i++) {
        if (!str_eq(s->control[i].vm, s->vm)) {
            targets[config.target_count++] =
                (struct peer_target){s->control[i].vm, s->control[i].address};
        }
    }
    c->hub = peer_create(&config, &handler, c->now, error, sizeof(error));
    sodium_memzero(config.cluster_key, sizeof(config.cluster_key));
    if (c->hub == NULL) {
        log_write(LOG_LEVEL_CRIT, "peer: %s", error);
        return false;
    }
    return control_watch_fd(c, peer_fd(c->hub));
}

static bool
start_upstream(struct control *c)
{
    struct upstream_config config;

    c->front_ring = ring_create(FRONT_RING_CAPACITY);
    c->upstream_ring = ring_create(UPSTREAM_RING_CAPACITY);
    if (c->front_ring == NULL || c->upstream_ring == NULL) {
        return false;
    }
    upstream_config_default(&config);
    config.threads = c->settings->upstream_threads;
    c->upstream = upstream_create(&config, c->upstream_ring);
    return c->upstream != NULL &&
           control_watch_fd(c, ring_fd(c->front_ring)) &&
           control_watch_fd(c, ring_fd(c->upstream_ring));
}

static bool
start_replica(struct control *c)
{
    if (!settings_is_control(c->settings)) {
        return true;
    }
    c->local = link_create(c, NULL, c->settings->vm);
    c->storage_ring = ring_create(STORAGE_RING_CAPACITY);
    if (c->storage_ring == NULL ||
        !control_watch_fd(c, ring_fd(c->storage_ring))) {
        return false;
    }
    c->replica = replica_create(c);
    return c->replica != NULL;
}

bool
control_start(struct control *c)
{
    if (!start_upstream(c)) {
        log_write(LOG_LEVEL_CRIT, "control: cannot start: %s",
                  strerror(errno));
        return false;
    }
    if (!start_replica(c)) {
        return false;
    }
    c->entry = entry_create(c);
    return start_peers(c) && start_front(c);
}

static void
empty_rings(struct control *c)
{
    struct front_item *item;
    struct upstream_result *result;
    struct storage_job *job;

    while (c->front_ring != NULL && (item = ring_pop(c->front_ring)) != NULL) {
        entry_handle_front_item(c->entry, item);
    }
    while (c->upstream_ring != NULL &&
           (result = ring_pop(c->upstream_ring)) != NULL) {
        entry_handle_upstream_result(c->entry, result);
    }
    while (c->storage_ring != NULL &&
           (job = ring_pop(c->storage_ring)) != NULL) {
        storage_job_free(job);
    }
}

void
control_stop(struct control *c)
{
    if (c->front != NULL) {
        front_destroy(c->front);
    }
    if (c->upstream != NULL) {
        upstream_destroy(c->upstream);
    }
    replica_destroy(c->replica);
    if (c->hub != NULL) {
        peer_destroy(c->hub);
        c->hub = NULL;
    }
    empty_rings(c);
    entry_destroy(c->entry);
    links_destroy(c);
    if (c->ledger != NULL) {
        ledger_destroy(c->ledger);
    }
    ring_destroy(c->front_ring);
    ring_destroy(c->upstream_ring);
    ring_destroy(c->storage_ring);
    close(c->epoll);
}
