#ifndef GV_RAFT_ENTRIES_H
#define GV_RAFT_ENTRIES_H

#include "raft.h"

/*
 * The part of the log that is in memory: the entries after base. Running sums
 * of their sizes make the bytes of any range a subtraction.
 */
struct entries {
    struct raft_entry *items;
    uint64_t *sums; /* bytes up to and including that entry */
    size_t head;    /* array position of the entry at base + 1 */
    size_t count;
    size_t cap;
    uint64_t base;
    uint64_t base_term;
    uint64_t base_sum;
};

/* Bytes accounted for an entry beside its data. */
#define ENTRY_OVERHEAD_BYTES 32

void
entries_free(struct entries *l);
uint64_t
entries_last(const struct entries *l);

/* Term at index, also of base itself; 0 when it is not known. */
uint64_t
entries_term(const struct entries *l, uint64_t index);

/* The entry at index, which must be in memory; later ones follow it. */
const struct raft_entry *
entries_at(const struct entries *l, uint64_t index);

/* Bytes of the entries from first to last, 0 if first > last. */
uint64_t
entries_bytes(const struct entries *l, uint64_t first, uint64_t last);

/* Appends a copy and returns its index. */
uint64_t
entries_append(struct entries *l, uint64_t term, enum raft_entry_kind kind,
               struct str data);

/* Removes the entries after index. */
void
entries_truncate(struct entries *l, uint64_t index);

/* Removes the entries up to index. */
void
entries_compact(struct entries *l, uint64_t index);

/* Empties the log and lets it start after index. */
void
entries_reset(struct entries *l, uint64_t index, uint64_t term);

#endif
