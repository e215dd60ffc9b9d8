#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "mem.h"
#include "peer.h"
#include "rng.h"

/* One process's worth of sessions and what it saw. */
struct node {
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
struct relay {
    struct relay *also; /* a second connection, or NULL */
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

static int64_t now = 1000 * NS_PER_S;

static void
on_up(void *arg, struct peer_session *session,
      const struct peer_identity *identity)
{
    struct node *n = arg;

    n->ups++;
    n->session = session;
    n->identity = *identity;
    snprintf(n->vm, sizeof(n->vm), "%.*s", STR_ARG(identity->vm));
}

static void
on_frame(void *arg, struct peer_session *session, struct str payload)
{
    struct node *n = arg;

    (void)session;
    n->frames++;
    buf_clear(&n->last);
    buf_append_str(&n->last, payload);
}

static void
on_down(void *arg, struct peer_session *session, enum peer_down_reason reason)
{
    struct node *n = arg;

    n->downs++;
    n->reason = reason;
    if (n->session == session) {
        n->session = NULL;
    }
}

static void
node_open(struct node *n, const char *vm, char key, uint16_t listen_port,
          uint16_t target_port)
{
    struct peer_handler handler = {n, on_up, on_frame, on_down};
    char listen_at[32];
    char target_at[32];
    char error[128];
    struct peer_target target = {.address = {target_at, 0}};
    struct peer_config config = {.vm = str_of(vm),
                                 .member_id = 7,
                                 .cluster_id = 9,
                                 .seed = listen_port + 1U,
                                 .send_queue_max = 4 * 1024 * 1024,
                                 .targets = &target,
                                 .target_count = target_port != 0};

    snprintf(listen_at, sizeof(listen_at), "127.0.0.1:%u", listen_port);
    snprintf(target_at, sizeof(target_at), "127.0.0.1:%u", target_port);
    target.address = str_of(target_at);
    config.listen = str_of(listen_at);
    memset(config.cluster_key, key, sizeof(config.cluster_key));
    n->session = NULL;
    n->hub = peer_create(&config, &handler, now, error, sizeof(error));
    g_assert_nonnull(n->hub);
}

static void
node_close(struct node *n)
{
    peer_destroy(n->hub);
    buf_free(&n->last);
}

static int
listen_on(uint16_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t len = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, len), ==, 0);
    g_assert_cmpint(listen(fd, 8), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &len);
    *port = ntohs(address.sin_port);
    return fd;
}

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

static void
relay_open(struct relay *r, uint16_t to)
{
    *r = (struct relay){.client = -1,
                        .server = -1,
                        .to = to,
                        .flip = {-1, -1},
                        .cut = {-1, -1},
                        .hold = {-1, -1}};
    r->listener = listen_on(&r->port);
}

static void
relay_drop(struct relay *r)
{
    close(r->client);
    close(r->server);
    r->client = -1;
    r->server = -1;
}

static void
relay_close(struct relay *r)
{
    if (r->client >= 0) {
        relay_drop(r);
    }
    close(r->listener);
    buf_free(&r->seen);
}

static void
relay_forward(struct relay *r, int from, int to, int direction)
{
    char bytes[4096];
    size_t want = r->step == 0 ? sizeof(bytes) : r->step;
    ssize_t n;

    if (r->hold[direction] >= 0) {
        want = (size_t)r->hold[direction] - r->passed[direction];
    }
    if (want == 0) {
        return;
    }
    n = recv(from, bytes, want, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        relay_drop(r);
    }
    if (n <= 0) {
        return;
    }
    if (direction == 0) {
        buf_append(&r->seen, bytes, (size_t)n);
    }
    for (ssize_t i = 0; i < n; i++) {
        if ((ssize_t)r->passed[direction] == r->flip[direction]) {
            bytes[i] ^= 1;
        }
        if ((ssize_t)r->passed[direction] == r->cut[direction]) {
            send(to, bytes, (size_t)i, MSG_NOSIGNAL);
            relay_drop(r);
            return;
        }
        r->passed[direction]++;
    }
    send(to, bytes, (size_t)n, MSG_NOSIGNAL);
}

/* Without it, single bytes wait for the acknowledgement of the last one. */
static void
no_delay(int fd)
{
    int one = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void
relay_turn(struct relay *r)
{
    if (r == NULL || r->frozen) {
        return;
    }
    relay_turn(r->also);
    if (r->client < 0) {
        r->client = accept(r->listener, NULL, NULL);
        if (r->client >= 0) {
            r->server = connect_to(r->to);
            no_delay(r->client);
            no_delay(r->server);
        }
    }
    if (r->client >= 0) {
        relay_forward(r, r->client, r->server, 0);
    }
    if (r->client >= 0) {
        relay_forward(r, r->server, r->client, 1);
    }
}

/*
 * Lets ms milliseconds of the test's clock pass in steps of one, each with a
 * moment for the kernel to deliver.
 */
static void
run(struct node *a, struct node *b, struct relay *r, int ms)
{
    for (int i = 0; i < ms; i++) {
        now += NS_PER_MS;
        if (a != NULL) {
            peer_poll(a->hub, now);
        }
        relay_turn(r);
        if (b != NULL) {
            peer_poll(b->hub, now);
        }
        g_usleep(20);
    }
}

/* Waits for the kernel for as long as the test's clock allows. */
static void
run_until(struct node *a, struct node *b, struct relay *r,
          const unsigned *count, unsigned target)
{
    for (int i = 0; i < 1000 && *count < target; i++) {
        run(a, b, r, 1);
    }
    g_assert_cmpuint(*count, ==, target);
}

/* Reads what there is; true when the other side has closed. */
static bool
closed_by_peer(int fd)
{
    char bytes[256];
    ssize_t n;

    do {
        n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    } while (n > 0);
    return n == 0 || errno != EAGAIN;
}

/* Guards against lost, altered or reordered frames of any size. */
static void
test_exchange(void)
{
    struct node a = {0};
    struct node b = {0};
    char *big = g_malloc(3000000);

    node_open(&b, "b", 'k', 0, 0);
    node_open(&a, "a", 'k', 0, peer_port(b.hub));
    run(&a, &b, NULL, 50);
    g_assert_cmpstr(b.vm, ==, "a");
    g_assert_cmpstr(a.vm, ==, "b");
    g_assert_cmpuint(a.identity.member_id, ==, 7);
    g_assert_cmpuint(b.identity.cluster_id, ==, 9);
    for (unsigned i = 1; i <= 1000; i++) {
        g_assert_true(peer_send(a.session, str_from(&i, sizeof(i))));
        if (i % 50 == 0) {
            run_until(&a, &b, NULL, &b.frames, i);
            g_assert_cmpmem(b.last.ptr, b.last.len, &i, sizeof(i));
        }
    }
    memset(big, 'x', 3000000);
    g_assert_true(peer_send(b.session, str_from(big, 3000000)));
    g_assert_false(peer_send(b.session, STR("")));
    run_until(&a, &b, NULL, &a.frames, 1);
    g_assert_cmpmem(a.last.ptr, a.last.len, big, 3000000);
    run(&a, &b, NULL, 10000);
    g_assert_cmpuint(a.downs + b.downs, ==, 0);
    g_free(big);
    node_close(&a);
    node_close(&b);
}

static void
test_wrong_key(void)
{
    struct node a = {0};
    struct node b = {0};

    node_open(&b, "b", 'k', 0, 0);
    node_open(&a, "a", 'x', 0, peer_port(b.hub));
    run(&a, &b, NULL, 1000);
    g_assert_cmpuint(a.ups + b.ups, ==, 0);
    node_close(&a);
    node_close(&b);
}

/* Guards against an old dialer's bytes being taken for a new session. */
static void
test_replayed_handshake(void)
{
    struct node a = {0};
    struct node b = {0};
    struct relay r;

    node_open(&b, "b", 'k', 0, 0);
    relay_open(&r, peer_port(b.hub));
    node_open(&a, "a", 'k', 0, r.port);
    run(&a, &b, &r, 100);
    g_assert_true(peer_send(a.session, STR("once")));
    run(&a, &b, &r, 20);
    g_assert_cmpuint(b.frames, ==, 1);
    int fd = connect_to(peer_port(b.hub));
    send(fd, r.seen.ptr, r.seen.len, MSG_NOSIGNAL);
    run(&a, &b, &r, 100);
    g_assert_cmpuint(b.ups, ==, 1);
    g_assert_cmpuint(b.frames, ==, 1);
    g_assert_true(closed_by_peer(fd));
    close(fd);
    node_close(&a);
    node_close(&b);
    relay_close(&r);
}

/* Sends one frame both ways through a relay that does damage; true when both
 * sides got theirs. */
static bool
survives(ssize_t flip, ssize_t cut, int direction)
{
    struct node a = {0};
    struct node b = {0};
    struct relay r;
    bool both;

    node_open(&b, "b", 'k', 0, 0);
    relay_open(&r, peer_port(b.hub));
    r.flip[direction] = flip;
    r.cut[direction] = cut;
    node_open(&a, "a", 'k', 0, r.port);
    run(&a, &b, &r, 8);
    if (a.session != NULL) {
        peer_send(a.session, STR("from a"));
    }
    if (b.session != NULL) {
        peer_send(b.session, STR("from b"));
    }
    run(&a, &b, &r, 8);
    both = a.frames == 1 && b.frames == 1;
    g_assert_true(a.frames == 0 || str_eq(buf_str(&a.last), STR("from b")));
    g_assert_true(b.frames == 0 || str_eq(buf_str(&b.last), STR("from a")));
    node_close(&a);
    node_close(&b);
    relay_close(&r);
    return both;
}

/*
 * Guards against altered or cut bytes being accepted. The first run shows
 * that the relay alone does no harm; the others damage one byte each.
 */
static void
test_damage(void)
{
    /* hello 66 or reply 98, proof or accept 60, a frame 27, with lengths */
    static const ssize_t lengths[2] = {66 + 60 + 27, 98 + 60 + 27};

    g_assert_true(survives(-1, -1, 0));
    g_assert_true(survives(5000, -1, 0));
    for (int direction = 0; direction < 2; direction++) {
        for (ssize_t at = 0; at < lengths[direction]; at += 3) {
            g_assert_false(survives(at, -1, direction));
        }
        for (ssize_t at = 0; at < lengths[direction]; at += 11) {
            g_assert_false(survives(-1, at, direction));
        }
    }
}

/* Guards against a stranger's length field reserving memory. */
static void
test_oversized(void)
{
    static const char big[] = {0, 0, 4, 1, 'x'};
    struct node b = {0};

    node_open(&b, "b", 'k', 0, 0);
    int fd = connect_to(peer_port(b.hub));
    run(&b, NULL, NULL, 5);
    send(fd, big, sizeof(big), MSG_NOSIGNAL);
    run(&b, NULL, NULL, 5);
    g_assert_true(closed_by_peer(fd));
    close(fd);
    node_close(&b);
}

/* Guards against strangers' connections that keep others out. */
static void
test_slow_stranger(void)
{
    struct node b = {0};
    int fd[70];
    unsigned closed = 0;
    struct node a = {0};

    node_open(&b, "b", 'k', 0, 0);
    for (int i = 0; i < 70; i++) {
        fd[i] = connect_to(peer_port(b.hub));
    }
    run(&b, NULL, NULL, 10);
    node_open(&a, "a", 'k', 0, peer_port(b.hub));
    run(&a, &b, NULL, 200);
    g_assert_cmpuint(b.ups, ==, 1);
    node_close(&a);
    for (int i = 0; i < 40; i++) {
        run(&b, NULL, NULL, 100);
        send(fd[0], "", 1, MSG_NOSIGNAL);
    }
    for (int i = 0; i < 70; i++) {
        closed += closed_by_peer(fd[i]);
        close(fd[i]);
    }
    g_assert_cmpuint(closed, ==, 70);
    node_close(&b);
}

static void
test_slow_sender(void)
{
    struct node a = {0};
    struct node b = {0};
    struct relay r;

    node_open(&b, "b", 'k', 0, 0);
    relay_open(&r, peer_port(b.hub));
    r.step = 1;
    node_open(&a, "a", 'k', 0, r.port);
    run(&a, &b, &r, 700);
    g_assert_nonnull(a.session);
    g_assert_true(peer_send(a.session, STR("one byte at a time")));
    run(&a, &b, &r, 200);
    g_assert_cmpuint(b.frames, ==, 1);
    g_assert_cmpuint(a.downs + b.downs, ==, 0);
    node_close(&a);
    node_close(&b);
    relay_close(&r);
}

/* Guards against a silent partition keeping a dead session. */
static void
test_half_open(void)
{
    struct node a = {0};
    struct node b = {0};
    struct relay r;

    node_open(&b, "b", 'k', 0, 0);
    relay_open(&r, peer_port(b.hub));
    node_open(&a, "a", 'k', 0, r.port);
    run(&a, &b, &r, 100);
    r.frozen = true;
    run(&a, &b, &r, 1400);
    g_assert_cmpuint(a.downs + b.downs, ==, 0);
    run(&a, &b, &r, 1200);
    g_assert_cmpuint(a.downs, ==, 1);
    g_assert_cmpuint(b.downs, ==, 1);
    g_assert_cmpint(a.reason, ==, PEER_DOWN_TIMEOUT);
    relay_drop(&r);
    r.frozen = false;
    run(&a, &b, &r, 6000);
    g_assert_cmpuint(a.ups, ==, 2);
    g_assert_cmpuint(b.ups, ==, 2);
    node_close(&a);
    node_close(&b);
    relay_close(&r);
}

static void
test_overflow(void)
{
    struct node a = {0};
    struct node b = {0};
    char *chunk = g_malloc0(256 * 1024);
    unsigned sent = 0;

    node_open(&b, "b", 'k', 0, 0);
    node_open(&a, "a", 'k', 0, peer_port(b.hub));
    run(&a, &b, NULL, 50);
    while (sent < 100 && peer_send(a.session, str_from(chunk, 256 * 1024))) {
        sent++;
    }
    g_assert_cmpuint(sent, >=, 16);
    g_assert_cmpuint(sent, <, 100);
    g_assert_cmpuint(a.downs, ==, 0);
    g_assert_cmpint(peer_next_deadline(a.hub), <=, now);
    run(&a, NULL, NULL, 1);
    g_assert_cmpuint(a.downs, ==, 1);
    g_assert_cmpint(a.reason, ==, PEER_DOWN_OVERFLOW);
    run(&a, &b, NULL, 2000);
    g_assert_cmpuint(a.ups, ==, 2);
    g_assert_nonnull(b.session);
    g_free(chunk);
    node_close(&a);
    node_close(&b);
}

/* Guards against dialling in a busy loop, or not coming back. */
static void
test_reconnect(void)
{
    struct node a = {0};
    struct node b = {0};
    uint16_t port;

    node_open(&b, "b", 'k', 0, 0);
    port = peer_port(b.hub);
    node_open(&a, "a", 'k', 0, port);
    run(&a, &b, NULL, 50);
    for (unsigned i = 2; i < 5; i++) {
        peer_destroy(b.hub);
        run(&a, NULL, NULL, 3000);
        g_assert_cmpuint(a.downs, ==, i - 1);
        g_assert_cmpint(peer_next_deadline(a.hub), >, now + NS_PER_MS);
        node_open(&b, "b", 'k', port, 0);
        run(&a, &b, NULL, 2500);
        g_assert_cmpuint(a.ups, ==, i);
    }
    node_close(&a);
    node_close(&b);
}

/* Guards against an address that is dialled in a busy loop. */
static void
test_back_off(void)
{
    struct node a = {0};
    uint16_t port;
    int listener = listen_on(&port);
    unsigned dials = 0;

    node_open(&a, "a", 'k', 0, port);
    for (int i = 0; i < 10000; i++) {
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0) {
            dials++;
            close(fd);
        }
        run(&a, NULL, NULL, 1);
    }
    /* 50 ms doubling to 2 s, less up to half: 6 to 15 dials in 10 s */
    g_assert_cmpuint(dials, >=, 6);
    g_assert_cmpuint(dials, <=, 18);
    close(listener);
    node_close(&a);
}

/* Guards against a dialer that proves itself to whoever answers. */
static void
test_impostor(void)
{
    struct node a = {0};
    uint16_t port;
    int listener = listen_on(&port);
    char reply[98] = {0, 0, 0, 94, 'G', 'V', 'P', '1'};
    char seen[256];

    reply[64] = 1;
    reply[65] = 'b';
    node_open(&a, "a", 'k', 0, port);
    run(&a, NULL, NULL, 10);
    int fd = accept(listener, NULL, NULL);
    g_assert_cmpint(recv(fd, seen, sizeof(seen), 0), ==, 66);
    send(fd, reply, sizeof(reply), MSG_NOSIGNAL);
    run(&a, NULL, NULL, 50);
    g_assert_cmpint(recv(fd, seen, sizeof(seen), MSG_DONTWAIT), <=, 0);
    g_assert_true(closed_by_peer(fd));
    close(fd);
    close(listener);
    node_close(&a);
}

/*
 * Guards against two processes that dial each other and each close the
 * session that the other one keeps. The relays hold back both accepts until
 * each side has the other one's session up.
 */
static void
test_mutual_dial(void)
{
    struct node a = {0};
    struct node b = {0};
    struct node probe = {0};
    struct relay r;
    struct relay other;
    uint16_t port;

    node_open(&probe, "p", 'k', 0, 0);
    port = peer_port(probe.hub);
    node_close(&probe);
    relay_open(&other, port);
    node_open(&b, "b", 'k', 0, other.port);
    relay_open(&r, peer_port(b.hub));
    r.also = &other;
    r.hold[1] = 98;
    other.hold[1] = 98;
    node_open(&a, "a", 'k', port, r.port);
    run_until(&a, &b, &r, &a.ups, 1);
    run_until(&a, &b, &r, &b.ups, 1);
    r.hold[1] = -1;
    other.hold[1] = -1;
    run(&a, &b, &r, 10000);
    /* a's session stays: a sees it second, b sees nothing else. */
    g_assert_cmpuint(a.ups, ==, 2);
    g_assert_cmpuint(a.downs, ==, 1);
    g_assert_cmpuint(b.ups, ==, 1);
    g_assert_cmpuint(b.downs, ==, 0);
    node_close(&a);
    node_close(&b);
    relay_close(&r);
    relay_close(&other);
}

/* Guards against a restarted VM being shut out by its old session. */
static void
test_newest_wins(void)
{
    struct node a = {0};
    struct node restarted = {0};
    struct node b = {0};

    node_open(&b, "b", 'k', 0, 0);
    node_open(&a, "a", 'k', 0, peer_port(b.hub));
    run(&a, &b, NULL, 50);
    node_open(&restarted, "a", 'k', 0, peer_port(b.hub));
    run(&restarted, &b, NULL, 50);
    g_assert_cmpuint(b.ups, ==, 2);
    g_assert_cmpuint(b.downs, ==, 1);
    g_assert_cmpint(b.reason, ==, PEER_DOWN_REPLACED);
    g_assert_true(peer_find(b.hub, STR("a")) == b.session);
    node_close(&a);
    node_close(&restarted);
    node_close(&b);
}

/* Guards against a process that takes a relayed copy of itself for another.
 */
static void
test_own_name(void)
{
    struct node a = {0};
    struct relay r;

    relay_open(&r, 0);
    node_open(&a, "a", 'k', 0, r.port);
    r.to = peer_port(a.hub);
    run(&a, NULL, &r, 500);
    g_assert_cmpuint(a.ups, ==, 0);
    node_close(&a);
    relay_close(&r);
}

/* Guards against reading behind the buffer or accepting a bad length. */
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
        /* A copy of the exact size lets the sanitizer see an overread. */
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
    g_test_add_func("/peer/slow_stranger", test_slow_stranger);
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
