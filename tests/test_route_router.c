/* Tests of the router, one per rule. */
#include <glib.h>

#include "clock.h"
#include "router.h"

#define T0 (10 * NS_PER_S)

struct fixture {
    struct router *r;
    struct router_actions out;
    struct report report;
    int64_t now;
    uint64_t grant_seq; /* of the last grants sent */
};

static void
step_router(struct fixture *f, const struct router_event *ev)
{
    f->out.count = 0;
    router_step(f->r, f->now, ev, &f->out);
}

/* Steps with an event that carries no more than one number, in whichever of
 * the union's 64-bit members. */
static void
step_with_number(struct fixture *f, enum router_event_kind kind,
                 uint64_t value)
{
    struct router_event ev = {.kind = kind, .id = value};

    step_router(f, &ev);
}

static void
announce_endpoint(struct fixture *f, const char *id, bool leaving)
{
    struct router_event ev = {.kind = ROUTER_ENDPOINT,
                              .endpoint = {str_of(id), STR("s"), STR("d0"), 8,
                                           64, leaving,
                                           f->now + 60 * NS_PER_S}};

    step_router(f, &ev);
}

/* Answers a new report with a grant of one pool. */
static void
grant_units(struct fixture *f, const char *pool, uint32_t units)
{
    struct unit_grant item = {str_of(pool), units};
    struct grants g = {.no = {1, ++f->grant_seq},
                       .lease_ns = 30 * NS_PER_S,
                       .items = &item,
                       .count = 1};
    struct router_event ev = {.kind = ROUTER_GRANTS, .grants = &g};

    router_report(f->r, f->now, &f->report);
    g.report_seq = f->report.seq;
    step_router(f, &ev);
}

static void
set_team(struct fixture *f, uint32_t number, uint32_t weight, bool limited)
{
    struct router_event ev = {.kind = ROUTER_TEAM,
                              .team = {number, weight, limited}};

    step_router(f, &ev);
}

/* Creates a router with a configuration lease of 60 s, a leader, teams 1 and 2
 * and endpoint a of service s. */
static void
setup_with(struct fixture *f, struct router_config c)
{
    *f = (struct fixture){.now = T0};
    c.domain = STR("d0");
    f->r = router_create(&c, f->now);
    step_with_number(f, ROUTER_CONFIG_LEASE, T0 + 60 * NS_PER_S);
    step_with_number(f, ROUTER_LEADER, 1);
    set_team(f, 1, 1, false);
    set_team(f, 2, 1, false);
    announce_endpoint(f, "a", false);
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
make_request(uint64_t id)
{
    return (struct router_request){
        .id = id, .key = 7, .team = 1, .service = STR("s"), .bytes = 10};
}

static void
submit_request(struct fixture *f, struct router_request req)
{
    struct router_event ev = {.kind = ROUTER_REQUEST, .request = req};

    step_router(f, &ev);
}

static void
end_attempt(struct fixture *f, uint64_t id, uint32_t attempt,
            enum attempt_result result, bool bytes_sent)
{
    struct router_event ev = {
        .kind = ROUTER_ATTEMPT_ENDED,
        .attempt = {id, attempt, result, bytes_sent, NS_PER_MS}};

    step_router(f, &ev);
}

/* Expects the i-th action of the last step. */
static void
expect_action(const struct fixture *f, size_t i, enum router_action_kind kind,
              uint64_t id)
{
    g_assert_cmpuint(f->out.count, >, i);
    g_assert_cmpint((int)f->out.items[i].kind, ==, (int)kind);
    g_assert_cmpuint(f->out.items[i].request, ==, id);
}

/* Expects that the last step had exactly this action. */
static void
expect_only_action(const struct fixture *f, enum router_action_kind kind,
                   uint64_t id, enum router_reason reason)
{
    expect_action(f, 0, kind, id);
    g_assert_cmpuint(f->out.count, ==, 1);
    g_assert_cmpint((int)f->out.items[0].reason, ==, (int)reason);
}

/* Guards against sending a request without a unit, or more requests than there
 * are units. */
static void
test_units_limit_sends(void)
{
    struct fixture f;

    setup(&f);
    submit_request(&f, make_request(1));
    submit_request(&f, make_request(2));
    g_assert_cmpuint(f.out.count, ==, 0);
    grant_units(&f, "e:a", 1);
    expect_only_action(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    end_attempt(&f, 1, 1, ATTEMPT_OK, true);
    expect_action(&f, 0, ROUTER_COMPLETE, 1);
    expect_action(&f, 1, ROUTER_SEND, 2);
    teardown(&f);
}

/* Guards against requests of a limited team that are sent with a slot but
 * without a unit of the team's pool. */
static void
test_team_units(void)
{
    struct fixture f;

    setup(&f);
    set_team(&f, 1, 1, true);
    grant_units(&f, "e:a", 4);
    submit_request(&f, make_request(1));
    submit_request(&f, make_request(2));
    g_assert_cmpuint(f.out.count, ==, 0);
    grant_units(&f, "t:1", 1);
    expect_only_action(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    teardown(&f);
}

/* Guards against returning a unit that the leader asks for before the request
 * that uses it has ended. */
static void
test_reclaimed_unit_in_use(void)
{
    struct fixture f;
    struct unit_report u;

    setup(&f);
    grant_units(&f, "e:a", 3);
    submit_request(&f, make_request(1));
    grant_units(&f, "e:a", 0);
    g_assert_true(router_get_pool(f.r, f.now, STR("e:a"), &u));
    g_assert_cmpuint(u.held, ==, 1);
    end_attempt(&f, 1, 1, ATTEMPT_OK, true);
    g_assert_true(router_get_pool(f.r, f.now, STR("e:a"), &u));
    g_assert_cmpuint(u.held, ==, 0);
    teardown(&f);
}

/* Guards against applying grants that are late, repeated or from a former
 * leader. */
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
    step_router(&f, &ev); /* the lease, counted from the report, is over */
    router_get_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 0);
    router_report(f.r, f.now, &f.report);
    g.report_seq = 2;
    step_router(&f, &ev);
    item.units = 4;
    step_router(&f, &ev); /* repeats the number */
    router_get_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 2);
    step_with_number(&f, ROUTER_LEADER, 2);
    g.no.seq = 6;
    step_router(&f, &ev); /* from a former leader */
    router_get_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 2);
    f.now += NS_PER_S;
    router_get_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 0);
    teardown(&f);
}

/* Guards against sending requests in another order than by deadline. */
static void
test_deadline_order(void)
{
    struct fixture f;
    struct router_request req = make_request(1);

    setup(&f);
    req.has_deadline = true;
    for (uint64_t i = 1; i <= 3; i++) {
        req.id = i;
        req.deadline = f.now + (int64_t)(4 - i) * NS_PER_S;
        submit_request(&f, req);
    }
    grant_units(&f, "e:a", 3);
    expect_action(&f, 0, ROUTER_SEND, 3);
    expect_action(&f, 1, ROUTER_SEND, 2);
    expect_action(&f, 2, ROUTER_SEND, 1);
    teardown(&f);
}

/* Guards against a team's long queue that takes another team's share: with
 * weights of 1 and 3, team 1 gets a quarter. */
static void
test_team_shares(void)
{
    struct fixture f;
    uint32_t sent[3] = {0};

    setup(&f);
    set_team(&f, 2, 3, false);
    for (uint64_t i = 1; i <= 200; i++) {
        struct router_request req = make_request(i);
        req.team = i <= 100 ? 1 : 2;
        submit_request(&f, req);
    }
    grant_units(&f, "e:a", 1);
    for (int i = 0; i < 80; i++) {
        uint64_t id = f.out.items[f.out.count - 1].request;
        sent[id <= 100 ? 1 : 2]++;
        end_attempt(&f, id, 1, ATTEMPT_OK, true);
    }
    g_assert_cmpuint(sent[1], >=, 18);
    g_assert_cmpuint(sent[1], <=, 22);
    teardown(&f);
}

/* Guards against a request of one path class that waits behind a long queue of
 * another class of the same team. */
static void
test_short_beside_bulk(void)
{
    struct fixture f;
    struct router_request req = make_request(0);
    int sent_before = 0;

    setup(&f);
    for (req.id = 1; req.id <= 50; req.id++) {
        req.path_class = 1;
        submit_request(&f, req);
    }
    req.path_class = 2;
    submit_request(&f, req);
    grant_units(&f, "e:a", 1);
    while (f.out.items[f.out.count - 1].request != 51) {
        end_attempt(&f, f.out.items[f.out.count - 1].request, 1, ATTEMPT_OK,
                    true);
        sent_before++;
    }
    g_assert_cmpint(sent_before, <=, 3);
    teardown(&f);
}

/* Guards against a queue that exceeds its bound on requests, on bytes or on
 * requests of one team. */
static void
test_queue_bounds(void)
{
    struct fixture f;
    struct router_request req;

    setup_with(&f, (struct router_config){.queue_max = 3,
                                          .queue_bytes_max = 100,
                                          .team_queue_max = 2});
    req = make_request(1);
    req.bytes = 101;
    submit_request(&f, req);
    expect_only_action(&f, ROUTER_REFUSE, 1, ROUTER_REASON_QUEUE_FULL);
    submit_request(&f, make_request(2));
    submit_request(&f, make_request(3));
    submit_request(&f, make_request(4));
    expect_only_action(&f, ROUTER_REFUSE, 4, ROUTER_REASON_TEAM_FULL);
    req = make_request(5);
    req.team = 2;
    submit_request(&f, req);
    req.id = 6;
    submit_request(&f, req);
    expect_only_action(&f, ROUTER_REFUSE, 6, ROUTER_REASON_QUEUE_FULL);
    teardown(&f);
}

/* Guards against accepting a request that cannot finish by its deadline, and
 * against refusing one that can. */
static void
test_early_refusal(void)
{
    struct fixture f;
    struct router_request req;

    setup(&f);
    grant_units(&f, "e:a", 1);
    for (uint64_t i = 1; i <= 40; i++) {
        /* Sent at once. The router learns that requests take 1 ms. */
        submit_request(&f, make_request(i));
        end_attempt(&f, i, 1, ATTEMPT_OK, true);
    }
    for (uint64_t i = 100; i < 1100; i++) {
        submit_request(&f, make_request(i));
    }
    f.now += 200 * NS_PER_MS;
    req = make_request(2000);
    /* Has the default timeout of 10 s, with about 1 s of work queued. */
    submit_request(&f, req);
    g_assert_cmpuint(f.out.count, ==, 0);
    req.id = 2001;
    req.has_deadline = true;
    req.deadline = f.now + NS_PER_MS / 2;
    submit_request(&f, req);
    expect_only_action(&f, ROUTER_REFUSE, 2001, ROUTER_REASON_TOO_LATE);
    teardown(&f);
}

/* Guards against sending a non-idempotent request again after bytes of it were
 * sent, against a retry at the same endpoint, and against refusing a request
 * as not-run after bytes of it were sent. */
static void
test_retry_rules(void)
{
    struct fixture f;
    struct router_request req;

    setup(&f);
    announce_endpoint(&f, "b", false);
    grant_units(&f, "e:a", 2);
    grant_units(&f, "e:b", 2);
    submit_request(&f, make_request(1));
    end_attempt(&f, 1, 1, ATTEMPT_RESET, true);
    expect_only_action(&f, ROUTER_FAIL, 1, ROUTER_REASON_ENDPOINT);
    submit_request(&f, make_request(2));
    end_attempt(&f, 2, 1, ATTEMPT_REFUSED, false);
    expect_only_action(&f, ROUTER_SEND, 2, ROUTER_REASON_NONE);
    end_attempt(&f, 2, 2, ATTEMPT_REFUSED, false);
    expect_only_action(&f, ROUTER_REFUSE, 2, ROUTER_REASON_ENDPOINT);
    req = make_request(3);
    req.idempotent = true;
    submit_request(&f, req);
    struct str first = f.out.items[0].endpoint;
    end_attempt(&f, 3, 1, ATTEMPT_RESET, true);
    expect_only_action(&f, ROUTER_SEND, 3, ROUTER_REASON_NONE);
    g_assert_false(str_eq(f.out.items[0].endpoint, first));
    end_attempt(&f, 3, 2, ATTEMPT_REFUSED, false);
    expect_only_action(&f, ROUTER_FAIL, 3, ROUTER_REASON_ENDPOINT);
    teardown(&f);
}

/* Guards against more retries than the budget allows when every attempt
 * fails. */
static void
test_retry_budget(void)
{
    struct fixture f;
    struct router_request req = make_request(0);
    int retries = 0;

    setup_with(&f, (struct router_config){.retry_percent = 10,
                                          .retry_burst = 2,
                                          .eject_percent = 1});
    announce_endpoint(&f, "b", false);
    grant_units(&f, "e:a", 2);
    grant_units(&f, "e:b", 2);
    req.idempotent = true;
    for (req.id = 1; req.id <= 100; req.id++) {
        submit_request(&f, req);
        end_attempt(&f, req.id, 1, ATTEMPT_RESET, true);
        if (f.out.items[0].kind == ROUTER_SEND) {
            retries++;
            end_attempt(&f, req.id, 2, ATTEMPT_RESET, true);
        }
    }
    g_assert_cmpint(retries, >=, 10);
    g_assert_cmpint(retries, <=, 12);
    teardown(&f);
}

/* Guards against sending a request before its idempotency record is
 * committed. */
static void
test_idempotency_record(void)
{
    struct fixture f;
    struct router_request req = make_request(1);

    setup(&f);
    grant_units(&f, "e:a", 1);
    req.needs_record = true;
    submit_request(&f, req);
    g_assert_cmpuint(f.out.count, ==, 0);
    step_with_number(&f, ROUTER_RECORD_COMMITTED, 1);
    expect_only_action(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    teardown(&f);
}

/* Guards against serving requests after the configuration lease has ended, or
 * with a withdrawn key. */
static void
test_lease_and_key(void)
{
    struct fixture f;

    setup(&f);
    submit_request(&f, make_request(1));
    step_with_number(&f, ROUTER_KEY_WITHDRAWN, 7);
    expect_only_action(&f, ROUTER_REFUSE, 1, ROUTER_REASON_KEY);
    f.now = T0 + 59 * NS_PER_S;
    submit_request(&f, make_request(2));
    f.now = T0 + 60 * NS_PER_S;
    step_with_number(&f, ROUTER_TICK, 0);
    expect_only_action(&f, ROUTER_REFUSE, 2, ROUTER_REASON_NO_LEASE);
    submit_request(&f, make_request(3));
    expect_only_action(&f, ROUTER_REFUSE, 3, ROUTER_REASON_NO_LEASE);
    teardown(&f);
}

/* Guards against sending requests to an endpoint that leaves or whose
 * announcement has expired. */
static void
test_leaving_endpoint(void)
{
    struct fixture f;

    setup(&f);
    grant_units(&f, "e:a", 1);
    announce_endpoint(&f, "a", true);
    submit_request(&f, make_request(1));
    g_assert_cmpuint(f.out.count, ==, 0);
    announce_endpoint(&f, "a", false);
    grant_units(&f, "e:a", 1);
    expect_only_action(&f, ROUTER_SEND, 1, ROUTER_REASON_NONE);
    end_attempt(&f, 1, 1, ATTEMPT_OK, true);
    step_with_number(&f, ROUTER_CONFIG_LEASE, T0 + 600 * NS_PER_S);
    f.now = T0 + 60 * NS_PER_S; /* the announcement has ended */
    submit_request(&f, make_request(2));
    expect_only_action(&f, ROUTER_REFUSE, 2, ROUTER_REASON_NO_SERVICE);
    teardown(&f);
}

/* Guards against an endpoint that stays in use although it fails every
 * request, and against ejecting more than eject_percent of a service's
 * endpoints. */
static void
test_ejection(void)
{
    struct fixture f;
    struct router_stats s;
    struct router_request req = make_request(0);

    setup_with(&f, (struct router_config){.eject_percent = 50,
                                          .eject_failures = 3,
                                          .eject_ns = NS_PER_S});
    announce_endpoint(&f, "b", false);
    grant_units(&f, "e:a", 1);
    grant_units(&f, "e:b", 1);
    req.idempotent = true;
    for (req.id = 1; req.id <= 40; req.id++) {
        submit_request(&f, req);
        if (f.out.count > 0 && f.out.items[0].kind == ROUTER_SEND) {
            end_attempt(&f, req.id, 1, ATTEMPT_MALFORMED, true);
        }
        if (f.out.count > 0 && f.out.items[0].kind == ROUTER_SEND) {
            end_attempt(&f, req.id, 2, ATTEMPT_MALFORMED, true);
        }
        router_stats(f.r, &s);
        g_assert_cmpuint(s.ejected, <=, 1);
    }
    g_assert_cmpuint(s.ejected, ==, 1);
    f.now += NS_PER_S;
    step_with_number(&f, ROUTER_TICK, 0);
    router_stats(f.r, &s);
    g_assert_cmpuint(s.ejected, ==, 0);
    teardown(&f);
}

/* Guards against an attempt without a response that delays the answer past the
 * deadline, and against a slot that is free before the attempt has ended. */
static void
test_deadline_in_flight(void)
{
    struct fixture f;
    struct unit_report u;
    struct router_request req = make_request(1);

    setup(&f);
    grant_units(&f, "e:a", 1);
    req.has_deadline = true;
    req.deadline = f.now + NS_PER_MS;
    submit_request(&f, req);
    f.now += NS_PER_MS;
    step_with_number(&f, ROUTER_TICK, 0);
    expect_action(&f, 0, ROUTER_CANCEL, 1);
    expect_action(&f, 1, ROUTER_FAIL, 1);
    router_get_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.used, ==, 1);
    end_attempt(&f, 1, 1, ATTEMPT_CANCELLED, true);
    g_assert_cmpuint(f.out.count, ==, 0);
    g_assert_true(router_is_idle(f.r));
    teardown(&f);
}

/* Guards against sending a queued request whose caller is gone, and against
 * cancelling one that was sent already: its response must still be
 * forwarded. */
static void
test_caller_gone(void)
{
    struct fixture f;

    setup(&f);
    submit_request(&f, make_request(1));
    step_with_number(&f, ROUTER_CALLER_GONE, 1);
    expect_only_action(&f, ROUTER_REFUSE, 1, ROUTER_REASON_CALLER_GONE);
    grant_units(&f, "e:a", 1);
    submit_request(&f, make_request(2));
    step_with_number(&f, ROUTER_CALLER_GONE, 2);
    g_assert_cmpuint(f.out.count, ==, 0);
    end_attempt(&f, 2, 1, ATTEMPT_OK, true);
    expect_only_action(&f, ROUTER_COMPLETE, 2, ROUTER_REASON_NONE);
    teardown(&f);
}

/* Guards against a draining entry that keeps idle units or drops requests. */
static void
test_drain(void)
{
    struct fixture f;
    struct unit_report u;

    setup(&f);
    grant_units(&f, "e:a", 3);
    submit_request(&f, make_request(1));
    step_with_number(&f, ROUTER_DRAIN, 0);
    router_report(f.r, f.now, &f.report);
    g_assert_true(f.report.leaving);
    router_get_pool(f.r, f.now, STR("e:a"), &u);
    g_assert_cmpuint(u.held, ==, 1);
    end_attempt(&f, 1, 1, ATTEMPT_OK, true);
    expect_only_action(&f, ROUTER_COMPLETE, 1, ROUTER_REASON_NONE);
    g_assert_true(router_is_idle(f.r));
    teardown(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/router/units", test_units_limit_sends);
    g_test_add_func("/router/team-units", test_team_units);
    g_test_add_func("/router/ask-back", test_reclaimed_unit_in_use);
    g_test_add_func("/router/stale-grants", test_stale_grants);
    g_test_add_func("/router/deadline-order", test_deadline_order);
    g_test_add_func("/router/fair-teams", test_team_shares);
    g_test_add_func("/router/short-beside-bulk", test_short_beside_bulk);
    g_test_add_func("/router/bounds", test_queue_bounds);
    g_test_add_func("/router/early-refusal", test_early_refusal);
    g_test_add_func("/router/retry-rules", test_retry_rules);
    g_test_add_func("/router/retry-budget", test_retry_budget);
    g_test_add_func("/router/marking", test_idempotency_record);
    g_test_add_func("/router/lease-and-key", test_lease_and_key);
    g_test_add_func("/router/leaving", test_leaving_endpoint);
    g_test_add_func("/router/ejection", test_ejection);
    g_test_add_func("/router/deadline-in-flight", test_deadline_in_flight);
    g_test_add_func("/router/caller-gone", test_caller_gone);
    g_test_add_func("/router/drain", test_drain);
    return g_test_run();
}
