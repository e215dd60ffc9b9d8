#include "event.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"

enum {
    BUFFER_BYTES = 32 * 1024,
    LINE_BYTES = 768,
};

static const char *event_vm = "-";
static char buffer[BUFFER_BYTES];
static size_t buffered;
static uint64_t lost; /* lines that the pipe did not take */

void
event_init(const char *vm)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);

    event_vm = vm;
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

static void
drop_buffer(void)
{
    for (size_t i = 0; i < buffered; i++) {
        lost += buffer[i] == '\n';
    }
    buffered = 0;
}

void
event_flush(void)
{
    ssize_t n;

    if (buffered == 0) {
        return;
    }
    n = write(STDOUT_FILENO, buffer, buffered);
    if (n < 0 && errno != EINTR) {
        drop_buffer();
        return;
    }
    if (n > 0) {
        memmove(buffer, buffer + n, buffered - (size_t)n);
        buffered -= (size_t)n;
    }
}

static void
append(const char *line, size_t len)
{
    if (buffered + len > sizeof(buffer)) {
        event_flush();
    }
    if (buffered + len > sizeof(buffer)) {
        drop_buffer();
    }
    memcpy(buffer + buffered, line, len);
    buffered += len;
}

static size_t
head(char *line, const char *name)
{
    int n = snprintf(line, LINE_BYTES, "t=%lld vm=%s event=%s ",
                     (long long)clock_wall_ms(), event_vm, name);

    return n < LINE_BYTES ? (size_t)n : LINE_BYTES - 1;
}

static void
report_dropped(struct event_kind *kind)
{
    char line[LINE_BYTES];
    size_t len = head(line, "dropped");

    len += (size_t)snprintf(line + len, sizeof(line) - len,
                            "kind=%s lines=%llu pipe_lost=%llu\n", kind->name,
                            (unsigned long long)kind->dropped,
                            (unsigned long long)lost);
    kind->dropped = 0;
    append(line, len < sizeof(line) ? len : sizeof(line) - 1);
}

static bool
within_budget(struct event_kind *kind, int64_t now)
{
    if (kind->per_second == 0) {
        return true;
    }
    if (now - kind->window >= NS_PER_S) {
        kind->window = now;
        kind->written = 0;
        if (kind->dropped > 0) {
            report_dropped(kind);
        }
    }
    if (kind->written >= kind->per_second) {
        kind->dropped++;
        return false;
    }
    kind->written++;
    return true;
}

void
event_write(struct event_kind *kind, const char *fmt, ...)
{
    char line[LINE_BYTES];
    va_list args;
    size_t len;
    int n;

    if (!within_budget(kind, clock_now())) {
        return;
    }
    len = head(line, kind->name);
    va_start(args, fmt);
    n = vsnprintf(line + len, sizeof(line) - len, fmt, args);
    va_end(args);
    len += n < 0 ? 0 : (size_t)n;
    if (len > sizeof(line) - 1) {
        len = sizeof(line) - 1;
    }
    line[len++] = '\n';
    append(line, len);
}
