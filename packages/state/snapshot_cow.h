#ifndef GV_SNAPSHOT_COW_H
#define GV_SNAPSHOT_COW_H

#include "state.h"

/*
 * Copy-on-write for the snapshot in progress. Call these functions before a
 * record is changed or removed: they encode it, unless that has happened, so
 * that the snapshot holds it as it was at its beginning. They do nothing if no
 * snapshot is in progress. Adding a record needs no call.
 */

struct job;
struct lease;
struct operator_result;
struct request;

/* The parts of a snapshot, in their stored order. */
enum snap_part {
    SNAP_HEADER,
    SNAP_TEAMS,
    SNAP_KEYS,
    SNAP_HISTORY,
    SNAP_AUDIT,
    SNAP_OPERATORS,
    SNAP_VMS,
    SNAP_WORKERS,
    SNAP_JOBS,
    SNAP_ENDED_LEASES,
    SNAP_LIVE_LEASES,
    SNAP_USAGE,
    SNAP_REQUESTS,
    SNAP_END,
    SNAP_PARTS,
};

/* Saves the job and the leases of its placed tasks. */
void
snapshot_save_job(struct state *s, struct job *job);
void
snapshot_save_request(struct state *s, struct request *r);

/* Saves a live or ended lease before its usage changes. */
void
snapshot_save_lease(struct state *s, struct lease *lease);

/* Save the oldest ended lease, operator result or audit entry before it is
 * removed. */
void
snapshot_save_oldest_lease(struct state *s, const struct lease *lease);
void
snapshot_save_oldest_operator(struct state *s,
                              const struct operator_result *record);
void
snapshot_save_oldest_audit(struct state *s);

/* Encodes all remaining records of a table that is small enough for that. */
void
snapshot_save_table(struct state *s, enum snap_part part);

/* Encodes all remaining records of the state, however many there are. */
void
snapshot_save_all(struct state *s);

#endif
