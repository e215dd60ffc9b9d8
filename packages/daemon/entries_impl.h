#ifndef GV_ENTRIES_IMPL_H
#define GV_ENTRIES_IMPL_H

#include "leader_impl.h"

/* entries_grants.c */

/*
 * Returns false if nothing was sent: the entry is not connected, the ledger
 * does not know it, or this VM may not grant any more.
 */
bool
entries_send_grant(struct leader *l, struct entry_record *e);

/* entries_promise.c */

/* Proposes the records of promises that the ledger has due. */
void
entries_record_promises(struct leader *l);

/* Tells the ledger which promises the replicated state holds. */
void
entries_confirm_promises(struct leader *l);

/* entries_grants.c: asks a process unknown to the ledger for a full report. */
void
entries_send_restart(const struct leader *l, struct link *to);

/* entries_grants.c: confirms that the process is committed as having left. */
void
entries_send_left(const struct leader *l, struct link *to);

#endif
