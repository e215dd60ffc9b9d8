#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "internal.h"
#include "mem.h"

#define READ_CHUNK_BYTES ((size_t)1 << 20)
#define FILE_MODE 0600

static int
posix_open(void *ctx, const char *path, int flags, mode_t mode)
{
    (void)ctx;
    return open(path, flags, mode);
}

static int
posix_close(void *ctx, int fd)
{
    (void)ctx;
    return close(fd);
}

static ssize_t
posix_write(void *ctx, int fd, const void *ptr, size_t len)
{
    (void)ctx;
    return write(fd, ptr, len);
}

static ssize_t
posix_pread(void *ctx, int fd, void *ptr, size_t len, off_t offset)
{
    (void)ctx;
    return pread(fd, ptr, len, offset);
}

static int
posix_fsync(void *ctx, int fd)
{
    (void)ctx;
    return fsync(fd);
}

static int
posix_rename(void *ctx, const char *from, const char *to)
{
    (void)ctx;
    return rename(from, to);
}

static int
posix_unlink(void *ctx, const char *path)
{
    (void)ctx;
    return unlink(path);
}

static int
posix_mkdir(void *ctx, const char *path, mode_t mode)
{
    (void)ctx;
    return mkdir(path, mode);
}

const struct store_fs store_fs_posix = {
    .open = posix_open,
    .close = posix_close,
    .write = posix_write,
    .pread = posix_pread,
    .fsync = posix_fsync,
    .rename = posix_rename,
    .unlink = posix_unlink,
    .mkdir = posix_mkdir,
};

enum store_error
error_from_errno(void)
{
    return errno == ENOSPC || errno == EDQUOT ? STORE_ERR_FULL : STORE_ERR_IO;
}

void
build_path(const struct store *s, const char *name, char *out)
{
    snprintf(out, PATH_BYTES, "%s/%s", s->dir, name);
}

enum store_error
files_sync_dir(const struct store *s, const char *dir)
{
    const struct store_fs *fs = s->fs;
    int fd = fs->open(fs->ctx, dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC, 0);
    enum store_error error = STORE_OK;

    if (fd < 0) {
        return error_from_errno();
    }
    if (fs->fsync(fs->ctx, fd) != 0) {
        error = error_from_errno();
    }
    fs->close(fs->ctx, fd);
    return error;
}

enum store_error
files_write(const struct store *s, int fd, struct str bytes)
{
    while (bytes.len > 0) {
        ssize_t n = s->fs->write(s->fs->ctx, fd, bytes.ptr, bytes.len);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return n == 0 ? STORE_ERR_IO : error_from_errno();
        }
        bytes.ptr += n;
        bytes.len -= (size_t)n;
    }
    return STORE_OK;
}

enum store_error
files_read(const struct store *s, const char *name, struct buf *out)
{
    const struct store_fs *fs = s->fs;
    char path[PATH_BYTES];
    off_t offset = 0;
    ssize_t n;
    int fd;

    build_path(s, name, path);
    fd = fs->open(fs->ctx, path, O_RDONLY | O_CLOEXEC, 0);
    if (fd < 0) {
        return error_from_errno();
    }
    do {
        char *to = buf_reserve(out, READ_CHUNK_BYTES);

        n = fs->pread(fs->ctx, fd, to, READ_CHUNK_BYTES, offset);
        if (n > 0) {
            out->len += (size_t)n;
            offset += n;
        }
    } while (n > 0 || (n < 0 && errno == EINTR));
    fs->close(fs->ctx, fd);
    return n < 0 ? STORE_ERR_IO : STORE_OK;
}

enum store_error
files_rename(const struct store *s, const char *from, const char *to)
{
    char from_path[PATH_BYTES];
    char to_path[PATH_BYTES];

    build_path(s, from, from_path);
    build_path(s, to, to_path);
    if (s->fs->rename(s->fs->ctx, from_path, to_path) != 0) {
        return error_from_errno();
    }
    return files_sync_dir(s, s->dir);
}

enum store_error
files_replace(const struct store *s, const char *name, struct str bytes)
{
    const struct store_fs *fs = s->fs;
    char temporary[64];
    char path[PATH_BYTES];
    enum store_error error;
    int fd;

    snprintf(temporary, sizeof(temporary), "%s" TEMPORARY_SUFFIX, name);
    build_path(s, temporary, path);
    fd = fs->open(fs->ctx, path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                  FILE_MODE);
    if (fd < 0) {
        return error_from_errno();
    }
    error = files_write(s, fd, bytes);
    if (error == STORE_OK && fs->fsync(fs->ctx, fd) != 0) {
        error = error_from_errno();
    }
    if (fs->close(fs->ctx, fd) != 0 && error == STORE_OK) {
        error = error_from_errno();
    }
    return error == STORE_OK ? files_rename(s, temporary, name) : error;
}

enum store_error
files_unlink(const struct store *s, const char *name)
{
    char path[PATH_BYTES];

    build_path(s, name, path);
    return s->fs->unlink(s->fs->ctx, path) == 0 ? STORE_OK
                                                : error_from_errno();
}

static int
compare_u64(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return (x > y) - (x < y);
}

/* Whether name is prefix and 16 hexadecimal digits. */
static bool
parse_numbered_name(const char *name, const char *prefix, uint64_t *number)
{
    size_t len = strlen(prefix);
    char *end;

    if (strncmp(name, prefix, len) != 0 || strlen(name) != len + 16) {
        return false;
    }
    *number = strtoull(name + len, &end, 16);
    return *end == '\0';
}

enum store_error
files_list(const struct store *s, const char *prefix, uint64_t **numbers,
           size_t *count)
{
    DIR *d = opendir(s->dir);
    const struct dirent *entry;
    uint64_t number;

    *numbers = NULL;
    *count = 0;
    if (d == NULL) {
        return error_from_errno();
    }
    while ((entry = readdir(d)) != NULL) {
        if (parse_numbered_name(entry->d_name, prefix, &number)) {
            *numbers = mem_realloc(*numbers, *count + 1, sizeof(**numbers));
            (*numbers)[*count] = number;
            (*count)++;
        }
    }
    closedir(d);
    if (*count > 1) {
        qsort(*numbers, *count, sizeof(**numbers), compare_u64);
    }
    return STORE_OK;
}

static bool
is_temporary(const char *name)
{
    size_t len = strlen(name);
    size_t suffix = strlen(TEMPORARY_SUFFIX);

    return len > suffix && strcmp(name + len - suffix, TEMPORARY_SUFFIX) == 0;
}

enum store_error
files_remove_temporaries(const struct store *s)
{
    DIR *d = opendir(s->dir);
    const struct dirent *entry;
    enum store_error error = STORE_OK;

    if (d == NULL) {
        return error_from_errno();
    }
    while (error == STORE_OK && (entry = readdir(d)) != NULL) {
        if (is_temporary(entry->d_name)) {
            error = files_unlink(s, entry->d_name);
        }
    }
    closedir(d);
    return error;
}
