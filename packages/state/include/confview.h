#ifndef GV_CONFVIEW_H
#define GV_CONFVIEW_H

#include "state.h"

/*
 * The configuration as an entry (a process that accepts callers' requests)
 * knows it: teams, limits and key hashes at one version. It is updated from
 * the bytes that state_config_since encodes.
 */
struct confview;

struct confview_team {
    uint32_t number;
    uint32_t weight;
    struct str name;
    struct state_limit limit; /* its own one, or the default */
};

struct confview_key {
    uint64_t id;
    enum state_key_kind kind;
    uint32_t team;
    uint8_t hash[STATE_HASH_BYTES];
};

enum confview_result {
    CONFVIEW_APPLIED,
    CONFVIEW_STALE, /* not above the view's version; nothing changed */
    CONFVIEW_GAP,   /* the delta starts above the view's version; nothing
                       changed */
    CONFVIEW_OTHER_CLUSTER, /* from another cluster; nothing changed */
    CONFVIEW_MALFORMED,     /* damaged or inconsistent; nothing changed */
};

struct confview *
confview_create(void);
void
confview_destroy(struct confview *v);

/*
 * Applies a delta or a full configuration. The version never falls; empty
 * bytes are stale.
 */
enum confview_result
confview_apply(struct confview *v, struct str bytes);

/* 0 before the first confview_apply. */
uint64_t
confview_version(const struct confview *v);

/* 0 before the first successful confview_apply. */
uint64_t
confview_cluster_id(const struct confview *v);

/*
 * Finds a live key by its hash; the whole hash is compared in constant time.
 * The pointer is valid until the next confview_apply.
 */
const struct confview_key *
confview_key(const struct confview *v, const uint8_t hash[STATE_HASH_BYTES]);
const struct confview_team *
confview_team(const struct confview *v, uint32_t number);

/* *cursor is NULL at the first call; they return NULL at the end. */
const struct confview_team *
confview_team_next(const struct confview *v, void **cursor);
const struct confview_key *
confview_key_next(const struct confview *v, void **cursor);

#endif
