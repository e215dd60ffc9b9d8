/* API handlers for operators: audit trail, usage, status, VMs, workers and
 * endpoints. */
#include <inttypes.h>
#include <stdio.h>

#include "leader_impl.h"
#include "mem.h"
#include "operator.h"

static uint64_t
audit_start(const struct state *state, const struct operator_page *page)
{
    uint64_t first = state_audit_first(state);
    uint64_t newest = state_audit_last(state);
    uint64_t seq = page->after + 1;

    if (page->last != 0) {
        seq = page->last < newest ? newest - page->last + 1 : 1;
    }
    return seq < first ? first : seq;
}

void
api_audit(struct call *call)
{
    const struct state *state = leader_state(call->leader);
    struct operator_audit list = {0};
    struct operator_page page = {0};
    struct api_error error;
    struct buf body = {0};
    char(*keys)[24];
    uint64_t seq;

    if (!operator_page_parse(call->query, &page, &error)) {
        call_fail_api(call, &error);
        return;
    }
    list.entries = mem_zalloc(page.limit, sizeof(*list.entries));
    keys = mem_zalloc(page.limit, sizeof(*keys));
    seq = audit_start(state, &page);
    for (; seq <= state_audit_last(state) && list.count < page.limit; seq++) {
        const struct state_audit *a = state_audit(state, seq);
        struct operator_audit_entry *out = &list.entries[list.count];

        if (a == NULL) {
            continue;
        }
        snprintf(keys[list.count], sizeof(*keys), "k%" PRIu64, a->key_id);
        *out = (struct operator_audit_entry){
            .seq = a->seq,
            .time_ms = a->wall_ms,
            .action = str_of(state_command_text(a->action)),
            .target = a->object,
            .version = a->new_version,
            .old_version = a->old_version,
            .outcome = str_of(a->outcome == STATE_APPLIED
                                  ? "applied"
                                  : state_reason_text(a->reason))};
        if (a->key_id != 0) {
            out->key = str_of(keys[list.count]);
        }
        list.count++;
    }
    list.next = seq <= state_audit_last(state) ? seq - 1 : 0;
    operator_audit_render(&list, &body);
    mem_free(list.entries);
    mem_free(keys);
    call_respond(call, 200, &body);
}

/* A team that was removed and added again has one row for each time. */
static void
add_usage(struct operator_usage *usage, struct str name,
          const struct state_usage *row)
{
    struct operator_usage_team *team = usage->teams;

    while (team < usage->teams + usage->count && !str_eq(team->team, name)) {
        team++;
    }
    if (team == usage->teams + usage->count) {
        usage->count++;
        team->team = name;
    }
    team->cpu_ms += row->cpu_ms;
    team->memory_mib_s += row->memory_mib_s;
    team->accelerator_ms += row->accelerator_ms;
}

void
api_usage(struct call *call)
{
    const struct state *state = leader_state(call->leader);
    const struct state_usage *row;
    struct operator_usage usage = {0};
    struct api_error error;
    struct buf body = {0};
    char month[8];
    void *cursor = NULL;
    uint32_t wanted;

    if (!operator_month_parse(call->query, month, &error)) {
        call_fail_api(call, &error);
        return;
    }
    wanted = (uint32_t)(((month[0] - '0') * 1000 + (month[1] - '0') * 100 +
                         (month[2] - '0') * 10 + (month[3] - '0')) *
                            100 +
                        (month[5] - '0') * 10 + (month[6] - '0'));
    usage.month = str_of(month);
    while (state_usage_next(state, &cursor) != NULL) {
        usage.count++;
    }
    usage.teams = mem_zalloc(usage.count + 1, sizeof(*usage.teams));
    usage.count = 0;
    cursor = NULL;
    while ((row = state_usage_next(state, &cursor)) != NULL) {
        const struct state_team *team = state_team(state, row->team);

        if (row->month == wanted && team != NULL) {
            add_usage(&usage, team->name, row);
        }
    }
    if (call->match.route == API_USAGE_CHART) {
        operator_usage_chart(&usage, &body);
        call->content_type = "image/svg+xml";
    }
    else {
        operator_usage_render(&usage, &body);
    }
    mem_free(usage.teams);
    call_respond(call, 200, &body);
}

static void
count_jobs(const struct state *state, struct operator_status *out)
{
    const struct state_job *job;
    void *cursor = NULL;

    while ((job = state_job_next(state, &cursor)) != NULL) {
        out->tasks_running += job->placed;
        out->jobs_queued += job->state == STATE_JOB_QUEUED;
        out->jobs_running += job->state == STATE_JOB_RUNNING;
        out->jobs_unschedulable += job->state == STATE_JOB_UNSCHEDULABLE;
    }
}

void
leader_count_workers(const struct leader *l, struct operator_status *out)
{
    const struct state_worker *worker;
    void *cursor = NULL;

    while ((worker = state_worker_next(leader_state(l), &cursor)) != NULL) {
        const struct worker_session *w =
            map_get_u64(l->workers, worker->number);

        if (w == NULL || !w->up) {
            continue;
        }
        out->workers++;
        out->workers_draining += w->draining;
        out->workers_quarantined += w->quarantined;
        out->capacity.cpu_milli += worker->capacity.cpu_milli;
        out->capacity.memory_mib += worker->capacity.memory_mib;
        out->capacity.accelerators += worker->capacity.accelerators;
    }
}

static void
add_leased(const struct lease_record *list, struct operator_resources *out)
{
    for (const struct lease_record *r = list; r != NULL; r = r->next) {
        out->cpu_milli += r->size.cpu_milli;
        out->memory_mib += r->size.memory_mib;
        out->accelerators += r->size.accelerators;
    }
}

void
api_status(struct call *call)
{
    struct leader *l = call->leader;
    const struct state *state = leader_state(l);
    struct operator_status status = {0};
    const struct entry_record *e;
    const struct worker_session *w;
    struct raft_status raft;
    struct buf body = {0};
    void *cursor = NULL;

    raft_status(replica_raft(l->replica), &raft);
    status.leader = l->control->settings->vm;
    status.term = l->term;
    status.commit_index = raft.commit;
    status.teams_version = state_teams_version(state);
    status.limits_version = state_limits_version(state);
    status.endpoints = map_count(l->endpoints);
    while ((e = map_next(l->entries, &cursor)) != NULL) {
        status.vms += e->lease_end > l->control->now;
        status.vms_draining += e->draining && e->lease_end > l->control->now;
    }
    count_jobs(state, &status);
    leader_count_workers(l, &status);
    cursor = NULL;
    while ((w = map_next(l->workers, &cursor)) != NULL) {
        add_leased(w->leases, &status.used);
    }
    operator_status_render(&status, &body);
    call_respond(call, 200, &body);
}

/*
 * A VM that restarted with an empty data directory is a learner, even while
 * the voter that it was before is still a member.
 */
static int
role_of(const struct leader *l, struct str vm)
{
    const struct link *link = control_find_link(l->control, vm);
    int role = OPERATOR_VM_ENTRY;
    size_t count;
    const struct raft_member *members =
        raft_members(replica_raft(l->replica), &count);

    if (str_eq(vm, l->control->settings->vm)) {
        return OPERATOR_VM_LEADER;
    }
    for (size_t i = 0; i < count; i++) {
        if (!str_eq(members[i].vm, vm)) {
            continue;
        }
        if (!members[i].voter ||
            (link != NULL && link->member_id != members[i].id)) {
            return OPERATOR_VM_LEARNER;
        }
        role = OPERATOR_VM_CONTROL;
    }
    return role;
}

void
api_vm_list(struct call *call)
{
    struct leader *l = call->leader;
    const struct state_vm *vm;
    struct operator_vms list = {0};
    struct buf body = {0};
    void *cursor = NULL;
    size_t total = 0;

    while (state_vm_next(leader_state(l), &cursor) != NULL) {
        total++;
    }
    list.vms = mem_zalloc(total + 1, sizeof(*list.vms));
    cursor = NULL;
    while ((vm = state_vm_next(leader_state(l), &cursor)) != NULL) {
        const struct entry_record *e = entries_find(l, vm->name);
        struct operator_vm *out = &list.vms[list.count++];

        out->id = vm->name;
        out->role = role_of(l, vm->name);
        out->address = vm->address;
        out->failure_domain = vm->failure_domain;
        out->connected =
            e != NULL && e->run != 0 &&
            control_find_link_by_id(l->control, e->link_id) != NULL;
        out->draining = vm->draining || (e != NULL && e->draining);
        out->config_version = e == NULL ? 0 : e->config_version;
    }
    operator_vms_render(&list, &body);
    mem_free(list.vms);
    call_respond(call, 200, &body);
}

static void
drain_applied(struct call *call, const struct state_result *result)
{
    struct buf body = {0};

    if (result->kind != STATE_APPLIED && result->kind != STATE_DUPLICATE) {
        call_fail_state(call, result);
        return;
    }
    buf_printf(&body, "{\"draining\":true}");
    call_respond(call, 200, &body);
}

void
api_vm_drain(struct call *call)
{
    struct state_actor actor = call_actor(call);
    struct buf command = {0};

    state_cmd_vm_drain(&command, &actor, str_of(call->match.param), true);
    call_propose(call, &command, drain_applied);
}

static int
worker_state(const struct worker_session *w)
{
    if (w == NULL || !w->up) {
        return OPERATOR_WORKER_LOST;
    }
    if (w->quarantined) {
        return OPERATOR_WORKER_QUARANTINED;
    }
    return w->draining ? OPERATOR_WORKER_DRAINING : OPERATOR_WORKER_UP;
}

void
api_worker_list(struct call *call)
{
    struct leader *l = call->leader;
    const struct state_worker *worker;
    struct operator_workers list = {0};
    struct buf body = {0};
    void *cursor = NULL;
    size_t total = 0;

    while (state_worker_next(leader_state(l), &cursor) != NULL) {
        total++;
    }
    list.workers = mem_zalloc(total + 1, sizeof(*list.workers));
    cursor = NULL;
    while ((worker = state_worker_next(leader_state(l), &cursor)) != NULL) {
        const struct worker_session *w =
            map_get_u64(l->workers, worker->number);
        struct operator_worker *out = &list.workers[list.count++];

        out->id = worker->name;
        out->state = worker_state(w);
        out->rack = worker->rack;
        out->failure_domain = worker->failure_domain;
        out->capacity = (struct operator_resources){
            worker->capacity.cpu_milli, worker->capacity.memory_mib,
            worker->capacity.accelerators};
        out->tasks = worker->placed;
        if (w != NULL) {
            add_leased(w->leases, &out->used);
        }
    }
    operator_workers_render(&list, &body);
    mem_free(list.workers);
    call_respond(call, 200, &body);
}

static uint32_t
leased_slots(const struct leader *l, const struct endpoint_record *e)
{
    struct ledger_pool_stats stats = {0};
    struct buf pool = {0};

    buf_printf(&pool, POOL_ENDPOINT "%.*s", STR_ARG(e->id));
    ledger_pool_stats(l->ledger, l->control->now, buf_str(&pool), &stats);
    buf_free(&pool);
    return stats.held;
}

void
api_endpoint_list(struct call *call)
{
    struct leader *l = call->leader;
    const struct endpoint_record *e;
    struct operator_endpoints list = {0};
    struct buf body = {0};
    void *cursor = NULL;

    list.endpoints =
        mem_zalloc(map_count(l->endpoints) + 1, sizeof(*list.endpoints));
    while ((e = map_next(l->endpoints, &cursor)) != NULL) {
        list.endpoints[list.count++] = (struct operator_endpoint){
            .id = e->id,
            .service = e->service,
            .address = e->address,
            .failure_domain = e->failure_domain,
            .slots = e->slots,
            .connections = e->connections,
            .leased = leased_slots(l, e),
            .state = e->leaving ? OPERATOR_ENDPOINT_LEAVING
                                : OPERATOR_ENDPOINT_READY};
    }
    operator_endpoints_render(&list, &body);
    mem_free(list.endpoints);
    call_respond(call, 200, &body);
}
