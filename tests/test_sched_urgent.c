#include <glib.h>

#include "sched_harness.h"

/* Sets up two teams of equal weight and two workers of 10 cores each. */
static void
init_two_workers(struct sched_harness *h)
{
    harness_init(h);
    harness_set_team(h, 1, 1, NO_LIMITS);
    harness_set_team(h, 2, 1, NO_LIMITS);
    harness_add_worker(h, 1, SIZE(10000, 10240, 0), "r1", "d1");
    harness_add_worker(h, 2, SIZE(10000, 10240, 0), "r2", "d1");
}

static struct sched_job_event
make_job(uint64_t job, uint32_t team, uint32_t tasks, uint64_t cpu_milli)
{
    return (struct sched_job_event){.job = job,
                                    .team = team,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu_milli, 64, 0),
                                    .idempotent = true};
}

/* Submits a job, checks that all its tasks are placed, and starts them. */
static void
run_job(struct sched_harness *h, struct sched_job_event job)
{
    harness_submit_job(h, job);
    harness_tick(h);
    g_assert_cmpuint(harness_count_actions(h, SCHED_ACTION_PLACE), ==,
                     job.tasks);
    harness_start_placed(h);
}

/* Ends as checkpointed the tasks that the last tick preempted, then ticks. */
static void
end_preempted(struct sched_harness *h)
{
    uint64_t leases[32];
    size_t count = harness_count_actions(h, SCHED_ACTION_CHECKPOINT);

    for (size_t i = 0; i < count; i++) {
        leases[i] = harness_get_action(h, SCHED_ACTION_CHECKPOINT, i)->u.lease;
    }
    for (size_t i = 0; i < count; i++) {
        harness_end_lease(h, leases[i], SCHED_END_CHECKPOINTED);
    }
    harness_tick(h);
}

/*
 * Guards against an urgent task that waits because all tasks that could be
 * preempted are of teams below their share, and against a team getting more
 * than its share by means of urgent tasks.
 */
static void
test_preempt_below_share(void)
{
    struct sched_harness h;
    struct sched_job_event job = make_job(7, 2, 6, 2000);

    init_two_workers(&h);
    job.idempotent = false;
    run_job(&h, job);
    run_job(&h, make_job(8, 1, 8, 1000));
    job = make_job(9, 2, 1, 2000);
    job.urgent = true;
    harness_submit_job(&h, job);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    end_preempted(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 9);
    harness_destroy(&h);

    init_two_workers(&h);
    job.tasks = 6;
    run_job(&h, job);
    run_job(&h, make_job(8, 1, 8, 1000));
    job.job = 10;
    job.tasks = 1;
    harness_submit_job(&h, job);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     0);
    harness_destroy(&h);
}

/*
 * Guards against an urgent task that waits although capacity reserved for a
 * gang is idle.
 */
static void
test_reserved_capacity(void)
{
    struct sched_harness h;
    struct sched_job_event job = make_job(7, 1, 1, 6000);

    init_two_workers(&h);
    job.idempotent = false;
    run_job(&h, job);
    job = make_job(8, 1, 2, 6000);
    job.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, job);
    harness_tick(&h);
    job = make_job(9, 2, 1, 5000);
    job.urgent = true;
    harness_submit_job(&h, job);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 9);
    harness_start_placed(&h);
    /* The gang still gets its capacity later. */
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_end_lease(&h, 2, SCHED_END_DONE);
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 2);
    harness_destroy(&h);
}

static struct sched_job_event
make_urgent_gang(uint64_t job, uint32_t tasks, uint64_t cpu_milli)
{
    struct sched_job_event e = make_job(job, 2, tasks, cpu_milli);

    e.class = SCHED_CLASS_GANG;
    e.urgent = true;
    return e;
}

static void
submit_job(struct sched_harness *h, struct sched_job_event job)
{
    harness_submit_job(h, job);
    harness_tick(h);
}

/*
 * Guards against an urgent gang that waits instead of preempting, or starts
 * partially.
 */
static void
test_gang_preempts(void)
{
    struct sched_harness h;
    uint64_t first_lease;

    init_two_workers(&h);
    run_job(&h, make_job(7, 1, 2, 10000));
    submit_job(&h, make_urgent_gang(8, 2, 6000));
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    first_lease = harness_get_action(&h, SCHED_ACTION_CHECKPOINT, 0)->u.lease;
    harness_end_lease(&h, first_lease, SCHED_END_CHECKPOINTED);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_advance(&h, h.config.preempt_grace_ns);
    harness_end_lease(&h,
                      harness_get_action(&h, SCHED_ACTION_STOP, 0)->u.lease,
                      SCHED_END_STOPPED);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 2);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 8);
    harness_destroy(&h);
}

/*
 * Guards against preempting tasks for a gang that could not start even then.
 */
static void
test_gang_infeasible(void)
{
    struct sched_harness h;
    struct sched_job_event job = make_job(7, 1, 1, 6000);

    init_two_workers(&h);
    job.idempotent = false;
    run_job(&h, job);
    run_job(&h, make_job(8, 1, 14, 1000));
    submit_job(&h, make_urgent_gang(9, 2, 6000));
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     0);
    for (int i = 0; i < 5; i++) {
        harness_advance(&h, NS_PER_S);
        g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT),
                         ==, 0);
    }
    /* The gang can start now: it preempts the remaining tasks. */
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_advance(&h, 2 * NS_PER_S);
    end_preempted(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 9);
    harness_destroy(&h);
}

/*
 * Guards against preempting tasks to no purpose when a worker is lost before
 * the gang starts: the gang must preempt on another worker instead.
 */
static void
test_gang_worker_lost(void)
{
    struct sched_harness h;
    uint64_t lost_lease;

    init_two_workers(&h);
    harness_add_worker(&h, 3, SIZE(10000, 10240, 0), "r3", "d1");
    run_job(&h, make_job(7, 1, 3, 10000));
    submit_job(&h, make_urgent_gang(8, 2, 6000));
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    lost_lease = harness_get_action(&h, SCHED_ACTION_CHECKPOINT, 0)->u.lease;
    harness_end_lease(
        &h, harness_get_action(&h, SCHED_ACTION_CHECKPOINT, 1)->u.lease,
        SCHED_END_CHECKPOINTED);
    harness_expire_worker(&h,
                          (uint32_t)lost_lease); /* lease n is on worker n */
    harness_advance(&h, 2 * NS_PER_S);
    end_preempted(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 2);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 8);
    harness_destroy(&h);
}

/*
 * Guards against preempting more tasks when a new worker can hold a part of
 * the gang while the preempted tasks are still ending.
 */
static void
test_gang_worker_added(void)
{
    struct sched_harness h;

    harness_init(&h);
    harness_set_team(&h, 1, 1, NO_LIMITS);
    harness_set_team(&h, 2, 3, NO_LIMITS);
    harness_add_worker(&h, 4, SIZE(10000, 10240, 0), "r4", "d1");
    run_job(&h, make_job(6, 1, 1, 10000));
    harness_advance(&h, 10 * NS_PER_S);
    harness_add_worker(&h, 1, SIZE(10000, 10240, 0), "r1", "d1");
    run_job(&h, make_job(7, 1, 2, 5000));
    harness_advance(&h, 10 * NS_PER_S);
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r2", "d1");
    run_job(&h, make_job(8, 1, 1, 10000));
    submit_job(&h, make_urgent_gang(9, 3, 5000));
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     2);
    harness_add_worker(&h, 3, SIZE(5000, 10240, 0), "r3", "d1");
    for (int i = 0; i < 3; i++) {
        harness_advance(&h, NS_PER_S);
        g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT),
                         ==, 0);
    }
    harness_destroy(&h);
}

/*
 * Guards against other tasks of the team using up the team limit that the gang
 * needs while the preempted tasks end, and against placing a gang above a
 * limit that was lowered meanwhile.
 */
static void
test_gang_team_limit(void)
{
    struct sched_harness h;
    struct sched_job_event small = make_job(9, 2, 1, 1000);

    for (int lowered = 0; lowered < 2; lowered++) {
        init_two_workers(&h);
        harness_set_team(&h, 2, 1, (struct sched_limits){2, 99999, 99999, 0});
        run_job(&h, make_job(7, 1, 2, 9000));
        harness_add_worker(&h, 3, SIZE(2000, 10240, 0), "r3", "d1");
        submit_job(&h, make_urgent_gang(8, 2, 6000));
        submit_job(&h, small);
        g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
        if (lowered) {
            harness_set_team(&h, 2, 1,
                             (struct sched_limits){1, 99999, 99999, 0});
        }
        harness_end_lease(&h, 1, SCHED_END_CHECKPOINTED);
        harness_end_lease(&h, 2, SCHED_END_CHECKPOINTED);
        harness_tick(&h);
        for (size_t i = 0; i < harness_count_actions(&h, SCHED_ACTION_PLACE);
             i++) {
            uint64_t job =
                harness_get_action(&h, SCHED_ACTION_PLACE, i)->u.place.job;
            g_assert_true(lowered ? job != 8 : job == 8);
        }
        g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), >=, 2);
        harness_destroy(&h);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/urgent/below-share", test_preempt_below_share);
    g_test_add_func("/sched/urgent/held-room", test_reserved_capacity);
    g_test_add_func("/sched/urgent/gang", test_gang_preempts);
    g_test_add_func("/sched/urgent/gang-none", test_gang_infeasible);
    g_test_add_func("/sched/urgent/gang-refill", test_gang_worker_lost);
    g_test_add_func("/sched/urgent/gang-limit", test_gang_team_limit);
    g_test_add_func("/sched/urgent/gang-surplus", test_gang_worker_added);
    return g_test_run();
}
