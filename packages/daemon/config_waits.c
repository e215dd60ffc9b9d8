/*
 * Calls that wait until a configuration is in force: all entries have applied
 * it or have no valid lease, and no team is above its limits.
 */
#include <inttypes.h>

#include "leader_impl.h"
#include "operator.h"

/*
 * old_lease_end covers the processes of the VM that have not reported to this
 * leader: earlier ones and, before the first report, any.
 */
static bool
entry_in_force(const struct leader *l, const struct entry_record *e,
               uint64_t version)
{
    int64_t now = l->control->now;

    if (e->old_lease_end > now) {
        return false;
    }
    return e->config_version >= version || e->lease_end <= now;
}

bool
entries_in_force(const struct leader *l, uint64_t version)
{
    const struct entry_record *e;
    void *cursor = NULL;

    while ((e = map_next(l->entries, &cursor)) != NULL) {
        if (!entry_in_force(l, e, version)) {
            return false;
        }
    }
    return true;
}

static bool
limits_in_force(const struct leader *l)
{
    const struct state *state = leader_state(l);
    struct buf pool = {0};
    bool in_force = true;

    for (size_t i = 0; in_force && i < state_team_count(state); i++) {
        uint32_t team = state_team_at(state, i)->number;

        buf_clear(&pool);
        buf_printf(&pool, POOL_TEAM "%" PRIu32, team);
        in_force = sched_team_is_within_limit(l->sched, team) &&
                   ledger_pool_is_within_capacity(l->ledger, l->control->now,
                                                  buf_str(&pool));
    }
    buf_free(&pool);
    return in_force;
}

void
config_wait_add(struct call *call, uint64_t version)
{
    call->version = version;
    call->wait_next = call->leader->config_waits;
    call->leader->config_waits = call;
}

static void
answer_call(struct call *call, bool in_force)
{
    struct operator_accepted accepted = {call->list_version, in_force};

    if (call->answer.len == 0) {
        operator_accepted_render(&accepted, &call->answer);
    }
    call_respond(call, call->status, &call->answer);
}

void
config_waits_step(struct leader *l)
{
    bool in_force = l->config_waits != NULL && limits_in_force(l);
    struct call *next;

    for (struct call *call = l->config_waits; call != NULL; call = next) {
        next = call->wait_next;
        if (in_force && entries_in_force(l, call->version) &&
            replica_leads(l->replica)) {
            answer_call(call, true);
        }
        else if (call->deadline <= l->control->now) {
            answer_call(call, false);
        }
    }
}
