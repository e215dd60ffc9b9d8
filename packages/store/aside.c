#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "internal.h"

static enum store_error
make_aside(const struct store *s, char name[32])
{
    for (unsigned i = 1;; i++) {
        char path[PATH_BYTES];

        snprintf(name, 32, ASIDE_PREFIX "%u", i);
        path_of(s, name, path);
        if (s->fs->mkdir(s->fs->ctx, path, 0700) == 0) {
            return files_sync_dir(s, s->dir);
        }
        if (errno != EEXIST) {
            return error_from_errno();
        }
    }
}

static enum store_error
move(const struct store *s, const char *aside, const char *name)
{
    char from[PATH_BYTES];
    char to[PATH_BYTES];
    int len;

    path_of(s, name, from);
    len = snprintf(to, sizeof(to), "%s/%s/%s", s->dir, aside, name);
    if (len < 0 || (size_t)len >= sizeof(to)) {
        return STORE_ERR_IO;
    }
    return s->fs->rename(s->fs->ctx, from, to) == 0 || errno == ENOENT
               ? STORE_OK
               : error_from_errno();
}

static bool
to_be_moved(const char *name)
{
    return strcmp(name, ".") != 0 && strcmp(name, "..") != 0 &&
           strncmp(name, ASIDE_PREFIX, strlen(ASIDE_PREFIX)) != 0;
}

static enum store_error
move_all(const struct store *s, const char *aside)
{
    DIR *d = opendir(s->dir);
    const struct dirent *entry;
    enum store_error error = STORE_OK;

    if (d == NULL) {
        return error_from_errno();
    }
    while (error == STORE_OK && (entry = readdir(d)) != NULL) {
        if (to_be_moved(entry->d_name)) {
            error = move(s, aside, entry->d_name);
        }
    }
    closedir(d);
    return error;
}

/*
 * The identity goes first and durably, so that after a crash the rest can no
 * longer be taken for a member.
 */
enum store_error
store_set_aside(const char *dir, const struct store_fs *fs)
{
    struct store s = {
        .dir = (char *)dir,
        .fs = fs == NULL ? &store_fs_posix : fs,
    };
    char aside[32];
    char path[PATH_BYTES];
    enum store_error error = make_aside(&s, aside);

    if (error == STORE_OK) {
        error = move(&s, aside, IDENTITY_NAME);
    }
    if (error == STORE_OK) {
        error = files_sync_dir(&s, dir);
    }
    if (error == STORE_OK) {
        error = move_all(&s, aside);
    }
    if (error != STORE_OK) {
        return error;
    }
    path_of(&s, aside, path);
    error = files_sync_dir(&s, path);
    return error == STORE_OK ? files_sync_dir(&s, dir) : error;
}
