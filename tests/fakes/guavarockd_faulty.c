/*
 * The wrappers with which the linker replaces calls in guavarockd for
 * guavarockd_faulty, which only tests run; they are not shipped.
 *
 * GV_DRIFT_PPM: CLOCK_BOOTTIME advances faster by so many millionths.
 * GV_FAULT_DIR: a data directory. While the file GV_FAULT_DIR.fault exists,
 * operations on what is below that directory fail or are delayed. It holds
 * lines "OPERATION ERRNO DELAY_MS TIMES" with operation open (of files that
 * are created), write or fsync; errno 0 only delays, times 0 is unlimited.
 * "grant 0 DELAY_MS 0" pauses a leader between finding that an entry is due
 * and sending its grant.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>

#include "clock.h"
#include "ledger.h"

/* Names that the linker's --wrap fixes. */
int
__real_clock_gettime(clockid_t id, struct timespec *ts);
int
__real_open(const char *path, int flags, ...);
ssize_t
__real_write(int fd, const void *ptr, size_t len);
int
__real_fsync(int fd);
bool
__real_ledger_due(struct ledger *l, int64_t now, uint64_t *run);
bool
__wrap_ledger_due(struct ledger *l, int64_t now, uint64_t *run);
int
__wrap_clock_gettime(clockid_t id, struct timespec *ts);
int
__wrap_open(const char *path, int flags, ...);
ssize_t
__wrap_write(int fd, const void *ptr, size_t len);
int
__wrap_fsync(int fd);

static int failures;

static bool
is_below_dir(const char *path)
{
    const char *dir = getenv("GV_FAULT_DIR");
    size_t len = dir == NULL ? 0 : strlen(dir);

    return len > 0 && strncmp(path, dir, len) == 0 &&
           (path[len] == '/' || path[len] == '\0');
}

static bool
is_fd_below_dir(int fd)
{
    char link[64];
    char path[PATH_MAX];
    ssize_t len;

    snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
    len = readlink(link, path, sizeof(path) - 1);
    if (len < 0) {
        return false;
    }
    path[len] = '\0';
    return is_below_dir(path);
}

/* Sleeps as the control file says; whether the operation is to fail, with
 * errno set. */
static bool
fails(const char *operation)
{
    const char *dir = getenv("GV_FAULT_DIR");
    char path[PATH_MAX];
    char name[16];
    int error;
    int delay_ms;
    int times;
    bool found = false;
    FILE *f;

    snprintf(path, sizeof(path), "%s.fault", dir == NULL ? "" : dir);
    f = fopen(path, "re");
    while (f != NULL && !found &&
           fscanf(f, "%15s %d %d %d", name, &error, &delay_ms, &times) == 4) {
        found = strcmp(name, operation) == 0;
    }
    if (f != NULL) {
        fclose(f);
    }
    if (!found) {
        return false;
    }
    usleep((useconds_t)delay_ms * 1000);
    if (error == 0 || (times != 0 && ck_pr_faa_int(&failures, 1) >= times)) {
        return false;
    }
    errno = error;
    return true;
}

int
__wrap_clock_gettime(clockid_t id, struct timespec *ts)
{
    const char *ppm = getenv("GV_DRIFT_PPM");
    int rc = __real_clock_gettime(id, ts);

    if (rc == 0 && id == CLOCK_BOOTTIME && ppm != NULL) {
        int64_t ns = ts->tv_sec * NS_PER_S + ts->tv_nsec;

        ns += ns / 1000000 * strtol(ppm, NULL, 10);
        ts->tv_sec = ns / NS_PER_S;
        ts->tv_nsec = ns % NS_PER_S;
    }
    return rc;
}

int
__wrap_open(const char *path, int flags, ...)
{
    va_list args;
    mode_t mode = 0;

    if ((flags & O_CREAT) != 0) {
        va_start(args, flags);
        mode = va_arg(args, mode_t);
        va_end(args);
        if (is_below_dir(path) && fails("open")) {
            return -1;
        }
    }
    return __real_open(path, flags, mode);
}

ssize_t
__wrap_write(int fd, const void *ptr, size_t len)
{
    if (is_fd_below_dir(fd) && fails("write")) {
        return -1;
    }
    return __real_write(fd, ptr, len);
}

int
__wrap_fsync(int fd)
{
    if (is_fd_below_dir(fd) && fails("fsync")) {
        return -1;
    }
    return __real_fsync(fd);
}

bool
__wrap_ledger_due(struct ledger *l, int64_t now, uint64_t *run)
{
    bool due = __real_ledger_due(l, now, run);

    if (due) {
        fails("grant");
    }
    return due;
}
