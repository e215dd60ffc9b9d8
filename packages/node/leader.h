#ifndef GV_NODE_LEADER_H
#define GV_NODE_LEADER_H

#include "internal.h"

/* The leader's parts; its state is rebuilt by each new leader. */

/* A request that is answered once its batch is committed. */
struct waiter {
    struct requester from;
    int kind; /* Node__Request kind_case */
    uint64_t job;
    bool cancel;
    uint64_t version;
    struct str document;
};

/* Commands that are being committed. */
struct leader_batch {
    struct leader_batch *next;
    uint64_t index;
    int64_t proposed;
    struct waiter *waiters;
    size_t waiter_count;
    size_t waiter_cap;
    bool plan;
};

struct packed_command {
    uint8_t *data;
    size_t len;
};

/* A committed start in the making. */
struct planned_start {
    struct node_task task;
    uint32_t worker;
    char ticket[PLAN_TICKET_BYTES];
};

struct session;

struct leader {
    struct node *node;
    struct flow_state *state; /* the group's */
    uint64_t term;
    int64_t began;
    struct packed_command *commands; /* to propose */
    size_t command_count;
    size_t command_cap;
    struct leader_batch *open_batch; /* for these commands */
    struct leader_batch *first;      /* being committed, in order */
    struct leader_batch *last;
    struct map *sessions;  /* by worker number */
    struct map *approvals; /* by id */
    uint64_t last_approval_id;
    bool plan_committing; /* starts are being committed */
    bool dirty;           /* something changed that placement depends on */
    int64_t plan_due;
    struct plan plan;
    struct planned_start *planned;
    size_t planned_count;
    int64_t scan_due;
    int64_t workers_due;        /* next look at all sessions */
    struct session *step_queue; /* sessions to step before that */
};

/* Queues a command for the next batch. */
void
leader_queue_command(struct leader *l, const Flow__Command *command);

/* The batch that the queued commands will be part of. */
struct leader_batch *
leader_open_batch(struct leader *l);

/* ---- lead_requests.c ---- */

/* Answers a request whose batch was applied. */
void
request_committed(struct leader *l, const struct waiter *w);

/* ---- lead_plan.c: placement ---- */

void
leader_plan_step(struct leader *l);

/* The batch with the starts of the last plan was applied. */
void
leader_plan_applied(struct leader *l);
void
leader_free_approvals(struct leader *l);

/* ---- workers.c: the leader's sessions with workers ---- */

void
workers_step(struct leader *l);
int64_t
workers_next_deadline(const struct leader *l);
void
workers_destroy(struct leader *l);

/* Workers that tasks are placed on. */
size_t
workers_usable(const struct leader *l);

/* What a worker announced, on its own clock. */
void
workers_announced(struct leader *l, const struct flow_worker *w,
                  int64_t clock_ms);

/* The worker deregistered: it ends, and may have ended already. */
void
workers_deregistered(const struct flow_worker *w);

/* Commits that the worker is gone, with all that it ran. */
void
workers_propose_lost(struct leader *l, uint32_t worker);

/* Tells the worker to start a run that is committed. */
void
workers_queue_start(struct leader *l, const struct planned_start *start);

/* A batch could not be proposed: what it held is proposed again. */
void
workers_proposal_failed(struct leader *l);

/* Number of the last announcement heard from the worker, to tell late ones. */
uint64_t *
workers_announcement_sequence(const struct flow_worker *w);

#endif
