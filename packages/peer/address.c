#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "peer_impl.h"

/* Splits "host:port" or "[host]:port"; host is NUL-terminated. */
static bool
split_host_port(struct str text, char host[64], uint16_t *port)
{
    const char *colon =
        text.len == 0 ? NULL : memrchr(text.ptr, ':', text.len);
    struct str name;
    uint64_t number;

    if (colon == NULL) {
        return false;
    }
    name = str_from(text.ptr, (size_t)(colon - text.ptr));
    if (!str_to_u64(str_from(colon + 1, text.len - name.len - 1), UINT16_MAX,
                    &number)) {
        return false;
    }
    if (name.len >= 2 && name.ptr[0] == '[' && name.ptr[name.len - 1] == ']') {
        name = str_from(name.ptr + 1, name.len - 2);
    }
    if (name.len == 0 || name.len >= 64) {
        return false;
    }
    memcpy(host, name.ptr, name.len);
    host[name.len] = '\0';
    *port = (uint16_t)number;
    return true;
}

bool
address_parse(struct str text, struct address *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)&out->storage;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&out->storage;
    char host[64];
    uint16_t port;

    memset(out, 0, sizeof(*out));
    if (!split_host_port(text, host, &port)) {
        return false;
    }
    if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        out->len = sizeof(*v4);
        return true;
    }
    if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        out->len = sizeof(*v6);
        return true;
    }
    return false;
}

uint16_t
address_port(const struct address *a)
{
    if (a->storage.ss_family == AF_INET6) {
        return ntohs(((const struct sockaddr_in6 *)&a->storage)->sin6_port);
    }
    return ntohs(((const struct sockaddr_in *)&a->storage)->sin_port);
}

void
address_format(const struct address *a, char *text, size_t size)
{
    char host[INET6_ADDRSTRLEN] = "?";

    if (a->storage.ss_family == AF_INET6) {
        inet_ntop(AF_INET6,
                  &((const struct sockaddr_in6 *)&a->storage)->sin6_addr, host,
                  sizeof(host));
        snprintf(text, size, "[%s]:%u", host, address_port(a));
        return;
    }
    inet_ntop(AF_INET, &((const struct sockaddr_in *)&a->storage)->sin_addr,
              host, sizeof(host));
    snprintf(text, size, "%s:%u", host, address_port(a));
}
