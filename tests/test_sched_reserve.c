#include <glib.h>

#include "sched_rig.h"

static struct sched_job_event
job_of(uint64_t job, uint32_t tasks, uint64_t cpu, int64_t seconds)
{
    return (struct sched_job_event){.job = job,
                                    .team = 1,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu, 64, 0),
                                    .run_time_ns = seconds * NS_PER_S};
}

/* Three workers of 10 cores; tasks of 10 and 100 s fill the first two. */
static void
open_three(struct rig *r)
{
    rig_open(r);
    rig_team(r, 1, 1, NO_LIMITS);
    rig_worker(r, 1, SIZE(10000, 10240, 0), "r1", "d1");
    rig_job(r, job_of(1, 1, 10000, 10));
    rig_tick(r);
    rig_run_placed(r);
    rig_worker(r, 2, SIZE(10000, 10240, 0), "r2", "d1");
    rig_job(r, job_of(2, 1, 10000, 100));
    rig_tick(r);
    rig_run_placed(r);
    rig_worker(r, 3, SIZE(10000, 10240, 0), "r3", "d1");
}

/*
 * Guards against a gang that waits for a task that overran, on a worker held
 * early, while another worker with enough room is free.
 */
static void
test_overrun(void)
{
    struct rig r;
    struct sched_job_event gang = job_of(3, 2, 9000, 10);

    open_three(&r);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_wait(&r, 20 * NS_PER_S);
    rig_end(&r, 2, SCHED_END_DONE);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
    rig_close(&r);
}

/* Guards against a gang that keeps room from others for ever, because the
 * workers it waits for are foreseen anew again and again. */
static void
test_stalled(void)
{
    struct rig r;
    struct sched_job_event gang = job_of(3, 3, 9000, 10);

    open_three(&r);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    rig_tick(&r);
    gang = job_of(4, 2, 5000, 10);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    for (int i = 0; i < 400; i++) {
        rig_wait(&r, NS_PER_S);
        if (rig_count(&r, SCHED_ACTION_PLACE) > 0) {
            g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
            rig_close(&r);
            return;
        }
    }
    g_assert_not_reached();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/reserve/overrun", test_overrun);
    g_test_add_func("/sched/reserve/stalled", test_stalled);
    return g_test_run();
}
