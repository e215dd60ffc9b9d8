#include "ledger_int.h"

#include "mem.h"

struct pool *
pool_find(const struct ledger *l, struct str name)
{
    return map_get(l->pools, name);
}

/*
 * Returns the group of a pool. The group of a service has the name under which
 * entries report their demand for it.
 */
static struct group *
find_or_create_pool_group(struct ledger *l, struct str pool,
                          struct str service)
{
    struct buf name = {0};
    struct group *g;

    if (service.len == 0) {
        return group_find_or_create(l, pool);
    }
    buf_append_str(&name, STR(POOL_SERVICE));
    buf_append_str(&name, service);
    g = group_find_or_create(l, buf_str(&name));
    buf_free(&name);
    return g;
}

struct pool *
pool_find_or_create(struct ledger *l, int64_t now, struct str name,
                    struct str service)
{
    struct pool *p = pool_find(l, name);

    if (p != NULL) {
        return p;
    }
    p = mem_zalloc(1, sizeof(*p));
    p->name = str_dup(name);
    p->domain = str_dup(STR(""));
    p->known_since = now;
    TAILQ_INIT(&p->shares);
    p->gone = true;
    p->group = find_or_create_pool_group(l, name, service);
    TAILQ_INSERT_TAIL(&p->group->pools, p, in_group);
    map_put(l->pools, name, p);
    return p;
}

void
pool_destroy(struct ledger *l, struct pool *p)
{
    struct group *g = p->group;
    struct share *s;

    while ((s = TAILQ_FIRST(&p->shares)) != NULL) {
        share_destroy(s);
    }
    TAILQ_REMOVE(&g->pools, p, in_group);
    map_del(l->pools, p->name);
    str_free(&p->name);
    str_free(&p->domain);
    mem_free(p);
    group_destroy_if_unused(l, g);
}

void
pool_destroy_if_unused(struct ledger *l, struct pool *p)
{
    if (!p->gone || p->may_hold != 0) {
        return;
    }
    for (const struct share *s = TAILQ_FIRST(&p->shares); s != NULL;
         s = TAILQ_NEXT(s, in_pool)) {
        if (s->wanted != 0 || s->used != 0) {
            return;
        }
    }
    pool_destroy(l, p);
}

static void
pool_set_group(struct ledger *l, struct pool *p, struct str service)
{
    struct group *old = p->group;
    struct group *g = find_or_create_pool_group(l, p->name, service);

    if (g == old) {
        return;
    }
    TAILQ_REMOVE(&old->pools, p, in_group);
    TAILQ_INSERT_TAIL(&g->pools, p, in_group);
    p->group = g;
    group_destroy_if_unused(l, old);
}

static void
pool_resize(struct ledger *l, int64_t now, struct pool *p, uint32_t capacity)
{
    if (now >= p->peak_capacity_until) {
        p->peak_capacity = p->capacity;
    }
    if (capacity < p->capacity) {
        p->peak_capacity_until = now + ledger_reclaim_delay_ns(l);
    }
    if (capacity > p->peak_capacity) {
        p->peak_capacity = capacity;
    }
    p->capacity = capacity;
}

void
ledger_pool_set(struct ledger *l, int64_t now, struct str pool,
                struct str service, struct str domain, uint32_t capacity)
{
    struct pool *p = pool_find_or_create(l, now, pool, service);

    pool_set_group(l, p, service);
    if (!str_eq(p->domain, domain)) {
        str_free(&p->domain);
        p->domain = str_dup(domain);
    }
    pool_resize(l, now, p, capacity);
    p->gone = false;
    p->configured = true;
    group_mark_dirty(l, p->group);
}

void
ledger_pool_remove(struct ledger *l, int64_t now, struct str pool)
{
    struct pool *p = pool_find(l, pool);

    if (p == NULL) {
        return;
    }
    pool_resize(l, now, p, 0);
    p->gone = true;
    p->configured = true;
    group_mark_dirty(l, p->group);
}

uint32_t
pool_count_unknown_units(const struct ledger *l, const struct pool *p)
{
    if (l->recovery_until == 0) {
        return 0;
    }
    /* A pool known for less than the reclaim delay may have had a larger
     * capacity, of which units are still in use. */
    if (p->known_since > l->leader_changed_at - ledger_reclaim_delay_ns(l)) {
        return UINT32_MAX;
    }
    return p->peak_capacity > p->adopted ? p->peak_capacity - p->adopted : 0;
}

uint32_t
pool_count_free_units(const struct ledger *l, const struct pool *p)
{
    uint64_t taken = (uint64_t)p->may_hold + pool_count_unknown_units(l, p);

    return taken >= p->capacity ? 0 : p->capacity - (uint32_t)taken;
}

struct group *
group_find_or_create(struct ledger *l, struct str name)
{
    struct group *g = map_get(l->groups, name);

    if (g == NULL) {
        g = mem_zalloc(1, sizeof(*g));
        g->name = str_dup(name);
        TAILQ_INIT(&g->pools);
        TAILQ_INIT(&g->demands);
        map_put(l->groups, name, g);
    }
    return g;
}

void
group_destroy_if_unused(struct ledger *l, struct group *g)
{
    struct demand *d;

    if (!TAILQ_EMPTY(&g->pools)) {
        return;
    }
    for (const struct demand *remaining = TAILQ_FIRST(&g->demands);
         remaining != NULL; remaining = TAILQ_NEXT(remaining, in_group)) {
        if (remaining->wanted != 0) {
            return;
        }
    }
    while ((d = TAILQ_FIRST(&g->demands)) != NULL) {
        demand_destroy(d);
    }
    if (g->dirty) {
        TAILQ_REMOVE(&l->dirty, g, in_dirty);
    }
    map_del(l->groups, g->name);
    str_free(&g->name);
    mem_free(g);
}

void
group_mark_dirty(struct ledger *l, struct group *g)
{
    if (!g->dirty) {
        g->dirty = true;
        TAILQ_INSERT_TAIL(&l->dirty, g, in_dirty);
    }
}

bool
ledger_pool_stats(const struct ledger *l, int64_t now, struct str pool,
                  struct ledger_pool_stats *out)
{
    const struct pool *p = pool_find(l, pool);

    (void)now;
    if (p == NULL) {
        return false;
    }
    *out = (struct ledger_pool_stats){
        .capacity = p->capacity,
        .held = p->may_hold,
        .unknown = pool_count_unknown_units(l, p),
    };
    for (const struct share *s = TAILQ_FIRST(&p->shares); s != NULL;
         s = TAILQ_NEXT(s, in_pool)) {
        out->used += s->used;
    }
    return true;
}

bool
ledger_pool_is_within_capacity(const struct ledger *l, int64_t now,
                               struct str pool)
{
    const struct pool *p = pool_find(l, pool);

    (void)now;
    if (p == NULL) {
        return l->recovery_until == 0;
    }
    if (l->recovery_until != 0 &&
        pool_count_unknown_units(l, p) > p->capacity) {
        return false;
    }
    return (uint64_t)p->may_hold + pool_count_unknown_units(l, p) <=
           p->capacity;
}
