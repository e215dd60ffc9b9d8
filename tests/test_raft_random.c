#include <glib.h>
#include <stdlib.h>

#include "raft_net.h"

/*
 * Random schedules of faults on a simulated cluster. The environment variable
 * GV_RAFT_SEEDS sets the number of schedules, GV_RAFT_FIRST the first seed.
 */

/* A set of bits: the kinds of faults that a schedule contains. */
enum fault {
    FAULT_PARTITION = 1,
    FAULT_CRASH = 2,
    FAULT_DISK = 4, /* loss of a disk */
    FAULT_PAUSE = 8,
    FAULT_SNAPSHOT = 16,
    FAULT_CHANGE = 32, /* of the configuration */
    FAULT_TRANSFER = 64,
    FAULT_STORAGE = 128, /* a failed write */
    FAULT_NETWORK = 256, /* lost, duplicate and slow messages */
    FAULT_SLOW_DISK = 512,
    FAULT_ALL = 1023,
};

struct totals {
    unsigned elections;
    unsigned installs;
    unsigned lost_disks;
    unsigned commits;
};

static uint64_t
env_number(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);

    return text == NULL ? fallback : strtoull(text, NULL, 10);
}

static int64_t
random_ms(struct net *n, uint64_t bound)
{
    return (int64_t)(1 + rng_below(&n->rng, bound)) * NET_MS;
}

/*
 * Blocks all messages from and to vm, or all that it sends, or a random
 * third of all directions between VMs, or ends a partition.
 */
static void
partition_network(struct net *n, int vm)
{
    uint64_t kind = rng_below(&n->rng, 4);

    for (int i = 0; i < n->vms; i++) {
        for (int j = 0; j < n->vms; j++) {
            bool involves_vm = i == vm || j == vm;

            n->blocked[i][j] = (kind == 1 && involves_vm) ||
                               (kind == 2 && i == vm) ||
                               (kind == 3 && rng_below(&n->rng, 3) == 0);
        }
    }
}

static void
change_members(struct net *n, int vm)
{
    struct raft *r = n->nodes[vm].raft;
    size_t count;
    const struct raft_member *m = raft_members(r, &count);
    struct raft_member removed;
    size_t voters = 0;
    size_t alive = 0;

    for (size_t i = 0; i < count; i++) {
        voters += m[i].voter;
        alive += m[i].voter && !g_hash_table_contains(
                                   n->lost_ids, GSIZE_TO_POINTER(m[i].id));
    }
    /*
     * As an operator would, remove no voter while another one's disk is lost.
     */
    if (voters > 3 && alive == voters && rng_below(&n->rng, 2) == 0) {
        removed = m[rng_below(&n->rng, count)];
        raft_propose_config(r, net_clock(n, vm), RAFT_REMOVE, &removed, NULL);
    }
    else {
        net_propose_missing_vms(n);
    }
}

static void
cause_fault(struct net *n, int vm, enum fault fault)
{
    struct net_node *node = &n->nodes[vm];

    switch (fault) {
    case FAULT_PARTITION:
        partition_network(n, vm);
        break;
    case FAULT_CRASH:
        net_crash(n, vm, random_ms(n, 300));
        break;
    case FAULT_DISK:
        if (net_can_lose_disk(n, vm)) {
            net_lose_disk(n, vm, random_ms(n, 100));
        }
        break;
    case FAULT_PAUSE:
        node->paused_until_ns = n->now + random_ms(n, 400);
        break;
    case FAULT_SNAPSHOT:
        net_take_snapshot(n, vm);
        break;
    case FAULT_CHANGE:
        change_members(n, vm);
        break;
    case FAULT_TRANSFER:
        raft_transfer_leadership(node->raft, net_clock(n, vm), 0);
        break;
    case FAULT_STORAGE:
        raft_storage_failed(node->raft, net_clock(n, vm));
        net_process_output(n, vm);
        net_crash(n, vm, random_ms(n, 200));
        break;
    case FAULT_NETWORK:
        n->drop_per_mille = (unsigned)rng_below(&n->rng, 200);
        n->duplicate_per_mille = (unsigned)rng_below(&n->rng, 200);
        n->max_delay_ns = random_ms(n, 60);
        break;
    case FAULT_SLOW_DISK:
        node->max_sync_ns = random_ms(n, 80);
        break;
    default:
        break;
    }
}

/* Causes a random fault, if it is enabled, on a random node. */
static void
cause_random_fault(struct net *n, uint64_t enabled)
{
    uint64_t bit = rng_below(&n->rng, 10);
    int vm = (int)rng_below(&n->rng, (uint64_t)n->vms);
    struct raft_status s;

    if ((enabled & (1u << bit)) == 0 || n->nodes[vm].raft == NULL) {
        return;
    }
    /*
     * Hit leaders often: VM i replaces vm with probability 2^-(i+1) if it
     * leads.
     */
    for (int i = 0; i < n->vms && rng_below(&n->rng, 2) == 0; i++) {
        if (n->nodes[i].raft != NULL) {
            raft_status(n->nodes[i].raft, &s);
            vm = s.role == RAFT_LEADER ? i : vm;
        }
    }
    cause_fault(n, vm, (enum fault)(1u << bit));
}

/* Whether every VM is a voter with its current disk, according to a leader. */
static bool
is_repaired(struct net *n)
{
    int vm = net_wait_leader(n, 1);
    size_t count;
    const struct raft_member *m;

    if (vm < 0) {
        return false;
    }
    m = raft_members(n->nodes[vm].raft, &count);
    for (size_t i = 0; i < count; i++) {
        if (!m[i].voter ||
            g_hash_table_contains(n->lost_ids, GSIZE_TO_POINTER(m[i].id))) {
            return false;
        }
    }
    return count == (size_t)n->vms;
}

/*
 * Ends all faults and checks that a leader is elected and that every VM
 * becomes a voter with all committed entries.
 */
static void
check_recovery(struct net *n)
{
    net_end_faults(n);
    for (int i = 0; i < 6000 && n->violation[0] == '\0'; i++) {
        size_t same = 0;

        net_step(n, NET_MS);
        if (i % 50 == 0) {
            net_propose_missing_vms(n);
        }
        if (i % 50 == 10) {
            int vm = net_wait_leader(n, NET_MS);

            if (vm >= 0) {
                net_propose(n, vm);
            }
        }
        for (int k = 0; k < n->vms; k++) {
            same += n->nodes[k].raft != NULL &&
                    n->nodes[k].applied == n->committed->len;
        }
        if (i > 400 && same == (size_t)n->vms && is_repaired(n)) {
            return;
        }
    }
    if (n->violation[0] == '\0') {
        g_strlcpy(n->violation,
                  "cluster did not recover after the faults ended",
                  sizeof(n->violation));
    }
}

/* Runs one schedule and copies its violation, or an empty string. */
static void
run_schedule(uint64_t seed, enum net_bug bug, struct totals *totals,
             char *violation, size_t size)
{
    struct net *n = net_create(seed, seed % 3 == 0 ? 5 : 3, bug);
    uint64_t enabled = rng_next(&n->rng) & FAULT_ALL;
    unsigned rate = 10 + (unsigned)rng_below(&n->rng, 150);

    if (seed % 8 == 0) {
        enabled = FAULT_ALL;
    }
    if (bug != NET_BUG_NONE) {
        enabled = bug == NET_BUG_LONG_LEASE ? FAULT_PARTITION : FAULT_ALL;
    }
    net_wait_leader(n, 1000 * NET_MS);
    for (int i = 0; i < 1500 && n->violation[0] == '\0'; i++) {
        net_step(n, random_ms(n, 3));
        if (rng_below(&n->rng, 1000) < rate) {
            cause_random_fault(n, enabled);
        }
        if (rng_below(&n->rng, 100) < 2) {
            net_propose_missing_vms(n);
        }
        for (int vm = 0; vm < n->vms; vm++) {
            if (rng_below(&n->rng, 100) < 25) {
                net_propose(n, vm);
            }
        }
    }
    if (bug == NET_BUG_NONE) {
        check_recovery(n);
    }
    totals->elections += n->elections;
    totals->installs += n->installs;
    totals->lost_disks += n->lost_disks;
    totals->commits += n->committed->len;
    g_strlcpy(violation, n->violation, size);
    net_destroy(n);
}

/*
 * Guards against a violated safety property, and against a cluster that does
 * not recover, under combinations of faults.
 */
static void
test_schedules(void)
{
    uint64_t first = env_number("GV_RAFT_FIRST", 1);
    uint64_t seeds = env_number("GV_RAFT_SEEDS", 100);
    struct totals t = {0};
    char violation[160];

    for (uint64_t seed = first; seed < first + seeds; seed++) {
        run_schedule(seed, NET_BUG_NONE, &t, violation, sizeof(violation));
        if (violation[0] != '\0') {
            g_test_message("seed %" G_GUINT64_FORMAT ": %s", seed, violation);
            g_test_fail();
            return;
        }
    }
    g_test_message("%" G_GUINT64_FORMAT " schedules, %u elections, "
                   "%u snapshot installs, %u lost disks, %u commits",
                   seeds, t.elections, t.installs, t.lost_disks, t.commits);
}

/* Guards against checks that do not detect a violation. */
static void
test_injected_bug(gconstpointer data)
{
    enum net_bug bug = (enum net_bug)GPOINTER_TO_INT(data);
    struct totals t = {0};
    char violation[160] = "";
    uint64_t seed = 0;

    while (seed < 200 && violation[0] == '\0') {
        seed++;
        run_schedule(seed, bug, &t, violation, sizeof(violation));
    }
    g_test_message("seed %" G_GUINT64_FORMAT ": %s", seed, violation);
    g_test_message("%u elections, %u commits", t.elections, t.commits);
    g_assert_cmpstr(violation, !=, "");
}

static void
add_injected_bug_case(const char *path, enum net_bug bug)
{
    g_test_add_data_func(path, GINT_TO_POINTER(bug), test_injected_bug);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/raft/schedules", test_schedules);
    add_injected_bug_case("/raft/planted/early-sync", NET_BUG_EARLY_SYNC);
    add_injected_bug_case("/raft/planted/forget-vote", NET_BUG_FORGET_VOTE);
    add_injected_bug_case("/raft/planted/keep-identity",
                          NET_BUG_KEEP_IDENTITY);
    add_injected_bug_case("/raft/planted/long-lease", NET_BUG_LONG_LEASE);
    add_injected_bug_case("/raft/planted/lose-tail", NET_BUG_LOSE_TAIL);
    add_injected_bug_case("/raft/planted/change-entry", NET_BUG_CHANGE_ENTRY);
    return g_test_run();
}
