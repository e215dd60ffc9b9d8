#ifndef GV_TEST_FLOW_WORLD_H
#define GV_TEST_FLOW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A model of a fleet for the workflow planner: workers of different speeds,
 * an approval service, jobs of several kinds that arrive at random. Time is
 * virtual; equal seeds give equal runs. The model checks that no worker and
 * no team is over its limit, that tasks start only after the steps they
 * depend on, and that gangs start whole.
 */

enum {
    FLOW_KINDS_MAX = 4,
};

/* A kind of job; times in ms, mean values of random draws. */
struct flow_kind {
    const char *name;
    double per_second;
    double burst; /* factor on arrivals from 8 s to 12 s */
    uint32_t priority;
    double worth;
    double stretch;
    uint32_t target_ms;
    double width; /* tasks of a step */
    uint32_t width_max;
    double steps;
    double cpu;
    double cpu_max;
    double memory;
    double work_ms;
    double work_max;
    double estimate_off; /* estimates are off by up to this share */
    double gang;         /* share of the steps */
    uint32_t approval_ms;
    uint32_t approval_worker_us;
    double approved; /* share of the workers that may run a step */
};

struct flow_world_config {
    uint64_t seed;
    size_t workers;
    double worker_cpu;
    double worker_memory;
    size_t callers;    /* VMs that call the approval service */
    int64_t length_ms; /* of the arrivals */
    struct flow_kind kinds[FLOW_KINDS_MAX];
    size_t kind_count;
    double slow_share; /* workers that are slow from 10 s to 18 s */
    double slow_factor;
    double dead_share;   /* workers lost for good at 10 s */
    size_t reservations; /* as in struct plan_limits */
};

struct flow_kind_result {
    size_t jobs;
    size_t in_time;
    size_t late;
    size_t useless;      /* later than three times the objective, or never */
    double earned;       /* share of the worth */
    double worst_earned; /* of the largest tenth by work */
    size_t calls;        /* for approval */
    double call_ms;      /* of all these calls */
};

struct flow_world_result {
    struct flow_kind_result kinds[FLOW_KINDS_MAX];
    double earned;     /* share of all worth */
    double busy;       /* share of the processor time in use during arrivals */
    size_t unfinished; /* jobs that never completed */
    char violation[160]; /* of an invariant; empty if none */
};

/* The two users' loads at today's size. */
void
flow_world_echeverria(struct flow_world_config *config, uint64_t seed);
void
flow_world_trentside(struct flow_world_config *config, uint64_t seed);

/* The first user's load at the size that it grows to. */
void
flow_world_grown(struct flow_world_config *config, uint64_t seed);

void
flow_world_run(const struct flow_world_config *config,
               struct flow_world_result *result);

#endif
