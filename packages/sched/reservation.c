#include "core.h"

#include "mem.h"

/*
 * Maximum number of leases examined to forecast when the reservation will be
 * complete.
 */
static const int FORECAST_LEASES_MAX = 512;
static const int64_t FORECAST_REPEAT_NS = 5 * NS_PER_S;

/* Holds slots on w for the reserved job. */
void
reservation_hold_slots(struct sched *s, struct worker *w, int64_t slots)
{
    struct reservation *r = &s->reservation;
    struct vec size = vec_scale(&r->slot_size, slots);

    w->reserved_slots += slots;
    vec_add(&w->reserved, &size);
    r->held_slots += slots;
    if (link_empty(&w->reservation_link)) {
        link_insert_before(&r->workers, &w->reservation_link);
    }
    worker_update_indexes(s, w);
}

static struct vec
available_with_reserved(const struct worker *w)
{
    struct vec room = worker_available(w);

    vec_add(&room, &w->reserved);
    return room;
}

/*
 * Updates how many of the slots held on w are free. Part of
 * worker_update_indexes().
 */
void
reservation_update_worker(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    struct vec room;
    int64_t slots;

    fit_remove(&r->tree, &w->by_reserved);
    if (w->reserved_slots == 0) {
        return;
    }
    room = available_with_reserved(w);
    slots = count_slots(&room, &r->slot_size);
    slots = slots > w->reserved_slots ? w->reserved_slots : slots;
    r->free_slots += slots - w->free_reserved_slots;
    w->free_reserved_slots = slots;
    if (r->free_slots > r->max_free_slots) {
        r->max_free_slots = r->free_slots;
        r->last_progress_ns = s->now;
    }
    w->by_reserved.vec = room;
    w->by_reserved.key = w->id;
    fit_insert(&r->tree, &w->by_reserved);
}

/*
 * Releases all slots held on w. The caller must call worker_update_indexes()
 * afterwards.
 */
void
reservation_release_worker(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;

    if (w->reserved_slots == 0) {
        return;
    }
    r->held_slots -= w->reserved_slots;
    r->free_slots -= w->free_reserved_slots;
    w->reserved_slots = 0;
    w->free_reserved_slots = 0;
    w->reserved = (struct vec){{0}};
    link_remove(&w->reservation_link);
    fit_remove(&r->tree, &w->by_reserved);
}

/* Releases at most max_slots of the slots held on w that are not free. */
void
reservation_release_busy_slots(struct sched *s, struct worker *w,
                               int64_t max_slots)
{
    struct reservation *r = &s->reservation;
    int64_t released = w->reserved_slots - w->free_reserved_slots;
    struct vec size;

    released = released > max_slots ? max_slots : released;
    if (released == 0) {
        return;
    }
    size = vec_scale(&r->slot_size, released);
    if (released == w->reserved_slots) {
        reservation_release_worker(s, w);
    }
    else {
        r->held_slots -= released;
        w->reserved_slots -= released;
        vec_sub(&w->reserved, &size);
    }
    worker_update_indexes(s, w);
}

static void
uncharge_team(struct sched *s)
{
    struct reservation *r = &s->reservation;

    if (r->charged_to_team.d[DIM_TASKS] > 0) {
        vec_sub(&r->job->account->team->used, &r->charged_to_team);
        team_mark_dirty(s, r->job->account->team);
        r->charged_to_team = (struct vec){{0}};
    }
}

/*
 * Counts the reserved job under its team's limit in advance, so that no other
 * job takes the room for which work is being stopped.
 */
void
reservation_charge_team(struct sched *s)
{
    struct reservation *r = &s->reservation;

    r->charged_to_team = vec_scale(&r->slot_size, r->needed_slots);
    vec_add(&r->job->account->team->used, &r->charged_to_team);
}

void
reservation_release(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct worker *w;

    if (r->job == NULL) {
        return;
    }
    while ((w = link_first(&r->workers)) != NULL) {
        reservation_release_worker(s, w);
        worker_update_indexes(s, w);
        worker_mark_dirty(s, w);
    }
    uncharge_team(s);
    r->job = NULL;
    timer_clear(s, &s->shadow_timer);
    reservation_arm_timer(s);
}

/* Releases slots that are not free while more slots are held than needed. */
static void
release_surplus_slots(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct link *next;

    for (struct link *h = r->workers.next; h != &r->workers; h = next) {
        next = h->next;
        if (r->held_slots <= r->needed_slots) {
            return;
        }
        reservation_release_busy_slots(s, h->owner,
                                       r->held_slots - r->needed_slots);
    }
}

/*
 * Holds free capacity of w for the reservation. The new slots may replace
 * slots on other workers that are not free yet.
 */
void
reservation_take_free_slots(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    struct vec avail;
    int64_t slots;

    if (r->job == NULL || r->free_slots >= r->needed_slots ||
        !w->by_fill.in_tree) {
        return;
    }
    avail = worker_available(w);
    slots = count_slots(&avail, &r->slot_size);
    slots = slots > r->needed_slots - r->free_slots
                ? r->needed_slots - r->free_slots
                : slots;
    if (slots > 0) {
        reservation_hold_slots(s, w, slots);
        release_surplus_slots(s);
    }
}

/*
 * Returns how many slots the end of l adds on its worker, given the leases on
 * it that were already assumed to have ended.
 */
static int64_t
count_gained_slots(struct sched *s, const struct lease *l)
{
    struct worker *w = l->worker;
    int64_t before;

    if (!w->by_fill.in_tree ||
        !vec_covers(&w->by_capacity.vec, &s->reservation.slot_size)) {
        return 0;
    }
    if (w->shadow_pass != s->shadow_pass) {
        w->shadow_pass = s->shadow_pass;
        w->shadow_free = available_with_reserved(w);
    }
    before = count_slots(&w->shadow_free, &s->reservation.slot_size);
    vec_add(&w->shadow_free, &l->size);
    return count_slots(&w->shadow_free, &s->reservation.slot_size) - before;
}

/*
 * Holds the slots that w will have free at the forecast time, although they
 * are not free yet. Otherwise small tasks would take each part of a slot
 * before the whole slot is free.
 */
static void
hold_future_slots(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    int64_t slots =
        count_slots(&w->shadow_free, &r->slot_size) - w->reserved_slots;

    slots = slots > r->needed_slots - r->held_slots
                ? r->needed_slots - r->held_slots
                : slots;
    if (slots > 0) {
        reservation_hold_slots(s, w, slots);
    }
}

/*
 * Postpones the expected end of a task that has run longer than expected to a
 * time proportional to its age, because run times have long tails and the task
 * is not about to end. Returns false if its expected end is still ahead or it
 * is stopping.
 */
static bool
postpone_expected_end(struct sched *s, struct lease *l)
{
    if (l->end_node.key >= s->now || l->stopping) {
        return false;
    }
    fit_remove(&s->expected_ends, &l->end_node);
    l->end_node.key = s->now + (s->now - l->began_ns) / 2 + 1;
    fit_insert(&s->expected_ends, &l->end_node);
    return true;
}

/*
 * Forecasts the shadow time, at which the reservation will be complete if
 * tasks end as expected, and holds room on the workers that become free first.
 * The forecast is never too late; if it is too early, backfill is only refused
 * without need.
 */
void
reservation_forecast(struct sched *s)
{
    struct reservation *r = &s->reservation;
    int64_t missing = r->needed_slots - r->free_slots;
    struct vec any = {{0}};
    struct fit_node *n = fit_find_next(&s->expected_ends, &any, NULL);

    s->shadow_pass++;
    r->shadow_ns = s->now;
    for (int i = 0; n != NULL && i < FORECAST_LEASES_MAX && missing > 0; i++) {
        struct lease *l = n->owner;
        struct fit_node *next = fit_find_next(&s->expected_ends, &any, n);
        if (!postpone_expected_end(s, l)) {
            int64_t gained = count_gained_slots(s, l);
            if (gained > 0) {
                missing -= gained;
                hold_future_slots(s, l->worker);
            }
            r->shadow_ns = n->key > s->now ? n->key : s->now;
        }
        n = next;
    }
    timer_set(s, &s->shadow_timer,
              r->shadow_ns > s->now ? r->shadow_ns
                                    : s->now + FORECAST_REPEAT_NS);
}

/*
 * Starts a reservation for j. Returns false if another job has the
 * reservation.
 */
bool
reservation_start(struct sched *s, struct job *j)
{
    struct reservation *r = &s->reservation;

    if (r->job != NULL) {
        return false;
    }
    r->job = j;
    r->slot_size = j->request;
    r->needed_slots = j->class == SCHED_CLASS_GANG ? j->waiting.count : 1;
    r->held_slots = 0;
    r->free_slots = 0;
    r->max_free_slots = 0;
    r->last_progress_ns = s->now;
    s->stats.reservations++;
    return true;
}

/*
 * Called when the forecast did not come true: releases all slots that are not
 * free, so that they can be held on the workers now expected to become free
 * first.
 */
static void
release_all_busy_slots(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct link *next;

    for (struct link *h = r->workers.next; h != &r->workers; h = next) {
        next = h->next;
        reservation_release_busy_slots(s, h->owner, INT64_MAX);
    }
}

/*
 * Called at the shadow time: stops backfilled tasks that did not end in time
 * and makes a new forecast.
 */
void
reservation_handle_shadow_time(struct sched *s)
{
    struct reservation *r = &s->reservation;

    if (r->job == NULL) {
        return;
    }
    for (struct link *h = r->workers.next; h != &r->workers; h = h->next) {
        struct worker *w = h->owner;
        if (w->free_reserved_slots == w->reserved_slots) {
            continue;
        }
        for (struct link *l = w->leases.next; l != &w->leases; l = l->next) {
            struct lease *lease = l->owner;
            if (lease->backfill && lease_is_preemptible(lease)) {
                s->stats.preemptions++;
                lease_stop(s, lease, s->config.checkpoint_grace_ns);
            }
        }
    }
    release_all_busy_slots(s);
    reservation_forecast(s);
}

/*
 * Places the reserved job once all its slots are free. Returns whether it was
 * placed.
 */
bool
reservation_try_complete(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct job *j = r->job;
    struct worker **picks;
    size_t count = 0;
    struct vec need;

    if (j == NULL || r->free_slots < r->needed_slots) {
        return false;
    }
    need = vec_scale(&j->request, r->needed_slots);
    uncharge_team(s);
    if (j->queue == NULL || !vec_covers(&r->slot_size, &j->request) ||
        !team_has_room(j->account->team, j, &need)) {
        reservation_release(s);
        return false;
    }
    picks = mem_alloc((size_t)r->needed_slots * sizeof(struct worker *));
    for (struct link *h = r->workers.next; h != &r->workers; h = h->next) {
        struct worker *w = h->owner;
        for (int64_t i = 0; i < w->free_reserved_slots; i++) {
            if (count < (size_t)r->needed_slots) {
                picks[count++] = w;
            }
        }
    }
    reservation_release(s);
    if (j->class == SCHED_CLASS_GANG) {
        gang_place_tasks(s, j, picks, count);
    }
    else {
        lease_place(s, j, job_take_task(s, j), picks[0], &j->request);
        if (j->waiting.count == 0) {
            queue_remove(s, j);
        }
    }
    mem_free(picks);
    return true;
}
