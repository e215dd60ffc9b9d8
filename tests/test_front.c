#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "front.h"
#include "net.h"
#include "rng.h"

struct server {
    struct front *front;
    struct ring *ring;
    uint16_t port;
};

static struct front_config
test_config(void)
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

static struct server
start(const struct front_config *config, unsigned capacity)
{
    struct server s;

    s.ring = ring_create(capacity);
    s.front = front_create(config, s.ring);
    g_assert_nonnull(s.front);
    s.port = front_port(s.front);
    return s;
}

static struct front_item *
next_item(struct server *s, int timeout_ms)
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

static struct front_call *
next_call(struct server *s)
{
    struct front_item *item = next_item(s, 5000);
    struct front_call *call;

    g_assert_nonnull(item);
    g_assert_cmpint(item->kind, ==, FRONT_ITEM_CALL);
    call = item->call;
    front_item_release(item);
    return call;
}

static void
respond(struct front_call *call, int status, const char *body)
{
    struct front_response response = {.status = status};

    http_headers_add(&response.headers, STR("X-Test"), STR("a\tb"));
    buf_append_str(&response.body, str_of(body));
    front_respond(call, &response);
    g_assert_null(response.body.ptr);
}

static void
wait_idle(struct server *s)
{
    for (int i = 0; i < 500 && front_active(s->front) != 0; i++) {
        g_usleep(10000);
    }
    g_assert_cmpuint(front_active(s->front), ==, 0);
}

/* No call may be left behind by what a test sent. */
static void
stop(struct server *s)
{
    g_assert_null(ring_pop(s->ring));
    wait_idle(s);
    front_destroy(s->front);
    ring_destroy(s->ring);
}

#define GET "GET /a HTTP/1.1\r\nHost: h\r\n"

static void
expect(int fd, const char *status, const char *part)
{
    GString *text = net_read_response(fd, FALSE);

    g_test_message("%s", text->str);
    g_assert_true(g_str_has_prefix(text->str + strlen("HTTP/1.1 "), status));
    g_assert_nonnull(strstr(text->str, part));
    g_string_free(text, TRUE);
}

static void
test_fields(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    int fd = net_connect(s.port);
    struct front_call *call;

    net_write(fd, "POST /v1/services/s/a%2Fb/../c?x=%20y&z HTTP/1.1\r\n"
                  "Host: h\r\nAuthorization: bearer k-1\r\n"
                  "Idempotency-Key: i1\r\nGuavarock-Idempotent: true\r\n"
                  "Guavarock-Timeout-Ms: 1500\r\nIf-Match: \"3\"\r\n"
                  "Content-Type: text/plain\r\nX-Keep: 1\r\n"
                  "Connection: X-Drop\r\nX-Drop: 2\r\nTE: trailers\r\n"
                  "Guavarock-Other: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    call = next_call(&s);
    g_assert_cmpint(call->method, ==, HTTP_POST);
    g_assert_true(str_eq(call->path, STR("/v1/services/s/a%2Fb/../c")));
    g_assert_true(str_eq(call->query, STR("x=%20y&z")));
    g_assert_true(str_eq(call->key, STR("k-1")));
    g_assert_true(str_eq(call->idempotency_key, STR("i1")));
    g_assert_true(str_eq(call->if_match, STR("\"3\"")));
    g_assert_true(str_eq(call->content_type, STR("text/plain")));
    g_assert_true(call->idempotent);
    g_assert_true(call->deadline - call->arrived == 1500 * NS_PER_MS);
    g_assert_true(str_eq(buf_str(&call->body), STR("abcde")));
    g_assert_cmpuint(call->headers.count, ==, 3);
    g_assert_true(
        str_eq(http_headers_get(&call->headers, "X-Keep"), STR("1")));
    g_assert_true(g_str_has_prefix(call->client, "127.0.0.1:"));
    respond(call, 201, "made");
    expect(fd, "201", "X-Test: a b");
    net_write(fd, GET "\r\n");
    call = next_call(&s);
    g_assert_true(call->idempotent && call->key.len == 0);
    g_assert_null(call->idempotency_key.ptr);
    struct front_response response = {.status = 200};
    http_headers_add(&response.headers, STR("Date"), STR("from-endpoint"));
    http_headers_add(&response.headers, STR("Set-Cookie"), STR("a=1"));
    http_headers_add(&response.headers, STR("Set-Cookie"), STR("b=2"));
    http_headers_add(&response.headers, STR("Content-Length"), STR("99"));
    front_respond(call, &response);
    GString *text = net_read_response(fd, FALSE);
    g_assert_nonnull(strstr(text->str, "Date: from-endpoint\r\n"));
    g_assert_null(strstr(strstr(text->str, "Date:") + 1, "Date:"));
    g_assert_nonnull(strstr(text->str, "Set-Cookie: a=1\r\n"));
    g_assert_nonnull(strstr(text->str, "Set-Cookie: b=2\r\n"));
    g_assert_nonnull(strstr(text->str, "Content-Length: 0\r\n"));
    g_string_free(text, TRUE);
    close(fd);
    stop(&s);
}

/* Guards against unbounded memory: all bodies together have a bound. */
static void
test_buffered(void)
{
    struct front_config config = test_config();
    g_autofree char *body = g_strnfill(40000, 'b');
    g_autofree char *text = g_strconcat("PUT /a HTTP/1.1\r\nHost: h\r\n"
                                        "Content-Length: 40000\r\n\r\n",
                                        body, NULL);
    int fds[2];

    config.max_buffered = 64 * 1024;
    struct server s = start(&config, 64);
    for (int i = 0; i < 2; i++) {
        fds[i] = net_connect(s.port);
    }
    net_write(fds[0], text);
    struct front_call *call = next_call(&s);
    net_write(fds[1], text);
    expect(fds[1], "503", "overloaded");
    respond(call, 200, "ok");
    expect(fds[0], "200", "ok");
    wait_idle(&s);
    net_write(fds[1], text);
    respond(next_call(&s), 200, "ok");
    expect(fds[1], "200", "ok");
    close(fds[0]);
    close(fds[1]);
    stop(&s);
}

/* Guards against connections beyond the bound being served. */
static void
test_connection_limit(void)
{
    struct front_config config = test_config();
    struct front_call *calls[2];
    int fds[3];

    config.max_connections = 2;
    struct server s = start(&config, 64);
    for (int i = 0; i < 3; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "Connection: close\r\n\r\n");
    }
    for (int i = 0; i < 2; i++) {
        calls[i] = next_call(&s);
    }
    g_assert_null(next_item(&s, 100));
    for (int i = 0; i < 2; i++) {
        respond(calls[i], 200, "ok");
    }
    respond(next_call(&s), 200, "ok");
    for (int i = 0; i < 3; i++) {
        expect(fds[i], "200", "ok");
        close(fds[i]);
    }
    stop(&s);
}

static const char *const malformed[][2] = {
    {"400", "GET /a HTTP/1.1\r\n\r\n"},
    {"400", "GET a HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"400", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"400", "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"400", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"400", GET "Host: i\r\n\r\n"},
    {"400", GET "X-Name : 1\r\n\r\n"},
    {"400", GET "X-Name: a\x01\r\n\r\n"},
    {"400", GET "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"},
    {"400", GET "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n"},
    {"400", GET "Transfer-Encoding: gzip\r\n\r\n"},
    {"400", GET "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n"},
    {"400", GET "Idempotency-Key: \r\n\r\n"},
    {"400", GET "Idempotency-Key: a b\r\n\r\n"},
    {"400", GET "Guavarock-Idempotent: maybe\r\n\r\n"},
    {"400", GET "Guavarock-Timeout-Ms: 0\r\n\r\n"},
    {"400", GET "Guavarock-Timeout-Ms: -5\r\n\r\n"},
    {"400", GET "Guavarock-Timeout-Ms: 99999999999999999999\r\n\r\n"},
    {"405", "TRACE /a HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"405", "BREW /a HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"413", "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65537\r\n"
            "Expect: 100-continue\r\n\r\n"},
};

static const char *const refused_by_library[] = {
    GET "Content-Length: x\r\n\r\n",
    GET "Content-Length: -1\r\n\r\n",
    GET "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
};

/* Guards against malformed input that reaches the control thread, and against
 * two servers reading one request differently. */
static void
test_malformed(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);

    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        int fd = net_connect(s.port);

        g_test_message("%s", malformed[i][1]);
        net_write(fd, malformed[i][1]);
        expect(fd, malformed[i][0], "{\"error\":{\"code\":");
        close(fd);
    }
    /* The library answers these itself, or closes at once. */
    for (size_t i = 0; i < G_N_ELEMENTS(refused_by_library); i++) {
        int fd = net_connect(s.port);

        net_write(fd, refused_by_library[i]);
        expect(fd, "400", "");
        close(fd);
    }
    int fd = net_connect(s.port);
    net_write(fd, "nonsense\r\n\r\n");
    g_assert_true(net_closed(fd, 1000));
    close(fd);
    stop(&s);
}

static char *
repeat(const char *head, char c, size_t count, const char *tail)
{
    g_autofree char *fill = g_strnfill(count, c);

    return g_strconcat(head, fill, tail, NULL);
}

static void
test_sizes(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    char *texts[] = {
        repeat(GET "X: ", 'x', 17000, "\r\n\r\n"),
        repeat(GET "X: ", 'x', 200000, "\r\n\r\n"),
        repeat("GET /", 'a', 10000, " HTTP/1.1\r\nHost: h\r\n\r\n"),
        repeat("PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n10001\r\n",
               'b', 65537, "\r\n0\r\n\r\n"),
        repeat(GET, 'y', 0, ""),
    };
    const char *const statuses[] = {"431", "431", "414", "413", "431"};

    for (int i = 0; i <= 100; i++) {
        char *longer =
            g_strconcat(texts[4], i < 100 ? "Y: 1\r\n" : "\r\n", NULL);

        g_free(texts[4]);
        texts[4] = longer;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        int fd = net_connect(s.port);

        net_write(fd, texts[i]);
        expect(fd, statuses[i], "");
        close(fd);
        g_free(texts[i]);
    }
    /* Just below the bounds. */
    g_autofree char *text = repeat(
        "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\nX: ", 'x',
        16000, "\r\n\r\n");
    g_autofree char *whole = repeat(text, 'b', 65536, "");
    int fd = net_connect(s.port);

    net_write(fd, whole);
    struct front_call *call = next_call(&s);
    g_assert_cmpuint(call->body.len, ==, 65536);
    respond(call, 200, "ok");
    expect(fd, "200", "ok");
    close(fd);
    stop(&s);
}

/* Guards against senders that hold a connection by sending now and then. */
static void
test_slow_sender(void)
{
    struct front_config config = test_config();
    const char *const starts[] = {
        "GET /a HTTP/1.1\r\nHost: h\r\nX: ",
        "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"};
    int fds[2];

    config.receive_timeout_ns = 300 * NS_PER_MS;
    config.idle_timeout_ns = 400 * NS_PER_MS;
    struct server s = start(&config, 64);
    int idle = net_connect(s.port);
    for (int i = 0; i < 2; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], starts[i]);
    }
    for (int i = 0; i < 8; i++) {
        g_usleep(20000);
        net_write(fds[0], "x");
        net_write(fds[1], "x");
    }
    for (int i = 0; i < 2; i++) {
        expect(fds[i], "408", "\"code\":\"timeout\"");
        g_assert_true(net_closed(fds[i], 1000));
        close(fds[i]);
    }
    g_assert_true(net_closed(idle, 2000));
    close(idle);
    stop(&s);
}

static void
test_truncated(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    const char *const texts[] = {
        "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
        "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nab",
        "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n",
        "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n0\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        int fd = net_connect(s.port);

        net_write(fd, texts[i]);
        g_usleep(20000);
        shutdown(fd, SHUT_WR);
        g_assert_null(next_item(&s, 50));
        close(fd);
    }
    stop(&s);
}

static void
test_pipelined(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    int fd = net_connect(s.port);

    net_write(fd, "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
                  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                  "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 1; i <= 3; i++) {
        struct front_call *call = next_call(&s);
        g_autofree char *path = g_strdup_printf("/%d", i);

        g_assert_true(str_eq(call->path, str_of(path)));
        g_assert_null(next_item(&s, 20));
        respond(call, 200, path);
        expect(fd, "200", path);
    }
    close(fd);
    stop(&s);
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
        expect(fd, "200", want);
    }
    close(fd);
    return NULL;
}

/* Guards against an answer that reaches another caller: answers are given in
 * random order. */
static void
test_concurrent(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 256);
    struct front_call *held[CLIENTS];
    struct rng rng = {7};
    pthread_t threads[CLIENTS];
    size_t count = 0;

    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&threads[i], NULL, client_run, &s);
    }
    for (int done = 0; done < CLIENTS * REQUESTS;) {
        struct front_item *item = next_item(&s, count == 0 ? 5000 : 1);

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

            respond(held[i], 200, path);
            held[i] = held[--count];
            done++;
        }
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    struct front_item *item;
    while ((item = ring_pop(s.ring)) != NULL) {
        g_assert_cmpint(item->kind, ==, FRONT_ITEM_GONE);
        front_item_release(item);
    }
    stop(&s);
}

static void
test_disconnect(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    int fd = net_connect(s.port);
    struct front_item *item;
    struct front_call *call;

    net_write(fd, GET "\r\n");
    call = next_call(&s);
    g_assert_null(next_item(&s, 50));
    close(fd);
    item = next_item(&s, 2000);
    g_assert_nonnull(item);
    g_assert_cmpint(item->kind, ==, FRONT_ITEM_GONE);
    g_assert_true(item->call == call);
    respond(call, 200, "late");
    g_assert_true(str_eq(item->call->path, STR("/a")));
    front_item_release(item);
    stop(&s);
}

enum {
    STORM = 200,
};

struct storm {
    struct front_call *held[STORM];
    int calls;
    int gone;
};

static void
storm_until(struct server *s, struct storm *storm, int calls, int gone)
{
    while (storm->calls < calls || storm->gone < gone) {
        struct front_item *item = next_item(s, 2000);

        g_assert_nonnull(item);
        if (item->kind == FRONT_ITEM_CALL) {
            storm->held[storm->calls++] = item->call;
        }
        else {
            storm->gone++;
        }
        front_item_release(item);
    }
}

/* Guards against leaks and lost items when all callers leave at once; the
 * ring holds fewer items than there are disconnects. */
static void
test_storm(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    struct storm storm = {0};
    struct linger linger = {1, 0};
    int fds[STORM];

    for (int i = 0; i < STORM; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "\r\n");
        storm_until(&s, &storm, i + 1, 0);
    }
    for (int i = 0; i < STORM; i++) {
        if (i % 2 == 0) {
            /* A reset instead of a FIN. */
            setsockopt(fds[i], SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        }
        close(fds[i]);
    }
    g_usleep(100000);
    storm_until(&s, &storm, STORM, STORM);
    for (int i = 0; i < STORM; i++) {
        respond(storm.held[i], 200, "nobody reads this");
    }
    stop(&s);
}

static void
test_ring_full(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 4);
    int fds[5];
    int refused = 0;

    for (int i = 0; i < 5; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "\r\n");
    }
    for (int i = 0; i < 5; i++) {
        struct pollfd p = {.fd = fds[i], .events = POLLIN};

        if (poll(&p, 1, 300) == 1) {
            GString *text = net_read_response(fds[i], FALSE);

            g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 503"));
            g_assert_nonnull(strstr(text->str, "Retry-After: 1\r\n"));
            g_assert_nonnull(strstr(text->str, "Guavarock-Outcome: not-run"));
            g_string_free(text, TRUE);
            refused++;
        }
    }
    g_assert_cmpint(refused, >=, 1);
    for (int i = refused; i < 5; i++) {
        respond(next_call(&s), 200, "ok");
    }
    for (int i = 0; i < 5; i++) {
        close(fds[i]);
    }
    stop(&s);
}

static void
test_drain(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    int fd = net_connect(s.port);
    struct front_call *call;

    net_write(fd, GET "\r\n");
    call = next_call(&s);
    front_drain(s.front);
    int late = net_connect(s.port);
    net_write(late, GET "\r\n");
    front_stop_listening(s.front);
    g_assert_cmpint(net_connect(s.port), ==, -1);
    g_assert_cmpuint(front_active(s.front), >=, 1);
    respond(call, 200, "first");
    expect(fd, "200", "Connection: close");
    respond(next_call(&s), 200, "second");
    expect(late, "200", "Connection: close");
    g_assert_true(net_closed(fd, 1000) && net_closed(late, 1000));
    close(fd);
    close(late);
    stop(&s);
}

/* Guards against a crash when the server stops while calls are out. */
static void
test_destroy_with_calls(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    int fds[8];
    struct front_call *calls[4];

    for (int i = 0; i < 8; i++) {
        fds[i] = net_connect(s.port);
        net_write(fds[i], GET "\r\n");
    }
    for (int i = 0; i < 4; i++) {
        calls[i] = next_call(&s);
    }
    front_destroy(s.front);
    for (int i = 0; i < 4; i++) {
        respond(calls[i], 200, "too late");
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
        g_assert_true(net_closed(fds[i], 1000));
        close(fds[i]);
    }
    ring_destroy(s.ring);
}

static void
test_head_and_abort(void)
{
    struct front_config config = test_config();
    struct server s = start(&config, 64);
    struct front_response response = {.status = 200, .head_length = 1234};
    int fd = net_connect(s.port);
    GString *text;

    net_write(fd, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    front_respond(next_call(&s), &response);
    text = net_read_response(fd, TRUE);
    g_assert_nonnull(strstr(text->str, "Content-Length: 1234\r\n"));
    g_string_free(text, TRUE);
    net_write(fd, GET "\r\n");
    respond(next_call(&s), 204, "");
    expect(fd, "204", "");
    net_write(fd, GET "\r\n");
    front_abort(next_call(&s));
    g_assert_true(net_closed(fd, 1000));
    close(fd);
    stop(&s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/front/fields", test_fields);
    g_test_add_func("/front/malformed", test_malformed);
    g_test_add_func("/front/sizes", test_sizes);
    g_test_add_func("/front/buffered", test_buffered);
    g_test_add_func("/front/connection_limit", test_connection_limit);
    g_test_add_func("/front/slow_sender", test_slow_sender);
    g_test_add_func("/front/truncated", test_truncated);
    g_test_add_func("/front/pipelined", test_pipelined);
    g_test_add_func("/front/concurrent", test_concurrent);
    g_test_add_func("/front/disconnect", test_disconnect);
    g_test_add_func("/front/storm", test_storm);
    g_test_add_func("/front/ring_full", test_ring_full);
    g_test_add_func("/front/drain", test_drain);
    g_test_add_func("/front/destroy_with_calls", test_destroy_with_calls);
    g_test_add_func("/front/head_and_abort", test_head_and_abort);
    return g_test_run();
}
