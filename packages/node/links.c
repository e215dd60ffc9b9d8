/*
 * Sessions with other processes and the messages on them.
 */
#include <sodium.h>

#include "clock.h"
#include "event.h"
#include "internal.h"
#include "log.h"
#include "mem.h"

static struct event_kind event_session = {.name = "session", .per_second = 20};
static struct event_kind event_leader = {.name = "leader"};

static struct link *
link_by_id(const struct node *n, uint64_t id)
{
    return map_get_u64(n->links, id);
}

struct link *
link_find(const struct node *n, struct str vm)
{
    struct peer_session *session = peer_find(n->hub, vm);

    return session == NULL ? NULL : peer_session_data(session);
}

struct link *
links_leader(const struct node *n)
{
    if (n->leader_vm.len == 0) {
        return NULL;
    }
    return link_find(n, n->leader_vm);
}

void
link_send(struct link *l, const Node__Envelope *envelope)
{
    size_t len = node__envelope__get_packed_size(envelope);
    uint8_t *bytes = mem_alloc(len + 1);

    node__envelope__pack(envelope, bytes);
    if (!peer_send(l->session, str_from(bytes, len))) {
        log_write(LOG_LEVEL_WARNING,
                  "peer: cannot queue a message of %zu bytes to %.*s", len,
                  STR_ARG(l->vm));
    }
    mem_free(bytes);
}

void
links_add_target(struct node *n, struct str address)
{
    struct peer_target target = {.address = address};

    if (address.len == 0 || str_eq(address, n->settings.peer_listen) ||
        map_get(n->targets, address) != NULL) {
        return;
    }
    map_put(n->targets, address, n);
    peer_add_target(n->hub, &target, n->now);
}

static void
send_about(const struct node *n, struct link *l)
{
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    Node__About about = NODE__ABOUT__INIT;

    about.failure_domain = (char *)n->settings.failure_domain.ptr;
    about.relays = n->drain_until == 0;
    about.keeps_evacuations = true;
    about.clock_ns = clock_now();
    envelope.msg_case = NODE__ENVELOPE__MSG_ABOUT;
    envelope.about = &about;
    link_send(l, &envelope);
}

void
links_announce(struct node *n)
{
    struct link *l;
    void *cursor = NULL;

    while ((l = map_next(n->links, &cursor)) != NULL) {
        send_about(n, l);
    }
}

static void
handle_about(struct link *from, const Node__About *about)
{
    str_replace(&from->failure_domain, str_of(about->failure_domain));
    from->relays = about->relays;
    from->keeps_evacuations = about->keeps_evacuations;
    send_window_record_clock(&from->clock, about->clock_ns, clock_now());
}

static void
link_free(struct link *l)
{
    str_free(&l->vm);
    str_free(&l->address);
    str_free(&l->failure_domain);
    buf_free(&l->worker_calls);
    buf_free(&l->worker_answers);
    mem_free(l);
}

static void
session_up(void *arg, struct peer_session *session,
           const struct peer_identity *identity)
{
    struct node *n = arg;
    struct link *l = mem_zalloc(1, sizeof(*l));

    l->id = ++n->last_link_id;
    l->session = session;
    l->vm = str_dup(identity->vm);
    l->vm_hash = str_hash(l->vm);
    l->member_id = identity->member_id;
    l->cluster_id = identity->cluster_id;
    map_put_u64(n->links, l->id, l);
    peer_session_set_data(session, l);
    event_write(&event_session, "state=up other=%.*s", STR_ARG(l->vm));
    send_about(n, l);
    if (n->group != NULL) {
        group_send_hint(n->group, l);
    }
}

static void
session_down(void *arg, struct peer_session *session,
             enum peer_down_reason reason)
{
    struct node *n = arg;
    struct link *l = peer_session_data(session);

    event_write(&event_session, "state=down other=%.*s reason=\"%s\"",
                STR_ARG(l->vm), peer_down_text(reason));
    map_del_u64(n->links, l->id);
    calls_link_down(n->calls, l->id);
    if (n->leader != NULL) {
        leader_link_down(n->leader, l->id);
    }
    relay_link_down(n, l->id);
    link_free(l);
}

static void
handle_hint(struct node *n, const Node__Hint *hint)
{
    for (size_t i = 0; i < hint->n_members; i++) {
        links_add_target(n, str_of(hint->members[i]));
    }
    /* A member learns the leader from Raft; hints may be older. */
    if (n->group != NULL && group_is_member(n->group)) {
        return;
    }
    if (hint->leader[0] == '\0' || hint->term < n->leader_term) {
        return;
    }
    if (hint->term > n->leader_term ||
        !str_eq(n->leader_vm, str_of(hint->leader))) {
        n->leader_term = hint->term;
        n->leader_since = n->now;
        str_replace(&n->leader_vm, str_of(hint->leader));
        event_write(&event_leader, "leader=%s term=%llu", hint->leader,
                    (unsigned long long)hint->term);
    }
}

static void
handle_request(struct node *n, struct link *from, const Node__Request *request)
{
    struct requester requester = {from->id, request->id};

    if (n->group == NULL || !group_is_leader(n->group)) {
        request_refuse(n, requester, NODE__OUTCOME__NOT_LEADER,
                       "not the leader", 0);
        return;
    }
    leader_handle_request(n->leader, requester, request);
}

static void
handle_message(struct node *n, struct link *from, const Node__Envelope *env)
{
    switch (env->msg_case) {
    case NODE__ENVELOPE__MSG_RAFT:
        if (n->group != NULL) {
            group_receive(n->group, from,
                          str_from(env->raft->data.data, env->raft->data.len));
        }
        break;
    case NODE__ENVELOPE__MSG_JOIN:
        if (n->group != NULL) {
            group_handle_join(n->group, from, env->join);
        }
        break;
    case NODE__ENVELOPE__MSG_HINT:
        handle_hint(n, env->hint);
        break;
    case NODE__ENVELOPE__MSG_REQUEST:
        handle_request(n, from, env->request);
        break;
    case NODE__ENVELOPE__MSG_REPLY:
        calls_handle_reply(n->calls, env->reply);
        break;
    case NODE__ENVELOPE__MSG_ASK:
        approval_client_send(n->approval_client, from, env->ask);
        break;
    case NODE__ENVELOPE__MSG_ANSWER:
        if (n->leader != NULL) {
            leader_handle_approval(n->leader, env->answer, from->id);
        }
        break;
    case NODE__ENVELOPE__MSG_ABOUT:
        handle_about(from, env->about);
        break;
    case NODE__ENVELOPE__MSG_WORKER_CALLS:
        relay_handle_calls(
            n, from, str_from(env->worker_calls.data, env->worker_calls.len));
        break;
    case NODE__ENVELOPE__MSG_WORKER_ANSWERS:
        relay_handle_answers(
            n, from,
            str_from(env->worker_answers.data, env->worker_answers.len));
        break;
    case NODE__ENVELOPE__MSG__NOT_SET:
    default:
        break;
    }
}

static void
session_message(void *arg, struct peer_session *session, struct str payload)
{
    struct node *n = arg;
    struct link *from = peer_session_data(session);
    Node__Envelope *env = node__envelope__unpack(NULL, payload.len,
                                                 (const uint8_t *)payload.ptr);

    if (env == NULL) {
        log_write(LOG_LEVEL_ERR, "peer: malformed message from %.*s",
                  STR_ARG(from->vm));
        peer_close(session);
        return;
    }
    handle_message(n, from, env);
    node__envelope__free_unpacked(env, NULL);
}

bool
links_open(struct node *n, char *error, size_t error_size)
{
    const struct peer_handler handler = {n, session_up, session_message,
                                         session_down};
    struct peer_config config = {.vm = n->settings.vm,
                                 .seed = n->random_seed,
                                 .listen = n->settings.peer_listen,
                                 .connect_timeout_ms = 1000,
                                 .keepalive_ms = 300,
                                 .idle_timeout_ms = 1500,
                                 .backoff_min_ms = 50,
                                 .backoff_max_ms = 400,
                                 .send_queue_max = (size_t)16 << 20};

    if (n->group == NULL) {
        config.listen = str_from("", 0);
    }
    else {
        config.member_id = n->group->member_id;
        config.cluster_id = group_cluster_id(n->group);
    }
    crypto_generichash(config.cluster_key, sizeof(config.cluster_key),
                       (const uint8_t *)n->settings.cluster_secret.ptr,
                       n->settings.cluster_secret.len, NULL, 0);
    n->hub = peer_create(&config, &handler, n->now, error, error_size);
    return n->hub != NULL;
}

void
links_close(struct node *n)
{
    struct link *l;
    void *cursor = NULL;

    if (n->hub != NULL) {
        peer_destroy(n->hub);
    }
    while ((l = map_next(n->links, &cursor)) != NULL) {
        link_free(l);
    }
    map_destroy(n->links);
    map_destroy(n->targets);
}

void
request_reply(struct node *n, struct requester from, Node__Reply *reply)
{
    Node__Envelope envelope = NODE__ENVELOPE__INIT;
    struct link *l = from.link == 0 ? NULL : link_by_id(n, from.link);

    reply->id = from.id;
    if (from.link == 0) {
        calls_handle_reply(n->calls, reply);
        return;
    }
    if (l != NULL) {
        envelope.msg_case = NODE__ENVELOPE__MSG_REPLY;
        envelope.reply = reply;
        link_send(l, &envelope);
    }
}

void
request_refuse(struct node *n, struct requester from, Node__Outcome outcome,
               const char *reason, uint32_t retry_after_ms)
{
    Node__Reply reply = NODE__REPLY__INIT;

    reply.outcome = outcome;
    reply.reason = (char *)reason;
    reply.retry_after_ms = retry_after_ms;
    request_reply(n, from, &reply);
}
