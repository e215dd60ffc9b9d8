#include "internal.h"

/*
 * The leader's lease. Each voter of the quorum refuses its vote for one
 * minimum election timeout on its own clock from when it received the message,
 * which is not before the leader sent it.
 */
int64_t
raft_lease_deadline(const struct raft *r)
{
    int64_t length = r->cfg.election_timeout_ns;
    int64_t stamp;

    if (r->role != RAFT_LEADER || r->failed || r->lease_given_up ||
        r->commit < r->term_start) {
        return INT64_MIN;
    }
    stamp = leader_quorum_stamp(r);
    if (stamp == INT64_MAX || stamp == STAMP_NONE) {
        return stamp;
    }
    return stamp + length - length / 1000000 * r->cfg.drift_ppm;
}

bool
raft_lease_valid(const struct raft *r, int64_t now)
{
    return now < raft_lease_deadline(r);
}
