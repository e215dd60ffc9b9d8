#include "ledger_int.h"

#include "mem.h"

static void
grants_add_item(struct grants *out, struct str pool, uint32_t units)
{
    if (out->count == out->cap) {
        out->cap = out->cap == 0 ? 16 : out->cap * 2;
        out->items = mem_realloc(out->items, out->cap, sizeof(*out->items));
    }
    out->items[out->count] = (struct unit_grant){pool, units};
    out->count++;
}

/* Whether the last message with this share is not acknowledged yet. */
static bool
is_unconfirmed(const struct share *s)
{
    return s->sent_seq > s->entry->ack.seq;
}

/*
 * Adds the share to the message if its target changed, or again after
 * resend_ns if the entry has not acknowledged it or still holds more.
 */
static void
add_share_to_grants(struct ledger *l, int64_t now, struct share *s,
                    struct grants *out)
{
    bool unsettled = is_unconfirmed(s) || s->held > s->target;

    if (s->target == s->sent_target &&
        (!unsettled || now < s->sent_at + l->config.resend_ns)) {
        return;
    }
    if (!is_unconfirmed(s) || s->target > s->unconfirmed_max) {
        s->unconfirmed_max = s->target;
    }
    s->sent_target = s->target;
    s->sent_seq = l->grant_seq;
    s->sent_at = now;
    grants_add_item(out, s->pool->name, s->target);
}

bool
ledger_fill_grants(struct ledger *l, int64_t now, uint64_t run,
                   struct grants *out)
{
    struct entry *e = map_get_u64(l->entries, run);

    if (e == NULL) {
        return false;
    }
    balance_dirty_groups(l, now);
    l->grant_seq++;
    out->no = (struct grant_no){l->term, l->grant_seq};
    out->report_seq = e->seq;
    out->lease_ns = l->config.lease_ns;
    out->early_ns = promise_max_recorded_ns(l, e);
    out->count = 0;
    for (struct share *s = TAILQ_FIRST(&e->pending); s != NULL;
         s = TAILQ_NEXT(s, in_pending)) {
        add_share_to_grants(l, now, s, out);
    }
    if (e->due) {
        e->due = false;
        TAILQ_REMOVE(&l->due, e, in_due);
    }
    return true;
}

bool
ledger_due(struct ledger *l, int64_t now, uint64_t *run)
{
    struct entry *e;

    balance_dirty_groups(l, now);
    while ((e = TAILQ_FIRST(&l->due)) != NULL) {
        if (entry_is_active(e, now)) {
            *run = e->run;
            return true;
        }
        e->due = false;
        TAILQ_REMOVE(&l->due, e, in_due);
    }
    return false;
}
