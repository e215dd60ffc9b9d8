/*
 * Outgoing HTTP calls.
 */
#include "internal.h"

#include "clock.h"
#include "mem.h"

enum {
    /* Connections to one address: one waits for ends, the others carry
     * starts and stops. */
    CONNECTIONS_MAX = 4,
};

void
node_http_free(struct node_http *http)
{
    buf_free(&http->target);
    buf_free(&http->body);
    http_headers_free(&http->headers);
}

void
node_result_free(struct node_result *result)
{
    for (size_t i = 0; i < result->running_count; i++) {
        str_free(&result->running[i].checkpoint);
    }
    for (size_t i = 0; i < result->ended_count; i++) {
        str_free(&result->ended[i].checkpoint);
    }
    mem_free(result->running);
    mem_free(result->ended);
    *result = (struct node_result){0};
}

static void
call_free(struct out_call *call)
{
    node_http_free(&call->http);
    str_free(&call->address);
    mem_free(call);
}

bool
out_send(struct node *n, struct out_call *call, int64_t deadline)
{
    static uint64_t last;
    struct upstream_call send = {.id = ++last,
                                 .address = call->address,
                                 .target = buf_str(&call->http.target),
                                 .headers = &call->http.headers,
                                 .body = buf_str(&call->http.body),
                                 .deadline = deadline,
                                 .user = call,
                                 .method = call->http.method,
                                 .idempotent = true};

    call->sent = n->now;
    upstream_set_slots(n->upstream, call->address, CONNECTIONS_MAX);
    if (!upstream_send(n->upstream, &send)) {
        call_free(call);
        return false;
    }
    return true;
}

void
out_take(struct node *n, struct upstream_result *result)
{
    struct out_call *call = result->user;

    call->done(n, call, result);
    upstream_result_free(result);
    call_free(call);
}
