#include "ledger_int.h"

#include "mem.h"

enum {
    /* Spare units move only when an entry is off its goal by more than
     * this or goal / SLACK_PART; smaller moves would follow the noise of the
     * demand. */
    SLACK_UNITS = 2,
    SLACK_PART = 24,
    /* Preference for a pool in the entry's failure domain, in units of
     * spread: a local pool is chosen until it holds so many more. */
    LOCAL_UNITS = 4,
    /* Many units move in parts of this size, so that a limit of a million
     * requests does not take a million steps; few move one by one, which
     * spreads them evenly. */
    STEP_PART = 64,
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

static uint32_t
step_of(uint32_t units)
{
    return units < 2 * STEP_PART ? 1 : units / STEP_PART;
}

/* A pool that most entries refuse has no usable units. */
static bool
pool_usable(const struct group *g, const struct pool *p)
{
    return p->refusals * 2 <= g->demand_count;
}

static uint32_t
group_capacity(const struct group *g)
{
    uint32_t total = 0;

    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        total += pool_usable(g, p) ? p->capacity : 0;
    }
    return total;
}

/* Sums what each entry is meant to hold of the group's pools. */
static void
measure_levels(struct group *g)
{
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->entry->level = 0;
    }
    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        for (const struct share *s = TAILQ_FIRST(&p->shares); s != NULL;
             s = TAILQ_NEXT(s, in_pool)) {
            s->entry->level += s->refused ? 0 : s->target;
        }
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->level = d->entry->level;
    }
}

/*
 * Each entry gets what it wants or, when the capacity does not suffice, a
 * part of it in proportion to what it wants, and at least one unit. Returns
 * what is left of the capacity.
 */
static uint32_t
fill_wants(struct group *g, int64_t now, uint32_t capacity)
{
    uint64_t total = 0;
    uint32_t left = capacity;

    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        d->goal = 0;
        total += entry_active(d->entry, now) ? d->wanted : 0;
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (!entry_active(d->entry, now) || d->wanted == 0) {
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
    if (!entry_active(d->entry, now) || d->entry->leaving) {
        return 0;
    }
    return d->smooth + 1;
}

/* Spare units go to entries by their average demand, for bursts, but the first
 * unit goes to each. */
static void
place_spare(struct group *g, int64_t now, uint32_t spare)
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
    struct heap_node node; /* key: what the entry has there; seq: order */
    struct pool *pool;
};

static bool
rank_candidate(struct candidate *c, struct pool *p, const struct entry *e)
{
    const struct share *s = map_get_u64(e->shares, (uintptr_t)p);

    if (s != NULL && s->refused) {
        return false;
    }
    c->pool = p;
    c->node.key = s == NULL ? 0 : s->target;
    c->node.key -= str_eq(p->domain, e->domain) ? LOCAL_UNITS : 0;
    return true;
}

static size_t
count_free_pools(const struct ledger *l, const struct group *g)
{
    size_t count = 0;

    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        count += pool_free_units(l, p) != 0;
    }
    return count;
}

/* Returns an array to be freed; its items are in the heap. */
static struct candidate *
find_candidates(const struct ledger *l, const struct group *g,
                const struct entry *e, struct heap *heap)
{
    struct candidate *list =
        mem_zalloc(count_free_pools(l, g) + 1, sizeof(*list));
    size_t count = 0;

    for (struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        if (pool_free_units(l, p) != 0 && rank_candidate(&list[count], p, e)) {
            list[count].node.seq = count;
            heap_insert(heap, &list[count].node);
            count++;
        }
    }
    return list;
}

static void
give_units(struct ledger *l, struct group *g, struct demand *d, uint32_t upto)
{
    struct heap heap = {0};
    struct candidate *list;
    struct heap_node *n;

    if (d->level >= upto) {
        return;
    }
    list = find_candidates(l, g, d->entry, &heap);
    while (d->level < upto && (n = heap_min(&heap)) != NULL) {
        struct candidate *c = (struct candidate *)n;
        struct share *s = share_make(c->pool, d->entry);
        uint32_t step =
            min_u32(step_of(upto - d->level), pool_free_units(l, c->pool));

        share_set_target(l, s, s->target + step);
        d->level += step;
        n->key += step;
        if (pool_free_units(l, c->pool) == 0) {
            heap_remove(&heap, n);
        }
        else {
            heap_update(&heap, n);
        }
    }
    heap_free(&heap);
    mem_free(list);
}

/* The share of which the entry should return a unit: idle and remote first. */
static struct share *
share_to_take(const struct group *g, const struct entry *e)
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
        score += str_eq(s->pool->domain, e->domain) ? 0 : LOCAL_UNITS;
        if (score > best_score) {
            best = s;
            best_score = score;
        }
    }
    return best;
}

static uint32_t
take_units(struct ledger *l, struct group *g, struct demand *d, uint32_t count)
{
    uint32_t taken = 0;

    while (taken < count) {
        struct share *s = share_to_take(g, d->entry);
        uint32_t step = step_of(count - taken);

        if (s == NULL) {
            break;
        }
        step = min_u32(step, s->target);
        share_set_target(l, s, s->target - step);
        d->level -= step;
        taken += step;
    }
    return taken;
}

/*
 * Asks back what exceeds the capacity of a pool, most from the largest. A new
 * leader may hear of a pool from entries before its endpoint announces itself:
 * they keep their units meanwhile.
 */
static void
drain_pool(struct ledger *l, struct pool *p)
{
    if (!p->told && l->recover_until != 0) {
        return;
    }
    while (p->targets > p->capacity) {
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
            most->target -
                min_u32(step_of(p->targets - p->capacity), most->target));
    }
}

/* Units that are free or on their way back. */
static uint32_t
units_coming(const struct ledger *l, const struct group *g)
{
    uint32_t total = 0;

    for (const struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        uint64_t taken = (uint64_t)p->targets + pool_unknown(l, p);
        if (pool_usable(g, p) && taken < p->capacity) {
            total += p->capacity - (uint32_t)taken;
        }
    }
    return total;
}

static uint32_t
slack(const struct demand *d)
{
    uint32_t part = d->goal / SLACK_PART;

    return part > SLACK_UNITS ? part : SLACK_UNITS;
}

/* How many units the entry lacks for waiting requests, and for its first
 * request: a started entry is ready only once it holds one. */
static uint32_t
urgent_need(const struct demand *d)
{
    uint32_t upto = min_u32(d->wanted == 0 ? 1 : d->wanted, d->goal);

    return upto > d->level ? upto - d->level : 0;
}

static struct demand *
largest_surplus(struct group *g, bool beyond_slack, uint32_t *most)
{
    struct demand *best = NULL;

    *most = 0;
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        bool waits = d->wanted > d->level;
        uint32_t keep = d->goal + (beyond_slack || waits ? slack(d) : 0);
        if (d->level > keep && d->level - keep > *most) {
            best = d;
            *most = d->level - keep;
        }
    }
    return best;
}

static void
ask_back(struct ledger *l, struct group *g, uint32_t need, bool beyond_slack)
{
    uint32_t coming;

    if (need == 0) {
        return;
    }
    coming = units_coming(l, g);
    while (coming < need) {
        uint32_t most;
        struct demand *d = largest_surplus(g, beyond_slack, &most);
        uint32_t taken =
            d == NULL
                ? 0
                : take_units(l, g, d, min_u32(step_of(most), need - coming));

        if (taken == 0) {
            return;
        }
        coming += taken;
    }
}

/*
 * Asks entries that hold more than one unit for the first unit of others, even
 * if they do not exceed their goal: goals count the units of a dead entry,
 * which come back only after a window.
 */
static void
ask_first(struct ledger *l, struct group *g, uint32_t need)
{
    uint32_t coming = need == 0 ? 0 : units_coming(l, g);

    while (coming < need) {
        struct demand *most = NULL;

        for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
             d = TAILQ_NEXT(d, in_group)) {
            if (d->level > 1 && (most == NULL || d->level > most->level)) {
                most = d;
            }
        }
        if (most == NULL || take_units(l, g, most, 1) == 0) {
            return;
        }
        coming++;
    }
}

static uint32_t
spare_need(const struct demand *d)
{
    return d->goal > d->level + slack(d) ? d->goal - d->level - slack(d) : 0;
}

void
group_balance(struct ledger *l, int64_t now, struct group *g)
{
    uint32_t urgent = 0;
    uint32_t spare = 0;
    uint32_t without = 0; /* entries that hold nothing */

    for (struct pool *p = TAILQ_FIRST(&g->pools); p != NULL;
         p = TAILQ_NEXT(p, in_group)) {
        drain_pool(l, p);
    }
    measure_levels(g);
    place_spare(g, now, fill_wants(g, now, group_capacity(g)));
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (entry_active(d->entry, now)) {
            give_units(l, g, d, d->level + urgent_need(d));
        }
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (entry_active(d->entry, now)) {
            urgent += urgent_need(d);
            spare += spare_need(d);
            without += d->level == 0 && d->goal != 0;
        }
    }
    ask_back(l, g, urgent, false);
    ask_first(l, g, without);
    ask_back(l, g, urgent + spare, true);
    if (urgent > 0) {
        return;
    }
    for (struct demand *d = TAILQ_FIRST(&g->demands); d != NULL;
         d = TAILQ_NEXT(d, in_group)) {
        if (entry_active(d->entry, now)) {
            give_units(l, g, d, d->goal);
        }
    }
}

void
ledger_balance(struct ledger *l, int64_t now)
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
