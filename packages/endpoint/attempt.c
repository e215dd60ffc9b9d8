#include "internal.h"

#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "clock.h"
#include "endpoint.h"
#include "mem.h"

static struct queued_result *
result_create(const struct upstream_call *call)
{
    struct queued_result *queued = mem_zalloc(1, sizeof(*queued));

    queued->result.id = call->id;
    queued->result.user = call->user;
    return queued;
}

static void
push_failure(struct upstream_thread *t, const struct upstream_call *call,
             enum upstream_failure failure)
{
    struct queued_result *queued = result_create(call);

    queued->result.failure = failure;
    thread_push_result(t, queued);
}

/*
 * libcurl calls this when the connection is established and nothing of the
 * request has been written yet. The deadline may have passed, for example
 * because the process was suspended. A second call for the same attempt means
 * that libcurl is about to send the request again.
 */
static int
before_request(void *arg, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    struct attempt *a = arg;

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    if (clock_now() >= a->call.deadline) {
        a->failure = UPSTREAM_TIMED_OUT;
        return CURL_PREREQFUNC_ABORT;
    }
    if (a->call.start_by != 0 && clock_now() >= a->call.start_by) {
        a->failure = UPSTREAM_CANCELLED;
        return CURL_PREREQFUNC_ABORT;
    }
    if (a->request_started && (!a->call.idempotent || a->call.send_once)) {
        a->failure = UPSTREAM_RESET;
        return CURL_PREREQFUNC_ABORT;
    }
    a->request_started = true;
    return CURL_PREREQFUNC_OK;
}

static void
add_header(struct attempt *a, struct str name, struct str value)
{
    struct buf line = {0};
    struct curl_slist *list;

    /* libcurl sends a field with an empty value only if given as "Name;". */
    buf_append_str(&line, name);
    buf_append_str(&line, value.len == 0 ? STR(";") : STR(": "));
    buf_append_str(&line, value);
    buf_append(&line, "", 1);
    list = curl_slist_append(a->headers, line.ptr);
    if (list != NULL) {
        a->headers = list;
    }
    buf_free(&line);
}

/* Keeps libcurl from adding a field by default; line is "Name:". */
static void
suppress_header(struct attempt *a, const char *line)
{
    struct curl_slist *list = curl_slist_append(a->headers, line);

    if (list != NULL) {
        a->headers = list;
    }
}

static bool
is_not_forwarded(struct str name)
{
    static const char *const names[] = {"Host", "Authorization", "Expect",
                                        "Idempotency-Key"};
    struct str own = STR("Guavarock-");

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (http_name_eq(name, names[i])) {
            return true;
        }
    }
    return name.len >= own.len &&
           http_name_eq(str_from(name.ptr, own.len), own.ptr);
}

static void
add_forwarded_headers(struct attempt *a)
{
    const struct http_headers *headers = a->call.headers;
    struct http_headers kept = {0};

    for (size_t i = 0; headers != NULL && i < headers->count; i++) {
        http_headers_add(&kept, headers->list[i].name, headers->list[i].value);
    }
    http_headers_drop_hop(&kept);
    for (size_t i = 0; i < kept.count; i++) {
        if (!is_not_forwarded(kept.list[i].name)) {
            add_header(a, kept.list[i].name, kept.list[i].value);
        }
    }
    if (http_headers_get(&kept, "Accept").ptr == NULL) {
        suppress_header(a, "Accept:");
    }
    if (http_headers_get(&kept, "Content-Type").ptr == NULL) {
        suppress_header(a, "Content-Type:");
    }
    http_headers_free(&kept);
}

static void
build_headers(struct attempt *a)
{
    char ms[24];
    int64_t left_ns = a->call.deadline - a->started;

    add_forwarded_headers(a);
    suppress_header(a, "Expect:");
    if (!a->call.idempotent) {
        add_header(a, STR("Connection"), STR("close"));
    }
    /* RFC 9110, section 7.6.3. */
    add_header(a, STR("Via"), STR("1.1 guavarock"));
    snprintf(ms, sizeof(ms), "%lld", (long long)(left_ns / NS_PER_MS));
    add_header(a, STR("Guavarock-Timeout-Ms"), str_of(ms));
    if (a->call.idempotency_key.ptr != NULL) {
        add_header(a, STR("Idempotency-Key"), a->call.idempotency_key);
    }
    curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
}

static void
set_method(struct attempt *a)
{
    const struct upstream_call *call = &a->call;
    bool has_body = call->body.len != 0 || call->method == HTTP_POST ||
                    call->method == HTTP_PUT || call->method == HTTP_PATCH;

    if (call->method == HTTP_HEAD) {
        curl_easy_setopt(a->easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (has_body) {
        curl_easy_setopt(a->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)call->body.len);
        curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS,
                         call->body.len == 0 ? "" : call->body.ptr);
    }
    curl_easy_setopt(a->easy, CURLOPT_CUSTOMREQUEST,
                     http_method_name(call->method));
}

static void
set_target(struct attempt *a)
{
    struct str target = str_dup(a->call.target);
    struct buf url = {0};

    buf_printf(&url, "http://%.*s/", STR_ARG(a->call.address));
    curl_easy_setopt(a->easy, CURLOPT_URL, url.ptr);
    curl_easy_setopt(a->easy, CURLOPT_REQUEST_TARGET, target.ptr);
    buf_free(&url);
    str_free(&target);
}

static long
to_timeout_ms(int64_t ns)
{
    int64_t ms = ns / NS_PER_MS;

    /* libcurl takes 0 for no limit. */
    return ms < 1 ? 1 : ms > INT_MAX ? INT_MAX : (long)ms;
}

static void
set_limits(struct attempt *a)
{
    const struct upstream_config *config = &a->host->thread->upstream->config;
    int64_t left_ns = a->call.deadline - a->started;
    int64_t connect_ns = config->connect_timeout_ns;

    curl_easy_setopt(a->easy, CURLOPT_TIMEOUT_MS, to_timeout_ms(left_ns));
    curl_easy_setopt(
        a->easy, CURLOPT_CONNECTTIMEOUT_MS,
        to_timeout_ms(connect_ns < left_ns ? connect_ns : left_ns));
    curl_easy_setopt(a->easy, CURLOPT_MAXAGE_CONN,
                     (long)(config->idle_timeout_ns / NS_PER_S));
    /* libcurl repeats a request when a reused connection turns out to be
     * closed, but not on a new connection. before_request() aborts the
     * repetition of attempts that are to be sent once. */
    curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT,
                     a->call.idempotent ? 0L : 1L);
    curl_easy_setopt(a->easy, CURLOPT_FORBID_REUSE,
                     a->call.idempotent ? 0L : 1L);
}

/*
 * Makes close skip TIME_WAIT: non-idempotent attempts open a connection each
 * and would otherwise use up the local ports at about 470 attempts per second
 * and endpoint (28000 ports, held for 60 s). No data is lost, because the
 * connection is closed only after the whole response or a failure.
 */
static int
on_socket_open(void *arg, curl_socket_t fd, curlsocktype purpose)
{
    struct linger linger = {1, 0};

    (void)arg;
    (void)purpose;
    return setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)) == 0
               ? CURL_SOCKOPT_OK
               : CURL_SOCKOPT_ERROR;
}

static void
set_callbacks(struct attempt *a)
{
    if (!a->call.idempotent) {
        curl_easy_setopt(a->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_open);
    }
    curl_easy_setopt(a->easy, CURLOPT_PRIVATE, a);
    curl_easy_setopt(a->easy, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(a->easy, CURLOPT_PREREQDATA, a);
    curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, a);
    curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, a);
    /* Sockets outlive the attempt, so their callbacks get the host. */
    curl_easy_setopt(a->easy, CURLOPT_OPENSOCKETFUNCTION, host_open_socket);
    curl_easy_setopt(a->easy, CURLOPT_OPENSOCKETDATA, a->host);
    curl_easy_setopt(a->easy, CURLOPT_CLOSESOCKETFUNCTION, host_close_socket);
    curl_easy_setopt(a->easy, CURLOPT_CLOSESOCKETDATA, a->host);
}

static void
set_policy(struct attempt *a)
{
    curl_easy_setopt(a->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(a->easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(a->easy, CURLOPT_HTTP_VERSION,
                     (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(a->easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(a->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(a->easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(a->easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
}

void
attempt_start(struct upstream_thread *t, const struct upstream_call *call)
{
    struct host *h;
    struct attempt *a;
    int64_t now = clock_now();

    if (!endpoint_address_ok(call->address)) {
        push_failure(t, call, UPSTREAM_REFUSED);
        return;
    }
    h = map_get(t->hosts, call->address);
    if (h == NULL || h->active >= h->slots) {
        push_failure(t, call, UPSTREAM_NO_SLOT);
        return;
    }
    if (now >= call->deadline) {
        push_failure(t, call, UPSTREAM_TIMED_OUT);
        return;
    }
    a = mem_zalloc(1, sizeof(*a));
    a->host = h;
    a->call = *call;
    a->started = now;
    a->queued = result_create(call);
    a->easy = thread_take_easy(t);
    set_policy(a);
    set_target(a);
    set_method(a);
    set_limits(a);
    set_callbacks(a);
    build_headers(a);
    host_check_idle(h);
    h->active++;
    map_put_u64(t->attempts, call->id, a);
    curl_multi_add_handle(h->multi, a->easy);
}

static enum upstream_failure
classify_failure(const struct attempt *a, CURLcode code)
{
    if (a->failure != UPSTREAM_OK) {
        return a->failure;
    }
    switch (code) {
    case CURLE_OK:
        return receive_check(a);
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return UPSTREAM_REFUSED;
    case CURLE_OPERATION_TIMEDOUT:
        return UPSTREAM_TIMED_OUT;
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_PARTIAL_FILE:
        return UPSTREAM_RESET;
    default:
        return UPSTREAM_MALFORMED;
    }
}

static void
fill_result(struct attempt *a, enum upstream_failure failure)
{
    struct upstream_result *result = &a->queued->result;
    long status = 0;

    result->failure = failure;
    result->sent = a->request_started;
    result->duration_ns = clock_now() - a->started;
    if (failure != UPSTREAM_OK) {
        http_headers_free(&a->response);
        buf_free(&a->body);
        return;
    }
    curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
    result->status = (int)status;
    result->head_length = a->call.method == HTTP_HEAD ? a->length : 0;
    result->headers = a->response;
    result->body = a->body;
    http_headers_drop_hop(&result->headers);
}

/* Frees the slot before pushing the result, so that the consumer can use it at
 * once. */
static void
finish_attempt(struct attempt *a, enum upstream_failure failure)
{
    struct upstream_thread *t = a->host->thread;

    fill_result(a, failure);
    curl_multi_remove_handle(a->host->multi, a->easy);
    thread_return_easy(t, a->easy);
    curl_slist_free_all(a->headers);
    map_del_u64(t->attempts, a->call.id);
    a->host->active--;
    if (failure != UPSTREAM_OK) {
        host_forget_closed(a->host);
    }
    thread_push_result(t, a->queued);
    mem_free(a);
}

void
attempt_end(struct attempt *a, CURLcode code)
{
    finish_attempt(a, classify_failure(a, code));
}

void
attempt_cancel(struct attempt *a)
{
    struct host *h = a->host;

    finish_attempt(a, UPSTREAM_CANCELLED);
    host_close_excess(h);
}
