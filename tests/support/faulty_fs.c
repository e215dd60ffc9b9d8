#include "faulty_fs.h"

#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* A rename or unlink that is not durable. */
struct undo {
    char *from; /* NULL: unlink */
    char *to;
    char *saved; /* link to the previous file of that name, NULL: none */
};

static void
undo_free(gpointer ptr)
{
    struct undo *u = ptr;

    g_free(u->from);
    g_free(u->to);
    g_free(u->saved);
    g_free(u);
}

static bool
should_fail(struct faulty_fs *f)
{
    f->ops++;
    if (f->fail_at != 0 &&
        (f->ops == f->fail_at || (f->crash && f->ops > f->fail_at))) {
        errno = f->error;
        return true;
    }
    return false;
}

static int
faulty_open(void *ctx, const char *path, int flags, mode_t mode)
{
    struct faulty_fs *f = ctx;
    int fd;

    if ((flags & O_CREAT) != 0 && should_fail(f)) {
        return -1;
    }
    fd = open(path, flags, mode);
    if (fd >= 0 && (flags & O_WRONLY) != 0) {
        g_hash_table_insert(f->fds, GINT_TO_POINTER(fd + 1), g_strdup(path));
        if ((flags & O_TRUNC) != 0) {
            g_hash_table_insert(f->synced_sizes, g_strdup(path),
                                GSIZE_TO_POINTER(1));
        }
    }
    return fd;
}

static int
faulty_close(void *ctx, int fd)
{
    struct faulty_fs *f = ctx;

    g_hash_table_remove(f->fds, GINT_TO_POINTER(fd + 1));
    return close(fd);
}

/* A failing write stores half of the data first, as a full disk may. */
static ssize_t
faulty_write(void *ctx, int fd, const void *ptr, size_t len)
{
    struct faulty_fs *f = ctx;

    f->writes++;
    if (should_fail(f)) {
        int saved = errno;

        if (f->ops == f->fail_at) {
            g_assert_cmpint(write(fd, ptr, len / 2), >=, 0);
        }
        errno = saved;
        return -1;
    }
    return write(fd, ptr, len);
}

static ssize_t
faulty_pread(void *ctx, int fd, void *ptr, size_t len, off_t offset)
{
    (void)ctx;
    return pread(fd, ptr, len, offset);
}

static int
faulty_fsync(void *ctx, int fd)
{
    struct faulty_fs *f = ctx;
    const char *path = g_hash_table_lookup(f->fds, GINT_TO_POINTER(fd + 1));
    struct stat st;

    f->syncs++;
    if (should_fail(f)) {
        return -1;
    }
    g_assert_cmpint(fstat(fd, &st), ==, 0);
    if (S_ISDIR(st.st_mode)) {
        g_ptr_array_set_size(f->undo, 0);
    }
    else if (path != NULL) {
        g_hash_table_insert(f->synced_sizes, g_strdup(path),
                            GSIZE_TO_POINTER((size_t)st.st_size + 1));
    }
    return f->no_sync ? 0 : fsync(fd);
}

static void
record_undo(struct faulty_fs *f, const char *from, const char *to)
{
    struct undo *u = g_new0(struct undo, 1);

    u->from = g_strdup(from);
    u->to = g_strdup(to);
    u->saved = g_strdup_printf("%s/%u", f->saved_dir, f->ops);
    if (link(to, u->saved) != 0) {
        g_clear_pointer(&u->saved, g_free);
    }
    g_ptr_array_add(f->undo, u);
}

static int
faulty_rename(void *ctx, const char *from, const char *to)
{
    struct faulty_fs *f = ctx;
    gpointer size = g_hash_table_lookup(f->synced_sizes, from);

    if (should_fail(f)) {
        return -1;
    }
    record_undo(f, from, to);
    if (size != NULL) {
        g_hash_table_insert(f->synced_sizes, g_strdup(to), size);
    }
    return rename(from, to);
}

static int
faulty_unlink(void *ctx, const char *path)
{
    struct faulty_fs *f = ctx;

    if (should_fail(f)) {
        return -1;
    }
    record_undo(f, NULL, path);
    return unlink(path);
}

static int
faulty_mkdir(void *ctx, const char *path, mode_t mode)
{
    struct faulty_fs *f = ctx;

    return should_fail(f) ? -1 : mkdir(path, mode);
}

struct faulty_fs *
faulty_fs_create(void)
{
    struct faulty_fs *f = g_new0(struct faulty_fs, 1);

    f->fs = (struct store_fs){f,
                              faulty_open,
                              faulty_close,
                              faulty_write,
                              faulty_pread,
                              faulty_fsync,
                              faulty_rename,
                              faulty_unlink,
                              faulty_mkdir};
    f->error = EIO;
    f->synced_sizes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->fds =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    f->undo = g_ptr_array_new_with_free_func(undo_free);
    f->saved_dir = g_dir_make_tmp("faulty-fs-XXXXXX", NULL);
    return f;
}

void
faulty_fs_destroy(struct faulty_fs *f)
{
    g_hash_table_destroy(f->synced_sizes);
    g_hash_table_destroy(f->fds);
    g_ptr_array_free(f->undo, TRUE);
    remove_tree(f->saved_dir);
    g_free(f->saved_dir);
    g_free(f);
}

static void
truncate_to_synced(gpointer key, gpointer value, gpointer user)
{
    struct stat st;
    size_t size = GPOINTER_TO_SIZE(value) - 1;

    (void)user;
    if (stat(key, &st) == 0 && (size_t)st.st_size > size) {
        g_assert_cmpint(truncate(key, (off_t)size), ==, 0);
    }
}

void
faulty_fs_lose_power(struct faulty_fs *f)
{
    g_hash_table_foreach(f->synced_sizes, truncate_to_synced, NULL);
    for (guint i = f->undo->len; i > 0; i--) {
        const struct undo *u = g_ptr_array_index(f->undo, i - 1);

        if (u->from != NULL) {
            g_assert_cmpint(rename(u->to, u->from), ==, 0);
        }
        if (u->saved != NULL) {
            g_assert_cmpint(link(u->saved, u->to), ==, 0);
        }
    }
    g_ptr_array_set_size(f->undo, 0);
}

static int
remove_entry(const char *path, const struct stat *st, int type,
             struct FTW *ftw)
{
    (void)st;
    (void)type;
    (void)ftw;
    return remove(path);
}

void
remove_tree(const char *dir)
{
    nftw(dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
}
