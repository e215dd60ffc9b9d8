/*
 * Outgoing HTTP calls to workers and the approval service.
 */
#include "internal.h"

#include "clock.h"
#include "mem.h"

enum {
    /* Connections per address: one for the long poll for ended runs, two for
     * starts and stops, and as many for those that were abandoned when the
     * token was renewed. */
    CONNECTIONS_MAX = 6,
    /* A live worker is called every second, so an address that has not been
     * called for this long belongs to a worker that has terminated. */
    HOST_UNUSED_MAX_MS = 30000,
    SWEEP_INTERVAL_MS = 5000,
};

/* An address to which connections are kept open. */
struct out_host {
    struct str address;
    int64_t last_used;
};

void
node_http_request_free(struct node_http_request *http)
{
    buf_free(&http->target);
    buf_free(&http->body);
    http_headers_free(&http->headers);
}

void
node_worker_result_free(struct node_worker_result *result)
{
    for (size_t i = 0; i < result->ended_count; i++) {
        str_free(&result->ended[i].checkpoint);
    }
    mem_free(result->running);
    mem_free(result->ended);
    *result = (struct node_worker_result){0};
}

void
run_to_flow_task(Flow__Task *out, const struct node_task *in, uint32_t worker)
{
    flow__task__init(out);
    out->job = in->job;
    out->occurrence = in->occurrence;
    out->step = in->step;
    out->index = in->index;
    out->run = in->run;
    out->worker = worker;
}

void
out_call_free(struct out_call *call)
{
    node_http_request_free(&call->http);
    str_free(&call->address);
    mem_free(call);
}

static void
mark_host_used(struct node *n, struct str address)
{
    struct out_host *h = map_get(n->out_hosts, address);

    if (h == NULL) {
        h = mem_zalloc(1, sizeof(*h));
        h->address = str_dup(address);
        map_put(n->out_hosts, h->address, h);
        upstream_set_slots(n->upstream, address, CONNECTIONS_MAX);
    }
    h->last_used = n->now;
}

static void
remove_host(struct node *n, struct out_host *h)
{
    map_del(n->out_hosts, h->address);
    str_free(&h->address);
    mem_free(h);
}

void
out_destroy(struct node *n)
{
    struct out_host *h;
    void *cursor = NULL;

    if (n->out_hosts == NULL) {
        return;
    }
    while ((h = map_next(n->out_hosts, &cursor)) != NULL) {
        remove_host(n, h);
    }
    map_destroy(n->out_hosts);
}

void
out_close_unused(struct node *n)
{
    struct out_host *h;
    void *cursor = NULL;

    if (n->now < n->out_sweep_due) {
        return;
    }
    n->out_sweep_due = n->now + SWEEP_INTERVAL_MS * NS_PER_MS;
    while ((h = map_next(n->out_hosts, &cursor)) != NULL) {
        if (n->now - h->last_used > HOST_UNUSED_MAX_MS * NS_PER_MS &&
            upstream_set_slots(n->upstream, h->address, 0)) {
            remove_host(n, h);
        }
    }
}

bool
out_send(struct node *n, struct out_call *call, int64_t deadline)
{
    static uint64_t last_id;
    struct upstream_call send = {.id = ++last_id,
                                 .address = call->address,
                                 .target = buf_str(&call->http.target),
                                 .headers = &call->http.headers,
                                 .body = buf_str(&call->http.body),
                                 .deadline = deadline,
                                 .start_by = call->send_by,
                                 .user = call,
                                 .method = call->http.method,
                                 .idempotent = true,
                                 .send_once = call->send_once};

    call->sent = n->now;
    mark_host_used(n, call->address);
    if (!upstream_send(n->upstream, &send)) {
        out_call_free(call);
        return false;
    }
    return true;
}

void
out_handle_result(struct node *n, struct upstream_result *result)
{
    struct out_call *call = result->user;

    call->on_response(n, call, result);
    upstream_result_free(result);
    out_call_free(call);
}

static void
handle_worker_result(struct node *n, struct out_call *call,
                     const struct upstream_result *result)
{
    struct node_worker_result decoded = {.clock_ms = -1, .born_ms = -1};

    if (result->failure == UPSTREAM_OK) {
        n->adapter->decode_result(&call->call, result->status,
                                  buf_str(&result->body), &decoded);
    }
    call->on_result(n, call, result->failure, &decoded);
    node_worker_result_free(&decoded);
}

bool
out_send_worker_call(struct node *n, struct out_call *call, int64_t deadline)
{
    n->adapter->encode_call(&call->call, &call->http);
    call->on_response = handle_worker_result;
    /* A refusal of a second copy would say nothing about the first, and a
     * worker that restarted would answer a call meant for the process before
     * it. */
    call->send_once = true;
    return out_send(n, call, deadline);
}
