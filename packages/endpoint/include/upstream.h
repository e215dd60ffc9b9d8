#ifndef GV_UPSTREAM_H
#define GV_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http.h"
#include "ring.h"
#include "str.h"

/*
 * The HTTP/1.1 client to endpoints. An endpoint is named by its address; it
 * belongs to one thread and its open connections never exceed the slots that
 * were set for it.
 */
struct upstream;

/*
 * An idempotent attempt may use an open connection, and libcurl may send it
 * again when that turns out to be closed. Any other attempt has a connection
 * of its own, carries Connection: close and is sent at most once.
 */

struct upstream_config {
    unsigned threads;
    unsigned queue;      /* work queue of a thread, a power of two */
    size_t max_response; /* bytes of body */
    size_t max_header;   /* bytes of all response headers */
    int64_t connect_timeout_ns;
    int64_t idle_timeout_ns; /* connections idle longer are not reused */
};

/* 2 threads, 4096, 8 MiB, 16 KiB, 1 s, 20 s. */
void
upstream_config_default(struct upstream_config *config);

/* One attempt. All strings, headers and the body are borrowed: they must
 * stay valid until the result was taken off the ring. */
struct upstream_call {
    uint64_t id; /* chosen by the sender, unique among calls in flight */
    struct str address; /* IPv4:port or [IPv6]:port */
    struct str target;  /* path and query as sent, starts with '/' */
    /* Hop-by-hop fields, Host and Authorization are left out. */
    const struct http_headers *headers;
    struct str idempotency_key; /* ptr NULL: none */
    struct str body;
    int64_t deadline;
    /* No byte is sent after this; 0: the deadline alone counts. */
    int64_t start_by;
    void *user;
    enum http_method method;
    bool idempotent; /* false: a fresh connection, never sent twice */
};

enum upstream_failure {
    UPSTREAM_OK,
    UPSTREAM_REFUSED,   /* no connection */
    UPSTREAM_RESET,     /* broken off */
    UPSTREAM_TIMED_OUT, /* the deadline passed, or connecting took too long */
    UPSTREAM_MALFORMED,
    UPSTREAM_TOO_LARGE,
    UPSTREAM_CANCELLED,
    UPSTREAM_NO_SLOT, /* as many attempts as slots are running */
    UPSTREAM_FAILURE_COUNT,
};

/* Exactly one for each accepted call. */
struct upstream_result {
    uint64_t id;
    void *user;
    enum upstream_failure failure;
    bool sent;  /* a byte of the request may have reached the endpoint */
    int status; /* 200 to 599 with UPSTREAM_OK, otherwise 0 */
    struct http_headers headers; /* end-to-end */
    struct buf body;
    uint64_t head_length; /* HEAD: Content-Length */
    int64_t duration_ns;
};

/* Results go to ring, whose consumer is one thread. NULL with errno set. */
struct upstream *
upstream_create(const struct upstream_config *config, struct ring *ring);

/*
 * Sets how many connections to address may be open, at first 0. At 0 all are
 * closed as soon as they are idle and the endpoint is forgotten. Takes effect
 * in the order of calls with upstream_send. Returns false when the queue is
 * full.
 */
bool
upstream_set_slots(struct upstream *u, struct str address, unsigned slots);

/* Copies *call. Returns false when the queue is full: nothing was sent and no
 * result follows. */
bool
upstream_send(struct upstream *u, const struct upstream_call *call);

/*
 * Ends an attempt early; the result follows in any case, with
 * UPSTREAM_CANCELLED unless it was complete before. A full queue returns
 * false; the deadline then ends it.
 */
bool
upstream_cancel(struct upstream *u, struct str address, uint64_t id);
void
upstream_result_free(struct upstream_result *result);
const char *
upstream_failure_name(enum upstream_failure failure);

/* Cancels all attempts and joins the threads. Results not yet on the ring
 * are dropped; those on it are the consumer's. */
void
upstream_destroy(struct upstream *u);

#endif
