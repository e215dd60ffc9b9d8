#ifndef GV_TEST_STUB_H
#define GV_TEST_STUB_H

#include <glib.h>
#include <stdint.h>

/*
 * An endpoint for tests, with a thread for each connection. The request's
 * path selects its behaviour, see the table in stub.c.
 */
struct stub;

struct stub *
stub_start(void);
uint16_t
stub_port(const struct stub *s);

/* Complete requests received so far. */
int
stub_requests(struct stub *s);

/* Of these, the ones that have been served: all bytes are sent and, for
 * /excess and /excess-later, have arrived. */
int
stub_served(struct stub *s);

/* Requests for /held are answered from now on. */
void
stub_release(struct stub *s);

/* Connections open now, and the most that were open at the same time. */
int
stub_open(struct stub *s);
int
stub_most_open(struct stub *s);

/* The last request, header and body; free it with g_free. */
char *
stub_last(struct stub *s);
void
stub_stop(struct stub *s);

#endif
