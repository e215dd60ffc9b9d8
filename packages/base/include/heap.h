#ifndef GV_HEAP_H
#define GV_HEAP_H

#include <stddef.h>
#include <stdint.h>

/*
 * A binary min-heap of nodes that are embedded in the caller's structs.
 * Insert, remove and update cost O(log n). Equal keys leave in the order of
 * their seq, which the caller sets.
 */
struct heap_node {
    int64_t key;
    uint64_t seq;
    size_t pos; /* 1-based position, 0 while outside the heap */
};

struct heap {
    struct heap_node **nodes;
    size_t count;
    size_t cap;
};

void
heap_insert(struct heap *h, struct heap_node *n);
void
heap_remove(struct heap *h, struct heap_node *n);

/* Call after n->key changed. */
void
heap_update(struct heap *h, struct heap_node *n);
struct heap_node *
heap_min(const struct heap *h);
struct heap_node *
heap_pop(struct heap *h);
void
heap_free(struct heap *h);

#endif
