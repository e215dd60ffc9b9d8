#ifndef GV_TEST_FAULTY_FS_H
#define GV_TEST_FAULTY_FS_H

#include <glib.h>

#include "store.h"

/*
 * File operations that fail at a chosen point, and can undo what was not yet
 * durable: bytes written since the last fsync of a file, and renames and
 * unlinks since the last fsync of the directory.
 */
struct faulty_fs {
    struct store_fs fs;
    unsigned ops;
    unsigned fail_at; /* number of the operation, 0: none */
    int error;        /* errno of the failure */
    bool crash;       /* all later operations fail as well */
    bool no_sync;     /* fsync does nothing, for speed */
    unsigned syncs;
    unsigned writes;
    GHashTable *synced; /* path: durable size + 1 */
    GHashTable *fds;    /* descriptor + 1: path */
    GPtrArray *undo;    /* struct undo, oldest first */
    char *attic;
};

struct faulty_fs *
faulty_fs_create(void);
void
faulty_fs_destroy(struct faulty_fs *f);

/* Power loss: takes back everything that is not durable. */
void
faulty_fs_lose(struct faulty_fs *f);

/* Removes a directory with all it holds. */
void
remove_tree(const char *dir);

#endif
