#include "internal.h"

/*
 * Elections. A node first asks for pre-votes, which change no state on the
 * voters, so that a node that returns from a partition does not force a
 * working leader to step down (thesis, section 9.6).
 */

/*
 * A leader's lease relies on every voter refusing its vote for the minimum
 * election timeout after it received a message from that leader.
 */
bool
election_has_leader_contact(const struct raft *r, int64_t now)
{
    return r->role == RAFT_LEADER ||
           now - r->last_leader_contact < r->cfg.election_timeout_ns;
}

void
election_reset_deadline(struct raft *r, int64_t now)
{
    int64_t base = r->cfg.election_timeout_ns;
    int64_t extra = (int64_t)rng_below(&r->rng, (uint64_t)base);

    r->election_deadline = now + base + extra;
}

static void
adopt_term(struct raft *r, uint64_t term)
{
    if (term > r->term) {
        r->term = term;
        r->vote = 0;
        r->hard_state_dirty = true;
    }
}

void
become_follower(struct raft *r, int64_t now, uint64_t term, uint64_t leader)
{
    adopt_term(r, term);
    r->role = RAFT_FOLLOWER;
    r->leader = leader;
    r->status_dirty = true;
    r->ack_due = false;
    r->transfer_to = 0;
    election_reset_deadline(r, now);
}

/* Whether the candidate's log is at least as up to date as this node's. */
static bool
is_log_up_to_date(const struct raft *r, const Raft__Message *m)
{
    uint64_t last = entries_last(&r->log);
    uint64_t term = entries_term(&r->log, last);

    return m->log_term > term || (m->log_term == term && m->index >= last);
}

void
election_handle_request(struct raft *r, int64_t now, const Raft__Message *m)
{
    Raft__Message reply;
    bool pre = m->kind == RAFT__KIND__PRE_VOTE;
    bool grant = m->term >= r->term && is_log_up_to_date(r, m);

    grant = grant && (m->transfer || !election_has_leader_contact(r, now));
    if (pre) {
        grant = grant && m->term > r->term;
    }
    else {
        grant =
            grant && (r->vote == m->from || (r->vote == 0 && r->leader == 0));
    }
    message_init(r, &reply,
                 pre ? RAFT__KIND__PRE_VOTE_REPLY : RAFT__KIND__VOTE_REPLY,
                 m->from);
    reply.reject = !grant;
    if (pre) {
        reply.term = grant ? m->term : r->term;
        message_send(r, &reply);
        return;
    }
    if (grant) {
        r->hard_state_dirty = r->hard_state_dirty || r->vote != m->from;
        r->vote = m->from;
        election_reset_deadline(r, now);
    }
    message_send_when_durable(r, &reply);
}

/*
 * Takes the next step of the election once a majority has granted its vote;
 * gives up once a majority has refused.
 */
static void
count_votes(struct raft *r, int64_t now)
{
    const struct configuration *c = config_history_newest(&r->configs);
    size_t quorum = configuration_count_voters(c) / 2 + 1;
    size_t granted = 0;
    size_t refused = 0;

    for (size_t i = 0; i < r->peer_count; i++) {
        if (configuration_is_voter(c, r->peers[i].id)) {
            granted += r->peers[i].vote == VOTE_GRANTED;
            refused += r->peers[i].vote == VOTE_REFUSED;
        }
    }
    if (granted >= quorum) {
        if (r->role == RAFT_CANDIDATE) {
            become_leader(r, now);
        }
        else {
            election_start(r, now, false);
        }
    }
    else if (refused >= quorum) {
        become_follower(r, now, r->term, 0);
    }
}

void
election_handle_reply(struct raft *r, int64_t now, const Raft__Message *m)
{
    bool pre = m->kind == RAFT__KIND__PRE_VOTE_REPLY;
    struct peer *p = peer_find(r, m->from);

    if (p == NULL || r->role != (pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE)) {
        return;
    }
    /* A granted pre-vote carries the term of the request. */
    if (pre && !m->reject && m->term != r->term + 1) {
        return;
    }
    p->vote = m->reject ? VOTE_REFUSED : VOTE_GRANTED;
    count_votes(r, now);
}

/*
 * Sends a request to every other voter. A VOTE request is sent only after this
 * node's own vote is durable.
 */
static void
send_vote_requests(struct raft *r, Raft__Kind kind, uint64_t term,
                   bool transfer)
{
    const struct configuration *c = config_history_newest(&r->configs);
    Raft__Message m;

    for (size_t i = 0; i < r->peer_count; i++) {
        uint64_t id = r->peers[i].id;

        if (id == r->cfg.id || !configuration_is_voter(c, id)) {
            continue;
        }
        message_init(r, &m, kind, id);
        m.term = term;
        m.index = entries_last(&r->log);
        m.log_term = entries_term(&r->log, m.index);
        m.transfer = transfer;
        if (kind == RAFT__KIND__PRE_VOTE) {
            message_send(r, &m);
        }
        else {
            message_send_when_durable(r, &m);
        }
    }
}

static void
clear_votes(struct raft *r)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        r->peers[i].vote = VOTE_NONE;
    }
}

void
election_start(struct raft *r, int64_t now, bool transfer)
{
    Raft__Message own;

    become_follower(r, now, r->term + 1, 0);
    r->role = RAFT_CANDIDATE;
    r->vote = r->cfg.id;
    clear_votes(r);
    send_vote_requests(r, RAFT__KIND__VOTE, r->term, transfer);
    /* This node's own vote counts once it is durable: see release_held. */
    message_init(r, &own, RAFT__KIND__VOTE_REPLY, r->cfg.id);
    message_send_when_durable(r, &own);
}

static void
start_pre_vote(struct raft *r, int64_t now)
{
    struct peer *self;

    become_follower(r, now, r->term, 0);
    r->role = RAFT_PRE_CANDIDATE;
    clear_votes(r);
    self = peer_find(r, r->cfg.id);
    if (self != NULL) {
        self->vote = VOTE_GRANTED;
    }
    send_vote_requests(r, RAFT__KIND__PRE_VOTE, r->term + 1, false);
    count_votes(r, now);
}

/*
 * Whether this node is a voter in any configuration that may be in force. A
 * node whose removal is not yet committed must still start elections: it may
 * be the only one with a log that a majority votes for (thesis, section
 * 4.2.2).
 */
static bool
can_start_election(const struct raft *r)
{
    const struct configuration *c = config_history_at(&r->configs, r->commit);
    const struct configuration *last = config_history_newest(&r->configs);

    for (; c <= last; c++) {
        if (configuration_is_voter(c, r->cfg.id)) {
            return true;
        }
    }
    return false;
}

void
election_tick(struct raft *r, int64_t now)
{
    if (now < r->election_deadline) {
        return;
    }
    if (can_start_election(r) && !r->install.pending) {
        start_pre_vote(r, now);
    }
    else {
        r->leader = 0;
        r->status_dirty = true;
        election_reset_deadline(r, now);
    }
}
