#include "preempt.h"

#include "mem.h"

/*
 * Creates a claim: keeps room on w for the next task of j, for at most
 * wait_ns.
 */
void
claim_create(struct sched *s, struct job *j, struct worker *w, int64_t wait_ns)
{
    struct claim *c = mem_zalloc(1, sizeof(*c));
    struct team *t = j->account->team;

    c->job = j;
    c->task = job_take_task(s, j);
    c->worker = w;
    c->size = j->request;
    link_init(&c->on_worker, c);
    link_init(&c->of_job, c);
    link_init(&c->of_team, c);
    link_insert_before(&w->claims, &c->on_worker);
    link_insert_before(&j->claims, &c->of_job);
    link_insert_before(&t->claims, &c->of_team);
    timer_init(&c->timer, TIMER_CLAIM, c);
    timer_set(s, &c->timer, s->now + wait_ns);
    j->active_count++;
    vec_add(&t->used, &c->size);
    vec_add(&w->claimed, &c->size);
    worker_update_indexes(s, w);
}

/*
 * Stops the cheapest leases that make room for the next task of an urgent job,
 * and creates a claim for that room. Returns false if no such leases were
 * found.
 */
bool
urgent_preempt(struct sched *s, struct job *j)
{
    struct preempt_plan best;

    if (!j->urgent || j->class == SCHED_CLASS_GANG ||
        !preempt_find_plan(s, j, &best)) {
        return false;
    }
    for (size_t i = 0; i < best.count; i++) {
        s->stats.preemptions++;
        lease_stop(s, best.victims[i], s->config.preempt_grace_ns);
    }
    claim_create(s, j, best.worker, s->config.claim_timeout_ns);
    if (best.scope == SCOPE_ANY) {
        reservation_release_busy_slots(s, best.worker, INT64_MAX);
    }
    if (best.count == 0) {
        worker_mark_dirty(s, best.worker);
    }
    return true;
}

/* Frees a claim. Its task is then neither waiting nor placed. */
static void
release_claim(struct sched *s, struct claim *c)
{
    vec_sub(&c->job->account->team->used, &c->size);
    team_mark_dirty(s, c->job->account->team);
    vec_sub(&c->worker->claimed, &c->size);
    c->job->active_count--;
    link_remove(&c->on_worker);
    link_remove(&c->of_job);
    link_remove(&c->of_team);
    timer_clear(s, &c->timer);
    mem_free(c);
}

void
claim_cancel(struct sched *s, struct claim *c)
{
    struct worker *w = c->worker;
    struct job *j = c->job;
    uint32_t task = c->task;

    release_claim(s, c);
    worker_update_indexes(s, w);
    worker_mark_dirty(s, w);
    job_return_task(s, j, task);
    job_enqueue(s, j);
}

void
claims_cancel_on_worker(struct sched *s, struct worker *w)
{
    struct claim *c;

    while ((c = link_first(&w->claims)) != NULL) {
        claim_cancel(s, c);
    }
}

/*
 * Cancels all claims of a job. The caller has marked the job as ending, so
 * that its tasks are not queued again.
 */
void
claims_cancel_of_job(struct sched *s, struct job *j)
{
    struct claim *c;

    while ((c = link_first(&j->claims)) != NULL) {
        claim_cancel(s, c);
    }
}

/*
 * Places the tasks whose claimed room on w has become free, in the order of
 * the claims.
 */
void
claims_place_ready(struct sched *s, struct worker *w)
{
    struct claim *c;

    while ((c = link_first(&w->claims)) != NULL) {
        struct job *j = c->job;
        uint32_t task = c->task;
        struct vec size = c->size;
        struct vec room = worker_available(w);
        /* Claims may use what the reservation holds on this worker. */
        vec_add(&room, &w->claimed);
        vec_add(&room, &w->reserved);
        if (!w->by_fill.in_tree || !vec_covers(&room, &size)) {
            return;
        }
        if (!vec_covers(&j->account->team->limit, &j->account->team->used)) {
            claim_cancel(s, c); /* the team's limit was lowered since */
            continue;
        }
        release_claim(s, c);
        lease_place(s, j, task, w, &size);
    }
}
