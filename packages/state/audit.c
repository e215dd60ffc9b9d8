#include <string.h>

#include "mem.h"
#include "state_impl.h"

static size_t
audit_slot(const struct state *s, size_t i)
{
    return (s->audit_first + i) % s->audit_cap;
}

/* Doubles the ring buffer's capacity, up to STATE_AUDIT_MAX. */
static void
audit_grow(struct state *s)
{
    size_t cap = s->audit_cap == 0 ? 64 : s->audit_cap * 2;
    struct state_audit *grown;

    if (cap > STATE_AUDIT_MAX) {
        cap = STATE_AUDIT_MAX;
    }
    grown = mem_zalloc(cap, sizeof(*grown));
    for (size_t i = 0; i < s->audit_count; i++) {
        grown[i] = s->audit[audit_slot(s, i)];
    }
    mem_free(s->audit);
    s->audit = grown;
    s->audit_cap = cap;
    s->audit_first = 0;
}

/* Appends an entry with this sequence number and all else 0. */
struct state_audit *
audit_push(struct state *s, uint64_t seq)
{
    struct state_audit *entry;

    if (s->audit_count == s->audit_cap && s->audit_cap < STATE_AUDIT_MAX) {
        audit_grow(s);
    }
    if (s->audit_count == s->audit_cap) {
        snapshot_save_oldest_audit(s);
        s->audit_first = (s->audit_first + 1) % s->audit_cap;
        s->audit_count--;
    }
    entry = &s->audit[audit_slot(s, s->audit_count)];
    str_free(&entry->object);
    *entry = (struct state_audit){.seq = seq};
    s->audit_count++;
    s->audit_last = seq;
    return entry;
}

static enum state_reason
result_reason(const struct state_result *r)
{
    switch (r->kind) {
    case STATE_CONFLICT:
        return r->u.conflict.reason;
    case STATE_NOT_FOUND:
        return r->u.not_found.reason;
    case STATE_INVALID:
        return r->u.invalid.reason;
    case STATE_APPLIED:
    case STATE_DUPLICATE:
        break;
    }
    return STATE_REASON_NONE;
}

void
audit_append(struct apply *a)
{
    struct state_audit *entry = audit_push(a->s, a->s->audit_last + 1);

    entry->wall_ms = a->cmd->wall_ms;
    entry->key_id = a->cmd->key_id;
    entry->action = a->result->command;
    entry->outcome = a->result->kind;
    entry->reason = result_reason(a->result);
    entry->old_version = a->old_version;
    entry->new_version = a->new_version;
    if (a->object.len > 0) {
        entry->object = str_dup(a->object);
    }
}

uint64_t
state_audit_first(const struct state *s)
{
    return s->audit_last - s->audit_count + 1;
}

uint64_t
state_audit_last(const struct state *s)
{
    return s->audit_last;
}

const struct state_audit *
state_audit(const struct state *s, uint64_t seq)
{
    if (seq < state_audit_first(s) || seq > s->audit_last) {
        return NULL;
    }
    return &s->audit[audit_slot(s, (size_t)(seq - state_audit_first(s)))];
}

static void
append_scope(const struct apply *a, struct buf *out)
{
    uint64_t id = a->cmd->key_id;

    buf_append(out, &id, sizeof(id));
    buf_append_str(out, proto_str(a->cmd->idempotency_key));
}

/* Reads the request's digest; a missing one is read as all zeros. */
static void
read_request_digest(const struct apply *a, uint8_t digest[STATE_DIGEST_BYTES])
{
    static const uint8_t zeros[STATE_DIGEST_BYTES];

    if (!proto_digest(a->cmd->request_digest, digest)) {
        memcpy(digest, zeros, sizeof(zeros));
    }
}

bool
operator_result_replay(struct apply *a)
{
    uint8_t digest[STATE_DIGEST_BYTES];
    const struct operator_result *record;
    struct buf scope = {0};

    if (a->cmd->idempotency_key.len == 0) {
        return false;
    }
    append_scope(a, &scope);
    record = map_get(a->s->operator_results, buf_str(&scope));
    buf_free(&scope);
    if (record == NULL) {
        return false;
    }
    read_request_digest(a, digest);
    if (memcmp(digest, record->digest, sizeof(digest)) != 0) {
        result_conflict(a, 0, STATE_REASON_REQUEST_MISMATCH);
        return true;
    }
    result_duplicate(a, &record->first);
    return true;
}

static struct state_first_result
result_summary(const struct state_result *r)
{
    struct state_first_result first = {.kind = r->kind,
                                       .reason = result_reason(r)};

    if (r->kind == STATE_APPLIED) {
        first.version = r->u.applied.version;
        first.number = r->u.applied.number;
    }
    if (r->kind == STATE_CONFLICT) {
        first.version = r->u.conflict.version;
    }
    return first;
}

void
operator_result_insert(struct state *s, const struct operator_result *from)
{
    struct operator_result *record = mem_alloc(sizeof(*record));

    *record = *from;
    record->scope = str_dup(from->scope);
    map_put(s->operator_results, record->scope, record);
}

void
operator_result_record(struct apply *a)
{
    struct operator_result record = {.wall_ms = a->s->wall_ms,
                                     .first = result_summary(a->result)};
    struct buf scope = {0};

    if (a->cmd->idempotency_key.len == 0) {
        return;
    }
    append_scope(a, &scope);
    record.scope = buf_str(&scope);
    read_request_digest(a, record.digest);
    operator_result_insert(a->s, &record);
    buf_free(&scope);
}

void
operator_result_free(struct operator_result *record)
{
    str_free(&record->scope);
    mem_free(record);
}

void
operator_results_expire(struct state *s)
{
    for (int i = 0; i < EXPIRE_BATCH; i++) {
        void *cursor = NULL;
        struct operator_result *oldest =
            map_next(s->operator_results, &cursor);
        if (oldest == NULL) {
            return;
        }
        if (map_count(s->operator_results) <= STATE_OPERATOR_RESULTS_MAX &&
            s->wall_ms - oldest->wall_ms < STATE_OPERATOR_RESULT_KEEP_MS) {
            return;
        }
        snapshot_save_oldest_operator(s, oldest);
        map_del(s->operator_results, oldest->scope);
        operator_result_free(oldest);
    }
}
