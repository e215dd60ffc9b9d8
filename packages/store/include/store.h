#ifndef GV_STORE_H
#define GV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "raft.h"
#include "str.h"

/*
 * Durable state of a raft member in one directory: identity, log segments and
 * snapshots. After a failed change to the log or the identity the store
 * refuses all further writes; close it and open it again.
 */
struct store;

enum store_error {
    STORE_OK,
    STORE_ERR_FULL,     /* ENOSPC or EDQUOT */
    STORE_ERR_IO,       /* any other failed operation */
    STORE_ERR_DAMAGED,  /* durable content is missing or changed */
    STORE_ERR_IDENTITY, /* another member's or cluster's data */
    STORE_ERR_BUSY,     /* another process has the directory open */
    STORE_ERR_INVALID,  /* a call out of order */
};

const char *
store_error_text(enum store_error error);

enum store_state {
    STORE_EMPTY,
    STORE_HEALTHY,
    STORE_DAMAGED,
};

/* File operations with the results and errno of the POSIX functions. */
struct store_fs {
    void *ctx;
    int (*open)(void *ctx, const char *path, int flags, mode_t mode);
    int (*close)(void *ctx, int fd);
    ssize_t (*write)(void *ctx, int fd, const void *ptr, size_t len);
    ssize_t (*pread)(void *ctx, int fd, void *ptr, size_t len, off_t offset);
    int (*fsync)(void *ctx, int fd);
    int (*rename)(void *ctx, const char *from, const char *to);
    int (*unlink)(void *ctx, const char *path);
    int (*mkdir)(void *ctx, const char *path, mode_t mode);
};

/* Calls the POSIX functions. */
extern const struct store_fs store_fs_posix;

struct store_restored {
    enum store_state state;
    uint64_t member_id;
    uint64_t cluster_id; /* 0: not set yet */
    struct raft_restored raft;
    uint64_t torn_bytes; /* incomplete last write, removed from the log */
    char reason[128];    /* of an error, as text for the log */
};

void
store_restored_free(struct store_restored *restored);

/*
 * Opens dir, creating it if missing, and reads what it holds. fs NULL means
 * store_fs_posix. On STORE_OK the state is empty or healthy and *out is
 * set. On STORE_ERR_DAMAGED and STORE_ERR_IDENTITY the state is damaged: call
 * store_set_aside and open again. Any other error does not tell whether
 * the directory holds data: it must not be treated as empty. The caller frees
 * restored with store_restored_free in every case.
 */
enum store_error
store_open(const char *dir, const struct store_fs *fs,
           struct store_restored *restored, struct store **out);
void
store_close(struct store *s);

/*
 * Moves everything in a damaged directory to a new subdirectory
 * "damaged-N", so that the directory is empty.
 */
enum store_error
store_set_aside(const char *dir, const struct store_fs *fs);

/* Gives an empty store its identity; cluster_id 0: not known yet. */
enum store_error
store_init(struct store *s, uint64_t member_id, uint64_t cluster_id);

/* Sets the cluster id; STORE_ERR_IDENTITY if a different one is set. */
enum store_error
store_set_cluster(struct store *s, uint64_t cluster_id);

/*
 * A batch collects the hard states and entries of one or more struct
 * raft_output. Any thread may fill it before the storage thread writes it.
 */
struct store_batch;

struct store_batch *
store_batch_create(void);
void
store_batch_destroy(struct store_batch *b);

/* Empties b and keeps its memory. */
void
store_batch_clear(struct store_batch *b);
bool
store_batch_empty(const struct store_batch *b);
void
store_batch_hard_state(struct store_batch *b,
                       const struct raft_hard_state *hard);

/*
 * Copies the entries. An entry with an existing index replaces that entry and
 * all later ones.
 */
void
store_batch_entries(struct store_batch *b, const struct raft_entry *entries,
                    size_t count);

/* Adds the hard state and the entries of out, if there are any. */
void
store_batch_output(struct store_batch *b, const struct raft_output *out);

/* Appends the batch to the log with one write and one sync. */
enum store_error
store_write(struct store *s, struct store_batch *b);

/* A snapshot that is being written. */
struct store_snapshot;

enum store_error
store_snapshot_begin(struct store *s, const struct raft_snapshot *meta,
                     struct store_snapshot **out);
enum store_error
store_snapshot_write(struct store_snapshot *w, struct str chunk);

/*
 * Makes the snapshot durable, then deletes older snapshots and the log
 * segments that it covers, or with reset_log the whole log. Frees w in every
 * case.
 */
enum store_error
store_snapshot_commit(struct store_snapshot *w, bool reset_log);
void
store_snapshot_abort(struct store_snapshot *w);

/*
 * Appends up to max bytes of the newest snapshot's data, from offset on, to
 * out. *total is set to the size of the data; total may be NULL.
 * STORE_ERR_INVALID if the newest snapshot is not the one at index.
 */
enum store_error
store_snapshot_read(struct store *s, uint64_t index, uint64_t offset,
                    size_t max, struct buf *out, uint64_t *total);

#endif
