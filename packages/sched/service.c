#include "core.h"

/*
 * Number of workers of a failure domain, emptiest first, that are compared by
 * spread.
 */
static const int DOMAIN_CANDIDATES = 8;

enum spread_kind {
    SPREAD_DOMAIN = 1,
    SPREAD_RACK,
    SPREAD_WORKER,
};

static uint64_t
spread_key(enum spread_kind kind, uint32_t id)
{
    return (uint64_t)kind << 32 | id;
}

static size_t
get_spread_count(const struct job *j, enum spread_kind kind, uint32_t id)
{
    return (size_t)(uintptr_t)map_get_u64(j->policy.service.spread_counts,
                                          spread_key(kind, id));
}

static void
add_to_spread_count(struct job *j, enum spread_kind kind, uint32_t id, int by)
{
    struct map *m = j->policy.service.spread_counts;
    size_t count = get_spread_count(j, kind, id) + (size_t)by;

    if (count == 0) {
        map_del_u64(m, spread_key(kind, id));
    }
    else {
        map_put_u64(m, spread_key(kind, id), (void *)(uintptr_t)count);
    }
}

static void
add_location_counts(struct lease *l, int by)
{
    if (l->domain != NULL) {
        add_to_spread_count(l->job, SPREAD_DOMAIN, l->domain->id, by);
        add_to_spread_count(l->job, SPREAD_RACK, l->rack->id, by);
    }
}

/*
 * Adds a lease to the spread counts of its job, or subtracts it if by is -1.
 * Does nothing if the job is not a service.
 */
void
spread_count_lease(struct lease *l, int by)
{
    if (l->job->class != SCHED_CLASS_SERVICE) {
        return;
    }
    if (by > 0) {
        l->domain = l->worker->domain;
        l->rack = l->worker->rack;
    }
    add_to_spread_count(l->job, SPREAD_WORKER, l->worker->id, by);
    add_location_counts(l, by);
}

/*
 * Updates the spread counts of all service leases on a worker whose rack and
 * failure domain became known or changed.
 */
void
spread_update_worker(struct sched *s, struct worker *w)
{
    (void)s;
    for (struct link *l = w->leases.next; l != &w->leases; l = l->next) {
        struct lease *lease = l->owner;
        if (lease->job->class == SCHED_CLASS_SERVICE) {
            add_location_counts(lease, -1);
            lease->domain = w->domain;
            lease->rack = w->rack;
            add_location_counts(lease, 1);
        }
    }
}

/*
 * Returns the worker with the fewest tasks of the job on the VM, then in the
 * rack, then the emptiest.
 */
static struct worker *
pick_in_domain(const struct job *j, const struct fit_tree *tree)
{
    struct worker *best = NULL;
    size_t best_vm = 0;
    size_t best_rack = 0;
    struct fit_node *n = fit_find_next(tree, &j->request, NULL);

    for (int i = 0; n != NULL && i < DOMAIN_CANDIDATES; i++) {
        struct worker *w = n->owner;
        size_t vm = get_spread_count(j, SPREAD_WORKER, w->id);
        size_t rack = get_spread_count(j, SPREAD_RACK, w->rack->id);
        if (best == NULL || vm < best_vm ||
            (vm == best_vm && rack < best_rack)) {
            best = w;
            best_vm = vm;
            best_rack = rack;
        }
        n = fit_find_next(tree, &j->request, n);
    }
    return best;
}

/*
 * Chooses the failure domain with the fewest tasks of the job among those with
 * room for another task, and returns a worker in it; NULL if none has room.
 */
static struct worker *
pick_by_domain(struct sched *s, const struct job *j, int with_accelerators)
{
    struct worker *best = NULL;
    size_t best_count = 0;
    int64_t best_key = 0;

    for (size_t i = 0; i < s->domain_count; i++) {
        struct domain *d = s->domain_list[i];
        size_t count = get_spread_count(j, SPREAD_DOMAIN, d->id);
        struct fit_node *n;
        if (best != NULL && count > best_count) {
            continue;
        }
        n = fit_find_next(&d->free_workers[with_accelerators], &j->request,
                          NULL);
        if (n != NULL &&
            (best == NULL || count < best_count || n->key < best_key)) {
            best = n->owner;
            best_count = count;
            best_key = n->key;
        }
    }
    return best == NULL
               ? NULL
               : pick_in_domain(
                     j, &best->domain->free_workers[with_accelerators]);
}

struct worker *
service_pick_worker(struct sched *s, struct job *j)
{
    struct worker *w = NULL;

    if (j->request.d[DIM_ACCELERATORS] == 0) {
        w = pick_by_domain(s, j, 0);
    }
    return w != NULL ? w : pick_by_domain(s, j, 1);
}
