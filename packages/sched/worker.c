#include "core.h"

#include "mem.h"

static const double FILL_SCALE = 1e9;
/*
 * Task capacity of a worker that is not limited to one task; larger than any
 * real number of tasks on a worker.
 */
static const int64_t TASKS_UNBOUNDED = INT64_C(1) << 40;

static void
intern_rack(struct sched *s, struct worker *w, struct str name)
{
    struct rack *r = map_get(s->racks, name);

    if (r == NULL) {
        r = mem_zalloc(1, sizeof(*r));
        r->id = (uint32_t)map_count(s->racks) + 1;
        map_put(s->racks, name, r);
    }
    w->rack = r;
}

static void
intern_domain(struct sched *s, struct worker *w, struct str name)
{
    struct domain *d = map_get(s->domains, name);

    if (d == NULL) {
        d = mem_zalloc(1, sizeof(*d));
        d->id = (uint32_t)s->domain_count + 1;
        map_put(s->domains, name, d);
        s->domain_list = mem_realloc(s->domain_list, s->domain_count + 1,
                                     sizeof(struct domain *));
        s->domain_list[s->domain_count++] = d;
    }
    w->domain = d;
}

struct worker *
worker_get_or_create(struct sched *s, uint32_t id)
{
    struct worker *w = map_get_u64(s->workers, id);

    if (w != NULL) {
        return w;
    }
    w = mem_zalloc(1, sizeof(*w));
    w->id = id;
    fit_node_init(&w->by_fill, w, id);
    fit_node_init(&w->by_domain, w, id);
    fit_node_init(&w->by_capacity, w, id);
    fit_node_init(&w->by_stoppable, w, id);
    fit_node_init(&w->by_reserved, w, id);
    link_init(&w->leases, NULL);
    link_init(&w->claims, NULL);
    link_init(&w->dirty, w);
    link_init(&w->reservation_link, w);
    timer_init(&w->quarantine_timer, TIMER_QUARANTINE, w);
    map_put_u64(s->workers, id, w);
    return w;
}

static struct fit_tree *
get_free_tree(struct sched *s, const struct worker *w)
{
    return &s->free_workers[w->capacity.d[DIM_ACCELERATORS] > 0];
}

static struct fit_tree *
get_domain_tree(const struct worker *w)
{
    return &w->domain->free_workers[w->capacity.d[DIM_ACCELERATORS] > 0];
}

/*
 * Adds the free capacity of w to the total of the fleet, or subtracts it if
 * sign is -1. Free capacity is negative in a dimension where a reservation
 * holds room that is still in use; that counts as 0.
 */
static void
add_to_fleet_free(struct sched *s, const struct worker *w, int sign)
{
    for (int i = 0; i < DIM_COUNT; i++) {
        int64_t part = w->by_fill.vec.d[i];
        s->fleet_free.d[i] += part > 0 ? sign * part : 0;
    }
}

static void
leave_free_trees(struct sched *s, struct worker *w)
{
    if (w->by_fill.in_tree) {
        add_to_fleet_free(s, w, -1);
        fit_remove(get_free_tree(s, w), &w->by_fill);
        fit_remove(get_domain_tree(w), &w->by_domain);
    }
}

static bool
is_usable(const struct worker *w)
{
    return w->up && !w->draining && !w->quarantined;
}

/*
 * Returns the capacity of w that is neither used by leases nor held for claims
 * or the reservation. On probation, a worker takes one task at a time.
 */
struct vec
worker_available(const struct worker *w)
{
    struct vec v = w->capacity;

    vec_sub(&v, &w->used);
    vec_sub(&v, &w->claimed);
    vec_sub(&v, &w->reserved);
    v.d[DIM_TASKS] = w->probation ? 1 - w->used.d[DIM_TASKS]
                                  : TASKS_UNBOUNDED - w->used.d[DIM_TASKS];
    return v;
}

/*
 * Returns the sum over all dimensions of the fraction of w's capacity that
 * avail is, times FILL_SCALE. A fuller worker has a lower key.
 */
static int64_t
compute_fill_key(const struct worker *w, const struct vec *avail)
{
    double sum = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        if (w->capacity.d[i] > 0) {
            sum += (double)avail->d[i] / (double)w->capacity.d[i];
        }
    }
    return (int64_t)(sum * FILL_SCALE);
}

/*
 * Adds a lease to the capacity that urgent work may preempt on w, or subtracts
 * it if sign is -1. The caller must call worker_update_indexes() or
 * worker_update_stoppable() afterwards.
 */
void
worker_add_stoppable(struct worker *w, const struct vec *size, int sign)
{
    struct vec v = vec_scale(size, sign);

    vec_add(&w->stoppable, &v);
}

/*
 * Updates the index of the room that urgent work could get on each worker,
 * largest first. Placing preemptible work, which is most work, does not change
 * that room, and the tree is then left as it is.
 */
static void
update_stoppable_index(struct sched *s, struct worker *w)
{
    struct fit_node *n = &w->by_stoppable;
    struct vec room = worker_available(w);

    vec_add(&room, &w->reserved);
    vec_add(&room, &w->stoppable);
    if (n->in_tree && vec_covers(&n->vec, &room) &&
        vec_covers(&room, &n->vec)) {
        return;
    }
    fit_remove(&s->stoppable, n);
    n->vec = room;
    n->key = -compute_fill_key(w, &room);
    fit_insert(&s->stoppable, n);
}

/*
 * Updates only the index of preemptible room; sufficient if nothing else that
 * worker_update_indexes() depends on has changed.
 */
void
worker_update_stoppable(struct sched *s, struct worker *w)
{
    if (w->by_stoppable.in_tree) {
        update_stoppable_index(s, w);
    }
}

/*
 * Updates all indexes of a worker. Must be called after any change that
 * worker_available() or is_usable() depends on.
 */
void
worker_update_indexes(struct sched *s, struct worker *w)
{
    struct vec avail;

    leave_free_trees(s, w);
    reservation_update_worker(s, w);
    if (!is_usable(w)) {
        fit_remove(&s->stoppable, &w->by_stoppable);
        return;
    }
    avail = worker_available(w);
    w->by_fill.vec = avail;
    w->by_fill.key = compute_fill_key(w, &avail);
    w->by_domain.vec = avail;
    w->by_domain.key = -w->by_fill.key;
    add_to_fleet_free(s, w, 1);
    fit_insert(get_free_tree(s, w), &w->by_fill);
    fit_insert(get_domain_tree(w), &w->by_domain);
    update_stoppable_index(s, w);
}

void
worker_mark_dirty(struct sched *s, struct worker *w)
{
    if (is_usable(w) && link_empty(&w->dirty)) {
        link_insert_before(&s->dirty_workers, &w->dirty);
    }
}

void
worker_charge(struct sched *s, struct worker *w, const struct vec *size,
              int sign)
{
    struct vec v = vec_scale(size, sign);

    vec_add(&w->used, &v);
    worker_update_indexes(s, w);
    if (sign < 0) {
        worker_mark_dirty(s, w);
    }
}

bool
fleet_has_fitting_worker(const struct sched *s, const struct vec *size)
{
    return fit_find_next(&s->up_workers, size, NULL) != NULL;
}

/* Returns how many tasks of this size fit in room. */
int64_t
count_slots(const struct vec *room, const struct vec *size)
{
    int64_t slots = INT64_MAX;

    for (int i = 0; i < DIM_COUNT; i++) {
        if (size->d[i] > 0) {
            int64_t n = room->d[i] <= 0 ? 0 : room->d[i] / size->d[i];
            slots = n < slots ? n : slots;
        }
    }
    return slots;
}

/*
 * Returns how many tasks of this size the fleet could hold with all workers
 * empty. Stops counting once there are enough.
 */
int64_t
fleet_count_slots(const struct sched *s, const struct vec *size,
                  int64_t enough)
{
    int64_t slots = 0;
    struct fit_node *n = fit_find_next(&s->up_workers, size, NULL);

    while (n != NULL && slots < enough) {
        slots += count_slots(&n->vec, size);
        n = fit_find_next(&s->up_workers, size, n);
    }
    return slots;
}

/*
 * Makes jobs that no worker could hold schedulable again if the new worker can
 * hold them, and arranges for parked gangs to be checked again.
 */
static void
unpark_fitting_jobs(struct sched *s, const struct worker *w)
{
    struct vec need = vec_negate(&w->by_capacity.vec);
    struct fit_node *n;

    while ((n = fit_find_next(&s->parked_jobs, &need, NULL)) != NULL) {
        job_unpark(s, n->owner);
    }
    s->parked_gang_rechecks = s->parked_gang_count;
    if (s->parked_gang_rechecks > 0) {
        reservation_arm_timer(s);
    }
}

static void
add_to_fleet(struct sched *s, struct worker *w)
{
    w->by_capacity.vec = w->capacity;
    w->by_capacity.vec.d[DIM_TASKS] = TASKS_UNBOUNDED;
    w->by_capacity.key = 0;
    fit_insert(&s->up_workers, &w->by_capacity);
    vec_add(&s->fleet_capacity, &w->capacity);
    s->shares_stale = true;
    unpark_fitting_jobs(s, w);
}

/*
 * Removes a worker from the fleet's capacity. If no other worker is as large,
 * jobs that are waiting for room may no longer fit any worker and are tried
 * again, so that they are parked.
 */
static void
remove_from_fleet(struct sched *s, struct worker *w)
{
    struct vec capacity = w->by_capacity.vec;

    if (!w->by_capacity.in_tree) {
        return;
    }
    fit_remove(&s->up_workers, &w->by_capacity);
    vec_sub(&s->fleet_capacity, &w->capacity);
    s->shares_stale = true;
    if (fleet_has_fitting_worker(s, &capacity)) {
        return;
    }
    for (size_t i = 0; i < s->account_count; i++) {
        for (int lane = 0; lane < LANES; lane++) {
            struct lane *l = &s->accounts[i]->lanes[lane];
            queues_make_ready(s, s->accounts[i], &l->blocked);
            queues_make_ready(s, s->accounts[i], &l->gangs);
        }
    }
}

static bool
is_same_session(const struct worker *w, const struct sched_worker_event *e,
                const struct vec *capacity)
{
    return w->up && w->incarnation == e->incarnation &&
           vec_covers(&w->capacity, capacity) &&
           vec_covers(capacity, &w->capacity);
}

void
worker_handle_up(struct sched *s, const struct sched_worker_event *e)
{
    struct worker *w = worker_get_or_create(s, e->worker);
    struct vec capacity = vec_from_size(&e->capacity);

    if (is_same_session(w, e, &capacity)) {
        return;
    }
    leave_free_trees(s, w);
    remove_from_fleet(s, w);
    w->up = true;
    w->draining = false;
    w->incarnation = e->incarnation;
    w->capacity = capacity;
    intern_rack(s, w, e->rack);
    intern_domain(s, w, e->failure_domain);
    spread_update_worker(s, w);
    add_to_fleet(s, w);
    worker_update_indexes(s, w);
    worker_mark_dirty(s, w);
}

static void
checkpoint_leases(struct sched *s, struct worker *w)
{
    struct link *head = &w->leases;
    struct link *next;

    for (struct link *l = head->next; l != head; l = next) {
        struct lease *lease = l->owner;
        next = l->next;
        if (lease->job->idempotent) {
            lease_stop(s, lease, DEADLINE_NONE);
        }
    }
}

void
worker_handle_draining(struct sched *s, const struct sched_draining_event *e)
{
    struct worker *w = map_get_u64(s->workers, e->worker);

    if (w == NULL || !w->up || w->draining == e->draining) {
        return;
    }
    leave_free_trees(s, w);
    w->draining = e->draining;
    if (w->draining) {
        remove_from_fleet(s, w);
        reservation_release_worker(s, w);
        claims_cancel_on_worker(s, w);
        checkpoint_leases(s, w);
    }
    else {
        add_to_fleet(s, w);
    }
    worker_update_indexes(s, w);
    worker_mark_dirty(s, w);
}

static void
mark_down(struct sched *s, struct worker *w)
{
    leave_free_trees(s, w);
    remove_from_fleet(s, w);
    fit_remove(&s->stoppable, &w->by_stoppable);
    w->up = false;
    w->draining = false;
    link_remove(&w->dirty);
    reservation_release_worker(s, w);
    claims_cancel_on_worker(s, w);
}

/*
 * Whether the lease belongs to the given incarnation of its worker. A restored
 * lease with incarnation 0 belongs to the current one.
 */
static bool
belongs_to_incarnation(const struct lease *l, uint64_t incarnation,
                       bool is_current)
{
    return l->incarnation == incarnation ||
           (l->incarnation == 0 && is_current);
}

void
worker_handle_expired(struct sched *s, const struct sched_expired_event *e)
{
    struct worker *w = map_get_u64(s->workers, e->worker);
    struct link *next;
    bool is_current;

    if (w == NULL) {
        return;
    }
    is_current = !w->up || w->incarnation == e->incarnation;
    if (w->up && is_current) {
        mark_down(s, w);
    }
    for (struct link *l = w->leases.next; l != &w->leases; l = next) {
        struct lease *lease = l->owner;
        next = l->next;
        if (belongs_to_incarnation(lease, e->incarnation, is_current)) {
            if (lease->state <= LEASE_COMMITTED) {
                lease_stop(s, lease, 0);
            }
            else {
                link_remove(&lease->deferred_link);
                link_insert_before(&s->deferred_finishes,
                                   &lease->deferred_link);
            }
        }
    }
    worker_free_if_unused(s, w);
}

void
worker_free(struct sched *s, struct worker *w)
{
    timer_clear(s, &w->quarantine_timer);
    if (s->woken_by_worker == w) {
        s->woken_by_worker = NULL;
    }
    mem_free(w);
}

/*
 * Frees a worker that is down and has no leases. A worker with a fault score
 * or in quarantine is kept, because it may come back.
 */
void
worker_free_if_unused(struct sched *s, struct worker *w)
{
    if (w->up || w->quarantined || w->fault_score > 0 ||
        !link_empty(&w->leases)) {
        return;
    }
    link_remove(&w->dirty);
    map_del_u64(s->workers, w->id);
    worker_free(s, w);
}
