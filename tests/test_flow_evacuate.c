#include <glib.h>

#include "clock.h"
#include "evacuate.h"
#include "flow_fixture.h"
#include "mem.h"

static const struct plan_limits plan_limits = {100, 8, 6, 0, 0};
static const struct evacuate_limits limits = {.short_ms = 6000, .moves = 32};

#define NOW_NS (100 * NS_PER_S)

static void
change(struct flow_fixture *f, const char *domain, bool active, uint64_t seen)
{
    Flow__Evacuation evacuation = FLOW__EVACUATION__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;

    evacuation.domain = (char *)domain;
    evacuation.active = active;
    evacuation.change = seen;
    evacuation.vm = (char *)"c1";
    command.kind_case = FLOW__COMMAND__KIND_EVACUATION;
    command.evacuation = &evacuation;
    flow_fixture_apply(f, &command);
}

static uint32_t
add_worker(struct flow_fixture *f, const char *id, const char *domain,
           uint64_t cpu_milli)
{
    f->domain = domain;
    return flow_fixture_add_worker(f, id, 1, cpu_milli);
}

/* The kind of the step of a job. */
enum {
    PLAIN = 0,
    CHECKPOINTS = 1,
    GANG = 2,
    ENDLESS = 4,
    BEST_EFFORT = 8,
};

static struct flow_job *
submit(struct flow_fixture *f, uint64_t id, uint32_t count, int kind,
       uint32_t estimate_ms)
{
    Flow__Step *steps[] = {flow_fixture_create_step(count, 1000, -1)};
    struct flow_job *j;

    steps[0]->estimate_ms = estimate_ms;
    steps[0]->checkpoints = (kind & CHECKPOINTS) != 0;
    steps[0]->gang = (kind & GANG) != 0;
    steps[0]->endless = (kind & ENDLESS) != 0;
    steps[0]->best_effort = (kind & BEST_EFFORT) != 0;
    steps[0]->disruption_budget = 1;
    j = flow_fixture_submit_job(f, id, steps, 1);
    j->arrived_ns = NOW_NS;
    return j;
}

/* Starts a task on the worker, which has confirmed it. */
static void
run_on(struct flow_fixture *f, struct flow_job *j, uint32_t index,
       uint32_t worker)
{
    struct flow_task *t = &j->occurrences[0].steps[0].tasks[index];

    flow_fixture_start_run(f, j->id, 0, index, t->run + 1, worker);
    t->confirmed_run = t->run;
    t->run_started_ns = NOW_NS;
}

/* Guards against an outdated request that undoes a later change, and against a
 * change of what already holds. */
static void
overtaken(void)
{
    struct flow_fixture f;
    const struct flow_evacuation *e;
    size_t count;

    flow_fixture_init(&f);
    change(&f, "d", false, 0);
    g_assert_null(flow_evacuation(f.state, STR("d")));
    change(&f, "d", true, 0);
    change(&f, "d", true, 0);
    change(&f, "d", true, 1);
    e = flow_evacuation(f.state, STR("d"));
    g_assert_true(e->active);
    g_assert_cmpuint(e->change, ==, 1);
    change(&f, "d", false, 0);
    g_assert_true(e->active);
    change(&f, "d", false, 1);
    g_assert_false(e->active);
    change(&f, "d", true, 1);
    g_assert_false(e->active);
    g_assert_cmpuint(e->change, ==, 2);
    flow_evacuation_changes(f.state, &count);
    g_assert_cmpuint(count, ==, 2);
    flow_fixture_free(&f);
}

/* Guards against an audit trail that grows without a bound or loses the newest
 * changes. */
static void
audit_bounded(void)
{
    struct flow_fixture f;
    const struct flow_evacuation *changes;
    size_t count;

    flow_fixture_init(&f);
    for (uint64_t i = 0; i < FLOW_EVACUATION_CHANGES_MAX + 5; i++) {
        change(&f, "d", i % 2 == 0, i);
    }
    changes = flow_evacuation_changes(f.state, &count);
    g_assert_cmpuint(count, ==, FLOW_EVACUATION_CHANGES_MAX);
    g_assert_cmpuint(changes[0].change, ==, 6);
    g_assert_cmpuint(changes[count - 1].change, ==, count + 5);
    flow_fixture_free(&f);
}

/* Guards against an evacuation that a restart forgets, or that workers which
 * register later escape. */
static void
snapshot(void)
{
    struct flow_fixture f;
    struct flow_state *s;
    struct buf bytes = {0};
    struct buf again = {0};
    const struct flow_evacuation *e;
    size_t count;

    flow_fixture_init(&f);
    add_worker(&f, "a", "d", 1000);
    change(&f, "d", true, 0);
    change(&f, "other", true, 0);
    change(&f, "other", false, 1);
    add_worker(&f, "b", "d", 1000);
    add_worker(&f, "c", "other", 1000);
    flow_state_encode(f.state, &bytes);
    s = flow_state_decode(buf_str(&bytes));
    g_assert_nonnull(s);
    e = flow_evacuation(s, STR("d"));
    g_assert_true(e->active);
    g_assert_true(str_eq(e->vm, STR("c1")));
    g_assert_cmpuint(flow_evacuation(s, STR("other"))->change, ==, 2);
    g_assert_true(flow_worker_by_id(s, STR("a"))->evacuated);
    g_assert_true(flow_worker_by_id(s, STR("b"))->evacuated);
    g_assert_false(flow_worker_by_id(s, STR("c"))->evacuated);
    flow_evacuation_changes(s, &count);
    g_assert_cmpuint(count, ==, 3);
    flow_state_encode(s, &again);
    g_assert_true(str_eq(buf_str(&bytes), buf_str(&again)));
    buf_free(&bytes);
    buf_free(&again);
    flow_state_destroy(s);
    flow_fixture_free(&f);
}

/* Guards against starts in an evacuated domain, and against a service that is
 * taken for usable when all of its domains are evacuated. */
static void
no_starts(void)
{
    struct flow_fixture f;
    struct plan plan = {0};

    flow_fixture_init(&f);
    add_worker(&f, "a", "d", 8000);
    add_worker(&f, "b", "e", 2000);
    submit(&f, 1, 8, PLAIN, 1000);
    submit(&f, 2, 3, GANG, 1000);
    change(&f, "d", true, 0);
    plan_make(f.state, NOW_NS, &plan_limits, &plan);
    g_assert_cmpuint(plan.start_count, ==, 2);
    for (size_t i = 0; i < plan.start_count; i++) {
        g_assert_true(str_eq(plan.starts[i].worker->id, STR("b")));
    }
    g_assert_false(flow_is_service_evacuated(f.state, STR("s")));
    change(&f, "e", true, 0);
    plan_make(f.state, NOW_NS, &plan_limits, &plan);
    g_assert_cmpuint(plan.start_count, ==, 0);
    g_assert_true(flow_is_service_evacuated(f.state, STR("s")));
    g_assert_false(flow_is_service_evacuated(f.state, STR("none")));
    change(&f, "d", false, 1);
    plan_make(f.state, NOW_NS, &plan_limits, &plan);
    g_assert_cmpuint(plan.start_count, ==, 8);
    plan_free(&plan);
    flow_fixture_free(&f);
}

/* Load: a backlog waits when a cold domain is used again. Its workers must get
 * a growing part of their capacity, not all at once. */
static void
warms_up(void)
{
    struct flow_fixture f;
    struct plan plan = {0};
    uint32_t a;

    flow_fixture_init(&f);
    a = add_worker(&f, "a", "d", 8000);
    submit(&f, 1, 20, PLAIN, 1000);
    f.sessions[a].warming_since_ns = NOW_NS;
    f.sessions[a].warm_at_ns = NOW_NS + 4 * NS_PER_S;
    plan_make(f.state, NOW_NS, &plan_limits, &plan);
    g_assert_cmpuint(plan.start_count, ==, 0);
    plan_make(f.state, NOW_NS + NS_PER_S, &plan_limits, &plan);
    g_assert_cmpuint(plan.start_count, ==, 2);
    plan_make(f.state, NOW_NS + 4 * NS_PER_S, &plan_limits, &plan);
    g_assert_cmpuint(plan.start_count, ==, 8);
    plan_free(&plan);
    flow_fixture_free(&f);
}

/* Load: a domain runs work of all kinds and the rest has room. What would lose
 * its work, or ends before a move could, must go on; the order must be lasting
 * work, then the longest, then best-effort. */
static void
moves_by_loss(void)
{
    struct flow_fixture f;
    struct evacuate_plan plan = {0};
    struct flow_job *unconfirmed;
    uint32_t a;

    flow_fixture_init(&f);
    a = add_worker(&f, "a", "d", 64000);
    add_worker(&f, "b", "e", 64000);
    run_on(&f, submit(&f, 1, 1, PLAIN, 60000), 0, a);
    run_on(&f, submit(&f, 2, 1, CHECKPOINTS, 5000), 0, a);
    run_on(&f, submit(&f, 3, 1, CHECKPOINTS | BEST_EFFORT, 90000), 0, a);
    run_on(&f, submit(&f, 4, 1, CHECKPOINTS, 10000), 0, a);
    run_on(&f, submit(&f, 5, 1, CHECKPOINTS, 20000), 0, a);
    run_on(&f, submit(&f, 6, 1, ENDLESS, 1000), 0, a);
    unconfirmed = submit(&f, 7, 1, CHECKPOINTS, 60000);
    run_on(&f, unconfirmed, 0, a);
    unconfirmed->occurrences[0].steps[0].tasks[0].confirmed_run = 0;
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 0);
    change(&f, "d", true, 0);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 4);
    g_assert_cmpuint(plan.moves[0].job->id, ==, 6);
    g_assert_cmpuint(plan.moves[1].job->id, ==, 5);
    g_assert_cmpuint(plan.moves[2].job->id, ==, 4);
    g_assert_cmpuint(plan.moves[3].job->id, ==, 3);
    g_assert_cmpuint(plan.verdicts[EVACUATE_WOULD_LOSE], ==, 1);
    g_assert_cmpuint(plan.verdicts[EVACUATE_ENDS_SOON], ==, 1);
    g_assert_cmpuint(plan.verdicts[EVACUATE_UNCONFIRMED], ==, 1);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 0);
    g_assert_cmpuint(plan.verdicts[EVACUATE_MOVING], ==, 4);
    evacuate_plan_free(&plan);
    flow_fixture_free(&f);
}

/* Load: a lasting step has several tasks in the domain. No more of them than
 * its budget may be away at a time, also while a moved one starts again. */
static void
lasting_budget(void)
{
    struct flow_fixture f;
    struct evacuate_plan plan = {0};
    struct flow_job *j;
    uint32_t a;
    uint32_t b;

    flow_fixture_init(&f);
    a = add_worker(&f, "a", "d", 8000);
    b = add_worker(&f, "b", "e", 8000);
    j = submit(&f, 1, 3, ENDLESS, 1000);
    run_on(&f, j, 0, a);
    run_on(&f, j, 1, a);
    run_on(&f, j, 2, b);
    change(&f, "d", true, 0);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 1);
    g_assert_cmpuint(plan.verdicts[EVACUATE_BUDGET], ==, 1);
    flow_fixture_end_run(&f, 1, 0, 0, 1, a, FLOW_END_STOPPED, "");
    flow_fixture_start_run(&f, 1, 0, 0, 2, b);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 0);
    j->occurrences[0].steps[0].tasks[0].confirmed_run = 2;
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 1);
    g_assert_cmpuint(plan.moves[0].index, ==, 1);
    evacuate_plan_free(&plan);
    flow_fixture_free(&f);
}

/* Load: room elsewhere for some of the domain's work only, part of which other
 * work waits for. Runs without room must go on where they are. */
static void
no_room(void)
{
    struct flow_fixture f;
    struct evacuate_plan plan = {0};
    struct flow_job *j;
    uint32_t a;

    flow_fixture_init(&f);
    a = add_worker(&f, "a", "d", 8000);
    add_worker(&f, "b", "e", 3000);
    j = submit(&f, 1, 3, CHECKPOINTS, 60000);
    for (uint32_t i = 0; i < 3; i++) {
        run_on(&f, j, i, a);
    }
    submit(&f, 2, 1, PLAIN, 1000);
    change(&f, "d", true, 0);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 2);
    g_assert_cmpuint(plan.verdicts[EVACUATE_NO_ROOM], ==, 1);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 0);
    change(&f, "e", true, 0);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 0);
    g_assert_cmpuint(plan.verdicts[EVACUATE_NO_ROOM], ==, 1);
    evacuate_plan_free(&plan);
    flow_fixture_free(&f);
}

/* Load: gangs that are partly in the domain. One must be moved only if all of
 * it fits elsewhere without the room that its stop frees. */
static void
gang_whole(void)
{
    struct flow_fixture f;
    struct evacuate_plan plan = {0};
    struct flow_job *j;
    uint32_t a;
    uint32_t b;

    flow_fixture_init(&f);
    a = add_worker(&f, "a", "d", 8000);
    b = add_worker(&f, "b", "e", 2000);
    j = submit(&f, 1, 2, CHECKPOINTS | GANG, 60000);
    run_on(&f, j, 0, a);
    run_on(&f, j, 1, b);
    change(&f, "d", true, 0);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 0);
    g_assert_cmpuint(plan.verdicts[EVACUATE_NO_ROOM], ==, 1);
    add_worker(&f, "c", "e", 1000);
    evacuate_make(f.state, NOW_NS, &limits, &plan);
    g_assert_cmpuint(plan.move_count, ==, 1);
    g_assert_cmpuint(plan.moves[0].index, ==, 0);
    evacuate_plan_free(&plan);
    flow_fixture_free(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow-evacuate/overtaken", overtaken);
    g_test_add_func("/flow-evacuate/audit-bounded", audit_bounded);
    g_test_add_func("/flow-evacuate/snapshot", snapshot);
    g_test_add_func("/flow-evacuate/no-starts", no_starts);
    g_test_add_func("/flow-evacuate/warms-up", warms_up);
    g_test_add_func("/flow-evacuate/moves-by-loss", moves_by_loss);
    g_test_add_func("/flow-evacuate/lasting-budget", lasting_budget);
    g_test_add_func("/flow-evacuate/no-room", no_room);
    g_test_add_func("/flow-evacuate/gang-whole", gang_whole);
    return g_test_run();
}
