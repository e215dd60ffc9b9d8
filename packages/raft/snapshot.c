#include <string.h>

#include "internal.h"
#include "mem.h"

/* Transfer of snapshots in chunks: sender and receiver. */

void
snapshot_start_transfer(struct raft *r, struct peer *p, int64_t now)
{
    p->state = PEER_SNAPSHOT;
    p->probe_sent = false;
    p->snapshot = (struct snapshot_transfer){
        .index = r->snapshot.index,
        .read_wanted = true,
        .resend_deadline = now + r->cfg.election_timeout_ns,
    };
}

void
snapshot_resend_overdue(struct raft *r, struct peer *p, int64_t now)
{
    struct snapshot_transfer *t = &p->snapshot;

    if (p->state != PEER_SNAPSHOT || now < t->resend_deadline) {
        return;
    }
    t->resend_deadline = now + r->cfg.election_timeout_ns;
    t->resent = true;
    t->read_pending = false;
    t->read_wanted = true;
    if (t->index != r->snapshot.index) {
        snapshot_start_transfer(r, p, now);
    }
    else if (t->offset >= t->total) {
        /*
         * The member received the whole snapshot but did not confirm that it
         * was installed, so the transfer starts again.
         */
        t->offset = 0;
    }
}

void
snapshot_collect_reads(struct raft *r)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        struct peer *p = &r->peers[i];

        if (p->state != PEER_SNAPSHOT || !p->snapshot.read_wanted ||
            p->snapshot.read_pending) {
            continue;
        }
        p->snapshot.read_wanted = false;
        p->snapshot.read_pending = true;
        r->reads = mem_realloc(r->reads, r->read_count + 1, sizeof(*r->reads));
        r->reads[r->read_count] = (struct raft_snapshot_read){
            .to = p->id,
            .index = p->snapshot.index,
            .offset = p->snapshot.offset,
            .len = r->cfg.snapshot_chunk_bytes,
        };
        r->read_count++;
    }
}

void
raft_supply_snapshot_chunk(struct raft *r, int64_t now, uint64_t to,
                           uint64_t index, uint64_t offset, struct str bytes,
                           uint64_t total, bool ok)
{
    struct peer *p = peer_find(r, to);
    Raft__Message m;

    if (r->role != RAFT_LEADER || p == NULL || p->state != PEER_SNAPSHOT ||
        p->snapshot.index != index || p->snapshot.offset != offset) {
        return;
    }
    p->snapshot.read_pending = false;
    if (!ok || index != r->snapshot.index) {
        /* snapshot_resend_overdue retries, maybe with a newer snapshot. */
        return;
    }
    p->snapshot.total = total;
    p->snapshot.resend_deadline = now + r->cfg.election_timeout_ns;
    message_init(r, &m, RAFT__KIND__SNAPSHOT, to);
    m.index = index;
    m.log_term = r->snapshot.term;
    m.members.data = (uint8_t *)r->snapshot.members.ptr;
    m.members.len = r->snapshot.members.len;
    m.offset = offset;
    m.data.data = (uint8_t *)bytes.ptr;
    m.data.len = bytes.len;
    m.done = offset + bytes.len >= total;
    m.stamp = (uint64_t)now;
    message_send(r, &m);
}

void
snapshot_handle_reply(struct raft *r, int64_t now, const Raft__Message *m)
{
    struct peer *p = peer_find(r, m->from);
    struct snapshot_transfer *t;

    if (r->role != RAFT_LEADER || p == NULL || p->id == r->cfg.id) {
        return;
    }
    if ((int64_t)m->stamp > p->answered_sent_ns) {
        p->answered_sent_ns = (int64_t)m->stamp;
    }
    t = &p->snapshot;
    if (p->state != PEER_SNAPSHOT || t->index != m->index) {
        return;
    }
    /*
     * A smaller offset is accepted only after a resend, when the member may
     * have restarted and lost its chunks. Otherwise the reply is outdated.
     */
    if (m->offset <= t->offset && !(t->resent && m->offset < t->offset)) {
        return;
    }
    t->offset = m->offset;
    t->resent = false;
    t->read_pending = false;
    t->read_wanted = t->offset < t->total;
    t->resend_deadline = now + r->cfg.election_timeout_ns;
}

/*
 * A member that stopped answering does not count: otherwise the caller would
 * take no new snapshots, and the log could not be compacted.
 */
bool
raft_is_sending_snapshot(const struct raft *r)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        const struct peer *p = &r->peers[i];

        if (r->role == RAFT_LEADER && p->state == PEER_SNAPSHOT &&
            !p->snapshot.resent) {
            return true;
        }
    }
    return false;
}

static void
send_chunk_reply(struct raft *r, const Raft__Message *m, uint64_t offset)
{
    Raft__Message reply;

    message_init(r, &reply, RAFT__KIND__SNAPSHOT_REPLY, m->from);
    reply.index = m->index;
    reply.offset = offset;
    reply.stamp = m->stamp;
    message_send(r, &reply);
}

/* Whether m belongs to the snapshot that is being received. */
static bool
is_same_snapshot(const struct install *in, const Raft__Message *m)
{
    return in->from == m->from && in->index == m->index &&
           in->term == m->log_term;
}

static bool
is_valid_configuration(struct str bytes)
{
    struct config_history decoded;
    bool ok;

    config_history_init(&decoded);
    ok = config_history_append(&decoded, 0, bytes);
    config_history_free(&decoded);
    return ok;
}

/* Passes a chunk on to the caller of raft_ready. */
static void
accept_chunk(struct raft *r, const Raft__Message *m)
{
    struct str members = {(const char *)m->members.data, m->members.len};
    struct str bytes = {(const char *)m->data.data, m->data.len};
    struct install *in = &r->install;
    struct raft_install *out;

    r->installs =
        mem_realloc(r->installs, r->install_count + 1, sizeof(*r->installs));
    out = &r->installs[r->install_count];
    *out = (struct raft_install){
        .snapshot = {m->index, m->log_term, str_dup(members)},
        .offset = m->offset,
        .bytes = str_dup(bytes),
        .last = m->done,
    };
    r->install_count++;
    in->next += bytes.len;
    if (m->done) {
        out->reset_log = entries_term(&r->log, m->index) != m->log_term;
        in->pending = true;
        str_free(&in->members);
        in->members = str_dup(members);
    }
}

void
snapshot_handle_chunk(struct raft *r, int64_t now, const Raft__Message *m)
{
    struct install *in = &r->install;
    struct str members = {(const char *)m->members.data, m->members.len};

    r->last_leader_contact = now;
    if (r->role != RAFT_FOLLOWER || r->leader != m->from) {
        become_follower(r, now, r->term, m->from);
    }
    election_reset_deadline(r, now);
    if (m->index <= r->commit && !in->pending) {
        r->ack_due = true;
        r->ack_match = r->commit;
        r->ack_sent_ns = (int64_t)m->stamp;
        return;
    }
    if (in->pending) {
        if (is_same_snapshot(in, m)) {
            send_chunk_reply(r, m, in->next);
        }
        return;
    }
    if (!is_valid_configuration(members) || m->log_term == 0) {
        return;
    }
    if (!is_same_snapshot(in, m)) {
        *in = (struct install){m->from, m->index, m->log_term, 0, false, {0}};
    }
    if (m->offset == in->next) {
        accept_chunk(r, m);
    }
    send_chunk_reply(r, m, in->next);
}

void
install_discard(struct raft *r)
{
    str_free(&r->install.members);
    r->install = (struct install){0};
}

/*
 * Makes the log start after the snapshot. Entries after it are kept only if
 * the log agrees with the snapshot.
 */
static void
reset_log_to_snapshot(struct raft *r, const struct install *in)
{
    if (entries_term(&r->log, in->index) == in->term) {
        entries_compact(&r->log, in->index);
    }
    else {
        entries_reset(&r->log, in->index, in->term);
        r->durable = in->index;
        r->first_unwritten = in->index + 1;
        config_history_truncate(&r->configs, 0);
        for (size_t i = 0; i < r->write_count; i++) {
            r->writes[i].last = 0;
        }
    }
    if (r->durable < in->index) {
        r->durable = in->index;
    }
    if (r->first_unwritten <= in->index) {
        r->first_unwritten = in->index + 1;
    }
}

/* Replaces the configurations that the snapshot covers by the snapshot's. */
static void
reset_configs_to_snapshot(struct raft *r, const struct install *in)
{
    struct config_history fresh;

    config_history_init(&fresh);
    config_history_append(&fresh, in->index, in->members);
    for (size_t i = 0; i < r->configs.count; i++) {
        const struct configuration *c = &r->configs.items[i];

        if (c->index > in->index) {
            config_history_append(&fresh, c->index, c->bytes);
        }
    }
    config_history_compact(&fresh, in->index);
    config_history_free(&r->configs);
    r->configs = fresh;
    peers_update(r);
}

void
raft_snapshot_installed(struct raft *r, int64_t now, uint64_t index)
{
    struct install *in = &r->install;

    (void)now;
    if (r->failed || !in->pending || in->index != index) {
        return;
    }
    reset_log_to_snapshot(r, in);
    reset_configs_to_snapshot(r, in);
    str_free(&r->snapshot.members);
    r->snapshot = (struct raft_snapshot){index, in->term, in->members};
    in->members = (struct str){0};
    r->commit = index;
    r->applied = index;
    r->status_dirty = true;
    install_discard(r);
    if (r->leader != 0 && r->role == RAFT_FOLLOWER) {
        r->ack_due = true;
        r->ack_match = index;
        r->ack_sent_ns = SEND_TIME_NONE;
    }
}
