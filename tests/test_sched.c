#include <glib.h>

#include "sched_rig.h"

/* One worker of 10 cores and 10 GiB, one team without limits. */
static void
open_one(struct rig *r)
{
    rig_open(r);
    rig_team(r, 1, 1, NO_LIMITS);
    rig_worker(r, 1, SIZE(10000, 10240, 0), "r1", "d1");
}

static struct sched_job_event
batch(uint64_t job, uint32_t tasks, uint64_t cpu)
{
    return (struct sched_job_event){.job = job,
                                    .team = 1,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu, 64, 0),
                                    .idempotent = true};
}

static uint64_t
placed(const struct rig *r, size_t n)
{
    return rig_get(r, SCHED_ACTION_PLACE, n)->u.place.lease;
}

/* Guards against a task told to its worker before the commit, or twice. */
static void
test_life(void)
{
    struct rig r;
    uint64_t lease;

    open_one(&r);
    rig_job(&r, batch(7, 1, 1000));
    rig_tick(&r);
    lease = placed(&r, 0);
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

    open_one(&r);
    rig_job(&r, batch(7, 1, 1000));
    rig_tick(&r);
    rig_cancel(&r, 7);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_JOB_OUTCOME), ==, 0);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_COMMITTED, placed(&r, 0));
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

    open_one(&r);
    rig_job(&r, batch(7, 1, 10000));
    rig_tick(&r);
    rig_lease(&r, SCHED_EVENT_PLACEMENT_FAILED, placed(&r, 0));
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(placed(&r, 0), ==, 2);
    rig_close(&r);
}

/* Guards against more under lease than a VM holds. */
static void
test_capacity(void)
{
    struct rig r;

    open_one(&r);
    rig_job(&r, batch(7, 25, 1000));
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

    open_one(&r);
    rig_team(&r, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    rig_job(&r, batch(7, 5, 1000));
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

    open_one(&r);
    rig_job(&r, batch(7, 4, 1000));
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
    struct sched_job_event gang = batch(8, 3, 4000);

    open_one(&r);
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r2", "d1");
    rig_job(&r, batch(7, 2, 6000));
    rig_tick(&r);
    rig_run_placed(&r);
    gang.class = SCHED_CLASS_GANG;
    rig_job(&r, gang);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    /* Small jobs must not take what the gang waits for. */
    rig_job(&r, batch(9, 40, 1000));
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
    struct sched_job_event gang = batch(8, 2, 5000);

    open_one(&r);
    rig_worker(&r, 2, SIZE(3000, 128, 0), "r2", "d1");
    rig_job(&r, batch(6, 1, 3000));
    rig_tick(&r);
    g_assert_cmpuint(rig_get(&r, SCHED_ACTION_PLACE, 0)->u.place.worker, ==,
                     2);
    rig_run_placed(&r);
    rig_job(&r, batch(7, 1, 6000));
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
    struct sched_job_event gang = batch(8, 2, 6000);
    struct sched_job_event small = batch(9, 1, 1000);
    struct sched_job_event running = batch(7, 1, 6000);

    open_one(&r);
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

    open_one(&r);
    rig_job(&r, batch(7, 100, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    rig_job(&r, batch(8, 1, 10000));
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
    struct sched_job_event service = batch(7, 6, 1000);
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
    rig_job(&r, batch(7, 12, 1000));
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
    struct sched_job_event urgent = batch(8, 1, 3000);
    uint64_t victim;

    open_one(&r);
    rig_team(&r, 2, 1, NO_LIMITS);
    rig_job(&r, batch(7, 5, 2000));
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

    open_one(&r);
    rig_team(&r, 1, 3, NO_LIMITS);
    rig_team(&r, 2, 1, NO_LIMITS);
    for (uint64_t i = 0; i < 2; i++) {
        struct sched_job_event job = batch(7 + i, 100, 500);
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

/* Guards against a second start of work that must not run twice. */
static void
test_non_idempotent(void)
{
    struct rig r;
    struct sched_job_event once = batch(7, 1, 1000);

    open_one(&r);
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
    rig_end(&r, placed(&r, 0), SCHED_END_NEVER_STARTED);
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

    open_one(&r);
    r.now += 3600 * NS_PER_S;
    rig_job(&r, batch(7, 1, 1000));
    for (int i = 0; i < 40; i++) {
        rig_tick(&r);
        if (rig_count(&r, SCHED_ACTION_PLACE) > 0) {
            starts++;
            rig_run_placed(&r);
            rig_end(&r, placed(&r, 0), SCHED_END_FAILED);
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
    struct sched_job_event many = batch(9, 3, 10000);

    open_one(&r);
    rig_job(&r, batch(7, 1, 16000));
    rig_job(&r, batch(8, 1, 1000));
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
    struct sched_job_event gang = batch(8, 2, 2000);

    open_one(&r);
    rig_worker(&r, 2, SIZE(4000, 10240, 4), "r2", "d1");
    rig_team(&r, 1, 1, (struct sched_limits){99, 4500, 9000, 9});
    rig_job(&r, batch(7, 4, 1000));
    rig_tick(&r);
    rig_run_placed(&r);
    gang.class = SCHED_CLASS_GANG;
    gang.size.accelerators = 1;
    rig_job(&r, gang);
    rig_tick(&r);
    rig_job(&r, batch(9, 1, 1000));
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

    open_one(&r);
    rig_team(&r, 1, 1, (struct sched_limits){9, 2000, 9000, 0});
    rig_job(&r, batch(7, 1, 3000));
    rig_job(&r, batch(8, 1, 1000));
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

    open_one(&r);
    for (uint64_t i = 0; i < 3; i++) {
        struct sched_job_event job = batch(7 + i, 1, 1000);
        g_snprintf(name, sizeof(name), "job%u", (unsigned)i);
        job.name = str_of(name);
        rig_job(&r, job);
        rig_tick(&r);
        rig_run_placed(&r);
        rig_end(&r, placed(&r, 0), SCHED_END_FAILED);
    }
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_QUARANTINED), ==, 1);
    rig_wait(&r, 5 * NS_PER_S);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_wait(&r, r.config.quarantine_ns);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_RELEASED), ==, 1);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 1);
    rig_run_placed(&r);
    rig_end(&r, placed(&r, 0), SCHED_END_DONE);
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 2);
    rig_close(&r);

    open_one(&r);
    rig_job(&r, batch(7, 8, 1000));
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

    open_one(&r);
    rig_job(&r, batch(7, 4, 1000));
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
    usage(&r, placed(&r, 0), 1000, 300);
    for (uint64_t lease = 1; lease <= 5; lease++) {
        rig_end(&r, lease, SCHED_END_DONE);
    }
    rig_job(&r, batch(8, 1, 1000));
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
    struct sched_job_event once = batch(8, 1, 1000);

    open_one(&r);
    rig_job(&r, batch(7, 1, 1000));
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
    rig_job(&r, batch(7, 4, 4000));
    restore(&r, 7, 0, 41);
    restore(&r, 7, 1, 40);
    rig_tick(&r);
    rig_worker(&r, 1, SIZE(10000, 10240, 0), "r1", "d1");
    rig_worker(&r, 2, SIZE(10000, 10240, 0), "r1", "d1");
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 0);
    rig_end(&r, 41, SCHED_END_LOST);
    rig_wait(&r, 2 * NS_PER_S);
    g_assert_cmpuint(placed(&r, 0), ==, 42);
    rig_close(&r);
}

/* Guards against a cancellation wave costing more than its share. */
static void
test_cancel_wave(void)
{
    struct rig r;
    struct sched_stats stats;

    open_one(&r);
    for (uint64_t i = 0; i < 10000; i++) {
        rig_job(&r, batch(100 + i, 1, 900 + i % 200));
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
    struct sched_job_event open = batch(7, 4, 1000);

    open_one(&r);
    rig_team(&r, 1, 1, (struct sched_limits){3, 9000, 9000, 0});
    open.open_queue = true;
    rig_job(&r, open);
    rig_job(&r, batch(8, 4, 1000));
    rig_tick(&r);
    g_assert_cmpuint(rig_count(&r, SCHED_ACTION_PLACE), ==, 3);
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
