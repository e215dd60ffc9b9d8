#ifndef GV_TEST_SCHED_SIM_H
#define GV_TEST_SCHED_SIM_H

#include <glib.h>

#include "clock.h"
#include "rng.h"
#include "sched.h"

/*
 * A seeded simulation of a scheduler's environment: a replicated log, and
 * workers that crash, lose their connection and report late. A checker
 * compares the scheduler's actions with what the simulated workers actually
 * run, not with the scheduler's own state.
 */
enum {
    SIM_WORKERS = 6,
    SIM_TEAMS = 3,
    SIM_JOBS = 24,
    SIM_MAX_TASKS = 5, /* of one job */
    /* All run time may be lost by reclaiming, so that it is frequent. */
    SIM_RECLAIM_MAX_FRACTION = 1,
};

/*
 * False information given to the scheduler, so that it breaks an invariant and
 * the tests can show that the checker detects it.
 */
enum sim_fault {
    FAULT_NONE,
    FAULT_DOUBLED_CAPACITY, /* workers report twice their capacity */
    FAULT_EARLY_EXPIRY,     /* a worker expires while it may still run tasks */
    FAULT_RAISED_LIMIT,     /* teams get three times their task limit */
    FAULT_ALL_IDEMPOTENT,   /* every job is declared idempotent */
    FAULT_GANG_AS_BATCH,    /* gangs are submitted as batch jobs */
    FAULT_LOST_JOB,         /* a new leader gets only a part of the jobs */
    FAULT_LEASE_REUSE,      /* a new leader starts again at lease 1 */
};

/* The state of a lease on its worker. */
enum run_state {
    RUN_UNKNOWN,  /* the worker was never told of the lease */
    RUN_ACTIVE,   /* the task runs */
    RUN_FINISHED, /* the end is reported until it is acknowledged */
    RUN_GONE,     /* the worker no longer knows the lease */
};

/* A lease that the scheduler placed, as the simulated cluster sees it. */
struct sim_lease {
    uint64_t lease;
    uint32_t job;
    uint32_t task;
    uint32_t worker;
    struct sched_size size;
    bool live;                  /* between its PLACE and TASK actions */
    bool committed;             /* placed according to the replicated state */
    uint64_t start_epoch;       /* epoch of its START action; 0: not started */
    uint64_t start_incarnation; /* incarnation of the worker at START */
    bool stop_wanted;
    bool checkpoint_wanted;
    enum run_state run_state;
    enum sched_end end; /* how the task ends or has ended */
    int64_t ends_at_ns;
};

struct sim_task {
    enum sched_task_state committed_state; /* in the replicated state */
    enum sched_task_state scheduler_state; /* last decided by the scheduler */
    uint32_t failures;
    uint32_t losses;
    bool placed;            /* a placement was committed at some time */
    uint32_t starts;        /* times that a worker started it */
    uint32_t completions;   /* times that it ended as SCHED_END_DONE */
    uint64_t reclaim_epoch; /* of the last leader to reclaim it; 0: none */
};

struct sim_job {
    struct sched_job_event event;
    bool submitted;
    bool cancelled;
    bool outcome_decided; /* the scheduler returned a terminal outcome */
    bool outcome_committed;
    struct sim_task tasks[SIM_MAX_TASKS];
};

struct sim_worker {
    uint64_t incarnation;
    struct sched_size capacity;
    bool alive;     /* its process runs */
    bool connected; /* its connection to the leader is up */
    bool draining;
    int64_t lease_ends_ns; /* while not connected: when it stops its tasks */
    int64_t expiry_due_ns; /* when the leader expires it; 0: not pending */
    uint64_t expiry_incarnation;
    uint64_t session_epoch; /* of the leader of its last session; 0: none */
    uint64_t session_incarnation; /* incarnation known to the leader */
};

struct sched_sim {
    enum sim_fault fault;
    struct rng rng;
    int64_t now_ns;
    uint64_t epoch;     /* of the current leader, from 1 */
    uint64_t max_lease; /* highest committed lease */
    struct sched *s;
    struct sched_actions actions;
    GPtrArray *leases; /* of struct sim_lease *, ended ones included */
    GArray *log; /* of struct sched_action, decided but not yet committed */
    struct sim_worker workers[SIM_WORKERS];
    struct sim_job jobs[SIM_JOBS];
    struct sched_limits limits[SIM_TEAMS];
    bool faults_disabled;     /* no failures are generated */
    struct sched_stats stats; /* after the last event */
    int64_t leader_start_ns;  /* when the current scheduler was created */
    const char *violation;    /* the first broken invariant, or NULL */
};

/*
 * Initialises sim with the random seed and the fault to inject, and creates
 * its first scheduler. Freed by sched_sim_close().
 */
void
sched_sim_open(struct sched_sim *sim, uint64_t seed, enum sim_fault fault);
void
sched_sim_close(struct sched_sim *sim);

/* Simulates one random event. */
void
sched_sim_step(struct sched_sim *sim);

/* Stops generating failures, lets all jobs finish and checks that they do. */
void
sched_sim_finish(struct sched_sim *sim);

/*
 * Checks the actions of the last scheduler event and records them. The first
 * violation is kept in sim->violation, as in the other checks.
 */
void
sched_sim_check_actions(struct sched_sim *sim);

/* Checks that a worker may start this task; called right after the start. */
void
sched_sim_check_task_start(struct sched_sim *sim, const struct sim_lease *l);

/* Checks that every submitted job has ended and that no lease is left. */
void
sched_sim_check_finished(struct sched_sim *sim);

/* Returns NULL if there is no such lease. sim keeps ownership. */
struct sim_lease *
sched_sim_find_lease(struct sched_sim *sim, uint64_t lease);

#endif
