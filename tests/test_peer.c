#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "mem.h"
#include "peer.h"
#include "peer_rig.h"
#include "rng.h"

/* Guards against lost, altered or reordered frames of any size. */
static void
test_exchange(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    char *big = g_malloc(3000000);

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_node_open(&a, "a", 'k', 0, peer_port(b.hub));
    peer_run(&a, &b, NULL, 50);
    g_assert_cmpstr(b.vm, ==, "a");
    g_assert_cmpstr(a.vm, ==, "b");
    g_assert_cmpuint(a.identity.member_id, ==, 7);
    g_assert_cmpuint(b.identity.cluster_id, ==, 9);
    for (unsigned i = 1; i <= 1000; i++) {
        g_assert_true(peer_send(a.session, str_from(&i, sizeof(i))));
        if (i % 50 == 0) {
            peer_run_until(&a, &b, NULL, &b.frames, i);
            g_assert_cmpmem(b.last.ptr, b.last.len, &i, sizeof(i));
        }
    }
    memset(big, 'x', 3000000);
    g_assert_true(peer_send(b.session, str_from(big, 3000000)));
    g_assert_false(peer_send(b.session, STR("")));
    peer_run_until(&a, &b, NULL, &a.frames, 1);
    g_assert_cmpmem(a.last.ptr, a.last.len, big, 3000000);
    peer_run(&a, &b, NULL, 10000);
    g_assert_cmpuint(a.downs + b.downs, ==, 0);
    g_free(big);
    peer_node_close(&a);
    peer_node_close(&b);
}

static void
test_wrong_key(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_node_open(&a, "a", 'x', 0, peer_port(b.hub));
    peer_run(&a, &b, NULL, 1000);
    g_assert_cmpuint(a.ups + b.ups, ==, 0);
    peer_node_close(&a);
    peer_node_close(&b);
}

/* Guards against a recorded handshake being accepted for a second session. */
static void
test_replayed_handshake(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    struct peer_relay r;

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_relay_open(&r, peer_port(b.hub));
    peer_node_open(&a, "a", 'k', 0, r.port);
    peer_run(&a, &b, &r, 100);
    g_assert_true(peer_send(a.session, STR("once")));
    peer_run(&a, &b, &r, 20);
    g_assert_cmpuint(b.frames, ==, 1);
    int fd = peer_test_connect(peer_port(b.hub));
    send(fd, r.from_client.ptr, r.from_client.len, MSG_NOSIGNAL);
    peer_run(&a, &b, &r, 100);
    g_assert_cmpuint(b.ups, ==, 1);
    g_assert_cmpuint(b.frames, ==, 1);
    g_assert_true(peer_test_closed(fd));
    close(fd);
    peer_node_close(&a);
    peer_node_close(&b);
    peer_relay_close(&r);
}

/* Sends one frame in each direction through a relay that changes a byte or
 * closes the connection; true when both frames arrived. */
static bool
exchange_through_relay(ssize_t flip, ssize_t cut, int direction)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    struct peer_relay r;
    bool both;

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_relay_open(&r, peer_port(b.hub));
    r.flip_at[direction] = flip;
    r.cut_at[direction] = cut;
    peer_node_open(&a, "a", 'k', 0, r.port);
    peer_run(&a, &b, &r, 8);
    if (a.session != NULL) {
        peer_send(a.session, STR("from a"));
    }
    if (b.session != NULL) {
        peer_send(b.session, STR("from b"));
    }
    peer_run(&a, &b, &r, 8);
    both = a.frames == 1 && b.frames == 1;
    g_assert_true(a.frames == 0 || str_eq(buf_str(&a.last), STR("from b")));
    g_assert_true(b.frames == 0 || str_eq(buf_str(&b.last), STR("from a")));
    peer_node_close(&a);
    peer_node_close(&b);
    peer_relay_close(&r);
    return both;
}

/*
 * Guards against a changed or truncated stream being accepted. The first two
 * runs damage nothing and must pass; each other run changes one byte or cuts
 * the stream at one offset.
 */
static void
test_damage(void)
{
    /* hello 66 or reply 98, proof or accept 60, a frame 27, with lengths */
    static const ssize_t lengths[2] = {66 + 60 + 27, 98 + 60 + 27};

    g_assert_true(exchange_through_relay(-1, -1, 0));
    g_assert_true(exchange_through_relay(5000, -1, 0));
    for (int direction = 0; direction < 2; direction++) {
        for (ssize_t at = 0; at < lengths[direction]; at += 3) {
            g_assert_false(exchange_through_relay(at, -1, direction));
        }
        for (ssize_t at = 0; at < lengths[direction]; at += 11) {
            g_assert_false(exchange_through_relay(-1, at, direction));
        }
    }
}

/* Guards against an unauthenticated client's length field reserving memory. */
static void
test_oversized(void)
{
    static const char big[] = {0, 0, 4, 1, 'x'};
    struct peer_node b = {0};

    peer_node_open(&b, "b", 'k', 0, 0);
    int fd = peer_test_connect(peer_port(b.hub));
    peer_run(&b, NULL, NULL, 5);
    send(fd, big, sizeof(big), MSG_NOSIGNAL);
    peer_run(&b, NULL, NULL, 5);
    g_assert_true(peer_test_closed(fd));
    close(fd);
    peer_node_close(&b);
}

/* Guards against idle connections of unauthenticated clients that fill the
 * accept limit and lock a peer out. */
static void
test_idle_connections(void)
{
    struct peer_node b = {0};
    int fd[70];
    unsigned closed = 0;
    struct peer_node a = {0};

    peer_node_open(&b, "b", 'k', 0, 0);
    for (int i = 0; i < 70; i++) {
        fd[i] = peer_test_connect(peer_port(b.hub));
    }
    peer_run(&b, NULL, NULL, 10);
    peer_node_open(&a, "a", 'k', 0, peer_port(b.hub));
    peer_run(&a, &b, NULL, 200);
    g_assert_cmpuint(b.ups, ==, 1);
    peer_node_close(&a);
    for (int i = 0; i < 40; i++) {
        peer_run(&b, NULL, NULL, 100);
        send(fd[0], "", 1, MSG_NOSIGNAL);
    }
    for (int i = 0; i < 70; i++) {
        closed += peer_test_closed(fd[i]);
        close(fd[i]);
    }
    g_assert_cmpuint(closed, ==, 70);
    peer_node_close(&b);
}

static void
test_slow_sender(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    struct peer_relay r;

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_relay_open(&r, peer_port(b.hub));
    r.step_bytes = 1;
    peer_node_open(&a, "a", 'k', 0, r.port);
    peer_run(&a, &b, &r, 700);
    g_assert_nonnull(a.session);
    g_assert_true(peer_send(a.session, STR("one byte at a time")));
    peer_run(&a, &b, &r, 200);
    g_assert_cmpuint(b.frames, ==, 1);
    g_assert_cmpuint(a.downs + b.downs, ==, 0);
    peer_node_close(&a);
    peer_node_close(&b);
    peer_relay_close(&r);
}

/* Guards against a session that stays up in a network partition. */
static void
test_half_open(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    struct peer_relay r;

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_relay_open(&r, peer_port(b.hub));
    peer_node_open(&a, "a", 'k', 0, r.port);
    peer_run(&a, &b, &r, 100);
    r.paused = true;
    peer_run(&a, &b, &r, 1400);
    g_assert_cmpuint(a.downs + b.downs, ==, 0);
    peer_run(&a, &b, &r, 1200);
    g_assert_cmpuint(a.downs, ==, 1);
    g_assert_cmpuint(b.downs, ==, 1);
    g_assert_cmpint(a.reason, ==, PEER_DOWN_TIMEOUT);
    peer_relay_drop(&r);
    r.paused = false;
    peer_run(&a, &b, &r, 6000);
    g_assert_cmpuint(a.ups, ==, 2);
    g_assert_cmpuint(b.ups, ==, 2);
    peer_node_close(&a);
    peer_node_close(&b);
    peer_relay_close(&r);
}

static void
test_overflow(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    char *chunk = g_malloc0(256 * 1024);
    unsigned sent = 0;

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_node_open(&a, "a", 'k', 0, peer_port(b.hub));
    peer_run(&a, &b, NULL, 50);
    while (sent < 100 && peer_send(a.session, str_from(chunk, 256 * 1024))) {
        sent++;
    }
    g_assert_cmpuint(sent, >=, 16);
    g_assert_cmpuint(sent, <, 100);
    g_assert_cmpuint(a.downs, ==, 0);
    g_assert_cmpint(peer_next_deadline(a.hub), <=, peer_now);
    peer_run(&a, NULL, NULL, 1);
    g_assert_cmpuint(a.downs, ==, 1);
    g_assert_cmpint(a.reason, ==, PEER_DOWN_OVERFLOW);
    peer_run(&a, &b, NULL, 2000);
    g_assert_cmpuint(a.ups, ==, 2);
    g_assert_nonnull(b.session);
    g_free(chunk);
    peer_node_close(&a);
    peer_node_close(&b);
}

/* Guards against dialing in a busy loop, or not reconnecting, when a process
 * restarts. */
static void
test_reconnect(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    uint16_t port;

    peer_node_open(&b, "b", 'k', 0, 0);
    port = peer_port(b.hub);
    peer_node_open(&a, "a", 'k', 0, port);
    peer_run(&a, &b, NULL, 50);
    for (unsigned i = 2; i < 5; i++) {
        peer_destroy(b.hub);
        peer_run(&a, NULL, NULL, 3000);
        g_assert_cmpuint(a.downs, ==, i - 1);
        g_assert_cmpint(peer_next_deadline(a.hub), >, peer_now + NS_PER_MS);
        peer_node_open(&b, "b", 'k', port, 0);
        peer_run(&a, &b, NULL, 2500);
        g_assert_cmpuint(a.ups, ==, i);
    }
    peer_node_close(&a);
    peer_node_close(&b);
}

/* Guards against dialing in a busy loop when an address accepts and closes. */
static void
test_back_off(void)
{
    struct peer_node a = {0};
    uint16_t port;
    int listener = peer_test_listen(&port);
    unsigned dials = 0;

    peer_node_open(&a, "a", 'k', 0, port);
    for (int i = 0; i < 10000; i++) {
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0) {
            dials++;
            close(fd);
        }
        peer_run(&a, NULL, NULL, 1);
    }
    /* 50 ms doubling to 2 s, less up to half: 6 to 15 dials in 10 s */
    g_assert_cmpuint(dials, >=, 6);
    g_assert_cmpuint(dials, <=, 18);
    close(listener);
    peer_node_close(&a);
}

/* Guards against a dialer that sends its proof to a server that has not proved
 * the cluster key. */
static void
test_impostor(void)
{
    struct peer_node a = {0};
    uint16_t port;
    int listener = peer_test_listen(&port);
    char reply[98] = {0, 0, 0, 94, 'G', 'V', 'P', '1'};
    char seen[256];

    reply[64] = 1;
    reply[65] = 'b';
    peer_node_open(&a, "a", 'k', 0, port);
    peer_run(&a, NULL, NULL, 10);
    int fd = accept(listener, NULL, NULL);
    g_assert_cmpint(recv(fd, seen, sizeof(seen), 0), ==, 66);
    send(fd, reply, sizeof(reply), MSG_NOSIGNAL);
    peer_run(&a, NULL, NULL, 50);
    g_assert_cmpint(recv(fd, seen, sizeof(seen), MSG_DONTWAIT), <=, 0);
    g_assert_true(peer_test_closed(fd));
    close(fd);
    close(listener);
    peer_node_close(&a);
}

/*
 * Guards against two processes that dial each other at once and each close the
 * session that the other one keeps. The relays delay both accept messages
 * until each side has the session up that the other one dialed.
 */
static void
test_mutual_dial(void)
{
    struct peer_node a = {0};
    struct peer_node b = {0};
    struct peer_node probe = {0};
    struct peer_relay r;
    struct peer_relay other;
    uint16_t port;

    peer_node_open(&probe, "p", 'k', 0, 0);
    port = peer_port(probe.hub);
    peer_node_close(&probe);
    peer_relay_open(&other, port);
    peer_node_open(&b, "b", 'k', 0, other.port);
    peer_relay_open(&r, peer_port(b.hub));
    r.second = &other;
    r.hold_at[1] = 98;
    other.hold_at[1] = 98;
    peer_node_open(&a, "a", 'k', port, r.port);
    peer_run_until(&a, &b, &r, &a.ups, 1);
    peer_run_until(&a, &b, &r, &b.ups, 1);
    r.hold_at[1] = -1;
    other.hold_at[1] = -1;
    peer_run(&a, &b, &r, 10000);
    /* The session that a dialed is kept: it is the second one that is up on a,
     * and the only one on b. */
    g_assert_cmpuint(a.ups, ==, 2);
    g_assert_cmpuint(a.downs, ==, 1);
    g_assert_cmpuint(b.ups, ==, 1);
    g_assert_cmpuint(b.downs, ==, 0);
    peer_node_close(&a);
    peer_node_close(&b);
    peer_relay_close(&r);
    peer_relay_close(&other);
}

/* Guards against the old session of a restarted VM blocking its new one. */
static void
test_newest_wins(void)
{
    struct peer_node a = {0};
    struct peer_node restarted = {0};
    struct peer_node b = {0};

    peer_node_open(&b, "b", 'k', 0, 0);
    peer_node_open(&a, "a", 'k', 0, peer_port(b.hub));
    peer_run(&a, &b, NULL, 50);
    peer_node_open(&restarted, "a", 'k', 0, peer_port(b.hub));
    peer_run(&restarted, &b, NULL, 50);
    g_assert_cmpuint(b.ups, ==, 2);
    g_assert_cmpuint(b.downs, ==, 1);
    g_assert_cmpint(b.reason, ==, PEER_DOWN_REPLACED);
    g_assert_true(peer_find(b.hub, STR("a")) == b.session);
    peer_node_close(&a);
    peer_node_close(&restarted);
    peer_node_close(&b);
}

/* Guards against a process that accepts a session with itself through a relay.
 */
static void
test_own_name(void)
{
    struct peer_node a = {0};
    struct peer_relay r;

    peer_relay_open(&r, 0);
    peer_node_open(&a, "a", 'k', 0, r.port);
    r.server_port = peer_port(a.hub);
    peer_run(&a, NULL, &r, 500);
    g_assert_cmpuint(a.ups, ==, 0);
    peer_node_close(&a);
    peer_relay_close(&r);
}

/* Guards against reading past the buffer or accepting an invalid length. */
static void
test_frame_split(void)
{
    struct rng rng = {11};
    struct str payload;
    size_t used;

    for (int i = 0; i < 20000; i++) {
        size_t len = rng_below(&rng, 24);
        char *bytes = g_malloc(len + 1);
        for (size_t k = 0; k < len; k++) {
            bytes[k] = (char)(k < 3 ? 0 : rng_below(&rng, 24));
        }
        /* A copy of the exact size lets the sanitizer detect an overread. */
        char *exact = g_memdup2(bytes, len);
        size_t stated = len >= 4 ? (size_t)bytes[3] : 0;
        enum peer_frame_result result =
            peer_frame_split(str_from(exact, len), 16, &payload, &used);
        if (len < 4) {
            g_assert_cmpint(result, ==, PEER_FRAME_SHORT);
        }
        else if (stated == 0 || stated > 16) {
            g_assert_cmpint(result, ==, PEER_FRAME_BAD);
        }
        else if (len < 4 + stated) {
            g_assert_cmpint(result, ==, PEER_FRAME_SHORT);
        }
        else {
            g_assert_cmpint(result, ==, PEER_FRAME_OK);
            g_assert_cmpmem(payload.ptr, payload.len, bytes + 4, stated);
            g_assert_cmpuint(used, ==, 4 + stated);
        }
        g_free(exact);
        g_free(bytes);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    log_init("test_peer", LOG_LEVEL_ERR);
    g_test_add_func("/peer/exchange", test_exchange);
    g_test_add_func("/peer/wrong_key", test_wrong_key);
    g_test_add_func("/peer/replayed_handshake", test_replayed_handshake);
    g_test_add_func("/peer/damage", test_damage);
    g_test_add_func("/peer/oversized", test_oversized);
    g_test_add_func("/peer/slow_stranger", test_idle_connections);
    g_test_add_func("/peer/slow_sender", test_slow_sender);
    g_test_add_func("/peer/half_open", test_half_open);
    g_test_add_func("/peer/overflow", test_overflow);
    g_test_add_func("/peer/reconnect", test_reconnect);
    g_test_add_func("/peer/back_off", test_back_off);
    g_test_add_func("/peer/impostor", test_impostor);
    g_test_add_func("/peer/mutual_dial", test_mutual_dial);
    g_test_add_func("/peer/newest_wins", test_newest_wins);
    g_test_add_func("/peer/own_name", test_own_name);
    g_test_add_func("/peer/frame_split", test_frame_split);
    return g_test_run();
}
