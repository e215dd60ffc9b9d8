#include "internal.h"
#include "mem.h"

/*
 * Limit of the bytes of committed entries in one output, so that applying them
 * does not block the caller for long.
 */
#define MAX_APPLY_BYTES ((uint64_t)4 << 20)

/*
 * Adds a write to the output if any state is not yet written. The held
 * messages wait for the newest write; without one they are sent at once.
 */
static void
collect_write(struct raft *r)
{
    uint64_t last = entries_last(&r->log);
    struct write *w;

    if (r->hard_state_dirty || r->first_unwritten <= last) {
        r->writes =
            mem_realloc(r->writes, r->write_count + 1, sizeof(*r->writes));
        w = &r->writes[r->write_count];
        r->write_count++;
        r->write_number++;
        *w = (struct write){.number = r->write_number, .last = last};
        messages_move(&w->held, &r->held);
        r->out.write = w->number;
        r->out.hard_changed = r->hard_state_dirty;
        r->out.hard = (struct raft_hard_state){r->term, r->vote};
        if (r->first_unwritten <= last) {
            r->out.entries = entries_at(&r->log, r->first_unwritten);
            r->out.entry_count = (size_t)(last + 1 - r->first_unwritten);
        }
    }
    else if (r->write_count > 0) {
        messages_move(&r->writes[r->write_count - 1].held, &r->held);
    }
    else {
        messages_move(&r->outbox, &r->held);
    }
}

/* Adds committed entries, if any, to the output: at least one of any size. */
static void
collect_committed(struct raft *r)
{
    uint64_t first = r->applied + 1;
    uint64_t end = first;

    if (r->install.pending || r->applied >= r->commit) {
        return;
    }
    while (end <= r->commit &&
           (end == first ||
            entries_bytes(&r->log, first, end) <= MAX_APPLY_BYTES)) {
        end++;
    }
    r->out.committed = entries_at(&r->log, first);
    r->out.committed_count = (size_t)(end - first);
}

static void
collect_output(struct raft *r, int64_t now)
{
    if (r->role == RAFT_LEADER) {
        config_change_tick(r, now);
        transfer_send_timeout_now(r);
        leader_send_appends(r, now);
        snapshot_collect_reads(r);
    }
    else {
        follower_send_ack(r);
    }
    collect_write(r);
    collect_committed(r);
}

bool
raft_ready(struct raft *r, int64_t now, struct raft_output *out)
{
    r->out = (struct raft_output){.status_changed = r->status_dirty};
    if (!r->failed) {
        collect_output(r, now);
    }
    r->out.messages = r->outbox.items;
    r->out.message_count = r->outbox.count;
    r->out.installs = r->installs;
    r->out.install_count = r->install_count;
    r->out.reads = r->reads;
    r->out.read_count = r->read_count;
    *out = r->out;
    return out->message_count != 0 || out->write != 0 ||
           out->install_count != 0 || out->read_count != 0 ||
           out->committed_count != 0 || out->status_changed;
}

static void
release_outputs(struct raft *r)
{
    messages_clear(&r->outbox);
    for (size_t i = 0; i < r->install_count; i++) {
        str_free(&r->installs[i].snapshot.members);
        str_free(&r->installs[i].bytes);
    }
    r->install_count = 0;
    r->read_count = 0;
}

void
raft_advance(struct raft *r)
{
    if (r->out.write != 0) {
        r->hard_state_dirty = false;
        r->first_unwritten = entries_last(&r->log) + 1;
    }
    r->applied += r->out.committed_count;
    r->status_dirty = false;
    r->out = (struct raft_output){0};
    release_outputs(r);
    compact_next_entries(r);
}

/*
 * Queues the messages that waited for a write. A message to this node itself,
 * its own vote, is processed here.
 */
static void
release_held(struct raft *r, int64_t now, struct messages *held)
{
    size_t kept = 0;

    for (size_t i = 0; i < held->count; i++) {
        struct raft_message *msg = &held->items[i];
        Raft__Message *m;

        if (msg->to != r->cfg.id) {
            held->items[kept] = *msg;
            kept++;
            continue;
        }
        m = message_decode(msg->bytes);
        if (m != NULL) {
            process_message(r, now, m);
            raft__message__free_unpacked(m, NULL);
        }
        str_free(&msg->bytes);
    }
    held->count = kept;
    messages_move(&r->outbox, held);
    messages_clear(held);
}

void
raft_write_synced(struct raft *r, int64_t now, uint64_t write)
{
    struct messages held = {0};
    size_t done = 0;
    struct peer *self;

    while (done < r->write_count && r->writes[done].number <= write) {
        struct write *w = &r->writes[done];

        if (w->last > r->durable) {
            r->durable = w->last;
        }
        messages_move(&held, &w->held);
        messages_clear(&w->held);
        done++;
    }
    for (size_t i = done; i < r->write_count; i++) {
        r->writes[i - done] = r->writes[i];
    }
    r->write_count -= done;
    release_held(r, now, &held);
    self = peer_find(r, r->cfg.id);
    if (r->role == RAFT_LEADER) {
        if (self != NULL) {
            self->match = r->durable;
        }
        leader_advance_commit(r, now);
    }
}

void
raft_storage_failed(struct raft *r, int64_t now)
{
    become_follower(r, now, r->term, 0);
    r->failed = true;
    messages_clear(&r->held);
    for (size_t i = 0; i < r->write_count; i++) {
        messages_clear(&r->writes[i].held);
    }
    r->write_count = 0;
    release_outputs(r);
}
