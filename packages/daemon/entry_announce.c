/*
 * Announcements of endpoints at an entry. Repetitions of announcements that
 * the leader has accepted are confirmed together by one renewal message; any
 * other announcement is forwarded to the leader.
 */
#include "endpoint.h"
#include "entry_impl.h"
#include "mem.h"

enum {
    /* Interval of renewals while announcements wait for confirmation, and
     * otherwise; at most the endpoint lease divided by the divisor. */
    CONFIRM_INTERVAL_MS = 50,
    RENEWAL_INTERVAL_MS = 200,
    INTERVAL_LEASE_DIVISOR = 10,
    /* An unanswered renewal counts as lost after this time; at most the lease
     * divided by the divisor. */
    RENEWAL_TIMEOUT_MS = 500,
    TIMEOUT_LEASE_DIVISOR = 4,
};

static const struct confview_key *
find_endpoint_key(const struct entry *e, const struct front_call *call)
{
    uint8_t hash[STATE_HASH_BYTES];
    const struct confview_key *key;

    if (call->key.len == 0) {
        return NULL;
    }
    hash_bearer_key(call->key, hash);
    key = confview_key(e->config, hash);
    return key != NULL && key->kind == STATE_KEY_ENDPOINT ? key : NULL;
}

/* A leader that does not know the typed messages accepts announcements without
 * their time of arrival. */
bool
announce_can_send(const struct entry *e, const struct forwarded_call *f)
{
    struct announce_interval when;

    return f->endpoint.len == 0 ||
           e->leader_protocol == LEADER_PROTOCOL_UNTYPED ||
           announce_cache_leader_time(e->announced, f->call->arrived, &when);
}

static bool
is_cached(const struct entry *e, const struct forwarded_call *f)
{
    return f->call->method == HTTP_PUT &&
           announce_cache_contains(e->announced, f->endpoint,
                                   buf_str(&f->call->body), f->key_id);
}

/* The next renewal covers this announcement; its reply tells whether the
 * leader still has the endpoint. */
static void
await_confirm(struct entry *e, struct forwarded_call *f)
{
    announce_cache_refresh(e->announced, f->endpoint, f->call->arrived);
    f->confirm_seq = announce_cache_seq(e->announced) + 1;
    f->next_unconfirmed = e->unconfirmed;
    e->unconfirmed = f;
}

void
announce_handle_call(struct entry *e, struct front_call *call, struct str id)
{
    const struct confview_key *key = find_endpoint_key(e, call);
    struct forwarded_call *f;

    if (!entry_has_config_lease(e)) {
        entry_refuse_call(call, 503, "no_lease",
                          "this entry has no configuration lease", "not-run",
                          1);
        return;
    }
    if (key == NULL) {
        forward_call(e, call);
        return;
    }
    f = forward_create(e, call);
    f->endpoint = str_dup(id);
    f->key_id = key->id;
    e->renewal_wanted = true;
    if (is_cached(e, f)) {
        await_confirm(e, f);
    }
    else {
        forward_queue(e, f);
        forward_step(e);
    }
}

void
announce_unlink_unconfirmed(struct entry *e, struct forwarded_call *f)
{
    struct forwarded_call **slot = &e->unconfirmed;

    if (f->confirm_seq == 0) {
        return;
    }
    while (*slot != f) {
        slot = &(*slot)->next_unconfirmed;
    }
    *slot = f->next_unconfirmed;
    f->confirm_seq = 0;
}

void
announce_handle_reply(struct entry *e, const struct forwarded_call *f,
                      const Wire__Reply *reply)
{
    if (f->endpoint.len != 0 && reply->status == 200) {
        announce_cache_add(e->announced, f->endpoint, buf_str(&f->call->body),
                           f->key_id, f->call->arrived, reply->claim_group,
                           reply->claim);
        e->renewal_wanted = true;
    }
}

bool
announce_get_arrival(const struct entry *e, const struct forwarded_call *f,
                     Wire__Arrival *out)
{
    struct announce_interval when;

    if (f->endpoint.len == 0 ||
        e->leader_protocol == LEADER_PROTOCOL_UNTYPED ||
        !announce_cache_leader_time(e->announced, f->call->arrived, &when)) {
        return false;
    }
    out->run = e->control->run;
    out->group = announce_cache_group(e->announced);
    out->earliest_ns = when.earliest;
    out->latest_ns = when.latest;
    return true;
}

static void
respond(struct entry *e, struct forwarded_call *f)
{
    struct front_response response = {.status = 200};
    struct endpoint_answer answer = {
        .lease_ms = e->control->settings->endpoint_lease_ms};

    endpoint_answer_render(&answer, &response.body);
    http_headers_add(&response.headers, STR("Content-Type"),
                     STR("application/json"));
    http_headers_add(&response.headers, STR("Guavarock-Outcome"), STR("done"));
    front_respond(f->call, &response);
    forward_free(e, f);
}

/* Handles the reply to the renewal with number seq: answers the announcements
 * that it confirms and forwards those for which no claim is left. */
static void
confirm_announcements(struct entry *e, uint64_t seq)
{
    struct forwarded_call *f = e->unconfirmed;
    struct forwarded_call *next;
    struct forwarded_call *later = NULL;

    e->unconfirmed = NULL;
    for (; f != NULL; f = next) {
        next = f->next_unconfirmed;
        if (f->confirm_seq > seq) {
            f->next_unconfirmed = later;
            later = f;
            continue;
        }
        f->confirm_seq = 0;
        if (is_cached(e, f)) {
            respond(e, f);
        }
        else {
            forward_queue(e, f);
        }
    }
    e->unconfirmed = later;
}

void
entry_handle_renewal_reply(struct entry *e, const Wire__RenewalReply *wire)
{
    struct announce_answer a = {.seq = wire->seq,
                                .group = wire->group,
                                .stamp = wire->stamp_ns,
                                .revoked = wire->revoked,
                                .revoked_count = wire->n_revoked};

    if (wire->term != e->leader_term ||
        !announce_cache_apply_answer(e->announced, clock_now(), &a)) {
        return;
    }
    e->renewal_in_flight = false;
    confirm_announcements(e, wire->seq);
    e->renewal_wanted = e->renewal_wanted || e->unconfirmed != NULL;
    forward_step(e);
}

void
entry_set_leader_protocol(struct entry *e, bool typed)
{
    if (e->leader_protocol == LEADER_PROTOCOL_UNKNOWN) {
        e->leader_protocol =
            typed ? LEADER_PROTOCOL_TYPED : LEADER_PROTOCOL_UNTYPED;
        forward_step(e);
    }
}

void
announce_leader_changed(struct entry *e)
{
    e->leader_protocol = LEADER_PROTOCOL_UNKNOWN;
    announce_cache_reset(e->announced);
    e->renewal_in_flight = false;
    e->renewal_wanted = true;
    e->renewal_sent = 0;
}

/* Returns ms, or the endpoint lease divided by divisor if that is less, in
 * nanoseconds. */
static int64_t
cap_to_lease_ns(const struct entry *e, int64_t ms, int64_t divisor)
{
    int64_t cap_ms = e->control->settings->endpoint_lease_ms / divisor;

    return (ms < cap_ms ? ms : cap_ms) * NS_PER_MS;
}

int64_t
announce_next_deadline(const struct entry *e)
{
    if (entry_leader_link(e) == NULL ||
        e->leader_protocol != LEADER_PROTOCOL_TYPED ||
        (!e->renewal_wanted && !e->renewal_in_flight &&
         announce_cache_count(e->announced) == 0)) {
        return DEADLINE_NONE;
    }
    if (e->renewal_in_flight) {
        return e->renewal_sent +
               cap_to_lease_ns(e, RENEWAL_TIMEOUT_MS, TIMEOUT_LEASE_DIVISOR);
    }
    return e->renewal_sent + cap_to_lease_ns(e,
                                             e->renewal_wanted
                                                 ? CONFIRM_INTERVAL_MS
                                                 : RENEWAL_INTERVAL_MS,
                                             INTERVAL_LEASE_DIVISOR);
}

struct released_buffers {
    Wire__Released *list;
    Wire__Released **pointers;
};

static void
fill_released(const struct announce_renewal *v,
              struct released_buffers *buffers, Wire__Renewal *wire)
{
    buffers->list = mem_zalloc(v->released_count + 1, sizeof(*buffers->list));
    buffers->pointers =
        mem_zalloc(v->released_count + 1, sizeof(*buffers->pointers));
    for (size_t i = 0; i < v->released_count; i++) {
        Wire__Released *r = &buffers->list[i];

        wire__released__init(r);
        r->claim = v->released[i].claim;
        r->earliest_ns = v->released[i].earliest;
        buffers->pointers[i] = r;
    }
    wire->n_released = v->released_count;
    wire->released = buffers->pointers;
}

static void
send_renewal(struct entry *e, struct link *leader)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__Renewal wire = WIRE__RENEWAL__INIT;
    struct released_buffers buffers;
    struct announce_renewal v;

    announce_cache_next_renewal(e->announced, e->control->now, &v);
    wire.term = e->leader_term;
    wire.run = e->control->run;
    wire.seq = v.seq;
    wire.heard = v.heard;
    wire.group = v.group;
    wire.oldest_ns = v.oldest;
    wire.n_taken = v.taken_count;
    wire.taken = v.taken;
    fill_released(&v, &buffers, &wire);
    envelope.msg_case = WIRE__ENVELOPE__MSG_RENEWAL;
    envelope.renewal = &wire;
    link_send(leader, &envelope);
    mem_free(buffers.list);
    mem_free(buffers.pointers);
    announce_renewal_free(&v);
}

void
announce_step(struct entry *e, struct link *leader)
{
    if (leader == NULL || announce_next_deadline(e) > e->control->now) {
        return;
    }
    e->renewal_in_flight = true;
    e->renewal_wanted = false;
    e->renewal_sent = e->control->now;
    send_renewal(e, leader);
}
