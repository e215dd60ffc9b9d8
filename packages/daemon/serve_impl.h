#ifndef GV_SERVE_IMPL_H
#define GV_SERVE_IMPL_H

#include "entry_impl.h"

void
serve_free_request(struct entry *e, struct request *r);

/* Answers with an error and frees the request; parameters as
 * entry_refuse_call. */
void
serve_refuse(struct entry *e, struct request *r, int status, const char *code,
             const char *message, const char *outcome, int retry_after_s);

/* Sends r->response to the caller and frees the request. */
void
serve_respond(struct entry *e, struct request *r);

/* attempts.c: start and cancel attempts as the router requests. */
void
attempt_send(struct entry *e, struct request *r,
             const struct router_action *action);
void
attempt_cancel(struct entry *e, const struct router_action *action);
void
attempt_free(struct entry *e, struct attempt *a);

/* Reports attempts that could not be started to the router. This steps the
 * router, so the actions of earlier steps become invalid. */
void
attempts_end_unstarted(struct entry *e);

/*
 * idempotency.c: requests with an idempotency record. idempotency_register
 * returns false if this entry already has a request with the same team and
 * key.
 */
bool
idempotency_register(struct entry *e, struct request *r);
void
idempotency_unregister(struct entry *e, struct request *r);

/* Asks the leader to commit the record. The router sends the request after
 * that. */
void
idempotency_begin(struct entry *e, struct request *r);

/* Asks the leader to commit r->response, which is then sent to the caller. */
void
idempotency_store_response(struct entry *e, struct request *r);

/* Asks the leader to end the record of a request that was never sent, or whose
 * outcome cannot be known. The caller of these functions answers the request.
 */
void
idempotency_end_not_run(struct entry *e, struct request *r);
void
idempotency_end_unknown(struct entry *e, struct request *r);

/* Sends a lost Begin or End again. Answers the request without a stored
 * response once its deadline has passed. */
void
idempotency_step(struct entry *e, struct request *r);

#endif
