#include <glib.h>

#include "sched_rig.h"

/* Two teams of equal weight, two workers of 10 cores each. */
static void
open_two(struct rig *r)
{
    rig_open(r);
    rig_team(r, 1, 1, NO_LIMITS);
    rig_team(r, 2, 1, NO_LIMITS);
    rig_worker(r, 1, SIZE(10000, 10240, 0), "r1", "d1");
    rig_worker(r, 2, SIZE(10000, 10240, 0), "r2", "d1");
}

static struct sched_job_event
job_of(uint64_t job, uint32_t team, uint32_t tasks, uint64_t cpu)
{
    return (struct sched_job_event){.job = job,
                                    .team = team,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu, 64, 0),
                                    .idempotent = true};
}

/* Places the job and lets it run. */
static void
run(struct rig *r, struct sched_job_event job)
{
    rig_job(r, job);
    rig_tick(r);
    g_assert_cmpuint(rig_count(r, SCHED_ACTION_PLACE), ==, job.tasks);
    rig_run_placed(r);
}

/* Ends, as checkpointed, what the last tick said to checkpoint. */
static void
end_victims(struct rig *r)
{
    uint64_t leases[32];
    size_t count = rig_count(r, SCHED_ACTION_CHECKPOINT);

    for (size_t i = 0; i < count; i++) {
        leases[i] = rig_get(r, SCHED_ACTION_CHECKPOINT, i)->u.lease;
    }
    for (size_t i = 0; i < count; i++) {
        rig_end(r, leases[i], SCHED_END_CHECKPOINTED);
    }
    rig_tick(r);
}

/*
 * Guards against urgent work that waits while all work that could be stopped
 * is of teams below their share; and against urgency that raises a share.
 */
static void
test_below_share(void)
{
    struct rig r;
    struct sched_job_event job = job_of(7, 2, 6, 2000);

    open_two(&r);
    job.idempotent = false;
    run(&r, job);
    run(&r, job_of(8, 1, 8, 1000));
    job = job_of(9, 2, 1, 2000);
    job.urgent = true;
    rig_job(&r, job);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    end_victims(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 9);
    rig_close(&r);

    open_two(&r);
    job.tasks = 6;
    run(&r, job);
    run(&r, job_of(8, 1, 8, 1000));
    job.job = 10;
    job.tasks = 1;
    rig_job(&r, job);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 0);
    rig_close(&r);
}

/* Guards against urgent work that waits while a gang's held room is free. */
static void
test_held_room(void)
{
    struct rig r;
    struct sched_job_event job = job_of(7, 1, 1, 6000);

    open_two(&r);
    job.idempotent = false;
    run(&r, job);
    job = job_of(8, 1, 2, 6000);
    job.class = SCHED_CLASS_GANG;
    rig_job(&r, job);
    rig_tick(&r);
    job = job_of(9, 2, 1, 5000);
    job.urgent = true;
    rig_job(&r, job);
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 9);
    rig_run_placed(&r);
    /* The gang gets its room later all the same. */
    rig_end(&r, 1, SCHED_END_DONE);
    rig_end(&r, 2, SCHED_END_DONE);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
    rig_close(&r);
}

static struct sched_job_event
urgent_gang(uint64_t job, uint32_t tasks, uint64_t cpu)
{
    struct sched_job_event e = job_of(job, 2, tasks, cpu);

    e.class = SCHED_CLASS_GANG;
    e.urgent = true;
    return e;
}

static void
submit(struct rig *r, struct sched_job_event job)
{
    rig_job(r, job);
    rig_tick(r);
}

/* Guards against an urgent gang that waits for others, or starts in part. */
static void
test_gang_preempts(void)
{
    struct rig r;
    uint64_t first;

    open_two(&r);
    run(&r, job_of(7, 1, 2, 10000));
    submit(&r, urgent_gang(8, 2, 6000));
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    first = rig_get(&r, SCHED_ACTION_CHECKPOINT, 0)->u.lease;
    rig_end(&r, first, SCHED_END_CHECKPOINTED);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_wait(&r, r.config.preempt_ns);
    rig_end(&r, rig_get(&r, SCHED_ACTION_STOP, 0)->u.lease, SCHED_END_STOPPED);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.job, ==, 8);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 8);
    rig_close(&r);
}

/* Guards against work stopped for a gang that cannot start even so. */
static void
test_gang_none(void)
{
    struct rig r;
    struct sched_job_event job = job_of(7, 1, 1, 6000);

    open_two(&r);
    job.idempotent = false;
    run(&r, job);
    run(&r, job_of(8, 1, 14, 1000));
    submit(&r, urgent_gang(9, 2, 6000));
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 0);
    for (int i = 0; i < 5; i++) {
        rig_wait(&r, NS_PER_S);
        g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 0);
    }
    /* Its room becomes possible: it does not wait for the rest to end. */
    rig_end(&r, 1, SCHED_END_DONE);
    rig_wait(&r, 2 * NS_PER_S);
    end_victims(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 9);
    rig_close(&r);
}

/* Guards against victims stopped in vain when one of the workers is lost. */
static void
test_gang_refill(void)
{
    struct rig r;
    uint64_t lost;

    open_two(&r);
    rig_worker(&r, 3, SIZE(10000, 10240, 0), "r3", "d1");
    run(&r, job_of(7, 1, 3, 10000));
    submit(&r, urgent_gang(8, 2, 6000));
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    lost = rig_get(&r, SCHED_ACTION_CHECKPOINT, 0)->u.lease;
    rig_end(&r, rig_get(&r, SCHED_ACTION_CHECKPOINT, 1)->u.lease,
            SCHED_END_CHECKPOINTED);
    rig_expire(&r, (uint32_t)lost); /* lease n runs on worker n */
    rig_wait(&r, 2 * NS_PER_S);
    end_victims(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 1)->u.place.job, ==, 8);
    rig_close(&r);
}

/* Guards against more work being stopped because a worker came that has room
 * for a part of what victims of the gang are about to leave. */
static void
test_gang_surplus(void)
{
    struct rig r;

    rig_open(&r);
    rig_team(&r, 1, 1, NO_LIMITS);
    rig_team(&r, 2, 3, NO_LIMITS);
    rig_worker(&r, 4, SIZE(10000, 10240, 0), "r4", "d1");
    run(&r, job_of(6, 1, 1, 10000));
    rig_wait(&r, 10 * NS_PER_S);
    rig_worker(&r, 1, SIZE(10000, 10240, 0), "r1", "d1");
    run(&r, job_of(7, 1, 2, 5000));
    rig_wait(&r, 10 * NS_PER_S);
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r2", "d1");
    run(&r, job_of(8, 1, 1, 10000));
    submit(&r, urgent_gang(9, 3, 5000));
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 2);
    rig_worker(&r, 3, SIZE(5000, 10240, 0), "r3", "d1");
    for (int i = 0; i < 3; i++) {
        rig_wait(&r, NS_PER_S);
        g_assert_cmpuint(rig_count(&r, SCHED_ACTION_CHECKPOINT), ==, 0);
    }
    rig_close(&r);
}

/* Guards against other work of the team taking the gang's room under the
 * limit while victims end, and against a gang above a lowered limit. */
static void
test_gang_limit(void)
{
    struct rig r;
    struct sched_job_event small = job_of(9, 2, 1, 1000);

    for (int lowered = 0; lowered < 2; lowered++) {
        open_two(&r);
        rig_team(&r, 2, 1, (struct sched_limits){2, 99999, 99999, 0});
        run(&r, job_of(7, 1, 2, 9000));
        rig_worker(&r, 3, SIZE(2000, 10240, 0), "r3", "d1");
        submit(&r, urgent_gang(8, 2, 6000));
        submit(&r, small);
        g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
        if (lowered) {
            rig_team(&r, 2, 1, (struct sched_limits){1, 99999, 99999, 0});
        }
        rig_end(&r, 1, SCHED_END_CHECKPOINTED);
        rig_end(&r, 2, SCHED_END_CHECKPOINTED);
        rig_tick(&r);
        for (size_t i = 0; i < rig_count(&r, SCHED_ACTION_PLACE); i++) {
            uint64_t job = rig_get(&r, SCHED_ACTION_PLACE, i)->u.place.job;
            g_assert_true(lowered ? job != 8 : job == 8);
        }
        g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), >=, 2);
        rig_close(&r);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/urgent/below-share", test_below_share);
    g_test_add_func("/sched/urgent/held-room", test_held_room);
    g_test_add_func("/sched/urgent/gang", test_gang_preempts);
    g_test_add_func("/sched/urgent/gang-none", test_gang_none);
    g_test_add_func("/sched/urgent/gang-refill", test_gang_refill);
    g_test_add_func("/sched/urgent/gang-limit", test_gang_limit);
    g_test_add_func("/sched/urgent/gang-surplus", test_gang_surplus);
    return g_test_run();
}
