#include "sched_harness.h"

#include <glib.h>

static void
send_event(struct sched_harness *h, const struct sched_event *e)
{
    sched_step(h->s, h->now_ns, e, &h->actions);
}

void
harness_init(struct sched_harness *h)
{
    *h = (struct sched_harness){.now_ns = NS_PER_S};
    sched_config_default(&h->config);
    h->s = sched_create(&h->config, h->now_ns);
}

void
harness_destroy(struct sched_harness *h)
{
    sched_destroy(h->s);
    sched_actions_free(&h->actions);
}

void
harness_set_team(struct sched_harness *h, uint32_t team, double weight,
                 struct sched_limits limits)
{
    struct sched_event e = {.kind = SCHED_EVENT_TEAM};

    e.u.team = (struct sched_team_event){team, weight, limits};
    send_event(h, &e);
}

void
harness_add_worker(struct sched_harness *h, uint32_t worker,
                   struct sched_size capacity, const char *rack,
                   const char *domain)
{
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};

    e.u.worker = (struct sched_worker_event){worker, 1, capacity, str_of(rack),
                                             str_of(domain)};
    send_event(h, &e);
}

void
harness_submit_job(struct sched_harness *h, struct sched_job_event job)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB};

    if (job.name.ptr == NULL) {
        job.name = STR("job");
    }
    job.tasks = job.tasks == 0 ? 1 : job.tasks;
    e.u.job = job;
    send_event(h, &e);
}

void
harness_send_lease_event(struct sched_harness *h, enum sched_event_kind kind,
                         uint64_t lease)
{
    struct sched_event e = {.kind = kind};

    e.u.lease = lease;
    send_event(h, &e);
}

void
harness_end_lease(struct sched_harness *h, uint64_t lease, enum sched_end end)
{
    struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};

    e.u.ended = (struct sched_ended_event){lease, end};
    send_event(h, &e);
}

void
harness_expire_worker(struct sched_harness *h, uint32_t worker)
{
    struct sched_event e = {.kind = SCHED_EVENT_WORKER_EXPIRED};

    e.u.expired = (struct sched_expired_event){worker, 1};
    send_event(h, &e);
}

void
harness_cancel_job(struct sched_harness *h, uint64_t job)
{
    struct sched_event e = {.kind = SCHED_EVENT_JOB_CANCEL};

    e.u.cancel_job = job;
    send_event(h, &e);
}

void
harness_tick(struct sched_harness *h)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};
    int ticks_left = 10000;

    sched_actions_clear(&h->actions);
    do {
        send_event(h, &e);
        ticks_left--;
        g_assert_cmpint(ticks_left, >, 0);
    } while (sched_next_deadline(h->s) <= h->now_ns);
}

void
harness_advance(struct sched_harness *h, int64_t ns)
{
    h->now_ns += ns;
    harness_tick(h);
}

void
harness_start_placed(struct sched_harness *h)
{
    size_t count = h->actions.count;

    for (size_t i = 0; i < count; i++) {
        if (h->actions.items[i].kind == SCHED_ACTION_PLACE) {
            uint64_t lease = h->actions.items[i].u.place.lease;
            harness_send_lease_event(h, SCHED_EVENT_PLACEMENT_COMMITTED,
                                     lease);
            harness_send_lease_event(h, SCHED_EVENT_TASK_RUNNING, lease);
        }
    }
}

size_t
harness_count_actions(const struct sched_harness *h,
                      enum sched_action_kind kind)
{
    size_t count = 0;

    for (size_t i = 0; i < h->actions.count; i++) {
        count += h->actions.items[i].kind == kind;
    }
    return count;
}

const struct sched_action *
harness_get_action(const struct sched_harness *h, enum sched_action_kind kind,
                   size_t n)
{
    for (size_t i = 0; i < h->actions.count; i++) {
        if (h->actions.items[i].kind == kind && n-- == 0) {
            return &h->actions.items[i];
        }
    }
    g_assert_not_reached();
}

bool
harness_has_outcome(const struct sched_harness *h, uint64_t job,
                    enum sched_outcome outcome, enum sched_reason reason)
{
    for (size_t i = 0; i < h->actions.count; i++) {
        const struct sched_action *a = &h->actions.items[i];
        if (a->kind == SCHED_ACTION_JOB_OUTCOME && a->u.outcome.job == job &&
            a->u.outcome.outcome == outcome && a->u.outcome.reason == reason) {
            return true;
        }
    }
    return false;
}

void
harness_init_one_worker(struct sched_harness *h)
{
    harness_init(h);
    harness_set_team(h, 1, 1, NO_LIMITS);
    harness_add_worker(h, 1, SIZE(10000, 10240, 0), "r1", "d1");
}

struct sched_job_event
make_batch_job(uint64_t job, uint32_t tasks, uint64_t cpu_milli)
{
    return (struct sched_job_event){.job = job,
                                    .team = 1,
                                    .class = SCHED_CLASS_BATCH,
                                    .tasks = tasks,
                                    .size = SIZE(cpu_milli, 64, 0),
                                    .idempotent = true};
}

uint64_t
harness_get_placed_lease(const struct sched_harness *h, size_t n)
{
    return harness_get_action(h, SCHED_ACTION_PLACE, n)->u.place.lease;
}
