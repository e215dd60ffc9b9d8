/*
 * API calls that entries forward to the leader: authorization, dispatch and
 * responses.
 */
#include <string.h>

#include <sodium.h>

#include "caller.h"
#include "endpoint.h"
#include "leader_impl.h"
#include "log.h"
#include "mem.h"
#include "operator.h"

static const struct api_table *const route_tables[] = {
    &caller_routes, &endpoint_routes, &worker_routes, &operator_routes};

static void
send_reply(const struct call *call, const Wire__Reply *reply)
{
    struct link *to =
        control_find_link_by_id(call->leader->control, call->link_id);
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

    if (to == NULL) {
        return;
    }
    envelope.msg_case = WIRE__ENVELOPE__MSG_REPLY;
    envelope.reply = (Wire__Reply *)reply;
    link_send(to, &envelope);
}

static void
unlink_wait(struct call **list, const struct call *call)
{
    for (; *list != NULL; list = &(*list)->wait_next) {
        if (*list == call) {
            *list = call->wait_next;
            return;
        }
    }
}

static void
call_free(struct call *call)
{
    struct leader *l = call->leader;

    if (call->prev == NULL) {
        l->calls = call->next;
    }
    else {
        call->prev->next = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
    if (call->waits_for_job) {
        job_wait_remove(call);
    }
    else {
        unlink_wait(&l->config_waits, call);
    }
    json_doc_free(call->doc);
    worker_wire_free(call);
    buf_free(&call->text);
    buf_free(&call->answer);
    mem_free(call);
}

void
call_respond(struct call *call, int status, struct buf *body)
{
    Wire__Reply reply = WIRE__REPLY__INIT;

    reply.id = call->id;
    reply.status = (uint32_t)status;
    reply.outcome = status == 503 || status == 429 ? "not-run" : "done";
    reply.retry_after_s = status == 503 || status == 429 ? 1 : 0;
    reply.content_type =
        (char *)(call->content_type == NULL ? "application/json"
                                            : call->content_type);
    reply.claim = call->claim;
    reply.claim_group = call->group;
    reply.body.data = (uint8_t *)body->ptr;
    reply.body.len = body->len;
    send_reply(call, &reply);
    buf_free(body);
    call_free(call);
}

void
call_respond_worker_answer(struct call *call, const Wire__WorkerAnswer *answer)
{
    Wire__Reply reply = WIRE__REPLY__INIT;

    reply.id = call->id;
    reply.status = 200;
    reply.outcome = "done";
    reply.worker_answer = (Wire__WorkerAnswer *)answer;
    send_reply(call, &reply);
    call_free(call);
}

void
call_fail_api(struct call *call, const struct api_error *error)
{
    struct buf body = {0};

    api_error_render(error, &body);
    call_respond(call, error->status, &body);
}

void
call_fail(struct call *call, int status, const char *code, const char *field,
          const char *message)
{
    struct api_error error;

    api_fail(&error, status, code, field, "%s", message);
    call_fail_api(call, &error);
}

static int
status_for_reason(enum state_reason reason)
{
    switch (reason) {
    case STATE_REASON_KEY_WITHDRAWN:
        return 401;
    case STATE_REASON_KEY_NOT_PERMITTED:
        return 403;
    case STATE_REASON_NOT_FOUND:
    case STATE_REASON_JOB_UNKNOWN:
    case STATE_REASON_WORKER_UNKNOWN:
        return 404;
    case STATE_REASON_VERSION_MISMATCH:
    case STATE_REASON_REQUEST_MISMATCH:
    case STATE_REASON_TEAM_HAS_JOBS:
    case STATE_REASON_JOB_ENDED:
    case STATE_REASON_JOB_CANCELLED:
        return 409;
    case STATE_REASON_FULL:
        return 503;
    default:
        return 400;
    }
}

void
call_fail_state(struct call *call, const struct state_result *result)
{
    enum state_reason reason = STATE_REASON_NONE;

    switch (result->kind) {
    case STATE_CONFLICT:
        reason = result->u.conflict.reason;
        break;
    case STATE_NOT_FOUND:
        reason = result->u.not_found.reason;
        call_fail(call, 404, "not_found", "", state_reason_text(reason));
        return;
    case STATE_INVALID:
        reason = result->u.invalid.reason;
        break;
    case STATE_DUPLICATE:
        reason = result->u.duplicate.reason;
        break;
    case STATE_APPLIED:
        break;
    }
    call_fail(call,
              result->kind == STATE_CONFLICT ? 409 : status_for_reason(reason),
              result->kind == STATE_CONFLICT ? "conflict" : "refused", "",
              state_reason_text(reason));
}

void
call_fail_not_leader(struct call *call)
{
    Wire__Reply reply = WIRE__REPLY__INIT;

    reply.id = call->id;
    reply.not_leader = true;
    send_reply(call, &reply);
    call_free(call);
}

/* Calls that wait for a commit stay: applying a command checks its key. */
void
calls_refuse_withdrawn_key(struct leader *l, uint64_t key_id,
                           const struct call *except)
{
    struct call *next;

    for (struct call *call = l->calls; call != NULL; call = next) {
        next = call->next;
        if (call->key_id != key_id || call == except) {
            continue;
        }
        if (call->waits_for_job || worker_release_call(l, call)) {
            call_fail(call, 401, "unauthorized", "", "the key was withdrawn");
        }
    }
}

void
leader_refuse_call(struct link *to, uint64_t call_id)
{
    Wire__Reply reply = WIRE__REPLY__INIT;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

    reply.id = call_id;
    reply.not_leader = true;
    envelope.msg_case = WIRE__ENVELOPE__MSG_REPLY;
    envelope.reply = &reply;
    link_send(to, &envelope);
}

struct state_actor
call_actor(const struct call *call)
{
    struct state_actor actor = {.key_id = call->key_id,
                                .wall_ms = clock_wall_ms(),
                                .idempotency_key = call->idempotency_key};
    crypto_generichash_state hash;
    unsigned char digest[crypto_generichash_BYTES];

    crypto_generichash_init(&hash, NULL, 0, sizeof(digest));
    crypto_generichash_update(&hash, (const unsigned char *)&call->match.route,
                              sizeof(int));
    crypto_generichash_update(&hash, (const unsigned char *)call->path.ptr,
                              call->path.len);
    crypto_generichash_update(&hash, (const unsigned char *)call->body.ptr,
                              call->body.len);
    crypto_generichash_final(&hash, digest, sizeof(digest));
    memcpy(actor.request_digest, digest, sizeof(actor.request_digest));
    return actor;
}

static void
call_applied(void *arg, const struct state_result *result)
{
    struct call *call = arg;

    if (result == NULL) {
        call_fail_not_leader(call);
        return;
    }
    call->applied(call, result);
}

void
call_propose(struct call *call, struct buf *command,
             void (*applied)(struct call *call,
                             const struct state_result *result))
{
    const struct replica_waiter waiter = {call_applied, call};

    call->applied = applied;
    if (!replica_propose(call->leader->replica, buf_str(command), waiter)) {
        call_fail(call, 503, "overloaded", "",
                  "too many changes wait to be committed");
    }
    buf_free(command);
}

static void (*const handlers[])(struct call *call) = {
    [API_JOB_PUT] = api_job_put,
    [API_JOB_GET] = api_job_get,
    [API_JOB_LIST] = api_job_list,
    [API_JOB_CANCEL] = api_job_cancel,
    [API_JOB_CANCEL_PREFIX] = api_job_cancel,
    [API_ENDPOINT_PUT] = api_endpoint_put,
    [API_ENDPOINT_DELETE] = api_endpoint_delete,
    [API_WORKER_SYNC] = api_worker_sync,
    [API_TEAMS_GET] = api_list_get,
    [API_LIMITS_GET] = api_list_get,
    [API_TEAMS_PUT] = api_list_put,
    [API_LIMITS_PUT] = api_list_put,
    [API_KEY_CREATE] = api_key_create,
    [API_KEY_LIST] = api_key_list,
    [API_KEY_DELETE] = api_key_delete,
    [API_AUDIT] = api_audit,
    [API_USAGE] = api_usage,
    [API_USAGE_CHART] = api_usage,
    [API_STATUS] = api_status,
    [API_VM_LIST] = api_vm_list,
    [API_VM_DRAIN] = api_vm_drain,
    [API_WORKER_LIST] = api_worker_list,
    [API_ENDPOINT_LIST] = api_endpoint_list,
    [API_TEAM_LIST] = api_team_list,
};

static void
dispatch(struct call *call)
{
    size_t route = (size_t)call->match.route;

    if (route >= sizeof(handlers) / sizeof(handlers[0]) ||
        handlers[route] == NULL) {
        call_fail(call, 404, "not_found", "", "no such path");
        return;
    }
    handlers[route](call);
}

static bool
kind_allowed(enum api_key_kind wanted, enum state_key_kind kind)
{
    /* Both enums list team, endpoint, worker, operator from 1. */
    return (int)wanted == (int)kind;
}

static void
authorize(struct call *call, const Wire__Call *wire)
{
    const struct state_key *key = NULL;
    struct api_error error;

    if (!call->is_protobuf &&
        !api_match(route_tables,
                   sizeof(route_tables) / sizeof(route_tables[0]),
                   call->method, call->path, &call->match, &error)) {
        call_fail_api(call, &error);
        return;
    }
    if (wire->key_hash.len == STATE_HASH_BYTES) {
        key =
            state_key_by_hash(leader_state(call->leader), wire->key_hash.data);
    }
    if (key == NULL) {
        call_fail(call, 401, "unauthorized", "",
                  "the key is missing, unknown or withdrawn");
        return;
    }
    if (!kind_allowed(call->match.key, key->kind)) {
        call_fail(call, 403, "forbidden", "",
                  "keys of this kind may not do this");
        return;
    }
    call->key_id = key->id;
    call->team = key->team;
    dispatch(call);
}

static struct str
copy_text(struct call *call, const char *text, size_t len)
{
    /* copy_texts reserved space for all texts, so the buffer does not move. */
    struct str s = {call->text.ptr + call->text.len, len};

    buf_append(&call->text, text, len);
    return s;
}

static struct str
copy_string(struct call *call, const char *text)
{
    struct str s;

    if (text == NULL || text[0] == '\0') {
        return (struct str){NULL, 0};
    }
    s = copy_text(call, text, strlen(text));
    return s;
}

static void
copy_texts(struct call *call, const Wire__Call *wire)
{
    size_t total = strlen(wire->path) + strlen(wire->query) +
                   strlen(wire->idempotency_key) + strlen(wire->if_match) +
                   wire->body.len;

    if (wire->worker_sync != NULL) {
        total += wire->worker_sync->rack.len +
                 wire->worker_sync->failure_domain.len;
    }
    buf_reserve(&call->text, total + 1);
    call->path = copy_string(call, wire->path);
    call->query = copy_string(call, wire->query);
    call->idempotency_key = copy_string(call, wire->idempotency_key);
    call->if_match = copy_string(call, wire->if_match);
    call->body =
        copy_text(call, (const char *)wire->body.data, wire->body.len);
}

void
leader_handle_call(struct leader *l, struct link *from, const Wire__Call *wire)
{
    struct call *call = mem_zalloc(1, sizeof(*call));
    int64_t remaining = wire->deadline_ms - CALL_MARGIN_MS;

    call->leader = l;
    call->link_id = from->id;
    call->id = wire->id;
    call->method = http_method_parse(str_of(wire->method));
    call->deadline =
        l->control->now + (remaining > 0 ? remaining : 0) * NS_PER_MS;
    copy_texts(call, wire);
    if (wire->worker_sync != NULL &&
        !worker_wire_decode(call, wire->worker_sync)) {
        log_write(LOG_LEVEL_ERR,
                  "worker: sync with an empty or too long worker name");
    }
    if (wire->arrival != NULL) {
        call->run = wire->arrival->run;
        call->group = wire->arrival->group;
        call->arrived.earliest = wire->arrival->earliest_ns;
        call->arrived.latest = wire->arrival->latest_ns;
    }
    call->next = l->calls;
    if (l->calls != NULL) {
        l->calls->prev = call;
    }
    l->calls = call;
    if (!replica_leads(l->replica)) {
        call_fail_not_leader(call);
        return;
    }
    authorize(call, wire);
}
