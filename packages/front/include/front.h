#ifndef GV_FRONT_H
#define GV_FRONT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http.h"
#include "ring.h"
#include "str.h"

/*
 * The HTTP server. It pushes each request onto a ring as a call and suspends
 * the connection until front_respond; a suspended connection occupies no
 * thread.
 *
 * References: a struct front_item popped from the ring must be passed to
 * front_item_release once handled. The call of a FRONT_ITEM_CALL stays valid
 * until front_respond or front_abort, one of which must be called exactly
 * once; afterwards it stays valid only while the consumer holds another
 * reference (front_call_ref, or a FRONT_ITEM_DISCONNECTED item not yet
 * released). A FRONT_ITEM_DISCONNECTED may arrive after the answer, but never
 * before the FRONT_ITEM_CALL. The call must be answered in spite of it.
 */
struct front;

enum {
    /* Longer than a request takes from a caller to an entry. */
    FRONT_DRAIN_IDLE_MS = 200,
};

struct front_config {
    /* AF_INET or AF_INET6; port 0: the kernel chooses one. */
    struct sockaddr_storage address;
    unsigned threads;
    unsigned max_connections;
    size_t max_body;            /* bytes */
    size_t max_buffered;        /* bytes of all request and response bodies */
    size_t max_header;          /* bytes, request line included */
    int64_t receive_timeout_ns; /* from the request line to the last byte */
    int64_t send_timeout_ns;    /* from the answer to its last byte */
    int64_t idle_timeout_ns;    /* of a connection between requests */
    int64_t default_timeout_ns; /* deadline without Guavarock-Timeout-Ms */
    int64_t max_timeout_ns;     /* longer timeouts are reduced to this */
    unsigned retry_after_s;     /* Retry-After of 503 answers */
};

/* 4 threads, 4096 connections, 8 MiB of body, 256 MiB buffered, 16 KiB of
 * header, timeouts of 30 s (receive), 120 s (send), 75 s (idle), 30 s
 * (default) and 600 s (maximum), Retry-After of 1 s; the address is zeroed. */
void
front_config_default(struct front_config *config);

struct front_call {
    uint64_t id; /* unique in this process */
    enum http_method method;
    struct str path;  /* raw, starts with '/', printable ASCII */
    struct str query; /* raw, without '?'; may be empty */
    struct str host;  /* raw; ptr NULL when absent */
    struct str key;   /* bearer key; empty when absent or malformed */
    struct str idempotency_key; /* 1 to 128 bytes; ptr NULL when absent */
    struct str if_match;        /* raw; ptr NULL when absent */
    struct str content_type;    /* ptr NULL when absent */
    /* Guavarock-Idempotent, or the method's default. */
    bool idempotent;
    bool has_timeout;            /* Guavarock-Timeout-Ms was given */
    struct http_headers headers; /* end-to-end, to be forwarded: without
                                  * Host, Authorization, Guavarock-* and
                                  * Idempotency-Key */
    struct buf body;
    char client[64];  /* address:port */
    int64_t arrived;  /* when the header was complete, as clock_now */
    int64_t deadline; /* as clock_now */
    void *user;       /* for the consumer; the server leaves it alone */
};

enum front_item_kind {
    FRONT_ITEM_CALL,
    /* The caller closed the connection or shut down its sending side, which
     * the server cannot tell apart; the answer is sent in either case. */
    FRONT_ITEM_DISCONNECTED,
};

struct front_item {
    enum front_item_kind kind;
    struct front_call *call;
};

/* An answer; front_respond takes ownership of headers and body. */
struct front_response {
    int status;
    struct http_headers headers; /* Content-Length is computed */
    struct buf body;
    /* Content-Length of the answer to HEAD; ignored for other methods. */
    uint64_t head_length;
};

/*
 * Starts the server. Items are pushed to ring, which one thread consumes and
 * which the caller owns. Returns NULL with errno set when the address cannot
 * be bound or a thread cannot be started.
 */
struct front *
front_create(const struct front_config *config, struct ring *ring);

/* The port it listens on. */
uint16_t
front_port(const struct front *f);

/*
 * Answers the call and drops the consumer's reference. May be called by any
 * thread, once for each FRONT_ITEM_CALL. Takes ownership of what *response
 * holds and leaves it empty. After front_destroy it only frees.
 */
void
front_respond(struct front_call *call, struct front_response *response);

/* Closes the connection without an answer, for a response that was cut off;
 * otherwise like front_respond. */
void
front_abort(struct front_call *call);

void
front_call_ref(struct front_call *call);
void
front_call_unref(struct front_call *call);
void
front_item_release(struct front_item *item);

/* From now on each answer carries Connection: close. */
void
front_drain(struct front *f);

/* Closes the listening socket; established connections stay open. */
void
front_stop_listening(struct front *f);

/* From now on a connection is closed once no request has come for
 * FRONT_DRAIN_IDLE_MS. */
void
front_close_idle(struct front *f);

/* The number of open connections. */
unsigned
front_connections(const struct front *f);

/* Whether request and response bodies exceed max_buffered. Calls without a
 * body still arrive; a consumer that expects a large answer should refuse
 * them. */
bool
front_overloaded(const struct front *f);

/* The number of requests being received, handled or answered; 0 once a
 * drained server has sent its last answer. */
unsigned
front_active_requests(const struct front *f);

/* Aborts unanswered calls, closes all connections and joins all threads.
 * Items that remain on the ring must still be released, and calls answered. */
void
front_destroy(struct front *f);

#endif
