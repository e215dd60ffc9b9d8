/* Which member the leader of the control group removes. */
#include <glib.h>

#include "clock.h"
#include "membership.h"

enum {
    SIX = 6,
};

static struct membership_peer
voter(bool active, int64_t silent_since_ms)
{
    return (struct membership_peer){.voter = true,
                                    .active = active,
                                    .silent_since =
                                        silent_since_ms * NS_PER_MS};
}

static size_t
pick(const struct membership_peer *members, size_t count, int64_t now_ms)
{
    return membership_pick_removal(members, count, now_ms * NS_PER_MS);
}

/* Guards against the removal of a voter of which no replacement is caught up,
 * however long it is silent. */
static void
never_below_target(void)
{
    struct membership_peer m[MEMBERSHIP_VOTERS];

    for (size_t i = 0; i < MEMBERSHIP_VOTERS; i++) {
        m[i] = voter(i < 3, 1000);
    }
    g_assert_cmpuint(pick(m, MEMBERSHIP_VOTERS, 100000), ==,
                     MEMBERSHIP_VOTERS);
}

/* Guards against a group that waits for voters that are gone for good, while
 * their successors wait for them, see /e2e/group/two-replaced-at-once. */
static void
silent_voter_blocks_learner(void)
{
    struct membership_peer m[SIX];

    for (size_t i = 0; i < SIX; i++) {
        m[i] = voter(i < 3, 8000 - 1000 * (int64_t)i);
    }
    m[5] = voter(true, 8000);
    m[5].voter = false;
    g_assert_cmpuint(pick(m, SIX, 10000), ==, SIX);
    m[5].promotion_blocked = true;
    g_assert_cmpuint(pick(m, SIX, 10000), ==, 4);
    g_assert_cmpuint(pick(m, SIX, 4500), ==, SIX);
}

/* Guards against a voter that is removed because it was cut off for a moment,
 * while another has been gone for long. */
static void
longest_silent_first(void)
{
    struct membership_peer m[SIX];

    for (size_t i = 0; i < SIX; i++) {
        m[i] = voter(true, 10000);
    }
    m[1] = voter(false, 9000);
    m[4] = voter(false, 2000);
    g_assert_cmpuint(pick(m, SIX, 10000), ==, 4);
}

/* Guards against a new leader that takes the voters for lost because none has
 * replied to it yet. */
static void
new_leader_waits(void)
{
    struct membership_peer m[SIX];

    for (size_t i = 0; i < SIX; i++) {
        m[i] = voter(i == 0, 10000);
        m[i].self = i == 0;
    }
    g_assert_cmpuint(pick(m, SIX, 10300), ==, SIX);
    m[3].silent_since = 9000 * NS_PER_MS;
    g_assert_cmpuint(pick(m, SIX, 10300), ==, 3);
}

static void
leader_keeps_itself(void)
{
    struct membership_peer m[SIX];

    for (size_t i = 0; i < SIX; i++) {
        m[i] = voter(true, 10000);
    }
    m[2] = voter(false, 1000);
    m[2].self = true;
    g_assert_cmpuint(pick(m, SIX, 10000), ==, SIX);
}

/* Guards against learners that never come back and fill the group. */
static void
lost_learner(void)
{
    struct membership_peer m[2] = {voter(true, 50000), voter(false, 30000)};

    m[1].voter = false;
    g_assert_cmpuint(pick(m, 2, 35000), ==, 2);
    g_assert_cmpuint(pick(m, 2, 50000), ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/membership/never-below-target", never_below_target);
    g_test_add_func("/membership/silent-voter-blocks-learner",
                    silent_voter_blocks_learner);
    g_test_add_func("/membership/longest-silent-first", longest_silent_first);
    g_test_add_func("/membership/new-leader-waits", new_leader_waits);
    g_test_add_func("/membership/leader-keeps-itself", leader_keeps_itself);
    g_test_add_func("/membership/lost-learner", lost_learner);
    return g_test_run();
}
