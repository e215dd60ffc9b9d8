#include "mem.h"
#include "state_impl.h"

void
config_history_add(struct state *s, uint64_t version, struct str bytes)
{
    size_t slot;

    snapshot_save_table(s, SNAP_HISTORY);
    if (s->history_count == STATE_HISTORY_MAX) {
        s->history_first = (s->history_first + 1) % STATE_HISTORY_MAX;
        s->history_count--;
    }
    slot = (s->history_first + s->history_count) % STATE_HISTORY_MAX;
    str_free(&s->history[slot].bytes);
    s->history[slot].version = version;
    s->history[slot].bytes = str_dup(bytes);
    s->history_count++;
}

void
config_record(struct state *s, State__ConfigChange *change)
{
    struct buf bytes = {0};

    s->config_version++;
    change->version = s->config_version;
    proto_append(&bytes, &change->base);
    config_history_add(s, s->config_version, buf_str(&bytes));
    buf_free(&bytes);
}

uint64_t
state_config_version(const struct state *s)
{
    return s->config_version;
}

static void
append_delta(const struct state *s, State__ConfigDelta *delta, struct buf *out)
{
    delta->cluster_id = s->cluster_id;
    delta->to = s->config_version;
    proto_append(out, &delta->base);
}

static void
append_changes(const struct state *s, uint64_t version, struct buf *out)
{
    State__ConfigDelta delta = STATE__CONFIG_DELTA__INIT;
    size_t count = (size_t)(s->config_version - version);
    ProtobufCBinaryData *changes = mem_zalloc(count, sizeof(*changes));

    for (size_t i = 0; i < count; i++) {
        size_t index = s->history_count - count + i;
        size_t slot = (s->history_first + index) % STATE_HISTORY_MAX;
        changes[i] = proto_bin(s->history[slot].bytes);
    }
    delta.from = version;
    delta.n_changes = count;
    delta.changes = changes;
    append_delta(s, &delta, out);
    mem_free(changes);
}

/* The storage that a full ConfigChange points to. */
struct full_config {
    State__ConfTeam *teams;
    State__ConfTeam **team_ptrs;
    State__ConfLimit *limits;
    State__Limit *values;
    State__ConfLimit **limit_ptrs;
    State__ConfKey *keys;
    State__ConfKey **key_ptrs;
};

static void
full_config_alloc(struct full_config *f, const struct state *s)
{
    size_t keys = map_count(s->keys_by_hash) + 1;

    f->teams = mem_zalloc(s->team_count + 1, sizeof(*f->teams));
    f->team_ptrs = mem_zalloc(s->team_count + 1, sizeof(State__ConfTeam *));
    f->limits = mem_zalloc(s->limit_count + 1, sizeof(*f->limits));
    f->values = mem_zalloc(s->limit_count + 1, sizeof(*f->values));
    f->limit_ptrs = mem_zalloc(s->limit_count + 1, sizeof(State__ConfLimit *));
    f->keys = mem_zalloc(keys, sizeof(*f->keys));
    f->key_ptrs = mem_zalloc(keys, sizeof(State__ConfKey *));
}

static void
full_config_free(struct full_config *f)
{
    mem_free(f->teams);
    mem_free((void *)f->team_ptrs);
    mem_free(f->limits);
    mem_free(f->values);
    mem_free((void *)f->limit_ptrs);
    mem_free(f->keys);
    mem_free((void *)f->key_ptrs);
}

static void
full_config_teams(const struct state *s, struct full_config *f,
                  State__ConfigChange *change)
{
    for (size_t i = 0; i < s->team_count; i++) {
        const struct state_team *team = &s->team_order[i]->pub;
        state__conf_team__init(&f->teams[i]);
        f->teams[i].number = team->number;
        f->teams[i].name = proto_bin(team->name);
        f->teams[i].weight = team->weight;
        f->team_ptrs[i] = &f->teams[i];
    }
    change->n_teams = s->team_count;
    change->teams = f->team_ptrs;
}

static void
full_config_limits(const struct state *s, struct full_config *f,
                   State__ConfigChange *change)
{
    for (size_t i = 0; i < s->limit_count; i++) {
        proto_limit_write(&f->values[i], &s->limits[i].limit);
        state__conf_limit__init(&f->limits[i]);
        f->limits[i].team = s->limits[i].team;
        f->limits[i].limit = &f->values[i];
        f->limit_ptrs[i] = &f->limits[i];
    }
    change->n_limits = s->limit_count;
    change->limits = f->limit_ptrs;
}

static void
full_config_keys(const struct state *s, struct full_config *f,
                 State__ConfigChange *change)
{
    void *cursor = NULL;
    const struct state_key *key;

    while ((key = map_next(s->keys, &cursor)) != NULL) {
        State__ConfKey *conf = &f->keys[change->n_keys];
        if (key->withdrawn_ms != 0) {
            continue;
        }
        state__conf_key__init(conf);
        conf->id = key->id;
        conf->kind = key->kind;
        conf->team = key->team;
        conf->hash = proto_bin(str_from(key->hash, STATE_HASH_BYTES));
        f->key_ptrs[change->n_keys++] = conf;
    }
    change->keys = f->key_ptrs;
}

static void
append_full_config(const struct state *s, struct buf *out)
{
    State__ConfigDelta delta = STATE__CONFIG_DELTA__INIT;
    State__ConfigChange change = STATE__CONFIG_CHANGE__INIT;
    State__Limit default_limit;
    ProtobufCBinaryData bytes;
    struct buf packed = {0};
    struct full_config f;

    full_config_alloc(&f, s);
    full_config_teams(s, &f, &change);
    full_config_limits(s, &f, &change);
    full_config_keys(s, &f, &change);
    proto_limit_write(&default_limit, &s->settings.default_limit);
    change.default_limit = &default_limit;
    change.version = s->config_version;
    proto_append(&packed, &change.base);
    bytes = proto_bin(buf_str(&packed));
    delta.full = true;
    delta.n_changes = 1;
    delta.changes = &bytes;
    append_delta(s, &delta, out);
    buf_free(&packed);
    full_config_free(&f);
}

void
state_config_since(const struct state *s, uint64_t version, struct buf *out)
{
    if (s->cluster_id == 0 || version == s->config_version) {
        return;
    }
    if (version != 0 && version < s->config_version &&
        s->config_version - version <= s->history_count) {
        append_changes(s, version, out);
        return;
    }
    append_full_config(s, out);
}
