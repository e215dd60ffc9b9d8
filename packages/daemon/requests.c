/*
 * Records of requests with an idempotency key. A record is committed before
 * the request is sent and ends with the stored response. If an entry process
 * is lost, a command ends the records of its running requests.
 */
#include <string.h>

#include "leader_impl.h"
#include "mem.h"

enum {
    LOST_CHECK_MS = 500, /* between checks for lost entry processes */
};

/* An entry process that has running records. */
struct request_owner {
    struct str tag;   /* VM, colon, run of the process in hexadecimal */
    int64_t deadline; /* if it has ended, its requests have too by then */
    bool lost;        /* another process of the VM has reported */
};

struct pending_begin {
    struct leader *leader;
    uint64_t link_id;
    uint64_t id;
    uint32_t team;
    struct str key;
    struct str entry;
};

static struct str
owner_vm(struct str tag)
{
    return str_cut(&tag, ':');
}

static struct request_owner *
owner_extend(struct leader *l, struct str tag)
{
    struct request_owner *o = map_get(l->request_owners, tag);

    if (o == NULL) {
        o = mem_zalloc(1, sizeof(*o));
        o->tag = str_dup(tag);
        map_put(l->request_owners, tag, o);
    }
    o->deadline = l->control->now + ledger_reclaim_delay_ns(l->ledger);
    return o;
}

void
requests_create(struct leader *l)
{
    const struct state_request *r;
    void *cursor = NULL;

    l->request_owners = map_create();
    while ((r = state_request_next(leader_state(l), &cursor)) != NULL) {
        if (r->state == STATE_REQUEST_RUNNING) {
            owner_extend(l, r->entry);
        }
    }
}

static void
owner_free(struct request_owner *o)
{
    str_free(&o->tag);
    mem_free(o);
}

void
requests_destroy(struct leader *l)
{
    struct request_owner *o;
    void *cursor = NULL;

    while ((o = map_next(l->request_owners, &cursor)) != NULL) {
        owner_free(o);
    }
    map_destroy(l->request_owners);
}

void
requests_mark_lost(struct leader *l, struct str vm, uint64_t run)
{
    struct request_owner *o;
    struct buf current = {0};
    void *cursor = NULL;

    buf_printf(&current, "%.*s:%llx", STR_ARG(vm), (unsigned long long)run);
    while ((o = map_next(l->request_owners, &cursor)) != NULL) {
        if (str_eq(owner_vm(o->tag), vm) &&
            !str_eq(o->tag, buf_str(&current))) {
            o->lost = true;
        }
    }
    buf_free(&current);
}

static bool
is_reporting(const struct leader *l, const struct request_owner *o)
{
    const struct entry_record *e = entries_find(l, owner_vm(o->tag));

    return e != NULL && !o->lost &&
           e->reported_at + ledger_reclaim_delay_ns(l->ledger) >
               l->control->now &&
           e->reported_at != 0;
}

void
requests_step(struct leader *l)
{
    struct request_owner *o;
    void *cursor = NULL;

    if (l->owners_due > l->control->now || !replica_leads(l->replica)) {
        return;
    }
    l->owners_due = l->control->now + LOST_CHECK_MS * NS_PER_MS;
    while ((o = map_next(l->request_owners, &cursor)) != NULL) {
        struct state_actor actor = leader_system_actor();
        struct buf command = {0};

        if (is_reporting(l, o) ||
            (!o->lost && o->deadline > l->control->now)) {
            continue;
        }
        state_cmd_entry_lost(&command, &actor, o->tag);
        if (replica_propose(l->replica, buf_str(&command),
                            replica_no_waiter)) {
            map_del(l->request_owners, o->tag);
            owner_free(o);
        }
        buf_free(&command);
    }
}

/* ---- Begin ---- */

static void
send_begin_reply(struct leader *l, uint64_t link_id,
                 const Wire__BeginReply *reply)
{
    struct link *to = control_find_link_by_id(l->control, link_id);
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

    if (to != NULL) {
        envelope.msg_case = WIRE__ENVELOPE__MSG_BEGIN_REPLY;
        envelope.begin_reply = (Wire__BeginReply *)reply;
        link_send(to, &envelope);
    }
}

static void
reply_existing(const struct pending_begin *p, Wire__BeginReply *reply)
{
    const struct state_request *r =
        state_request(leader_state(p->leader), p->team, p->key);
    Wire__StoredResponse stored = WIRE__STORED_RESPONSE__INIT;

    reply->verdict = WIRE__VERDICT__VERDICT_UNKNOWN;
    if (r == NULL) {
        send_begin_reply(p->leader, p->link_id, reply);
        return;
    }
    reply->record = r->number;
    if (r->state == STATE_REQUEST_RUNNING) {
        reply->verdict = WIRE__VERDICT__VERDICT_RUNNING;
    }
    else if (r->state == STATE_REQUEST_FINISHED && r->stored) {
        reply->verdict = WIRE__VERDICT__VERDICT_STORED;
        stored.status = r->response.status;
        stored.headers.data = (uint8_t *)r->response.headers.ptr;
        stored.headers.len = r->response.headers.len;
        stored.body.data = (uint8_t *)r->response.body.ptr;
        stored.body.len = r->response.body.len;
        reply->stored = &stored;
    }
    send_begin_reply(p->leader, p->link_id, reply);
}

static void
begin_applied(void *arg, const struct state_result *result)
{
    struct pending_begin *p = arg;
    Wire__BeginReply reply = WIRE__BEGIN_REPLY__INIT;

    reply.id = p->id;
    if (result == NULL) {
        reply.not_leader = true;
        send_begin_reply(p->leader, p->link_id, &reply);
    }
    else if (result->kind == STATE_DUPLICATE) {
        reply_existing(p, &reply);
    }
    else {
        if (result->kind == STATE_APPLIED) {
            reply.verdict = WIRE__VERDICT__VERDICT_GO;
            reply.record = result->u.applied.number;
            owner_extend(p->leader, p->entry);
        }
        else if (result->kind == STATE_CONFLICT) {
            reply.verdict = WIRE__VERDICT__VERDICT_CONFLICT;
        }
        send_begin_reply(p->leader, p->link_id, &reply);
    }
    str_free(&p->key);
    str_free(&p->entry);
    mem_free(p);
}

void
leader_handle_begin(struct leader *l, struct link *from,
                    const Wire__Begin *begin)
{
    Wire__BeginReply reply = WIRE__BEGIN_REPLY__INIT;
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};
    struct pending_begin *p;
    uint8_t digest[STATE_DIGEST_BYTES] = {0};

    reply.id = begin->id;
    if (!replica_leads(l->replica)) {
        reply.not_leader = true;
        send_begin_reply(l, from->id, &reply);
        return;
    }
    if (begin->request_hash.len == sizeof(digest)) {
        memcpy(digest, begin->request_hash.data, sizeof(digest));
    }
    p = mem_zalloc(1, sizeof(*p));
    *p = (struct pending_begin){l,
                                from->id,
                                begin->id,
                                begin->team,
                                str_dup(str_of(begin->key)),
                                str_dup(str_of(begin->entry))};
    state_cmd_request_begin(&command, &actor, begin->team, p->key, digest,
                            p->entry, begin->attempt, begin->timeout_ms);
    if (!replica_propose(l->replica, buf_str(&command),
                         (struct replica_waiter){begin_applied, p})) {
        begin_applied(p, NULL);
    }
    buf_free(&command);
}

/* ---- End ---- */

struct pending_end {
    struct leader *leader;
    uint64_t link_id;
    uint64_t id;
};

static void
end_applied(void *arg, const struct state_result *result)
{
    struct pending_end *p = arg;
    Wire__EndReply reply = WIRE__END_REPLY__INIT;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    struct link *to = control_find_link_by_id(p->leader->control, p->link_id);

    reply.id = p->id;
    reply.accepted = result != NULL;
    reply.not_leader = result == NULL;
    if (to != NULL) {
        envelope.msg_case = WIRE__ENVELOPE__MSG_END_REPLY;
        envelope.end_reply = &reply;
        link_send(to, &envelope);
    }
    mem_free(p);
}

static enum state_request_state
end_state(Wire__EndOutcome outcome)
{
    switch (outcome) {
    case WIRE__END_OUTCOME__END_DONE:
        return STATE_REQUEST_FINISHED;
    case WIRE__END_OUTCOME__END_NOT_RUN:
        return STATE_REQUEST_NOT_RUN;
    default:
        return STATE_REQUEST_UNKNOWN;
    }
}

void
leader_handle_end(struct leader *l, struct link *from, const Wire__End *end)
{
    const struct state_response response = {
        end->status,
        {(char *)end->headers.data, end->headers.len},
        {(char *)end->body.data, end->body.len}};
    struct state_actor actor = leader_system_actor();
    struct pending_end *p = mem_zalloc(1, sizeof(*p));
    struct buf command = {0};

    *p = (struct pending_end){l, from->id, end->id};
    if (!replica_leads(l->replica)) {
        end_applied(p, NULL);
        return;
    }
    state_cmd_request_end(&command, &actor, end->team, str_of(end->key),
                          end->record, end_state(end->outcome), &response);
    if (!replica_propose(l->replica, buf_str(&command),
                         (struct replica_waiter){end_applied, p})) {
        end_applied(p, NULL);
    }
    buf_free(&command);
}
