/*
 * Limits of teams, and what is kept of them for gangs. A gang starts all its
 * tasks at once. Smaller jobs of its team would take each piece of the limit
 * that becomes free, and the gang would never start. It therefore reserves its
 * whole size from the time on at which the team's running tasks are expected
 * to have left that much. Until then, tasks start that end before it or fit
 * beside it. If the tasks that run never leave as much, nothing is reserved.
 *
 * Load that this answers: gangs of teams whose services and batches use most
 * of what they may.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

static bool
is_within_limit(uint64_t limit, uint64_t used)
{
    return limit == 0 || used <= limit;
}

static bool
is_size_within_limit(const struct flow_team *team, struct flow_size size)
{
    const struct flow_size *l = &team->limit;

    return is_within_limit(l->cpu_milli, size.cpu_milli) &&
           is_within_limit(l->memory_mib, size.memory_mib) &&
           is_within_limit(l->accelerators, size.accelerators);
}

bool
plan_is_over_limit(const struct flow_team *team)
{
    return !is_size_within_limit(team, team->used);
}

struct team_plan *
team_plan_find(struct plan_round *r, const struct flow_team *team)
{
    for (size_t i = 0; i < r->team_count; i++) {
        if (r->teams[i].team == team) {
            return &r->teams[i];
        }
    }
    if (r->team_count == r->team_cap) {
        r->team_cap = r->team_cap * 2 + 16;
        r->teams = mem_realloc(r->teams, r->team_cap, sizeof(*r->teams));
    }
    r->teams[r->team_count] = (struct team_plan){.team = team};
    return &r->teams[r->team_count++];
}

bool
team_limit_allows(struct plan_round *r, const struct candidate *c)
{
    const struct flow_team *team = c->job->team;
    const struct team_plan *p = team_plan_find(r, team);
    struct flow_size used = size_add(size_add(team->used, p->placed), c->size);
    int64_t ends_ns =
        r->now_ns + (int64_t)(plan_run_ms(c->job, c->step, 1) * NS_PER_MS);

    return is_size_within_limit(team, used) &&
           (c->pressing || p->reserved_from_ns == 0 ||
            ends_ns <= p->reserved_from_ns ||
            is_size_within_limit(team, size_add(used, p->reserved)));
}

static int
compare_releases(const void *a, const void *b)
{
    const struct expected_release *x = a;
    const struct expected_release *y = b;

    return (x->at_ns > y->at_ns) - (x->at_ns < y->at_ns);
}

/* Returns when the team's tasks are expected to have left that much of its
 * limit beside what is placed and reserved; INT64_MAX: never. */
static int64_t
earliest_fit_ns(struct plan_round *r, const struct flow_team *team,
                struct flow_size whole)
{
    const struct team_plan *p = team_plan_find(r, team);
    struct flow_size used = size_add(team->used, p->placed);
    struct expected_release *list;
    size_t count = 0;
    int64_t at_ns = r->now_ns;

    whole = size_add(whole, p->reserved);
    list = mem_alloc((r->team_release_count + 1) * sizeof(*list));
    for (size_t i = 0; i < r->team_release_count; i++) {
        if (r->team_releases[i].team == team) {
            list[count++] = r->team_releases[i].release;
        }
    }
    qsort(list, count, sizeof(*list), compare_releases);
    for (size_t i = 0; !is_size_within_limit(team, size_add(used, whole));
         i++) {
        if (i == count) {
            at_ns = INT64_MAX;
            break;
        }
        used = size_subtract(used, list[i].size);
        at_ns = list[i].at_ns;
    }
    r->visits += count;
    mem_free(list);
    return at_ns;
}

void
reserve_team_limit(struct plan_round *r, const struct candidate *c)
{
    struct flow_size size = c->size;
    uint64_t count = c->step->count;
    struct flow_size whole = {size.cpu_milli * count, size.memory_mib * count,
                              size.accelerators * count};
    struct team_plan *p;
    int64_t start_ns;
    int64_t fit_ns;

    round_collect_releases(r);
    fit_ns = earliest_fit_ns(r, c->job->team, whole);
    if (fit_ns == INT64_MAX) {
        return;
    }
    start_ns = reservation_start_ns(r, c->step, fit_ns);
    p = team_plan_find(r, c->job->team);
    r->kept_for_gangs = true;
    p->reserved = size_add(p->reserved, whole);
    if (p->reserved_from_ns == 0 || start_ns < p->reserved_from_ns) {
        p->reserved_from_ns = start_ns;
    }
}
