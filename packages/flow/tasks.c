/*
 * Runs of tasks: their start on a worker, their end, and the resources that
 * they use.
 */
#include "internal.h"

struct flow_task *
flow_task(const struct flow_state *s, const Flow__Task *ref,
          struct flow_step **step)
{
    struct flow_job *j = flow_job(s, ref->job);
    struct flow_occurrence *o =
        j == NULL ? NULL : flow_occurrence(j, ref->occurrence);

    if (o == NULL || ref->step >= j->spec->n_steps ||
        ref->index >= o->steps[ref->step].count) {
        return NULL;
    }
    *step = &o->steps[ref->step];
    return &(*step)->tasks[ref->index];
}

static void
add_size(struct flow_size *to, struct flow_size size)
{
    to->cpu_milli += size.cpu_milli;
    to->memory_mib += size.memory_mib;
    to->accelerators += size.accelerators;
}

static void
subtract_size(struct flow_size *from, struct flow_size size)
{
    from->cpu_milli -= size.cpu_milli;
    from->memory_mib -= size.memory_mib;
    from->accelerators -= size.accelerators;
}

/* Returns how much of a worker's capacity a task uses. Best-effort tasks use
 * only the processor time that others leave, so their processor demand is 0.
 */
static struct flow_size
worker_demand(const struct flow_step *step)
{
    struct flow_size size = flow_step_size(step);

    if (!flow_step_uses_cpu_capacity(step)) {
        size.cpu_milli = 0;
    }
    return size;
}

/* Best-effort tasks and those with a tail-latency target are counted, because
 * the two do not share a worker; tasks without an end, because they shorten
 * its lease. */
static void
adjust_kind_count(struct flow_worker *w, const struct flow_step *step,
                  int change)
{
    if (step->spec->endless) {
        w->endless += (uint32_t)change;
    }
    if (step->spec->best_effort) {
        w->best_effort += (uint32_t)change;
    }
    else if (step->spec->tail_target_ms > 0) {
        w->serving += (uint32_t)change;
    }
}

void
task_charge(struct flow_state *s, struct flow_job *j, struct flow_step *step,
            struct flow_task *t)
{
    struct flow_worker *w = flow_worker(s, t->worker);

    t->assigned = true;
    step->assigned++;
    j->assigned++;
    add_size(&j->team->used, flow_step_size(step));
    if (w != NULL) {
        w->tasks++;
        adjust_kind_count(w, step, 1);
        add_size(&w->used, worker_demand(step));
    }
}

void
task_release(struct flow_state *s, struct flow_job *j, struct flow_step *step,
             struct flow_task *t)
{
    struct flow_worker *w = flow_worker(s, t->worker);

    t->assigned = false;
    t->worker = 0;
    step->assigned--;
    j->assigned--;
    subtract_size(&j->team->used, flow_step_size(step));
    if (w != NULL) {
        w->tasks--;
        adjust_kind_count(w, step, -1);
        subtract_size(&w->used, worker_demand(step));
    }
}

void
task_start_run(struct flow_state *s, const Flow__Task *ref)
{
    struct flow_job *j = flow_job(s, ref->job);
    struct flow_step *step;
    struct flow_task *t = flow_task(s, ref, &step);

    if (t == NULL || t->assigned || t->done || ref->run <= t->run ||
        j->state > FLOW_JOB_RUNNING || flow_worker(s, ref->worker) == NULL) {
        return;
    }
    t->run = ref->run;
    t->worker = ref->worker;
    task_charge(s, j, step, t);
    if (!j->started) {
        j->started = true;
        j->state = FLOW_JOB_RUNNING;
        j->queue->pending--;
    }
}

/* One finished task of a gang completes all its tasks. Endless steps are never
 * done: their tasks start again. */
static void
mark_done(struct flow_step *step, struct flow_task *t)
{
    if (step->spec->endless) {
        return;
    }
    if (!step->spec->gang) {
        step->done += !t->done;
        t->done = true;
        return;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        step->tasks[i].done = true;
    }
    step->done = step->count;
}

static void
store_checkpoint(struct flow_step *step, struct flow_task *t, const char *text)
{
    if (text == NULL || text[0] == '\0') {
        return;
    }
    str_replace(&t->checkpoint, str_of(text));
    for (uint32_t i = 0; step->spec->gang && i < step->count; i++) {
        str_replace(&step->tasks[i].checkpoint, str_of(text));
    }
}

/* A run of a gang counts as one failure, however many of its tasks fail. */
static void
count_failure(struct flow_step *step, struct flow_task *t)
{
    t->failed_on = t->worker;
    if (t->failures < UINT16_MAX) {
        t->failures++;
    }
    if (step->spec->gang && t->run > step->gang_failed_run) {
        step->gang_failed_run = t->run;
        step->gang_failures++;
    }
}

void
task_end_run(struct flow_state *s, const Flow__End *end)
{
    struct flow_job *j = flow_job(s, end->task->job);
    struct flow_step *step;
    struct flow_task *t = flow_task(s, end->task, &step);

    if (t == NULL || !t->assigned || t->run != end->task->run ||
        t->worker != end->task->worker) {
        return;
    }
    store_checkpoint(step, t, end->checkpoint);
    if (end->how == FLOW_END_DONE) {
        mark_done(step, t);
    }
    else if (end->how == FLOW_END_FAILED && !t->done) {
        count_failure(step, t);
    }
    task_release(s, j, step, t);
    job_update_state(s, j);
}

static void
visit_job_tasks(struct flow_job *j, uint32_t worker, flow_visit_fn *visit,
                void *arg)
{
    for (size_t i = 0; i < j->occurrence_count; i++) {
        struct flow_occurrence *o = &j->occurrences[i];

        for (size_t k = 0; k < j->spec->n_steps; k++) {
            struct flow_step *step = &o->steps[k];

            for (uint32_t n = 0; step->assigned > 0 && n < step->count; n++) {
                if (step->tasks[n].assigned &&
                    (worker == 0 || step->tasks[n].worker == worker)) {
                    visit(arg, j, o, step, n);
                }
            }
        }
    }
}

void
flow_visit_assigned(const struct flow_state *s, uint32_t worker,
                    flow_visit_fn *visit, void *arg)
{
    struct flow_job *next;

    for (struct flow_job *j = s->first_live; j != NULL; j = next) {
        next = j->next;
        if (j->assigned > 0) {
            visit_job_tasks(j, worker, visit, arg);
        }
    }
}
