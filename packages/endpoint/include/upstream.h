#ifndef GV_UPSTREAM_H
#define GV_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http.h"
#include "ring.h"
#include "str.h"

/*
 * The HTTP/1.1 client that sends requests to endpoints. An endpoint is
 * identified by its address; one thread handles all its attempts, and its open
 * connections never exceed the slots that were set for it.
 *
 * An idempotent attempt may reuse an open connection, and libcurl may send it
 * again when that connection turns out to be closed, unless send_once is set.
 * Any other attempt opens its own connection, carries Connection: close and is
 * sent at most once.
 */
struct upstream;

struct upstream_config {
    unsigned threads;
    unsigned queue;      /* capacity of a thread's message queue, a power of
                          * two */
    size_t max_response; /* bytes of body */
    size_t max_header;   /* bytes of all response headers */
    int64_t connect_timeout_ns;
    int64_t idle_timeout_ns; /* connections idle longer are not reused */
};

/* 2 threads, 4096 messages, 8 MiB of body, 16 KiB of header, timeouts of 1 s
 * (connect) and 20 s (idle). */
void
upstream_config_default(struct upstream_config *config);

/* One attempt. All strings, headers and the body are borrowed: they must stay
 * valid until the result has been popped from the ring. */
struct upstream_call {
    uint64_t id; /* chosen by the sender, unique among calls in flight */
    struct str address; /* IPv4:port or [IPv6]:port */
    struct str target;  /* path and query as sent, starts with '/' */
    /* Hop-by-hop fields, Host, Authorization, Expect, Idempotency-Key and
     * Guavarock-* are not forwarded. NULL: none. */
    const struct http_headers *headers;
    struct str idempotency_key; /* ptr NULL: none */
    struct str body;
    int64_t deadline; /* as clock_now */
    /* The request is not begun after this time, as clock_now; 0: no limit
     * but the deadline. */
    int64_t start_by;
    void *user; /* copied to the result */
    enum http_method method;
    bool idempotent; /* false: a new connection, never sent twice */
    /* An idempotent attempt is not sent twice either: it fails when its
     * connection breaks. */
    bool send_once;
};

enum upstream_failure {
    UPSTREAM_OK,
    UPSTREAM_REFUSED,   /* no connection could be opened */
    UPSTREAM_RESET,     /* the connection broke before the response's end */
    UPSTREAM_TIMED_OUT, /* the deadline passed, or connecting took too long */
    UPSTREAM_MALFORMED, /* not a valid, delimited HTTP response */
    UPSTREAM_TOO_LARGE, /* more than max_response or max_header */
    UPSTREAM_CANCELLED, /* by upstream_cancel or start_by */
    UPSTREAM_NO_SLOT,   /* as many attempts as slots are running */
    UPSTREAM_FAILURE_COUNT,
};

/* The result of an attempt: exactly one for each accepted call, to be freed
 * with upstream_result_free. */
struct upstream_result {
    uint64_t id;
    void *user;
    enum upstream_failure failure;
    bool sent;  /* a byte of the request may have reached the endpoint */
    int status; /* 200 to 599 with UPSTREAM_OK, otherwise 0 */
    struct http_headers headers; /* without hop-by-hop fields */
    struct buf body;
    uint64_t head_length; /* Content-Length of the answer to HEAD, or 0 */
    int64_t duration_ns;
};

/* Starts the threads. Results are pushed to ring, which one thread consumes
 * and which the caller owns. Returns NULL with errno set on failure. */
struct upstream *
upstream_create(const struct upstream_config *config, struct ring *ring);

/*
 * Sets how many connections to address may be open, initially 0. With 0, all
 * are closed as soon as they are idle, and the endpoint's state is freed.
 * Calls of upstream_set_slots and upstream_send for an address take effect in
 * their order. Returns false when the queue is full.
 */
bool
upstream_set_slots(struct upstream *u, struct str address, unsigned slots);

/* Copies *call. Returns false when the queue is full: nothing was sent and no
 * result follows. */
bool
upstream_send(struct upstream *u, const struct upstream_call *call);

/*
 * Ends an attempt early. Its result is pushed as usual, with
 * UPSTREAM_CANCELLED unless the attempt has ended before. Returns false when
 * the queue is full; the attempt then goes on until its deadline.
 */
bool
upstream_cancel(struct upstream *u, struct str address, uint64_t id);
void
upstream_result_free(struct upstream_result *result);
const char *
upstream_failure_name(enum upstream_failure failure);

/* Cancels all attempts and joins the threads. Results that find the ring full
 * are freed; the consumer frees those on it. */
void
upstream_destroy(struct upstream *u);

#endif
