#ifndef GV_TEST_FLOW_FIXTURE_H
#define GV_TEST_FLOW_FIXTURE_H

#include "flow.h"
#include "plan.h"

/* Short ways to put commands to a workflow state. */

struct flow_fixture {
    struct flow_state *state;
    struct plan_worker sessions[64];
    int64_t wall_ms;
};

/* Applies a batch of one command. */
void
flow_apply(struct flow_state *s, Flow__Command *command, int64_t wall_ms);

/* One queue "q" of service "s" with 2 attempts, one team "t". */
void
flow_fixture_init(struct flow_fixture *f);
void
flow_fixture_free(struct flow_fixture *f);
void
flow_fixture_apply(struct flow_fixture *f, Flow__Command *command);

/* A version of the configuration; document tells contents apart. */
void
flow_fixture_config(struct flow_fixture *f, uint64_t version,
                    const char *document, bool approval, uint64_t team_cpu);

/* Registers a worker and returns its number; usable for the planner. */
uint32_t
flow_fixture_worker(struct flow_fixture *f, const char *id, int64_t born,
                    uint64_t cpu);

/* A step of count tasks of cpu; after -1: depends on none. */
Flow__Step *
flow_fixture_step(uint32_t count, uint64_t cpu, int after);

/* Submits a job of these steps, which it frees. */
struct flow_job *
flow_fixture_submit(struct flow_fixture *f, uint64_t id, Flow__Step **steps,
                    size_t count);
void
flow_fixture_start(struct flow_fixture *f, uint64_t job, uint32_t step,
                   uint32_t index, uint32_t run, uint32_t worker);
void
flow_fixture_end(struct flow_fixture *f, uint64_t job, uint32_t step,
                 uint32_t index, uint32_t run, uint32_t worker,
                 enum flow_end how, const char *checkpoint);
void
flow_fixture_lose(struct flow_fixture *f, uint32_t worker);
void
flow_fixture_cancel(struct flow_fixture *f, uint64_t job);

#endif
