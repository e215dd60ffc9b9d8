#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include <xxhash.h>

#include "internal.h"
#include "mem.h"

#define SEGMENT_MAGIC UINT64_C(0x3130474f4c56475f)

void
segment_name(uint64_t seq, char out[32])
{
    snprintf(out, 32, LOG_PREFIX "%016" PRIx64, seq);
}

static void
header_encode(const struct segment_header *h, struct buf *out)
{
    put_u64(out, SEGMENT_MAGIC);
    put_u64(out, h->seq);
    put_u64(out, h->salt);
    put_u64(out, h->member_id);
    put_u64(out, h->base.index);
    put_u64(out, h->base.term);
    put_u64(out, h->hard.term);
    put_u64(out, h->hard.vote);
    put_u64(out, h->next_frame);
    put_u64(out, XXH3_64bits(out->ptr, out->len));
}

bool
segment_header_decode(struct str bytes, struct segment_header *out)
{
    if (bytes.len < SEGMENT_HEADER_BYTES ||
        get_u64(bytes.ptr) != SEGMENT_MAGIC ||
        get_u64(bytes.ptr + 72) != XXH3_64bits(bytes.ptr, 72)) {
        return false;
    }
    *out = (struct segment_header){
        .seq = get_u64(bytes.ptr + 8),
        .salt = get_u64(bytes.ptr + 16),
        .member_id = get_u64(bytes.ptr + 24),
        .base = {get_u64(bytes.ptr + 32), get_u64(bytes.ptr + 40)},
        .hard = {get_u64(bytes.ptr + 48), get_u64(bytes.ptr + 56)},
        .next_frame = get_u64(bytes.ptr + 64),
    };
    return true;
}

static enum store_error
random_salt(uint64_t *out)
{
    return getrandom(out, sizeof(*out), 0) == sizeof(*out) ? STORE_OK
                                                           : STORE_ERR_IO;
}

static void
close_segment(struct store *s)
{
    if (s->fd >= 0) {
        s->fs->close(s->fs->ctx, s->fd);
        s->fd = -1;
    }
}

static enum store_error
open_segment(struct store *s, const char *name)
{
    char path[PATH_BYTES];

    close_segment(s);
    build_path(s, name, path);
    s->fd = s->fs->open(s->fs->ctx, path, O_WRONLY | O_APPEND | O_CLOEXEC, 0);
    return s->fd >= 0 ? STORE_OK : error_from_errno();
}

enum store_error
segment_create(struct store *s, struct position base)
{
    struct segment_header h = {
        .seq = s->segment_count == 0
                   ? 1
                   : s->segments[s->segment_count - 1].seq + 1,
        .member_id = s->member_id,
        .base = base,
        .hard = s->hard,
        .next_frame = s->next_frame,
    };
    struct buf bytes = {0};
    char name[32];
    enum store_error error = random_salt(&h.salt);

    segment_name(h.seq, name);
    header_encode(&h, &bytes);
    if (error == STORE_OK) {
        error = files_replace(s, name, buf_str(&bytes));
    }
    buf_free(&bytes);
    if (error == STORE_OK) {
        error = open_segment(s, name);
    }
    if (error != STORE_OK) {
        return error;
    }
    s->segments =
        mem_realloc(s->segments, s->segment_count + 1, sizeof(*s->segments));
    s->segments[s->segment_count] = (struct segment){h.seq, 0};
    s->segment_count++;
    s->size = SEGMENT_HEADER_BYTES;
    s->salt = h.salt;
    return STORE_OK;
}

enum store_error
segment_rotate(struct store *s, struct position base)
{
    enum store_error error = segment_create(s, base);

    return error == STORE_OK ? identity_write(s) : error;
}

/* Deletes the oldest first, so that a crash leaves no gap. */
enum store_error
segment_drop(struct store *s, uint64_t index, bool all)
{
    size_t n = 0;
    enum store_error error = STORE_OK;

    while (error == STORE_OK && n + 1 < s->segment_count &&
           (all || s->segments[n].max_index <= index)) {
        char name[32];

        segment_name(s->segments[n].seq, name);
        error = files_unlink(s, name);
        n += error == STORE_OK;
    }
    if (n > 0) {
        s->segment_count -= n;
        memmove(s->segments, s->segments + n,
                s->segment_count * sizeof(*s->segments));
        if (error == STORE_OK) {
            error = files_sync_dir(s, s->dir);
        }
    }
    return error;
}

static enum store_error
append_frame(struct store *s, struct store_batch *b)
{
    size_t payload = b->frame.len - FRAME_HEADER_BYTES;
    size_t total = b->frame.len + FRAME_TRAILER_BYTES;
    enum store_error error;

    buf_reserve(&b->frame, FRAME_TRAILER_BYTES);
    frame_seal(b->frame.ptr, payload, s->salt, s->next_frame);
    error = files_write(s, s->fd, str_from(b->frame.ptr, total));
    if (error == STORE_OK && s->fs->fsync(s->fs->ctx, s->fd) != 0) {
        error = error_from_errno();
    }
    s->size += total;
    s->next_frame++;
    return error;
}

static void
update_log_state(struct store *s, const struct store_batch *b)
{
    struct segment *current = &s->segments[s->segment_count - 1];

    if (b->hard_changed) {
        s->hard = b->hard;
    }
    if (b->has_entries) {
        s->last = b->last;
        if (b->max_index > current->max_index) {
            current->max_index = b->max_index;
        }
    }
}

enum store_error
store_write(struct store *s, struct store_batch *b)
{
    enum store_error error = s->failed;

    if (error != STORE_OK || store_batch_empty(b)) {
        return error;
    }
    if (s->fd < 0 || b->frame.len > UINT32_MAX) {
        return STORE_ERR_INVALID;
    }
    if (s->size >= SEGMENT_BYTES) {
        error = segment_rotate(s, s->last);
    }
    if (error == STORE_OK) {
        error = append_frame(s, b);
    }
    if (error != STORE_OK) {
        s->failed = error;
        return error;
    }
    update_log_state(s, b);
    return STORE_OK;
}
