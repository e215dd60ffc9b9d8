#ifndef GV_BENCH_SCHED_LOAD_H
#define GV_BENCH_SCHED_LOAD_H

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "rng.h"
#include "sched.h"

/* Fleets, jobs and samples of the placement benchmark. */
enum {
    CLASSES = 5, /* service, batch, gang, urgent, urgent gang */
    DIMS = 3,
};

struct fleet {
    const char *name;
    uint32_t workers;
    struct sched_size size;
    uint32_t with_accelerators; /* of the workers, 8 each */
    uint32_t rack;
    uint32_t domains;
    uint32_t teams;
    uint32_t large;               /* teams of weight 4, the others have 1 */
    struct sched_weights weights; /* waiting, packing, control, share */
};

static const struct fleet fleets[] = {
    {"echeverria", 50, {16000, 32768, 0}, 0, 8, 3, 6, 2, {8, 1, 1, 1}},
    {"trentside", 50, {32000, 131072, 0}, 0, 6, 4, 6, 2, {1, 4, 1, 4}},
    {"target", 14000, {32000, 131072, 0}, 2500, 8, 17, 120, 12, {1, 1, 1, 1}},
};

struct job {
    struct sched_job_event event;
    int64_t arrived;
    int64_t run_ns;
    uint64_t memory; /* really used by one task */
    uint32_t waiting;
    uint32_t left;
    bool cancelled;
};

struct sample {
    double *values;
    size_t count;
    size_t cap;
};

static void
sample_add(struct sample *s, double value)
{
    if (s->count == s->cap) {
        s->cap = s->cap == 0 ? 1024 : s->cap * 2;
        s->values = mem_realloc(s->values, s->cap, sizeof(double));
    }
    s->values[s->count++] = value;
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static double
quantile(struct sample *s, double q)
{
    if (s->count == 0) {
        return 0;
    }
    qsort(s->values, s->count, sizeof(double), compare);
    return s->values[(size_t)(q * (double)(s->count - 1))];
}

static double
weight(const struct fleet *f, uint32_t team)
{
    return team < f->large ? 4 : 1;
}

/* Team 0 offers 1.4 times its part, the others theirs. */
static uint32_t
random_team(struct rng *rng, const struct fleet *f)
{
    double total = 4 * f->large + (f->teams - f->large) + 1.6;
    double at = rng_unit(rng) * total - 1.6;
    uint32_t team = 0;

    while (team + 1 < f->teams && at >= weight(f, team)) {
        at -= weight(f, team);
        team++;
    }
    return team;
}

static double
lognormal(struct rng *rng, double median, double sigma)
{
    double u = rng_unit(rng) + 1e-12;
    double v = rng_unit(rng);

    return median * exp(sigma * sqrt(-2 * log(u)) * cos(6.283185307 * v));
}

static void
random_job(struct rng *rng, const struct fleet *f, bool off, struct job *j)
{
    static const uint64_t cpus[] = {500, 1000, 1000, 2000, 4000, 8000};
    static const struct str names[] = {{"a", 1}, {"b", 1}, {"c", 1},
                                       {"d", 1}, {"e", 1}, {"f", 1}};
    struct sched_job_event *e = &j->event;
    const struct sched_size *vm = &f->size;
    uint64_t dice = rng_below(rng, 100);
    size_t name = rng_below(rng, 6);
    uint64_t even;

    e->team = random_team(rng, f);
    e->name = names[name];
    e->class = dice < 5    ? SCHED_CLASS_SERVICE
               : dice < 10 ? SCHED_CLASS_GANG
                           : SCHED_CLASS_BATCH;
    e->urgent = dice >= 97;
    e->tasks =
        e->class == SCHED_CLASS_BATCH ? 1 : (uint32_t)(2 + rng_below(rng, 6));
    e->size.cpu_milli = cpus[rng_below(rng, 6)];
    even = e->size.cpu_milli * vm->memory_mib / vm->cpu_milli;
    e->size.memory_mib = even / 4 + rng_below(rng, even * 3 / 2);
    if (f->with_accelerators > 0 && rng_below(rng, 100) < 15) {
        e->size.accelerators = 1 + rng_below(rng, 4);
    }
    e->idempotent = rng_below(rng, 100) < 80;
    j->run_ns = (int64_t)(lognormal(rng, 20 + 20.0 * (double)name, 0.7) *
                          (double)NS_PER_S);
    if (e->class == SCHED_CLASS_SERVICE) {
        j->run_ns = 600 * NS_PER_S;
    }
    e->run_time_ns = j->run_ns;
    j->memory = e->size.memory_mib;
    if (off) {
        /* Wrong in the same way for each team and name, give or take 10%. */
        struct rng fixed = {e->team * 6 + name + 1};
        double factor = exp2(4 * rng_unit(&fixed) - 2);
        e->run_time_ns = (int64_t)((double)j->run_ns * factor);
        j->memory =
            (uint64_t)((double)j->memory * exp2(4 * rng_unit(&fixed) - 2) *
                       (0.9 + 0.2 * rng_unit(rng)));
    }
    j->waiting = e->tasks;
    j->left = e->tasks;
}

#endif
