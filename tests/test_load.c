#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include <curl/curl.h>

#include "await.h"
#include "load.h"
#include "stub.h"

enum {
    THREADS = 2,
    ROUNDS = 20,
};

static const struct cluster_key first = {"k1", "first-key"};
static const struct cluster_key second = {"k2", "second-key"};

/* Guards against load that changes to a key which a case uses for a while: a
 * request was recorded with the one and sent with the other. */
static void
test_key_kept(void)
{
    struct stub *s = stub_start();
    struct cluster c = {.count = 1, .team = first};
    char url[48];
    const struct load_options options = {.url = url, .threads = THREADS};
    struct load *load;
    char *path;
    char *text;
    char *last;
    int sent;
    int fd = g_file_open_tmp("load-XXXXXX", &path, NULL);

    g_assert_cmpint(fd, >=, 0);
    g_close(fd, NULL);
    c.history = history_open(path);
    g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/ok?", stub_port(s));
    load = load_start(&c, &options);
    load_await_more(load, ROUNDS);
    c.team = second;
    sent = stub_requests(s);
    AWAIT(stub_requests(s) >= sent + ROUNDS);
    load_stop(load);
    last = stub_last(s);
    g_assert_nonnull(strstr(last, first.key));
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_assert_nonnull(strstr(text, "\"key\":\"k1\""));
    g_assert_null(strstr(text, "\"key\":\"k2\""));
    history_close(c.history);
    g_unlink(path);
    g_free(path);
    g_free(text);
    g_free(last);
    stub_stop(s);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/load/key-kept", test_key_kept);
    return g_test_run();
}
