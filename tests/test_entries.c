/* Tests entries_grants.c, which is compiled into the test so that a fake of
 * replica_leads decides when the leader's lease ends. */
#include <glib.h>
#include <unistd.h>

/* The archive has functions of these names as well. */
#define control_find_link_by_id test_link_by_id
#define control_update_pools test_sync_pools

/* NOLINTNEXTLINE(bugprone-suspicious-include) */
#include "../packages/daemon/entries_grants.c"

enum {
    TIMEOUT_S = 10,
    /* One step with one due entry checks the lease fewer times. */
    LEASE_CHECKS_MAX = 8,
    RUN = 1,
};

#define NOW (100 * NS_PER_S)

static int checks_left;
static int sent;
static struct state *state;

bool
replica_leads(const struct replica *r)
{
    (void)r;
    return checks_left-- > 0;
}

struct link *
control_find_link_by_id(const struct control *c, uint64_t id)
{
    (void)c;
    (void)id;
    return (struct link *)&sent;
}

void
control_update_pools(struct control *c)
{
    (void)c;
}

void
link_send(struct link *l, const Wire__Envelope *envelope)
{
    (void)l;
    (void)envelope;
    sent++;
}

const struct state *
leader_state(const struct leader *l)
{
    (void)l;
    return state;
}

int64_t
leader_lease_end(const struct leader *l, uint32_t ms)
{
    (void)l;
    return NOW + ms * NS_PER_MS;
}

void
endpoints_collect_changes(const struct leader *l, uint64_t seq, bool full,
                          struct endpoint_changes *out)
{
    (void)l;
    (void)seq;
    (void)full;
    (void)out;
}

void
endpoint_changes_free(struct endpoint_changes *c)
{
    (void)c;
}

void
entries_confirm_promises(struct leader *l)
{
    (void)l;
}

/* The ledger has a grant due to an entry that wants a unit. */
static struct ledger *
ledger_with_due_entry(void)
{
    const struct ledger_config config = {.lease_ns = NS_PER_S,
                                         .longest_request_ns = NS_PER_S};
    struct unit_report item = {STR("t:1"), 0, 0, 1};
    const struct report report = {.term = 1,
                                  .seq = 1,
                                  .up_ns = 1000 * NS_PER_S,
                                  .full = true,
                                  .items = &item,
                                  .count = 1};
    struct ledger *l = ledger_create(&config);
    uint64_t run;

    ledger_leader_changed(l, NOW, 1, NULL, 0);
    ledger_pool_set(l, NOW, STR("t:1"), STR(""), STR(""), 8);
    g_assert_cmpint(
        ledger_report(l, NOW, RUN, STR("vm1"), STR("fd1"), &report), ==,
        LEDGER_OK);
    g_assert_true(ledger_due(l, NOW, &run));
    g_assert_cmpuint(run, ==, RUN);
    return l;
}

/* A leader whose lease ended between two checks of it in entries_step kept
 * retrying the due entry for ever and answered nobody any more. */
static void
test_lease_ends_between_grants(void)
{
    struct settings settings = {.config_lease_ms = 1000};
    struct control control = {.settings = &settings, .now = NOW};

    state = state_create();
    for (int checks = 0; checks < LEASE_CHECKS_MAX; checks++) {
        struct entry_record entry = {.vm = STR("vm1"), .run = RUN};
        struct leader leader = {.control = &control,
                                .ledger = ledger_with_due_entry(),
                                .entries = map_create(),
                                .sent_config_version =
                                    state_config_version(state)};

        map_put(leader.entries, entry.vm, &entry);
        sent = 0;
        checks_left = checks;
        alarm(TIMEOUT_S);
        entries_step(&leader);
        /* A grant that was not sent is sent under the next lease. */
        checks_left = LEASE_CHECKS_MAX;
        entries_step(&leader);
        alarm(0);
        g_assert_cmpint(sent, ==, 1);
        map_destroy(leader.entries);
        ledger_destroy(leader.ledger);
    }
    state_destroy(state);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entries/lease-ends-between-grants",
                    test_lease_ends_between_grants);
    return g_test_run();
}
