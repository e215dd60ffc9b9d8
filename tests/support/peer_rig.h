#ifndef GV_TEST_PEER_RIG_H
#define GV_TEST_PEER_RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "peer.h"
#include "str.h"

/* Two ends of the internal protocol, a relay between them that changes what
 * it forwards, and the time they live in. */

/* One process's worth of sessions and what it saw. */
struct peer_node {
    struct peer_hub *hub;
    struct peer_session *session; /* the newest one */
    unsigned ups;
    unsigned downs;
    unsigned frames;
    enum peer_down_reason reason;
    struct buf last;
    struct peer_identity identity;
    char vm[32];
};

/* Forwards one connection, byte by byte where a test wants it. */
struct peer_relay {
    struct peer_relay *also; /* a second connection, or NULL */
    int listener;
    int client;
    int server;
    uint16_t port;
    uint16_t to;
    bool frozen;     /* forwards nothing more */
    size_t step;     /* bytes per turn, 0: all */
    ssize_t flip[2]; /* offset of a bit to change, -1: none */
    ssize_t cut[2];  /* forwards only this many bytes, -1: all */
    ssize_t hold[2]; /* keeps back what follows this many bytes, -1: none */
    size_t passed[2];
    struct buf seen; /* from the client */
};

extern int64_t peer_now;

/* Listens on listen_port of the loopback address (0: any) and dials
 * target_port unless it is 0. */
void
peer_node_open(struct peer_node *n, const char *vm, char key,
               uint16_t listen_port, uint16_t target_port);
void
peer_node_close(struct peer_node *n);

/* Sockets that do not block. */
int
peer_test_listen(uint16_t *port);
int
peer_test_connect(uint16_t port);

/* Reads what there is; true when the other side has closed. */
bool
peer_test_closed(int fd);

void
peer_relay_open(struct peer_relay *r, uint16_t to);

/* Closes both connections, and keeps listening. */
void
peer_relay_drop(struct peer_relay *r);
void
peer_relay_close(struct peer_relay *r);

/* Lets ms milliseconds of peer_now pass in steps of one, each with a moment
 * for the kernel to deliver. Any of the three may be NULL. */
void
peer_run(struct peer_node *a, struct peer_node *b, struct peer_relay *r,
         int ms);

/* Runs until *count is target, and aborts after 1,000 steps. */
void
peer_run_until(struct peer_node *a, struct peer_node *b, struct peer_relay *r,
               const unsigned *count, unsigned target);

#endif
