#include "control.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <sodium.h>

#include "clock.h"
#include "entry.h"
#include "leader.h"
#include "ledger.h"
#include "log.h"
#include "mem.h"
#include "replica.h"
#include "state.h"
#include "storage.h"

enum {
    FRONT_RING = 8192,
    UPSTREAM_RING = 8192,
    STORAGE_RING = 64,
    WAIT_MAX_MS = 100,
    EVENTS_MAX = 16,
    ROUNDS_MAX = 16, /* of messages that this process sends itself */
};

/* A message of this process to itself. */
struct local_frame {
    struct local_frame *next;
    struct str bytes;
};

/* ---- Links ---- */

struct link *
control_link(const struct control *c, struct str vm)
{
    struct peer_session *session;

    if (c->local != NULL && str_eq(vm, c->settings->vm)) {
        return c->local;
    }
    session = c->hub == NULL ? NULL : peer_find(c->hub, vm);
    return session == NULL ? NULL : peer_session_data(session);
}

struct link *
control_link_by_id(const struct control *c, uint64_t id)
{
    return map_get_u64(c->links, id);
}

static struct link *
link_create(struct control *c, struct peer_session *session, struct str vm)
{
    struct link *l = mem_zalloc(1, sizeof(*l));

    l->id = ++c->last_link;
    l->control = c;
    l->session = session;
    l->vm = str_dup(vm);
    map_put_u64(c->links, l->id, l);
    return l;
}

static void
link_free(struct link *l)
{
    map_del_u64(l->control->links, l->id);
    str_free(&l->vm);
    mem_free(l);
}

void
link_send(struct link *l, const Wire__Envelope *envelope)
{
    size_t len = wire__envelope__get_packed_size(envelope);
    char *bytes = mem_alloc(len + 1);
    struct local_frame *frame;

    wire__envelope__pack(envelope, (uint8_t *)bytes);
    if (l->session != NULL) {
        if (!peer_send(l->session, str_from(bytes, len))) {
            log_write(LOG_LEVEL_WARNING,
                      "peer: a message of %zu bytes to %.*s was not sent", len,
                      STR_ARG(l->vm));
        }
        mem_free(bytes);
        return;
    }
    frame = mem_zalloc(1, sizeof(*frame));
    frame->bytes = str_from(bytes, len);
    if (l->control->local_last == NULL) {
        l->control->local_first = frame;
    }
    else {
        l->control->local_last->next = frame;
    }
    l->control->local_last = frame;
}

/* ---- Messages ---- */

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
            leader_call(c->leader, from, env->call);
        }
        break;
    case WIRE__ENVELOPE__MSG_ENTRY_SYNC:
        if (c->leader != NULL) {
            leader_entry_sync(c->leader, from, env->entry_sync);
        }
        break;
    case WIRE__ENVELOPE__MSG_BEGIN:
        if (c->leader == NULL) {
            refuse_begin(from, env->begin->id);
        }
        else {
            leader_begin(c->leader, from, env->begin);
        }
        break;
    case WIRE__ENVELOPE__MSG_END:
        if (c->leader == NULL) {
            refuse_end(from, env->end->id);
        }
        else {
            leader_end(c->leader, from, env->end);
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

static void
take_frame(struct control *c, struct link *from, struct str bytes)
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

static void
session_up(void *arg, struct peer_session *session,
           const struct peer_identity *identity)
{
    struct control *c = arg;
    struct link *l = link_create(c, session, identity->vm);

    l->member_id = identity->member_id;
    l->cluster_id = identity->cluster_id;
    peer_session_set_data(session, l);
    log_write(LOG_LEVEL_INFO, "peer: session with %.*s", STR_ARG(l->vm));
    if (c->replica != NULL) {
        leader_hint(c->replica, l);
    }
}

static void
session_frame(void *arg, struct peer_session *session, struct str payload)
{
    take_frame(arg, peer_session_data(session), payload);
}

static void
session_down(void *arg, struct peer_session *session,
             enum peer_down_reason reason)
{
    struct control *c = arg;
    struct link *l = peer_session_data(session);

    log_write(LOG_LEVEL_INFO, "peer: session with %.*s ended (%s)",
              STR_ARG(l->vm), peer_down_text(reason));
    entry_link_down(c->entry, l);
    link_free(l);
}

/* ---- Pools ---- */

struct ledger *
control_ledger(struct control *c)
{
    struct ledger_config config = ledger_defaults();

    if (c->ledger == NULL) {
        config.lease_ns = c->settings->config_lease_ms * NS_PER_MS;
        config.longest_request_ns =
            c->settings->longest_request_ms * NS_PER_MS;
        c->ledger = ledger_create(&config);
    }
    return c->ledger;
}

void
control_sync_pools(struct control *c)
{
    const struct state *state = replica_state(c->replica);
    struct ledger *ledger = control_ledger(c);
    struct buf pool = {0};

    if (state_config_version(state) == c->pools_version) {
        return;
    }
    c->pools_version = state_config_version(state);
    for (uint32_t n = 1; state_team(state, n) != NULL; n++) {
        const struct state_team *team = state_team(state, n);
        uint64_t requests = state_limit_of(state, n)->requests;

        buf_clear(&pool);
        buf_printf(&pool, POOL_TEAM "%" PRIu32, n);
        if (team->removed || requests == STATE_UNLIMITED) {
            ledger_pool_gone(ledger, c->now, buf_str(&pool));
            continue;
        }
        ledger_pool_set(ledger, c->now, buf_str(&pool), STR(""), STR(""),
                        requests > UINT32_MAX ? UINT32_MAX
                                              : (uint32_t)requests);
    }
    buf_free(&pool);
}

/* ---- Start ---- */

static bool
watch(const struct control *c, int fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.fd = fd};

    return epoll_ctl(c->epoll, EPOLL_CTL_ADD, fd, &event) == 0;
}

static bool
parse_address(struct str text, struct sockaddr_storage *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
    struct buf host = {0};
    struct str rest = text;
    uint64_t port = 0;
    bool ok;

    memset(out, 0, sizeof(*out));
    if (text.len > 0 && text.ptr[0] == '[') {
        rest = str_from(text.ptr + 1, text.len - 1);
        buf_append_str(&host, str_cut(&rest, ']'));
        str_cut(&rest, ':');
        buf_append(&host, "", 1);
        v6->sin6_family = AF_INET6;
        ok = inet_pton(AF_INET6, host.ptr, &v6->sin6_addr) == 1 &&
             str_to_u64(rest, UINT16_MAX, &port);
        v6->sin6_port = htons((uint16_t)port);
    }
    else {
        buf_append_str(&host, str_cut(&rest, ':'));
        buf_append(&host, "", 1);
        v4->sin_family = AF_INET;
        ok = inet_pton(AF_INET, host.ptr, &v4->sin_addr) == 1 &&
             str_to_u64(rest, UINT16_MAX, &port);
        v4->sin_port = htons((uint16_t)port);
    }
    buf_free(&host);
    return ok;
}

static bool
start_front(struct control *c)
{
    struct front_config config;

    front_config_default(&config);
    if (!parse_address(c->settings->listen, &config.address)) {
        log_write(LOG_LEVEL_CRIT, "front: %.*s is no address",
                  STR_ARG(c->settings->listen));
        return false;
    }
    config.threads = c->settings->front_threads;
    c->front = front_create(&config, c->front_ring);
    if (c->front == NULL) {
        log_write(LOG_LEVEL_CRIT, "front: cannot listen on %.*s: %s",
                  STR_ARG(c->settings->listen), strerror(errno));
        return false;
    }
    return true;
}

static bool
start_peers(struct control *c)
{
    static const struct peer_handler callbacks = {NULL, session_up,
                                                  session_frame, session_down};
    struct peer_handler handler = callbacks;
    const struct settings *s = c->settings;
    struct peer_target targets[8] = {0};
    struct peer_config config = {.vm = s->vm,
                                 .seed = c->run,
                                 .listen = s->peer_listen,
                                 .targets = targets};
    char error[256] = "";

    if (s->single) {
        return true;
    }
    handler.arg = c;
    if (c->replica != NULL) {
        config.member_id = replica_member_id(c->replica);
        config.cluster_id = replica_cluster_id(c->replica);
    }
    memcpy(config.cluster_key, s->cluster_key, sizeof(config.cluster_key));
    for (size_t i = 0; i < s->control_count; i++) {
        if (!str_eq(s->control[i].vm, s->vm)) {
            targets[config.target_count++] =
                (struct peer_target){s->control[i].vm, s->control[i].address};
        }
    }
    c->hub = peer_create(&config, &handler, c->now, error, sizeof(error));
    sodium_memzero(config.cluster_key, sizeof(config.cluster_key));
    if (c->hub == NULL) {
        log_write(LOG_LEVEL_CRIT, "peer: %s", error);
        return false;
    }
    return watch(c, peer_fd(c->hub));
}

static bool
start_traffic(struct control *c)
{
    struct upstream_config config;

    c->front_ring = ring_create(FRONT_RING);
    c->upstream_ring = ring_create(UPSTREAM_RING);
    if (c->front_ring == NULL || c->upstream_ring == NULL) {
        return false;
    }
    upstream_config_default(&config);
    config.threads = c->settings->upstream_threads;
    c->upstream = upstream_create(&config, c->upstream_ring);
    return c->upstream != NULL && watch(c, ring_fd(c->front_ring)) &&
           watch(c, ring_fd(c->upstream_ring));
}

static bool
start_replica(struct control *c)
{
    if (!settings_is_control(c->settings)) {
        return true;
    }
    c->local = link_create(c, NULL, c->settings->vm);
    c->storage_ring = ring_create(STORAGE_RING);
    if (c->storage_ring == NULL || !watch(c, ring_fd(c->storage_ring))) {
        return false;
    }
    c->replica = replica_create(c);
    return c->replica != NULL;
}

/* ---- The loop ---- */

static void
take_front(struct control *c)
{
    struct front_item *item;

    ring_clear(c->front_ring);
    while ((item = ring_pop(c->front_ring)) != NULL) {
        entry_front_item(c->entry, item);
    }
}

static void
take_upstream(struct control *c)
{
    struct upstream_result *result;

    ring_clear(c->upstream_ring);
    while ((result = ring_pop(c->upstream_ring)) != NULL) {
        entry_upstream_result(c->entry, result);
    }
}

static void
take_storage(struct control *c)
{
    struct storage_job *job;

    if (c->storage_ring == NULL) {
        return;
    }
    ring_clear(c->storage_ring);
    while ((job = ring_pop(c->storage_ring)) != NULL) {
        replica_storage_done(c->replica, job);
    }
}

static void
take_local(struct control *c)
{
    struct local_frame *frame = c->local_first;
    struct local_frame *next;

    c->local_first = NULL;
    c->local_last = NULL;
    for (; frame != NULL; frame = next) {
        next = frame->next;
        take_frame(c, c->local, frame->bytes);
        str_free(&frame->bytes);
        mem_free(frame);
    }
}

static void
step(struct control *c)
{
    if (c->replica != NULL) {
        replica_step(c->replica);
        /* Followers too: a leader must have known a pool for a while before
         * it may grant from it. */
        control_sync_pools(c);
    }
    if (c->leader != NULL) {
        leader_step(c->leader);
    }
    entry_step(c->entry);
}

static void
wake(struct control *c)
{
    c->now = clock_now();
    take_storage(c);
    if (c->hub != NULL) {
        peer_poll(c->hub, c->now);
    }
    take_upstream(c);
    take_front(c);
    step(c);
    for (int i = 0; i < ROUNDS_MAX && c->local_first != NULL; i++) {
        take_local(c);
        step(c);
    }
    /* What the last step proposed goes to the storage and to the peers. */
    if (c->replica != NULL) {
        replica_step(c->replica);
    }
    drain_step(c);
}

static void
earliest(int64_t *deadline, int64_t other)
{
    if (other < *deadline) {
        *deadline = other;
    }
}

static int64_t
next_deadline(const struct control *c)
{
    int64_t deadline = entry_next_deadline(c->entry);

    if (c->local_first != NULL) {
        return 0;
    }
    if (c->replica != NULL) {
        earliest(&deadline, replica_next_deadline(c->replica));
    }
    if (c->leader != NULL) {
        earliest(&deadline, leader_next_deadline(c->leader));
    }
    if (c->hub != NULL) {
        earliest(&deadline, peer_next_deadline(c->hub));
    }
    earliest(&deadline, drain_next_deadline(c));
    return deadline;
}

static int
open_signals(struct control *c)
{
    sigset_t set;
    int fd;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    return fd >= 0 && watch(c, fd) ? fd : -1;
}

static void
take_signal(struct control *c, int fd)
{
    struct signalfd_siginfo info;

    if (read(fd, &info, sizeof(info)) == sizeof(info)) {
        control_drain(c);
    }
}

static void
run(struct control *c, int signals)
{
    struct epoll_event events[EVENTS_MAX];

    while (c->drain != DRAIN_DONE) {
        int wait = clock_wait_ms(clock_now(), next_deadline(c), WAIT_MAX_MS);

        if (epoll_wait(c->epoll, events, EVENTS_MAX, wait) < 0 &&
            errno != EINTR) {
            log_write(LOG_LEVEL_CRIT, "control: epoll_wait: %s",
                      strerror(errno));
            c->exit_status = 1;
            return;
        }
        take_signal(c, signals);
        wake(c);
    }
}

static void
drop_rings(struct control *c)
{
    struct front_item *item;
    struct upstream_result *result;
    struct storage_job *job;

    while (c->front_ring != NULL && (item = ring_pop(c->front_ring)) != NULL) {
        entry_front_item(c->entry, item);
    }
    while (c->upstream_ring != NULL &&
           (result = ring_pop(c->upstream_ring)) != NULL) {
        entry_upstream_result(c->entry, result);
    }
    while (c->storage_ring != NULL &&
           (job = ring_pop(c->storage_ring)) != NULL) {
        storage_job_free(job);
    }
}

static void
stop(struct control *c)
{
    struct link *l;
    void *cursor = NULL;

    if (c->front != NULL) {
        front_destroy(c->front);
    }
    if (c->upstream != NULL) {
        upstream_destroy(c->upstream);
    }
    replica_destroy(c->replica);
    if (c->hub != NULL) {
        peer_destroy(c->hub);
        c->hub = NULL;
    }
    drop_rings(c);
    entry_destroy(c->entry);
    while (c->local_first != NULL) {
        struct local_frame *frame = c->local_first;

        c->local_first = frame->next;
        str_free(&frame->bytes);
        mem_free(frame);
    }
    while ((l = map_next(c->links, &cursor)) != NULL) {
        link_free(l);
    }
    map_destroy(c->links);
    if (c->ledger != NULL) {
        ledger_destroy(c->ledger);
    }
    ring_destroy(c->front_ring);
    ring_destroy(c->upstream_ring);
    ring_destroy(c->storage_ring);
    close(c->epoll);
}

int
control_run(const struct settings *settings)
{
    struct control c = {.settings = settings, .now = clock_now()};
    int signals = -1;

    randombytes_buf(&c.run, sizeof(c.run));
    c.links = map_create();
    c.epoll = epoll_create1(EPOLL_CLOEXEC);
    c.exit_status = 1;
    c.drain_deadline = DEADLINE_NONE;
    signals = open_signals(&c);
    if (c.epoll < 0 || signals < 0 || !start_traffic(&c)) {
        log_write(LOG_LEVEL_CRIT, "control: cannot start: %s",
                  strerror(errno));
    }
    else if (start_replica(&c)) {
        c.entry = entry_create(&c);
        if (start_peers(&c) && start_front(&c)) {
            c.exit_status = 0;
            log_write(LOG_LEVEL_NOTICE, "control: VM %.*s serves on %.*s",
                      STR_ARG(settings->vm), STR_ARG(settings->listen));
            run(&c, signals);
        }
    }
    stop(&c);
    if (signals >= 0) {
        close(signals);
    }
    log_write(LOG_LEVEL_NOTICE, "control: stopped with status %d",
              c.exit_status);
    return c.exit_status;
}
