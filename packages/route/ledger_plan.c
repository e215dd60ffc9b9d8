#include "ledger_int.h"

#include "mem.h"

static void
add_item(struct grants *out, struct str pool, uint32_t units)
{
    if (out->count == out->cap) {
        out->cap = out->cap == 0 ? 16 : out->cap * 2;
        out->items = mem_realloc(out->items, out->cap, sizeof(*out->items));
    }
    out->items[out->count] = (struct unit_grant){pool, units};
    out->count++;
}

static bool
unconfirmed(const struct share *s)
{
    return s->sent_seq > s->entry->ack.seq;
}

static void
send_share(struct ledger *l, int64_t now, struct share *s, struct grants *out)
{
    bool open = unconfirmed(s) || s->held > s->target;

    if (s->target == s->sent &&
        (!open || now < s->sent_at + l->config.resend_ns)) {
        return;
    }
    if (!unconfirmed(s) || s->target > s->peak) {
        s->peak = s->target;
    }
    s->sent = s->target;
    s->sent_seq = l->grant_seq;
    s->sent_at = now;
    add_item(out, s->pool->name, s->target);
}

bool
ledger_plan(struct ledger *l, int64_t now, uint64_t run, struct grants *out)
{
    struct entry *e = map_get_u64(l->entries, run);

    if (e == NULL) {
        return false;
    }
    ledger_balance(l, now);
    l->grant_seq++;
    out->no = (struct grant_no){l->term, l->grant_seq};
    out->report_seq = e->seq;
    out->lease_ns = l->config.lease_ns;
    out->early_ns = promise_most(l, e);
    out->count = 0;
    for (struct share *s = TAILQ_FIRST(&e->pending); s != NULL;
         s = TAILQ_NEXT(s, in_pending)) {
        send_share(l, now, s, out);
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

    ledger_balance(l, now);
    while ((e = TAILQ_FIRST(&l->due)) != NULL) {
        if (entry_active(e, now)) {
            *run = e->run;
            return true;
        }
        e->due = false;
        TAILQ_REMOVE(&l->due, e, in_due);
    }
    return false;
}
