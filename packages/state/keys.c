#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "mem.h"
#include "state_impl.h"

uint64_t
key_hash_prefix(const uint8_t hash[STATE_HASH_BYTES])
{
    uint64_t prefix;

    memcpy(&prefix, hash, sizeof(prefix));
    return prefix;
}

struct state_key *
key_find_live(const struct state *s, uint64_t id)
{
    struct state_key *key = map_get_u64(s->keys, id);

    return key == NULL || key->withdrawn_ms != 0 ? NULL : key;
}

struct state_key *
key_insert(struct state *s, const struct state_key *from)
{
    struct state_key *key = mem_alloc(sizeof(*key));

    *key = *from;
    map_put_u64(s->keys, key->id, key);
    if (key->withdrawn_ms == 0) {
        map_put_u64(s->keys_by_hash, key_hash_prefix(key->hash), key);
    }
    else {
        s->withdrawn_key_count++;
    }
    return key;
}

/* The record stays as a tombstone without the hash, so that the audit trail
 * can still refer to it. */
void
key_withdraw(struct state *s, struct state_key *key)
{
    snapshot_save_table(s, SNAP_KEYS);
    map_del_u64(s->keys_by_hash, key_hash_prefix(key->hash));
    memset(key->hash, 0, sizeof(key->hash));
    key->withdrawn_ms = s->wall_ms > 0 ? s->wall_ms : 1;
    s->withdrawn_key_count++;
}

void
keys_withdraw_team(struct state *s, uint32_t team, uint64_t **ids,
                   size_t *count)
{
    void *cursor = NULL;
    struct state_key *key;

    while ((key = map_next(s->keys, &cursor)) != NULL) {
        if (key->withdrawn_ms != 0 || key->kind != STATE_KEY_TEAM ||
            key->team != team) {
            continue;
        }
        key_withdraw(s, key);
        *ids = mem_realloc(*ids, *count + 1, sizeof(**ids));
        (*ids)[(*count)++] = key->id;
    }
}

/* Drops the tombstones of the oldest keys. Live keys among them are skipped,
 * so that the walk is bounded by the number of live keys and the excess. */
void
keys_expire(struct state *s)
{
    void *cursor = NULL;
    struct state_key *key;

    while (s->withdrawn_key_count > STATE_WITHDRAWN_KEYS_MAX &&
           (key = map_next(s->keys, &cursor)) != NULL) {
        if (key->withdrawn_ms != 0) {
            snapshot_save_table(s, SNAP_KEYS);
            map_del_u64(s->keys, key->id);
            mem_free(key);
            s->withdrawn_key_count--;
        }
    }
}

static bool
resolve_team(struct apply *a, struct state_key *key)
{
    const State__KeyAdd *add = a->cmd->key_add;
    const struct state_team *team;

    if (key->kind != STATE_KEY_TEAM) {
        if (add->team.len != 0) {
            result_invalid(a, STATE_REASON_BAD_FIELD);
        }
        return add->team.len == 0;
    }
    team = state_team_by_name(a->s, proto_str(add->team));
    if (team == NULL) {
        result_invalid(a, STATE_REASON_TEAM_UNKNOWN);
        return false;
    }
    key->team = team->number;
    return true;
}

static void
record_key_added(struct state *s, const struct state_key *key)
{
    State__ConfigChange change = STATE__CONFIG_CHANGE__INIT;
    State__ConfKey conf = STATE__CONF_KEY__INIT;
    State__ConfKey *ptr = &conf;

    conf.id = key->id;
    conf.kind = key->kind;
    conf.team = key->team;
    conf.hash = proto_bin(str_from(key->hash, STATE_HASH_BYTES));
    change.n_keys = 1;
    change.keys = &ptr;
    config_record(s, &change);
}

static void
set_audit_object(struct apply *a, uint64_t id)
{
    int len = snprintf(a->object_buf, sizeof(a->object_buf), "key k%llu",
                       (unsigned long long)id);

    a->object = str_from(a->object_buf, len < 0 ? 0 : (size_t)len);
}

void
apply_key_add(struct apply *a)
{
    const State__KeyAdd *add = a->cmd->key_add;
    struct state *s = a->s;
    struct state_key key = {.id = s->next_key, .created_ms = s->wall_ms};

    a->object = STR("key");
    a->old_version = s->config_version;
    a->new_version = s->config_version;
    if (add->kind < STATE_KEY_TEAM || add->kind > STATE_KEY_OPERATOR ||
        add->hash.len != STATE_HASH_BYTES) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    key.kind = (enum state_key_kind)add->kind;
    memcpy(key.hash, add->hash.data, STATE_HASH_BYTES);
    if (!resolve_team(a, &key)) {
        return;
    }
    if (map_get_u64(s->keys_by_hash, key_hash_prefix(key.hash)) != NULL) {
        result_invalid(a, STATE_REASON_HASH_IN_USE);
        return;
    }
    s->next_key++;
    record_key_added(s, key_insert(s, &key));
    set_audit_object(a, key.id);
    a->new_version = s->config_version;
    result_applied(a, s->config_version, key.id, 1);
}

void
apply_key_delete(struct apply *a)
{
    State__ConfigChange change = STATE__CONFIG_CHANGE__INIT;
    uint64_t id = a->cmd->key_delete->id;
    struct state *s = a->s;
    struct state_key *key = key_find_live(s, id);

    set_audit_object(a, id);
    a->old_version = s->config_version;
    a->new_version = s->config_version;
    if (key == NULL) {
        result_not_found(a, STATE_REASON_NOT_FOUND);
        return;
    }
    key_withdraw(s, key);
    change.n_keys_withdrawn = 1;
    change.keys_withdrawn = &id;
    config_record(s, &change);
    a->new_version = s->config_version;
    result_applied(a, s->config_version, id, 1);
}

const struct state_key *
state_key_by_hash(const struct state *s, const uint8_t hash[STATE_HASH_BYTES])
{
    const struct state_key *key =
        map_get_u64(s->keys_by_hash, key_hash_prefix(hash));

    if (key == NULL || sodium_memcmp(key->hash, hash, STATE_HASH_BYTES) != 0) {
        return NULL;
    }
    return key;
}

const struct state_key *
state_key(const struct state *s, uint64_t id)
{
    return map_get_u64(s->keys, id);
}

const struct state_key *
state_key_next(const struct state *s, void **cursor)
{
    return map_next(s->keys, cursor);
}
