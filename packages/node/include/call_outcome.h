#ifndef GV_CALL_OUTCOME_H
#define GV_CALL_OUTCOME_H

#include <stdint.h>

#include "node.pb-c.h"

/*
 * Decides what the caller of a request is told that was sent to a leader,
 * perhaps more than once: after a change of leader, a lost session or a long
 * silence another copy is sent. copies counts all of them. A change is
 * reported as refused only if no copy of it can have been accepted.
 */

/* Returns the outcome for a caller when a leader replied to one copy. */
Node__Outcome
call_outcome_replied(const Node__Request *request, uint32_t copies,
                     Node__Outcome reply);

/* Returns the outcome for a caller when no leader replied in time. */
Node__Outcome
call_outcome_expired(const Node__Request *request, uint32_t copies);

#endif
