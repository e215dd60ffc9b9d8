/*
 * Learned run times: how fast workers are, how far estimates are off.
 */
#include <math.h>

#include "clock.h"
#include "plan.h"

enum {
    /* What was learned of a worker halves in about this time without runs,
     * so that one that was slow is tried again. */
    FADE_MS = 5000,
    RUN_MIN_MS = 1,
};

/* Shares of a new observation: workers change within seconds, estimates of a
 * queue are wrong in the same way all day. */
static const double WORKER_SHARE = 0.15;
static const double QUEUE_SHARE = 0.02;
/* A single run says no more than a factor of 20 about either. */
static const double RATIO_LOG_MAX = 3.0;

static double
faded(const struct plan_worker *p, int64_t now)
{
    double idle_ms = (double)(now - p->observed_at) / NS_PER_MS;

    return p->slowness_log * exp(-idle_ms / FADE_MS);
}

double
plan_speed(const struct plan_worker *p, int64_t now)
{
    return exp(-faded(p, now));
}

double
plan_run_ms(const struct flow_job *j, const struct flow_step *step,
            double speed)
{
    const struct flow_queue *q = j->queue;
    double bias = q->bias_log == 0 ? 1 : q->bias;
    double ms = step->spec->estimate_ms * bias / speed;

    return ms < RUN_MIN_MS ? RUN_MIN_MS : ms;
}

void
plan_observe(struct flow_worker *w, struct flow_queue *q, double run_ms,
             double estimate_ms, int64_t now)
{
    struct plan_worker *p = w->session;
    double ratio;
    double slowness;

    if (p == NULL || run_ms < RUN_MIN_MS || estimate_ms < RUN_MIN_MS) {
        return;
    }
    ratio = log(run_ms / estimate_ms);
    ratio = fmin(fmax(ratio, -RATIO_LOG_MAX), RATIO_LOG_MAX);
    slowness = faded(p, now);
    p->slowness_log =
        slowness + WORKER_SHARE * (ratio - q->bias_log - slowness);
    p->observed_at = now;
    q->bias_log += QUEUE_SHARE * (ratio - slowness - q->bias_log);
    q->bias = exp(q->bias_log);
}
