/*
 * Non-idempotent requests with an idempotency key. The leader commits a record
 * before the request is sent to an endpoint, and the response before it is
 * sent to the caller.
 */
#include <inttypes.h>

#include <sodium.h>

#include "serve_impl.h"

static void
append_record_name(const struct request *r, struct buf *out)
{
    buf_printf(out, "%" PRIu32 ":", r->team);
    buf_append_str(out, r->call->idempotency_key);
}

bool
idempotency_register(struct entry *e, struct request *r)
{
    struct buf name = {0};
    bool added;

    append_record_name(r, &name);
    added = map_get(e->keyed_requests, buf_str(&name)) == NULL;
    if (added) {
        map_put(e->keyed_requests, buf_str(&name), r);
    }
    buf_free(&name);
    return added;
}

void
idempotency_unregister(struct entry *e, struct request *r)
{
    struct buf name = {0};

    append_record_name(r, &name);
    map_del(e->keyed_requests, buf_str(&name));
    buf_free(&name);
}

static void
hash_field(crypto_generichash_state *hash, struct str part)
{
    uint64_t len = part.len;

    crypto_generichash_update(hash, (const unsigned char *)&len, sizeof(len));
    crypto_generichash_update(hash, (const unsigned char *)part.ptr, part.len);
}

static void
request_digest(const struct request *r, uint8_t out[STATE_DIGEST_BYTES])
{
    crypto_generichash_state hash;
    int method = r->call->method;

    crypto_generichash_init(&hash, NULL, 0, STATE_DIGEST_BYTES);
    crypto_generichash_update(&hash, (const unsigned char *)&method,
                              sizeof(method));
    hash_field(&hash, r->service);
    hash_field(&hash, r->target);
    hash_field(&hash, buf_str(&r->call->body));
    crypto_generichash_final(&hash, out, STATE_DIGEST_BYTES);
}

static void
register_message(struct entry *e, struct request *r, const struct link *to)
{
    r->message_id = e->next_id++;
    r->link_id = to->id;
    map_put_u64(e->requests_by_message, r->message_id, r);
}

static int64_t
timeout_ms(const struct entry *e, const struct request *r)
{
    int64_t longest_ms = e->control->settings->longest_request_ms;
    int64_t remaining_ms = (r->call->deadline - e->control->now) / NS_PER_MS;

    return remaining_ms < 1
               ? 1
               : (remaining_ms < longest_ms ? remaining_ms : longest_ms);
}

void
idempotency_begin(struct entry *e, struct request *r)
{
    struct link *to = entry_leader_link(e);
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__Begin begin = WIRE__BEGIN__INIT;
    uint8_t digest[STATE_DIGEST_BYTES];
    struct buf entry_tag = {0};
    struct str key;

    if (to == NULL) {
        return;
    }
    register_message(e, r, to);
    request_digest(r, digest);
    buf_printf(&entry_tag, "%.*s:%llx", STR_ARG(e->control->settings->vm),
               (unsigned long long)e->control->run);
    key = str_dup(r->call->idempotency_key);
    begin.id = r->message_id;
    begin.team = r->team;
    begin.key = (char *)key.ptr;
    begin.request_hash.data = digest;
    begin.request_hash.len = sizeof(digest);
    begin.timeout_ms = timeout_ms(e, r);
    begin.attempt = r->id;
    begin.entry = entry_tag.ptr;
    envelope.msg_case = WIRE__ENVELOPE__MSG_BEGIN;
    envelope.begin = &begin;
    link_send(to, &envelope);
    str_free(&key);
    buf_free(&entry_tag);
}

/* ---- Stored responses ---- */

static void
encode_headers(const struct http_headers *headers, struct buf *out)
{
    for (size_t i = 0; i < headers->count; i++) {
        buf_printf(out, "%.*s: %.*s\n", STR_ARG(headers->list[i].name),
                   STR_ARG(headers->list[i].value));
    }
}

static void
decode_headers(struct str text, struct http_headers *out)
{
    while (text.len != 0) {
        struct str value = str_cut(&text, '\n');
        struct str name = str_cut(&value, ':');

        if (value.len != 0 && value.ptr[0] == ' ') {
            value = str_from(value.ptr + 1, value.len - 1);
        }
        if (name.len != 0) {
            http_headers_add(out, name, value);
        }
    }
}

static void
send_end(struct link *to, const struct request *r, uint64_t id,
         Wire__EndOutcome outcome)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__End end = WIRE__END__INIT;
    struct str key = str_dup(r->call->idempotency_key);
    struct buf headers = {0};

    encode_headers(&r->response.headers, &headers);
    end.id = id;
    end.team = r->team;
    end.key = (char *)key.ptr;
    end.record = r->record_number;
    end.outcome = outcome;
    end.status = (uint32_t)r->response.status;
    end.headers.data = (uint8_t *)headers.ptr;
    end.headers.len = headers.len;
    end.body.data = (uint8_t *)r->response.body.ptr;
    end.body.len = r->response.body.len;
    envelope.msg_case = WIRE__ENVELOPE__MSG_END;
    envelope.end = &end;
    link_send(to, &envelope);
    str_free(&key);
    buf_free(&headers);
}

static void
send_end_done(struct entry *e, struct request *r)
{
    struct link *to = entry_leader_link(e);

    if (to != NULL) {
        register_message(e, r, to);
        send_end(to, r, r->message_id, WIRE__END_OUTCOME__END_DONE);
    }
}

void
idempotency_store_response(struct entry *e, struct request *r)
{
    r->phase = REQUEST_STORING_RESPONSE;
    send_end_done(e, r);
}

static void
send_end_without_reply(struct entry *e, struct request *r,
                       Wire__EndOutcome outcome)
{
    struct link *to = entry_leader_link(e);

    if (r->record_number != 0 && to != NULL) {
        send_end(to, r, e->next_id++, outcome);
    }
}

void
idempotency_end_not_run(struct entry *e, struct request *r)
{
    send_end_without_reply(e, r, WIRE__END_OUTCOME__END_NOT_RUN);
}

void
idempotency_end_unknown(struct entry *e, struct request *r)
{
    send_end_without_reply(e, r, WIRE__END_OUTCOME__END_UNKNOWN);
}

/* ---- Replies ---- */

/* Returns the request that waits for the reply with this id, or NULL. */
static struct request *
take_request_of_reply(struct entry *e, uint64_t id)
{
    struct request *r = map_del_u64(e->requests_by_message, id);

    if (r != NULL) {
        r->message_id = 0;
    }
    return r;
}

/* Refuses a request that was not sent, and removes it from the router. */
static void
refuse_and_cancel(struct entry *e, struct request *r, int status,
                  const char *code, const char *message, const char *outcome)
{
    struct router_event event = {.kind = ROUTER_CALLER_GONE, .id = r->id};

    /* Freed first, so that the router's refusal finds no request. */
    serve_refuse(e, r, status, code, message, outcome, status == 503 ? 1 : 0);
    serve_router_event(e, &event);
}

static void
respond_stored(struct entry *e, struct request *r,
               const Wire__StoredResponse *stored)
{
    struct router_event event = {.kind = ROUTER_CALLER_GONE, .id = r->id};

    r->response.status = (int)stored->status;
    decode_headers(str_from(stored->headers.data, stored->headers.len),
                   &r->response.headers);
    buf_append(&r->response.body, stored->body.data, stored->body.len);
    serve_respond(e, r);
    serve_router_event(e, &event);
}

static void
route_recorded_request(struct entry *e, struct request *r, uint64_t record)
{
    struct router_event event = {.kind = ROUTER_RECORD_COMMITTED, .id = r->id};

    r->record_number = record;
    r->phase = REQUEST_ROUTED;
    serve_router_event(e, &event);
}

void
entry_handle_begin_reply(struct entry *e, const Wire__BeginReply *reply)
{
    struct request *r = take_request_of_reply(e, reply->id);

    if (r == NULL || r->phase != REQUEST_COMMITTING_RECORD ||
        reply->not_leader) {
        return;
    }
    switch (reply->verdict) {
    case WIRE__VERDICT__VERDICT_GO:
        route_recorded_request(e, r, reply->record);
        return;
    case WIRE__VERDICT__VERDICT_STORED:
        if (reply->stored != NULL) {
            respond_stored(e, r, reply->stored);
            return;
        }
        break;
    case WIRE__VERDICT__VERDICT_RUNNING:
        refuse_and_cancel(e, r, 409, "running",
                          "a request with this idempotency key is running",
                          "unknown");
        return;
    case WIRE__VERDICT__VERDICT_CONFLICT:
        refuse_and_cancel(e, r, 409, "conflict",
                          "this idempotency key was used for another request",
                          "not-run");
        return;
    case WIRE__VERDICT__VERDICT_UNKNOWN:
        break;
    default:
        refuse_and_cancel(e, r, 503, "refused",
                          "no more requests can be recorded at present",
                          "not-run");
        return;
    }
    refuse_and_cancel(
        e, r, 504, "unknown",
        "the outcome of the first request with this idempotency key "
        "cannot be known",
        "unknown");
}

void
entry_handle_end_reply(struct entry *e, const Wire__EndReply *reply)
{
    struct request *r = take_request_of_reply(e, reply->id);

    if (r == NULL || r->phase != REQUEST_STORING_RESPONSE ||
        reply->not_leader) {
        return;
    }
    serve_respond(e, r);
}

void
idempotency_step(struct entry *e, struct request *r)
{
    if (r->phase == REQUEST_STORING_RESPONSE &&
        r->call->deadline <= e->control->now) {
        /* The response is valid although it may not be stored; a repetition of
         * the request may then get "unknown". */
        serve_respond(e, r);
        return;
    }
    if (r->message_id != 0) {
        return;
    }
    if (r->phase == REQUEST_COMMITTING_RECORD) {
        idempotency_begin(e, r);
    }
    else if (r->phase == REQUEST_STORING_RESPONSE) {
        send_end_done(e, r);
    }
}
