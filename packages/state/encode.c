#include "mem.h"
#include "snapshot.h"
#include "state_impl.h"

void
encode_record(struct writer *w, State__SnapRecord__ItemCase item,
              void *message)
{
    State__SnapRecord record = STATE__SNAP_RECORD__INIT;
    size_t at = w->out->len;
    size_t len;

    record.item_case = item;
    /* All members of the union are pointers to a message, so that any of them
     * can be set. */
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

/* The storage that the header message points to. */
struct header_storage {
    State__Member *members;
    State__Member **member_ptrs;
    uint32_t *team_order;
    uint32_t *limit_order;
    State__Settings settings;
    State__Limit limit;
};

static void
fill_lists(const struct state *s, State__SnapHeader *h,
           struct header_storage *storage)
{
    storage->members =
        mem_zalloc(s->member_count + 1, sizeof(*storage->members));
    storage->member_ptrs =
        mem_zalloc(s->member_count + 1, sizeof(State__Member *));
    storage->team_order = mem_zalloc(s->team_count + 1, sizeof(uint32_t));
    storage->limit_order = mem_zalloc(s->limit_count + 1, sizeof(uint32_t));
    for (size_t i = 0; i < s->member_count; i++) {
        state__member__init(&storage->members[i]);
        storage->members[i].member_id = s->members[i].member_id;
        storage->members[i].vm = proto_bin(s->members[i].vm);
        storage->members[i].address = proto_bin(s->members[i].address);
        storage->member_ptrs[i] = &storage->members[i];
    }
    for (size_t i = 0; i < s->team_count; i++) {
        storage->team_order[i] = s->team_order[i]->pub.number;
    }
    for (size_t i = 0; i < s->limit_count; i++) {
        storage->limit_order[i] = s->limits[i].team;
    }
    h->n_members = s->member_count;
    h->members = storage->member_ptrs;
    h->n_team_order = s->team_count;
    h->team_order = storage->team_order;
    h->n_limit_order = s->limit_count;
    h->limit_order = storage->limit_order;
}

static void
fill_settings(const struct state *s, State__SnapHeader *h,
              struct header_storage *storage)
{
    state__settings__init(&storage->settings);
    proto_limit_write(&storage->limit, &s->settings.default_limit);
    storage->settings.default_limit = &storage->limit;
    storage->settings.request_keep_ms = s->settings.request_keep_ms;
    storage->settings.request_max = s->settings.request_max;
    storage->settings.request_bytes_max = s->settings.request_bytes_max;
    h->settings = &storage->settings;
}

void
encode_header(struct writer *w, const struct state *s)
{
    State__SnapHeader h = STATE__SNAP_HEADER__INIT;
    struct header_storage storage;

    fill_lists(s, &h, &storage);
    fill_settings(s, &h, &storage);
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
    encode_record(w, STATE__SNAP_RECORD__ITEM_HEADER, &h);
    mem_free(storage.members);
    mem_free((void *)storage.member_ptrs);
    mem_free(storage.team_order);
    mem_free(storage.limit_order);
}

static void
encode_team(struct writer *w, const struct team *team)
{
    State__SnapTeam m = STATE__SNAP_TEAM__INIT;
    State__Limit limit;

    m.number = team->pub.number;
    m.weight = team->pub.weight;
    m.name = proto_bin(team->pub.name);
    m.removed = team->pub.removed;
    if (team->has_limit) {
        proto_limit_write(&limit, &team->limit);
        m.limit = &limit;
    }
    encode_record(w, STATE__SNAP_RECORD__ITEM_TEAM, &m);
}

static void
encode_key(struct writer *w, const struct state_key *key)
{
    State__SnapKey m = STATE__SNAP_KEY__INIT;

    m.id = key->id;
    m.kind = key->kind;
    m.team = key->team;
    m.hash = proto_bin(str_from(key->hash, STATE_HASH_BYTES));
    m.created_ms = key->created_ms;
    m.withdrawn_ms = key->withdrawn_ms;
    encode_record(w, STATE__SNAP_RECORD__ITEM_KEY, &m);
}

void
encode_change(struct writer *w, const struct change *change)
{
    State__SnapChange m = STATE__SNAP_CHANGE__INIT;

    m.version = change->version;
    m.change = proto_bin(change->bytes);
    encode_record(w, STATE__SNAP_RECORD__ITEM_CHANGE, &m);
}

void
encode_audit(struct writer *w, const struct state_audit *entry)
{
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
    encode_record(w, STATE__SNAP_RECORD__ITEM_AUDIT, &m);
}

static void
encode_operator(struct writer *w, const struct operator_result *record)
{
    State__SnapOperator m = STATE__SNAP_OPERATOR__INIT;

    m.scope = proto_bin(record->scope);
    m.digest = proto_bin(str_from(record->digest, STATE_DIGEST_BYTES));
    m.wall_ms = record->wall_ms;
    m.kind = record->first.kind;
    m.version = record->first.version;
    m.number = record->first.number;
    m.reason = record->first.reason;
    encode_record(w, STATE__SNAP_RECORD__ITEM_OPERATOR, &m);
}

static void
encode_vm(struct writer *w, const struct state_vm *vm)
{
    State__SnapVm m = STATE__SNAP_VM__INIT;

    m.name = proto_bin(vm->name);
    m.failure_domain = proto_bin(vm->failure_domain);
    m.address = proto_bin(vm->address);
    m.draining = vm->draining;
    m.run = vm->run;
    m.clean_run = vm->clean_run;
    m.left = vm->left;
    m.early_ms = vm->early_ms;
    m.early_seq = vm->early_seq;
    encode_record(w, STATE__SNAP_RECORD__ITEM_VM, &m);
}

static void
encode_worker(struct writer *w, const struct state_worker *worker)
{
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
    encode_record(w, STATE__SNAP_RECORD__ITEM_WORKER, &m);
}

static void
encode_usage(struct writer *w, const struct state_usage *row)
{
    State__SnapUsage m = STATE__SNAP_USAGE__INIT;

    m.team = row->team;
    m.month = row->month;
    m.cpu_ms = row->cpu_ms;
    m.memory_mib_s = row->memory_mib_s;
    m.accelerator_ms = row->accelerator_ms;
    encode_record(w, STATE__SNAP_RECORD__ITEM_USAGE, &m);
}

void
encode_table_record(struct writer *w, enum snap_part part, const void *record)
{
    switch (part) {
    case SNAP_TEAMS:
        encode_team(w, record);
        break;
    case SNAP_KEYS:
        encode_key(w, record);
        break;
    case SNAP_OPERATORS:
        encode_operator(w, record);
        break;
    case SNAP_VMS:
        encode_vm(w, record);
        break;
    case SNAP_WORKERS:
        encode_worker(w, record);
        break;
    case SNAP_USAGE:
        encode_usage(w, record);
        break;
    case SNAP_REQUESTS:
        encode_request(w, record);
        break;
    default:
        break;
    }
}

static void
encode_map(struct writer *w, enum snap_part part, const struct map *table)
{
    void *cursor = NULL;
    const void *record;

    while ((record = map_next(table, &cursor)) != NULL) {
        encode_table_record(w, part, record);
    }
}

static void
encode_history(struct writer *w, const struct state *s)
{
    for (size_t i = 0; i < s->history_count; i++) {
        encode_change(w,
                      &s->history[(s->history_first + i) % STATE_HISTORY_MAX]);
    }
}

static void
encode_audit_trail(struct writer *w, const struct state *s)
{
    for (size_t i = 0; i < s->audit_count; i++) {
        encode_audit(w, &s->audit[(s->audit_first + i) % s->audit_cap]);
    }
}

/* Ended leases come first, in the order in which they will be dropped. Live
 * ones follow in the order of jobs and tasks: the order in the table of leases
 * differs on a replica that started from a snapshot, and the bytes must not.
 */
static void
encode_jobs(struct writer *w, const struct state *s)
{
    const struct job *job;
    uint64_t number = 0;

    while ((job = numtab_after(&s->jobs, number)) != NULL) {
        number = job->pub.number;
        encode_job(w, job);
    }
    for (const struct lease *l = s->ended_lease_first; l != NULL;
         l = l->next) {
        encode_lease(w, l);
    }
    number = 0;
    while ((job = numtab_after(&s->jobs, number)) != NULL) {
        number = job->pub.number;
        encode_live_leases(w, s, job);
    }
}

void
encode_end(struct writer *w)
{
    State__SnapEnd end = STATE__SNAP_END__INIT;

    end.records = w->records;
    encode_record(w, STATE__SNAP_RECORD__ITEM_END, &end);
}

void
state_encode(const struct state *s, struct buf *out)
{
    struct writer w = {.out = out};

    encode_header(&w, s);
    encode_map(&w, SNAP_TEAMS, s->teams);
    encode_map(&w, SNAP_KEYS, s->keys);
    encode_history(&w, s);
    encode_audit_trail(&w, s);
    encode_map(&w, SNAP_OPERATORS, s->operator_results);
    encode_map(&w, SNAP_VMS, s->vms);
    encode_map(&w, SNAP_WORKERS, s->workers);
    encode_jobs(&w, s);
    encode_map(&w, SNAP_USAGE, s->usage);
    encode_map(&w, SNAP_REQUESTS, s->requests);
    encode_end(&w);
}
