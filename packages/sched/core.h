#ifndef GV_SCHED_CORE_H
#define GV_SCHED_CORE_H

#include "types.h"

/*
 * Functions shared by the files of this package. Unless stated otherwise they
 * are described where they are defined.
 */

/* sched.c */
/* Appends an action to the output; the caller fills in its fields. */
struct sched_action *
emit_action(struct sched *s, enum sched_action_kind kind);
void
emit_lease_action(struct sched *s, enum sched_action_kind kind,
                  const struct lease *l);
void
timer_init(struct timer *t, enum timer_kind kind, void *owner);
/* Arms the timer for the time at_ns, also if it is armed already. */
void
timer_set(struct sched *s, struct timer *t, int64_t at_ns);
void
timer_clear(struct sched *s, struct timer *t);
struct vec
vec_from_size(const struct sched_size *size);

/* profile.c */
void
histogram_add_sample(struct decayed_histogram *h, double value);
double
histogram_quantile(const struct decayed_histogram *h, double fraction);
/* Returns a profile that is in use until profile_release(). */
struct profile *
profile_acquire(struct sched *s, uint32_t team, struct str name);
void
profile_release(struct sched *s, struct profile *p);
void
profiles_destroy(struct sched *s);
/* Records run time, resource use and success of a lease that ended. */
void
profile_record_end(struct sched *s, const struct lease *l, enum sched_end end);

/*
 * Returns the run time in ns that this fraction of the job's tasks stay below,
 * as learned or else as declared; 0 if it is unknown.
 */
int64_t
expected_run_time_ns(const struct job *j, double fraction);
struct vec
learned_request(struct sched *s, const struct job *j);

/* team.c */
struct team *
team_get_or_create(struct sched *s, uint32_t id);
void
team_destroy(struct team *t);
void
team_handle_event(struct sched *s, const struct sched_team_event *e);
bool
team_has_room(const struct team *t, const struct job *j,
              const struct vec *need);
/* Counts a lease as used by its team and account. */
void
team_charge(struct sched *s, const struct lease *l);
/* Undoes team_charge() once the lease has ended. */
void
team_release(struct sched *s, const struct lease *l);
/* Room under the limit was released: queues it held back are tried again. */
void
team_mark_dirty(struct sched *s, struct team *t);
void
team_hold_room(struct sched *s, struct job *j, const struct vec *need);
void
team_release_hold(struct sched *s, const struct job *j);
void
team_enforce_limits(struct sched *s, struct team *t);
void
account_update(struct sched *s, struct account *a);
void
account_jobs_changed(struct sched *s, struct account *a, int by);
double
account_order_key(const struct sched *s, const struct account *a,
                  int64_t since_ns);
double
account_share_ratio(const struct sched *s, const struct account *a);
/* Returns the largest fraction of the fleet that used is in a dimension. */
double
compute_dominant_share(const struct sched *s, const struct vec *used);
void
accounts_refresh_shares(struct sched *s);

/* queue.c */
void
queue_add(struct sched *s, struct job *j);
void
queue_remove(struct sched *s, struct job *j);
void
queue_move(struct sched *s, struct queue *q, struct fit_tree *to);
void
queue_refresh(struct sched *s, struct queue *q);
/* Moves all queues in tree to the ready trees of their lanes. */
void
queues_make_ready(struct sched *s, struct account *a, struct fit_tree *tree);
/* Updates the position of an account's lane among those with ready queues. */
void
lane_update_order(struct sched *s, struct account *a, int lane);
/* Returns the ready queue to try next, urgent lane first; NULL if none. */
struct queue *
queue_pick_next(struct sched *s);

/* worker.c */
struct worker *
worker_get_or_create(struct sched *s, uint32_t id);
void
worker_free(struct sched *s, struct worker *w);
void
worker_handle_up(struct sched *s, const struct sched_worker_event *e);
void
worker_handle_draining(struct sched *s, const struct sched_draining_event *e);
void
worker_handle_expired(struct sched *s, const struct sched_expired_event *e);
struct vec
worker_available(const struct worker *w);
/* Adds size to the use of a worker, or subtracts it if sign is -1. */
void
worker_charge(struct sched *s, struct worker *w, const struct vec *size,
              int sign);
void
worker_update_indexes(struct sched *s, struct worker *w);
void
worker_add_stoppable(struct worker *w, const struct vec *size, int sign);
void
worker_update_stoppable(struct sched *s, struct worker *w);
/* Capacity was released: it is offered to waiting work on the next tick. */
void
worker_mark_dirty(struct sched *s, struct worker *w);
void
worker_free_if_unused(struct sched *s, struct worker *w);
/* Whether a worker that is up could hold size when empty. */
bool
fleet_has_fitting_worker(const struct sched *s, const struct vec *size);
int64_t
fleet_count_slots(const struct sched *s, const struct vec *size,
                  int64_t enough);
int64_t
count_slots(const struct vec *room, const struct vec *size);

/* quarantine.c */
/*
 * Updates the fault score of a worker after a task failed or succeeded there,
 * and quarantines the worker if needed.
 */
void
quarantine_record_result(struct sched *s, struct worker *w, struct profile *p,
                         bool failed);
void
quarantine_begin_probation(struct sched *s, struct worker *w);
void
quarantine_clear(struct sched *s, struct worker *w);

/* lease.c */
/* Creates a lease and charges it to its worker and team. */
struct lease *
lease_create(struct sched *s, struct job *j, uint32_t task, struct worker *w,
             const struct vec *size, uint64_t id);
/* Creates a lease with a new number and emits its PLACE action. */
struct lease *
lease_place(struct sched *s, struct job *j, uint32_t task, struct worker *w,
            const struct vec *size);
void
lease_handle_placement_committed(struct sched *s, uint64_t id);
void
lease_handle_placement_failed(struct sched *s, uint64_t id);
void
lease_handle_running(struct sched *s, uint64_t id);
void
lease_handle_ended(struct sched *s, const struct sched_ended_event *e);
void
lease_handle_usage(struct sched *s, const struct sched_usage_event *e);
void
lease_finish(struct sched *s, struct lease *l, enum sched_end end);
void
lease_stop(struct sched *s, struct lease *l, int64_t grace_ns);
void
lease_force_stop(struct sched *s, struct lease *l);
void
lease_free(struct sched *s, struct lease *l);
void
leases_finish_deferred(struct sched *s);
/* Whether the lease may be stopped for other work. */
bool
lease_is_preemptible(const struct lease *l);

/* job.c */
void
job_handle_event(struct sched *s, const struct sched_job_event *e);
void
job_cancel(struct sched *s, uint64_t id);
void
job_handle_restore(struct sched *s, const struct sched_restore_event *e);
void
jobs_finish_restore(struct sched *s);
uint32_t
job_take_task(struct sched *s, struct job *j);
/* Puts a task back on the waiting list; the caller queues the job. */
void
job_return_task(struct sched *s, struct job *j, uint32_t task);
void
job_delay_task(struct sched *s, struct job *j, uint32_t task,
               uint32_t failures);
void
job_end_backoff(struct sched *s, struct job *j);
void
job_fail(struct sched *s, struct job *j, enum sched_reason reason);
void
job_update_state(struct sched *s, struct job *j);
void
job_restart_gang(struct sched *s, struct job *j);
void
job_enqueue(struct sched *s, struct job *j);
void
job_park(struct sched *s, struct job *j, enum sched_reason reason);
void
job_report_unschedulable(struct sched *s, struct job *j);
void
job_unpark(struct sched *s, struct job *j);
/* Whether the job was cancelled or has failed. */
bool
job_is_ending(const struct job *j);
void
job_free(struct sched *s, struct job *j);
struct vec
job_needed_room(const struct job *j);

/* placement.c */
/* Handles SCHED_EVENT_TICK. */
void
placement_run_tick(struct sched *s);
/* Whether another tick is due at once. */
bool
placement_is_pending(const struct sched *s);

/* policy.c */
struct worker *
policy_pick_worker(struct sched *s, struct job *j);

/* service.c */
struct worker *
service_pick_worker(struct sched *s, struct job *j);
void
spread_count_lease(struct lease *l, int by);
void
spread_update_worker(struct sched *s, struct worker *w);

/* batch.c */
struct worker *
batch_pick_worker(struct sched *s, struct job *j);
struct worker *
backfill_pick_worker(struct sched *s, struct job *j);

/* gang.c */
bool
gang_try_place(struct sched *s, struct queue *q, struct job *j);
void
gang_add_planned_use(struct sched *s, struct worker *w, const struct vec *size,
                     int sign);
void
gang_place_tasks(struct sched *s, struct job *j, struct worker **picks,
                 size_t count);

/* reservation.c */
void
reservation_hold_slots(struct sched *s, struct worker *w, int64_t slots);
void
reservation_forecast(struct sched *s);
bool
reservation_start(struct sched *s, struct job *j);
void
reservation_charge_team(struct sched *s);
/* Ends the reservation, if there is one, and releases all its slots. */
void
reservation_release(struct sched *s);
void
reservation_take_free_slots(struct sched *s, struct worker *w);
void
reservation_update_worker(struct sched *s, struct worker *w);
void
reservation_release_worker(struct sched *s, struct worker *w);
void
reservation_release_busy_slots(struct sched *s, struct worker *w,
                               int64_t max_slots);
bool
reservation_try_complete(struct sched *s);
void
reservation_handle_shadow_time(struct sched *s);

/* reservation_next.c */
void
reservation_choose_next(struct sched *s);
void
reservation_arm_timer(struct sched *s);

/* reclaim.c */
void
reclaim_shares(struct sched *s);

/* claim.c */
bool
urgent_preempt(struct sched *s, struct job *j);
void
claim_create(struct sched *s, struct job *j, struct worker *w,
             int64_t wait_ns);
void
claims_place_ready(struct sched *s, struct worker *w);
/* Frees a claim and returns its task to the queue. */
void
claim_cancel(struct sched *s, struct claim *c);
void
claims_cancel_on_worker(struct sched *s, struct worker *w);
void
claims_cancel_of_job(struct sched *s, struct job *j);

#endif
