#ifndef GV_STATE_NUMTAB_H
#define GV_STATE_NUMTAB_H

#include <stddef.h>
#include <stdint.h>

#include "map.h"

/*
 * A table from numbers that are given out in rising order to pointers, in
 * pages of neighbouring numbers. It takes 12 to 20 bytes per item where a
 * map takes about 100. Pages are small because a page stays as long as one
 * of its items does, and services live for months among short jobs.
 */
struct numtab {
    struct map *pages;
    struct numtab_page *first;
    struct numtab_page *last;
    size_t count;
};

void
numtab_init(struct numtab *t);

/* Frees the table, not the items. */
void
numtab_free(struct numtab *t);

/* The number must not be in the table; item must not be NULL. */
void
numtab_put(struct numtab *t, uint64_t number, void *item);
void *
numtab_get(const struct numtab *t, uint64_t number);
void *
numtab_del(struct numtab *t, uint64_t number);

/*
 * The first item when number is 0, else the one that follows number, which
 * must be in the table. Items come in rising order if they were put so.
 */
void *
numtab_after(const struct numtab *t, uint64_t number);

#endif
