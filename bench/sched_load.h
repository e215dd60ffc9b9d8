#ifndef GV_BENCH_SCHED_LOAD_H
#define GV_BENCH_SCHED_LOAD_H

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "rng.h"
#include "sched.h"

/* Fleets, random jobs and statistics of the placement benchmark. */
enum {
    WAIT_CLASSES = 5, /* service, batch, gang, urgent, urgent gang */
    RESOURCES = 3,    /* CPU, memory, accelerators */
};

struct fleet {
    const char *name;
    uint32_t workers;
    struct sched_size worker_size; /* without accelerators */
    uint32_t accelerator_workers;  /* the first ones; 8 accelerators each */
    uint32_t workers_per_rack;
    uint32_t failure_domains;
    uint32_t teams;
    uint32_t large_teams; /* the first ones, of weight 4; the others have 1 */
    struct sched_weights weights; /* waiting, packing, control, share */
};

static const struct fleet fleets[] = {
    {"echeverria", 50, {16000, 32768, 0}, 0, 8, 3, 6, 2, {8, 1, 1, 1}},
    {"trentside", 50, {32000, 131072, 0}, 0, 6, 4, 6, 2, {1, 4, 1, 4}},
    {"target", 14000, {32000, 131072, 0}, 2500, 8, 17, 120, 12, {1, 1, 1, 1}},
};

struct job {
    struct sched_job_event event;
    int64_t arrived_ns;
    int64_t run_ns;           /* actual run time of a task */
    uint64_t used_memory_mib; /* actual use of a task */
    uint32_t waiting_tasks;
    uint32_t unfinished_tasks;
    bool cancelled;
};

struct samples {
    double *values;
    size_t count;
    size_t cap;
};

static void
add_sample(struct samples *s, double value)
{
    if (s->count == s->cap) {
        s->cap = s->cap == 0 ? 1024 : s->cap * 2;
        s->values = mem_realloc(s->values, s->cap, sizeof(double));
    }
    s->values[s->count++] = value;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Returns the q-quantile, q from 0 to 1, or 0 without samples. Sorts them. */
static double
get_quantile(struct samples *s, double q)
{
    if (s->count == 0) {
        return 0;
    }
    qsort(s->values, s->count, sizeof(double), compare_doubles);
    return s->values[(size_t)(q * (double)(s->count - 1))];
}

static double
get_team_weight(const struct fleet *f, uint32_t team)
{
    return team < f->large_teams ? 4 : 1;
}

/*
 * Returns a random team, in proportion to the weights. Team 0 counts 1.4
 * times, so that it submits more than its share.
 */
static uint32_t
random_team(struct rng *rng, const struct fleet *f)
{
    double total = 4 * f->large_teams + (f->teams - f->large_teams) + 1.6;
    double position = rng_unit(rng) * total - 1.6;
    uint32_t team = 0;

    while (team + 1 < f->teams && position >= get_team_weight(f, team)) {
        position -= get_team_weight(f, team);
        team++;
    }
    return team;
}

/* Returns a log-normally distributed number, by the Box-Muller transform. */
static double
random_lognormal(struct rng *rng, double median, double sigma)
{
    double u = rng_unit(rng) + 1e-12;
    double v = rng_unit(rng);

    return median * exp(sigma * sqrt(-2 * log(u)) * cos(6.283185307 * v));
}

/*
 * Fills in a random job without its number and arrival. misdeclared: memory
 * use and declared run time differ from the true ones by a factor of 1/4 to 4.
 */
static void
random_job(struct rng *rng, const struct fleet *f, bool misdeclared,
           struct job *j)
{
    static const uint64_t cpus[] = {500, 1000, 1000, 2000, 4000, 8000};
    static const struct str names[] = {{"a", 1}, {"b", 1}, {"c", 1},
                                       {"d", 1}, {"e", 1}, {"f", 1}};
    struct sched_job_event *e = &j->event;
    const struct sched_size *vm = &f->worker_size;
    uint64_t draw = rng_below(rng, 100);
    size_t name = rng_below(rng, 6);
    uint64_t balanced_memory_mib;

    e->team = random_team(rng, f);
    e->name = names[name];
    e->class = draw < 5    ? SCHED_CLASS_SERVICE
               : draw < 10 ? SCHED_CLASS_GANG
                           : SCHED_CLASS_BATCH;
    e->urgent = draw >= 97;
    e->tasks =
        e->class == SCHED_CLASS_BATCH ? 1 : (uint32_t)(2 + rng_below(rng, 6));
    e->size.cpu_milli = cpus[rng_below(rng, 6)];
    balanced_memory_mib = e->size.cpu_milli * vm->memory_mib / vm->cpu_milli;
    e->size.memory_mib =
        balanced_memory_mib / 4 + rng_below(rng, balanced_memory_mib * 3 / 2);
    if (f->accelerator_workers > 0 && rng_below(rng, 100) < 15) {
        e->size.accelerators = 1 + rng_below(rng, 4);
    }
    e->idempotent = rng_below(rng, 100) < 80;
    j->run_ns =
        (int64_t)(random_lognormal(rng, 20 + 20.0 * (double)name, 0.7) *
                  (double)NS_PER_S);
    if (e->class == SCHED_CLASS_SERVICE) {
        j->run_ns = 600 * NS_PER_S;
    }
    e->run_time_ns = j->run_ns;
    j->used_memory_mib = e->size.memory_mib;
    if (misdeclared) {
        /*
         * The factors depend only on team and name, so that they can be
         * learned; memory use varies by another 10%.
         */
        struct rng fixed = {e->team * 6 + name + 1};
        double factor = exp2(4 * rng_unit(&fixed) - 2);
        e->run_time_ns = (int64_t)((double)j->run_ns * factor);
        j->used_memory_mib = (uint64_t)((double)j->used_memory_mib *
                                        exp2(4 * rng_unit(&fixed) - 2) *
                                        (0.9 + 0.2 * rng_unit(rng)));
    }
    j->waiting_tasks = e->tasks;
    j->unfinished_tasks = e->tasks;
}

#endif
