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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/urgent/below-share", test_below_share);
    g_test_add_func("/sched/urgent/held-room", test_held_room);
    return g_test_run();
}
