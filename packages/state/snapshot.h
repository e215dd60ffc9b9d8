#ifndef GV_STATE_SNAPSHOT_H
#define GV_STATE_SNAPSHOT_H

#include "state_impl.h"

/* A snapshot is a sequence of SnapRecord messages, each behind its length in
 * big-endian bytes; the last one counts the others. */
enum {
    SNAP_FORMAT = 1,
    SNAP_LENGTH_BYTES = 4,
};

/* Where records are appended. */
struct writer {
    struct buf *out;
    uint64_t records;
};

/* Each appends one record. */
void
encode_record(struct writer *w, State__SnapRecord__ItemCase item,
              void *message);
void
encode_header(struct writer *w, const struct state *s);
void
encode_change(struct writer *w, const struct change *change);
void
encode_audit(struct writer *w, const struct state_audit *entry);
void
encode_job(struct writer *w, const struct job *job);
void
encode_lease(struct writer *w, const struct lease *lease);
void
encode_request(struct writer *w, const struct request *r);

/* The last record, which counts the others. */
void
encode_end(struct writer *w);

/* A record of one of the maps, which part tells. */
void
encode_table_record(struct writer *w, enum snap_part part, const void *record);

/* The leases of a job's placed tasks. */
void
encode_live_leases(struct writer *w, const struct state *s,
                   const struct job *job);

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
sort_ended_jobs(struct state *s);

#endif
