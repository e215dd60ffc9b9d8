/*
 * The data of a planning round: the workers, and the steps that have tasks to
 * start, in the order in which they are tried.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* No assigned task is expected to end sooner than this. */
    REMAINING_MIN_MS = 200,
    /* A task past its expected end is expected to run for this further share
     * of its expected run time. */
    OVERDUE_PERCENT = 30,
    /* Interval of the rounds while a worker warms up. */
    WARMING_STEP_MS = 500,
    /* How long what is kept for gangs holds up a job of which nothing runs,
     * while its team and the service use less than half of what they may. */
    HELD_UP_MAX_MS = 2000,
};

/* Returns the estimated time of the longest path that begins with the step.
 * path_ms[i] must hold that time for each later step i. */
static int64_t
critical_path_from_ms(const struct flow_job *j, size_t step,
                      const int64_t *path_ms)
{
    int64_t longest = 0;

    for (size_t i = step + 1; i < j->spec->n_steps; i++) {
        for (size_t k = 0; k < j->spec->steps[i]->n_after; k++) {
            if (j->spec->steps[i]->after[k] == step && path_ms[i] > longest) {
                longest = path_ms[i];
            }
        }
    }
    return longest + j->spec->steps[step]->estimate_ms +
           (j->queue->needs_approval
                ? plan_approval_ms(j->queue, PLAN_OBJECTIVE_WORKERS)
                : 0);
}

/* Fills out[i] for each step and returns the length of the critical path.
 * Steps depend only on earlier ones, so the last step is computed first. */
static int64_t
compute_critical_paths_ms(const struct flow_job *j, int64_t *out)
{
    int64_t longest = 0;

    for (size_t i = j->spec->n_steps; i-- > 0;) {
        out[i] = critical_path_from_ms(j, i, out);
        longest = out[i] > longest ? out[i] : longest;
    }
    return longest;
}

static int64_t
compute_objective_ms(const struct flow_job *j, int64_t critical_path_ms)
{
    return (int64_t)((double)critical_path_ms * j->queue->stretch) +
           j->queue->latency_target_ms;
}

/* Returns whether a task of the step could start. A gang starts whole, so its
 * tasks wait only while none of them is assigned. */
static bool
has_waiting_task(const struct flow_step *step)
{
    if (step->spec->gang) {
        return step->assigned == 0 && step->done == 0;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        if (!step->tasks[i].done && !step->tasks[i].assigned) {
            return true;
        }
    }
    return false;
}

static bool
is_under_half(uint64_t used, uint64_t limit)
{
    return limit == 0 || used < limit - limit / 2;
}

/* Reports whether the team and the service use less than half of what they
 * may. */
static bool
is_load_low(const struct plan_round *r, const struct candidate *c)
{
    const struct flow_team *team = c->job->team;
    struct flow_size all;
    struct flow_size used;

    if (c->service == SERVICE_NONE) {
        return false;
    }
    all = r->headroom[c->service].capacity;
    used = size_subtract(all, r->headroom[c->service].free);
    return is_under_half(used.cpu_milli, all.cpu_milli) &&
           is_under_half(used.memory_mib, all.memory_mib) &&
           is_under_half(used.accelerators, all.accelerators) &&
           is_under_half(team->used.cpu_milli, team->limit.cpu_milli) &&
           is_under_half(team->used.memory_mib, team->limit.memory_mib) &&
           is_under_half(team->used.accelerators, team->limit.accelerators);
}

/* Gangs that keep others waiting on a half empty fleet need so much that they
 * may wait for long. */
int64_t
presses_at_ns(const struct candidate *c)
{
    if (c->job->assigned > 0 && !c->step->spec->endless) {
        return INT64_MAX;
    }
    return c->step->waits_since_ns + HELD_UP_MAX_MS * NS_PER_MS;
}

static void
add_candidate(struct plan_round *r, struct flow_job *j, size_t occurrence,
              size_t step, const int64_t *path_ms, int64_t objective_ms)
{
    const struct urgency_times times = {
        .arrived_ns = j->arrived_ns,
        .latest_start_ns =
            j->arrived_ns + (objective_ms - path_ms[step]) * NS_PER_MS,
        .objective_ns = objective_ms * NS_PER_MS};
    struct candidate *c;

    if (r->candidate_count == r->candidate_cap) {
        r->candidate_cap = r->candidate_cap * 2 + 64;
        r->candidates = mem_realloc(r->candidates, r->candidate_cap,
                                    sizeof(*r->candidates));
    }
    c = &r->candidates[r->candidate_count];
    c->job = j;
    c->occurrence = occurrence;
    c->step = &j->occurrences[occurrence].steps[step];
    c->priority = j->queue->priority;
    c->service = round_find_service(r, j->queue->service);
    c->size = flow_step_size(c->step);
    c->demand = step_demand(c->step);
    c->latest_start_ns = times.latest_start_ns;
    c->lateness = urgency_of(&times, r->now_ns);
    c->yields = urgency_yields(&times, r->now_ns);
    c->objective_ns = times.objective_ns;
    if (c->step->waits_since_ns == 0) {
        c->step->waits_since_ns = r->now_ns;
    }
    c->pressing = r->now_ns >= presses_at_ns(c) && is_load_low(r, c);
    c->class = urgency_class(c->lateness, c->priority);
    c->order = r->candidate_count++;
}

/* Whether tasks of the step wait that nothing but the planner holds up. */
static bool
is_candidate(const struct flow_occurrence *o, const struct flow_step *step)
{
    return step->done + step->assigned < step->count &&
           has_waiting_task(step) && flow_step_is_ready(o, step);
}

/* Makes room for the critical paths of a job of so many steps. */
static void
reserve_paths(struct plan_round *r, size_t steps)
{
    if (steps > r->path_cap) {
        r->path_cap = steps;
        r->path_ms = mem_realloc(r->path_ms, steps, sizeof(*r->path_ms));
    }
}

/* Adds the job's steps that wait. The critical paths of a job without any are
 * not computed: most live jobs are running. */
static void
collect_job(struct plan_round *r, struct flow_job *j)
{
    bool has_objective = false;
    int64_t objective_ms = 0;

    for (size_t i = 0; i < j->occurrence_count; i++) {
        struct flow_occurrence *o = &j->occurrences[i];

        for (size_t k = 0; k < j->spec->n_steps; k++) {
            if (!is_candidate(o, &o->steps[k])) {
                continue;
            }
            if (!has_objective) {
                reserve_paths(r, j->spec->n_steps);
                objective_ms = compute_objective_ms(
                    j, compute_critical_paths_ms(j, r->path_ms));
                has_objective = true;
            }
            add_candidate(r, j, i, k, r->path_ms, objective_ms);
        }
    }
}

int
candidate_compare(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;
    if (x->class != y->class) {
        return x->class < y->class ? -1 : 1;
    }
    if (x->latest_start_ns != y->latest_start_ns) {
        return x->latest_start_ns < y->latest_start_ns ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

uint32_t
round_find_service(const struct plan_round *r, struct str service)
{
    for (uint32_t i = 0; i < r->service_count; i++) {
        if (str_eq(r->services[i], service)) {
            return i;
        }
    }
    return SERVICE_NONE;
}

/* Returns the index of a worker's service, which it adds if it is new. */
static uint32_t
intern_service(struct plan_round *r, struct str service)
{
    uint32_t at = round_find_service(r, service);

    if (at == SERVICE_NONE) {
        at = r->service_count++;
        r->services =
            mem_realloc(r->services, r->service_count, sizeof(*r->services));
        r->services[at] = service;
        r->headroom =
            mem_realloc(r->headroom, r->service_count, sizeof(*r->headroom));
        r->headroom[at] = (struct headroom){0};
    }
    return at;
}

static uint32_t
count_tasks_left(const struct plan_round *r, const struct flow_worker *w)
{
    uint32_t max = r->limits->tasks_per_worker;

    if (max == 0) {
        return UINT32_MAX;
    }
    return w->tasks < max ? max - w->tasks : 0;
}

/* Notes when the worker takes tasks again, or more of them. */
static void
note_worker_times(struct plan_round *r, const struct worker_view *v)
{
    const struct plan_worker *p = plan_worker(v->worker);

    if (p->avoid_until_ns > r->now_ns) {
        round_reconsider_at(r, p->avoid_until_ns);
    }
    if (v->speed < WORKER_SPEED_MIN) {
        round_reconsider_at(
            r, plan_speed_reached_ns(p, WORKER_SPEED_MIN, r->now_ns));
    }
    if (p->warm_at_ns > r->now_ns) {
        int64_t next_ns = r->now_ns + WARMING_STEP_MS * NS_PER_MS;

        round_reconsider_at(r,
                            next_ns < p->warm_at_ns ? next_ns : p->warm_at_ns);
    }
}

static void
collect_workers(struct plan_round *r)
{
    size_t count = flow_worker_count(r->state) + 1;
    struct flow_worker *w;
    void *cursor = NULL;

    r->views = mem_alloc(count * sizeof(*r->views));
    r->all = mem_alloc(count * sizeof(struct worker_view *));
    r->approved = mem_alloc(count * sizeof(struct worker_view *));
    while ((w = flow_worker_next(r->state, &cursor)) != NULL) {
        struct worker_view *v = &r->views[r->view_count];

        if (plan_worker(w) == NULL) {
            continue;
        }
        *v = (struct worker_view){.worker = w};
        v->speed = plan_speed(plan_worker(w), r->now_ns);
        v->committed = w->used;
        if (plan_worker(w)->warm_at_ns > r->now_ns) {
            v->committed = size_add(v->committed, view_withheld(r, v));
        }
        v->serving = w->serving;
        v->best_effort = w->best_effort;
        v->tasks_left = count_tasks_left(r, w);
        v->service = intern_service(r, w->service);
        v->runnable = view_is_runnable(r, v);
        if (v->runnable) {
            r->free_max = size_max(r->free_max, view_available(v));
            headroom_add_worker(&r->headroom[v->service], w->capacity,
                                view_available(v));
        }
        note_worker_times(r, v);
        r->all[r->view_count] = v;
        plan_worker(w)->view_index = r->view_count++;
    }
}

static void
add_team_release(struct plan_round *r, const struct flow_team *team,
                 struct expected_release release)
{
    if (r->team_release_count == r->team_release_cap) {
        r->team_release_cap = r->team_release_cap * 2 + 64;
        r->team_releases = mem_realloc(r->team_releases, r->team_release_cap,
                                       sizeof(*r->team_releases));
    }
    r->team_releases[r->team_release_count++] =
        (struct team_release){team, release};
}

/* Adds the expected end of an assigned task to its worker's view and to its
 * team. */
static void
collect_release(void *arg, struct flow_job *j, struct flow_occurrence *o,
                struct flow_step *step, uint32_t index)
{
    struct plan_round *r = arg;
    const struct flow_task *t = &step->tasks[index];
    struct flow_worker *w = flow_worker(r->state, t->worker);
    struct worker_view *v;
    int64_t run_ns;
    int64_t end_ns;

    (void)o;
    if (w == NULL || plan_worker(w) == NULL) {
        return;
    }
    v = &r->views[plan_worker(w)->view_index];
    if (v->release_count == v->release_cap) {
        v->release_cap = v->release_cap * 2 + 16;
        v->releases =
            mem_realloc(v->releases, v->release_cap, sizeof(*v->releases));
    }
    run_ns = (int64_t)(plan_run_ms(j, step, v->speed) * (double)NS_PER_MS);
    end_ns = (t->run_started_ns != 0 ? t->run_started_ns : r->now_ns) + run_ns;
    if (end_ns < r->now_ns) {
        end_ns = r->now_ns + run_ns * OVERDUE_PERCENT / 100;
    }
    if (end_ns < r->now_ns + REMAINING_MIN_MS * NS_PER_MS) {
        end_ns = r->now_ns + REMAINING_MIN_MS * NS_PER_MS;
    }
    if (step->spec->endless) {
        end_ns = INT64_MAX;
    }
    v->releases[v->release_count++] =
        (struct expected_release){end_ns, step_demand(step)};
    add_team_release(r, j->team,
                     (struct expected_release){end_ns, flow_step_size(step)});
}

void
round_collect_releases(struct plan_round *r)
{
    if (!r->releases_collected) {
        r->releases_collected = true;
        r->visits += r->view_count;
        flow_visit_assigned(r->state, 0, collect_release, r);
    }
}

void
round_collect_candidates(struct plan_round *r)
{
    collect_workers(r);
    r->candidate_cap = flow_live_count(r->state) + 1;
    r->candidates = mem_alloc(r->candidate_cap * sizeof(*r->candidates));
    for (struct flow_job *j = flow_first_live(r->state); j != NULL;
         j = j->next) {
        if (j->state <= FLOW_JOB_RUNNING) {
            collect_job(r, j);
        }
    }
    if (r->candidate_count == 0) {
        return;
    }
    qsort(r->candidates, r->candidate_count, sizeof(*r->candidates),
          candidate_compare);
}
