#include <glib.h>

#include "sched_harness.h"

/*
 * Guards against a START before the placement is committed, a second START for
 * a repeated commit event, and actions for a lease that has ended.
 */
static void
test_lease_lifecycle(void)
{
    struct sched_harness h;
    uint64_t lease;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 1, 1000));
    harness_tick(&h);
    lease = harness_get_placed_lease(&h, 0);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_START), ==, 0);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_START), ==, 1);
    harness_end_lease(&h, lease, SCHED_END_DONE);
    g_assert_true(
        harness_has_outcome(&h, 7, SCHED_OUTCOME_DONE, SCHED_REASON_NONE));
    sched_actions_clear(&h.actions);
    harness_end_lease(&h, lease, SCHED_END_FAILED);
    harness_send_lease_event(&h, SCHED_EVENT_TASK_RUNNING, lease);
    g_assert_cmpuint(h.actions.count, ==, 0);
    harness_destroy(&h);
}

/*
 * Guards against a START for a job that was cancelled before its placement was
 * committed, and against reporting that such a job may have run.
 */
static void
test_cancel_uncommitted(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 1, 1000));
    harness_tick(&h);
    harness_cancel_job(&h, 7);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_JOB_OUTCOME), ==,
                     0);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_COMMITTED,
                             harness_get_placed_lease(&h, 0));
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_START), ==, 0);
    g_assert_true(harness_has_outcome(&h, 7, SCHED_OUTCOME_CANCELLED,
                                      SCHED_REASON_NONE));
    g_assert_false(harness_get_action(&h, SCHED_ACTION_JOB_OUTCOME, 0)
                       ->u.outcome.may_have_run);
    harness_destroy(&h);
}

/*
 * Guards against a task or its capacity being lost when the commit of its
 * placement fails.
 */
static void
test_placement_failed(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 1, 10000));
    harness_tick(&h);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_FAILED,
                             harness_get_placed_lease(&h, 0));
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_cmpuint(harness_get_placed_lease(&h, 0), ==, 2);
    harness_destroy(&h);
}

/*
 * Guards against leases beyond the capacity of a worker, and against capacity
 * not being reused when a task ends.
 */
static void
test_capacity(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 25, 1000));
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 10);
    harness_start_placed(&h);
    harness_end_lease(&h, 3, SCHED_END_DONE);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 1);
    harness_destroy(&h);
}

/*
 * Guards against leases beyond a team limit, and against the limit not being
 * used again when a task ends.
 */
static void
test_team_limit(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_set_team(&h, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    harness_submit_job(&h, make_batch_job(7, 5, 1000));
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 3);
    harness_start_placed(&h);
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 1);
    harness_destroy(&h);
}

/*
 * Guards against a lowered team limit that is not enforced on tasks that
 * already run.
 */
static void
test_limit_lowered(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 4, 1000));
    harness_tick(&h);
    harness_start_placed(&h);
    harness_set_team(&h, 1, 1, (struct sched_limits){2, 9000, 9000, 0});
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    g_assert_false(sched_team_is_within_limit(h.s, 1));
    harness_advance(&h, h.config.checkpoint_grace_ns);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_STOP), ==, 2);
    for (size_t i = 0; i < 2; i++) {
        harness_end_lease(
            &h, harness_get_action(&h, SCHED_ACTION_STOP, i)->u.lease,
            SCHED_END_STOPPED);
    }
    g_assert_true(sched_team_is_within_limit(h.s, 1));
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_destroy(&h);
}

/*
 * Guards against a gang that starts partially: some tasks placed, or started
 * before all placements are committed.
 */
static void
test_gang_starts_whole(void)
{
    struct sched_harness h;
    struct sched_job_event gang = make_batch_job(8, 3, 4000);

    harness_init_one_worker(&h);
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r2", "d1");
    harness_submit_job(&h, make_batch_job(7, 2, 6000));
    harness_tick(&h);
    harness_start_placed(&h);
    gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    /* Small jobs must not take the capacity reserved for the gang. */
    harness_submit_job(&h, make_batch_job(9, 40, 1000));
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 2)->u.place.job, ==, 8);
    sched_actions_clear(&h.actions);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_COMMITTED, 3);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_COMMITTED, 4);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_START), ==, 0);
    harness_send_lease_event(&h, SCHED_EVENT_PLACEMENT_COMMITTED, 5);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_START), ==, 3);
    /* After the loss of one task, the gang's other tasks are checkpointed. */
    harness_end_lease(&h, 4, SCHED_END_LOST);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    harness_destroy(&h);
}

/*
 * Guards against a waiting large gang that blocks smaller gangs queued after
 * it.
 */
static void
test_large_gang_blocks_nothing(void)
{
    struct sched_harness h;
    struct sched_job_event gang = make_batch_job(8, 2, 5000);

    harness_init_one_worker(&h);
    harness_add_worker(&h, 2, SIZE(3000, 128, 0), "r2", "d1");
    harness_submit_job(&h, make_batch_job(6, 1, 3000));
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.worker, ==, 2);
    harness_start_placed(&h);
    harness_submit_job(&h, make_batch_job(7, 1, 6000));
    harness_tick(&h);
    harness_start_placed(&h);
    gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    gang.job = 9;
    gang.size.cpu_milli = 1000;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 9);
    harness_destroy(&h);
}

/*
 * Guards against reserved capacity that stays idle although a job could use it
 * and end before the reservation starts.
 */
static void
test_backfill(void)
{
    struct sched_harness h;
    struct sched_job_event gang = make_batch_job(8, 2, 6000);
    struct sched_job_event small = make_batch_job(9, 1, 1000);
    struct sched_job_event running = make_batch_job(7, 1, 6000);

    harness_init_one_worker(&h);
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r2", "d1");
    running.run_time_ns = 100 * NS_PER_S;
    harness_submit_job(&h, running);
    harness_tick(&h);
    harness_start_placed(&h);
    gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    small.size.cpu_milli = 5000;
    small.run_time_ns = 200 * NS_PER_S;
    harness_submit_job(&h, small);
    small.job = 10;
    small.size.cpu_milli = 7000;
    harness_submit_job(&h, small);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    small.job = 11;
    small.run_time_ns = 50 * NS_PER_S;
    small.size.cpu_milli = 8000;
    harness_submit_job(&h, small);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 11);
    harness_start_placed(&h);
    /*
     * Job 11 exceeds its declared run time: it is checkpointed for the gang.
     */
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_advance(&h, 110 * NS_PER_S);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_CHECKPOINT, 0)->u.lease, ==, 2);
    harness_end_lease(&h, 2, SCHED_END_CHECKPOINTED);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 8);
    harness_destroy(&h);
}

/*
 * Guards against a large task that starves because small tasks take all
 * capacity that becomes free.
 */
static void
test_large_task_not_starved(void)
{
    struct sched_harness h;
    uint64_t oldest_lease = 1;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 100, 1000));
    harness_tick(&h);
    harness_start_placed(&h);
    harness_submit_job(&h, make_batch_job(8, 1, 10000));
    harness_tick(&h);
    for (int i = 0; i < 60; i++) {
        harness_advance(&h, NS_PER_S);
        harness_start_placed(&h);
        if (harness_count_actions(&h, SCHED_ACTION_PLACE) > 0 &&
            harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job == 8) {
            harness_destroy(&h);
            return;
        }
        harness_end_lease(&h, oldest_lease++, SCHED_END_DONE);
    }
    g_assert_not_reached();
}

/*
 * Guards against replicas of a service that share a VM, or are unevenly spread
 * over failure domains.
 */
static void
test_service_spread(void)
{
    static const char *const domains[] = {"d1", "d2", "d3"};
    struct sched_harness h;
    struct sched_job_event service = make_batch_job(7, 6, 1000);
    int per_domain[3] = {0};
    uint32_t used_workers = 0;

    harness_init(&h);
    harness_set_team(&h, 1, 1, NO_LIMITS);
    for (uint32_t w = 0; w < 9; w++) {
        char rack[8];
        g_snprintf(rack, sizeof(rack), "r%u", w);
        harness_add_worker(&h, w + 1, SIZE(10000, 10240, 0), rack,
                           domains[w % 3]);
    }
    service.class = SCHED_CLASS_SERVICE;
    harness_submit_job(&h, service);
    harness_tick(&h);
    for (size_t i = 0; i < 6; i++) {
        uint32_t w =
            harness_get_action(&h, SCHED_ACTION_PLACE, i)->u.place.worker - 1;
        per_domain[w % 3]++;
        g_assert_false(used_workers & 1U << w);
        used_workers |= 1U << w;
    }
    g_assert_cmpint(per_domain[0], ==, 2);
    g_assert_cmpint(per_domain[1], ==, 2);
    harness_destroy(&h);
}

/*
 * Guards against tasks without accelerators being placed on accelerator VMs
 * while other VMs have capacity.
 */
static void
test_accelerator_workers_last(void)
{
    struct sched_harness h;

    harness_init(&h);
    harness_set_team(&h, 1, 1, NO_LIMITS);
    harness_add_worker(&h, 1, SIZE(10000, 10240, 4), "r1", "d1");
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r1", "d1");
    harness_submit_job(&h, make_batch_job(7, 12, 1000));
    harness_tick(&h);
    for (size_t i = 0; i < 10; i++) {
        g_assert_cmpuint(
            harness_get_action(&h, SCHED_ACTION_PLACE, i)->u.place.worker, ==,
            2);
    }
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 11)->u.place.worker, ==, 1);
    harness_destroy(&h);
}

/*
 * Guards against urgent tasks that wait for other tasks to end instead of
 * preempting them, by checkpoint and then by a forced stop.
 */
static void
test_urgent_preempts(void)
{
    struct sched_harness h;
    struct sched_job_event urgent = make_batch_job(8, 1, 3000);
    uint64_t preempted_lease;

    harness_init_one_worker(&h);
    harness_set_team(&h, 2, 1, NO_LIMITS);
    harness_submit_job(&h, make_batch_job(7, 5, 2000));
    harness_tick(&h);
    harness_start_placed(&h);
    urgent.urgent = true;
    urgent.team = 2;
    harness_submit_job(&h, urgent);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    preempted_lease =
        harness_get_action(&h, SCHED_ACTION_CHECKPOINT, 0)->u.lease;
    harness_end_lease(&h, preempted_lease, SCHED_END_CHECKPOINTED);
    harness_advance(&h, h.config.preempt_grace_ns);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    preempted_lease = harness_get_action(&h, SCHED_ACTION_STOP, 0)->u.lease;
    harness_end_lease(&h, preempted_lease, SCHED_END_STOPPED);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    harness_destroy(&h);
}

/*
 * Guards against one team taking more than its share: at weights 3 and 1, 20
 * placements are divided 15 to 5.
 */
static void
test_weighted_shares(void)
{
    struct sched_harness h;
    int team1_tasks = 0;

    harness_init_one_worker(&h);
    harness_set_team(&h, 1, 3, NO_LIMITS);
    harness_set_team(&h, 2, 1, NO_LIMITS);
    for (uint64_t i = 0; i < 2; i++) {
        struct sched_job_event job = make_batch_job(7 + i, 100, 500);
        job.team = 1 + (uint32_t)i;
        harness_submit_job(&h, job);
    }
    harness_tick(&h);
    for (size_t i = 0; i < 20; i++) {
        team1_tasks +=
            harness_get_action(&h, SCHED_ACTION_PLACE, i)->u.place.job == 7;
    }
    g_assert_cmpint(team1_tasks, ==, 15);
    harness_destroy(&h);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/life", test_lease_lifecycle);
    g_test_add_func("/sched/cancel-uncommitted", test_cancel_uncommitted);
    g_test_add_func("/sched/placement-failed", test_placement_failed);
    g_test_add_func("/sched/capacity", test_capacity);
    g_test_add_func("/sched/limit", test_team_limit);
    g_test_add_func("/sched/limit-lowered", test_limit_lowered);
    g_test_add_func("/sched/gang", test_gang_starts_whole);
    g_test_add_func("/sched/gang-no-blocking", test_large_gang_blocks_nothing);
    g_test_add_func("/sched/backfill", test_backfill);
    g_test_add_func("/sched/big-not-starved", test_large_task_not_starved);
    g_test_add_func("/sched/service-spread", test_service_spread);
    g_test_add_func("/sched/accelerators", test_accelerator_workers_last);
    g_test_add_func("/sched/urgent", test_urgent_preempts);
    g_test_add_func("/sched/shares", test_weighted_shares);
    return g_test_run();
}
