#include "urgency.h"

#include "mem.h"
#include "plan_impl.h"

enum {
    /* A job that takes more than this many times its objective is useless. */
    USELESS_LATENESS_FACTOR = 3,
    /* Share of the objective by which a step stops yielding before its latest
     * start, for its wait among the other steps that yield no more. */
    YIELD_UNTIL_PERCENT = 25,
    /* Most of the capacity that gangs can claim. */
    CLAIM_PERCENT_MAX = 30,
};

/* What gangs of queues with one priority claim. */
struct headroom_claim {
    uint32_t priority;
    struct flow_size size;
};

enum urgency
urgency_of(const struct urgency_times *t, int64_t now)
{
    if (now > t->arrived_ns + t->objective_ns * USELESS_LATENESS_FACTOR) {
        return URGENCY_USELESS;
    }
    return now > t->latest_start_ns ? URGENCY_LATE : URGENCY_IN_TIME;
}

uint32_t
urgency_class(enum urgency urgency, uint32_t priority)
{
    uint64_t class = (uint64_t)priority * 2;

    switch (urgency) {
    case URGENCY_IN_TIME:
        break;
    case URGENCY_LATE:
        class += 3;
        break;
    case URGENCY_USELESS:
        return UINT32_MAX;
    }
    return class < UINT32_MAX ? (uint32_t) class : UINT32_MAX - 1;
}

bool
urgency_yields(const struct urgency_times *t, int64_t now)
{
    return now > t->latest_start_ns ||
           t->latest_start_ns - now >
               t->objective_ns / 100 * YIELD_UNTIL_PERCENT;
}

int64_t
urgency_next_change_ns(const struct urgency_times *t, int64_t now)
{
    const int64_t changes[] = {
        t->latest_start_ns - t->objective_ns / 100 * YIELD_UNTIL_PERCENT,
        t->latest_start_ns + 1,
        t->arrived_ns + t->objective_ns * USELESS_LATENESS_FACTOR + 1,
    };
    int64_t next = INT64_MAX;

    for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
        if (changes[i] > now && changes[i] < next) {
            next = changes[i];
        }
    }
    return next;
}

static uint64_t
add_saturating(uint64_t a, uint64_t b)
{
    return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

/* Adds sizes that workers and callers chose, so that the sum may overflow. */
static struct flow_size
sum(struct flow_size a, struct flow_size b)
{
    return (struct flow_size){add_saturating(a.cpu_milli, b.cpu_milli),
                              add_saturating(a.memory_mib, b.memory_mib),
                              add_saturating(a.accelerators, b.accelerators)};
}

void
headroom_add_worker(struct headroom *h, struct flow_size capacity,
                    struct flow_size available)
{
    h->capacity = sum(h->capacity, capacity);
    h->free = sum(h->free, available);
}

void
headroom_take(struct headroom *h, struct flow_size size)
{
    h->free = size_subtract(h->free, size);
}

void
headroom_return(struct headroom *h, struct flow_size size)
{
    h->free = sum(h->free, size);
}

void
headroom_claim(struct headroom *h, uint32_t priority, struct flow_size size)
{
    size_t i = 0;

    while (i < h->claim_count && h->claims[i].priority != priority) {
        i++;
    }
    if (i == h->claim_count) {
        h->claims =
            mem_realloc(h->claims, ++h->claim_count, sizeof(*h->claims));
        h->claims[i] = (struct headroom_claim){.priority = priority};
    }
    h->claims[i].size = sum(h->claims[i].size, size);
    h->claimed = sum(h->claimed, size);
}

/* Reports whether size can be taken of one resource. A task that does not use
 * the resource takes nothing that is claimed. */
static bool
leaves_claim(uint64_t size, uint64_t free, uint64_t claimed, uint64_t capacity)
{
    uint64_t claimed_max = capacity / 100 * CLAIM_PERCENT_MAX;

    claimed = claimed < claimed_max ? claimed : claimed_max;
    return size == 0 || claimed == 0 ||
           (free >= claimed && free - claimed >= size);
}

bool
headroom_allows(const struct headroom *h, uint32_t priority,
                struct flow_size size)
{
    struct flow_size claimed = {0};

    for (size_t i = 0; i < h->claim_count; i++) {
        if (h->claims[i].priority < priority) {
            claimed = sum(claimed, h->claims[i].size);
        }
    }
    return leaves_claim(size.cpu_milli, h->free.cpu_milli, claimed.cpu_milli,
                        h->capacity.cpu_milli) &&
           leaves_claim(size.memory_mib, h->free.memory_mib,
                        claimed.memory_mib, h->capacity.memory_mib) &&
           leaves_claim(size.accelerators, h->free.accelerators,
                        claimed.accelerators, h->capacity.accelerators);
}

void
headroom_free(struct headroom *h)
{
    mem_free(h->claims);
    h->claims = NULL;
    h->claim_count = 0;
}
