#ifndef GV_TEST_SCHED_WORLD_H
#define GV_TEST_SCHED_WORLD_H

#include <glib.h>

#include "clock.h"
#include "rng.h"
#include "sched.h"

/*
 * A seeded model of what surrounds a scheduler (a replicated log, workers
 * that die, pause and report late) and a checker that judges actions by what
 * the workers really run, not by what the scheduler believes.
 */
enum {
    WORLD_WORKERS = 6,
    WORLD_TEAMS = 3,
    WORLD_JOBS = 24,
    WORLD_TASKS = 5,
    WORLD_RECLAIM_PART = 1, /* so that much is reclaimed */
};

/* A lie told to the scheduler, to see that the checker notices. */
enum world_fault {
    FAULT_NONE,
    FAULT_CAPACITY,
    FAULT_EARLY_EXPIRY,
    FAULT_LIMIT,
    FAULT_RESTART,
    FAULT_HALF_GANG,
    FAULT_LOST_JOB,
    FAULT_LEASE_REUSE,
};

enum run_state {
    RUN_UNKNOWN, /* the worker never heard of it */
    RUN_ACTIVE,
    RUN_FINISHED, /* reported until acknowledged */
    RUN_GONE,     /* the worker's process forgot it */
};

struct world_lease {
    uint64_t lease;
    uint32_t job;
    uint32_t task;
    uint32_t worker;
    struct sched_size size;
    bool live;      /* between PLACE and TASK */
    bool committed; /* shown as placed by the replicated state */
    uint64_t start_epoch;
    uint64_t start_incarnation;
    bool stop_wanted;
    bool checkpoint_wanted;
    enum run_state run;
    enum sched_end end;
    int64_t ends_at;
};

struct world_task {
    enum sched_task_state committed;
    enum sched_task_state state; /* as the scheduler said last */
    uint32_t failures;
    uint32_t losses;
    bool placed;     /* ever committed as placed */
    uint32_t starts; /* by workers */
    uint32_t completions;
    uint64_t reclaim_epoch; /* of the leader that reclaimed it last */
};

struct world_job {
    struct sched_job_event event;
    bool submitted;
    bool cancelled;
    bool ended; /* a terminal outcome was decided */
    bool ended_committed;
    struct world_task tasks[WORLD_TASKS];
};

struct world_worker {
    uint64_t incarnation;
    struct sched_size capacity;
    bool alive;
    bool connected;
    bool draining;
    int64_t lapses;  /* while not connected: when it stops its tasks */
    int64_t expires; /* when the leader may be sure of that; 0: not pending */
    uint64_t expires_incarnation;
    uint64_t session_epoch;
    uint64_t session_incarnation; /* as the leader knows it */
};

struct world {
    enum world_fault fault;
    struct rng rng;
    int64_t now;
    uint64_t epoch;
    uint64_t max_lease;
    struct sched *s;
    struct sched_actions actions;
    GPtrArray *leases; /* struct world_lease, all of them */
    GArray *log;       /* struct sched_action, decided, not committed */
    struct world_worker workers[WORLD_WORKERS];
    struct world_job jobs[WORLD_JOBS];
    struct sched_limits limits[WORLD_TEAMS];
    bool calm;                /* no faults, everything allowed */
    struct sched_stats stats; /* after the last step */
    int64_t opened;           /* when this leader began */
    const char *violation;    /* the first one found, or NULL */
};

void
world_open(struct world *w, uint64_t seed, enum world_fault fault);
void
world_close(struct world *w);

/* One random event. */
void
world_step(struct world *w);

/* Ends all faults, lets everything finish and checks that it does. */
void
world_finish(struct world *w);

/* Judges the actions of one step of the scheduler. */
void
check_actions(struct world *w);

/* Judges that a worker begins a task. */
void
check_start(struct world *w, const struct world_lease *l);
void
check_finished(struct world *w);
struct world_lease *
world_lease(struct world *w, uint64_t lease);

#endif
