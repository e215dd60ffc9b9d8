/*
 * Decodes messages and passes each to the role that handles it.
 */
#include "control_impl.h"
#include "entry.h"
#include "leader.h"
#include "log.h"
#include "replica.h"

static void
refuse_begin(struct link *to, uint64_t id)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__BeginReply reply = WIRE__BEGIN_REPLY__INIT;

    reply.id = id;
    reply.not_leader = true;
    envelope.msg_case = WIRE__ENVELOPE__MSG_BEGIN_REPLY;
    envelope.begin_reply = &reply;
    link_send(to, &envelope);
}

static void
refuse_end(struct link *to, uint64_t id)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EndReply reply = WIRE__END_REPLY__INIT;

    reply.id = id;
    reply.not_leader = true;
    envelope.msg_case = WIRE__ENVELOPE__MSG_END_REPLY;
    envelope.end_reply = &reply;
    link_send(to, &envelope);
}

static void
dispatch_to_leader(struct control *c, struct link *from,
                   const Wire__Envelope *envelope)
{
    switch (envelope->msg_case) {
    case WIRE__ENVELOPE__MSG_CALL:
        if (c->leader == NULL) {
            leader_refuse_call(from, envelope->call->id);
        }
        else {
            leader_handle_call(c->leader, from, envelope->call);
        }
        break;
    case WIRE__ENVELOPE__MSG_ENTRY_SYNC:
        if (c->leader != NULL) {
            leader_handle_entry_sync(c->leader, from, envelope->entry_sync);
        }
        break;
    case WIRE__ENVELOPE__MSG_RENEWAL:
        if (c->leader != NULL) {
            leader_handle_renewal(c->leader, from, envelope->renewal);
        }
        break;
    case WIRE__ENVELOPE__MSG_BEGIN:
        if (c->leader == NULL) {
            refuse_begin(from, envelope->begin->id);
        }
        else {
            leader_handle_begin(c->leader, from, envelope->begin);
        }
        break;
    case WIRE__ENVELOPE__MSG_END:
        if (c->leader == NULL) {
            refuse_end(from, envelope->end->id);
        }
        else {
            leader_handle_end(c->leader, from, envelope->end);
        }
        break;
    default:
        break;
    }
}

static void
dispatch(struct control *c, struct link *from, const Wire__Envelope *envelope)
{
    switch (envelope->msg_case) {
    case WIRE__ENVELOPE__MSG_RAFT:
        if (c->replica != NULL) {
            replica_handle_raft_message(
                c->replica, from,
                str_from(envelope->raft->data.data, envelope->raft->data.len));
        }
        break;
    case WIRE__ENVELOPE__MSG_JOIN:
        if (c->replica != NULL) {
            replica_handle_join(c->replica, from, str_of(envelope->join->vm),
                                envelope->join->member_id,
                                str_of(envelope->join->address));
        }
        break;
    case WIRE__ENVELOPE__MSG_LEADER:
        entry_handle_leader_hint(c->entry, envelope->leader);
        break;
    case WIRE__ENVELOPE__MSG_ENTRY_GRANT:
        entry_handle_grant(c->entry, envelope->entry_grant);
        break;
    case WIRE__ENVELOPE__MSG_RENEWAL_REPLY:
        entry_handle_renewal_reply(c->entry, envelope->renewal_reply);
        break;
    case WIRE__ENVELOPE__MSG_REPLY:
        entry_handle_reply(c->entry, envelope->reply);
        break;
    case WIRE__ENVELOPE__MSG_BEGIN_REPLY:
        entry_handle_begin_reply(c->entry, envelope->begin_reply);
        break;
    case WIRE__ENVELOPE__MSG_END_REPLY:
        entry_handle_end_reply(c->entry, envelope->end_reply);
        break;
    default:
        dispatch_to_leader(c, from, envelope);
    }
}

void
dispatch_frame(struct control *c, struct link *from, struct str bytes)
{
    Wire__Envelope *envelope =
        wire__envelope__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);

    if (envelope == NULL) {
        log_write(LOG_LEVEL_ERR, "peer: malformed message from %.*s",
                  STR_ARG(from->vm));
        if (from->session != NULL) {
            peer_close(from->session);
        }
        return;
    }
    dispatch(c, from, envelope);
    wire__envelope__free_unpacked(envelope, NULL);
}
