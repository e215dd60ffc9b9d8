#ifndef GV_TEST_SERVER_H
#define GV_TEST_SERVER_H

#include "front.h"

/* An HTTP server for tests whose consumer is the test itself. */
struct server {
    struct front *front;
    struct ring *ring;
    uint16_t port;
};

#define GET "GET /a HTTP/1.1\r\nHost: h\r\n"

/* Two threads, 1024 connections and 64 KiB of body, on the loopback address.
 */
struct front_config
server_config(void);
struct server
server_start(const struct front_config *config, unsigned capacity);

enum {
    SERVER_WAIT_MS = 5000, /* for what must come; also on a stalled machine */
};

/* NULL after timeout_ms; release it with front_item_release. */
struct front_item *
server_next_item(struct server *s, int timeout_ms);

/* The next item, which must be a call. */
struct front_call *
server_next_call(struct server *s);
void
server_respond(struct front_call *call, int status, const char *body);

/* Reads a response from fd: the status must start with status, and part must
 * occur. */
void
server_expect(int fd, const char *status, const char *part);
void
server_wait_idle(struct server *s);

/* Waits until no connection is left; aborts the calls that still come when
 * they are to be discarded. */
void
server_wait_closed(struct server *s, bool discard);

/* Fails if a call is left behind. */
void
server_stop(struct server *s);

#endif
