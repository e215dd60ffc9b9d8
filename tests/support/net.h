#ifndef GV_TEST_NET_H
#define GV_TEST_NET_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Blocking sockets on the loopback address for tests. */

/* Listens on 127.0.0.1 at a free port. */
int
net_listen(uint16_t *port);

/* Return -1 when the connection is refused. */
int
net_connect(uint16_t port);
int
net_connect_to(const char *ip, uint16_t port);
void
net_write(int fd, const char *text);

/*
 * Reads one response: the header and as many bytes of body as Content-Length
 * says (none after a request with HEAD). Returns what was read before the
 * peer closed or 5 s passed; the caller checks that it is complete.
 */
GString *
net_read_response(int fd, gboolean head);

/* Whether the peer closes, without another byte, within 5 s. */
gboolean
net_closed(int fd);

#endif
