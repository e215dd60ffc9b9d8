#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>

#include <xxhash.h>

#include "internal.h"
#include "mem.h"

/*
 * Layout of a snapshot file: magic, index, term, length of the member list
 * (8 bytes each), member list, data, length of the data, checksum of all
 * bytes before it (8 bytes each).
 */

#define SNAPSHOT_MAGIC UINT64_C(0x3130504e53564767)
#define SNAPSHOT_HEADER_BYTES 32
#define SNAPSHOT_FOOTER_BYTES 16

struct store_snapshot {
    struct store *store;
    struct raft_snapshot meta;
    char name[64]; /* of the temporary file */
    int fd;
    uint64_t bytes; /* of data written so far */
    XXH3_state_t *hash;
};

static void
snapshot_name(uint64_t index, char out[32])
{
    snprintf(out, 32, SNAPSHOT_PREFIX "%016" PRIx64, index);
}

static enum store_error
write_hashed(struct store_snapshot *w, struct str bytes)
{
    XXH3_64bits_update(w->hash, bytes.ptr, bytes.len);
    return files_write(w->store, w->fd, bytes);
}

static enum store_error
write_header(struct store_snapshot *w)
{
    struct buf header = {0};
    enum store_error error;

    put_u64(&header, SNAPSHOT_MAGIC);
    put_u64(&header, w->meta.index);
    put_u64(&header, w->meta.term);
    put_u64(&header, w->meta.members.len);
    buf_append_str(&header, w->meta.members);
    error = write_hashed(w, buf_str(&header));
    buf_free(&header);
    return error;
}

static enum store_error
write_footer(struct store_snapshot *w)
{
    char footer[SNAPSHOT_FOOTER_BYTES];

    set_u64(footer, w->bytes);
    XXH3_64bits_update(w->hash, footer, 8);
    set_u64(footer + 8, XXH3_64bits_digest(w->hash));
    return files_write(w->store, w->fd, str_from(footer, sizeof(footer)));
}

enum store_error
store_snapshot_begin(struct store *s, const struct raft_snapshot *meta,
                     struct store_snapshot **out)
{
    struct store_snapshot *w;
    char path[PATH_BYTES];
    enum store_error error;

    *out = NULL;
    if (s->failed != STORE_OK || s->fd < 0 || meta->index == 0) {
        return s->failed != STORE_OK ? s->failed : STORE_ERR_INVALID;
    }
    w = mem_zalloc(1, sizeof(*w));
    w->store = s;
    w->meta = *meta;
    w->meta.members = str_dup(meta->members);
    w->hash = XXH3_createState();
    XXH3_64bits_reset(w->hash);
    s->temporary_count++;
    snprintf(w->name, sizeof(w->name),
             SNAPSHOT_PREFIX "%" PRIu64 TEMPORARY_SUFFIX, s->temporary_count);
    build_path(s, w->name, path);
    w->fd = s->fs->open(s->fs->ctx, path,
                        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    error = w->fd < 0 ? error_from_errno() : write_header(w);
    if (error != STORE_OK) {
        store_snapshot_abort(w);
        return error;
    }
    *out = w;
    return STORE_OK;
}

enum store_error
store_snapshot_write(struct store_snapshot *w, struct str chunk)
{
    w->bytes += chunk.len;
    return write_hashed(w, chunk);
}

static void
snapshot_writer_free(struct store_snapshot *w)
{
    if (w->fd >= 0) {
        w->store->fs->close(w->store->fs->ctx, w->fd);
    }
    XXH3_freeState(w->hash);
    str_free(&w->meta.members);
    mem_free(w);
}

void
store_snapshot_abort(struct store_snapshot *w)
{
    if (w != NULL) {
        files_unlink(w->store, w->name);
        snapshot_writer_free(w);
    }
}

static enum store_error
finish_file(struct store_snapshot *w)
{
    const struct store_fs *fs = w->store->fs;
    enum store_error error = write_footer(w);

    if (error == STORE_OK && fs->fsync(fs->ctx, w->fd) != 0) {
        error = error_from_errno();
    }
    if (fs->close(fs->ctx, w->fd) != 0 && error == STORE_OK) {
        error = error_from_errno();
    }
    w->fd = -1;
    return error;
}

/* Renames the file to its final name and updates the log. */
static enum store_error
install(struct store_snapshot *w, bool reset_log)
{
    struct store *s = w->store;
    char name[32];
    enum store_error error;

    snapshot_name(w->meta.index, name);
    error = files_rename(s, w->name, name);
    if (error != STORE_OK) {
        return error;
    }
    str_free(&s->snapshot.members);
    s->snapshot = w->meta;
    s->snapshot_bytes = w->bytes;
    w->meta.members = (struct str){0};
    reset_log = reset_log || s->last.index < s->snapshot.index;
    if (reset_log) {
        s->last = (struct position){s->snapshot.index, s->snapshot.term};
    }
    error = segment_rotate(s, s->last);
    if (error == STORE_OK) {
        error = segment_drop(s, s->snapshot.index, reset_log);
    }
    return error == STORE_OK ? snapshot_remove_others(s) : error;
}

enum store_error
store_snapshot_commit(struct store_snapshot *w, bool reset_log)
{
    struct store *s = w->store;
    enum store_error error = s->failed;

    if (error == STORE_OK) {
        error = finish_file(w);
    }
    if (error != STORE_OK || w->meta.index <= s->snapshot.index) {
        store_snapshot_abort(w);
        return error;
    }
    error = install(w, reset_log);
    if (error != STORE_OK) {
        s->failed = error;
    }
    snapshot_writer_free(w);
    return error;
}

enum store_error
snapshot_remove_others(struct store *s)
{
    uint64_t *indices;
    size_t count;
    enum store_error error = files_list(s, SNAPSHOT_PREFIX, &indices, &count);

    for (size_t i = 0; error == STORE_OK && i < count; i++) {
        char name[32];

        if (indices[i] != s->snapshot.index) {
            snapshot_name(indices[i], name);
            error = files_unlink(s, name);
        }
    }
    mem_free(indices);
    return error;
}

static bool
decode_snapshot(struct str file, uint64_t index, struct store *s)
{
    size_t fixed = SNAPSHOT_HEADER_BYTES + SNAPSHOT_FOOTER_BYTES;
    size_t members;
    uint64_t bytes;

    if (file.len < fixed || get_u64(file.ptr) != SNAPSHOT_MAGIC ||
        get_u64(file.ptr + 8) != index ||
        get_u64(file.ptr + file.len - 8) !=
            XXH3_64bits(file.ptr, file.len - 8)) {
        return false;
    }
    members = (size_t)get_u64(file.ptr + 24);
    bytes = get_u64(file.ptr + file.len - SNAPSHOT_FOOTER_BYTES);
    if (members > file.len - fixed || bytes != file.len - fixed - members) {
        return false;
    }
    s->snapshot = (struct raft_snapshot){
        .index = index,
        .term = get_u64(file.ptr + 16),
        .members =
            str_dup(str_from(file.ptr + SNAPSHOT_HEADER_BYTES, members)),
    };
    s->snapshot_bytes = bytes;
    return true;
}

/*
 * Loads the newest snapshot that is valid. An older one, or none, is enough
 * if the log still holds all entries after it; the replay checks that.
 */
enum store_error
snapshot_load_newest(struct store *s, struct store_restored *restored)
{
    uint64_t *indices;
    size_t count;
    enum store_error error = files_list(s, SNAPSHOT_PREFIX, &indices, &count);

    while (error == STORE_OK && count > 0 && s->snapshot.index == 0) {
        struct buf file = {0};
        char name[32];

        count--;
        snapshot_name(indices[count], name);
        error = files_read(s, name, &file);
        if (error == STORE_OK &&
            !decode_snapshot(buf_str(&file), indices[count], s)) {
            restored_fail(restored, STORE_ERR_DAMAGED, "%s: damaged", name);
        }
        buf_free(&file);
    }
    mem_free(indices);
    restored->raft.snapshot = s->snapshot;
    restored->raft.snapshot.members = str_dup(s->snapshot.members);
    return error;
}

enum store_error
store_snapshot_read(struct store *s, uint64_t index, uint64_t offset,
                    size_t max, struct buf *out, uint64_t *total)
{
    const struct store_fs *fs = s->fs;
    char name[32];
    char path[PATH_BYTES];
    size_t done = 0;
    size_t len;
    char *to;
    int fd;

    if (index == 0 || index != s->snapshot.index ||
        offset > s->snapshot_bytes) {
        return STORE_ERR_INVALID;
    }
    len = max < s->snapshot_bytes - offset
              ? max
              : (size_t)(s->snapshot_bytes - offset);
    snapshot_name(index, name);
    build_path(s, name, path);
    fd = fs->open(fs->ctx, path, O_RDONLY | O_CLOEXEC, 0);
    if (fd < 0) {
        return error_from_errno();
    }
    offset += SNAPSHOT_HEADER_BYTES + s->snapshot.members.len;
    to = buf_reserve(out, len);
    while (done < len) {
        ssize_t n = fs->pread(fs->ctx, fd, to + done, len - done,
                              (off_t)(offset + done));

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            break;
        }
        done += (size_t)n;
    }
    fs->close(fs->ctx, fd);
    if (total != NULL) {
        *total = s->snapshot_bytes;
    }
    if (done < len) {
        return STORE_ERR_IO;
    }
    out->len += len;
    return STORE_OK;
}
