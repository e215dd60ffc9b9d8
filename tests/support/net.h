#ifndef GV_TEST_NET_H
#define GV_TEST_NET_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Blocking sockets on the loopback address for tests. */

/* Listens on a free port of 127.0.0.1 and returns the socket. */
int
net_listen(uint16_t *port);

/* Connect to 127.0.0.1 or to an IPv4 address; return -1 on failure. */
int
net_connect(uint16_t port);
int
net_connect_to(const char *ip, uint16_t port);

/* Writes the whole text, or less when the peer has closed. */
void
net_write(int fd, const char *text);

/*
 * Reads one response: the header and as many bytes of body as Content-Length
 * says (none when head, for the answer to HEAD). Returns less if the peer
 * closes or sends nothing for 5 s; the caller checks that it is complete and
 * frees it.
 */
GString *
net_read_response(int fd, gboolean head);

/* Waits up to 5 s; whether the peer closed without sending another byte. */
gboolean
net_closed(int fd);

#endif
