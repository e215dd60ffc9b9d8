#ifndef GV_BENCH_SCHED_MODEL_H
#define GV_BENCH_SCHED_MODEL_H

#include <stdio.h>

#include "heap.h"
#include "map.h"
#include "sched_load.h"

/* The state of one benchmark run, its integrals and its result. */
enum policy {
    POLICY_SCHED,
    POLICY_FIRST_FIT,
    POLICY_BEST_FIT,
};

enum kind {
    KIND_ARRIVAL,
    KIND_END,
    KIND_USAGE,
    KIND_CANCEL,
};

enum {
    WAVE = 10000,
};

struct run {
    struct heap_node node;
    enum kind kind;
    struct job *job;
    struct sched_size size; /* granted */
    uint64_t lease;
    uint32_t worker;
    int64_t began;
    int64_t ends;
    int64_t used_s;
    bool bad;
};

struct model {
    const struct fleet *fleet;
    enum policy policy;
    struct rng rng;
    double rate; /* jobs per second */
    double load;
    int64_t now;
    int64_t end;
    bool off;
    bool bad;
    bool cancel;
    bool urgent_gangs;
    uint64_t jobs_count;
    struct heap events;
    struct map *runs; /* by lease */
    struct map *jobs;
    struct sched *s;
    struct sched_actions actions;
    double reclaim_above; /* as in struct sched_config */
    double reclaim_part;
    int64_t (*free)[DIMS];
    struct job **queue; /* baselines: FIFO */
    size_t queue_head;
    size_t queue_count;
    uint64_t next_lease;
    int64_t wall_ns;
    uint64_t decisions;
    struct sample waits[CLASSES];
    double work_waited; /* integral of waiting times the work that waited */
    double work;
    double run_s;  /* run time in seconds of a worker, and the part of it */
    double lost_s; /* that preempted tasks lost */
    struct sample tick_us;
    double used[DIMS]; /* integrals over the second half */
    double team_used[128][DIMS];
    double current[DIMS];
    double team_current[128][DIMS];
    double capacity[DIMS];
    int64_t measured_from;
    int64_t last;
};

static void
configure(const struct model *m, struct sched_config *config)
{
    sched_config_default(config);
    config->weights = m->fleet->weights;
    if (m->reclaim_part >= 0) {
        config->reclaim_part = m->reclaim_part;
    }
    if (m->reclaim_above >= 0) {
        config->reclaim_above = m->reclaim_above;
    }
}

/* The rate at which the binding resource is offered load times over. */
static void
set_rate(struct model *m, double load)
{
    const struct fleet *f = m->fleet;
    struct rng saved = m->rng;
    double cost[DIMS] = {0};
    double most = 0;

    m->capacity[0] = (double)f->workers * (double)f->size.cpu_milli;
    m->capacity[1] = (double)f->workers * (double)f->size.memory_mib;
    m->capacity[2] = 8.0 * f->with_accelerators;
    for (int i = 0; i < 20000; i++) {
        struct job j = {0};
        double seconds;
        random_job(&m->rng, f, false, &j);
        seconds = (double)j.run_ns / NS_PER_S * j.event.tasks / 20000;
        cost[0] += seconds * (double)j.event.size.cpu_milli;
        cost[1] += seconds * (double)j.event.size.memory_mib;
        cost[2] += seconds * (double)j.event.size.accelerators;
    }
    for (int d = 0; d < DIMS; d++) {
        double part = m->capacity[d] > 0 ? cost[d] / m->capacity[d] : 0;
        most = part > most ? part : most;
    }
    m->rng = saved;
    m->rate = load / most;
}

static void
account(struct model *m, const struct run *r, int sign)
{
    const struct sched_size *z = &r->size;
    double v[DIMS] = {(double)z->cpu_milli, (double)z->memory_mib,
                      (double)z->accelerators};

    for (int d = 0; d < DIMS; d++) {
        m->current[d] += sign * v[d];
        m->team_current[r->job->event.team][d] += sign * v[d];
    }
}

/*
 * Adds up the run time of a task, and what is lost of it when it is stopped:
 * all of it, as if its checkpoint were of no use.
 */
static void
note_run(struct model *m, const struct run *r, bool stopped)
{
    const struct sched_size *vm = &m->fleet->size;
    double part = fmax((double)r->size.cpu_milli / (double)vm->cpu_milli,
                       (double)r->size.memory_mib / (double)vm->memory_mib);
    double work = part * (double)(m->now - r->began) / NS_PER_S;

    m->run_s += work;
    m->lost_s += stopped ? work : 0;
}

/*
 * Run time lost by preemption as a part of all run time, of tasks that ended;
 * by reclaiming as the scheduler counts it.
 */
static void
print_lost(const struct model *m)
{
    struct sched_stats stats;

    sched_stats(m->s, &stats);
    printf("          preempted %lu, reclaimed %lu; lost of run time %.2f%%, "
           "by reclaiming %.2f%%\n",
           (unsigned long)stats.preemptions, (unsigned long)stats.reclaims,
           m->lost_s / m->run_s * 100, stats.reclaimed_s / m->run_s * 100);
}

static void
integrate(struct model *m, int64_t to)
{
    double seconds = (double)(to - m->last) / NS_PER_S;

    m->now = to;
    m->last = to;
    if (to < m->measured_from) {
        return;
    }
    for (int d = 0; d < DIMS; d++) {
        m->used[d] += seconds * m->current[d];
        for (uint32_t t = 0; t < m->fleet->teams; t++) {
            m->team_used[t][d] += seconds * m->team_current[t][d];
        }
    }
}

static int
class_of(const struct job *j)
{
    if (!j->event.urgent) {
        return (int)j->event.class;
    }
    return j->event.class == SCHED_CLASS_GANG ? 4 : 3;
}

/* Counts the wait of one task, also weighed by the work that waited. */
static void
note_wait(struct model *m, const struct job *j)
{
    const struct sched_size *vm = &m->fleet->size;
    double seconds = (double)(m->now - j->arrived) / NS_PER_S;
    double cpu = (double)j->event.size.cpu_milli / (double)vm->cpu_milli;
    double memory = (double)j->event.size.memory_mib / (double)vm->memory_mib;
    double work = fmax(cpu, memory) * (double)j->run_ns / NS_PER_S;

    sample_add(&m->waits[class_of(j)], seconds);
    m->work_waited += work * seconds;
    m->work += work;
}

/* Tasks that still wait count with the time they have waited so far. */
static void
count_waiting(struct model *m)
{
    void *cursor = NULL;
    struct job *j;

    m->now = m->end;
    while ((j = map_next(m->jobs, &cursor)) != NULL) {
        if (j->arrived < m->measured_from || j->cancelled) {
            continue;
        }
        for (uint32_t i = 0; i < j->waiting; i++) {
            note_wait(m, j);
        }
    }
}

/*
 * Over all tasks, with those that still wait, in seconds; by_work: weighed by
 * their run time and their part of a VM, so that big tasks count for more.
 */
static double
mean_wait(const struct model *m, bool by_work)
{
    double sum = 0;
    size_t count = 0;

    if (by_work) {
        return m->work > 0 ? m->work_waited / m->work : 0;
    }
    for (int c = 0; c < CLASSES; c++) {
        for (size_t i = 0; i < m->waits[c].count; i++) {
            sum += m->waits[c].values[i];
        }
        count += m->waits[c].count;
    }
    return count == 0 ? 0 : sum / (double)count;
}

static void
print_result(struct model *m)
{
    static const char *const names[] = {"sched", "first-fit", "best-fit"};
    const struct fleet *f = m->fleet;
    double seconds = (double)(m->end - m->measured_from) / NS_PER_S;
    double packed = 0;
    double sum = 0;
    double mine = 0;
    double due = 4.0 / (4 * f->large + f->teams - f->large);

    for (int d = 0; d < DIMS; d++) {
        double part =
            m->capacity[d] > 0 ? m->used[d] / seconds / m->capacity[d] : 0;
        packed = part > packed ? part : packed;
    }
    for (uint32_t t = 0; t < f->teams; t++) {
        double share = 0;
        for (int d = 0; d < DIMS; d++) {
            double part =
                m->capacity[d] > 0 ? m->team_used[t][d] / m->capacity[d] : 0;
            share = part > share ? part : share;
        }
        sum += share;
        mine = t == 0 ? share : mine;
    }
    printf("%-9s %-10s %.2f", names[m->policy], f->name, m->load);
    for (int c = 0; c < 4; c++) {
        printf(" %7.1f/%7.1f", quantile(&m->waits[c], 0.5),
               quantile(&m->waits[c], 0.99));
    }
    printf(" %5.1f%% %+6.1f%% %9.0f %6.0f %9.1f/%.1f\n", packed * 100,
           (mine / sum / due - 1) * 100,
           (double)m->decisions * NS_PER_S / ((double)m->wall_ns + 1),
           quantile(&m->tick_us, 0.99), mean_wait(m, false),
           mean_wait(m, true));
    if (m->policy == POLICY_SCHED) {
        print_lost(m);
    }
    if (m->urgent_gangs) {
        printf("          urgent gangs: %zu tasks, wait p50/p99 %.1f/%.1f\n",
               m->waits[4].count, quantile(&m->waits[4], 0.5),
               quantile(&m->waits[4], 0.99));
    }
}

static void
close_model(struct model *m)
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
    for (int c = 0; c < CLASSES; c++) {
        mem_free(m->waits[c].values);
    }
    mem_free(m->tick_us.values);
    heap_free(&m->events);
    map_destroy(m->runs);
    map_destroy(m->jobs);
    mem_free(m->free);
    mem_free(m->queue);
    sched_destroy(m->s);
    sched_actions_free(&m->actions);
}

#endif
