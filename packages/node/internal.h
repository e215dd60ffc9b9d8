#ifndef GV_NODE_INTERNAL_H
#define GV_NODE_INTERNAL_H

#include "flow.h"
#include "map.h"
#include "node.h"
#include "open_starts.h"
#include "peer.h"
#include "plan.h"
#include "raft.h"
#include "ring.h"
#include "send_window.h"
#include "store.h"
#include "upstream.h"

struct group;
struct leader;
struct node_store;

/* A session with another process and what is known about that process. */
struct link {
    uint64_t id; /* never reused in this process */
    struct peer_session *session;
    struct str vm;
    uint64_t vm_hash;
    struct str address; /* of its peer port, from its join request, or empty */
    uint64_t member_id; /* 0: an entry node */
    uint64_t cluster_id;
    struct str failure_domain; /* empty: not received yet */
    bool relays;               /* forwards worker calls for the leader */
    bool keeps_evacuations;    /* its build has them in its state */
    struct vm_clock clock;
    /* The VM is not chosen as a relay until then, after an unanswered call. */
    int64_t relay_avoid_until;
    struct buf worker_calls;       /* encoded Node__WorkerCalls to send */
    struct buf worker_answers;     /* encoded Node__WorkerAnswers to send */
    uint32_t open_approvals;       /* approval calls in progress there */
    int64_t approvals_expected_ms; /* total expected duration of these */
    /* The VM gets no approval calls until then, after a failed one. */
    int64_t approval_avoid_until;
};

struct node {
    const char *path; /* of the settings file */
    struct node_settings settings;
    const struct node_adapter *adapter;
    int64_t now; /* monotonic ns, read once per loop iteration */
    uint64_t random_seed;
    int epoll;
    struct ring *call_ring;  /* API calls of callers, operators and workers */
    struct ring *probe_ring; /* the load balancer's readiness probes */
    struct ring *metrics_ring;
    struct ring *upstream_ring;
    struct ring *storage_ring; /* NULL on entry nodes */
    struct front *caller_front;
    struct front *control_front;
    struct front *probe_front;
    struct front *metrics_front;
    struct metrics *metrics;
    struct upstream *upstream;
    struct peer_hub *hub;
    struct map *links; /* by id */
    uint64_t last_link_id;
    struct map *targets;   /* by peer address to keep a session with */
    struct group *group;   /* NULL on entry nodes */
    struct leader *leader; /* NULL unless this process is the leader */
    struct calls *calls;
    struct approval_client *approval_client;
    struct relay *relay;
    struct map *out_hosts; /* struct out_host by address */
    int64_t out_sweep_due;
    /* The leader of the highest term that this process knows of. */
    uint64_t leader_term;
    struct str leader_vm;
    int64_t leader_since; /* set but never read */
    int64_t drain_until;  /* end of the shutdown; 0: not shutting down */
    bool stop;
};

/* storage.c: a thread that reads and writes the log and snapshots */

enum storage_job_kind {
    STORAGE_WRITE,
    STORAGE_INSTALL,
    STORAGE_READ,
    STORAGE_SNAPSHOT,
};

struct storage_job {
    enum storage_job_kind kind;
    enum store_error error;
    struct storage_job *next;
    struct store_batch *batch; /* WRITE */
    uint64_t number;           /* WRITE: passed to raft_write_synced() */
    struct raft_snapshot meta; /* INSTALL, SNAPSHOT; the job owns members */
    struct buf bytes;          /* INSTALL, READ: chunk; SNAPSHOT: all of it */
    uint64_t to;               /* READ: id of the member that gets the chunk */
    uint64_t index;            /* READ: of the snapshot */
    uint64_t offset;           /* INSTALL, READ: of the chunk */
    uint64_t total;            /* READ: size of the snapshot */
    size_t len;                /* READ: largest size of the chunk */
    bool last;                 /* INSTALL: the chunk is the last one */
    bool reset_log;            /* INSTALL: see struct raft_install */
};

struct storage;

/* Starts the thread and takes ownership of store. Finished jobs are pushed to
 * the ring done. Returns NULL on failure and leaves store to the caller. */
struct storage *
storage_create(struct store *store, struct ring *done);
void
storage_destroy(struct storage *s);

/* After a failure: drops the queued jobs and returns whether the one that was
 * started has ended, so that the storage can be destroyed. */
bool
storage_is_idle(struct storage *s);
struct storage_job *
storage_job_create(enum storage_job_kind kind);
void
storage_job_free(struct storage_job *job);

/* Queues a job and owns it until it is pushed to done. */
void
storage_submit(struct storage *s, struct storage_job *job);

/* Queues the write that Raft asks for, merged into the last queued job if that
 * is a write. Does nothing if out has no write. */
void
storage_write(struct storage *s, const struct raft_output *out);

/* Starts the next job. Must be called for each job popped from done. */
void
storage_job_done(struct storage *s);

/* group.c: this VM as a member of the Raft group */

struct group {
    struct node *node;
    struct raft *raft;
    struct flow_state *state;
    struct storage *storage;
    uint64_t member_id;
    uint64_t snapshot_index; /* of the newest snapshot; never read */
    uint64_t log_bytes; /* size of entries applied since the last snapshot */
    struct buf install; /* received part of a snapshot */
    int64_t join_due;
    int64_t prune_due;
    bool snapshot_busy;
    bool has_data;      /* unused */
    bool failed;        /* the storage failed */
    int64_t reopen_due; /* next attempt to open a failed storage again */
    uint64_t announced_term;
    uint64_t announced_leader;
    size_t logged_voters;
    size_t logged_members;
};

/* Members and control VMs as this one sees them. */
struct group_counts {
    size_t voters;
    size_t learners;
    size_t silent;  /* members that do not reply; 0 unless this one leads */
    size_t outside; /* control VMs, also this one, that are no members */
};

struct group *
group_create(struct node *n);
void
group_destroy(struct group *g);
/*
 * Opens a failed storage again, for example once a full disk has space. What
 * was not acknowledged may be gone; everything else is read from the disk.
 * Returns the new group in place of g, or g if it is too early or fails.
 */
struct group *
group_reopen(struct group *g);
void
group_receive(struct group *g, const struct link *from, struct str bytes);
void
group_handle_storage_job(struct group *g, struct storage_job *job);
void
group_step(struct group *g);
int64_t
group_next_deadline(const struct group *g);

/* Returns whether this member is the leader and its lease is valid now. */
bool
group_is_leader(const struct group *g);

/* Proposes a batch. Returns its log index, 0 if it cannot be proposed. */
uint64_t
group_propose(struct group *g, struct str batch);
uint64_t
group_cluster_id(const struct group *g);

/* Sends the current leader and the addresses of the members. */
void
group_send_hint(struct group *g, struct link *to);

/* group_join.c */
void
group_join_step(struct group *g);
void
group_handle_join(struct group *g, const struct link *from,
                  const Node__Join *join);
bool
group_is_member(const struct group *g);

/* group_members.c */

/* Removes a member that has been silent too long, see membership.h. */
void
group_remove_silent_member(struct group *g);
void
group_count_members(const struct group *g, struct group_counts *out);

/* Logs a change of the numbers of members. */
void
group_log_members(struct group *g);

/* links.c */

bool
links_open(struct node *n, char *error, size_t error_size);
void
links_close(struct node *n);

/* Sends this process's failure domain, whether it relays worker calls, and its
 * clock to all connected processes. */
void
links_announce(struct node *n);
void
link_send(struct link *l, const Node__Envelope *envelope);

/* Returns the link to the VM, NULL if there is no session. */
struct link *
link_find(const struct node *n, struct str vm);

/* Keeps a session open with the control VM at the peer address. */
void
links_add_target(struct node *n, struct str address);
void
links_add_seeds(struct node *n);

/* Returns the link to the leader; NULL if this process is the leader or the
 * leader is unknown or not connected. */
struct link *
links_leader(const struct node *n);

/* calls.c: API calls that this process received */

struct calls *
calls_create(struct node *n);
void
calls_destroy(struct calls *c);
void
calls_handle_item(struct calls *c, struct front_item *item);
void
calls_handle_reply(struct calls *c, const Node__Reply *reply);
void
calls_link_down(struct calls *c, uint64_t link);
void
calls_step(struct calls *c);
int64_t
calls_next_deadline(const struct calls *c);
size_t
calls_count(const struct calls *c);

/* metrics.c */

struct metrics *
metrics_create(void);
void
metrics_destroy(struct metrics *m);
void
metrics_call(struct metrics *m, Node__Outcome outcome, int64_t took_ns);
void
metrics_worker_call(struct metrics *m, enum node_worker_call_kind kind,
                    enum upstream_failure failure);

/* Counts a started run. first: it is the job's first run. waited_ns: since the
 * job was accepted. */
void
metrics_start(struct metrics *m, bool first, int64_t waited_ns);

/* Counts a run that a worker listed although it is not assigned to it. */
void
metrics_stray(struct metrics *m);

/* Counts entries of workers' lists that could not be read, and checkpoints
 * that were not kept. */
void
metrics_unreadable(struct metrics *m, uint32_t entries, uint32_t checkpoints);

/* Counts a best-effort run that is stopped for a task with a tail-latency
 * target. */
void
metrics_displaced(struct metrics *m);
void
metrics_end(struct metrics *m, uint32_t run_end);
void
metrics_commit(struct metrics *m, int64_t took_ns);
void
metrics_approval(struct metrics *m, int64_t took_ns);
/* Counts a report on a step that waits, and names its reason. */
void
metrics_waiting(struct metrics *m, const struct plan_wait_report *report);
const char *
metrics_wait_reason_name(enum plan_wait_reason reason);
void
metrics_approval_sent(struct metrics *m, uint32_t priority, int64_t cost_ms);
void
metrics_plan(struct metrics *m, int64_t took_ns);

/* Counts steps that left room to gangs in a planning round. */
void
metrics_yielded(struct metrics *m, size_t steps);

/* Responds to a scrape with the current values. */
void
metrics_respond(const struct node *n, struct front_call *call);

/* approval.c: calls of this process to the approval service */

struct approval_client *
approval_client_create(struct node *n);
void
approval_client_destroy(struct approval_client *a);

/* Calls the approval service. from is the link to the leader, NULL if this
 * process is the leader. */
void
approval_client_send(struct approval_client *a, struct link *from,
                     const Node__Ask *ask);

/* out_calls.c: outgoing HTTP calls */

struct out_call;

/* Called once with the result, then the call is freed. */
typedef void
out_response_fn(struct node *n, struct out_call *call,
                const struct upstream_result *result);

/* Called once with the result of a call to a worker, which is empty unless
 * failure is UPSTREAM_OK. Then the call is freed. */
typedef void
worker_result_fn(struct node *n, struct out_call *call,
                 enum upstream_failure failure,
                 const struct node_worker_result *result);

struct out_call {
    struct node_http_request http;
    struct str address;
    out_response_fn *on_response;
    bool send_once;   /* as in struct upstream_call */
    bool unanswered;  /* by the relay, which may still make the call */
    int64_t send_by;  /* end of its send window; 0: none */
    uint64_t id;      /* of a relayed call */
    int64_t deadline; /* of a relayed call */
    /* Set by the creator of the call, as far as it needs them. */
    struct node_worker_call call;
    worker_result_fn *on_result;
    struct node_task task;
    uint32_t worker; /* number */
    uint64_t term;
    uint64_t link;         /* to the relay or to the requester; 0: none */
    uint64_t requester_id; /* id of the call at the requester */
    int64_t sent;
};

/* Sends the call. Frees it and returns false if it cannot be sent. */
bool
out_send(struct node *n, struct out_call *call, int64_t deadline);
void
out_handle_result(struct node *n, struct upstream_result *result);
void
out_call_free(struct out_call *call);

/* Calls a worker from this process and passes the result to call->on_result.
 * Frees the call and returns false if it cannot be sent. */
bool
out_send_worker_call(struct node *n, struct out_call *call, int64_t deadline);

/* Closes connections to addresses that have not been called for a while. */
void
out_close_unused(struct node *n);
void
out_destroy(struct node *n);

/* Sets *out to the run's key in the replicated state; worker 0: none. */
void
run_to_flow_task(Flow__Task *out, const struct node_task *in, uint32_t worker);

/* relay.c: calls to workers through other VMs */

struct relay *
relay_create(void);
void
relay_destroy(struct relay *r);

/* Returns the link to the VM that should call the worker, NULL for this
 * process. failures is session.polls_unanswered: after failures, another VM
 * may be the one that reaches the worker. */
struct link *
relay_choose(const struct node *n, const struct flow_worker *w,
             uint32_t failures);

/* Queues a call for the relay, takes ownership of it and passes the result to
 * call->on_result. */
void
relay_send(struct node *n, struct out_call *call, struct link *via,
           int64_t deadline);

/* Excludes the VM from the choice of relays for a while. Does nothing if the
 * link is 0 or down. */
void
relay_avoid(struct node *n, uint64_t link);
void
relay_handle_calls(struct node *n, struct link *from, struct str bytes);
void
relay_handle_answers(struct node *n, struct link *from, struct str bytes);
void
relay_link_down(struct node *n, uint64_t link);

/* Sends queued messages and fails calls that timed out. */
void
relay_step(struct node *n);
int64_t
relay_next_deadline(const struct node *n);

/* leader.c: handles requests and controls the workers on the leader */

/* The origin of a request, to which the reply is sent. */
struct requester {
    uint64_t link; /* 0: this process */
    uint64_t id;   /* of the request */
};

struct leader *
leader_create(struct node *n, uint64_t term);
void
leader_destroy(struct leader *l);
uint64_t
leader_current_term(const struct leader *l);
void
leader_handle_request(struct leader *l, struct requester from,
                      const Node__Request *req);

/* Replies to the requests in the batch at index, whose entry was applied. */
void
leader_entry_applied(struct leader *l, uint64_t index, uint64_t term);
void
leader_handle_approval(struct leader *l, const Node__Answer *answer,
                       uint64_t from);
void
leader_link_down(struct leader *l, uint64_t link);
void
leader_step(struct leader *l);
int64_t
leader_next_deadline(const struct leader *l);

/* Sends a reply with the outcome, which is not OK. */
void
request_refuse(struct node *n, struct requester from, Node__Outcome outcome,
               const char *reason, uint32_t retry_after_ms);
void
request_reply(struct node *n, struct requester from, Node__Reply *reply);

#endif
