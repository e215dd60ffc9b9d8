/*
 * The leader's side of renewals: entries renew the leases of endpoints that
 * announce themselves to them.
 */
#include "leader_impl.h"
#include "mem.h"

static void
send_reply(const struct leader *l, struct link *to,
           const struct announce_answer *a)
{
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__RenewalReply wire = WIRE__RENEWAL_REPLY__INIT;

    wire.term = l->term;
    wire.seq = a->seq;
    wire.group = a->group;
    wire.stamp_ns = a->stamp;
    wire.n_revoked = a->revoked_count;
    wire.revoked = a->revoked;
    envelope.msg_case = WIRE__ENVELOPE__MSG_RENEWAL_REPLY;
    envelope.renewal_reply = &wire;
    link_send(to, &envelope);
}

static void
copy_released(const Wire__Renewal *wire, struct announce_renewal *v)
{
    v->released = mem_zalloc(wire->n_released + 1, sizeof(*v->released));
    v->released_count = wire->n_released;
    for (size_t i = 0; i < wire->n_released; i++) {
        v->released[i].claim = wire->released[i]->claim;
        v->released[i].earliest = wire->released[i]->earliest_ns;
    }
}

void
leader_handle_renewal(struct leader *l, struct link *from,
                      const Wire__Renewal *wire)
{
    struct announce_renewal v = {.seq = wire->seq,
                                 .heard = wire->heard,
                                 .group = wire->group,
                                 .oldest = wire->oldest_ns,
                                 .taken = wire->taken,
                                 .taken_count = wire->n_taken};
    struct announce_answer answer;

    if (wire->term != l->term || !replica_leads(l->replica)) {
        return;
    }
    copy_released(wire, &v);
    if (announce_table_renew(l->announced, clock_now(), wire->run, &v,
                             &answer)) {
        send_reply(l, from, &answer);
    }
    announce_answer_free(&answer);
    mem_free(v.released);
}
