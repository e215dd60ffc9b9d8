#ifndef GV_PEER_IMPL_H
#define GV_PEER_IMPL_H

#include <sys/socket.h>

#include <sodium.h>

#include "handshake.h"
#include "peer.h"
#include "rng.h"

enum {
    FRAME_LENGTH_BYTES = 4,
    ENCRYPTION_OVERHEAD_BYTES = crypto_secretstream_xchacha20poly1305_ABYTES,
    REMOTE_TEXT_BYTES = 64,
    /* Read from one session per event, so that none starves the others. */
    READ_MAX_BYTES = 64 * 1024,
    /* Larger buffers are freed when they become empty: a process has hundreds
     * of sessions and 128 MB of memory in total. */
    BUFFER_KEEP_BYTES = 8 * 1024,
};

struct address {
    struct sockaddr_storage storage;
    socklen_t len;
};

bool
address_parse(struct str text, struct address *out);
uint16_t
address_port(const struct address *a);
void
address_format(const struct address *a, char *text, size_t size);

void
frame_append_length(struct buf *out, size_t len);

enum session_state {
    SESSION_CONNECTING,  /* dialer: connect is in progress */
    SESSION_WAIT_HELLO,  /* acceptor */
    SESSION_WAIT_REPLY,  /* dialer */
    SESSION_WAIT_PROOF,  /* acceptor */
    SESSION_WAIT_ACCEPT, /* dialer */
    SESSION_UP,
};

struct peer_session {
    struct peer_hub *hub;
    struct peer_session *prev;
    struct peer_session *next;
    struct target *target; /* that it was dialed for, NULL: accepted */
    int fd;
    enum session_state state;
    bool closing;
    bool up_called;       /* and down was not */
    bool writable_wanted; /* EPOLLOUT is requested */
    enum peer_down_reason reason;
    struct buf in;
    struct buf out;
    size_t out_pos; /* bytes of out that the kernel has taken */
    struct hs hs;
    crypto_secretstream_xchacha20poly1305_state push;
    crypto_secretstream_xchacha20poly1305_state pull;
    struct peer_identity identity;
    uint64_t instance;                 /* of the other process */
    uint8_t receive_key[HS_KEY_BYTES]; /* of the dialer, until the accept
                                          message */
    int64_t handshake_deadline;
    int64_t last_received; /* when a byte was received */
    int64_t last_queued;   /* when a frame was queued */
    int64_t last_progress; /* when out was empty or the kernel took bytes */
    int64_t up_since;
    void *data;
    char remote[REMOTE_TEXT_BYTES];
};

/* An address to keep a session to. */
struct target {
    struct target *next;
    struct str vm; /* empty until it is known */
    struct str address;
    struct address parsed;
    struct peer_session *session;
    int64_t retry_at;
    unsigned failures; /* in a row, determines the delay of the next retry */
};

struct peer_hub {
    struct peer_handler handler;
    struct str vm;
    uint64_t member_id;
    uint64_t cluster_id;
    uint64_t instance; /* random, identifies this process */
    uint8_t cluster_key[PEER_CLUSTER_KEY_BYTES];
    int64_t connect_timeout;
    int64_t keepalive;
    int64_t idle_timeout;
    int64_t backoff_min;
    int64_t backoff_max;
    size_t send_queue_max;
    size_t accept_max;
    int epoll;
    int listener; /* -1 without one */
    int64_t accept_paused_until;
    uint16_t port;
    struct rng rng;
    int64_t now; /* of the current or last peer_poll */
    struct peer_session *sessions;
    struct target *targets;
    size_t pending_accepts; /* accepted and still in handshake */
    bool has_closing;
    struct buf plain; /* decrypted payload during the frame callback */
};

/* ---- session.c: one connection ---- */

struct peer_session *
session_create(struct peer_hub *p, int fd, struct target *target,
               const struct address *remote);
void
session_free(struct peer_session *s);

/* Marks the session as closing; peer_poll removes it. */
void
session_fail(struct peer_session *s, enum peer_down_reason reason);
void
session_readable(struct peer_session *s);
void
session_writable(struct peer_session *s);
void
session_keepalive(struct peer_session *s);

/* ---- session_handshake.c ---- */

/* Dialer: starts the handshake once the connection is established. */
void
session_send_hello(struct peer_session *s);
void
session_handle_handshake(struct peer_session *s, struct str message);

/* Queues an unencrypted frame of the handshake. */
void
session_send_plain(struct peer_session *s, struct str message);
void
session_flush(struct peer_session *s);

/* ---- peer.c ---- */

/* Makes s the only session of its VM; false when another one is kept. */
bool
hub_add_session(struct peer_session *s);

/* ---- target.c ---- */

void
target_dial(struct peer_hub *p, struct target *t);

/* Schedules the next dial; lived is how long the session was up. */
void
target_session_closed(struct peer_hub *p, struct target *t, bool was_up,
                      int64_t lived);
void
target_free(struct target *t);

/* Whether t may be dialed at now. */
bool
target_due(const struct peer_hub *p, const struct target *t, int64_t now);

#endif
