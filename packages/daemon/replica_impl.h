#ifndef GV_REPLICA_IMPL_H
#define GV_REPLICA_IMPL_H

#include "map.h"
#include "raft.h"
#include "replica.h"
#include "store.h"

enum {
    /* Cluster id that a member announces while its log has entries but no
     * cluster id is known. */
    CLUSTER_UNKNOWN = 1,
};

struct replica {
    struct control *control;
    struct raft *raft;
    struct state *state;
    struct storage *storage;
    struct map *proposals; /* log index to struct pending_proposal */
    /* Committed entries being applied; committed_bytes holds their data. */
    struct raft_entry *committed;
    size_t committed_count;
    size_t committed_cap;
    struct buf committed_bytes;
    uint64_t member_id;
    uint64_t stored_cluster_id; /* in the store; 0: none */
    uint64_t snapshot_index;    /* of the newest snapshot; 0: none */
    uint64_t announced_term;    /* last term and leader sent as a hint */
    uint64_t announced_leader;  /* member id; 0: none */
    int64_t join_due;           /* next attempt to become a member */
    int64_t bootstrap_log_due;
    struct raft_snapshot encoding; /* snapshot being encoded; index 0: none */
    int64_t slice_due;             /* when to encode the next slice */
    int64_t longest_slice_ns;      /* of the snapshot being encoded */
    bool installing; /* the last chunk of a snapshot is being written */
    bool failed;     /* a write failed: this member no longer votes */
};

/* A proposed command whose result has not been reported. */
struct pending_proposal {
    uint64_t term;
    struct replica_waiter waiter;
};

/*
 * replica_open.c: opens the store of the data directory and restores the
 * member id and the state from it. Logs an error and returns NULL on failure.
 */
struct store *
replica_open(struct replica *r, struct store_restored *restored);

/* replica_output.c: sends the messages, submits the writes and applies the
 * committed entries of a raft output. */
void
replica_handle_output(struct replica *r, const struct raft_output *out);

/* replica_snapshot.c */

/* Starts a snapshot if enough entries were applied since the last one, or
 * encodes the next slice of the current one. */
void
replica_take_snapshot(struct replica *r);

/* Submits received snapshot chunks to the storage thread. */
void
replica_queue_snapshot_chunks(struct replica *r,
                              const struct raft_output *out);

/* Handles a chunk that has been written. The last chunk replaces the state. */
void
replica_handle_chunk_stored(struct replica *r, struct storage_job *job);

/* Discards the snapshot that is being encoded. */
void
replica_discard_snapshot(struct replica *r);
int64_t
replica_snapshot_deadline(const struct replica *r);

/* replica.c: handles a failed write: this member stops voting. what names the
 * operation for the log. */
void
replica_fail_storage(struct replica *r, const char *what,
                     enum store_error error);

/* replica_join.c */

/* Returns whether the raft configuration lists this member. */
bool
replica_is_member(const struct replica *r);

/* If this VM is not a member, creates the cluster or asks the leader to add
 * it. */
void
replica_become_member(struct replica *r);

#endif
