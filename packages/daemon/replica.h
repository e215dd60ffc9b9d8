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
 * This VM's member of the replicated state: raft, its storage and the state
 * machine.
 */
struct replica;

/* Opens the data directory; a damaged one is set aside first. */
struct replica *
replica_create(struct control *c);
void
replica_destroy(struct replica *r);

/*
 * Called when a proposed command was applied, or with result NULL when it is
 * not known whether it will be, because leadership was lost.
 */
struct replica_waiter {
    void (*applied)(void *arg, const struct state_result *result);
    void *arg;
};

/* For commands whose result nobody needs. */
extern const struct replica_waiter replica_no_waiter;

/*
 * Proposes a command. Returns false, without calling the waiter, when this
 * member does not lead or has too much uncommitted.
 */
bool
replica_propose(struct replica *r, struct str command,
                struct replica_waiter waiter);

/* A message of another member. */
void
replica_handle_raft_message(struct replica *r, const struct link *from,
                            struct str bytes);

/* A job that the storage thread finished; frees it. */
void
replica_handle_storage_job(struct replica *r, struct storage_job *job);

/* Time, outgoing messages, writes, committed entries; once per wake-up. */
void
replica_step(struct replica *r);
int64_t
replica_next_deadline(const struct replica *r);

/* Whether this member leads and may read and grant at this moment. */
bool
replica_leads(const struct replica *r);
const struct state *
replica_state(const struct replica *r);
struct raft *
replica_raft(struct replica *r);

/* What the handshake announces; a cluster id of 1 stands for "has entries,
 * but does not know its cluster yet". */
uint64_t
replica_member_id(const struct replica *r);
uint64_t
replica_cluster_id(const struct replica *r);

/* A control VM without data asks to be added. */
void
replica_handle_join(struct replica *r, const struct link *from, struct str vm,
                    uint64_t member_id, struct str address);

/* Starts to hand leadership to a member, unless a transfer is under way. */
void
replica_transfer_leadership(struct replica *r, uint64_t to);

/* The hint of the current leader: its VM, with ptr NULL when unknown. */
struct str
replica_leader_vm(const struct replica *r, uint64_t *term);

#endif
