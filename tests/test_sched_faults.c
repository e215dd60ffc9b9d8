/* Failures, limits, learned sizes, draining and cancellation. */
#include <glib.h>

#include "sched_rig.h"

/* Guards against a second start of work that must not run twice. */
static void
test_non_idempotent(void)
{
    struct rig r;
    struct sched_job_event once = rig_batch(7, 1, 1000);

    rig_open_one(&r);
    once.idempotent = false;
    rig_job(&r, once);
    rig_tick(&r);
    rig_run_placed(&r);
    rig_expire(&r, 1);
    g_assert_true(
        rig_outcome(&r, 7, SCHED_OUTCOME_UNKNOWN, SCHED_REASON_MAY_HAVE_RUN));
    /* One that certainly never began may be placed again. */
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r1", "d1");
    once.job = 8;
    rig_job(&r, once);
    rig_tick(&r);
    rig_run_placed(&r);
    rig_end(&r, rig_placed(&r, 0), SCHED_END_NEVER_STARTED);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 1);
    rig_close(&r);
}

/* Guards against endless retries, and against retries without back-off. */
static void
test_retries(void)
{
    struct rig r;
    int starts = 0;

    rig_open_one(&r);
    r.now += 3600 * NS_PER_S;
    rig_job(&r, rig_batch(7, 1, 1000));
    for (int i = 0; i < 40; i++) {
        rig_tick(&r);
        if (rig_count(&r, SCHED_ACTION_PLACE) > 0) {
            starts++;
            rig_run_placed(&r);
            rig_end(&r, rig_placed(&r, 0), SCHED_END_FAILED);
        }
        if (rig_outcome(&r, 7, SCHED_OUTCOME_FAILED, SCHED_REASON_FAILURES)) {
            break;
        }
        r.now += NS_PER_S;
    }
    g_assert_cmpint(starts, ==, r.config.max_failures);
    g_assert_cmpint(r.now, >=, (3600 + 1 + 2 + 4 + 8) * NS_PER_S);
    rig_close(&r);
}

/* Guards against a job that fits nowhere blocking others or staying lost. */
static void
test_unschedulable(void)
{
    struct rig r;
    struct sched_job_event many = rig_batch(9, 3, 10000);

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 1, 16000));
    rig_job(&r, rig_batch(8, 1, 1000));
    many.class = SCHED_CLASS_GANG;
    rig_job(&r, many);
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    rig_run_placed(&r);
    rig_end(&r, 1, SCHED_END_DONE);
    rig_wait(&r, r.config.start_grace_ns);
    g_assert_true(rig_outcome(&r, 7, SCHED_OUTCOME_UNSCHEDULABLE,
                              SCHED_REASON_NO_WORKER));
    g_assert_true(rig_outcome(&r, 9, SCHED_OUTCOME_UNSCHEDULABLE,
                              SCHED_REASON_TOO_MANY));
    rig_worker(&r, 2, SIZE(16000, 10240, 0), "r1", "d1");
    g_assert_true(
        rig_outcome(&r, 7, SCHED_OUTCOME_SCHEDULABLE, SCHED_REASON_NONE));
    rig_worker(&r, 3, SIZE(16000, 10240, 0), "r1", "d1");
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 7);
    rig_run_placed(&r);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_true(
        rig_outcome(&r, 9, SCHED_OUTCOME_SCHEDULABLE, SCHED_REASON_NONE));
    rig_end(&r, 2, SCHED_END_DONE);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 3);
    rig_close(&r);
}

/* Guards against room under a limit being kept for a job that left. */
static void
test_hold_released(void)
{
    struct rig r;
    struct sched_job_event gang = rig_batch(8, 2, 2000);

    rig_open_one(&r);
    rig_worker(&r, 2, SIZE(4000, 10240, 4), "r2", "d1");
    rig_team(&r, 1, 1, (struct sched_limits){99, 4500, 9000, 9});
    rig_job(&r, rig_batch(7, 4, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    gang.class = SCHED_CLASS_GANG;
    gang.size.accelerators = 1;
    rig_job(&r, gang);
    rig_tick(&r);
    rig_job(&r, rig_batch(9, 1, 1000));
    rig_expire(&r, 2);
    for (uint64_t lease = 1; lease <= 4; lease++) {
        rig_end(&r, lease, SCHED_END_DONE);
    }
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 9);
    rig_close(&r);
}

/* Guards against a job above its team's limit blocking the team. */
static void
test_above_limit(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_team(&r, 1, 1, (struct sched_limits){9, 2000, 9000, 0});
    rig_job(&r, rig_batch(7, 1, 3000));
    rig_job(&r, rig_batch(8, 1, 1000));
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    rig_wait(&r, r.config.start_grace_ns);
    g_assert_true(rig_outcome(&r, 7, SCHED_OUTCOME_UNSCHEDULABLE,
                              SCHED_REASON_TEAM_LIMIT));
    rig_team(&r, 1, 1, NO_LIMITS);
    g_assert_true(
        rig_outcome(&r, 7, SCHED_OUTCOME_SCHEDULABLE, SCHED_REASON_NONE));
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 7);
    rig_close(&r);
}

/* Guards against one worker failing all work, and against a bad job's
 * failures being blamed on its workers. */
static void
test_quarantine(void)
{
    struct rig r;
    char name[16];

    rig_open_one(&r);
    for (uint64_t i = 0; i < 3; i++) {
        struct sched_job_event job = rig_batch(7 + i, 1, 1000);
        g_snprintf(name, sizeof(name), "job%u", (unsigned)i);
        job.name = str_of(name);
        rig_job(&r, job);
        rig_tick(&r);
        rig_run_placed(&r);
        rig_end(&r, rig_placed(&r, 0), SCHED_END_FAILED);
    }
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_QUARANTINED), ==, 1);
    rig_wait(&r, 5 * NS_PER_S);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_wait(&r, r.config.quarantine_ns);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_RELEASED), ==, 1);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 1);
    rig_run_placed(&r);
    rig_end(&r, rig_placed(&r, 0), SCHED_END_DONE);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
    rig_close(&r);

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 8, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    for (uint64_t lease = 1; lease <= 8; lease++) {
        rig_end(&r, lease, SCHED_END_FAILED);
    }
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_QUARANTINED), ==, 0);
    rig_close(&r);
}

static void
usage(struct rig *r, uint64_t lease, uint64_t cpu, uint64_t memory)
{
    struct sched_event e = {.kind = SCHED_EVENT_USAGE};

    e.u.usage = (struct sched_usage_event){
        .lease = lease, .cpu_milli = cpu, .memory_mib = memory};
    sched_step(r->s, r->now, &e, &r->actions);
}

/* Guards against a task that outgrows its size unnoticed, and against the
 * next ones being given the same wrong size. */
static void
test_outgrown(void)
{
    struct rig r;

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 4, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    usage(&r, 1, 1500, 64);
    usage(&r, 1, 1500, 64);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_THROTTLE), ==, 1);
    usage(&r, 2, 1000, 128);
    usage(&r, 2, 1000, 128);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 1);
    rig_end(&r, 2, SCHED_END_CHECKPOINTED);
    rig_tick(&r);
    g_assert_cmpuint(
        rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.size.memory_mib, >=, 128);
    rig_run_placed(&r);
    usage(&r, 3, 1000, 300);
    usage(&r, 4, 1000, 300);
    usage(&r, rig_placed(&r, 0), 1000, 300);
    for (uint64_t lease = 1; lease <= 5; lease++) {
        rig_end(&r, lease, SCHED_END_DONE);
    }
    rig_job(&r, rig_batch(8, 1, 1000));
    rig_tick(&r);
    g_assert_cmpuint(
        rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.size.memory_mib, >=, 300);
    rig_close(&r);
}

/* Guards against work on a draining worker being killed or left there. */
static void
test_draining(void)
{
    struct rig r;
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_DRAINING};
    struct sched_job_event once = rig_batch(8, 1, 1000);

    rig_open_one(&r);
    rig_job(&r, rig_batch(7, 1, 1000));
    once.idempotent = false;
    rig_job(&r, once);
    rig_tick(&r);
    rig_run_placed(&r);
    e.u.draining = (struct sched_draining_event){1, true};
    sched_step(r.s, r.now, &e, &r.actions);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 1);
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r1", "d1");
    rig_end(&r, 1, SCHED_END_CHECKPOINTED);
    rig_wait(&r, 60 * NS_PER_S);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_STOP), ==, 0);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.worker, ==,
                     2);
    rig_close(&r);
}

static void
restore(struct rig *r, uint64_t job, uint32_t task, uint64_t lease)
{
    struct sched_event e = {.kind = SCHED_EVENT_RESTORE};

    e.u.restore = (struct sched_restore_event){.job = job,
                                               .task = task,
                                               .state = SCHED_TASK_PLACED,
                                               .worker = 1,
                                               .lease = lease,
                                               .size = SIZE(4000, 64, 0)};
    sched_step(r->s, r->now, &e, &r->actions);
}

/* Guards against a new leader forgetting what its predecessor placed. */
static void
test_restore(void)
{
    struct rig r;

    rig_open(&r);
    rig_team(&r, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    rig_job(&r, rig_batch(7, 4, 4000));
    restore(&r, 7, 0, 41);
    restore(&r, 7, 1, 40);
    rig_tick(&r);
    rig_worker(&r, 1, SIZE(10000, 10240, 0), "r1", "d1");
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r1", "d1");
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_end(&r, 41, SCHED_END_LOST);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(rig_placed(&r, 0), ==, 42);
    rig_close(&r);
}

/* Guards against a cancellation wave costing more than its share. */
static void
test_cancel_wave(void)
{
    struct rig r;
    struct sched_stats stats;

    rig_open_one(&r);
    for (uint64_t i = 0; i < 10000; i++) {
        rig_job(&r, rig_batch(100 + i, 1, 900 + i % 200));
    }
    rig_tick(&r);
    rig_run_placed(&r);
    sched_actions_clear(&r.actions);
    for (uint64_t i = 0; i < 10000; i++) {
        rig_cancel(&r, 100 + i);
    }
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_JOB_OUTCOME) +
                         rig_count(&r, SCHED_ACTION_STOP),
                     ==, 10000);
    sched_stats(r.s, &stats);
    g_assert_cmpuint(stats.waiting_tasks, ==, 0);
    rig_close(&r);
}

/* Guards against open-queue work escaping the limit of its team. */
static void
test_open_queue(void)
{
    struct rig r;
    struct sched_job_event open = rig_batch(7, 4, 1000);

    rig_open_one(&r);
    rig_team(&r, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    open.open_queue = true;
    rig_job(&r, open);
    rig_job(&r, rig_batch(8, 4, 1000));
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 3);
    rig_close(&r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/non-idempotent", test_non_idempotent);
    g_test_add_func("/sched/retries", test_retries);
    g_test_add_func("/sched/unschedulable", test_unschedulable);
    g_test_add_func("/sched/above-limit", test_above_limit);
    g_test_add_func("/sched/hold-released", test_hold_released);
    g_test_add_func("/sched/quarantine", test_quarantine);
    g_test_add_func("/sched/outgrown", test_outgrown);
    g_test_add_func("/sched/draining", test_draining);
    g_test_add_func("/sched/restore", test_restore);
    g_test_add_func("/sched/cancel-wave", test_cancel_wave);
    g_test_add_func("/sched/open-queue", test_open_queue);
    return g_test_run();
}
