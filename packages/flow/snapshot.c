/*
 * Snapshots: encoding and decoding of the whole state. The encoded messages
 * borrow their strings from the state; the free_ functions free the rest.
 */
#include "internal.h"

#include "mem.h"

/* Untouched tasks are left out of a snapshot. */
static bool
is_task_untouched(const struct flow_task *t)
{
    return t->run == 0 && !t->done && t->failures == 0;
}

static Flow__StepState *
encode_step(const struct flow_step *step)
{
    Flow__StepState *out = mem_alloc(sizeof(*out));

    flow__step_state__init(out);
    out->gang_failures = step->gang_failures;
    out->gang_failed_run = step->gang_failed_run;
    out->tasks = mem_alloc((step->count + 1) * sizeof(*out->tasks));
    for (uint32_t i = 0; i < step->count; i++) {
        const struct flow_task *t = &step->tasks[i];
        Flow__TaskState *to;

        if (is_task_untouched(t)) {
            continue;
        }
        to = mem_alloc(sizeof(*to));
        flow__task_state__init(to);
        to->index = i;
        to->run = t->run;
        to->worker = t->worker;
        to->failures = t->failures;
        to->done = t->done;
        to->assigned = t->assigned;
        to->failed_on = t->failed_on;
        if (t->checkpoint.len > 0) {
            to->checkpoint = (char *)t->checkpoint.ptr;
        }
        out->tasks[out->n_tasks++] = to;
    }
    return out;
}

static void
free_step(Flow__StepState *step)
{
    for (size_t i = 0; i < step->n_tasks; i++) {
        mem_free(step->tasks[i]);
    }
    mem_free(step->tasks);
    mem_free(step);
}

static Flow__OccurrenceState *
encode_occurrence(const struct flow_job *j, const struct flow_occurrence *o)
{
    Flow__OccurrenceState *out = mem_alloc(sizeof(*out));

    flow__occurrence_state__init(out);
    out->number = o->number;
    out->n_steps = j->spec->n_steps;
    out->steps = mem_alloc((out->n_steps + 1) * sizeof(*out->steps));
    for (size_t i = 0; i < out->n_steps; i++) {
        out->steps[i] = encode_step(&o->steps[i]);
    }
    return out;
}

static void
free_occurrence(Flow__OccurrenceState *o)
{
    for (size_t i = 0; i < o->n_steps; i++) {
        free_step(o->steps[i]);
    }
    mem_free(o->steps);
    mem_free(o);
}

static Flow__JobState *
encode_job(const struct flow_job *j)
{
    Flow__JobState *out = mem_alloc(sizeof(*out));

    flow__job_state__init(out);
    out->job = j->id;
    out->queue = (char *)j->queue->name.ptr;
    out->team = (char *)j->team->name.ptr;
    out->address = (char *)j->address.ptr;
    out->spec = j->spec;
    out->wall_ms = j->wall_ms;
    out->ended_wall_ms = j->ended_wall_ms;
    out->state = (uint32_t)j->state;
    out->cancelled = j->cancelled;
    out->occurrences_done = j->done;
    out->occurrences_due = j->due;
    out->n_occurrences = j->occurrence_count;
    out->occurrences =
        mem_alloc((out->n_occurrences + 1) * sizeof(*out->occurrences));
    for (size_t i = 0; i < out->n_occurrences; i++) {
        out->occurrences[i] = encode_occurrence(j, &j->occurrences[i]);
    }
    return out;
}

static void
free_job(Flow__JobState *j)
{
    for (size_t i = 0; i < j->n_occurrences; i++) {
        free_occurrence(j->occurrences[i]);
    }
    mem_free(j->occurrences);
    mem_free(j);
}

static Flow__Worker *
encode_worker(const struct flow_worker *w)
{
    Flow__Worker *out = mem_alloc(sizeof(*out));

    worker_encode(w, out);
    return out;
}

static void
free_worker(Flow__Worker *w)
{
    mem_free(w->labels);
    mem_free(w->capacity);
    mem_free(w);
}

static Flow__Upkeep *
encode_upkeep(const struct flow_upkeep *u)
{
    Flow__Upkeep *out = mem_alloc(sizeof(*out));

    flow__upkeep__init(out);
    out->wave = u->wave;
    out->concurrent_max = u->concurrent_max;
    out->due_wall_ms = u->due_wall_ms;
    out->machines = mem_alloc((u->count + 1) * sizeof(char *));
    out->done = mem_alloc((u->count + 1) * sizeof(char *));
    for (size_t i = 0; i < u->count; i++) {
        out->machines[out->n_machines++] = (char *)u->machines[i].ptr;
        if (u->done[i]) {
            out->done[out->n_done++] = (char *)u->machines[i].ptr;
        }
    }
    return out;
}

static void
free_upkeep(Flow__Upkeep *u)
{
    mem_free(u->machines);
    mem_free(u->done);
    mem_free(u);
}

/* Live jobs come first and keep their order of acceptance, which the planner
 * uses to break ties. */
static void
encode_jobs(const struct flow_state *s, Flow__Snapshot *out)
{
    void *cursor = NULL;
    struct flow_job *j;

    out->jobs = mem_alloc((map_count(s->jobs) + 1) * sizeof(*out->jobs));
    for (j = s->first_live; j != NULL; j = j->next) {
        out->jobs[out->n_jobs++] = encode_job(j);
    }
    while ((j = map_next(s->jobs, &cursor)) != NULL) {
        if (j->state > FLOW_JOB_RUNNING && j->assigned == 0) {
            out->jobs[out->n_jobs++] = encode_job(j);
        }
    }
}

static void
free_snapshot(Flow__Snapshot *snap)
{
    for (size_t i = 0; i < snap->n_jobs; i++) {
        free_job(snap->jobs[i]);
    }
    for (size_t i = 0; i < snap->n_workers; i++) {
        free_worker(snap->workers[i]);
    }
    for (size_t i = 0; i < snap->n_upkeeps; i++) {
        free_upkeep(snap->upkeeps[i]);
    }
    for (size_t i = 0; i < snap->n_cancellations; i++) {
        mem_free(snap->cancellations[i]);
    }
    mem_free(snap->jobs);
    mem_free(snap->workers);
    mem_free(snap->upkeeps);
    mem_free(snap->cancellations);
    config_free_removed(snap);
    evacuations_free_encoded(snap);
}

void
flow_state_encode(const struct flow_state *s, struct buf *out)
{
    Flow__Snapshot snap = FLOW__SNAPSHOT__INIT;
    struct flow_worker *w;
    struct flow_upkeep *u;
    void *cursor = NULL;
    size_t len;

    snap.config = s->config;
    snap.last_worker = s->last_worker;
    snap.wall_ms = s->wall_ms;
    encode_jobs(s, &snap);
    snap.workers =
        mem_alloc((map_count(s->workers) + 1) * sizeof(*snap.workers));
    while ((w = map_next(s->workers, &cursor)) != NULL) {
        snap.workers[snap.n_workers++] = encode_worker(w);
    }
    cursor = NULL;
    snap.upkeeps =
        mem_alloc((map_count(s->upkeeps) + 1) * sizeof(*snap.upkeeps));
    while ((u = map_next(s->upkeeps, &cursor)) != NULL) {
        snap.upkeeps[snap.n_upkeeps++] = encode_upkeep(u);
    }
    cancellations_encode(s, &snap);
    evacuations_encode(s, &snap);
    config_encode_removed(s, &snap);
    len = flow__snapshot__get_packed_size(&snap);
    flow__snapshot__pack(&snap, (uint8_t *)buf_reserve(out, len));
    out->len += len;
    free_snapshot(&snap);
}

static void
decode_task(struct flow_state *s, struct flow_job *j, struct flow_step *step,
            const Flow__TaskState *in)
{
    struct flow_task *t = &step->tasks[in->index];

    t->run = in->run;
    t->worker = in->worker;
    t->failures = (uint16_t)in->failures;
    t->failed_on = in->failed_on;
    t->done = in->done;
    step->done += in->done;
    if (in->checkpoint[0] != '\0') {
        t->checkpoint = str_dup(str_of(in->checkpoint));
    }
    if (in->assigned) {
        task_charge(s, j, step, t);
    }
}

static bool
decode_occurrence(struct flow_state *s, struct flow_job *j,
                  const Flow__OccurrenceState *in)
{
    struct flow_occurrence *o = job_add_occurrence(j, in->number);

    if (in->n_steps != j->spec->n_steps) {
        return false;
    }
    for (size_t i = 0; i < in->n_steps; i++) {
        o->steps[i].gang_failures = in->steps[i]->gang_failures;
        o->steps[i].gang_failed_run = in->steps[i]->gang_failed_run;
        for (size_t k = 0; k < in->steps[i]->n_tasks; k++) {
            if (in->steps[i]->tasks[k]->index >= o->steps[i].count) {
                return false;
            }
            decode_task(s, j, &o->steps[i], in->steps[i]->tasks[k]);
        }
    }
    return true;
}

static bool
decode_job(struct flow_state *s, Flow__JobState *in)
{
    struct flow_job *j;

    if (in->spec == NULL || flow_job(s, in->job) != NULL) {
        return false;
    }
    j = job_create(s, in->job, str_of(in->queue), str_of(in->team),
                   str_of(in->address), in->spec, in->wall_ms);
    in->spec = NULL;
    j->state = (enum flow_job_state)in->state;
    j->started = j->state != FLOW_JOB_QUEUED;
    j->queue->pending += !j->started;
    j->ended_wall_ms = in->ended_wall_ms;
    j->cancelled = in->cancelled;
    j->done = in->occurrences_done;
    j->due = in->occurrences_due;
    for (size_t i = 0; i < in->n_occurrences; i++) {
        if (!decode_occurrence(s, j, in->occurrences[i])) {
            return false;
        }
    }
    if (j->state > FLOW_JOB_RUNNING && j->assigned == 0) {
        job_unlink_live(s, j);
    }
    return true;
}

static bool
decode_snapshot(struct flow_state *s, Flow__Snapshot *snap)
{
    bool ok = true;

    s->wall_ms = snap->wall_ms;
    if (snap->config != NULL) {
        config_install(s, snap->config);
        snap->config = NULL;
    }
    config_decode_removed(s, snap);
    evacuations_decode(s, snap);
    for (size_t i = 0; i < snap->n_workers; i++) {
        worker_register(s, snap->workers[i]);
    }
    s->last_worker = snap->last_worker;
    for (size_t i = 0; ok && i < snap->n_jobs; i++) {
        ok = decode_job(s, snap->jobs[i]);
    }
    for (size_t i = 0; i < snap->n_upkeeps; i++) {
        upkeep_apply(s, snap->upkeeps[i]);
    }
    for (size_t i = 0; i < snap->n_cancellations; i++) {
        const Flow__Cancellation *c = snap->cancellations[i];

        cancellation_add(s, c->job, str_of(c->address), c->wall_ms);
    }
    return ok;
}

struct flow_state *
flow_state_decode(struct str bytes)
{
    Flow__Snapshot *snap =
        flow__snapshot__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);
    struct flow_state *s;

    if (snap == NULL) {
        return NULL;
    }
    s = flow_state_create();
    if (!decode_snapshot(s, snap)) {
        flow_state_destroy(s);
        s = NULL;
    }
    flow__snapshot__free_unpacked(snap, NULL);
    return s;
}
