/*
 * Metrics of a scheduler process in the Prometheus text format. Label values
 * are outcomes and kinds of calls, so that the number of series does not
 * depend on the load.
 */
#include <stdarg.h>
#include <stdio.h>

#include "counter.h"
#include "evacuation.h"
#include "histogram.h"
#include "leader.h"
#include "mem.h"

enum {
    OUTCOME_COUNT = NODE__OUTCOME__NO_DOMAIN + 1,
    CALL_KIND_COUNT = NODE_CALL_POLL + 1,
    RUN_END_COUNT = FLOW_END_NOT_STARTED + 1,
    /* Priorities of queues that are told apart; the last one counts for all
     * less urgent ones. */
    PRIORITY_COUNT = 6,
};

struct metrics {
    struct counter *calls[OUTCOME_COUNT];
    struct counter *worker_calls[CALL_KIND_COUNT][UPSTREAM_FAILURE_COUNT];
    struct counter *ends[RUN_END_COUNT];
    struct counter *waiting[PLAN_WAIT_REASON_COUNT][PRIORITY_COUNT];
    struct counter *approval_requests[PRIORITY_COUNT];
    struct counter *approval_service_ms[PRIORITY_COUNT];
    struct counter *starts;
    struct counter *strays;
    struct counter *unreadable;
    struct counter *checkpoints_dropped;
    struct counter *displaced;
    struct counter *yielded;
    struct histogram *call_ms;
    struct histogram *first_start_ms;
    struct histogram *commit_ms;
    struct histogram *approval_ms;
    struct histogram *plan_ms;
};

static const char *const outcome_names[OUTCOME_COUNT] = {
    "ok",   "invalid",     "no-key",  "no-queue",   "no-job",   "conflict",
    "busy", "unavailable", "unknown", "not-leader", "no-domain"};
static const char *const call_kind_names[CALL_KIND_COUNT] = {"start", "stop",
                                                             "poll"};
static const char *const run_end_names[RUN_END_COUNT] = {
    "",       "done",   "failed",     "stopped",
    "lapsed", "broken", "incomplete", "never"};

static const char *const wait_reason_names[PLAN_WAIT_REASON_COUNT] = {
    "none",          "team-limit",    "no-verdict", "call-open",
    "ticket-lapsed", "approved-full", "reserved",   "room"};

/* labels is a printf format for the text between the braces. */
static struct counter *
create_series(const char *name, const char *help, const char *labels, ...)
{
    struct buf text = {0};
    struct counter *c;
    char label_text[96];
    va_list args;

    va_start(args, labels);
    vsnprintf(label_text, sizeof(label_text), labels, args);
    va_end(args);
    buf_printf(&text, "%s{%s}", name, label_text);
    c = counter_get_copy(COUNTER_SUM, buf_str(&text), help);
    buf_free(&text);
    return c;
}

struct metrics *
metrics_create(void)
{
    struct metrics *m = mem_zalloc(1, sizeof(*m));

    for (size_t i = 0; i < OUTCOME_COUNT; i++) {
        m->calls[i] = create_series("guavarock_calls_total",
                                    "Calls of callers, workers and operators.",
                                    "outcome=\"%s\"", outcome_names[i]);
    }
    for (size_t i = 0; i < CALL_KIND_COUNT; i++) {
        for (int k = 0; k < UPSTREAM_FAILURE_COUNT; k++) {
            m->worker_calls[i][k] =
                create_series("guavarock_worker_calls_total",
                              "Answers to the leader's calls to workers.",
                              "kind=\"%s\",result=\"%s\"", call_kind_names[i],
                              upstream_failure_name((enum upstream_failure)k));
        }
    }
    for (size_t i = 1; i < RUN_END_COUNT; i++) {
        m->ends[i] = create_series("guavarock_run_ends_total",
                                   "Ends of runs that the leader recorded.",
                                   "how=\"%s\"", run_end_names[i]);
    }
    for (unsigned i = 0; i < PRIORITY_COUNT; i++) {
        const char *above = i == PRIORITY_COUNT - 1 ? "+" : "";

        for (int k = PLAN_WAIT_NONE + 1; k < PLAN_WAIT_REASON_COUNT; k++) {
            m->waiting[k][i] = create_series(
                "guavarock_waiting_reports_total",
                "Reports, 2 s apart, on steps that wait for over a second.",
                "reason=\"%s\",priority=\"%u%s\"", wait_reason_names[k], i,
                above);
        }
        m->approval_requests[i] =
            create_series("guavarock_approval_requests_total",
                          "Requests that the leader sent for approval.",
                          "priority=\"%u%s\"", i, above);
        m->approval_service_ms[i] =
            create_series("guavarock_approval_service_ms_total",
                          "Expected time of the approval service for these.",
                          "priority=\"%u%s\"", i, above);
    }
    m->starts = counter_get(COUNTER_SUM, "guavarock_run_starts_total",
                            "Runs that the leader decided to start.");
    m->strays = counter_get(COUNTER_SUM, "guavarock_stray_runs_total",
                            "Runs on workers that they are not assigned to.");
    m->unreadable =
        counter_get(COUNTER_SUM, "guavarock_unreadable_entries_total",
                    "Entries of workers' lists that could not be read.");
    m->checkpoints_dropped =
        counter_get(COUNTER_SUM, "guavarock_dropped_checkpoints_total",
                    "Checkpoints that were too long to be kept.");
    m->displaced =
        counter_get(COUNTER_SUM, "guavarock_displaced_runs_total",
                    "Best-effort runs stopped in favor of tasks with a "
                    "tail-latency target.");
    m->yielded = counter_get(
        COUNTER_SUM, "guavarock_yielded_steps_total",
        "Steps that left room to gangs, counted in each planning round.");
    m->call_ms = histogram_create("guavarock_call_ms",
                                  "From a call's arrival to its answer.");
    m->first_start_ms =
        histogram_create("guavarock_first_start_ms",
                         "From a job's acceptance to its first start.");
    m->commit_ms = histogram_create("guavarock_commit_ms",
                                    "From a proposal to its application.");
    m->approval_ms = histogram_create("guavarock_approval_ms",
                                      "Calls to the approval service.");
    m->plan_ms = histogram_create("guavarock_plan_ms",
                                  "Planning rounds of the leader.");
    return m;
}

void
metrics_destroy(struct metrics *m)
{
    if (m == NULL) {
        return;
    }
    histogram_destroy(m->call_ms);
    histogram_destroy(m->first_start_ms);
    histogram_destroy(m->commit_ms);
    histogram_destroy(m->approval_ms);
    histogram_destroy(m->plan_ms);
    mem_free(m);
}

void
metrics_call(struct metrics *m, Node__Outcome outcome, int64_t took_ns)
{
    if ((int)outcome >= 0 && (int)outcome < OUTCOME_COUNT) {
        counter_add(m->calls[outcome], 1);
    }
    histogram_observe(m->call_ms, took_ns);
}

void
metrics_worker_call(struct metrics *m, enum node_worker_call_kind kind,
                    enum upstream_failure failure)
{
    counter_add(m->worker_calls[kind][failure], 1);
}

void
metrics_start(struct metrics *m, bool first, int64_t waited_ns)
{
    counter_add(m->starts, 1);
    if (first) {
        histogram_observe(m->first_start_ms, waited_ns);
    }
}

void
metrics_stray(struct metrics *m)
{
    counter_add(m->strays, 1);
}

void
metrics_unreadable(struct metrics *m, uint32_t entries, uint32_t checkpoints)
{
    counter_add(m->unreadable, entries);
    counter_add(m->checkpoints_dropped, checkpoints);
}

void
metrics_displaced(struct metrics *m)
{
    counter_add(m->displaced, 1);
}

void
metrics_end(struct metrics *m, uint32_t run_end)
{
    if (run_end > 0 && run_end < RUN_END_COUNT) {
        counter_add(m->ends[run_end], 1);
    }
}

void
metrics_commit(struct metrics *m, int64_t took_ns)
{
    histogram_observe(m->commit_ms, took_ns);
}

void
metrics_approval(struct metrics *m, int64_t took_ns)
{
    histogram_observe(m->approval_ms, took_ns);
}

static size_t
priority_index(uint32_t priority)
{
    return priority < PRIORITY_COUNT ? priority : PRIORITY_COUNT - 1;
}

const char *
metrics_wait_reason_name(enum plan_wait_reason reason)
{
    return wait_reason_names[reason];
}

void
metrics_waiting(struct metrics *m, const struct plan_wait_report *report)
{
    size_t i = priority_index(report->job->queue->priority);

    if (report->reason != PLAN_WAIT_NONE) {
        counter_add(m->waiting[report->reason][i], 1);
    }
}

void
metrics_approval_sent(struct metrics *m, uint32_t priority, int64_t cost_ms)
{
    size_t i = priority_index(priority);

    counter_add(m->approval_requests[i], 1);
    counter_add(m->approval_service_ms[i], (uint64_t)cost_ms);
}

void
metrics_yielded(struct metrics *m, size_t steps)
{
    counter_add(m->yielded, steps);
}

void
metrics_plan(struct metrics *m, int64_t took_ns)
{
    histogram_observe(m->plan_ms, took_ns);
}

static void
set_gauge(const char *name, const char *help, uint64_t value)
{
    counter_set(counter_get(COUNTER_GAUGE, name, help), value);
}

static void
refresh_group_gauges(const struct node *n)
{
    const Flow__Config *config = flow_current_config(n->group->state);
    struct group_counts counts;

    group_count_members(n->group, &counts);
    set_gauge("guavarock_group_members", "Members of the control group.",
              counts.voters + counts.learners);
    set_gauge("guavarock_group_voters", "Voters of the control group.",
              counts.voters);
    set_gauge("guavarock_group_silent",
              "Members that do not reply to the leader; 0 on followers.",
              counts.silent);
    set_gauge("guavarock_group_outside",
              "Running control VMs that are no members.", counts.outside);
    set_gauge("guavarock_storage_failed",
              "1 while the data directory cannot be written.",
              n->group->failed);
    set_gauge("guavarock_config_version", "Version of the configuration held.",
              config == NULL ? 0 : config->version);
    set_gauge("guavarock_live_jobs", "Jobs that have not ended.",
              flow_live_count(n->group->state));
    set_gauge("guavarock_workers", "Workers that are not known to have ended.",
              flow_worker_count(n->group->state));
}

/* Sets a gauge with the domain as its label. Characters that a label would
 * have to escape are replaced. */
static void
set_domain_gauge(const char *name, const char *help, struct str domain,
                 uint64_t value)
{
    struct buf text = {0};
    size_t start;

    buf_printf(&text, "%s{failure_domain=\"", name);
    start = text.len;
    buf_append_str(&text, domain);
    for (size_t i = start; i < text.len; i++) {
        char c = text.ptr[i];

        text.ptr[i] = c == '"' || c == '\\' || c == '\n' ? '_' : c;
    }
    buf_printf(&text, "\"}");
    counter_set(counter_get_copy(COUNTER_GAUGE, buf_str(&text), help), value);
    buf_free(&text);
}

static void
refresh_evacuation_gauges(const struct node *n)
{
    const struct flow_state *state = n->group->state;
    const struct flow_evacuation *e;
    void *cursor = NULL;

    while ((e = flow_evacuation_next(state, &cursor)) != NULL) {
        int64_t empty_ms = evacuation_empty_ms(e);

        set_domain_gauge("guavarock_evacuated",
                         "1 while the failure domain is evacuated.", e->domain,
                         e->active);
        set_domain_gauge("guavarock_evacuation_tasks",
                         "Tasks in a failure domain that was evacuated.",
                         e->domain, evacuation_tasks_left(state, e->domain));
        set_domain_gauge("guavarock_evacuation_empty_ms",
                         "Of the leader: from the evacuation until no task "
                         "was left; 0 before.",
                         e->domain, empty_ms > 0 ? (uint64_t)empty_ms : 0);
    }
    set_gauge("guavarock_evacuation_moves",
              "Of the leader: runs that it stopped to move them.",
              n->leader == NULL ? 0 : evacuations_moves(n->leader));
}

static void
refresh_gauges(const struct node *n)
{
    set_gauge("guavarock_leading", "1 while this process leads.",
              n->leader != NULL);
    set_gauge("guavarock_leader_term", "Term of the newest leader known.",
              n->leader_term);
    set_gauge("guavarock_sessions", "Sessions with other processes.",
              map_count(n->links));
    set_gauge("guavarock_open_calls", "Calls that are not answered yet.",
              calls_count(n->calls));
    if (n->group != NULL) {
        refresh_group_gauges(n);
        refresh_evacuation_gauges(n);
    }
    set_gauge("guavarock_workers_usable", "Workers that the leader places on.",
              n->leader == NULL ? 0 : workers_usable(n->leader));
}

void
metrics_respond(const struct node *n, struct front_call *call)
{
    struct front_response response = {.status = 200};

    refresh_gauges(n);
    counter_render(&response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("text/plain; version=0.0.4"));
    front_respond(call, &response);
}
