#include "history.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "clock.h"
#include "mem.h"

struct history {
    int fd;
};

struct history *
history_open(const char *path)
{
    struct history *h;

    if (path == NULL) {
        return NULL;
    }
    h = mem_zalloc(1, sizeof(*h));
    h->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (h->fd < 0) {
        perror(path);
        exit(1);
    }
    return h;
}

void
history_close(struct history *h)
{
    if (h != NULL) {
        close(h->fd);
        mem_free(h);
    }
}

void
history_write(struct history *h, const char *fmt, ...)
{
    char line[4096];
    va_list args;
    int len;
    int more;

    if (h == NULL) {
        return;
    }
    len = snprintf(line, sizeof(line), "{\"t\":%lld,", (long long)clock_now());
    va_start(args, fmt);
    more = vsnprintf(line + len, sizeof(line) - (size_t)len - 2, fmt, args);
    va_end(args);
    if (more < 0 || more >= (int)sizeof(line) - len - 2) {
        abort();
    }
    len += more;
    line[len++] = '}';
    line[len++] = '\n';
    /* O_APPEND and one write keep lines of several writers whole. */
    if (write(h->fd, line, (size_t)len) != len) {
        abort();
    }
}
