#include "ledger.h"

#include "clock.h"
#include "ledger_int.h"
#include "mem.h"

struct ledger_config
ledger_defaults(void)
{
    return (struct ledger_config){
        .lease_ns = 3 * NS_PER_S,
        .margin_ns = 100 * NS_PER_MS,
        .drift_ppm = 10000,
        .longest_request_ns = 30 * NS_PER_S,
        .balance_ns = 2 * NS_PER_MS,
        .resend_ns = 100 * NS_PER_MS,
        .record_ns = NS_PER_S,
    };
}

#define DEFAULT(field)                                                        \
    do {                                                                      \
        if (c->field == 0) {                                                  \
            c->field = d.field;                                               \
        }                                                                     \
    } while (0)

static void
fill_defaults(struct ledger_config *c)
{
    struct ledger_config d = ledger_defaults();

    DEFAULT(lease_ns);
    DEFAULT(margin_ns);
    DEFAULT(drift_ppm);
    DEFAULT(longest_request_ns);
    DEFAULT(balance_ns);
    DEFAULT(resend_ns);
    DEFAULT(record_ns);
}

struct ledger *
ledger_create(const struct ledger_config *config)
{
    struct ledger *l = mem_zalloc(1, sizeof(*l));

    l->config = *config;
    fill_defaults(&l->config);
    TAILQ_INIT(&l->dirty);
    TAILQ_INIT(&l->due);
    l->pools = map_create();
    l->groups = map_create();
    l->entries = map_create();
    l->vms = map_create();
    return l;
}

static void
destroy_entries(struct ledger *l)
{
    void *cursor = NULL;
    struct entry *e;

    while ((e = map_next(l->entries, &cursor)) != NULL) {
        entry_destroy(l, e);
    }
}

void
ledger_destroy(struct ledger *l)
{
    void *cursor = NULL;
    struct pool *p;
    struct group *g;

    if (l == NULL) {
        return;
    }
    destroy_entries(l);
    while ((p = map_next(l->pools, &cursor)) != NULL) {
        pool_destroy(l, p);
    }
    cursor = NULL;
    while ((g = map_next(l->groups, &cursor)) != NULL) {
        group_destroy_if_unused(l, g);
    }
    map_destroy(l->pools);
    map_destroy(l->groups);
    map_destroy(l->entries);
    vms_destroy_all(l);
    map_destroy(l->vms);
    heap_free(&l->timers);
    mem_free(l);
}

/*
 * Prepares the pools for a new term: drops peak capacities that are older than
 * the reclaim delay and forgets which units were adopted.
 */
static void
reset_pools(struct ledger *l, int64_t now)
{
    void *cursor = NULL;
    struct pool *p;

    while ((p = map_next(l->pools, &cursor)) != NULL) {
        if (now >= p->peak_capacity_until) {
            p->peak_capacity = p->capacity;
        }
        p->adopted = 0;
        group_mark_dirty(l, p->group);
    }
}

void
ledger_leader_changed(struct ledger *l, int64_t now, uint64_t term,
                      const struct ledger_vm *vms, size_t count)
{
    destroy_entries(l);
    vms_destroy_all(l);
    reset_pools(l, now);
    l->term = term;
    l->grant_seq = 0;
    l->leader_changed_at = now;
    l->recovery_until = 0;
    l->records_pending = false;
    for (size_t i = 0; i < count; i++) {
        vm_set_unreported(l, &vms[i], now);
    }
}

void
end_recovery(struct ledger *l)
{
    void *cursor = NULL;
    struct group *g;

    l->recovery_until = 0;
    while ((g = map_next(l->groups, &cursor)) != NULL) {
        group_mark_dirty(l, g);
    }
}

void
ledger_entry_drop(struct ledger *l, int64_t now, uint64_t run)
{
    struct entry *e = map_get_u64(l->entries, run);

    (void)now;
    if (e != NULL) {
        entry_destroy(l, e);
    }
}

void
ledger_tick(struct ledger *l, int64_t now)
{
    struct heap_node *n;

    while ((n = heap_min(&l->timers)) != NULL && n->key <= now) {
        struct entry *e =
            (struct entry *)((char *)n - offsetof(struct entry, timer));
        entry_destroy(l, e);
    }
    if (l->recovery_until != 0 && now >= l->recovery_until) {
        vms_expire(l, now);
    }
    balance_dirty_groups(l, now);
}

int64_t
ledger_next_deadline(const struct ledger *l)
{
    struct heap_node *n = heap_min(&l->timers);
    int64_t next = n == NULL ? DEADLINE_NONE : n->key;

    if (l->recovery_until != 0 && l->recovery_until < next) {
        next = l->recovery_until;
    }
    for (const struct group *g = TAILQ_FIRST(&l->dirty); g != NULL;
         g = TAILQ_NEXT(g, in_dirty)) {
        int64_t at = g->balanced_at + l->config.balance_ns;
        next = at < next ? at : next;
    }
    return next;
}
