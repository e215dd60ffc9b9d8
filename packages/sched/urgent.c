#include "preempt.h"

#include "mem.h"

/* Keeps room on w for the next task of j, for at most wait_ns. */
void
claim_room(struct sched *s, struct job *j, struct worker *w, int64_t wait_ns)
{
    struct claim *c = mem_zalloc(1, sizeof(*c));
    struct team *t = j->account->team;

    c->job = j;
    c->task = job_take(s, j);
    c->worker = w;
    c->size = j->ask;
    link_init(&c->on_worker, c);
    link_init(&c->of_job, c);
    link_init(&c->of_team, c);
    link_insert_before(&w->claims, &c->on_worker);
    link_insert_before(&j->claims, &c->of_job);
    link_insert_before(&t->claims, &c->of_team);
    timer_init(&c->timer, TIMER_CLAIM, c);
    timer_set(s, &c->timer, s->now + wait_ns);
    j->live++;
    vec_add(&t->used, &c->size);
    vec_add(&w->claimed, &c->size);
    worker_update(s, w);
}

/*
 * Makes room for the next task of an urgent job by ending what is over its
 * share and cheapest to stop. Returns whether a claim waits for that room.
 */
bool
urgent_preempt(struct sched *s, struct job *j)
{
    struct plan best;

    if (!j->urgent || j->class == SCHED_CLASS_GANG ||
        !preempt_plan(s, j, &best)) {
        return false;
    }
    for (size_t i = 0; i < best.count; i++) {
        s->stats.preemptions++;
        lease_stop(s, best.victims[i], s->config.preempt_ns);
    }
    claim_room(s, j, best.worker, s->config.claim_ns);
    if (best.reach == REACH_ANY) {
        reservation_yield(s, best.worker, INT64_MAX);
    }
    if (best.count == 0) {
        worker_mark_dirty(s, best.worker);
    }
    return true;
}

/* Unlinks a claim; the task is then neither waiting nor placed. */
static void
release(struct sched *s, struct claim *c)
{
    vec_sub(&c->job->account->team->used, &c->size);
    team_mark_dirty(s, c->job->account->team);
    vec_sub(&c->worker->claimed, &c->size);
    c->job->live--;
    link_remove(&c->on_worker);
    link_remove(&c->of_job);
    link_remove(&c->of_team);
    timer_clear(s, &c->timer);
    mem_free(c);
}

void
claim_drop(struct sched *s, struct claim *c)
{
    struct worker *w = c->worker;
    struct job *j = c->job;
    uint32_t task = c->task;

    release(s, c);
    worker_update(s, w);
    worker_mark_dirty(s, w);
    job_put_back(s, j, task);
    job_queue(s, j);
}

void
claims_drop_worker(struct sched *s, struct worker *w)
{
    struct claim *c;

    while ((c = link_first(&w->claims)) != NULL) {
        claim_drop(s, c);
    }
}

/* The job is ending and marked so. */
void
claims_drop_job(struct sched *s, struct job *j)
{
    struct claim *c;

    while ((c = link_first(&j->claims)) != NULL) {
        claim_drop(s, c);
    }
}

/* Places urgent tasks whose room has become free, in order of claim. */
void
claims_serve(struct sched *s, struct worker *w)
{
    struct claim *c;

    while ((c = link_first(&w->claims)) != NULL) {
        struct job *j = c->job;
        uint32_t task = c->task;
        struct vec size = c->size;
        struct vec room = worker_avail(w);
        /* What the reservation holds here leaves room for claims. */
        vec_add(&room, &w->claimed);
        vec_add(&room, &w->reserved);
        if (!w->by_fill.in_tree || !vec_covers(&room, &size)) {
            return;
        }
        if (!vec_covers(&j->account->team->limit, &j->account->team->used)) {
            claim_drop(s, c); /* the limit was lowered meanwhile */
            continue;
        }
        release(s, c);
        lease_place(s, j, task, w, &size);
    }
}
