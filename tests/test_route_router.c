/* One test per rule of the entry's router. */
#include <glib.h>

#include "clock.h"
#include "router.h"

#define T0 (10 * NS_PER_S)
#define MS NS_PER_MS

struct fixture {
    struct router *r;
    struct router_actions out;
    struct report report;
    int64_t now;
    uint64_t grant;
};

static void
event(struct fixture *f, const struct router_event *ev)
{
    f->out.count = 0;
    router_step(f->r, f->now, ev, &f->out);
}

static void
simple(struct fixture *f, enum router_event_kind kind, uint64_t value)
{
    struct router_event ev = {.kind = kind, .id = value};

    event(f, &ev);
}

static void
endpoint(struct fixture *f, const char *id, bool leaving)
{
    struct router_event ev = {.kind = ROUTER_ENDPOINT,
                              .endpoint = {str_of(id), STR("s"), STR("d0"), 8,
                                           64, leaving,
                                           f->now + 60 * NS_PER_S}};

    event(f, &ev);
}

static void
grant(struct fixture *f, const char *pool, uint32_t units)
{
    struct unit_grant item = {str_of(pool), units};
    struct grants g = {.no = {1, ++f->grant},
                       .lease_ns = 30 * NS_PER_S,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    router_report(f->r, f->now, &f->report);
    g.report_seq = f->report.seq;
    event(f, &ev);
}

static void
team(struct fixture *f, uint32_t number, uint32_t weight, bool limited)
{
    struct router_event ev = {.kind = ROUTER_TEAM,
                              .team = {number, weight, limited}};

    event(f, &ev);
}

static void
setup_with(struct fixture *f, struct router_config c)
{
    *f = (struct fixture){.now = T0};
    c.domain = STR("d0");
    f->r = router_create(&c, f->now);
    simple(f, ROUTER_CONFIG_LEASE, T0 + 60 * NS_PER_S);
    simple(f, ROUTER_LEADER, 1);
    team(f, 1, 1, false);
    team(f, 2, 1, false);
    endpoint(f, "a", false);
}

static void
setup(struct fixture *f)
{
    setup_with(f, (struct router_config){0});
}

static void
teardown(struct fixture *f)
{
    router_destroy(f->r);
    router_actions_free(&f->out);
    report_free(&f->report);
}

static struct router_request
request(uint64_t id)
{
    return (struct router_request){
        .id = id, .key = 7, .team = 1, .service = STR("s"), .bytes = 10};
}

static void
arrive(struct fixture *f, struct router_request req)
{
    struct router_event ev = {.kind = ROUTER_REQUEST, .request = req};

    event(f, &ev);
}

static void
ended(struct fixture *f, uint64_t id, uint32_t attempt,
      enum attempt_result result, bool bytes)
{
    struct router_event ev = {.kind = ROUTER_ATTEMPT_ENDED,
                              .attempt = {id, attempt, result, bytes, MS}};

    event(f, &ev);
}

static void
expect(const struct fixture *f, size_t i, enum router_action_kind kind,
       uint64_t id)
{
    g_assert_cmpuint(f->out.count, >, i);
    g_assert_cmpint((int)f->out.items[i].kind, ==, (int)kind);
    g_assert_cmpuint(f->out.items[i].request, ==, id);
}

static void
expect_only(const struct fixture *f, enum router_action_kind kind, uint64_t id,
            enum router_reason reason)
{
    expect(f, 0, kind, id);
    g_assert_cmpuint(f->out.count, ==, 1);
    g_assert_cmpint((int)f->out.items[0].reason, ==, (int)reason);
}

/* Guards against sending without a unit, or more requests than units. */
static void
test_units(void)
{
    struct fixture f;

    setup(&f);
    arrive(&f, request(1));
    arrive(&f, request(2));
    g_assert_cmpuint(f.out.count, ==, 0);
    grant(&f, "e:a", 1);
    expect_only(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    ended(&f, 1, 1, ATTEMPT_OK, true);
    expect(&f, 0, ROUTER_COMPLETE, 1);
    expect(&f, 1, ROUTER_SEND, 2);
    teardown(&f);
}

/* Guards against a limited team using slots without units of its own. */
static void
test_team_units(void)
{
    struct fixture f;

    setup(&f);
    team(&f, 1, 1, true);
    grant(&f, "e:a", 4);
    arrive(&f, request(1));
    arrive(&f, request(2));
    g_assert_cmpuint(f.out.count, ==, 0);
    grant(&f, "t:1", 1);
    expect_only(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    teardown(&f);
}

/* Guards against returning a slot before its request ended. */
static void
test_ask_back(void)
{
    struct fixture f;
    struct unit_report u;

    setup(&f);
    grant(&f, "e:a", 3);
    arrive(&f, request(1));
    grant(&f, "e:a", 0);
    g_assert_true(router_pool(f.r, f.now, STR("e:a"), &u));
    g_assert_cmpuint(u.held, ==, 1);
    ended(&f, 1, 1, ATTEMPT_OK, true);
    g_assert_true(router_pool(f.r, f.now, STR("e:a"), &u));
    g_assert_cmpuint(u.held, ==, 0);
    teardown(&f);
}

/* Guards against grants that are late, repeated or of a former leader. */
static void
test_stale_grants(void)
{
    struct fixture f;
    struct unit_grant item = {STR("e:a"), 2};
    struct grants g = {.no = {1, 5},
                       .report_seq = 1,
                       .lease_ns = NS_PER_S,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};
    struct unit_report u;

    setup(&f);
    router_report(f.r, f.now, &f.report);
    f.now += NS_PER_S;
    event(&f, &ev); /* its lease counts from the report and has ended */
    router_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 0);
    router_report(f.r, f.now, &f.report);
    g.report_seq = 2;
    event(&f, &ev);
    item.units = 4;
    event(&f, &ev); /* repeated number */
    router_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 2);
    simple(&f, ROUTER_LEADER, 2);
    g.no.seq = 6;
    event(&f, &ev); /* former leader */
    router_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 2);
    f.now += NS_PER_S;
    router_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 0);
    teardown(&f);
}

/* Guards against a late deadline going first and against lost order. */
static void
test_deadline_order(void)
{
    struct fixture f;
    struct router_request q = request(1);

    setup(&f);
    q.has_deadline = true;
    for (uint64_t i = 1; i <= 3; i++) {
        q.id = i;
        q.deadline = f.now + (int64_t)(4 - i) * NS_PER_S;
        arrive(&f, q);
    }
    grant(&f, "e:a", 3);
    expect(&f, 0, ROUTER_SEND, 3);
    expect(&f, 1, ROUTER_SEND, 2);
    expect(&f, 2, ROUTER_SEND, 1);
    teardown(&f);
}

/* Guards against a team's long queue starving another team. */
static void
test_fair_teams(void)
{
    struct fixture f;
    uint32_t sent[3] = {0};

    setup(&f);
    team(&f, 2, 3, false);
    for (uint64_t i = 1; i <= 200; i++) {
        struct router_request q = request(i);
        q.team = i <= 100 ? 1 : 2;
        arrive(&f, q);
    }
    grant(&f, "e:a", 1);
    for (int i = 0; i < 80; i++) {
        uint64_t id = f.out.items[f.out.count - 1].request;
        sent[id <= 100 ? 1 : 2]++;
        ended(&f, id, 1, ATTEMPT_OK, true);
    }
    g_assert_cmpuint(sent[1], >=, 18);
    g_assert_cmpuint(sent[1], <=, 22);
    teardown(&f);
}

/* Guards against short requests waiting behind bulk ones of their team. */
static void
test_short_beside_bulk(void)
{
    struct fixture f;
    struct router_request q = request(0);
    int before = 0;

    setup(&f);
    for (q.id = 1; q.id <= 50; q.id++) {
        q.path_class = 1;
        arrive(&f, q);
    }
    q.path_class = 2;
    arrive(&f, q);
    grant(&f, "e:a", 1);
    while (f.out.items[f.out.count - 1].request != 51) {
        ended(&f, f.out.items[f.out.count - 1].request, 1, ATTEMPT_OK, true);
        before++;
    }
    g_assert_cmpint(before, <=, 3);
    teardown(&f);
}

/* Guards against an unbounded queue, by count, bytes and team. */
static void
test_bounds(void)
{
    struct fixture f;
    struct router_request q;

    setup_with(&f, (struct router_config){.queue_max = 3,
                                          .queue_bytes_max = 100,
                                          .team_queue_max = 2});
    q = request(1);
    q.bytes = 101;
    arrive(&f, q);
    expect_only(&f, ROUTER_REFUSE, 1, ROUTER_REASON_QUEUE_FULL);
    arrive(&f, request(2));
    arrive(&f, request(3));
    arrive(&f, request(4));
    expect_only(&f, ROUTER_REFUSE, 4, ROUTER_REASON_TEAM_FULL);
    q = request(5);
    q.team = 2;
    arrive(&f, q);
    q.id = 6;
    arrive(&f, q);
    expect_only(&f, ROUTER_REFUSE, 6, ROUTER_REASON_QUEUE_FULL);
    teardown(&f);
}

/* Guards against accepting what cannot finish in time. */
static void
test_early_refusal(void)
{
    struct fixture f;
    struct router_request q;

    setup(&f);
    grant(&f, "e:a", 1);
    for (uint64_t i = 1; i <= 40; i++) {
        arrive(&f, request(i)); /* one at a time: each takes 1 ms */
        ended(&f, i, 1, ATTEMPT_OK, true);
    }
    for (uint64_t i = 100; i < 1100; i++) {
        arrive(&f, request(i));
    }
    f.now += 200 * MS;
    q = request(2000);
    arrive(&f, q); /* default timeout of 10 s: about 1 s of work is ahead */
    g_assert_cmpuint(f.out.count, ==, 0);
    q.id = 2001;
    q.has_deadline = true;
    q.deadline = f.now + MS / 2;
    arrive(&f, q);
    expect_only(&f, ROUTER_REFUSE, 2001, ROUTER_REASON_TOO_LATE);
    teardown(&f);
}

/* Guards against a second send of a non-idempotent request, and against
 * not-run after bytes were sent. */
static void
test_retry_rules(void)
{
    struct fixture f;
    struct router_request q;

    setup(&f);
    endpoint(&f, "b", false);
    grant(&f, "e:a", 2);
    grant(&f, "e:b", 2);
    arrive(&f, request(1));
    ended(&f, 1, 1, ATTEMPT_RESET, true);
    expect_only(&f, ROUTER_FAIL, 1, ROUTER_REASON_ENDPOINT);
    arrive(&f, request(2));
    ended(&f, 2, 1, ATTEMPT_REFUSED, false);
    expect_only(&f, ROUTER_SEND, 2, ROUTER_REASON_NONE);
    ended(&f, 2, 2, ATTEMPT_REFUSED, false);
    expect_only(&f, ROUTER_REFUSE, 2, ROUTER_REASON_ENDPOINT);
    q = request(3);
    q.idempotent = true;
    arrive(&f, q);
    struct str first = f.out.items[0].endpoint;
    ended(&f, 3, 1, ATTEMPT_RESET, true);
    expect_only(&f, ROUTER_SEND, 3, ROUTER_REASON_NONE);
    g_assert_false(str_eq(f.out.items[0].endpoint, first));
    ended(&f, 3, 2, ATTEMPT_REFUSED, false);
    expect_only(&f, ROUTER_FAIL, 3, ROUTER_REASON_ENDPOINT);
    teardown(&f);
}

/* Guards against a retry storm. */
static void
test_retry_budget(void)
{
    struct fixture f;
    struct router_request q = request(0);
    int retries = 0;

    setup_with(&f, (struct router_config){.retry_percent = 10,
                                          .retry_burst = 2,
                                          .eject_percent = 1});
    endpoint(&f, "b", false);
    grant(&f, "e:a", 2);
    grant(&f, "e:b", 2);
    q.idempotent = true;
    for (q.id = 1; q.id <= 100; q.id++) {
        arrive(&f, q);
        ended(&f, q.id, 1, ATTEMPT_RESET, true);
        if (f.out.items[0].kind == ROUTER_SEND) {
            retries++;
            ended(&f, q.id, 2, ATTEMPT_RESET, true);
        }
    }
    g_assert_cmpint(retries, >=, 10);
    g_assert_cmpint(retries, <=, 12);
    teardown(&f);
}

/* Guards against sending before the idempotency record is committed. */
static void
test_marking(void)
{
    struct fixture f;
    struct router_request q = request(1);

    setup(&f);
    grant(&f, "e:a", 1);
    q.needs_mark = true;
    arrive(&f, q);
    g_assert_cmpuint(f.out.count, ==, 0);
    simple(&f, ROUTER_MARKED, 1);
    expect_only(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    teardown(&f);
}

/* Guards against serving without a lease and with a withdrawn key. */
static void
test_lease_and_key(void)
{
    struct fixture f;

    setup(&f);
    arrive(&f, request(1));
    simple(&f, ROUTER_KEY_WITHDRAWN, 7);
    expect_only(&f, ROUTER_REFUSE, 1, ROUTER_REASON_KEY);
    f.now = T0 + 59 * NS_PER_S;
    arrive(&f, request(2));
    f.now = T0 + 60 * NS_PER_S;
    simple(&f, ROUTER_TICK, 0);
    expect_only(&f, ROUTER_REFUSE, 2, ROUTER_REASON_NO_LEASE);
    arrive(&f, request(3));
    expect_only(&f, ROUTER_REFUSE, 3, ROUTER_REASON_NO_LEASE);
    teardown(&f);
}

/* Guards against new work for an endpoint that leaves or expired. */
static void
test_leaving(void)
{
    struct fixture f;

    setup(&f);
    grant(&f, "e:a", 1);
    endpoint(&f, "a", true);
    arrive(&f, request(1));
    g_assert_cmpuint(f.out.count, ==, 0);
    endpoint(&f, "a", false);
    grant(&f, "e:a", 1);
    expect_only(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    ended(&f, 1, 1, ATTEMPT_OK, true);
    simple(&f, ROUTER_CONFIG_LEASE, T0 + 600 * NS_PER_S);
    f.now = T0 + 60 * NS_PER_S; /* the announcement has ended */
    arrive(&f, request(2));
    expect_only(&f, ROUTER_REFUSE, 2, ROUTER_REASON_NO_SERVICE);
    teardown(&f);
}

/* Guards against an endpoint that fails every request staying in use, and
 * against ejecting more than the configured part. */
static void
test_ejection(void)
{
    struct fixture f;
    struct router_stats s;
    struct router_request q = request(0);

    setup_with(&f, (struct router_config){.eject_percent = 50,
                                          .eject_failures = 3,
                                          .eject_ns = NS_PER_S});
    endpoint(&f, "b", false);
    grant(&f, "e:a", 1);
    grant(&f, "e:b", 1);
    q.idempotent = true;
    for (q.id = 1; q.id <= 40; q.id++) {
        arrive(&f, q);
        if (f.out.count > 0 && f.out.items[0].kind == ROUTER_SEND) {
            ended(&f, q.id, 1, ATTEMPT_MALFORMED, true);
        }
        if (f.out.count > 0 && f.out.items[0].kind == ROUTER_SEND) {
            ended(&f, q.id, 2, ATTEMPT_MALFORMED, true);
        }
        router_stats(f.r, &s);
        g_assert_cmpuint(s.ejected, <=, 1);
    }
    g_assert_cmpuint(s.ejected, ==, 1);
    f.now += NS_PER_S;
    simple(&f, ROUTER_TICK, 0);
    router_stats(f.r, &s);
    g_assert_cmpuint(s.ejected, ==, 0);
    teardown(&f);
}

/* Guards against a hung attempt blocking its caller or freeing its slot. */
static void
test_deadline_in_flight(void)
{
    struct fixture f;
    struct unit_report u;
    struct router_request q = request(1);

    setup(&f);
    grant(&f, "e:a", 1);
    q.has_deadline = true;
    q.deadline = f.now + MS;
    arrive(&f, q);
    f.now += MS;
    simple(&f, ROUTER_TICK, 0);
    expect(&f, 0, ROUTER_CANCEL, 1);
    expect(&f, 1, ROUTER_FAIL, 1);
    router_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.used, ==, 1);
    ended(&f, 1, 1, ATTEMPT_CANCELLED, true);
    g_assert_cmpuint(f.out.count, ==, 0);
    g_assert_true(router_idle(f.r));
    teardown(&f);
}

/* Guards against sending for a caller that is gone, and against losing the
 * response of what was sent for it. */
static void
test_caller_gone(void)
{
    struct fixture f;

    setup(&f);
    arrive(&f, request(1));
    simple(&f, ROUTER_CALLER_GONE, 1);
    expect_only(&f, ROUTER_REFUSE, 1, ROUTER_REASON_CALLER_GONE);
    grant(&f, "e:a", 1);
    arrive(&f, request(2));
    simple(&f, ROUTER_CALLER_GONE, 2);
    g_assert_cmpuint(f.out.count, ==, 0);
    ended(&f, 2, 1, ATTEMPT_OK, true);
    expect_only(&f, ROUTER_COMPLETE, 2, ROUTER_REASON_NONE);
    teardown(&f);
}

/* Guards against a drained entry keeping idle units or dropping requests. */
static void
test_drain(void)
{
    struct fixture f;
    struct unit_report u;

    setup(&f);
    grant(&f, "e:a", 3);
    arrive(&f, request(1));
    simple(&f, ROUTER_DRAIN, 0);
    router_report(f.r, f.now, &f.report);
    g_assert_true(f.report.leaving);
    router_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 1);
    ended(&f, 1, 1, ATTEMPT_OK, true);
    expect_only(&f, ROUTER_COMPLETE, 1, ROUTER_REASON_NONE);
    g_assert_true(router_idle(f.r));
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/router/units", test_units);
    g_test_add_func("/router/team-units", test_team_units);
    g_test_add_func("/router/ask-back", test_ask_back);
    g_test_add_func("/router/stale-grants", test_stale_grants);
    g_test_add_func("/router/deadline-order", test_deadline_order);
    g_test_add_func("/router/fair-teams", test_fair_teams);
    g_test_add_func("/router/short-beside-bulk", test_short_beside_bulk);
    g_test_add_func("/router/bounds", test_bounds);
    g_test_add_func("/router/early-refusal", test_early_refusal);
    g_test_add_func("/router/retry-rules", test_retry_rules);
    g_test_add_func("/router/retry-budget", test_retry_budget);
    g_test_add_func("/router/marking", test_marking);
    g_test_add_func("/router/lease-and-key", test_lease_and_key);
    g_test_add_func("/router/leaving", test_leaving);
    g_test_add_func("/router/ejection", test_ejection);
    g_test_add_func("/router/deadline-in-flight", test_deadline_in_flight);
    g_test_add_func("/router/caller-gone", test_caller_gone);
    g_test_add_func("/router/drain", test_drain);
    return g_test_run();
}
