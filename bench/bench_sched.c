#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched_args.h"
#include "sched_model.h"

/*
 * Simulates a fleet in model time, under the scheduler and under two baselines
 * without preemption: first-fit and best-fit. The arrivals are random but
 * seeded, so that a run can be repeated.
 *
 * LOAD is the demand for the scarcest resource as a multiple of its capacity.
 * With wait=S, the load is searched for at which the mean wait of all tasks is
 * S seconds under each policy, so that packing is compared at equal waits.
 *
 * Options:
 *   off           memory sizes and run times are misdeclared, by up to a
 *                 factor of 4
 *   bad           2% of the workers fail every task
 *   cancel        10,000 jobs arrive and are cancelled half-way, only under
 *                 the scheduler
 *   urgent-gangs  one gang in five is urgent
 *   seed=N        seed of the random generator, by default 7
 *   by-work       wait=S is the mean wait weighted by the work of the tasks
 *   reclaim=P     fraction of all run time that may be lost by reclaiming
 *                 shares; 0 for none
 *   above=P       fraction of its share by which a team may exceed the share
 *                 before its tasks are reclaimed
 */

/* Bisection over the load for wait=S. */
enum {
    LOAD_SEARCH_STEPS = 9,
};

static const double LOAD_SEARCH_MIN = 0.5;
static const double LOAD_SEARCH_MAX = 1.3;

static void
schedule_event(struct model *m, struct task_run *r, enum event_kind kind,
               int64_t time_ns)
{
    r->kind = kind;
    r->node.key = time_ns;
    heap_insert(&m->events, &r->node);
}

/* Schedules the next arrival after an exponentially distributed gap. */
static void
schedule_arrival(struct model *m)
{
    struct task_run *r = mem_zalloc(1, sizeof(*r));
    double gap_s = -log(rng_unit(&m->rng) + 1e-12) / m->jobs_per_s;

    schedule_event(m, r, EVENT_ARRIVAL,
                   m->now_ns + (int64_t)(gap_s * (double)NS_PER_S));
}

/*
 * Starts a task of a job on a worker, and schedules its usage report or end.
 */
static void
start_task(struct model *m, struct job *j, uint32_t worker, uint64_t lease,
           const struct sched_size *size)
{
    struct task_run *r = mem_zalloc(1, sizeof(*r));
    bool first_start = j->waiting_tasks > 0;

    r->job = j;
    r->worker = worker;
    r->size = *size;
    r->lease = lease;
    r->started_ns = m->now_ns;
    r->fails = m->faulty_workers && worker % 50 == 7;
    r->ends_ns = m->now_ns + (r->fails ? NS_PER_S : j->run_ns);
    m->decisions++;
    if (first_start) {
        j->waiting_tasks--;
        if (j->arrived_ns >= m->measure_start_ns) {
            record_wait(m, j);
        }
    }
    map_put_u64(m->runs, lease, r);
    add_current_usage(m, r, 1);
    if (m->policy == POLICY_SCHED && m->misdeclared &&
        m->now_ns + 5 * NS_PER_S < r->ends_ns) {
        schedule_event(m, r, EVENT_USAGE, m->now_ns + 5 * NS_PER_S);
    }
    else {
        schedule_event(m, r, EVENT_TASK_END, r->ends_ns);
    }
}

static void
schedule_stop(struct model *m, uint64_t lease, int64_t delay_ns);

static void
send_event(struct model *m, const struct sched_event *e)
{
    int64_t start_ns = clock_now();

    sched_step(m->s, m->now_ns, e, &m->actions);
    m->wall_ns += clock_now() - start_ns;
}

/* Carries out the scheduler's actions, and those that follow from them. */
static void
apply_actions(struct model *m)
{
    for (size_t i = 0; i < m->actions.count; i++) {
        struct sched_action a = m->actions.items[i];
        struct sched_event e = {.kind = SCHED_EVENT_PLACEMENT_COMMITTED};
        struct job *j;
        switch (a.kind) {
        case SCHED_ACTION_PLACE:
            j = map_get_u64(m->jobs, a.u.place.job);
            e.u.lease = a.u.place.lease;
            send_event(m, &e);
            start_task(m, j, a.u.place.worker, a.u.place.lease,
                       &a.u.place.size);
            e.kind = SCHED_EVENT_TASK_RUNNING;
            send_event(m, &e);
            break;
        case SCHED_ACTION_CHECKPOINT:
        case SCHED_ACTION_STOP:
            schedule_stop(m, a.u.lease, 300 * NS_PER_MS);
            break;
        default:
            break;
        }
    }
    sched_actions_clear(&m->actions);
}

/*
 * Ticks while the scheduler has work due, and samples the time per decision.
 */
static void
tick_scheduler(struct model *m)
{
    struct sched_event e = {.kind = SCHED_EVENT_TICK};

    while (sched_next_deadline(m->s) <= m->now_ns) {
        int64_t start_ns = m->wall_ns;
        uint64_t decided = m->decisions;
        send_event(m, &e);
        apply_actions(m);
        decided = m->decisions - decided;
        add_sample(&m->tick_us, (double)(m->wall_ns - start_ns) / NS_PER_US /
                                    (double)(decided == 0 ? 1 : decided));
    }
}

static bool
fits_on_worker(const struct model *m, uint32_t w,
               const struct sched_size *size)
{
    return m->free_resources[w][0] >= (int64_t)size->cpu_milli &&
           m->free_resources[w][1] >= (int64_t)size->memory_mib &&
           m->free_resources[w][2] >= (int64_t)size->accelerators;
}

/* Takes resources of a worker; sign -1 gives them back. */
static void
take_resources(struct model *m, uint32_t w, const struct sched_size *size,
               int sign)
{
    m->free_resources[w][0] -= sign * (int64_t)size->cpu_milli;
    m->free_resources[w][1] -= sign * (int64_t)size->memory_mib;
    m->free_resources[w][2] -= sign * (int64_t)size->accelerators;
}

/* Returns UINT32_MAX if no worker has enough free resources. */
static uint32_t
pick_baseline_worker(struct model *m, const struct sched_size *size)
{
    uint32_t best = UINT32_MAX;
    double best_free_fraction = 0;

    for (uint32_t w = 0; w < m->fleet->workers; w++) {
        double free_fraction;
        if (!fits_on_worker(m, w, size)) {
            continue;
        }
        if (m->policy == POLICY_FIRST_FIT) {
            return w;
        }
        free_fraction = (double)m->free_resources[w][0] /
                            (double)m->fleet->worker_size.cpu_milli +
                        (double)m->free_resources[w][1] /
                            (double)m->fleet->worker_size.memory_mib;
        if (best == UINT32_MAX || free_fraction < best_free_fraction) {
            best = w;
            best_free_fraction = free_fraction;
        }
    }
    return best;
}

/*
 * Places the waiting tasks of j, those of a gang only all together. Returns
 * whether none is left waiting.
 */
static bool
place_baseline_job(struct model *m, struct job *j)
{
    uint32_t workers[16];
    uint32_t needed = j->waiting_tasks;
    uint32_t n = 0;

    while (n < needed) {
        workers[n] = pick_baseline_worker(m, &j->event.size);
        if (workers[n] == UINT32_MAX) {
            break;
        }
        take_resources(m, workers[n++], &j->event.size, 1);
    }
    if (n < needed && j->event.class == SCHED_CLASS_GANG) {
        while (n > 0) {
            take_resources(m, workers[--n], &j->event.size, -1);
        }
    }
    for (uint32_t i = 0; i < n; i++) {
        start_task(m, j, workers[i], m->next_lease++, &j->event.size);
    }
    return j->waiting_tasks == 0;
}

/* Places queued jobs in order until one does not fit. */
static void
tick_baseline(struct model *m)
{
    int64_t start_ns = clock_now();

    while (m->queue_head < m->queue_count) {
        struct job *j = m->queue[m->queue_head];
        if (!j->cancelled && !place_baseline_job(m, j)) {
            break;
        }
        m->queue_head++;
    }
    m->wall_ns += clock_now() - start_ns;
}

/* Submits a job to the scheduler, or appends it to the baselines' queue. */
static void
enqueue_job(struct model *m, struct job *j)
{
    if (m->policy == POLICY_SCHED) {
        struct sched_event e = {.kind = SCHED_EVENT_JOB};
        e.u.job = j->event;
        send_event(m, &e);
        return;
    }
    if ((m->queue_count & (m->queue_count - 1)) == 0) {
        m->queue = mem_realloc(m->queue, m->queue_count * 2 + 1,
                               sizeof(struct job *));
    }
    m->queue[m->queue_count++] = j;
}

static void
submit_random_job(struct model *m)
{
    struct job *j = mem_zalloc(1, sizeof(*j));

    random_job(&m->rng, m->fleet, m->misdeclared, j);
    j->event.job = ++m->last_job;
    j->event.urgent |= m->urgent_gangs && j->event.class == SCHED_CLASS_GANG &&
                       j->event.job % 5 == 0;
    j->arrived_ns = m->now_ns;
    map_put_u64(m->jobs, j->event.job, j);
    enqueue_job(m, j);
}

/* Ends and frees a running task; the baselines retry an idempotent failure. */
static void
end_task(struct model *m, struct task_run *r, enum sched_end end)
{
    add_current_usage(m, r, -1);
    record_run_time(m, r, end == SCHED_END_CHECKPOINTED);
    map_del_u64(m->runs, r->lease);
    if (m->policy == POLICY_SCHED) {
        struct sched_event e = {.kind = SCHED_EVENT_TASK_ENDED};
        e.u.ended = (struct sched_ended_event){r->lease, end};
        send_event(m, &e);
        apply_actions(m);
    }
    else {
        take_resources(m, r->worker, &r->job->event.size, -1);
        if (end == SCHED_END_FAILED && r->job->event.idempotent) {
            r->job->waiting_tasks++;
            r->job->arrived_ns = 0; /* its wait is not recorded again */
            enqueue_job(m, r->job);
        }
    }
    mem_free(r);
}

/* Lets a running task end as checkpointed after delay_ns. */
static void
schedule_stop(struct model *m, uint64_t lease, int64_t delay_ns)
{
    struct task_run *r = map_get_u64(m->runs, lease);

    if (r != NULL && r->kind != EVENT_STOP) {
        heap_remove(&m->events, &r->node);
        schedule_event(m, r, EVENT_STOP, m->now_ns + delay_ns);
    }
}

/* Reports the memory use of a task to the scheduler. */
static void
report_usage(struct model *m, struct task_run *r)
{
    struct sched_event e = {.kind = SCHED_EVENT_USAGE};

    e.u.usage =
        (struct sched_usage_event){.lease = r->lease,
                                   .cpu_milli = 1,
                                   .memory_mib = r->job->used_memory_mib};
    schedule_event(m, r, EVENT_TASK_END, r->ends_ns);
    send_event(m, &e);
    apply_actions(m);
}

/* CANCELLED_JOBS jobs arrive and, after a tick, are cancelled one by one. */
static void
run_mass_cancellation(struct model *m)
{
    uint64_t first_job = m->last_job + 1;
    int64_t start_ns;

    for (int i = 0; i < CANCELLED_JOBS; i++) {
        submit_random_job(m);
    }
    tick_scheduler(m);
    start_ns = m->wall_ns;
    for (uint64_t i = first_job; i < first_job + CANCELLED_JOBS; i++) {
        struct sched_event e = {.kind = SCHED_EVENT_JOB_CANCEL};
        e.u.cancel_job = i;
        ((struct job *)map_get_u64(m->jobs, i))->cancelled = true;
        send_event(m, &e);
    }
    printf("mass cancellation: %.2f us per job\n",
           (double)(m->wall_ns - start_ns) / NS_PER_US / CANCELLED_JOBS);
    apply_actions(m);
}

static void
handle_event(struct model *m, struct task_run *r)
{
    switch (r->kind) {
    case EVENT_ARRIVAL:
        mem_free(r);
        submit_random_job(m);
        schedule_arrival(m);
        break;
    case EVENT_TASK_END:
        end_task(m, r, r->fails ? SCHED_END_FAILED : SCHED_END_DONE);
        break;
    case EVENT_USAGE:
        report_usage(m, r);
        break;
    case EVENT_STOP:
        end_task(m, r, SCHED_END_CHECKPOINTED);
        break;
    }
}

static void
create_scheduler(struct model *m)
{
    struct sched_config config;
    const struct fleet *f = m->fleet;

    fill_config(m, &config);
    m->s = sched_create(&config, 0);
    for (uint32_t t = 0; t < f->teams; t++) {
        struct sched_event e = {.kind = SCHED_EVENT_TEAM};
        e.u.team =
            (struct sched_team_event){t,
                                      get_team_weight(f, t),
                                      {SCHED_UNLIMITED, SCHED_UNLIMITED,
                                       SCHED_UNLIMITED, SCHED_UNLIMITED}};
        send_event(m, &e);
    }
    for (uint32_t w = 0; w < f->workers; w++) {
        struct sched_event e = {.kind = SCHED_EVENT_WORKER_UP};
        char rack[16];
        char domain[16];
        (void)snprintf(rack, sizeof(rack), "r%u", w / f->workers_per_rack);
        (void)snprintf(domain, sizeof(domain), "d%u",
                       w / f->workers_per_rack % f->failure_domains);
        e.u.worker = (struct sched_worker_event){w, 1, f->worker_size,
                                                 str_of(rack), str_of(domain)};
        e.u.worker.capacity.accelerators = w < f->accelerator_workers ? 8 : 0;
        send_event(m, &e);
    }
    m->wall_ns = 0;
}

static void
init_model(struct model *m, const struct fleet *f, enum policy policy,
           double load, int64_t seconds)
{
    m->fleet = f;
    m->policy = policy;
    m->load = load;
    m->end_ns = seconds * NS_PER_S;
    m->measure_start_ns = m->end_ns / 2;
    m->runs = map_create();
    m->jobs = map_create();
    m->next_lease = 1;
    m->free_resources = mem_zalloc(f->workers, sizeof(*m->free_resources));
    for (uint32_t w = 0; w < f->workers; w++) {
        m->free_resources[w][0] = (int64_t)f->worker_size.cpu_milli;
        m->free_resources[w][1] = (int64_t)f->worker_size.memory_mib;
        m->free_resources[w][2] = w < f->accelerator_workers ? 8 : 0;
    }
    set_rate(m, load);
    if (policy == POLICY_SCHED) {
        create_scheduler(m);
    }
}

/*
 * Advances to the next event or deadline of the scheduler, whichever is first,
 * and handles it. Returns false at the end of the run.
 */
static bool
process_next_event(struct model *m)
{
    struct heap_node *n = heap_min(&m->events);
    int64_t time_ns = n == NULL ? DEADLINE_NONE : n->key;
    int64_t deadline_ns =
        m->s == NULL ? DEADLINE_NONE : sched_next_deadline(m->s);

    if (deadline_ns < time_ns) {
        time_ns = deadline_ns > m->now_ns ? deadline_ns : m->now_ns;
        n = NULL;
    }
    if (time_ns > m->end_ns) {
        return false;
    }
    advance_time(m, time_ns);
    if (n != NULL) {
        heap_pop(&m->events);
        handle_event(m, (struct task_run *)n);
    }
    if (m->policy == POLICY_SCHED) {
        tick_scheduler(m);
    }
    else {
        tick_baseline(m);
    }
    return true;
}

/* Runs one policy at a load; the caller prints the results and frees m. */
static void
run_policy(struct model *m, int argc, char **argv, enum policy policy,
           double load)
{
    *m = (struct model){0};
    m->rng.state = get_seed(argc, argv);
    m->misdeclared = has_option(argc, argv, "off");
    m->faulty_workers = has_option(argc, argv, "bad");
    m->urgent_gangs = has_option(argc, argv, "urgent-gangs");
    m->reclaim_max_fraction = get_number_option(argc, argv, "reclaim", -1);
    m->reclaim_min_excess = get_number_option(argc, argv, "above", -1);
    init_model(m, find_fleet(argv[1]), policy, load,
               strtol(argv[3], NULL, 10));
    m->cancel_pending =
        has_option(argc, argv, "cancel") && policy == POLICY_SCHED;
    schedule_arrival(m);
    while (process_next_event(m)) {
        if (m->cancel_pending && m->now_ns >= m->measure_start_ns) {
            m->cancel_pending = false;
            run_mass_cancellation(m);
        }
    }
    record_pending_waits(m);
}

/*
 * Searches for the load at which the mean wait of a policy is wait_s seconds,
 * and leaves the run at that load in m.
 */
static void
run_at_mean_wait(struct model *m, int argc, char **argv, enum policy policy,
                 double wait_s)
{
    double low = LOAD_SEARCH_MIN;
    double high = LOAD_SEARCH_MAX;

    for (int i = 0; i < LOAD_SEARCH_STEPS; i++) {
        double load = (low + high) / 2;
        run_policy(m, argc, argv, policy, load);
        if (compute_mean_wait_s(m, has_option(argc, argv, "by-work")) >
            wait_s) {
            high = load;
        }
        else {
            low = load;
        }
        free_model(m);
    }
    run_policy(m, argc, argv, policy, low);
}

static void
compare_policies(int argc, char **argv)
{
    bool by_mean_wait = strncmp(argv[2], "wait=", 5) == 0;

    printf("%-9s %-10s load  service p50/p99  batch p50/p99    "
           "gang p50/p99     urgent p50/p99  packed  share0  decide/s "
           "p99 us  mean wait/by work\n",
           "policy", "fleet");
    for (int p = POLICY_SCHED; p <= POLICY_BEST_FIT; p++) {
        struct model m;
        if (by_mean_wait) {
            run_at_mean_wait(&m, argc, argv, (enum policy)p,
                             strtod(argv[2] + 5, NULL));
        }
        else {
            run_policy(&m, argc, argv, (enum policy)p, strtod(argv[2], NULL));
        }
        print_results(&m);
        free_model(&m);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 4) {
        (void)fprintf(
            stderr,
            "usage: %s FLEET LOAD|wait=S SECONDS [off] [bad] [cancel] "
            "[urgent-gangs] [seed=N] [by-work] [reclaim=P] [above=P]\n",
            argv[0]);
        return 2;
    }
    compare_policies(argc, argv);
    return 0;
}
