#ifndef GV_NODE_EVACUATION_H
#define GV_NODE_EVACUATION_H

#include "leader.h"

/* Evacuation of failure domains on the leader. */

struct evacuations *
evacuations_create(void);
void
evacuations_destroy(struct evacuations *e);

/* Handles a request to evacuate a domain or to withdraw that. It is answered
 * once it is committed. */
void
evacuation_handle_call(struct leader *l, struct requester from,
                       const Node__Request *req);
void
evacuation_answer_committed(struct leader *l, const struct pending_request *p);

/* Answers with all evacuations and the audit trail. */
void
evacuations_reply_state(struct leader *l, struct requester from);

/* Moves runs out of evacuated domains and lets workers of others warm up. */
void
evacuations_step(struct leader *l);

/* Returns the number of tasks that are assigned to workers of the domain. */
uint32_t
evacuation_tasks_left(const struct flow_state *s, struct str domain);

/* Returns the time from the request until this leader saw the domain without
 * tasks, -1 if it has not. */
int64_t
evacuation_empty_ms(const struct flow_evacuation *e);

/* Returns how many runs this leader has stopped to move them. */
uint64_t
evacuations_moves(const struct leader *l);

#endif
