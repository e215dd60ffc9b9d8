#include "core.h"

/* A failure weighs little if the job also fails elsewhere. */
static const double BLAME_LEAST = 0.3;
static const double SUCCESS_DECAY = 0.5;
static const double FLEET_DECAY = 0.999;

/* Fraction of the runs of such jobs that fail, drawn to a low prior. */
static double
failure_rate(const struct profile *p)
{
    return (p->failures + 0.1) / (p->runs + 1);
}

static void
blame(struct worker *w, const struct profile *p, double weight)
{
    w->score += weight;
    for (uint32_t i = 0; i < w->blamed_count; i++) {
        if (w->blamed[i] == p->id) {
            return;
        }
    }
    if (w->blamed_count < BLAMED_JOBS) {
        w->blamed[w->blamed_count++] = p->id;
    }
}

static bool
cap_reached(const struct sched *s)
{
    double most = s->config.quarantine_cap * (double)s->capacity.count;

    return (double)s->quarantined + 1 > (most < 1 ? 1 : most);
}

static void
quarantine(struct sched *s, struct worker *w)
{
    int64_t length = w->quarantine_ns;

    if (cap_reached(s)) {
        return;
    }
    length = length == 0 ? s->config.quarantine_ns : length * 2;
    if (length > s->config.quarantine_max_ns) {
        length = s->config.quarantine_max_ns;
    }
    w->quarantine_ns = length;
    w->quarantined = true;
    w->probation = false;
    s->quarantined++;
    reservation_leave(s, w);
    claims_drop_worker(s, w);
    worker_update(s, w);
    link_remove(&w->dirty);
    timer_set(s, &w->release, s->now + length);
    emit(s, SCHED_ACTION_QUARANTINED)->u.worker = w->id;
}

/* The worker gets one task at a time until one succeeds. */
void
quarantine_probe(struct sched *s, struct worker *w)
{
    if (!w->quarantined) {
        return;
    }
    w->quarantined = false;
    w->probation = true;
    s->quarantined--;
    emit(s, SCHED_ACTION_RELEASED)->u.worker = w->id;
    worker_update(s, w);
    worker_mark_dirty(s, w);
}

static void
clear(struct sched *s, struct worker *w)
{
    w->score *= SUCCESS_DECAY;
    w->blamed_count = 0;
    if (w->probation) {
        w->probation = false;
        w->score = 0;
        worker_update(s, w);
        worker_mark_dirty(s, w);
    }
}

void
quarantine_note(struct sched *s, struct worker *w, struct profile *p,
                bool failed)
{
    double weight;

    s->fleet_failures *= FLEET_DECAY;
    s->fleet_failures += failed ? 1 - FLEET_DECAY : 0;
    if (!failed) {
        clear(s, w);
        return;
    }
    weight = (1 - failure_rate(p)) * (1 - s->fleet_failures);
    if (weight < BLAME_LEAST) {
        return;
    }
    blame(w, p, weight);
    if (!w->up || w->quarantined) {
        return;
    }
    if (w->probation || (w->score >= s->config.quarantine_score &&
                         w->blamed_count >= s->config.quarantine_jobs)) {
        quarantine(s, w);
    }
}
