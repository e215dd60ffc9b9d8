#include "entries.h"

#include <string.h>

#include "mem.h"

enum {
    MIN_CAPACITY = 64,
};

void
entries_free(struct entries *l)
{
    entries_truncate(l, l->base);
    mem_free(l->items);
    mem_free(l->total_bytes);
    memset(l, 0, sizeof(*l));
}

uint64_t
entries_last(const struct entries *l)
{
    return l->base + l->count;
}

uint64_t
entries_term(const struct entries *l, uint64_t index)
{
    if (index == l->base) {
        return l->base_term;
    }
    if (index < l->base || index > entries_last(l)) {
        return 0;
    }
    return entries_at(l, index)->term;
}

const struct raft_entry *
entries_at(const struct entries *l, uint64_t index)
{
    return &l->items[l->head + (index - l->base - 1)];
}

static uint64_t
total_bytes_at(const struct entries *l, uint64_t index)
{
    if (index <= l->base) {
        return l->base_total_bytes;
    }
    return l->total_bytes[l->head + (index - l->base - 1)];
}

uint64_t
entries_bytes(const struct entries *l, uint64_t first, uint64_t last)
{
    if (first > last) {
        return 0;
    }
    return total_bytes_at(l, last) - total_bytes_at(l, first - 1);
}

/*
 * Ensures that there is a free slot after the last entry. If there is none,
 * the entries move to the front of the array, which is enlarged first unless
 * at least half of it is unused at the front.
 */
static void
ensure_free_slot(struct entries *l)
{
    if (l->head + l->count < l->cap) {
        return;
    }
    if (l->head < l->cap / 2 || l->head == 0) {
        l->cap = l->cap == 0 ? MIN_CAPACITY : l->cap * 2;
        l->items = mem_realloc(l->items, l->cap, sizeof(*l->items));
        l->total_bytes =
            mem_realloc(l->total_bytes, l->cap, sizeof(*l->total_bytes));
    }
    if (l->head != 0) {
        memmove(l->items, l->items + l->head, l->count * sizeof(*l->items));
        memmove(l->total_bytes, l->total_bytes + l->head,
                l->count * sizeof(*l->total_bytes));
        l->head = 0;
    }
}

uint64_t
entries_append(struct entries *l, uint64_t term, enum raft_entry_kind kind,
               struct str data)
{
    uint64_t last = entries_last(l);
    uint64_t sum = total_bytes_at(l, last) + data.len + ENTRY_OVERHEAD_BYTES;
    size_t pos;

    ensure_free_slot(l);
    pos = l->head + l->count;
    l->items[pos] = (struct raft_entry){
        .index = last + 1,
        .term = term,
        .kind = kind,
        .data = str_dup(data),
    };
    l->total_bytes[pos] = sum;
    l->count++;
    return last + 1;
}

void
entries_truncate(struct entries *l, uint64_t index)
{
    while (entries_last(l) > index && l->count > 0) {
        l->count--;
        str_free(&l->items[l->head + l->count].data);
    }
}

void
entries_compact(struct entries *l, uint64_t index)
{
    while (l->base < index && l->count > 0) {
        struct raft_entry *e = &l->items[l->head];

        l->base = e->index;
        l->base_term = e->term;
        l->base_total_bytes = l->total_bytes[l->head];
        str_free(&e->data);
        l->head++;
        l->count--;
    }
}

void
entries_reset(struct entries *l, uint64_t index, uint64_t term)
{
    entries_truncate(l, l->base);
    l->head = 0;
    l->base = index;
    l->base_term = term;
    l->base_total_bytes = 0;
}
