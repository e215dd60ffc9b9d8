#ifndef GV_TEST_FLOW_FIXTURE_H
#define GV_TEST_FLOW_FIXTURE_H

#include "flow.h"
#include "plan.h"

/*
 * A workflow state with one queue "q", one service "s" and one team "t", and
 * functions that apply single commands to it.
 */

struct flow_fixture {
    struct flow_state *state;
    const char *queue; /* name and path prefix of the one in the next config */
    const char *prefix;
    const char *team;
    const char *domain;               /* of the next workers; NULL: none */
    struct plan_worker sessions[160]; /* by worker number */
    int64_t wall_ms;                  /* of the last command */
};

/* Applies a batch of one command to a state. */
void
flow_apply_command(struct flow_state *s, Flow__Command *command,
                   int64_t wall_ms);

/* Creates the state. The queue allows 2 attempts and needs no approval, and
 * the team has no limit. */
void
flow_fixture_init(struct flow_fixture *f);

/* Destroys the state. */
void
flow_fixture_free(struct flow_fixture *f);

/* Applies a batch of one command, 1 ms after the previous one. */
void
flow_fixture_apply(struct flow_fixture *f, Flow__Command *command);

/* Applies a configuration with the given version and document. team_cpu_milli
 * is the limit of the team; 0 is none. */
void
flow_fixture_set_config(struct flow_fixture *f, uint64_t version,
                        const char *document, bool needs_approval,
                        uint64_t team_cpu_milli);

/* Registers a worker that the planner may use and returns its number. start_ms
 * is the wall time of its process start. */
uint32_t
flow_fixture_add_worker(struct flow_fixture *f, const char *id,
                        int64_t start_ms, uint64_t cpu_milli);

/* Creates a step of count tasks that takes 1000 ms by its estimate. after is
 * the index of the step that it depends on, or -1. */
Flow__Step *
flow_fixture_create_step(uint32_t count, uint64_t cpu_milli, int after);

/* Submits a job with these steps, frees them and returns the job. */
struct flow_job *
flow_fixture_submit_job(struct flow_fixture *f, uint64_t id,
                        Flow__Step **steps, size_t count);

/* Start a run of a task on a worker, and end it. checkpoint is the one that
 * the run reported, "" for none. */
void
flow_fixture_start_run(struct flow_fixture *f, uint64_t job, uint32_t step,
                       uint32_t index, uint32_t run, uint32_t worker);
void
flow_fixture_end_run(struct flow_fixture *f, uint64_t job, uint32_t step,
                     uint32_t index, uint32_t run, uint32_t worker,
                     enum flow_run_end how, const char *checkpoint);

/* Records the loss of the worker, which unassigns its tasks. */
void
flow_fixture_remove_worker(struct flow_fixture *f, uint32_t worker);

/* Cancels the job. */
void
flow_fixture_cancel_job(struct flow_fixture *f, uint64_t job);

#endif
