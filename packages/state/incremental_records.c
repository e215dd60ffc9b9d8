/*
 * Jobs, requests and ended leases of the snapshot in progress. A record that
 * changes before its turn is encoded at once; the copy is appended in its
 * turn.
 */
#include "incremental.h"
#include "mem.h"

static void
append_saved(struct snapshot *snap, enum snap_part part,
             const struct buf *from, uint64_t records)
{
    struct writer *w = part_writer(&snap->parts[part]);

    buf_append_str(w->out, buf_str(from));
    w->records += records;
    snap->bytes += from->len;
}

void
saved_record_free(struct saved_record *saved)
{
    buf_free(&saved->record);
    buf_free(&saved->leases);
    mem_free(saved);
}

/* Appends the saved records up to number; returns whether number was one of
 * them. */
static bool
append_saved_up_to(struct snapshot *snap, enum snap_part part,
                   struct heap *heap, uint64_t number)
{
    struct heap_node *node;
    bool found = false;

    while ((node = heap_min(heap)) != NULL && node->seq <= number) {
        struct saved_record *saved = (struct saved_record *)heap_pop(heap);

        found = node->seq == number;
        append_saved(snap, part, &saved->record, 1);
        append_saved(snap, SNAP_LIVE_LEASES, &saved->leases,
                     saved->lease_count);
        saved_record_free(saved);
    }
    return found;
}

static struct saved_record *
add_saved(struct heap *heap, uint64_t number)
{
    struct saved_record *saved = mem_zalloc(1, sizeof(*saved));

    saved->node.key = (int64_t)number;
    saved->node.seq = number;
    heap_insert(heap, &saved->node);
    return saved;
}

/* ---- jobs with the leases of their placed tasks ---- */

void
encode_next_job(const struct state *s, struct snapshot *snap)
{
    struct part *p = &snap->parts[SNAP_JOBS];
    const struct job *job = p->next;
    uint64_t number = job == NULL ? UINT64_MAX : job->pub.number;

    if (!append_saved_up_to(snap, SNAP_JOBS, &snap->saved_jobs, number) &&
        job != NULL) {
        struct writer *w = part_writer(p);
        struct writer *l = part_writer(&snap->parts[SNAP_LIVE_LEASES]);
        size_t before = w->out->len + l->out->len;

        encode_job(w, job);
        encode_live_leases(l, s, job);
        snap->bytes += w->out->len + l->out->len - before;
    }
    p->next = job == NULL ? NULL : numtab_after(&s->jobs, number);
    job = p->next;
    if (job != NULL && job->pub.number >= snap->job_limit) {
        p->next = NULL;
    }
    p->remaining = p->next != NULL || snap->saved_jobs.count > 0;
}

void
snapshot_save_job(struct state *s, struct job *job)
{
    struct snapshot *snap = s->snapshot;
    const struct job *next;
    struct writer record = {0};
    struct writer leases = {0};
    struct saved_record *saved;

    if (snap == NULL || job->pub.number >= snap->job_limit) {
        return;
    }
    next = snap->parts[SNAP_JOBS].next;
    if (next == NULL || job->pub.number < next->pub.number) {
        return;
    }
    /* Advance the position, because the caller may free the job. */
    if (job == next) {
        encode_next_job(s, snap);
        return;
    }
    if (job->saved_in == s->snapshot_id) {
        return;
    }
    job->saved_in = s->snapshot_id;
    saved = add_saved(&snap->saved_jobs, job->pub.number);
    record.out = &saved->record;
    leases.out = &saved->leases;
    encode_job(&record, job);
    encode_live_leases(&leases, s, job);
    saved->lease_count = leases.records;
}

/* ---- requests ---- */

void
encode_next_request(const struct state *s, struct snapshot *snap)
{
    struct part *p = &snap->parts[SNAP_REQUESTS];
    struct request *r = p->next;
    uint64_t number = r == NULL ? UINT64_MAX : r->pub.number;

    if (!append_saved_up_to(snap, SNAP_REQUESTS, &snap->saved_requests,
                            number) &&
        r != NULL) {
        struct writer *w = part_writer(p);
        size_t before = w->out->len;

        encode_request(w, r);
        snap->bytes += w->out->len - before;
    }
    r = r == NULL ? NULL : request_after(s, r);
    p->next = r != NULL && r->pub.number < snap->request_limit ? r : NULL;
    p->remaining = p->next != NULL || snap->saved_requests.count > 0;
}

void
snapshot_save_request(struct state *s, struct request *r)
{
    struct snapshot *snap = s->snapshot;
    const struct request *next;
    struct saved_record *saved;

    if (snap == NULL || r->pub.number >= snap->request_limit) {
        return;
    }
    next = snap->parts[SNAP_REQUESTS].next;
    if (next == NULL || r->pub.number < next->pub.number) {
        return;
    }
    if (r == next) {
        encode_next_request(s, snap);
        return;
    }
    if (r->saved_in == s->snapshot_id) {
        return;
    }
    r->saved_in = s->snapshot_id;
    saved = add_saved(&snap->saved_requests, r->pub.number);
    encode_request(&(struct writer){.out = &saved->record}, r);
}

/* ---- ended leases: removed at the front, changed by late usage ---- */

void
encode_next_lease(struct snapshot *snap)
{
    struct part *p = &snap->parts[SNAP_ENDED_LEASES];
    struct lease *lease = p->next;
    struct saved_record *saved =
        map_del_u64(snap->saved_leases, lease->number);

    if (saved != NULL) {
        append_saved(snap, SNAP_ENDED_LEASES, &saved->record, 1);
        saved_record_free(saved);
    }
    else {
        struct writer *w = part_writer(p);
        size_t before = w->out->len;

        encode_lease(w, lease);
        snap->bytes += w->out->len - before;
    }
    p->next = lease->next;
    p->remaining--;
}

void
snapshot_save_lease(struct state *s, struct lease *lease)
{
    struct snapshot *snap = s->snapshot;
    struct saved_record *saved;

    if (snap == NULL) {
        return;
    }
    if (lease->ended_ms < 0) {
        snapshot_save_job(s, job_by_number(s, lease->job));
        return;
    }
    if (snap->parts[SNAP_ENDED_LEASES].remaining == 0 ||
        map_get_u64(snap->saved_leases, lease->number) != NULL) {
        return;
    }
    saved = mem_zalloc(1, sizeof(*saved));
    encode_lease(&(struct writer){.out = &saved->record}, lease);
    map_put_u64(snap->saved_leases, lease->number, saved);
}

void
snapshot_save_oldest_lease(struct state *s, const struct lease *lease)
{
    struct snapshot *snap = s->snapshot;

    if (snap != NULL && snap->parts[SNAP_ENDED_LEASES].remaining > 0 &&
        snap->parts[SNAP_ENDED_LEASES].next == lease) {
        encode_next_lease(snap);
    }
}
