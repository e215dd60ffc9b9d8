/* End-to-end tests of refused access: keys and the internal port. */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"
#include "proc.h"
#include "rng.h"

enum {
    FRAMES = 60,
    FRAME_BYTES = 512,
};

static struct cluster *
start(void)
{
    struct cluster *c = cluster_start(3, 0, false);

    cluster_provision(c);
    cluster_endpoint(c, "e1", NULL);
    cluster_await_endpoints(c, 1);
    for (int vm = 0; vm < c->count; vm++) {
        load_await(c, vm);
    }
    return c;
}

static void
finish(struct cluster *c)
{
    cluster_check(c);
    cluster_destroy(c);
}

/* ---- Keys ---- */

static const struct {
    const char *method;
    const char *path;
    const char *kind;
    const char *body;
} routes[] = {
    {"GET", "/v1/services/echo/x", "team", NULL},
    {"PUT", "/v1/jobs/wrong", "team",
     "{\"class\":\"batch\",\"tasks\":1,\"cpu_milli\":1,\"memory_mib\":1}"},
    {"GET", "/v1/jobs/wrong", "team", NULL},
    {"GET", "/v1/jobs", "team", NULL},
    {"DELETE", "/v1/jobs/wrong", "team", NULL},
    {"DELETE", "/v1/jobs?prefix=w", "team", NULL},
    {"PUT", "/v1/endpoints/wrong", "endpoint",
     "{\"service\":\"echo\",\"address\":\"127.0.0.1:1\","
     "\"failure_domain\":\"fd1\",\"slots\":1,\"connections\":1,"
     "\"state\":\"ready\"}"},
    {"DELETE", "/v1/endpoints/e1", "endpoint", NULL},
    {"POST", "/v1/workers/wrong/sync", "worker",
     "{\"incarnation\":1,\"seq\":1,\"rack\":\"r\",\"failure_domain\":\"f\","
     "\"capacity\":{\"cpu_milli\":1,\"memory_mib\":1,\"accelerators\":0},"
     "\"leases\":[],\"finished\":[],\"usage\":[],\"draining\":false,"
     "\"wait_ms\":0}"},
    {"GET", "/v1/lists/teams", "operator", NULL},
    {"PUT", "/v1/lists/teams", "operator", "{\"version\":1,\"teams\":[]}"},
    {"GET", "/v1/lists/limits", "operator", NULL},
    {"PUT", "/v1/lists/limits", "operator", "{\"version\":1,\"limits\":[]}"},
    {"POST", "/v1/keys", "operator", "{\"kind\":\"worker\"}"},
    {"GET", "/v1/keys", "operator", NULL},
    {"DELETE", "/v1/keys/k1", "operator", NULL},
    {"GET", "/v1/audit", "operator", NULL},
    {"GET", "/v1/usage?month=2026-01", "operator", NULL},
    {"GET", "/v1/status", "operator", NULL},
    {"POST", "/v1/vms/vm1/drain", "operator", NULL},
    {"GET", "/v1/vms", "operator", NULL},
    {"GET", "/v1/workers", "operator", NULL},
    {"GET", "/v1/endpoints", "operator", NULL},
    {"GET", "/v1/teams", "operator", NULL},
};

static void
expect(const struct cluster *c, size_t route, const char *key, long wanted)
{
    const struct api_call call = {routes[route].method,
                                  routes[route].path,
                                  key,
                                  routes[route].body,
                                  "If-Match: \"1\"",
                                  NULL,
                                  (int)(route % 3),
                                  0};
    long status = api_call(c, &call, NULL);

    if (status != wanted) {
        g_error("%s %s with key %s: %ld instead of %ld", call.method,
                call.path, key == NULL ? "(none)" : key, status, wanted);
    }
}

/* Guards against a route that does not check the key, its kind or its
 * withdrawal. */
static void
test_keys(void)
{
    static const char *const kinds[] = {"team", "endpoint", "worker",
                                        "operator"};
    struct cluster *c = start();
    struct cluster_key withdrawn[4];
    struct cluster_key valid[4];

    for (int k = 0; k < 4; k++) {
        valid[k] = api_key_create(c, kinds[k], k == 0 ? "lamps" : NULL);
        withdrawn[k] = api_key_create(c, kinds[k], k == 0 ? "lamps" : NULL);
        api_key_withdraw(c, withdrawn[k].id, -1);
    }
    for (size_t r = 0; r < G_N_ELEMENTS(routes); r++) {
        expect(c, r, NULL, 401);
        expect(c, r, "", 401);
        expect(c, r, "gv_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", 401);
        for (int k = 0; k < 4; k++) {
            expect(c, r, withdrawn[k].key, 401);
            if (strcmp(kinds[k], routes[r].kind) != 0) {
                expect(c, r, valid[k].key, 403);
            }
        }
    }
    g_assert_cmpint(api_list_version(c, "teams", -1), ==, 1);
    load_await(c, 0);
    finish(c);
}

/* ---- Waiting requests ---- */

struct waiting {
    struct cluster *c;
    struct cluster_key key;
    const char *tag;
    char outcome[16];
    long status;
};

static void *
send_slow(void *arg)
{
    struct waiting *w = arg;
    char url[64];
    const struct load_request r = {.url = url,
                                   .tag = w->tag,
                                   .key_id = w->key.id,
                                   .key = w->key.key,
                                   .delay_ms = 1500};

    snprintf(url, sizeof(url), "http://%s", w->c->vms[0].http);
    w->status = load_send(w->c->client, w->c->history, &r, w->outcome);
    return NULL;
}

/* Guards against a request that waits at an entry for the team's limit and is
 * sent after its key was withdrawn, or never answered. */
static void
test_withdrawn_waiting(void)
{
    const struct api_limit limit = {.requests = 1};
    struct cluster *c = start();
    struct waiting first = {e2e_clone(c), c->team, "first", "", 0};
    struct waiting second = {e2e_clone(c), api_key_create(c, "team", "lamps"),
                             "second", "", 0};
    pthread_t threads[2];

    api_limit(c, &limit);
    REQUIRE(pthread_create(&threads[0], NULL, send_slow, &first) == 0);
    AWAIT(e2e_has_arrived(c, "first"));
    REQUIRE(pthread_create(&threads[1], NULL, send_slow, &second) == 0);
    AWAIT(api_metric(c, 0, "guavarock_requests_queued") == 1);
    api_key_withdraw(c, second.key.id, -1);
    pthread_join(threads[1], NULL);
    g_assert_cmpint(second.status, ==, 401);
    g_assert_cmpstr(second.outcome, ==, "not-run");
    pthread_join(threads[0], NULL);
    g_assert_cmpint(first.status, ==, 200);
    load_await(c, 0);
    g_assert_false(e2e_has_arrived(c, "second"));
    e2e_clone_free(first.c);
    e2e_clone_free(second.c);
    finish(c);
}

/* ---- The internal port ---- */

static void
fill_frame(struct rng *rng, unsigned char *bytes, size_t *len)
{
    *len = 1 + rng_below(rng, FRAME_BYTES);
    for (size_t i = 0; i < *len; i++) {
        bytes[i] = (unsigned char)rng_next(rng);
    }
    switch (rng_below(rng, 3)) {
    case 0: /* a small length, so that the frame counts as whole */
        memcpy(bytes, "\0\0\0\x10", *len < 4 ? *len : 4);
        break;
    case 1: /* more than any frame may have */
        memset(bytes, 0xff, *len < 4 ? *len : 4);
        break;
    default:
        break;
    }
}

static int
send_frame(const struct cluster *c, int vm, struct rng *rng)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    unsigned char bytes[FRAME_BYTES + 1];
    size_t len;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, c->ip, &a.sin_addr);
    a.sin_port = htons((uint16_t)atoi(strchr(c->vms[vm].peer, ':') + 1));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
    fill_frame(rng, bytes, &len);
    (void)!send(fd, bytes, len, MSG_NOSIGNAL);
    return fd;
}

/* Guards against an unauthenticated peer that stops or crashes a VM. */
static void
test_frames(void)
{
    struct cluster *c = start();
    struct rng rng = {(uint64_t)e2e_random(1 << 30)};
    int leader = cluster_leader(c, -1);
    int fds[FRAMES];

    for (int i = 0; i < FRAMES; i++) {
        fds[i] = send_frame(c, i % 3, &rng);
    }
    for (int vm = 0; vm < 3; vm++) {
        load_await(c, vm);
        g_assert_cmpint(proc_wait(c->vms[vm].pid, 0), ==, PROC_RUNNING);
    }
    g_assert_cmpint(cluster_leader(c, -1), ==, leader);
    for (int i = 0; i < FRAMES; i++) {
        close(fds[i]);
    }
    cluster_await_whole(c);
    finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/keys", test_keys);
    e2e_case("/e2e/withdrawn-waiting", test_withdrawn_waiting);
    e2e_case("/e2e/frames", test_frames);
    return e2e_run(argc, argv);
}
