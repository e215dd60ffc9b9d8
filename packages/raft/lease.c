#include "internal.h"

/*
 * The leader's lease. Each voter of the quorum refuses to vote for another
 * candidate for the minimum election timeout, on its own clock, after it
 * received a message. Counted from the time at which the leader sent that
 * message, and shortened by the clock drift, the lease ends before that.
 */
int64_t
raft_lease_deadline(const struct raft *r)
{
    int64_t timeout_ns = r->cfg.election_timeout_ns;
    int64_t sent_ns;

    if (r->role != RAFT_LEADER || r->failed || r->lease_given_up ||
        r->commit < r->term_start) {
        return INT64_MIN;
    }
    sent_ns = leader_quorum_send_time(r);
    if (sent_ns == INT64_MAX || sent_ns == SEND_TIME_NONE) {
        return sent_ns;
    }
    return sent_ns + timeout_ns - timeout_ns / 1000000 * r->cfg.drift_ppm;
}

bool
raft_lease_valid(const struct raft *r, int64_t now)
{
    return now < raft_lease_deadline(r);
}
