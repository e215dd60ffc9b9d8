#ifndef GV_ENTRIES_IMPL_H
#define GV_ENTRIES_IMPL_H

#include "leader_impl.h"

/* entries_grants.c */

/* Returns false when nothing was sent, because the entry is gone or this VM
 * may not grant any more. */
bool
entries_send_grant(struct leader *l, struct entry_record *e);

/* entries_promise.c */
void
entries_record_promises(struct leader *l);
/* Tells the ledger which promises the state holds by now. */
void
entries_confirm_promises(struct leader *l);

/* The leader does not know the process: it is to report in full. */
void
entries_send_restart(const struct leader *l, struct link *to);

/* It is recorded that the process sends nothing any more. */
void
entries_send_left(const struct leader *l, struct link *to);

#endif
