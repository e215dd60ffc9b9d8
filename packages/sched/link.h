#ifndef GV_SCHED_LINK_H
#define GV_SCHED_LINK_H

#include <stdbool.h>
#include <stddef.h>

/* A circular doubly linked list embedded in its members; a head owns none. */
struct link {
    struct link *prev;
    struct link *next;
    void *owner;
};

static inline void
link_init(struct link *l, void *owner)
{
    l->prev = l;
    l->next = l;
    l->owner = owner;
}

static inline bool
link_empty(const struct link *l)
{
    return l->next == l;
}

static inline void
link_insert_before(struct link *at, struct link *l)
{
    l->prev = at->prev;
    l->next = at;
    at->prev->next = l;
    at->prev = l;
}

/* Leaves l empty; does nothing when it is. */
static inline void
link_remove(struct link *l)
{
    l->prev->next = l->next;
    l->next->prev = l->prev;
    l->prev = l;
    l->next = l;
}

/* The owner of the first member, NULL if there is none. */
static inline void *
link_first(const struct link *head)
{
    return link_empty(head) ? NULL : head->next->owner;
}

#endif
