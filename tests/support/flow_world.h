#ifndef GV_TEST_FLOW_WORLD_H
#define GV_TEST_FLOW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A simulation of a fleet for the workflow planner: workers of different
 * speeds, an approval service, and jobs of several kinds that arrive at
 * random. Time is virtual, and equal seeds give equal runs. The simulation
 * checks that no worker exceeds its capacity, that tasks start only after the
 * steps that they depend on, and that gangs start whole.
 */

enum {
    FLOW_KINDS_MAX = 4,
};

/* A kind of job. Values without "max" in their name that are drawn at random
 * are means. */
struct flow_job_kind {
    const char *name;
    double jobs_per_second;
    double burst_factor; /* on the arrival rate from 8 s to 12 s; 0: none */
    uint32_t priority;   /* 0 is the most urgent */
    double value;        /* of a job of average size that is in time */
    double stretch;      /* see struct flow_queue */
    uint32_t target_ms;
    double tasks_per_step;
    uint32_t tasks_per_step_max;
    /* 1 + the probability of each further step, at most 4 steps in all. */
    double steps_per_job;
    double cpu_milli; /* of a task */
    double cpu_milli_max;
    double memory_mib; /* of a task */
    double task_ms;    /* run time of a task */
    double task_ms_max;
    double estimate_error; /* largest error, as a share of the run time */
    double gang_share;     /* of the steps */
    uint32_t approval_ms;  /* time of an approval request; 0: none needed */
    uint32_t approval_worker_us; /* added for each worker it names */
    double approved_share;       /* of the workers, for each step */
};

struct flow_world_config {
    uint64_t seed;
    size_t worker_count;
    double worker_cpu_milli;
    double worker_memory_mib;
    size_t approval_vms; /* VMs that call the approval service */
    int64_t arrivals_ms; /* time during which jobs arrive */
    struct flow_job_kind kinds[FLOW_KINDS_MAX];
    size_t kind_count;
    double slow_share;  /* of the workers, slow for runs begun at 10 to 18 s */
    double slow_factor; /* on the run times of slow workers */
    double lost_share;  /* of the workers, lost for good at 10 s */
    int64_t leader_change_ms; /* a new leader begins; 0: none does */
    size_t reservations;      /* as in struct plan_limits */
    /* Teams that submit the jobs; the first tenth of them five times as many
     * as the others. 0: one team without a limit. */
    size_t teams;
    /* Limit of a team's processors, relative to what its jobs use on
     * average. */
    double team_limit_factor;
    /* Share of a processor that the planner has. Its rounds then take their
     * measured processor time, divided by the share, and are followed by a
     * pause, as on the leader. 0: rounds take no time. */
    double planner_share;
};

struct flow_kind_result {
    size_t jobs;
    size_t in_time;
    size_t late;
    size_t useless; /* unfinished, or later than three times the objective */
    /* Mean over the jobs of the share of their value that each earned; 1 if
     * there are none. */
    double earned_share;
    /* The same for the largest tenth by work; 1 for fewer than 10 jobs. */
    double largest_earned_share;
    size_t approval_requests;
    double approval_ms_total; /* of all these requests */
};

struct flow_world_result {
    struct flow_kind_result kinds[FLOW_KINDS_MAX];
    double earned_share;   /* of the value of all jobs */
    double cpu_busy_share; /* of the processor capacity during arrivals */
    size_t unfinished;     /* jobs that never completed */
    size_t rounds;
    double round_ms_mean; /* processor time */
    double round_ms_max;
    char violation[160]; /* the first violated invariant; empty: none */
};

/* Fill config with the load of a site at its present size. */
void
flow_world_echeverria(struct flow_world_config *config, uint64_t seed);
void
flow_world_trentside(struct flow_world_config *config, uint64_t seed);

/* Fills config with the first site's load at its expected future size. */
void
flow_world_grown(struct flow_world_config *config, uint64_t seed);

/* Fills config with the load of a fleet that is offered nine tenths of its
 * room before a burst, nearly half of it by gangs. */
void
flow_world_full(struct flow_world_config *config, uint64_t seed);

/* Fills config with the load of a fleet of 1,100 workers, the planner on 0.6
 * of a processor, and a burst of short jobs. */
void
flow_world_large(struct flow_world_config *config, uint64_t seed);

/* Fills config with a load whose gangs need more of the approval service's
 * time than the VMs have, and estimates of gangs that are off by up to a half.
 */
void
flow_world_scarce(struct flow_world_config *config, uint64_t seed);

/* Runs the simulation and fills result. */
void
flow_world_run(const struct flow_world_config *config,
               struct flow_world_result *result);

#endif
