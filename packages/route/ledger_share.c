#include <math.h>

#include "clock.h"
#include "ledger_int.h"
#include "mem.h"

enum {
    /* Time constant of the moving average of demand by which spare units are
     * distributed. */
    DEMAND_TIME_CONSTANT_NS = 1000000000,
};

struct share *
share_find_or_create(struct pool *p, struct entry *e)
{
    struct share *s = map_get_u64(e->shares, (uintptr_t)p);

    if (s != NULL) {
        return s;
    }
    s = mem_zalloc(1, sizeof(*s));
    s->pool = p;
    s->entry = e;
    TAILQ_INSERT_TAIL(&p->shares, s, in_pool);
    TAILQ_INSERT_TAIL(&e->share_list, s, in_entry);
    map_put_u64(e->shares, (uintptr_t)p, s);
    return s;
}

void
share_destroy(struct share *s)
{
    s->pool->may_hold -= s->may_hold;
    s->pool->target_sum -= s->target;
    share_set_refused(s, false);
    TAILQ_REMOVE(&s->pool->shares, s, in_pool);
    TAILQ_REMOVE(&s->entry->share_list, s, in_entry);
    if (s->pending) {
        TAILQ_REMOVE(&s->entry->pending, s, in_pending);
    }
    map_del_u64(s->entry->shares, (uintptr_t)s->pool);
    mem_free(s);
}

void
share_set_may_hold(struct share *s, uint32_t may_hold)
{
    s->pool->may_hold += may_hold - s->may_hold;
    s->may_hold = may_hold;
}

void
share_set_refused(struct share *s, bool refused)
{
    if (refused != s->refused) {
        s->refused = refused;
        s->pool->refusing_count += refused ? 1 : (uint32_t)-1;
    }
}

void
share_set_target(struct ledger *l, struct share *s, uint32_t target)
{
    struct entry *e = s->entry;

    s->pool->target_sum += target - s->target;
    s->target = target;
    if (target > s->may_hold) {
        share_set_may_hold(s, target);
    }
    if (!s->pending) {
        s->pending = true;
        TAILQ_INSERT_TAIL(&e->pending, s, in_pending);
    }
    if (!e->due) {
        e->due = true;
        TAILQ_INSERT_TAIL(&l->due, e, in_due);
    }
}

struct demand *
demand_find_or_create(struct group *g, struct entry *e)
{
    struct demand *d;

    for (struct demand *found = TAILQ_FIRST(&g->demands); found != NULL;
         found = TAILQ_NEXT(found, in_group)) {
        if (found->entry == e) {
            return found;
        }
    }
    d = mem_zalloc(1, sizeof(*d));
    d->group = g;
    d->entry = e;
    g->demand_count++;
    TAILQ_INSERT_TAIL(&g->demands, d, in_group);
    TAILQ_INSERT_TAIL(&e->demands, d, in_entry);
    return d;
}

void
demand_update(struct demand *d, int64_t now, uint32_t used, uint32_t wanted)
{
    double elapsed_ns = (double)(now - d->smoothed_at);

    if (d->smoothed_at == 0) {
        d->smoothed_wanted = wanted;
    }
    else {
        d->smoothed_wanted +=
            (d->wanted - d->smoothed_wanted) *
            (1 - exp(-elapsed_ns / (double)DEMAND_TIME_CONSTANT_NS));
    }
    d->smoothed_at = now;
    d->used = used;
    d->wanted = wanted;
}

void
demand_destroy(struct demand *d)
{
    TAILQ_REMOVE(&d->group->demands, d, in_group);
    TAILQ_REMOVE(&d->entry->demands, d, in_entry);
    d->group->demand_count--;
    mem_free(d);
}

struct entry *
entry_create(struct ledger *l, uint64_t run, struct str vm, struct str domain)
{
    struct entry *e = mem_zalloc(1, sizeof(*e));

    e->run = run;
    TAILQ_INIT(&e->share_list);
    TAILQ_INIT(&e->demands);
    TAILQ_INIT(&e->pending);
    e->vm = str_dup(vm);
    e->domain = str_dup(domain);
    e->shares = map_create();
    map_put_u64(l->entries, run, e);
    return e;
}

void
entry_destroy(struct ledger *l, struct entry *e)
{
    struct share *s;
    struct demand *d;

    while ((s = TAILQ_FIRST(&e->share_list)) != NULL) {
        struct pool *p = s->pool;
        group_mark_dirty(l, p->group);
        share_destroy(s);
    }
    while ((d = TAILQ_FIRST(&e->demands)) != NULL) {
        group_mark_dirty(l, d->group);
        demand_destroy(d);
    }
    if (e->due) {
        TAILQ_REMOVE(&l->due, e, in_due);
    }
    heap_remove(&l->timers, &e->timer);
    map_del_u64(l->entries, e->run);
    map_destroy(e->shares);
    str_free(&e->vm);
    str_free(&e->domain);
    mem_free(e);
}

/* Adds the most by which an entry's clock may drift in that time. */
static int64_t
add_drift_ns(const struct ledger *l, int64_t span_ns)
{
    return span_ns + span_ns / 1000000 * l->config.drift_ppm;
}

void
entry_renew_lease(struct ledger *l, int64_t now, struct entry *e,
                  int64_t early_ns)
{
    int64_t max_early_ns = l->config.longest_request_ns;

    early_ns = early_ns < 0              ? 0
               : early_ns > max_early_ns ? max_early_ns
                                         : early_ns;
    e->lease_end =
        now + add_drift_ns(l, l->config.lease_ns) + l->config.margin_ns;
    e->timer.key = now + ledger_reclaim_delay_ns(l) - early_ns;
    e->timer.seq = e->run;
    if (e->timer.pos == 0) {
        heap_insert(&l->timers, &e->timer);
    }
    else {
        heap_update(&l->timers, &e->timer);
    }
}

bool
entry_is_active(const struct entry *e, int64_t now)
{
    return now < e->lease_end;
}

int64_t
ledger_reclaim_delay_ns(const struct ledger *l)
{
    const struct ledger_config *c = &l->config;

    return add_drift_ns(l, c->lease_ns + c->longest_request_ns) + c->margin_ns;
}
