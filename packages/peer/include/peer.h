#ifndef GV_PEER_H
#define GV_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * Authenticated sessions between guavarock processes over TCP. A frame is a
 * 4-byte big-endian length and an encrypted payload; the payload is one
 * encoded Envelope (wire.pb-c.h), which this module does not decode. All
 * functions of a hub are called on one thread, and none of them blocks.
 */

enum {
    PEER_FRAME_MAX = 16 * 1024 * 1024, /* bytes on the wire after the length */
    PEER_HANDSHAKE_MAX = 1024,
    PEER_NAME_MAX = 128,
    PEER_CLUSTER_KEY_BYTES = 32,
};

/* Maximum payload in bytes. */
#define PEER_PAYLOAD_MAX (PEER_FRAME_MAX - 64)

struct peer_hub;

/* One session, valid from the up callback until down has returned. */
struct peer_session;

enum peer_down_reason {
    PEER_DOWN_CLOSED,    /* closed by the other side, or a socket error */
    PEER_DOWN_TIMEOUT,   /* idle timeout */
    PEER_DOWN_OVERFLOW,  /* the send queue was full; frames are lost */
    PEER_DOWN_BAD_FRAME, /* authentication or framing failed */
    PEER_DOWN_REPLACED,  /* another session of the same VM is kept */
    PEER_DOWN_LOCAL,     /* peer_close or peer_destroy */
};

/* A short text for the log. */
const char *
peer_down_text(enum peer_down_reason reason);

/* Authenticated identity of the other side. */
struct peer_identity {
    struct str vm;
    uint64_t member_id;  /* 0: no data directory */
    uint64_t cluster_id; /* 0: not known yet */
};

/*
 * Called from peer_poll only. The frame's bytes are valid during the call. A
 * callback may call anything but peer_poll and peer_destroy.
 */
struct peer_handler {
    void *arg;
    void (*up)(void *arg, struct peer_session *session,
               const struct peer_identity *identity);
    void (*frame)(void *arg, struct peer_session *session, struct str payload);
    void (*down)(void *arg, struct peer_session *session,
                 enum peer_down_reason reason);
};

/* An address to keep a session to; an empty vm is not known yet. */
struct peer_target {
    struct str vm;
    struct str address; /* "a.b.c.d:port" or "[v6]:port" */
};

/* Strings are copied. 0 selects the default of a field that has one. */
struct peer_config {
    struct str vm;
    uint64_t member_id;
    uint64_t cluster_id;
    uint8_t cluster_key[PEER_CLUSTER_KEY_BYTES];
    struct str listen; /* empty: no listening socket; port 0: any free port */
    const struct peer_target *targets;
    size_t target_count;
    uint64_t seed;              /* of the jitter of reconnects */
    int64_t connect_timeout_ms; /* connection and handshake, default 3000 */
    int64_t keepalive_ms;       /* default 500 */
    int64_t idle_timeout_ms;    /* default 2000 */
    int64_t backoff_min_ms;     /* default 50 */
    int64_t backoff_max_ms;     /* default 2000 */
    size_t send_queue_max;      /* bytes per session, default 32 MiB */
    size_t accept_max; /* open handshakes accepted, default 64; a further
                          connection closes the oldest */
};

/*
 * Returns NULL and writes the reason to error if the VM name or an address is
 * invalid or a socket operation fails.
 */
struct peer_hub *
peer_create(const struct peer_config *config,
            const struct peer_handler *handler, int64_t now, char *error,
            size_t error_size);

/* Closes every session without calling down. */
void
peer_destroy(struct peer_hub *p);

/* The epoll descriptor: readable when peer_poll has work. */
int
peer_fd(const struct peer_hub *p);

/* Handles ready sockets and expired timers; never blocks. */
void
peer_poll(struct peer_hub *p, int64_t now);

/* When peer_poll must be called at the latest; DEADLINE_NONE: no timer. */
int64_t
peer_next_deadline(const struct peer_hub *p);

/* Port of the listening socket; 0: none. */
uint16_t
peer_port(const struct peer_hub *p);

/*
 * Changes the ids that later handshakes send, for a VM that joins a cluster
 * after it has started. Established sessions keep theirs.
 */
void
peer_set_identity(struct peer_hub *p, uint64_t member_id, uint64_t cluster_id);

/*
 * Adds an address to keep a session to; a known address is ignored. Returns
 * false if the address or the VM name is invalid.
 */
bool
peer_add_target(struct peer_hub *p, const struct peer_target *target,
                int64_t now);
void
peer_remove_target(struct peer_hub *p, struct str address);

/*
 * The session to a VM, or NULL. There is one per VM: a newer session closes
 * the older one. When both sides connect to each other at about the same
 * time, both keep the session that the VM with the smaller name opened.
 */
struct peer_session *
peer_find(const struct peer_hub *p, struct str vm);
const struct peer_identity *
peer_session_identity(const struct peer_session *session);

/* Attaches a pointer of the caller to the session. */
void
peer_session_set_data(struct peer_session *session, void *data);
void *
peer_session_data(const struct peer_session *session);

/* Returns when bytes last arrived on the session, in ns of the time passed to
 * peer_poll(). Keepalives count. */
int64_t
peer_session_heard_at(const struct peer_session *session);

/* Bytes queued and not yet passed to the kernel. */
size_t
peer_session_queued(const struct peer_session *session);

/*
 * Queues one payload and sends what the kernel accepts. Returns false when
 * the payload is empty or larger than PEER_PAYLOAD_MAX (nothing happens),
 * when the session is closing, or when the queue is full (the session is
 * closed and down is called with PEER_DOWN_OVERFLOW from the next peer_poll).
 */
bool
peer_send(struct peer_session *session, struct str payload);

/* Closes a session; the next peer_poll calls down. */
void
peer_close(struct peer_session *session);

/* ---- Frames, exposed for tests and fuzzing ---- */

enum peer_frame_result {
    PEER_FRAME_OK,
    PEER_FRAME_SHORT, /* more bytes are needed */
    PEER_FRAME_BAD,   /* length zero or above max */
};

/*
 * Finds the first frame in bytes. *payload excludes the length prefix, *used
 * is the size of the frame including it. Never reads past the end of bytes.
 */
enum peer_frame_result
peer_frame_split(struct str bytes, size_t max, struct str *payload,
                 size_t *used);

#endif
