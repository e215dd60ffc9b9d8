#ifndef GV_BENCH_SCHED_MODEL_H
#define GV_BENCH_SCHED_MODEL_H

#include <stdio.h>

#include "heap.h"
#include "map.h"
#include "sched_load.h"

/* The state and the statistics of one benchmark run. */
enum policy {
    POLICY_SCHED,
    POLICY_FIRST_FIT,
    POLICY_BEST_FIT,
};

enum event_kind {
    EVENT_ARRIVAL,  /* a job arrives */
    EVENT_TASK_END, /* a task ends by itself */
    EVENT_USAGE,    /* a worker reports the usage of a task */
    EVENT_STOP,     /* a task ends after a checkpoint or stop */
};

enum {
    CANCELLED_JOBS = 10000,
};

/*
 * A running task and its next event in model time. For an arrival only node
 * and kind are set.
 */
struct task_run {
    struct heap_node node;
    enum event_kind kind;
    struct job *job;
    struct sched_size size; /* granted */
    uint64_t lease;
    uint32_t worker;
    int64_t started_ns;
    int64_t ends_ns; /* unless it is stopped before */
    int64_t used_s;
    bool fails; /* ends as failed */
};

struct model {
    const struct fleet *fleet;
    enum policy policy;
    struct rng rng;
    double jobs_per_s;
    double load;    /* offered, as a multiple of the capacity */
    int64_t now_ns; /* model time */
    int64_t end_ns;
    bool misdeclared;    /* jobs declare wrong run times and memory sizes */
    bool faulty_workers; /* 2% of the workers fail every task */
    bool cancel_pending; /* the mass cancellation is still to come */
    bool urgent_gangs;   /* some gangs are urgent */
    uint64_t last_job;   /* number of the last job submitted */
    struct heap events;  /* of struct task_run, by model time */
    struct map *runs;    /* running tasks by lease */
    struct map *jobs;    /* by job number */
    struct sched *s;
    struct sched_actions actions;
    double reclaim_min_excess; /* as in struct sched_config */
    double reclaim_max_fraction;
    int64_t (*free_resources)[RESOURCES]; /* baselines: of each worker */
    struct job **queue;                   /* baselines: FIFO */
    size_t queue_head;
    size_t queue_count;
    uint64_t next_lease;
    int64_t wall_ns; /* real time spent in the policy */
    uint64_t decisions;
    struct samples waits[WAIT_CLASSES]; /* seconds, one for each task */
    double weighted_wait;   /* sum of wait times work; see record_wait() */
    double wait_weight;     /* sum of work */
    double run_time_s;      /* of ended tasks, in seconds of a whole worker */
    double lost_run_time_s; /* the part of it that preempted tasks lost */
    struct samples tick_us; /* real time of a tick per decision */
    double usage_integral[RESOURCES]; /* usage times seconds, second half */
    double team_usage_integral[128][RESOURCES];
    double current_usage[RESOURCES];
    double team_current_usage[128][RESOURCES];
    double capacity[RESOURCES];
    int64_t measure_start_ns; /* statistics cover the second half */
    int64_t integrated_to_ns;
};

static void
fill_config(const struct model *m, struct sched_config *config)
{
    sched_config_default(config);
    config->weights = m->fleet->weights;
    if (m->reclaim_max_fraction >= 0) {
        config->reclaim_max_fraction = m->reclaim_max_fraction;
    }
    if (m->reclaim_min_excess >= 0) {
        config->reclaim_min_excess = m->reclaim_min_excess;
    }
}

/*
 * Sets the arrival rate at which the jobs ask for load times the capacity of
 * the scarcest resource. Leaves the state of the random generator unchanged.
 */
static void
set_rate(struct model *m, double load)
{
    const struct fleet *f = m->fleet;
    struct rng saved_rng = m->rng;
    double cost[RESOURCES] = {0};
    double max_fraction = 0;

    m->capacity[0] = (double)f->workers * (double)f->worker_size.cpu_milli;
    m->capacity[1] = (double)f->workers * (double)f->worker_size.memory_mib;
    m->capacity[2] = 8.0 * f->accelerator_workers;
    for (int i = 0; i < 20000; i++) {
        struct job j = {0};
        double seconds;
        random_job(&m->rng, f, false, &j);
        seconds = (double)j.run_ns / NS_PER_S * j.event.tasks / 20000;
        cost[0] += seconds * (double)j.event.size.cpu_milli;
        cost[1] += seconds * (double)j.event.size.memory_mib;
        cost[2] += seconds * (double)j.event.size.accelerators;
    }
    for (int d = 0; d < RESOURCES; d++) {
        double fraction = m->capacity[d] > 0 ? cost[d] / m->capacity[d] : 0;
        max_fraction = fraction > max_fraction ? fraction : max_fraction;
    }
    m->rng = saved_rng;
    m->jobs_per_s = load / max_fraction;
}

/* Adds the size of a task to the current usage; sign -1 subtracts it. */
static void
add_current_usage(struct model *m, const struct task_run *r, int sign)
{
    const struct sched_size *size = &r->size;
    double usage[RESOURCES] = {(double)size->cpu_milli,
                               (double)size->memory_mib,
                               (double)size->accelerators};

    for (int d = 0; d < RESOURCES; d++) {
        m->current_usage[d] += sign * usage[d];
        m->team_current_usage[r->job->event.team][d] += sign * usage[d];
    }
}

/*
 * Adds the run time of an ended task to the totals. The run time of a stopped
 * task counts as lost in full, as if its checkpoint could not be used.
 */
static void
record_run_time(struct model *m, const struct task_run *r, bool stopped)
{
    const struct sched_size *vm = &m->fleet->worker_size;
    double fraction =
        fmax((double)r->size.cpu_milli / (double)vm->cpu_milli,
             (double)r->size.memory_mib / (double)vm->memory_mib);
    double work = fraction * (double)(m->now_ns - r->started_ns) / NS_PER_S;

    m->run_time_s += work;
    m->lost_run_time_s += stopped ? work : 0;
}

/*
 * Prints the run time lost by preemption and by reclaiming as a percentage of
 * the run time of all ended tasks. The scheduler itself counts the run time
 * lost by reclaiming.
 */
static void
print_preemption(const struct model *m)
{
    struct sched_stats stats;

    sched_stats(m->s, &stats);
    printf("          preempted %lu, reclaimed %lu; run time lost by "
           "preemption %.2f%%, by reclaiming %.2f%%\n",
           (unsigned long)stats.preemptions, (unsigned long)stats.reclaims,
           m->lost_run_time_s / m->run_time_s * 100,
           stats.reclaimed_s / m->run_time_s * 100);
}

/* Advances the model time and integrates the usage up to it. */
static void
advance_time(struct model *m, int64_t to_ns)
{
    double seconds = (double)(to_ns - m->integrated_to_ns) / NS_PER_S;

    m->now_ns = to_ns;
    m->integrated_to_ns = to_ns;
    if (to_ns < m->measure_start_ns) {
        return;
    }
    for (int d = 0; d < RESOURCES; d++) {
        m->usage_integral[d] += seconds * m->current_usage[d];
        for (uint32_t t = 0; t < m->fleet->teams; t++) {
            m->team_usage_integral[t][d] +=
                seconds * m->team_current_usage[t][d];
        }
    }
}

static int
get_wait_class(const struct job *j)
{
    if (!j->event.urgent) {
        return (int)j->event.class;
    }
    return j->event.class == SCHED_CLASS_GANG ? 4 : 3;
}

/*
 * Records the wait of one task. Its weight is its work: its run time
 * multiplied by the fraction of a VM that it needs.
 */
static void
record_wait(struct model *m, const struct job *j)
{
    const struct sched_size *vm = &m->fleet->worker_size;
    double seconds = (double)(m->now_ns - j->arrived_ns) / NS_PER_S;
    double cpu_fraction =
        (double)j->event.size.cpu_milli / (double)vm->cpu_milli;
    double memory_fraction =
        (double)j->event.size.memory_mib / (double)vm->memory_mib;
    double work =
        fmax(cpu_fraction, memory_fraction) * (double)j->run_ns / NS_PER_S;

    add_sample(&m->waits[get_wait_class(j)], seconds);
    m->weighted_wait += work * seconds;
    m->wait_weight += work;
}

/* Records the waits so far of the tasks that still wait at the end. */
static void
record_pending_waits(struct model *m)
{
    void *cursor = NULL;
    struct job *j;

    m->now_ns = m->end_ns;
    while ((j = map_next(m->jobs, &cursor)) != NULL) {
        if (j->arrived_ns < m->measure_start_ns || j->cancelled) {
            continue;
        }
        for (uint32_t i = 0; i < j->waiting_tasks; i++) {
            record_wait(m, j);
        }
    }
}

/*
 * Returns the mean wait of all tasks in seconds, including tasks that still
 * wait; by_work: weighted by the work of each task, so that large tasks count
 * for more.
 */
static double
compute_mean_wait_s(const struct model *m, bool by_work)
{
    double total = 0;
    size_t count = 0;

    if (by_work) {
        return m->wait_weight > 0 ? m->weighted_wait / m->wait_weight : 0;
    }
    for (int c = 0; c < WAIT_CLASSES; c++) {
        for (size_t i = 0; i < m->waits[c].count; i++) {
            total += m->waits[c].values[i];
        }
        count += m->waits[c].count;
    }
    return count == 0 ? 0 : total / (double)count;
}

/*
 * Prints one row under the header of compare_policies(). share0 is the
 * deviation of team 0 from its entitlement.
 */
static void
print_results(struct model *m)
{
    static const char *const policy_names[] = {"sched", "first-fit",
                                               "best-fit"};
    const struct fleet *f = m->fleet;
    double seconds = (double)(m->end_ns - m->measure_start_ns) / NS_PER_S;
    double utilization = 0;
    double total = 0;
    double team0_share = 0;
    double team0_entitlement =
        4.0 / (4 * f->large_teams + f->teams - f->large_teams);

    for (int d = 0; d < RESOURCES; d++) {
        double fraction = m->capacity[d] > 0
                              ? m->usage_integral[d] / seconds / m->capacity[d]
                              : 0;
        utilization = fraction > utilization ? fraction : utilization;
    }
    for (uint32_t t = 0; t < f->teams; t++) {
        double share = 0;
        for (int d = 0; d < RESOURCES; d++) {
            double fraction =
                m->capacity[d] > 0
                    ? m->team_usage_integral[t][d] / m->capacity[d]
                    : 0;
            share = fraction > share ? fraction : share;
        }
        total += share;
        team0_share = t == 0 ? share : team0_share;
    }
    printf("%-9s %-10s %.2f", policy_names[m->policy], f->name, m->load);
    for (int c = 0; c < 4; c++) {
        printf(" %7.1f/%7.1f", get_quantile(&m->waits[c], 0.5),
               get_quantile(&m->waits[c], 0.99));
    }
    printf(" %5.1f%% %+6.1f%% %9.0f %6.0f %9.1f/%.1f\n", utilization * 100,
           (team0_share / total / team0_entitlement - 1) * 100,
           (double)m->decisions * NS_PER_S / ((double)m->wall_ns + 1),
           get_quantile(&m->tick_us, 0.99), compute_mean_wait_s(m, false),
           compute_mean_wait_s(m, true));
    if (m->policy == POLICY_SCHED) {
        print_preemption(m);
    }
    if (m->urgent_gangs) {
        printf("          urgent gangs: %zu tasks, wait p50/p99 %.1f/%.1f\n",
               m->waits[4].count, get_quantile(&m->waits[4], 0.5),
               get_quantile(&m->waits[4], 0.99));
    }
}

static void
free_model(struct model *m)
{
    struct heap_node *n;
    void *cursor = NULL;
    void *p;

    while ((n = heap_pop(&m->events)) != NULL) {
        mem_free(n);
    }
    while ((p = map_next(m->jobs, &cursor)) != NULL) {
        mem_free(p);
    }
    for (int c = 0; c < WAIT_CLASSES; c++) {
        mem_free(m->waits[c].values);
    }
    mem_free(m->tick_us.values);
    heap_free(&m->events);
    map_destroy(m->runs);
    map_destroy(m->jobs);
    mem_free(m->free_resources);
    mem_free(m->queue);
    sched_destroy(m->s);
    sched_actions_free(&m->actions);
}

#endif
