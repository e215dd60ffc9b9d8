#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    LINE_BYTES = 1024,
};

static char log_ident[64] = "guavarock";
static enum log_level log_max = LOG_LEVEL_INFO;

void
log_init(const char *ident, enum log_level max_level)
{
    snprintf(log_ident, sizeof(log_ident), "%s", ident);
    log_max = max_level;
}

static size_t
clamp(int wanted, size_t room)
{
    if (wanted < 0) {
        return 0;
    }
    return (size_t)wanted < room ? (size_t)wanted : room - 1;
}

void
log_write(enum log_level level, const char *fmt, ...)
{
    char line[LINE_BYTES];
    struct timespec ts;
    struct tm tm;
    va_list args;
    size_t len;

    if (level > log_max) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    len = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
    len += clamp(snprintf(line + len, sizeof(line) - len,
                          ".%03ldZ %s[%d]: <%d> ", ts.tv_nsec / 1000000,
                          log_ident, (int)getpid(), (int)level),
                 sizeof(line) - len);
    va_start(args, fmt);
    len += clamp(vsnprintf(line + len, sizeof(line) - len - 1, fmt, args),
                 sizeof(line) - len - 1);
    va_end(args);
    line[len++] = '\n';
    /* One write per line keeps lines of several threads apart. */
    if (write(STDERR_FILENO, line, len) < 0) {
        return;
    }
}
