#include <glib.h>

#include "clock.h"
#include "raft.h"
#include "raft.pb-c.h"

/* Tests of member 2 alone, which receives single messages from member 1. */

/* Passes m to member 2 as a message from member 1. */
static void
receive_message(struct raft *r, int64_t now, Raft__Message *m)
{
    uint8_t bytes[512];

    m->from = 1;
    m->to = 2;
    g_assert_cmpint(
        raft_receive(r, now, 1,
                     str_from(bytes, raft__message__pack(m, bytes))),
        ==, RAFT_OK);
}

/* Creates member 2 from the given durable state, which may be NULL. */
static struct raft *
create_node(const struct raft_restored *from)
{
    struct raft_config cfg;

    raft_config_init(&cfg, 2, 1);
    return raft_create(&cfg, from, 0);
}

/*
 * Guards against a raft lease that allows for less clock drift than the leases
 * which the leader grants (LEASE_DRIFT_PPM, 1%).
 */
static void
test_drift(void)
{
    struct raft_config cfg;

    raft_config_init(&cfg, 2, 1);
    g_assert_cmpuint(cfg.drift_ppm, >=, 10000);
}

/*
 * Processes the output of r, reports its writes as durable, and returns its
 * last message. The caller frees it with raft__message__free_unpacked.
 */
static Raft__Message *
take_last_message(struct raft *r)
{
    struct raft_output out;
    Raft__Message *m = NULL;

    while (raft_ready(r, 0, &out)) {
        uint64_t write = out.write;

        if (out.message_count > 0) {
            struct str b = out.messages[out.message_count - 1].bytes;

            if (m != NULL) {
                raft__message__free_unpacked(m, NULL);
            }
            m = raft__message__unpack(NULL, b.len, (const uint8_t *)b.ptr);
        }
        raft_advance(r);
        raft_write_synced(r, 0, write);
    }
    g_assert_nonnull(m);
    return m;
}

/*
 * Guards against a voter that grants a vote during a leader's lease because it
 * already has the candidate's term. The voter received a message from the
 * leader, and then the newer term by another message.
 */
static void
test_vote_after_term(void)
{
    struct raft *r = create_node(NULL);
    Raft__Message m = RAFT__MESSAGE__INIT;
    Raft__Message *reply;
    int64_t now = 1000 * NS_PER_MS;

    m.kind = RAFT__KIND__HEARTBEAT;
    m.term = 1;
    receive_message(r, now, &m);
    m.kind = RAFT__KIND__APPEND_REPLY;
    m.term = 2;
    receive_message(r, now, &m);
    m.kind = RAFT__KIND__VOTE;
    m.index = 9;
    m.log_term = 1;
    receive_message(r, now + NS_PER_MS, &m);
    reply = take_last_message(r);
    g_assert_cmpint(reply->kind, ==, RAFT__KIND__VOTE_REPLY);
    g_assert_true(reply->reject);
    raft__message__free_unpacked(reply, NULL);
    receive_message(r, now + 500 * NS_PER_MS, &m);
    reply = take_last_message(r);
    g_assert_false(reply->reject);
    raft__message__free_unpacked(reply, NULL);
    raft_destroy(r);
}

/*
 * Guards against a log that changes while a snapshot is being installed, and
 * against a log that keeps entries after the installation although they
 * contradict the snapshot.
 */
static void
test_install(void)
{
    struct raft_entry log[] = {{1, 1, RAFT_ENTRY_DATA, STR("a")},
                               {2, 1, RAFT_ENTRY_DATA, STR("b")},
                               {3, 1, RAFT_ENTRY_DATA, STR("c")}};
    struct raft_restored from = {
        .hard = {1, 0}, .entries = log, .entry_count = 3};
    struct raft *r = create_node(&from);
    Raft__Message m = RAFT__MESSAGE__INIT;
    struct raft_output out;
    struct raft_status s;

    m.kind = RAFT__KIND__SNAPSHOT;
    m.term = 2;
    m.index = 2;
    m.log_term = 2;
    m.data.data = (uint8_t *)"state";
    m.data.len = 5;
    m.done = true;
    receive_message(r, 0, &m);
    g_assert_true(raft_ready(r, 0, &out));
    g_assert_cmpuint(out.install_count, ==, 1);
    g_assert_true(out.installs[0].last && out.installs[0].reset_log);
    raft_advance(r);
    m = (Raft__Message)RAFT__MESSAGE__INIT;
    m.kind = RAFT__KIND__APPEND;
    m.term = 2;
    m.index = 3;
    m.log_term = 1;
    m.commit = 3;
    receive_message(r, 0, &m);
    raft_ready(r, 0, &out);
    g_assert_cmpuint(out.committed_count, ==, 0);
    g_assert_cmpuint(out.message_count, ==, 0);
    raft_advance(r);
    raft_snapshot_installed(r, 0, 2);
    raft_status(r, &s);
    g_assert_cmpuint(s.last, ==, 2);
    g_assert_cmpuint(s.commit, ==, 2);
    g_assert_cmpuint(raft_term_at(r, 2), ==, 2);
    raft_destroy(r);
}

/* Encodes a configuration of voters with the ids first to last except skip. */
static struct str
encode_voters(uint64_t first, uint64_t last, uint64_t skip, uint8_t *space)
{
    Raft__Members list = RAFT__MEMBERS__INIT;
    Raft__Member items[4];
    Raft__Member *ptrs[4];

    for (uint64_t id = first; id <= last; id++) {
        if (id != skip) {
            raft__member__init(&items[list.n_members]);
            items[list.n_members].id = id;
            items[list.n_members].voter = true;
            ptrs[list.n_members] = &items[list.n_members];
            list.n_members++;
        }
    }
    list.members = ptrs;
    return str_from(space, raft__members__pack(&list, space));
}

/* Lets member 2's election timeout expire, upon which it sends PRE_VOTE. */
static void
expect_pre_vote(struct raft *r)
{
    Raft__Message *m;

    raft_tick(r, 2000 * NS_PER_MS);
    m = take_last_message(r);
    g_assert_cmpint(m->kind, ==, RAFT__KIND__PRE_VOTE);
    raft__message__free_unpacked(m, NULL);
}

/* Makes member 2 the leader by the pre-vote and vote of member 1. */
static void
elect_node(struct raft *r, uint64_t term)
{
    Raft__Message m = RAFT__MESSAGE__INIT;

    expect_pre_vote(r);
    m.kind = RAFT__KIND__PRE_VOTE_REPLY;
    m.term = term;
    receive_message(r, 2000 * NS_PER_MS, &m);
    raft__message__free_unpacked(take_last_message(r), NULL);
    m.kind = RAFT__KIND__VOTE_REPLY;
    receive_message(r, 2000 * NS_PER_MS, &m);
}

/*
 * Guards against a leader that commits an entry of an earlier term because a
 * majority has stored it, before an entry of its own term is committed
 * (thesis, figure 3.7).
 */
static void
test_commit_own_term(void)
{
    uint8_t space[128];
    struct raft_entry log[] = {
        {1, 1, RAFT_ENTRY_CONFIG, encode_voters(1, 3, 0, space)},
        {2, 2, RAFT_ENTRY_DATA, STR("b")}};
    struct raft_restored from = {
        .hard = {2, 0}, .entries = log, .entry_count = 2};
    struct raft *r = create_node(&from);
    Raft__Message m = RAFT__MESSAGE__INIT;
    struct raft_status s;

    elect_node(r, 3);
    raft_status(r, &s);
    g_assert_cmpint(s.role, ==, RAFT_LEADER);
    raft__message__free_unpacked(take_last_message(r), NULL);
    m.kind = RAFT__KIND__APPEND_REPLY;
    m.term = 3;
    m.index = 2;
    receive_message(r, 2000 * NS_PER_MS, &m);
    raft_status(r, &s);
    g_assert_cmpuint(s.commit, ==, 0);
    m.index = 3;
    receive_message(r, 2000 * NS_PER_MS, &m);
    raft_status(r, &s);
    g_assert_cmpuint(s.commit, ==, 3);
    raft_destroy(r);
}

/*
 * Guards against a member that starts no elections because its log contains
 * its own removal, which is not committed. The others may be unable to elect a
 * leader without it.
 */
static void
test_removal_not_committed(void)
{
    uint8_t space[2][128];
    struct raft_entry log[] = {
        {1, 1, RAFT_ENTRY_CONFIG, encode_voters(1, 3, 0, space[0])},
        {2, 1, RAFT_ENTRY_CONFIG, encode_voters(1, 3, 2, space[1])}};
    struct raft_restored from = {
        .hard = {1, 0}, .entries = log, .entry_count = 2};
    struct raft *r = create_node(&from);

    expect_pre_vote(r);
    raft_destroy(r);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/raft/step/vote-after-term", test_vote_after_term);
    g_test_add_func("/raft/step/install", test_install);
    g_test_add_func("/raft/step/commit-own-term", test_commit_own_term);
    g_test_add_func("/raft/step/drift", test_drift);
    g_test_add_func("/raft/step/removal-not-committed",
                    test_removal_not_committed);
    return g_test_run();
}
