#include <glib.h>

#include "sched_rig.h"

/* Guards against a task told to its worker before the commit, or twice. */
static void
test_life(void)
{
    struct rig r;
    uint64_t lease;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 1, 1000));
    rig_tick(&r);
    lease = rig_placed(&r, 0);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_START), ==, 0);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_START), ==, 1);
    rig_end(&r, lease, SCHED_END_DONE);
    g_assert_true(rig_outcome(&r, 7, SCHED_OUTCOME_DONE, SCHED_REASON_NONE));
    sched_actions_clear(&r.actions);
    rig_end(&r, lease, SCHED_END_FAILED);
    rig_lease(&r, SCHED_EVENT_TASK_RUNNING, lease);
    g_assert_cmpuint(r.actions.count, ==, 0);
    rig_close(&r);
}

/* Guards against starting work that was cancelled before its commit. */
static void
test_cancel_uncommitted(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 1, 1000));
    rig_tick(&r);
    rig_cancel(&r, 7);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_JOB_OUTCOME), ==, 0);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, rig_placed(&r, 0));
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_START), ==, 0);
    g_assert_true(
        rig_outcome(&r, 7, SCHED_OUTCOME_CANCELLED, SCHED_REASON_NONE));
    g_assert_false(
        rig_get(&r, SCHED_ACTION_JOB_OUTCOME, 0)->u.outcome.may_have_run);
    rig_close(&r);
}

/* Guards against a failed commit losing the task or its capacity. */
static void
test_placement_failed(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 1, 10000));
    rig_tick(&r);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_FAILED, rig_placed(&r, 0));
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(rig_placed(&r, 0), ==, 2);
    rig_close(&r);
}

/* Guards against more under lease than a VM holds. */
static void
test_capacity(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 25, 1000));
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 10);
    rig_run_placed(&r);
    rig_end(&r, 3, SCHED_END_DONE);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 1);
    rig_close(&r);
}

/* Guards against a limit being exceeded, or not refilled once it frees. */
static void
test_limit(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_team(&r, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    rig_job(&r, rig_batch(7, 5, 1000));
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 3);
    rig_run_placed(&r);
    rig_end(&r, 1, SCHED_END_DONE);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 1);
    rig_close(&r);
}

/* Guards against a lowered limit that is never brought into force. */
static void
test_limit_lowered(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 4, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    rig_team(&r, 1, 1, (struct sched_limits){2, 9000, 9000, 0});
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    g_assert_false(sched_team_within_limit(r.s, 1));
    rig_wait(&r, r.config.checkpoint_ns);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_STOP), ==, 2);
    for (size_t i = 0; i < 2; i++) {
        rig_end(&r, rig_get(&r, SCHED_ACTION_STOP, i)->u.lease,
                SCHED_END_STOPPED);
    }
    g_assert_true(sched_team_within_limit(r.s, 1));
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_close(&r);
}

/* Guards against a gang starting in part. */
static void
test_gang(void)
{
    struct rig r;
    struct sched_job_event gang = rig_batch(8, 3, 4000);

    rig_open_one(&r);
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r2", "d1");
    rig_job(&r, rig_batch(7, 2, 6000));
    rig_tick(&r);
    rig_run_placed(&r);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    /* Small jobs must not take what the gang waits for. */
    rig_job(&r, rig_batch(9, 40, 1000));
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_end(&r, 1, SCHED_END_DONE);
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 2)->u.place.job, ==, 8);
    sched_actions_clear(&r.actions);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, 3);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, 4);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_START), ==, 0);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, 5);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_START), ==, 3);
    /* The loss of one member stops the others and the gang waits again. */
    rig_end(&r, 4, SCHED_END_LOST);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    rig_close(&r);
}

/* Guards against a large gang blocking the smaller ones behind it. */
static void
test_gang_no_blocking(void)
{
    struct rig r;
    struct sched_job_event gang = rig_batch(8, 2, 5000);

    rig_open_one(&r);
    rig_worker(&r, 2, SIZE(3000, 128, 0), "r2", "d1");
    rig_job(&r, rig_batch(6, 1, 3000));
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.worker, ==,
                     2);
    rig_run_placed(&r);
    rig_job(&r, rig_batch(7, 1, 6000));
    rig_tick(&r);
    rig_run_placed(&r);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    rig_tick(&r);
    gang.job = 9;
    gang.size.cpu_milli = 1000;
    rig_job(&r, gang);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_end(&r, 1, SCHED_END_DONE);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 9);
    rig_close(&r);
}

/* Guards against idle reserved room while a short job could use it. */
static void
test_backfill(void)
{
    struct rig r;
    struct sched_job_event gang = rig_batch(8, 2, 6000);
    struct sched_job_event small = rig_batch(9, 1, 1000);
    struct sched_job_event running = rig_batch(7, 1, 6000);

    rig_open_one(&r);
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r2", "d1");
    running.run_time_ns = 100 * NS_PER_S;
    rig_job(&r, running);
    rig_tick(&r);
    rig_run_placed(&r);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    rig_tick(&r);
    small.size.cpu_milli = 5000;
    small.run_time_ns = 200 * NS_PER_S;
    rig_job(&r, small);
    small.job = 10;
    small.size.cpu_milli = 7000;
    rig_job(&r, small);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    small.job = 11;
    small.run_time_ns = 50 * NS_PER_S;
    small.size.cpu_milli = 8000;
    rig_job(&r, small);
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 11);
    rig_run_placed(&r);
    /* It overruns: the gang's room comes first. */
    rig_end(&r, 1, SCHED_END_DONE);
    rig_wait(&r, 110 * NS_PER_S);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_CHECKPOINT, 0)->u.lease, ==, 2);
    rig_end(&r, 2, SCHED_END_CHECKPOINTED);
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 8);
    rig_close(&r);
}

/* Guards against small tasks taking each part of the room a big one needs. */
static void
test_big_not_starved(void)
{
    struct rig r;
    uint64_t oldest = 1;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 100, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    rig_job(&r, rig_batch(8, 1, 10000));
    rig_tick(&r);
    for (int i = 0; i < 60; i++) {
        rig_wait(&r, NS_PER_S);
        rig_run_placed(&r);
        if (rig_count(&r, SCHED_ACTION_PLACE) > 0 &&
            rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job == 8) {
            rig_close(&r);
            return;
        }
        rig_end(&r, oldest++, SCHED_END_DONE);
    }
    g_assert_not_reached();
}

/* Guards against replicas of a service sharing a failure domain or VM. */
static void
test_service_spread(void)
{
    static const char *const domains[] = {"d1", "d2", "d3"};
    struct rig r;
    struct sched_job_event service = rig_batch(7, 6, 1000);
    int per_domain[3] = {0};
    uint32_t seen = 0;

    rig_open(&r);
    rig_team(&r, 1, 1, NO_LIMITS);
    for (uint32_t w = 0; w < 9; w++) {
        char rack[8];
        g_snprintf(rack, sizeof(rack), "r%u", w);
        rig_worker(&r, w + 1, SIZE(10000, 10240, 0), rack, domains[w % 3]);
    }
    service.class = SCHED_CLASS_SERVICE;
    rig_job(&r, service);
    rig_tick(&r);
    for (size_t i = 0; i < 6; i++) {
        uint32_t w = rig_get(&r, SCHED_ACTION_PLACE, i)->u.place.worker - 1;
        per_domain[w % 3]++;
        g_assert_false(seen & 1U << w);
        seen |= 1U << w;
    }
    g_assert_cmpint(per_domain[0], ==, 2);
    g_assert_cmpint(per_domain[1], ==, 2);
    rig_close(&r);
}

/* Guards against ordinary work filling accelerator VMs needlessly. */
static void
test_accelerators_reserved(void)
{
    struct rig r;

    rig_open(&r);
    rig_team(&r, 1, 1, NO_LIMITS);
    rig_worker(&r, 1, SIZE(10000, 10240, 4), "r1", "d1");
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r1", "d1");
    rig_job(&r, rig_batch(7, 12, 1000));
    rig_tick(&r);
    for (size_t i = 0; i < 10; i++) {
        g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, i)->u.place.worker,
                         ==, 2);
    }
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 11)->u.place.worker, ==,
                     1);
    rig_close(&r);
}

/* Guards against urgent work waiting for others to end by themselves. */
static void
test_urgent(void)
{
    struct rig r;
    struct sched_job_event urgent = rig_batch(8, 1, 3000);
    uint64_t victim;

    rig_open_one(&r);
    rig_team(&r, 2, 1, NO_LIMITS);
    rig_job(&r, rig_batch(7, 5, 2000));
    rig_tick(&r);
    rig_run_placed(&r);
    urgent.urgent = true;
    urgent.team = 2;
    rig_job(&r, urgent);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    victim = rig_get(&r, SCHED_ACTION_CHECKPOINT, 0)->u.lease;
    rig_end(&r, victim, SCHED_END_CHECKPOINTED);
    rig_wait(&r, r.config.preempt_ns);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    victim = rig_get(&r, SCHED_ACTION_STOP, 0)->u.lease;
    rig_end(&r, victim, SCHED_END_STOPPED);
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    rig_close(&r);
}

/* Guards against one team taking the fleet: weights 3 to 1. */
static void
test_shares(void)
{
    struct rig r;
    int mine = 0;

    rig_open_one(&r);
    rig_team(&r, 1, 3, NO_LIMITS);
    rig_team(&r, 2, 1, NO_LIMITS);
    for (uint64_t i = 0; i < 2; i++) {
        struct sched_job_event job = rig_batch(7 + i, 100, 500);
        job.team = 1 + (uint32_t)i;
        rig_job(&r, job);
    }
    rig_tick(&r);
    for (size_t i = 0; i < 20; i++) {
        mine += rig_get(&r, SCHED_ACTION_PLACE, i)->u.place.job == 7;
    }
    g_assert_cmpint(mine, ==, 15);
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/life", test_life);
    g_test_add_func("/sched/cancel-uncommitted", test_cancel_uncommitted);
    g_test_add_func("/sched/placement-failed", test_placement_failed);
    g_test_add_func("/sched/capacity", test_capacity);
    g_test_add_func("/sched/limit", test_limit);
    g_test_add_func("/sched/limit-lowered", test_limit_lowered);
    g_test_add_func("/sched/gang", test_gang);
    g_test_add_func("/sched/gang-no-blocking", test_gang_no_blocking);
    g_test_add_func("/sched/backfill", test_backfill);
    g_test_add_func("/sched/big-not-starved", test_big_not_starved);
    g_test_add_func("/sched/service-spread", test_service_spread);
    g_test_add_func("/sched/accelerators", test_accelerators_reserved);
    g_test_add_func("/sched/urgent", test_urgent);
    g_test_add_func("/sched/shares", test_shares);
    return g_test_run();
}
