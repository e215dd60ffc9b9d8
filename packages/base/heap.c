#include "heap.h"

#include <stdbool.h>

#include "mem.h"

static bool
before(const struct heap_node *a, const struct heap_node *b)
{
    if (a->key != b->key) {
        return a->key < b->key;
    }
    return a->seq < b->seq;
}

static void
place(struct heap *h, struct heap_node *n, size_t pos)
{
    h->nodes[pos - 1] = n;
    n->pos = pos;
}

static void
sift_up(struct heap *h, struct heap_node *n)
{
    size_t pos = n->pos;

    while (pos > 1 && before(n, h->nodes[pos / 2 - 1])) {
        place(h, h->nodes[pos / 2 - 1], pos);
        pos /= 2;
    }
    place(h, n, pos);
}

static void
sift_down(struct heap *h, struct heap_node *n)
{
    size_t pos = n->pos;

    for (;;) {
        size_t child = pos * 2;
        if (child > h->count) {
            break;
        }
        if (child < h->count && before(h->nodes[child], h->nodes[child - 1])) {
            child++;
        }
        if (!before(h->nodes[child - 1], n)) {
            break;
        }
        place(h, h->nodes[child - 1], pos);
        pos = child;
    }
    place(h, n, pos);
}

void
heap_insert(struct heap *h, struct heap_node *n)
{
    if (h->count == h->cap) {
        h->cap = h->cap == 0 ? 16 : h->cap * 2;
        h->nodes = mem_realloc(h->nodes, h->cap, sizeof(*h->nodes));
    }
    h->count++;
    place(h, n, h->count);
    sift_up(h, n);
}

void
heap_remove(struct heap *h, struct heap_node *n)
{
    struct heap_node *last;

    if (n->pos == 0) {
        return;
    }
    last = h->nodes[h->count - 1];
    h->count--;
    if (last != n) {
        place(h, last, n->pos);
        heap_update(h, last);
    }
    n->pos = 0;
}

void
heap_update(struct heap *h, struct heap_node *n)
{
    sift_up(h, n);
    sift_down(h, n);
}

struct heap_node *
heap_min(const struct heap *h)
{
    return h->count == 0 ? NULL : h->nodes[0];
}

struct heap_node *
heap_pop(struct heap *h)
{
    struct heap_node *n = heap_min(h);

    if (n != NULL) {
        heap_remove(h, n);
    }
    return n;
}

void
heap_free(struct heap *h)
{
    mem_free(h->nodes);
    *h = (struct heap){NULL, 0, 0};
}
