#include "ledger_int.h"

#include "mem.h"

enum {
    /* Spare units move only when an entry's holding differs from its goal by
     * more than the larger of TOLERANCE_UNITS and goal / TOLERANCE_DIVISOR.
     * Smaller moves would follow random variation of the demand. */
    TOLERANCE_UNITS = 2,
    TOLERANCE_DIVISOR = 24,
    /* An entry gets units of a pool in its own failure domain until it holds
     * this many more there than of a pool elsewhere. */
    LOCAL_PREFERENCE_UNITS = 4,
    /* From twice this number on, units move in steps of 1/STEP_DIVISOR of the
     * total, so that a limit of a million requests does not take a million
     * steps. Fewer units move one by one, which spreads them evenly over the
     * pools. */
    STEP_DIVISOR = 64,
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

static uint32_t
transfer_step(uint32_t units)
{
    return units < 2 * STEP_DIVISOR ? 1 : units / STEP_DIVISOR;
}

/* The units of a pool that most entries refuse do not count as usable. */
static bool
is_pool_usable(const struct group *g, const struct pool *p)
{
    return p->refusing_count * 2 <= g->demand_count;
}

static uint32_t
group_capacity(const struct group *g)
{
    uint32_t total = 0;

    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        total += is_pool_usable(g, p) ? p->capacity : 0;
    }
    return total;
}

/* Sums each entry's targets over the pools of the group that it accepts. */
static void
sum_entry_targets(struct group *g)
{
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->entry->target_sum = 0;
    }
    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        for (const struct share *s = TAILQ_FIRST(&p->shares); s != NULL;
             s = TAILQ_NEXT(s, in_pool)) {
            s->entry->target_sum += s->refused ? 0 : s->target;
        }
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->target_sum = d->entry->target_sum;
    }
}

/*
 * Sets each active entry's goal to what it wants. If the capacity does not
 * suffice, the goals are proportional to what the entries want, but at least
 * one unit while any is left. Returns the remaining capacity.
 */
static uint32_t
assign_wanted_goals(struct group *g, int64_t now, uint32_t capacity)
{
    uint64_t total = 0;
    uint32_t left = capacity;

    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->goal = 0;
        total += entry_is_active(d->entry, now) ? d->wanted : 0;
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (!entry_is_active(d->entry, now) || d->wanted == 0) {
            continue;
        }
        uint64_t part = d->wanted;
        if (total > capacity) {
            part = part * capacity / total;
        }
        part = part == 0 ? 1 : part;
        d->goal = min_u32((uint32_t)part, left);
        left -= d->goal;
    }
    return left;
}

static double
spare_weight(const struct demand *d, int64_t now)
{
    if (!entry_is_active(d->entry, now) || d->entry->leaving) {
        return 0;
    }
    return d->smoothed_wanted + 1;
}

/*
 * Adds spare units to the goals for bursts: first one unit for each entry
 * without any, then the rest in proportion to average demand.
 */
static void
distribute_spare(struct group *g, int64_t now, uint32_t spare)
{
    double total = 0;

    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        double weight = spare_weight(d, now);

        total += weight;
        if (weight > 0 && d->goal == 0 && spare > 0) {
            d->goal = 1;
            spare--;
        }
    }
    if (total <= 0) {
        return;
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->goal += (uint32_t)(spare * spare_weight(d, now) / total);
    }
}

/* A pool from which an entry may get units. */
struct candidate {
    struct heap_node node; /* key: the entry's target there, lower for a local
                              pool; seq: order in the group */
    struct pool *pool;
};

static bool
init_candidate(struct candidate *c, struct pool *p, const struct entry *e)
{
    const struct share *s = map_get_u64(e->shares, (uintptr_t)p);

    if (s != NULL && s->refused) {
        return false;
    }
    c->pool = p;
    c->node.key = s == NULL ? 0 : s->target;
    c->node.key -= str_eq(p->domain, e->domain) ? LOCAL_PREFERENCE_UNITS : 0;
    return true;
}

static size_t
count_free_pools(const struct ledger *l, const struct group *g)
{
    size_t count = 0;

    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        count += pool_count_free_units(l, p) != 0;
    }
    return count;
}

/*
 * Inserts the pools with free units that the entry accepts into the heap.
 * Returns their array, which the caller frees after the heap.
 */
static struct candidate *
find_candidates(const struct ledger *l, const struct group *g,
                const struct entry *e, struct heap *heap)
{
    struct candidate *list =
        mem_zalloc(count_free_pools(l, g) + 1, sizeof(*list));
    size_t count = 0;

    for (struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        if (pool_count_free_units(l, p) != 0 &&
            init_candidate(&list[count], p, e)) {
            list[count].node.seq = count;
            heap_insert(heap, &list[count].node);
            count++;
        }
    }
    return list;
}

static void
give_units(struct ledger *l, struct group *g, struct demand *d,
           uint32_t target_units)
{
    struct heap heap = {0};
    struct candidate *list;
    struct heap_node *n;

    if (d->target_sum >= target_units) {
        return;
    }
    list = find_candidates(l, g, d->entry, &heap);
    while (d->target_sum < target_units && (n = heap_min(&heap)) != NULL) {
        struct candidate *c = (struct candidate *)n;
        struct share *s = share_find_or_create(c->pool, d->entry);
        uint32_t step = min_u32(transfer_step(target_units - d->target_sum),
                                pool_count_free_units(l, c->pool));

        share_set_target(l, s, s->target + step);
        d->target_sum += step;
        n->key += step;
        if (pool_count_free_units(l, c->pool) == 0) {
            heap_remove(&heap, n);
        }
        else {
            heap_update(&heap, n);
        }
    }
    heap_free(&heap);
    mem_free(list);
}

/*
 * Returns the share from which the entry should return a unit, or NULL. Shares
 * with idle units come first, the one with most before others; a share in
 * another failure domain counts as LOCAL_PREFERENCE_UNITS more.
 */
static struct share *
choose_share_to_reclaim(const struct group *g, const struct entry *e)
{
    struct share *best = NULL;
    int64_t best_score = INT64_MIN;

    for (struct share *s = TAILQ_FIRST(&e->share_list); s != NULL;
         s = TAILQ_NEXT(s, in_entry)) {
        if (s->pool->group != g || s->target == 0 || s->refused) {
            continue;
        }
        int64_t idle = (int64_t)s->target - s->used;
        int64_t score = idle > 0 ? 1000 + idle : 0;
        score +=
            str_eq(s->pool->domain, e->domain) ? 0 : LOCAL_PREFERENCE_UNITS;
        if (score > best_score) {
            best = s;
            best_score = score;
        }
    }
    return best;
}

static uint32_t
reclaim_units(struct ledger *l, struct group *g, struct demand *d,
              uint32_t count)
{
    uint32_t taken = 0;

    while (taken < count) {
        struct share *s = choose_share_to_reclaim(g, d->entry);
        uint32_t step = transfer_step(count - taken);

        if (s == NULL) {
            break;
        }
        step = min_u32(step, s->target);
        share_set_target(l, s, s->target - step);
        d->target_sum -= step;
        taken += step;
    }
    return taken;
}

/*
 * Reclaims the units beyond the capacity of a pool, each time from the entry
 * with the largest target. A new leader may learn of a pool from entries
 * before its endpoint announces itself; during recovery, entries keep the
 * units of such a pool.
 */
static void
drain_pool(struct ledger *l, struct pool *p)
{
    if (!p->configured && l->recovery_until != 0) {
        return;
    }
    while (p->target_sum > p->capacity) {
        struct share *most = NULL;
        struct share *s;
        for (s = TAILQ_FIRST(&p->shares); s != NULL;
             s = TAILQ_NEXT(s, in_pool)) {
            if (most == NULL || s->target > most->target) {
                most = s;
            }
        }
        if (most == NULL) {
            return;
        }
        share_set_target(
            l, most,
            most->target - min_u32(transfer_step(p->target_sum - p->capacity),
                                   most->target));
    }
}

/* Counts units of the group that are free or being returned. */
static uint32_t
count_incoming_units(const struct ledger *l, const struct group *g)
{
    uint32_t total = 0;

    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        uint64_t taken =
            (uint64_t)p->target_sum + pool_count_unknown_units(l, p);
        if (is_pool_usable(g, p) && taken < p->capacity) {
            total += p->capacity - (uint32_t)taken;
        }
    }
    return total;
}

/* By how many units a holding may differ from its goal without a move. */
static uint32_t
goal_tolerance(const struct demand *d)
{
    uint32_t part = d->goal / TOLERANCE_DIVISOR;

    return part > TOLERANCE_UNITS ? part : TOLERANCE_UNITS;
}

/*
 * Returns how many units the entry lacks for requests that wait. At least one
 * counts as wanted, since a started entry is ready only once it holds a unit.
 */
static uint32_t
urgent_shortfall(const struct demand *d)
{
    uint32_t target_units = min_u32(d->wanted == 0 ? 1 : d->wanted, d->goal);

    return target_units > d->target_sum ? target_units - d->target_sum : 0;
}

/*
 * Returns the demand whose targets exceed its goal most, or NULL, and by how
 * many units. With keep_tolerance, or while the entry has waiting requests,
 * the tolerance counts as part of the goal.
 */
static struct demand *
find_largest_surplus(struct group *g, bool keep_tolerance, uint32_t *most)
{
    struct demand *best = NULL;

    *most = 0;
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        bool waits = d->wanted > d->target_sum;
        uint32_t keep =
            d->goal + (keep_tolerance || waits ? goal_tolerance(d) : 0);
        if (d->target_sum > keep && d->target_sum - keep > *most) {
            best = d;
            *most = d->target_sum - keep;
        }
    }
    return best;
}

/* Reclaims surplus units until need units are free or being returned. */
static void
reclaim_surplus(struct ledger *l, struct group *g, uint32_t need,
                bool keep_tolerance)
{
    uint32_t incoming;

    if (need == 0) {
        return;
    }
    incoming = count_incoming_units(l, g);
    while (incoming < need) {
        uint32_t most;
        struct demand *d = find_largest_surplus(g, keep_tolerance, &most);
        uint32_t taken =
            d == NULL
                ? 0
                : reclaim_units(l, g, d,
                                min_u32(transfer_step(most), need - incoming));

        if (taken == 0) {
            return;
        }
        incoming += taken;
    }
}

/*
 * Reclaims need units for entries that hold none, from entries that hold more
 * than one even if they do not exceed their goal. The goals together include
 * the units of a dead entry, which become free only after the reclaim delay,
 * so possibly no entry exceeds its goal although another holds no unit.
 */
static void
reclaim_first_units(struct ledger *l, struct group *g, uint32_t need)
{
    uint32_t incoming = need == 0 ? 0 : count_incoming_units(l, g);

    while (incoming < need) {
        struct demand *most = NULL;

        for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
             d = TAILQ_NEXT(d, in_group)) {
            if (d->target_sum > 1 &&
                (most == NULL || d->target_sum > most->target_sum)) {
                most = d;
            }
        }
        if (most == NULL || reclaim_units(l, g, most, 1) == 0) {
            return;
        }
        incoming++;
    }
}

/* Returns how many units the entry lacks beyond the tolerance of its goal. */
static uint32_t
spare_shortfall(const struct demand *d)
{
    return d->goal > d->target_sum + goal_tolerance(d)
               ? d->goal - d->target_sum - goal_tolerance(d)
               : 0;
}

void
group_balance(struct ledger *l, int64_t now, struct group *g)
{
    uint32_t urgent = 0;
    uint32_t spare = 0;
    uint32_t empty_entries = 0; /* those without a unit */

    for (struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        drain_pool(l, p);
    }
    sum_entry_targets(g);
    distribute_spare(g, now, assign_wanted_goals(g, now, group_capacity(g)));
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (entry_is_active(d->entry, now)) {
            give_units(l, g, d, d->target_sum + urgent_shortfall(d));
        }
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (entry_is_active(d->entry, now)) {
            urgent += urgent_shortfall(d);
            spare += spare_shortfall(d);
            empty_entries += d->target_sum == 0 && d->goal != 0;
        }
    }
    reclaim_surplus(l, g, urgent, false);
    reclaim_first_units(l, g, empty_entries);
    reclaim_surplus(l, g, urgent + spare, true);
    if (urgent > 0) {
        return;
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (entry_is_active(d->entry, now)) {
            give_units(l, g, d, d->goal);
        }
    }
}

void
balance_dirty_groups(struct ledger *l, int64_t now)
{
    struct group *next;

    for (struct group *g = TAILQ_FIRST(&l->dirty); g != NULL; g = next) {
        next = TAILQ_NEXT(g, in_dirty);
        if (now < g->balanced_at + l->config.balance_ns) {
            continue;
        }
        TAILQ_REMOVE(&l->dirty, g, in_dirty);
        g->dirty = false;
        g->balanced_at = now;
        group_balance(l, now, g);
    }
}
