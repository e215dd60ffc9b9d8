#include <string.h>

#include "internal.h"
#include "mem.h"

/* Snapshots in parts, on the sending and the receiving side. */

void
snapshot_start(struct raft *r, struct peer *p, int64_t now)
{
    p->state = PEER_SNAPSHOT;
    p->probe_sent = false;
    p->snapshot = (struct transfer){
        .index = r->snapshot.index,
        .read_wanted = true,
        .resend_deadline = now + r->cfg.election_timeout_ns,
    };
}

/* Sends the current part again when no answer came for too long. */
void
snapshot_tick(struct raft *r, struct peer *p, int64_t now)
{
    struct transfer *t = &p->snapshot;

    if (p->state != PEER_SNAPSHOT || now < t->resend_deadline) {
        return;
    }
    t->resend_deadline = now + r->cfg.election_timeout_ns;
    t->resent = true;
    t->read_pending = false;
    t->read_wanted = true;
    if (t->index != r->snapshot.index) {
        snapshot_start(r, p, now);
    }
    else if (t->offset >= t->total) {
        /* All was received, but the installation was not confirmed. */
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
raft_snapshot_chunk(struct raft *r, int64_t now, uint64_t to, uint64_t index,
                    uint64_t offset, struct str bytes, uint64_t total, bool ok)
{
    struct peer *p = peer_find(r, to);
    Raft__Message m;

    if (r->role != RAFT_LEADER || p == NULL || p->state != PEER_SNAPSHOT ||
        p->snapshot.index != index || p->snapshot.offset != offset) {
        return;
    }
    p->snapshot.read_pending = false;
    if (!ok || index != r->snapshot.index) {
        /* snapshot_tick tries again, with a newer snapshot if there is one. */
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
snapshot_reply(struct raft *r, int64_t now, const Raft__Message *m)
{
    struct peer *p = peer_find(r, m->from);
    struct transfer *t;

    if (r->role != RAFT_LEADER || p == NULL || p->id == r->cfg.id) {
        return;
    }
    if ((int64_t)m->stamp > p->stamp) {
        p->stamp = (int64_t)m->stamp;
    }
    t = &p->snapshot;
    if (p->state != PEER_SNAPSHOT || t->index != m->index) {
        return;
    }
    /* Only a member that restarted falls back; old replies do not count. */
    if (m->offset <= t->offset && !(t->resent && m->offset < t->offset)) {
        return;
    }
    t->offset = m->offset;
    t->resent = false;
    t->read_pending = false;
    t->read_wanted = t->offset < t->total;
    t->resend_deadline = now + r->cfg.election_timeout_ns;
}

/* A member that stopped answering must not hold up compaction for ever. */
bool
raft_snapshot_busy(const struct raft *r)
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
reply_offset(struct raft *r, const Raft__Message *m, uint64_t offset)
{
    Raft__Message reply;

    message_init(r, &reply, RAFT__KIND__SNAPSHOT_REPLY, m->from);
    reply.index = m->index;
    reply.offset = offset;
    reply.stamp = m->stamp;
    message_send(r, &reply);
}

static bool
same_transfer(const struct install *in, const Raft__Message *m)
{
    return in->from == m->from && in->index == m->index &&
           in->term == m->log_term;
}

static bool
members_valid(struct str bytes)
{
    struct members probe;
    bool ok;

    members_init(&probe);
    ok = members_push(&probe, 0, bytes);
    members_free(&probe);
    return ok;
}

static void
take_part(struct raft *r, const Raft__Message *m)
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
snapshot_receive(struct raft *r, int64_t now, const Raft__Message *m)
{
    struct install *in = &r->install;
    struct str members = {(const char *)m->members.data, m->members.len};

    r->heard = now;
    if (r->role != RAFT_FOLLOWER || r->leader != m->from) {
        become_follower(r, now, r->term, m->from);
    }
    election_reset(r, now);
    if (m->index <= r->commit && !in->pending) {
        r->ack_due = true;
        r->ack_match = r->commit;
        r->ack_stamp = (int64_t)m->stamp;
        return;
    }
    if (in->pending) {
        if (same_transfer(in, m)) {
            reply_offset(r, m, in->next);
        }
        return;
    }
    if (!members_valid(members) || m->log_term == 0) {
        return;
    }
    if (!same_transfer(in, m)) {
        *in = (struct install){m->from, m->index, m->log_term, 0, false, {0}};
    }
    if (m->offset == in->next) {
        take_part(r, m);
    }
    reply_offset(r, m, in->next);
}

void
install_forget(struct raft *r)
{
    str_free(&r->install.members);
    r->install = (struct install){0};
}

/* Points the log at what follows the snapshot. */
static void
move_log(struct raft *r, const struct install *in)
{
    if (entries_term(&r->log, in->index) == in->term) {
        entries_compact(&r->log, in->index);
    }
    else {
        entries_reset(&r->log, in->index, in->term);
        r->durable = in->index;
        r->unwritten = in->index + 1;
        members_truncate(&r->members, 0);
        for (size_t i = 0; i < r->write_count; i++) {
            r->writes[i].last = 0;
        }
    }
    if (r->durable < in->index) {
        r->durable = in->index;
    }
    if (r->unwritten <= in->index) {
        r->unwritten = in->index + 1;
    }
}

/* Replaces the configurations up to index by that of the snapshot. */
static void
move_members(struct raft *r, const struct install *in)
{
    struct members fresh;

    members_init(&fresh);
    members_push(&fresh, in->index, in->members);
    for (size_t i = 0; i < r->members.count; i++) {
        const struct configuration *c = &r->members.stack[i];

        if (c->index > in->index) {
            members_push(&fresh, c->index, c->bytes);
        }
    }
    members_compact(&fresh, in->index);
    members_free(&r->members);
    r->members = fresh;
    peers_update(r);
}

void
raft_installed(struct raft *r, int64_t now, uint64_t index)
{
    struct install *in = &r->install;

    (void)now;
    if (r->failed || !in->pending || in->index != index) {
        return;
    }
    move_log(r, in);
    move_members(r, in);
    str_free(&r->snapshot.members);
    r->snapshot = (struct raft_snapshot){index, in->term, in->members};
    in->members = (struct str){0};
    r->commit = index;
    r->applied = index;
    r->status_dirty = true;
    install_forget(r);
    if (r->leader != 0 && r->role == RAFT_FOLLOWER) {
        r->ack_due = true;
        r->ack_match = index;
        r->ack_stamp = STAMP_NONE;
    }
}
