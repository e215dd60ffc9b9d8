#ifndef GV_SCHED_CORE_H
#define GV_SCHED_CORE_H

#include "types.h"

/* What the files of this package call of each other. */

/* sched.c */
struct sched_action *
emit(struct sched *s, enum sched_action_kind kind);
void
emit_lease(struct sched *s, enum sched_action_kind kind,
           const struct lease *l);
void
timer_init(struct timer *t, enum timer_kind kind, void *owner);
void
timer_set(struct sched *s, struct timer *t, int64_t at);
void
timer_clear(struct sched *s, struct timer *t);
struct vec
vec_of(const struct sched_size *size);

/* learn.c */
void
quantile_add(struct quantile *q, double value);
double
quantile_get(const struct quantile *q, double fraction);
struct profile *
profile_get(struct sched *s, uint32_t team, struct str name);
void
profile_release(struct sched *s, struct profile *p);
void
profiles_destroy(struct sched *s);
void
learn_end(struct sched *s, const struct lease *l, enum sched_end end);

/* The run time that this fraction of such tasks stay below; 0: unknown. */
int64_t
expected_run_ns(const struct job *j, double fraction);
struct vec
learned_ask(struct sched *s, const struct job *j);

/* team.c */
struct team *
team_get(struct sched *s, uint32_t id);
void
team_destroy(struct team *t);
void
team_event(struct sched *s, const struct sched_team_event *e);
bool
team_allows(const struct team *t, const struct job *j, const struct vec *need);
void
team_charge(struct sched *s, const struct lease *l);
void
team_release(struct sched *s, const struct lease *l);
void
team_mark_dirty(struct sched *s, struct team *t);
void
team_hold(struct sched *s, struct job *j, const struct vec *need);
void
team_unhold(struct sched *s, const struct job *j);
void
team_enforce(struct sched *s, struct team *t);
void
account_update(struct sched *s, struct account *a);
void
account_jobs_changed(struct sched *s, struct account *a, int by);
double
account_key(const struct sched *s, const struct account *a, int64_t since);
double
account_ratio(const struct sched *s, const struct account *a);
double
dominant_share(const struct sched *s, const struct vec *used);
void
shares_refresh(struct sched *s);

/* queue.c */
void
queue_add(struct sched *s, struct job *j);
void
queue_remove(struct sched *s, struct job *j);
void
queue_move(struct sched *s, struct queue *q, struct fit_tree *to);
void
queue_refresh(struct sched *s, struct queue *q);
void
queues_retry(struct sched *s, struct account *a, struct fit_tree *tree);
void
lane_update(struct sched *s, struct account *a, int lane);
struct queue *
queue_pick(struct sched *s);

/* fleet.c */
struct worker *
worker_get(struct sched *s, uint32_t id);
void
worker_free(struct sched *s, struct worker *w);
void
worker_up(struct sched *s, const struct sched_worker_event *e);
void
worker_draining(struct sched *s, const struct sched_draining_event *e);
void
worker_expired(struct sched *s, const struct sched_expired_event *e);
struct vec
worker_avail(const struct worker *w);
void
worker_charge(struct sched *s, struct worker *w, const struct vec *size,
              int sign);
void
worker_update(struct sched *s, struct worker *w);
void
worker_count_stoppable(struct worker *w, const struct vec *size, int sign);
void
worker_update_stoppable(struct sched *s, struct worker *w);
void
worker_mark_dirty(struct sched *s, struct worker *w);
void
worker_maybe_forget(struct sched *s, struct worker *w);
bool
fleet_fits(const struct sched *s, const struct vec *size);
int64_t
fleet_slots(const struct sched *s, const struct vec *size, int64_t enough);
int64_t
slots_in(const struct vec *room, const struct vec *size);

/* quarantine.c */
void
quarantine_note(struct sched *s, struct worker *w, struct profile *p,
                bool failed);
void
quarantine_probe(struct sched *s, struct worker *w);
void
quarantine_clear(struct sched *s, struct worker *w);

/* lease.c */
struct lease *
lease_create(struct sched *s, struct job *j, uint32_t task, struct worker *w,
             const struct vec *size, uint64_t id);
struct lease *
lease_place(struct sched *s, struct job *j, uint32_t task, struct worker *w,
            const struct vec *size);
void
lease_committed(struct sched *s, uint64_t id);
void
lease_failed(struct sched *s, uint64_t id);
void
lease_running(struct sched *s, uint64_t id);
void
lease_ended(struct sched *s, const struct sched_ended_event *e);
void
lease_usage(struct sched *s, const struct sched_usage_event *e);
void
lease_finish(struct sched *s, struct lease *l, enum sched_end end);
void
lease_stop(struct sched *s, struct lease *l, int64_t grace_ns);
void
lease_stop_overdue(struct sched *s, struct lease *l);
void
lease_free(struct sched *s, struct lease *l);
void
leases_drop(struct sched *s);
bool
lease_preemptible(const struct lease *l);

/* job.c */
void
job_event(struct sched *s, const struct sched_job_event *e);
void
job_cancel(struct sched *s, uint64_t id);
void
job_restore(struct sched *s, const struct sched_restore_event *e);
void
jobs_restored(struct sched *s);
uint32_t
job_take(struct sched *s, struct job *j);
void
job_put_back(struct sched *s, struct job *j, uint32_t task);
void
job_delay(struct sched *s, struct job *j, uint32_t task, uint32_t failures);
void
job_backoff_over(struct sched *s, struct job *j);
void
job_end(struct sched *s, struct job *j, enum sched_reason reason);
void
job_settle(struct sched *s, struct job *j);
void
job_regroup(struct sched *s, struct job *j);
void
job_queue(struct sched *s, struct job *j);
void
job_park(struct sched *s, struct job *j, enum sched_reason reason);
void
job_park_report(struct sched *s, struct job *j);
void
job_unpark(struct sched *s, struct job *j);
bool
job_ending(const struct job *j);
void
job_free(struct sched *s, struct job *j);
struct vec
job_need(const struct job *j);

/* place.c */
void
place_tick(struct sched *s);
bool
place_pending(const struct sched *s);

/* policy.c */
struct worker *
policy_pick(struct sched *s, struct job *j);

/* service.c */
struct worker *
service_pick(struct sched *s, struct job *j);
void
spread_count(struct lease *l, int by);
void
spread_update(struct sched *s, struct worker *w);

/* batch.c */
struct worker *
batch_pick(struct sched *s, struct job *j);
struct worker *
backfill_pick(struct sched *s, struct job *j);

/* gang.c */
bool
gang_try(struct sched *s, struct queue *q, struct job *j);
void
gang_occupy(struct sched *s, struct worker *w, const struct vec *size,
            int sign);
void
gang_place(struct sched *s, struct job *j, struct worker **picks,
           size_t count);

/* reservation.c */
void
reservation_hold(struct sched *s, struct worker *w, int64_t slots);
void
reservation_foresee(struct sched *s);
bool
reservation_start(struct sched *s, struct job *j);
void
reservation_charge(struct sched *s);
void
reservation_drop(struct sched *s);
void
reservation_offer(struct sched *s, struct worker *w);
void
reservation_update(struct sched *s, struct worker *w);
void
reservation_leave(struct sched *s, struct worker *w);
void
reservation_yield(struct sched *s, struct worker *w, int64_t most);
bool
reservation_complete(struct sched *s);
void
reservation_overdue(struct sched *s);

/* reserve_next.c */
void
reserve_next(struct sched *s);
void
reserve_soon(struct sched *s);

/* reclaim.c */
void
reclaim_shares(struct sched *s);

/* urgent.c */
bool
urgent_preempt(struct sched *s, struct job *j);
void
claim_room(struct sched *s, struct job *j, struct worker *w, int64_t wait_ns);
void
claims_serve(struct sched *s, struct worker *w);
void
claim_drop(struct sched *s, struct claim *c);
void
claims_drop_worker(struct sched *s, struct worker *w);
void
claims_drop_job(struct sched *s, struct job *j);

#endif
