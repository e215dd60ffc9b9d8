/* Leases of announced endpoints with late, reordered and lost messages between
 * two entries and the leader. */
#include <glib.h>

#include "announce.h"
#include "clock.h"

#define MS NS_PER_MS
#define LEASE (3000 * MS)
#define MARGIN (200 * MS)
#define KEY 7
/* The entries' clocks differ from the leader's. */
#define CLOCK_SKEW (5000 * MS)

struct fixture {
    struct announce_table *t;
    struct announce_cache *c[2];
    int64_t now; /* the leader's time */
};

static void
setup(struct fixture *f)
{
    struct announce_table_config config = {LEASE, MARGIN, 1};

    f->t = announce_table_create(&config);
    f->now = 1000 * NS_PER_S;
    for (int i = 0; i < 2; i++) {
        f->c[i] = announce_cache_create(LEASE);
    }
}

static void
teardown(struct fixture *f)
{
    announce_table_destroy(f->t);
    announce_cache_destroy(f->c[0]);
    announce_cache_destroy(f->c[1]);
}

static uint64_t
run_id(int entry)
{
    return 100 + (uint64_t)entry;
}

/* Delivers the message to the leader now, and the answer unless it is lost. */
static bool
deliver(struct fixture *f, int entry, struct announce_renewal *v, bool lost)
{
    struct announce_answer a;
    bool applied = false;

    if (announce_table_renew(f->t, f->now, run_id(entry), v, &a) && !lost) {
        applied =
            announce_cache_apply_answer(f->c[entry], f->now + CLOCK_SKEW, &a);
    }
    announce_answer_free(&a);
    announce_renewal_free(v);
    return applied;
}

static struct announce_renewal
renewal_message(struct fixture *f, int entry)
{
    struct announce_renewal v;

    announce_cache_next_renewal(f->c[entry], f->now + CLOCK_SKEW, &v);
    return v;
}

static void
renew(struct fixture *f, int entry)
{
    struct announce_renewal v = renewal_message(f, entry);

    deliver(f, entry, &v, false);
}

/* Forwards an announcement that arrived at the entry age nanoseconds ago. */
static enum announce_result
forward(struct fixture *f, int entry, const char *id, const char *body,
        int64_t age)
{
    struct announce_put put = {.id = str_of(id),
                               .key = KEY,
                               .run = run_id(entry),
                               .group = announce_cache_group(f->c[entry])};
    int64_t at = f->now + CLOCK_SKEW - age;
    enum announce_result result;
    uint64_t claim;

    g_assert_true(announce_cache_leader_time(f->c[entry], at, &put.when));
    result = announce_table_put(f->t, f->now, &put, &claim);
    announce_cache_add(f->c[entry], put.id, str_of(body), KEY, at, put.group,
                       claim);
    return result;
}

static void
expect_forward(struct fixture *f, int entry, const char *id, const char *body,
               int64_t age, enum announce_result want)
{
    enum announce_result result = forward(f, entry, id, body, age);

    g_assert_cmpint(result, ==, want);
}

static bool
cache_contains(struct fixture *f, int entry, const char *id, const char *body)
{
    return announce_cache_contains(f->c[entry], str_of(id), str_of(body), KEY);
}

static void
announce_again(struct fixture *f, int entry, const char *id)
{
    announce_cache_refresh(f->c[entry], str_of(id), f->now + CLOCK_SKEW);
}

/* Removes the endpoints whose leases have ended and returns their number. */
static int
expire_leases(struct fixture *f)
{
    struct str id;
    int count = 0;

    while (announce_table_remove_expired(f->t, f->now, &id)) {
        str_free(&id);
        count++;
    }
    return count;
}

/* Announces "a" to entry 0, which renews its lease. */
static void
setup_renewed(struct fixture *f)
{
    setup(f);
    renew(f, 0);
    renew(f, 1);
    expect_forward(f, 0, "a", "x", 0, ANNOUNCE_OK);
    renew(f, 0);
    g_assert_true(cache_contains(f, 0, "a", "x"));
}

/* Sends a message and, unless id is NULL, an announcement every 200 ms. */
static void
run_for(struct fixture *f, int64_t time, const char *id)
{
    for (int64_t end = f->now + time; f->now < end; f->now += 200 * MS) {
        if (id != NULL) {
            announce_again(f, 0, id);
        }
        renew(f, 0);
        g_assert_cmpint(expire_leases(f), ==, 0);
    }
}

/* Guards against a lease that ends although its endpoint announces itself. */
static void
test_renewed(void)
{
    struct fixture f;

    setup_renewed(&f);
    run_for(&f, 60000 * MS, "a");
    g_assert_true(cache_contains(&f, 0, "a", "x"));
    g_assert_false(cache_contains(&f, 0, "a", "y"));
    g_assert_false(
        announce_cache_contains(f.c[0], STR("a"), STR("x"), KEY + 1));
    teardown(&f);
}

/* Guards against a lease of a silent endpoint that the entry's messages
 * extend, or that ends when the entry releases it after half of its time. */
static void
test_silent_endpoint(void)
{
    struct fixture f;
    int64_t last;

    setup_renewed(&f);
    forward(&f, 0, "b", "x", 0);
    run_for(&f, 1000 * MS, "a");
    last = f.now - 200 * MS;
    forward(&f, 0, "a", "x", 200 * MS);
    while (f.now < last + 2800 * MS) {
        announce_again(&f, 0, "b");
        renew(&f, 0);
        f.now += 200 * MS;
        g_assert_cmpint(expire_leases(&f), <=, 0);
    }
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    teardown(&f);
}

/* Guards against leases that do not end when the entry that renewed them stops
 * or is partitioned, and against a claim that it keeps afterwards. */
static void
test_silent_entry(void)
{
    struct fixture f;
    int64_t last;

    setup_renewed(&f);
    run_for(&f, 2000 * MS, "a");
    last = f.now - 200 * MS;
    f.now = last + LEASE - 10 * MS;
    g_assert_cmpint(expire_leases(&f), ==, 0);
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    announce_again(&f, 0, "a");
    renew(&f, 0);
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    teardown(&f);
}

/* Guards against a lease that counts from the entry's last message instead of
 * the endpoint's last announcement. */
static void
test_lease_start(void)
{
    struct fixture f;
    int64_t last;

    setup_renewed(&f);
    last = f.now;
    f.now += 1000 * MS;
    renew(&f, 0);
    g_assert_true(cache_contains(&f, 0, "a", "x"));
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    teardown(&f);
}

/* Guards against an endpoint that gets the longer lease of others that were
 * announced later, when its claim is taken after their renewal. */
static void
test_older_member(void)
{
    struct fixture f;
    int64_t last;

    setup_renewed(&f);
    last = f.now + 200 * MS;
    f.now += 1000 * MS;
    announce_again(&f, 0, "a");
    renew(&f, 0);
    forward(&f, 0, "b", "x", 800 * MS);
    renew(&f, 0);
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), >=, 1);
    teardown(&f);
}

/* Guards against a delayed message that extends leases from its arrival. */
static void
test_late_message(void)
{
    struct fixture f;
    struct announce_renewal late;
    int64_t last;

    setup_renewed(&f);
    run_for(&f, 1000 * MS, "a");
    announce_again(&f, 0, "a");
    last = f.now;
    late = renewal_message(&f, 0);
    f.now += 2000 * MS;
    deliver(&f, 0, &late, true);
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    teardown(&f);
}

/* Guards against an older message that undoes a newer one. */
static void
test_reordered(void)
{
    struct fixture f;
    struct announce_renewal first;
    struct announce_renewal second;
    struct announce_answer answer;

    setup_renewed(&f);
    forward(&f, 0, "b", "x", 0);
    first = renewal_message(&f, 0); /* takes b */
    f.now += 2000 * MS;
    second = renewal_message(&f, 0); /* releases both */
    g_assert_cmpuint(second.released_count, ==, 2);
    g_assert_true(deliver(&f, 0, &second, false));
    g_assert_false(
        announce_table_renew(f.t, f.now, run_id(0), &first, &answer));
    announce_answer_free(&answer);
    announce_renewal_free(&first);
    f.now += 1200 * MS;
    g_assert_cmpint(expire_leases(&f), ==, 2);
    teardown(&f);
}

/* Guards against a claim or a release that is lost with its message, and a
 * revocation that is lost with its answer. */
static void
test_lost(void)
{
    struct fixture f;
    struct announce_renewal v;

    setup_renewed(&f);
    forward(&f, 0, "b", "x", 0);
    v = renewal_message(&f, 0);
    announce_renewal_free(&v);
    v = renewal_message(&f, 0);
    g_assert_cmpuint(v.taken_count, ==, 1);
    deliver(&f, 0, &v, true);
    v = renewal_message(&f, 0);
    g_assert_cmpuint(v.taken_count, ==, 1);
    g_assert_true(deliver(&f, 0, &v, false));
    forward(&f, 1, "a", "x", 0);
    v = renewal_message(&f, 0);
    g_assert_cmpuint(v.taken_count, ==, 0);
    deliver(&f, 0, &v, true);
    g_assert_true(cache_contains(&f, 0, "a", "x"));
    renew(&f, 0);
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    g_assert_true(cache_contains(&f, 0, "b", "x"));
    f.now += 2000 * MS;
    v = renewal_message(&f, 0);
    announce_renewal_free(&v);
    v = renewal_message(&f, 0);
    g_assert_cmpuint(v.released_count, ==, 1);
    announce_renewal_free(&v);
    teardown(&f);
}

/* Guards against a renewal of a claim whose reply was lost: the entry does not
 * know of the claim, so that its messages must not extend that lease. */
static void
test_lost_reply(void)
{
    struct fixture f;
    struct announce_put put = {.id = STR("b"), .key = KEY, .run = run_id(0)};
    uint64_t claim;

    setup_renewed(&f);
    put.group = announce_cache_group(f.c[0]);
    put.when = (struct announce_interval){f.now, f.now};
    announce_table_put(f.t, f.now, &put, &claim);
    for (int i = 0; i < 15; i++) {
        announce_again(&f, 0, "a");
        renew(&f, 0);
        f.now += 200 * MS;
        g_assert_cmpint(expire_leases(&f), ==, 0);
    }
    f.now += MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    teardown(&f);
}

/* Guards against an endpoint that alternates between entries and is still
 * renewed by the one that it left, and against a late announcement that
 * replaces a newer one. */
static void
test_alternating(void)
{
    struct fixture f;

    setup_renewed(&f);
    f.now += 500 * MS;
    expect_forward(&f, 1, "a", "y", 0, ANNOUNCE_OK);
    renew(&f, 1);
    renew(&f, 0);
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    g_assert_true(cache_contains(&f, 1, "a", "y"));
    f.now += 500 * MS;
    expect_forward(&f, 0, "a", "x", 700 * MS, ANNOUNCE_OUTDATED);
    renew(&f, 1);
    g_assert_true(cache_contains(&f, 1, "a", "y"));
    expect_forward(&f, 0, "a", "x", 0, ANNOUNCE_OK);
    renew(&f, 1);
    g_assert_false(cache_contains(&f, 1, "a", "y"));
    teardown(&f);
}

/* Guards against a late announcement that replaces what another entry has
 * renewed since. */
static void
test_late_after_renewals(void)
{
    struct fixture f;

    setup_renewed(&f);
    run_for(&f, 1000 * MS, "a");
    expect_forward(&f, 1, "a", "y", 600 * MS, ANNOUNCE_OUTDATED);
    expect_forward(&f, 1, "a", "y", LEASE + MARGIN, ANNOUNCE_OUTDATED);
    teardown(&f);
}

/* Guards against an announcement from before a deletion that restores the
 * endpoint, and against a later one that is refused. */
static void
test_deleted(void)
{
    struct fixture f;
    struct announce_interval when;

    setup_renewed(&f);
    f.now += 500 * MS;
    announce_cache_leader_time(f.c[1], f.now + CLOCK_SKEW, &when);
    g_assert_cmpint(announce_table_delete(f.t, f.now, STR("a"), when), ==,
                    ANNOUNCE_OK);
    expect_forward(&f, 0, "a", "x", 300 * MS, ANNOUNCE_OUTDATED);
    renew(&f, 0);
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    f.now += 100 * MS;
    expect_forward(&f, 0, "a", "x", 0, ANNOUNCE_OK);
    announce_cache_leader_time(f.c[1], f.now + CLOCK_SKEW - 300 * MS, &when);
    g_assert_cmpint(announce_table_delete(f.t, f.now, STR("a"), when), ==,
                    ANNOUNCE_OUTDATED);
    teardown(&f);
}

/* Guards against leases that are renewed after their key was withdrawn. */
static void
test_key_withdrawn(void)
{
    struct fixture f;
    int64_t last;

    setup_renewed(&f);
    run_for(&f, 1000 * MS, "a");
    last = f.now - 200 * MS;
    announce_table_revoke_key(f.t, KEY);
    announce_again(&f, 0, "a");
    renew(&f, 0);
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    teardown(&f);
}

/* Guards against an announcement that counts as late because the clocks have
 * drifted since the last answer to an entry that had no endpoints for long. */
static void
test_idle_entry(void)
{
    struct fixture f;
    struct announce_interval when;

    setup(&f);
    renew(&f, 0);
    f.now += 3600 * NS_PER_S;
    g_assert_false(
        announce_cache_leader_time(f.c[0], f.now + CLOCK_SKEW, &when));
    renew(&f, 0);
    expect_forward(&f, 0, "a", "x", 0, ANNOUNCE_OK);
    teardown(&f);
}

/* Guards against leases that the leader still expects an entry to renew after
 * the entry has discarded its claims, as it does after a change of leader, and
 * against a claim of an older group being accepted. */
static void
test_reset(void)
{
    struct fixture f;
    uint64_t group;
    int64_t last;

    setup_renewed(&f);
    last = f.now;
    group = announce_cache_group(f.c[0]);
    announce_cache_reset(f.c[0]);
    renew(&f, 0);
    announce_cache_add(f.c[0], STR("a"), STR("x"), KEY, f.now, group, 99);
    g_assert_false(cache_contains(&f, 0, "a", "x"));
    for (f.now = last; f.now < last + LEASE; f.now += 200 * MS) {
        renew(&f, 0);
        g_assert_cmpint(expire_leases(&f), ==, 0);
    }
    f.now = last + LEASE + MARGIN;
    g_assert_cmpint(expire_leases(&f), ==, 1);
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/announce/renewed", test_renewed);
    g_test_add_func("/announce/silent-endpoint", test_silent_endpoint);
    g_test_add_func("/announce/silent-entry", test_silent_entry);
    g_test_add_func("/announce/lease-start", test_lease_start);
    g_test_add_func("/announce/older-member", test_older_member);
    g_test_add_func("/announce/late-message", test_late_message);
    g_test_add_func("/announce/reordered", test_reordered);
    g_test_add_func("/announce/lost", test_lost);
    g_test_add_func("/announce/lost-reply", test_lost_reply);
    g_test_add_func("/announce/alternating", test_alternating);
    g_test_add_func("/announce/late-after-renewals", test_late_after_renewals);
    g_test_add_func("/announce/deleted", test_deleted);
    g_test_add_func("/announce/key-withdrawn", test_key_withdrawn);
    g_test_add_func("/announce/idle-entry", test_idle_entry);
    g_test_add_func("/announce/reset", test_reset);
    return g_test_run();
}
