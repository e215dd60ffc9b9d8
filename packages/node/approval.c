/*
 * Calls to the approval service on behalf of the leader, which distributes
 * them over the VMs because the service handles one call per VM at a time.
 */
#include "clock.h"
#include "event.h"
#include "internal.h"
#include "mem.h"

struct approval_client {
    struct node *node;
};

static struct event_kind event_approval = {.name = "approval",
                                           .per_second = 20};

struct approval_client *
approval_client_create(struct node *n)
{
    struct approval_client *a = mem_zalloc(1, sizeof(*a));

    a->node = n;
    return a;
}

void
approval_client_destroy(struct approval_client *a)
{
    mem_free(a);
}

/* Passes the answer to the leader over the link with id to; 0: the leader is
 * this process. */
static void
deliver_answer(struct node *n, uint64_t to, Node__Answer *answer)
{
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    struct link *l;

    if (to == 0) {
        if (n->leader != NULL) {
            leader_handle_approval(n->leader, answer, 0);
        }
        return;
    }
    l = map_get_u64(n->links, to);
    if (l != NULL) {
        envelope.msg_case = NODE__ENVELOPE__MSG_ANSWER;
        envelope.answer = answer;
        link_send(l, &envelope);
    }
}

static void
answer_free(Node__Answer *answer)
{
    for (size_t i = 0; i < answer->n_approved; i++) {
        mem_free(answer->approved[i]->worker);
        mem_free(answer->approved[i]->ticket);
        mem_free(answer->approved[i]);
    }
    mem_free(answer->approved);
}

static void
handle_approval_result(struct node *n, struct out_call *call,
                       const struct upstream_result *result)
{
    Node__Answer answer = NODE__ANSWER__INIT;

    answer.id = call->requester_id;
    answer.busy = result->status == 429 || result->status == 503;
    answer.ok = result->failure == UPSTREAM_OK &&
                n->adapter->decode_approval(result->status,
                                            buf_str(&result->body), &answer);
    if (!answer.ok) {
        event_write(&event_approval, "outcome=failed status=%d failure=%s",
                    result->status, upstream_failure_name(result->failure));
    }
    deliver_answer(n, call->link, &answer);
    answer_free(&answer);
}

void
approval_client_send(struct approval_client *a, struct link *from,
                     const Node__Ask *ask)
{
    struct node *n = a->node;
    struct out_call *call = mem_zalloc(1, sizeof(*call));
    Node__Answer answer = NODE__ANSWER__INIT;
    uint64_t link = from == NULL ? 0 : from->id;

    n->adapter->encode_approval(ask, &call->http);
    call->address = str_dup(n->settings.approval_address);
    call->on_response = handle_approval_result;
    call->link = link;
    call->requester_id = ask->id;
    if (!out_send(n, call, n->now + ask->timeout_ms * NS_PER_MS)) {
        answer.id = ask->id;
        deliver_answer(n, link, &answer);
    }
}
