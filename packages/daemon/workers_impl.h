#ifndef GV_WORKERS_IMPL_H
#define GV_WORKERS_IMPL_H

#include "leader_impl.h"

/* An earlier incarnation of a worker whose lease may not have ended. */
struct old_incarnation {
    struct worker_session *worker;
    uint64_t incarnation;
    struct heap_node expiry;
};

#define OLD_INCARNATION_OF(node)                                              \
    ((struct old_incarnation *)((char *)(node)-offsetof(                      \
        struct old_incarnation, expiry)))

/* workers.c */

/* Adds an earlier incarnation, whose lease has certainly ended at expiry. */
void
worker_add_old_incarnation(struct leader *l, struct worker_session *w,
                           uint64_t incarnation, int64_t expiry);

/* Has the worker stop a lease that the leader does not know. */
void
worker_stop_unknown(struct worker_session *w, uint64_t lease);

/* worker_answers.c */

/* Whether there is anything to answer the worker but the renewed lease. */
bool
worker_has_pending(const struct worker_session *w);

/* Renews the worker's lease and answers its held sync. */
void
worker_answer_sync(struct leader *l, struct worker_session *w);

#endif
