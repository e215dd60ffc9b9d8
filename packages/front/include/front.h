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
 * The HTTP server. Requests become calls on a ring; the connection is
 * suspended, without a thread, until front_respond.
 *
 * References: a struct front_item popped from the ring must be passed to
 * front_item_release once handled. The call of a FRONT_ITEM_CALL stays valid
 * until front_respond, which must follow exactly once; afterwards it stays
 * valid only while the consumer holds another reference (front_call_ref, or
 * a FRONT_ITEM_GONE item not yet released). A FRONT_ITEM_GONE may arrive
 * after the answer; it may not arrive before the FRONT_ITEM_CALL. It asks
 * for nothing: the answer is still due.
 */
struct front;

enum {
    /* More than the way of a request from a caller to an entry. */
    FRONT_DRAIN_IDLE_MS = 200,
};

struct front_config {
    struct sockaddr_storage address; /* AF_INET or AF_INET6; port 0: any */
    unsigned threads;
    unsigned max_connections;
    size_t max_body;            /* bytes */
    size_t max_buffered;        /* bytes of all bodies and unsent answers */
    size_t max_header;          /* bytes, request line included */
    int64_t receive_timeout_ns; /* from the request line to the last byte */
    int64_t send_timeout_ns;    /* from the answer to its last byte */
    int64_t idle_timeout_ns;    /* of a connection between requests */
    int64_t default_timeout_ns; /* deadline without Guavarock-Timeout-Ms */
    int64_t max_timeout_ns;     /* greater values are cut to this */
    unsigned retry_after_s;     /* with 503 when the ring is full */
};

/* 4 threads, 4096 connections, 8 MiB, 256 MiB, 16 KiB, 30 s, 120 s, 75 s,
 * 30 s, 600 s, 1 s; the address is left empty. */
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
    char client[64]; /* address:port */
    int64_t arrived; /* when the header was complete */
    int64_t deadline;
    void *user; /* the consumer's */
};

enum front_item_kind {
    FRONT_ITEM_CALL,
    /* The caller closed its side of the connection. A half-closed connection
     * cannot be told from a closed one; the answer is sent in any case. */
    FRONT_ITEM_GONE,
};

struct front_item {
    enum front_item_kind kind;
    struct front_call *call;
};

/* An answer; front_respond takes headers and body over. */
struct front_response {
    int status;
    struct http_headers headers; /* Content-Length is computed */
    struct buf body;
    /* HEAD: the length the body would have; ignored otherwise. */
    uint64_t head_length;
};

/*
 * Starts the threads. Items go to ring, whose consumer is one thread.
 * Returns NULL with errno set when the address cannot be bound.
 */
struct front *
front_create(const struct front_config *config, struct ring *ring);

/* The port it listens on. */
uint16_t
front_port(const struct front *f);

/*
 * Answers the call and drops the consumer's reference. Any thread, once for
 * each FRONT_ITEM_CALL. Takes *response over and leaves it empty. Allowed
 * after front_destroy, when it only frees.
 */
void
front_respond(struct front_call *call, struct front_response *response);

/* Closes the connection without an answer, for a response that broke off;
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

/* Closes the listening socket; connections that exist stay. */
void
front_stop_listening(struct front *f);

/* From now on a connection is closed once no request has come for
 * FRONT_DRAIN_IDLE_MS. */
void
front_close_idle(struct front *f);

/* Open connections. */
unsigned
front_connections(const struct front *f);

/* Whether bodies and unsent answers exceed max_buffered. Calls without a body
 * still arrive; a consumer that expects a large answer should refuse them. */
bool
front_overloaded(const struct front *f);

/* Requests being received, handled or answered; 0 once a drained server has
 * sent its last answer. */
unsigned
front_active(const struct front *f);

/* Breaks what is still open and joins all threads. Items may remain on the
 * ring and calls with their holders. */
void
front_destroy(struct front *f);

#endif
