/*
 * An incremental snapshot, encoded in steps between commands. Each part has a
 * position: records before it are encoded, records from it on are as they were
 * when the snapshot began or have a saved copy. Code that is about to change
 * or remove a record calls snapshot_save_*, which encodes the record, or all
 * that is left of a small table, before the change. Records that are added
 * after the beginning lie behind the part's end.
 */
#include "incremental.h"
#include "mem.h"

enum {
    /* A new chunk begins once the last one has this length. Its buffer has a
     * capacity of 256 KiB by then, which a record of the usual size that was
     * begun just below the limit does not exceed. */
    CHUNK_BYTES = 240 * 1024,
};

struct writer *
part_writer(struct part *p)
{
    if (p->chunk_count == 0 ||
        p->chunks[p->chunk_count - 1].len >= CHUNK_BYTES) {
        if (p->chunk_count == p->chunk_cap) {
            p->chunk_cap = p->chunk_cap == 0 ? 4 : p->chunk_cap * 2;
            p->chunks =
                mem_realloc(p->chunks, p->chunk_cap, sizeof(*p->chunks));
        }
        p->chunks[p->chunk_count++] = (struct buf){0};
    }
    p->writer.out = &p->chunks[p->chunk_count - 1];
    return &p->writer;
}

/* ---- audit trail: a ring buffer that overwrites its oldest entry ---- */

static void
encode_next_audit(const struct state *s, struct snapshot *snap)
{
    struct part *p = &snap->parts[SNAP_AUDIT];
    struct writer *w = part_writer(p);
    size_t before = w->out->len;

    encode_audit(w, state_audit(s, snap->audit_next++));
    snap->bytes += w->out->len - before;
    p->remaining--;
}

void
snapshot_save_oldest_audit(struct state *s)
{
    struct snapshot *snap = s->snapshot;

    if (snap != NULL && snap->parts[SNAP_AUDIT].remaining > 0 &&
        snap->audit_next == state_audit_first(s)) {
        encode_next_audit(s, snap);
    }
}

/* ---- the other tables ---- */

static void
encode_next_change(const struct state *s, struct snapshot *snap)
{
    struct part *p = &snap->parts[SNAP_HISTORY];
    struct writer *w = part_writer(p);
    size_t i = s->history_count - p->remaining;
    size_t before = w->out->len;

    encode_change(w, &s->history[(s->history_first + i) % STATE_HISTORY_MAX]);
    snap->bytes += w->out->len - before;
    p->remaining--;
}

static const struct map *
part_table(const struct state *s, enum snap_part part)
{
    switch (part) {
    case SNAP_TEAMS:
        return s->teams;
    case SNAP_KEYS:
        return s->keys;
    case SNAP_OPERATORS:
        return s->operator_results;
    case SNAP_VMS:
        return s->vms;
    case SNAP_WORKERS:
        return s->workers;
    case SNAP_USAGE:
        return s->usage;
    default:
        return NULL;
    }
}

static void
encode_next_table_record(const struct state *s, struct snapshot *snap,
                         enum snap_part part)
{
    struct part *p = &snap->parts[part];
    struct writer *w = part_writer(p);
    size_t before = w->out->len;

    encode_table_record(w, part, p->next);
    snap->bytes += w->out->len - before;
    p->remaining--;
    p->next =
        p->remaining == 0 ? NULL : map_next(part_table(s, part), &p->cursor);
}

void
snapshot_save_oldest_operator(struct state *s,
                              const struct operator_result *record)
{
    struct snapshot *snap = s->snapshot;

    if (snap != NULL && snap->parts[SNAP_OPERATORS].next == record) {
        encode_next_table_record(s, snap, SNAP_OPERATORS);
    }
}

static void
encode_next_record(const struct state *s, struct snapshot *snap,
                   enum snap_part part)
{
    switch (part) {
    case SNAP_JOBS:
        encode_next_job(s, snap);
        break;
    case SNAP_ENDED_LEASES:
        encode_next_lease(snap);
        break;
    case SNAP_REQUESTS:
        encode_next_request(s, snap);
        break;
    case SNAP_AUDIT:
        encode_next_audit(s, snap);
        break;
    case SNAP_HISTORY:
        encode_next_change(s, snap);
        break;
    default:
        encode_next_table_record(s, snap, part);
        break;
    }
}

void
snapshot_save_table(struct state *s, enum snap_part part)
{
    struct snapshot *snap = s->snapshot;

    while (snap != NULL && snap->parts[part].remaining > 0) {
        encode_next_record(s, snap, part);
    }
}

void
snapshot_save_all(struct state *s)
{
    if (s->snapshot != NULL) {
        state_snapshot_step(s, SIZE_MAX);
    }
}

/* ---- the whole snapshot ---- */

static void
init_table_parts(const struct state *s, struct snapshot *snap)
{
    for (int i = 0; i < SNAP_PARTS; i++) {
        const struct map *table = part_table(s, (enum snap_part)i);

        if (table != NULL) {
            snap->parts[i].remaining = map_count(table);
            snap->parts[i].next = map_next(table, &snap->parts[i].cursor);
        }
    }
}

static void
init_record_parts(const struct state *s, struct snapshot *snap)
{
    struct part *p = &snap->parts[SNAP_JOBS];

    p->next = numtab_after(&s->jobs, 0);
    p->remaining = p->next != NULL;
    snap->job_limit = s->next_job;
    p = &snap->parts[SNAP_REQUESTS];
    p->next = map_next(s->requests, &p->cursor);
    p->remaining = p->next != NULL;
    snap->request_limit = s->next_request;
    p = &snap->parts[SNAP_ENDED_LEASES];
    p->next = s->ended_lease_first;
    p->remaining = s->ended_lease_count;
    snap->parts[SNAP_AUDIT].remaining = s->audit_count;
    snap->audit_next = state_audit_first(s);
    snap->parts[SNAP_HISTORY].remaining = s->history_count;
}

void
state_snapshot_begin(struct state *s)
{
    struct snapshot *snap = mem_zalloc(1, sizeof(*snap));

    state_snapshot_abort(s);
    s->snapshot = snap;
    s->snapshot_id++;
    snap->saved_leases = map_create();
    encode_header(part_writer(&snap->parts[SNAP_HEADER]), s);
    init_table_parts(s, snap);
    init_record_parts(s, snap);
}

bool
state_snapshot_step(struct state *s, size_t bytes)
{
    /* Tables that any change causes to be encoded as a whole come first, so
     * that fewer commands have to do so. */
    static const enum snap_part order[] = {
        SNAP_USAGE,     SNAP_WORKERS, SNAP_KEYS,    SNAP_TEAMS,
        SNAP_VMS,       SNAP_HISTORY, SNAP_JOBS,    SNAP_ENDED_LEASES,
        SNAP_OPERATORS, SNAP_AUDIT,   SNAP_REQUESTS};
    struct snapshot *snap = s->snapshot;
    size_t start = snap->bytes;

    for (size_t i = 0; i < sizeof(order) / sizeof(order[0]); i++) {
        while (snap->parts[order[i]].remaining > 0) {
            if (snap->bytes - start >= bytes) {
                return false;
            }
            encode_next_record(s, snap, order[i]);
        }
    }
    return true;
}

void
state_snapshot_take(struct state *s, struct state_chunks *out)
{
    struct snapshot *snap = s->snapshot;
    struct writer *end = part_writer(&snap->parts[SNAP_END]);
    size_t count = 0;

    for (int i = 0; i < SNAP_PARTS; i++) {
        count += snap->parts[i].chunk_count;
        if (i != SNAP_END) {
            end->records += snap->parts[i].writer.records;
        }
    }
    encode_end(end);
    out->list = mem_alloc(count * sizeof(*out->list));
    out->count = 0;
    for (int i = 0; i < SNAP_PARTS; i++) {
        for (size_t c = 0; c < snap->parts[i].chunk_count; c++) {
            out->list[out->count++] = snap->parts[i].chunks[c];
        }
        snap->parts[i].chunk_count = 0;
    }
    state_snapshot_abort(s);
}

static void
saved_records_free(struct heap *heap)
{
    struct heap_node *node;

    while ((node = heap_pop(heap)) != NULL) {
        saved_record_free((struct saved_record *)node);
    }
    heap_free(heap);
}

void
state_snapshot_abort(struct state *s)
{
    struct snapshot *snap = s->snapshot;
    void *cursor = NULL;
    struct saved_record *saved;

    if (snap == NULL) {
        return;
    }
    for (int i = 0; i < SNAP_PARTS; i++) {
        for (size_t c = 0; c < snap->parts[i].chunk_count; c++) {
            buf_free(&snap->parts[i].chunks[c]);
        }
        mem_free(snap->parts[i].chunks);
    }
    saved_records_free(&snap->saved_jobs);
    saved_records_free(&snap->saved_requests);
    while ((saved = map_next(snap->saved_leases, &cursor)) != NULL) {
        saved_record_free(saved);
    }
    map_destroy(snap->saved_leases);
    mem_free(snap);
    s->snapshot = NULL;
}

void
state_chunks_free(struct state_chunks *chunks)
{
    for (size_t i = 0; i < chunks->count; i++) {
        buf_free(&chunks->list[i]);
    }
    mem_free(chunks->list);
    *chunks = (struct state_chunks){0};
}
