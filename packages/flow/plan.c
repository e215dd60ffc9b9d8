/*
 * The planning round: placement of candidates on workers.
 */
#include "plan.h"

#include <string.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

/* Weights of the cost by which choose_option compares workers. COST_SLOWNESS
 * is divided by the speed of the worker, so that the cost is proportional to
 * the run time there. COST_IDLE is multiplied by the free share of its
 * processor capacity: on an emptier worker, the task would fragment capacity
 * that a larger task could use. */
static const double COST_SLOWNESS = 1.0;
static const double COST_IDLE = 0.5;
/* Added if the step's data is on another rack. */
static const double COST_REMOTE_DATA = 2.0;
/* Added if the task's last failure was on the worker. */
static const double COST_FAILED_BEFORE = 4.0;
/* Added if the task would still run when a gang's reservation begins. */
static const double COST_RESERVED = 1.0;

struct plan_worker *
plan_worker(const struct flow_worker *w)
{
    return w->session;
}

void
round_reconsider_at(struct plan_round *r, int64_t at_ns)
{
    if (at_ns < r->plan->reconsider_ns) {
        r->plan->reconsider_ns = at_ns;
    }
}

/* A worker that could take a task of the candidate when the options were
 * collected. */
struct placement_option {
    struct worker_view *view;
    int64_t ends_ns; /* expected end of a task that starts now */
    double cost;     /* the part that is the same for all tasks */
    uint32_t placed; /* tasks of the step on it, if they are limited */
};

static bool
can_start_on(const struct plan_round *r, const struct candidate *c,
             const struct worker_view *v)
{
    return v->tasks_left > 0 && size_fits(c->demand, view_available(v)) &&
           view_can_run(v, c) &&
           (!c->job->queue->needs_approval ||
            is_ticket_valid(v->verdict, r->now_ns));
}

static size_t
collect_options(struct plan_round *r, const struct candidate *c,
                struct placement_option *options)
{
    const struct flow_step *step = c->step;
    size_t count;
    struct worker_view **views = candidate_views(r, c, &count);
    size_t n = 0;

    r->visits += count;
    for (size_t i = 0; i < count; i++) {
        struct worker_view *v = views[i];

        if (!can_start_on(r, c, v)) {
            continue;
        }
        options[n].view = v;
        options[n].ends_ns = expected_end_ns(r, c, v);
        options[n].cost = COST_SLOWNESS / v->speed;
        options[n].placed = step->spec->per_worker_max == 0
                                ? 0
                                : count_assigned_to(step, v->worker->number);
        if (step->spec->data_rack[0] != '\0' &&
            !str_eq(v->worker->rack, str_of(step->spec->data_rack))) {
            options[n].cost += COST_REMOTE_DATA;
        }
        if (v->reserved_from_ns != 0 &&
            options[n].ends_ns > v->reserved_from_ns) {
            options[n].cost += COST_RESERVED;
        }
        n++;
    }
    return n;
}

static double
placement_cost(const struct placement_option *option,
               const struct flow_task *t)
{
    const struct worker_view *v = option->view;
    double left = 1;
    double result;

    if (v->worker->capacity.cpu_milli > 0) {
        left = 1 - (double)v->committed.cpu_milli /
                       (double)v->worker->capacity.cpu_milli;
    }
    result = option->cost + COST_IDLE * left;
    return t->failed_on == v->worker->number ? result + COST_FAILED_BEFORE
                                             : result;
}

/* Returns the option of the lowest cost that can still take the task, in the
 * rack if one is named, or NULL. */
static struct placement_option *
choose_option(const struct candidate *c, struct placement_option *options,
              size_t count, const struct flow_task *t, struct str rack)
{
    struct flow_size size = c->demand;
    uint32_t tasks_max = c->step->spec->per_worker_max;
    struct placement_option *best = NULL;
    double best_cost = 0;

    for (size_t i = 0; i < count; i++) {
        struct placement_option *option = &options[i];
        double this_cost;

        if (option->view->tasks_left == 0 ||
            !size_fits(size, view_available(option->view)) ||
            (tasks_max != 0 && option->placed >= tasks_max) ||
            (rack.len > 0 && !str_eq(option->view->worker->rack, rack)) ||
            (!c->pressing &&
             !view_reservation_allows(option->view, size, c->priority,
                                      option->ends_ns))) {
            continue;
        }
        this_cost = placement_cost(option, t);
        if (best == NULL || this_cost < best_cost ||
            (this_cost == best_cost && option->view < best->view)) {
            best = option;
            best_cost = this_cost;
        }
    }
    return best;
}

static void
add_start(struct plan_round *r, const struct candidate *c, uint32_t index,
          uint32_t run, struct worker_view *v)
{
    struct plan *plan = r->plan;
    struct flow_size size = c->demand;
    struct team_plan *team = team_plan_find(r, c->job->team);
    struct plan_start *start;

    if (plan->start_count == plan->start_cap) {
        plan->start_cap = plan->start_cap * 2 + 32;
        plan->starts =
            mem_realloc(plan->starts, plan->start_cap, sizeof(*plan->starts));
    }
    start = &plan->starts[plan->start_count++];
    memset(start, 0, sizeof(*start));
    start->job = c->job;
    start->occurrence = &c->job->occurrences[c->occurrence];
    start->step = c->step;
    start->index = index;
    start->run = run;
    start->worker = v->worker;
    if (c->job->queue->needs_approval) {
        memcpy(start->ticket, v->verdict->ticket, sizeof(start->ticket));
    }
    team->placed = size_add(team->placed, c->size);
    v->committed = size_add(v->committed, size);
    v->tasks_left--;
    headroom_take(&r->headroom[v->service], size);
    v->best_effort += c->step->spec->best_effort;
    v->serving += c->step->spec->tail_target_ms > 0;
    if (v->reserved_from_ns != 0 &&
        expected_end_ns(r, c, v) > v->reserved_from_ns) {
        v->unreserved = size_subtract(v->unreserved, size);
    }
}

/* Removes starts from the plan until start_count are left. */
static void
undo_starts(struct plan_round *r, size_t start_count)
{
    while (r->plan->start_count > start_count) {
        struct plan_start *start = &r->plan->starts[--r->plan->start_count];
        struct worker_view *v =
            &r->views[plan_worker(start->worker)->view_index];
        struct team_plan *team = team_plan_find(r, start->job->team);

        team->placed =
            size_subtract(team->placed, flow_step_size(start->step));
        v->committed = size_subtract(v->committed, step_demand(start->step));
        v->tasks_left++;
        headroom_return(&r->headroom[v->service], step_demand(start->step));
        v->best_effort -= start->step->spec->best_effort;
        v->serving -= start->step->spec->tail_target_ms > 0;
    }
}

/* Reports whether a task of the candidate leaves the room that gangs of more
 * urgent queues claim, or need not. */
static bool
has_headroom(const struct plan_round *r, const struct candidate *c)
{
    return !c->yields || c->pressing || c->service == SERVICE_NONE ||
           headroom_allows(&r->headroom[c->service], c->priority, c->demand);
}

/* Claims room for a gang in time that was not placed. One that needs a label
 * is served by few workers, which only its reservation keeps free. */
static void
claim_headroom(struct plan_round *r, const struct candidate *c)
{
    struct flow_size size = c->demand;
    uint64_t count = c->step->count;

    if (c->step->spec->gang && c->lateness == URGENCY_IN_TIME &&
        c->service != SERVICE_NONE && c->step->spec->label[0] == '\0') {
        r->kept_for_gangs = true;
        headroom_claim(&r->headroom[c->service], c->priority,
                       (struct flow_size){size.cpu_milli * count,
                                          size.memory_mib * count,
                                          size.accelerators * count});
    }
}

/* Plans starts of waiting tasks on the given workers, in the rack if one is
 * named. Returns how many tasks found no worker. Tasks that the team's limit
 * keeps out are not counted, as more capacity would not help them; they set
 * *team_limited. */
static uint32_t
place_tasks_on(struct plan_round *r, const struct candidate *c, uint32_t run,
               struct str rack, bool *team_limited,
               struct placement_option *options, size_t count)
{
    uint32_t missing = 0;

    for (uint32_t i = 0; i < c->step->count; i++) {
        struct flow_task *t = &c->step->tasks[i];
        struct placement_option *option;

        if (t->done || t->assigned) {
            continue;
        }
        if (!team_limit_allows(r, c)) {
            *team_limited = true;
            return missing;
        }
        option = missing > 0 || !has_headroom(r, c)
                     ? NULL
                     : choose_option(c, options, count, t, rack);
        if (option == NULL) {
            missing++;
            continue;
        }
        add_start(r, c, i, run != 0 ? run : t->run + 1, option->view);
        option->placed++;
        r->visits += count;
    }
    return missing;
}

static uint32_t
place_tasks(struct plan_round *r, const struct candidate *c, uint32_t run,
            struct str rack, bool *team_limited)
{
    size_t count = collect_options(r, c, r->options);

    return place_tasks_on(r, c, run, rack, team_limited, r->options, count);
}

static uint32_t
next_gang_run(const struct flow_step *step)
{
    uint32_t run = 0;

    for (uint32_t i = 0; i < step->count; i++) {
        run = step->tasks[i].run > run ? step->tasks[i].run : run;
    }
    return run + 1;
}

/* Tries to place the gang within one rack. Its tasks communicate and are
 * slower across racks. */
static bool
place_gang_in_one_rack(struct plan_round *r, const struct candidate *c,
                       uint32_t run)
{
    size_t start_count = r->plan->start_count;

    size_t view_count;
    struct worker_view **views = candidate_views(r, c, &view_count);
    struct str *tried = mem_alloc((view_count + 1) * sizeof(*tried));
    size_t tried_count = 0;
    bool placed = false;

    for (size_t i = 0; i < view_count && !placed; i++) {
        struct str rack = views[i]->worker->rack;
        bool team_limited = false;
        size_t k = 0;

        while (k < tried_count && !str_eq(tried[k], rack)) {
            k++;
        }
        if (k < tried_count) {
            continue;
        }
        tried[tried_count++] = rack;
        placed =
            place_tasks(r, c, run, rack, &team_limited) == 0 && !team_limited;
        if (!placed) {
            undo_starts(r, start_count);
        }
    }
    mem_free(tried);
    return placed;
}

/* Places all tasks of a gang, with the same run number, or none of them. A
 * gang that fits in no single rack may spread over several. */
static uint32_t
place_gang(struct plan_round *r, const struct candidate *c, bool *team_limited)
{
    size_t start_count = r->plan->start_count;
    uint32_t run = next_gang_run(c->step);
    uint32_t missing;

    if (c->step->spec->one_rack && place_gang_in_one_rack(r, c, run)) {
        return 0;
    }
    missing = place_tasks(r, c, run, str_from(NULL, 0), team_limited);
    if (missing > 0 || *team_limited) {
        undo_starts(r, start_count);
    }
    return missing;
}

/* Reports whether nothing can be done for the step before an answer on its
 * approval arrives: it has no valid ticket and may not request one now. A gang
 * with approved workers may still reserve them. */
static bool
only_awaits_approval(const struct plan_round *r, const struct candidate *c)
{
    const struct flow_approval *a = c->step->approval;
    bool has_ticket =
        a != NULL &&
        a->latest_valid_ns > r->now_ns + TICKET_MIN_REMAINING_MS * NS_PER_MS;
    bool may_reserve = c->step->spec->gang && a != NULL && a->count > 0;

    return c->job->queue->needs_approval && !has_ticket && !may_reserve &&
           !request_is_possible(r, c);
}

/* Reports whether trying the step would change nothing but the log. */
static bool
is_hopeless(const struct plan_round *r, const struct candidate *c)
{
    return !is_wait_report_due(r, c) &&
           ((!c->step->spec->gang && !may_displace(r, c) &&
             !size_fits(c->demand, r->free_max)) ||
            only_awaits_approval(r, c));
}

static void
place_candidate(struct plan_round *r, const struct candidate *c)
{
    bool team_limited = false;
    int64_t fit_ns = INT64_MAX;
    uint32_t missing;
    enum plan_wait_reason reason;

    r->visits++;
    if (is_hopeless(r, c)) {
        claim_headroom(r, c);
        return;
    }
    set_view_verdicts(r, c, true);
    if (!c->step->spec->gang) {
        missing = place_tasks(r, c, 0, str_from(NULL, 0), &team_limited);
    }
    else {
        missing = place_gang(r, c, &team_limited);
    }
    if (missing == 0 && !team_limited) {
        c->step->waits_since_ns = 0;
    }
    reason = find_wait_reason(r, c, team_limited, missing);
    if (c->step->spec->gang) {
        if (missing > 0 && !team_limited) {
            fit_ns = reserve_gang(r, c);
        }
        else if (missing == 0 && !team_limited) {
            forget_reservation(c->step);
        }
        if (team_limited && c->lateness == URGENCY_IN_TIME) {
            reserve_team_limit(r, c);
        }
    }
    if (missing > 0 && !team_limited && may_displace(r, c)) {
        displace_best_effort(r, c, missing);
    }
    if (missing > 0 && !team_limited) {
        claim_headroom(r, c);
        r->plan->yielded += !has_headroom(r, c);
    }
    if (missing > 0 && !team_limited && c->job->queue->needs_approval &&
        has_headroom(r, c)) {
        request_approval(r, c, missing, fit_ns);
    }
    report_waiting(r, c, reason, missing, fit_ns);
    set_view_verdicts(r, c, false);
}

void
round_destroy(struct plan_round *r)
{
    for (size_t i = 0; i < r->view_count; i++) {
        mem_free(r->views[i].releases);
    }
    for (size_t i = 0; i < r->service_count; i++) {
        headroom_free(&r->headroom[i]);
    }
    mem_free(r->headroom);
    mem_free(r->views);
    mem_free(r->all);
    mem_free(r->approved);
    mem_free(r->options);
    mem_free(r->services);
    mem_free(r->candidates);
    mem_free(r->best_effort_tasks);
    mem_free(r->path_ms);
    mem_free(r->teams);
    mem_free(r->team_releases);
}

/* Notes when the outcome for the candidate, or for those that leave room to
 * it, may change. */
static void
note_candidate_times(struct plan_round *r, const struct candidate *c)
{
    const struct flow_approval *a = c->step->approval;

    if (c->step->spec->gang || (r->kept_for_gangs && !has_headroom(r, c))) {
        const struct urgency_times times = {.arrived_ns = c->job->arrived_ns,
                                            .latest_start_ns =
                                                c->latest_start_ns,
                                            .objective_ns = c->objective_ns};

        round_reconsider_at(r, urgency_next_change_ns(&times, r->now_ns));
    }
    if (r->kept_for_gangs && c->step->waits_since_ns != 0 &&
        presses_at_ns(c) > r->now_ns) {
        round_reconsider_at(r, presses_at_ns(c));
    }
    if (a != NULL && a->pending_until_ns > r->now_ns) {
        round_reconsider_at(r, a->pending_until_ns);
    }
}

/* Tries candidates from index on until the visits or the starts of the round
 * are used up. Returns the index of the first one that was not tried. */
static size_t
place_candidates(struct plan_round *r, size_t index, size_t visits_max)
{
    while (index < r->candidate_count &&
           r->plan->start_count < r->limits->starts &&
           (r->limits->visits == 0 || r->visits < visits_max)) {
        place_candidate(r, &r->candidates[index]);
        note_candidate_times(r, &r->candidates[index]);
        index++;
    }
    return index;
}

/* Returns the index from which an incomplete round is resumed. */
static size_t
find_resume_index(const struct plan_round *r)
{
    const struct candidate key = {.class = r->plan->resume_class,
                                  .latest_start_ns = r->plan->resume_start_ns,
                                  .order = r->plan->resume_order};
    size_t i = 0;

    while (i < r->candidate_count &&
           candidate_compare(&r->candidates[i], &key) < 0) {
        i++;
    }
    return i;
}

/* Keeps where the round ended if candidates are left. */
static void
record_resume_point(const struct plan_round *r, size_t index)
{
    struct plan *plan = r->plan;

    plan->incomplete = index < r->candidate_count;
    if (plan->incomplete) {
        plan->resume_class = r->candidates[index].class;
        plan->resume_start_ns = r->candidates[index].latest_start_ns;
        plan->resume_order = r->candidates[index].order;
    }
}

/* Keeps what gangs claim, for the log. */
static void
record_headroom(const struct plan_round *r)
{
    struct plan *plan = r->plan;

    plan->claimed = (struct flow_size){0};
    plan->free = (struct flow_size){0};
    for (size_t i = 0; i < r->service_count; i++) {
        plan->claimed = size_add(plan->claimed, r->headroom[i].claimed);
        plan->free = size_add(plan->free, r->headroom[i].free);
    }
}

void
plan_make(struct flow_state *s, int64_t now, const struct plan_limits *limits,
          struct plan *plan)
{
    struct plan_round r = {
        .state = s, .plan = plan, .limits = limits, .now_ns = now};
    size_t resume;
    size_t next;

    plan->start_count = 0;
    plan->approval_request_count = 0;
    plan->waiting_count = 0;
    plan->reconsider_ns = INT64_MAX;
    plan->yielded = 0;
    round_collect_candidates(&r);
    round_find_best_effort(&r);
    r.options = mem_alloc((r.view_count + 1) * sizeof(*r.options));
    resume = plan->incomplete ? find_resume_index(&r) : 0;
    /* An incomplete round leaves half of the next one to the candidates that
     * it has not tried. */
    next = place_candidates(&r, 0,
                            resume > 0 ? limits->visits / 2 : limits->visits);
    next = place_candidates(&r, next < resume ? resume : next, limits->visits);
    record_resume_point(&r, next);
    sort_approval_requests(plan, now);
    record_headroom(&r);
    round_destroy(&r);
}

void
plan_free(struct plan *plan)
{
    mem_free(plan->starts);
    mem_free(plan->approval_requests);
    mem_free(plan->waiting);
    *plan = (struct plan){0};
}
