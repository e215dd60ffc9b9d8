#include "fit.h"

#include "rng.h"

bool
vec_covers(const struct vec *have, const struct vec *need)
{
    for (int i = 0; i < DIMS; i++) {
        if (have->d[i] < need->d[i]) {
            return false;
        }
    }
    return true;
}

void
vec_add(struct vec *a, const struct vec *b)
{
    for (int i = 0; i < DIMS; i++) {
        a->d[i] += b->d[i];
    }
}

void
vec_sub(struct vec *a, const struct vec *b)
{
    for (int i = 0; i < DIMS; i++) {
        a->d[i] -= b->d[i];
    }
}

struct vec
vec_scale(const struct vec *a, int64_t times)
{
    struct vec r;

    for (int i = 0; i < DIMS; i++) {
        r.d[i] = a->d[i] * times;
    }
    return r;
}

struct vec
vec_negative(const struct vec *a)
{
    return vec_scale(a, -1);
}

/* The priority is a hash of seq, which keeps the shape deterministic. */
void
fit_node_init(struct fit_node *n, void *owner, uint64_t seq)
{
    struct rng rng = {seq};

    *n = (struct fit_node){.owner = owner, .seq = seq};
    n->priority = rng_next(&rng);
}

static bool
before(const struct fit_node *a, const struct fit_node *b)
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
    for (int i = 0; i < DIMS; i++) {
        if (child->max.d[i] > max->d[i]) {
            max->d[i] = child->max.d[i];
        }
    }
}

static void
pull(struct fit_node *n)
{
    n->max = n->own;
    raise_max(&n->max, n->left);
    raise_max(&n->max, n->right);
}

/* Splits root into the nodes before at and the others. */
static void
split(struct fit_node *root, const struct fit_node *at, struct fit_node **low,
      struct fit_node **high)
{
    if (root == NULL) {
        *low = NULL;
        *high = NULL;
        return;
    }
    if (before(root, at)) {
        split(root->right, at, &root->right, high);
        *low = root;
    }
    else {
        split(root->left, at, low, &root->left);
        *high = root;
    }
    pull(root);
}

static struct fit_node *
merge(struct fit_node *low, struct fit_node *high)
{
    if (low == NULL) {
        return high;
    }
    if (high == NULL) {
        return low;
    }
    if (low->priority > high->priority) {
        low->right = merge(low->right, high);
        pull(low);
        return low;
    }
    high->left = merge(low, high->left);
    pull(high);
    return high;
}

static struct fit_node *
insert(struct fit_node *root, struct fit_node *n)
{
    if (root == NULL || n->priority > root->priority) {
        split(root, n, &n->left, &n->right);
        pull(n);
        return n;
    }
    if (before(n, root)) {
        root->left = insert(root->left, n);
    }
    else {
        root->right = insert(root->right, n);
    }
    pull(root);
    return root;
}

static struct fit_node *
erase(struct fit_node *root, struct fit_node *n)
{
    if (root == n) {
        return merge(n->left, n->right);
    }
    if (before(n, root)) {
        root->left = erase(root->left, n);
    }
    else {
        root->right = erase(root->right, n);
    }
    pull(root);
    return root;
}

void
fit_insert(struct fit_tree *t, struct fit_node *n)
{
    n->left = NULL;
    n->right = NULL;
    n->in_tree = true;
    t->root = insert(t->root, n);
    t->count++;
}

void
fit_remove(struct fit_tree *t, struct fit_node *n)
{
    if (!n->in_tree) {
        return;
    }
    t->root = erase(t->root, n);
    t->count--;
    n->in_tree = false;
}

static struct fit_node *
next(struct fit_node *n, const struct vec *need, const struct fit_node *after)
{
    struct fit_node *found;

    if (n == NULL || !vec_covers(&n->max, need)) {
        return NULL;
    }
    if (after != NULL && !before(after, n)) {
        return next(n->right, need, after);
    }
    found = next(n->left, need, after);
    if (found != NULL) {
        return found;
    }
    if (vec_covers(&n->own, need)) {
        return n;
    }
    return next(n->right, need, NULL);
}

struct fit_node *
fit_next(const struct fit_tree *t, const struct vec *need,
         const struct fit_node *after)
{
    return next(t->root, need, after);
}

struct fit_node *
fit_min(const struct fit_tree *t)
{
    struct fit_node *n = t->root;

    while (n != NULL && n->left != NULL) {
        n = n->left;
    }
    return n;
}
