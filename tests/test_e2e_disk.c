/* End-to-end faults of a disk that is full, fails or is slow: the size of the
 * files that a running control VM may write is limited, or its operations are
 * those of guavarockd_faulty. */
#include <signal.h>
#include <stdio.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"
#include "proc.h"

enum {
    JOBS = 4,
    SMALL_CPU_MILLI = 1000,
    /* More than lead to a snapshot. */
    SNAPSHOT_CHANGES = 2 * CLUSTER_SNAPSHOT_ENTRIES,
};

static const char step_down[] = "this member stops voting and acknowledging";

/* Adds to the log until the VM cannot write; returns the version of the teams
 * that was reported last. */
static int64_t
write_until_failed(struct cluster *c, int vm)
{
    int64_t until = clock_now() + 15 * NS_PER_S;
    char prefix[32];
    int64_t version = 0;

    for (int i = 0; !cluster_vm_logged(c, vm, step_down); i++) {
        g_assert_cmpint(clock_now(), <, until);
        version = e2e_change_teams(c, i + 2, -1);
        snprintf(prefix, sizeof(prefix), "during%d", i);
        e2e_put_jobs(c, prefix, JOBS, "run_ms=100");
    }
    return version;
}

/* The member whose disk is full runs on, does not lead and, as every entry,
 * obeys the configuration that the others have accepted. */
static void
check_failed(struct cluster *c, int vm, int other)
{
    struct cluster_key key = api_key_create(c, "team", "lamps");
    struct cluster_key team = c->team;
    char outcome[16];

    g_assert_cmpint(proc_wait(c->vms[vm].pid, 0), ==, PROC_RUNNING);
    g_assert_false(cluster_vm_leads(c, vm));
    load_await(c, vm);
    api_key_withdraw(c, key.id, other);
    c->team = key;
    for (int i = 0; i < 10 * c->count; i++) {
        g_assert_cmpint(load_once(c, i % c->count, outcome), !=, 200);
    }
    c->team = team;
}

/* After the restart the member is needed for a quorum. */
static void
check_caught_up(struct cluster *c, int vm, int other, int64_t version)
{
    cluster_vm_kill(c, other);
    cluster_leader(c, other);
    g_assert_cmpint(api_list_version(c, "teams", vm), >=, version);
    e2e_put_jobs(c, "after", JOBS, "run_ms=100");
    cluster_vm_start(c, other);
    cluster_await_whole(c);
}

/* lines NULL: the size of files is limited. */
static void
set_fault(struct cluster *c, int vm, const char *lines, bool on)
{
    if (lines == NULL) {
        cluster_vm_limit_files(c, vm, on);
    }
    else {
        cluster_vm_fault(c, vm, on ? lines : NULL);
    }
}

/* The disk recovers before the process is restarted. */
static void
fail_disk(bool leader, const char *lines)
{
    struct cluster *c;
    struct load *load;
    int vm;
    int other;
    int64_t version;

    if (lines != NULL) {
        cluster_use_faulty(NULL);
    }
    c = e2e_start(3, 0, false);
    load = e2e_load(c, 6);
    vm = leader ? cluster_leader(c, -1) : cluster_follower(c);

    e2e_put_jobs(c, "before", JOBS, "run_ms=1500");
    load_await_more(load, 30);
    set_fault(c, vm, lines, true);
    version = write_until_failed(c, vm);
    other = cluster_leader(c, vm);
    g_assert_cmpint(api_list_version(c, "teams", other), ==, version);
    load_await_more(load, 30);
    check_failed(c, vm, other);
    version = e2e_change_teams(c, 1000, other);
    set_fault(c, vm, lines, false);
    /* A failed write is not tried again by the same process. */
    g_assert_false(cluster_vm_leads(c, vm));
    cluster_vm_stop(c, vm);
    cluster_vm_start(c, vm);
    cluster_await_whole(c);
    load_await_more(load, 30);
    check_caught_up(c, vm, other, version);
    load_stop(load);
    e2e_finish(c);
}

/* Guards against a leader that dies of the failed write, goes on leading, or
 * acknowledges what it could not write. */
static void
test_leader(void)
{
    fail_disk(true, NULL);
}

/* Guards against a follower that votes or counts for a commit without having
 * written it, and against one that stops the others. */
static void
test_follower(void)
{
    fail_disk(false, NULL);
}

/* The same for a sync that fails, and with data that was written before. */
static void
test_leader_sync(void)
{
    fail_disk(true, "fsync 5 0 0\n");
}

/* Guards against a process that goes on after one failed sync, although what
 * it wrote before may be lost. */
static void
test_follower_sync_once(void)
{
    fail_disk(false, "fsync 5 0 1\n");
}

/* Log files can be written, but the next snapshot cannot be created. */
static void
test_leader_snapshot(void)
{
    fail_disk(true, "open 28 0 0\n");
}

/* Guards against a leader that is lost by a slow disk, and against commits
 * that do not wait for a majority of disks: two of three are slow, and then
 * only these are left. */
static void
test_slow(void)
{
    struct cluster *c;
    struct load *load;
    int leader;
    int slow;
    int good;
    int64_t version;

    cluster_use_faulty(NULL);
    c = e2e_start(3, 0, false);
    load = e2e_load(c, 6);
    leader = cluster_leader(c, -1);
    slow = (leader + 1) % 3;
    good = (leader + 2) % 3;
    cluster_vm_fault(c, leader, "fsync 0 1500 0\n");
    e2e_run_jobs(c, "leader-slow", JOBS, SMALL_CPU_MILLI, "run_ms=300");
    for (int i = 0; !cluster_vm_logged(c, leader, "raft: snapshot at"); i++) {
        g_assert_cmpint(i, <, SNAPSHOT_CHANGES);
        e2e_change_teams(c, i + 2, -1);
    }
    load_await_more(load, 30);
    g_assert_true(cluster_vm_leads(c, leader));
    cluster_vm_fault(c, leader, "fsync 0 300 0\n");
    cluster_vm_fault(c, slow, "fsync 0 300 0\n");
    e2e_put_jobs(c, "two-slow", JOBS, "run_ms=50");
    cluster_vm_kill(c, good);
    cluster_vm_wipe(c, good);
    version = e2e_change_teams(c, 100, -1);
    cluster_vm_start(c, good);
    cluster_await_whole(c);
    load_await_more(load, 30);
    cluster_vm_fault(c, leader, NULL);
    cluster_vm_fault(c, slow, NULL);
    check_caught_up(c, good, leader, version);
    load_stop(load);
    e2e_finish(c);
}

/* Guards against a leader with a failing disk that holds up the replacement
 * of another member that it has begun. */
static void
test_leader_membership(void)
{
    struct cluster *c;
    int leader;
    int emptied;
    int64_t version;

    cluster_use_faulty(NULL);
    c = e2e_start(5, 0, false);
    leader = cluster_leader(c, -1);
    emptied = (leader + 1) % 5;
    version = e2e_change_teams(c, 9, -1);
    cluster_vm_kill(c, emptied);
    cluster_vm_wipe(c, emptied);
    cluster_vm_fault(c, leader, "fsync 0 200 0\n");
    cluster_vm_start(c, emptied);
    AWAIT(cluster_vm_logged(c, leader, "learner"));
    cluster_vm_fault(c, leader, "fsync 5 0 0\n");
    AWAIT(cluster_vm_logged(c, leader, step_down));
    cluster_leader(c, leader);
    e2e_put_jobs(c, "job", JOBS, "run_ms=50");
    cluster_await_whole(c);
    cluster_vm_fault(c, leader, NULL);
    cluster_vm_kill(c, leader);
    cluster_vm_start(c, leader);
    cluster_await_whole(c);
    check_caught_up(c, emptied, (leader + 2) % 5, version);
    e2e_finish(c);
}

/* Guards against a process that runs without being able to write, or takes
 * what it cannot write for an empty disk. */
static void
test_start(void)
{
    struct cluster *c;
    int vm;
    int64_t version;

    cluster_use_faulty(NULL);
    c = e2e_start(3, 0, false);
    vm = cluster_follower(c);
    for (int emptied = 0; emptied < 2; emptied++) {
        cluster_vm_kill(c, vm);
        if (emptied) {
            cluster_vm_wipe(c, vm);
        }
        cluster_vm_fault(c, vm, "open 28 0 0\nwrite 28 0 0\n");
        cluster_vm_start(c, vm);
        version = e2e_change_teams(c, 20 + emptied, -1);
        g_assert_cmpint(proc_wait(c->vms[vm].pid, 5000), ==, 1);
        g_assert_true(cluster_vm_logged(c, vm, "disk full"));
        c->vms[vm].pid = 0;
        cluster_vm_fault(c, vm, NULL);
        cluster_vm_start(c, vm);
        cluster_await_whole(c);
        check_caught_up(c, vm, (vm + 1) % 3, version);
    }
    e2e_finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/disk/leader-full", test_leader);
    e2e_case("/e2e/disk/follower-full", test_follower);
    e2e_case("/e2e/disk/leader-sync", test_leader_sync);
    e2e_case("/e2e/disk/follower-sync-once", test_follower_sync_once);
    e2e_case("/e2e/disk/leader-snapshot", test_leader_snapshot);
    e2e_case("/e2e/disk/slow", test_slow);
    e2e_case("/e2e/disk/leader-membership", test_leader_membership);
    e2e_case("/e2e/disk/start", test_start);
    return e2e_run(argc, argv);
}
