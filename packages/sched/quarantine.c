#include "core.h"

/*
 * A failure of a job that also fails on other workers has a low weight; below
 * this weight it is not counted against the worker.
 */
static const double BLAME_WEIGHT_MIN = 0.3;
static const double SUCCESS_SCORE_DECAY = 0.5;
static const double FLEET_RATE_DECAY = 0.999;

/*
 * Returns the fraction of the profile's runs that failed, with a prior of 0.1
 * failures in one run.
 */
static double
failure_rate(const struct profile *p)
{
    return (p->failures + 0.1) / (p->runs + 1);
}

static void
blame_worker(struct worker *w, const struct profile *p, double weight)
{
    w->fault_score += weight;
    for (uint32_t i = 0; i < w->blamed_profile_count; i++) {
        if (w->blamed_profiles[i] == p->id) {
            return;
        }
    }
    if (w->blamed_profile_count < BLAMED_PROFILES_MAX) {
        w->blamed_profiles[w->blamed_profile_count++] = p->id;
    }
}

static bool
is_cap_reached(const struct sched *s)
{
    double max_workers =
        s->config.quarantine_max_fraction * (double)s->up_workers.count;

    return (double)s->quarantined + 1 > (max_workers < 1 ? 1 : max_workers);
}

static void
quarantine_worker(struct sched *s, struct worker *w)
{
    int64_t duration_ns = w->quarantine_ns;

    if (is_cap_reached(s)) {
        return;
    }
    duration_ns = duration_ns == 0 ? s->config.quarantine_ns : duration_ns * 2;
    if (duration_ns > s->config.quarantine_max_ns) {
        duration_ns = s->config.quarantine_max_ns;
    }
    w->quarantine_ns = duration_ns;
    w->quarantined = true;
    w->probation = false;
    s->quarantined++;
    reservation_release_worker(s, w);
    claims_cancel_on_worker(s, w);
    worker_update_indexes(s, w);
    link_remove(&w->dirty);
    timer_set(s, &w->quarantine_timer, s->now + duration_ns);
    emit_action(s, SCHED_ACTION_QUARANTINED)->u.worker = w->id;
}

/*
 * Ends a quarantine. The worker is on probation: it gets one task at a time
 * until a task succeeds.
 */
void
quarantine_begin_probation(struct sched *s, struct worker *w)
{
    if (!w->quarantined) {
        return;
    }
    w->quarantined = false;
    w->probation = true;
    s->quarantined--;
    emit_action(s, SCHED_ACTION_RELEASED)->u.worker = w->id;
    worker_update_indexes(s, w);
    worker_mark_dirty(s, w);
}

static void
record_success(struct sched *s, struct worker *w)
{
    w->fault_score *= SUCCESS_SCORE_DECAY;
    w->blamed_profile_count = 0;
    if (w->probation) {
        w->probation = false;
        w->fault_score = 0;
        worker_update_indexes(s, w);
        worker_mark_dirty(s, w);
    }
}

void
quarantine_record_result(struct sched *s, struct worker *w, struct profile *p,
                         bool failed)
{
    double weight;

    s->fleet_failure_rate *= FLEET_RATE_DECAY;
    s->fleet_failure_rate += failed ? 1 - FLEET_RATE_DECAY : 0;
    if (!failed) {
        record_success(s, w);
        return;
    }
    weight = (1 - failure_rate(p)) * (1 - s->fleet_failure_rate);
    if (weight < BLAME_WEIGHT_MIN) {
        return;
    }
    blame_worker(w, p, weight);
    if (!w->up || w->quarantined) {
        return;
    }
    if (w->probation ||
        (w->fault_score >= s->config.quarantine_min_score &&
         w->blamed_profile_count >= s->config.quarantine_min_jobs)) {
        quarantine_worker(s, w);
    }
}
