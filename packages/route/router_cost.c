#include "clock.h"
#include "router_int.h"

/* The estimate is raised, so that admitted requests seldom end just after
 * their deadline, which wastes their slot time. */
#define WAIT_FACTOR 1.5

enum {
    /* Weights of a new sample: 1/8 in the mean and 1/4 in the deviation,
     * as for round-trip times (RFC 6298, section 2). */
    MEAN_SHIFT = 3,
    DEV_SHIFT = 2,
    /* An attempt seldom takes more than the mean and so many deviations. */
    BOUND_DEVS = 2,
    /* Fewer samples refuse nothing. */
    MIN_SAMPLES = 8,
    /* A sample counts as at most so many means above the mean, so that one
     * outlier does not make a class look too slow. */
    MAX_STEP = 3,
    /* One in so many requests of a class that seems too slow is let through,
     * to learn whether it still is. */
    LEARN_PART = 16,
    /* Charged for a class without samples. */
    GUESS_NS = 1000000,
    /* Early refusals begin once requests have waited so long: the ledger has
     * then had the time to move slots here. */
    EARLY_AFTER_NS = 100000000,
};

struct cost *
cost_of(struct queue *q, uint32_t path_class)
{
    return &q->costs[path_class % CLASS_COUNT];
}

void
cost_learn(struct cost *c, int64_t duration_ns)
{
    int64_t off;

    c->skips = 0;
    if (c->samples < MIN_SAMPLES) {
        c->samples++;
    }
    if (c->samples == 1) {
        c->mean_ns = duration_ns;
        c->dev_ns = duration_ns / 2;
        return;
    }
    off = duration_ns - c->mean_ns;
    if (off > MAX_STEP * c->mean_ns) {
        off = MAX_STEP * c->mean_ns;
    }
    c->mean_ns += off >> MEAN_SHIFT;
    c->dev_ns += ((off < 0 ? -off : off) - c->dev_ns) >> DEV_SHIFT;
}

int64_t
cost_mean(const struct cost *c)
{
    return c->samples == 0 ? GUESS_NS : c->mean_ns;
}

bool
cost_too_late(struct cost *c, int64_t now, int64_t wait, int64_t deadline,
              bool busy)
{
    int64_t left = deadline - now - wait;
    int64_t bound = c->mean_ns + (busy ? BOUND_DEVS * c->dev_ns : 0);

    if (left <= 0) {
        return true;
    }
    if (c->samples < MIN_SAMPLES || bound <= left) {
        return false;
    }
    if (wait > 0) {
        return true;
    }
    c->skips++;
    return c->skips % LEARN_PART != 0;
}

static int64_t
work_ahead(const struct flow *f, uint32_t bucket)
{
    int64_t sum = 0;

    for (uint32_t i = 0; i <= bucket; i++) {
        sum += f->work[i];
    }
    return sum;
}

/* Slots that the queue gets while others wait too. */
static double
slots_for(const struct queue *q)
{
    const struct service *s = q->service;
    double weights = (double)(s->active_weight - q->weight_counted);
    double slots = (double)s->in_flight + s->free_slots;

    slots *= q->team->weight / (weights + q->team->weight);
    if (q->team->limited && q->team->units->held < slots) {
        slots = q->team->units->held;
    }
    return slots;
}

static uint32_t
other_flows(const struct queue *q, const struct flow *own)
{
    uint32_t count = 0;

    for (size_t i = 0; i < FLOW_COUNT; i++) {
        const struct flow *f = &q->flows[i];
        count += f != own && f->requests.count > 0;
    }
    return count;
}

int64_t
expected_wait(const struct request *req, int64_t now)
{
    const struct queue *q = req->queue;
    const struct service *s = q->service;
    double slots = slots_for(q);
    double work;

    if (s->queued == 0 || now < s->starving_since + EARLY_AFTER_NS ||
        slots < 1) {
        return 0;
    }
    work = (double)work_ahead(req->flow, queue_bucket(req));
    work *= 1 + other_flows(q, req->flow);
    work *= WAIT_FACTOR / slots;
    return work > (double)INT32_MAX * (double)NS_PER_MS ? INT32_MAX * NS_PER_MS
                                                        : (int64_t)work;
}
