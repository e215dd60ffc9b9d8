#include "plan.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"

enum {
    /* From a decision to the worker's check of the ticket: the commit, the
     * call and their queues. */
    TICKET_MARGIN_MS = 120,
    /* Workers named in the first call for a step, at least. */
    ASK_MIN = 12,
    /* Named for each worker that the step needs: services approve between a
     * third and most of the workers. */
    ASK_FACTOR = 4,
    /* A job this many times later than its objective earns nothing more. */
    LATE_FACTOR = 3,
};

/* A step with tasks to start, and the order in which it is tried. */
struct candidate {
    struct flow_job *job;
    size_t occurrence;
    struct flow_step *step;
    int rank; /* 0 can meet its objective, 1 is late, 2 too late */
    uint32_t priority;
    int64_t latest_start;
    uint64_t order;
};

struct round {
    struct flow_state *state;
    struct plan *plan;
    const struct plan_limits *limits;
    int64_t now;
    struct flow_worker **workers;
    size_t worker_count;
    struct candidate *candidates;
    size_t candidate_count;
    size_t candidate_cap;
};

struct plan_worker *
plan_worker(const struct flow_worker *w)
{
    return w->session;
}

/* Longest chain of estimated work from the step on, in ms. */
static int64_t
chain_from(const struct flow_job *j, size_t step, int64_t *memo)
{
    int64_t longest = 0;

    for (size_t i = step + 1; i < j->spec->n_steps; i++) {
        for (size_t k = 0; k < j->spec->steps[i]->n_after; k++) {
            if (j->spec->steps[i]->after[k] == step && memo[i] > longest) {
                longest = memo[i];
            }
        }
    }
    return longest + j->spec->steps[step]->estimate_ms +
           (j->queue->needs_approval ? j->queue->approval_ms : 0);
}

/* Fills chains[i] for each step; returns the longest of all. */
static int64_t
chains(const struct flow_job *j, int64_t *out)
{
    int64_t longest = 0;

    for (size_t i = j->spec->n_steps; i-- > 0;) {
        out[i] = chain_from(j, i, out);
        longest = out[i] > longest ? out[i] : longest;
    }
    return longest;
}

static int64_t
objective_ms(const struct flow_job *j, int64_t chain_ms)
{
    return (int64_t)((double)chain_ms * j->queue->stretch) +
           j->queue->latency_target_ms;
}

int64_t
plan_objective(const struct flow_job *j)
{
    int64_t *memo = mem_zalloc(j->spec->n_steps, sizeof(*memo));
    int64_t chain = chains(j, memo);

    mem_free(memo);
    return j->seen_at + objective_ms(j, chain) * NS_PER_MS;
}

static uint32_t
waiting_tasks(const struct flow_step *step)
{
    uint32_t waiting = 0;

    if (step->spec->gang) {
        return step->assigned == 0 && step->done == 0 ? step->count : 0;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        waiting += !step->tasks[i].done && !step->tasks[i].assigned;
    }
    return waiting;
}

static void
add_candidate(struct round *r, struct flow_job *j, size_t occurrence,
              size_t step, const int64_t *chain, int64_t objective)
{
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
    c->latest_start = j->seen_at + (objective - chain[step]) * NS_PER_MS;
    c->rank = r->now <= c->latest_start ? 0 : 1;
    if (r->now > j->seen_at + LATE_FACTOR * objective * NS_PER_MS) {
        c->rank = 2;
    }
    c->order = r->candidate_count++;
}

static void
collect_job(struct round *r, struct flow_job *j)
{
    int64_t *chain = mem_zalloc(j->spec->n_steps, sizeof(*chain));
    int64_t objective = objective_ms(j, chains(j, chain));

    for (size_t i = 0; i < j->occurrence_count; i++) {
        struct flow_occurrence *o = &j->occurrences[i];

        for (size_t k = 0; k < j->spec->n_steps; k++) {
            struct flow_step *step = &o->steps[k];

            if (step->done + step->assigned < step->count &&
                waiting_tasks(step) > 0 && flow_step_ready(j, o, step)) {
                add_candidate(r, j, i, k, chain, objective);
            }
        }
    }
    mem_free(chain);
}

static int
compare(const void *a, const void *b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->rank != y->rank) {
        return x->rank < y->rank ? -1 : 1;
    }
    if (x->priority != y->priority) {
        return x->priority < y->priority ? -1 : 1;
    }
    if (x->latest_start != y->latest_start) {
        return x->latest_start < y->latest_start ? -1 : 1;
    }
    return x->order < y->order ? -1 : 1;
}

static bool
has_label(const struct flow_worker *w, const char *label)
{
    if (label[0] == '\0') {
        return true;
    }
    for (size_t i = 0; i < w->label_count; i++) {
        if (str_eq(w->labels[i], str_of(label))) {
            return true;
        }
    }
    return false;
}

/* Whether the worker could ever run a task of the step. */
static bool
suits(const struct flow_worker *w, const struct flow_job *j,
      const struct flow_step *step, int64_t now)
{
    const struct plan_worker *p = plan_worker(w);
    struct flow_size size = flow_step_size(step);

    return p != NULL && p->usable && p->avoid_until <= now && !w->draining &&
           str_eq(w->service, j->queue->service) &&
           has_label(w, step->spec->label) &&
           size.cpu_milli <= w->capacity.cpu_milli &&
           size.memory_mib <= w->capacity.memory_mib &&
           size.accelerators <= w->capacity.accelerators;
}

/* How many tasks of that size the worker has room for now. */
static uint64_t
room(const struct flow_worker *w, const struct flow_step *step)
{
    const struct plan_worker *p = plan_worker(w);
    struct flow_size size = flow_step_size(step);
    uint64_t fits = UINT32_MAX;
    uint64_t cpu = w->used.cpu_milli + p->planned.cpu_milli;
    uint64_t memory = w->used.memory_mib + p->planned.memory_mib;
    uint64_t gpu = w->used.accelerators + p->planned.accelerators;

    if (flow_step_counts(step) && size.cpu_milli > 0) {
        fits = cpu >= w->capacity.cpu_milli
                   ? 0
                   : (w->capacity.cpu_milli - cpu) / size.cpu_milli;
    }
    if (size.memory_mib > 0) {
        uint64_t n = memory >= w->capacity.memory_mib
                         ? 0
                         : (w->capacity.memory_mib - memory) / size.memory_mib;

        fits = n < fits ? n : fits;
    }
    if (size.accelerators > 0) {
        uint64_t n =
            gpu >= w->capacity.accelerators
                ? 0
                : (w->capacity.accelerators - gpu) / size.accelerators;

        fits = n < fits ? n : fits;
    }
    return fits;
}

static const struct flow_verdict *
verdict(const struct flow_step *step, uint32_t worker)
{
    const struct flow_approval *a = step->approval;

    for (size_t i = 0; a != NULL && i < a->count; i++) {
        if (a->verdicts[i].worker == worker) {
            return &a->verdicts[i];
        }
    }
    return NULL;
}

static bool
ticket_valid(const struct flow_verdict *v, int64_t now)
{
    return v != NULL && v->approved &&
           v->valid_until > now + TICKET_MARGIN_MS * NS_PER_MS;
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

static uint32_t
planned_on(const struct plan *plan, const struct flow_step *step,
           const struct flow_worker *w)
{
    uint32_t n = 0;

    for (size_t i = plan->start_count; i-- > 0;) {
        if (plan->starts[i].step != step) {
            break;
        }
        n += plan->starts[i].worker == w;
    }
    return n;
}

static bool
spread_allows(const struct round *r, const struct flow_step *step,
              const struct flow_worker *w)
{
    uint32_t most = step->spec->per_worker_max;

    return most == 0 ||
           placed_on(step, w->number) + planned_on(r->plan, step, w) < most;
}

static bool
team_allows(const struct flow_team *team, struct flow_size planned,
            struct flow_size size)
{
    const struct flow_size *l = &team->limit;

    return (l->cpu_milli == 0 ||
            team->used.cpu_milli + planned.cpu_milli + size.cpu_milli <=
                l->cpu_milli) &&
           (l->memory_mib == 0 ||
            team->used.memory_mib + planned.memory_mib + size.memory_mib <=
                l->memory_mib) &&
           (l->accelerators == 0 || team->used.accelerators +
                                            planned.accelerators +
                                            size.accelerators <=
                                        l->accelerators);
}

/* What this round has given to the team so far. */
static struct flow_size
team_planned(const struct plan *plan, const struct flow_team *team)
{
    struct flow_size sum = {0};

    for (size_t i = 0; i < plan->start_count; i++) {
        if (plan->starts[i].job->team == team) {
            struct flow_size size = flow_step_size(plan->starts[i].step);

            sum.cpu_milli += size.cpu_milli;
            sum.memory_mib += size.memory_mib;
            sum.accelerators += size.accelerators;
        }
    }
    return sum;
}

/*
 * Best fit: the worker that has the least processor time left afterwards, the
 * faster of two that are alike; the rack of the data goes first.
 */
static double
cost(const struct flow_worker *w, const struct flow_step *step)
{
    const struct plan_worker *p = plan_worker(w);
    double left = 1;
    double result;

    if (w->capacity.cpu_milli > 0) {
        left = 1 - (double)(w->used.cpu_milli + p->planned.cpu_milli) /
                       (double)w->capacity.cpu_milli;
    }
    result = left - p->speed;
    if (step->spec->data_rack[0] != '\0' &&
        !str_eq(w->rack, str_of(step->spec->data_rack))) {
        result += 2;
    }
    return result;
}

static struct flow_worker *
choose(struct round *r, const struct candidate *c, const struct flow_task *t,
       struct str rack)
{
    struct flow_worker *best = NULL;
    double best_cost = 0;

    for (size_t i = 0; i < r->worker_count; i++) {
        struct flow_worker *w = r->workers[i];
        double this_cost;

        if (!suits(w, c->job, c->step, r->now) || room(w, c->step) == 0 ||
            (rack.len > 0 && !str_eq(w->rack, rack)) ||
            !spread_allows(r, c->step, w) ||
            (c->job->queue->needs_approval &&
             !ticket_valid(verdict(c->step, w->number), r->now))) {
            continue;
        }
        this_cost = cost(w, c->step);
        if (t->failed_on == w->number) {
            this_cost += 4;
        }
        if (best == NULL || this_cost < best_cost) {
            best = w;
            best_cost = this_cost;
        }
    }
    return best;
}

static void
add_start(struct round *r, const struct candidate *c, uint32_t index,
          uint32_t run, struct flow_worker *w)
{
    struct plan *plan = r->plan;
    struct plan_start *start;
    struct flow_size size = flow_step_size(c->step);
    struct plan_worker *p = plan_worker(w);

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
    start->worker = w;
    if (c->job->queue->needs_approval) {
        memcpy(start->ticket, verdict(c->step, w->number)->ticket,
               sizeof(start->ticket));
    }
    if (flow_step_counts(c->step)) {
        p->planned.cpu_milli += size.cpu_milli;
    }
    p->planned.memory_mib += size.memory_mib;
    p->planned.accelerators += size.accelerators;
}

static void
undo_starts(struct round *r, size_t keep)
{
    while (r->plan->start_count > keep) {
        struct plan_start *start = &r->plan->starts[--r->plan->start_count];
        struct flow_size size = flow_step_size(start->step);
        struct plan_worker *p = plan_worker(start->worker);

        if (flow_step_counts(start->step)) {
            p->planned.cpu_milli -= size.cpu_milli;
        }
        p->planned.memory_mib -= size.memory_mib;
        p->planned.accelerators -= size.accelerators;
    }
}

/* Starts waiting tasks; returns how many found no worker. A team at its
 * limit leaves none unplaced: more room would not help. */
static uint32_t
place_tasks(struct round *r, const struct candidate *c, uint32_t run,
            struct str rack)
{
    struct flow_size planned = team_planned(r->plan, c->job->team);
    struct flow_size size = flow_step_size(c->step);
    uint32_t missing = 0;

    for (uint32_t i = 0; i < c->step->count; i++) {
        struct flow_task *t = &c->step->tasks[i];
        struct flow_worker *w;

        if (t->done || t->assigned) {
            continue;
        }
        if (!team_allows(c->job->team, planned, size)) {
            return c->step->spec->gang ? c->step->count : missing;
        }
        w = missing > 0 ? NULL : choose(r, c, t, rack);
        if (w == NULL) {
            missing++;
            continue;
        }
        add_start(r, c, i, run != 0 ? run : t->run + 1, w);
        planned.cpu_milli += size.cpu_milli;
        planned.memory_mib += size.memory_mib;
        planned.accelerators += size.accelerators;
    }
    return missing;
}

/* All members of a gang start together with the same run number. */
static uint32_t
place_gang(struct round *r, const struct candidate *c)
{
    size_t keep = r->plan->start_count;
    uint32_t run = 0;
    uint32_t missing;

    for (uint32_t i = 0; i < c->step->count; i++) {
        if (c->step->tasks[i].run > run) {
            run = c->step->tasks[i].run;
        }
    }
    if (c->step->spec->one_rack) {
        for (size_t i = 0; i < r->worker_count; i++) {
            if (place_tasks(r, c, run + 1, r->workers[i]->rack) == 0) {
                return 0;
            }
            undo_starts(r, keep);
        }
    }
    missing = place_tasks(r, c, run + 1, str_from(NULL, 0));
    if (missing > 0) {
        undo_starts(r, keep);
    }
    return missing;
}

static struct plan_ask *
add_ask(struct round *r, const struct candidate *c)
{
    struct plan *plan = r->plan;
    struct plan_ask *ask;

    if (plan->ask_count == plan->ask_cap) {
        plan->ask_cap = plan->ask_cap * 2 + 8;
        plan->asks =
            mem_realloc(plan->asks, plan->ask_cap, sizeof(*plan->asks));
    }
    ask = &plan->asks[plan->ask_count++];
    ask->job = c->job;
    ask->occurrence = &c->job->occurrences[c->occurrence];
    ask->step = c->step;
    ask->count = 0;
    return ask;
}

struct option {
    uint32_t worker;
    uint64_t room;
    int known; /* 1: approved before, its ticket has lapsed; 0: not asked */
};

static int
compare_options(const void *a, const void *b)
{
    const struct option *x = a;
    const struct option *y = b;

    if ((x->room > 0) != (y->room > 0)) {
        return x->room > 0 ? -1 : 1;
    }
    if (x->known != y->known) {
        return y->known - x->known;
    }
    return x->room == y->room ? 0 : x->room > y->room ? -1 : 1;
}

/* Workers worth asking for, the most useful first. */
static size_t
options_of(struct round *r, const struct candidate *c, struct option *out)
{
    size_t n = 0;

    for (size_t i = 0; i < r->worker_count; i++) {
        struct flow_worker *w = r->workers[i];
        const struct flow_verdict *v = verdict(c->step, w->number);

        if (!suits(w, c->job, c->step, r->now) ||
            (v != NULL && (!v->approved || ticket_valid(v, r->now)))) {
            continue;
        }
        out[n].worker = w->number;
        out[n].room = room(w, c->step);
        out[n].known = v != NULL;
        n++;
    }
    qsort(out, n, sizeof(*out), compare_options);
    return n;
}

/* Asks for workers with room while the step lacks approved ones. */
static void
ask_for(struct round *r, const struct candidate *c, uint32_t missing)
{
    const struct flow_approval *a = c->step->approval;
    struct option *options;
    size_t count;
    size_t most;
    uint64_t covered = 0;
    struct plan_ask *ask;

    if (r->plan->ask_count >= r->limits->asks ||
        (a != NULL && a->asked_until > r->now)) {
        return;
    }
    options = mem_alloc((r->worker_count + 1) * sizeof(*options));
    count = options_of(r, c, options);
    if (count == 0 || options[0].room == 0) {
        mem_free(options);
        return;
    }
    ask = add_ask(r, c);
    most = ASK_MIN;
    for (size_t i = 0; i < count && ask->count < PLAN_ASK_MAX; i++) {
        if (options[i].room == 0 && ask->count >= most) {
            break;
        }
        if (ask->count >= most && covered >= (uint64_t)missing * ASK_FACTOR) {
            break;
        }
        ask->workers[ask->count++] = options[i].worker;
        covered +=
            options[i].known ? options[i].room * ASK_FACTOR : options[i].room;
    }
    mem_free(options);
}

static void
place(struct round *r, const struct candidate *c)
{
    uint32_t missing = c->step->spec->gang
                           ? place_gang(r, c)
                           : place_tasks(r, c, 0, str_from(NULL, 0));

    if (missing > 0 && c->job->queue->needs_approval) {
        ask_for(r, c, missing);
    }
}

static void
collect_workers(struct round *r)
{
    struct flow_worker *w;
    void *cursor = NULL;

    r->workers = mem_alloc((flow_worker_count(r->state) + 1) *
                           sizeof(struct flow_worker *));
    while ((w = flow_worker_next(r->state, &cursor)) != NULL) {
        if (plan_worker(w) != NULL) {
            plan_worker(w)->planned = (struct flow_size){0};
            r->workers[r->worker_count++] = w;
        }
    }
}

void
plan_make(struct flow_state *s, int64_t now, const struct plan_limits *limits,
          struct plan *plan)
{
    struct round r = {.state = s, .plan = plan, .limits = limits, .now = now};

    plan->start_count = 0;
    plan->ask_count = 0;
    collect_workers(&r);
    for (struct flow_job *j = flow_first_live(s); j != NULL; j = j->next) {
        if (j->state <= FLOW_JOB_RUNNING) {
            collect_job(&r, j);
        }
    }
    if (r.candidate_count > 0) {
        qsort(r.candidates, r.candidate_count, sizeof(*r.candidates), compare);
    }
    for (size_t i = 0;
         i < r.candidate_count && plan->start_count < limits->starts; i++) {
        place(&r, &r.candidates[i]);
    }
    mem_free(r.workers);
    mem_free(r.candidates);
}

void
plan_free(struct plan *plan)
{
    mem_free(plan->starts);
    mem_free(plan->asks);
    *plan = (struct plan){0};
}
