/*
 * Entries vouch for endpoints that announce themselves to them: the leader's
 * side of the messages.
 */
#include "leader_impl.h"
#include "mem.h"

static void
send_answer(const struct leader *l, struct link *to,
            const struct announce_answer *a)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__VouchAnswer wire = WIRE__VOUCH_ANSWER__INIT;

    wire.term = l->term;
    wire.seq = a->seq;
    wire.group = a->group;
    wire.stamp_ns = a->stamp;
    wire.n_revoked = a->revoked_count;
    wire.revoked = a->revoked;
    envelope.msg_case = WIRE__ENVELOPE__MSG_VOUCH_ANSWER;
    envelope.vouch_answer = &wire;
    link_send(to, &envelope);
}

static void
take_released(const Wire__Vouch *wire, struct announce_vouch *v)
{
    v->released = mem_zalloc(wire->n_released + 1, sizeof(*v->released));
    v->released_count = wire->n_released;
    for (size_t i = 0; i < wire->n_released; i++) {
        v->released[i].claim = wire->released[i]->claim;
        v->released[i].earliest = wire->released[i]->earliest_ns;
    }
}

void
leader_vouch(struct leader *l, struct link *from, const Wire__Vouch *wire)
{
    struct announce_vouch v = {.seq = wire->seq,
                               .heard = wire->heard,
                               .group = wire->group,
                               .oldest = wire->oldest_ns,
                               .taken = wire->taken,
                               .taken_count = wire->n_taken};
    struct announce_answer answer;

    if (wire->term != l->term || !replica_leads(l->replica)) {
        return;
    }
    take_released(wire, &v);
    if (announce_table_vouch(l->announced, clock_now(), wire->run, &v,
                             &answer)) {
        send_answer(l, from, &answer);
    }
    announce_answer_free(&answer);
    mem_free(v.released);
}
