#ifndef GV_INCREMENTAL_H
#define GV_INCREMENTAL_H

#include "heap.h"
#include "snapshot.h"

/* Encoded bytes of a part, in chunks, so that growth copies little. */
struct part {
    struct writer w;
    struct buf *chunks;
    size_t count;
    size_t cap;
    void *cursor; /* map_next's, for the maps that are walked by it */
    void *next;   /* the next record to encode */
    size_t left;  /* records from next to the end */
};

/* A record that changed before its turn, as it was. */
struct saved_record {
    struct heap_node node; /* by number */
    struct buf record;
    struct buf leases; /* of a job's placed tasks */
    uint64_t lease_count;
};

struct snapshot {
    struct part parts[SNAP_PARTS];
    size_t bytes; /* encoded so far */
    uint64_t job_limit;
    uint64_t request_limit;
    uint64_t audit_next;
    struct heap jobs;
    struct heap requests;
    struct map
        *leases; /* ended ones that changed, number to struct saved_record */
};

/* Where the part's next record is appended. */
struct writer *
part_writer(struct part *p);

/* Encode the next record. */
void
step_job(const struct state *s, struct snapshot *snap);
void
step_request(const struct state *s, struct snapshot *snap);
void
step_lease(struct snapshot *snap);

void
saved_record_free(struct saved_record *k);

#endif
