#ifndef GV_SCHED_FIT_H
#define GV_SCHED_FIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What is asked for or free, per dimension; a task counts 1 in DIM_TASKS. */
enum {
    DIM_CPU,
    DIM_MEMORY,
    DIM_ACCELERATORS,
    DIM_TASKS,
    DIMS,
};

struct vec {
    int64_t d[DIMS];
};

/*
 * An ordered set of nodes with a vector each (a treap whose nodes carry the
 * maximum of their subtree per dimension). It answers "the first node in key
 * order that covers this vector" in expected logarithmic time as long as few
 * subtrees cover the vector only by mixing dimensions of different nodes.
 */
struct fit_node {
    struct fit_node *left;
    struct fit_node *right;
    void *owner;
    int64_t key;
    uint64_t seq; /* unique in its tree; breaks ties of key */
    uint64_t priority;
    struct vec own;
    struct vec max;
    bool in_tree;
};

struct fit_tree {
    struct fit_node *root;
    size_t count;
};

void
fit_node_init(struct fit_node *n, void *owner, uint64_t seq);

/* key and own of n are set by the caller, and change only outside a tree. */
void
fit_insert(struct fit_tree *t, struct fit_node *n);

/* Does nothing when n is outside. */
void
fit_remove(struct fit_tree *t, struct fit_node *n);

/* The first node behind after (NULL: from the start) that covers need. */
struct fit_node *
fit_next(const struct fit_tree *t, const struct vec *need,
         const struct fit_node *after);

/* The first node in key order, NULL if empty. */
struct fit_node *
fit_min(const struct fit_tree *t);

bool
vec_covers(const struct vec *have, const struct vec *need);
void
vec_add(struct vec *a, const struct vec *b);
void
vec_sub(struct vec *a, const struct vec *b);
struct vec
vec_scale(const struct vec *a, int64_t times);
struct vec
vec_negative(const struct vec *a);

#endif
