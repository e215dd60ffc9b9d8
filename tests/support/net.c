#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    READ_TIMEOUT_MS = 5000,
};

static struct sockaddr_in
loopback(uint16_t port)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons(port),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

int
net_listen(uint16_t *port)
{
    struct sockaddr_in address = loopback(0);
    socklen_t len = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, len), ==, 0);
    g_assert_cmpint(listen(fd, 128), ==, 0);
    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &len), ==, 0);
    *port = ntohs(address.sin_port);
    return fd;
}

static int
connect_address(const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
net_connect(uint16_t port)
{
    struct sockaddr_in address = loopback(port);

    return connect_address(&address);
}

int
net_connect_to(const char *ip, uint16_t port)
{
    struct sockaddr_in address = loopback(port);

    g_assert_cmpint(inet_pton(AF_INET, ip, &address.sin_addr), ==, 1);
    return connect_address(&address);
}

void
net_write(int fd, const char *text)
{
    size_t len = strlen(text);

    while (len != 0) {
        ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

        if (n <= 0) {
            return;
        }
        text += n;
        len -= (size_t)n;
    }
}

static gboolean
readable(int fd, int timeout_ms)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};

    return poll(&p, 1, timeout_ms) == 1;
}

static gboolean
is_complete(const GString *text, gboolean head)
{
    const char *end = strstr(text->str, "\r\n\r\n");
    const char *length;

    if (end == NULL) {
        return FALSE;
    }
    length = strcasestr(text->str, "\r\nContent-Length:");
    if (head || length == NULL || length > end) {
        return TRUE;
    }
    return text->len - (size_t)(end + 4 - text->str) >=
           strtoul(length + 17, NULL, 10);
}

/* Reads byte by byte, so that a pipelined response stays in the socket. */
GString *
net_read_response(int fd, gboolean head)
{
    GString *text = g_string_new(NULL);
    char c;

    while (!is_complete(text, head) && readable(fd, READ_TIMEOUT_MS) &&
           recv(fd, &c, 1, 0) == 1) {
        g_string_append_c(text, c);
    }
    return text;
}

gboolean
net_closed(int fd)
{
    char c;

    return readable(fd, READ_TIMEOUT_MS) && recv(fd, &c, 1, 0) <= 0;
}
