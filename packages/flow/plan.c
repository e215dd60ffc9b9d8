#include "plan.h"

#include <string.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

/* Weights of choose(): a slower worker costs its share of the run time, an
 * emptier one breaks up room that a larger task could use. */
static const double COST_SLOW = 1.0;
static const double COST_EMPTY = 0.5;
static const double COST_FAR = 2.0;      /* the data is on another rack */
static const double COST_FAILED = 4.0;   /* the task has failed there */
static const double COST_RESERVED = 1.0; /* room is kept there for a gang */

enum {
    /* Shorter waits are a matter of course and have no reason. */
    WAIT_NOTED_MS = 1000,
    WAIT_REPEATED_MS = 2000,
};

struct plan_worker *
plan_worker(const struct flow_worker *w)
{
    return w->session;
}

static uint32_t
placed_on(const struct flow_step *step, uint32_t worker)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < step->count; i++) {
        n += step->tasks[i].assigned && step->tasks[i].worker == worker;
    }
    return n;
}

static bool
below(uint64_t limit, uint64_t used)
{
    return limit == 0 || used <= limit;
}

static bool
team_allows(const struct flow_team *team, struct flow_size planned,
            struct flow_size size)
{
    const struct flow_size *l = &team->limit;
    struct flow_size sum = size_add(size_add(team->used, planned), size);

    return below(l->cpu_milli, sum.cpu_milli) &&
           below(l->memory_mib, sum.memory_mib) &&
           below(l->accelerators, sum.accelerators);
}

/* What this round has given to the team or keeps for its gangs so far. */
static struct flow_size
team_planned(const struct round *r, const struct flow_team *team)
{
    const struct plan *plan = r->plan;
    struct flow_size sum = {0};

    for (size_t i = 0; i < r->hold_count; i++) {
        if (r->holds[i].team == team) {
            sum = size_add(sum, r->holds[i].size);
        }
    }
    for (size_t i = 0; i < plan->start_count; i++) {
        if (plan->starts[i].job->team == team) {
            sum = size_add(sum, flow_step_size(plan->starts[i].step));
        }
    }
    return sum;
}

/* A worker that could take tasks of the candidate when it was looked at. */
struct slot {
    struct view *view;
    int64_t ends;    /* a task that starts now */
    double cost;     /* without what changes from task to task */
    uint32_t placed; /* tasks of the step there */
};

static bool
allowed(const struct round *r, const struct candidate *c, const struct view *v)
{
    return size_fits(step_takes(c->step), view_free(v)) &&
           view_suits(r, v, c) &&
           (!c->job->queue->needs_approval ||
            ticket_valid(v->verdict, r->now));
}

static size_t
collect_slots(struct round *r, const struct candidate *c, struct slot *slots)
{
    const struct flow_step *step = c->step;
    size_t n = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        struct view *v = &r->views[i];

        if (c->job->queue->needs_approval && v->verdict == NULL) {
            continue;
        }
        if (!allowed(r, c, v)) {
            continue;
        }
        slots[n].view = v;
        slots[n].ends = expected_end(r, c, v);
        slots[n].cost = COST_SLOW / v->speed;
        slots[n].placed = step->spec->per_worker_max == 0
                              ? 0
                              : placed_on(step, v->worker->number);
        if (step->spec->data_rack[0] != '\0' &&
            !str_eq(v->worker->rack, str_of(step->spec->data_rack))) {
            slots[n].cost += COST_FAR;
        }
        if (v->reserved_from != 0 && slots[n].ends > v->reserved_from) {
            slots[n].cost += COST_RESERVED;
        }
        n++;
    }
    return n;
}

static double
cost(const struct slot *s, const struct flow_task *t)
{
    const struct view *v = s->view;
    double left = 1;
    double result;

    if (v->worker->capacity.cpu_milli > 0) {
        left = 1 - (double)v->taken.cpu_milli /
                       (double)v->worker->capacity.cpu_milli;
    }
    result = s->cost + COST_EMPTY * left;
    return t->failed_on == v->worker->number ? result + COST_FAILED : result;
}

static struct slot *
choose(const struct candidate *c, struct slot *slots, size_t count,
       const struct flow_task *t, struct str rack)
{
    struct flow_size size = step_takes(c->step);
    uint32_t most = c->step->spec->per_worker_max;
    struct slot *best = NULL;
    double best_cost = 0;

    for (size_t i = 0; i < count; i++) {
        struct slot *s = &slots[i];
        double this_cost;

        if (!size_fits(size, view_free(s->view)) ||
            (most != 0 && s->placed >= most) ||
            (rack.len > 0 && !str_eq(s->view->worker->rack, rack)) ||
            !view_unreserved(s->view, size, c->priority, s->ends)) {
            continue;
        }
        this_cost = cost(s, t);
        if (best == NULL || this_cost < best_cost) {
            best = s;
            best_cost = this_cost;
        }
    }
    return best;
}

static void
add_start(struct round *r, const struct candidate *c, uint32_t index,
          uint32_t run, struct view *v)
{
    struct plan *plan = r->plan;
    struct flow_size size = step_takes(c->step);
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
    v->taken = size_add(v->taken, size);
    v->best_effort += c->step->spec->best_effort;
    v->serving += c->step->spec->tail_target_ms > 0;
    if (v->reserved_from != 0 && expected_end(r, c, v) > v->reserved_from) {
        v->spare = size_less(v->spare, size);
    }
}

static void
undo_starts(struct round *r, size_t keep)
{
    while (r->plan->start_count > keep) {
        struct plan_start *start = &r->plan->starts[--r->plan->start_count];
        struct view *v = &r->views[plan_worker(start->worker)->slot];

        v->taken = size_less(v->taken, step_takes(start->step));
        v->best_effort -= start->step->spec->best_effort;
        v->serving -= start->step->spec->tail_target_ms > 0;
    }
}

/* Starts waiting tasks on these workers; returns how many found none. A team
 * at its limit leaves none unplaced: more room would not help. */
static uint32_t
place_on(struct round *r, const struct candidate *c, uint32_t run,
         struct str rack, bool *limited, struct slot *slots, size_t count)
{
    struct flow_size planned = team_planned(r, c->job->team);
    struct flow_size size = flow_step_size(c->step);
    uint32_t missing = 0;

    for (uint32_t i = 0; i < c->step->count; i++) {
        struct flow_task *t = &c->step->tasks[i];
        struct slot *s;

        if (t->done || t->assigned) {
            continue;
        }
        if (!team_allows(c->job->team, planned, size)) {
            *limited = true;
            return missing;
        }
        s = missing > 0 ? NULL : choose(c, slots, count, t, rack);
        if (s == NULL) {
            missing++;
            continue;
        }
        add_start(r, c, i, run != 0 ? run : t->run + 1, s->view);
        s->placed++;
        planned = size_add(planned, size);
    }
    return missing;
}

static uint32_t
place_tasks(struct round *r, const struct candidate *c, uint32_t run,
            struct str rack, bool *limited)
{
    struct slot *slots = mem_alloc((r->view_count + 1) * sizeof(*slots));
    size_t count = collect_slots(r, c, slots);
    uint32_t missing = place_on(r, c, run, rack, limited, slots, count);

    mem_free(slots);
    return missing;
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

/* Tries each rack for a gang whose tasks slow down across racks. */
static bool
place_in_one_rack(struct round *r, const struct candidate *c, uint32_t run)
{
    size_t keep = r->plan->start_count;

    for (size_t i = 0; i < r->view_count; i++) {
        bool limited = false;

        if (place_tasks(r, c, run, r->views[i].worker->rack, &limited) == 0 &&
            !limited) {
            return true;
        }
        undo_starts(r, keep);
    }
    return false;
}

/* All members of a gang start together with the same run number. */
static uint32_t
place_gang(struct round *r, const struct candidate *c, bool *limited)
{
    size_t keep = r->plan->start_count;
    uint32_t run = next_gang_run(c->step);
    uint32_t missing;

    if (c->step->spec->one_rack && place_in_one_rack(r, c, run)) {
        return 0;
    }
    missing = place_tasks(r, c, run, str_from(NULL, 0), limited);
    if (missing > 0 || *limited) {
        undo_starts(r, keep);
    }
    return missing;
}

/*
 * A gang that its team's limit keeps out would wait for as long as smaller
 * work of the team takes each piece that becomes free below the limit. What
 * the gang needs is kept from candidates that come after it.
 */
static void
hold_team(struct round *r, const struct candidate *c)
{
    const struct flow_team *team = c->job->team;
    struct flow_size size = flow_step_size(c->step);
    struct flow_size whole = {size.cpu_milli * c->step->count,
                              size.memory_mib * c->step->count,
                              size.accelerators * c->step->count};

    if (!below(team->limit.cpu_milli, whole.cpu_milli) ||
        !below(team->limit.memory_mib, whole.memory_mib) ||
        !below(team->limit.accelerators, whole.accelerators)) {
        return;
    }
    if (r->hold_count == r->hold_cap) {
        r->hold_cap = r->hold_cap * 2 + 8;
        r->holds = mem_realloc(r->holds, r->hold_cap, sizeof(*r->holds));
    }
    r->holds[r->hold_count++] = (struct team_hold){team, whole};
}

/* Whether a worker without a valid ticket has room for a task now. */
static bool
room_unapproved(const struct round *r, const struct candidate *c)
{
    struct flow_size size = step_takes(c->step);

    for (size_t i = 0; i < r->view_count; i++) {
        const struct view *v = &r->views[i];

        if ((v->verdict == NULL || v->verdict->approved) &&
            !ticket_valid(v->verdict, r->now) && view_suits(r, v, c) &&
            size_fits(size, view_free(v))) {
            return true;
        }
    }
    return false;
}

static void
note_waiting(struct round *r, const struct candidate *c, bool limited,
             uint32_t missing, int64_t fits)
{
    const struct flow_approval *a = c->step->approval;
    struct plan_waiting *out;
    struct plan *plan = r->plan;
    enum plan_wait reason = limited        ? PLAN_WAIT_TEAM_LIMIT
                            : missing == 0 ? PLAN_WAIT_NONE
                                           : PLAN_WAIT_ROOM;

    if (r->now - c->job->seen_at < WAIT_NOTED_MS * NS_PER_MS) {
        return;
    }
    if (reason == PLAN_WAIT_ROOM && c->job->queue->needs_approval &&
        room_unapproved(r, c)) {
        reason = PLAN_WAIT_APPROVAL;
    }
    if (reason == c->step->wait_reason &&
        (reason == PLAN_WAIT_NONE ||
         r->now - c->step->wait_noted_at < WAIT_REPEATED_MS * NS_PER_MS)) {
        return;
    }
    c->step->wait_reason = (uint8_t)reason;
    c->step->wait_noted_at = r->now;
    if (plan->waiting_count == plan->waiting_cap) {
        plan->waiting_cap = plan->waiting_cap * 2 + 32;
        plan->waiting = mem_realloc(plan->waiting, plan->waiting_cap,
                                    sizeof(*plan->waiting));
    }
    out = &plan->waiting[plan->waiting_count++];
    *out = (struct plan_waiting){.job = c->job,
                                 .occurrence =
                                     &c->job->occurrences[c->occurrence],
                                 .step = c->step,
                                 .reason = reason,
                                 .missing = missing,
                                 .fits = fits,
                                 .lateness = c->rank};
    for (size_t i = 0; a != NULL && i < a->count; i++) {
        out->approved += a->verdicts[i].approved;
    }
}

static void
place(struct round *r, const struct candidate *c)
{
    bool limited = false;
    int64_t fits = INT64_MAX;
    uint32_t missing;

    bind_verdicts(r, c, true);
    if (!c->step->spec->gang) {
        missing = place_tasks(r, c, 0, str_from(NULL, 0), &limited);
    }
    else {
        missing = place_gang(r, c, &limited);
        if (missing > 0 && !limited) {
            fits = reserve_gang(r, c);
        }
        if (limited && c->rank == 0) {
            hold_team(r, c);
        }
    }
    if (missing > 0 && !limited && c->job->queue->needs_approval) {
        ask_approval(r, c, missing, fits);
    }
    note_waiting(r, c, limited, missing, fits);
    bind_verdicts(r, c, false);
}

static void
round_free(struct round *r)
{
    for (size_t i = 0; i < r->view_count; i++) {
        mem_free(r->views[i].releases);
    }
    mem_free(r->views);
    mem_free(r->candidates);
    mem_free(r->holds);
}

void
plan_make(struct flow_state *s, int64_t now, const struct plan_limits *limits,
          struct plan *plan)
{
    struct round r = {.state = s, .plan = plan, .limits = limits, .now = now};

    plan->start_count = 0;
    plan->ask_count = 0;
    plan->waiting_count = 0;
    round_collect(&r);
    for (size_t i = 0;
         i < r.candidate_count && plan->start_count < limits->starts; i++) {
        place(&r, &r.candidates[i]);
    }
    round_free(&r);
}

void
plan_free(struct plan *plan)
{
    mem_free(plan->starts);
    mem_free(plan->asks);
    mem_free(plan->waiting);
    *plan = (struct plan){0};
}
