#ifndef GV_LEADER_H
#define GV_LEADER_H

#include <stdbool.h>
#include <stdint.h>

#include "wire.pb-c.h"

struct control;
struct ledger;
struct link;
struct replica;

/*
 * The part of a control VM that runs while it leads: it decides placements,
 * grants leases and units, and handles the API. Each new leader rebuilds it
 * from the replicated state.
 */
struct leader;

struct leader *
leader_create(struct control *c, uint64_t term);
void
leader_destroy(struct leader *l);
uint64_t
leader_term(const struct leader *l);

/*
 * Starts to transfer leadership to the voter with the most complete log whose
 * VM is up and not draining. Returns false when there is none.
 */
bool
leader_transfer_leadership(struct leader *l);

/* Runs timers, placement and grants; once per wake-up, after all input. */
void
leader_step(struct leader *l);
int64_t
leader_next_deadline(const struct leader *l);

/* Handle messages of entries; from is the link to the entry. */
void
leader_handle_call(struct leader *l, struct link *from,
                   const Wire__Call *wire);
void
leader_handle_entry_sync(struct leader *l, struct link *from,
                         const Wire__EntrySync *sync);
void
leader_handle_renewal(struct leader *l, struct link *from,
                      const Wire__Renewal *wire);
void
leader_handle_begin(struct leader *l, struct link *from,
                    const Wire__Begin *begin);
void
leader_handle_end(struct leader *l, struct link *from, const Wire__End *end);

/* Updates the metrics that only a leader exports; for each scrape. */
void
leader_refresh_metrics(struct leader *l);

/* Sends the leader's VM and term as far as this VM knows them. */
void
leader_send_hint(const struct replica *r, struct link *to);

/* Replies to a forwarded call that this VM does not lead. */
void
leader_refuse_call(struct link *to, uint64_t call_id);

#endif
