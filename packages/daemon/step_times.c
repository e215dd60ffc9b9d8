#include "step_times.h"

#include <inttypes.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "mem.h"

enum {
    BUCKETS = 6,
};

/* Upper bounds of the buckets; the last bucket has none. */
static const int64_t bucket_bounds_ms[BUCKETS - 1] = {1, 5, 20, 100, 500};

struct step_times {
    int64_t limit_ns;
    struct counter *buckets[BUCKETS];
    struct counter *busy;
    struct counter *stalls;
};

static struct counter *
bucket_create(int i)
{
    struct buf name = {0};
    struct counter *c;

    buf_printf(&name, "guavarock_control_step_ms_bucket{le=\"");
    if (i < BUCKETS - 1) {
        buf_printf(&name, "%" PRId64 "\"}", bucket_bounds_ms[i]);
    }
    else {
        buf_printf(&name, "+Inf\"}");
    }
    c = counter_get_copy(COUNTER_SUM, buf_str(&name),
                         "Steps of the control loop, by their time.");
    buf_free(&name);
    return c;
}

struct step_times *
step_times_create(int64_t limit_ns)
{
    struct step_times *t = mem_zalloc(1, sizeof(*t));

    t->limit_ns = limit_ns;
    for (int i = 0; i < BUCKETS; i++) {
        t->buckets[i] = bucket_create(i);
    }
    t->busy = counter_get(COUNTER_SUM, "guavarock_control_busy_ns_total",
                          "Time that the control loop was busy.");
    t->stalls =
        counter_get(COUNTER_SUM, "guavarock_control_stalls_total",
                    "Times that the control loop took longer than the "
                    "election timeout for a step, or woke up that late.");
    return t;
}

void
step_times_destroy(struct step_times *t)
{
    mem_free(t);
}

void
step_times_add(struct step_times *t, int64_t began, int64_t ended)
{
    int64_t took = ended - began;

    counter_add(t->busy, (uint64_t)took);
    for (int i = BUCKETS - 1;
         i >= 0 &&
         (i == BUCKETS - 1 || took <= bucket_bounds_ms[i] * NS_PER_MS);
         i--) {
        counter_add(t->buckets[i], 1);
    }
    if (took > t->limit_ns) {
        counter_add(t->stalls, 1);
        log_write(LOG_LEVEL_WARNING,
                  "control: a step took %" PRId64
                  " ms, which delays heartbeats and leases",
                  took / NS_PER_MS);
    }
}

void
step_times_add_wakeup(struct step_times *t, int64_t deadline, int64_t now)
{
    if (now - deadline > t->limit_ns) {
        counter_add(t->stalls, 1);
        log_write(LOG_LEVEL_WARNING,
                  "control: this process did not run for %" PRId64 " ms",
                  (now - deadline) / NS_PER_MS);
    }
}
