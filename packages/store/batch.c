#include <string.h>

#include "internal.h"
#include "mem.h"

struct store_batch *
store_batch_create(void)
{
    struct store_batch *b = mem_zalloc(1, sizeof(*b));

    store_batch_clear(b);
    return b;
}

void
store_batch_destroy(struct store_batch *b)
{
    if (b != NULL) {
        buf_free(&b->frame);
        mem_free(b);
    }
}

void
store_batch_clear(struct store_batch *b)
{
    struct buf frame = b->frame;

    *b = (struct store_batch){.frame = frame};
    buf_clear(&b->frame);
    memset(buf_reserve(&b->frame, FRAME_HEADER_BYTES), 0, FRAME_HEADER_BYTES);
    b->frame.len = FRAME_HEADER_BYTES;
}

bool
store_batch_empty(const struct store_batch *b)
{
    return b->frame.len == FRAME_HEADER_BYTES;
}

void
store_batch_hard_state(struct store_batch *b,
                       const struct raft_hard_state *hard)
{
    b->hard_changed = true;
    b->hard = *hard;
    put_u64(&b->frame, RECORD_HARD_STATE);
    put_u64(&b->frame, hard->term);
    put_u64(&b->frame, hard->vote);
}

void
store_batch_entries(struct store_batch *b, const struct raft_entry *entries,
                    size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const struct raft_entry *e = &entries[i];

        put_u64(&b->frame, RECORD_ENTRY | (uint64_t)e->kind << 32);
        put_u64(&b->frame, e->index);
        put_u64(&b->frame, e->term);
        put_u64(&b->frame, e->data.len);
        buf_append_str(&b->frame, e->data);
        b->has_entries = true;
        b->last = (struct position){e->index, e->term};
        if (e->index > b->max_index) {
            b->max_index = e->index;
        }
    }
}

void
store_batch_output(struct store_batch *b, const struct raft_output *out)
{
    if (out->hard_changed) {
        store_batch_hard_state(b, &out->hard);
    }
    store_batch_entries(b, out->entries, out->entry_count);
}
