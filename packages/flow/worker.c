/*
 * Workers that have registered and are not known to have ended.
 */
#include "internal.h"

#include "mem.h"

void
worker_free(struct flow_worker *w)
{
    str_free(&w->id);
    str_free(&w->address);
    str_free(&w->service);
    str_free(&w->domain);
    str_free(&w->machine);
    str_free(&w->rack);
    for (size_t i = 0; i < w->label_count; i++) {
        str_free(&w->labels[i]);
    }
    mem_free(w->labels);
    mem_free(w);
}

static void
set_labels(struct flow_worker *w, const Flow__Worker *in)
{
    for (size_t i = 0; i < w->label_count; i++) {
        str_free(&w->labels[i]);
    }
    w->labels = mem_realloc(w->labels, in->n_labels + 1, sizeof(*w->labels));
    w->label_count = in->n_labels;
    for (size_t i = 0; i < in->n_labels; i++) {
        w->labels[i] = str_dup(str_of(in->labels[i]));
    }
}

static void
update_worker(const struct flow_state *s, struct flow_worker *w,
              const Flow__Worker *in)
{
    str_replace(&w->address, str_of(in->address));
    str_replace(&w->service, str_of(in->service));
    str_replace(&w->domain, str_of(in->domain));
    w->evacuated = evacuation_is_active(s, w->domain);
    str_replace(&w->machine, str_of(in->machine));
    str_replace(&w->rack, str_of(in->rack));
    set_labels(w, in);
    if (in->capacity != NULL) {
        w->capacity.cpu_milli = in->capacity->cpu_milli;
        w->capacity.memory_mib = in->capacity->memory_mib;
        w->capacity.accelerators = in->capacity->accelerators;
    }
    /* A worker process that has announced its end does not take it back, so
     * a registration without the flag is out of date. */
    w->draining = w->draining || in->draining;
}

/*
 * Adds a worker, or updates it if its process is known. A registration has no
 * number and gets the next one; a worker from a snapshot keeps its number. A
 * later process start of the same id replaces the worker and unassigns its
 * tasks; the leader registers one when none is left to run. An earlier one is
 * out of date and ignored.
 */
void
worker_register(struct flow_state *s, const Flow__Worker *in)
{
    struct flow_worker *w = map_get(s->workers_by_id, str_of(in->id));

    if (w != NULL && in->born_ms < w->born_ms) {
        return;
    }
    if (w != NULL && in->born_ms > w->born_ms) {
        worker_remove(s, w->number);
        w = NULL;
    }
    if (w == NULL) {
        w = mem_zalloc(1, sizeof(*w));
        w->number = in->number != 0 ? in->number : ++s->last_worker;
        w->id = str_dup(str_of(in->id));
        w->born_ms = in->born_ms;
        w->last_seen = in->last_seen;
        map_put(s->workers_by_id, w->id, w);
        map_put_u64(s->workers, w->number, w);
    }
    update_worker(s, w, in);
}

static void
release_task(void *arg, struct flow_job *j, struct flow_occurrence *o,
             struct flow_step *step, uint32_t index)
{
    (void)o;
    task_release(arg, j, step, &step->tasks[index]);
}

void
worker_remove(struct flow_state *s, uint32_t number)
{
    struct flow_worker *w = map_get_u64(s->workers, number);
    struct flow_job *next;

    if (w == NULL) {
        return;
    }
    flow_visit_assigned(s, number, release_task, s);
    map_del_u64(s->workers, number);
    map_del(s->workers_by_id, w->id);
    worker_free(w);
    for (struct flow_job *j = s->first_live; j != NULL; j = next) {
        next = j->next;
        job_update_state(s, j);
    }
}

static Flow__Size *
encode_size(const struct flow_size *in)
{
    Flow__Size *out = mem_alloc(sizeof(*out));

    flow__size__init(out);
    out->cpu_milli = in->cpu_milli;
    out->memory_mib = in->memory_mib;
    out->accelerators = in->accelerators;
    return out;
}

void
worker_encode(const struct flow_worker *w, Flow__Worker *out)
{
    flow__worker__init(out);
    out->number = w->number;
    out->id = (char *)w->id.ptr;
    out->born_ms = w->born_ms;
    out->address = (char *)w->address.ptr;
    out->service = (char *)w->service.ptr;
    out->domain = (char *)w->domain.ptr;
    out->machine = (char *)w->machine.ptr;
    out->rack = (char *)w->rack.ptr;
    out->labels = mem_alloc((w->label_count + 1) * sizeof(char *));
    out->n_labels = w->label_count;
    for (size_t i = 0; i < w->label_count; i++) {
        out->labels[i] = (char *)w->labels[i].ptr;
    }
    out->capacity = encode_size(&w->capacity);
    out->draining = w->draining;
    out->last_seen = w->last_seen;
}

struct flow_worker *
flow_worker(const struct flow_state *s, uint32_t number)
{
    return map_get_u64(s->workers, number);
}

struct flow_worker *
flow_worker_by_id(const struct flow_state *s, struct str id)
{
    return map_get(s->workers_by_id, id);
}

struct flow_worker *
flow_worker_next(const struct flow_state *s, void **cursor)
{
    return map_next(s->workers, cursor);
}

size_t
flow_worker_count(const struct flow_state *s)
{
    return map_count(s->workers);
}
