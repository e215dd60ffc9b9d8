#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "internal.h"

static enum store_error
create_damaged_dir(const struct store *s, char name[32])
{
    for (unsigned i = 1;; i++) {
        char path[PATH_BYTES];

        snprintf(name, 32, DAMAGED_PREFIX "%u", i);
        build_path(s, name, path);
        if (s->fs->mkdir(s->fs->ctx, path, 0700) == 0) {
            return files_sync_dir(s, s->dir);
        }
        if (errno != EEXIST) {
            return error_from_errno();
        }
    }
}

static enum store_error
move_file(const struct store *s, const char *subdir, const char *name)
{
    char from[PATH_BYTES];
    char to[PATH_BYTES];
    int len;

    build_path(s, name, from);
    len = snprintf(to, sizeof(to), "%s/%s/%s", s->dir, subdir, name);
    if (len < 0 || (size_t)len >= sizeof(to)) {
        return STORE_ERR_IO;
    }
    return s->fs->rename(s->fs->ctx, from, to) == 0 || errno == ENOENT
               ? STORE_OK
               : error_from_errno();
}

static bool
is_movable(const char *name)
{
    return strcmp(name, ".") != 0 && strcmp(name, "..") != 0 &&
           strncmp(name, DAMAGED_PREFIX, strlen(DAMAGED_PREFIX)) != 0;
}

static enum store_error
move_files(const struct store *s, const char *subdir)
{
    DIR *d = opendir(s->dir);
    const struct dirent *entry;
    enum store_error error = STORE_OK;

    if (d == NULL) {
        return error_from_errno();
    }
    while (error == STORE_OK && (entry = readdir(d)) != NULL) {
        if (is_movable(entry->d_name)) {
            error = move_file(s, subdir, entry->d_name);
        }
    }
    closedir(d);
    return error;
}

/*
 * The identity file is moved first and that is synced: after a crash the
 * remaining files cannot be opened as a member's data.
 */
enum store_error
store_set_aside(const char *dir, const struct store_fs *fs)
{
    struct store s = {
        .dir = (char *)dir,
        .fs = fs == NULL ? &store_fs_posix : fs,
    };
    char subdir[32];
    char path[PATH_BYTES];
    enum store_error error = create_damaged_dir(&s, subdir);

    if (error == STORE_OK) {
        error = move_file(&s, subdir, IDENTITY_NAME);
    }
    if (error == STORE_OK) {
        error = files_sync_dir(&s, dir);
    }
    if (error == STORE_OK) {
        error = move_files(&s, subdir);
    }
    if (error != STORE_OK) {
        return error;
    }
    build_path(&s, subdir, path);
    error = files_sync_dir(&s, path);
    return error == STORE_OK ? files_sync_dir(&s, dir) : error;
}
