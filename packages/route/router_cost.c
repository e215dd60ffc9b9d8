#include "clock.h"
#include "router_int.h"

/* Factor on the estimated wait, so that admitted requests seldom end just
 * after their deadline, which wastes the time of their slot. */
#define WAIT_SAFETY_FACTOR 1.5

enum {
    /* Weights of a new sample are 1/8 in the mean and 1/4 in the deviation,
     * as for round-trip times (RFC 6298, section 2). */
    MEAN_SHIFT = 3,
    DEV_SHIFT = 2,
    /* An attempt seldom takes longer than the mean plus this many
     * deviations. */
    BOUND_DEVIATIONS = 2,
    /* With fewer samples, no request is refused for its expected cost. */
    MIN_SAMPLES = 8,
    /* A sample is capped at this many means above the mean, so that one
     * outlier does not make a class look too slow. */
    MAX_SAMPLE_MEANS = 3,
    /* One in this many requests of a class that seems too slow is admitted,
     * to learn whether it still is. */
    RELEARN_INTERVAL = 16,
    /* Expected cost of a class without samples. */
    DEFAULT_COST_NS = 1000000,
    /* Requests are refused for their expected wait only once the service's
     * queue has not been empty for this time: the ledger has then had the time
     * to move slots to this entry. */
    EARLY_REFUSAL_AFTER_NS = 100000000,
};

struct cost *
queue_find_cost(struct queue *q, uint32_t path_class)
{
    return &q->costs[path_class % PATH_CLASS_COUNT];
}

void
cost_add_sample(struct cost *c, int64_t duration_ns)
{
    int64_t diff_ns;

    c->too_slow_count = 0;
    if (c->samples < MIN_SAMPLES) {
        c->samples++;
    }
    if (c->samples == 1) {
        c->mean_ns = duration_ns;
        c->dev_ns = duration_ns / 2;
        return;
    }
    diff_ns = duration_ns - c->mean_ns;
    if (diff_ns > MAX_SAMPLE_MEANS * c->mean_ns) {
        diff_ns = MAX_SAMPLE_MEANS * c->mean_ns;
    }
    c->mean_ns += diff_ns >> MEAN_SHIFT;
    c->dev_ns += ((diff_ns < 0 ? -diff_ns : diff_ns) - c->dev_ns) >> DEV_SHIFT;
}

int64_t
cost_get_mean_ns(const struct cost *c)
{
    return c->samples == 0 ? DEFAULT_COST_NS : c->mean_ns;
}

bool
cost_would_miss_deadline(struct cost *c, int64_t now, int64_t wait_ns,
                         int64_t deadline, bool busy)
{
    int64_t left_ns = deadline - now - wait_ns;
    int64_t bound_ns = c->mean_ns + (busy ? BOUND_DEVIATIONS * c->dev_ns : 0);

    if (left_ns <= 0) {
        return true;
    }
    if (c->samples < MIN_SAMPLES || bound_ns <= left_ns) {
        return false;
    }
    if (wait_ns > 0) {
        return true;
    }
    c->too_slow_count++;
    return c->too_slow_count % RELEARN_INTERVAL != 0;
}

/* Sums the expected cost of the requests in bucket and lower ones. */
static int64_t
sum_cost_ahead_ns(const struct flow *f, uint32_t bucket)
{
    int64_t sum = 0;

    for (uint32_t i = 0; i <= bucket; i++) {
        sum += f->queued_cost_ns[i];
    }
    return sum;
}

/* Estimates how many slots the queue gets beside others with requests. */
static double
estimate_slots(const struct queue *q)
{
    const struct service *s = q->service;
    double weights = (double)(s->active_weight - q->counted_weight);
    double slots = (double)s->in_flight + s->free_slots;

    slots *= q->team->weight / (weights + q->team->weight);
    if (q->team->limited && q->team->units->held < slots) {
        slots = q->team->units->held;
    }
    return slots;
}

/* Counts the flows of the queue, except own, that have requests. */
static uint32_t
count_other_flows(const struct queue *q, const struct flow *own)
{
    uint32_t count = 0;

    for (size_t i = 0; i < FLOW_COUNT; i++) {
        const struct flow *f = &q->flows[i];
        count += f != own && f->requests.count > 0;
    }
    return count;
}

int64_t
estimate_wait_ns(const struct request *req, int64_t now)
{
    const struct queue *q = req->queue;
    const struct service *s = q->service;
    double slots = estimate_slots(q);
    double estimate_ns;

    if (s->queued == 0 || now < s->queued_since + EARLY_REFUSAL_AFTER_NS ||
        slots < 1) {
        return 0;
    }
    estimate_ns = (double)sum_cost_ahead_ns(req->flow, timeout_bucket(req));
    estimate_ns *= 1 + count_other_flows(q, req->flow);
    estimate_ns *= WAIT_SAFETY_FACTOR / slots;
    return estimate_ns > (double)INT32_MAX * (double)NS_PER_MS
               ? INT32_MAX * NS_PER_MS
               : (int64_t)estimate_ns;
}
