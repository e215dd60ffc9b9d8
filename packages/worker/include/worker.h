#ifndef GV_WORKER_H
#define GV_WORKER_H

#include "api.h"

/* The API for workers: bodies and route of the sync. For the parse functions'
 * results see caller.h. */

enum {
    WORKER_LEASES_MAX = 4096, /* in each list of a sync or an answer */
    WORKER_WAIT_MAX_MS = 60000,
};

struct worker_capacity {
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
};

enum worker_lease_state {
    WORKER_LEASE_STARTING,
    WORKER_LEASE_RUNNING,
    WORKER_LEASE_CHECKPOINTING,
    WORKER_LEASE_STOPPING,
};

struct worker_lease {
    uint64_t lease;
    int state; /* enum worker_lease_state */
};

enum worker_outcome {
    WORKER_DONE,
    WORKER_FAILED,
    WORKER_STOPPED,
    WORKER_CHECKPOINTED,
    WORKER_NOT_STARTED, /* the task has never run */
};

struct worker_finished {
    uint64_t lease;
    int outcome;       /* enum worker_outcome */
    int64_t exit_code; /* default 0 */
};

struct worker_usage {
    uint64_t lease;
    uint64_t cpu_ms;         /* cumulative for the lease */
    uint64_t memory_mib_s;   /* cumulative for the lease */
    uint64_t accelerator_ms; /* cumulative for the lease */
    uint64_t cpu_milli;      /* current */
    uint64_t memory_mib;     /* current */
};

struct worker_sync {
    uint64_t incarnation; /* grows with each restart of the worker */
    uint64_t seq;         /* grows within an incarnation */
    struct str rack;
    struct str failure_domain;
    struct worker_capacity capacity;
    struct worker_lease *leases;
    size_t lease_count;
    struct worker_finished *finished;
    size_t finished_count;
    struct worker_usage *usage;
    size_t usage_count;
    bool draining;    /* default false */
    uint32_t wait_ms; /* the answer may be delayed so long; default 0 */
};

struct json_doc *
worker_sync_parse(struct str body, struct worker_sync *out,
                  struct api_error *err);
void
worker_sync_render(const struct worker_sync *sync, struct buf *out);

/* A task that the worker is to start. */
struct worker_start {
    uint64_t lease;
    struct str team;
    struct str job;
    uint32_t task;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
    struct str payload;
};

/* The answer to a sync. The lists of numbers hold leases. */
struct worker_answer {
    struct worker_start *start;
    size_t start_count;
    uint64_t *stop;
    size_t stop_count;
    uint64_t *checkpoint;
    size_t checkpoint_count;
    uint64_t *throttle;
    size_t throttle_count;
    uint64_t *finished_ack; /* received in a sync's finished list */
    size_t finished_ack_count;
    uint64_t lease_ms; /* the worker must sync again within this time */
};

struct json_doc *
worker_answer_parse(struct str body, struct worker_answer *out,
                    struct api_error *err);
void
worker_answer_render(const struct worker_answer *answer, struct buf *out);

extern const struct api_table worker_routes;

#endif
