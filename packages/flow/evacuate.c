/*
 * The runs in evacuated failure domains.
 */
#include "evacuate.h"

#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* Worker views that are looked at for the room of waiting work. Beyond,
     * the backlog is taken to need all room. */
    VISITS_MAX = 30000,
};

/* The order in which runs are moved. */
enum run_class {
    CLASS_LASTING,
    CLASS_CHECKPOINTED,
    CLASS_BEST_EFFORT,
};

/* A task in an evacuated domain that may be moved, or a gang with one. */
struct evacuee {
    struct flow_job *job;
    struct flow_occurrence *occurrence;
    struct flow_step *step;
    uint32_t index; /* of the task; of a gang: of the first one there */
    enum run_class class;
    int64_t remaining_ms;
    size_t order; /* of collection, breaks ties */
};

struct evacuation_round {
    struct plan_round workers; /* room elsewhere, and steps that wait */
    const struct evacuate_limits *limits;
    struct evacuate_plan *plan;
    struct evacuee *evacuees;
    size_t evacuee_count;
    size_t evacuee_cap;
};

static bool
is_confirmed(const struct flow_task *t)
{
    return t->assigned && t->confirmed_run == t->run;
}

static bool
is_at_work(const struct flow_task *t)
{
    return is_confirmed(t) && t->moved_run != t->run;
}

static bool
is_evacuated(const struct flow_state *s, const struct flow_task *t)
{
    const struct flow_worker *w = flow_worker(s, t->worker);

    return w != NULL && w->evacuated;
}

/* Returns the expected remaining time of a run, 0 if it is overdue. */
static int64_t
remaining_ms(const struct evacuation_round *r, const struct flow_job *j,
             const struct flow_step *step, const struct flow_task *t)
{
    const struct flow_worker *w = flow_worker(r->workers.state, t->worker);
    int64_t now_ns = r->workers.now_ns;
    double speed =
        plan_worker(w) == NULL ? 1 : plan_speed(plan_worker(w), now_ns);
    int64_t elapsed_ms =
        t->run_started_ns == 0 ? 0 : (now_ns - t->run_started_ns) / NS_PER_MS;
    int64_t left_ms = (int64_t)plan_run_ms(j, step, speed) - elapsed_ms;

    return left_ms > 0 ? left_ms : 0;
}

static bool
is_whole_gang(const struct flow_step *step,
              bool (*test)(const struct flow_task *))
{
    for (uint32_t i = 0; i < step->count; i++) {
        if (!test(&step->tasks[i])) {
            return false;
        }
    }
    return true;
}

/* Returns why the run is not to be moved whatever the room elsewhere, or
 * EVACUATE_MOVE. */
static enum evacuate_verdict
judge_run(const struct evacuation_round *r, const struct evacuee *e)
{
    const struct flow_step *step = e->step;
    const struct flow_task *t = &step->tasks[e->index];

    if (step->spec->gang ? !is_whole_gang(step, is_confirmed)
                         : !is_confirmed(t)) {
        return EVACUATE_UNCONFIRMED;
    }
    if (step->spec->gang ? !is_whole_gang(step, is_at_work) : !is_at_work(t)) {
        return EVACUATE_MOVING;
    }
    if (step->spec->endless) {
        return step->spec->disruption_budget == 0 || step->spec->gang
                   ? EVACUATE_BUDGET
                   : EVACUATE_MOVE;
    }
    if (!step->spec->checkpoints) {
        return EVACUATE_WOULD_LOSE;
    }
    return e->remaining_ms <= r->limits->short_ms ? EVACUATE_ENDS_SOON
                                                  : EVACUATE_MOVE;
}

/* Returns whether an earlier task of the gang is in an evacuated domain too,
 * so that the gang is decided on already. */
static bool
is_gang_collected(const struct flow_state *s, const struct flow_step *step,
                  uint32_t index)
{
    for (uint32_t i = 0; step->spec->gang && i < index; i++) {
        if (step->tasks[i].assigned && is_evacuated(s, &step->tasks[i])) {
            return true;
        }
    }
    return false;
}

static void
collect_evacuee(void *arg, struct flow_job *j, struct flow_occurrence *o,
                struct flow_step *step, uint32_t index)
{
    struct evacuation_round *r = arg;
    const struct flow_task *t = &step->tasks[index];
    struct evacuee e = {.job = j,
                        .occurrence = o,
                        .step = step,
                        .index = index,
                        .order = r->evacuee_count};
    enum evacuate_verdict verdict;

    if (!is_evacuated(r->workers.state, t) ||
        is_gang_collected(r->workers.state, step, index)) {
        return;
    }
    e.class = step->spec->best_effort ? CLASS_BEST_EFFORT
              : step->spec->endless   ? CLASS_LASTING
                                      : CLASS_CHECKPOINTED;
    e.remaining_ms = remaining_ms(r, j, step, t);
    verdict = judge_run(r, &e);
    if (verdict != EVACUATE_MOVE) {
        r->plan->verdicts[verdict]++;
        return;
    }
    if (r->evacuee_count == r->evacuee_cap) {
        r->evacuee_cap = r->evacuee_cap * 2 + 32;
        r->evacuees =
            mem_realloc(r->evacuees, r->evacuee_cap, sizeof(*r->evacuees));
    }
    r->evacuees[r->evacuee_count++] = e;
}

static int
compare_evacuees(const void *a, const void *b)
{
    const struct evacuee *x = a;
    const struct evacuee *y = b;

    if (x->class != y->class) {
        return x->class < y->class ? -1 : 1;
    }
    if (x->remaining_ms != y->remaining_ms) {
        return x->remaining_ms > y->remaining_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

static bool
is_below_worker_limit(const struct flow_step *step, uint32_t worker)
{
    uint32_t count = 0;

    if (step->spec->per_worker_max == 0) {
        return true;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        count += step->tasks[i].assigned && step->tasks[i].worker == worker;
    }
    return count < step->spec->per_worker_max;
}

/* Takes room for count tasks of the candidate on workers that may run it.
 * Returns false, and takes a part of it, if there is not enough. */
static bool
take_room(struct plan_round *r, const struct candidate *c, uint32_t count,
          bool approved)
{
    for (size_t i = 0; count > 0 && i < r->view_count; i++) {
        struct worker_view *v = r->all[i];

        r->visits++;
        if (!view_can_run(v, c) ||
            !is_below_worker_limit(c->step, v->worker->number) ||
            (approved && (v->verdict == NULL || !v->verdict->approved))) {
            continue;
        }
        while (count > 0 && size_fits(c->demand, view_available(v))) {
            v->committed = size_add(v->committed, c->demand);
            count--;
            if (c->step->spec->per_worker_max != 0) {
                break;
            }
        }
    }
    return count == 0;
}

static struct candidate
make_candidate(const struct plan_round *r, const struct evacuee *e)
{
    return (struct candidate){
        .job = e->job,
        .step = e->step,
        .service = round_find_service(r, e->job->queue->service),
        .size = flow_step_size(e->step),
        .demand = step_demand(e->step)};
}

/* Takes the room that waiting steps need. Returns false if there is less. */
static bool
take_waiting_room(struct plan_round *r)
{
    for (size_t i = 0; i < r->candidate_count; i++) {
        const struct flow_step *step = r->candidates[i].step;

        if (r->visits > VISITS_MAX ||
            !take_room(r, &r->candidates[i],
                       step->count - step->done - step->assigned, false)) {
            return false;
        }
    }
    return true;
}

/* Takes the room that the runs need which are being moved. */
static void
take_moving_room(void *arg, struct flow_job *j, struct flow_occurrence *o,
                 struct flow_step *step, uint32_t index)
{
    struct plan_round *r = arg;
    const struct flow_task *t = &step->tasks[index];
    const struct evacuee e = {.job = j, .occurrence = o, .step = step};
    struct candidate c;

    if (t->moved_run == t->run && t->moved_run != 0) {
        c = make_candidate(r, &e);
        take_room(r, &c, 1, false);
    }
}

/* Returns whether other work waits for the limit of the team, and would get
 * what the stopped run leaves of it. */
static bool
is_team_contended(const struct plan_round *r, const struct flow_team *team)
{
    if (team->limit.cpu_milli == 0 && team->limit.memory_mib == 0 &&
        team->limit.accelerators == 0) {
        return false;
    }
    for (size_t i = 0; i < r->candidate_count; i++) {
        if (r->candidates[i].job->team == team) {
            return true;
        }
    }
    return false;
}

static bool
is_within_budget(const struct flow_step *step)
{
    uint32_t away = 0;

    for (uint32_t i = 0; i < step->count; i++) {
        away += !is_at_work(&step->tasks[i]);
    }
    return !step->spec->endless || away < step->spec->disruption_budget;
}

static bool
find_room(struct plan_round *r, const struct evacuee *e)
{
    struct candidate c = make_candidate(r, e);
    bool needs_approval = e->job->queue->needs_approval;
    bool found;

    if (is_team_contended(r, e->job->team)) {
        return false;
    }
    if (needs_approval) {
        set_view_verdicts(r, &c, true);
    }
    found = take_room(r, &c, e->step->spec->gang ? e->step->count : 1,
                      needs_approval);
    if (needs_approval) {
        set_view_verdicts(r, &c, false);
    }
    return found;
}

static void
add_move(struct evacuate_plan *plan, const struct evacuee *e, uint32_t index)
{
    if (plan->move_count == plan->move_cap) {
        plan->move_cap = plan->move_cap * 2 + 32;
        plan->moves =
            mem_realloc(plan->moves, plan->move_cap, sizeof(*plan->moves));
    }
    plan->moves[plan->move_count++] =
        (struct evacuate_move){e->job, e->occurrence, e->step, index};
    e->step->tasks[index].moved_run = e->step->tasks[index].run;
}

/* Adds the run, or those of the gang that are in evacuated domains: the others
 * are stopped when these have ended. */
static void
move(struct evacuation_round *r, const struct evacuee *e)
{
    if (!e->step->spec->gang) {
        add_move(r->plan, e, e->index);
        return;
    }
    for (uint32_t i = 0; i < e->step->count; i++) {
        if (is_evacuated(r->workers.state, &e->step->tasks[i])) {
            add_move(r->plan, e, i);
        }
    }
}

static void
decide(struct evacuation_round *r)
{
    bool room = take_waiting_room(&r->workers);

    flow_visit_assigned(r->workers.state, 0, take_moving_room, &r->workers);
    for (size_t i = 0; i < r->evacuee_count; i++) {
        const struct evacuee *e = &r->evacuees[i];
        enum evacuate_verdict verdict = EVACUATE_MOVE;

        if (!is_within_budget(e->step)) {
            verdict = EVACUATE_BUDGET;
        }
        else if (!room || r->plan->move_count >= r->limits->moves ||
                 !find_room(&r->workers, e)) {
            verdict = EVACUATE_NO_ROOM;
        }
        else {
            move(r, e);
        }
        r->plan->verdicts[verdict]++;
    }
}

void
evacuate_make(struct flow_state *s, int64_t now_ns,
              const struct evacuate_limits *limits, struct evacuate_plan *plan)
{
    /* Nothing is placed in this round. */
    static const struct plan_limits no_limits = {0};
    struct evacuation_round r = {
        .workers = {.state = s, .now_ns = now_ns, .limits = &no_limits},
        .limits = limits,
        .plan = plan};

    plan->move_count = 0;
    for (size_t i = 0; i < EVACUATE_VERDICTS; i++) {
        plan->verdicts[i] = 0;
    }
    flow_visit_assigned(s, 0, collect_evacuee, &r);
    if (r.evacuee_count > 0) {
        qsort(r.evacuees, r.evacuee_count, sizeof(*r.evacuees),
              compare_evacuees);
        round_collect_candidates(&r.workers);
        decide(&r);
        round_destroy(&r.workers);
    }
    mem_free(r.evacuees);
}

void
evacuate_plan_free(struct evacuate_plan *plan)
{
    mem_free(plan->moves);
    *plan = (struct evacuate_plan){0};
}
