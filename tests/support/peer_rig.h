#ifndef GV_TEST_PEER_RIG_H
#define GV_TEST_PEER_RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "peer.h"
#include "str.h"

/* Two nodes that talk through peer sessions, a relay between them that can
 * damage or delay bytes, and a simulated clock. */

/* The hub of one process and what its callbacks received. */
struct peer_node {
    struct peer_hub *hub;
    struct peer_session *session; /* the newest one */
    unsigned ups;
    unsigned downs;
    unsigned frames;
    enum peer_down_reason reason;
    struct buf last; /* payload of the last frame */
    struct peer_identity identity;
    char vm[32]; /* of the other side */
};

/* Forwards one connection. Index 0 of an array: from client to server. */
struct peer_relay {
    struct peer_relay *second; /* relay of another connection, or NULL */
    int listener;
    int client;
    int server;
    uint16_t port;
    uint16_t server_port;
    bool paused;        /* forwards nothing */
    size_t step_bytes;  /* limit per direction and ms, 0: 4,096 */
    ssize_t flip_at[2]; /* offset of the byte to change, -1: none */
    ssize_t cut_at[2];  /* closes after this many bytes, -1: never */
    ssize_t hold_at[2]; /* pauses after this many bytes, -1: never */
    size_t forwarded[2];
    struct buf from_client; /* all bytes from the client */
};

/* The simulated time. */
extern int64_t peer_now;

/* Listens on listen_port of the loopback address (0: any) and dials
 * target_port unless it is 0. */
void
peer_node_open(struct peer_node *n, const char *vm, char key,
               uint16_t listen_port, uint16_t target_port);
void
peer_node_close(struct peer_node *n);

/* Non-blocking sockets on the loopback address. */
int
peer_test_listen(uint16_t *port);
int
peer_test_connect(uint16_t port);

/* Discards what was received; true when the other side has closed. */
bool
peer_test_closed(int fd);

void
peer_relay_open(struct peer_relay *r, uint16_t server_port);

/* Closes both sockets of the connection, and keeps listening. */
void
peer_relay_drop(struct peer_relay *r);
void
peer_relay_close(struct peer_relay *r);

/* Advances peer_now by ms milliseconds and polls after each one. Sleeps 20
 * microseconds between polls, so that the kernel can deliver. a, b and r may
 * be NULL. */
void
peer_run(struct peer_node *a, struct peer_node *b, struct peer_relay *r,
         int ms);

/* Runs until *count is target; fails after 1,000 ms of peer_now. */
void
peer_run_until(struct peer_node *a, struct peer_node *b, struct peer_relay *r,
               const unsigned *count, unsigned target);

#endif
