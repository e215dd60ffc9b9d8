#include "stub.h"

#include <linux/sockios.h>
#include <pthread.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

enum {
    CONNECTIONS_MAX = 512,
    SLOW_STEP_US = 40000,
    DELIVERY_TIMEOUT_MS = 5000,
};

struct stub {
    int listen_fd;
    uint16_t port;
    pthread_t acceptor;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    int fds[CONNECTIONS_MAX]; /* -1: closed */
    int accepted;
    int most_open;
    int running_threads;
    int requests;
    int served;
    gboolean held; /* answers to /held are withheld */
    gboolean stopping;
    char *last;
};

struct connection {
    struct stub *stub;
    int fd;
    int slot;
};

#define OK "HTTP/1.1 200 OK\r\n"

/* The answers by path; the connection then stays open. */
static const char *const answers[][2] = {
    {"/ok", OK "Content-Length: 2\r\nX-End: 1\r\nConnection: X-Hop\r\n"
               "X-Hop: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"},
    {"/chunked", OK "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                    "0\r\nX-Trailer: 1\r\n\r\n"},
    {"/continue", "HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n" OK
                  "Content-Length: 2\r\n\r\nok"},
    {"/excess",
     OK "Content-Length: 2\r\n\r\nok" OK "Content-Length: 4\r\n\r\nevil"},
    {"/empty", "HTTP/1.1 204 No Content\r\n\r\n"},
    {"/head", OK "Content-Length: 77\r\n\r\n"},
    {"/redirect", "HTTP/1.1 302 Found\r\nLocation: /ok\r\n"
                  "Content-Length: 0\r\n\r\n"},
    {"/garbage", "these are no headers\r\n\r\n"},
    {"/two-lengths", OK "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"},
    {"/large", OK "Content-Length: 70000\r\n\r\n"},
    {"/large-chunk", OK "Transfer-Encoding: chunked\r\n\r\n20000\r\n"},
};

/* The same, but the connection is closed after the answer. */
static const char *const closing_answers[][2] = {
    {"/before", ""},
    {"/drop-upload", ""}, /* without reading the body */
    {"/header", OK "Content-"},
    {"/during", OK "Content-Length: 10\r\n\r\nabc"},
    {"/chunk-cut", OK "Transfer-Encoding: chunked\r\n\r\n5\r\nab"},
    {"/delimited", OK "\r\nabc"},
    {"/after", OK "Content-Length: 2\r\n\r\nok"},
};

/* The length of the whole request in bytes; 0 while its header is incomplete.
 * The body for /drop-upload is not counted, so that it isn't read. */
static gsize
request_length(const GString *text)
{
    const char *end = strstr(text->str, "\r\n\r\n");
    const char *length = strcasestr(text->str, "\r\nContent-Length:");
    gsize header;

    if (end == NULL) {
        return 0;
    }
    header = (gsize)(end + 4 - text->str);
    if (length == NULL ||
        g_strstr_len(text->str, end - text->str, " /drop-upload ") != NULL) {
        return header;
    }
    return header + strtoul(length + 17, NULL, 10);
}

static GString *
read_request(int fd)
{
    GString *text = g_string_new(NULL);
    char chunk[4096];
    gsize whole = 0;

    while (whole == 0 || text->len < whole) {
        ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

        if (n <= 0) {
            g_string_free(text, TRUE);
            return NULL;
        }
        g_string_append_len(text, chunk, n);
        /* Not repeated once the header is complete: under a sanitizer each
         * search scans the whole text, which took seconds for a long body. */
        if (whole == 0) {
            whole = request_length(text);
        }
    }
    return text;
}

static gboolean
request_has_path(const GString *request, const char *path)
{
    const char *given = strchr(request->str, ' ') + 1;

    return g_str_has_prefix(given, path) &&
           strchr(" ?", given[strlen(path)]) != NULL;
}

static void
write_repeated(int fd, char c, int count)
{
    g_autofree char *text = g_strnfill((gsize)count, c);

    net_write(fd, text);
}

static void
write_echo(int fd, const GString *request)
{
    const char *body = strstr(request->str, "\r\n\r\n") + 4;
    g_autofree char *text = g_strdup_printf(OK "Content-Length: %zu\r\n\r\n%s",
                                            strlen(body), body);

    net_write(fd, text);
}

static void
write_slowly(int fd, const char *text)
{
    for (; *text != '\0'; text++) {
        char one[2] = {*text, '\0'};

        net_write(fd, one);
        g_usleep(SLOW_STEP_US);
    }
}

static void
wait_released(struct stub *s)
{
    pthread_mutex_lock(&s->lock);
    while (s->held && !s->stopping) {
        pthread_cond_wait(&s->changed, &s->lock);
    }
    pthread_mutex_unlock(&s->lock);
}

/* Returns FALSE when the connection is to be closed. */
static gboolean
serve_request(struct connection *c, const GString *request)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        if (request_has_path(request, answers[i][0])) {
            net_write(c->fd, answers[i][1]);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(closing_answers); i++) {
        if (request_has_path(request, closing_answers[i][0])) {
            net_write(c->fd, closing_answers[i][1]);
            return FALSE;
        }
    }
    if (request_has_path(request, "/echo")) {
        write_echo(c->fd, request);
    }
    if (request_has_path(request, "/excess-later")) {
        net_write(c->fd, OK "Content-Length: 2\r\n\r\nok");
        g_usleep(SLOW_STEP_US);
        net_write(c->fd, OK "Content-Length: 4\r\n\r\nevil");
    }
    if (request_has_path(request, "/slow")) {
        net_write(c->fd, OK "Content-Length: 5\r\n\r\n");
        write_slowly(c->fd, "slow.");
    }
    if (request_has_path(request, "/large-header")) {
        net_write(c->fd, OK "X: ");
        write_repeated(c->fd, 'x', 20000);
        net_write(c->fd, "\r\nContent-Length: 0\r\n\r\n");
    }
    if (request_has_path(request, "/large-chunk")) {
        write_repeated(c->fd, 'x', 0x20000);
    }
    if (request_has_path(request, "/held")) {
        wait_released(c->stub);
        net_write(c->fd, OK "Content-Length: 0\r\n\r\n");
    }
    /* Any other path, such as /frozen: no answer. */
    return TRUE;
}

static gboolean
record_request(struct stub *s, const GString *request)
{
    gboolean keep_open;

    pthread_mutex_lock(&s->lock);
    s->requests++;
    g_free(s->last);
    s->last = g_strdup(request->str);
    keep_open = !s->stopping;
    pthread_mutex_unlock(&s->lock);
    return keep_open;
}

/* Waits until the peer's kernel has acknowledged all that was written; on a
 * busy machine, that is some time after the write. */
static void
wait_delivered(int fd)
{
    int left = 0;

    for (int i = 0; i < DELIVERY_TIMEOUT_MS; i++) {
        if (ioctl(fd, SIOCOUTQ, &left) != 0 || left == 0) {
            return;
        }
        g_usleep(1000);
    }
}

static void *
connection_run(void *arg)
{
    struct connection *c = arg;
    gboolean open = TRUE;
    GString *request;

    while (open && (request = read_request(c->fd)) != NULL) {
        open = record_request(c->stub, request) && serve_request(c, request);
        if (request_has_path(request, "/excess") ||
            request_has_path(request, "/excess-later")) {
            wait_delivered(c->fd);
        }
        g_string_free(request, TRUE);
        pthread_mutex_lock(&c->stub->lock);
        c->stub->served++;
        pthread_mutex_unlock(&c->stub->lock);
    }
    pthread_mutex_lock(&c->stub->lock);
    c->stub->fds[c->slot] = -1;
    close(c->fd);
    c->stub->running_threads--;
    pthread_cond_broadcast(&c->stub->changed);
    pthread_mutex_unlock(&c->stub->lock);
    g_free(c);
    return NULL;
}

/* Doesn't count a connection that the peer has closed, even if its thread has
 * not read the end of stream yet. */
static int
count_open(struct stub *s)
{
    int count = 0;
    char c;

    for (int i = 0; i < s->accepted; i++) {
        count += s->fds[i] >= 0 &&
                 recv(s->fds[i], &c, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    }
    return count;
}

static void *
accept_run(void *arg)
{
    struct stub *s = arg;
    int fd;

    while ((fd = accept4(s->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        struct connection *c = g_new0(struct connection, 1);
        pthread_t thread;

        pthread_mutex_lock(&s->lock);
        g_assert_cmpint(s->accepted, <, CONNECTIONS_MAX);
        c->stub = s;
        c->fd = fd;
        c->slot = s->accepted++;
        s->fds[c->slot] = fd;
        s->running_threads++;
        s->most_open = MAX(s->most_open, count_open(s));
        pthread_mutex_unlock(&s->lock);
        pthread_create(&thread, NULL, connection_run, c);
        pthread_detach(thread);
    }
    return NULL;
}

struct stub *
stub_start(void)
{
    struct stub *s = g_new0(struct stub, 1);

    pthread_mutex_init(&s->lock, NULL);
    pthread_cond_init(&s->changed, NULL);
    s->held = TRUE;
    s->listen_fd = net_listen(&s->port);
    pthread_create(&s->acceptor, NULL, accept_run, s);
    return s;
}

uint16_t
stub_port(const struct stub *s)
{
    return s->port;
}

static int
read_locked(struct stub *s, int *value)
{
    int copy;

    pthread_mutex_lock(&s->lock);
    copy = value == NULL ? count_open(s) : *value;
    pthread_mutex_unlock(&s->lock);
    return copy;
}

int
stub_requests(struct stub *s)
{
    return read_locked(s, &s->requests);
}

int
stub_served(struct stub *s)
{
    return read_locked(s, &s->served);
}

void
stub_release(struct stub *s)
{
    pthread_mutex_lock(&s->lock);
    s->held = FALSE;
    pthread_cond_broadcast(&s->changed);
    pthread_mutex_unlock(&s->lock);
}

int
stub_open(struct stub *s)
{
    return read_locked(s, NULL);
}

int
stub_most_open(struct stub *s)
{
    return read_locked(s, &s->most_open);
}

char *
stub_last(struct stub *s)
{
    char *copy;

    pthread_mutex_lock(&s->lock);
    copy = g_strdup(s->last);
    pthread_mutex_unlock(&s->lock);
    return copy;
}

void
stub_stop(struct stub *s)
{
    shutdown(s->listen_fd, SHUT_RDWR);
    pthread_join(s->acceptor, NULL);
    close(s->listen_fd);
    pthread_mutex_lock(&s->lock);
    s->stopping = TRUE;
    for (int i = 0; i < s->accepted; i++) {
        if (s->fds[i] >= 0) {
            shutdown(s->fds[i], SHUT_RDWR);
        }
    }
    pthread_cond_broadcast(&s->changed);
    while (s->running_threads != 0) {
        pthread_cond_wait(&s->changed, &s->lock);
    }
    pthread_mutex_unlock(&s->lock);
    pthread_mutex_destroy(&s->lock);
    pthread_cond_destroy(&s->changed);
    g_free(s->last);
    g_free(s);
}
