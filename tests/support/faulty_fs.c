#include "faulty_fs.h"

#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* A rename or unlink; saved is a link to what the name held before. */
struct undo {
    char *from; /* NULL: unlink */
    char *to;
    char *saved;
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
fails(struct faulty_fs *f)
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
do_open(void *ctx, const char *path, int flags, mode_t mode)
{
    struct faulty_fs *f = ctx;
    int fd;

    if ((flags & O_CREAT) != 0 && fails(f)) {
        return -1;
    }
    fd = open(path, flags, mode);
    if (fd >= 0 && (flags & O_WRONLY) != 0) {
        g_hash_table_insert(f->fds, GINT_TO_POINTER(fd + 1), g_strdup(path));
        if ((flags & O_TRUNC) != 0) {
            g_hash_table_insert(f->synced, g_strdup(path),
                                GSIZE_TO_POINTER(1));
        }
    }
    return fd;
}

static int
do_close(void *ctx, int fd)
{
    struct faulty_fs *f = ctx;

    g_hash_table_remove(f->fds, GINT_TO_POINTER(fd + 1));
    return close(fd);
}

/* A failing write stores a part first, as a full disk does. */
static ssize_t
do_write(void *ctx, int fd, const void *ptr, size_t len)
{
    struct faulty_fs *f = ctx;

    f->writes++;
    if (fails(f)) {
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
do_pread(void *ctx, int fd, void *ptr, size_t len, off_t offset)
{
    (void)ctx;
    return pread(fd, ptr, len, offset);
}

static int
do_fsync(void *ctx, int fd)
{
    struct faulty_fs *f = ctx;
    const char *path = g_hash_table_lookup(f->fds, GINT_TO_POINTER(fd + 1));
    struct stat st;

    f->syncs++;
    if (fails(f)) {
        return -1;
    }
    g_assert_cmpint(fstat(fd, &st), ==, 0);
    if (S_ISDIR(st.st_mode)) {
        g_ptr_array_set_size(f->undo, 0);
    }
    else if (path != NULL) {
        g_hash_table_insert(f->synced, g_strdup(path),
                            GSIZE_TO_POINTER((size_t)st.st_size + 1));
    }
    return f->no_sync ? 0 : fsync(fd);
}

static void
remember(struct faulty_fs *f, const char *from, const char *to)
{
    struct undo *u = g_new0(struct undo, 1);

    u->from = g_strdup(from);
    u->to = g_strdup(to);
    u->saved = g_strdup_printf("%s/%u", f->attic, f->ops);
    if (link(to, u->saved) != 0) {
        g_clear_pointer(&u->saved, g_free);
    }
    g_ptr_array_add(f->undo, u);
}

static int
do_rename(void *ctx, const char *from, const char *to)
{
    struct faulty_fs *f = ctx;
    gpointer size = g_hash_table_lookup(f->synced, from);

    if (fails(f)) {
        return -1;
    }
    remember(f, from, to);
    if (size != NULL) {
        g_hash_table_insert(f->synced, g_strdup(to), size);
    }
    return rename(from, to);
}

static int
do_unlink(void *ctx, const char *path)
{
    struct faulty_fs *f = ctx;

    if (fails(f)) {
        return -1;
    }
    remember(f, NULL, path);
    return unlink(path);
}

static int
do_mkdir(void *ctx, const char *path, mode_t mode)
{
    struct faulty_fs *f = ctx;

    return fails(f) ? -1 : mkdir(path, mode);
}

struct faulty_fs *
faulty_fs_create(void)
{
    struct faulty_fs *f = g_new0(struct faulty_fs, 1);

    f->fs =
        (struct store_fs){f,        do_open,   do_close,  do_write, do_pread,
                          do_fsync, do_rename, do_unlink, do_mkdir};
    f->error = EIO;
    f->synced = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->fds =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    f->undo = g_ptr_array_new_with_free_func(undo_free);
    f->attic = g_dir_make_tmp("attic-XXXXXX", NULL);
    return f;
}

void
faulty_fs_destroy(struct faulty_fs *f)
{
    g_hash_table_destroy(f->synced);
    g_hash_table_destroy(f->fds);
    g_ptr_array_free(f->undo, TRUE);
    remove_tree(f->attic);
    g_free(f->attic);
    g_free(f);
}

static void
cut_file(gpointer key, gpointer value, gpointer user)
{
    struct stat st;
    size_t size = GPOINTER_TO_SIZE(value) - 1;

    (void)user;
    if (stat(key, &st) == 0 && (size_t)st.st_size > size) {
        g_assert_cmpint(truncate(key, (off_t)size), ==, 0);
    }
}

void
faulty_fs_lose(struct faulty_fs *f)
{
    g_hash_table_foreach(f->synced, cut_file, NULL);
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
