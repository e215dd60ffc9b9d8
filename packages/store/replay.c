#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "mem.h"

/* The log, rebuilt from its segments. */
struct log {
    struct raft_entry *entries; /* contiguous, after base */
    size_t count;
    size_t cap;
    struct position base; /* entry before the first one */
};

static struct position
log_end(const struct log *l)
{
    const struct raft_entry *e;

    if (l->count == 0) {
        return l->base;
    }
    e = &l->entries[l->count - 1];
    return (struct position){e->index, e->term};
}

static void
log_truncate(struct log *l, size_t count)
{
    while (l->count > count) {
        l->count--;
        str_free(&l->entries[l->count].data);
    }
}

/*
 * Appends e after removing all entries from its index on. False if e leaves a
 * gap.
 */
static bool
log_append(struct log *l, const struct raft_entry *e)
{
    if (e->index > log_end(l).index + 1) {
        return false;
    }
    if (e->index <= l->base.index) {
        log_truncate(l, 0);
        l->base = (struct position){e->index - 1, 0};
    }
    log_truncate(l, (size_t)(e->index - l->base.index - 1));
    if (l->count == l->cap) {
        l->cap = l->cap == 0 ? 64 : l->cap * 2;
        l->entries = mem_realloc(l->entries, l->cap, sizeof(*l->entries));
    }
    l->entries[l->count] = *e;
    l->entries[l->count].data = str_dup(e->data);
    l->count++;
    return true;
}

/* A segment whose base is not the end of the log starts a new log. */
static void
log_start_segment(struct log *l, struct position base)
{
    struct position end = log_end(l);

    if (end.index != base.index || end.term != base.term) {
        log_truncate(l, 0);
        l->base = base;
    }
}

static bool
apply_frame(struct store *s, struct log *l, struct str payload)
{
    struct segment *current = &s->segments[s->segment_count - 1];
    struct record rec;

    while (payload.len > 0) {
        if (!record_read(&payload, &rec)) {
            return false;
        }
        if (rec.kind == RECORD_HARD_STATE) {
            s->hard = rec.hard;
            continue;
        }
        if (!log_append(l, &rec.entry)) {
            return false;
        }
        if (rec.entry.index > current->max_index) {
            current->max_index = rec.entry.index;
        }
    }
    return true;
}

/*
 * Rewrites the last segment up to size and opens it. This removes a torn last
 * write, and also makes what was read durable: after a failed sync the page
 * cache may hold blocks that were never written to the disk.
 */
static enum store_error
rewrite_segment(struct store *s, const char *name, struct str file,
                size_t size)
{
    char path[PATH_BYTES];
    enum store_error error = files_replace(s, name, str_from(file.ptr, size));

    if (error != STORE_OK) {
        return error;
    }
    build_path(s, name, path);
    s->fd = s->fs->open(s->fs->ctx, path, O_WRONLY | O_APPEND | O_CLOEXEC, 0);
    s->size = size;
    return s->fd >= 0 ? STORE_OK : error_from_errno();
}

static enum store_error
read_frames(struct store *s, struct store_restored *restored, struct log *l,
            const char *name, struct str file, bool newest)
{
    size_t offset = SEGMENT_HEADER_BYTES;
    struct str payload;
    enum frame_state state;

    for (;;) {
        state = frame_read(file, &offset, s->salt, s->next_frame, &payload);
        if (state != FRAME_VALID) {
            break;
        }
        if (!apply_frame(s, l, payload)) {
            state = FRAME_DAMAGED;
            break;
        }
        s->next_frame++;
    }
    if (state == FRAME_DAMAGED || (state == FRAME_TORN && !newest)) {
        return restored_fail(restored, STORE_ERR_DAMAGED,
                             "%s: damaged record at offset %zu", name, offset);
    }
    if (!newest) {
        return STORE_OK;
    }
    restored->torn_bytes = file.len - offset;
    return rewrite_segment(s, name, file, offset);
}

static enum store_error
read_segment(struct store *s, struct store_restored *restored, struct log *l,
             uint64_t seq, bool newest)
{
    struct segment_header h;
    struct buf file = {0};
    char name[32];
    enum store_error error;

    segment_name(seq, name);
    error = files_read(s, name, &file);
    if (error != STORE_OK) {
        restored_fail(restored, error, "%s: cannot be read", name);
    }
    else if (!segment_header_decode(buf_str(&file), &h) || h.seq != seq ||
             (s->segment_count > 0 && h.next_frame != s->next_frame)) {
        error = restored_fail(restored, STORE_ERR_DAMAGED,
                              "%s: damaged header", name);
    }
    else if (h.member_id != s->member_id) {
        error = restored_fail(restored, STORE_ERR_IDENTITY,
                              "%s: written by member %016" PRIx64, name,
                              h.member_id);
    }
    else {
        s->segments[s->segment_count] = (struct segment){seq, 0};
        s->segment_count++;
        s->salt = h.salt;
        s->next_frame = h.next_frame;
        s->hard = h.hard;
        log_start_segment(l, h.base);
        error = read_frames(s, restored, l, name, buf_str(&file), newest);
    }
    buf_free(&file);
    return error;
}

/*
 * Removes the entries that the snapshot covers. If the log does not hold the
 * snapshot's last entry, the snapshot replaced the log, but a crash prevented
 * the creation of the segment that starts after it: sets *replaced.
 */
static enum store_error
drop_covered_entries(const struct store *s, struct store_restored *restored,
                     struct log *l, bool *replaced)
{
    struct position at = {s->snapshot.index, s->snapshot.term};
    size_t covered;

    if (l->base.index > at.index) {
        return restored_fail(restored, STORE_ERR_DAMAGED,
                             "no snapshot for the log after %" PRIu64,
                             l->base.index);
    }
    covered = (size_t)(at.index - l->base.index);
    if (covered > l->count ||
        (covered > 0 && l->entries[covered - 1].term != at.term)) {
        log_truncate(l, 0);
        covered = 0;
        *replaced = true;
    }
    for (size_t i = 0; i < covered; i++) {
        str_free(&l->entries[i].data);
    }
    l->count -= covered;
    if (l->count > 0) {
        memmove(l->entries, l->entries + covered,
                l->count * sizeof(*l->entries));
    }
    l->base = at;
    return STORE_OK;
}

static enum store_error
read_segments(struct store *s, struct store_restored *restored, struct log *l,
              const uint64_t *seqs, size_t count)
{
    enum store_error error = STORE_OK;

    s->segments = mem_zalloc(count, sizeof(*s->segments));
    for (size_t i = 0; error == STORE_OK && i < count; i++) {
        if (seqs[i] != seqs[0] + i) {
            return restored_fail(restored, STORE_ERR_DAMAGED,
                                 "log segment %" PRIu64 " is missing",
                                 seqs[0] + i);
        }
        error = read_segment(s, restored, l, seqs[i], i + 1 == count);
    }
    return error;
}

enum store_error
replay_segments(struct store *s, struct store_restored *restored,
                uint64_t last_segment)
{
    struct log l = {0};
    bool replaced = false;
    uint64_t *seqs;
    size_t count;
    enum store_error error = files_list(s, LOG_PREFIX, &seqs, &count);

    if (error == STORE_OK && (count == 0 || seqs[count - 1] < last_segment)) {
        error =
            restored_fail(restored, STORE_ERR_DAMAGED,
                          "log segment %" PRIu64 " is missing", last_segment);
    }
    if (error == STORE_OK) {
        error = read_segments(s, restored, &l, seqs, count);
    }
    if (error == STORE_OK) {
        error = drop_covered_entries(s, restored, &l, &replaced);
    }
    s->last = log_end(&l);
    if (error == STORE_OK && replaced) {
        error = segment_rotate(s, s->last);
    }
    if (error == STORE_OK && replaced) {
        error = segment_drop(s, 0, true);
    }
    restored->raft.hard = s->hard;
    restored->raft.entries = l.entries;
    restored->raft.entry_count = l.count;
    mem_free(seqs);
    return error;
}
