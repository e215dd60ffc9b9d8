#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>

#include "http_client.h"
#include "net.h"

static int requests;

static void
read_request(int fd)
{
    char text[4096];

    if (recv(fd, text, sizeof(text), 0) > 0) {
        g_atomic_int_inc(&requests);
    }
}

/* Answers the first request and closes the connection at the second, as an
 * entry that is killed does; then takes whatever else comes. */
static void *
serve(void *arg)
{
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    int listener = GPOINTER_TO_INT(arg);
    int fd = accept(listener, NULL, NULL);

    read_request(fd);
    g_assert_cmpint(send(fd, ok, sizeof(ok) - 1, 0), ==, sizeof(ok) - 1);
    read_request(fd);
    close(fd);
    fd = accept(listener, NULL, NULL);
    if (fd >= 0) {
        read_request(fd);
        send(fd, ok, sizeof(ok) - 1, MSG_NOSIGNAL);
        close(fd);
    }
    return NULL;
}

/* Guards against a request that libcurl sends twice while the history holds
 * one: a true not-run of the second looked like a false one of the first. */
static void
test_sent_once(void)
{
    uint16_t port;
    int listener = net_listen(&port);
    struct http_client *client = http_client_create();
    struct http_answer answer;
    pthread_t thread;
    char url[64];
    struct http_call call = {
        .method = "POST", .url = url, .body = STR("body"), .timeout_ms = 5000};

    g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
    pthread_create(&thread, NULL, serve, GINT_TO_POINTER(listener));
    http_client_call(client, &call, &answer);
    g_assert_true(answer.complete);
    http_answer_free(&answer);
    http_client_call(client, &call, &answer);
    g_assert_false(answer.complete);
    http_answer_free(&answer);
    shutdown(listener, SHUT_RDWR);
    pthread_join(thread, NULL);
    close(listener);
    g_assert_cmpint(g_atomic_int_get(&requests), ==, 2);
    http_client_destroy(client);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/http-client/sent-once", test_sent_once);
    return g_test_run();
}
