#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "internal.h"
#include "mem.h"

#define DIR_MODE 0700

const char *
store_error_text(enum store_error error)
{
    switch (error) {
    case STORE_OK:
        return "no error";
    case STORE_ERR_FULL:
        return "disk full";
    case STORE_ERR_IO:
        return "I/O error";
    case STORE_ERR_DAMAGED:
        return "damaged data";
    case STORE_ERR_IDENTITY:
        return "data of another member or cluster";
    case STORE_ERR_BUSY:
        return "directory in use";
    case STORE_ERR_INVALID:
        return "invalid call";
    }
    return "unknown error";
}

enum store_error
restored_fail(struct store_restored *restored, enum store_error error,
              const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    vsnprintf(restored->reason, sizeof(restored->reason), fmt, args);
    va_end(args);
    return error;
}

void
store_restored_free(struct store_restored *restored)
{
    struct raft_entry *entries = (struct raft_entry *)restored->raft.entries;

    for (size_t i = 0; i < restored->raft.entry_count; i++) {
        str_free(&entries[i].data);
    }
    mem_free(entries);
    str_free(&restored->raft.snapshot.members);
    *restored = (struct store_restored){0};
}

/* Syncs the parent too, so that the new directory is durable. */
static enum store_error
make_dir(const struct store *s)
{
    char parent[PATH_BYTES];

    if (s->fs->mkdir(s->fs->ctx, s->dir, DIR_MODE) != 0) {
        return errno == EEXIST ? STORE_OK : error_from_errno();
    }
    snprintf(parent, sizeof(parent), "%s/..", s->dir);
    return files_sync_dir(s, parent);
}

static enum store_error
lock_dir(struct store *s)
{
    s->lock_fd = open(s->dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s->lock_fd < 0) {
        return error_from_errno();
    }
    if (flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return errno == EWOULDBLOCK ? STORE_ERR_BUSY : STORE_ERR_IO;
    }
    return STORE_OK;
}

/*
 * Deletes the only log segment if a store_init that did not complete left it;
 * returns whether it did.
 */
static bool
remove_unfinished_init(const struct store *s, const uint64_t *seqs,
                       size_t count)
{
    struct buf file = {0};
    struct segment_header h;
    char name[32];
    bool removable;

    if (count != 1 || seqs[0] != 1) {
        return false;
    }
    segment_name(1, name);
    removable = files_read(s, name, &file) == STORE_OK &&
                file.len == SEGMENT_HEADER_BYTES &&
                segment_header_decode(buf_str(&file), &h) &&
                h.base.index == 0 && h.hard.term == 0;
    buf_free(&file);
    return removable && files_unlink(s, name) == STORE_OK;
}

/* Without an identity file, log segments or snapshots mean damage. */
static enum store_error
check_empty(const struct store *s, struct store_restored *restored)
{
    uint64_t *seqs = NULL;
    uint64_t *snapshots = NULL;
    size_t seq_count = 0;
    size_t snapshot_count = 0;
    enum store_error error = files_list(s, LOG_PREFIX, &seqs, &seq_count);

    if (error == STORE_OK) {
        error = files_list(s, SNAPSHOT_PREFIX, &snapshots, &snapshot_count);
    }
    if (error == STORE_OK && seq_count + snapshot_count > 0 &&
        (snapshot_count > 0 || !remove_unfinished_init(s, seqs, seq_count))) {
        error = restored_fail(restored, STORE_ERR_DAMAGED,
                              "data without an identity file");
    }
    mem_free(seqs);
    mem_free(snapshots);
    return error;
}

static enum store_error
load(struct store *s, struct store_restored *restored)
{
    uint64_t last_segment = 0;
    bool found = false;
    enum store_error error = files_remove_temporaries(s);

    if (error == STORE_OK) {
        error = identity_read(s, &found, &last_segment);
    }
    if (error == STORE_ERR_DAMAGED) {
        return restored_fail(restored, error, IDENTITY_NAME ": damaged");
    }
    if (error != STORE_OK) {
        return error;
    }
    if (!found) {
        return check_empty(s, restored);
    }
    error = snapshot_load_newest(s, restored);
    if (error == STORE_OK) {
        error = replay_segments(s, restored, last_segment);
    }
    if (error == STORE_OK) {
        error = snapshot_remove_others(s);
    }
    restored->member_id = s->member_id;
    restored->cluster_id = s->cluster_id;
    restored->state = STORE_HEALTHY;
    return error;
}

enum store_error
store_open(const char *dir, const struct store_fs *fs,
           struct store_restored *restored, struct store **out)
{
    struct store *s = mem_zalloc(1, sizeof(*s));
    enum store_error error;

    *restored = (struct store_restored){0};
    *out = NULL;
    s->dir = (char *)str_dup(str_of(dir)).ptr;
    s->fs = fs == NULL ? &store_fs_posix : fs;
    s->fd = -1;
    s->lock_fd = -1;
    s->next_frame = 1;
    error = make_dir(s);
    if (error == STORE_OK) {
        error = lock_dir(s);
    }
    if (error == STORE_OK) {
        error = load(s, restored);
    }
    if (error == STORE_OK) {
        *out = s;
        return STORE_OK;
    }
    if (error == STORE_ERR_DAMAGED || error == STORE_ERR_IDENTITY) {
        restored->state = STORE_DAMAGED;
    }
    if (restored->reason[0] == '\0') {
        restored_fail(restored, error, "%s", store_error_text(error));
    }
    store_close(s);
    return error;
}

void
store_close(struct store *s)
{
    if (s == NULL) {
        return;
    }
    if (s->fd >= 0) {
        s->fs->close(s->fs->ctx, s->fd);
    }
    if (s->lock_fd >= 0) {
        close(s->lock_fd);
    }
    str_free(&s->snapshot.members);
    mem_free(s->segments);
    mem_free(s->dir);
    mem_free(s);
}

/* Creates the segment first: an identity file implies that it exists. */
enum store_error
store_init(struct store *s, uint64_t member_id, uint64_t cluster_id)
{
    enum store_error error;

    if (s->member_id != 0 || member_id == 0 || s->failed != STORE_OK) {
        return STORE_ERR_INVALID;
    }
    s->member_id = member_id;
    s->cluster_id = cluster_id;
    error = segment_create(s, (struct position){0, 0});
    if (error == STORE_OK) {
        error = identity_write(s);
    }
    if (error != STORE_OK) {
        s->failed = error;
    }
    return error;
}

enum store_error
store_set_cluster(struct store *s, uint64_t cluster_id)
{
    enum store_error error;

    if (s->failed != STORE_OK || s->member_id == 0) {
        return s->failed != STORE_OK ? s->failed : STORE_ERR_INVALID;
    }
    if (s->cluster_id == cluster_id) {
        return STORE_OK;
    }
    if (s->cluster_id != 0) {
        return STORE_ERR_IDENTITY;
    }
    s->cluster_id = cluster_id;
    error = identity_write(s);
    if (error != STORE_OK) {
        s->failed = error;
    }
    return error;
}
