#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "net.h"
#include "rng.h"
#include "stub.h"
#include "upstream.h"

enum {
    WAIT_MS = 10000, /* enough for a stalled machine */
    DEADLINE_TRIES = 20,
};

struct fixture {
    struct stub *stub;
    struct ring *ring;
    struct upstream *upstream;
    char address[32];
    uint64_t next_id;
};

static struct fixture
start_fixture(unsigned slots)
{
    struct upstream_config config;
    struct fixture fixture = {.next_id = 1};

    upstream_config_default(&config);
    config.max_response = 64 * 1024;
    fixture.stub = stub_start();
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               stub_port(fixture.stub));
    fixture.ring = ring_create(64);
    fixture.upstream = upstream_create(&config, fixture.ring);
    g_assert_nonnull(fixture.upstream);
    g_assert_true(
        upstream_set_slots(fixture.upstream, str_of(fixture.address), slots));
    return fixture;
}

static void
stop_fixture(struct fixture *fixture)
{
    upstream_destroy(fixture->upstream);
    g_assert_null(ring_pop(fixture->ring));
    ring_destroy(fixture->ring);
    stub_stop(fixture->stub);
}

static struct upstream_call
make_call(struct fixture *fixture, enum http_method method, const char *target)
{
    return (struct upstream_call){.id = fixture->next_id++,
                                  .address = str_of(fixture->address),
                                  .method = method,
                                  .target = str_of(target),
                                  .idempotent = http_method_idempotent(method),
                                  .deadline = clock_now() + 5 * NS_PER_S};
}

static struct upstream_result *
next_result(struct fixture *fixture, int timeout_ms)
{
    int64_t deadline = clock_now() + timeout_ms * NS_PER_MS;

    for (;;) {
        struct pollfd p = {.fd = ring_fd(fixture->ring), .events = POLLIN};
        struct upstream_result *result = ring_pop(fixture->ring);
        int wait = clock_wait_ms(clock_now(), deadline, timeout_ms);

        if (result != NULL || wait == 0) {
            return result;
        }
        poll(&p, 1, wait);
        ring_clear(fixture->ring);
    }
}

static struct upstream_result *
perform(struct fixture *fixture, const struct upstream_call *call)
{
    struct upstream_result *result;

    g_assert_true(upstream_send(fixture->upstream, call));
    result = next_result(fixture, WAIT_MS);
    g_assert_nonnull(result);
    g_assert_cmpuint(result->id, ==, call->id);
    g_test_message("%s: %s sent %d status %d", call->target.ptr,
                   upstream_failure_name(result->failure), result->sent,
                   result->status);
    return result;
}

static void
expect_outcome(struct fixture *fixture, const struct upstream_call *call,
               enum upstream_failure failure, gboolean sent)
{
    struct upstream_result *result = perform(fixture, call);

    g_assert_cmpint(result->failure, ==, failure);
    g_assert_cmpint(result->sent, ==, sent);
    g_assert_cmpint(result->status != 0, ==, failure == UPSTREAM_OK);
    upstream_result_free(result);
}

static void
wait_open(struct fixture *fixture, int open)
{
    for (int i = 0; i < WAIT_MS / 10 && stub_open(fixture->stub) != open;
         i++) {
        g_usleep(10000);
    }
    g_assert_cmpint(stub_open(fixture->stub), ==, open);
}

/* Waits until a counter of the stub reaches expected. */
static void
wait_count(struct fixture *fixture, int (*count)(struct stub *), int expected)
{
    for (int i = 0; i < WAIT_MS / 10 && count(fixture->stub) < expected; i++) {
        g_usleep(10000);
    }
    g_assert_cmpint(count(fixture->stub), ==, expected);
}

static void
test_forwarding(void)
{
    struct fixture fixture = start_fixture(2);
    struct upstream_call call =
        make_call(&fixture, HTTP_PUT, "/echo?a=%2F../b");
    struct http_headers headers = {0};
    struct upstream_result *result;

    http_headers_add(&headers, STR("Authorization"), STR("Bearer secret"));
    http_headers_add(&headers, STR("Host"), STR("outside"));
    http_headers_add(&headers, STR("X-Keep"), STR("kept"));
    http_headers_add(&headers, STR("X-Empty"), STR(""));
    http_headers_add(&headers, STR("Connection"), STR("X-Drop"));
    http_headers_add(&headers, STR("X-Drop"), STR("dropped"));
    http_headers_add(&headers, STR("Guavarock-Outcome"), STR("dropped"));
    call.headers = &headers;
    call.body = STR("the body");
    call.idempotency_key = STR("key-1");
    call.user = &fixture;
    result = perform(&fixture, &call);
    g_assert_cmpint(result->status, ==, 200);
    g_assert_true(result->sent && result->user == &fixture);
    g_assert_true(str_eq(buf_str(&result->body), STR("the body")));
    upstream_result_free(result);
    g_autofree char *seen = stub_last(fixture.stub);
    g_test_message("%s", seen);
    g_assert_true(g_str_has_prefix(seen, "PUT /echo?a=%2F../b HTTP/1.1\r\n"));
    g_assert_nonnull(strstr(seen, "\r\nX-Keep: kept\r\n"));
    g_assert_nonnull(strstr(seen, "\r\nX-Empty:"));
    g_assert_nonnull(strstr(seen, "\r\nIdempotency-Key: key-1\r\n"));
    const char *timeout = strstr(seen, "\r\nGuavarock-Timeout-Ms: ");
    g_assert_nonnull(timeout);
    g_assert_cmpint(atoi(timeout + strlen("\r\nGuavarock-Timeout-Ms: ")), >,
                    0);
    g_assert_cmpint(atoi(timeout + strlen("\r\nGuavarock-Timeout-Ms: ")), <=,
                    5000);
    g_assert_nonnull(strstr(seen, "\r\nVia: 1.1 guavarock\r\n"));
    g_assert_nonnull(strstr(seen, fixture.address));
    g_assert_null(strstr(seen, "secret"));
    g_assert_null(strstr(seen, "outside"));
    g_assert_null(strstr(seen, "dropped"));
    g_assert_null(strcasestr(seen, "\r\nExpect"));
    g_assert_null(strcasestr(seen, "\r\nAccept"));
    http_headers_free(&headers);
    stop_fixture(&fixture);
}

static void
test_responses(void)
{
    static const struct {
        const char *path;
        const char *body;
        int status;
    } cases[] = {
        {"/ok", "ok", 200},       {"/chunked", "abcde", 200},
        {"/continue", "ok", 200}, {"/empty", "", 204},
        {"/redirect", "", 302},   {"/slow", "slow.", 200},
    };
    struct fixture fixture = start_fixture(2);
    struct upstream_result *result;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct upstream_call call =
            make_call(&fixture, HTTP_GET, cases[i].path);

        result = perform(&fixture, &call);
        g_assert_cmpint(result->failure, ==, UPSTREAM_OK);
        g_assert_cmpint(result->status, ==, cases[i].status);
        g_assert_true(str_eq(buf_str(&result->body), str_of(cases[i].body)));
        g_assert_null(http_headers_get(&result->headers, "X-Hop").ptr);
        g_assert_null(http_headers_get(&result->headers, "Keep-Alive").ptr);
        g_assert_null(http_headers_get(&result->headers, "X-Early").ptr);
        if (i == 0) {
            g_assert_cmpuint(result->headers.count, ==, 1);
        }
        upstream_result_free(result);
    }
    struct upstream_call head = make_call(&fixture, HTTP_HEAD, "/head");
    result = perform(&fixture, &head);
    g_assert_cmpuint(result->head_length, ==, 77);
    upstream_result_free(result);
    g_assert_cmpint(stub_requests(fixture.stub), ==, G_N_ELEMENTS(cases) + 1);
    stop_fixture(&fixture);
}

/* Guards against a response that reaches the wrong caller: an endpoint that
 * sends a second, unsolicited response on a connection that is reused. */
static void
test_excess(void)
{
    static const char *const paths[] = {"/excess", "/excess-later"};
    struct fixture fixture = start_fixture(1);

    for (int i = 0; i < 2 * (int)G_N_ELEMENTS(paths); i++) {
        struct upstream_call call =
            make_call(&fixture, HTTP_GET, i % 2 == 0 ? paths[i / 2] : "/ok");
        struct upstream_result *result = perform(&fixture, &call);

        g_assert_cmpint(result->failure, ==, UPSTREAM_OK);
        g_assert_true(str_eq(buf_str(&result->body), STR("ok")));
        upstream_result_free(result);
        /* The unsolicited response arrives before the next request. */
        wait_count(&fixture, stub_served, i + 1);
    }
    stop_fixture(&fixture);
}

/* Guards against an incomplete or malformed response that counts as complete,
 * and against a request that may have run but is reported as not sent. */
static void
test_failures(void)
{
    static const struct {
        const char *path;
        enum upstream_failure failure;
    } cases[] = {
        {"/before", UPSTREAM_RESET},
        {"/header", UPSTREAM_MALFORMED},
        {"/during", UPSTREAM_RESET},
        {"/chunk-cut", UPSTREAM_RESET},
        {"/delimited", UPSTREAM_MALFORMED},
        {"/garbage", UPSTREAM_MALFORMED},
        {"/two-lengths", UPSTREAM_MALFORMED},
        {"/large", UPSTREAM_TOO_LARGE},
        {"/large-chunk", UPSTREAM_TOO_LARGE},
        {"/large-header", UPSTREAM_TOO_LARGE},
    };
    struct fixture fixture = start_fixture(2);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct upstream_call get =
            make_call(&fixture, HTTP_GET, cases[i].path);
        struct upstream_call post =
            make_call(&fixture, HTTP_POST, cases[i].path);

        expect_outcome(&fixture, &get, cases[i].failure, TRUE);
        expect_outcome(&fixture, &post, cases[i].failure, TRUE);
    }
    /* None was sent twice. */
    g_assert_cmpint(stub_requests(fixture.stub), ==, 2 * G_N_ELEMENTS(cases));
    stop_fixture(&fixture);
}

static void
test_uploads(void)
{
    struct fixture fixture = start_fixture(1);
    g_autofree char *body = g_strnfill(4 << 20, 'u');
    struct upstream_call whole = make_call(&fixture, HTTP_POST, "/ok");
    struct upstream_call dropped =
        make_call(&fixture, HTTP_POST, "/drop-upload");

    whole.body = str_of(body);
    dropped.body = str_of(body);
    expect_outcome(&fixture, &whole, UPSTREAM_OK, TRUE);
    expect_outcome(&fixture, &dropped, UPSTREAM_RESET, TRUE);
    g_assert_cmpint(stub_requests(fixture.stub), ==, 2);
    stop_fixture(&fixture);
}

static void
test_not_sent(void)
{
    struct fixture fixture = start_fixture(1);
    struct upstream_call call = make_call(&fixture, HTTP_POST, "/ok");
    char address[32];
    uint16_t port;

    close(net_listen(&port)); /* a port where nobody listens */
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    call.address = str_of(address);
    expect_outcome(&fixture, &call, UPSTREAM_NO_SLOT, FALSE);
    upstream_set_slots(fixture.upstream, call.address, 1);
    expect_outcome(&fixture, &call, UPSTREAM_REFUSED, FALSE);
    upstream_set_slots(fixture.upstream, call.address, 0);
    call.address = STR("endpoint.example:80");
    expect_outcome(&fixture, &call, UPSTREAM_REFUSED, FALSE);
    call.address = str_of(fixture.address);
    call.deadline = clock_now() - 1;
    expect_outcome(&fixture, &call, UPSTREAM_TIMED_OUT, FALSE);
    /* A lease that expired after the decision and before the sending. */
    call.deadline = clock_now() + 5 * NS_PER_S;
    call.start_by = clock_now() - 1;
    expect_outcome(&fixture, &call, UPSTREAM_CANCELLED, FALSE);
    g_assert_cmpint(stub_requests(fixture.stub), ==, 0);
    call.start_by = clock_now() + 5 * NS_PER_S;
    expect_outcome(&fixture, &call, UPSTREAM_OK, TRUE);
    stop_fixture(&fixture);
}

/* Guards against an attempt that waits for a connection beyond its deadline,
 * or whose slot stays occupied afterwards. The listener's backlog is full, so
 * that connecting neither succeeds nor fails. */
static void
test_connect_timeout(void)
{
    struct fixture fixture = start_fixture(1);
    struct upstream_call call = make_call(&fixture, HTTP_POST, "/ok");
    char address[32];
    int fds[8];
    uint16_t port;
    int listener = net_listen(&port);

    g_assert_cmpint(listen(listener, 0), ==, 0);
    for (int i = 0; i < 8; i++) {
        struct sockaddr_storage name;
        socklen_t len = sizeof(name);

        fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        getsockname(listener, (struct sockaddr *)&name, &len);
        (void)!connect(fds[i], (struct sockaddr *)&name, len);
    }
    g_usleep(50000);
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    upstream_set_slots(fixture.upstream, str_of(address), 1);
    call.address = str_of(address);
    /* The second attempt needs the slot of the first. */
    for (int i = 0; i < 2; i++) {
        call.id = fixture.next_id++;
        call.deadline = clock_now() + 200 * NS_PER_MS;
        expect_outcome(&fixture, &call, UPSTREAM_TIMED_OUT, FALSE);
    }
    for (int i = 0; i < 8; i++) {
        close(fds[i]);
    }
    close(listener);
    stop_fixture(&fixture);
}

/* Makes one attempt, which its deadline must end. Returns FALSE when the
 * request was not sent before the deadline, or the result came late, as
 * happens on a stalled machine. */
static gboolean
run_into_deadline(struct fixture *fixture, const char *path, int timeout_ms)
{
    struct upstream_call call = make_call(fixture, HTTP_GET, path);
    int before = stub_requests(fixture->stub);
    int64_t start_ns = clock_now();
    struct upstream_result *result;
    gboolean in_time;

    call.deadline = start_ns + timeout_ms * NS_PER_MS;
    result = perform(fixture, &call);
    in_time = result->sent && clock_now() - start_ns < 1 * NS_PER_S;
    g_assert_cmpint(result->failure, ==, UPSTREAM_TIMED_OUT);
    g_assert_cmpint(result->status, ==, 0);
    g_assert_true(result->sent || stub_requests(fixture->stub) == before);
    upstream_result_free(result);
    return in_time;
}

static void
expect_timeout(struct fixture *fixture, const char *path, int timeout_ms)
{
    gboolean in_time = FALSE;

    for (int i = 0; i < DEADLINE_TRIES && !in_time; i++) {
        in_time = run_into_deadline(fixture, path, timeout_ms);
    }
    g_assert_true(in_time);
}

static void
test_deadline_and_cancel(void)
{
    struct fixture fixture = start_fixture(1);
    struct upstream_call frozen = make_call(&fixture, HTTP_GET, "/frozen");
    struct upstream_call ok = make_call(&fixture, HTTP_GET, "/ok");
    struct upstream_result *result;
    int before;

    expect_timeout(&fixture, "/frozen", 150);
    /* The response would be complete only after the deadline. */
    expect_timeout(&fixture, "/slow", 100);
    before = stub_requests(fixture.stub);
    frozen.deadline = clock_now() + 60 * NS_PER_S;
    frozen.id = fixture.next_id++;
    g_assert_true(upstream_send(fixture.upstream, &frozen));
    wait_count(&fixture, stub_requests, before + 1);
    g_assert_null(next_result(&fixture, 100));
    g_assert_true(
        upstream_cancel(fixture.upstream, frozen.address, frozen.id));
    g_assert_true(upstream_cancel(fixture.upstream, frozen.address, 999));
    result = next_result(&fixture, WAIT_MS);
    g_assert_nonnull(result);
    g_assert_cmpint(result->failure, ==, UPSTREAM_CANCELLED);
    g_assert_true(result->sent);
    upstream_result_free(result);
    /* The slot is free again. */
    expect_outcome(&fixture, &ok, UPSTREAM_OK, TRUE);
    wait_open(&fixture, 1);
    stop_fixture(&fixture);
}

/*
 * Guards against a non-idempotent request that libcurl repeats by itself,
 * because the endpoint has closed a reused connection: while it was idle, or
 * when it receives the request.
 */
static void
test_sent_once(void)
{
    struct fixture fixture = start_fixture(2);
    struct upstream_call after = make_call(&fixture, HTTP_GET, "/after");
    struct upstream_call ok = make_call(&fixture, HTTP_GET, "/ok");
    struct upstream_call post = make_call(&fixture, HTTP_POST, "/before");

    expect_outcome(&fixture, &after, UPSTREAM_OK, TRUE);
    wait_open(&fixture, 0);
    expect_outcome(&fixture, &post, UPSTREAM_RESET, TRUE);
    g_assert_cmpint(stub_requests(fixture.stub), ==, 2);
    expect_outcome(&fixture, &ok, UPSTREAM_OK, TRUE);
    wait_open(&fixture, 1);
    post.id = fixture.next_id++;
    expect_outcome(&fixture, &post, UPSTREAM_RESET, TRUE);
    g_assert_cmpint(stub_requests(fixture.stub), ==, 4);
    /* An idempotent request may be sent twice: libcurl reuses the open
     * connection, which the endpoint closes, and opens another. */
    post.id = fixture.next_id++;
    post.method = HTTP_GET;
    post.idempotent = TRUE;
    expect_outcome(&fixture, &post, UPSTREAM_RESET, TRUE);
    g_assert_cmpint(stub_requests(fixture.stub), ==, 6);
    stop_fixture(&fixture);
}

/* Guards against a second copy of a call whose kept connection broke. */
static void
test_no_copy_after_break(void)
{
    struct fixture fixture = start_fixture(2);
    struct upstream_call ok = make_call(&fixture, HTTP_GET, "/ok");
    struct upstream_call post = make_call(&fixture, HTTP_POST, "/before");

    expect_outcome(&fixture, &ok, UPSTREAM_OK, TRUE);
    wait_open(&fixture, 1);
    post.idempotent = TRUE;
    post.send_once = TRUE;
    expect_outcome(&fixture, &post, UPSTREAM_RESET, TRUE);
    g_assert_cmpint(stub_requests(fixture.stub), ==, 2);
    stop_fixture(&fixture);
}

static void
test_slots(void)
{
    struct fixture fixture = start_fixture(3);
    struct upstream_call calls[4];
    struct upstream_result *result;

    for (int i = 0; i < 4; i++) {
        calls[i] = make_call(&fixture, HTTP_GET, "/held");
        g_assert_true(upstream_send(fixture.upstream, &calls[i]));
    }
    for (int i = 0; i < 4; i++) {
        result = next_result(&fixture, WAIT_MS);
        g_assert_nonnull(result);
        g_assert_cmpint(result->failure, ==,
                        i == 0 ? UPSTREAM_NO_SLOT : UPSTREAM_OK);
        g_assert_true(i != 0 || result->id == calls[3].id);
        upstream_result_free(result);
        stub_release(fixture.stub);
    }
    wait_open(&fixture, 3);
    upstream_set_slots(fixture.upstream, str_of(fixture.address), 1);
    wait_open(&fixture, 1);
    struct upstream_call ok = make_call(&fixture, HTTP_GET, "/ok");
    expect_outcome(&fixture, &ok, UPSTREAM_OK, TRUE);
    struct upstream_call post = make_call(&fixture, HTTP_POST, "/ok");
    expect_outcome(&fixture, &post, UPSTREAM_OK, TRUE);
    upstream_set_slots(fixture.upstream, str_of(fixture.address), 0);
    wait_open(&fixture, 0);
    expect_outcome(&fixture, &ok, UPSTREAM_NO_SLOT, FALSE);
    g_assert_cmpint(stub_most_open(fixture.stub), ==, 3);
    stop_fixture(&fixture);
}

/* The number of connections to port in TIME-WAIT (RFC 9293). */
static int
count_time_wait(uint16_t port)
{
    g_autofree char *text = NULL;
    g_autofree char *wanted = g_strdup_printf(" 0100007F:%04X 06 ", port);
    int count = 0;

    g_assert_true(
        g_file_get_contents("/proc/self/net/tcp", &text, NULL, NULL));
    for (char *at = text; (at = strstr(at, wanted)) != NULL; at++) {
        count++;
    }
    return count;
}

/* Guards against running out of local ports: connections of non-idempotent
 * attempts must not stay in TIME-WAIT. */
static void
test_time_wait(void)
{
    struct fixture fixture = start_fixture(1);
    /* Another process may have used the same port within the last minute. */
    int before = count_time_wait(stub_port(fixture.stub));

    for (int i = 0; i < 50; i++) {
        struct upstream_call post = make_call(&fixture, HTTP_POST, "/ok");

        expect_outcome(&fixture, &post, UPSTREAM_OK, TRUE);
    }
    g_assert_cmpint(count_time_wait(stub_port(fixture.stub)), <=, before);
    stop_fixture(&fixture);
}

/* Guards against more connections than slots under changing load. */
static void
test_slots_random(void)
{
    static const char *const paths[] = {"/ok", "/after", "/before",
                                        "/chunked"};
    struct fixture fixture = start_fixture(4);
    struct rng rng = {11};
    int active = 0;
    int left = 300;

    while (left != 0 || active != 0) {
        while (active < 4 && left != 0) {
            struct upstream_call call = make_call(
                &fixture, rng_below(&rng, 3) == 0 ? HTTP_POST : HTTP_GET,
                paths[rng_below(&rng, G_N_ELEMENTS(paths))]);

            g_assert_true(upstream_send(fixture.upstream, &call));
            active++;
            left--;
        }
        struct upstream_result *result = next_result(&fixture, WAIT_MS);

        g_assert_nonnull(result);
        g_assert_true(result->failure == UPSTREAM_OK ||
                      result->failure == UPSTREAM_RESET);
        upstream_result_free(result);
        active--;
    }
    g_assert_cmpint(stub_most_open(fixture.stub), <=, 4);
    stop_fixture(&fixture);
}

/* Guards against lost results when the result ring is full, and against a
 * crash when the threads stop while attempts run. */
static void
test_result_ring_full(void)
{
    struct fixture fixture = start_fixture(8);
    struct ring *small = ring_create(4);
    struct upstream_config config;
    struct upstream *other;
    struct upstream_result *result;
    int results = 0;

    upstream_config_default(&config);
    config.threads = 1;
    other = upstream_create(&config, small);
    upstream_set_slots(other, str_of(fixture.address), 8);
    for (int i = 0; i < 8; i++) {
        struct upstream_call call = make_call(&fixture, HTTP_GET, "/ok");

        g_assert_true(upstream_send(other, &call));
    }
    g_usleep(100000);
    for (int i = 0; i < WAIT_MS / 5 && results < 8; i++) {
        while ((result = ring_pop(small)) != NULL) {
            g_assert_cmpint(result->failure, ==, UPSTREAM_OK);
            upstream_result_free(result);
            results++;
        }
        g_usleep(5000);
    }
    g_assert_cmpint(results, ==, 8);
    for (int i = 0; i < 8; i++) {
        struct upstream_call call = make_call(&fixture, HTTP_GET, "/frozen");

        g_assert_true(upstream_send(other, &call));
    }
    g_usleep(50000);
    upstream_destroy(other);
    while ((result = ring_pop(small)) != NULL) {
        g_assert_cmpint(result->failure, ==, UPSTREAM_CANCELLED);
        upstream_result_free(result);
    }
    ring_destroy(small);
    stop_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    /* Guards against libcurl's use of a proxy from the environment. */
    g_setenv("http_proxy", "http://127.0.0.1:1", TRUE);
    g_test_add_func("/upstream/forwarding", test_forwarding);
    g_test_add_func("/upstream/responses", test_responses);
    g_test_add_func("/upstream/excess", test_excess);
    g_test_add_func("/upstream/failures", test_failures);
    g_test_add_func("/upstream/uploads", test_uploads);
    g_test_add_func("/upstream/not_sent", test_not_sent);
    g_test_add_func("/upstream/connect_timeout", test_connect_timeout);
    g_test_add_func("/upstream/deadline_and_cancel", test_deadline_and_cancel);
    g_test_add_func("/upstream/sent_once", test_sent_once);
    g_test_add_func("/upstream/no_copy_after_break", test_no_copy_after_break);
    g_test_add_func("/upstream/slots", test_slots);
    g_test_add_func("/upstream/time_wait", test_time_wait);
    g_test_add_func("/upstream/slots_random", test_slots_random);
    g_test_add_func("/upstream/result_ring_full", test_result_ring_full);
    return g_test_run();
}
