#include "sched_rig.h"

#include <glib.h>

static void
step(struct rig *r, const struct sched_event *e)
{
    sched_step(r->s, r->now, e, &r->actions);
}

void
rig_open(struct rig *r)
{
    *r = (struct rig){.now = NS_PER_S};
    sched_config_default(&r->config);
    r->s = sched_create(&r->config, r->now);
}

void
rig_close(struct rig *r)
{
    sched_destroy(r->s);
    sched_actions_free(&r->actions);
}

void
rig_team(struct rig *r, uint32_t team, double weight,
         struct sched_limits limits)
{
    struct sched_event e = {.kind = SCHED_EVENT_TEAM};

    e.u.team = (struct sched_team_event){team, weight, limits};
    step(r, &e);
}

void
rig_worker(struct rig *r, uint32_t worker, struct sched_size capacity,
           const char *rack, const char *domain)
{
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};

    e.u.worker = (struct sched_worker_event){worker, 1, capacity, str_of(rack),
                                             str_of(domain)};
    step(r, &e);
}

void
rig_job(struct rig *r, struct sched_job_event job)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB};

    if (job.name.ptr == NULL) {
        job.name = STR("job");
    }
    job.tasks = job.tasks == 0 ? 1 : job.tasks;
    e.u.job = job;
    step(r, &e);
}

void
rig_lease(struct rig *r, enum sched_event_kind kind, uint64_t lease)
{
    struct sched_event e = {.kind = kind};

    e.u.lease = lease;
    step(r, &e);
}

void
rig_end(struct rig *r, uint64_t lease, enum sched_end end)
{
    struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};

    e.u.ended = (struct sched_ended_event){lease, end};
    step(r, &e);
}

void
rig_expire(struct rig *r, uint32_t worker)
{
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_EXPIRED};

    e.u.expired = (struct sched_expired_event){worker, 1};
    step(r, &e);
}

void
rig_cancel(struct rig *r, uint64_t job)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB_CANCEL};

    e.u.cancel_job = job;
    step(r, &e);
}

void
rig_tick(struct rig *r)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};
    int bound = 10000;

    sched_actions_clear(&r->actions);
    do {
        step(r, &e);
        bound--;
        g_assert_cmpint(bound, >, 0);
    } while (sched_next_deadline(r->s) <= r->now);
}

void
rig_wait(struct rig *r, int64_t ns)
{
    r->now += ns;
    rig_tick(r);
}

void
rig_run_placed(struct rig *r)
{
    size_t count = r->actions.count;

    for (size_t i = 0; i < count; i++) {
        if (r->actions.items[i].kind == SCHED_ACTION_PLACE) {
            uint64_t lease = r->actions.items[i].u.place.lease;
            rig_lease(r, SCHED_EVENT_PLACEMENT_COMMITTED, lease);
            rig_lease(r, SCHED_EVENT_TASK_RUNNING, lease);
        }
    }
}

size_t
rig_count(const struct rig *r, enum sched_action_kind kind)
{
    size_t count = 0;

    for (size_t i = 0; i < r->actions.count; i++) {
        count += r->actions.items[i].kind == kind;
    }
    return count;
}

const struct sched_action *
rig_get(const struct rig *r, enum sched_action_kind kind, size_t n)
{
    for (size_t i = 0; i < r->actions.count; i++) {
        if (r->actions.items[i].kind == kind && n-- == 0) {
            return &r->actions.items[i];
        }
    }
    g_assert_not_reached();
}

bool
rig_outcome(const struct rig *r, uint64_t job, enum sched_outcome outcome,
            enum sched_reason reason)
{
    for (size_t i = 0; i < r->actions.count; i++) {
        const struct sched_action *a = &r->actions.items[i];
        if (a->kind == SCHED_ACTION_JOB_OUTCOME && a->u.outcome.job == job &&
            a->u.outcome.outcome == outcome && a->u.outcome.reason == reason) {
            return true;
        }
    }
    return false;
}

void
rig_open_one(struct rig *r)
{
    rig_open(r);
    rig_team(r, 1, 1, NO_LIMITS);
    rig_worker(r, 1, SIZE(10000, 10240, 0), "r1", "d1");
}

struct sched_job_event
rig_batch(uint64_t job, uint32_t tasks, uint64_t cpu)
{
    return (struct sched_job_event){.job = job,
                                    .team = 1,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu, 64, 0),
                                    .idempotent = true};
}

uint64_t
rig_placed(const struct rig *r, size_t n)
{
    return rig_get(r, SCHED_ACTION_PLACE, n)->u.place.lease;
}
