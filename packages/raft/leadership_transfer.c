#include "internal.h"

/*
 * Leadership transfer (thesis, section 3.10). Voters grant the target's vote
 * requests although they still receive messages from this leader. The leader
 * therefore gives up its lease for the rest of the term as soon as it sends
 * TIMEOUT_NOW: a delayed vote request must not succeed during a valid lease.
 */

static uint64_t
find_most_advanced_voter(const struct raft *r, int64_t now)
{
    const struct configuration *c = config_history_newest(&r->configs);
    const struct peer *best = NULL;

    for (size_t i = 0; i < r->peer_count; i++) {
        const struct peer *p = &r->peers[i];

        if (p->id != r->cfg.id && configuration_is_voter(c, p->id) &&
            peer_is_active(r, p, now) &&
            (best == NULL || p->match > best->match)) {
            best = p;
        }
    }
    return best == NULL ? 0 : best->id;
}

enum raft_error
raft_transfer_leadership(struct raft *r, int64_t now, uint64_t to)
{
    if (r->failed) {
        return RAFT_ERR_FAILED;
    }
    if (r->role != RAFT_LEADER) {
        return RAFT_ERR_NOT_LEADER;
    }
    if (r->transfer_to != 0) {
        return RAFT_ERR_BUSY;
    }
    if (to == 0) {
        to = find_most_advanced_voter(r, now);
    }
    if (to == 0) {
        return RAFT_ERR_NOT_READY;
    }
    if (to == r->cfg.id ||
        !configuration_is_voter(config_history_newest(&r->configs), to)) {
        return RAFT_ERR_INVALID;
    }
    r->transfer_to = to;
    r->transfer_sent = false;
    r->transfer_deadline = now + r->cfg.election_timeout_ns;
    return RAFT_OK;
}

void
transfer_send_timeout_now(struct raft *r)
{
    const struct peer *p = peer_find(r, r->transfer_to);
    Raft__Message m;

    if (r->transfer_to == 0 || r->transfer_sent || p == NULL ||
        p->match < entries_last(&r->log)) {
        return;
    }
    message_init(r, &m, RAFT__KIND__TIMEOUT_NOW, r->transfer_to);
    message_send(r, &m);
    r->transfer_sent = true;
    r->lease_given_up = true;
}

void
transfer_tick(struct raft *r, int64_t now)
{
    if (r->transfer_to == 0 || now < r->transfer_deadline) {
        return;
    }
    if (r->transfer_sent) {
        become_follower(r, now, r->term, 0);
    }
    r->transfer_to = 0;
}
