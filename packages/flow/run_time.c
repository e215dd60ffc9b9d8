/*
 * Expected run times: averages of the workers' speeds and of the error of each
 * queue's estimates, from observed runs.
 */
#include <math.h>

#include "clock.h"
#include "plan.h"

enum {
    /* Time constant of the decay of a worker's slowness without new runs: a
     * slow worker gets no runs, and must be tried again at some time. */
    SPEED_DECAY_MS = 5000,
    RUN_MIN_MS = 1,
};

/* Weights of a new observation in the moving averages. A worker's speed
 * changes within seconds, the error of a queue's estimates stays the same all
 * day. */
static const double WORKER_EWMA_WEIGHT = 0.15;
static const double QUEUE_EWMA_WEIGHT = 0.02;
/* Limits one observation to a factor of about 20 in either direction. */
static const double RATIO_LOG_MAX = 3.0;

/* Returns the logarithm of the worker's slowness, decayed exponentially since
 * it was last observed. */
static double
decayed_slowness_log(const struct plan_worker *p, int64_t now)
{
    double idle_ms = (double)(now - p->observed_ns) / NS_PER_MS;

    return p->slowness_log * exp(-idle_ms / SPEED_DECAY_MS);
}

double
plan_speed(const struct plan_worker *p, int64_t now)
{
    return p->slowness_log == 0 ? 1 : exp(-decayed_slowness_log(p, now));
}

int64_t
plan_speed_reached_ns(const struct plan_worker *p, double speed, int64_t now)
{
    double decay = decayed_slowness_log(p, now) / -log(speed);

    return decay <= 1 ? now
                      : now +
                            (int64_t)(log(decay) * SPEED_DECAY_MS *
                                      (double)NS_PER_MS) +
                            NS_PER_MS;
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
plan_observe_run(struct flow_worker *w, struct flow_queue *q, double run_ms,
                 double estimate_ms, int64_t now)
{
    struct plan_worker *p = w->session;
    double ratio_log;
    double old_slowness_log;

    if (p == NULL || run_ms < RUN_MIN_MS || estimate_ms < RUN_MIN_MS) {
        return;
    }
    ratio_log = log(run_ms / estimate_ms);
    ratio_log = fmin(fmax(ratio_log, -RATIO_LOG_MAX), RATIO_LOG_MAX);
    old_slowness_log = decayed_slowness_log(p, now);
    p->slowness_log =
        old_slowness_log +
        WORKER_EWMA_WEIGHT * (ratio_log - q->bias_log - old_slowness_log);
    p->observed_ns = now;
    q->bias_log +=
        QUEUE_EWMA_WEIGHT * (ratio_log - old_slowness_log - q->bias_log);
    q->bias = exp(q->bias_log);
}
