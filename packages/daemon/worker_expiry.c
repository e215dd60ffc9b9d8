/*
 * Expires workers' leases and answers held syncs that are due.
 */
#include "log.h"
#include "mem.h"
#include "workers_impl.h"

#define WORKER_OF(node, member)                                               \
    ((struct worker_session *)((char *)(node)-offsetof(struct worker_session, \
                                                       member)))

static void
expire_incarnation(struct leader *l, struct worker_session *w,
                   uint64_t incarnation)
{
    struct sched_event event = {.kind = SCHED_EVENT_WORKER_EXPIRED};

    for (struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->incarnation == incarnation && !r->ended) {
            r->ended = true;
            /* An offered task may have started, and the state does not place
             * it again if it must not run twice. One that was not offered has
             * not started; the scheduler places it again once the commit of
             * this placement has succeeded or failed. */
            r->outcome =
                r->offered ? STATE_OUTCOME_LOST : STATE_OUTCOME_NEVER_STARTED;
        }
    }
    event.u.expired.worker = w->number;
    event.u.expired.incarnation = incarnation;
    placement_send_event(l, &event);
}

static void
expire_old_incarnations(struct leader *l)
{
    struct heap_node *n;

    while ((n = heap_min(&l->old_incarnations)) != NULL &&
           n->key <= l->control->now) {
        struct old_incarnation *o = OLD_INCARNATION_OF(n);

        heap_remove(&l->old_incarnations, n);
        expire_incarnation(l, o->worker, o->incarnation);
        mem_free(o);
    }
}

static void
expire_leases(struct leader *l)
{
    struct heap_node *n;

    while ((n = heap_min(&l->worker_expiry)) != NULL &&
           n->key <= l->control->now) {
        struct worker_session *w = WORKER_OF(n, expiry);

        heap_remove(&l->worker_expiry, n);
        if (w->held_call != NULL) {
            /* Its sync is held here, so it is not lost; the answer
             * renews the lease. */
            worker_queue_answer(l, w);
            continue;
        }
        if (w->up) {
            log_write(LOG_LEVEL_WARNING,
                      "worker: the lease of %.*s has expired",
                      STR_ARG(w->name));
        }
        w->up = false;
        expire_incarnation(l, w, w->incarnation);
    }
}

void
workers_step(struct leader *l)
{
    struct heap_node *n;
    struct worker_session *w;

    if (!replica_leads(l->replica)) {
        return;
    }
    expire_leases(l);
    expire_old_incarnations(l);
    while ((n = heap_min(&l->held_syncs)) != NULL &&
           n->key <= l->control->now) {
        heap_remove(&l->held_syncs, n);
        worker_queue_answer(l, WORKER_OF(n, hold_end));
    }
    while ((w = l->answer_queue) != NULL) {
        l->answer_queue = w->answer_next;
        w->answer_queued = false;
        if (w->held_call != NULL) {
            worker_answer_sync(l, w);
        }
    }
}

int64_t
workers_next_deadline(const struct leader *l)
{
    const struct heap_node *expiry = heap_min(&l->worker_expiry);
    const struct heap_node *hold_end = heap_min(&l->held_syncs);
    int64_t deadline = DEADLINE_NONE;

    if (expiry != NULL) {
        deadline = expiry->key;
    }
    if (hold_end != NULL && hold_end->key < deadline) {
        deadline = hold_end->key;
    }
    return deadline;
}
