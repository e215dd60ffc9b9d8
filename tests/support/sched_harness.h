#ifndef GV_TEST_SCHED_HARNESS_H
#define GV_TEST_SCHED_HARNESS_H

#include "clock.h"
#include "sched.h"

/*
 * A scheduler, its clock and the actions that it returned. The functions below
 * send it one event each. actions grows until harness_tick() or the test
 * clears it.
 */
struct sched_harness {
    struct sched *s;
    struct sched_config config;
    int64_t now_ns;
    struct sched_actions actions;
};

/* Creates a scheduler with the default configuration at time 1 s. */
void
harness_init(struct sched_harness *h);
void
harness_destroy(struct sched_harness *h);
void
harness_set_team(struct sched_harness *h, uint32_t team, double weight,
                 struct sched_limits limits);

/* Adds a worker, or changes one, with incarnation 1. */
void
harness_add_worker(struct sched_harness *h, uint32_t worker,
                   struct sched_size capacity, const char *rack,
                   const char *domain);

/* Submits a job, by default with 1 task and the name "job". */
void
harness_submit_job(struct sched_harness *h, struct sched_job_event job);

/* Sends an event of which the lease is the only field. */
void
harness_send_lease_event(struct sched_harness *h, enum sched_event_kind kind,
                         uint64_t lease);
void
harness_end_lease(struct sched_harness *h, uint64_t lease, enum sched_end end);
void
harness_expire_worker(struct sched_harness *h, uint32_t worker);
void
harness_cancel_job(struct sched_harness *h, uint64_t job);

/* Clears the actions, then ticks until nothing is due. */
void
harness_tick(struct sched_harness *h);

/* Advances the clock by ns, then calls harness_tick(). */
void
harness_advance(struct sched_harness *h, int64_t ns);

/* Commits all placements among the actions and reports them running. */
void
harness_start_placed(struct sched_harness *h);

size_t
harness_count_actions(const struct sched_harness *h,
                      enum sched_action_kind kind);

/*
 * Returns the action of that kind with index n, from 0. Fails the test if
 * there is none. The pointer is valid until the next event.
 */
const struct sched_action *
harness_get_action(const struct sched_harness *h, enum sched_action_kind kind,
                   size_t n);

/* Whether the actions include this outcome of the job with this reason. */
bool
harness_has_outcome(const struct sched_harness *h, uint64_t job,
                    enum sched_outcome outcome, enum sched_reason reason);

#define SIZE(cpu_milli, memory_mib, accelerators)                             \
    ((struct sched_size){(cpu_milli), (memory_mib), (accelerators)})
#define NO_LIMITS                                                             \
    ((struct sched_limits){SCHED_UNLIMITED, SCHED_UNLIMITED, SCHED_UNLIMITED, \
                           SCHED_UNLIMITED})

/*
 * Calls harness_init(), then adds team 1 without limits and worker 1 with 10
 * cores and 10 GiB.
 */
void
harness_init_one_worker(struct sched_harness *h);

/* Returns an idempotent batch job of team 1 with 64 MiB for each task. */
struct sched_job_event
make_batch_job(uint64_t job, uint32_t tasks, uint64_t cpu_milli);

/* Returns the lease of the placement with index n, from 0. */
uint64_t
harness_get_placed_lease(const struct sched_harness *h, size_t n);

#endif
