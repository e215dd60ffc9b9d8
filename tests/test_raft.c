#include <glib.h>
#include <string.h>

#include "raft_net.h"

/*
 * Each case causes one fault at a given point on a simulated cluster. Random
 * combinations of faults are in test_raft_random.c, tests of one node with
 * single messages in test_raft_step.c.
 */

#define SECOND (1000 * NET_MS)

static struct raft_status
node_status(const struct net *n, int vm)
{
    struct raft_status s;

    raft_status(n->nodes[vm].raft, &s);
    return s;
}

static void
run_for(struct net *n, int64_t time)
{
    for (int64_t end = n->now + time; n->now < end;) {
        net_step(n, NET_MS);
    }
}

static void
check_and_destroy(struct net *n)
{
    g_assert_cmpstr(n->violation, ==, "");
    net_destroy(n);
}

/* Creates a cluster of three voters and waits for its leader. */
static struct net *
start_cluster(uint64_t seed, int *leader)
{
    struct net *n = net_create(seed, 3, NET_BUG_NONE);

    *leader = net_wait_leader(n, SECOND);
    g_assert_cmpint(*leader, >=, 0);
    return n;
}

/* Blocks the messages to vm (in) and from it (out). */
static void
isolate_vm(struct net *n, int vm, bool in, bool out)
{
    for (int i = 0; i < n->vms; i++) {
        n->blocked[i][vm] = in && i != vm;
        n->blocked[vm][i] = out && i != vm;
    }
}

/* Proposes entries on vm until count more are committed. */
static void
commit_entries(struct net *n, int vm, unsigned count)
{
    guint goal = n->committed->len + count;

    for (int i = 0; i < 20000 && n->committed->len < goal; i++) {
        net_propose(n, vm);
        net_step(n, NET_MS);
    }
    g_assert_cmpuint(n->committed->len, >=, goal);
}

/*
 * Guards against a leader behind a partition that keeps its lease or accepts
 * proposals.
 */
static void
test_isolated_leader(void)
{
    int leader;
    struct net *n = start_cluster(1, &leader);
    int64_t since;
    int next;

    commit_entries(n, leader, 5);
    isolate_vm(n, leader, true, true);
    since = n->now;
    while (raft_lease_valid(n->nodes[leader].raft, net_clock(n, leader))) {
        net_step(n, NET_MS);
    }
    /* 95% of the election timeout, on a clock that is off by up to 2%. */
    g_assert_cmpint(n->now - since, <, 98 * NET_MS);
    next = net_wait_leader(n, SECOND);
    g_assert_cmpint(next, >=, 0);
    g_assert_cmpint(next, !=, leader);
    g_assert_cmpint(node_status(n, leader).role, !=, RAFT_LEADER);
    g_assert_false(net_propose(n, leader));
    commit_entries(n, next, 5);
    net_end_faults(n);
    run_for(n, SECOND);
    g_assert_cmpuint(n->nodes[leader].applied, ==, n->committed->len);
    check_and_destroy(n);
}

enum cut {
    CUT_IN,     /* the follower receives nothing */
    CUT_BOTH,   /* the follower neither receives nor sends */
    CUT_LEADER, /* only between the follower and the leader */
};

/*
 * Guards against a follower that receives nothing from the leader and forces
 * it to step down by raising the term.
 */
static void
test_isolated_follower(gconstpointer data)
{
    enum cut cut = (enum cut)GPOINTER_TO_INT(data);
    int leader;
    struct net *n = start_cluster(2, &leader);
    int follower = (leader + 1) % 3;
    uint64_t term;

    commit_entries(n, leader, 5);
    term = node_status(n, leader).term;
    if (cut == CUT_LEADER) {
        n->blocked[leader][follower] = true;
        n->blocked[follower][leader] = true;
    }
    else {
        isolate_vm(n, follower, true, cut == CUT_BOTH);
    }
    run_for(n, 3 * SECOND);
    g_assert_cmpuint(node_status(n, follower).term, ==, term);
    net_end_faults(n);
    run_for(n, SECOND);
    g_assert_cmpuint(node_status(n, leader).term, ==, term);
    g_assert_cmpint(node_status(n, leader).role, ==, RAFT_LEADER);
    check_and_destroy(n);
}

/*
 * Guards against a voter that after a restart votes at once for another
 * candidate, although it received a message from a leader just before and that
 * leader's lease is still valid.
 */
static void
test_restarted_voter(void)
{
    for (uint64_t seed = 1; seed <= 100; seed++) {
        int leader;
        struct net *n = start_cluster(seed, &leader);
        int voter = (leader + 1) % 3;
        int other = (leader + 2) % 3;

        n->max_delay_ns = 1;
        n->blocked[leader][other] = true;
        n->blocked[other][leader] = true;
        run_for(n, SECOND + (int64_t)seed * NET_MS);
        isolate_vm(n, leader, true, true);
        net_crash(n, voter, 0);
        n->nodes[voter].max_sync_ns = 1;
        n->nodes[other].max_sync_ns = 1;
        run_for(n, SECOND);
        check_and_destroy(n);
    }
}

/*
 * Guards against a lease that stays valid after TIMEOUT_NOW was sent to the
 * target of a leadership transfer, if the old leader does not learn of the
 * election.
 */
static void
test_transfer_ends_lease(void)
{
    for (uint64_t seed = 1; seed <= 50; seed++) {
        int leader;
        struct net *n = start_cluster(seed, &leader);
        int to = (leader + 1) % 3;
        uint64_t term = node_status(n, leader).term;

        n->max_delay_ns = 1;
        for (int vm = 0; vm < 3; vm++) {
            n->nodes[vm].max_sync_ns = 1;
        }
        run_for(n, 100 * NET_MS);
        g_assert_cmpint(raft_transfer_leadership(n->nodes[leader].raft,
                                                 net_clock(n, leader),
                                                 n->nodes[to].id),
                        ==, RAFT_OK);
        while (node_status(n, to).term == term) {
            net_step(n, NET_MS);
        }
        isolate_vm(n, leader, true, false);
        run_for(n, SECOND);
        check_and_destroy(n);
    }
}

/*
 * Guards against a leadership transfer that takes as long as an election
 * timeout, overlaps the old lease, accepts proposals or loses a commit.
 */
static void
test_transfer(void)
{
    int leader;
    struct net *n = start_cluster(3, &leader);
    int to = (leader + 1) % 3;
    struct raft *r = n->nodes[leader].raft;
    int64_t since;

    commit_entries(n, leader, 5);
    g_assert_cmpint(raft_transfer_leadership(r, net_clock(n, leader), 77), ==,
                    RAFT_ERR_INVALID);
    g_assert_cmpint(
        raft_transfer_leadership(r, net_clock(n, leader), n->nodes[to].id), ==,
        RAFT_OK);
    g_assert_cmpint(raft_propose(r, 0, STR("x"), NULL), ==, RAFT_ERR_BUSY);
    since = n->now;
    while (node_status(n, to).role != RAFT_LEADER && n->now < since + SECOND) {
        net_step(n, NET_MS);
    }
    /* Well below the election timeout of 100 ms. */
    g_assert_cmpint(n->now - since, <, 60 * NET_MS);
    commit_entries(n, to, 5);
    check_and_destroy(n);
}

/*
 * Guards against a leader that stays blocked, or gives up its lease, when the
 * target of a leadership transfer is down.
 */
static void
test_transfer_to_stopped(void)
{
    int leader;
    struct net *n = start_cluster(4, &leader);
    int to = (leader + 1) % 3;

    commit_entries(n, leader, 5);
    net_crash(n, to, 10 * SECOND);
    net_propose(n, leader);
    g_assert_cmpint(raft_transfer_leadership(n->nodes[leader].raft,
                                             net_clock(n, leader),
                                             n->nodes[to].id),
                    ==, RAFT_OK);
    run_for(n, SECOND / 2);
    g_assert_cmpint(node_status(n, leader).role, ==, RAFT_LEADER);
    g_assert_true(
        raft_lease_valid(n->nodes[leader].raft, net_clock(n, leader)));
    commit_entries(n, leader, 5);
    check_and_destroy(n);
}

/*
 * Whether the leader's configuration is exactly the first three VMs, as voters
 * with their current disks.
 */
static bool
is_repaired(struct net *n)
{
    int leader = net_wait_leader(n, SECOND);
    size_t count;
    const struct raft_member *m;

    if (leader < 0) {
        return false;
    }
    m = raft_members(n->nodes[leader].raft, &count);
    for (size_t i = 0; i < count; i++) {
        bool known = false;

        for (int vm = 0; vm < 3; vm++) {
            known = known || n->nodes[vm].id == m[i].id;
        }
        if (!m[i].voter || !known) {
            return false;
        }
    }
    return count == 3;
}

/* Adds vm as a learner until it has replaced its older member. */
static void
rejoin_vm(struct net *n, int vm)
{
    for (int i = 0; i < 100 && !is_repaired(n); i++) {
        struct raft_member m = {n->nodes[vm].id, false, STR("vm0"),
                                STR("127.0.0.1:1")};
        char name[] = {'v', 'm', (char)('0' + vm)};
        int leader = net_wait_leader(n, SECOND);

        m.vm = str_from(name, sizeof(name));
        if (leader >= 0) {
            raft_propose_config(n->nodes[leader].raft, net_clock(n, leader),
                                RAFT_ADD_LEARNER, &m, NULL);
        }
        run_for(n, 50 * NET_MS);
    }
    g_assert_true(is_repaired(n));
}

/*
 * Guards against the loss of committed entries or of the quorum when every
 * disk is lost and replaced in turn, each as soon as the previous one has been
 * replaced.
 */
static void
test_lost_disks(void)
{
    int leader;
    struct net *n = start_cluster(5, &leader);

    commit_entries(n, leader, 40);
    for (int i = 0; i < 7; i++) {
        int vm = i % 3;

        net_lose_disk(n, vm, 5 * NET_MS);
        rejoin_vm(n, vm);
    }
    leader = net_wait_leader(n, SECOND);
    commit_entries(n, leader, 5);
    run_for(n, SECOND);
    for (int vm = 0; vm < 3; vm++) {
        g_assert_cmpuint(n->nodes[vm].applied, ==, n->committed->len);
    }
    check_and_destroy(n);
}

/*
 * Guards against the promotion of a learner that has not received the log, or
 * has received but not synced it.
 */
static void
test_learner_waits(void)
{
    int leader;
    struct net *n = start_cluster(6, &leader);
    struct raft *r = n->nodes[leader].raft;
    struct raft_member m = {n->nodes[4].id, true, STR("vm4"), STR("a")};
    size_t count;

    commit_entries(n, leader, 40);
    n->nodes[4].max_sync_ns = 1;
    isolate_vm(n, 4, true, false);
    g_assert_cmpint(raft_propose_config(r, net_clock(n, leader),
                                        RAFT_ADD_LEARNER, &m, NULL),
                    ==, RAFT_OK);
    g_assert_cmpint(
        raft_propose_config(r, net_clock(n, leader), RAFT_PROMOTE, &m, NULL),
        ==, RAFT_ERR_BUSY);
    run_for(n, SECOND);
    g_assert_cmpint(
        raft_propose_config(r, net_clock(n, leader), RAFT_PROMOTE, &m, NULL),
        ==, RAFT_ERR_NOT_READY);
    g_assert_cmpint(raft_propose_config(r, net_clock(n, leader),
                                        RAFT_ADD_LEARNER, &m, NULL),
                    ==, RAFT_ERR_INVALID);
    /* The learner now receives all entries but syncs none of them. */
    n->nodes[4].max_sync_ns = 1000 * SECOND;
    net_end_faults(n);
    n->nodes[4].max_sync_ns = 1000 * SECOND;
    run_for(n, SECOND);
    g_assert_false(raft_members(r, &count)[count - 1].voter);
    g_assert_cmpuint(count, ==, 4);
    check_and_destroy(n);
}

/*
 * Guards against a leader that goes on leading after its own removal was
 * committed, or prevents the others from electing one.
 */
static void
test_remove_leader(void)
{
    int leader;
    struct net *n = start_cluster(7, &leader);
    struct raft_member m = {.id = n->nodes[leader].id};
    int next;

    commit_entries(n, leader, 5);
    g_assert_cmpint(raft_propose_config(n->nodes[leader].raft,
                                        net_clock(n, leader), RAFT_REMOVE, &m,
                                        NULL),
                    ==, RAFT_OK);
    run_for(n, SECOND);
    next = net_wait_leader(n, SECOND);
    g_assert_cmpint(next, !=, leader);
    commit_entries(n, next, 5);
    run_for(n, 2 * SECOND);
    g_assert_cmpint(node_status(n, leader).role, ==, RAFT_FOLLOWER);
    check_and_destroy(n);
}

/*
 * Guards against unlimited memory use for a member that does not sync, and for
 * proposals that cannot be committed.
 */
static void
test_windows(void)
{
    int leader;
    struct net *n = start_cluster(8, &leader);
    int slow = (leader + 1) % 3;
    struct raft *r = n->nodes[leader].raft;
    struct raft_progress p;
    enum raft_error error = RAFT_OK;

    n->nodes[slow].max_sync_ns = 100 * SECOND;
    net_propose(n, slow);
    for (int i = 0; i < 300; i++) {
        net_propose(n, leader);
        net_step(n, NET_MS);
        g_assert_true(raft_progress(r, 0, n->nodes[slow].id, &p));
        g_assert_cmpuint(p.inflight_bytes, <=, 1500);
    }
    g_assert_cmpuint(n->committed->len, >, 250);
    isolate_vm(n, leader, true, false);
    for (int i = 0; i < 1000 && error == RAFT_OK; i++) {
        error = raft_propose(r, 0, STR("0123456789"), NULL);
    }
    g_assert_cmpint(error, ==, RAFT_ERR_FULL);
    check_and_destroy(n);
}

/*
 * Guards against a node that sends messages or holds a valid lease after a
 * failed write.
 */
static void
test_storage_failure(void)
{
    int leader;
    struct net *n = start_cluster(9, &leader);
    struct raft *r = n->nodes[leader].raft;
    struct raft_output out;

    commit_entries(n, leader, 5);
    net_propose(n, leader);
    raft_storage_failed(r, net_clock(n, leader));
    g_assert_false(raft_lease_valid(r, net_clock(n, leader)));
    g_assert_cmpint(raft_propose(r, 0, STR("x"), NULL), ==, RAFT_ERR_FAILED);
    for (int i = 0; i < 2000; i++) {
        net_step(n, NET_MS);
        g_assert_false(raft_ready(r, net_clock(n, leader), &out));
        raft_advance(r);
    }
    commit_entries(n, net_wait_leader(n, SECOND), 5);
    check_and_destroy(n);
}

/*
 * Guards against an entry that is not sent again until the next proposal when
 * its only append was lost. The reply to a heartbeat tells the leader that the
 * entry is missing.
 */
static void
test_lost_append(void)
{
    int64_t longest = 0;
    int64_t sum = 0;

    for (uint64_t seed = 1; seed <= 100; seed++) {
        int leader;
        struct net *n = start_cluster(seed, &leader);
        int64_t since;
        guint goal;

        commit_entries(n, leader, 5);
        run_for(n, 50 * NET_MS);
        goal = n->committed->len + 1;
        isolate_vm(n, leader, false, true);
        g_assert_true(net_propose(n, leader));
        net_step(n, NET_MS);
        net_end_faults(n);
        since = n->now;
        while (n->committed->len < goal && n->now - since < SECOND) {
            net_step(n, NET_MS);
        }
        g_assert_cmpuint(n->committed->len, >=, goal);
        longest = MAX(longest, n->now - since);
        sum += n->now - since;
        g_assert_cmpint(node_status(n, leader).role, ==, RAFT_LEADER);
        check_and_destroy(n);
    }
    g_test_message("committed after %.1f ms, at most %.0f ms",
                   (double)sum / 100 / NET_MS, (double)longest / NET_MS);
}

/* Guards against a VM that starts elections without a configuration. */
static void
test_no_configuration(void)
{
    int leader;
    struct net *n = start_cluster(10, &leader);

    run_for(n, 5 * SECOND);
    for (int vm = 3; vm < n->vms; vm++) {
        g_assert_cmpuint(node_status(n, vm).term, ==, 0);
        g_assert_cmpint(raft_transfer_leadership(n->nodes[vm].raft, 0, 0), ==,
                        RAFT_ERR_NOT_LEADER);
    }
    check_and_destroy(n);
}

/*
 * Guards against freeing all entries that a snapshot covers in one step, which
 * blocks the thread, and against entries that are never freed.
 */
static void
test_compaction_steps(void)
{
    int leader;
    struct net *n = start_cluster(12, &leader);
    uint64_t first;

    commit_entries(n, leader, 2500);
    first = node_status(n, leader).first;
    raft_snapshot_saved(n->nodes[leader].raft, node_status(n, leader).applied);
    g_assert_cmpuint(node_status(n, leader).first, >, first);
    g_assert_cmpuint(node_status(n, leader).first, <=, first + 1000);
    run_for(n, 1000 * NET_MS);
    g_assert_cmpuint(node_status(n, leader).first, >, 2400);
    check_and_destroy(n);
}

/*
 * Guards against a member that never catches up by a snapshot, if the leader
 * has dropped the entries that it lacks and crashes during the transfer.
 */
static void
test_snapshot(void)
{
    int leader;
    struct net *n = start_cluster(11, &leader);
    int behind = (leader + 1) % 3;

    net_crash(n, behind, 1000 * SECOND);
    for (int i = 0; i < 6; i++) {
        commit_entries(n, leader, 20);
        run_for(n, 100 * NET_MS);
        net_take_snapshot(n, leader);
        net_take_snapshot(n, 3 - leader - behind);
    }
    run_for(n, 10 * NET_MS);
    g_assert_cmpuint(node_status(n, leader).first, >, 60);
    /* A member that is down must not keep the leader from compacting. */
    run_for(n, 300 * NET_MS);
    g_assert_null(n->nodes[behind].raft);
    g_assert_false(raft_is_sending_snapshot(n->nodes[leader].raft));
    /* The leader crashes while it sends the snapshot. */
    n->nodes[behind].restart_at_ns = n->now;
    while (!raft_is_sending_snapshot(n->nodes[leader].raft)) {
        net_step(n, NET_MS);
    }
    g_assert_cmpuint(n->installs, ==, 0);
    net_crash(n, leader, 20 * NET_MS);
    run_for(n, 2 * SECOND);
    g_assert_cmpuint(n->installs, >=, 1);
    g_assert_cmpuint(n->nodes[behind].applied, ==, n->committed->len);
    check_and_destroy(n);
}

/* Guards against a crash or a state change on bytes that are not a message. */
static void
test_malformed(void)
{
    int leader;
    struct net *n = start_cluster(12, &leader);
    int vm = (leader + 1) % 3;
    char bytes[64];
    uint64_t term;

    commit_entries(n, leader, 5);
    term = node_status(n, vm).term;
    for (int i = 0; i < 20000; i++) {
        size_t len = rng_below(&n->rng, sizeof(bytes));

        for (size_t k = 0; k < len; k++) {
            bytes[k] = (char)rng_next(&n->rng);
        }
        raft_receive(n->nodes[vm].raft, net_clock(n, vm), 1,
                     str_from(bytes, len));
    }
    g_assert_cmpuint(node_status(n, vm).term, ==, term);
    commit_entries(n, leader, 5);
    check_and_destroy(n);
}

/* Guards against behaviour that depends on more than the seed and inputs. */
static void
test_deterministic(void)
{
    uint64_t state_hash[2];

    for (int i = 0; i < 2; i++) {
        int leader;
        struct net *n = start_cluster(13, &leader);

        commit_entries(n, leader, 50);
        net_crash(n, leader, SECOND);
        commit_entries(n, net_wait_leader(n, SECOND), 50);
        state_hash[i] = g_array_index(n->committed, struct net_commit,
                                      n->committed->len - 1)
                            .state_hash;
        check_and_destroy(n);
    }
    g_assert_true(state_hash[0] == state_hash[1]);
}

/*
 * Guards against a configuration change by a leader that has not committed an
 * entry of its term.
 */
static void
test_change_needs_commit(void)
{
    int leader;
    struct net *n = start_cluster(14, &leader);
    struct raft_member m = {99, false, STR("vm9"), STR("a")};
    int next = leader;

    commit_entries(n, leader, 5);
    net_crash(n, leader, SECOND);
    while (next == leader) {
        net_step(n, NET_MS);
        for (int vm = 0; vm < 3; vm++) {
            if (vm != leader && node_status(n, vm).role == RAFT_LEADER) {
                next = vm;
            }
        }
    }
    g_assert_false(raft_lease_valid(n->nodes[next].raft, net_clock(n, next)));
    g_assert_cmpint(raft_propose_config(n->nodes[next].raft,
                                        net_clock(n, next), RAFT_ADD_LEARNER,
                                        &m, NULL),
                    ==, RAFT_ERR_NOT_READY);
    check_and_destroy(n);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/raft/isolated-leader", test_isolated_leader);
    g_test_add_data_func("/raft/follower-hears-nothing",
                         GINT_TO_POINTER(CUT_IN), test_isolated_follower);
    g_test_add_data_func("/raft/follower-isolated", GINT_TO_POINTER(CUT_BOTH),
                         test_isolated_follower);
    g_test_add_data_func("/raft/follower-cut-from-leader",
                         GINT_TO_POINTER(CUT_LEADER), test_isolated_follower);
    g_test_add_func("/raft/restarted-voter", test_restarted_voter);
    g_test_add_func("/raft/transfer-ends-lease", test_transfer_ends_lease);
    g_test_add_func("/raft/change-needs-commit", test_change_needs_commit);
    g_test_add_func("/raft/transfer", test_transfer);
    g_test_add_func("/raft/transfer-to-dead", test_transfer_to_stopped);
    g_test_add_func("/raft/lost-disks", test_lost_disks);
    g_test_add_func("/raft/learner-waits", test_learner_waits);
    g_test_add_func("/raft/remove-leader", test_remove_leader);
    g_test_add_func("/raft/windows", test_windows);
    g_test_add_func("/raft/storage-failure", test_storage_failure);
    g_test_add_func("/raft/lost-append", test_lost_append);
    g_test_add_func("/raft/no-configuration", test_no_configuration);
    g_test_add_func("/raft/compact-slices", test_compaction_steps);
    g_test_add_func("/raft/snapshot", test_snapshot);
    g_test_add_func("/raft/malformed", test_malformed);
    g_test_add_func("/raft/deterministic", test_deterministic);
    return g_test_run();
}
