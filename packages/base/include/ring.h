#ifndef GV_RING_H
#define GV_RING_H

#include <stdbool.h>

/*
 * A bounded queue of pointers from many threads to one, on ck_ring, with an
 * eventfd that becomes readable when something was pushed.
 */
struct ring;

/* capacity is a power of two. Returns NULL if no eventfd can be had. */
struct ring *
ring_create(unsigned capacity);
void
ring_destroy(struct ring *r);

/* Any thread. Returns false when the ring is full. */
bool
ring_push(struct ring *r, void *item);

/* The consumer only. Returns NULL when the ring is empty. */
void *
ring_pop(struct ring *r);

/* The descriptor to poll for input. */
int
ring_fd(const struct ring *r);

/*
 * The consumer calls this before it pops until empty, so that a later push
 * signals again.
 */
void
ring_clear(struct ring *r);

/* The consumer: ring_clear, after waiting until there is input. */
void
ring_wait(struct ring *r);

#endif
