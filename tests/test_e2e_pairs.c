/* End-to-end faults that strike twice, or two together. */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"

enum {
    JOBS = 10,
    LIMIT = 4,
    FILL = 8, /* a quarter of a worker each, so that they fill both */
    QUARTER_CPU_MILLI = 4000,
    BIG_CPU_MILLI = 9000, /* one on each worker */
    SMALL_CPU_MILLI = 1000,
};

/* Guards against work that is lost when a leader dies that has not yet
 * settled what it took over from a dead one. */
static void
test_leader_twice(void)
{
    struct cluster *c = e2e_start(5, 0, false);
    struct load *load = e2e_load(c, 6);
    int first = cluster_leader(c, -1);
    int second;
    int64_t version;

    e2e_put_jobs(c, "before", JOBS, "run_ms=1500");
    version = e2e_change_teams(c, 3, -1);
    load_await_more(load, 30);
    cluster_vm_kill(c, first);
    second = cluster_leader(c, first);
    cluster_vm_kill(c, second);
    cluster_leader(c, -1);
    g_assert_cmpint(api_list_version(c, "teams", -1), ==, version);
    e2e_put_jobs(c, "after", JOBS, "run_ms=100");
    cluster_vm_start(c, first);
    cluster_vm_start(c, second);
    cluster_await_whole(c);
    load_await_more(load, 30);
    load_stop(load);
    e2e_finish(c);
}

/* Guards against a new leader that starts the tasks of a worker elsewhere
 * while the lease that its predecessor granted may still be valid. */
static void
test_leader_killed_worker_frozen(void)
{
    struct cluster *c = e2e_start(3, 0, false);
    int old = cluster_leader(c, -1);

    e2e_run_jobs(c, "job", FILL, QUARTER_CPU_MILLI, "until=frozen");
    cluster_fake_freeze(c, 0, true);
    e2e_release(c, "frozen");
    cluster_vm_kill(c, old);
    cluster_leader(c, old);
    /* Tasks of the paused worker have started elsewhere. */
    AWAIT(e2e_starts(c, "job") > FILL);
    cluster_fake_freeze(c, 0, false);
    cluster_await_workers(c, 2);
    for (int i = 0; i < FILL; i += 2) {
        char id[32];

        snprintf(id, sizeof(id), "job-%d", i);
        api_await_job(c, id, "done");
    }
    cluster_vm_start(c, old);
    cluster_await_whole(c);
    e2e_finish(c);
}

struct sender {
    struct cluster *c;
    int vm;
    const char *tag;
    long status;
    char outcome[16];
};

static void *
send_slow(void *arg)
{
    struct sender *s = arg;
    char url[64];
    const struct load_request r = {.url = url,
                                   .tag = s->tag,
                                   .key_id = s->c->team.id,
                                   .key = s->c->team.key,
                                   .idempotency = s->tag,
                                   .delay_ms = E2E_KILLED_DELAY_MS};

    snprintf(url, sizeof(url), "http://%s", s->c->vms[s->vm].http);
    s->status = load_send(s->c->client, s->c->history, &r, s->outcome);
    return NULL;
}

/* Kills the entry once an endpoint has the request with that tag; cuts the VM
 * cut off before, unless it is -1. */
static void
kill_with_request(struct cluster *c, int entry, const char *tag, int cut)
{
    struct sender s = {.c = e2e_clone(c), .vm = entry, .tag = tag};
    pthread_t thread;

    REQUIRE(pthread_create(&thread, NULL, send_slow, &s) == 0);
    AWAIT(e2e_has_arrived(c, tag));
    if (cut >= 0) {
        cluster_vm_cut(c, cut, CLUSTER_CUT_BOTH);
    }
    cluster_vm_kill(c, entry);
    pthread_join(thread, NULL);
    e2e_clone_free(s.c);
}

static bool
is_unknown(struct cluster *c, int vm, const char *tag)
{
    struct sender s = {.c = c, .vm = vm, .tag = tag};

    send_slow(&s);
    return strcmp(s.outcome, "unknown") == 0;
}

/* Guards against a request that runs twice, or an outcome that stays open,
 * when its entry dies while no leader can be reached. */
static void
test_entry_killed_leader_cut(void)
{
    struct cluster *c = e2e_start(3, 1, true);
    int old = cluster_leader(c, -1);
    int other;

    e2e_put_jobs(c, "before", JOBS, "run_ms=1000");
    kill_with_request(c, 3, "cut-1", old);
    other = cluster_leader(c, old);
    AWAIT(is_unknown(c, other, "cut-1"));
    cluster_vm_start(c, 3);
    cluster_await_ready(c, 3);
    cluster_vm_heal(c, old);
    cluster_await_whole(c);
    AWAIT(is_unknown(c, old, "cut-1"));
    e2e_finish(c);
}

/* Guards against units or requests of an entry's two earlier processes that
 * are mistaken for one another's. */
static void
test_entry_twice(void)
{
    struct cluster *c = e2e_start(3, 1, false);
    struct load *load = e2e_load(c, 4);

    load_await_more(load, 20);
    kill_with_request(c, 3, "twice-1", -1);
    cluster_vm_start(c, 3);
    load_await(c, 3);
    kill_with_request(c, 3, "twice-2", -1);
    cluster_vm_start(c, 3);
    cluster_await_ready(c, 3);
    AWAIT(is_unknown(c, 3, "twice-1"));
    AWAIT(is_unknown(c, 3, "twice-2"));
    load_await(c, 3);
    cluster_await_whole(c);
    load_await_more(load, 20);
    load_stop(load);
    e2e_finish(c);
}

/* Guards against an emptied VM that counts towards a quorum with another that
 * has just restarted: both may lack what was accepted. */
static void
test_data_emptied_other_restarted(void)
{
    struct cluster *c = e2e_start(3, 0, false);
    int emptied = cluster_follower(c);
    int restarted = (emptied + 1) % 3;
    int64_t version;

    e2e_put_jobs(c, "before", JOBS, "run_ms=500");
    version = e2e_change_teams(c, 5, -1);
    cluster_vm_kill(c, restarted);
    cluster_vm_kill(c, emptied);
    cluster_vm_wipe(c, emptied);
    cluster_vm_start(c, emptied);
    cluster_vm_start(c, restarted);
    cluster_await_whole(c);
    for (int vm = 0; vm < 3; vm++) {
        g_assert_cmpint(api_list_version(c, "teams", vm), ==, version);
    }
    e2e_put_jobs(c, "after", JOBS, "run_ms=100");
    e2e_finish(c);
}

/* Guards against a paused leader that starts tasks above a limit that was
 * lowered meanwhile, or of jobs that were cancelled, when it continues. */
static void
test_leader_frozen_limit_cancel(void)
{
    struct cluster *c = e2e_start(3, 0, false);
    int old = cluster_leader(c, -1);

    e2e_put_jobs(c, "long", 2 * JOBS, "run_ms=-1");
    e2e_put_jobs(c, "other", JOBS, "run_ms=-1");
    AWAIT(e2e_status(c, "tasks_running") == 3L * JOBS);
    e2e_put_jobs(c, "queued", JOBS, "run_ms=300");
    cluster_vm_freeze(c, old, true);
    cluster_leader(c, old);
    e2e_cancel(c, "long");
    api_limit_tasks(c, LIMIT);
    AWAIT(e2e_status(c, "tasks_running") <= LIMIT);
    cluster_vm_freeze(c, old, false);
    cluster_await_whole(c);
    g_assert_cmpstr(api_job_state(c, "long-0"), ==, "cancelled");
    g_assert_cmpint(e2e_status(c, "tasks_running"), <=, LIMIT);
    e2e_cancel(c, "other");
    for (int i = 0; i < JOBS; i += 2) {
        char id[32];

        snprintf(id, sizeof(id), "queued-%d", i);
        api_await_job(c, id, "done");
    }
    e2e_finish(c);
}

/* Submits jobs that are not idempotent and run until they are stopped, or for
 * a moment when they are urgent. */
static void
put_once(const struct cluster *c, const char *prefix, int count, int cpu_milli,
         bool urgent)
{
    char id[32];

    for (int i = 0; i < count; i++) {
        const struct api_job job = {.id = id,
                                    .cpu_milli = cpu_milli,
                                    .urgent = urgent,
                                    .payload =
                                        urgent ? "run_ms=50" : "run_ms=-1"};

        snprintf(id, sizeof(id), "%s-%d", prefix, i);
        g_assert_cmpint(api_job_put(c, &job), ==, 200);
    }
}

static void
pass(int ms)
{
    int64_t until = clock_now() + ms * NS_PER_MS;

    AWAIT(clock_now() > until);
}

static void
freeze_followers(struct cluster *c, int leader, bool frozen)
{
    for (int vm = 0; vm < c->control; vm++) {
        if (vm != leader) {
            cluster_vm_freeze(c, vm, frozen);
        }
    }
}

/* Pauses the followers again and again, shorter than an election takes, so
 * that a placement waits for its commit when the next lease expires. */
static void
expire_workers(struct cluster *c)
{
    do {
        int leader = cluster_leader(c, -1);

        freeze_followers(c, leader, true);
        pass(CLUSTER_ELECTION_MS / 2);
        freeze_followers(c, leader, false);
    } while (e2e_status(c, "workers") != 0);
}

/* Guards against a task that is placed on a worker at the moment at which the
 * worker's lease expires, was never offered to it, and stays queued for good
 * because it counts as started. */
static void
test_workers_frozen_queue(void)
{
    struct cluster *c = e2e_start(3, 0, false);

    api_limit_tasks(c, 2);
    put_once(c, "big", 2, BIG_CPU_MILLI, false);
    AWAIT(e2e_starts(c, "big") == 2);
    put_once(c, "queued", JOBS, SMALL_CPU_MILLI, true);
    cluster_fake_freeze(c, 0, true);
    cluster_fake_freeze(c, 1, true);
    expire_workers(c);
    cluster_fake_freeze(c, 0, false);
    cluster_fake_freeze(c, 1, false);
    cluster_await_workers(c, 2);
    e2e_cancel(c, "big");
    e2e_finish(c);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/pair/leader-twice", test_leader_twice);
    e2e_case("/e2e/pair/leader-killed-worker-frozen",
             test_leader_killed_worker_frozen);
    e2e_case("/e2e/pair/entry-killed-leader-cut",
             test_entry_killed_leader_cut);
    e2e_case("/e2e/pair/entry-twice", test_entry_twice);
    e2e_case("/e2e/pair/data-emptied-other-restarted",
             test_data_emptied_other_restarted);
    e2e_case("/e2e/pair/leader-frozen-limit-cancel",
             test_leader_frozen_limit_cancel);
    e2e_case("/e2e/pair/workers-frozen-queue", test_workers_frozen_queue);
    return e2e_run(argc, argv);
}
