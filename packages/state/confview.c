#include "confview.h"

#include <string.h>

#include <sodium.h>

#include "map.h"
#include "mem.h"
#include "state_impl.h"

struct view_team {
    struct confview_team pub;
    bool has_limit;
};

struct confview {
    uint64_t version;
    uint64_t cluster_id;
    struct state_limit default_limit;
    struct map *teams;        /* number to struct view_team */
    struct map *keys;         /* id to struct confview_key */
    struct map *keys_by_hash; /* first 8 bytes of the hash */
};

struct confview *
confview_create(void)
{
    struct confview *v = mem_zalloc(1, sizeof(*v));

    v->default_limit = state_limit_none;
    v->teams = map_create();
    v->keys = map_create();
    v->keys_by_hash = map_create();
    return v;
}

static void
remove_team(struct confview *v, uint32_t number)
{
    struct view_team *team = map_del_u64(v->teams, number);

    if (team != NULL) {
        str_free(&team->pub.name);
        mem_free(team);
    }
}

static void
remove_key(struct confview *v, uint64_t id)
{
    struct confview_key *key = map_del_u64(v->keys, id);

    if (key != NULL) {
        map_del_u64(v->keys_by_hash, key_hash_prefix(key->hash));
        mem_free(key);
    }
}

static void
clear_view(struct confview *v)
{
    void *cursor = NULL;
    const struct view_team *team;
    const struct confview_key *key;

    while ((team = map_next(v->teams, &cursor)) != NULL) {
        remove_team(v, team->pub.number);
    }
    cursor = NULL;
    while ((key = map_next(v->keys, &cursor)) != NULL) {
        remove_key(v, key->id);
    }
}

void
confview_destroy(struct confview *v)
{
    if (v == NULL) {
        return;
    }
    clear_view(v);
    map_destroy(v->teams);
    map_destroy(v->keys);
    map_destroy(v->keys_by_hash);
    mem_free(v);
}

static void
put_team(struct confview *v, const State__ConfTeam *m)
{
    struct view_team *team = map_get_u64(v->teams, m->number);

    if (team == NULL) {
        team = mem_zalloc(1, sizeof(*team));
        team->pub.number = m->number;
        team->pub.limit = v->default_limit;
        map_put_u64(v->teams, m->number, team);
    }
    str_free(&team->pub.name);
    team->pub.name = str_dup(proto_str(m->name));
    team->pub.weight = m->weight;
}

static void
put_limit(struct confview *v, const State__ConfLimit *m)
{
    struct view_team *team = map_get_u64(v->teams, m->team);

    if (team != NULL) {
        team->has_limit = true;
        team->pub.limit = proto_limit_read(m->limit);
    }
}

static void
remove_limit(struct confview *v, uint32_t number)
{
    struct view_team *team = map_get_u64(v->teams, number);

    if (team != NULL) {
        team->has_limit = false;
        team->pub.limit = v->default_limit;
    }
}

static void
put_key(struct confview *v, const State__ConfKey *m)
{
    struct confview_key *key = mem_zalloc(1, sizeof(*key));

    remove_key(v, m->id);
    key->id = m->id;
    key->kind = (enum state_key_kind)m->kind;
    key->team = m->team;
    memcpy(key->hash, m->hash.data, STATE_HASH_BYTES);
    map_put_u64(v->keys, key->id, key);
    map_put_u64(v->keys_by_hash, key_hash_prefix(key->hash), key);
}

static void
apply_change(struct confview *v, const State__ConfigChange *c)
{
    if (c->default_limit != NULL) {
        v->default_limit = proto_limit_read(c->default_limit);
    }
    for (size_t i = 0; i < c->n_keys_withdrawn; i++) {
        remove_key(v, c->keys_withdrawn[i]);
    }
    for (size_t i = 0; i < c->n_limits_removed; i++) {
        remove_limit(v, c->limits_removed[i]);
    }
    for (size_t i = 0; i < c->n_teams_removed; i++) {
        remove_team(v, c->teams_removed[i]);
    }
    for (size_t i = 0; i < c->n_teams; i++) {
        put_team(v, c->teams[i]);
    }
    for (size_t i = 0; i < c->n_limits; i++) {
        put_limit(v, c->limits[i]);
    }
    for (size_t i = 0; i < c->n_keys; i++) {
        put_key(v, c->keys[i]);
    }
}

static bool
change_valid(const State__ConfigChange *c)
{
    for (size_t i = 0; i < c->n_keys; i++) {
        if (c->keys[i]->hash.len != STATE_HASH_BYTES) {
            return false;
        }
    }
    return true;
}

static void
free_changes(State__ConfigChange **changes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (changes[i] != NULL) {
            state__config_change__free_unpacked(changes[i], NULL);
        }
    }
    mem_free((void *)changes);
}

/* Decodes all changes before the first is applied, so that a malformed delta
 * changes nothing. Returns NULL if one is malformed. */
static State__ConfigChange **
unpack_changes(const State__ConfigDelta *d)
{
    State__ConfigChange **changes =
        mem_zalloc(d->n_changes + 1, sizeof(State__ConfigChange *));

    for (size_t i = 0; i < d->n_changes; i++) {
        changes[i] = state__config_change__unpack(NULL, d->changes[i].len,
                                                  d->changes[i].data);
        if (changes[i] == NULL || !change_valid(changes[i])) {
            free_changes(changes, d->n_changes);
            return NULL;
        }
    }
    return changes;
}

static enum confview_result
check_delta(const struct confview *v, const State__ConfigDelta *d)
{
    if (v->cluster_id != 0 && d->cluster_id != v->cluster_id) {
        return CONFVIEW_OTHER_CLUSTER;
    }
    if (d->to <= v->version) {
        return CONFVIEW_STALE;
    }
    if (!d->full && d->from == 0) {
        return CONFVIEW_MALFORMED;
    }
    if (!d->full && d->from > v->version) {
        return CONFVIEW_GAP;
    }
    if (d->full ? d->n_changes != 1 : d->n_changes != d->to - d->from) {
        return CONFVIEW_MALFORMED;
    }
    return CONFVIEW_APPLIED;
}

static enum confview_result
apply_delta(struct confview *v, const State__ConfigDelta *d)
{
    enum confview_result result = check_delta(v, d);
    State__ConfigChange **changes;

    if (result != CONFVIEW_APPLIED) {
        return result;
    }
    changes = unpack_changes(d);
    if (changes == NULL) {
        return CONFVIEW_MALFORMED;
    }
    if (d->full) {
        clear_view(v);
    }
    for (size_t i = 0; i < d->n_changes; i++) {
        /* The delta may start below the view's version. Changes up to that
         * version are applied already. */
        if (d->full || d->from + i + 1 > v->version) {
            apply_change(v, changes[i]);
        }
    }
    v->version = d->to;
    v->cluster_id = d->cluster_id;
    free_changes(changes, d->n_changes);
    return CONFVIEW_APPLIED;
}

enum confview_result
confview_apply(struct confview *v, struct str bytes)
{
    State__ConfigDelta *d;
    enum confview_result result;

    if (bytes.len == 0) {
        return CONFVIEW_STALE;
    }
    d = state__config_delta__unpack(NULL, bytes.len,
                                    (const uint8_t *)bytes.ptr);
    if (d == NULL) {
        return CONFVIEW_MALFORMED;
    }
    result = apply_delta(v, d);
    state__config_delta__free_unpacked(d, NULL);
    return result;
}

uint64_t
confview_version(const struct confview *v)
{
    return v->version;
}

uint64_t
confview_cluster_id(const struct confview *v)
{
    return v->cluster_id;
}

const struct confview_key *
confview_key(const struct confview *v, const uint8_t hash[STATE_HASH_BYTES])
{
    const struct confview_key *key =
        map_get_u64(v->keys_by_hash, key_hash_prefix(hash));

    if (key == NULL || sodium_memcmp(key->hash, hash, STATE_HASH_BYTES) != 0) {
        return NULL;
    }
    return key;
}

const struct confview_team *
confview_team(const struct confview *v, uint32_t number)
{
    const struct view_team *team = map_get_u64(v->teams, number);

    return team == NULL ? NULL : &team->pub;
}

const struct confview_team *
confview_team_next(const struct confview *v, void **cursor)
{
    const struct view_team *team = map_next(v->teams, cursor);

    return team == NULL ? NULL : &team->pub;
}

const struct confview_key *
confview_key_next(const struct confview *v, void **cursor)
{
    return map_next(v->keys, cursor);
}
