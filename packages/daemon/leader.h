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
 * What a control VM does while it leads: it decides placements, grants leases
 * and units, and handles the API. Its state is rebuilt from the replicated
 * state by each new leader.
 */
struct leader;

struct leader *
leader_create(struct control *c, uint64_t term);
void
leader_destroy(struct leader *l);
uint64_t
leader_term(const struct leader *l);

/*
 * Hands leadership to the most advanced voter whose VM is up and not being
 * drained. Returns false when there is none.
 */
bool
leader_transfer_leadership(struct leader *l);

/* Timers, decisions and grants; once per wake-up, after all input. */
void
leader_step(struct leader *l);
int64_t
leader_next_deadline(const struct leader *l);

/* Messages of entries. */
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

/* Sets the gauges of the metrics that only a leader has. */
void
leader_refresh_metrics(struct leader *l);

/* Tells a link who leads, as far as this VM knows. */
void
leader_send_hint(const struct replica *r, struct link *to);

/* Answers a message that only a leader can handle. */
void
leader_refuse_call(struct link *to, uint64_t call_id);

#endif
