/*
 * Random schedules of cuts, pauses and stops on a simulated control group
 * whose leader removes silent members and whose nodes ask to be added. The
 * environment variables GV_GROUP_SEEDS and GV_GROUP_FIRST set the number of
 * schedules and the first seed.
 */
#include <glib.h>
#include <stdlib.h>

#include "membership.h"
#include "raft_net.h"

enum {
    STEPS = 4000, /* of 1 ms */
    POLICY_INTERVAL_MS = 50,
    FAULT_PER_MILLE = 6,
    /* Bound on the time from the end of all faults until every node votes. */
    RETURN_MS = 5000,
    DISKS_LOST = 2,
    MEMBERS_MAX_SEEN = 16,
};

static uint64_t
env_number(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);

    return text == NULL ? fallback : strtoull(text, NULL, 10);
}

static bool
is_running(const struct net *n, int vm)
{
    return n->nodes[vm].raft != NULL && n->nodes[vm].paused_until_ns <= n->now;
}

static bool
is_member(const struct raft *r, uint64_t id)
{
    size_t count;
    const struct raft_member *m = raft_members(r, &count);

    for (size_t i = 0; i < count; i++) {
        if (m[i].id == id) {
            return true;
        }
    }
    return false;
}

/* What group_remove_silent_member() does. */
static void
remove_silent_member(struct net *n, int leader)
{
    struct raft *r = n->nodes[leader].raft;
    struct membership_peer peers[MEMBERS_MAX_SEEN];
    size_t count;
    const struct raft_member *m = raft_members(r, &count);
    size_t at;

    for (size_t i = 0; i < count; i++) {
        struct raft_progress progress = {.active = true};

        raft_progress(r, net_clock(n, leader), m[i].id, &progress);
        peers[i] = (struct membership_peer){
            m[i].voter, m[i].id == n->nodes[leader].id, progress.active,
            progress.promotion_blocked, progress.silent_since};
    }
    at = membership_pick_removal(peers, count, net_clock(n, leader));
    if (at < count) {
        raft_propose_config(r, net_clock(n, leader), RAFT_REMOVE, &m[at],
                            NULL);
    }
}

/* What group_join_step() and group_handle_join() do: a node that is no member,
 * or hears from no leader, asks every node that it reaches. */
static void
ask_to_join(struct net *n, int vm)
{
    struct raft_member self = net_member(n, vm, false);
    struct raft_status status;

    raft_status(n->nodes[vm].raft, &status);
    if (status.leader != 0 && is_member(n->nodes[vm].raft, self.id)) {
        return;
    }
    for (int to = 0; to < n->vms; to++) {
        if (to != vm && is_running(n, to) && !n->blocked[vm][to] &&
            !is_member(n->nodes[to].raft, self.id)) {
            raft_propose_config(n->nodes[to].raft, net_clock(n, to),
                                RAFT_ADD_LEARNER, &self, NULL);
        }
    }
}

static void
run_policy(struct net *n)
{
    for (int vm = 0; vm < n->vms; vm++) {
        struct raft_status status;

        if (!is_running(n, vm)) {
            continue;
        }
        raft_status(n->nodes[vm].raft, &status);
        if (status.role == RAFT_LEADER) {
            remove_silent_member(n, vm);
        }
        ask_to_join(n, vm);
    }
}

static void
cause_fault(struct net *n)
{
    int vm = (int)rng_below(&n->rng, (uint64_t)n->vms);
    int64_t time = (int64_t)(200 + rng_below(&n->rng, 2000)) * NET_MS;

    switch (rng_below(&n->rng, 4)) {
    case 0:
        net_crash(n, vm, time);
        break;
    case 1:
        n->nodes[vm].paused_until_ns = n->now + time;
        break;
    case 2:
        for (int i = 0; i < n->vms; i++) {
            n->blocked[i][vm] = n->blocked[vm][i] = true;
        }
        break;
    default:
        for (int i = 0; i < n->vms; i++) {
            for (int k = 0; k < n->vms; k++) {
                n->blocked[i][k] = false;
            }
        }
        break;
    }
}

/* Whether the leader has every node, and no other, as an active voter. */
static bool
all_vote(struct net *n)
{
    int leader = net_wait_leader(n, 1);
    size_t count;
    const struct raft_member *m;

    if (leader < 0) {
        return false;
    }
    m = raft_members(n->nodes[leader].raft, &count);
    for (size_t i = 0; i < count; i++) {
        struct raft_progress progress;

        if (!m[i].voter ||
            !raft_progress(n->nodes[leader].raft, net_clock(n, leader),
                           m[i].id, &progress) ||
            !progress.active) {
            return false;
        }
    }
    for (int vm = 0; vm < n->vms; vm++) {
        if (!is_member(n->nodes[leader].raft, n->nodes[vm].id)) {
            return false;
        }
    }
    return count == (size_t)n->vms;
}

static void
step(struct net *n, int ms)
{
    net_step(n, NET_MS);
    if (ms % POLICY_INTERVAL_MS == 0) {
        run_policy(n);
    }
    net_propose(n, (int)rng_below(&n->rng, (uint64_t)n->vms));
}

/* Returns whether all nodes vote within RETURN_MS. */
static bool
returns(struct net *n)
{
    for (int ms = 0; ms < RETURN_MS; ms++) {
        step(n, ms);
        if (all_vote(n)) {
            return true;
        }
    }
    return false;
}

/* Writes what went wrong, or an empty string. */
static void
run_schedule(uint64_t seed, char *problem, size_t size)
{
    struct net *n = net_create(seed, MEMBERSHIP_VOTERS, NET_BUG_NONE);

    problem[0] = '\0';
    net_wait_leader(n, 2000 * NET_MS);
    for (int ms = 0; ms < STEPS && n->violation[0] == '\0'; ms++) {
        step(n, ms);
        if (rng_below(&n->rng, 1000) < FAULT_PER_MILLE) {
            cause_fault(n);
        }
    }
    net_end_faults(n);
    if (!returns(n)) {
        g_strlcpy(problem, "not all nodes vote after the faults", size);
    }
    else {
        int first = (int)rng_below(&n->rng, (uint64_t)n->vms);

        for (int i = 0; i < DISKS_LOST; i++) {
            net_lose_disk(n, (first + i) % n->vms, 100 * NET_MS);
        }
        if (!returns(n)) {
            g_strlcpy(problem, "not all nodes vote after two disks were lost",
                      size);
        }
    }
    if (n->violation[0] != '\0') {
        g_strlcpy(problem, n->violation, size);
    }
    net_destroy(n);
}

/* Guards against a control VM that is removed while it cannot hear and never
 * votes again, and against a group that does not survive the loss of two disks
 * some time after cuts, pauses and stops. */
static void
schedules(void)
{
    uint64_t first = env_number("GV_GROUP_FIRST", 1);
    uint64_t seeds = env_number("GV_GROUP_SEEDS", 60);
    char problem[160];

    for (uint64_t seed = first; seed < first + seeds; seed++) {
        run_schedule(seed, problem, sizeof(problem));
        if (problem[0] != '\0') {
            g_test_message("seed %" G_GUINT64_FORMAT ": %s", seed, problem);
            g_test_fail();
            return;
        }
    }
}

/* Whether the leader has the node as a voter, and how many voters. */
static bool
votes(struct net *n, int vm, size_t voters)
{
    int leader = net_wait_leader(n, 1);
    size_t count;
    const struct raft_member *m;
    bool found = false;

    if (leader < 0) {
        return false;
    }
    m = raft_members(n->nodes[leader].raft, &count);
    for (size_t i = 0; i < count; i++) {
        found = found || (m[i].voter && m[i].id == n->nodes[vm].id);
        voters -= m[i].voter;
    }
    return found && voters == 0;
}

/* Guards against a successor that stays a learner since two voters of five, or
 * one of three, were gone before it caught up. */
static void
silent_voters_are_replaced(void)
{
    enum {
        SUCCESSOR = NET_VMS - 1,
        SILENT_MS = 1500,
    };

    for (uint64_t seed = 1; seed <= 20; seed++) {
        int size = seed % 2 == 0 ? MEMBERSHIP_VOTERS : 3;
        struct net *n = net_create(seed, size, NET_BUG_NONE);
        bool replaced = false;

        for (int vm = size; vm < NET_VMS; vm++) {
            n->nodes[vm].paused_until_ns = INT64_MAX;
        }
        g_assert_cmpint(net_wait_leader(n, 2000 * NET_MS), >=, 0);
        for (int vm = size / 2 + 1; vm < size; vm++) {
            n->nodes[vm].paused_until_ns = INT64_MAX;
        }
        for (int ms = 0; ms < SILENT_MS; ms++) {
            step(n, ms);
        }
        n->nodes[SUCCESSOR].paused_until_ns = 0;
        for (int ms = 0; ms < RETURN_MS && !replaced; ms++) {
            step(n, ms);
            replaced = votes(n, SUCCESSOR, (size_t)size);
        }
        g_assert_cmpstr(n->violation, ==, "");
        g_assert_true(replaced);
        net_destroy(n);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/group/schedules", schedules);
    g_test_add_func("/group/silent-voters-are-replaced",
                    silent_voters_are_replaced);
    return g_test_run();
}
