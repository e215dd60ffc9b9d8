#include "peer_rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

int64_t peer_now = 1000 * NS_PER_S;

static void
on_up(void *arg, struct peer_session *session,
      const struct peer_identity *identity)
{
    struct peer_node *n = arg;

    n->ups++;
    n->session = session;
    n->identity = *identity;
    snprintf(n->vm, sizeof(n->vm), "%.*s", STR_ARG(identity->vm));
}

static void
on_frame(void *arg, struct peer_session *session, struct str payload)
{
    struct peer_node *n = arg;

    (void)session;
    n->frames++;
    buf_clear(&n->last);
    buf_append_str(&n->last, payload);
}

static void
on_down(void *arg, struct peer_session *session, enum peer_down_reason reason)
{
    struct peer_node *n = arg;

    n->downs++;
    n->reason = reason;
    if (n->session == session) {
        n->session = NULL;
    }
}

void
peer_node_open(struct peer_node *n, const char *vm, char key,
               uint16_t listen_port, uint16_t target_port)
{
    struct peer_handler handler = {n, on_up, on_frame, on_down};
    char listen_at[32];
    char target_at[32];
    char error[128];
    struct peer_target target = {.address = {target_at, 0}};
    struct peer_config config = {.vm = str_of(vm),
                                 .member_id = 7,
                                 .cluster_id = 9,
                                 .seed = listen_port + 1U,
                                 .send_queue_max = 4 * 1024 * 1024,
                                 .targets = &target,
                                 .target_count = target_port != 0};

    snprintf(listen_at, sizeof(listen_at), "127.0.0.1:%u", listen_port);
    snprintf(target_at, sizeof(target_at), "127.0.0.1:%u", target_port);
    target.address = str_of(target_at);
    config.listen = str_of(listen_at);
    memset(config.cluster_key, key, sizeof(config.cluster_key));
    n->session = NULL;
    n->hub = peer_create(&config, &handler, peer_now, error, sizeof(error));
    g_assert_nonnull(n->hub);
}

void
peer_node_close(struct peer_node *n)
{
    peer_destroy(n->hub);
    buf_free(&n->last);
}

int
peer_test_listen(uint16_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t len = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, len), ==, 0);
    g_assert_cmpint(listen(fd, 8), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &len);
    *port = ntohs(address.sin_port);
    return fd;
}

int
peer_test_connect(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

void
peer_relay_open(struct peer_relay *r, uint16_t server_port)
{
    *r = (struct peer_relay){.client = -1,
                             .server = -1,
                             .server_port = server_port,
                             .flip_at = {-1, -1},
                             .cut_at = {-1, -1},
                             .hold_at = {-1, -1}};
    r->listener = peer_test_listen(&r->port);
}

void
peer_relay_drop(struct peer_relay *r)
{
    close(r->client);
    close(r->server);
    r->client = -1;
    r->server = -1;
}

void
peer_relay_close(struct peer_relay *r)
{
    if (r->client >= 0) {
        peer_relay_drop(r);
    }
    close(r->listener);
    buf_free(&r->from_client);
}

static void
relay_forward(struct peer_relay *r, int from, int to, int direction)
{
    char bytes[4096];
    size_t want = r->step_bytes == 0 ? sizeof(bytes) : r->step_bytes;
    ssize_t n;

    if (r->hold_at[direction] >= 0) {
        want = (size_t)r->hold_at[direction] - r->forwarded[direction];
    }
    if (want == 0) {
        return;
    }
    n = recv(from, bytes, want, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        peer_relay_drop(r);
    }
    if (n <= 0) {
        return;
    }
    if (direction == 0) {
        buf_append(&r->from_client, bytes, (size_t)n);
    }
    for (ssize_t i = 0; i < n; i++) {
        if ((ssize_t)r->forwarded[direction] == r->flip_at[direction]) {
            bytes[i] ^= 1;
        }
        if ((ssize_t)r->forwarded[direction] == r->cut_at[direction]) {
            send(to, bytes, (size_t)i, MSG_NOSIGNAL);
            peer_relay_drop(r);
            return;
        }
        r->forwarded[direction]++;
    }
    send(to, bytes, (size_t)n, MSG_NOSIGNAL);
}

/* Nagle's algorithm would delay single bytes until the last one is acked. */
static void
set_nodelay(int fd)
{
    int one = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void
relay_step(struct peer_relay *r)
{
    if (r == NULL || r->paused) {
        return;
    }
    relay_step(r->second);
    if (r->client < 0) {
        r->client = accept(r->listener, NULL, NULL);
        if (r->client >= 0) {
            r->server = peer_test_connect(r->server_port);
            set_nodelay(r->client);
            set_nodelay(r->server);
        }
    }
    if (r->client >= 0) {
        relay_forward(r, r->client, r->server, 0);
    }
    if (r->client >= 0) {
        relay_forward(r, r->server, r->client, 1);
    }
}

void
peer_run(struct peer_node *a, struct peer_node *b, struct peer_relay *r,
         int ms)
{
    for (int i = 0; i < ms; i++) {
        peer_now += NS_PER_MS;
        if (a != NULL) {
            peer_poll(a->hub, peer_now);
        }
        relay_step(r);
        if (b != NULL) {
            peer_poll(b->hub, peer_now);
        }
        g_usleep(20);
    }
}

void
peer_run_until(struct peer_node *a, struct peer_node *b, struct peer_relay *r,
               const unsigned *count, unsigned target)
{
    for (int i = 0; i < 1000 && *count < target; i++) {
        peer_run(a, b, r, 1);
    }
    g_assert_cmpuint(*count, ==, target);
}

bool
peer_test_closed(int fd)
{
    char bytes[256];
    ssize_t n;

    do {
        n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    } while (n > 0);
    return n == 0 || errno != EAGAIN;
}
