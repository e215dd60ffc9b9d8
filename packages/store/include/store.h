#ifndef GV_STORE_H
#define GV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "raft.h"
#include "str.h"

/*
 * A member's durable state in one directory: identity, log segments and
 * snapshots. After an error of a write or a sync the store accepts nothing
 * more; close it and open it again.
 */
struct store;

enum store_error {
    STORE_OK,
    STORE_ERR_FULL,     /* ENOSPC or EDQUOT */
    STORE_ERR_IO,       /* any other failed operation */
    STORE_ERR_DAMAGED,  /* content that was durable does not read back */
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

/* File operations; each returns as its namesake in POSIX and sets errno. */
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

/* The operating system's operations. */
extern const struct store_fs store_fs_posix;

struct store_restored {
    enum store_state state;
    uint64_t member_id;
    uint64_t cluster_id; /* 0 until store_set_cluster */
    struct raft_restored raft;
    uint64_t torn_bytes; /* cut off the end of the log */
    char reason[128];    /* of an error, for the log line */
};

void
store_restored_free(struct store_restored *restored);

/*
 * Opens dir, creating it if missing, and reads what it holds. fs NULL stands
 * for store_fs_posix. On STORE_OK the state is empty or healthy and *out is
 * set. On STORE_ERR_DAMAGED and STORE_ERR_IDENTITY the state is damaged: call
 * store_set_aside and open again. Any other error says nothing about the
 * content, which must not be taken for empty. restored must be freed in every
 * case.
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

/* Gives an empty store its identity; cluster_id may be 0. */
enum store_error
store_init(struct store *s, uint64_t member_id, uint64_t cluster_id);

/* Sets the cluster id once; STORE_ERR_IDENTITY if it has another. */
enum store_error
store_set_cluster(struct store *s, uint64_t cluster_id);

/*
 * A batch collects what one or more struct raft_output ask to write. It is
 * filled on any thread and then handed to the storage thread.
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

/* Copies the entries. An index that exists replaces it and all later. */
void
store_batch_entries(struct store_batch *b, const struct raft_entry *entries,
                    size_t count);

/* Hard state and entries of out, if it has any. */
void
store_batch_output(struct store_batch *b, const struct raft_output *out);

/* Appends the batch with one write and one sync. */
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
 * Makes the snapshot durable, then drops older snapshots and the log segments
 * that it covers; with reset_log the whole log. Frees w in every case.
 */
enum store_error
store_snapshot_commit(struct store_snapshot *w, bool reset_log);
void
store_snapshot_abort(struct store_snapshot *w);

/*
 * Appends up to max bytes at offset of the newest snapshot to out; total may
 * be NULL. STORE_ERR_INVALID if the newest snapshot is not the one at index.
 */
enum store_error
store_snapshot_read(struct store *s, uint64_t index, uint64_t offset,
                    size_t max, struct buf *out, uint64_t *total);

#endif
