#include "raft.h"

#include "internal.h"
#include "mem.h"

void
raft_config_init(struct raft_config *config, uint64_t id, uint64_t seed)
{
    *config = (struct raft_config){
        .id = id,
        .seed = seed,
        .election_timeout_ns = 500 * NS_PER_MS,
        .heartbeat_ns = 100 * NS_PER_MS,
        .drift_ppm = 10000,
        .batch_bytes = (size_t)256 << 10,
        .window_bytes = (size_t)2 << 20,
        .window_entries = 16384,
        .uncommitted_bytes = (size_t)16 << 20,
        .snapshot_chunk_bytes = (size_t)256 << 10,
        .retained_bytes = (size_t)4 << 20,
        .catch_up_entries = 64,
    };
}

/* Loads the durable state; returns false if a configuration is invalid. */
static bool
restore_durable_state(struct raft *r, const struct raft_restored *from)
{
    const struct raft_snapshot *s = &from->snapshot;

    r->term = from->hard.term;
    r->vote = from->hard.vote;
    if (s->index != 0) {
        if (!config_history_append(&r->configs, s->index, s->members)) {
            return false;
        }
        config_history_compact(&r->configs, s->index);
        r->snapshot = *s;
        r->snapshot.members = str_dup(s->members);
        entries_reset(&r->log, s->index, s->term);
    }
    for (size_t i = 0; i < from->entry_count; i++) {
        const struct raft_entry *e = &from->entries[i];

        if (e->kind == RAFT_ENTRY_CONFIG &&
            !config_history_append(&r->configs, e->index, e->data)) {
            return false;
        }
        entries_append(&r->log, e->term, e->kind, e->data);
    }
    r->commit = s->index;
    r->applied = s->index;
    r->durable = entries_last(&r->log);
    r->first_unwritten = r->durable + 1;
    return true;
}

struct raft *
raft_create(const struct raft_config *config,
            const struct raft_restored *restored, int64_t now)
{
    struct raft *r = mem_zalloc(1, sizeof(*r));

    r->cfg = *config;
    r->rng.state = config->seed;
    r->first_unwritten = 1;
    r->status_dirty = true;
    config_history_init(&r->configs);
    if (restored != NULL && !restore_durable_state(r, restored)) {
        raft_destroy(r);
        return NULL;
    }
    peers_update(r);
    /*
     * This node may have answered a leader just before it was restarted, and
     * that leader's lease may still hold.
     */
    r->last_leader_contact = now;
    election_reset_deadline(r, now);
    return r;
}

void
raft_destroy(struct raft *r)
{
    if (r == NULL) {
        return;
    }
    /* Frees the messages that wait for writes, and the last output. */
    raft_storage_failed(r, 0);
    messages_clear(&r->outbox);
    install_discard(r);
    entries_free(&r->log);
    config_history_free(&r->configs);
    str_free(&r->snapshot.members);
    mem_free(r->peers);
    mem_free(r->writes);
    mem_free(r->installs);
    mem_free(r->reads);
    mem_free(r);
}

enum raft_error
raft_bootstrap(struct raft *r, int64_t now, const struct raft_member *members,
               size_t count)
{
    if (entries_last(&r->log) != 0 || r->term != 0 || count == 0 ||
        count > MEMBERS_MAX) {
        return RAFT_ERR_INVALID;
    }
    r->term = 1;
    r->hard_state_dirty = true;
    r->election_deadline = now;
    return append_configuration(r, members, count, NULL);
}

uint64_t
log_append(struct raft *r, enum raft_entry_kind kind, struct str data)
{
    return entries_append(&r->log, r->term, kind, data);
}

enum raft_error
raft_propose(struct raft *r, int64_t now, struct str data, uint64_t *index)
{
    uint64_t uncommitted =
        entries_bytes(&r->log, r->commit + 1, entries_last(&r->log));
    uint64_t at;

    (void)now;
    if (r->failed) {
        return RAFT_ERR_FAILED;
    }
    if (r->role != RAFT_LEADER) {
        return RAFT_ERR_NOT_LEADER;
    }
    if (r->transfer_to != 0) {
        return RAFT_ERR_BUSY;
    }
    if (uncommitted != 0 &&
        uncommitted + data.len > r->cfg.uncommitted_bytes) {
        return RAFT_ERR_FULL;
    }
    at = log_append(r, RAFT_ENTRY_DATA, data);
    if (index != NULL) {
        *index = at;
    }
    return RAFT_OK;
}

void
raft_tick(struct raft *r, int64_t now)
{
    if (r->failed) {
        return;
    }
    compact_next_entries(r);
    if (r->role == RAFT_LEADER) {
        leader_tick(r, now);
    }
    else {
        election_tick(r, now);
    }
}

int64_t
raft_next_deadline(const struct raft *r)
{
    if (r->failed) {
        return DEADLINE_NONE;
    }
    return r->role == RAFT_LEADER ? r->heartbeat_deadline
                                  : r->election_deadline;
}

static bool
is_leader_message(const Raft__Message *m)
{
    return m->kind == RAFT__KIND__APPEND || m->kind == RAFT__KIND__HEARTBEAT ||
           m->kind == RAFT__KIND__SNAPSHOT;
}

/* Tells a leader or pre-candidate of an earlier term about the newer term. */
static void
reply_newer_term(struct raft *r, const Raft__Message *m)
{
    Raft__Message reply;
    bool pre = m->kind == RAFT__KIND__PRE_VOTE;

    if (!pre && !is_leader_message(m)) {
        return;
    }
    message_init(r, &reply,
                 pre ? RAFT__KIND__PRE_VOTE_REPLY : RAFT__KIND__APPEND_REPLY,
                 m->from);
    reply.reject = true;
    message_send(r, &reply);
}

/*
 * Compares the term of a message with this node's and adopts a newer one.
 * Returns whether the message is to be processed further.
 */
static bool
update_term(struct raft *r, int64_t now, const Raft__Message *m)
{
    if (m->term < r->term) {
        reply_newer_term(r, m);
        return false;
    }
    if (m->term == r->term || m->kind == RAFT__KIND__PRE_VOTE ||
        (m->kind == RAFT__KIND__PRE_VOTE_REPLY && !m->reject)) {
        return true;
    }
    if (m->kind == RAFT__KIND__VOTE && !m->transfer &&
        election_has_leader_contact(r, now)) {
        return false;
    }
    become_follower(r, now, m->term, is_leader_message(m) ? m->from : 0);
    return true;
}

/* Starts an election because the leader transfers leadership to this node. */
static void
handle_timeout_now(struct raft *r, int64_t now, const Raft__Message *m)
{
    const struct configuration *c = config_history_newest(&r->configs);

    if (r->role == RAFT_FOLLOWER && r->leader == m->from &&
        configuration_is_voter(c, r->cfg.id) && !r->install.pending) {
        election_start(r, now, true);
    }
}

void
process_message(struct raft *r, int64_t now, const Raft__Message *m)
{
    if (!update_term(r, now, m)) {
        return;
    }
    switch (m->kind) {
    case RAFT__KIND__PRE_VOTE:
    case RAFT__KIND__VOTE:
        election_handle_request(r, now, m);
        break;
    case RAFT__KIND__PRE_VOTE_REPLY:
    case RAFT__KIND__VOTE_REPLY:
        election_handle_reply(r, now, m);
        break;
    case RAFT__KIND__APPEND:
        follower_handle_append(r, now, m);
        break;
    case RAFT__KIND__APPEND_REPLY:
        leader_handle_append_reply(r, now, m);
        break;
    case RAFT__KIND__HEARTBEAT:
        follower_handle_heartbeat(r, now, m);
        break;
    case RAFT__KIND__HEARTBEAT_REPLY:
        leader_handle_heartbeat_reply(r, m);
        break;
    case RAFT__KIND__SNAPSHOT:
        snapshot_handle_chunk(r, now, m);
        break;
    case RAFT__KIND__SNAPSHOT_REPLY:
        snapshot_handle_reply(r, now, m);
        break;
    case RAFT__KIND__TIMEOUT_NOW:
        handle_timeout_now(r, now, m);
        break;
    default:
        break;
    }
}

enum raft_error
raft_receive(struct raft *r, int64_t now, uint64_t from, struct str bytes)
{
    Raft__Message *m = message_decode(bytes);

    if (m == NULL) {
        return RAFT_ERR_INVALID;
    }
    if (m->from != from) {
        raft__message__free_unpacked(m, NULL);
        return RAFT_ERR_INVALID;
    }
    /*
     * A VM whose disk was lost returns with a new member id, so messages for
     * its old id may still arrive and must be dropped.
     */
    if (m->to == r->cfg.id && !r->failed) {
        process_message(r, now, m);
    }
    raft__message__free_unpacked(m, NULL);
    return RAFT_OK;
}
