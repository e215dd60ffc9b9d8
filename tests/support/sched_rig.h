#ifndef GV_TEST_SCHED_RIG_H
#define GV_TEST_SCHED_RIG_H

#include "clock.h"
#include "sched.h"

/* A scheduler with short calls for focused tests; actions accumulate. */
struct rig {
    struct sched *s;
    struct sched_config config;
    int64_t now;
    struct sched_actions actions;
};

void
rig_open(struct rig *r);
void
rig_close(struct rig *r);
void
rig_team(struct rig *r, uint32_t team, double weight,
         struct sched_limits limits);
void
rig_worker(struct rig *r, uint32_t worker, struct sched_size capacity,
           const char *rack, const char *domain);
void
rig_job(struct rig *r, struct sched_job_event job);
void
rig_lease(struct rig *r, enum sched_event_kind kind, uint64_t lease);
void
rig_end(struct rig *r, uint64_t lease, enum sched_end end);
void
rig_expire(struct rig *r, uint32_t worker);
void
rig_cancel(struct rig *r, uint64_t job);

/* Ticks until nothing is due; discards earlier actions. */
void
rig_tick(struct rig *r);

/* Advances the clock, then ticks. */
void
rig_wait(struct rig *r, int64_t ns);

/* Commits and reports running whatever the last tick placed. */
void
rig_run_placed(struct rig *r);
size_t
rig_count(const struct rig *r, enum sched_action_kind kind);

/* The n-th action of that kind; fails the test if there is none. */
const struct sched_action *
rig_get(const struct rig *r, enum sched_action_kind kind, size_t n);

/* Whether the actions hold this outcome with this reason. */
bool
rig_outcome(const struct rig *r, uint64_t job, enum sched_outcome outcome,
            enum sched_reason reason);

#define SIZE(cpu, memory, acc) ((struct sched_size){(cpu), (memory), (acc)})
#define NO_LIMITS                                                             \
    ((struct sched_limits){SCHED_UNLIMITED, SCHED_UNLIMITED, SCHED_UNLIMITED, \
                           SCHED_UNLIMITED})

/* Opens with one worker of 10 cores and 10 GiB, and team 1 without limits. */
void
rig_open_one(struct rig *r);

/* An idempotent batch job of team 1 whose tasks need 64 MiB each. */
struct sched_job_event
rig_batch(uint64_t job, uint32_t tasks, uint64_t cpu);

/* The lease of the nth placement of the last step. */
uint64_t
rig_placed(const struct rig *r, size_t n);

#endif
