#ifndef GV_RAFT_ENTRIES_H
#define GV_RAFT_ENTRIES_H

#include "raft.h"

/*
 * The part of the log that is in memory: the entries after index base. Running
 * totals of the entry sizes give the size of any range by one subtraction.
 */
struct entries {
    struct raft_entry *items;
    uint64_t *total_bytes; /* size of all entries up to and including this */
    size_t head;           /* array position of the entry at base + 1 */
    size_t count;
    size_t cap;
    uint64_t base; /* index of the last entry dropped; 0: none */
    uint64_t base_term;
    uint64_t base_total_bytes; /* running total at base */
};

/* Bytes counted for each entry in addition to its data. */
#define ENTRY_OVERHEAD_BYTES 32

void
entries_free(struct entries *l);

/* Index of the last entry, or base if there is none in memory. */
uint64_t
entries_last(const struct entries *l);

/* Term of the entry at index, which may be base; 0 if it is not known. */
uint64_t
entries_term(const struct entries *l, uint64_t index);

/*
 * The entry at index, which must be in memory. The entries after it follow in
 * the same array, which is valid until the next change of the log.
 */
const struct raft_entry *
entries_at(const struct entries *l, uint64_t index);

/* Size in bytes of the entries from first to last; 0 if first > last. */
uint64_t
entries_bytes(const struct entries *l, uint64_t first, uint64_t last);

/* Appends an entry with a copy of data and returns its index. */
uint64_t
entries_append(struct entries *l, uint64_t term, enum raft_entry_kind kind,
               struct str data);

/* Removes the entries after index. */
void
entries_truncate(struct entries *l, uint64_t index);

/* Removes the entries up to and including index, which becomes base. */
void
entries_compact(struct entries *l, uint64_t index);

/* Removes all entries and makes index the base, with the given term. */
void
entries_reset(struct entries *l, uint64_t index, uint64_t term);

#endif
