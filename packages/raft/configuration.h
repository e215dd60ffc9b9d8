#ifndef GV_RAFT_CONFIGURATION_H
#define GV_RAFT_CONFIGURATION_H

#include "raft.h"

/*
 * Upper bound on the members of a configuration, which limits the work per
 * message. A cluster has 3 or 5 voters.
 */
#define MEMBERS_MAX 16

/* A configuration, which owns its strings. */
struct configuration {
    uint64_t index;   /* of its log entry; 0: none */
    struct str bytes; /* the encoded items */
    size_t count;
    struct raft_member items[MEMBERS_MAX];
};

/*
 * The configurations that may still be in force, in the order of the log.
 * There is always at least one; before the first configuration entry it is
 * empty.
 */
struct config_history {
    struct configuration *items; /* oldest first */
    size_t count;
};

void
config_history_init(struct config_history *h);
void
config_history_free(struct config_history *h);

/* The newest configuration, committed or not. */
const struct configuration *
config_history_newest(const struct config_history *h);

/* The newest configuration at or before index; the oldest if all are later. */
const struct configuration *
config_history_at(const struct config_history *h, uint64_t index);

/* Decodes and appends a configuration; returns false if it is invalid. */
bool
config_history_append(struct config_history *h, uint64_t index,
                      struct str bytes);

/* Drops the configurations whose entries come after index. */
void
config_history_truncate(struct config_history *h, uint64_t index);

/* Drops the configurations that were replaced at or before index. */
void
config_history_compact(struct config_history *h, uint64_t index);

/* Encodes a configuration; the caller frees the result with str_free. */
struct str
configuration_encode(const struct raft_member *items, size_t count);

/* The member with this id; NULL if there is none. */
const struct raft_member *
configuration_find(const struct configuration *c, uint64_t id);

/* Whether the member with this id is a voter of c. */
bool
configuration_is_voter(const struct configuration *c, uint64_t id);
size_t
configuration_count_voters(const struct configuration *c);

#endif
