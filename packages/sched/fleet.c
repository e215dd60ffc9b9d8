#include "core.h"

#include "mem.h"

static const double FILL_SCALE = 1e9;
/* More tasks than any worker runs. */
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
worker_get(struct sched *s, uint32_t id)
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
    fit_node_init(&w->by_held, w, id);
    link_init(&w->leases, NULL);
    link_init(&w->claims, NULL);
    link_init(&w->dirty, w);
    link_init(&w->held, w);
    timer_init(&w->release, TIMER_QUARANTINE, w);
    map_put_u64(s->workers, id, w);
    return w;
}

static struct fit_tree *
free_tree(struct sched *s, const struct worker *w)
{
    return &s->free[w->capacity.d[DIM_ACCELERATORS] > 0];
}

static struct fit_tree *
domain_tree(const struct worker *w)
{
    return &w->domain->free[w->capacity.d[DIM_ACCELERATORS] > 0];
}

/* Adds what w has free to the sum; room held early makes parts negative. */
static void
sum_free(struct sched *s, const struct worker *w, int sign)
{
    for (int i = 0; i < DIMS; i++) {
        int64_t part = w->by_fill.own.d[i];
        s->free_sum.d[i] += part > 0 ? sign * part : 0;
    }
}

static void
leave_trees(struct sched *s, struct worker *w)
{
    if (w->by_fill.in_tree) {
        sum_free(s, w, -1);
        fit_remove(free_tree(s, w), &w->by_fill);
        fit_remove(domain_tree(w), &w->by_domain);
    }
}

static bool
usable(const struct worker *w)
{
    return w->up && !w->draining && !w->quarantined;
}

/* Capacity that nothing is placed on and nothing is held for. */
struct vec
worker_avail(const struct worker *w)
{
    struct vec v = w->capacity;

    vec_sub(&v, &w->used);
    vec_sub(&v, &w->claimed);
    vec_sub(&v, &w->reserved);
    v.d[DIM_TASKS] = w->probation ? 1 - w->used.d[DIM_TASKS]
                                  : TASKS_UNBOUNDED - w->used.d[DIM_TASKS];
    return v;
}

static int64_t
fill_key(const struct worker *w, const struct vec *avail)
{
    double sum = 0;

    for (int i = 0; i < DIM_TASKS; i++) {
        if (w->capacity.d[i] > 0) {
            sum += (double)avail->d[i] / (double)w->capacity.d[i];
        }
    }
    return (int64_t)(sum * FILL_SCALE);
}

/* Counts a lease in or out of what urgent work may stop on w; one of the
 * updates follows. */
void
worker_count_stoppable(struct worker *w, const struct vec *size, int sign)
{
    struct vec v = vec_scale(size, sign);

    vec_add(&w->stoppable, &v);
}

/*
 * Room that urgent work could get on w; the workers with most of it come
 * first. Placing preemptible work, which is most work, leaves it as it is.
 */
static void
update_stoppable(struct sched *s, struct worker *w)
{
    struct fit_node *n = &w->by_stoppable;
    struct vec room = worker_avail(w);

    vec_add(&room, &w->reserved);
    vec_add(&room, &w->stoppable);
    if (n->in_tree && vec_covers(&n->own, &room) &&
        vec_covers(&room, &n->own)) {
        return;
    }
    fit_remove(&s->stoppable, n);
    n->own = room;
    n->key = -fill_key(w, &room);
    fit_insert(&s->stoppable, n);
}

/* Instead of worker_update when nothing but what is stoppable changed. */
void
worker_update_stoppable(struct sched *s, struct worker *w)
{
    if (w->by_stoppable.in_tree) {
        update_stoppable(s, w);
    }
}

/* Call after anything that worker_avail depends on has changed. */
void
worker_update(struct sched *s, struct worker *w)
{
    struct vec avail;

    leave_trees(s, w);
    reservation_update(s, w);
    if (!usable(w)) {
        fit_remove(&s->stoppable, &w->by_stoppable);
        return;
    }
    avail = worker_avail(w);
    w->by_fill.own = avail;
    w->by_fill.key = fill_key(w, &avail);
    w->by_domain.own = avail;
    w->by_domain.key = -w->by_fill.key;
    sum_free(s, w, 1);
    fit_insert(free_tree(s, w), &w->by_fill);
    fit_insert(domain_tree(w), &w->by_domain);
    update_stoppable(s, w);
}

void
worker_mark_dirty(struct sched *s, struct worker *w)
{
    if (usable(w) && link_empty(&w->dirty)) {
        link_insert_before(&s->dirty_workers, &w->dirty);
    }
}

void
worker_charge(struct sched *s, struct worker *w, const struct vec *size,
              int sign)
{
    struct vec v = vec_scale(size, sign);

    vec_add(&w->used, &v);
    worker_update(s, w);
    if (sign < 0) {
        worker_mark_dirty(s, w);
    }
}

bool
fleet_fits(const struct sched *s, const struct vec *size)
{
    return fit_next(&s->capacity, size, NULL) != NULL;
}

/* How many tasks of this size fit in room, each worker taken as empty. */
int64_t
slots_in(const struct vec *room, const struct vec *size)
{
    int64_t slots = INT64_MAX;

    for (int i = 0; i < DIMS; i++) {
        if (size->d[i] > 0) {
            int64_t n = room->d[i] <= 0 ? 0 : room->d[i] / size->d[i];
            slots = n < slots ? n : slots;
        }
    }
    return slots;
}

/* Counts slots in the whole fleet, stopping once there are enough. */
int64_t
fleet_slots(const struct sched *s, const struct vec *size, int64_t enough)
{
    int64_t slots = 0;
    struct fit_node *n = fit_next(&s->capacity, size, NULL);

    while (n != NULL && slots < enough) {
        slots += slots_in(&n->own, size);
        n = fit_next(&s->capacity, size, n);
    }
    return slots;
}

/* Work that no worker could hold may fit the one that came. */
static void
unpark_fitting(struct sched *s, const struct worker *w)
{
    struct vec need = vec_negative(&w->by_capacity.own);
    struct fit_node *n;

    while ((n = fit_next(&s->parked, &need, NULL)) != NULL) {
        job_unpark(s, n->owner);
    }
    s->recheck_left = s->parked_gang_count;
    if (s->recheck_left > 0) {
        reserve_soon(s);
    }
}

static void
enter_capacity(struct sched *s, struct worker *w)
{
    w->by_capacity.own = w->capacity;
    w->by_capacity.own.d[DIM_TASKS] = TASKS_UNBOUNDED;
    w->by_capacity.key = 0;
    fit_insert(&s->capacity, &w->by_capacity);
    vec_add(&s->fleet, &w->capacity);
    s->shares_stale = true;
    unpark_fitting(s, w);
}

/* Queued work may have lost the only worker that it fits. */
static void
leave_capacity(struct sched *s, struct worker *w)
{
    struct vec own = w->by_capacity.own;

    if (!w->by_capacity.in_tree) {
        return;
    }
    fit_remove(&s->capacity, &w->by_capacity);
    vec_sub(&s->fleet, &w->capacity);
    s->shares_stale = true;
    if (fleet_fits(s, &own)) {
        return;
    }
    for (size_t i = 0; i < s->account_count; i++) {
        for (int lane = 0; lane < LANES; lane++) {
            struct lane *l = &s->accounts[i]->lanes[lane];
            queues_retry(s, s->accounts[i], &l->blocked);
            queues_retry(s, s->accounts[i], &l->gangs);
        }
    }
}

static bool
same_session(const struct worker *w, const struct sched_worker_event *e,
             const struct vec *capacity)
{
    return w->up && w->incarnation == e->incarnation &&
           vec_covers(&w->capacity, capacity) &&
           vec_covers(capacity, &w->capacity);
}

void
worker_up(struct sched *s, const struct sched_worker_event *e)
{
    struct worker *w = worker_get(s, e->worker);
    struct vec capacity = vec_of(&e->capacity);

    if (same_session(w, e, &capacity)) {
        return;
    }
    leave_trees(s, w);
    leave_capacity(s, w);
    w->up = true;
    w->draining = false;
    w->incarnation = e->incarnation;
    w->capacity = capacity;
    intern_rack(s, w, e->rack);
    intern_domain(s, w, e->failure_domain);
    spread_update(s, w);
    enter_capacity(s, w);
    worker_update(s, w);
    worker_mark_dirty(s, w);
}

static void
checkpoint_all(struct sched *s, struct worker *w)
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
worker_draining(struct sched *s, const struct sched_draining_event *e)
{
    struct worker *w = map_get_u64(s->workers, e->worker);

    if (w == NULL || !w->up || w->draining == e->draining) {
        return;
    }
    leave_trees(s, w);
    w->draining = e->draining;
    if (w->draining) {
        leave_capacity(s, w);
        reservation_leave(s, w);
        claims_drop_worker(s, w);
        checkpoint_all(s, w);
    }
    else {
        enter_capacity(s, w);
    }
    worker_update(s, w);
    worker_mark_dirty(s, w);
}

static void
go_down(struct sched *s, struct worker *w)
{
    leave_trees(s, w);
    leave_capacity(s, w);
    fit_remove(&s->stoppable, &w->by_stoppable);
    w->up = false;
    w->draining = false;
    link_remove(&w->dirty);
    reservation_leave(s, w);
    claims_drop_worker(s, w);
}

/* A lease without incarnation was restored and belongs to the current one. */
static bool
ended_with(const struct lease *l, uint64_t incarnation, bool current)
{
    return l->incarnation == incarnation || (l->incarnation == 0 && current);
}

void
worker_expired(struct sched *s, const struct sched_expired_event *e)
{
    struct worker *w = map_get_u64(s->workers, e->worker);
    struct link *next;
    bool current;

    if (w == NULL) {
        return;
    }
    current = !w->up || w->incarnation == e->incarnation;
    if (w->up && current) {
        go_down(s, w);
    }
    for (struct link *l = w->leases.next; l != &w->leases; l = next) {
        struct lease *lease = l->owner;
        next = l->next;
        if (ended_with(lease, e->incarnation, current)) {
            if (lease->state <= LEASE_COMMITTED) {
                lease_stop(s, lease, 0);
            }
            else {
                link_remove(&lease->dropped);
                link_insert_before(&s->dropped, &lease->dropped);
            }
        }
    }
    worker_maybe_forget(s, w);
}

void
worker_free(struct sched *s, struct worker *w)
{
    timer_clear(s, &w->release);
    if (s->woken_by == w) {
        s->woken_by = NULL;
    }
    mem_free(w);
}

/* Keeps what is known against a worker that may come back. */
void
worker_maybe_forget(struct sched *s, struct worker *w)
{
    if (w->up || w->quarantined || w->score > 0 || !link_empty(&w->leases)) {
        return;
    }
    link_remove(&w->dirty);
    map_del_u64(s->workers, w->id);
    worker_free(s, w);
}
