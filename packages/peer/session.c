#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "mem.h"
#include "peer_impl.h"

struct peer_session *
session_create(struct peer_hub *p, int fd, struct target *target,
               const struct address *remote)
{
    struct peer_session *s = mem_zalloc(1, sizeof(*s));
    int one = 1;

    s->hub = p;
    s->fd = fd;
    s->target = target;
    s->state = target == NULL ? SESSION_WAIT_HELLO : SESSION_CONNECTING;
    s->hs.cluster_key = p->cluster_key;
    s->hs.dialer = target != NULL;
    s->last_received = p->now;
    s->last_queued = p->now;
    s->last_progress = p->now;
    s->handshake_deadline = p->now + p->connect_timeout;
    address_format(remote, s->remote, sizeof(s->remote));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    s->next = p->sessions;
    if (s->next != NULL) {
        s->next->prev = s;
    }
    p->sessions = s;
    return s;
}

void
session_free(struct peer_session *s)
{
    if (s->prev != NULL) {
        s->prev->next = s->next;
    }
    else {
        s->hub->sessions = s->next;
    }
    if (s->next != NULL) {
        s->next->prev = s->prev;
    }
    close(s->fd);
    buf_free(&s->in);
    buf_free(&s->out);
    hs_free(&s->hs);
    str_free(&s->identity.vm);
    sodium_memzero(&s->push, sizeof(s->push));
    sodium_memzero(&s->pull, sizeof(s->pull));
    mem_free(s);
}

void
session_fail(struct peer_session *s, enum peer_down_reason reason)
{
    if (s->closing) {
        return;
    }
    s->closing = true;
    s->reason = reason;
    s->hub->has_closing = true;
    /* The descriptor stays open until session_free, without further events. */
    epoll_ctl(s->hub->epoll, EPOLL_CTL_DEL, s->fd, NULL);
    shutdown(s->fd, SHUT_RDWR);
}

static void
request_writable(struct peer_session *s, bool wanted)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = s};

    if (s->writable_wanted == wanted) {
        return;
    }
    s->writable_wanted = wanted;
    if (wanted) {
        event.events |= EPOLLOUT;
    }
    epoll_ctl(s->hub->epoll, EPOLL_CTL_MOD, s->fd, &event);
}

static void
clear_buffer(struct buf *b)
{
    buf_clear(b);
    if (b->cap > BUFFER_KEEP_BYTES) {
        buf_free(b);
    }
}

void
session_flush(struct peer_session *s)
{
    while (!s->closing && s->out_pos < s->out.len) {
        ssize_t n = send(s->fd, s->out.ptr + s->out_pos,
                         s->out.len - s->out_pos, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            request_writable(s, true);
            return;
        }
        if (n < 0) {
            session_fail(s, PEER_DOWN_CLOSED);
            return;
        }
        s->out_pos += (size_t)n;
        s->last_progress = s->hub->now;
    }
    if (!s->closing) {
        clear_buffer(&s->out);
        s->out_pos = 0;
        request_writable(s, false);
    }
}

/* Moves the unsent bytes to the front once they are less than half of the
 * buffer, so that each byte is moved at most once on average. */
static void
compact_out(struct peer_session *s)
{
    if (s->out_pos > s->out.len / 2) {
        buf_consume(&s->out, s->out_pos);
        s->out_pos = 0;
    }
}

static void
flush_unless_blocked(struct peer_session *s)
{
    s->last_queued = s->hub->now;
    /* While EPOLLOUT is requested, the socket buffer is full. */
    if (!s->writable_wanted) {
        session_flush(s);
    }
}

void
session_send_plain(struct peer_session *s, struct str message)
{
    frame_append_length(&s->out, message.len);
    buf_append_str(&s->out, message);
    flush_unless_blocked(s);
}

static void
send_encrypted(struct peer_session *s, struct str payload)
{
    size_t len = payload.len + ENCRYPTION_OVERHEAD_BYTES;
    char *at;

    compact_out(s);
    if (s->out.len == s->out_pos) {
        s->last_progress = s->hub->now;
    }
    frame_append_length(&s->out, len);
    at = buf_reserve(&s->out, len);
    crypto_secretstream_xchacha20poly1305_push(
        &s->push, (unsigned char *)at, NULL,
        (const unsigned char *)payload.ptr, payload.len, NULL, 0,
        crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
    s->out.len += len;
    flush_unless_blocked(s);
}

bool
peer_send(struct peer_session *s, struct str payload)
{
    size_t queued = s->out.len - s->out_pos;
    size_t len = FRAME_LENGTH_BYTES + payload.len + ENCRYPTION_OVERHEAD_BYTES;

    if (s->closing || s->state != SESSION_UP || payload.len == 0 ||
        payload.len > PEER_PAYLOAD_MAX) {
        return false;
    }
    if (queued > 0 && queued + len > s->hub->send_queue_max) {
        log_write(LOG_LEVEL_WARNING, "peer %.*s (%s): send queue is full",
                  STR_ARG(s->identity.vm), s->remote);
        session_fail(s, PEER_DOWN_OVERFLOW);
        return false;
    }
    send_encrypted(s, payload);
    return !s->closing;
}

/* Sends an empty payload, which the other side passes to no callback. */
void
session_keepalive(struct peer_session *s)
{
    send_encrypted(s, STR(""));
}

static void
close_bad_frame(struct peer_session *s, const char *what)
{
    log_write(LOG_LEVEL_WARNING, "peer %.*s (%s): closing: %s",
              STR_ARG(s->identity.vm), s->remote, what);
    session_fail(s, PEER_DOWN_BAD_FRAME);
}

static void
handle_encrypted(struct peer_session *s, struct str encrypted)
{
    struct buf *plain = &s->hub->plain;
    unsigned long long len = 0;
    unsigned char tag = 0;

    if (encrypted.len < ENCRYPTION_OVERHEAD_BYTES) {
        close_bad_frame(s, "short frame");
        return;
    }
    buf_clear(plain);
    buf_reserve(plain, encrypted.len);
    if (crypto_secretstream_xchacha20poly1305_pull(
            &s->pull, (unsigned char *)plain->ptr, &len, &tag,
            (const unsigned char *)encrypted.ptr, encrypted.len, NULL,
            0) != 0) {
        close_bad_frame(s, "frame failed authentication");
        return;
    }
    plain->len = (size_t)len;
    if (plain->len > 0) {
        s->hub->handler.frame(s->hub->handler.arg, s, buf_str(plain));
    }
}

static void
handle_frames(struct peer_session *s)
{
    size_t pos = 0;

    while (!s->closing) {
        size_t max =
            s->state == SESSION_UP ? PEER_FRAME_MAX : PEER_HANDSHAKE_MAX;
        struct str payload;
        size_t used;
        enum peer_frame_result found = peer_frame_split(
            str_from(s->in.ptr + pos, s->in.len - pos), max, &payload, &used);
        if (found == PEER_FRAME_SHORT) {
            break;
        }
        if (found == PEER_FRAME_BAD) {
            close_bad_frame(s, "frame length out of range");
            return;
        }
        if (s->state == SESSION_UP) {
            handle_encrypted(s, payload);
        }
        else {
            session_handle_handshake(s, payload);
        }
        pos += used;
    }
    if (pos > 0) {
        buf_consume(&s->in, pos);
    }
    if (s->in.len == 0) {
        clear_buffer(&s->in);
    }
}

void
session_readable(struct peer_session *s)
{
    /* Before authentication reads at most the size of a handshake frame. */
    size_t step = s->state == SESSION_UP
                      ? READ_MAX_BYTES
                      : PEER_HANDSHAKE_MAX + FRAME_LENGTH_BYTES;
    char *at = buf_reserve(&s->in, step);
    ssize_t n = recv(s->fd, at, step, 0);

    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        session_fail(s, PEER_DOWN_CLOSED);
        return;
    }
    s->in.len += (size_t)n;
    s->last_received = s->hub->now;
    handle_frames(s);
}

void
session_writable(struct peer_session *s)
{
    if (s->state == SESSION_CONNECTING) {
        int error = 0;
        socklen_t len = sizeof(error);
        getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
        if (error != 0) {
            session_fail(s, PEER_DOWN_CLOSED);
            return;
        }
        request_writable(s, false);
        session_send_hello(s);
        return;
    }
    session_flush(s);
}

void
peer_close(struct peer_session *s)
{
    session_fail(s, PEER_DOWN_LOCAL);
}

const struct peer_identity *
peer_session_identity(const struct peer_session *s)
{
    return &s->identity;
}

void
peer_session_set_data(struct peer_session *s, void *data)
{
    s->data = data;
}

void *
peer_session_data(const struct peer_session *s)
{
    return s->data;
}

int64_t
peer_session_heard_at(const struct peer_session *s)
{
    return s->last_received;
}

size_t
peer_session_queued(const struct peer_session *s)
{
    return s->out.len - s->out_pos;
}
