#include "fit.h"

#include "rng.h"

bool
vec_covers(const struct vec *have, const struct vec *need)
{
    for (int i = 0; i < DIM_COUNT; i++) {
        if (have->d[i] < need->d[i]) {
            return false;
        }
    }
    return true;
}

void
vec_add(struct vec *a, const struct vec *b)
{
    for (int i = 0; i < DIM_COUNT; i++) {
        a->d[i] += b->d[i];
    }
}

void
vec_sub(struct vec *a, const struct vec *b)
{
    for (int i = 0; i < DIM_COUNT; i++) {
        a->d[i] -= b->d[i];
    }
}

struct vec
vec_scale(const struct vec *a, int64_t times)
{
    struct vec r;

    for (int i = 0; i < DIM_COUNT; i++) {
        r.d[i] = a->d[i] * times;
    }
    return r;
}

struct vec
vec_negate(const struct vec *a)
{
    return vec_scale(a, -1);
}

/*
 * The priority is a hash of seq, so that equal event sequences build equal
 * trees.
 */
void
fit_node_init(struct fit_node *n, void *owner, uint64_t seq)
{
    struct rng rng = {seq};

    *n = (struct fit_node){.owner = owner, .seq = seq};
    n->priority = rng_next(&rng);
}

static bool
precedes(const struct fit_node *a, const struct fit_node *b)
{
    if (a->key != b->key) {
        return a->key < b->key;
    }
    return a->seq < b->seq;
}

static void
raise_max(struct vec *max, const struct fit_node *child)
{
    if (child == NULL) {
        return;
    }
    for (int i = 0; i < DIM_COUNT; i++) {
        if (child->subtree_max.d[i] > max->d[i]) {
            max->d[i] = child->subtree_max.d[i];
        }
    }
}

static void
update_subtree_max(struct fit_node *n)
{
    n->subtree_max = n->vec;
    raise_max(&n->subtree_max, n->left);
    raise_max(&n->subtree_max, n->right);
}

/* Splits the tree into the nodes that precede at and all others. */
static void
split_tree(struct fit_node *root, const struct fit_node *at,
           struct fit_node **low, struct fit_node **high)
{
    if (root == NULL) {
        *low = NULL;
        *high = NULL;
        return;
    }
    if (precedes(root, at)) {
        split_tree(root->right, at, &root->right, high);
        *low = root;
    }
    else {
        split_tree(root->left, at, low, &root->left);
        *high = root;
    }
    update_subtree_max(root);
}

static struct fit_node *
merge_trees(struct fit_node *low, struct fit_node *high)
{
    if (low == NULL) {
        return high;
    }
    if (high == NULL) {
        return low;
    }
    if (low->priority > high->priority) {
        low->right = merge_trees(low->right, high);
        update_subtree_max(low);
        return low;
    }
    high->left = merge_trees(low, high->left);
    update_subtree_max(high);
    return high;
}

static struct fit_node *
insert_node(struct fit_node *root, struct fit_node *n)
{
    if (root == NULL || n->priority > root->priority) {
        split_tree(root, n, &n->left, &n->right);
        update_subtree_max(n);
        return n;
    }
    if (precedes(n, root)) {
        root->left = insert_node(root->left, n);
    }
    else {
        root->right = insert_node(root->right, n);
    }
    update_subtree_max(root);
    return root;
}

static struct fit_node *
remove_node(struct fit_node *root, struct fit_node *n)
{
    if (root == n) {
        return merge_trees(n->left, n->right);
    }
    if (precedes(n, root)) {
        root->left = remove_node(root->left, n);
    }
    else {
        root->right = remove_node(root->right, n);
    }
    update_subtree_max(root);
    return root;
}

void
fit_insert(struct fit_tree *t, struct fit_node *n)
{
    n->left = NULL;
    n->right = NULL;
    n->in_tree = true;
    t->root = insert_node(t->root, n);
    t->count++;
}

void
fit_remove(struct fit_tree *t, struct fit_node *n)
{
    if (!n->in_tree) {
        return;
    }
    t->root = remove_node(t->root, n);
    t->count--;
    n->in_tree = false;
}

static struct fit_node *
find_next(struct fit_node *n, const struct vec *need,
          const struct fit_node *after)
{
    struct fit_node *found;

    if (n == NULL || !vec_covers(&n->subtree_max, need)) {
        return NULL;
    }
    if (after != NULL && !precedes(after, n)) {
        return find_next(n->right, need, after);
    }
    found = find_next(n->left, need, after);
    if (found != NULL) {
        return found;
    }
    if (vec_covers(&n->vec, need)) {
        return n;
    }
    return find_next(n->right, need, NULL);
}

struct fit_node *
fit_find_next(const struct fit_tree *t, const struct vec *need,
              const struct fit_node *after)
{
    return find_next(t->root, need, after);
}

struct fit_node *
fit_first(const struct fit_tree *t)
{
    struct fit_node *n = t->root;

    while (n != NULL && n->left != NULL) {
        n = n->left;
    }
    return n;
}
