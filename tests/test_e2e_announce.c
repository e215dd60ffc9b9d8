/* End-to-end tests of endpoints that announce themselves to an entry, which
 * renews their leases at the leader. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"

enum {
    HEARTBEAT_MS = 100,
    /* Longest time from the last announcement to the end of the endpoint:
     * lease and margins, and the time to look at it. */
    LAPSE_MS = CLUSTER_ENDPOINT_LEASE_MS + 800,
    ENTRY = 3,
};

struct announcement {
    const char *key;
    const char *state;
    const char *id;
    int slots;
};

static long
put(struct cluster *c, int vm, const struct announcement *a)
{
    char body[256];
    char path[64];
    struct api_call call = {.method = "PUT",
                            .path = path,
                            .key = a->key,
                            .body = body,
                            .vm = vm,
                            .timeout_ms = 1000};

    snprintf(path, sizeof(path), "/v1/endpoints/%s", a->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"s\",\"address\":\"127.0.0.1:1\","
             "\"failure_domain\":\"fd1\",\"slots\":%d,\"connections\":8,"
             "\"state\":\"%s\"}",
             a->slots, a->state);
    return api_call(c, &call, NULL);
}

static long
remove_endpoint(struct cluster *c, int vm, const char *id)
{
    char path[64];
    struct api_call call = {
        .method = "DELETE", .path = path, .key = c->endpoint.key, .vm = vm};

    snprintf(path, sizeof(path), "/v1/endpoints/%s", id);
    return api_call(c, &call, NULL);
}

/* Whether the leader lists endpoint "a" with that many slots and state. */
static bool
listed(struct cluster *c, int slots, const char *state)
{
    struct api_call call = {.method = "GET",
                            .path = "/v1/endpoints",
                            .key = c->operator_key,
                            .vm = -1};
    json_t *out = NULL;
    const json_t *first;
    bool same;

    api_call(c, &call, &out);
    first = json_array_get(json_object_get(out, "endpoints"), 0);
    same = first != NULL && api_number(first, "slots") == slots &&
           g_strcmp0(json_string_value(json_object_get(first, "state")),
                     state) == 0;
    json_decref(out);
    return same;
}

/* Endpoint "a" announces itself to the VM until that renews its lease. */
static struct announcement
announced(struct cluster *c, int vm)
{
    struct announcement a = {c->endpoint.key, "ready", "a", 4};

    AWAIT(put(c, vm, &a) == 200);
    AWAIT(put(c, vm, &a) == 200 &&
          api_metric(c, vm, "guavarock_endpoints_renewed") == 1);
    g_assert_cmpint(e2e_status(c, "endpoints"), ==, 1);
    return a;
}

/* It announces itself for that long, and is known all the time. */
static void
announce(struct cluster *c, int vm, const struct announcement *a, int ms)
{
    int64_t until = clock_now() + ms * NS_PER_MS;

    while (clock_now() < until) {
        g_assert_cmpint(put(c, vm, a), ==, 200);
        g_assert_cmpint(e2e_status(c, "endpoints"), ==, 1);
        g_usleep(HEARTBEAT_MS * 1000);
    }
}

static void
await_lapse(struct cluster *c, int64_t last)
{
    AWAIT(e2e_status(c, "endpoints") == 0);
    g_assert_cmpint((clock_now() - last) / NS_PER_MS, <, LAPSE_MS);
}

static struct cluster *
start(bool relays)
{
    struct cluster *c = cluster_start(3, 1, relays);

    cluster_provision(c);
    return c;
}

static void
finish(struct cluster *c)
{
    cluster_check(c);
    cluster_destroy(c);
}

/* Guards against endpoints that stay in use after the death of the entry that
 * renewed their leases, and against a lease that its new process extends. */
static void
test_killed(void)
{
    struct cluster *c = start(false);
    struct announcement a = announced(c, ENTRY);
    int64_t last;

    announce(c, ENTRY, &a, 2 * CLUSTER_ENDPOINT_LEASE_MS);
    last = clock_now();
    cluster_vm_kill(c, ENTRY);
    cluster_vm_start(c, ENTRY);
    g_assert_cmpint(e2e_status(c, "endpoints"), ==, 1);
    await_lapse(c, last);
    announced(c, ENTRY);
    finish(c);
}

/* Guards against an entry that answers for the leader while it is cut off,
 * and against endpoints that stay in use although only it hears of them. */
static void
test_cut_off(void)
{
    struct cluster *c = start(true);
    struct announcement a = announced(c, ENTRY);
    int64_t last;

    announce(c, ENTRY, &a, CLUSTER_ENDPOINT_LEASE_MS);
    cluster_vm_cut(c, ENTRY, CLUSTER_CUT_BOTH);
    last = clock_now();
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(put(c, ENTRY, &a), !=, 200);
    }
    await_lapse(c, last);
    cluster_vm_heal(c, ENTRY);
    announced(c, ENTRY);
    finish(c);
}

/* Guards against an entry that confirms what another has replaced, against a
 * state that is told late, and against an endpoint that comes back after it
 * was deleted. */
static void
test_alternating(void)
{
    struct cluster *c = start(false);
    struct announcement a = announced(c, ENTRY);

    /* A VM without its first configuration lease refuses announcements. */
    for (int vm = 0; vm <= ENTRY; vm++) {
        cluster_await_ready(c, vm);
    }
    for (int i = 0; i < 24; i++) {
        a.slots = 1 + i / 3 % 4;
        g_assert_cmpint(put(c, i % 4, &a), ==, 200);
        g_assert_true(listed(c, a.slots, "ready"));
    }
    announced(c, ENTRY);
    a.state = "leaving";
    g_assert_cmpint(put(c, 0, &a), ==, 200);
    g_assert_true(listed(c, a.slots, "leaving"));
    announced(c, ENTRY);
    g_assert_cmpint(remove_endpoint(c, 1, "a"), ==, 200);
    g_assert_cmpint(e2e_status(c, "endpoints"), ==, 0);
    AWAIT(api_metric(c, ENTRY, "guavarock_endpoints_renewed") == 0);
    g_assert_cmpint(remove_endpoint(c, ENTRY, "a"), ==, 404);
    g_assert_cmpint(e2e_status(c, "endpoints"), ==, 0);
    announced(c, ENTRY);
    finish(c);
}

/* Guards against endpoints that live on with a withdrawn key, and against the
 * end of those with another key. */
static void
test_key_withdrawn(void)
{
    struct cluster *c = start(false);
    struct cluster_key key = api_key_create(c, "endpoint", NULL);
    struct announcement a = announced(c, ENTRY);
    struct announcement b = {key.key, "ready", "b", 4};
    int64_t last;

    AWAIT(put(c, ENTRY, &b) == 200 && put(c, ENTRY, &a) == 200 &&
          api_metric(c, ENTRY, "guavarock_endpoints_renewed") == 2);
    api_key_withdraw(c, key.id, 0);
    last = clock_now();
    g_assert_cmpint(put(c, ENTRY, &b), ==, 401);
    g_assert_cmpint(e2e_status(c, "endpoints"), ==, 2);
    while (e2e_status(c, "endpoints") == 2) {
        g_assert_cmpint(put(c, ENTRY, &a), ==, 200);
        g_assert_cmpint((clock_now() - last) / NS_PER_MS, <, LAPSE_MS);
        g_usleep(HEARTBEAT_MS * 1000);
    }
    announce(c, ENTRY, &a, CLUSTER_ENDPOINT_LEASE_MS);
    finish(c);
}

/* Guards against a new leader that does not learn of an endpoint because its
 * entry renews a lease that only the old leader knew. */
static void
test_leader_change(void)
{
    struct cluster *c = start(false);
    struct announcement a = announced(c, ENTRY);

    cluster_vm_kill(c, cluster_leader(c, -1));
    announced(c, ENTRY);
    announce(c, ENTRY, &a, 2 * CLUSTER_ENDPOINT_LEASE_MS);
    await_lapse(c, clock_now());
    finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/announce/killed", test_killed);
    e2e_case("/e2e/announce/cut-off", test_cut_off);
    e2e_case("/e2e/announce/alternating", test_alternating);
    e2e_case("/e2e/announce/key-withdrawn", test_key_withdrawn);
    e2e_case("/e2e/announce/leader-change", test_leader_change);
    return e2e_run(argc, argv);
}
