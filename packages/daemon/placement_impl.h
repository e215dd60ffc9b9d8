#ifndef GV_PLACEMENT_IMPL_H
#define GV_PLACEMENT_IMPL_H

#include "leader_impl.h"

/* placement.c: creates the record of a lease and adds it to its worker's. */
struct lease_record *
lease_record_create(struct leader *l, uint64_t lease, uint64_t job,
                    uint32_t task, uint32_t worker, uint64_t incarnation);
void
lease_record_free(struct leader *l, struct lease_record *r);

/*
 * placement_commit.c: proposes the queued ends, placements, outcomes and
 * samples of usage.
 */
void
placement_propose_queued(struct leader *l);

/* placement_restore.c: gives the replicated state to a new scheduler. */
void
placement_restore(struct leader *l);

#endif
