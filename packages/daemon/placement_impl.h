#ifndef GV_PLACEMENT_IMPL_H
#define GV_PLACEMENT_IMPL_H

#include "leader_impl.h"

/* placement.c: the record of a lease, also in the list of its worker. */
struct lease_record *
lease_record_create(struct leader *l, uint64_t lease, uint64_t job,
                    uint32_t task, uint32_t worker, uint64_t incarnation);
void
lease_record_free(struct leader *l, struct lease_record *r);

/* placement_commit.c: proposes the queued ends, placements, outcomes and
 * samples of usage. */
void
placement_propose_queued(struct leader *l);

/* placement_restore.c */
void
placement_restore(struct leader *l);

#endif
