#include <string.h>

#include "mem.h"
#include "state_impl.h"

struct team *
team_by_number(const struct state *s, uint32_t number)
{
    return map_get_u64(s->teams, number);
}

struct team *
team_find_live(const struct state *s, uint32_t number)
{
    struct team *team = team_by_number(s, number);

    return team == NULL || team->pub.removed ? NULL : team;
}

/* Registers a team without adding it to the operator's list. */
struct team *
team_add(struct state *s, uint32_t number, struct str name, uint32_t weight)
{
    struct team *team = mem_zalloc(1, sizeof(*team));

    team->pub.number = number;
    team->pub.weight = weight;
    team->pub.name = str_dup(name);
    map_put_u64(s->teams, number, team);
    return team;
}

void
team_free(struct team *team)
{
    str_free(&team->pub.name);
    mem_free(team);
}

/* The changes that a new list of teams makes, for the ConfigChange. */
struct teams_diff {
    State__ConfTeam *teams;
    State__ConfTeam **team_ptrs;
    size_t team_count;
    uint32_t *removed;
    size_t removed_count;
    uint64_t *keys; /* withdrawn */
    size_t key_count;
    uint32_t *limits; /* teams whose limit is removed */
    size_t limit_count;
};

static bool
items_valid(const State__TeamsSet *set)
{
    if (set->n_teams > STATE_TEAMS_MAX) {
        return false;
    }
    for (size_t i = 0; i < set->n_teams; i++) {
        if (!name_valid(proto_str(set->teams[i]->name)) ||
            set->teams[i]->weight == 0) {
            return false;
        }
    }
    return true;
}

static bool
items_unique(const State__TeamsSet *set)
{
    struct map *seen = map_create();
    bool unique = true;

    for (size_t i = 0; i < set->n_teams && unique; i++) {
        unique = map_put(seen, proto_str(set->teams[i]->name), seen) == NULL;
    }
    map_destroy(seen);
    return unique;
}

static void
mark_listed(struct state *s, const State__TeamsSet *set)
{
    for (size_t i = 0; i < s->team_count; i++) {
        s->team_order[i]->in_new_list = false;
    }
    for (size_t i = 0; i < set->n_teams; i++) {
        struct team *team =
            map_get(s->teams_by_name, proto_str(set->teams[i]->name));
        if (team != NULL) {
            team->in_new_list = true;
        }
    }
}

/* Returns a team that the new list omits and that has live jobs, or NULL. */
static const struct team *
find_removed_with_jobs(const struct state *s)
{
    for (size_t i = 0; i < s->team_count; i++) {
        if (!s->team_order[i]->in_new_list &&
            s->team_order[i]->pub.live_jobs > 0) {
            return s->team_order[i];
        }
    }
    return NULL;
}

static void
remove_limit(struct state *s, struct team *team, struct teams_diff *d)
{
    size_t count = 0;

    if (!team->has_limit) {
        return;
    }
    team->has_limit = false;
    for (size_t i = 0; i < s->limit_count; i++) {
        if (s->limits[i].team != team->pub.number) {
            s->limits[count++] = s->limits[i];
        }
    }
    s->limit_count = count;
    d->limits[d->limit_count++] = team->pub.number;
}

static void
remove_unlisted(struct state *s, struct teams_diff *d)
{
    for (size_t i = 0; i < s->team_count; i++) {
        struct team *team = s->team_order[i];
        if (team->in_new_list) {
            continue;
        }
        team->pub.removed = true;
        map_del(s->teams_by_name, team->pub.name);
        remove_limit(s, team, d);
        keys_withdraw_team(s, team->pub.number, &d->keys, &d->key_count);
        d->removed[d->removed_count++] = team->pub.number;
    }
    if (d->limit_count > 0) {
        s->limits_version++;
    }
}

static struct team *
put_team(struct state *s, const State__TeamItem *item, struct teams_diff *d)
{
    struct str name = proto_str(item->name);
    struct team *team = map_get(s->teams_by_name, name);
    State__ConfTeam *conf;

    if (team != NULL && team->pub.weight == item->weight) {
        return team;
    }
    if (team == NULL) {
        team = team_add(s, s->next_team++, name, item->weight);
        map_put(s->teams_by_name, name, team);
    }
    team->pub.weight = item->weight;
    conf = &d->teams[d->team_count];
    state__conf_team__init(conf);
    conf->number = team->pub.number;
    conf->name = proto_bin(team->pub.name);
    conf->weight = item->weight;
    d->team_ptrs[d->team_count++] = conf;
    return team;
}

static void
replace_order(struct state *s, const State__TeamsSet *set,
              struct teams_diff *d)
{
    struct team **order = mem_zalloc(set->n_teams + 1, sizeof(*order));

    for (size_t i = 0; i < set->n_teams; i++) {
        order[i] = put_team(s, set->teams[i], d);
    }
    mem_free(s->team_order);
    s->team_order = order;
    s->team_count = set->n_teams;
}

static void
record_diff(struct state *s, struct teams_diff *d)
{
    State__ConfigChange change = STATE__CONFIG_CHANGE__INIT;

    change.n_teams = d->team_count;
    change.teams = d->team_ptrs;
    change.n_teams_removed = d->removed_count;
    change.teams_removed = d->removed;
    change.n_limits_removed = d->limit_count;
    change.limits_removed = d->limits;
    change.n_keys_withdrawn = d->key_count;
    change.keys_withdrawn = d->keys;
    config_record(s, &change);
}

static void
set_teams(struct state *s, const State__TeamsSet *set)
{
    size_t max_items = set->n_teams + s->team_count + 1;
    struct teams_diff d = {
        .teams = mem_zalloc(max_items, sizeof(*d.teams)),
        .team_ptrs = mem_zalloc(max_items, sizeof(State__ConfTeam *)),
        .removed = mem_zalloc(max_items, sizeof(*d.removed)),
        .limits = mem_zalloc(max_items, sizeof(*d.limits)),
    };

    snapshot_save_table(s, SNAP_TEAMS);
    remove_unlisted(s, &d);
    replace_order(s, set, &d);
    s->teams_version++;
    record_diff(s, &d);
    mem_free(d.teams);
    mem_free((void *)d.team_ptrs);
    mem_free(d.removed);
    mem_free(d.limits);
    mem_free(d.keys);
}

void
apply_teams_set(struct apply *a)
{
    const State__TeamsSet *set = a->cmd->teams_set;
    struct state *s = a->s;

    a->object = STR("teams");
    a->old_version = s->teams_version;
    a->new_version = s->teams_version;
    if (set->expected != s->teams_version) {
        result_conflict(a, s->teams_version, STATE_REASON_VERSION_MISMATCH);
        return;
    }
    if (!items_valid(set)) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    if (!items_unique(set)) {
        result_invalid(a, STATE_REASON_DUPLICATE_NAME);
        return;
    }
    mark_listed(s, set);
    if (find_removed_with_jobs(s) != NULL) {
        result_invalid(a, STATE_REASON_TEAM_HAS_JOBS);
        return;
    }
    set_teams(s, set);
    a->new_version = s->teams_version;
    result_applied(a, s->teams_version, 0, set->n_teams);
}

uint64_t
state_teams_version(const struct state *s)
{
    return s->teams_version;
}

size_t
state_team_count(const struct state *s)
{
    return s->team_count;
}

const struct state_team *
state_team_at(const struct state *s, size_t i)
{
    return &s->team_order[i]->pub;
}

const struct state_team *
state_team_by_name(const struct state *s, struct str name)
{
    const struct team *team = map_get(s->teams_by_name, name);

    return team == NULL ? NULL : &team->pub;
}

const struct state_team *
state_team(const struct state *s, uint32_t number)
{
    const struct team *team = team_by_number(s, number);

    return team == NULL ? NULL : &team->pub;
}
