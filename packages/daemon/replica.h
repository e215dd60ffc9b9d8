#ifndef GV_REPLICA_H
#define GV_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "raft.h"
#include "state.h"
#include "str.h"

struct control;
struct link;
struct storage_job;

/*
 * This VM's replica of the cluster state: the raft member, its storage and the
 * state machine.
 */
struct replica;

/*
 * Opens the data directory. A damaged directory is first renamed, and the VM
 * starts with an empty one. Logs an error and returns NULL on failure.
 */
struct replica *
replica_create(struct control *c);
void
replica_destroy(struct replica *r);

/*
 * Callback for a proposed command. applied is called once: with the result
 * when the command has been applied, or with NULL if leadership was lost and
 * the outcome is unknown.
 */
struct replica_waiter {
    void (*applied)(void *arg, const struct state_result *result);
    void *arg;
};

/* Waiter for commands whose result is not needed. */
extern const struct replica_waiter replica_no_waiter;

/*
 * Proposes a command. Returns false, without calling the waiter, if this
 * member does not lead, is transferring leadership, or has too many
 * uncommitted bytes.
 */
bool
replica_propose(struct replica *r, struct str command,
                struct replica_waiter waiter);

/* Handles a raft message from another member. */
void
replica_handle_raft_message(struct replica *r, const struct link *from,
                            struct str bytes);

/* Handles and frees a job that the storage thread has finished. */
void
replica_handle_storage_job(struct replica *r, struct storage_job *job);

/* Runs raft timers, sends messages, submits writes and applies committed
 * entries; called in each round of the control loop. */
void
replica_step(struct replica *r);
int64_t
replica_next_deadline(const struct replica *r);

/* Returns whether this member leads and holds the raft leader lease, so that
 * it may read the state and grant leases now. */
bool
replica_leads(const struct replica *r);
const struct state *
replica_state(const struct replica *r);
struct raft *
replica_raft(struct replica *r);

/* The ids that the peer handshake announces. Cluster id 0: the log is empty;
 * 1: the log has entries, but the cluster is not known yet. */
uint64_t
replica_member_id(const struct replica *r);
uint64_t
replica_cluster_id(const struct replica *r);

/* Handles the request of a control VM without data to be added as a member. */
void
replica_handle_join(struct replica *r, const struct link *from, struct str vm,
                    uint64_t member_id, struct str address);

/* Starts a transfer of leadership to a member, unless one is in progress. */
void
replica_transfer_leadership(struct replica *r, uint64_t to);

/* Returns the VM of the current leader, ptr NULL if unknown, and sets the
 * current term. */
struct str
replica_leader_vm(const struct replica *r, uint64_t *term);

#endif
