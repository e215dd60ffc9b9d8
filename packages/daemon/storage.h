#ifndef GV_STORAGE_H
#define GV_STORAGE_H

#include "raft.h"
#include "ring.h"
#include "state.h"
#include "store.h"

/*
 * The storage thread. The control thread submits jobs, which run one at a time
 * in order. Consecutive writes that are queued are merged into one, so that
 * they share one fsync.
 */
struct storage;

enum storage_kind {
    STORAGE_WRITE,    /* write log entries and raft state */
    STORAGE_INSTALL,  /* write a chunk of a received snapshot */
    STORAGE_READ,     /* read a chunk of a snapshot */
    STORAGE_SNAPSHOT, /* write a snapshot of the own state */
    STORAGE_CLUSTER,  /* store the cluster id */
    STORAGE_DISCARD,  /* free a state */
};

struct storage_job {
    enum storage_kind kind;
    enum store_error error; /* set when the job is done */
    struct storage_job *next;
    union {
        struct {
            struct store_batch *batch;
            uint64_t number; /* of the last raft write in batch */
        } write;
        struct {
            struct raft_snapshot meta; /* members is a heap copy */
            struct buf bytes;
            uint64_t offset;
            bool last;
            bool reset_log;
            struct state *state; /* decoded after the last chunk; else NULL */
        } install;
        struct {
            uint64_t to; /* member that the chunk is sent to */
            uint64_t index;
            uint64_t offset;
            size_t len;
            uint64_t total;
            struct buf bytes;
        } read;
        struct {
            struct raft_snapshot meta; /* members is a heap copy */
            struct state_chunks chunks;
        } snapshot;
        uint64_t cluster_id;
        struct state *discard; /* to be freed */
    } u;
};

/*
 * Starts the thread and takes ownership of store. Finished jobs are pushed to
 * done_ring. Logs an error and returns NULL on failure; the caller then still
 * owns store.
 */
struct storage *
storage_create(struct store *store, struct ring *done_ring);

/* Waits for the job in flight, frees the queued jobs, joins the thread and
 * closes the store. */
void
storage_destroy(struct storage *s);
struct storage_job *
storage_job_create(enum storage_kind kind);
void
storage_job_free(struct storage_job *job);

/* Submits a job, which the storage owns until it is done. Control thread only.
 */
void
storage_submit(struct storage *s, struct storage_job *job);

/* Submits the write of a raft output, if it has one. Control thread only. */
void
storage_write(struct storage *s, const struct raft_output *out);

/* Must be called for each job popped from done_ring, before it is freed.
 * Control thread only. */
void
storage_job_done(struct storage *s, const struct storage_job *job);

/* Returns whether a snapshot is queued or being written. */
bool
storage_snapshot_pending(const struct storage *s);

#endif
