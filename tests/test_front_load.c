#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "net.h"
#include "rng.h"
#include "server.h"

/* Guards against unbounded memory: max_buffered limits all bodies together. */
static void
test_buffered(void)
{
    struct front_config config = server_config();
    g_autofree char *body = g_strnfill(40000, 'b');
    g_autofree char *text = g_strconcat("PUT /a HTTP/1.1\r\nHost: h\r\n"
                                        "Content-Length: 40000\r\n\r\n",
                                        body, NULL);
    int fds[2];

    config.max_buffered = 64 * 1024;
    struct server s = server_start(&config, 64);
    for (int i = 0; i < 2; i++) {
        fds[i] = net_connect(s.port);
    }
    net_write(fds[0], text);
    struct front_call *call = server_next_call(&s);
    net_write(fds[1], text);
    server_expect(fds[1], "503", "overloaded");
    server_respond(call, 200, "ok");
    server_expect(fds[0], "200", "ok");
    server_wait_idle(&s);
    net_write(fds[1], text);
    server_respond(server_next_call(&s), 200, "ok");
    server_expect(fds[1], "200", "ok");
    close(fds[0]);
    close(fds[1]);
    server_stop(&s);
}

/* Guards against callers that do not read their answers: the memory must be
 * counted in max_buffered and freed after send_timeout_ns. */
static void
test_slow_reader(void)
{
    struct front_config config = server_config();
    g_autofree char *body = g_strnfill(8000000, 'b');
    int fd;

    config.max_buffered = 4000000;
    /* The first server has the default send timeout, so that the overload
     * lasts until it is checked; the second one closes the connection. */
    for (int i = 0; i < 2; i++) {
        struct server s = server_start(&config, 64);

        fd = net_connect(s.port);
        net_write(fd, GET "\r\n");
        struct front_call *call = server_next_call(&s);
        g_assert_false(front_overloaded(s.front));
        server_respond(call, 200, body);
        if (i == 0) {
            g_assert_true(front_overloaded(s.front));
            close(fd);
        }
        server_wait_idle(&s);
        g_assert_false(front_overloaded(s.front));
        if (i == 1) {
            close(fd);
        }
        server_stop(&s);
        config.send_timeout_ns = 500 * NS_PER_MS;
    }
}

/* Guards against more than max_connections being served at once. */
static void
test_connection_limit(void)
{
    struct front_config config = server_config();
    struct front_call *calls[2];
    int fds[3];

    config.max_connections = 2;
    struct server s = server_start(&config, 64);
    for (int i = 0; i < 3; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "Connection: close\r\n\r\n");
    }
    for (int i = 0; i < 2; i++) {
        calls[i] = server_next_call(&s);
    }
    g_assert_null(server_next_item(&s, 100));
    for (int i = 0; i < 2; i++) {
        server_respond(calls[i], 200, "ok");
    }
    server_respond(server_next_call(&s), 200, "ok");
    for (int i = 0; i < 3; i++) {
        server_expect(fds[i], "200", "ok");
        close(fds[i]);
    }
    server_stop(&s);
}

enum {
    CLIENTS = 32,
    REQUESTS = 20,
};

static void *
client_run(void *arg)
{
    struct server *s = arg;
    int fd = net_connect(s->port);

    for (int i = 0; i < REQUESTS; i++) {
        g_autofree char *want = g_strdup_printf("/%p-%d", (void *)&fd, i);
        g_autofree char *text =
            g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", want);

        net_write(fd, text);
        server_expect(fd, "200", want);
    }
    close(fd);
    return NULL;
}

/* Guards against an answer that reaches the wrong caller, when calls are
 * answered in random order. */
static void
test_concurrent(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 256);
    struct front_call *held[CLIENTS];
    struct rng rng = {7};
    pthread_t threads[CLIENTS];
    size_t count = 0;

    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&threads[i], NULL, client_run, &s);
    }
    for (int done = 0; done < CLIENTS * REQUESTS;) {
        struct front_item *item =
            server_next_item(&s, count == 0 ? SERVER_WAIT_MS : 1);

        if (item != NULL && item->kind == FRONT_ITEM_CALL) {
            held[count++] = item->call;
        }
        if (item != NULL) {
            front_item_release(item);
        }
        if (count != 0 && (item == NULL || count == CLIENTS)) {
            size_t i = rng_below(&rng, count);
            g_autofree char *path =
                g_strndup(held[i]->path.ptr, held[i]->path.len);

            server_respond(held[i], 200, path);
            held[i] = held[--count];
            done++;
        }
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    struct front_item *item;
    while ((item = ring_pop(s.ring)) != NULL) {
        g_assert_cmpint(item->kind, ==, FRONT_ITEM_DISCONNECTED);
        front_item_release(item);
    }
    server_stop(&s);
}

static void
test_disconnect(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    int fd = net_connect(s.port);
    struct front_item *item;
    struct front_call *call;

    net_write(fd, GET "\r\n");
    call = server_next_call(&s);
    g_assert_null(server_next_item(&s, 50));
    close(fd);
    item = server_next_item(&s, SERVER_WAIT_MS);
    g_assert_nonnull(item);
    g_assert_cmpint(item->kind, ==, FRONT_ITEM_DISCONNECTED);
    g_assert_true(item->call == call);
    server_respond(call, 200, "late");
    g_assert_true(str_eq(item->call->path, STR("/a")));
    front_item_release(item);
    server_stop(&s);
}

enum {
    DISCONNECTS = 200,
};

struct received_items {
    struct front_call *held[DISCONNECTS];
    int calls;
    int disconnects;
};

static void
receive_items_until(struct server *s, struct received_items *received,
                    int calls, int disconnects)
{
    while (received->calls < calls || received->disconnects < disconnects) {
        struct front_item *item = server_next_item(s, SERVER_WAIT_MS);

        g_assert_nonnull(item);
        if (item->kind == FRONT_ITEM_CALL) {
            received->held[received->calls++] = item->call;
        }
        else {
            received->disconnects++;
        }
        front_item_release(item);
    }
}

/* Guards against leaks and lost items when all callers disconnect at once: the
 * ring holds fewer items than there are disconnects. */
static void
test_mass_disconnect(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    struct received_items received = {0};
    struct linger linger = {1, 0};
    int fds[DISCONNECTS];

    for (int i = 0; i < DISCONNECTS; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "\r\n");
        receive_items_until(&s, &received, i + 1, 0);
    }
    for (int i = 0; i < DISCONNECTS; i++) {
        if (i % 2 == 0) {
            /* A reset instead of a FIN. */
            setsockopt(fds[i], SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        }
        close(fds[i]);
    }
    g_usleep(100000);
    receive_items_until(&s, &received, DISCONNECTS, DISCONNECTS);
    for (int i = 0; i < DISCONNECTS; i++) {
        server_respond(received.held[i], 200, "nobody reads this");
    }
    server_stop(&s);
}

/* Waits for an answer on any of the connections; it must be a 503. */
static void
expect_refusal(struct pollfd *fds, nfds_t count)
{
    g_assert_cmpint(poll(fds, count, SERVER_WAIT_MS), >, 0);
    for (nfds_t i = 0; i < count; i++) {
        if (fds[i].revents != 0) {
            GString *text = net_read_response(fds[i].fd, FALSE);

            g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 503"));
            g_assert_nonnull(strstr(text->str, "Retry-After: 1\r\n"));
            g_assert_nonnull(strstr(text->str, "Guavarock-Outcome: not-run"));
            g_string_free(text, TRUE);
            return;
        }
    }
}

enum {
    RING_SLOTS = 4, /* of which the ring uses three */
    RING_CALLS = 5,
};

/* Guards against a call that is lost when the ring is full. The test pops
 * items only after each call was either pushed or refused. */
static void
test_ring_full(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, RING_SLOTS);
    struct pollfd fds[RING_CALLS];

    for (int i = 0; i < RING_CALLS; i++) {
        fds[i] = (struct pollfd){net_connect(s.port), POLLIN, 0};
        net_write(fds[i].fd, GET "\r\n");
    }
    for (int i = RING_SLOTS - 1; i < RING_CALLS; i++) {
        expect_refusal(fds, RING_CALLS);
    }
    for (int i = 0; i < RING_SLOTS - 1; i++) {
        server_respond(server_next_call(&s), 200, "ok");
    }
    for (int i = 0; i < RING_CALLS; i++) {
        close(fds[i].fd);
    }
    server_stop(&s);
}

static void
test_drain(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    int fd = net_connect(s.port);
    struct front_call *call;

    net_write(fd, GET "\r\n");
    call = server_next_call(&s);
    front_drain(s.front);
    int late = net_connect(s.port);
    net_write(late, GET "\r\n");
    front_stop_listening(s.front);
    g_assert_cmpint(net_connect(s.port), ==, -1);
    g_assert_cmpuint(front_active_requests(s.front), >=, 1);
    server_respond(call, 200, "first");
    server_expect(fd, "200", "Connection: close");
    server_respond(server_next_call(&s), 200, "second");
    server_expect(late, "200", "Connection: close");
    g_assert_true(net_closed(fd) && net_closed(late));
    close(fd);
    close(late);
    server_stop(&s);
}

/* Returns FALSE, without a verdict, when the test was delayed for so long that
 * the server may have closed the connection before the last request. */
static gboolean
drain_idle(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    int idle = net_connect(s.port);
    int used = net_connect(s.port);
    int64_t last_used = 0;
    gboolean in_time;

    for (int i = 0; i < 3; i++) {
        last_used = clock_now();
        net_write(used, GET "\r\n");
        server_respond(server_next_call(&s), 200, "before");
        server_expect(used, "200", "before");
    }
    g_assert_cmpuint(front_connections(s.front), ==, 2);
    /* The server may end the last request after its answer has been read. */
    server_wait_idle(&s);
    front_drain(s.front);
    front_stop_listening(s.front);
    front_close_idle(s.front);
    g_assert_cmpuint(front_active_requests(s.front), ==, 0);
    net_write(used, GET "\r\n");
    in_time = clock_now() - last_used < FRONT_DRAIN_IDLE_MS * NS_PER_MS;
    if (in_time) {
        server_respond(server_next_call(&s), 200, "late");
        server_expect(used, "200", "Connection: close");
        g_assert_true(net_closed(idle));
        g_assert_true(net_closed(used));
    }
    close(idle);
    close(used);
    server_wait_closed(&s, !in_time);
    server_stop(&s);
    return in_time;
}

/* Guards against a planned stop that closes a connection on which a request is
 * in flight, and against one that waits for idle connections. A run on a
 * stalled machine shows neither and is repeated. */
static void
test_drain_idle(void)
{
    gboolean in_time = FALSE;

    for (int i = 0; i < 20 && !in_time; i++) {
        in_time = drain_idle();
    }
    g_assert_true(in_time);
}

/* Guards against a crash when the server is destroyed before its calls are
 * answered. */
static void
test_destroy_with_calls(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    int fds[8];
    struct front_call *calls[4];

    for (int i = 0; i < 8; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "\r\n");
    }
    for (int i = 0; i < 4; i++) {
        calls[i] = server_next_call(&s);
    }
    front_destroy(s.front);
    for (int i = 0; i < 4; i++) {
        server_respond(calls[i], 200, "too late");
    }
    struct front_item *item;
    while ((item = ring_pop(s.ring)) != NULL) {
        struct front_call *call = item->call;
        gboolean is_call = item->kind == FRONT_ITEM_CALL;

        front_item_release(item);
        if (is_call) {
            front_abort(call);
        }
    }
    for (int i = 0; i < 8; i++) {
        g_assert_true(net_closed(fds[i]));
        close(fds[i]);
    }
    ring_destroy(s.ring);
}

static void
test_head_and_abort(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    struct front_response response = {.status = 200, .head_length = 1234};
    int fd = net_connect(s.port);
    GString *text;

    net_write(fd, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    front_respond(server_next_call(&s), &response);
    text = net_read_response(fd, TRUE);
    g_assert_nonnull(strstr(text->str, "Content-Length: 1234\r\n"));
    g_string_free(text, TRUE);
    net_write(fd, GET "\r\n");
    server_respond(server_next_call(&s), 204, "");
    server_expect(fd, "204", "");
    net_write(fd, GET "\r\n");
    front_abort(server_next_call(&s));
    g_assert_true(net_closed(fd));
    close(fd);
    server_stop(&s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/front/buffered", test_buffered);
    g_test_add_func("/front/slow_reader", test_slow_reader);
    g_test_add_func("/front/connection_limit", test_connection_limit);
    g_test_add_func("/front/concurrent", test_concurrent);
    g_test_add_func("/front/disconnect", test_disconnect);
    g_test_add_func("/front/storm", test_mass_disconnect);
    g_test_add_func("/front/ring_full", test_ring_full);
    g_test_add_func("/front/drain", test_drain);
    g_test_add_func("/front/drain-idle", test_drain_idle);
    g_test_add_func("/front/destroy_with_calls", test_destroy_with_calls);
    g_test_add_func("/front/head_and_abort", test_head_and_abort);
    return g_test_run();
}
