#include <time.h>

#include "mem.h"
#include "state_impl.h"

uint32_t
state_usage_month(int64_t wall_ms)
{
    time_t seconds = (time_t)(wall_ms / 1000);
    struct tm tm = {0};

    gmtime_r(&seconds, &tm);
    return (uint32_t)(tm.tm_year + 1900) * 100 + (uint32_t)tm.tm_mon + 1;
}

static uint64_t
row_key(uint32_t team, uint32_t month)
{
    return (uint64_t)team << 32 | month;
}

static void
add_saturating(uint64_t *sum, uint64_t n)
{
    *sum = n > UINT64_MAX - *sum ? UINT64_MAX : *sum + n;
}

void
usage_add(struct state *s, const struct state_usage *delta)
{
    uint64_t key = row_key(delta->team, delta->month);
    struct state_usage *row = map_get_u64(s->usage, key);

    snapshot_save_table(s, SNAP_USAGE);
    if (row == NULL) {
        row = mem_zalloc(1, sizeof(*row));
        row->team = delta->team;
        row->month = delta->month;
        map_put_u64(s->usage, key, row);
    }
    add_saturating(&row->cpu_ms, delta->cpu_ms);
    add_saturating(&row->memory_mib_s, delta->memory_mib_s);
    add_saturating(&row->accelerator_ms, delta->accelerator_ms);
}

/* Raises a cumulative counter to the sample and returns the difference, 0 if
 * the sample is not above the counter. */
static uint64_t
raise_counter(uint64_t *counter, uint64_t sample)
{
    uint64_t growth;

    if (sample <= *counter) {
        return 0;
    }
    growth = sample - *counter;
    *counter = sample;
    return growth;
}

static bool
merge_sample(struct apply *a, struct lease *lease, const State__Sample *sample)
{
    struct state_usage delta = {
        .team = lease->team,
        .month = state_usage_month(a->cmd->wall_ms),
    };

    snapshot_save_lease(a->s, lease);
    delta.cpu_ms = raise_counter(&lease->cpu_ms, sample->cpu_ms);
    delta.memory_mib_s =
        raise_counter(&lease->memory_mib_s, sample->memory_mib_s);
    delta.accelerator_ms =
        raise_counter(&lease->accelerator_ms, sample->accelerator_ms);
    if (delta.cpu_ms == 0 && delta.memory_mib_s == 0 &&
        delta.accelerator_ms == 0) {
        return false;
    }
    usage_add(a->s, &delta);
    return true;
}

void
apply_usage(struct apply *a)
{
    const State__Usage *batch = a->cmd->usage;
    size_t changed = 0;

    for (size_t i = 0; i < batch->n_items; i++) {
        struct lease *lease = lease_by_number(a->s, batch->items[i]->lease);
        if (lease == NULL) {
            result_reject(a, i, STATE_REASON_LEASE_STALE);
        }
        else if (merge_sample(a, lease, batch->items[i])) {
            changed++;
        }
    }
    result_applied(a, 0, 0, changed);
}

bool
state_usage_is_recorded(const struct state *s,
                        const struct state_usage_sample *sample)
{
    const struct lease *lease = lease_by_number(s, sample->lease);

    return lease == NULL || (sample->cpu_ms <= lease->cpu_ms &&
                             sample->memory_mib_s <= lease->memory_mib_s &&
                             sample->accelerator_ms <= lease->accelerator_ms);
}

const struct state_usage *
state_usage_get(const struct state *s, uint32_t team, uint32_t month)
{
    return map_get_u64(s->usage, row_key(team, month));
}

const struct state_usage *
state_usage_next(const struct state *s, void **cursor)
{
    return map_next(s->usage, cursor);
}
