#include <string.h>

#include "mem.h"
#include "state_impl.h"

/* Finds the team of each item, or returns why the list is not valid. */
static enum state_reason
resolve_teams(const struct state *s, const State__LimitsSet *set,
              struct team **teams)
{
    struct map *seen = map_create();
    enum state_reason reason = STATE_REASON_NONE;

    for (size_t i = 0; i < set->n_limits; i++) {
        teams[i] = map_get(s->teams_by_name, proto_str(set->limits[i]->team));
        if (teams[i] == NULL) {
            reason = STATE_REASON_TEAM_UNKNOWN;
            break;
        }
        if (map_put_u64(seen, teams[i]->pub.number, teams[i]) != NULL) {
            reason = STATE_REASON_DUPLICATE_NAME;
            break;
        }
    }
    map_destroy(seen);
    return reason;
}

static bool
limits_equal(const struct state_limit *a, const struct state_limit *b)
{
    return memcmp(a, b, sizeof(*a)) == 0;
}

/* Adds the new, changed and removed limits to the history as one change. */
static void
record_change(struct state *s, const struct state_team_limit *new_limits,
              size_t count)
{
    State__ConfigChange change = STATE__CONFIG_CHANGE__INIT;
    State__ConfLimit *conf_limits =
        mem_zalloc(count + 1, sizeof(*conf_limits));
    State__Limit *values = mem_zalloc(count + 1, sizeof(*values));
    State__ConfLimit **ptrs =
        mem_zalloc(count + 1, sizeof(State__ConfLimit *));
    uint32_t *removed = mem_zalloc(s->limit_count + 1, sizeof(*removed));

    for (size_t i = 0; i < count; i++) {
        struct team *team = team_by_number(s, new_limits[i].team);
        team->in_new_list = true;
        if (team->has_limit &&
            limits_equal(&team->limit, &new_limits[i].limit)) {
            continue;
        }
        proto_limit_write(&values[change.n_limits], &new_limits[i].limit);
        state__conf_limit__init(&conf_limits[change.n_limits]);
        conf_limits[change.n_limits].team = new_limits[i].team;
        conf_limits[change.n_limits].limit = &values[change.n_limits];
        ptrs[change.n_limits] = &conf_limits[change.n_limits];
        change.n_limits++;
    }
    for (size_t i = 0; i < s->limit_count; i++) {
        if (!team_by_number(s, s->limits[i].team)->in_new_list) {
            removed[change.n_limits_removed++] = s->limits[i].team;
        }
    }
    change.limits = ptrs;
    change.limits_removed = removed;
    config_record(s, &change);
    mem_free(conf_limits);
    mem_free(values);
    mem_free((void *)ptrs);
    mem_free(removed);
}

static void
replace_limits(struct state *s, struct state_team_limit *new_limits,
               size_t count)
{
    for (size_t i = 0; i < s->team_count; i++) {
        s->team_order[i]->in_new_list = false;
    }
    record_change(s, new_limits, count);
    snapshot_save_table(s, SNAP_TEAMS);
    for (size_t i = 0; i < s->team_count; i++) {
        s->team_order[i]->has_limit = false;
    }
    for (size_t i = 0; i < count; i++) {
        struct team *team = team_by_number(s, new_limits[i].team);
        team->has_limit = true;
        team->limit = new_limits[i].limit;
    }
    mem_free(s->limits);
    s->limits = new_limits;
    s->limit_count = count;
    s->limits_version++;
}

static void
set_limits(struct apply *a, struct team **teams)
{
    const State__LimitsSet *set = a->cmd->limits_set;
    struct state *s = a->s;
    struct state_team_limit *new_limits =
        mem_zalloc(set->n_limits + 1, sizeof(*new_limits));

    for (size_t i = 0; i < set->n_limits; i++) {
        new_limits[i].team = teams[i]->pub.number;
        new_limits[i].limit = proto_limit_read(set->limits[i]->limit);
    }
    replace_limits(s, new_limits, set->n_limits);
    a->new_version = s->limits_version;
    result_applied(a, s->limits_version, 0, set->n_limits);
}

void
apply_limits_set(struct apply *a)
{
    const State__LimitsSet *set = a->cmd->limits_set;
    struct state *s = a->s;
    struct team **teams;
    enum state_reason reason;

    a->object = STR("limits");
    a->old_version = s->limits_version;
    a->new_version = s->limits_version;
    if (set->expected != s->limits_version) {
        result_conflict(a, s->limits_version, STATE_REASON_VERSION_MISMATCH);
        return;
    }
    if (set->n_limits > STATE_TEAMS_MAX) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    teams = mem_zalloc(set->n_limits + 1, sizeof(struct team *));
    reason = resolve_teams(s, set, teams);
    if (reason != STATE_REASON_NONE) {
        result_invalid(a, reason);
    }
    else {
        set_limits(a, teams);
    }
    mem_free((void *)teams);
}

uint64_t
state_limits_version(const struct state *s)
{
    return s->limits_version;
}

size_t
state_limit_count(const struct state *s)
{
    return s->limit_count;
}

const struct state_team_limit *
state_limit_at(const struct state *s, size_t i)
{
    return &s->limits[i];
}

const struct state_limit *
state_effective_limit(const struct state *s, uint32_t team)
{
    const struct team *found = team_by_number(s, team);

    if (found == NULL || !found->has_limit) {
        return &s->settings.default_limit;
    }
    return &found->limit;
}
