/* Tests of failures, limits, learned sizes, draining and cancellation. */
#include <glib.h>

#include "sched_harness.h"

/*
 * Guards against a second start of a non-idempotent task that may have run:
 * its job ends with an unknown outcome.
 */
static void
test_non_idempotent(void)
{
    struct sched_harness h;
    struct sched_job_event non_idempotent = make_batch_job(7, 1, 1000);

    harness_init_one_worker(&h);
    non_idempotent.idempotent = false;
    harness_submit_job(&h, non_idempotent);
    harness_tick(&h);
    harness_start_placed(&h);
    harness_expire_worker(&h, 1);
    g_assert_true(harness_has_outcome(&h, 7, SCHED_OUTCOME_UNKNOWN,
                                      SCHED_REASON_MAY_HAVE_RUN));
    /* A task that certainly never started may be placed again. */
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r1", "d1");
    non_idempotent.job = 8;
    harness_submit_job(&h, non_idempotent);
    harness_tick(&h);
    harness_start_placed(&h);
    harness_end_lease(&h, harness_get_placed_lease(&h, 0),
                      SCHED_END_NEVER_STARTED);
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 1);
    harness_destroy(&h);
}

/*
 * Guards against unlimited retries of a failing task, and against retries
 * without back-off.
 */
static void
test_retry_backoff(void)
{
    struct sched_harness h;
    int starts = 0;

    harness_init_one_worker(&h);
    h.now_ns += 3600 * NS_PER_S;
    harness_submit_job(&h, make_batch_job(7, 1, 1000));
    for (int i = 0; i < 40; i++) {
        harness_tick(&h);
        if (harness_count_actions(&h, SCHED_ACTION_PLACE) > 0) {
            starts++;
            harness_start_placed(&h);
            harness_end_lease(&h, harness_get_placed_lease(&h, 0),
                              SCHED_END_FAILED);
        }
        if (harness_has_outcome(&h, 7, SCHED_OUTCOME_FAILED,
                                SCHED_REASON_FAILURES)) {
            break;
        }
        h.now_ns += NS_PER_S;
    }
    g_assert_cmpint(starts, ==, h.config.max_failures);
    g_assert_cmpint(h.now_ns, >=, (3600 + 1 + 2 + 4 + 8) * NS_PER_S);
    harness_destroy(&h);
}

/*
 * Guards against a job that fits on no worker blocking other jobs, not being
 * reported, or not running when a fitting worker appears.
 */
static void
test_unschedulable(void)
{
    struct sched_harness h;
    struct sched_job_event oversized_gang = make_batch_job(9, 3, 10000);

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 1, 16000));
    harness_submit_job(&h, make_batch_job(8, 1, 1000));
    oversized_gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, oversized_gang);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    harness_start_placed(&h);
    harness_end_lease(&h, 1, SCHED_END_DONE);
    harness_advance(&h, h.config.start_grace_ns);
    g_assert_true(harness_has_outcome(&h, 7, SCHED_OUTCOME_UNSCHEDULABLE,
                                      SCHED_REASON_NO_WORKER));
    g_assert_true(harness_has_outcome(&h, 9, SCHED_OUTCOME_UNSCHEDULABLE,
                                      SCHED_REASON_TOO_MANY_TASKS));
    harness_add_worker(&h, 2, SIZE(16000, 10240, 0), "r1", "d1");
    g_assert_true(harness_has_outcome(&h, 7, SCHED_OUTCOME_SCHEDULABLE,
                                      SCHED_REASON_NONE));
    harness_add_worker(&h, 3, SIZE(16000, 10240, 0), "r1", "d1");
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 7);
    harness_start_placed(&h);
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_true(harness_has_outcome(&h, 9, SCHED_OUTCOME_SCHEDULABLE,
                                      SCHED_REASON_NONE));
    harness_end_lease(&h, 2, SCHED_END_DONE);
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 3);
    harness_destroy(&h);
}

/*
 * Guards against a reservation under a team limit that outlives its purpose:
 * the gang can no longer run after its only fitting worker expired.
 */
static void
test_reservation_released(void)
{
    struct sched_harness h;
    struct sched_job_event gang = make_batch_job(8, 2, 2000);

    harness_init_one_worker(&h);
    harness_add_worker(&h, 2, SIZE(4000, 10240, 4), "r2", "d1");
    harness_set_team(&h, 1, 1, (struct sched_limits){99, 4500, 9000, 9});
    harness_submit_job(&h, make_batch_job(7, 4, 1000));
    harness_tick(&h);
    harness_start_placed(&h);
    gang.class = SCHED_CLASS_GANG;
    gang.size.accelerators = 1;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    harness_submit_job(&h, make_batch_job(9, 1, 1000));
    harness_expire_worker(&h, 2);
    for (uint64_t lease = 1; lease <= 4; lease++) {
        harness_end_lease(&h, lease, SCHED_END_DONE);
    }
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 9);
    harness_destroy(&h);
}

/*
 * Guards against a job above its team's limit blocking the team's other jobs,
 * or not running when the limit is raised.
 */
static void
test_job_above_limit(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_set_team(&h, 1, 1, (struct sched_limits){9, 2000, 9000, 0});
    harness_submit_job(&h, make_batch_job(7, 1, 3000));
    harness_submit_job(&h, make_batch_job(8, 1, 1000));
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    harness_advance(&h, h.config.start_grace_ns);
    g_assert_true(harness_has_outcome(&h, 7, SCHED_OUTCOME_UNSCHEDULABLE,
                                      SCHED_REASON_TEAM_LIMIT));
    harness_set_team(&h, 1, 1, NO_LIMITS);
    g_assert_true(harness_has_outcome(&h, 7, SCHED_OUTCOME_SCHEDULABLE,
                                      SCHED_REASON_NONE));
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 7);
    harness_destroy(&h);
}

/*
 * Guards against a faulty worker that is not quarantined when it fails tasks
 * of several jobs, and against a quarantine when only one job's tasks fail.
 */
static void
test_quarantine(void)
{
    struct sched_harness h;
    char name[16];

    harness_init_one_worker(&h);
    for (uint64_t i = 0; i < 3; i++) {
        struct sched_job_event job = make_batch_job(7 + i, 1, 1000);
        g_snprintf(name, sizeof(name), "job%u", (unsigned)i);
        job.name = str_of(name);
        harness_submit_job(&h, job);
        harness_tick(&h);
        harness_start_placed(&h);
        harness_end_lease(&h, harness_get_placed_lease(&h, 0),
                          SCHED_END_FAILED);
    }
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_QUARANTINED), ==,
                     1);
    harness_advance(&h, 5 * NS_PER_S);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_advance(&h, h.config.quarantine_ns);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_RELEASED), ==, 1);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 1);
    harness_start_placed(&h);
    harness_end_lease(&h, harness_get_placed_lease(&h, 0), SCHED_END_DONE);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 2);
    harness_destroy(&h);

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 8, 1000));
    harness_tick(&h);
    harness_start_placed(&h);
    for (uint64_t lease = 1; lease <= 8; lease++) {
        harness_end_lease(&h, lease, SCHED_END_FAILED);
    }
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_QUARANTINED), ==,
                     0);
    harness_destroy(&h);
}

static void
send_usage(struct sched_harness *h, uint64_t lease, uint64_t cpu_milli,
           uint64_t memory_mib)
{
    struct sched_event e = {.kind = SCHED_EVENT_USAGE};

    e.u.usage = (struct sched_usage_event){
        .lease = lease, .cpu_milli = cpu_milli, .memory_mib = memory_mib};
    sched_step(h->s, h->now_ns, &e, &h->actions);
}

/*
 * Guards against a task that exceeds its size without being throttled (CPU) or
 * checkpointed (memory), and against later tasks getting the size that was too
 * small.
 */
static void
test_usage_above_size(void)
{
    struct sched_harness h;

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 4, 1000));
    harness_tick(&h);
    harness_start_placed(&h);
    send_usage(&h, 1, 1500, 64);
    send_usage(&h, 1, 1500, 64);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_THROTTLE), ==, 1);
    send_usage(&h, 2, 1000, 128);
    send_usage(&h, 2, 1000, 128);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     1);
    harness_end_lease(&h, 2, SCHED_END_CHECKPOINTED);
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.size.memory_mib,
        >=, 128);
    harness_start_placed(&h);
    send_usage(&h, 3, 1000, 300);
    send_usage(&h, 4, 1000, 300);
    send_usage(&h, harness_get_placed_lease(&h, 0), 1000, 300);
    for (uint64_t lease = 1; lease <= 5; lease++) {
        harness_end_lease(&h, lease, SCHED_END_DONE);
    }
    harness_submit_job(&h, make_batch_job(8, 1, 1000));
    harness_tick(&h);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.size.memory_mib,
        >=, 300);
    harness_destroy(&h);
}

/*
 * Guards against tasks on a draining worker being stopped by force, and
 * against idempotent tasks not being moved to another worker.
 */
static void
test_draining(void)
{
    struct sched_harness h;
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_DRAINING};
    struct sched_job_event non_idempotent = make_batch_job(8, 1, 1000);

    harness_init_one_worker(&h);
    harness_submit_job(&h, make_batch_job(7, 1, 1000));
    non_idempotent.idempotent = false;
    harness_submit_job(&h, non_idempotent);
    harness_tick(&h);
    harness_start_placed(&h);
    e.u.draining = (struct sched_draining_event){1, true};
    sched_step(h.s, h.now_ns, &e, &h.actions);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_CHECKPOINT), ==,
                     1);
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r1", "d1");
    harness_end_lease(&h, 1, SCHED_END_CHECKPOINTED);
    harness_advance(&h, 60 * NS_PER_S);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_STOP), ==, 0);
    g_assert_cmpuint(
        harness_get_action(&h, SCHED_ACTION_PLACE, 0)->u.place.worker, ==, 2);
    harness_destroy(&h);
}

static void
restore_task(struct sched_harness *h, uint64_t job, uint32_t task,
             uint64_t lease)
{
    struct sched_event e = {.kind = SCHED_EVENT_RESTORE};

    e.u.restore = (struct sched_restore_event){.job = job,
                                               .task = task,
                                               .state = SCHED_TASK_PLACED,
                                               .worker = 1,
                                               .lease = lease,
                                               .size = SIZE(4000, 64, 0)};
    sched_step(h->s, h->now_ns, &e, &h->actions);
}

/*
 * Guards against a new leader that ignores restored leases: they count against
 * team limits, and their numbers are not used again.
 */
static void
test_restored_leases(void)
{
    struct sched_harness h;

    harness_init(&h);
    harness_set_team(&h, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    harness_submit_job(&h, make_batch_job(7, 4, 4000));
    restore_task(&h, 7, 0, 41);
    restore_task(&h, 7, 1, 40);
    harness_tick(&h);
    harness_add_worker(&h, 1, SIZE(10000, 10240, 0), "r1", "d1");
    harness_add_worker(&h, 2, SIZE(10000, 10240, 0), "r1", "d1");
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_end_lease(&h, 41, SCHED_END_LOST);
    harness_advance(&h, 2 * NS_PER_S);
    g_assert_cmpuint(harness_get_placed_lease(&h, 0), ==, 42);
    harness_destroy(&h);
}

/*
 * Guards against the cancellation of 10,000 jobs at once losing some of them
 * or costing too much.
 */
static void
test_mass_cancellation(void)
{
    struct sched_harness h;
    struct sched_stats stats;

    harness_init_one_worker(&h);
    for (uint64_t i = 0; i < 10000; i++) {
        harness_submit_job(&h, make_batch_job(100 + i, 1, 900 + i % 200));
    }
    harness_tick(&h);
    harness_start_placed(&h);
    sched_actions_clear(&h.actions);
    for (uint64_t i = 0; i < 10000; i++) {
        harness_cancel_job(&h, 100 + i);
    }
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_JOB_OUTCOME) +
                         harness_count_actions(&h, SCHED_ACTION_STOP),
                     ==, 10000);
    sched_stats(h.s, &stats);
    g_assert_cmpuint(stats.waiting_tasks, ==, 0);
    harness_destroy(&h);
}

/*
 * Guards against open-queue jobs that are not counted against the limit of
 * their team.
 */
static void
test_open_queue_limit(void)
{
    struct sched_harness h;
    struct sched_job_event open_job = make_batch_job(7, 4, 1000);

    harness_init_one_worker(&h);
    harness_set_team(&h, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    open_job.open_queue = true;
    harness_submit_job(&h, open_job);
    harness_submit_job(&h, make_batch_job(8, 4, 1000));
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 3);
    harness_destroy(&h);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/non-idempotent", test_non_idempotent);
    g_test_add_func("/sched/retries", test_retry_backoff);
    g_test_add_func("/sched/unschedulable", test_unschedulable);
    g_test_add_func("/sched/above-limit", test_job_above_limit);
    g_test_add_func("/sched/hold-released", test_reservation_released);
    g_test_add_func("/sched/quarantine", test_quarantine);
    g_test_add_func("/sched/outgrown", test_usage_above_size);
    g_test_add_func("/sched/draining", test_draining);
    g_test_add_func("/sched/restore", test_restored_leases);
    g_test_add_func("/sched/cancel-wave", test_mass_cancellation);
    g_test_add_func("/sched/open-queue", test_open_queue_limit);
    return g_test_run();
}
