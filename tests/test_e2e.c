/* End-to-end faults of control VMs: real processes on loopback, the history
 * checker at the end of each case. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"

enum {
    CHANGES = 520,
};

/* Guards against any break in the path of requests and jobs, and against a
 * planned stop that does not end with status 0. */
static void
test_path(void)
{
    struct cluster *c = e2e_start(3, 1, false);

    e2e_put_jobs(c, "job", 6, "run_ms=200");
    api_await_job(c, "job-0", "done");
    api_await_jobs_ended(c);
    api_record_usage(c);
    for (int i = 0; i < c->fake_count; i++) {
        cluster_fake_stop(c, i);
    }
    for (int vm = c->count - 1; vm >= 0; vm--) {
        cluster_vm_stop(c, vm);
    }
    cluster_check(c);
    cluster_destroy(c);
}

/* Guards against work that is lost, repeated or wrongly answered when the
 * leader dies under load. */
static void
test_leader_killed(void)
{
    struct cluster *c = e2e_start(3, 0, false);
    const struct load_options options = {
        .threads = 8, .delay_ms = 5, .seed = (unsigned)e2e_random(1000)};
    struct load *load = load_start(c, &options);
    int old = cluster_leader(c, -1);

    e2e_put_jobs(c, "before", 10, "run_ms=200");
    load_await_more(load, 50);
    cluster_vm_kill(c, old);
    cluster_leader(c, old);
    e2e_put_jobs(c, "after", 10, "run_ms=200");
    load_await_more(load, 50);
    cluster_vm_start(c, old);
    cluster_await_whole(c);
    load_await_more(load, 50);
    load_stop(load);
    e2e_finish(c);
}

/* Guards against a paused leader that answers from its old state when it
 * continues: a key withdrawn meanwhile must not work there. */
static void
test_leader_frozen(void)
{
    struct cluster *c = e2e_start(3, 0, false);
    struct cluster_key key = api_key_create(c, "team", "lamps");
    struct cluster_key team = c->team;
    int old = cluster_leader(c, -1);
    struct cluster *user = e2e_clone(c); /* keeps the key that stays valid */
    struct load *load = e2e_load(user, 4);
    int64_t until = clock_now() + E2E_ALL_LEASES_MS * NS_PER_MS;
    char outcome[16];
    int other;

    e2e_put_jobs(c, "job", 6, "run_ms=200");
    cluster_vm_freeze(c, old, true);
    other = cluster_leader(c, old);
    api_key_withdraw(c, key.id, other);
    e2e_put_jobs(c, "meanwhile", 6, "run_ms=200");
    AWAIT(clock_now() > until);
    cluster_vm_freeze(c, old, false);
    c->team = key;
    for (int i = 0; i < 20; i++) {
        g_assert_cmpint(load_once(c, old, outcome), !=, 200);
    }
    c->team = team;
    cluster_await_whole(c);
    load_await(c, old);
    /* Operators can tell the pause from the metrics. */
    AWAIT(api_metric(c, old, "guavarock_control_stalls_total") >= 1);
    load_await_more(load, 20);
    load_stop(load);
    e2e_clone_free(user);
    e2e_finish(c);
}

static void
change_lists(const struct cluster *c, int vm, int count)
{
    char items[128];

    for (int i = 0; i < count; i++) {
        snprintf(items, sizeof(items),
                 "[{\"name\":\"lamps\",\"weight\":%d},"
                 "{\"name\":\"looms\",\"weight\":1}]",
                 i + 1);
        AWAIT(api_list_put(c, "teams", -1, items, NULL, vm) == 200);
    }
}

/* Guards against a restarted VM that serves before it has caught up, and
 * against gaps after a snapshot. */
static void
test_follower_behind(void)
{
    struct cluster *c = e2e_start(3, 0, false);
    int follower = cluster_follower(c);
    int leader;
    int64_t version;

    cluster_vm_kill(c, follower);
    leader = cluster_leader(c, -1);
    change_lists(c, leader, CHANGES);
    version = api_list_version(c, "teams", leader);
    cluster_vm_start(c, follower);
    cluster_await_whole(c);
    g_assert_cmpint(api_list_version(c, "teams", follower), ==, version);
    load_await(c, follower);
    cluster_vm_kill(c, leader);
    cluster_leader(c, leader);
    g_assert_cmpint(api_list_version(c, "teams", follower), ==, version);
    e2e_finish(c);
}

static void
lose_data(bool damage)
{
    struct cluster *c = e2e_start(3, 0, false);
    int lost = cluster_follower(c);
    int second = (lost + 1) % 3;
    int64_t version;

    change_lists(c, -1, CLUSTER_SNAPSHOT_ENTRIES / 2);
    e2e_put_jobs(c, "before", 4, "run_ms=200");
    version = api_list_version(c, "teams", -1);
    cluster_vm_kill(c, lost);
    if (damage) {
        cluster_vm_damage(c, lost);
    }
    else {
        cluster_vm_wipe(c, lost);
    }
    cluster_vm_start(c, lost);
    cluster_await_whole(c);
    cluster_vm_kill(c, second);
    cluster_leader(c, second);
    e2e_put_jobs(c, "after", 4, "run_ms=200");
    g_assert_cmpint(api_list_version(c, "teams", lost), ==, version);
    change_lists(c, -1, 3);
    cluster_vm_start(c, second);
    cluster_await_whole(c);
    e2e_finish(c);
}

/* Guards against a replaced disk that counts as a vote before it holds the
 * state: the loss of a second VM right after would lose acknowledged work. */
static void
test_data_emptied(void)
{
    lose_data(false);
}

static void
test_data_damaged(void)
{
    lose_data(true);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/path", test_path);
    e2e_case("/e2e/leader-killed", test_leader_killed);
    e2e_case("/e2e/leader-frozen", test_leader_frozen);
    e2e_case("/e2e/follower-behind", test_follower_behind);
    e2e_case("/e2e/data-emptied", test_data_emptied);
    e2e_case("/e2e/data-damaged", test_data_damaged);
    return e2e_run(argc, argv);
}
