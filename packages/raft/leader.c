#include <stdlib.h>

#include "internal.h"
#include "mem.h"

void
become_leader(struct raft *r, int64_t now)
{
    r->role = RAFT_LEADER;
    r->leader = r->cfg.id;
    r->status_dirty = true;
    r->elected_at = now;
    r->heartbeat_deadline = now;
    r->lease_given_up = false;
    r->transfer_to = 0;
    peers_reset(r);
    /*
     * Entries of earlier terms may be committed only together with one of this
     * term (thesis, figure 3.7).
     */
    r->term_start = log_append(r, RAFT_ENTRY_NOOP, str_from(NULL, 0));
    leader_tick(r, now);
}

static int
compare_i64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Sorts the n values; returns the largest that a majority of them reaches. */
static int64_t
quorum_value(int64_t *values, size_t n)
{
    qsort(values, n, sizeof(*values), compare_i64);
    return values[(n - 1) / 2];
}

int64_t
leader_quorum_send_time(const struct raft *r)
{
    const struct configuration *c = config_history_newest(&r->configs);
    int64_t values[MEMBERS_MAX];
    size_t n = 0;

    for (size_t i = 0; i < r->peer_count; i++) {
        if (configuration_is_voter(c, r->peers[i].id)) {
            values[n] = r->peers[i].id == r->cfg.id
                            ? INT64_MAX
                            : r->peers[i].answered_sent_ns;
            n++;
        }
    }
    return n == 0 ? SEND_TIME_NONE : quorum_value(values, n);
}

void
leader_advance_commit(struct raft *r, int64_t now)
{
    const struct configuration *c = config_history_newest(&r->configs);
    int64_t values[MEMBERS_MAX];
    size_t n = 0;
    uint64_t index;

    for (size_t i = 0; i < r->peer_count; i++) {
        if (configuration_is_voter(c, r->peers[i].id)) {
            values[n] = (int64_t)r->peers[i].match;
            n++;
        }
    }
    if (n == 0) {
        return;
    }
    index = (uint64_t)quorum_value(values, n);
    if (index <= r->commit || entries_term(&r->log, index) != r->term) {
        return;
    }
    r->commit = index;
    if (c->index <= index && !configuration_is_voter(c, r->cfg.id)) {
        /* This node was removed; the remaining voters elect a leader. */
        become_follower(r, now, r->term, 0);
    }
}

static void
send_heartbeat(struct raft *r, struct peer *p, int64_t now)
{
    Raft__Message m;

    message_init(r, &m, RAFT__KIND__HEARTBEAT, p->id);
    m.index = p->next - 1;
    m.commit = r->commit < p->match ? r->commit : p->match;
    m.stamp = (uint64_t)now;
    message_send(r, &m);
}

static void
send_heartbeats(struct raft *r, int64_t now)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        struct peer *p = &r->peers[i];

        if (p->id != r->cfg.id) {
            send_heartbeat(r, p, now);
            snapshot_resend_overdue(r, p, now);
        }
    }
}

void
leader_tick(struct raft *r, int64_t now)
{
    int64_t contact = leader_quorum_send_time(r);

    contact = contact > r->elected_at ? contact : r->elected_at;
    if (contact != INT64_MAX && now - contact > r->cfg.election_timeout_ns) {
        become_follower(r, now, r->term, 0);
        return;
    }
    transfer_tick(r, now);
    if (r->role == RAFT_LEADER && now >= r->heartbeat_deadline) {
        r->heartbeat_deadline = now + r->cfg.heartbeat_ns;
        send_heartbeats(r, now);
    }
}

static void
record_send_time(struct peer *p, const Raft__Message *m)
{
    if ((int64_t)m->stamp > p->answered_sent_ns) {
        p->answered_sent_ns = (int64_t)m->stamp;
    }
}

/* Returns to probing from next on, but never from an entry known to match. */
static void
restart_probing(struct peer *p, uint64_t next)
{
    p->state = PEER_PROBE;
    p->probe_sent = false;
    p->next = next > p->match + 1 ? next : p->match + 1;
}

/*
 * Handles a rejected append. The reply names the last entry that may match, so
 * that one round trip skips a whole term (thesis, section 3.5, and etcd's
 * variant of it).
 */
static void
handle_rejected_append(struct raft *r, struct peer *p, const Raft__Message *m)
{
    if (m->index <= p->match || p->state == PEER_SNAPSHOT) {
        return;
    }
    if (p->state == PEER_PROBE && m->index != p->next - 1) {
        return;
    }
    restart_probing(p, log_find_match_hint(r, m->last, m->log_term) + 1);
}

void
leader_handle_append_reply(struct raft *r, int64_t now, const Raft__Message *m)
{
    struct peer *p = peer_find(r, m->from);

    if (r->role != RAFT_LEADER || p == NULL || p->id == r->cfg.id) {
        return;
    }
    record_send_time(p, m);
    if (m->reject) {
        handle_rejected_append(r, p, m);
        return;
    }
    if (m->index > entries_last(&r->log)) {
        return;
    }
    if (m->index > p->match) {
        p->match = m->index;
    }
    if (p->next <= p->match) {
        p->next = p->match + 1;
    }
    if (p->state == PEER_PROBE || m->index >= r->log.base) {
        p->state = PEER_REPLICATE;
    }
    leader_advance_commit(r, now);
}

void
leader_handle_heartbeat_reply(struct raft *r, const Raft__Message *m)
{
    struct peer *p = peer_find(r, m->from);

    if (r->role != RAFT_LEADER || p == NULL || p->id == r->cfg.id) {
        return;
    }
    record_send_time(p, m);
    p->probe_sent = false;
    if (p->state != PEER_REPLICATE) {
        return;
    }
    if (m->last < m->index) {
        restart_probing(p, p->next < m->last + 1 ? p->next : m->last + 1);
    }
    else if (p->match < m->index) {
        p->check_match = true;
    }
}

/*
 * Returns how many entries from p->next on one message may carry now. The
 * window is the distance between match and next, as in "Ra: a Raft
 * Implementation for Erlang and Elixir", so that no list of unacknowledged
 * messages is needed. It limits the bytes queued for a stalled member: after
 * 50,000 commits 1.9 MB, compared with 13.3 MB without a window
 * (docs/bench-commit.md).
 */
static size_t
count_sendable_entries(const struct raft *r, const struct peer *p)
{
    uint64_t last = entries_last(&r->log);
    uint64_t sent = p->next - 1 - p->match;
    size_t n = 0;

    if (p->state == PEER_PROBE) {
        sent = 0;
    }
    for (uint64_t i = p->next; i <= last; i++) {
        if (n + sent >= r->cfg.window_entries ||
            (n > 0 &&
             entries_bytes(&r->log, p->next, i) > r->cfg.batch_bytes) ||
            (n + sent > 0 &&
             entries_bytes(&r->log, i - n - sent, i) > r->cfg.window_bytes)) {
            break;
        }
        n++;
    }
    return n;
}

static void
send_append(struct raft *r, struct peer *p, int64_t now, size_t n)
{
    Raft__Message m;
    Raft__Entry *space = mem_alloc((n + 1) * sizeof(*space));
    Raft__Entry **ptrs = mem_alloc((n + 1) * sizeof(*ptrs));

    message_init(r, &m, RAFT__KIND__APPEND, p->id);
    m.index = p->next - 1;
    m.log_term = entries_term(&r->log, m.index);
    m.commit = r->commit;
    m.stamp = (uint64_t)now;
    for (size_t i = 0; i < n; i++) {
        const struct raft_entry *e = entries_at(&r->log, p->next + i);

        raft__entry__init(&space[i]);
        space[i].term = e->term;
        space[i].kind = (uint32_t)e->kind;
        space[i].data.data = (uint8_t *)e->data.ptr;
        space[i].data.len = e->data.len;
        ptrs[i] = &space[i];
    }
    m.n_entries = n;
    m.entries = ptrs;
    message_send(r, &m);
    mem_free(space);
    mem_free(ptrs);
}

/* Queues what the member may be sent in its present state. */
static void
send_to_peer(struct raft *r, struct peer *p, int64_t now)
{
    if (p->state == PEER_SNAPSHOT) {
        return;
    }
    if (p->next <= r->log.base) {
        snapshot_start_transfer(r, p, now);
        return;
    }
    if (p->state == PEER_PROBE) {
        if (!p->probe_sent) {
            send_append(r, p, now, count_sendable_entries(r, p));
            p->probe_sent = true;
        }
        return;
    }
    for (size_t n = count_sendable_entries(r, p); n > 0;
         n = count_sendable_entries(r, p)) {
        send_append(r, p, now, n);
        p->next += n;
        p->check_match = false;
    }
    if (p->check_match) {
        send_append(r, p, now, 0);
        p->check_match = false;
    }
}

void
leader_send_appends(struct raft *r, int64_t now)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        if (r->peers[i].id != r->cfg.id) {
            send_to_peer(r, &r->peers[i], now);
        }
    }
}
