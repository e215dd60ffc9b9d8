#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "snapshot.h"
#include "state_impl.h"

static uint32_t *
copy_numbers(const uint32_t *from, size_t count)
{
    uint32_t *to = mem_zalloc(count + 1, sizeof(*to));

    if (count > 0) {
        memcpy(to, from, count * sizeof(*to));
    }
    return to;
}

static void
read_counters(struct state *s, const State__SnapHeader *h)
{
    s->index = h->index;
    s->cluster_id = h->cluster_id;
    s->wall_ms = h->wall_ms;
    s->teams_version = h->teams_version;
    s->limits_version = h->limits_version;
    s->config_version = h->config_version;
    s->next_team = h->next_team;
    s->next_worker = h->next_worker;
    s->next_key = h->next_key;
    s->next_job = h->next_job;
    s->next_request = h->next_request;
    s->next_end = h->next_end;
    s->next_store = h->next_store;
    s->highest_lease = h->highest_lease;
}

static bool
decode_header(struct reader *r, const State__SnapHeader *h)
{
    if (r->records != 0 || h->format != SNAP_FORMAT || h->wall_ms < 0 ||
        h->wall_ms > WALL_MS_MAX) {
        return false;
    }
    read_counters(r->s, h);
    r->audit_last = h->audit_last;
    proto_settings_read(&r->s->settings, h->settings);
    members_set(r->s, h->members, h->n_members);
    r->team_order = copy_numbers(h->team_order, h->n_team_order);
    r->team_order_count = h->n_team_order;
    r->limit_order = copy_numbers(h->limit_order, h->n_limit_order);
    r->limit_order_count = h->n_limit_order;
    return true;
}

static bool
decode_team(struct state *s, const State__SnapTeam *m)
{
    struct str name = proto_str(m->name);
    struct team *team;

    if (!name_valid(name) || team_by_number(s, m->number) != NULL ||
        m->number >= s->next_team) {
        return false;
    }
    if (!m->removed && map_get(s->teams_by_name, name) != NULL) {
        return false;
    }
    team = team_add(s, m->number, name, m->weight);
    team->pub.removed = m->removed;
    if (!m->removed) {
        map_put(s->teams_by_name, name, team);
    }
    if (m->limit != NULL) {
        team->has_limit = true;
        team->limit = proto_limit_read(m->limit);
    }
    return true;
}

static bool
decode_key(struct state *s, const State__SnapKey *m)
{
    struct state_key key = {.id = m->id,
                            .kind = (enum state_key_kind)m->kind,
                            .team = m->team,
                            .created_ms = m->created_ms,
                            .withdrawn_ms = m->withdrawn_ms};

    if (m->hash.len != STATE_HASH_BYTES || m->id >= s->next_key ||
        map_get_u64(s->keys, m->id) != NULL) {
        return false;
    }
    memcpy(key.hash, m->hash.data, STATE_HASH_BYTES);
    if (m->withdrawn_ms == 0 &&
        map_get_u64(s->keys_by_hash, key_hash_prefix(key.hash)) != NULL) {
        return false;
    }
    key_insert(s, &key);
    return true;
}

/* Versions must be consecutive, because append_changes in config.c finds the
 * changes of a delta by counting back from the newest one. */
static bool
decode_change(struct state *s, const State__SnapChange *m)
{
    if (s->history_count > 0) {
        size_t last =
            (s->history_first + s->history_count - 1) % STATE_HISTORY_MAX;
        if (m->version != s->history[last].version + 1) {
            return false;
        }
    }
    if (m->version > s->config_version) {
        return false;
    }
    config_history_add(s, m->version, proto_str(m->change));
    return true;
}

static bool
decode_audit(struct state *s, const State__SnapAudit *m)
{
    struct state_audit *entry;

    if (m->seq == 0 || (s->audit_count > 0 && m->seq != s->audit_last + 1)) {
        return false;
    }
    entry = audit_push(s, m->seq);
    entry->wall_ms = m->wall_ms;
    entry->key_id = m->key_id;
    entry->action = (enum state_command)m->action;
    entry->outcome = (enum state_result_kind)m->outcome;
    entry->reason = (enum state_reason)m->reason;
    entry->old_version = m->old_version;
    entry->new_version = m->new_version;
    if (m->object.len > 0) {
        entry->object = str_dup(proto_str(m->object));
    }
    return true;
}

static bool
decode_operator(struct state *s, const State__SnapOperator *m)
{
    struct operator_result record = {.scope = proto_str(m->scope),
                                     .wall_ms = m->wall_ms};

    if (!proto_digest(m->digest, record.digest) ||
        map_get(s->operator_results, record.scope) != NULL) {
        return false;
    }
    record.first.kind = (enum state_result_kind)m->kind;
    record.first.version = m->version;
    record.first.number = m->number;
    record.first.reason = (enum state_reason)m->reason;
    operator_result_insert(s, &record);
    return true;
}

static bool
decode_vm(struct state *s, const State__SnapVm *m)
{
    struct state_vm vm = {.name = proto_str(m->name),
                          .failure_domain = proto_str(m->failure_domain),
                          .address = proto_str(m->address),
                          .draining = m->draining,
                          .run = m->run,
                          .clean_run = m->clean_run,
                          .left = m->left,
                          .early_ms = m->early_ms,
                          .early_seq = m->early_seq};

    if (!name_valid(vm.name) || map_get(s->vms, vm.name) != NULL) {
        return false;
    }
    vm_insert(s, &vm);
    return true;
}

static bool
decode_worker(struct state *s, const State__SnapWorker *m)
{
    struct state_worker worker = {.number = m->number,
                                  .incarnation = m->incarnation,
                                  .name = proto_str(m->name),
                                  .rack = proto_str(m->rack),
                                  .failure_domain =
                                      proto_str(m->failure_domain)};

    if (!name_valid(worker.name) || m->number >= s->next_worker ||
        map_get_u64(s->workers, m->number) != NULL ||
        map_get(s->workers_by_name, worker.name) != NULL) {
        return false;
    }
    if (m->capacity != NULL) {
        worker.capacity.cpu_milli = m->capacity->cpu_milli;
        worker.capacity.memory_mib = m->capacity->memory_mib;
        worker.capacity.accelerators = m->capacity->accelerators;
    }
    worker_insert(s, &worker);
    return true;
}

static bool
decode_usage(struct state *s, const State__SnapUsage *m)
{
    struct state_usage row = {.team = m->team,
                              .month = m->month,
                              .cpu_ms = m->cpu_ms,
                              .memory_mib_s = m->memory_mib_s,
                              .accelerator_ms = m->accelerator_ms};

    if (state_usage_get(s, m->team, m->month) != NULL) {
        return false;
    }
    usage_add(s, &row);
    return true;
}

static bool
decode_request(struct state *s, const State__SnapRequest *m)
{
    struct state_request input = {.number = m->number,
                                  .attempt = m->attempt,
                                  .team = m->team,
                                  .state = (enum state_request_state)m->state,
                                  .key = proto_str(m->key),
                                  .entry = proto_str(m->entry),
                                  .begun_ms = m->begun_ms,
                                  .timeout_ms = m->timeout_ms};
    struct request *r;

    if (!proto_digest(m->digest, input.digest) ||
        m->state < STATE_REQUEST_RUNNING || m->state > STATE_REQUEST_UNKNOWN ||
        m->number >= s->next_request ||
        state_request(s, m->team, input.key) != NULL ||
        (m->response != NULL && m->state != STATE_REQUEST_FINISHED)) {
        return false;
    }
    r = request_insert(s, &input);
    if (m->response != NULL) {
        struct state_response response = {
            .status = m->response->status,
            .headers = proto_str(m->response->headers),
            .body = proto_str(m->response->body)};
        r->store_seq = m->store_seq;
        request_store(s, r, &response);
    }
    return true;
}

static int
compare_store_seq(const void *left, const void *right)
{
    const struct request *a = *(struct request *const *)left;
    const struct request *b = *(struct request *const *)right;

    return (a->store_seq > b->store_seq) - (a->store_seq < b->store_seq);
}

/* Rebuilds the order in which stored responses are dropped. */
static void
sort_stored_responses(struct state *s)
{
    struct request **stored =
        mem_zalloc(map_count(s->requests) + 1, sizeof(struct request *));
    size_t count = 0;

    for (struct request *r = s->stored_requests.first; r != NULL;
         r = r->next) {
        stored[count++] = r;
    }
    qsort((void *)stored, count, sizeof(struct request *), compare_store_seq);
    s->stored_requests = (struct request_list){NULL, NULL};
    for (size_t i = 0; i < count; i++) {
        request_link(&s->stored_requests, stored[i]);
    }
    mem_free((void *)stored);
}

static bool
resolve_teams(struct reader *r)
{
    struct state *s = r->s;

    s->team_order = mem_zalloc(r->team_order_count + 1, sizeof(struct team *));
    for (size_t i = 0; i < r->team_order_count; i++) {
        struct team *team = team_find_live(s, r->team_order[i]);
        if (team == NULL) {
            return false;
        }
        s->team_order[s->team_count++] = team;
    }
    s->limits = mem_zalloc(r->limit_order_count + 1, sizeof(*s->limits));
    for (size_t i = 0; i < r->limit_order_count; i++) {
        struct team *team = team_find_live(s, r->limit_order[i]);
        if (team == NULL || !team->has_limit) {
            return false;
        }
        s->limits[s->limit_count].team = team->pub.number;
        s->limits[s->limit_count++].limit = team->limit;
    }
    return map_count(s->teams_by_name) == s->team_count;
}

static bool
decode_end(struct reader *r, const State__SnapEnd *m)
{
    r->ended = true;
    if (m->records != r->records || r->placed_tasks != r->live_leases ||
        r->audit_last != r->s->audit_last) {
        return false;
    }
    sort_ended_jobs(r->s);
    sort_stored_responses(r->s);
    return resolve_teams(r);
}

static bool
decode_record(struct reader *r, const State__SnapRecord *record)
{
    if (r->records == 0 &&
        record->item_case != STATE__SNAP_RECORD__ITEM_HEADER) {
        return false;
    }
    switch (record->item_case) {
    case STATE__SNAP_RECORD__ITEM_HEADER:
        return decode_header(r, record->header);
    case STATE__SNAP_RECORD__ITEM_TEAM:
        return decode_team(r->s, record->team);
    case STATE__SNAP_RECORD__ITEM_KEY:
        return decode_key(r->s, record->key);
    case STATE__SNAP_RECORD__ITEM_CHANGE:
        return decode_change(r->s, record->change);
    case STATE__SNAP_RECORD__ITEM_AUDIT:
        return decode_audit(r->s, record->audit);
    case STATE__SNAP_RECORD__ITEM_OPERATOR:
        return decode_operator(r->s, record->operator_);
    case STATE__SNAP_RECORD__ITEM_VM:
        return decode_vm(r->s, record->vm);
    case STATE__SNAP_RECORD__ITEM_WORKER:
        return decode_worker(r->s, record->worker);
    case STATE__SNAP_RECORD__ITEM_JOB:
        return decode_job(r, record->job);
    case STATE__SNAP_RECORD__ITEM_LEASE:
        return decode_lease(r, record->lease);
    case STATE__SNAP_RECORD__ITEM_USAGE:
        return decode_usage(r->s, record->usage);
    case STATE__SNAP_RECORD__ITEM_REQUEST:
        return decode_request(r->s, record->request);
    case STATE__SNAP_RECORD__ITEM_END:
        return decode_end(r, record->end);
    default:
        return false;
    }
}

static bool
read_record(struct str *bytes, struct str *record)
{
    size_t len = 0;

    if (bytes->len < SNAP_LENGTH_BYTES) {
        return false;
    }
    for (int i = 0; i < SNAP_LENGTH_BYTES; i++) {
        len = len << 8 | (unsigned char)bytes->ptr[i];
    }
    if (len > bytes->len - SNAP_LENGTH_BYTES) {
        return false;
    }
    *record = str_from(bytes->ptr + SNAP_LENGTH_BYTES, len);
    *bytes = str_from(record->ptr + len, bytes->len - SNAP_LENGTH_BYTES - len);
    return true;
}

static bool
decode_all(struct reader *r, struct str bytes)
{
    while (bytes.len > 0) {
        State__SnapRecord *record;
        struct str packed;
        bool ok;
        if (r->ended || !read_record(&bytes, &packed)) {
            return false;
        }
        record = state__snap_record__unpack(NULL, packed.len,
                                            (const uint8_t *)packed.ptr);
        ok = record != NULL && decode_record(r, record);
        if (record != NULL) {
            state__snap_record__free_unpacked(record, NULL);
        }
        if (!ok) {
            return false;
        }
        r->records++;
    }
    return r->ended;
}

struct state *
state_decode(struct str bytes)
{
    struct reader r = {.s = state_create()};
    bool ok = decode_all(&r, bytes);

    mem_free(r.team_order);
    mem_free(r.limit_order);
    if (!ok) {
        state_destroy(r.s);
        return NULL;
    }
    return r.s;
}
