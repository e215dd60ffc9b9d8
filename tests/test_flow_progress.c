#include <glib.h>
#include <string.h>

#include "clock.h"
#include "flow_fixture.h"
#include "mem.h"
#include "rng.h"

/*
 * Progress of jobs under the planner alone: fleets and jobs are drawn from a
 * seed, and after the last arrival nothing happens but the ends of runs and
 * the rounds that the planner has asked for itself. A job that waits although
 * its team and its service use less than half of what they may, with room for
 * it twice over, must start within START_MAX_MS.
 *
 * PROGRESS_SEED in the environment plays that seed only.
 */

enum {
    SEEDS = 300,
    WORKERS_MAX = 10,
    QUEUES = 3, /* one of each priority */
    TEAMS = 3,
    JOBS_MAX = 40,
    FEW_JOBS_MAX = 4, /* so that nothing else causes a round */
    STEPS_MAX = 2,
    RUNS_MAX = 4096,
    ARRIVALS_MS = 8000,
    HORIZON_MS = 120000,
    AVOID_MS = 1500, /* a worker that refused a start */
    STOP_MS = 50,
    COMMIT_MS = 4,
    START_MAX_MS = 3000,
    CALM_MS = 4000, /* after the last refusal or start of a worker */
};

/* What a world has besides plain tasks. */
enum feature {
    FEATURE_GANGS = 1,
    FEATURE_LIMITS = 2,
    FEATURE_ENDLESS = 4,
    FEATURE_REFUSALS = 8,
    FEATURE_OVERRUNS = 16,
    FEATURE_TARGETS = 32, /* tasks with a target beside best-effort ones */
};

struct active_run {
    uint64_t job;
    uint32_t step;
    uint32_t index;
    uint32_t run;
    uint32_t worker;
    int64_t ends_ns; /* INT64_MAX: never */
    enum flow_run_end how;
    bool best_effort;
};

struct job_watch {
    int64_t arrives_ns;
    bool submitted;
    int64_t waits_since_ns; /* when it should have started; 0: it need not */
};

struct world {
    struct flow_fixture fixture;
    struct rng rng;
    unsigned features;
    int64_t now;
    int64_t calm_from_ns;
    struct plan plan;
    bool plan_needed;
    uint32_t workers[WORKERS_MAX];
    size_t worker_count;
    struct flow_size capacity;
    struct job_watch jobs[JOBS_MAX];
    size_t job_count;
    struct active_run runs[RUNS_MAX];
    size_t run_count;
    uint64_t endless_cpu;
    int label_percent;   /* of the steps */
    int refusal_percent; /* of the starts */
    char violation[160];
};

static const struct plan_limits limits = {400, 64, 6, 30000, 2048};

static const char *const queue_names[] = {"q0", "q1", "q2"};
static const char *const team_names[] = {"t0", "t1", "t2"};

static bool
draw(struct world *w, int percent)
{
    return rng_below(&w->rng, 100) < (uint64_t)percent;
}

static uint32_t
draw_between(struct world *w, uint32_t low, uint32_t high)
{
    return low + (uint32_t)rng_below(&w->rng, high - low + 1);
}

static void
add_config(struct world *w)
{
    Flow__Config config = FLOW__CONFIG__INIT;
    Flow__Queue queues[QUEUES];
    Flow__Queue *queue_list[QUEUES];
    Flow__Service service = FLOW__SERVICE__INIT;
    Flow__Service *services[] = {&service};
    Flow__Team teams[TEAMS];
    Flow__Team *team_list[TEAMS];
    Flow__Size team_limits[TEAMS];
    Flow__Command command = FLOW__COMMAND__INIT;

    for (int i = 0; i < QUEUES; i++) {
        flow__queue__init(&queues[i]);
        queues[i].name = (char *)queue_names[i];
        queues[i].host = (char *)"host";
        queues[i].prefix = (char *)queue_names[i];
        queues[i].service = (char *)"s";
        queues[i].timeout_ms = 1000;
        queues[i].latency_target_ms = draw_between(w, 250, 3000);
        queues[i].max_attempts = 3;
        queues[i].stretch = 1.2 + 3 * rng_unit(&w->rng);
        queues[i].priority = (uint32_t)i;
        queue_list[i] = &queues[i];
    }
    for (int i = 0; i < TEAMS; i++) {
        flow__team__init(&teams[i]);
        flow__size__init(&team_limits[i]);
        if ((w->features & FEATURE_LIMITS) != 0 && draw(w, 70)) {
            team_limits[i].cpu_milli =
                w->capacity.cpu_milli * draw_between(w, 20, 100) / 100;
        }
        teams[i].name = (char *)team_names[i];
        teams[i].weight = 1;
        teams[i].limit = &team_limits[i];
        team_list[i] = &teams[i];
    }
    service.name = (char *)"s";
    config.version = 2;
    config.queues = queue_list;
    config.n_queues = QUEUES;
    config.services = services;
    config.n_services = 1;
    config.teams = team_list;
    config.n_teams = TEAMS;
    command.kind_case = FLOW__COMMAND__KIND_CONFIG;
    command.config = &config;
    flow_fixture_apply(&w->fixture, &command);
}

static void
add_worker(struct world *w)
{
    static char *labels[] = {(char *)"x", (char *)"r1"};
    Flow__Worker in = FLOW__WORKER__INIT;
    Flow__Size size = FLOW__SIZE__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;
    char id[] = {'w', (char)('0' + w->worker_count), '\0'};
    struct flow_worker *worker;

    in.id = id;
    in.born_ms = 1;
    in.address = (char *)"127.0.0.1:1";
    in.service = (char *)"s";
    size.cpu_milli = 4000 * draw_between(w, 1, 4);
    size.memory_mib = 65536;
    in.capacity = &size;
    if (w->worker_count == 0 || draw(w, 20)) {
        in.labels = labels;
        in.n_labels = G_N_ELEMENTS(labels);
    }
    command.kind_case = FLOW__COMMAND__KIND_WORKER;
    command.worker = &in;
    flow_fixture_apply(&w->fixture, &command);
    worker = flow_worker_by_id(w->fixture.state, str_of(id));
    worker->session = &w->fixture.sessions[worker->number];
    w->fixture.sessions[worker->number].usable = true;
    w->workers[w->worker_count++] = worker->number;
    w->capacity.cpu_milli += size.cpu_milli;
    w->capacity.memory_mib += size.memory_mib;
}

/* Draws a step that lasts, as long as such steps leave most of the fleet. */
static bool
draw_endless(struct world *w, Flow__Step *step)
{
    uint64_t cpu;

    step->count = draw_between(w, 1, 8);
    step->size->cpu_milli = draw_between(w, 5, 20) * 100;
    cpu = step->count * step->size->cpu_milli;
    if ((w->features & FEATURE_ENDLESS) == 0 ||
        w->endless_cpu + cpu > w->capacity.cpu_milli * 2 / 5) {
        return false;
    }
    w->endless_cpu += cpu;
    step->endless = true;
    step->estimate_ms = 60000;
    return true;
}

static Flow__Step *
draw_step(struct world *w, int after)
{
    Flow__Step *step = flow_fixture_create_step(1, 500, after);

    step->size->memory_mib = 64;
    if (after < 0 && draw(w, 20) && draw_endless(w, step)) {
        if ((w->features & FEATURE_TARGETS) != 0) {
            step->tail_target_ms = draw(w, 50) ? 100 : 0;
            step->best_effort = step->tail_target_ms == 0;
        }
    }
    else if ((w->features & FEATURE_GANGS) != 0 && draw(w, 25)) {
        step->gang = true;
        step->count = draw_between(w, 2, 16);
        step->size->cpu_milli = draw_between(w, 5, 40) * 100;
        step->estimate_ms = draw_between(w, 1000, 16000);
    }
    else {
        step->count = draw_between(w, 1, 6);
        step->size->cpu_milli = draw_between(w, 1, 40) * 100;
        step->estimate_ms = draw_between(w, 50, 6000);
        step->best_effort =
            (w->features & FEATURE_TARGETS) != 0 && draw(w, 20);
    }
    if (draw(w, w->label_percent)) {
        step->label = mem_alloc(2);
        memcpy(step->label, "x", 2);
    }
    if (draw(w, 15)) {
        step->per_worker_max = draw_between(w, 1, 2);
    }
    return step;
}

static void
submit(struct world *w, size_t index)
{
    Flow__Step *steps[STEPS_MAX];
    Flow__Submit in = FLOW__SUBMIT__INIT;
    Flow__JobSpec spec = FLOW__JOB_SPEC__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;

    spec.steps = steps;
    steps[spec.n_steps++] = draw_step(w, -1);
    if (!steps[0]->endless && draw(w, 30)) {
        steps[spec.n_steps++] = draw_step(w, 0);
    }
    in.job = index + 1;
    in.queue = (char *)queue_names[draw_between(w, 0, QUEUES - 1)];
    in.team = (char *)team_names[draw_between(w, 0, TEAMS - 1)];
    in.spec = &spec;
    command.kind_case = FLOW__COMMAND__KIND_SUBMIT;
    command.submit = &in;
    flow_fixture_apply(&w->fixture, &command);
    flow_job(w->fixture.state, index + 1)->arrived_ns = w->now;
    for (size_t i = 0; i < spec.n_steps; i++) {
        flow__step__free_unpacked(steps[i], NULL);
    }
    w->jobs[index].submitted = true;
    w->plan_needed = true;
}

static void
add_run(struct world *w, const struct plan_start *s, int64_t ends_ns,
        enum flow_run_end how)
{
    g_assert_cmpuint(w->run_count, <, RUNS_MAX);
    w->runs[w->run_count++] =
        (struct active_run){.job = s->job->id,
                            .step = (uint32_t)(s->step - s->occurrence->steps),
                            .index = s->index,
                            .run = s->run,
                            .worker = s->worker->number,
                            .ends_ns = ends_ns,
                            .how = how,
                            .best_effort = s->step->spec->best_effort};
}

/* Returns the time for which the tasks of one start of a step run. */
static int64_t
draw_run_ns(struct world *w, const struct flow_step *step)
{
    double factor = 0.7 + 0.6 * rng_unit(&w->rng);

    if ((w->features & FEATURE_OVERRUNS) != 0 && draw(w, 8)) {
        factor = draw_between(w, 4, 10);
    }
    return (int64_t)(factor * step->spec->estimate_ms * NS_PER_MS);
}

static bool
draw_refusal(struct world *w)
{
    return (w->features & FEATURE_REFUSALS) != 0 &&
           w->now < (ARRIVALS_MS + CALM_MS) * NS_PER_MS &&
           draw(w, w->refusal_percent);
}

/* Returns whether a member of the gang's run that ends or was refused ends the
 * others. */
static bool
is_same_gang_run(const struct world *w, const struct active_run *a,
                 const struct active_run *b)
{
    struct flow_job *j = flow_job(w->fixture.state, a->job);

    return a->job == b->job && a->step == b->step && a->run == b->run &&
           j != NULL && j->spec->steps[a->step]->gang;
}

static void
end_gang_with(struct world *w, const struct active_run *run, int64_t ends_ns)
{
    for (size_t i = 0; i < w->run_count; i++) {
        struct active_run *other = &w->runs[i];

        if (is_same_gang_run(w, run, other) && other->ends_ns > ends_ns) {
            other->ends_ns = ends_ns;
            other->how = FLOW_END_GANG_ENDED;
        }
    }
}

static void
commit_starts(struct world *w)
{
    size_t first = w->run_count;
    int64_t run_ns = 0;

    for (size_t i = 0; i < w->plan.start_count; i++) {
        const struct plan_start *s = &w->plan.starts[i];
        struct plan_worker *p = plan_worker(s->worker);

        /* The tasks of a gang run for the same time. */
        if (i == 0 || s->step != w->plan.starts[i - 1].step ||
            !s->step->spec->gang) {
            run_ns = draw_run_ns(w, s->step);
        }
        if (draw_refusal(w)) {
            add_run(w, s, w->now + COMMIT_MS * NS_PER_MS,
                    FLOW_END_NOT_STARTED);
            p->avoid_until_ns = w->now + AVOID_MS * NS_PER_MS;
            w->calm_from_ns = p->avoid_until_ns + CALM_MS * NS_PER_MS;
        }
        else {
            add_run(w, s, s->step->spec->endless ? INT64_MAX : w->now + run_ns,
                    FLOW_END_DONE);
        }
    }
    for (size_t i = 0; i < w->plan.start_count; i++) {
        const struct active_run *run = &w->runs[first + i];
        struct flow_step *started = w->plan.starts[i].step;

        flow_fixture_start_run(&w->fixture, run->job, run->step, run->index,
                               run->run, run->worker);
        started->tasks[run->index].run_started_ns = w->now;
    }
    for (size_t i = first; i < w->run_count; i++) {
        if (w->runs[i].how == FLOW_END_NOT_STARTED) {
            end_gang_with(w, &w->runs[i], w->runs[i].ends_ns);
        }
    }
}

/* Ends the best-effort runs on workers that are being cleared. */
static void
stop_displaced(struct world *w)
{
    for (size_t i = 0; i < w->run_count; i++) {
        struct active_run *run = &w->runs[i];
        int64_t stopped_ns = w->now + STOP_MS * NS_PER_MS;

        if (run->best_effort && run->ends_ns > stopped_ns &&
            w->fixture.sessions[run->worker].cleared_until_ns > w->now) {
            run->ends_ns = stopped_ns;
            run->how = FLOW_END_STOPPED;
        }
    }
}

static void
end_due_runs(struct world *w)
{
    for (size_t i = 0; i < w->run_count;) {
        struct active_run run = w->runs[i];

        if (run.ends_ns > w->now) {
            i++;
            continue;
        }
        w->runs[i] = w->runs[--w->run_count];
        flow_fixture_end_run(&w->fixture, run.job, run.step, run.index,
                             run.run, run.worker, run.how, "");
        w->plan_needed = true;
        if (run.how == FLOW_END_DONE) {
            end_gang_with(w, &run, run.ends_ns);
        }
    }
}

static bool
is_under_half(uint64_t used, uint64_t of)
{
    return of == 0 || used * 2 < of;
}

/* Returns how many tasks of the step the workers have room for. */
static uint64_t
count_room(const struct world *w, const struct flow_step *step)
{
    uint64_t tasks = 0;

    for (size_t i = 0; i < w->worker_count; i++) {
        const struct flow_worker *worker =
            flow_worker(w->fixture.state, w->workers[i]);
        uint64_t fits = (worker->capacity.cpu_milli - worker->used.cpu_milli) /
                        step->spec->size->cpu_milli;
        uint32_t max = step->spec->per_worker_max;

        for (uint32_t k = 0; k < step->count && max > 0; k++) {
            max -= step->tasks[k].assigned &&
                   step->tasks[k].worker == worker->number;
        }
        if (step->spec->label[0] != '\0' && worker->label_count == 0) {
            continue;
        }
        tasks += step->spec->per_worker_max != 0 && fits > max ? max : fits;
    }
    return tasks;
}

/* Returns whether a task of the step should run, by the room that there is. */
static bool
should_run(const struct world *w, const struct flow_job *j,
           const struct flow_step *step)
{
    const struct flow_team *team = j->team;
    uint64_t needed = step->spec->gang ? step->count : 1;
    uint64_t cpu = step->spec->size->cpu_milli * needed;
    uint64_t used = 0;

    if (!flow_step_is_ready(&j->occurrences[0], step) ||
        step->done + step->assigned == step->count ||
        (step->assigned > 0 && !step->spec->endless)) {
        return false;
    }
    for (size_t i = 0; i < w->worker_count; i++) {
        used += flow_worker(w->fixture.state, w->workers[i])->used.cpu_milli;
    }
    return is_under_half(used, w->capacity.cpu_milli) &&
           is_under_half(team->used.cpu_milli, team->limit.cpu_milli) &&
           (team->limit.cpu_milli == 0 ||
            team->used.cpu_milli + cpu <= team->limit.cpu_milli) &&
           count_room(w, step) >= 2 * needed;
}

/* Returns whether the job has nothing running, or lacks a task that lasts, and
 * should have. */
static bool
job_should_start(const struct world *w, const struct flow_job *j)
{
    bool runs = false;
    bool should = false;

    if (j == NULL || j->state > FLOW_JOB_RUNNING || j->occurrence_count == 0) {
        return false;
    }
    for (size_t i = 0; i < j->spec->n_steps; i++) {
        const struct flow_step *step = &j->occurrences[0].steps[i];

        runs = runs || (step->assigned > 0 && !step->spec->endless);
        should = should || should_run(w, j, step);
    }
    return should && !runs;
}

static void
check_jobs(struct world *w)
{
    for (size_t i = 0; i < w->job_count; i++) {
        struct job_watch *watch = &w->jobs[i];
        struct flow_job *j = flow_job(w->fixture.state, i + 1);
        int64_t since;

        if (!watch->submitted || !job_should_start(w, j)) {
            watch->waits_since_ns = 0;
            continue;
        }
        if (watch->waits_since_ns == 0) {
            watch->waits_since_ns = w->now;
        }
        since = watch->waits_since_ns > w->calm_from_ns ? watch->waits_since_ns
                                                        : w->calm_from_ns;
        if (w->now - since > START_MAX_MS * NS_PER_MS &&
            w->violation[0] == '\0') {
            g_snprintf(w->violation, sizeof(w->violation),
                       "job %zu (%s, %s) of %s waits since %lld ms, now %lld",
                       i + 1, j->spec->steps[0]->gang ? "gang" : "tasks",
                       j->spec->steps[0]->endless ? "endless" : "ending",
                       j->team->name.ptr, (long long)(since / NS_PER_MS),
                       (long long)(w->now / NS_PER_MS));
        }
    }
}

/* Makes rounds until one starts nothing. */
static void
plan_rounds(struct world *w)
{
    w->plan_needed = w->plan_needed || w->now >= w->plan.reconsider_ns;
    while (w->plan_needed) {
        plan_make(w->fixture.state, w->now, &limits, &w->plan);
        w->plan_needed = w->plan.incomplete || w->plan.start_count > 0;
        commit_starts(w);
        stop_displaced(w);
    }
}

static int64_t
next_event_ns(const struct world *w)
{
    int64_t next = w->plan.reconsider_ns;

    for (size_t i = 0; i < w->job_count; i++) {
        if (!w->jobs[i].submitted && w->jobs[i].arrives_ns < next) {
            next = w->jobs[i].arrives_ns;
        }
    }
    for (size_t i = 0; i < w->run_count; i++) {
        next = w->runs[i].ends_ns < next ? w->runs[i].ends_ns : next;
    }
    return next;
}

static void
world_run(struct world *w)
{
    int64_t horizon_ns = HORIZON_MS * NS_PER_MS;

    while (w->now < horizon_ns && w->violation[0] == '\0') {
        int64_t next;

        end_due_runs(w);
        for (size_t i = 0; i < w->job_count; i++) {
            if (!w->jobs[i].submitted && w->jobs[i].arrives_ns <= w->now) {
                submit(w, i);
            }
        }
        plan_rounds(w);
        check_jobs(w);
        next = next_event_ns(w);
        w->now = next < horizon_ns ? next : horizon_ns;
        /* What waits now has waited until the next event. */
        check_jobs(w);
    }
}

/* Plays a seed. Returns whether each job started in time. */
static bool
play(uint64_t seed, unsigned features)
{
    struct world *w = mem_zalloc(1, sizeof(*w));
    size_t workers;
    bool ok;

    w->rng.state = seed;
    w->features = features;
    w->now = NS_PER_S;
    flow_fixture_init(&w->fixture);
    workers = draw_between(w, 3, WORKERS_MAX);
    for (size_t i = 0; i < workers; i++) {
        add_worker(w);
    }
    add_config(w);
    w->job_count = draw(w, 30) ? draw_between(w, 1, FEW_JOBS_MAX)
                               : draw_between(w, FEW_JOBS_MAX, JOBS_MAX);
    w->label_percent = draw(w, 30) ? 50 : 10;
    w->refusal_percent = draw(w, 30) ? 50 : 10;
    for (size_t i = 0; i < w->job_count; i++) {
        w->jobs[i].arrives_ns =
            NS_PER_S + (int64_t)draw_between(w, 0, ARRIVALS_MS) * NS_PER_MS;
    }
    w->plan.reconsider_ns = INT64_MAX;
    world_run(w);
    ok = w->violation[0] == '\0';
    if (!ok) {
        g_test_message("seed %llu: %s", (unsigned long long)seed,
                       w->violation);
    }
    plan_free(&w->plan);
    flow_fixture_free(&w->fixture);
    mem_free(w);
    return ok;
}

static void
play_seeds(unsigned features)
{
    const char *one = g_getenv("PROGRESS_SEED");
    int failed = 0;

    if (one != NULL) {
        failed += !play(g_ascii_strtoull(one, NULL, 10), features);
        g_assert_cmpint(failed, ==, 0);
        return;
    }
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        failed += !play(seed, features);
    }
    g_assert_cmpint(failed, ==, 0);
}

/* Guards against a worker that refused a start once and stays unused because
 * no round follows the end of its avoidance (review/12). */
static void
refusals(void)
{
    play_seeds(FEATURE_REFUSALS);
}

/* Guards against a gang that reserves workers for good (review/9). */
static void
reservations(void)
{
    play_seeds(FEATURE_GANGS | FEATURE_OVERRUNS);
}

/* Guards against a gang that keeps its team's other jobs waiting although its
 * team never leaves it enough of the limit (review/15). */
static void
team_limits(void)
{
    play_seeds(FEATURE_GANGS | FEATURE_LIMITS | FEATURE_ENDLESS);
}

/* Guards against the same faults together. */
static void
all_but_targets(void)
{
    play_seeds(FEATURE_GANGS | FEATURE_LIMITS | FEATURE_ENDLESS |
               FEATURE_REFUSALS | FEATURE_OVERRUNS);
}

/* Guards against best-effort tasks that wait while each worker has a task with
 * a target (review/14). */
static void
targets(void)
{
    play_seeds(FEATURE_ENDLESS | FEATURE_TARGETS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/flow-progress/refusals", refusals);
    g_test_add_func("/flow-progress/reservations", reservations);
    g_test_add_func("/flow-progress/team-limits", team_limits);
    g_test_add_func("/flow-progress/all-but-targets", all_but_targets);
    g_test_add_func("/flow-progress/targets", targets);
    return g_test_run();
}
