#include <glib.h>

#include "sched_harness.h"

static struct sched_job_event
make_job(uint64_t job, uint32_t tasks, uint64_t cpu_milli, int64_t run_time_s)
{
    return (struct sched_job_event){.job = job,
                                    .team = 1,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu_milli, 64, 0),
                                    .run_time_ns = run_time_s * NS_PER_S};
}

/*
 * Sets up three workers of 10 cores. Tasks with declared run times of 10 s and
 * 100 s fill the first two.
 */
static void
init_three_workers(struct sched_harness *h)
{
    harness_init(h);
    harness_set_team(h, 1, 1, NO_LIMITS);
    harness_add_worker(h, 1, SIZE(10000, 10240, 0), "r1", "d1");
    harness_submit_job(h, make_job(1, 1, 10000, 10));
    harness_tick(h);
    harness_start_placed(h);
    harness_add_worker(h, 2, SIZE(10000, 10240, 0), "r2", "d1");
    harness_submit_job(h, make_job(2, 1, 10000, 100));
    harness_tick(h);
    harness_start_placed(h);
    harness_add_worker(h, 3, SIZE(10000, 10240, 0), "r3", "d1");
}

/*
 * Guards against a reservation that is not changed: a gang keeps waiting for a
 * worker whose task exceeded its declared run time, although another worker
 * has become free.
 */
static void
test_reserved_task_overruns(void)
{
    struct sched_harness h;
    struct sched_job_event gang = make_job(3, 2, 9000, 10);

    init_three_workers(&h);
    gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 0);
    harness_advance(&h, 20 * NS_PER_S);
    harness_end_lease(&h, 2, SCHED_END_DONE);
    harness_tick(&h);
    g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==, 2);
    harness_destroy(&h);
}

/*
 * Guards against a gang's reservation that blocks other jobs forever because
 * the expected ends of the tasks that it waits for are postponed repeatedly.
 */
static void
test_stalled_reservation(void)
{
    struct sched_harness h;
    struct sched_job_event gang = make_job(3, 3, 9000, 10);

    init_three_workers(&h);
    gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, gang);
    harness_tick(&h);
    gang = make_job(4, 2, 5000, 10);
    gang.class = SCHED_CLASS_GANG;
    harness_submit_job(&h, gang);
    for (int i = 0; i < 400; i++) {
        harness_advance(&h, NS_PER_S);
        if (harness_count_actions(&h, SCHED_ACTION_PLACE) > 0) {
            g_assert_cmpuint(harness_count_actions(&h, SCHED_ACTION_PLACE), ==,
                             2);
            harness_destroy(&h);
            return;
        }
    }
    g_assert_not_reached();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/reserve/overrun", test_reserved_task_overruns);
    g_test_add_func("/sched/reserve/stalled", test_stalled_reservation);
    return g_test_run();
}
