#ifndef GV_WORKERS_IMPL_H
#define GV_WORKERS_IMPL_H

#include "leader_impl.h"

/* An earlier process of a worker whose lease may not have ended. */
struct old_incarnation {
    struct worker_session *worker;
    uint64_t incarnation;
    struct heap_node expiry;
};

#define OLD_INCARNATION_OF(node)                                              \
    ((struct old_incarnation *)((char *)(node)-offsetof(                      \
        struct old_incarnation, expiry)))

/* workers.c */

/* Adds an earlier process, whose lease has certainly ended at expiry. */
void
worker_add_old_incarnation(struct leader *l, struct worker_session *w,
                           uint64_t incarnation, int64_t expiry);

/* The worker is to stop a lease that the leader does not know. */
void
worker_stop_unknown(struct worker_session *w, uint64_t lease);

/* worker_answers.c */

/* Whether the worker is to be told of something. */
bool
worker_has_pending(const struct worker_session *w);

/* Renews the lease and answers the held sync. */
void
worker_answer_sync(struct leader *l, struct worker_session *w);

#endif
