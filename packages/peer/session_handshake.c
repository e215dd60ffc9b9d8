#include "log.h"
#include "peer_impl.h"

static void
reject_handshake(struct peer_session *s, const char *why)
{
    log_write(LOG_LEVEL_WARNING, "peer %s: handshake refused: %s", s->remote,
              why);
    session_fail(s, PEER_DOWN_BAD_FRAME);
}

static struct hs_hello
make_hello(const struct peer_hub *p)
{
    struct hs_hello own = {.instance = p->instance,
                           .member_id = p->member_id,
                           .cluster_id = p->cluster_id,
                           .vm = p->vm};

    randombytes_buf(own.nonce, sizeof(own.nonce));
    return own;
}

void
session_send_hello(struct peer_session *s)
{
    struct hs_hello own = make_hello(s->hub);
    struct buf message = {0};

    hs_write_hello(&s->hs, &own, &message);
    s->state = SESSION_WAIT_REPLY;
    session_send_plain(s, buf_str(&message));
    buf_free(&message);
}

static void
handle_hello(struct peer_session *s, struct str hello)
{
    struct hs_hello own = make_hello(s->hub);
    struct buf message = {0};

    if (!hs_answer_hello(&s->hs, hello, &own, &message)) {
        reject_handshake(s, "malformed hello");
        return;
    }
    s->state = SESSION_WAIT_PROOF;
    session_send_plain(s, buf_str(&message));
    buf_free(&message);
}

/* Initializes the sending stream and sends the proof with its header. */
static void
send_proof(struct peer_session *s, const uint8_t key[HS_KEY_BYTES])
{
    uint8_t header[HS_HEADER_BYTES];
    struct buf message = {0};

    crypto_secretstream_xchacha20poly1305_init_push(&s->push, header, key);
    hs_write_proof(&s->hs, header, &message);
    session_send_plain(s, buf_str(&message));
    buf_free(&message);
}

/*
 * Checks the VM name of the other side. An attacker that relays a connection
 * back to the process that opened it passes the proofs, because both ends have
 * the cluster key; the check of this VM's own name detects that.
 */
static bool
check_identity(struct peer_session *s)
{
    const struct target *t = s->target;

    if (str_eq(s->hs.peer.vm, s->hub->vm)) {
        reject_handshake(s, "the other side has this VM's name");
        return false;
    }
    if (t != NULL && t->vm.len > 0 && !str_eq(t->vm, s->hs.peer.vm)) {
        reject_handshake(s, "another VM answers at this address");
        return false;
    }
    return true;
}

static void
start_receiving(struct peer_session *s, const uint8_t key[HS_KEY_BYTES],
                const uint8_t header[HS_HEADER_BYTES])
{
    if (crypto_secretstream_xchacha20poly1305_init_pull(&s->pull, header,
                                                        key) != 0) {
        reject_handshake(s, "bad stream header");
    }
}

static void
complete_handshake(struct peer_session *s)
{
    struct peer_hub *p = s->hub;

    if (s->closing) {
        return;
    }
    s->identity.vm = str_dup(s->hs.peer.vm);
    s->identity.member_id = s->hs.peer.member_id;
    s->identity.cluster_id = s->hs.peer.cluster_id;
    s->instance = s->hs.peer.instance;
    s->state = SESSION_UP;
    s->up_since = p->now;
    if (!s->hs.dialer) {
        p->pending_accepts--;
    }
    if (s->target != NULL && s->target->vm.len == 0) {
        str_free(&s->target->vm);
        s->target->vm = str_dup(s->identity.vm);
    }
    hs_free(&s->hs);
    if (hub_add_session(s)) {
        s->up_called = true;
        p->handler.up(p->handler.arg, s, &s->identity);
    }
}

static void
handle_reply(struct peer_session *s, struct str reply)
{
    uint8_t key[HS_KEY_BYTES];

    if (!hs_check_reply(&s->hs, reply)) {
        reject_handshake(s, "wrong cluster key or malformed reply");
        return;
    }
    if (!check_identity(s)) {
        return;
    }
    hs_stream_key(&s->hs, true, key);
    /* Derived from the transcript up to here; used after the accept. */
    hs_stream_key(&s->hs, false, s->receive_key);
    s->state = SESSION_WAIT_ACCEPT;
    send_proof(s, key);
    sodium_memzero(key, sizeof(key));
}

static void
handle_proof(struct peer_session *s, struct str proof)
{
    uint8_t header[HS_HEADER_BYTES];
    uint8_t receive_key[HS_KEY_BYTES];
    uint8_t send_key[HS_KEY_BYTES];

    hs_stream_key(&s->hs, false, receive_key);
    hs_stream_key(&s->hs, true, send_key);
    if (!hs_check_proof(&s->hs, proof, header)) {
        reject_handshake(s, "wrong cluster key or replayed handshake");
        return;
    }
    if (!check_identity(s)) {
        return;
    }
    start_receiving(s, receive_key, header);
    send_proof(s, send_key);
    sodium_memzero(receive_key, sizeof(receive_key));
    sodium_memzero(send_key, sizeof(send_key));
    complete_handshake(s);
}

static void
handle_accept(struct peer_session *s, struct str accept)
{
    uint8_t header[HS_HEADER_BYTES];

    if (!hs_check_proof(&s->hs, accept, header)) {
        reject_handshake(s, "accept failed authentication");
        return;
    }
    start_receiving(s, s->receive_key, header);
    sodium_memzero(s->receive_key, sizeof(s->receive_key));
    complete_handshake(s);
}

void
session_handle_handshake(struct peer_session *s, struct str message)
{
    switch (s->state) {
    case SESSION_WAIT_HELLO:
        handle_hello(s, message);
        break;
    case SESSION_WAIT_REPLY:
        handle_reply(s, message);
        break;
    case SESSION_WAIT_PROOF:
        handle_proof(s, message);
        break;
    case SESSION_WAIT_ACCEPT:
        handle_accept(s, message);
        break;
    case SESSION_CONNECTING:
    case SESSION_UP:
        session_fail(s, PEER_DOWN_BAD_FRAME);
        break;
    }
}
