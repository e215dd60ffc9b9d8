#include "histogram.h"

#include <inttypes.h>
#include <stdio.h>

#include "clock.h"
#include "counter.h"
#include "mem.h"

/* Around what callers wait for: a commit takes milliseconds, a deadline is a
 * few seconds away. */
static const int64_t bounds_ms[] = {1,   2,   5,    10,   20,   50,    100,
                                    200, 500, 1000, 2000, 5000, 10000, 30000};

enum {
    BOUNDS = sizeof(bounds_ms) / sizeof(bounds_ms[0]),
};

struct histogram {
    struct counter *buckets[BOUNDS + 1]; /* the last has no bound */
    struct counter *sum;                 /* ms */
    struct counter *count;
};

static struct counter *
part(const char *name, const char *suffix, const char *help)
{
    struct buf text = {0};
    struct counter *c;

    buf_printf(&text, "%s%s", name, suffix);
    c = counter_get_copy(COUNTER_SUM, buf_str(&text), help);
    buf_free(&text);
    return c;
}

struct histogram *
histogram_create(const char *name, const char *help)
{
    struct histogram *h = mem_zalloc(1, sizeof(*h));

    for (size_t i = 0; i < BOUNDS; i++) {
        char bound[32];

        snprintf(bound, sizeof(bound), "_bucket{le=\"%" PRId64 "\"}",
                 bounds_ms[i]);
        h->buckets[i] = part(name, bound, help);
    }
    h->buckets[BOUNDS] = part(name, "_bucket{le=\"+Inf\"}", help);
    h->sum = part(name, "_sum", help);
    h->count = part(name, "_count", help);
    return h;
}

void
histogram_destroy(struct histogram *h)
{
    mem_free(h);
}

void
histogram_observe(struct histogram *h, int64_t ns)
{
    int64_t ms = ns < 0 ? 0 : ns / NS_PER_MS;

    for (size_t i = BOUNDS; i > 0 && ms <= bounds_ms[i - 1]; i--) {
        counter_add(h->buckets[i - 1], 1);
    }
    counter_add(h->buckets[BOUNDS], 1);
    counter_add(h->sum, (uint64_t)ms);
    counter_add(h->count, 1);
}
