#include "internal.h"

enum {
    /*
     * Entries freed per step. Freeing 100,000 entries at once blocked the
     * thread for 12 ms.
     */
    MAX_COMPACT_ENTRIES = 1000,
};

void
raft_status(const struct raft *r, struct raft_status *out)
{
    *out = (struct raft_status){
        .role = r->role,
        .term = r->term,
        .leader = r->leader,
        .first = r->log.base + 1,
        .last = entries_last(&r->log),
        .durable = r->durable,
        .commit = r->commit,
        .applied = r->applied,
        .snapshot = r->snapshot.index,
        .transferring = r->transfer_to != 0,
        .failed = r->failed,
    };
}

const struct raft_member *
raft_members(const struct raft *r, size_t *count)
{
    const struct configuration *c = config_history_newest(&r->configs);

    *count = c->count;
    return c->items;
}

bool
raft_progress(const struct raft *r, int64_t now, uint64_t id,
              struct raft_progress *out)
{
    const struct peer *p = peer_find(r, id);

    if (r->role != RAFT_LEADER || p == NULL) {
        return false;
    }
    *out = (struct raft_progress){
        .match = p->match,
        .next = p->next,
        .active = peer_is_active(r, p, now),
        .silent_since = p->answered_sent_ns > r->elected_at
                            ? p->answered_sent_ns
                            : r->elected_at,
        .promotion_blocked = is_promotion_blocked(r, id, now),
    };
    if (p->state == PEER_REPLICATE) {
        out->inflight_bytes =
            entries_bytes(&r->log, p->match + 1, p->next - 1);
    }
    return true;
}

uint64_t
raft_term_at(const struct raft *r, uint64_t index)
{
    return entries_term(&r->log, index);
}

void
raft_snapshot_meta(const struct raft *r, struct raft_snapshot *out)
{
    const struct configuration *c = config_history_at(&r->configs, r->applied);

    *out = (struct raft_snapshot){
        .index = r->applied,
        .term = entries_term(&r->log, r->applied),
        .members = c->bytes,
    };
}

/*
 * Returns up to which entry the log can be dropped so that not more than
 * retained_bytes of entries up to index stay in memory.
 */
static uint64_t
find_compaction_index(const struct raft *r, uint64_t index)
{
    uint64_t at = r->log.base;

    while (at < index &&
           entries_bytes(&r->log, at + 1, index) > r->cfg.retained_bytes) {
        at++;
    }
    return at;
}

void
compact_next_entries(struct raft *r)
{
    uint64_t end = r->log.base + MAX_COMPACT_ENTRIES;

    if (r->log.base < r->compact_to) {
        entries_compact(&r->log, end < r->compact_to ? end : r->compact_to);
    }
}

void
raft_snapshot_saved(struct raft *r, uint64_t index)
{
    const struct configuration *c = config_history_at(&r->configs, index);
    uint64_t term = entries_term(&r->log, index);

    if (r->failed || index <= r->snapshot.index || index > r->applied) {
        return;
    }
    str_free(&r->snapshot.members);
    r->snapshot = (struct raft_snapshot){
        .index = index,
        .term = term,
        .members = str_dup(c->bytes),
    };
    config_history_compact(&r->configs, index);
    r->compact_to = find_compaction_index(r, index);
    compact_next_entries(r);
}
