#include "map.h"

#include <stdlib.h>
#include <string.h>

#include <ck_rhs.h>

#include "mem.h"

enum {
    MAP_MIN_ENTRIES = 16,
};

struct entry {
    uint64_t hash;
    void *value;
    struct entry *prev;
    struct entry *next;
    size_t len;
    char key[];
};

/* The list keeps iteration independent of hash order, hence repeatable. */
struct map {
    ck_rhs_t set;
    struct entry *first;
    struct entry *last;
};

static unsigned long
entry_hash(const void *object, unsigned long seed)
{
    (void)seed;
    return ((const struct entry *)object)->hash;
}

static bool
entry_equal(const void *left, const void *right)
{
    const struct entry *a = left;
    const struct entry *b = right;

    return a->len == b->len && memcmp(a->key, b->key, a->len) == 0;
}

static void *
set_malloc(size_t size)
{
    return mem_alloc(size);
}

static void
set_free(void *ptr, size_t size, bool defer)
{
    (void)size;
    (void)defer;
    mem_free(ptr);
}

static struct ck_malloc set_allocator = {.malloc = set_malloc,
                                         .free = set_free};

struct map *
map_create(void)
{
    struct map *m = mem_zalloc(1, sizeof(*m));

    if (!ck_rhs_init(&m->set, CK_RHS_MODE_SPMC | CK_RHS_MODE_OBJECT,
                     entry_hash, entry_equal, &set_allocator, MAP_MIN_ENTRIES,
                     1)) {
        abort();
    }
    return m;
}

void
map_destroy(struct map *m)
{
    struct entry *next;

    if (m == NULL) {
        return;
    }
    for (struct entry *e = m->first; e != NULL; e = next) {
        next = e->next;
        mem_free(e);
    }
    ck_rhs_destroy(&m->set);
    mem_free(m);
}

size_t
map_count(const struct map *m)
{
    return ck_rhs_count((ck_rhs_t *)&m->set);
}

static struct entry *
entry_create(struct str key, void *value)
{
    struct entry *e = mem_alloc(sizeof(*e) + key.len);

    e->hash = str_hash(key);
    e->value = value;
    e->prev = NULL;
    e->next = NULL;
    e->len = key.len;
    if (key.len != 0) {
        memcpy(e->key, key.ptr, key.len);
    }
    return e;
}

/* Short keys are looked up from the stack; only a long one is copied. */
static struct entry *
find(const struct map *m, struct str key)
{
    char space[sizeof(struct entry) + 256] __attribute__((aligned(16)));
    struct entry *probe = (struct entry *)space;
    struct entry *found;

    if (key.len > sizeof(space) - sizeof(struct entry)) {
        probe = entry_create(key, NULL);
    }
    else {
        probe->hash = str_hash(key);
        probe->len = key.len;
        if (key.len != 0) {
            memcpy(probe->key, key.ptr, key.len);
        }
    }
    found = ck_rhs_get((ck_rhs_t *)&m->set, probe->hash, probe);
    if (probe != (struct entry *)space) {
        mem_free(probe);
    }
    return found;
}

static void
list_append(struct map *m, struct entry *e)
{
    e->prev = m->last;
    if (m->last == NULL) {
        m->first = e;
    }
    else {
        m->last->next = e;
    }
    m->last = e;
}

static void
list_remove(struct map *m, struct entry *e)
{
    if (e->prev == NULL) {
        m->first = e->next;
    }
    else {
        e->prev->next = e->next;
    }
    if (e->next == NULL) {
        m->last = e->prev;
    }
    else {
        e->next->prev = e->prev;
    }
}

void *
map_put(struct map *m, struct str key, void *value)
{
    struct entry *e = find(m, key);
    void *old;

    if (e != NULL) {
        old = e->value;
        e->value = value;
        return old;
    }
    e = entry_create(key, value);
    if (!ck_rhs_put(&m->set, e->hash, e)) {
        abort();
    }
    list_append(m, e);
    return NULL;
}

void *
map_get(const struct map *m, struct str key)
{
    struct entry *e = find(m, key);

    return e == NULL ? NULL : e->value;
}

void *
map_del(struct map *m, struct str key)
{
    struct entry *e = find(m, key);
    void *value;

    if (e == NULL) {
        return NULL;
    }
    ck_rhs_remove(&m->set, e->hash, e);
    list_remove(m, e);
    value = e->value;
    mem_free(e);
    return value;
}

void *
map_put_u64(struct map *m, uint64_t key, void *value)
{
    return map_put(m, str_from(&key, sizeof(key)), value);
}

void *
map_get_u64(const struct map *m, uint64_t key)
{
    return map_get(m, str_from(&key, sizeof(key)));
}

void *
map_del_u64(struct map *m, uint64_t key)
{
    return map_del(m, str_from(&key, sizeof(key)));
}

void *
map_next(const struct map *m, void **cursor)
{
    struct entry *e = *cursor;

    /* The cursor holds the entry to return next, so the last one returned
     * may be deleted; END marks a finished walk. */
    static struct entry end;
    if (e == &end) {
        return NULL;
    }
    if (e == NULL) {
        e = m->first;
    }
    if (e == NULL) {
        return NULL;
    }
    *cursor = e->next == NULL ? &end : e->next;
    return e->value;
}

void *
map_after(const struct map *m, struct str key)
{
    const struct entry *e = find(m, key);

    return e == NULL || e->next == NULL ? NULL : e->next->value;
}
