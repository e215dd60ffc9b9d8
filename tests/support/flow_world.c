#include "flow_world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "approval_vm.h"
#include "clock.h"
#include "flow_fixture.h"
#include "mem.h"
#include "plan.h"
#include "rng.h"

enum {
    TICK_MS = 5,
    /* From a decision to the start of the run, and from the end of a run to
     * its record in the state. */
    COMMIT_MS = 15,
    DRAIN_MS = 60000, /* simulated time after the last arrival */
    TICKET_MS = 2000, /* validity of a ticket */
    TEAMS_MAX = 100,
    TEAM_NAME_BYTES = 32,
    LARGE_TEAM_SHARE = 5,
    /* As on the leader. */
    ROUND_REQUESTS_MAX = 64,
    ROUND_VISITS_MAX = 30000,
    PLAN_PAUSE_MIN_MS = 4,
    PLAN_PAUSE_FACTOR = 4,
};

/* A job, and the properties that the planner does not know. */
struct job_model {
    uint64_t id;
    size_t kind;
    int64_t arrived_ms;
    double objective_ms;
    double work_core_ms;  /* processor time of all tasks */
    double *durations_ms; /* run times of the tasks at speed 1, by step */
    size_t task_count;
    size_t first_task[8]; /* index in durations_ms for each step */
    bool finished;
    int64_t completed_ms;
};

/* A run of a task. */
struct sim_run {
    int64_t end_ms; /* when the state records the end */
    int64_t begin_ms;
    Flow__Task task;
    bool noted; /* unused */
};

/* An open request to the approval service. */
struct approval_call {
    int64_t answer_ms; /* when the answer arrives */
    Flow__Task task;   /* names the job, occurrence and step */
    uint32_t workers[PLAN_REQUEST_WORKERS_MAX];
    size_t count;
    size_t vm; /* the VM that sent it */
};

struct simulation {
    const struct flow_world_config *config;
    struct flow_state *state;
    struct rng rng;
    int64_t now_ms;
    double *speeds; /* by worker number; 1 is nominal */
    struct plan_worker *sessions;
    struct job_model *jobs;
    size_t job_count;
    struct sim_run *runs;
    size_t run_count;
    struct approval_call *calls;
    size_t call_count;
    int64_t *vm_free_at_ms; /* when a VM can begin its next request */
    size_t *vm_open_calls;
    struct plan plan;
    struct flow_world_result *result;
    double used_core_us;  /* processor time assigned to tasks */
    bool planning_needed; /* the state changed since the last round */
    int64_t planner_free_at_ms;
};

/* Draws from a log-normal distribution. spread is the ratio of the standard
 * deviation to the mean; larger values are cut to max. */
static double
draw_lognormal(struct rng *r, double mean, double spread, double max)
{
    double u1 = rng_unit(r) + 1e-12;
    double u2 = rng_unit(r);
    double z = sqrt(-2 * log(u1)) * cos(6.283185307 * u2);
    double sigma = sqrt(log(1 + spread * spread));
    double value = exp(log(mean) - sigma * sigma / 2 + sigma * z);

    return value > max ? max : value;
}

static void
apply_command(struct simulation *sim, Flow__Command *command)
{
    flow_apply_command(sim->state, command, sim->now_ms);
}

/* Returns how many jobs the team submits, relative to a small one. */
static double
team_share(const struct simulation *sim, size_t team)
{
    return team < sim->config->teams / 10 ? LARGE_TEAM_SHARE : 1;
}

static double
total_team_shares(const struct simulation *sim)
{
    double sum = 0;

    for (size_t i = 0; i < sim->config->teams; i++) {
        sum += team_share(sim, i);
    }
    return sum;
}

/* Returns the team's limit on processors, 0 for none. */
static uint64_t
team_cpu_limit(const struct simulation *sim, size_t team)
{
    double used_milli = 0;

    if (sim->config->teams == 0) {
        return 0;
    }
    for (size_t i = 0; i < sim->config->kind_count; i++) {
        const struct flow_job_kind *k = &sim->config->kinds[i];

        used_milli += k->jobs_per_second * k->steps_per_job *
                      k->tasks_per_step * k->cpu_milli * k->task_ms / 1000;
    }
    return (uint64_t)(used_milli * sim->config->team_limit_factor *
                      team_share(sim, team) / total_team_shares(sim));
}

static size_t
draw_team(struct simulation *sim)
{
    double at;
    size_t team = 0;

    if (sim->config->teams == 0) {
        return 0;
    }
    at = rng_unit(&sim->rng) * total_team_shares(sim);
    while (team + 1 < sim->config->teams && at >= team_share(sim, team)) {
        at -= team_share(sim, team);
        team++;
    }
    return team;
}

static void
apply_config(struct simulation *sim)
{
    Flow__Config config = FLOW__CONFIG__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Queue queues[FLOW_KINDS_MAX];
    Flow__Queue *list[FLOW_KINDS_MAX];
    Flow__Service service = FLOW__SERVICE__INIT;
    Flow__Service *services[] = {&service};
    Flow__Team teams[TEAMS_MAX];
    Flow__Team *team_list[TEAMS_MAX];
    Flow__Size limits[TEAMS_MAX];
    char names[TEAMS_MAX][TEAM_NAME_BYTES];

    service.name = (char *)"svc";
    do {
        size_t i = config.n_teams++;

        flow__team__init(&teams[i]);
        flow__size__init(&limits[i]);
        snprintf(names[i], sizeof(names[i]), "team%zu", i);
        limits[i].cpu_milli = team_cpu_limit(sim, i);
        teams[i].name = names[i];
        teams[i].weight = 1;
        teams[i].limit = &limits[i];
        team_list[i] = &teams[i];
    } while (config.n_teams < sim->config->teams);
    for (size_t i = 0; i < sim->config->kind_count; i++) {
        const struct flow_job_kind *k = &sim->config->kinds[i];

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
    config.n_queues = sim->config->kind_count;
    config.services = services;
    config.n_services = 1;
    config.teams = team_list;
    command.kind_case = FLOW__COMMAND__KIND_CONFIG;
    command.config = &config;
    apply_command(sim, &command);
}

static void
register_workers(struct simulation *sim)
{
    static const double speeds[] = {0.8, 1.0, 1.25};

    sim->speeds =
        mem_zalloc(sim->config->worker_count + 1, sizeof(*sim->speeds));
    sim->sessions =
        mem_zalloc(sim->config->worker_count + 1, sizeof(*sim->sessions));
    for (uint32_t i = 1; i <= sim->config->worker_count; i++) {
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
        size.cpu_milli = (uint64_t)sim->config->worker_cpu_milli;
        size.memory_mib = (uint64_t)sim->config->worker_memory_mib;
        worker.capacity = &size;
        command.kind_case = FLOW__COMMAND__KIND_WORKER;
        command.worker = &worker;
        apply_command(sim, &command);
        sim->speeds[i] = speeds[rng_below(&sim->rng, 3)];
        sim->sessions[i].usable = true;
        flow_worker(sim->state, i)->session = &sim->sessions[i];
    }
}

/* Draws the step with that index, which depends on the one before it, and adds
 * its tasks to m. base_ms is the mean run time of its tasks. */
static Flow__Step *
draw_step(struct simulation *sim, const struct flow_job_kind *k, size_t index,
          struct job_model *m, double base_ms)
{
    Flow__Step *step = mem_alloc(sizeof(*step));
    double tasks = draw_lognormal(&sim->rng, k->tasks_per_step, 0.6,
                                  k->tasks_per_step_max);
    double longest = 0;

    flow__step__init(step);
    step->count = tasks < 1 ? 1 : (uint32_t)tasks;
    step->gang = rng_unit(&sim->rng) < k->gang_share;
    step->size = mem_alloc(sizeof(*step->size));
    flow__size__init(step->size);
    step->size->cpu_milli = (uint64_t)draw_lognormal(&sim->rng, k->cpu_milli,
                                                     0.4, k->cpu_milli_max);
    step->size->memory_mib = (uint64_t)draw_lognormal(&sim->rng, k->memory_mib,
                                                      0.5, k->memory_mib * 3);
    if (index > 0) {
        step->after = mem_alloc(sizeof(*step->after));
        step->after[0] = (uint32_t)index - 1;
        step->n_after = 1;
    }
    m->first_task[index] = m->task_count;
    for (uint32_t i = 0; i < step->count; i++) {
        double ms =
            step->gang ? base_ms : base_ms * (0.7 + 0.6 * rng_unit(&sim->rng));

        m->durations_ms = mem_realloc(m->durations_ms, m->task_count + 1,
                                      sizeof(*m->durations_ms));
        m->durations_ms[m->task_count++] = ms;
        m->work_core_ms += ms * (double)step->size->cpu_milli / 1000;
        longest = ms > longest ? ms : longest;
    }
    step->estimate_ms =
        (uint32_t)(longest *
                   (1 + k->estimate_error * (2 * rng_unit(&sim->rng) - 1)));
    m->objective_ms +=
        longest + k->approval_ms + 30.0 * k->approval_worker_us / 1000;
    return step;
}

/* A gang that exceeds the limit of its team could never start. */
static void
cap_to_limit(Flow__Step *step, uint64_t limit)
{
    uint64_t fitting = limit / (step->size->cpu_milli + 1);

    if (limit != 0 && step->gang && step->count > fitting) {
        step->count = fitting > 0 ? (uint32_t)fitting : 1;
    }
}

static void
submit_job(struct simulation *sim, size_t kind)
{
    const struct flow_job_kind *k = &sim->config->kinds[kind];
    Flow__Submit submit = FLOW__SUBMIT__INIT;
    Flow__JobSpec *spec = mem_alloc(sizeof(*spec));
    Flow__Command command = FLOW__COMMAND__INIT;
    struct job_model *m;
    char team_name[TEAM_NAME_BYTES];
    size_t team = draw_team(sim);
    size_t steps = 1;
    double base_ms =
        draw_lognormal(&sim->rng, k->task_ms, 0.5, k->task_ms_max);

    sim->jobs = mem_realloc(sim->jobs, sim->job_count + 1, sizeof(*sim->jobs));
    m = &sim->jobs[sim->job_count++];
    *m = (struct job_model){
        .id = sim->job_count, .kind = kind, .arrived_ms = sim->now_ms};
    while (steps < 4 && rng_unit(&sim->rng) < k->steps_per_job - 1) {
        steps++;
    }
    flow__job_spec__init(spec);
    spec->steps = mem_alloc(steps * sizeof(*spec->steps));
    for (size_t i = 0; i < steps; i++) {
        spec->steps[spec->n_steps++] = draw_step(sim, k, i, m, base_ms);
        cap_to_limit(spec->steps[i], team_cpu_limit(sim, team));
    }
    m->objective_ms = m->objective_ms * k->stretch + k->target_ms;
    submit.job = m->id;
    submit.queue = (char *)k->name;
    snprintf(team_name, sizeof(team_name), "team%zu", team);
    submit.team = team_name;
    submit.spec = spec;
    submit.wall_ms = sim->now_ms;
    command.kind_case = FLOW__COMMAND__KIND_SUBMIT;
    command.submit = &submit;
    apply_command(sim, &command);
    flow__job_spec__free_unpacked(spec, NULL);
    flow_job(sim->state, m->id)->arrived_ns = sim->now_ms * NS_PER_MS;
    sim->planning_needed = true;
}

static void
generate_arrivals(struct simulation *sim)
{
    for (size_t i = 0; i < sim->config->kind_count; i++) {
        const struct flow_job_kind *k = &sim->config->kinds[i];
        double rate = k->jobs_per_second;

        if (sim->now_ms >= 8000 && sim->now_ms < 12000 &&
            k->burst_factor > 0) {
            rate *= k->burst_factor;
        }
        if (rng_unit(&sim->rng) < rate * TICK_MS / 1000) {
            submit_job(sim, i);
        }
    }
}

/* Reports the service's answer for one worker. It depends only on the seed,
 * the step and the worker, so that repeated requests get the same answer. */
static bool
is_approved(const struct simulation *sim, const struct approval_call *a,
            uint32_t worker)
{
    struct rng r = {
        .state = a->task.job * 1315423911u ^ (a->task.step + 1) * 2654435761u ^
                 worker * UINT64_C(0x9e3779b97f4a7c15) ^ sim->config->seed};
    const struct flow_job_kind *k =
        &sim->config->kinds[sim->jobs[a->task.job - 1].kind];
    const Flow__Step *step =
        flow_job(sim->state, a->task.job)->spec->steps[a->task.step];
    double tasks_per_worker =
        fmin(floor(sim->config->worker_cpu_milli /
                   (double)(step->size->cpu_milli + 1)),
             floor(sim->config->worker_memory_mib /
                   (double)(step->size->memory_mib + 1)));
    /* Approve enough workers for twice the tasks of the step, so that every
     * job can complete. */
    double share_min = 2.0 * step->count /
                       (tasks_per_worker * (double)sim->config->worker_count);

    rng_next(&r);
    return rng_unit(&r) < fmax(k->approved_share, share_min);
}

static void
deliver_answer(struct simulation *sim, const struct approval_call *a)
{
    struct flow_step *step;
    size_t answers = 0;
    size_t approved = 0;

    sim->vm_open_calls[a->vm]--;
    sim->planning_needed = true;
    if (flow_task(sim->state, &a->task, &step) == NULL) {
        return;
    }
    plan_record_response(step);
    for (size_t i = 0; i < a->count; i++) {
        bool ok = is_approved(sim, a, a->workers[i]);

        if (plan_record_verdict(step, a->workers[i], ok,
                                ok ? STR("t") : STR(""),
                                (sim->now_ms + TICKET_MS - 10) * NS_PER_MS)) {
            answers++;
            approved += ok;
        }
    }
    plan_observe_approvals(flow_job(sim->state, a->task.job)->queue, answers,
                           approved);
}

static void
deliver_due_answers(struct simulation *sim)
{
    for (size_t i = 0; i < sim->call_count;) {
        if (sim->calls[i].answer_ms > sim->now_ms) {
            i++;
            continue;
        }
        deliver_answer(sim, &sim->calls[i]);
        sim->calls[i] = sim->calls[--sim->call_count];
    }
}

/* Returns the VM that the leader would send a request to, or SIZE_MAX. */
static size_t
find_least_loaded_vm(const struct simulation *sim, bool long_request)
{
    size_t best = SIZE_MAX;

    for (size_t i = 0; i < sim->config->approval_vms; i++) {
        const struct approval_vm vm = {
            .index = i,
            .open_requests = (uint32_t)sim->vm_open_calls[i],
            .expected_ms = sim->vm_free_at_ms[i] - sim->now_ms,
        };

        if (approval_vm_can_take(&vm, long_request, 0) &&
            (best == SIZE_MAX ||
             sim->vm_free_at_ms[i] < sim->vm_free_at_ms[best])) {
            best = i;
        }
    }
    return best;
}

static void
send_request(struct simulation *sim, const struct plan_approval_request *in)
{
    const struct flow_queue *q = in->job->queue;
    struct approval_call *a;
    size_t best =
        find_least_loaded_vm(sim, approval_vm_is_long(q->approval_ms));
    int64_t free_at_ms;

    if (best == SIZE_MAX) {
        return;
    }
    sim->calls =
        mem_realloc(sim->calls, sim->call_count + 1, sizeof(*sim->calls));
    a = &sim->calls[sim->call_count++];
    memset(a, 0, sizeof(*a));
    flow__task__init(&a->task);
    a->task.job = in->job->id;
    a->task.occurrence = in->occurrence->number;
    a->task.step = (uint32_t)(in->step - in->occurrence->steps);
    a->count = in->count;
    memcpy(a->workers, in->workers, in->count * sizeof(in->workers[0]));
    a->vm = best;
    sim->vm_open_calls[best]++;
    sim->result->kinds[sim->jobs[in->job->id - 1].kind].approval_requests++;
    sim->result->kinds[sim->jobs[in->job->id - 1].kind].approval_ms_total +=
        q->approval_ms + (double)in->count * q->approval_worker_us / 1000;
    free_at_ms = sim->vm_free_at_ms[best] > sim->now_ms
                     ? sim->vm_free_at_ms[best]
                     : sim->now_ms;
    sim->vm_free_at_ms[best] =
        free_at_ms + q->approval_ms +
        (int64_t)in->count * q->approval_worker_us / 1000;
    a->answer_ms = sim->vm_free_at_ms[best] + 6;
    plan_record_request(in->step, INT64_MAX);
    plan_charge_request(in, sim->now_ms * NS_PER_MS);
}

/* Records the first violation of an invariant. */
static void
record_violation(struct simulation *sim, const char *what,
                 const struct plan_start *s)
{
    if (sim->result->violation[0] == '\0') {
        snprintf(sim->result->violation, sizeof(sim->result->violation),
                 "%s: job %llu step %zu task %u at %lld ms", what,
                 (unsigned long long)s->job->id,
                 (size_t)(s->step - s->occurrence->steps), s->index,
                 (long long)sim->now_ms);
    }
}

static void
check_start(struct simulation *sim, const struct plan_start *s)
{
    const struct flow_worker *worker = s->worker;

    if (!flow_step_is_ready(s->occurrence, s->step)) {
        record_violation(sim, "started before the steps it depends on", s);
    }
    if (worker->used.cpu_milli > worker->capacity.cpu_milli ||
        worker->used.memory_mib > worker->capacity.memory_mib) {
        record_violation(sim, "worker over its capacity", s);
    }
    if (s->step->spec->gang && s->step->assigned == 0) {
        record_violation(sim, "gang not started whole", s);
    }
}

static bool
is_slow(const struct simulation *sim, uint32_t worker)
{
    return sim->now_ms >= 10000 && sim->now_ms < 18000 &&
           worker <= (uint32_t)((double)sim->config->worker_count *
                                sim->config->slow_share);
}

static void
start_run(struct simulation *sim, const struct plan_start *s)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Task task = FLOW__TASK__INIT;
    const struct job_model *m = &sim->jobs[s->job->id - 1];
    size_t step = (size_t)(s->step - s->occurrence->steps);
    double ms = m->durations_ms[m->first_task[step] + s->index];
    double speed = sim->speeds[s->worker->number];
    struct sim_run *r;

    task.job = s->job->id;
    task.occurrence = s->occurrence->number;
    task.step = (uint32_t)step;
    task.index = s->index;
    task.run = s->run;
    task.worker = s->worker->number;
    command.kind_case = FLOW__COMMAND__KIND_START;
    command.start = &task;
    apply_command(sim, &command);
    s->step->tasks[s->index].run_started_ns =
        (sim->now_ms + COMMIT_MS) * NS_PER_MS;
    if (is_slow(sim, s->worker->number)) {
        speed /= sim->config->slow_factor;
    }
    sim->runs = mem_realloc(sim->runs, sim->run_count + 1, sizeof(*sim->runs));
    r = &sim->runs[sim->run_count++];
    *r = (struct sim_run){.begin_ms = sim->now_ms + COMMIT_MS,
                          .end_ms = sim->now_ms + 2 * COMMIT_MS +
                                    (int64_t)(ms / speed),
                          .task = task};
}

static double
thread_cpu_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* Records how long a round took, and when the next may begin. */
static void
charge_planner(struct simulation *sim, double took_ms)
{
    struct flow_world_result *out = sim->result;
    double share = sim->config->planner_share;

    out->rounds++;
    out->round_ms_mean += (took_ms - out->round_ms_mean) / (double)out->rounds;
    out->round_ms_max =
        took_ms > out->round_ms_max ? took_ms : out->round_ms_max;
    if (share > 0) {
        double busy_ms = took_ms / share * (1 + PLAN_PAUSE_FACTOR);

        sim->planner_free_at_ms =
            sim->now_ms + (int64_t)(busy_ms > PLAN_PAUSE_MIN_MS
                                        ? busy_ms
                                        : PLAN_PAUSE_MIN_MS);
    }
}

static void
run_planner(struct simulation *sim)
{
    double began_ms = thread_cpu_ms();
    size_t calls_free = 0;
    struct plan_limits limits = {.starts = 400,
                                 .reservations = sim->config->reservations};

    for (size_t i = 0; i < sim->config->approval_vms; i++) {
        calls_free +=
            approval_vm_free_requests((uint32_t)sim->vm_open_calls[i]);
    }
    limits.approval_requests = calls_free;
    if (sim->config->planner_share > 0 && calls_free > ROUND_REQUESTS_MAX) {
        limits.approval_requests = ROUND_REQUESTS_MAX;
    }
    sim->planning_needed = false;
    plan_make(sim->state, sim->now_ms * NS_PER_MS, &limits, &sim->plan);
    charge_planner(sim, thread_cpu_ms() - began_ms);
    for (size_t i = 0; i < sim->plan.start_count; i++) {
        start_run(sim, &sim->plan.starts[i]);
    }
    for (size_t i = 0; i < sim->plan.start_count; i++) {
        check_start(sim, &sim->plan.starts[i]);
    }
    for (size_t i = 0; i < sim->plan.approval_request_count; i++) {
        send_request(sim, &sim->plan.approval_requests[i]);
    }
}

static void
end_run(struct simulation *sim, const struct sim_run *r)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__End end = FLOW__END__INIT;
    Flow__End *list[] = {&end};
    Flow__Task task = r->task;
    struct flow_worker *worker = flow_worker(sim->state, task.worker);
    struct flow_job *j = flow_job(sim->state, task.job);
    struct job_model *m = &sim->jobs[task.job - 1];

    if (worker != NULL && j != NULL) {
        plan_observe_run(worker, j->queue, (double)(sim->now_ms - r->begin_ms),
                         j->spec->steps[task.step]->estimate_ms,
                         sim->now_ms * NS_PER_MS);
    }
    end.task = &task;
    end.how = FLOW_END_DONE;
    ends.worker = task.worker;
    ends.ends = list;
    ends.n_ends = 1;
    command.kind_case = FLOW__COMMAND__KIND_ENDS;
    command.ends = &ends;
    apply_command(sim, &command);
    sim->planning_needed = true;
    if (j != NULL && j->state == FLOW_JOB_COMPLETED && !m->finished) {
        m->finished = true;
        m->completed_ms = sim->now_ms;
    }
}

/* Replaces all that a leader does not replicate, as a new leader would. */
static void
change_leader(struct simulation *sim)
{
    struct buf bytes = {0};

    flow_state_encode(sim->state, &bytes);
    flow_state_destroy(sim->state);
    sim->state = flow_state_decode(buf_str(&bytes));
    buf_free(&bytes);
    for (size_t i = 0; i < sim->call_count; i++) {
        sim->vm_open_calls[sim->calls[i].vm]--;
    }
    sim->call_count = 0;
    for (uint32_t i = 1; i <= sim->config->worker_count; i++) {
        struct flow_worker *w = flow_worker(sim->state, i);

        sim->sessions[i] = (struct plan_worker){.usable = true};
        if (w != NULL) {
            w->session = &sim->sessions[i];
        }
    }
    for (struct flow_job *j = flow_first_live(sim->state); j != NULL;
         j = j->next) {
        j->arrived_ns = j->wall_ms * NS_PER_MS;
    }
    sim->planning_needed = true;
}

static void
end_due_runs(struct simulation *sim)
{
    for (size_t i = 0; i < sim->run_count;) {
        struct sim_run r = sim->runs[i];

        if (r.end_ms > sim->now_ms) {
            i++;
            continue;
        }
        sim->runs[i] = sim->runs[--sim->run_count];
        end_run(sim, &r);
    }
}

/* Removes the configured share of the workers at 10 s, with their runs. */
static void
lose_workers(struct simulation *sim)
{
    size_t lost =
        (size_t)((double)sim->config->worker_count * sim->config->lost_share);

    if (sim->now_ms != 10000) {
        return;
    }
    for (uint32_t n = 1; n <= lost; n++) {
        Flow__Command command = FLOW__COMMAND__INIT;
        Flow__WorkerLost gone = FLOW__WORKER_LOST__INIT;

        gone.worker = n;
        command.kind_case = FLOW__COMMAND__KIND_LOST;
        command.lost = &gone;
        apply_command(sim, &command);
        for (size_t i = 0; i < sim->run_count;) {
            if (sim->runs[i].task.worker == n) {
                sim->runs[i] = sim->runs[--sim->run_count];
            }
            else {
                i++;
            }
        }
    }
    sim->planning_needed = true;
}

static void
add_cpu_usage(struct simulation *sim)
{
    struct flow_worker *worker;
    void *cursor = NULL;

    while ((worker = flow_worker_next(sim->state, &cursor)) != NULL) {
        sim->used_core_us += (double)worker->used.cpu_milli * TICK_MS;
    }
}

/* Returns the share of its value that a job earns: all of it in time, a fifth
 * when late, nothing beyond three times its objective. */
static double
earned_share_of(const struct job_model *m)
{
    double took = (double)(m->completed_ms - m->arrived_ms);

    if (!m->finished || took > 3 * m->objective_ms) {
        return 0;
    }
    return took <= m->objective_ms ? 1 : 0.2;
}

static int
compare_by_work(const void *a, const void *b)
{
    const struct job_model *x = *(const struct job_model *const *)a;
    const struct job_model *y = *(const struct job_model *const *)b;

    return (x->work_core_ms < y->work_core_ms) -
           (x->work_core_ms > y->work_core_ms);
}

/* Computes the result of one kind of job and adds the value of its jobs to the
 * totals. A job's value grows with its work, up to four times the average. */
static void
compute_kind_result(struct simulation *sim, size_t kind, double *total_value,
                    double *earned_value)
{
    struct flow_kind_result *out = &sim->result->kinds[kind];
    const struct job_model **jobs =
        mem_alloc((sim->job_count + 1) * sizeof(*jobs));
    double sum = 0;
    double total_work = 0;
    double largest = 0;
    size_t n = 0;

    for (size_t i = 0; i < sim->job_count; i++) {
        if (sim->jobs[i].kind == kind) {
            jobs[n++] = &sim->jobs[i];
            total_work += sim->jobs[i].work_core_ms;
        }
    }
    qsort(jobs, n, sizeof(*jobs), compare_by_work);
    for (size_t i = 0; i < n; i++) {
        double share = earned_share_of(jobs[i]);
        double value =
            0.3 + 0.7 * jobs[i]->work_core_ms / (total_work / (double)n);

        value = (value > 4 ? 4 : value) * sim->config->kinds[kind].value;
        *total_value += value;
        *earned_value += share * value;
        sum += share;
        largest += i < n / 10 ? share : 0;
        out->in_time += share == 1;
        out->late += share > 0 && share < 1;
        out->useless += share == 0;
        sim->result->unfinished += !jobs[i]->finished;
    }
    out->jobs = n;
    out->earned_share = n == 0 ? 1 : sum / (double)n;
    out->largest_earned_share = n < 10 ? 1 : largest / floor((double)n / 10);
    mem_free(jobs);
}

static void
compute_result(struct simulation *sim)
{
    double total_value = 0;
    double earned_value = 0;

    for (size_t i = 0; i < sim->config->kind_count; i++) {
        compute_kind_result(sim, i, &total_value, &earned_value);
    }
    sim->result->earned_share =
        total_value > 0 ? earned_value / total_value : 1;
    sim->result->cpu_busy_share =
        sim->used_core_us /
        ((double)sim->config->worker_count * sim->config->worker_cpu_milli *
         (double)sim->config->arrivals_ms);
}

static void
simulation_free(struct simulation *sim)
{
    for (size_t i = 0; i < sim->job_count; i++) {
        mem_free(sim->jobs[i].durations_ms);
    }
    plan_free(&sim->plan);
    flow_state_destroy(sim->state);
    mem_free(sim->jobs);
    mem_free(sim->runs);
    mem_free(sim->calls);
    mem_free(sim->speeds);
    mem_free(sim->sessions);
    mem_free(sim->vm_free_at_ms);
    mem_free(sim->vm_open_calls);
}

void
flow_world_run(const struct flow_world_config *config,
               struct flow_world_result *result)
{
    struct simulation sim = {.config = config,
                             .state = flow_state_create(),
                             .rng = {config->seed},
                             .result = result};

    memset(result, 0, sizeof(*result));
    sim.vm_free_at_ms =
        mem_zalloc(config->approval_vms, sizeof(*sim.vm_free_at_ms));
    sim.vm_open_calls =
        mem_zalloc(config->approval_vms, sizeof(*sim.vm_open_calls));
    apply_config(&sim);
    register_workers(&sim);
    for (sim.now_ms = TICK_MS; sim.now_ms < config->arrivals_ms + DRAIN_MS;
         sim.now_ms += TICK_MS) {
        if (sim.now_ms < config->arrivals_ms) {
            generate_arrivals(&sim);
            add_cpu_usage(&sim);
        }
        lose_workers(&sim);
        if (config->leader_change_ms != 0 &&
            sim.now_ms / TICK_MS == config->leader_change_ms / TICK_MS) {
            change_leader(&sim);
        }
        end_due_runs(&sim);
        deliver_due_answers(&sim);
        if ((sim.planning_needed || sim.now_ms % 50 == 0) &&
            sim.now_ms >= sim.planner_free_at_ms) {
            run_planner(&sim);
        }
    }
    compute_result(&sim);
    simulation_free(&sim);
}

void
flow_world_echeverria(struct flow_world_config *config, uint64_t seed)
{
    *config = (struct flow_world_config){.seed = seed,
                                         .worker_count = 48,
                                         .worker_cpu_milli = 16000,
                                         .worker_memory_mib = 32768,
                                         .approval_vms = 13,
                                         .reservations = 6,
                                         .arrivals_ms = 34000,
                                         .kind_count = 3,
                                         .kinds = {{.name = "/statement/",
                                                    .jobs_per_second = 1.47,
                                                    .burst_factor = 1,
                                                    .priority = 1,
                                                    .value = 12.7,
                                                    .stretch = 2.2,
                                                    .target_ms = 1000,
                                                    .tasks_per_step = 6.4,
                                                    .tasks_per_step_max = 32,
                                                    .steps_per_job = 1.2,
                                                    .cpu_milli = 4500,
                                                    .cpu_milli_max = 7600,
                                                    .memory_mib = 6400,
                                                    .task_ms = 6200,
                                                    .task_ms_max = 16000,
                                                    .estimate_error = 0.2,
                                                    .gang_share = 1,
                                                    .approval_ms = 510,
                                                    .approval_worker_us = 7300,
                                                    .approved_share = 0.3},
                                                   {.name = "/damage/",
                                                    .jobs_per_second = 5.43,
                                                    .burst_factor = 1,
                                                    .priority = 2,
                                                    .value = 2.15,
                                                    .stretch = 4,
                                                    .target_ms = 3000,
                                                    .tasks_per_step = 10,
                                                    .tasks_per_step_max = 60,
                                                    .steps_per_job = 1.5,
                                                    .cpu_milli = 980,
                                                    .cpu_milli_max = 2900,
                                                    .memory_mib = 1400,
                                                    .task_ms = 2700,
                                                    .task_ms_max = 6800,
                                                    .estimate_error = 0.2,
                                                    .approval_ms = 66,
                                                    .approval_worker_us = 940,
                                                    .approved_share = 0.45},
                                                   {.name = "/stock/",
                                                    .jobs_per_second = 38.5,
                                                    .burst_factor = 2,
                                                    .priority = 0,
                                                    .value = 0.425,
                                                    .stretch = 1.5,
                                                    .target_ms = 250,
                                                    .tasks_per_step = 2,
                                                    .tasks_per_step_max = 12,
                                                    .steps_per_job = 1,
                                                    .cpu_milli = 1400,
                                                    .cpu_milli_max = 4200,
                                                    .memory_mib = 2000,
                                                    .task_ms = 800,
                                                    .task_ms_max = 2000,
                                                    .estimate_error = 0.9,
                                                    .gang_share = 0.3,
                                                    .approval_ms = 10,
                                                    .approval_worker_us = 130,
                                                    .approved_share = 0.7}}};
}

void
flow_world_trentside(struct flow_world_config *config, uint64_t seed)
{
    flow_world_echeverria(config, seed);
    config->worker_cpu_milli = 32000;
    config->worker_memory_mib = 131072;
    config->approval_vms = 11;
    config->kinds[0].jobs_per_second = 1.44;
    config->kinds[0].cpu_milli = 9000;
    config->kinds[0].cpu_milli_max = 15200;
    config->kinds[0].value = 16;
    config->kinds[1].jobs_per_second = 6.77;
    config->kinds[1].cpu_milli = 2000;
    config->kinds[1].cpu_milli_max = 5800;
    config->kinds[1].task_ms = 2200;
    config->kinds[2].jobs_per_second = 48.1;
    config->kinds[2].cpu_milli = 2800;
    config->kinds[2].cpu_milli_max = 8400;
    config->kinds[2].task_ms = 640;
}

void
flow_world_grown(struct flow_world_config *config, uint64_t seed)
{
    flow_world_echeverria(config, seed);
    config->worker_count = 350;
    config->approval_vms = 42;
    config->kinds[0].jobs_per_second = 3.43;
    config->kinds[0].tasks_per_step = 20;
    config->kinds[0].tasks_per_step_max = 100;
    config->kinds[1].jobs_per_second = 8.98;
    config->kinds[1].tasks_per_step = 25;
    config->kinds[1].tasks_per_step_max = 150;
    config->kinds[1].cpu_milli = 1700;
    config->kinds[1].cpu_milli_max = 5000;
    config->kinds[2].jobs_per_second = 100;
    config->kinds[2].tasks_per_step = 3;
    config->kinds[2].tasks_per_step_max = 18;
    config->kinds[2].cpu_milli = 2500;
    config->kinds[2].cpu_milli_max = 7500;
}

void
flow_world_full(struct flow_world_config *config, uint64_t seed)
{
    flow_world_grown(config, seed);
    config->worker_cpu_milli = 64000;
    config->worker_memory_mib = 131072;
    config->approval_vms = 40;
    config->reservations = 23;
    config->kinds[0].jobs_per_second = 3.81;
    config->kinds[0].cpu_milli = 18000;
    config->kinds[0].cpu_milli_max = 30000;
    config->kinds[0].memory_mib = 33000;
    config->kinds[0].value = 16.3;
    config->kinds[0].approval_ms = 702;
    config->kinds[0].approval_worker_us = 10010;
    config->kinds[1].jobs_per_second = 12.3;
    config->kinds[1].burst_factor = 1.7;
    config->kinds[1].cpu_milli = 6900;
    config->kinds[1].cpu_milli_max = 20000;
    config->kinds[1].memory_mib = 10000;
    config->kinds[1].task_ms = 2200;
    config->kinds[1].task_ms_max = 6000;
    config->kinds[1].value = 3.14;
    config->kinds[1].approval_ms = 104;
    config->kinds[1].approval_worker_us = 1430;
    config->kinds[2].jobs_per_second = 138;
    config->kinds[2].cpu_milli = 9900;
    config->kinds[2].cpu_milli_max = 29000;
    config->kinds[2].memory_mib = 10000;
    config->kinds[2].task_ms = 640;
    config->kinds[2].task_ms_max = 1600;
    config->kinds[2].value = 0.394;
    config->kinds[2].approval_ms = 9;
    config->kinds[2].approval_worker_us = 130;
}

void
flow_world_large(struct flow_world_config *config, uint64_t seed)
{
    flow_world_grown(config, seed);
    config->worker_count = 1100;
    config->worker_memory_mib = 65536;
    config->approval_vms = 151;
    config->reservations = 61;
    config->planner_share = 0.6;
    config->teams = 60;
    config->team_limit_factor = 1.9;
    config->kinds[0].jobs_per_second = 8.31;
    config->kinds[0].tasks_per_step = 40;
    config->kinds[0].tasks_per_step_max = 240;
    config->kinds[0].memory_mib = 13000;
    config->kinds[0].task_ms = 4000;
    config->kinds[0].task_ms_max = 10000;
    config->kinds[0].value = 6.42;
    config->kinds[0].approval_ms = 390;
    config->kinds[0].approval_worker_us = 5600;
    config->kinds[1].jobs_per_second = 11.2;
    config->kinds[1].tasks_per_step = 40;
    config->kinds[1].tasks_per_step_max = 200;
    config->kinds[1].cpu_milli = 2700;
    config->kinds[1].cpu_milli_max = 8200;
    config->kinds[1].memory_mib = 5600;
    config->kinds[1].value = 2.97;
    config->kinds[1].approval_ms = 140;
    config->kinds[1].approval_worker_us = 2000;
    config->kinds[2].jobs_per_second = 114;
    config->kinds[2].tasks_per_step = 4.5;
    config->kinds[2].tasks_per_step_max = 27;
    config->kinds[2].cpu_milli = 3900;
    config->kinds[2].cpu_milli_max = 12000;
    config->kinds[2].memory_mib = 14000;
    config->kinds[2].task_ms = 1000;
    config->kinds[2].task_ms_max = 2500;
    config->kinds[2].value = 0.409;
    config->kinds[2].approval_ms = 14;
    config->kinds[2].approval_worker_us = 200;
}

void
flow_world_scarce(struct flow_world_config *config, uint64_t seed)
{
    flow_world_full(config, seed);
    config->approval_vms = 40;
    config->kinds[0].estimate_error = 0.5;
    config->kinds[1].burst_factor = 1;
}
