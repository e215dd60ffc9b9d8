#ifndef GV_TEST_STUB_H
#define GV_TEST_STUB_H

#include <glib.h>
#include <stdint.h>

/*
 * An endpoint for tests, with a thread for each connection. The request's path
 * selects the answer, see stub.c.
 */
struct stub;

struct stub *
stub_start(void);
uint16_t
stub_port(const struct stub *s);

/* Complete requests received so far. */
int
stub_requests(struct stub *s);

/* Requests whose answer has been written. For /excess and /excess-later, the
 * peer's kernel has also received all of it. */
int
stub_served(struct stub *s);

/* Answers the pending requests for /held, and later ones at once. */
void
stub_release(struct stub *s);

/* The number of open connections, and the highest number so far. */
int
stub_open(struct stub *s);
int
stub_most_open(struct stub *s);

/* The header and body of the last request; free it with g_free. */
char *
stub_last(struct stub *s);
void
stub_stop(struct stub *s);

#endif
