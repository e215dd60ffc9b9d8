#ifndef GV_STORAGE_H
#define GV_STORAGE_H

#include "raft.h"
#include "ring.h"
#include "state.h"
#include "store.h"

/*
 * The storage thread. The control thread queues jobs, which run one at a time
 * in order; consecutive writes that wait are merged into one, so that one
 * sync serves all of them.
 */
struct storage;

enum storage_kind {
    STORAGE_WRITE,
    STORAGE_INSTALL,
    STORAGE_READ,
    STORAGE_SNAPSHOT,
    STORAGE_CLUSTER,
    STORAGE_DISCARD,
};

struct storage_job {
    enum storage_kind kind;
    enum store_error error; /* set when the job is done */
    struct storage_job *next;
    union {
        struct {
            struct store_batch *batch;
            uint64_t number; /* for raft_write_synced */
        } write;
        struct {
            struct raft_snapshot meta; /* members is a heap copy */
            struct buf bytes;
            uint64_t offset;
            bool last;
            bool reset_log;
            struct state *state; /* decoded with the last chunk */
        } install;
        struct {
            uint64_t to;
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
        uint64_t cluster;
        struct state *discard; /* to be freed */
    } u;
};

/* Takes store over. Finished jobs arrive on done. */
struct storage *
storage_create(struct store *store, struct ring *done);

/* Runs what is queued, joins the thread and closes the store. */
void
storage_destroy(struct storage *s);
struct storage_job *
storage_job_create(enum storage_kind kind);
void
storage_job_free(struct storage_job *job);

/* Control thread: queues a job, which the storage owns until it is done. */
void
storage_submit(struct storage *s, struct storage_job *job);

/* Control thread: queues what a raft output asks to write. */
void
storage_write(struct storage *s, const struct raft_output *out);

/* Control thread: call for each job popped from done, before freeing it. */
void
storage_job_done(struct storage *s, const struct storage_job *job);

/* Whether a snapshot is queued or being written. */
bool
storage_snapshot_pending(const struct storage *s);

#endif
