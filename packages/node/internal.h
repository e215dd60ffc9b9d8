#ifndef GV_NODE_INTERNAL_H
#define GV_NODE_INTERNAL_H

#include "flow.h"
#include "map.h"
#include "node.h"
#include "peer.h"
#include "plan.h"
#include "raft.h"
#include "ring.h"
#include "store.h"
#include "upstream.h"

struct group;
struct leader;
struct node_store;

/* A session with another process. */
struct link {
    uint64_t id; /* never reused in this process */
    struct peer_session *session;
    struct str vm;
    uint64_t vm_hash;
    struct str address; /* announced in its join request, may be empty */
    uint64_t member_id; /* 0: an entry */
    uint64_t cluster_id;
    struct str failure_domain; /* empty: not said yet */
    bool relays;               /* calls workers for the leader */
    int64_t
        relay_avoid_until;   /* skipped until then after an unanswered call */
    struct buf worker_calls; /* queued Node__WorkerCalls */
    struct buf worker_answers;     /* queued Node__WorkerAnswers */
    uint32_t open_approvals;       /* approval calls that this VM is making */
    int64_t approvals_expected_ms; /* expected duration of those calls */
    int64_t approval_avoid_until;  /* skipped until then after a failed call */
};

struct node {
    const char *path; /* of the settings file */
    struct node_settings settings;
    const struct node_adapter *adapter;
    int64_t now;  /* monotonic ns, read once per loop iteration */
    uint64_t run; /* random number of this process */
    int epoll;
    struct ring *call_ring;  /* of callers and operators */
    struct ring *probe_ring; /* of the load balancer */
    struct ring *metrics_ring;
    struct ring *upstream_ring;
    struct ring *storage_ring; /* NULL on entries */
    struct front *caller_front;
    struct front *control_front;
    struct front *probe_front;
    struct front *metrics_front;
    struct metrics *metrics;
    struct upstream *upstream;
    struct peer_hub *hub;
    struct map *links; /* by id */
    uint64_t last_link;
    struct map *targets;   /* peer addresses to keep sessions with */
    struct group *group;   /* NULL on entries */
    struct leader *leader; /* NULL unless this process is the leader */
    struct calls *calls;
    struct approval_client *approval_client;
    struct relay *relay;
    struct map *out_hosts; /* by address, see out_calls.c */
    int64_t out_sweep_due;
    /* The leader of the highest term known to this process. */
    uint64_t leader_term;
    struct str leader_vm;
    int64_t leader_since;
    int64_t drain_until; /* 0: not stopping */
    bool stop;
};

/* storage.c: a thread that writes the log and snapshots */

enum disk_kind {
    DISK_WRITE,
    DISK_INSTALL,
    DISK_READ,
    DISK_SNAPSHOT,
};

struct disk_job {
    enum disk_kind kind;
    enum store_error error;
    struct disk_job *next;
    struct store_batch *batch; /* WRITE */
    uint64_t number;           /* WRITE: for raft_write_synced */
    struct raft_snapshot meta; /* INSTALL, SNAPSHOT; members is a copy */
    struct buf bytes;
    uint64_t to; /* READ: member */
    uint64_t index;
    uint64_t offset;
    uint64_t total;
    size_t len;
    bool last;
    bool reset_log;
};

struct disk;

/* Takes ownership of store. Finished jobs are pushed to the ring done. */
struct disk *
disk_create(struct store *store, struct ring *done);
void
disk_destroy(struct disk *d);
struct disk_job *
disk_job_create(enum disk_kind kind);
void
disk_job_free(struct disk_job *job);

/* Queues a job, which the disk owns until it is done. */
void
disk_submit(struct disk *d, struct disk_job *job);

/* Queues raft's write, merging it into a queued one. */
void
disk_write(struct disk *d, const struct raft_output *out);

/* Must be called for each job popped from done: starts the next job. */
void
disk_done(struct disk *d);

/* group.c: this VM's member of the replicated state */

struct group {
    struct node *node;
    struct raft *raft;
    struct flow_state *state;
    struct disk *disk;
    uint64_t member_id;
    uint64_t snapshot_index;
    uint64_t log_bytes; /* applied since the last snapshot */
    struct buf install; /* snapshot that is being received */
    int64_t join_due;
    int64_t prune_due;
    bool snapshot_busy;
    bool has_data;
    bool failed;
    uint64_t announced_term;
    uint64_t announced_leader;
};

struct group *
group_create(struct node *n);
void
group_destroy(struct group *g);
void
group_receive(struct group *g, const struct link *from, struct str bytes);
void
group_disk_done(struct group *g, struct disk_job *job);
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

/* links.c */

bool
links_open(struct node *n, char *error, size_t error_size);
void
links_close(struct node *n);

/* Announces to all processes whether this one relays worker calls. */
void
links_announce(struct node *n);
void
link_send(struct link *l, const Node__Envelope *envelope);
struct link *
link_find(const struct node *n, struct str vm);

/* Keeps a session with the control VM at the address. */
void
links_add_target(struct node *n, struct str address);
void
links_add_seeds(struct node *n);

/* The link to the leader; NULL when it is this process or is not known. */
struct link *
links_leader(const struct node *n);

/* calls.c: calls of callers and operators at this process */

struct calls *
calls_create(struct node *n);
void
calls_destroy(struct calls *c);
void
calls_handle_item(struct calls *c, struct front_item *item);
void
calls_reply(struct calls *c, const Node__Reply *reply);
void
calls_link_down(struct calls *c, uint64_t link);
void
calls_step(struct calls *c);
int64_t
calls_next_deadline(const struct calls *c);
size_t
calls_count(const struct calls *c);

/* metrics.c: times in ns */

struct metrics *
metrics_create(void);
void
metrics_destroy(struct metrics *m);
void
metrics_call(struct metrics *m, Node__Outcome outcome, int64_t took_ns);
void
metrics_worker_call(struct metrics *m, enum node_call_kind kind,
                    enum upstream_failure failure);

/* first: the job had no run before. */
void
metrics_start(struct metrics *m, bool first, int64_t waited_ns);
void
metrics_end(struct metrics *m, uint32_t how);
void
metrics_commit(struct metrics *m, int64_t took_ns);
void
metrics_approval(struct metrics *m, int64_t took_ns);

/* Answers a scrape with the values of this moment. */
void
metrics_respond(const struct node *n, struct front_call *call);

/* approval.c: calls to the approval service from this process */

struct approval_client *
approval_client_create(struct node *n);
void
approval_client_destroy(struct approval_client *a);

/* Calls the approval service. from is the link to the leader, NULL if this
 * process is the leader. */
void
approval_client_send(struct approval_client *a, struct link *from,
                     const Node__Ask *ask);

/* outgoing HTTP */

struct out_call;

/* Called once with the result; the call is freed afterwards. */
typedef void
out_done(struct node *n, struct out_call *call,
         const struct upstream_result *result);

/* Called once for a call to a worker; result is empty unless failure is
 * UPSTREAM_OK. */
typedef void
worker_answered(struct node *n, struct out_call *call,
                enum upstream_failure failure,
                const struct node_result *result);

struct out_call {
    struct node_http http;
    struct str address;
    out_done *done;
    uint64_t id;
    int64_t deadline;
    /* Set by whoever creates the call. */
    struct node_call call;
    worker_answered *answered;
    struct node_task task;
    uint32_t worker;
    uint64_t term;
    uint64_t link;
    uint64_t requester_id;
    int64_t sent;
};

/* Frees the call when it could not be sent, and returns false. */
bool
out_send(struct node *n, struct out_call *call, int64_t deadline);
void
out_handle_result(struct node *n, struct upstream_result *result);
void
out_call_free(struct out_call *call);

/* Calls a worker from this process; call->answered gets the result. Frees the
 * call when it could not be sent, and returns false. */
bool
out_send_worker_call(struct node *n, struct out_call *call, int64_t deadline);

/* Closes connections to addresses that are no longer called. */
void
out_close_unused(struct node *n);
void
out_destroy(struct node *n);

/* Sets *out to the run as the replicated state names it; worker 0: none. */
void
run_to_flow_task(Flow__Task *out, const struct node_task *in, uint32_t worker);

/* relay.c: calls to workers through other VMs */

struct relay *
relay_create(void);
void
relay_destroy(struct relay *r);

/* Returns the VM that should call the worker after the given number of
 * consecutive unanswered calls; NULL: this process. */
struct link *
relay_choose(const struct node *n, const struct flow_worker *w,
             uint32_t failures);

/* Takes ownership of the call; call->answered gets the result. */
void
relay_send(struct node *n, struct out_call *call, struct link *via,
           int64_t deadline);

/* Stops using the VM as a relay for a while; does nothing for link 0. */
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

/* leader.c: the leader's duties */

/* Where a reply goes: a link, or with link 0 this process. */
struct requester {
    uint64_t link;
    uint64_t id;
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

/* Answers the requests of the batch at index, whose entry was applied. */
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

/* Refuses a request because this process does not lead. */
void
request_refuse(struct node *n, struct requester from, Node__Outcome outcome,
               const char *reason, uint32_t retry_after_ms);
void
request_reply(struct node *n, struct requester from, Node__Reply *reply);

#endif
