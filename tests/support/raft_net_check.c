#include "raft_net.h"

#include <inttypes.h>
#include <stdio.h>

#include "raft.pb-c.h"

void
net_report_violation(struct net *n, const char *what, uint64_t a, uint64_t b)
{
    if (n->violation[0] == '\0') {
        snprintf(n->violation, sizeof(n->violation),
                 "%s (%" PRIu64 ", %" PRIu64 ") at %" PRId64 " ms", what, a, b,
                 n->now / NET_MS);
    }
}

void
net_record_vote(struct net *n, uint64_t id, uint64_t term, uint64_t vote)
{
    char *key = g_strdup_printf("%" PRIu64 "/%" PRIu64, id, term);
    uint64_t old = GPOINTER_TO_SIZE(g_hash_table_lookup(n->votes, key));

    if (vote != 0 && old != 0 && old != vote) {
        net_report_violation(n, "granted two votes in a term", id, term);
    }
    g_hash_table_insert(n->votes, key,
                        GSIZE_TO_POINTER(vote != 0 ? vote : old));
}

static uint64_t
disk_last(const struct net_disk *d)
{
    return d->snapshot.index + d->entries->len;
}

void
net_check_message(struct net *n, struct net_node *node, const Raft__Message *m)
{
    if (g_hash_table_contains(n->lost_ids, GSIZE_TO_POINTER(m->from))) {
        net_report_violation(n, "message under the identity of a lost disk",
                             m->from, 0);
    }
    if (m->reject) {
        return;
    }
    if (m->kind == RAFT__KIND__APPEND_REPLY &&
        m->index > disk_last(&node->disk)) {
        net_report_violation(n, "acknowledged an entry before its sync",
                             node->id, m->index);
    }
    if (m->kind == RAFT__KIND__VOTE_REPLY) {
        if (node->disk.hard.term < m->term ||
            (node->disk.hard.term == m->term &&
             node->disk.hard.vote != m->to)) {
            net_report_violation(n, "granted a vote before its sync", node->id,
                                 m->term);
        }
        net_record_vote(n, m->from, m->term, m->to);
        node->voted = true;
    }
}

/* A term has one leader, whose log holds all earlier committed entries. */
static void
check_new_leader(struct net *n, const struct net_node *node,
                 const struct raft_status *s)
{
    gpointer term = GSIZE_TO_POINTER(s->term);
    uint64_t known = GPOINTER_TO_SIZE(g_hash_table_lookup(n->leaders, term));

    if (known == node->id) {
        return;
    }
    if (known != 0) {
        net_report_violation(n, "second leader in a term", s->term, node->id);
    }
    g_hash_table_insert(n->leaders, term, GSIZE_TO_POINTER(node->id));
    n->elections++;
    for (uint64_t i = s->first; i <= n->committed->len; i++) {
        const struct net_commit *c =
            &g_array_index(n->committed, struct net_commit, i - 1);

        /* A leader need not have entries committed in a later term. */
        if (c->commit_term < s->term &&
            raft_term_at(node->raft, i) != c->term) {
            net_report_violation(
                n, "committed entry missing or changed in a new leader's log",
                i, node->id);
        }
    }
}

/* While a leader's lease is valid, no leader of a later term commits. */
static void
check_leases(struct net *n)
{
    for (int i = 0; i < n->vms; i++) {
        const struct net_node *a = &n->nodes[i];
        struct raft_status sa;

        if (a->raft == NULL || a->paused_until_ns > n->now ||
            !raft_lease_valid(a->raft, net_clock(n, i))) {
            continue;
        }
        raft_status(a->raft, &sa);
        if (raft_term_at(a->raft, sa.commit) != sa.term) {
            net_report_violation(n, "valid lease without a commit in the term",
                                 a->id, sa.term);
        }
        for (int j = 0; j < n->vms; j++) {
            const struct net_node *b = &n->nodes[j];
            struct raft_status sb;

            if (j == i || b->raft == NULL) {
                continue;
            }
            raft_status(b->raft, &sb);
            if (sb.role == RAFT_LEADER && sb.term > sa.term &&
                raft_term_at(b->raft, sb.commit) == sb.term) {
                net_report_violation(n, "commit during another leader's lease",
                                     a->id, b->id);
            }
        }
    }
}

/* If two logs have the same term at an index, they are equal up to it. */
static void
check_log_matching(struct net *n, const struct raft *a, const struct raft *b)
{
    struct raft_status sa;
    struct raft_status sb;
    bool matched = false;
    uint64_t first;

    raft_status(a, &sa);
    raft_status(b, &sb);
    first = sa.first > sb.first ? sa.first : sb.first;
    for (uint64_t i = sa.last < sb.last ? sa.last : sb.last; i >= first; i--) {
        bool equal = raft_term_at(a, i) == raft_term_at(b, i);

        if (matched && !equal) {
            net_report_violation(n, "logs differ before a matching entry", i,
                                 sa.term);
        }
        matched = matched || equal;
    }
}

void
net_check_safety(struct net *n)
{
    bool check_logs = n->now / NET_MS % 8 == 0;

    check_leases(n);
    for (int i = 0; i < n->vms; i++) {
        const struct net_node *node = &n->nodes[i];
        struct raft_status s;

        if (node->raft == NULL) {
            continue;
        }
        raft_status(node->raft, &s);
        if (s.role == RAFT_LEADER) {
            check_new_leader(n, node, &s);
        }
        for (int j = 0; check_logs && j < i; j++) {
            if (n->nodes[j].raft != NULL) {
                check_log_matching(n, node->raft, n->nodes[j].raft);
            }
        }
    }
}
