#ifndef GV_RAFT_MEMBERS_H
#define GV_RAFT_MEMBERS_H

#include "raft.h"

/* Bounds the work per message; a cluster has 3 or 5 voters. */
#define MEMBERS_MAX 16

/* A configuration and the index of its log entry. Owns the strings. */
struct configuration {
    uint64_t index;
    struct str bytes; /* encoded */
    size_t count;
    struct raft_member items[MEMBERS_MAX];
};

/* The configurations that are in the log, oldest first; at least one. */
struct members {
    struct configuration *stack;
    size_t count;
};

void
members_init(struct members *m);
void
members_free(struct members *m);
const struct configuration *
members_current(const struct members *m);

/* The configuration in force at index. */
const struct configuration *
members_at(const struct members *m, uint64_t index);

/* Appends the encoded configuration; false if it does not decode. */
bool
members_push(struct members *m, uint64_t index, struct str bytes);

/* Drops the configurations after index. */
void
members_truncate(struct members *m, uint64_t index);

/* Drops those that were replaced at or before index. */
void
members_compact(struct members *m, uint64_t index);

/* Encodes into a fresh string. */
struct str
members_encode(const struct raft_member *items, size_t count);

const struct raft_member *
configuration_find(const struct configuration *c, uint64_t id);
bool
configuration_votes(const struct configuration *c, uint64_t id);
size_t
configuration_voters(const struct configuration *c);

#endif
