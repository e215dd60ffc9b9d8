#include "server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <string.h>

#include "clock.h"
#include "net.h"

struct front_config
server_config(void)
{
    struct front_config config;
    struct sockaddr_in *address = (void *)&config.address;

    front_config_default(&config);
    address->sin_family = AF_INET;
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    config.threads = 2;
    config.max_connections = 1024;
    config.max_body = 64 * 1024;
    return config;
}

struct server
server_start(const struct front_config *config, unsigned capacity)
{
    struct server s;

    s.ring = ring_create(capacity);
    s.front = front_create(config, s.ring);
    g_assert_nonnull(s.front);
    s.port = front_port(s.front);
    return s;
}

struct front_item *
server_next_item(struct server *s, int timeout_ms)
{
    int64_t deadline = clock_now() + timeout_ms * NS_PER_MS;
    struct front_item *item;

    for (;;) {
        struct pollfd p = {.fd = ring_fd(s->ring), .events = POLLIN};
        int wait = clock_wait_ms(clock_now(), deadline, timeout_ms);

        item = ring_pop(s->ring);
        if (item != NULL || wait == 0) {
            return item;
        }
        poll(&p, 1, wait);
        ring_clear(s->ring);
    }
}

struct front_call *
server_next_call(struct server *s)
{
    struct front_item *item = server_next_item(s, SERVER_WAIT_MS);
    struct front_call *call;

    g_assert_nonnull(item);
    g_assert_cmpint(item->kind, ==, FRONT_ITEM_CALL);
    call = item->call;
    front_item_release(item);
    return call;
}

void
server_respond(struct front_call *call, int status, const char *body)
{
    struct front_response response = {.status = status};

    http_headers_add(&response.headers, STR("X-Test"), STR("a\tb"));
    buf_append_str(&response.body, str_of(body));
    front_respond(call, &response);
    g_assert_null(response.body.ptr);
}

void
server_wait_idle(struct server *s)
{
    for (int i = 0; i < 500 && front_active_requests(s->front) != 0; i++) {
        g_usleep(10000);
    }
    g_assert_cmpuint(front_active_requests(s->front), ==, 0);
}

void
server_wait_closed(struct server *s, bool discard)
{
    struct front_item *item;

    for (int i = 0; i < 500 && front_connections(s->front) != 0; i++) {
        while (discard && (item = ring_pop(s->ring)) != NULL) {
            struct front_call *call = item->call;
            bool is_call = item->kind == FRONT_ITEM_CALL;

            front_item_release(item);
            if (is_call) {
                front_abort(call);
            }
        }
        g_usleep(10000);
    }
    g_assert_cmpuint(front_connections(s->front), ==, 0);
}

/* No call may be left behind by what a test sent. */
void
server_stop(struct server *s)
{
    g_assert_null(ring_pop(s->ring));
    server_wait_idle(s);
    front_destroy(s->front);
    ring_destroy(s->ring);
}

void
server_expect(int fd, const char *status, const char *part)
{
    GString *text = net_read_response(fd, FALSE);

    g_test_message("%s", text->str);
    g_assert_true(g_str_has_prefix(text->str + strlen("HTTP/1.1 "), status));
    g_assert_nonnull(strstr(text->str, part));
    g_string_free(text, TRUE);
}
