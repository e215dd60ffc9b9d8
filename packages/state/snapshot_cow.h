#ifndef GV_SNAPSHOT_COW_H
#define GV_SNAPSHOT_COW_H

#include "state.h"

/*
 * Called before a record changes or goes, so that a snapshot in progress
 * holds it as it was when the snapshot began. Without a snapshot they do
 * nothing. Records may be added without a call.
 */

struct job;
struct lease;
struct operator_result;
struct request;

/* Parts of a snapshot, in the order in which they are stored. */
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

/* The job, and the leases of its placed tasks. */
void
snapshot_save_job(struct state *s, struct job *job);
void
snapshot_save_request(struct state *s, struct request *r);

/* Live or ended, before its usage changes. */
void
snapshot_save_lease(struct state *s, struct lease *lease);

/* The ended lease, the operator's record or the audit entry that is the
 * oldest one, before it goes. */
void
snapshot_save_oldest_lease(struct state *s, const struct lease *lease);
void
snapshot_save_oldest_operator(struct state *s,
                              const struct operator_result *record);
void
snapshot_save_oldest_audit(struct state *s);

/* All records of a table that is small enough to be encoded in one go. */
void
snapshot_save_table(struct state *s, enum snap_part part);

/* The whole state; it takes as long as encoding what is left. */
void
snapshot_save_all(struct state *s);

#endif
