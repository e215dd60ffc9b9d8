/*
 * Resource arithmetic, and the rules on which worker may take a task.
 */
#include "clock.h"
#include "plan_impl.h"

struct flow_size
size_add(struct flow_size a, struct flow_size b)
{
    return (struct flow_size){a.cpu_milli + b.cpu_milli,
                              a.memory_mib + b.memory_mib,
                              a.accelerators + b.accelerators};
}

static uint64_t
larger(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

struct flow_size
size_max(struct flow_size a, struct flow_size b)
{
    return (struct flow_size){larger(a.cpu_milli, b.cpu_milli),
                              larger(a.memory_mib, b.memory_mib),
                              larger(a.accelerators, b.accelerators)};
}

static uint64_t
subtract_saturating(uint64_t a, uint64_t b)
{
    return a > b ? a - b : 0;
}

struct flow_size
size_subtract(struct flow_size a, struct flow_size b)
{
    return (struct flow_size){
        subtract_saturating(a.cpu_milli, b.cpu_milli),
        subtract_saturating(a.memory_mib, b.memory_mib),
        subtract_saturating(a.accelerators, b.accelerators)};
}

bool
size_fits(struct flow_size size, struct flow_size available)
{
    return size.cpu_milli <= available.cpu_milli &&
           size.memory_mib <= available.memory_mib &&
           size.accelerators <= available.accelerators;
}

struct flow_size
step_demand(const struct flow_step *step)
{
    struct flow_size size = flow_step_size(step);

    if (!flow_step_uses_cpu_capacity(step)) {
        size.cpu_milli = 0;
    }
    return size;
}

uint64_t
size_count_fitting(struct flow_size available, struct flow_size size)
{
    uint64_t n = UINT32_MAX;

    if (size.cpu_milli > 0 && available.cpu_milli / size.cpu_milli < n) {
        n = available.cpu_milli / size.cpu_milli;
    }
    if (size.memory_mib > 0 && available.memory_mib / size.memory_mib < n) {
        n = available.memory_mib / size.memory_mib;
    }
    if (size.accelerators > 0 &&
        available.accelerators / size.accelerators < n) {
        n = available.accelerators / size.accelerators;
    }
    return n;
}

struct flow_size
view_available(const struct worker_view *v)
{
    return size_subtract(v->worker->capacity, v->committed);
}

struct worker_view **
candidate_views(const struct plan_round *r, const struct candidate *c,
                size_t *count)
{
    bool needs_approval = c->job->queue->needs_approval;

    *count = needs_approval ? r->approved_count : r->view_count;
    return needs_approval ? r->approved : r->all;
}

uint64_t
count_fitting_tasks(const struct candidate *c, struct flow_size available)
{
    uint64_t tasks = size_count_fitting(available, c->demand);
    uint32_t tasks_max = c->step->spec->per_worker_max;

    return tasks_max != 0 && tasks > tasks_max ? tasks_max : tasks;
}

int64_t
expected_end_ns(const struct plan_round *r, const struct candidate *c,
                const struct worker_view *v)
{
    return r->now_ns + (int64_t)(plan_run_ms(c->job, c->step, v->speed) *
                                 (double)NS_PER_MS);
}

uint32_t
count_assigned_to(const struct flow_step *step, uint32_t worker)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < step->count; i++) {
        n += step->tasks[i].assigned && step->tasks[i].worker == worker;
    }
    return n;
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

/* Best-effort tasks raise the latency of tasks with a tail-latency target on
 * the same worker. As they are not throttled, the two do not share one.
 * displace_best_effort() clears a worker where that would keep the second kind
 * off all of them. */
static bool
is_kind_compatible(const struct worker_view *v, const struct flow_step *step)
{
    if (step->spec->best_effort) {
        return v->serving == 0 && !v->cleared;
    }
    return step->spec->tail_target_ms == 0 || v->best_effort == 0;
}

bool
view_is_suitable(const struct worker_view *v, const struct candidate *c)
{
    return v->runnable && v->service == c->service &&
           size_fits(c->size, v->worker->capacity) &&
           has_label(v->worker, c->step->spec->label);
}

bool
view_can_run(const struct worker_view *v, const struct candidate *c)
{
    return is_kind_compatible(v, c->step) && view_is_suitable(v, c);
}

bool
view_is_runnable(const struct plan_round *r, const struct worker_view *v)
{
    const struct plan_worker *p = plan_worker(v->worker);

    return p->usable && p->avoid_until_ns <= r->now_ns &&
           !v->worker->draining && !v->worker->evacuated &&
           v->speed >= WORKER_SPEED_MIN;
}

struct flow_size
view_withheld(const struct plan_round *r, const struct worker_view *v)
{
    const struct plan_worker *p = plan_worker(v->worker);
    const struct flow_size *all = &v->worker->capacity;
    double part = (double)(p->warm_at_ns - r->now_ns) /
                  (double)(p->warm_at_ns - p->warming_since_ns);

    return (struct flow_size){(uint64_t)((double)all->cpu_milli * part),
                              (uint64_t)((double)all->memory_mib * part),
                              (uint64_t)((double)all->accelerators * part)};
}

bool
view_reservation_allows(const struct worker_view *v, struct flow_size size,
                        uint32_t priority, int64_t ends_ns)
{
    return v->reserved_from_ns == 0 || ends_ns <= v->reserved_from_ns ||
           priority < v->reserved_priority || size_fits(size, v->unreserved);
}

/* Returns the view of the verdict's worker, or NULL. The index that the
 * verdict keeps avoids a lookup in most rounds. */
static struct worker_view *
find_view(struct plan_round *r, struct flow_verdict *v)
{
    struct flow_worker *w;

    if (r->views == NULL) {
        return NULL;
    }
    if (v->view_index < r->view_count &&
        r->views[v->view_index].worker->number == v->worker) {
        return &r->views[v->view_index];
    }
    w = flow_worker(r->state, v->worker);
    if (w == NULL || plan_worker(w) == NULL) {
        return NULL;
    }
    v->view_index = plan_worker(w)->view_index;
    return &r->views[v->view_index];
}

void
set_view_verdicts(struct plan_round *r, const struct candidate *c, bool set)
{
    struct flow_approval *a = c->step->approval;

    r->approved_count = 0;
    for (size_t i = 0; a != NULL && i < a->count; i++) {
        struct worker_view *v = find_view(r, &a->verdicts[i]);

        if (v == NULL) {
            continue;
        }
        v->verdict = set ? &a->verdicts[i] : NULL;
        if (set && a->verdicts[i].approved) {
            r->approved[r->approved_count++] = v;
        }
    }
    r->visits += a == NULL ? 0 : a->count;
}

bool
is_ticket_valid(const struct flow_verdict *v, int64_t now_ns)
{
    return v != NULL && v->approved &&
           v->valid_until_ns > now_ns + TICKET_MIN_REMAINING_MS * NS_PER_MS;
}
