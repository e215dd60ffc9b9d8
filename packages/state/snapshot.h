#ifndef GV_STATE_SNAPSHOT_H
#define GV_STATE_SNAPSHOT_H

#include "state_impl.h"

/* A snapshot is a sequence of SnapRecord messages, each behind its length in
 * big-endian bytes; the last one counts the others. */
enum {
    SNAP_FORMAT = 1,
    SNAP_LENGTH_BYTES = 4,
};

/* The snapshot being read. */
struct reader {
    struct state *s;
    uint64_t records;
    uint64_t last_job; /* numbers rise */
    uint64_t placed_tasks;
    uint64_t live_leases;
    uint32_t *team_order;
    size_t team_order_count;
    uint32_t *limit_order;
    size_t limit_order_count;
    uint64_t audit_last;
    bool ended;
};

bool
decode_job(struct reader *r, const State__SnapJob *m);
bool
decode_lease(struct reader *r, const State__SnapLease *m);
void
decode_order_ended(struct state *s);

#endif
