#ifndef GV_SCHED_FIT_H
#define GV_SCHED_FIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Dimensions of a resource vector; a task counts 1 in DIM_TASKS. */
enum {
    DIM_CPU,
    DIM_MEMORY,
    DIM_ACCELERATORS,
    DIM_TASKS,
    DIM_COUNT,
};

/* Resources requested or free, per dimension. */
struct vec {
    int64_t d[DIM_COUNT];
};

/*
 * An ordered set of nodes with one vector each: a treap whose nodes store the
 * maximum of their subtree in each dimension. It finds the first node in key
 * order whose vector covers a given one in expected logarithmic time, provided
 * that few subtrees cover it only by maxima of different nodes.
 */
struct fit_node {
    struct fit_node *left;
    struct fit_node *right;
    void *owner;
    int64_t key;
    uint64_t seq;      /* unique in its tree; orders nodes of equal key */
    uint64_t priority; /* of the treap */
    struct vec vec;
    struct vec subtree_max;
    bool in_tree;
};

struct fit_tree {
    struct fit_node *root;
    size_t count;
};

/* seq also determines the node's priority. */
void
fit_node_init(struct fit_node *n, void *owner, uint64_t seq);

/*
 * Inserts a node whose key and vec the caller has set. They must not change
 * while the node is in a tree.
 */
void
fit_insert(struct fit_tree *t, struct fit_node *n);

/* Removes a node; does nothing if it is in no tree. */
void
fit_remove(struct fit_tree *t, struct fit_node *n);

/*
 * Returns the first node after the given one (NULL: from the start) whose
 * vector covers need; NULL if there is none.
 */
struct fit_node *
fit_find_next(const struct fit_tree *t, const struct vec *need,
              const struct fit_node *after);

/* Returns the first node in key order, NULL if the tree is empty. */
struct fit_node *
fit_first(const struct fit_tree *t);

/* Whether have is at least need in every dimension. */
bool
vec_covers(const struct vec *have, const struct vec *need);
void
vec_add(struct vec *a, const struct vec *b);
void
vec_sub(struct vec *a, const struct vec *b);
struct vec
vec_scale(const struct vec *a, int64_t times);
struct vec
vec_negate(const struct vec *a);

#endif
