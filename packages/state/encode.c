#include "mem.h"
#include "snapshot.h"
#include "state_impl.h"

/* The snapshot under construction. */
struct writer {
    struct buf *out;
    uint64_t records;
};

static void
append(struct writer *w, State__SnapRecord__ItemCase item, void *message)
{
    State__SnapRecord record = STATE__SNAP_RECORD__INIT;
    size_t at = w->out->len;
    size_t len;

    record.item_case = item;
    /* All members of the union are pointers to a message. */
    record.header = message;
    buf_reserve(w->out, SNAP_LENGTH_BYTES);
    w->out->len += SNAP_LENGTH_BYTES;
    proto_append(w->out, &record.base);
    len = w->out->len - at - SNAP_LENGTH_BYTES;
    for (int i = 0; i < SNAP_LENGTH_BYTES; i++) {
        w->out->ptr[at + (size_t)i] = (char)(len >> (24 - 8 * i));
    }
    w->records++;
}

/* What the header message points to. */
struct header_space {
    State__Member *members;
    State__Member **member_ptrs;
    uint32_t *team_order;
    uint32_t *limit_order;
    State__Settings settings;
    State__Limit limit;
};

static void
fill_lists(const struct state *s, State__SnapHeader *h, struct header_space *x)
{
    x->members = mem_zalloc(s->member_count + 1, sizeof(*x->members));
    x->member_ptrs = mem_zalloc(s->member_count + 1, sizeof(State__Member *));
    x->team_order = mem_zalloc(s->team_count + 1, sizeof(uint32_t));
    x->limit_order = mem_zalloc(s->limit_count + 1, sizeof(uint32_t));
    for (size_t i = 0; i < s->member_count; i++) {
        state__member__init(&x->members[i]);
        x->members[i].member_id = s->members[i].member_id;
        x->members[i].vm = proto_bin(s->members[i].vm);
        x->members[i].address = proto_bin(s->members[i].address);
        x->member_ptrs[i] = &x->members[i];
    }
    for (size_t i = 0; i < s->team_count; i++) {
        x->team_order[i] = s->team_order[i]->pub.number;
    }
    for (size_t i = 0; i < s->limit_count; i++) {
        x->limit_order[i] = s->limits[i].team;
    }
    h->n_members = s->member_count;
    h->members = x->member_ptrs;
    h->n_team_order = s->team_count;
    h->team_order = x->team_order;
    h->n_limit_order = s->limit_count;
    h->limit_order = x->limit_order;
}

static void
fill_settings(const struct state *s, State__SnapHeader *h,
              struct header_space *x)
{
    state__settings__init(&x->settings);
    proto_limit(&x->limit, &s->settings.default_limit);
    x->settings.default_limit = &x->limit;
    x->settings.request_keep_ms = s->settings.request_keep_ms;
    x->settings.request_max = s->settings.request_max;
    x->settings.request_bytes_max = s->settings.request_bytes_max;
    h->settings = &x->settings;
}

static void
encode_header(struct writer *w, const struct state *s)
{
    State__SnapHeader h = STATE__SNAP_HEADER__INIT;
    struct header_space x;

    fill_lists(s, &h, &x);
    fill_settings(s, &h, &x);
    h.format = SNAP_FORMAT;
    h.index = s->index;
    h.cluster_id = s->cluster_id;
    h.wall_ms = s->wall_ms;
    h.teams_version = s->teams_version;
    h.limits_version = s->limits_version;
    h.config_version = s->config_version;
    h.next_team = s->next_team;
    h.next_worker = s->next_worker;
    h.next_key = s->next_key;
    h.next_job = s->next_job;
    h.next_request = s->next_request;
    h.highest_lease = s->highest_lease;
    h.next_end = s->next_end;
    h.next_store = s->next_store;
    h.audit_last = s->audit_last;
    append(w, STATE__SNAP_RECORD__ITEM_HEADER, &h);
    mem_free(x.members);
    mem_free((void *)x.member_ptrs);
    mem_free(x.team_order);
    mem_free(x.limit_order);
}

static void
encode_teams(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct team *team;

    while ((team = map_next(s->teams, &cursor)) != NULL) {
        State__SnapTeam m = STATE__SNAP_TEAM__INIT;
        State__Limit limit;
        m.number = team->pub.number;
        m.weight = team->pub.weight;
        m.name = proto_bin(team->pub.name);
        m.removed = team->pub.removed;
        if (team->limited) {
            proto_limit(&limit, &team->limit);
            m.limit = &limit;
        }
        append(w, STATE__SNAP_RECORD__ITEM_TEAM, &m);
    }
}

static void
encode_keys(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct state_key *key;

    while ((key = map_next(s->keys, &cursor)) != NULL) {
        State__SnapKey m = STATE__SNAP_KEY__INIT;
        m.id = key->id;
        m.kind = key->kind;
        m.team = key->team;
        m.hash = proto_bin(str_from(key->hash, STATE_HASH_BYTES));
        m.created_ms = key->created_ms;
        m.withdrawn_ms = key->withdrawn_ms;
        append(w, STATE__SNAP_RECORD__ITEM_KEY, &m);
    }
}

static void
encode_history(struct writer *w, const struct state *s)
{
    for (size_t i = 0; i < s->history_count; i++) {
        const struct change *change =
            &s->history[(s->history_first + i) % STATE_HISTORY_MAX];
        State__SnapChange m = STATE__SNAP_CHANGE__INIT;
        m.version = change->version;
        m.change = proto_bin(change->bytes);
        append(w, STATE__SNAP_RECORD__ITEM_CHANGE, &m);
    }
}

static void
encode_audit(struct writer *w, const struct state *s)
{
    for (size_t i = 0; i < s->audit_count; i++) {
        const struct state_audit *entry =
            &s->audit[(s->audit_first + i) % s->audit_cap];
        State__SnapAudit m = STATE__SNAP_AUDIT__INIT;
        m.seq = entry->seq;
        m.wall_ms = entry->wall_ms;
        m.key_id = entry->key_id;
        m.action = entry->action;
        m.outcome = entry->outcome;
        m.reason = entry->reason;
        m.old_version = entry->old_version;
        m.new_version = entry->new_version;
        m.object = proto_bin(entry->object);
        append(w, STATE__SNAP_RECORD__ITEM_AUDIT, &m);
    }
}

static void
encode_operators(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct op_record *record;

    while ((record = map_next(s->op_records, &cursor)) != NULL) {
        State__SnapOperator m = STATE__SNAP_OPERATOR__INIT;
        m.scope = proto_bin(record->scope);
        m.digest = proto_bin(str_from(record->digest, STATE_DIGEST_BYTES));
        m.wall_ms = record->wall_ms;
        m.kind = record->first.kind;
        m.version = record->first.version;
        m.number = record->first.number;
        m.reason = record->first.reason;
        append(w, STATE__SNAP_RECORD__ITEM_OPERATOR, &m);
    }
}

static void
encode_vms(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct state_vm *vm;

    while ((vm = map_next(s->vms, &cursor)) != NULL) {
        State__SnapVm m = STATE__SNAP_VM__INIT;
        m.name = proto_bin(vm->name);
        m.failure_domain = proto_bin(vm->failure_domain);
        m.address = proto_bin(vm->address);
        m.draining = vm->draining;
        m.run = vm->run;
        m.clean_run = vm->clean_run;
        m.left = vm->left;
        append(w, STATE__SNAP_RECORD__ITEM_VM, &m);
    }
}

static void
encode_workers(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct state_worker *worker;

    while ((worker = map_next(s->workers, &cursor)) != NULL) {
        State__SnapWorker m = STATE__SNAP_WORKER__INIT;
        State__Capacity capacity = STATE__CAPACITY__INIT;
        capacity.cpu_milli = worker->capacity.cpu_milli;
        capacity.memory_mib = worker->capacity.memory_mib;
        capacity.accelerators = worker->capacity.accelerators;
        m.number = worker->number;
        m.incarnation = worker->incarnation;
        m.name = proto_bin(worker->name);
        m.rack = proto_bin(worker->rack);
        m.failure_domain = proto_bin(worker->failure_domain);
        m.capacity = &capacity;
        append(w, STATE__SNAP_RECORD__ITEM_WORKER, &m);
    }
}

static void
fill_tasks(const struct job *job, State__SnapTask *tasks,
           State__SnapTask **ptrs)
{
    for (uint32_t i = 0; i < job->pub.spec.tasks; i++) {
        const struct state_task *task = &job->tasks[i];
        state__snap_task__init(&tasks[i]);
        tasks[i].lease = task->lease;
        tasks[i].incarnation = task->incarnation;
        tasks[i].worker = task->worker;
        tasks[i].exit_code = task->exit_code;
        tasks[i].cpu_milli = task->cpu_milli;
        tasks[i].memory_mib = task->memory_mib;
        tasks[i].accelerators = task->accelerators;
        tasks[i].failures = task->failures;
        tasks[i].losses = task->losses;
        tasks[i].attempts = task->attempts;
        tasks[i].state = task->state;
        tasks[i].outcome = task->outcome;
        ptrs[i] = &tasks[i];
    }
}

static void
encode_job(struct writer *w, const struct job *job)
{
    uint32_t count = job->pub.spec.tasks;
    State__SnapTask *tasks = mem_alloc(count * sizeof(*tasks));
    State__SnapTask **ptrs = mem_alloc(count * sizeof(State__SnapTask *));
    State__SnapJob m = STATE__SNAP_JOB__INIT;
    State__JobSpec spec;

    proto_spec(&spec, &job->pub.spec);
    fill_tasks(job, tasks, ptrs);
    m.number = job->pub.number;
    m.key_id = job->pub.key_id;
    m.submitted_ms = job->pub.submitted_ms;
    m.ended_ms = job->pub.ended_ms;
    m.name = proto_bin(job->pub.name);
    m.reason = proto_bin(job->pub.reason);
    m.spec = &spec;
    m.team = job->pub.team;
    m.state = job->pub.state;
    m.cancel = job->pub.cancel;
    m.digest = proto_bin(str_from(job->pub.body_digest, STATE_DIGEST_BYTES));
    m.end_seq = job->end_seq;
    m.n_tasks = count;
    m.tasks = ptrs;
    append(w, STATE__SNAP_RECORD__ITEM_JOB, &m);
    mem_free(tasks);
    mem_free((void *)ptrs);
}

static void
encode_jobs(struct writer *w, const struct state *s)
{
    uint64_t at = 0;
    const struct job *job;

    while ((job = numtab_after(&s->jobs, at)) != NULL) {
        at = job->pub.number;
        encode_job(w, job);
    }
}

static void
encode_lease(struct writer *w, const struct lease *lease)
{
    State__SnapLease m = STATE__SNAP_LEASE__INIT;

    m.lease = lease->number;
    m.job = lease->job;
    m.task = lease->task;
    m.team = lease->team;
    m.cpu_ms = lease->cpu_ms;
    m.memory_mib_s = lease->memory_mib_s;
    m.accelerator_ms = lease->accelerator_ms;
    m.ended_ms = lease->ended_ms;
    append(w, STATE__SNAP_RECORD__ITEM_LEASE, &m);
}

/* In the order of jobs and tasks, because the order in the table of leases
 * is another one after a snapshot. */
static void
encode_live_leases(struct writer *w, const struct state *s)
{
    uint64_t at = 0;
    const struct job *job;

    while ((job = numtab_after(&s->jobs, at)) != NULL) {
        at = job->pub.number;
        for (uint32_t i = 0; job->pub.placed > 0 && i < job->pub.spec.tasks;
             i++) {
            if (job->tasks[i].state == STATE_TASK_PLACED) {
                encode_lease(w, lease_by_number(s, job->tasks[i].lease));
            }
        }
    }
}

/* Ended leases come first, in the order in which they will be dropped. */
static void
encode_leases(struct writer *w, const struct state *s)
{
    const struct lease *lease;

    for (lease = s->ended_lease_first; lease != NULL; lease = lease->next) {
        encode_lease(w, lease);
    }
    encode_live_leases(w, s);
}

static void
encode_usage(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct state_usage *row;

    while ((row = map_next(s->usage, &cursor)) != NULL) {
        State__SnapUsage m = STATE__SNAP_USAGE__INIT;
        m.team = row->team;
        m.month = row->month;
        m.cpu_ms = row->cpu_ms;
        m.memory_mib_s = row->memory_mib_s;
        m.accelerator_ms = row->accelerator_ms;
        append(w, STATE__SNAP_RECORD__ITEM_USAGE, &m);
    }
}

static void
encode_requests(struct writer *w, const struct state *s)
{
    void *cursor = NULL;
    const struct request *r;

    while ((r = map_next(s->requests, &cursor)) != NULL) {
        State__SnapRequest m = STATE__SNAP_REQUEST__INIT;
        State__Response response = STATE__RESPONSE__INIT;
        m.number = r->pub.number;
        m.attempt = r->pub.attempt;
        m.team = r->pub.team;
        m.state = r->pub.state;
        m.key = proto_bin(r->pub.key);
        m.entry = proto_bin(r->pub.entry);
        m.digest = proto_bin(str_from(r->pub.digest, STATE_DIGEST_BYTES));
        m.begun_ms = r->pub.begun_ms;
        m.timeout_ms = r->pub.timeout_ms;
        if (r->pub.stored) {
            m.store_seq = r->store_seq;
            response.status = r->pub.response.status;
            response.headers = proto_bin(r->pub.response.headers);
            response.body = proto_bin(r->pub.response.body);
            m.response = &response;
        }
        append(w, STATE__SNAP_RECORD__ITEM_REQUEST, &m);
    }
}

void
state_encode(const struct state *s, struct buf *out)
{
    struct writer w = {.out = out};
    State__SnapEnd end = STATE__SNAP_END__INIT;

    encode_header(&w, s);
    encode_teams(&w, s);
    encode_keys(&w, s);
    encode_history(&w, s);
    encode_audit(&w, s);
    encode_operators(&w, s);
    encode_vms(&w, s);
    encode_workers(&w, s);
    encode_jobs(&w, s);
    encode_leases(&w, s);
    encode_usage(&w, s);
    encode_requests(&w, s);
    end.records = w.records;
    append(&w, STATE__SNAP_RECORD__ITEM_END, &end);
}
