#include "internal.h"

uint64_t
log_find_match_hint(const struct raft *r, uint64_t index, uint64_t term)
{
    uint64_t last = entries_last(&r->log);

    index = index < last ? index : last;
    while (index > r->log.base && entries_term(&r->log, index) > term) {
        index--;
    }
    return index;
}

/* Records contact with the leader, which postpones the next election. */
static void
record_leader_contact(struct raft *r, int64_t now, const Raft__Message *m)
{
    r->last_leader_contact = now;
    if (r->role != RAFT_FOLLOWER || r->leader != m->from) {
        become_follower(r, now, r->term, m->from);
    }
    else {
        election_reset_deadline(r, now);
    }
}

/* Rejects an append and tells the leader which earlier entry may match. */
static void
reject_append(struct raft *r, const Raft__Message *m)
{
    Raft__Message reply;
    uint64_t hint = m->index > 0 ? m->index - 1 : 0;

    message_init(r, &reply, RAFT__KIND__APPEND_REPLY, m->from);
    reply.reject = true;
    reply.index = m->index;
    reply.last = log_find_match_hint(r, hint, m->log_term);
    reply.log_term = entries_term(&r->log, reply.last);
    reply.stamp = m->stamp;
    message_send(r, &reply);
}

/* Merges a reply into the one that follower_send_ack will send. */
static void
record_ack(struct raft *r, const Raft__Message *m, uint64_t match)
{
    bool first = !r->ack_due;

    r->ack_due = true;
    if (first || match > r->ack_match) {
        r->ack_match = match;
    }
    if (first || (int64_t)m->stamp > r->ack_sent_ns) {
        r->ack_sent_ns = (int64_t)m->stamp;
    }
}

/* Drops the entries after index, also from the writes in progress. */
static void
truncate_log(struct raft *r, uint64_t index)
{
    entries_truncate(&r->log, index);
    config_history_truncate(&r->configs, index);
    if (r->durable > index) {
        r->durable = index;
    }
    if (r->first_unwritten > index + 1) {
        r->first_unwritten = index + 1;
    }
    for (size_t i = 0; i < r->write_count; i++) {
        if (r->writes[i].last > index) {
            r->writes[i].last = index;
        }
    }
    peers_update(r);
    r->status_dirty = true;
}

/*
 * Appends the entries of m from position skip on that the log lacks; an entry
 * of another term is replaced, with all after it. Returns false if a
 * configuration cannot be decoded.
 */
static bool
append_missing_entries(struct raft *r, const Raft__Message *m, size_t skip)
{
    for (size_t i = skip; i < m->n_entries; i++) {
        const Raft__Entry *e = m->entries[i];
        uint64_t index = m->index + i + 1;
        struct str data = {(const char *)e->data.data, e->data.len};

        if (index <= entries_last(&r->log)) {
            if (entries_term(&r->log, index) == e->term) {
                continue;
            }
            truncate_log(r, index - 1);
        }
        if (e->kind == RAFT_ENTRY_CONFIG) {
            if (!config_history_append(&r->configs, index, data)) {
                return false;
            }
            peers_update(r);
            r->status_dirty = true;
        }
        entries_append(&r->log, e->term, (enum raft_entry_kind)e->kind, data);
    }
    return true;
}

void
follower_handle_append(struct raft *r, int64_t now, const Raft__Message *m)
{
    uint64_t last = m->index + m->n_entries;
    size_t skip = 0;

    record_leader_contact(r, now, m);
    /* The log must not change while a snapshot is being installed. */
    if (r->install.pending) {
        return;
    }
    if (m->index < r->commit) {
        /* Committed entries are the same on every node. */
        skip = (size_t)(r->commit - m->index);
    }
    else if (m->index > entries_last(&r->log) ||
             entries_term(&r->log, m->index) != m->log_term) {
        reject_append(r, m);
        return;
    }
    if (skip >= m->n_entries && m->index < r->commit) {
        record_ack(r, m, r->commit);
        return;
    }
    if (!append_missing_entries(r, m, skip)) {
        return;
    }
    if (m->commit > r->commit) {
        r->commit = m->commit < last ? m->commit : last;
    }
    record_ack(r, m, last);
}

void
follower_handle_heartbeat(struct raft *r, int64_t now, const Raft__Message *m)
{
    Raft__Message reply;
    uint64_t last = entries_last(&r->log);

    record_leader_contact(r, now, m);
    /* The leader sends no commit index beyond what this node acknowledged. */
    if (m->commit > r->commit && m->commit <= last && !r->install.pending) {
        r->commit = m->commit;
    }
    message_init(r, &reply, RAFT__KIND__HEARTBEAT_REPLY, m->from);
    reply.index = m->index;
    reply.last = last;
    reply.stamp = m->stamp;
    message_send(r, &reply);
}

void
follower_send_ack(struct raft *r)
{
    Raft__Message m;

    if (!r->ack_due || r->leader == 0) {
        return;
    }
    r->ack_due = false;
    message_init(r, &m, RAFT__KIND__APPEND_REPLY, r->leader);
    m.index = r->ack_match;
    m.last = entries_last(&r->log);
    m.stamp = (uint64_t)r->ack_sent_ns;
    if (r->ack_match <= r->durable) {
        message_send(r, &m);
    }
    else {
        message_send_when_durable(r, &m);
    }
}
