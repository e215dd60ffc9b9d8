/*
 * The members of the Raft group: the removal of silent ones by the leader,
 * changes for the log, and counts for the metrics.
 */
#include "clock.h"
#include "event.h"
#include "internal.h"
#include "mem.h"
#include "membership.h"

static struct event_kind event_group = {.name = "group"};

void
group_remove_silent_member(struct group *g)
{
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);
    struct membership_peer *peers = mem_zalloc(count + 1, sizeof(*peers));
    int64_t now = g->node->now;
    size_t at;

    for (size_t i = 0; i < count; i++) {
        struct raft_progress progress = {.active = true};

        raft_progress(g->raft, now, members[i].id, &progress);
        peers[i] = (struct membership_peer){
            .voter = members[i].voter,
            .self = members[i].id == g->member_id,
            .active = progress.active,
            .silent_since = progress.silent_since,
            .promotion_blocked = progress.promotion_blocked,
        };
    }
    at = membership_pick_removal(peers, count, now);
    if (at < count) {
        uint64_t id = members[at].id;
        struct str vm = str_dup(members[at].vm);
        bool voter = members[at].voter;

        if (raft_propose_config(g->raft, now, RAFT_REMOVE, &members[at],
                                NULL) == RAFT_OK) {
            event_write(
                &event_group,
                "outcome=%s-removed reason=silent other=%.*s member=%016llx "
                "silent_ms=%lld",
                voter ? "voter" : "learner", STR_ARG(vm),
                (unsigned long long)id,
                (long long)((now - peers[at].silent_since) / NS_PER_MS));
        }
        str_free(&vm);
    }
    mem_free(peers);
}

void
group_count_members(const struct group *g, struct group_counts *out)
{
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);
    struct link *l;
    void *cursor = NULL;

    *out = (struct group_counts){0};
    for (size_t i = 0; i < count; i++) {
        struct raft_progress progress;

        out->voters += members[i].voter;
        out->learners += !members[i].voter;
        out->silent +=
            raft_progress(g->raft, g->node->now, members[i].id, &progress) &&
            !progress.active;
    }
    while ((l = map_next(g->node->links, &cursor)) != NULL) {
        bool member = l->member_id == 0;

        for (size_t i = 0; i < count; i++) {
            member = member || members[i].id == l->member_id;
        }
        out->outside += !member;
    }
    out->outside += !group_is_member(g);
}

void
group_log_members(struct group *g)
{
    size_t count;
    const struct raft_member *members = raft_members(g->raft, &count);
    size_t voters = 0;

    for (size_t i = 0; i < count; i++) {
        voters += members[i].voter;
    }
    if (voters == g->logged_voters && count == g->logged_members) {
        return;
    }
    event_write(&event_group,
                "outcome=members-changed voters=%zu learners=%zu "
                "voters_before=%zu learners_before=%zu",
                voters, count - voters, g->logged_voters,
                g->logged_members - g->logged_voters);
    g->logged_voters = voters;
    g->logged_members = count;
}
