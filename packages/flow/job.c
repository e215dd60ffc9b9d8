/*
 * Jobs and their occurrences, from acceptance to removal.
 */
#include "internal.h"

#include <string.h>

#include "mem.h"

static void
append_live(struct flow_state *s, struct flow_job *j)
{
    j->prev = s->last_live;
    if (s->last_live == NULL) {
        s->first_live = j;
    }
    else {
        s->last_live->next = j;
    }
    s->last_live = j;
    s->live_count++;
    j->team->live_jobs++;
}

void
job_unlink_live(struct flow_state *s, struct flow_job *j)
{
    *(j->prev == NULL ? &s->first_live : &j->prev->next) = j->next;
    *(j->next == NULL ? &s->last_live : &j->next->prev) = j->prev;
    j->prev = NULL;
    j->next = NULL;
    s->live_count--;
    j->team->live_jobs--;
}

struct flow_occurrence *
job_add_occurrence(struct flow_job *j, uint32_t number)
{
    struct flow_occurrence *o;

    j->occurrences = mem_realloc(j->occurrences, j->occurrence_count + 1,
                                 sizeof(*j->occurrences));
    o = &j->occurrences[j->occurrence_count++];
    memset(o, 0, sizeof(*o));
    o->number = number;
    o->steps = mem_zalloc(j->spec->n_steps, sizeof(*o->steps));
    for (size_t i = 0; i < j->spec->n_steps; i++) {
        o->steps[i].spec = j->spec->steps[i];
        o->steps[i].count = j->spec->steps[i]->count;
        o->steps[i].tasks =
            mem_zalloc(o->steps[i].count, sizeof(struct flow_task));
    }
    return o;
}

static struct str
queue_address(const struct flow_queue *q)
{
    struct buf text = {0};
    struct str out;

    buf_append_str(&text, q->host);
    buf_append_str(&text, q->prefix);
    out = str_dup(buf_str(&text));
    buf_free(&text);
    return out;
}

struct flow_job *
job_create(struct flow_state *s, uint64_t id, struct str queue,
           struct str team, struct str address, Flow__JobSpec *spec,
           int64_t wall_ms)
{
    struct flow_job *j = mem_zalloc(1, sizeof(*j));

    j->id = id;
    j->queue = config_ensure_queue(s, queue);
    j->team = config_ensure_team(s, team);
    j->queue->jobs++;
    j->team->jobs++;
    j->address = address.len > 0 ? str_dup(address) : queue_address(j->queue);
    j->spec = spec;
    j->wall_ms = wall_ms;
    map_put_u64(s->jobs, id, j);
    append_live(s, j);
    return j;
}

static void
free_occurrence(struct flow_job *j, struct flow_occurrence *o)
{
    for (size_t i = 0; i < j->spec->n_steps; i++) {
        for (uint32_t k = 0; k < o->steps[i].count; k++) {
            str_free(&o->steps[i].tasks[k].checkpoint);
        }
        mem_free(o->steps[i].tasks);
        mem_free(o->steps[i].approval);
    }
    mem_free(o->steps);
}

static void
free_occurrences(struct flow_job *j)
{
    for (size_t i = 0; i < j->occurrence_count; i++) {
        free_occurrence(j, &j->occurrences[i]);
    }
    mem_free(j->occurrences);
    j->occurrences = NULL;
    j->occurrence_count = 0;
}

void
job_free(struct flow_job *j)
{
    free_occurrences(j);
    j->queue->jobs--;
    j->team->jobs--;
    str_free(&j->address);
    flow__job_spec__free_unpacked(j->spec, NULL);
    mem_free(j);
}

static bool
is_step_failed(const struct flow_job *j, const struct flow_step *step)
{
    if (step->spec->endless) {
        return false;
    }
    if (step->spec->gang) {
        return step->gang_failures >= j->queue->max_attempts;
    }
    for (uint32_t i = 0; i < step->count; i++) {
        if (!step->tasks[i].done &&
            step->tasks[i].failures >= j->queue->max_attempts) {
            return true;
        }
    }
    return false;
}

static bool
has_failed_step(const struct flow_job *j)
{
    for (size_t i = 0; i < j->occurrence_count; i++) {
        for (size_t k = 0; k < j->spec->n_steps; k++) {
            if (is_step_failed(j, &j->occurrences[i].steps[k])) {
                return true;
            }
        }
    }
    return false;
}

/* An occurrence is kept until none of its tasks is assigned. */
static void
remove_completed_occurrences(struct flow_job *j)
{
    for (size_t i = 0; i < j->occurrence_count;) {
        struct flow_occurrence *o = &j->occurrences[i];
        bool complete = true;

        for (size_t k = 0; k < j->spec->n_steps; k++) {
            complete = complete && o->steps[k].done == o->steps[k].count &&
                       o->steps[k].assigned == 0;
        }
        if (!complete) {
            i++;
            continue;
        }
        free_occurrence(j, o);
        j->done++;
        j->occurrence_count--;
        memmove(o, o + 1, (j->occurrence_count - i) * sizeof(*o));
    }
}

/* Tasks of a gang may be done and still assigned: one finished task completes
 * the gang, while the others have yet to leave their workers. */
static bool
are_all_occurrences_done(const struct flow_job *j)
{
    uint32_t done = j->done;

    for (size_t i = 0; i < j->occurrence_count; i++) {
        bool complete = true;

        for (size_t k = 0; k < j->spec->n_steps; k++) {
            const struct flow_step *step = &j->occurrences[i].steps[k];

            complete = complete && step->done == step->count;
        }
        done += complete;
    }
    return done >= (j->spec->occurrences > 0 ? j->spec->occurrences : 1);
}

static void
end_job(struct flow_state *s, struct flow_job *j, enum flow_job_state state)
{
    if (!j->started) {
        j->started = true;
        j->queue->pending--;
    }
    j->state = state;
    j->ended_wall_ms = s->wall_ms;
}

void
job_update_state(struct flow_state *s, struct flow_job *j)
{
    bool live = j->state <= FLOW_JOB_RUNNING;

    if (live && j->cancelled) {
        end_job(s, j, FLOW_JOB_CANCELLED);
    }
    else if (live && are_all_occurrences_done(j)) {
        end_job(s, j, FLOW_JOB_COMPLETED);
    }
    else if (live && has_failed_step(j)) {
        end_job(s, j, FLOW_JOB_FAILED);
    }
    if (j->state <= FLOW_JOB_RUNNING) {
        remove_completed_occurrences(j);
    }
    else if (j->assigned == 0) {
        job_unlink_live(s, j);
        free_occurrences(j);
        /* Only the job's state can be queried from now on. */
        mem_free(j->spec->payload.data);
        j->spec->payload = (ProtobufCBinaryData){0};
    }
}

void
job_cancel(struct flow_state *s, struct flow_job *j)
{
    if (j->state > FLOW_JOB_RUNNING) {
        return;
    }
    j->cancelled = true;
    job_update_state(s, j);
}

void
job_prune(struct flow_state *s, int64_t before_ms)
{
    void *cursor = NULL;
    struct flow_job *j;

    while ((j = map_next(s->jobs, &cursor)) != NULL) {
        if (j->state > FLOW_JOB_RUNNING && j->assigned == 0 &&
            j->ended_wall_ms < before_ms) {
            map_del_u64(s->jobs, j->id);
            job_free(j);
        }
    }
}

struct flow_job *
flow_job(const struct flow_state *s, uint64_t id)
{
    return map_get_u64(s->jobs, id);
}

int64_t
flow_due_wall_ms(const Flow__JobSpec *spec, uint32_t occurrence)
{
    int64_t due;

    if (__builtin_mul_overflow(spec->interval_ms, (int64_t)occurrence, &due) ||
        __builtin_add_overflow(due, spec->first_due_ms, &due)) {
        return INT64_MAX;
    }
    return due;
}

struct flow_job *
flow_first_live(const struct flow_state *s)
{
    return s->first_live;
}

bool
flow_job_is_at(const struct flow_job *j, const struct flow_queue *q)
{
    return j->queue == q ||
           (j->address.len == q->host.len + q->prefix.len &&
            str_starts(j->address, q->host) &&
            str_eq(str_from(j->address.ptr + q->host.len, q->prefix.len),
                   q->prefix));
}

size_t
flow_live_count(const struct flow_state *s)
{
    return s->live_count;
}

/* Reports whether the replicated state alone shows that a worker ran a task of
 * the job; a new leader does not know which runs were confirmed. */
static bool
has_run_evidence(const struct flow_job *j)
{
    if (j->done > 0) {
        return true;
    }
    for (size_t i = 0; i < j->occurrence_count; i++) {
        for (size_t k = 0; k < j->spec->n_steps; k++) {
            const struct flow_step *step = &j->occurrences[i].steps[k];

            if (step->done > 0 || step->gang_failures > 0) {
                return true;
            }
            for (uint32_t n = 0; n < step->count; n++) {
                if (step->tasks[n].failures > 0 ||
                    step->tasks[n].checkpoint.len > 0) {
                    return true;
                }
            }
        }
    }
    return false;
}

uint32_t
flow_count_pending_jobs(const struct flow_state *s, const struct flow_queue *q)
{
    uint32_t pending = q->pending;

    for (const struct flow_job *j = s->first_live; j != NULL; j = j->next) {
        if (!flow_job_is_at(j, q)) {
            continue;
        }
        pending += j->queue != q && !j->started;
        pending += j->state == FLOW_JOB_RUNNING && !j->run_confirmed &&
                   !has_run_evidence(j);
    }
    return pending;
}

struct flow_occurrence *
flow_occurrence(const struct flow_job *j, uint32_t number)
{
    for (size_t i = 0; i < j->occurrence_count; i++) {
        if (j->occurrences[i].number == number) {
            return &j->occurrences[i];
        }
    }
    return NULL;
}

bool
flow_step_is_ready(const struct flow_occurrence *o,
                   const struct flow_step *step)
{
    for (size_t i = 0; i < step->spec->n_after; i++) {
        const struct flow_step *before = &o->steps[step->spec->after[i]];

        if (before->done != before->count) {
            return false;
        }
    }
    return true;
}

bool
flow_step_uses_cpu_capacity(const struct flow_step *step)
{
    return !step->spec->best_effort;
}

struct flow_size
flow_step_size(const struct flow_step *step)
{
    const Flow__Size *size = step->spec->size;

    if (size == NULL) {
        return (struct flow_size){0};
    }
    return (struct flow_size){size->cpu_milli, size->memory_mib,
                              size->accelerators};
}
