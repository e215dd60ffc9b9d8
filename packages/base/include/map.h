#ifndef GV_MAP_H
#define GV_MAP_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * A hash map from bytes or numbers to pointers, on ck_rhs. One thread uses
 * it. Keys are copied; values belong to the caller. One map holds keys of one
 * kind only.
 */
struct map;

struct map *
map_create(void);
void
map_destroy(struct map *m);
size_t
map_count(const struct map *m);

/* Stores value, which must not be NULL; returns the one it replaces or NULL.
 */
void *
map_put(struct map *m, struct str key, void *value);
void *
map_get(const struct map *m, struct str key);
void *
map_del(struct map *m, struct str key);

void *
map_put_u64(struct map *m, uint64_t key, void *value);
void *
map_get_u64(const struct map *m, uint64_t key);
void *
map_del_u64(struct map *m, uint64_t key);

/*
 * Walks the map in the order of insertion, first call with *cursor NULL.
 * Returns NULL at the end. The entry last returned may be deleted meanwhile,
 * no other.
 */
void *
map_next(const struct map *m, void **cursor);

/* The value inserted next after that of key, or NULL. */
void *
map_after(const struct map *m, struct str key);

#endif
