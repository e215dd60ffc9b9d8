#ifndef GV_SCHED_LINK_H
#define GV_SCHED_LINK_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A circular doubly linked list whose links are embedded in its members. The
 * head is a link with the owner NULL.
 */
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

/* Whether a list has no members, or a member is in no list. */
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

/* Removes l from its list; does nothing if it is in none. */
static inline void
link_remove(struct link *l)
{
    l->prev->next = l->next;
    l->next->prev = l->prev;
    l->prev = l;
    l->next = l;
}

/* Returns the owner of the first member, NULL if the list is empty. */
static inline void *
link_first(const struct link *head)
{
    return link_empty(head) ? NULL : head->next->owner;
}

#endif
