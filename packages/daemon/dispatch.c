/*
 * Hands each message to the role that it is for.
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
to_leader(struct control *c, struct link *from, const Wire__Envelope *env)
{
    switch (env->msg_case) {
    case WIRE__ENVELOPE__MSG_CALL:
        if (c->leader == NULL) {
            leader_refuse_call(from, env->call->id);
        }
        else {
            leader_handle_call(c->leader, from, env->call);
        }
        break;
    case WIRE__ENVELOPE__MSG_ENTRY_SYNC:
        if (c->leader != NULL) {
            leader_handle_entry_sync(c->leader, from, env->entry_sync);
        }
        break;
    case WIRE__ENVELOPE__MSG_RENEWAL:
        if (c->leader != NULL) {
            leader_handle_renewal(c->leader, from, env->renewal);
        }
        break;
    case WIRE__ENVELOPE__MSG_BEGIN:
        if (c->leader == NULL) {
            refuse_begin(from, env->begin->id);
        }
        else {
            leader_handle_begin(c->leader, from, env->begin);
        }
        break;
    case WIRE__ENVELOPE__MSG_END:
        if (c->leader == NULL) {
            refuse_end(from, env->end->id);
        }
        else {
            leader_handle_end(c->leader, from, env->end);
        }
        break;
    default:
        break;
    }
}

static void
dispatch(struct control *c, struct link *from, const Wire__Envelope *env)
{
    switch (env->msg_case) {
    case WIRE__ENVELOPE__MSG_RAFT:
        if (c->replica != NULL) {
            replica_receive(
                c->replica, from,
                str_from(env->raft->data.data, env->raft->data.len));
        }
        break;
    case WIRE__ENVELOPE__MSG_JOIN:
        if (c->replica != NULL) {
            replica_join(c->replica, from, str_of(env->join->vm),
                         env->join->member_id, str_of(env->join->address));
        }
        break;
    case WIRE__ENVELOPE__MSG_LEADER:
        entry_leader_hint(c->entry, env->leader);
        break;
    case WIRE__ENVELOPE__MSG_ENTRY_GRANT:
        entry_grant(c->entry, env->entry_grant);
        break;
    case WIRE__ENVELOPE__MSG_RENEWAL_REPLY:
        entry_renewal_reply(c->entry, env->renewal_reply);
        break;
    case WIRE__ENVELOPE__MSG_REPLY:
        entry_reply(c->entry, env->reply);
        break;
    case WIRE__ENVELOPE__MSG_BEGIN_REPLY:
        entry_begin_reply(c->entry, env->begin_reply);
        break;
    case WIRE__ENVELOPE__MSG_END_REPLY:
        entry_end_reply(c->entry, env->end_reply);
        break;
    default:
        to_leader(c, from, env);
    }
}

void
dispatch_frame(struct control *c, struct link *from, struct str bytes)
{
    Wire__Envelope *env =
        wire__envelope__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);

    if (env == NULL) {
        log_write(LOG_LEVEL_ERR, "peer: malformed message from %.*s",
                  STR_ARG(from->vm));
        if (from->session != NULL) {
            peer_close(from->session);
        }
        return;
    }
    dispatch(c, from, env);
    wire__envelope__free_unpacked(env, NULL);
}
