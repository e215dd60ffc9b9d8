#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "net.h"
#include "server.h"

static void
test_fields(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
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
    call = server_next_call(&s);
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
    server_respond(call, 201, "made");
    server_expect(fd, "201", "X-Test: a b");
    net_write(fd, GET "\r\n");
    call = server_next_call(&s);
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
    server_stop(&s);
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
 * request smuggling: servers that delimit the same bytes differently. */
static void
test_malformed(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);

    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        int fd = net_connect(s.port);

        g_test_message("%s", malformed[i][1]);
        net_write(fd, malformed[i][1]);
        server_expect(fd, malformed[i][0], "{\"error\":{\"code\":");
        close(fd);
    }
    /* libmicrohttpd answers these itself or closes the connection. */
    for (size_t i = 0; i < G_N_ELEMENTS(refused_by_library); i++) {
        int fd = net_connect(s.port);

        net_write(fd, refused_by_library[i]);
        server_expect(fd, "400", "");
        close(fd);
    }
    int fd = net_connect(s.port);
    net_write(fd, "nonsense\r\n\r\n");
    g_assert_true(net_closed(fd));
    close(fd);
    server_stop(&s);
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
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
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
        server_expect(fd, statuses[i], "");
        close(fd);
        g_free(texts[i]);
    }
    /* At the limit of the body and just below that of the header. */
    g_autofree char *text = repeat(
        "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\nX: ", 'x',
        16000, "\r\n\r\n");
    g_autofree char *whole = repeat(text, 'b', 65536, "");
    int fd = net_connect(s.port);

    net_write(fd, whole);
    struct front_call *call = server_next_call(&s);
    g_assert_cmpuint(call->body.len, ==, 65536);
    server_respond(call, 200, "ok");
    server_expect(fd, "200", "ok");
    struct front_response large = {.status = 200};
    g_autofree char *value = g_strnfill(15000, 'v');
    http_headers_add(&large.headers, STR("X-Large"), str_of(value));
    net_write(fd, GET "\r\n");
    front_respond(server_next_call(&s), &large);
    server_expect(fd, "200", value);
    close(fd);
    server_stop(&s);
}

/* Guards against senders that hold a connection open by sending a byte now
 * and then: the receive timeout must not restart with every byte. */
static void
test_slow_sender(void)
{
    struct front_config config = server_config();
    const char *const starts[] = {
        "GET /a HTTP/1.1\r\nHost: h\r\nX: ",
        "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"};
    int fds[2];

    config.receive_timeout_ns = 300 * NS_PER_MS;
    struct server s = server_start(&config, 64);
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
        server_expect(fds[i], "408", "\"code\":\"timeout\"");
        g_assert_true(net_closed(fds[i]));
        close(fds[i]);
    }
    server_stop(&s);
}

/* Guards against idle connections that are never closed. */
static void
test_idle(void)
{
    struct front_config config = server_config();

    config.idle_timeout_ns = 400 * NS_PER_MS;
    struct server s = server_start(&config, 64);
    int idle = net_connect(s.port);
    g_assert_true(net_closed(idle));
    close(idle);
    server_stop(&s);
}

static void
test_truncated(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
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
        g_assert_null(server_next_item(&s, 50));
        close(fd);
    }
    server_stop(&s);
}

/* Guards against a connection that stays open, and delays a planned stop,
 * until the receive timeout although its caller has closed it in the middle of
 * a request. libmicrohttpd misses the end of stream when it arrives together
 * with the last bytes, here before the connection is accepted. */
static void
test_truncated_at_once(void)
{
    struct front_config config = server_config();

    config.max_connections = 1;
    struct server s = server_start(&config, 64);
    int first = net_connect(s.port);
    net_write(first, GET "\r\n");
    struct front_call *call = server_next_call(&s);
    int fd = net_connect(s.port);
    net_write(fd,
              "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    shutdown(fd, SHUT_WR);
    server_respond(call, 200, "ok");
    server_expect(first, "200", "ok");
    close(first);
    /* No answer is sent when libmicrohttpd itself detects the end. */
    GString *text = net_read_response(fd, FALSE);
    g_assert_true(text->len == 0 ||
                  g_str_has_prefix(text->str, "HTTP/1.1 408"));
    g_string_free(text, TRUE);
    server_wait_closed(&s, false);
    close(fd);
    server_stop(&s);
}

static void
test_pipelined(void)
{
    struct front_config config = server_config();
    struct server s = server_start(&config, 64);
    int fd = net_connect(s.port);

    net_write(fd, "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
                  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                  "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 1; i <= 3; i++) {
        struct front_call *call = server_next_call(&s);
        g_autofree char *path = g_strdup_printf("/%d", i);

        g_assert_true(str_eq(call->path, str_of(path)));
        g_assert_null(server_next_item(&s, 20));
        server_respond(call, 200, path);
        server_expect(fd, "200", path);
    }
    close(fd);
    server_stop(&s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/front/fields", test_fields);
    g_test_add_func("/front/malformed", test_malformed);
    g_test_add_func("/front/sizes", test_sizes);
    g_test_add_func("/front/slow_sender", test_slow_sender);
    g_test_add_func("/front/idle", test_idle);
    g_test_add_func("/front/truncated", test_truncated);
    g_test_add_func("/front/truncated-at-once", test_truncated_at_once);
    g_test_add_func("/front/pipelined", test_pipelined);
    return g_test_run();
}
