#ifndef GV_TEST_FAULTY_FS_H
#define GV_TEST_FAULTY_FS_H

#include <glib.h>

#include "store.h"

/*
 * File operations that fail at a chosen operation. They can also simulate a
 * power loss, which undoes the bytes written since the last fsync of a file
 * and the renames and unlinks since the last fsync of a directory.
 */
struct faulty_fs {
    struct store_fs fs;
    unsigned ops;     /* operations so far that can fail */
    unsigned fail_at; /* number of the failing operation, 0: none */
    int error;        /* errno of a failure */
    bool crash;       /* all later operations fail as well */
    bool no_sync;     /* fsync does nothing, for speed */
    unsigned syncs;
    unsigned writes;
    GHashTable *synced_sizes; /* path to durable size + 1 */
    GHashTable *fds;          /* descriptor + 1 to path */
    GPtrArray *undo;          /* struct undo, oldest first */
    char *saved_dir;          /* links to files that may be restored */
};

struct faulty_fs *
faulty_fs_create(void);
void
faulty_fs_destroy(struct faulty_fs *f);

/* Simulates a power loss: undoes everything that is not durable. */
void
faulty_fs_lose_power(struct faulty_fs *f);

/* Removes a directory and its contents. */
void
remove_tree(const char *dir);

#endif
