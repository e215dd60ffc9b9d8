/* When a started entry tells the load balancer that it is ready. */

#include <signal.h>

#include <glib.h>

#include "await.h"
#include "clock.h"
#include "e2e.h"
#include "e2e_rig.h"

enum {
    ENDPOINTS = 4,
    RESTARTS = 5,
};

static void
finish(struct cluster *c)
{
    cluster_check(c);
    cluster_destroy(c);
}

static void
freeze_endpoints(struct cluster *c, bool frozen)
{
    for (int i = 0; i < ENDPOINTS; i++) {
        cluster_fake_freeze(c, i, frozen);
    }
}

/* Guards against requests that wait at a restarted entry because the load
 * balancer sends them before the entry holds slots. */
static void
test_restarted(void)
{
    struct cluster *c = e2e_start_endpoints(1, ENDPOINTS, NULL);

    for (int i = 0; i < RESTARTS; i++) {
        cluster_vm_kill(c, c->count - 1);
        cluster_vm_start(c, c->count - 1);
        cluster_await_ready(c, c->count - 1);
        g_assert_cmpint(api_metric(c, c->count - 1, "guavarock_endpoints"), ==,
                        ENDPOINTS);
        g_assert_cmpint(api_metric(c, c->count - 1, "guavarock_slots_held"), >,
                        0);
    }
    finish(c);
}

/* Guards against an entry that takes the list of a leader to whom the
 * endpoints have not announced themselves yet for complete. What the killed
 * processes held may not be granted before the entry is ready. */
static void
test_restarted_with_leader(void)
{
    struct cluster *c = e2e_start_endpoints(1, ENDPOINTS, NULL);
    int leader = cluster_leader(c, -1);
    int entry = c->count - 1;

    freeze_endpoints(c, true);
    cluster_vm_kill(c, leader);
    cluster_vm_kill(c, entry);
    cluster_vm_start(c, entry);
    AWAIT(api_metric(c, entry, "guavarock_config_lease") == 1);
    freeze_endpoints(c, false);
    cluster_await_ready(c, entry);
    g_assert_cmpint(api_metric(c, entry, "guavarock_endpoints"), ==,
                    ENDPOINTS);
    cluster_vm_start(c, leader);
    finish(c);
}

/* Guards against an entry that gets ready under a new leader because the time
 * that the leader before had for its grants is over. The new leader knows no
 * endpoint yet. */
static void
test_leader_replaced(void)
{
    struct cluster *c = e2e_start_endpoints(1, ENDPOINTS, NULL);
    int entry = c->count - 1;
    int first = cluster_leader(c, -1);
    int second;

    freeze_endpoints(c, true);
    cluster_vm_kill(c, first);
    cluster_vm_kill(c, entry);
    cluster_vm_start(c, entry);
    AWAIT(api_metric(c, entry, "guavarock_config_lease") == 1);
    second = cluster_leader(c, first);
    cluster_vm_start(c, first);
    for (int vm = 0; vm < entry; vm++) {
        cluster_vm_freeze(c, vm, true);
    }
    g_usleep((CLUSTER_ENDPOINT_LEASE_MS + CLUSTER_CONFIG_LEASE_MS) * 1000);
    for (int vm = 0; vm < entry; vm++) {
        if (vm != second) {
            cluster_vm_freeze(c, vm, false);
        }
    }
    AWAIT(api_metric(c, entry, "guavarock_config_lease") == 1);
    freeze_endpoints(c, false);
    cluster_await_ready(c, entry);
    g_assert_cmpint(api_metric(c, entry, "guavarock_endpoints"), ==,
                    ENDPOINTS);
    cluster_vm_freeze(c, second, false);
    finish(c);
}

/* Guards against entries that are all taken out of service by the lack of a
 * leader while they can still serve. */
static void
test_no_leader(void)
{
    struct cluster *c = e2e_start_endpoints(1, ENDPOINTS, NULL);
    int64_t until;

    for (int vm = 0; vm < c->count; vm++) {
        cluster_await_ready(c, vm);
    }
    until = clock_now() + CLUSTER_CONFIG_LEASE_MS / 2 * NS_PER_MS;
    for (int vm = 0; vm < 3; vm++) {
        cluster_vm_freeze(c, vm, true);
    }
    for (;;) {
        bool ready = cluster_vm_ready(c, c->count - 1);

        /* An answer that was late says nothing. */
        if (clock_now() >= until) {
            break;
        }
        g_assert_true(ready);
        await_pause();
    }
    for (int vm = 0; vm < 3; vm++) {
        cluster_vm_freeze(c, vm, false);
    }
    AWAIT(cluster_vm_ready(c, c->count - 1));
    finish(c);
}

/* Guards against an entry that never becomes ready because no slot can be
 * granted: every endpoint is leaving. */
static void
test_no_units(void)
{
    static const char *const options[] = {"--linger-ms", "60000", NULL};
    struct cluster *c = e2e_start_endpoints(1, ENDPOINTS, options);

    for (int i = 0; i < ENDPOINTS; i++) {
        kill(c->fakes[i].pid, SIGTERM);
    }
    AWAIT(api_metric(c, 0, "guavarock_slots_held") == 0);
    cluster_vm_kill(c, c->count - 1);
    cluster_vm_start(c, c->count - 1);
    cluster_await_ready(c, c->count - 1);
    g_assert_cmpint(api_metric(c, c->count - 1, "guavarock_slots_held"), ==,
                    0);
    finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/ready/restarted", test_restarted);
    e2e_case("/e2e/ready/restarted-with-leader", test_restarted_with_leader);
    e2e_case("/e2e/ready/leader-replaced", test_leader_replaced);
    e2e_case("/e2e/ready/no-leader", test_no_leader);
    e2e_case("/e2e/ready/no-units", test_no_units);
    return e2e_run(argc, argv);
}
