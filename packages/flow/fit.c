/*
 * What fits where.
 */
#include "clock.h"
#include "plan_impl.h"

enum {
    /* From a decision to the worker's check of the ticket: the commit, the
     * call and their queues. */
    TICKET_MARGIN_MS = 120,
};

/* A slower worker makes even a task with slack late. */
static const double SPEED_MIN = 0.35;

struct flow_size
size_add(struct flow_size a, struct flow_size b)
{
    return (struct flow_size){a.cpu_milli + b.cpu_milli,
                              a.memory_mib + b.memory_mib,
                              a.accelerators + b.accelerators};
}

static uint64_t
less(uint64_t a, uint64_t b)
{
    return a > b ? a - b : 0;
}

struct flow_size
size_less(struct flow_size a, struct flow_size b)
{
    return (struct flow_size){less(a.cpu_milli, b.cpu_milli),
                              less(a.memory_mib, b.memory_mib),
                              less(a.accelerators, b.accelerators)};
}

bool
size_fits(struct flow_size size, struct flow_size room)
{
    return size.cpu_milli <= room.cpu_milli &&
           size.memory_mib <= room.memory_mib &&
           size.accelerators <= room.accelerators;
}

struct flow_size
step_takes(const struct flow_step *step)
{
    struct flow_size size = flow_step_size(step);

    if (!flow_step_counts(step)) {
        size.cpu_milli = 0;
    }
    return size;
}

uint64_t
size_count(struct flow_size room, struct flow_size size)
{
    uint64_t n = UINT32_MAX;

    if (size.cpu_milli > 0) {
        n = room.cpu_milli / size.cpu_milli;
    }
    if (size.memory_mib > 0 && room.memory_mib / size.memory_mib < n) {
        n = room.memory_mib / size.memory_mib;
    }
    if (size.accelerators > 0 && room.accelerators / size.accelerators < n) {
        n = room.accelerators / size.accelerators;
    }
    return n;
}

struct flow_size
view_free(const struct view *v)
{
    return size_less(v->worker->capacity, v->taken);
}

uint64_t
room_for(const struct candidate *c, struct flow_size room)
{
    uint64_t tasks = size_count(room, step_takes(c->step));
    uint32_t most = c->step->spec->per_worker_max;

    return most != 0 && tasks > most ? most : tasks;
}

int64_t
expected_end(const struct round *r, const struct candidate *c,
             const struct view *v)
{
    return r->now + (int64_t)(plan_run_ms(c->job, c->step, v->speed) *
                              (double)NS_PER_MS);
}

static bool
has_label(const struct flow_worker *w, const char *label)
{
    if (label[0] == '\0') {
        return true;
    }
    for (size_t i = 0; i < w->label_count; i++) {
        if (str_eq(w->labels[i], str_of(label))) {
            return true;
        }
    }
    return false;
}

/* Best-effort tasks raise the latency of serving ones beside them; until they
 * are paced, the two do not share a worker. */
static bool
undisturbed(const struct view *v, const struct flow_step *step)
{
    if (step->spec->best_effort) {
        return v->serving == 0;
    }
    return step->spec->tail_target_ms == 0 || v->best_effort == 0;
}

bool
view_suits(const struct round *r, const struct view *v,
           const struct candidate *c)
{
    const struct plan_worker *p = plan_worker(v->worker);

    return p->usable && p->avoid_until <= r->now && !v->worker->draining &&
           v->speed >= SPEED_MIN && undisturbed(v, c->step) &&
           str_eq(v->worker->service, c->job->queue->service) &&
           has_label(v->worker, c->step->spec->label) &&
           size_fits(flow_step_size(c->step), v->worker->capacity);
}

bool
view_unreserved(const struct view *v, struct flow_size size, uint32_t priority,
                int64_t ends)
{
    return v->reserved_from == 0 || ends <= v->reserved_from ||
           priority < v->reserved_priority || size_fits(size, v->spare);
}

static struct view *
view_of(struct round *r, struct flow_verdict *v)
{
    struct flow_worker *w;

    if (r->views == NULL) {
        return NULL;
    }
    if (v->slot < r->view_count &&
        r->views[v->slot].worker->number == v->worker) {
        return &r->views[v->slot];
    }
    w = flow_worker(r->state, v->worker);
    if (w == NULL || plan_worker(w) == NULL) {
        return NULL;
    }
    v->slot = plan_worker(w)->slot;
    return &r->views[v->slot];
}

void
bind_verdicts(struct round *r, const struct candidate *c, bool set)
{
    struct flow_approval *a = c->step->approval;

    for (size_t i = 0; a != NULL && i < a->count; i++) {
        struct view *v = view_of(r, &a->verdicts[i]);

        if (v != NULL) {
            v->verdict = set ? &a->verdicts[i] : NULL;
        }
    }
}

bool
ticket_valid(const struct flow_verdict *v, int64_t now)
{
    return v != NULL && v->approved &&
           v->valid_until > now + TICKET_MARGIN_MS * NS_PER_MS;
}
