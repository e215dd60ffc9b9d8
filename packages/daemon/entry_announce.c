/*
 * Announcements of endpoints at an entry. One that the leader knows already is
 * confirmed together with others by one message; any other is forwarded.
 */
#include "endpoint.h"
#include "entry_impl.h"
#include "mem.h"

enum {
    /* Between two messages: while calls wait, and otherwise. Parts of the
     * lease apply where they are less. */
    CONFIRM_MS = 50,
    RENEWAL_MS = 200,
    RENEWAL_PART = 10,
    /* An unanswered message counts as lost. */
    LOST_MS = 500,
    LOST_PART = 4,
};

static const struct confview_key *
find_key(const struct entry *e, const struct front_call *call)
{
    uint8_t hash[STATE_HASH_BYTES];
    const struct confview_key *key;

    if (call->key.len == 0) {
        return NULL;
    }
    key_hash(call->key, hash);
    key = confview_key(e->config, hash);
    return key != NULL && key->kind == STATE_KEY_ENDPOINT ? key : NULL;
}

/* An older leader takes announcements without their arrival. */
bool
announce_sendable(const struct entry *e, const struct forward *f)
{
    struct announce_when when;

    return f->endpoint.len == 0 || e->leader_kind == LEADER_OLDER ||
           announce_cache_when(e->announced, f->call->arrived, &when);
}

static bool
is_held(const struct entry *e, const struct forward *f)
{
    return f->call->method == HTTP_PUT &&
           announce_cache_holds(e->announced, f->endpoint,
                                buf_str(&f->call->body), f->key_id);
}

/* The next message tells the leader of this announcement, and its answer
 * whether the leader still has the endpoint. */
static void
await_confirm(struct entry *e, struct forward *f)
{
    announce_cache_seen(e->announced, f->endpoint, f->call->arrived);
    f->confirm_seq = announce_cache_seq(e->announced) + 1;
    f->next_confirm = e->confirms;
    e->confirms = f;
}

void
announce_call(struct entry *e, struct front_call *call, struct str id)
{
    const struct confview_key *key = find_key(e, call);
    struct forward *f;

    if (!entry_ready(e)) {
        front_refuse(call, 503, "no_lease",
                     "this entry has no configuration lease", "not-run", 1);
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
    if (is_held(e, f)) {
        await_confirm(e, f);
    }
    else {
        forward_queue(e, f);
        forward_step(e);
    }
}

void
announce_unlink(struct entry *e, struct forward *f)
{
    struct forward **at = &e->confirms;

    if (f->confirm_seq == 0) {
        return;
    }
    while (*at != f) {
        at = &(*at)->next_confirm;
    }
    *at = f->next_confirm;
    f->confirm_seq = 0;
}

void
announce_granted(struct entry *e, const struct forward *f,
                 const Wire__Reply *reply)
{
    if (f->endpoint.len != 0 && reply->status == 200) {
        announce_cache_granted(
            e->announced, f->endpoint, buf_str(&f->call->body), f->key_id,
            f->call->arrived, reply->claim_group, reply->claim);
        e->renewal_wanted = true;
    }
}

bool
announce_arrival(const struct entry *e, const struct forward *f,
                 Wire__Arrival *out)
{
    struct announce_when when;

    if (f->endpoint.len == 0 || e->leader_kind == LEADER_OLDER ||
        !announce_cache_when(e->announced, f->call->arrived, &when)) {
        return false;
    }
    out->run = e->control->run;
    out->group = announce_cache_group(e->announced);
    out->earliest_ns = when.earliest;
    out->latest_ns = when.latest;
    return true;
}

static void
respond(struct entry *e, struct forward *f)
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

static void
confirm(struct entry *e, uint64_t seq)
{
    struct forward *f = e->confirms;
    struct forward *next;
    struct forward *later = NULL;

    e->confirms = NULL;
    for (; f != NULL; f = next) {
        next = f->next_confirm;
        if (f->confirm_seq > seq) {
            f->next_confirm = later;
            later = f;
            continue;
        }
        f->confirm_seq = 0;
        if (is_held(e, f)) {
            respond(e, f);
        }
        else {
            forward_queue(e, f);
        }
    }
    e->confirms = later;
}

void
entry_renewal_reply(struct entry *e, const Wire__RenewalReply *wire)
{
    struct announce_answer a = {.seq = wire->seq,
                                .group = wire->group,
                                .stamp = wire->stamp_ns,
                                .revoked = wire->revoked,
                                .revoked_count = wire->n_revoked};

    if (wire->term != e->leader_term ||
        !announce_cache_answered(e->announced, clock_now(), &a)) {
        return;
    }
    e->renewal_open = false;
    confirm(e, wire->seq);
    e->renewal_wanted = e->renewal_wanted || e->confirms != NULL;
    forward_step(e);
}

void
entry_leader_typed(struct entry *e, bool typed)
{
    if (e->leader_kind == LEADER_UNKNOWN) {
        e->leader_kind = typed ? LEADER_TYPED : LEADER_OLDER;
        forward_step(e);
    }
}

void
announce_leader_changed(struct entry *e)
{
    e->leader_kind = LEADER_UNKNOWN;
    announce_cache_reset(e->announced);
    e->renewal_open = false;
    e->renewal_wanted = true;
    e->renewal_sent = 0;
}

static int64_t
part_of_lease(const struct entry *e, int64_t ms, int64_t part)
{
    int64_t bound = e->control->settings->endpoint_lease_ms / part;

    return (ms < bound ? ms : bound) * NS_PER_MS;
}

int64_t
announce_next_deadline(const struct entry *e)
{
    if (entry_leader_link(e) == NULL || e->leader_kind != LEADER_TYPED ||
        (!e->renewal_wanted && !e->renewal_open &&
         announce_cache_count(e->announced) == 0)) {
        return DEADLINE_NONE;
    }
    if (e->renewal_open) {
        return e->renewal_sent + part_of_lease(e, LOST_MS, LOST_PART);
    }
    return e->renewal_sent +
           part_of_lease(e, e->renewal_wanted ? CONFIRM_MS : RENEWAL_MS,
                         RENEWAL_PART);
}

struct released_space {
    Wire__Released *list;
    Wire__Released **pointers;
};

static void
fill_released(const struct announce_renewal *v, struct released_space *space,
              Wire__Renewal *wire)
{
    space->list = mem_zalloc(v->released_count + 1, sizeof(*space->list));
    space->pointers =
        mem_zalloc(v->released_count + 1, sizeof(*space->pointers));
    for (size_t i = 0; i < v->released_count; i++) {
        Wire__Released *r = &space->list[i];

        wire__released__init(r);
        r->claim = v->released[i].claim;
        r->earliest_ns = v->released[i].earliest;
        space->pointers[i] = r;
    }
    wire->n_released = v->released_count;
    wire->released = space->pointers;
}

static void
send_renewal(struct entry *e, struct link *leader)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__Renewal wire = WIRE__RENEWAL__INIT;
    struct released_space space;
    struct announce_renewal v;

    announce_cache_renewal(e->announced, e->control->now, &v);
    wire.term = e->leader_term;
    wire.run = e->control->run;
    wire.seq = v.seq;
    wire.heard = v.heard;
    wire.group = v.group;
    wire.oldest_ns = v.oldest;
    wire.n_taken = v.taken_count;
    wire.taken = v.taken;
    fill_released(&v, &space, &wire);
    envelope.msg_case = WIRE__ENVELOPE__MSG_RENEWAL;
    envelope.renewal = &wire;
    link_send(leader, &envelope);
    mem_free(space.list);
    mem_free(space.pointers);
    announce_renewal_free(&v);
}

void
announce_step(struct entry *e, struct link *leader)
{
    if (leader == NULL || announce_next_deadline(e) > e->control->now) {
        return;
    }
    e->renewal_open = true;
    e->renewal_wanted = false;
    e->renewal_sent = e->control->now;
    send_renewal(e, leader);
}
