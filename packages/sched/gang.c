#include "preempt.h"

#include "mem.h"

/*
 * Places all waiting tasks of j, one on each element of picks. The same worker
 * may occur several times.
 */
void
gang_place_tasks(struct sched *s, struct job *j, struct worker **picks,
                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        uint32_t task = job_take_task(s, j);
        lease_place(s, j, task, picks[i], &j->request);
    }
    team_release_hold(s, j);
    queue_remove(s, j);
}

/*
 * Adds the size of a task to the use of w while a gang is being planned, or
 * subtracts it if sign is -1.
 */
void
gang_add_planned_use(struct sched *s, struct worker *w, const struct vec *size,
                     int sign)
{
    struct vec v = vec_scale(size, sign);

    vec_add(&w->used, &v);
    worker_update_indexes(s, w);
}

/* Finds workers for up to count tasks; returns how many were found. */
static size_t
pick_workers(struct sched *s, struct job *j, struct worker **picks,
             size_t count)
{
    size_t found = 0;

    while (found < count) {
        struct worker *w = policy_pick_worker(s, j);
        if (w == NULL) {
            break;
        }
        gang_add_planned_use(s, w, &j->request, 1);
        picks[found++] = w;
    }
    for (size_t i = 0; i < found; i++) {
        gang_add_planned_use(s, picks[i], &j->request, -1);
    }
    return found;
}

/*
 * Parks a gang that the fleet could not hold even with all workers empty.
 * Returns whether it was parked.
 */
static bool
park_if_too_large(struct sched *s, struct job *j)
{
    int64_t slots = fleet_count_slots(s, &j->request, j->waiting.count);

    if (slots >= (int64_t)j->waiting.count) {
        return false;
    }
    job_park(s, j,
             slots == 0 ? SCHED_REASON_NO_WORKER
                        : SCHED_REASON_TOO_MANY_TASKS);
    return true;
}

static void
wait_for_room(struct sched *s, struct queue *q, struct job *j,
              struct worker **picks, size_t found)
{
    if (j->request.d[DIM_CPU] != j->size.d[DIM_CPU] ||
        j->request.d[DIM_MEMORY] != j->size.d[DIM_MEMORY]) {
        /* A learned size must not make a gang too large for the fleet. */
        if (fleet_count_slots(s, &j->request, j->waiting.count) <
            (int64_t)j->waiting.count) {
            j->request = j->size;
        }
    }
    if (park_if_too_large(s, j)) {
        return;
    }
    if (reservation_start(s, j)) {
        for (size_t i = 0; i < found; i++) {
            reservation_hold_slots(s, picks[i], 1);
        }
        reservation_forecast(s);
    }
    queue_move(s, q, &q->account->lanes[q->lane].gangs);
}

/*
 * Places all waiting tasks of a gang, or none. Returns whether they were
 * placed.
 */
bool
gang_try_place(struct sched *s, struct queue *q, struct job *j)
{
    size_t count = j->waiting.count;
    struct vec need = job_needed_room(j);
    struct worker **picks;
    size_t found;
    bool all;

    if (s->reservation.job == j &&
        (!j->urgent || s->reservation.charged_to_team.d[DIM_TASKS] > 0)) {
        queue_move(s, q, &q->account->lanes[q->lane].gangs);
        return false;
    }
    if (!j->urgent && s->reservation.job != NULL &&
        !vec_covers(&s->fleet_free, &need)) {
        if (!park_if_too_large(s, j)) {
            queue_move(s, q, &q->account->lanes[q->lane].gangs);
        }
        return false;
    }
    picks = mem_alloc(count * sizeof(struct worker *));
    found = pick_workers(s, j, picks, count);
    all = found == count;
    if (all) {
        if (s->reservation.job == j) {
            reservation_release(s);
        }
        gang_place_tasks(s, j, picks, count);
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
