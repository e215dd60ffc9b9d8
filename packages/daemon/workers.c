/*
 * Workers' sessions on the leader.
 */
#include "mem.h"
#include "workers_impl.h"

static struct worker_session *
session_create(struct leader *l, const struct state_worker *worker)
{
    struct worker_session *w = mem_zalloc(1, sizeof(*w));

    w->number = worker->number;
    w->name = str_dup(worker->name);
    w->incarnation = worker->incarnation;
    w->expiry.seq = worker->number;
    w->hold_end.seq = worker->number;
    map_put_u64(l->workers, worker->number, w);
    return w;
}

struct worker_session *
worker_session_get(struct leader *l, uint32_t number)
{
    struct worker_session *w = map_get_u64(l->workers, number);
    const struct state_worker *worker;

    if (w != NULL) {
        return w;
    }
    worker = state_worker(leader_state(l), number);
    return session_create(l, worker);
}

/* The previous leader may have renewed the leases just now. */
void
workers_create(struct leader *l)
{
    const struct state_worker *worker;
    void *cursor = NULL;

    l->workers = map_create();
    while ((worker = state_worker_next(leader_state(l), &cursor)) != NULL) {
        struct worker_session *w = session_create(l, worker);

        w->expiry.key =
            leader_lease_end(l, l->control->settings->worker_lease_ms);
        heap_insert(&l->worker_expiry, &w->expiry);
    }
}

void
worker_add_old_incarnation(struct leader *l, struct worker_session *w,
                           uint64_t incarnation, int64_t expiry)
{
    struct old_incarnation *o = mem_zalloc(1, sizeof(*o));

    o->worker = w;
    o->incarnation = incarnation;
    o->expiry.key = expiry;
    heap_insert(&l->old_incarnations, &o->expiry);
}

void
worker_restore_incarnation(struct leader *l, uint32_t worker,
                           uint64_t incarnation)
{
    struct worker_session *w = worker_session_get(l, worker);

    if (incarnation == w->incarnation) {
        return;
    }
    for (const struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->incarnation == incarnation) {
            return;
        }
    }
    worker_add_old_incarnation(
        l, w, incarnation,
        leader_lease_end(l, l->control->settings->worker_lease_ms));
}

void
workers_destroy(struct leader *l)
{
    struct worker_session *w;
    struct heap_node *n;
    void *cursor = NULL;

    while ((n = heap_pop(&l->old_incarnations)) != NULL) {
        mem_free(OLD_INCARNATION_OF(n));
    }
    while ((w = map_next(l->workers, &cursor)) != NULL) {
        str_free(&w->name);
        mem_free(w->acks);
        mem_free(w->stops);
        mem_free(w);
    }
    map_destroy(l->workers);
    heap_free(&l->worker_expiry);
    heap_free(&l->held_syncs);
    heap_free(&l->old_incarnations);
}

void
worker_queue_answer(struct leader *l, struct worker_session *w)
{
    if (w->answer_queued || w->held_call == NULL) {
        return;
    }
    w->answer_queued = true;
    w->answer_next = l->answer_queue;
    l->answer_queue = w;
}

static void
append(uint64_t **list, size_t *count, size_t *cap, uint64_t value)
{
    if (*count == *cap) {
        *cap = *cap == 0 ? 8 : *cap * 2;
        *list = mem_realloc(*list, *cap, sizeof(**list));
    }
    (*list)[(*count)++] = value;
}

void
worker_ack_finished(struct leader *l, struct worker_session *w, uint64_t lease)
{
    append(&w->acks, &w->ack_count, &w->ack_cap, lease);
    worker_queue_answer(l, w);
}

void
worker_stop_unknown(struct worker_session *w, uint64_t lease)
{
    append(&w->stops, &w->stop_count, &w->stop_cap, lease);
}
