#ifndef GV_REPLICA_IMPL_H
#define GV_REPLICA_IMPL_H

#include "map.h"
#include "raft.h"
#include "replica.h"
#include "store.h"

enum {
    /* Cluster id that a member with entries announces before it knows its
     * cluster. */
    CLUSTER_UNKNOWN = 1,
};

struct replica {
    struct control *control;
    struct raft *raft;
    struct state *state;
    struct storage *storage;
    struct map *proposals; /* index to struct pending_proposal */
    struct raft_entry
        *committed; /* being applied; data is in committed_bytes */
    size_t committed_count;
    size_t committed_cap;
    struct buf committed_bytes;
    uint64_t member_id;
    uint64_t stored_cluster_id; /* cluster id that the store knows */
    uint64_t snapshot_index;    /* of the newest snapshot taken or installed */
    uint64_t announced_term;
    uint64_t announced_leader;
    int64_t join_due;
    int64_t bootstrap_log_due;
    struct raft_snapshot encoding; /* being encoded; index 0: none */
    int64_t slice_due;
    int64_t longest_slice_ns; /* of this snapshot, nanoseconds */
    bool installing; /* the last chunk of a snapshot is being stored */
    bool failed;     /* a write failed: this member takes no further part */
};

/* replica.c: a proposed command whose result is awaited. */
struct pending_proposal {
    uint64_t term;
    struct replica_waiter waiter;
};

/*
 * replica_open.c: opens the store of the data directory and restores the
 * member id and the state from it. NULL after an error, which is logged.
 */
struct store *
replica_open(struct replica *r, struct store_restored *restored);

/* replica_output.c: sends, writes and applies what raft has put out. */
void
replica_handle_output(struct replica *r, const struct raft_output *out);

/* replica_snapshot.c */

/* Takes a snapshot, in slices, when enough entries were applied since the
 * last one. */
void
replica_take_snapshot(struct replica *r);

/* Queues the chunks of a snapshot that the leader sends. */
void
replica_queue_snapshot_chunks(struct replica *r,
                              const struct raft_output *out);

/* A chunk is written; after the last one the state is replaced. */
void
replica_handle_chunk_stored(struct replica *r, struct storage_job *job);

/* Forgets the snapshot that is being encoded. */
void
replica_discard_snapshot(struct replica *r);
int64_t
replica_snapshot_deadline(const struct replica *r);

/* replica.c: a write failed; this member stops voting. */
void
replica_fail_storage(struct replica *r, const char *what,
                     enum store_error error);

/* replica_join.c */

bool
replica_is_member(const struct replica *r);

/* Creates the cluster or asks to be added, while this is no member. */
void
replica_become_member(struct replica *r);

#endif
