#ifndef GV_STATE_NUMTAB_H
#define GV_STATE_NUMTAB_H

#include <stddef.h>
#include <stdint.h>

#include "map.h"

/*
 * Maps numbers that are assigned in rising order to pointers, in pages of
 * consecutive numbers. It takes 12 to 20 bytes per item, where struct map
 * takes about 100. Pages are small because a page is freed only when its last
 * item is deleted, and services that run for months lie among short jobs.
 */
struct numtab {
    struct map *pages;
    struct numtab_page *first;
    struct numtab_page *last;
    size_t count;
};

void
numtab_init(struct numtab *t);

/* Frees the table but not the items. */
void
numtab_free(struct numtab *t);

/* The number must not be in the table; item must not be NULL. */
void
numtab_put(struct numtab *t, uint64_t number, void *item);
void *
numtab_get(const struct numtab *t, uint64_t number);

/* Removes an item and returns it, or NULL if there is none. */
void *
numtab_del(struct numtab *t, uint64_t number);

/*
 * Returns the first item if number is 0, else the one that follows number,
 * which must be in the table; NULL at the end. The order is rising if the
 * items were added in rising order.
 */
void *
numtab_after(const struct numtab *t, uint64_t number);

#endif
