#include "preempt.h"

#include "mem.h"

/* Places all waiting tasks of j, one on each pick. */
void
gang_place(struct sched *s, struct job *j, struct worker **picks, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        uint32_t task = job_take(s, j);
        lease_place(s, j, task, picks[i], &j->ask);
    }
    team_unhold(s, j);
    queue_remove(s, j);
}

/* Counts room on w as taken while a gang is being planned. */
void
gang_occupy(struct sched *s, struct worker *w, const struct vec *size,
            int sign)
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
        gang_occupy(s, w, &j->ask, 1);
        picks[found++] = w;
    }
    for (size_t i = 0; i < found; i++) {
        gang_occupy(s, picks[i], &j->ask, -1);
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
            reservation_hold(s, picks[i], 1);
        }
        reservation_foresee(s);
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

    if (s->reservation.job == j &&
        (!j->urgent || s->reservation.charged.d[DIM_TASKS] > 0)) {
        queue_move(s, q, &q->account->lanes[q->lane].gangs);
        return false;
    }
    if (!j->urgent && s->reservation.job != NULL &&
        !vec_covers(&s->free_sum, &need)) {
        if (!park_too_large(s, j)) {
            queue_move(s, q, &q->account->lanes[q->lane].gangs);
        }
        return false;
    }
    picks = mem_alloc(count * sizeof(struct worker *));
    found = pick_all(s, j, picks, count);
    all = found == count;
    if (all) {
        if (s->reservation.job == j) {
            reservation_drop(s);
        }
        gang_place(s, j, picks, count);
    }
    else if (j->urgent && urgent_gang_preempt(s, j)) {
        queue_move(s, q, &q->account->lanes[q->lane].gangs);
    }
    else {
        wait_for_room(s, q, j, picks, found);
    }
    mem_free(picks);
    return all;
}
