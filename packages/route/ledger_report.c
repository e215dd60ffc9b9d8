#include "ledger_int.h"

/*
 * The VM's previous process may have sent requests until this one started.
 * They have certainly ended once this process has run for the reclaim delay;
 * only then does its report cover all units of the VM.
 */
static void
note_vm_reported(struct ledger *l, const struct entry *e,
                 const struct report *r)
{
    if (l->recovery_until != 0 && r->up_ns >= ledger_reclaim_delay_ns(l)) {
        vm_set_reported(l, e->vm);
    }
}

static void
apply_demand_report(struct ledger *l, int64_t now, struct entry *e,
                    struct group *g, const struct unit_report *u)
{
    struct demand *d = demand_find_or_create(g, e);
    bool changed = d->smoothed_at == 0 || d->wanted != u->wanted;

    demand_update(d, now, u->used, u->wanted);
    if (changed) {
        group_mark_dirty(l, g);
    }
}

/*
 * Recomputes how many units the entry may hold: the largest of what it
 * reported, what unacknowledged messages granted, and an increase that is
 * decided but not sent. Lowers the target if the entry holds less than it was
 * granted.
 */
static void
reconcile_share(struct ledger *l, struct share *s)
{
    struct entry *e = s->entry;
    bool unsent = s->pending && s->target != s->sent_target;
    bool acked = s->sent_seq <= e->ack.seq;
    uint32_t may_hold = s->held;

    if (!acked && s->unconfirmed_max > may_hold) {
        may_hold = s->unconfirmed_max;
    }
    if (unsent && s->target > may_hold) {
        may_hold = s->target;
    }
    if (acked && !unsent) {
        /* Acknowledging a later message does not prove that this one arrived,
         * so a request to return units is repeated until they are returned. */
        if (s->pending && s->held <= s->target) {
            s->pending = false;
            TAILQ_REMOVE(&e->pending, s, in_pending);
        }
        /* The entry returned units without a request, or the grant was
         * lost. */
        if (s->held < s->target) {
            demand_find_or_create(s->pool->group, e)->unrequested_returns +=
                s->target - s->held;
            s->pool->target_sum -= s->target - s->held;
            s->target = s->held;
            s->sent_target = s->held;
        }
    }
    if (may_hold != s->may_hold) {
        share_set_may_hold(s, may_hold);
        group_mark_dirty(l, s->pool->group);
    }
}

static void
apply_share_report(struct ledger *l, struct entry *e, struct pool *p,
                   const struct unit_report *u, bool first)
{
    struct share *s = share_find_or_create(p, e);

    s->held = u->held;
    s->used = u->used;
    s->wanted = u->wanted;
    if (str_starts(u->pool, STR(POOL_ENDPOINT))) {
        if (s->refused != (u->wanted == 0)) {
            group_mark_dirty(l, p->group);
        }
        share_set_refused(s, u->wanted == 0);
    }
    if (first) {
        s->target = u->held;
        s->sent_target = u->held;
        p->target_sum += u->held;
        p->adopted += u->held;
    }
    reconcile_share(l, s);
}

static void
apply_report_item(struct ledger *l, int64_t now, struct entry *e,
                  const struct unit_report *u, bool first)
{
    struct group *g;
    struct pool *p;

    if (str_starts(u->pool, STR(POOL_SERVICE))) {
        g = group_find_or_create(l, u->pool);
        apply_demand_report(l, now, e, g, u);
        group_destroy_if_unused(l, g);
        return;
    }
    /* An entry may report a pool before ledger_pool_set configures it. */
    p = pool_find_or_create(l, now, u->pool, STR(""));
    if (str_starts(u->pool, STR(POOL_TEAM))) {
        apply_demand_report(l, now, e, p->group, u);
    }
    apply_share_report(l, e, p, u, first);
    pool_destroy_if_unused(l, p);
}

/* Applies the acknowledgement of a report to shares that it left out. */
static void
reconcile_pending_shares(struct ledger *l, struct entry *e)
{
    struct share *next;

    for (struct share *s = TAILQ_FIRST(&e->pending); s != NULL; s = next) {
        next = TAILQ_NEXT(s, in_pending);
        reconcile_share(l, s);
    }
}

/*
 * An entry that is asked for units that are in use may return idle units of
 * other pools of the group instead. Raises the targets of the pools that it
 * was asked for by as many units, unless the pool has no capacity for them.
 * may_hold does not change, because the entry still holds these units.
 */
static void
accept_substitutes(struct ledger *l, struct entry *e)
{
    for (struct share *s = TAILQ_FIRST(&e->pending); s != NULL;
         s = TAILQ_NEXT(s, in_pending)) {
        struct pool *p = s->pool;
        struct demand *d;

        if (s->held <= s->target || s->sent_seq > e->ack.seq || s->refused) {
            continue;
        }
        d = demand_find_or_create(p->group, e);
        while (s->held > s->target && d->unrequested_returns > 0 &&
               p->target_sum < p->capacity) {
            share_set_target(l, s, s->target + 1);
            d->unrequested_returns--;
        }
    }
    for (struct demand *d = TAILQ_FIRST(&e->demands); d != NULL;
         d = TAILQ_NEXT(d, in_entry)) {
        d->unrequested_returns = 0;
    }
}

/*
 * Renews the lease on a report rather than on a grant: the entry counts its
 * lease from when it sent the report that a grant answers, so grants without a
 * new report, and messages to a dead entry, do not extend it.
 */
static void
renew_entry_lease(struct ledger *l, int64_t now, struct entry *e,
                  const struct report *report)
{
    struct demand *d;

    if (!entry_is_active(e, now)) {
        for (d = TAILQ_FIRST(&e->demands); d != NULL;
             d = TAILQ_NEXT(d, in_entry)) {
            group_mark_dirty(l, d->group);
        }
    }
    entry_renew_lease(l, now, e, report->early_ns);
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
        e = entry_create(l, run, vm, domain);
    }
    e->seq = report->seq;
    renew_entry_lease(l, now, e, report);
    e->leaving = report->leaving;
    if (report->ack.term == l->term) {
        e->ack = report->ack;
    }
    for (size_t i = 0; i < report->count; i++) {
        apply_report_item(l, now, e, &report->items[i], first);
    }
    reconcile_pending_shares(l, e);
    accept_substitutes(l, e);
    promise_update(l, now, e, report);
    note_vm_reported(l, e, report);
    return LEDGER_OK;
}
