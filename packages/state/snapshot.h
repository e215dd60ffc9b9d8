#ifndef GV_STATE_SNAPSHOT_H
#define GV_STATE_SNAPSHOT_H

#include "state_impl.h"

/*
 * A snapshot is a sequence of SnapRecord messages, each preceded by its length
 * as a big-endian number. The last message holds the number of the others.
 */
enum {
    SNAP_FORMAT = 1,
    SNAP_LENGTH_BYTES = 4,
};

/* The output of encoded records. */
struct writer {
    struct buf *out;
    uint64_t records; /* appended so far */
};

/* These functions append one record each. */
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

/* Appends the last record, which holds the number of the others. */
void
encode_end(struct writer *w);

/* Appends a record of the map that belongs to part. */
void
encode_table_record(struct writer *w, enum snap_part part, const void *record);

/* Appends the leases of a job's placed tasks. */
void
encode_live_leases(struct writer *w, const struct state *s,
                   const struct job *job);

/* The state of decoding a snapshot. */
struct reader {
    struct state *s;
    uint64_t records;      /* decoded so far */
    uint64_t last_job;     /* number of the last job; they must rise */
    uint64_t placed_tasks; /* must equal live_leases at the end */
    uint64_t live_leases;
    uint32_t *team_order;
    size_t team_order_count;
    uint32_t *limit_order;
    size_t limit_order_count;
    uint64_t audit_last; /* as the header says */
    bool ended;          /* the last record was read */
};

/* Return false when the record is not valid. */
bool
decode_job(struct reader *r, const State__SnapJob *m);
bool
decode_lease(struct reader *r, const State__SnapLease *m);

/* Rebuilds the order in which terminal jobs are dropped. */
void
sort_ended_jobs(struct state *s);

#endif
