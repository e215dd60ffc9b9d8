#include "flow_world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "flow_fixture.h"
#include "mem.h"
#include "plan.h"
#include "rng.h"

enum {
    TICK_MS = 5,
    COMMIT_MS = 15,   /* from a decision to the start, from an end to its
                         record */
    DRAIN_MS = 60000, /* after the last arrival */
    TICKET_MS = 2000,
    MAX_ASKS = 3, /* under way for each caller */
    LONG_CALL_MS = 40,
};

struct job_model {
    uint64_t id;
    size_t kind;
    int64_t arrived;
    double objective_ms;
    double work;       /* core milliseconds */
    double *durations; /* of all tasks, step after step */
    size_t task_count;
    size_t first_task[8];
    bool finished;
    int64_t completed;
};

struct running {
    int64_t ends;
    int64_t begins;
    Flow__Task task;
    bool noted;
};

struct asking {
    int64_t answers;
    Flow__Task task;
    uint32_t workers[PLAN_ASK_MAX];
    size_t count;
    size_t caller;
};

struct world {
    const struct flow_world_config *config;
    struct flow_state *state;
    struct rng rng;
    int64_t now_ms;
    double *speeds;
    struct plan_worker *sessions;
    struct job_model *jobs;
    size_t job_count;
    struct running *running;
    size_t running_count;
    struct asking *asking;
    size_t asking_count;
    int64_t *caller_free;
    size_t *caller_asks;
    struct plan plan;
    struct flow_world_result *result;
    double busy;
    bool dirty;
};

static double
lognormal(struct rng *r, double mean, double spread, double max)
{
    double u1 = rng_unit(r) + 1e-12;
    double u2 = rng_unit(r);
    double z = sqrt(-2 * log(u1)) * cos(6.283185307 * u2);
    double sigma = sqrt(log(1 + spread * spread));
    double value = exp(log(mean) - sigma * sigma / 2 + sigma * z);

    return value > max ? max : value;
}

static void
apply(struct world *w, Flow__Command *command)
{
    flow_apply(w->state, command, w->now_ms);
}

static void
put_config(struct world *w)
{
    Flow__Config config = FLOW__CONFIG__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Queue queues[FLOW_KINDS_MAX];
    Flow__Queue *list[FLOW_KINDS_MAX];
    Flow__Service service = FLOW__SERVICE__INIT;
    Flow__Service *services[] = {&service};
    Flow__Team team = FLOW__TEAM__INIT;
    Flow__Team *teams[] = {&team};

    service.name = (char *)"svc";
    team.name = (char *)"team";
    team.weight = 1;
    for (size_t i = 0; i < w->config->kind_count; i++) {
        const struct flow_kind *k = &w->config->kinds[i];

        flow__queue__init(&queues[i]);
        queues[i].name = (char *)k->name;
        queues[i].host = (char *)"h";
        queues[i].prefix = (char *)k->name;
        queues[i].service = (char *)"svc";
        queues[i].timeout_ms = 3000;
        queues[i].max_attempts = 3;
        queues[i].priority = k->priority;
        queues[i].stretch = k->stretch;
        queues[i].latency_target_ms = k->target_ms;
        queues[i].needs_approval = k->approval_ms > 0;
        queues[i].approval_ms = k->approval_ms;
        queues[i].approval_worker_us = k->approval_worker_us;
        queues[i].ticket_ms = TICKET_MS;
        list[i] = &queues[i];
    }
    config.version = 1;
    config.queues = list;
    config.n_queues = w->config->kind_count;
    config.services = services;
    config.n_services = 1;
    config.teams = teams;
    config.n_teams = 1;
    command.kind_case = FLOW__COMMAND__KIND_CONFIG;
    command.config = &config;
    apply(w, &command);
}

static void
put_workers(struct world *w)
{
    static const double speeds[] = {0.8, 1.0, 1.25};

    w->speeds = mem_zalloc(w->config->workers + 1, sizeof(*w->speeds));
    w->sessions = mem_zalloc(w->config->workers + 1, sizeof(*w->sessions));
    for (uint32_t i = 1; i <= w->config->workers; i++) {
        Flow__Worker worker = FLOW__WORKER__INIT;
        Flow__Size size = FLOW__SIZE__INIT;
        Flow__Command command = FLOW__COMMAND__INIT;
        char id[16];
        char address[24];

        snprintf(id, sizeof(id), "w%u", i);
        snprintf(address, sizeof(address), "10.0.0.%u:1", i);
        worker.id = id;
        worker.address = address;
        worker.service = (char *)"svc";
        worker.born_ms = 1;
        size.cpu_milli = (uint64_t)w->config->worker_cpu;
        size.memory_mib = (uint64_t)w->config->worker_memory;
        worker.capacity = &size;
        command.kind_case = FLOW__COMMAND__KIND_WORKER;
        command.worker = &worker;
        apply(w, &command);
        w->speeds[i] = speeds[rng_below(&w->rng, 3)];
        w->sessions[i].usable = true;
        flow_worker(w->state, i)->session = &w->sessions[i];
    }
}

static Flow__Step *
draw_step(struct world *w, const struct flow_kind *k, size_t index,
          struct job_model *m, double base_ms)
{
    Flow__Step *step = mem_alloc(sizeof(*step));
    double width = lognormal(&w->rng, k->width, 0.6, k->width_max);
    double longest = 0;

    flow__step__init(step);
    step->count = width < 1 ? 1 : (uint32_t)width;
    step->gang = rng_unit(&w->rng) < k->gang;
    step->size = mem_alloc(sizeof(*step->size));
    flow__size__init(step->size);
    step->size->cpu_milli =
        (uint64_t)lognormal(&w->rng, k->cpu, 0.4, k->cpu_max);
    step->size->memory_mib =
        (uint64_t)lognormal(&w->rng, k->memory, 0.5, k->memory * 3);
    if (index > 0) {
        step->after = mem_alloc(sizeof(*step->after));
        step->after[0] = (uint32_t)index - 1;
        step->n_after = 1;
    }
    m->first_task[index] = m->task_count;
    for (uint32_t i = 0; i < step->count; i++) {
        double ms =
            step->gang ? base_ms : base_ms * (0.7 + 0.6 * rng_unit(&w->rng));

        m->durations = mem_realloc(m->durations, m->task_count + 1,
                                   sizeof(*m->durations));
        m->durations[m->task_count++] = ms;
        m->work += ms * (double)step->size->cpu_milli / 1000;
        longest = ms > longest ? ms : longest;
    }
    step->estimate_ms =
        (uint32_t)(longest *
                   (1 + k->estimate_off * (2 * rng_unit(&w->rng) - 1)));
    m->objective_ms +=
        longest + k->approval_ms + 30.0 * k->approval_worker_us / 1000;
    return step;
}

static void
submit(struct world *w, size_t kind)
{
    const struct flow_kind *k = &w->config->kinds[kind];
    Flow__Submit submit = FLOW__SUBMIT__INIT;
    Flow__JobSpec *spec = mem_alloc(sizeof(*spec));
    Flow__Command command = FLOW__COMMAND__INIT;
    struct job_model *m;
    size_t steps = 1;
    double base = lognormal(&w->rng, k->work_ms, 0.5, k->work_max);

    w->jobs = mem_realloc(w->jobs, w->job_count + 1, sizeof(*w->jobs));
    m = &w->jobs[w->job_count++];
    *m = (struct job_model){
        .id = w->job_count, .kind = kind, .arrived = w->now_ms};
    while (steps < 4 && rng_unit(&w->rng) < k->steps - 1) {
        steps++;
    }
    flow__job_spec__init(spec);
    spec->steps = mem_alloc(steps * sizeof(*spec->steps));
    for (size_t i = 0; i < steps; i++) {
        spec->steps[spec->n_steps++] = draw_step(w, k, i, m, base);
    }
    m->objective_ms = m->objective_ms * k->stretch + k->target_ms;
    submit.job = m->id;
    submit.queue = (char *)k->name;
    submit.team = (char *)"team";
    submit.spec = spec;
    submit.wall_ms = w->now_ms;
    command.kind_case = FLOW__COMMAND__KIND_SUBMIT;
    command.submit = &submit;
    apply(w, &command);
    flow__job_spec__free_unpacked(spec, NULL);
    flow_job(w->state, m->id)->seen_at = w->now_ms * NS_PER_MS;
    w->dirty = true;
}

static void
arrivals(struct world *w)
{
    for (size_t i = 0; i < w->config->kind_count; i++) {
        const struct flow_kind *k = &w->config->kinds[i];
        double rate = k->per_second;

        if (w->now_ms >= 8000 && w->now_ms < 12000 && k->burst > 0) {
            rate *= k->burst;
        }
        if (rng_unit(&w->rng) < rate * TICK_MS / 1000) {
            submit(w, i);
        }
    }
}

static bool
approves(const struct world *w, const struct asking *a, uint32_t worker)
{
    struct rng r = {
        .state = a->task.job * 1315423911u ^ (a->task.step + 1) * 2654435761u ^
                 worker * UINT64_C(0x9e3779b97f4a7c15) ^ w->config->seed};
    const struct flow_kind *k =
        &w->config->kinds[w->jobs[a->task.job - 1].kind];
    const Flow__Step *step =
        flow_job(w->state, a->task.job)->spec->steps[a->task.step];
    double room = fmin(
        floor(w->config->worker_cpu / (double)(step->size->cpu_milli + 1)),
        floor(w->config->worker_memory /
              (double)(step->size->memory_mib + 1)));
    /* Every job can be done, twice over. */
    double least = 2.0 * step->count / (room * (double)w->config->workers);

    rng_next(&r);
    return rng_unit(&r) < fmax(k->approved, least);
}

static void
answer(struct world *w, const struct asking *a)
{
    struct flow_step *step;

    w->caller_asks[a->caller]--;
    w->dirty = true;
    if (flow_task(w->state, &a->task, &step) == NULL) {
        return;
    }
    plan_answered(step);
    for (size_t i = 0; i < a->count; i++) {
        bool ok = approves(w, a, a->workers[i]);

        plan_verdict(step, a->workers[i], ok, ok ? STR("t") : STR(""),
                     (w->now_ms + TICKET_MS - 10) * NS_PER_MS);
    }
}

static void
answers(struct world *w)
{
    for (size_t i = 0; i < w->asking_count;) {
        if (w->asking[i].answers > w->now_ms) {
            i++;
            continue;
        }
        answer(w, &w->asking[i]);
        w->asking[i] = w->asking[--w->asking_count];
    }
}

static void
ask(struct world *w, const struct plan_ask *in)
{
    const struct flow_queue *q = in->job->queue;
    struct asking *a;
    size_t best = 0;
    size_t callers = w->config->callers;
    int64_t free;

    /* Long calls leave some callers to short ones. */
    if (q->approval_ms > LONG_CALL_MS) {
        callers = callers * 2 / 3;
    }
    for (size_t i = 1; i < callers; i++) {
        if (w->caller_free[i] < w->caller_free[best]) {
            best = i;
        }
    }
    w->asking =
        mem_realloc(w->asking, w->asking_count + 1, sizeof(*w->asking));
    a = &w->asking[w->asking_count++];
    memset(a, 0, sizeof(*a));
    flow__task__init(&a->task);
    a->task.job = in->job->id;
    a->task.occurrence = in->occurrence->number;
    a->task.step = (uint32_t)(in->step - in->occurrence->steps);
    a->count = in->count;
    memcpy(a->workers, in->workers, in->count * sizeof(in->workers[0]));
    a->caller = best;
    w->caller_asks[best]++;
    w->result->kinds[w->jobs[in->job->id - 1].kind].calls++;
    w->result->kinds[w->jobs[in->job->id - 1].kind].call_ms +=
        q->approval_ms + (double)in->count * q->approval_worker_us / 1000;
    free = w->caller_free[best] > w->now_ms ? w->caller_free[best] : w->now_ms;
    w->caller_free[best] = free + q->approval_ms +
                           (int64_t)in->count * q->approval_worker_us / 1000;
    a->answers = w->caller_free[best] + 6;
    plan_asked(in->step, INT64_MAX);
}

static void
fail(struct world *w, const char *what, const struct plan_start *s)
{
    if (w->result->violation[0] == '\0') {
        snprintf(w->result->violation, sizeof(w->result->violation),
                 "%s: job %llu step %zu task %u at %lld ms", what,
                 (unsigned long long)s->job->id,
                 (size_t)(s->step - s->occurrence->steps), s->index,
                 (long long)w->now_ms);
    }
}

static void
check_start(struct world *w, const struct plan_start *s)
{
    const struct flow_worker *worker = s->worker;

    if (!flow_step_ready(s->occurrence, s->step)) {
        fail(w, "started before the steps it depends on", s);
    }
    if (worker->used.cpu_milli > worker->capacity.cpu_milli ||
        worker->used.memory_mib > worker->capacity.memory_mib) {
        fail(w, "worker over its capacity", s);
    }
    if (s->step->spec->gang && s->step->assigned == 0) {
        fail(w, "gang not started whole", s);
    }
}

static bool
slow(const struct world *w, uint32_t worker)
{
    return w->now_ms >= 10000 && w->now_ms < 18000 &&
           worker <=
               (uint32_t)((double)w->config->workers * w->config->slow_share);
}

static void
start(struct world *w, const struct plan_start *s)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Task task = FLOW__TASK__INIT;
    const struct job_model *m = &w->jobs[s->job->id - 1];
    size_t step = (size_t)(s->step - s->occurrence->steps);
    double ms = m->durations[m->first_task[step] + s->index];
    double speed = w->speeds[s->worker->number];
    struct running *r;

    task.job = s->job->id;
    task.occurrence = s->occurrence->number;
    task.step = (uint32_t)step;
    task.index = s->index;
    task.run = s->run;
    task.worker = s->worker->number;
    command.kind_case = FLOW__COMMAND__KIND_START;
    command.start = &task;
    apply(w, &command);
    s->step->tasks[s->index].started_at = (w->now_ms + COMMIT_MS) * NS_PER_MS;
    if (slow(w, s->worker->number)) {
        speed /= w->config->slow_factor;
    }
    w->running =
        mem_realloc(w->running, w->running_count + 1, sizeof(*w->running));
    r = &w->running[w->running_count++];
    *r = (struct running){.begins = w->now_ms + COMMIT_MS,
                          .ends = w->now_ms + 2 * COMMIT_MS +
                                  (int64_t)(ms / speed),
                          .task = task};
}

static void
plan(struct world *w)
{
    size_t free = 0;
    struct plan_limits limits = {.starts = 400,
                                 .reservations = w->config->reservations};

    for (size_t i = 0; i < w->config->callers; i++) {
        free +=
            w->caller_asks[i] < MAX_ASKS ? MAX_ASKS - w->caller_asks[i] : 0;
    }
    limits.asks = free;
    w->dirty = false;
    plan_make(w->state, w->now_ms * NS_PER_MS, &limits, &w->plan);
    for (size_t i = 0; i < w->plan.start_count; i++) {
        start(w, &w->plan.starts[i]);
    }
    for (size_t i = 0; i < w->plan.start_count; i++) {
        check_start(w, &w->plan.starts[i]);
    }
    for (size_t i = 0; i < w->plan.ask_count; i++) {
        ask(w, &w->plan.asks[i]);
    }
}

static void
end_run(struct world *w, const struct running *r)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__End end = FLOW__END__INIT;
    Flow__End *list[] = {&end};
    Flow__Task task = r->task;
    struct flow_worker *worker = flow_worker(w->state, task.worker);
    struct flow_job *j = flow_job(w->state, task.job);
    struct job_model *m = &w->jobs[task.job - 1];

    if (worker != NULL && j != NULL) {
        plan_observe(worker, j->queue, (double)(w->now_ms - r->begins),
                     j->spec->steps[task.step]->estimate_ms,
                     w->now_ms * NS_PER_MS);
    }
    end.task = &task;
    end.how = FLOW_END_DONE;
    ends.worker = task.worker;
    ends.ends = list;
    ends.n_ends = 1;
    command.kind_case = FLOW__COMMAND__KIND_ENDS;
    command.ends = &ends;
    apply(w, &command);
    w->dirty = true;
    if (j != NULL && j->state == FLOW_JOB_COMPLETED && !m->finished) {
        m->finished = true;
        m->completed = w->now_ms;
    }
}

static void
run_ends(struct world *w)
{
    for (size_t i = 0; i < w->running_count;) {
        struct running r = w->running[i];

        if (r.ends > w->now_ms) {
            i++;
            continue;
        }
        w->running[i] = w->running[--w->running_count];
        end_run(w, &r);
    }
}

static void
lose_workers(struct world *w)
{
    size_t lost = (size_t)((double)w->config->workers * w->config->dead_share);

    if (w->now_ms != 10000) {
        return;
    }
    for (uint32_t n = 1; n <= lost; n++) {
        Flow__Command command = FLOW__COMMAND__INIT;
        Flow__WorkerLost gone = FLOW__WORKER_LOST__INIT;

        gone.worker = n;
        command.kind_case = FLOW__COMMAND__KIND_LOST;
        command.lost = &gone;
        apply(w, &command);
        for (size_t i = 0; i < w->running_count;) {
            if (w->running[i].task.worker == n) {
                w->running[i] = w->running[--w->running_count];
            }
            else {
                i++;
            }
        }
    }
    w->dirty = true;
}

static void
measure_busy(struct world *w)
{
    struct flow_worker *worker;
    void *cursor = NULL;

    while ((worker = flow_worker_next(w->state, &cursor)) != NULL) {
        w->busy += (double)worker->used.cpu_milli * TICK_MS;
    }
}

static double
value_of(const struct job_model *m)
{
    double took = (double)(m->completed - m->arrived);

    if (!m->finished || took > 3 * m->objective_ms) {
        return 0;
    }
    return took <= m->objective_ms ? 1 : 0.2;
}

static int
by_work(const void *a, const void *b)
{
    const struct job_model *x = *(const struct job_model *const *)a;
    const struct job_model *y = *(const struct job_model *const *)b;

    return (x->work < y->work) - (x->work > y->work);
}

static void
score_kind(struct world *w, size_t kind, double *worth, double *earned)
{
    struct flow_kind_result *out = &w->result->kinds[kind];
    const struct job_model **jobs =
        mem_alloc((w->job_count + 1) * sizeof(*jobs));
    double sum = 0;
    double mean = 0;
    double top = 0;
    size_t n = 0;

    for (size_t i = 0; i < w->job_count; i++) {
        if (w->jobs[i].kind == kind) {
            jobs[n++] = &w->jobs[i];
            mean += w->jobs[i].work;
        }
    }
    qsort(jobs, n, sizeof(*jobs), by_work);
    for (size_t i = 0; i < n; i++) {
        double value = value_of(jobs[i]);
        double size = 0.3 + 0.7 * jobs[i]->work / (mean / (double)n);

        size = (size > 4 ? 4 : size) * w->config->kinds[kind].worth;
        *worth += size;
        *earned += value * size;
        sum += value;
        top += i < n / 10 ? value : 0;
        out->in_time += value == 1;
        out->late += value > 0 && value < 1;
        out->useless += value == 0;
        w->result->unfinished += !jobs[i]->finished;
    }
    out->jobs = n;
    out->earned = n == 0 ? 1 : sum / (double)n;
    out->worst_earned = n < 10 ? 1 : top / floor((double)n / 10);
    mem_free(jobs);
}

static void
score(struct world *w)
{
    double worth = 0;
    double earned = 0;

    for (size_t i = 0; i < w->config->kind_count; i++) {
        score_kind(w, i, &worth, &earned);
    }
    w->result->earned = worth > 0 ? earned / worth : 1;
    w->result->busy =
        w->busy / ((double)w->config->workers * w->config->worker_cpu *
                   (double)w->config->length_ms);
}

static void
world_free(struct world *w)
{
    for (size_t i = 0; i < w->job_count; i++) {
        mem_free(w->jobs[i].durations);
    }
    plan_free(&w->plan);
    flow_state_destroy(w->state);
    mem_free(w->jobs);
    mem_free(w->running);
    mem_free(w->asking);
    mem_free(w->speeds);
    mem_free(w->sessions);
    mem_free(w->caller_free);
    mem_free(w->caller_asks);
}

void
flow_world_run(const struct flow_world_config *config,
               struct flow_world_result *result)
{
    struct world w = {.config = config,
                      .state = flow_state_create(),
                      .rng = {config->seed},
                      .result = result};

    memset(result, 0, sizeof(*result));
    w.caller_free = mem_zalloc(config->callers, sizeof(*w.caller_free));
    w.caller_asks = mem_zalloc(config->callers, sizeof(*w.caller_asks));
    put_config(&w);
    put_workers(&w);
    for (w.now_ms = TICK_MS; w.now_ms < config->length_ms + DRAIN_MS;
         w.now_ms += TICK_MS) {
        if (w.now_ms < config->length_ms) {
            arrivals(&w);
            measure_busy(&w);
        }
        lose_workers(&w);
        run_ends(&w);
        answers(&w);
        if (w.dirty || w.now_ms % 50 == 0) {
            plan(&w);
        }
    }
    score(&w);
    world_free(&w);
}

void
flow_world_echeverria(struct flow_world_config *config, uint64_t seed)
{
    *config = (struct flow_world_config){.seed = seed,
                                         .workers = 48,
                                         .worker_cpu = 16000,
                                         .worker_memory = 32768,
                                         .callers = 13,
                                         .reservations = 6,
                                         .length_ms = 34000,
                                         .kind_count = 3,
                                         .kinds = {{.name = "/statement/",
                                                    .per_second = 1.47,
                                                    .burst = 1,
                                                    .priority = 1,
                                                    .worth = 12.7,
                                                    .stretch = 2.2,
                                                    .target_ms = 1000,
                                                    .width = 6.4,
                                                    .width_max = 32,
                                                    .steps = 1.2,
                                                    .cpu = 4500,
                                                    .cpu_max = 7600,
                                                    .memory = 6400,
                                                    .work_ms = 6200,
                                                    .work_max = 16000,
                                                    .estimate_off = 0.2,
                                                    .gang = 1,
                                                    .approval_ms = 510,
                                                    .approval_worker_us = 7300,
                                                    .approved = 0.3},
                                                   {.name = "/damage/",
                                                    .per_second = 5.43,
                                                    .burst = 1,
                                                    .priority = 2,
                                                    .worth = 2.15,
                                                    .stretch = 4,
                                                    .target_ms = 3000,
                                                    .width = 10,
                                                    .width_max = 60,
                                                    .steps = 1.5,
                                                    .cpu = 980,
                                                    .cpu_max = 2900,
                                                    .memory = 1400,
                                                    .work_ms = 2700,
                                                    .work_max = 6800,
                                                    .estimate_off = 0.2,
                                                    .approval_ms = 66,
                                                    .approval_worker_us = 940,
                                                    .approved = 0.45},
                                                   {.name = "/stock/",
                                                    .per_second = 38.5,
                                                    .burst = 2,
                                                    .priority = 0,
                                                    .worth = 0.425,
                                                    .stretch = 1.5,
                                                    .target_ms = 250,
                                                    .width = 2,
                                                    .width_max = 12,
                                                    .steps = 1,
                                                    .cpu = 1400,
                                                    .cpu_max = 4200,
                                                    .memory = 2000,
                                                    .work_ms = 800,
                                                    .work_max = 2000,
                                                    .estimate_off = 0.9,
                                                    .gang = 0.3,
                                                    .approval_ms = 10,
                                                    .approval_worker_us = 130,
                                                    .approved = 0.7}}};
}

void
flow_world_trentside(struct flow_world_config *config, uint64_t seed)
{
    flow_world_echeverria(config, seed);
    config->worker_cpu = 32000;
    config->worker_memory = 131072;
    config->callers = 11;
    config->kinds[0].per_second = 1.44;
    config->kinds[0].cpu = 9000;
    config->kinds[0].cpu_max = 15200;
    config->kinds[0].worth = 16;
    config->kinds[1].per_second = 6.77;
    config->kinds[1].cpu = 2000;
    config->kinds[1].cpu_max = 5800;
    config->kinds[1].work_ms = 2200;
    config->kinds[2].per_second = 48.1;
    config->kinds[2].cpu = 2800;
    config->kinds[2].cpu_max = 8400;
    config->kinds[2].work_ms = 640;
}

void
flow_world_grown(struct flow_world_config *config, uint64_t seed)
{
    flow_world_echeverria(config, seed);
    config->workers = 350;
    config->callers = 42;
    config->kinds[0].per_second = 3.43;
    config->kinds[0].width = 20;
    config->kinds[0].width_max = 100;
    config->kinds[1].per_second = 8.98;
    config->kinds[1].width = 25;
    config->kinds[1].width_max = 150;
    config->kinds[1].cpu = 1700;
    config->kinds[1].cpu_max = 5000;
    config->kinds[2].per_second = 100;
    config->kinds[2].width = 3;
    config->kinds[2].width_max = 18;
    config->kinds[2].cpu = 2500;
    config->kinds[2].cpu_max = 7500;
}
