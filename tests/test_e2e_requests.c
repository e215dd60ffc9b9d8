/* End-to-end faults of requests, endpoints, operators and planned stops. */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"
#include "net.h"
#include "proc.h"

enum {
    RACES = 10,
    SETTLED_MS = CLUSTER_CONFIG_LEASE_MS + CLUSTER_LONGEST_REQUEST_MS + 500,
};

static void
finish(struct cluster *c)
{
    cluster_check(c);
    cluster_destroy(c);
}

/* ---- Operators ---- */

struct racer {
    struct cluster *c;
    int vm;
    int64_t version;
    long status;
};

static void *
race(void *arg)
{
    struct racer *r = arg;
    char items[160];

    snprintf(items, sizeof(items),
             "[{\"name\":\"lamps\",\"weight\":%d},"
             "{\"name\":\"looms\",\"weight\":1}]",
             10 + r->vm);
    r->status = api_list_put(r->c, "teams", r->version, items, NULL, r->vm);
    return NULL;
}

/* Guards against two operators who both believe that their change of the
 * same version was accepted. */
static void
test_operators_race(void)
{
    struct cluster *c = e2e_start_endpoints(0, 1, NULL);

    for (int i = 0; i < RACES; i++) {
        int64_t version = api_list_version(c, "teams", -1);
        struct racer racers[2];
        pthread_t threads[2];

        for (int k = 0; k < 2; k++) {
            racers[k] = (struct racer){e2e_clone(c), k, version, 0};
            pthread_create(&threads[k], NULL, race, &racers[k]);
        }
        for (int k = 0; k < 2; k++) {
            pthread_join(threads[k], NULL);
            e2e_clone_free(racers[k].c);
        }
        g_assert_cmpint(racers[0].status + racers[1].status, ==, 200 + 409);
        g_assert_cmpint(api_list_version(c, "teams", -1), ==, version + 1);
    }
    finish(c);
}

/* Guards against a change that is made twice, or refused, when it is sent
 * again after its answer was lost. */
static void
test_change_resent(void)
{
    static const char items[] = "[{\"name\":\"lamps\",\"weight\":7},"
                                "{\"name\":\"looms\",\"weight\":1}]";
    struct cluster *c = e2e_start_endpoints(0, 1, NULL);
    int64_t version = api_list_version(c, "teams", -1);
    int old = cluster_leader(c, -1);
    char body[256];
    char match[64];
    const struct api_call lost = {
        "PUT", "/v1/lists/teams",           c->operator_key, body,
        match, "Idempotency-Key: change-1", (old + 1) % 3,   1};

    snprintf(body, sizeof(body), "{\"version\":%d,\"teams\":%s}", (int)version,
             items);
    snprintf(match, sizeof(match), "If-Match: \"%d\"", (int)version);
    api_call(c, &lost, NULL);
    for (int vm = 0; vm < 3; vm++) {
        AWAIT(api_list_put(c, "teams", version, items, "change-1", vm) == 200);
        g_assert_cmpint(api_list_version(c, "teams", vm), ==, version + 1);
    }
    cluster_vm_kill(c, old);
    cluster_leader(c, old);
    AWAIT(api_list_put(c, "teams", version, items, "change-1",
                       (old + 1) % 3) == 200);
    g_assert_cmpint(api_list_version(c, "teams", (old + 1) % 3), ==,
                    version + 1);
    finish(c);
}

/* ---- Requests with an Idempotency-Key ---- */

struct sender {
    const struct cluster *c;
    struct load_request request;
    char url[64];
    long status;
    char outcome[16];
};

static void *
send_one(void *arg)
{
    struct sender *s = arg;
    struct http_client *client = http_client_create();

    s->request.url = s->url;
    s->status = load_send(client, s->c->history, &s->request, s->outcome);
    http_client_destroy(client);
    return NULL;
}

static void
prepare(struct sender *s, const struct cluster *c, int vm, const char *name,
        int delay_ms)
{
    *s = (struct sender){.c = c};
    snprintf(s->url, sizeof(s->url), "http://%s", c->vms[vm].http);
    s->request = (struct load_request){.tag = name,
                                       .key_id = c->team.id,
                                       .key = c->team.key,
                                       .idempotency = name,
                                       .delay_ms = delay_ms};
}

static bool
is_settled(struct sender *s)
{
    send_one(s);
    return s->status == 200 ||
           (s->status != 0 && strcmp(s->outcome, "unknown") == 0);
}

/* Guards against a request that runs twice when it is sent through two
 * entries at the same moment. */
static void
test_request_twice(void)
{
    struct cluster *c = e2e_start_endpoints(0, 2, NULL);
    struct sender senders[2];
    pthread_t threads[2];
    char name[32];

    for (int i = 0; i < RACES; i++) {
        snprintf(name, sizeof(name), "twice-%d", i);
        for (int k = 0; k < 2; k++) {
            prepare(&senders[k], c, k, name, 30);
            pthread_create(&threads[k], NULL, send_one, &senders[k]);
        }
        for (int k = 0; k < 2; k++) {
            pthread_join(threads[k], NULL);
        }
        g_assert_true(senders[0].status == 200 || senders[1].status == 200);
        prepare(&senders[0], c, 2, name, 30);
        send_one(&senders[0]);
        g_assert_cmpint(senders[0].status, ==, 200);
    }
    finish(c);
}

/* Guards against a second run of a request whose entry died after it had
 * sent it. */
static void
test_request_entry_killed(void)
{
    struct cluster *c = e2e_start_endpoints(0, 2, NULL);
    int entry = cluster_follower(c);
    struct sender first;
    struct sender again;
    pthread_t thread;

    prepare(&first, c, entry, "killed-1", E2E_KILLED_DELAY_MS);
    pthread_create(&thread, NULL, send_one, &first);
    AWAIT(e2e_has_arrived(c, "killed-1"));
    cluster_vm_kill(c, entry);
    pthread_join(thread, NULL);
    prepare(&again, c, (entry + 1) % 3, "killed-1", E2E_KILLED_DELAY_MS);
    AWAIT(is_settled(&again));
    g_assert_cmpstr(again.outcome, ==, "unknown");
    cluster_vm_start(c, entry);
    cluster_await_ready(c, entry);
    prepare(&again, c, entry, "killed-1", E2E_KILLED_DELAY_MS);
    AWAIT(is_settled(&again));
    g_assert_cmpstr(again.outcome, ==, "unknown");
    finish(c);
}

/* ---- Endpoints ---- */

/* Guards against wrong answers, repeated requests and full loss of service
 * when endpoints die, hang and leave under load. */
static void
test_endpoints(void)
{
    struct cluster *c = e2e_start_endpoints(0, 4, NULL);
    const struct load_options options = {
        .threads = 8, .delay_ms = 5, .seed = (unsigned)e2e_random(1000)};
    struct load *load = load_start(c, &options);
    int64_t until;

    load_await_more(load, 50);
    cluster_fake_kill(c, 0);
    load_await_more(load, 50);
    cluster_fake_freeze(c, 1, true);
    until = clock_now() + 2 * CLUSTER_ENDPOINT_LEASE_MS * NS_PER_MS;
    AWAIT(clock_now() > until);
    load_await_more(load, 50);
    cluster_fake_freeze(c, 1, false);
    cluster_fake_stop(c, 2);
    load_await_more(load, 50);
    cluster_fake_start(c, 0);
    cluster_await_endpoints(c, 3);
    load_await_more(load, 50);
    load_stop(load);
    finish(c);
}

/* ---- Planned stops ---- */

static pid_t
start_balancer(struct cluster *c, char url[64])
{
    char program[CLUSTER_PATH_BYTES + 16];
    char log[CLUSTER_PATH_BYTES];
    char address[32];
    char *argv[32] = {program, "--listen", address};
    int n = 3;

    snprintf(program, sizeof(program), "%s/fakes/balancer", c->bin);
    snprintf(log, sizeof(log), "%s/balancer.log", c->dir);
    snprintf(address, sizeof(address), "%s:%d", c->ip, cluster_port(c));
    snprintf(url, 64, "http://%s", address);
    for (int i = 0; i < c->count; i++) {
        argv[n++] = "--to";
        argv[n++] = (char *)c->vms[i].http;
    }
    return proc_spawn(log, argv);
}

/*
 * The leader is taken last. With settled, only once each VM has run for
 * longer than a configuration lease and the longest request: a new leader
 * then knows at once that no older process of a VM holds slots.
 */
static void
rolling_restart(bool settled)
{
    int order[CLUSTER_VMS_MAX] = {0};
    struct cluster *c = e2e_start_endpoints(1, 3, NULL);
    char url[64];
    struct load_options options = {
        .url = url, .threads = 6, .delay_ms = 20, .must = true};
    struct load *load;
    struct load_request probe = {.url = url,
                                 .key_id = c->team.id,
                                 .key = c->team.key,
                                 .tag = "probe",
                                 .idempotent = true};
    int done = 0;

    start_balancer(c, url);
    AWAIT(load_send(c->client, c->history, &probe, NULL) == 200);
    load = load_start(c, &options);
    for (int i = 0, leader = cluster_leader(c, -1); i < c->count; i++) {
        order[i] = (leader + 1 + i) % c->count;
    }
    for (int i = 0; i < c->count; i++) {
        int64_t until = clock_now() + SETTLED_MS * NS_PER_MS;

        AWAIT(!settled || i + 1 < c->count || clock_now() > until);
        load_await_more(load, 30);
        cluster_vm_stop(c, order[i]);
        cluster_vm_start(c, order[i]);
        cluster_await_ready(c, order[i]);
        cluster_await_whole(c);
    }
    load_await_more(load, 30);
    done = load_stop(load);
    g_assert_cmpint(done, >, 30 * c->count);
    finish(c);
}

/* The newest of the connections to a VM that is being stopped. */
static int
connect_last(const char *ip, uint16_t port)
{
    int last = -1;
    int fd;

    while ((fd = net_connect_to(ip, port)) >= 0) {
        if (last >= 0) {
            close(last);
        }
        last = fd;
        await_pause();
    }
    return last;
}

/* Guards against a planned stop that breaks a request that arrives when all
 * others have ended, on a connection from before the port was closed. */
static void
test_drain_late_request(void)
{
    struct cluster *c = e2e_start_endpoints(1, 1, NULL);
    int vm = cluster_follower(c);
    char request[256];
    GString *text;
    int port;
    int fd;

    snprintf(request, sizeof(request),
             "GET /v1/services/echo/x HTTP/1.1\r\nHost: h\r\n"
             "Authorization: Bearer %s\r\n\r\n",
             c->team.key);
    g_assert_cmpint(sscanf(strchr(c->vms[vm].http, ':'), ":%d", &port), ==, 1);
    kill(c->vms[vm].pid, SIGTERM);
    fd = connect_last(c->ip, (uint16_t)port);
    g_assert_cmpint(fd, >=, 0);
    net_write(fd, request);
    text = net_read_response(fd, FALSE);
    g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
    g_string_free(text, TRUE);
    close(fd);
    cluster_vm_stop(c, vm);
    finish(c);
}

/* Guards against requests that a planned stop breaks. The checker reports
 * each request that was not answered with 200. */
static void
test_rolling_restart(void)
{
    rolling_restart(true);
}

/* The same without a pause before the leader is taken. */
static void
test_rolling_restart_fast(void)
{
    rolling_restart(false);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/operators-race", test_operators_race);
    e2e_case("/e2e/change-resent", test_change_resent);
    e2e_case("/e2e/request-twice", test_request_twice);
    e2e_case("/e2e/request-entry-killed", test_request_entry_killed);
    e2e_case("/e2e/endpoints", test_endpoints);
    e2e_case("/e2e/drain-late-request", test_drain_late_request);
    e2e_case("/e2e/rolling-restart", test_rolling_restart);
    e2e_case("/e2e/rolling-restart-fast", test_rolling_restart_fast);
    return e2e_run(argc, argv);
}
