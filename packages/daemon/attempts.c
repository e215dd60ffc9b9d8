/*
 * Attempts to run requests at endpoints, which the router starts and cancels.
 */
#include "mem.h"
#include "serve_impl.h"

enum {
    ATTEMPT_NUMBER_BITS = 8, /* low bits of an upstream id; the others are the
                              * request id */
};

void
attempt_free(struct entry *e, struct attempt *a)
{
    map_del_u64(e->attempts, a->id);
    front_call_unref(a->call);
    str_free(&a->address);
    str_free(&a->target);
    mem_free(a);
}

static struct attempt *
attempt_create(struct entry *e, struct request *r,
               const struct router_action *action,
               const struct known_endpoint *endpoint)
{
    struct attempt *a = mem_zalloc(1, sizeof(*a));

    a->id = r->id << ATTEMPT_NUMBER_BITS | action->attempt;
    a->request_id = r->id;
    a->attempt_number = action->attempt;
    a->call = r->call;
    front_call_ref(a->call);
    a->target = str_dup(r->target);
    if (endpoint != NULL) {
        a->address = str_dup(endpoint->address);
    }
    map_put_u64(e->attempts, a->id, a);
    return a;
}

static bool
send_to_upstream(struct entry *e, const struct attempt *a, int64_t deadline)
{
    const struct upstream_call call = {.id = a->id,
                                       .address = a->address,
                                       .method = a->call->method,
                                       .target = a->target,
                                       .headers = &a->call->headers,
                                       .idempotency_key =
                                           a->call->idempotency_key,
                                       .body = buf_str(&a->call->body),
                                       .idempotent = a->call->idempotent,
                                       .deadline = deadline,
                                       /* No byte may be sent after the lease,
                                        * even if the process is paused after
                                        * the router's decision. */
                                       .start_by = e->config_deadline};

    return a->address.len != 0 && upstream_send(e->control->upstream, &call);
}

/* Reports an attempt that could not be started as refused: no byte was sent.
 */
static void
end_unstarted(struct entry *e, struct attempt *a)
{
    struct router_event event = {.kind = ROUTER_ATTEMPT_ENDED};

    event.attempt = (struct router_attempt){.request = a->request_id,
                                            .attempt = a->attempt_number,
                                            .result = ATTEMPT_REFUSED};
    attempt_free(e, a);
    serve_router_event(e, &event);
}

void
attempt_send(struct entry *e, struct request *r,
             const struct router_action *action)
{
    struct attempt *a =
        attempt_create(e, r, action, map_get(e->endpoints, action->endpoint));

    r->sent = true;
    if (!send_to_upstream(e, a, action->deadline)) {
        a->next_unstarted = e->unstarted;
        e->unstarted = a;
    }
}

void
attempt_cancel(struct entry *e, const struct router_action *action)
{
    struct attempt *a = map_get_u64(
        e->attempts, action->request << ATTEMPT_NUMBER_BITS | action->attempt);

    if (a != NULL) {
        upstream_cancel(e->control->upstream, a->address, a->id);
    }
}

static enum attempt_result
attempt_result_of(const struct upstream_result *result)
{
    switch (result->failure) {
    case UPSTREAM_OK:
        return result->status >= 500 ? ATTEMPT_ERROR_RESPONSE : ATTEMPT_OK;
    case UPSTREAM_REFUSED:
    case UPSTREAM_NO_SLOT:
        return ATTEMPT_REFUSED;
    case UPSTREAM_RESET:
        return ATTEMPT_RESET;
    case UPSTREAM_TIMED_OUT:
        return ATTEMPT_TIMED_OUT;
    case UPSTREAM_CANCELLED:
        return ATTEMPT_CANCELLED;
    case UPSTREAM_MALFORMED:
    case UPSTREAM_TOO_LARGE:
    case UPSTREAM_FAILURE_COUNT:
        break;
    }
    return ATTEMPT_MALFORMED;
}

void
entry_handle_upstream_result(struct entry *e, struct upstream_result *result)
{
    struct attempt *a = map_get_u64(e->attempts, result->id);
    struct router_event event = {.kind = ROUTER_ATTEMPT_ENDED};

    if (a != NULL) {
        event.attempt =
            (struct router_attempt){.request = a->request_id,
                                    .attempt = a->attempt_number,
                                    .result = attempt_result_of(result),
                                    .bytes_sent = result->sent,
                                    .duration_ns = result->duration_ns};
        attempt_free(e, a);
        e->result = result;
        serve_router_event(e, &event);
        e->result = NULL;
    }
    upstream_result_free(result);
}

void
attempts_end_unstarted(struct entry *e)
{
    struct attempt *a;

    while ((a = e->unstarted) != NULL) {
        e->unstarted = a->next_unstarted;
        end_unstarted(e, a);
    }
}
