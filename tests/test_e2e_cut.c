/* End-to-end faults of the network: an entry and the leader are cut off
 * silently for longer than all leases. */
#include <stdio.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"

enum {
    /* A VM that is cut off does not answer. */
    CUT_TIMEOUT_MS = 300,
};

static long
read_teams(const struct cluster *c, const char *key, int vm, int timeout_ms)
{
    const struct api_call call = {
        "GET", "/v1/lists/teams", key, NULL, NULL, NULL, vm, timeout_ms};

    return api_call(c, &call, NULL);
}

static void
cut_and_withdraw(struct cluster *c, int vm, enum cluster_cut how)
{
    struct cluster_key key = api_key_create(c, "team", "lamps");
    struct cluster_key operator= api_key_create(c, "operator", NULL);
    struct cluster_key team = c->team;
    int64_t until = clock_now() + E2E_ALL_LEASES_MS * NS_PER_MS;
    char outcome[16];
    int other;

    c->team = key;
    load_await(c, vm);
    g_assert_cmpint(read_teams(c, operator.key, vm, 0), ==, 200);
    cluster_vm_cut(c, vm, how);
    other = cluster_leader(c, vm);
    api_key_withdraw(c, key.id, other);
    api_key_withdraw(c, operator.id, other);
    g_assert_cmpint(read_teams(c, operator.key, vm, CUT_TIMEOUT_MS), !=, 200);
    g_assert_cmpint(read_teams(c, operator.key, other, 0), ==, 401);
    for (int i = 0; i < 10; i++) {
        g_assert_cmpint(load_once(c, vm, outcome), !=, 200);
    }
    c->team = team;
    e2e_put_jobs(c, vm < c->control ? "leader" : "entry", 4, "run_ms=200");
    load_await(c, other);
    AWAIT(clock_now() > until);
    g_assert_cmpint(load_once(c, vm, outcome), ==, 503);
    g_assert_cmpstr(outcome, ==, "not-run");
    cluster_vm_heal(c, vm);
    load_await(c, vm);
    cluster_await_whole(c);
    g_assert_cmpint(read_teams(c, operator.key, vm, 0), ==, 401);
}

/* Guards against stale configuration behind a silent partition: a key that is
 * reported as withdrawn would keep working there. */
static void
cut_entry(enum cluster_cut how)
{
    struct cluster *c = e2e_start(3, 1, true);

    cut_and_withdraw(c, 3, how);
    e2e_finish(c);
}

/* The same, and against a leader that grants without a quorum. */
static void
cut_leader(enum cluster_cut how)
{
    struct cluster *c = e2e_start(3, 0, true);
    struct cluster *user = e2e_clone(c); /* keeps the key that stays valid */
    struct load *load = e2e_load(user, 4);

    cut_and_withdraw(c, cluster_leader(c, -1), how);
    load_await_more(load, 20);
    load_stop(load);
    e2e_clone_free(user);
    e2e_finish(c);
}

static void
test_entry_both(void)
{
    cut_entry(CLUSTER_CUT_BOTH);
}

static void
test_entry_sending(void)
{
    cut_entry(CLUSTER_CUT_SENDING);
}

static void
test_entry_receiving(void)
{
    cut_entry(CLUSTER_CUT_RECEIVING);
}

static void
test_leader_both(void)
{
    cut_leader(CLUSTER_CUT_BOTH);
}

static void
test_leader_sending(void)
{
    cut_leader(CLUSTER_CUT_SENDING);
}

static void
test_leader_receiving(void)
{
    cut_leader(CLUSTER_CUT_RECEIVING);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/cut/entry-both", test_entry_both);
    e2e_case("/e2e/cut/entry-sending", test_entry_sending);
    e2e_case("/e2e/cut/entry-receiving", test_entry_receiving);
    e2e_case("/e2e/cut/leader-both", test_leader_both);
    e2e_case("/e2e/cut/leader-sending", test_leader_sending);
    e2e_case("/e2e/cut/leader-receiving", test_leader_receiving);
    return e2e_run(argc, argv);
}
