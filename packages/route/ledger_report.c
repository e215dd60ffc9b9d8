#include "ledger_int.h"

/*
 * An older process on the VM may have sent requests until this one started;
 * only after a window have they certainly ended.
 */
static void
note_vm(struct ledger *l, const struct entry *e, const struct report *r)
{
    if (l->recover_until != 0 && r->up_ns >= ledger_window(l)) {
        vm_reported(l, e->vm);
    }
}

static void
take_demand(struct ledger *l, int64_t now, struct entry *e, struct group *g,
            const struct unit_report *u)
{
    struct demand *d = demand_make(g, e);
    bool changed = d->smooth_at == 0 || d->wanted != u->wanted;

    demand_update(d, now, u->used, u->wanted);
    if (changed) {
        group_touch(l, g);
    }
}

/*
 * Units the entry may hold: what it reported, what unconfirmed messages
 * granted, and a raise that is decided but not sent yet.
 */
static void
settle_share(struct ledger *l, struct share *s)
{
    struct entry *e = s->entry;
    bool unsent = s->pending && s->target != s->sent;
    bool acked = s->sent_seq <= e->ack.seq;
    uint32_t possible = s->held;

    if (!acked && s->peak > possible) {
        possible = s->peak;
    }
    if (unsent && s->target > possible) {
        possible = s->target;
    }
    if (acked && !unsent) {
        /* An acknowledged number does not prove that this message arrived:
         * a request to return units is repeated until they are returned. */
        if (s->pending && s->held <= s->target) {
            s->pending = false;
            TAILQ_REMOVE(&e->pending, s, in_pending);
        }
        /* Returned without being asked, or the grant was lost. */
        if (s->held < s->target) {
            demand_make(s->pool->group, e)->returned += s->target - s->held;
            s->pool->targets -= s->target - s->held;
            s->target = s->held;
            s->sent = s->held;
        }
    }
    if (possible != s->possible) {
        share_set_possible(s, possible);
        group_touch(l, s->pool->group);
    }
}

static void
take_share(struct ledger *l, struct entry *e, struct pool *p,
           const struct unit_report *u, bool first)
{
    struct share *s = share_make(p, e);

    s->held = u->held;
    s->used = u->used;
    s->wanted = u->wanted;
    if (str_starts(u->pool, STR(POOL_ENDPOINT))) {
        if (s->refused != (u->wanted == 0)) {
            group_touch(l, p->group);
        }
        share_set_refused(s, u->wanted == 0);
    }
    if (first) {
        s->target = u->held;
        s->sent = u->held;
        p->targets += u->held;
        p->adopted += u->held;
    }
    settle_share(l, s);
}

static void
take_item(struct ledger *l, int64_t now, struct entry *e,
          const struct unit_report *u, bool first)
{
    struct group *g;
    struct pool *p;

    if (str_starts(u->pool, STR(POOL_SERVICE))) {
        g = group_make(l, u->pool);
        take_demand(l, now, e, g, u);
        group_destroy_if_unused(l, g);
        return;
    }
    /* The leader may hear of a pool from an entry first. */
    p = pool_make(l, now, u->pool, STR(""));
    if (str_starts(u->pool, STR(POOL_TEAM))) {
        take_demand(l, now, e, p->group, u);
    }
    take_share(l, e, p, u, first);
    pool_destroy_if_unused(l, p);
}

static void
settle_pending(struct ledger *l, struct entry *e)
{
    struct share *next;

    for (struct share *s = TAILQ_FIRST(&e->pending); s != NULL; s = next) {
        next = TAILQ_NEXT(s, in_pending);
        settle_share(l, s);
    }
}

/*
 * An entry may return idle units in place of those it was asked for and has in
 * use. It keeps those, unless their pool is to shrink: this changes what it is
 * meant to hold, not what it may hold.
 */
static void
accept_swaps(struct ledger *l, struct entry *e)
{
    for (struct share *s = TAILQ_FIRST(&e->pending); s != NULL;
         s = TAILQ_NEXT(s, in_pending)) {
        struct pool *p = s->pool;
        struct demand *d;

        if (s->held <= s->target || s->sent_seq > e->ack.seq || s->refused) {
            continue;
        }
        d = demand_make(p->group, e);
        while (s->held > s->target && d->returned > 0 &&
               p->targets < p->capacity) {
            share_set_target(l, s, s->target + 1);
            d->returned--;
        }
    }
    for (struct demand *d = TAILQ_FIRST(&e->demands); d != NULL;
         d = TAILQ_NEXT(d, in_entry)) {
        d->returned = 0;
    }
}

/*
 * The entry counts its lease from when it sent the report that a grant
 * answers, so that grants which answer no new report, and what is sent to an
 * entry that has died, do not extend it.
 */
static void
renew(struct ledger *l, int64_t now, struct entry *e,
      const struct report *report)
{
    struct demand *d;

    if (!entry_active(e, now)) {
        for (d = TAILQ_FIRST(&e->demands); d != NULL;
             d = TAILQ_NEXT(d, in_entry)) {
            group_touch(l, d->group);
        }
    }
    entry_renew(l, now, e, report->early_ns);
}

enum ledger_result
ledger_report(struct ledger *l, int64_t now, uint64_t run, struct str vm,
              struct str domain, const struct report *report)
{
    struct entry *e = map_get_u64(l->entries, run);
    bool first = e == NULL;

    if (l->term == 0 || report->term != l->term) {
        return LEDGER_OTHER_TERM;
    }
    if (first && !report->full) {
        return LEDGER_UNKNOWN;
    }
    if (!first && report->seq <= e->seq) {
        return LEDGER_STALE;
    }
    if (first) {
        e = entry_make(l, run, vm, domain);
    }
    e->seq = report->seq;
    renew(l, now, e, report);
    e->leaving = report->leaving;
    if (report->ack.term == l->term) {
        e->ack = report->ack;
    }
    for (size_t i = 0; i < report->count; i++) {
        take_item(l, now, e, &report->items[i], first);
    }
    settle_pending(l, e);
    accept_swaps(l, e);
    promise_reported(l, now, e, report);
    note_vm(l, e, report);
    return LEDGER_OK;
}
