#include <string.h>

#include "mem.h"
#include "state_impl.h"

static void
append_record_key(struct buf *out, uint32_t team, struct str key)
{
    buf_append(out, &team, sizeof(team));
    buf_append_str(out, key);
}

static struct request *
find_request(const struct state *s, uint32_t team, struct str key)
{
    struct buf record_key = {0};
    struct request *r;

    append_record_key(&record_key, team, key);
    r = map_get(s->requests, buf_str(&record_key));
    buf_free(&record_key);
    return r;
}

struct request *
request_after(const struct state *s, const struct request *r)
{
    struct buf record_key = {0};
    struct request *next;

    append_record_key(&record_key, r->pub.team, r->pub.key);
    next = map_after(s->requests, buf_str(&record_key));
    buf_free(&record_key);
    return next;
}

void
request_link(struct request_list *list, struct request *r)
{
    r->prev = list->last;
    r->next = NULL;
    if (list->last == NULL) {
        list->first = r;
    }
    else {
        list->last->next = r;
    }
    list->last = r;
}

static void
request_unlink(struct request_list *list, struct request *r)
{
    if (r->prev == NULL) {
        list->first = r->next;
    }
    else {
        r->prev->next = r->next;
    }
    if (r->next == NULL) {
        list->last = r->prev;
    }
    else {
        r->next->prev = r->prev;
    }
    r->prev = NULL;
    r->next = NULL;
}

static uint64_t
response_bytes(const struct request *r)
{
    return r->pub.response.headers.len + r->pub.response.body.len;
}

/* Copies the strings and adds a running record to the list of running ones. */
struct request *
request_insert(struct state *s, const struct state_request *from)
{
    struct request *r = mem_zalloc(1, sizeof(*r));
    struct buf record_key = {0};

    r->pub = *from;
    r->pub.key = str_dup(from->key);
    r->pub.entry = str_dup(from->entry);
    r->pub.stored = false;
    r->pub.response = (struct state_response){0};
    append_record_key(&record_key, from->team, from->key);
    map_put(s->requests, buf_str(&record_key), r);
    buf_free(&record_key);
    if (r->pub.state == STATE_REQUEST_RUNNING) {
        request_link(&s->running_requests, r);
    }
    return r;
}

void
request_store(struct state *s, struct request *r,
              const struct state_response *response)
{
    r->pub.stored = true;
    r->pub.response.status = response->status;
    r->pub.response.headers = str_dup(response->headers);
    r->pub.response.body = str_dup(response->body);
    s->stored_response_bytes += response_bytes(r);
    request_link(&s->stored_requests, r);
}

static void
drop_response(struct state *s, struct request *r)
{
    if (!r->pub.stored) {
        return;
    }
    snapshot_save_request(s, r);
    s->stored_response_bytes -= response_bytes(r);
    request_unlink(&s->stored_requests, r);
    str_free(&r->pub.response.headers);
    str_free(&r->pub.response.body);
    r->pub.stored = false;
    r->store_seq = 0;
}

static void
set_state(struct state *s, struct request *r, enum state_request_state next)
{
    snapshot_save_request(s, r);
    if (r->pub.state == STATE_REQUEST_RUNNING) {
        request_unlink(&s->running_requests, r);
    }
    r->pub.state = next;
}

void
request_free(struct request *r)
{
    str_free(&r->pub.key);
    str_free(&r->pub.entry);
    str_free(&r->pub.response.headers);
    str_free(&r->pub.response.body);
    mem_free(r);
}

static void
drop_request(struct state *s, struct request *r)
{
    struct buf record_key = {0};

    set_state(s, r, STATE_REQUEST_UNKNOWN);
    drop_response(s, r);
    append_record_key(&record_key, r->pub.team, r->pub.key);
    map_del(s->requests, buf_str(&record_key));
    buf_free(&record_key);
    request_free(r);
}

void
requests_expire(struct state *s)
{
    for (int i = 0; i < EXPIRE_BATCH; i++) {
        void *cursor = NULL;
        struct request *oldest = map_next(s->requests, &cursor);
        if (oldest == NULL ||
            s->wall_ms - oldest->pub.begun_ms < s->settings.request_keep_ms) {
            return;
        }
        drop_request(s, oldest);
    }
}

static bool
read_begin(struct apply *a, struct state_request *input)
{
    const State__RequestBegin *begin = a->cmd->request_begin;

    input->team = begin->team;
    input->key = proto_str(begin->key);
    input->entry = proto_str(begin->entry);
    input->attempt = begin->attempt;
    input->timeout_ms = begin->timeout_ms;
    input->begun_ms = a->s->wall_ms;
    input->state = STATE_REQUEST_RUNNING;
    return input->key.len > 0 && input->key.len <= STATE_IDEMPOTENCY_KEY_MAX &&
           name_valid(input->entry) && input->timeout_ms >= 0 &&
           input->timeout_ms <= a->s->settings.request_keep_ms &&
           proto_digest(begin->digest, input->digest);
}

static void
answer_repeated_begin(struct apply *a, struct request *r,
                      const struct state_request *input)
{
    struct state_first_result first = {.kind = STATE_APPLIED,
                                       .number = r->pub.number};
    int64_t deadline_ms =
        r->pub.begun_ms + r->pub.timeout_ms + STATE_REQUEST_GRACE_MS;

    if (memcmp(r->pub.digest, input->digest, STATE_DIGEST_BYTES) != 0) {
        result_conflict(a, 0, STATE_REASON_REQUEST_MISMATCH);
        return;
    }
    if (r->pub.state == STATE_REQUEST_RUNNING &&
        r->pub.attempt == input->attempt &&
        str_eq(r->pub.entry, input->entry)) {
        result_applied(a, 0, r->pub.number, 0);
        return;
    }
    if (r->pub.state == STATE_REQUEST_RUNNING && a->s->wall_ms > deadline_ms) {
        set_state(a->s, r, STATE_REQUEST_UNKNOWN);
    }
    result_duplicate(a, &first);
}

void
apply_request_begin(struct apply *a)
{
    struct state_request input = {0};
    struct state *s = a->s;
    struct request *r;

    if (!read_begin(a, &input)) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    if (team_find_live(s, input.team) == NULL) {
        result_invalid(a, STATE_REASON_TEAM_UNKNOWN);
        return;
    }
    r = find_request(s, input.team, input.key);
    if (r != NULL) {
        answer_repeated_begin(a, r, &input);
        return;
    }
    /* The oldest record is not dropped instead, because its request would run
     * a second time if it were repeated. */
    if (map_count(s->requests) >= s->settings.request_max) {
        result_invalid(a, STATE_REASON_FULL);
        return;
    }
    input.number = s->next_request++;
    request_insert(s, &input);
    result_applied(a, 0, input.number, 1);
}

static bool
response_fits(const State__Response *response)
{
    return response != NULL &&
           response->headers.len <= STATE_RESPONSE_HEADERS_MAX &&
           response->body.len <= STATE_RESPONSE_BODY_MAX;
}

static void
finish_request(struct state *s, struct request *r, const State__Response *from)
{
    struct state_response response = {.status = from->status,
                                      .headers = proto_str(from->headers),
                                      .body = proto_str(from->body)};

    set_state(s, r, STATE_REQUEST_FINISHED);
    r->store_seq = s->next_store++;
    request_store(s, r, &response);
    /* Only responses are dropped: the records stay, so that no repeated
     * request runs a second time. */
    while (s->stored_requests.first != NULL &&
           s->stored_response_bytes > s->settings.request_bytes_max) {
        drop_response(s, s->stored_requests.first);
    }
}

static void
end_request(struct apply *a, struct request *r)
{
    const State__RequestEnd *end = a->cmd->request_end;
    struct state_first_result first = {.kind = STATE_APPLIED,
                                       .number = r->pub.number};
    uint64_t number = r->pub.number;

    if (r->pub.state == STATE_REQUEST_FINISHED) {
        result_duplicate(a, &first);
        return;
    }
    if (end->outcome == STATE_REQUEST_NOT_RUN) {
        drop_request(a->s, r);
    }
    else if (end->outcome == STATE_REQUEST_FINISHED &&
             response_fits(end->response)) {
        finish_request(a->s, r, end->response);
    }
    else {
        set_state(a->s, r, STATE_REQUEST_UNKNOWN);
    }
    result_applied(a, 0, number, 1);
}

void
apply_request_end(struct apply *a)
{
    const State__RequestEnd *end = a->cmd->request_end;
    struct request *r;

    if (end->outcome < STATE_REQUEST_FINISHED ||
        end->outcome > STATE_REQUEST_NOT_RUN) {
        result_invalid(a, STATE_REASON_BAD_FIELD);
        return;
    }
    r = find_request(a->s, end->team, proto_str(end->key));
    if (r == NULL || r->pub.number != end->number) {
        result_not_found(a, STATE_REASON_NOT_FOUND);
        return;
    }
    end_request(a, r);
}

void
apply_entry_lost(struct apply *a)
{
    struct str entry = proto_str(a->cmd->entry_lost->entry);
    struct request *next;
    size_t changed = 0;

    for (struct request *r = a->s->running_requests.first; r != NULL;
         r = next) {
        next = r->next;
        if (str_eq(r->pub.entry, entry)) {
            set_state(a->s, r, STATE_REQUEST_UNKNOWN);
            changed++;
        }
    }
    result_applied(a, 0, 0, changed);
}

const struct state_request *
state_request(const struct state *s, uint32_t team, struct str key)
{
    const struct request *r = find_request(s, team, key);

    return r == NULL ? NULL : &r->pub;
}

const struct state_request *
state_request_next(const struct state *s, void **cursor)
{
    const struct request *r = map_next(s->requests, cursor);

    return r == NULL ? NULL : &r->pub;
}
