/*
 * A TCP relay for silent network cuts. It forwards connections from --listen
 * to --to. SIGUSR1 cuts it: bytes are no longer read or forwarded, and new
 * connections are accepted by the kernel only; no connection is closed.
 * SIGHUP cuts only the direction to the target, SIGWINCH only the one back.
 * SIGUSR2 heals it. --one-way makes SIGUSR1 cut only the direction to the
 * target.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mem.h"
#include "str.h"

enum {
    PAIRS_MAX = 128,
    CHUNK_BYTES = 65536,
    POLL_MS = 20,
};

struct half {
    int fd;
    struct buf out; /* read from the other half, not yet written */
    bool ended;     /* nothing more will be read from it */
};

struct pair {
    struct half client;
    struct half server;
};

static struct pair pairs[PAIRS_MAX];
static int pair_count;
static volatile sig_atomic_t cut;      /* the direction to the target */
static volatile sig_atomic_t cut_back; /* the direction from the target */
static volatile sig_atomic_t stopping;
static bool one_way;
static const char *listen_text;
static const char *to_text;

static void
on_signal(int sig)
{
    switch (sig) {
    case SIGUSR1:
        cut = 1;
        cut_back = !one_way;
        break;
    case SIGHUP:
        cut = 1;
        break;
    case SIGWINCH:
        cut_back = 1;
        break;
    case SIGUSR2:
        cut = 0;
        cut_back = 0;
        break;
    default:
        stopping = 1;
    }
}

static struct sockaddr_in
address_of(const char *text)
{
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[64];
    const char *colon = strchr(text, ':');

    if (colon == NULL || colon - text >= (long)sizeof(host)) {
        fprintf(stderr, "relay: bad address %s\n", text);
        exit(2);
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    inet_pton(AF_INET, host, &a.sin_addr);
    a.sin_port = htons((uint16_t)atoi(colon + 1));
    return a;
}

static int
open_listener(void)
{
    struct sockaddr_in a = address_of(listen_text);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 || listen(fd, 64) < 0) {
        perror("relay: listen");
        exit(1);
    }
    return fd;
}

static void
set_nonblocking(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

static void
accept_pair(int listener)
{
    struct sockaddr_in a = address_of(to_text);
    int client = accept(listener, NULL, NULL);
    int server;

    if (client < 0) {
        return;
    }
    server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (pair_count == PAIRS_MAX ||
        connect(server, (struct sockaddr *)&a, sizeof(a)) < 0) {
        close(client);
        close(server);
        return;
    }
    set_nonblocking(client);
    set_nonblocking(server);
    pairs[pair_count++] =
        (struct pair){.client = {.fd = client}, .server = {.fd = server}};
}

static void
pump_in(struct half *from, struct half *to)
{
    ssize_t len;

    if (from->ended || to->out.len > 16 * CHUNK_BYTES) {
        return;
    }
    len = read(from->fd, buf_reserve(&to->out, CHUNK_BYTES), CHUNK_BYTES);
    if (len > 0) {
        to->out.len += (size_t)len;
    }
    else if (len == 0 || (errno != EAGAIN && errno != EINTR)) {
        from->ended = true;
    }
}

static bool
pump_out(struct half *h)
{
    ssize_t len;

    if (h->out.len == 0) {
        return true;
    }
    len = send(h->fd, h->out.ptr, h->out.len, MSG_NOSIGNAL);
    if (len > 0) {
        buf_consume(&h->out, (size_t)len);
    }
    return len >= 0 || errno == EAGAIN || errno == EINTR;
}

static void
pair_close(struct pair *p)
{
    close(p->client.fd);
    close(p->server.fd);
    buf_free(&p->client.out);
    buf_free(&p->server.out);
    *p = pairs[--pair_count];
}

static bool
pump(struct pair *p)
{
    bool alive = true;

    if (!cut) {
        pump_in(&p->client, &p->server);
        alive = pump_out(&p->server);
    }
    if (!cut_back) {
        pump_in(&p->server, &p->client);
        alive = alive && pump_out(&p->client);
    }
    if (cut || cut_back) {
        return true;
    }
    if (p->client.ended && p->server.out.len == 0) {
        alive = false;
    }
    if (p->server.ended && p->client.out.len == 0) {
        alive = false;
    }
    return alive;
}

static void
wait_for_input(int listener)
{
    struct pollfd fds[1 + 2 * PAIRS_MAX];
    nfds_t count = 0;

    if (!cut && !cut_back) {
        fds[count++] = (struct pollfd){.fd = listener, .events = POLLIN};
    }
    for (int i = 0; i < pair_count; i++) {
        const struct pair *p = &pairs[i];
        if (!cut && !p->client.ended) {
            fds[count++] =
                (struct pollfd){.fd = p->client.fd, .events = POLLIN};
        }
        if (!cut_back && !p->server.ended) {
            fds[count++] =
                (struct pollfd){.fd = p->server.fd, .events = POLLIN};
        }
    }
    poll(fds, count, POLL_MS);
}

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address to accept on", 0},
    {"to", 't', "IP:PORT", 0, "Address to forward to", 0},
    {"one-way", '1', NULL, 0, "Cut only the direction to the target", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'l':
        listen_text = arg;
        break;
    case 't':
        to_text = arg;
        break;
    case '1':
        one_way = true;
        break;
    case ARGP_KEY_END:
        if (listen_text == NULL || to_text == NULL) {
            argp_error(state, "--listen or --to is missing");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    const struct argp argp = {.options = options, .parser = parse};
    struct sigaction action = {.sa_handler = on_signal};
    struct pollfd ready;
    int listener;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    sigaction(SIGUSR1, &action, NULL);
    sigaction(SIGUSR2, &action, NULL);
    sigaction(SIGHUP, &action, NULL);
    sigaction(SIGWINCH, &action, NULL);
    sigaction(SIGTERM, &action, NULL);
    listener = open_listener();
    while (!stopping) {
        wait_for_input(listener);
        ready = (struct pollfd){.fd = listener, .events = POLLIN};
        if (!cut && !cut_back && poll(&ready, 1, 0) > 0) {
            accept_pair(listener);
        }
        for (int i = pair_count - 1; i >= 0; i--) {
            if (!pump(&pairs[i])) {
                pair_close(&pairs[i]);
            }
        }
    }
    return 0;
}
