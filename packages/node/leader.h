#ifndef GV_NODE_LEADER_H
#define GV_NODE_LEADER_H

#include "internal.h"

/* State of the leader that is not replicated: each new leader builds it
 * anew. Times are ns of the monotonic clock unless their name says ms. */

/* A request that is answered once the batch with its command is applied. */
struct pending_request {
    struct requester from;
    int kind;            /* Node__Request kind_case */
    uint64_t job;        /* submit and cancel: id of the job */
    bool cancel;         /* never read */
    uint64_t version;    /* configuration */
    struct str document; /* configuration; owned */
    struct str domain;   /* evacuation; owned */
    bool active;         /* evacuation */
};

/* A batch of commands from the time it is filled until it is applied. */
struct leader_batch {
    struct leader_batch *next;
    uint64_t index; /* in the log */
    int64_t proposed_at;
    struct pending_request *requests;
    size_t request_count;
    size_t request_cap;
    bool has_starts; /* it commits leader.planned */
};

struct packed_command {
    uint8_t *data;
    size_t len;
};

/* A planned start whose batch is being committed. */
struct planned_start {
    struct node_task task;
    uint32_t worker;
    char ticket[PLAN_TICKET_BYTES];
};

struct evacuations;
struct session;

struct leader {
    struct node *node;
    struct flow_state *state; /* the group's */
    uint64_t term;
    int64_t began; /* when this process became leader; never read */
    struct packed_command *commands; /* queued for the next batch */
    size_t command_count;
    size_t command_cap;
    size_t command_bytes;            /* of all queued commands */
    struct leader_batch *open_batch; /* of the queued commands; may be NULL */
    struct leader_batch *first; /* batches being committed, in log order */
    struct leader_batch *last;
    struct map *sessions;  /* by worker number */
    uint64_t last_token;   /* the last that session_renew_token() gave */
    struct map *approvals; /* by id */
    uint64_t last_approval_id;
    bool plan_committing; /* a batch with starts is being committed */
    bool plan_needed;     /* placement inputs changed since the last plan */
    int64_t plan_due;     /* earliest time of the next plan */
    struct plan plan;
    struct planned_start *planned; /* starts of the last plan */
    size_t planned_count;
    int64_t due_scan_at;        /* next scan for due occurrences */
    int64_t workers_due;        /* next step of all sessions */
    struct session *step_queue; /* sessions to step before workers_due */
    struct evacuations *evacuations;
};

/* Queues a command for the next batch. */
void
leader_queue_command(struct leader *l, const Flow__Command *command);

/* Proposes the queued commands if they are so long that more of them might not
 * fit into a message between VMs. */
void
leader_propose_if_long(struct leader *l);

/* Returns the batch for the queued commands, creating it if needed. */
struct leader_batch *
leader_open_batch(struct leader *l);

/* leader_requests.c */

/* Adds a request to the open batch, which is answered once that is applied. */
struct pending_request *
leader_add_request(struct leader *l, struct requester from,
                   const Node__Request *req);

/* Answers a request whose command was applied. */
void
answer_committed_request(struct leader *l, const struct pending_request *p);

/* leader_plan.c: placement */

void
leader_plan_step(struct leader *l);

/* Queues the planned starts, whose batch was applied, for their workers. */
void
leader_queue_planned_starts(struct leader *l);
void
leader_free_approvals(struct leader *l);

/* workers.c: the leader's sessions with workers */

void
workers_step(struct leader *l);
int64_t
workers_next_deadline(const struct leader *l);
void
workers_destroy(struct leader *l);

/* Returns the number of workers that tasks can be placed on. */
size_t
workers_usable(const struct leader *l);

/* Records the worker's clock from an announcement if the session does not know
 * it yet; -1: not given. */
void
workers_record_announcement(const struct flow_worker *w, int64_t clock_ms);

/* Records how much longer the worker is slow after its start. */
void
workers_record_cold(const struct flow_worker *w, uint32_t cold_ms);

/* Polls the worker at once, because another process may have its address. The
 * answer decides whether it is lost. */
void
workers_verify(struct leader *l, const struct flow_worker *w);

/* Polls the worker at once with a new token, so that it refuses all calls that
 * are under way. */
void
workers_fence(struct leader *l, const struct flow_worker *w);

/* Keeps the announcement of a later process of the worker and polls it. The
 * process is registered when it has answered and the runs of the earlier one
 * are settled. */
void
workers_restart_announced(struct leader *l, const struct flow_worker *w,
                          const Flow__Worker *announced);

/* Stops placing tasks on a worker that has deregistered. Its process may have
 * exited. */
void
workers_deregistered(const struct flow_worker *w);

/* Queues a command that removes the worker and ends all its runs. */
void
workers_propose_lost(struct leader *l, uint32_t worker);

/* Queues a committed start to be sent to its worker. */
void
workers_queue_start(struct leader *l, const struct planned_start *start);

/* Allows all sessions to propose run ends and lost workers again, because a
 * batch could not be proposed. */
void
workers_reset_proposals(struct leader *l);

/* Returns a pointer to the highest sequence number of the worker's
 * announcements, by which older ones are recognized; NULL without a
 * session. */
uint64_t *
workers_announcement_sequence(const struct flow_worker *w);

#endif
