#ifndef GV_INCREMENTAL_H
#define GV_INCREMENTAL_H

#include "heap.h"
#include "snapshot.h"

/* One part of the snapshot. Its bytes are in chunks, so that growing them
 * copies little. */
struct part {
    struct writer writer;
    struct buf *chunks;
    size_t chunk_count;
    size_t chunk_cap;
    void *cursor;     /* of map_next, for maps */
    void *next;       /* the next record to encode, unless in a ring buffer */
    size_t remaining; /* records yet to encode; for jobs and requests 1 while
                         there are any */
};

/* The encoded old version of a record that changed before its turn. */
struct saved_record {
    struct heap_node node; /* first; ordered by the record's number */
    struct buf record;
    struct buf leases; /* a job's only: those of its placed tasks */
    uint64_t lease_count;
};

struct snapshot {
    struct part parts[SNAP_PARTS];
    size_t bytes;           /* encoded so far, without the header */
    uint64_t job_limit;     /* jobs from this number on were added later */
    uint64_t request_limit; /* the same for requests */
    uint64_t audit_next;    /* sequence number of the next entry to encode */
    struct heap saved_jobs; /* of struct saved_record, by job number */
    struct heap saved_requests; /* the same by request number */
    struct map *saved_leases; /* ended leases: number to struct saved_record */
};

/* Returns the writer for the part's next record. */
struct writer *
part_writer(struct part *p);

/* Encode the part's next record. */
void
encode_next_job(const struct state *s, struct snapshot *snap);
void
encode_next_request(const struct state *s, struct snapshot *snap);
void
encode_next_lease(struct snapshot *snap);

void
saved_record_free(struct saved_record *saved);

#endif
