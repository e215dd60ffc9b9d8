#include "core.h"

#include "mem.h"

/* Leases looked at to foresee when the reservation can be complete. */
static const int SHADOW_STEPS = 512;
static const int64_t SHADOW_REPEAT_NS = 5 * NS_PER_S;

/* Keeps slots on w for the reserved job. */
void
reservation_hold(struct sched *s, struct worker *w, int64_t slots)
{
    struct reservation *r = &s->reservation;
    struct vec size = vec_scale(&r->size, slots);

    w->slots += slots;
    vec_add(&w->reserved, &size);
    r->held += slots;
    if (link_empty(&w->held)) {
        link_insert_before(&r->workers, &w->held);
    }
    worker_update(s, w);
}

static struct vec
room_with_held(const struct worker *w)
{
    struct vec room = worker_avail(w);

    vec_add(&room, &w->reserved);
    return room;
}

/* Recounts the held slots of w that are free; part of worker_update. */
void
reservation_update(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    struct vec room;
    int64_t slots;

    fit_remove(&r->tree, &w->by_held);
    if (w->slots == 0) {
        return;
    }
    room = room_with_held(w);
    slots = slots_in(&room, &r->size);
    slots = slots > w->slots ? w->slots : slots;
    r->ready += slots - w->slots_free;
    w->slots_free = slots;
    if (r->ready > r->most) {
        r->most = r->ready;
        r->progress = s->now;
    }
    w->by_held.own = room;
    w->by_held.key = w->id;
    fit_insert(&r->tree, &w->by_held);
}

/* Gives up what is held on w, without updating its trees. */
void
reservation_leave(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;

    if (w->slots == 0) {
        return;
    }
    r->held -= w->slots;
    r->ready -= w->slots_free;
    w->slots = 0;
    w->slots_free = 0;
    w->reserved = (struct vec){{0}};
    link_remove(&w->held);
    fit_remove(&r->tree, &w->by_held);
}

/* Gives up at most this many slots held on w that are not free. */
void
reservation_yield(struct sched *s, struct worker *w, int64_t most)
{
    struct reservation *r = &s->reservation;
    int64_t lost = w->slots - w->slots_free;
    struct vec size;

    lost = lost > most ? most : lost;
    if (lost == 0) {
        return;
    }
    size = vec_scale(&r->size, lost);
    if (lost == w->slots) {
        reservation_leave(s, w);
    }
    else {
        r->held -= lost;
        w->slots -= lost;
        vec_sub(&w->reserved, &size);
    }
    worker_update(s, w);
}

static void
uncharge(struct sched *s)
{
    struct reservation *r = &s->reservation;

    if (r->charged.d[DIM_TASKS] > 0) {
        vec_sub(&r->job->account->team->used, &r->charged);
        team_mark_dirty(s, r->job->account->team);
        r->charged = (struct vec){{0}};
    }
}

/*
 * Counts the reserved job under its team's limit already, so that nothing
 * else takes the room that work is being stopped for.
 */
void
reservation_charge(struct sched *s)
{
    struct reservation *r = &s->reservation;

    r->charged = vec_scale(&r->size, r->need);
    vec_add(&r->job->account->team->used, &r->charged);
}

void
reservation_drop(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct worker *w;

    if (r->job == NULL) {
        return;
    }
    while ((w = link_first(&r->workers)) != NULL) {
        reservation_leave(s, w);
        worker_update(s, w);
        worker_mark_dirty(s, w);
    }
    uncharge(s);
    r->job = NULL;
    timer_clear(s, &s->shadow);
    reserve_soon(s);
}

/* Gives up slots that are not free, once there are more than needed. */
static void
give_up_surplus(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct link *next;

    for (struct link *h = r->workers.next; h != &r->workers; h = next) {
        next = h->next;
        if (r->held <= r->need) {
            return;
        }
        reservation_yield(s, h->owner, r->held - r->need);
    }
}

/*
 * A worker that gained room gives to the reservation first, also in place of
 * slots held elsewhere that are not free yet.
 */
void
reservation_offer(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    struct vec avail;
    int64_t slots;

    if (r->job == NULL || r->ready >= r->need || !w->by_fill.in_tree) {
        return;
    }
    avail = worker_avail(w);
    slots = slots_in(&avail, &r->size);
    slots = slots > r->need - r->ready ? r->need - r->ready : slots;
    if (slots > 0) {
        reservation_hold(s, w, slots);
        give_up_surplus(s);
    }
}

/* Slots that the end of l adds on its worker, by running work so far. */
static int64_t
slots_gained(struct sched *s, const struct lease *l)
{
    struct worker *w = l->worker;
    int64_t before;

    if (!w->by_fill.in_tree ||
        !vec_covers(&w->by_capacity.own, &s->reservation.size)) {
        return 0;
    }
    if (w->shadow_mark != s->shadow_mark) {
        w->shadow_mark = s->shadow_mark;
        w->shadow_free = room_with_held(w);
    }
    before = slots_in(&w->shadow_free, &s->reservation.size);
    vec_add(&w->shadow_free, &l->size);
    return slots_in(&w->shadow_free, &s->reservation.size) - before;
}

/* Holds what w will have free by then, even if it is not free yet: else
 * small tasks would take each part of a slot before the slot is whole. */
static void
hold_early(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    int64_t slots = slots_in(&w->shadow_free, &r->size) - w->slots;

    slots = slots > r->need - r->held ? r->need - r->held : slots;
    if (slots > 0) {
        reservation_hold(s, w, slots);
    }
}

/* A task that outlasts what was expected goes on for a part of its age, as run
 * times have long tails; it is not about to end. */
static bool
expect_later(struct sched *s, struct lease *l)
{
    if (l->ends.key >= s->now || l->stopping) {
        return false;
    }
    fit_remove(&s->ends, &l->ends);
    l->ends.key = s->now + (s->now - l->began) / 2 + 1;
    fit_insert(&s->ends, &l->ends);
    return true;
}

/*
 * Foresees when the reservation can be complete if tasks end as expected, and
 * holds room on the workers that get there first. The time is at most too
 * early, so that backfill is at most refused for nothing.
 */
void
reservation_foresee(struct sched *s)
{
    struct reservation *r = &s->reservation;
    int64_t missing = r->need - r->ready;
    struct vec any = {{0}};
    struct fit_node *n = fit_next(&s->ends, &any, NULL);

    s->shadow_mark++;
    r->shadow = s->now;
    for (int i = 0; n != NULL && i < SHADOW_STEPS && missing > 0; i++) {
        struct lease *l = n->owner;
        struct fit_node *next = fit_next(&s->ends, &any, n);
        if (!expect_later(s, l)) {
            int64_t gained = slots_gained(s, l);
            if (gained > 0) {
                missing -= gained;
                hold_early(s, l->worker);
            }
            r->shadow = n->key > s->now ? n->key : s->now;
        }
        n = next;
    }
    timer_set(s, &s->shadow,
              r->shadow > s->now ? r->shadow : s->now + SHADOW_REPEAT_NS);
}

/* Starts to keep freed capacity for j. Returns false if another job has it. */
bool
reservation_start(struct sched *s, struct job *j)
{
    struct reservation *r = &s->reservation;

    if (r->job != NULL) {
        return false;
    }
    r->job = j;
    r->size = j->ask;
    r->need = j->class == SCHED_CLASS_GANG ? j->waiting.count : 1;
    r->held = 0;
    r->ready = 0;
    r->most = 0;
    r->progress = s->now;
    s->stats.reservations++;
    return true;
}

/* What was foreseen did not happen: the slots that are not free yet are free
 * to be held where they are expected first by now. */
static void
give_up_waiting(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct link *next;

    for (struct link *h = r->workers.next; h != &r->workers; h = next) {
        next = h->next;
        reservation_yield(s, h->owner, INT64_MAX);
    }
}

/* Backfilled tasks that did not end in time make room. */
void
reservation_overdue(struct sched *s)
{
    struct reservation *r = &s->reservation;

    if (r->job == NULL) {
        return;
    }
    for (struct link *h = r->workers.next; h != &r->workers; h = h->next) {
        struct worker *w = h->owner;
        if (w->slots_free == w->slots) {
            continue;
        }
        for (struct link *l = w->leases.next; l != &w->leases; l = l->next) {
            struct lease *lease = l->owner;
            if (lease->backfill && lease_preemptible(lease)) {
                s->stats.preemptions++;
                lease_stop(s, lease, s->config.checkpoint_ns);
            }
        }
    }
    give_up_waiting(s);
    reservation_foresee(s);
}

/* Places the reserved job once all its slots are free. */
bool
reservation_complete(struct sched *s)
{
    struct reservation *r = &s->reservation;
    struct job *j = r->job;
    struct worker **picks;
    size_t count = 0;
    struct vec need;

    if (j == NULL || r->ready < r->need) {
        return false;
    }
    need = vec_scale(&j->ask, r->need);
    uncharge(s);
    if (j->queue == NULL || !vec_covers(&r->size, &j->ask) ||
        !team_allows(j->account->team, j, &need)) {
        reservation_drop(s);
        return false;
    }
    picks = mem_alloc((size_t)r->need * sizeof(struct worker *));
    for (struct link *h = r->workers.next; h != &r->workers; h = h->next) {
        struct worker *w = h->owner;
        for (int64_t i = 0; i < w->slots_free; i++) {
            if (count < (size_t)r->need) {
                picks[count++] = w;
            }
        }
    }
    reservation_drop(s);
    if (j->class == SCHED_CLASS_GANG) {
        gang_place(s, j, picks, count);
    }
    else {
        lease_place(s, j, job_take(s, j), picks[0], &j->ask);
        if (j->waiting.count == 0) {
            queue_remove(s, j);
        }
    }
    mem_free(picks);
    return true;
}
