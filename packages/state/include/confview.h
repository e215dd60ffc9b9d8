#ifndef GV_CONFVIEW_H
#define GV_CONFVIEW_H

#include "state.h"

/*
 * What an entry keeps of the configuration: teams, limits and key hashes at
 * one version. It changes only by the bytes of state_config_since.
 */
struct confview;

struct confview_team {
    uint32_t number;
    uint32_t weight;
    struct str name;
    struct state_limit limit; /* in force, the default one included */
};

struct confview_key {
    uint64_t id;
    enum state_key_kind kind;
    uint32_t team;
    uint8_t hash[STATE_HASH_BYTES];
};

enum confview_result {
    CONFVIEW_APPLIED,
    CONFVIEW_STALE,     /* not above the view's version; nothing changed */
    CONFVIEW_GAP,       /* the delta starts above the view's version */
    CONFVIEW_OTHER,     /* of another cluster */
    CONFVIEW_MALFORMED, /* nothing changed */
};

struct confview *
confview_create(void);
void
confview_destroy(struct confview *v);

/* Never goes back to a lower version. No bytes at all are stale. */
enum confview_result
confview_apply(struct confview *v, struct str bytes);
uint64_t
confview_version(const struct confview *v);

/* 0 before the first confview_apply. */
uint64_t
confview_cluster_id(const struct confview *v);

/*
 * Finds a live key by its hash, comparing in constant time. The pointer is
 * valid until the next confview_apply.
 */
const struct confview_key *
confview_key(const struct confview *v, const uint8_t hash[STATE_HASH_BYTES]);
const struct confview_team *
confview_team(const struct confview *v, uint32_t number);

/* Iterators, first call with *cursor NULL; NULL at the end. */
const struct confview_team *
confview_team_next(const struct confview *v, void **cursor);
const struct confview_key *
confview_key_next(const struct confview *v, void **cursor);

#endif
