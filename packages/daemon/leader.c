#include "leader.h"

#include <inttypes.h>

#include "counter.h"
#include "leader_impl.h"
#include "log.h"
#include "mem.h"

enum {
    STEP_MAX_MS = 50, /* longest time between two steps */
};

const struct state *
leader_state(const struct leader *l)
{
    return replica_state(l->replica);
}

uint64_t
leader_term(const struct leader *l)
{
    return l->term;
}

int64_t
leader_lease_end(const struct leader *l, uint32_t ms)
{
    int64_t lease = ms * NS_PER_MS;

    return l->control->now + lease + lease / 1000000 * LEASE_DRIFT_PPM +
           LEASE_MARGIN_MS * NS_PER_MS;
}

struct state_actor
leader_system_actor(void)
{
    return (struct state_actor){.wall_ms = clock_wall_ms()};
}

struct leader *
leader_create(struct control *c, uint64_t term)
{
    struct leader *l = mem_zalloc(1, sizeof(*l));

    l->control = c;
    l->replica = c->replica;
    l->term = term;
    l->job_waits = map_create();
    log_write(LOG_LEVEL_NOTICE, "leader: this VM leads in term %" PRIu64,
              term);
    counter_add(counter_get(COUNTER_SUM, "guavarock_leader_changes_total",
                            "Times this process became leader."),
                1);
    entries_create(l);
    endpoints_create(l);
    workers_create(l);
    placement_create(l);
    requests_create(l);
    leader_bootstrap(l);
    return l;
}

static void
fail_calls(struct leader *l)
{
    while (l->calls != NULL) {
        call_fail_not_leader(l->calls);
    }
}

void
leader_destroy(struct leader *l)
{
    if (l == NULL) {
        return;
    }
    log_write(LOG_LEVEL_NOTICE, "leader: no longer leader in term %" PRIu64,
              l->term);
    fail_calls(l);
    placement_destroy(l);
    workers_destroy(l);
    endpoints_destroy(l);
    entries_destroy(l);
    requests_destroy(l);
    map_destroy(l->job_waits);
    mem_free(l);
}

static bool
is_transfer_target(const struct leader *l, const struct raft_member *member)
{
    const struct entry_record *e = entries_find(l, member->vm);

    return member->voter && !str_eq(member->vm, l->control->settings->vm) &&
           e != NULL && !e->draining &&
           control_find_link_by_id(l->control, e->link_id) != NULL;
}

bool
leader_transfer_leadership(struct leader *l)
{
    size_t count;
    struct raft *raft = replica_raft(l->replica);
    const struct raft_member *members = raft_members(raft, &count);
    struct raft_progress progress;
    uint64_t best = 0;
    uint64_t best_match = 0;

    for (size_t i = 0; i < count; i++) {
        if (is_transfer_target(l, &members[i]) &&
            raft_progress(raft, l->control->now, members[i].id, &progress) &&
            progress.active && progress.match >= best_match) {
            best = members[i].id;
            best_match = progress.match;
        }
    }
    if (best != 0) {
        replica_transfer_leadership(l->replica, best);
    }
    return best != 0;
}

void
leader_step(struct leader *l)
{
    if (!replica_leads(l->replica)) {
        return;
    }
    endpoints_step(l);
    workers_step(l);
    placement_step(l);
    workers_step(l);
    entries_step(l);
    config_waits_step(l);
    jobs_step(l);
    requests_step(l);
}

void
leader_refresh_metrics(struct leader *l)
{
    leader_metrics_refresh(l->metrics, l);
}

int64_t
leader_next_deadline(const struct leader *l)
{
    int64_t deadline = l->control->now + STEP_MAX_MS * NS_PER_MS;
    int64_t workers = workers_next_deadline(l);
    int64_t sched = sched_next_deadline(l->sched);

    if (workers < deadline) {
        deadline = workers;
    }
    if (sched < deadline) {
        deadline = sched;
    }
    return deadline;
}

void
leader_send_hint(const struct replica *r, struct link *to)
{
    Wire__Leader hint = WIRE__LEADER__INIT;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    struct str vm = replica_leader_vm(r, &hint.term);
    struct str copy = str_dup(vm);

    hint.vm = (char *)copy.ptr;
    envelope.msg_case = WIRE__ENVELOPE__MSG_LEADER;
    envelope.leader = &hint;
    link_send(to, &envelope);
    str_free(&copy);
}
