#include "core.h"

#include "mem.h"

/* Leases looked at to foresee when the reservation can be complete. */
static const int SHADOW_STEPS = 512;
static const int64_t SHADOW_REPEAT_NS = 5 * NS_PER_S;
/* Without a new slot for this long, another job may reserve. */
static const int64_t STALL_NS = 300 * NS_PER_S;
/* A task of a quarter of a VM is big enough to be starved by small ones. */
static const int64_t BIG_PART = 4;
/* Gangs above the fleet's size that are looked at again per timer. */
static const int PARKED_CHECKS = 4;

static void
hold(struct sched *s, struct worker *w, int64_t slots)
{
    struct reservation *r = &s->reservation;
    struct vec size = vec_scale(&r->size, slots);

    w->slots += slots;
    vec_add(&w->reserved, &size);
    r->held += slots;
    r->progress = s->now;
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
    r->job = NULL;
    timer_clear(s, &s->shadow);
    reserve_soon(s);
}

/* A worker that gained room gives to the reservation first. */
void
reservation_offer(struct sched *s, struct worker *w)
{
    struct reservation *r = &s->reservation;
    struct vec avail;
    int64_t slots;

    if (r->job == NULL || r->held >= r->need || !w->by_fill.in_tree) {
        return;
    }
    avail = worker_avail(w);
    slots = slots_in(&avail, &r->size);
    slots = slots > r->need - r->held ? r->need - r->held : slots;
    if (slots > 0) {
        hold(s, w, slots);
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
        w->shadow_free = worker_avail(w);
    }
    before = slots_in(&w->shadow_free, &s->reservation.size);
    vec_add(&w->shadow_free, &l->size);
    return slots_in(&w->shadow_free, &s->reservation.size) - before;
}

/*
 * When the reservation can be complete if tasks end as expected. It is at
 * most too early, so that backfill is at most refused for nothing.
 */
static void
foresee(struct sched *s)
{
    struct reservation *r = &s->reservation;
    int64_t missing = r->need - r->ready;
    struct vec any = {{0}};
    struct fit_node *n = fit_next(&s->ends, &any, NULL);

    s->shadow_mark++;
    r->shadow = s->now;
    for (int i = 0; n != NULL && i < SHADOW_STEPS && missing > 0; i++) {
        missing -= slots_gained(s, n->owner);
        r->shadow = n->key > s->now ? n->key : s->now;
        n = fit_next(&s->ends, &any, n);
    }
    timer_set(s, &s->shadow,
              r->shadow > s->now ? r->shadow : s->now + SHADOW_REPEAT_NS);
}

static struct vec
one_slot(const struct job *j)
{
    return j->ask;
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
    r->size = one_slot(j);
    r->need = j->class == SCHED_CLASS_GANG ? j->waiting.count : 1;
    r->held = 0;
    r->ready = 0;
    r->progress = s->now;
    s->stats.reservations++;
    foresee(s);
    return true;
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
    foresee(s);
}

static void
place_all(struct sched *s, struct job *j, struct worker **picks, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        uint32_t task = job_take(s, j);
        lease_place(s, j, task, picks[i], &j->ask);
    }
    team_unhold(s, j);
    queue_remove(s, j);
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
    if (j->queue == NULL || !team_allows(j->account->team, j, &need)) {
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
        place_all(s, j, picks, count);
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

static void
occupy(struct sched *s, struct worker *w, const struct vec *size, int sign)
{
    struct vec v = vec_scale(size, sign);

    vec_add(&w->used, &v);
    worker_update(s, w);
}

/* Finds workers for up to count tasks; returns how many were found. */
static size_t
pick_all(struct sched *s, struct job *j, struct worker **picks, size_t count)
{
    size_t found = 0;

    while (found < count) {
        struct worker *w = policy_pick(s, j);
        if (w == NULL) {
            break;
        }
        occupy(s, w, &j->ask, 1);
        picks[found++] = w;
    }
    for (size_t i = 0; i < found; i++) {
        occupy(s, picks[i], &j->ask, -1);
    }
    return found;
}

/* Parks a gang that the whole fleet could not hold. */
static bool
park_too_large(struct sched *s, struct job *j)
{
    int64_t slots = fleet_slots(s, &j->ask, j->waiting.count);

    if (slots >= (int64_t)j->waiting.count) {
        return false;
    }
    job_park(s, j,
             slots == 0 ? SCHED_REASON_NO_WORKER : SCHED_REASON_TOO_MANY);
    return true;
}

static void
wait_for_room(struct sched *s, struct queue *q, struct job *j,
              struct worker **picks, size_t found)
{
    if (j->ask.d[DIM_CPU] != j->size.d[DIM_CPU] ||
        j->ask.d[DIM_MEMORY] != j->size.d[DIM_MEMORY]) {
        /* A learned size must not make a gang too large for the fleet. */
        if (fleet_slots(s, &j->ask, j->waiting.count) <
            (int64_t)j->waiting.count) {
            j->ask = j->size;
        }
    }
    if (park_too_large(s, j)) {
        return;
    }
    if (reservation_start(s, j)) {
        for (size_t i = 0; i < found; i++) {
            hold(s, picks[i], 1);
        }
    }
    queue_move(s, q, &q->account->lanes[q->lane].gangs);
}

/* Places all waiting tasks of the gang or none. */
bool
gang_try(struct sched *s, struct queue *q, struct job *j)
{
    size_t count = j->waiting.count;
    struct vec need = job_need(j);
    struct worker **picks;
    size_t found;
    bool all;

    if (s->reservation.job == j) {
        queue_move(s, q, &q->account->lanes[q->lane].gangs);
        return false;
    }
    if (s->reservation.job != NULL && !vec_covers(&s->free_sum, &need)) {
        if (!park_too_large(s, j)) {
            queue_move(s, q, &q->account->lanes[q->lane].gangs);
        }
        return false;
    }
    picks = mem_alloc(count * sizeof(struct worker *));
    found = pick_all(s, j, picks, count);
    all = found == count;
    if (all) {
        place_all(s, j, picks, count);
    }
    else {
        wait_for_room(s, q, j, picks, found);
    }
    mem_free(picks);
    return all;
}

/* Arms the timer that looks after gangs and big tasks. */
void
reserve_soon(struct sched *s)
{
    if (s->reserve.node.pos == 0) {
        timer_set(s, &s->reserve, s->now + s->config.gang_retry_ns);
    }
}

/* The first job of the lane that may reserve, NULL if there is none. */
static struct queue *
reserve_candidate(struct sched *s, struct lane *l)
{
    struct fit_node *gang = fit_min(&l->gangs);
    struct fit_node *blocked = fit_min(&l->blocked);
    const struct job *j;

    if (gang != NULL || blocked == NULL) {
        return gang == NULL ? NULL : gang->owner;
    }
    j = link_first(&((struct queue *)blocked->owner)->jobs);
    if (s->now - j->enqueued < s->config.reserve_after_ns) {
        return NULL;
    }
    for (int i = 0; i < DIM_TASKS; i++) {
        if (s->capacity.root != NULL && j->ask.d[i] > 0 &&
            j->ask.d[i] * BIG_PART >= s->capacity.root->max.d[i]) {
            return blocked->owner;
        }
    }
    return NULL;
}

static struct queue *
next_to_reserve(struct sched *s, bool *more)
{
    struct queue *best = NULL;
    double best_key = 0;

    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a = s->accounts[i];
        for (int lane = 0; lane < LANES; lane++) {
            struct queue *q = reserve_candidate(s, &a->lanes[lane]);
            double key;
            *more = *more || a->lanes[lane].gangs.count > 0 ||
                    a->lanes[lane].blocked.count > 0;
            if (q == NULL) {
                continue;
            }
            key = account_key(s, a, q->node.key);
            if (best == NULL || q->lane < best->lane ||
                (q->lane == best->lane && key < best_key)) {
                best = q;
                best_key = key;
            }
        }
    }
    return best;
}

/* One gang without a reservation looks whether it fits by now. */
static void
retry_one(struct sched *s)
{
    for (size_t i = 0; i < s->account_count; i++) {
        struct account *a;
        s->retry_cursor = (s->retry_cursor + 1) % s->account_count;
        a = s->accounts[s->retry_cursor];
        for (int lane = 0; lane < LANES; lane++) {
            struct fit_node *n = fit_min(&a->lanes[lane].gangs);
            if (n != NULL) {
                queue_move(s, n->owner, &a->lanes[lane].ready);
                return;
            }
        }
    }
}

static void
recheck_parked(struct sched *s)
{
    for (int i = 0; s->recheck_left > 0 && i < PARKED_CHECKS; i++) {
        struct job *j = link_first(&s->parked_gangs);
        s->recheck_left--;
        if (j == NULL) {
            s->recheck_left = 0;
            break;
        }
        if (fleet_slots(s, &j->size, j->waiting.count) >=
            (int64_t)j->waiting.count) {
            job_unpark(s, j);
        }
        else {
            link_remove(&j->parked);
            link_insert_before(&s->parked_gangs, &j->parked);
        }
    }
}

/* Lets the next job reserve, and one gang try without. */
void
reserve_next(struct sched *s)
{
    bool more = false;
    struct reservation *r = &s->reservation;
    struct queue *q = next_to_reserve(s, &more);

    recheck_parked(s);
    more = more || s->recheck_left > 0;
    if (r->job != NULL && q != NULL && s->now - r->progress >= STALL_NS &&
        r->ready < r->need) {
        r->job->enqueued = s->now;
        reservation_drop(s);
        q = next_to_reserve(s, &more);
    }
    if (r->job == NULL && q != NULL) {
        struct job *j = link_first(&q->jobs);
        if (j->class == SCHED_CLASS_GANG) {
            queue_move(s, q, &q->account->lanes[q->lane].ready);
        }
        else {
            (void)reservation_start(s, j);
        }
    }
    else if (q != NULL) {
        retry_one(s);
    }
    if (more) {
        reserve_soon(s);
    }
}
