/*
 * Requests to services, from the caller through the router to an endpoint, and
 * the responses back. idempotency.c handles idempotency records.
 */
#include "mem.h"
#include "serve_impl.h"

enum {
    REQUEST_OVERHEAD_BYTES = 512, /* counted per request, besides its body */
};

/* ---- Requests ---- */

void
serve_free_request(struct entry *e, struct request *r)
{
    map_del_u64(e->requests, r->id);
    if (r->message_id != 0) {
        map_del_u64(e->requests_by_message, r->message_id);
    }
    if (r->has_record) {
        idempotency_unregister(e, r);
    }
    /* A FRONT_ITEM_DISCONNECTED may arrive after the answer. */
    r->call->user = NULL;
    http_headers_free(&r->response.headers);
    buf_free(&r->response.body);
    str_free(&r->service);
    str_free(&r->target);
    mem_free(r);
}

/* Frees the request before it answers the call: unregistering the record needs
 * the idempotency key, which is part of the call. */
void
serve_refuse(struct entry *e, struct request *r, int status, const char *code,
             const char *message, const char *outcome, int retry_after_s)
{
    struct front_call *call = r->call;

    serve_free_request(e, r);
    entry_refuse_call(call, status, code, message, outcome, retry_after_s);
}

static void
send_response(struct entry *e, struct request *r)
{
    struct front_call *call = r->call;
    struct front_response response = r->response;

    r->response = (struct front_response){0};
    serve_free_request(e, r);
    front_respond(call, &response);
}

static void
build_target(struct request *r, struct str rest)
{
    struct buf out = {0};

    if (rest.len == 0 || rest.ptr[0] != '/') {
        buf_append(&out, "/", 1);
    }
    buf_append_str(&out, rest);
    if (r->call->query.len != 0) {
        buf_append(&out, "?", 1);
        buf_append_str(&out, r->call->query);
    }
    r->target = str_dup(buf_str(&out));
    buf_free(&out);
}

/* Hashes the first part of the path, by which the router learns durations:
 * requests that have it in common tend to take equally long. */
static uint32_t
path_class(struct str rest)
{
    if (rest.len != 0 && rest.ptr[0] == '/') {
        rest = str_from(rest.ptr + 1, rest.len - 1);
    }
    return (uint32_t)str_hash(str_cut(&rest, '/'));
}

static const struct confview_key *
authenticate(struct entry *e, struct front_call *call)
{
    const struct confview_key *key = NULL;
    uint8_t hash[STATE_HASH_BYTES];

    if (!entry_has_config_lease(e)) {
        entry_refuse_call(call, 503, "not_ready",
                          "this entry holds no configuration lease", "not-run",
                          1);
        return NULL;
    }
    if (front_overloaded(e->control->front)) {
        entry_refuse_call(call, 503, "overloaded", "too many answers wait",
                          "not-run", 1);
        return NULL;
    }
    if (call->key.len != 0) {
        hash_bearer_key(call->key, hash);
        key = confview_key(e->config, hash);
    }
    if (key == NULL) {
        entry_refuse_call(call, 401, "unauthorized",
                          "the key is missing, unknown or withdrawn",
                          "not-run", 0);
        return NULL;
    }
    if (key->kind != STATE_KEY_TEAM) {
        entry_refuse_call(call, 403, "forbidden",
                          "only keys of the kind team may send requests",
                          "not-run", 0);
        return NULL;
    }
    return key;
}

static void
send_to_router(struct entry *e, struct request *r, struct str rest)
{
    struct front_call *call = r->call;
    struct router_event event = {.kind = ROUTER_REQUEST};

    event.request = (struct router_request){.id = r->id,
                                            .key = r->key_id,
                                            .team = r->team,
                                            .service = r->service,
                                            .path_class = path_class(rest),
                                            .idempotent = call->idempotent,
                                            .needs_record = r->has_record,
                                            .has_deadline = call->has_timeout,
                                            .deadline = call->deadline,
                                            .bytes = (uint32_t)call->body.len +
                                                     REQUEST_OVERHEAD_BYTES};
    serve_router_event(e, &event);
}

void
serve_call(struct entry *e, struct front_call *call, struct str service,
           struct str rest)
{
    const struct confview_key *key = authenticate(e, call);
    struct request *r;
    uint64_t id;

    if (key == NULL) {
        return;
    }
    r = mem_zalloc(1, sizeof(*r));
    r->id = id = e->next_id++;
    r->call = call;
    r->team = key->team;
    r->key_id = key->id;
    r->service = str_dup(service);
    /* An idempotent request may be repeated safely, so it needs no record. */
    r->has_record = call->idempotency_key.ptr != NULL && !call->idempotent;
    r->phase = r->has_record ? REQUEST_COMMITTING_RECORD : REQUEST_ROUTED;
    build_target(r, rest);
    call->user = r;
    map_put_u64(e->requests, r->id, r);
    if (r->has_record && !idempotency_register(e, r)) {
        r->has_record = false;
        serve_refuse(e, r, 409, "running",
                     "a request with this idempotency key is running here",
                     "unknown", 0);
        return;
    }
    send_to_router(e, r, rest);
    /* The router may have refused the request, which frees it. */
    r = map_get_u64(e->requests, id);
    if (r != NULL && r->has_record) {
        idempotency_begin(e, r);
    }
}

void
serve_caller_gone(struct entry *e, const struct front_call *call)
{
    struct router_event event = {.kind = ROUTER_CALLER_GONE};
    const struct request *r = call->user;

    /* A request with a record that was sent continues, so that its outcome is
     * stored for a repetition. */
    if (r == NULL || r->phase == REQUEST_STORING_RESPONSE ||
        (r->has_record && r->sent)) {
        return;
    }
    event.id = r->id;
    serve_router_event(e, &event);
}

/* ---- Responses ---- */

static int
status_of_reason(enum router_reason reason)
{
    switch (reason) {
    case ROUTER_REASON_NO_TEAM:
        return 403;
    case ROUTER_REASON_NO_SERVICE:
        return 404;
    case ROUTER_REASON_TEAM_FULL:
        return 429;
    case ROUTER_REASON_KEY:
        return 401;
    default:
        return 503;
    }
}

static const char *
message_of_reason(enum router_reason reason)
{
    switch (reason) {
    case ROUTER_REASON_NO_LEASE:
        return "this entry holds no configuration lease";
    case ROUTER_REASON_NO_TEAM:
        return "the team of this key does not exist";
    case ROUTER_REASON_NO_SERVICE:
        return "no endpoint has announced this service";
    case ROUTER_REASON_QUEUE_FULL:
        return "too many requests wait";
    case ROUTER_REASON_TEAM_FULL:
        return "too many requests of this team wait";
    case ROUTER_REASON_TOO_LATE:
        return "the request would not finish in time";
    case ROUTER_REASON_DEADLINE:
        return "the deadline has passed";
    case ROUTER_REASON_KEY:
        return "the key was withdrawn";
    case ROUTER_REASON_CALLER_GONE:
        return "the caller has gone";
    case ROUTER_REASON_NO_BUDGET:
        return "the endpoint failed and too many requests are being retried";
    case ROUTER_REASON_ENDPOINT:
        return "the endpoint failed";
    case ROUTER_REASON_NONE:
    case ROUTER_REASON_DUPLICATE:
        break;
    }
    return "refused";
}

static void
refuse_request(struct entry *e, struct request *r,
               const struct router_action *a)
{
    int status = status_of_reason(a->reason);
    int retry_s = 0;

    if (status == 503 || status == 429) {
        retry_s = (int)((a->retry_after_ns + NS_PER_S - 1) / NS_PER_S);
        retry_s = retry_s < 1 ? 1 : retry_s;
    }
    if (r->has_record) {
        idempotency_end_not_run(e, r);
    }
    serve_refuse(e, r, status, "refused", message_of_reason(a->reason),
                 "not-run", retry_s);
}

static void
fail_request(struct entry *e, struct request *r, const struct router_action *a)
{
    int status = a->reason == ROUTER_REASON_DEADLINE ? 504 : 502;

    if (r->has_record) {
        idempotency_end_unknown(e, r);
    }
    serve_refuse(e, r, status, "unknown", message_of_reason(a->reason),
                 "unknown", 0);
}

/* Takes the response out of e->result, and stores it first if the request has
 * a record. */
static void
complete_request(struct entry *e, struct request *r)
{
    struct upstream_result *result = e->result;

    r->response.status = result->status;
    r->response.headers = result->headers;
    r->response.body = result->body;
    r->response.head_length = result->head_length;
    result->headers = (struct http_headers){0};
    result->body = (struct buf){0};
    http_headers_remove(&r->response.headers, "Guavarock-Outcome");
    if (r->has_record) {
        idempotency_store_response(e, r);
        return;
    }
    serve_respond(e, r);
}

void
serve_respond(struct entry *e, struct request *r)
{
    http_headers_add(&r->response.headers, STR("Guavarock-Outcome"),
                     STR("done"));
    send_response(e, r);
}

/* ---- Router actions ---- */

static void
handle_action(struct entry *e, const struct router_action *action)
{
    struct request *r = map_get_u64(e->requests, action->request);

    if (action->kind == ROUTER_CANCEL) {
        attempt_cancel(e, action);
        return;
    }
    if (r == NULL) {
        return;
    }
    switch (action->kind) {
    case ROUTER_SEND:
        attempt_send(e, r, action);
        break;
    case ROUTER_REFUSE:
        refuse_request(e, r, action);
        break;
    case ROUTER_FAIL:
        fail_request(e, r, action);
        break;
    case ROUTER_COMPLETE:
        complete_request(e, r);
        break;
    case ROUTER_CANCEL:
        break;
    }
}

void
serve_router_event(struct entry *e, const struct router_event *event)
{
    router_step(e->router, e->control->now, event, &e->actions);
    for (size_t i = 0; i < e->actions.count; i++) {
        handle_action(e, &e->actions.items[i]);
    }
    e->actions.count = 0;
    /* Done last, because another router step invalidates the actions. */
    attempts_end_unstarted(e);
}

void
serve_link_down(struct entry *e, const struct link *l)
{
    struct request *r;
    void *cursor = NULL;

    while ((r = map_next(e->requests, &cursor)) != NULL) {
        if (r->message_id != 0 && r->link_id == l->id) {
            map_del_u64(e->requests_by_message, r->message_id);
            r->message_id = 0;
        }
    }
}

void
serve_step(struct entry *e)
{
    struct request *r;
    void *cursor = NULL;

    while ((r = map_next(e->requests, &cursor)) != NULL) {
        if (r->has_record) {
            idempotency_step(e, r);
        }
    }
}

void
serve_destroy(struct entry *e)
{
    struct request *r;
    struct attempt *a;
    void *cursor = NULL;

    while ((r = map_next(e->requests, &cursor)) != NULL) {
        r->has_record = false;
        serve_refuse(e, r, 503, "stopping", "this entry has stopped",
                     r->sent ? "unknown" : "not-run", 1);
    }
    cursor = NULL;
    while ((a = map_next(e->attempts, &cursor)) != NULL) {
        attempt_free(e, a);
    }
    map_destroy(e->requests);
    map_destroy(e->keyed_requests);
    map_destroy(e->requests_by_message);
    map_destroy(e->attempts);
}
