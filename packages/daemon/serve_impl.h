#ifndef GV_SERVE_IMPL_H
#define GV_SERVE_IMPL_H

#include "entry_impl.h"

void
serve_free_request(struct entry *e, struct request *r);

/* Answers with an error and ends the request. */
void
serve_refuse(struct entry *e, struct request *r, int status, const char *code,
             const char *message, const char *outcome, int retry_after_s);

/* Gives r->response to the caller and ends the request. */
void
serve_respond(struct entry *e, struct request *r);

/* attempts.c: attempts at endpoints. */
void
attempt_send(struct entry *e, struct request *r,
             const struct router_action *action);
void
attempt_cancel(struct entry *e, const struct router_action *action);
void
attempt_free(struct entry *e, struct attempt *a);

/* Tells the router of attempts that could not start; no action of an earlier
 * step is valid afterwards. */
void
attempts_end_unstarted(struct entry *e);

/*
 * Requests with an idempotency record. idempotency_register returns false when
 * a request with the same team and key is already here.
 */
bool
idempotency_register(struct entry *e, struct request *r);
void
idempotency_unregister(struct entry *e, struct request *r);

/* Asks the leader to commit the record before the request is sent. */
void
idempotency_begin(struct entry *e, struct request *r);

/* Commits the response, then gives it to the caller. */
void
idempotency_store_response(struct entry *e, struct request *r);

/* Ends the record of a request that was never sent, or whose outcome cannot
 * be known; the caller is answered by the router's refusal or failure. */
void
idempotency_end_not_run(struct entry *e, struct request *r);
void
idempotency_end_unknown(struct entry *e, struct request *r);

/* Sends what was lost again; answers when the deadline has passed. */
void
idempotency_step(struct entry *e, struct request *r);

#endif
