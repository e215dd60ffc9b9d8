/*
 * Choice of the workers that approval requests name. The service takes longer
 * the more workers a request names, and its tickets expire. A step therefore
 * requests tickets for workers with free capacity at the time at which it
 * could start. A gang in addition requests approval early, to learn on which
 * workers it may run at all. The number of tasks that fit on a worker is
 * called its slots.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* A request names at least this many workers, if they are suitable. */
    REQUEST_WORKERS_MIN = 12,
    /* Slots to request for each slot that the step needs. Services approve
     * between a third and most of the workers. */
    SLOT_REQUEST_FACTOR = 8,
    /* Slots on approved workers, counted as if these were empty, for each
     * task of a gang. With fewer, more workers are requested. */
    GANG_SLOT_FACTOR = 4,
    /* Time added to the service's own: the answer has to travel, and a
     * request may queue behind another. */
    REQUEST_LEAD_MS = 150,
    /* Workers that one request of a gang names. A wide gang needs more, and
     * with successive requests the first tickets would expire before the
     * last arrive, so its workers are spread over parallel requests. */
    GANG_REQUEST_WORKERS_MAX = 50,
    /* Slots to request tickets for, relative to what the gang needs. Other
     * tasks take some of them before the tickets arrive. */
    GANG_TICKET_PERCENT = 150,
};

struct worker_choice {
    uint32_t worker;
    uint64_t slots_now;
    uint64_t slots_if_empty; /* when nothing else runs there */
    bool was_approved;       /* approved before, its ticket has expired */
};

static int
compare_choices(const void *a, const void *b)
{
    const struct worker_choice *x = a;
    const struct worker_choice *y = b;

    if ((x->slots_now > 0) != (y->slots_now > 0)) {
        return x->slots_now > 0 ? -1 : 1;
    }
    if (x->was_approved != y->was_approved) {
        return x->was_approved ? -1 : 1;
    }
    return x->slots_now == y->slots_now  ? 0
           : x->slots_now > y->slots_now ? -1
                                         : 1;
}

/* Collects the workers that are worth a request, the most useful first:
 * suitable ones that the service has not refused and that have no valid
 * ticket. */
static size_t
collect_choices(const struct plan_round *r, const struct candidate *c,
                struct worker_choice *out)
{
    struct flow_size size = step_demand(c->step);
    size_t n = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        const struct worker_view *v = &r->views[i];
        const struct flow_verdict *known = v->verdict;

        if (!view_can_run(r, v, c) ||
            (known != NULL &&
             (!known->approved || is_ticket_valid(known, r->now_ns)))) {
            continue;
        }
        out[n].worker = v->worker->number;
        out[n].was_approved = known != NULL;
        out[n].slots_if_empty = size_count_fitting(v->worker->capacity, size);
        out[n].slots_now = view_reservation_allows(v, size, c->priority,
                                                   expected_end_ns(r, c, v))
                               ? size_count_fitting(view_available(v), size)
                               : 0;
        n++;
    }
    qsort(out, n, sizeof(*out), compare_choices);
    return n;
}

/* Reports whether the step may run on the worker once it has a valid ticket
 * for it. */
static bool
is_approved_for(const struct plan_round *r, const struct candidate *c,
                const struct worker_view *v)
{
    return v->verdict != NULL && v->verdict->approved && view_can_run(r, v, c);
}

/* Returns the slots on approved workers as if these were empty. */
static uint64_t
approved_slots_if_empty(const struct plan_round *r, const struct candidate *c)
{
    struct flow_size size = step_demand(c->step);
    uint64_t slots = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        if (is_approved_for(r, c, &r->views[i])) {
            slots += size_count_fitting(r->views[i].worker->capacity, size);
        }
    }
    return slots;
}

/* Adds an empty request to the plan. */
static struct plan_approval_request *
add_request(struct plan_round *r, const struct candidate *c)
{
    struct plan *plan = r->plan;
    struct plan_approval_request *ask;

    if (plan->approval_request_count == plan->approval_request_cap) {
        plan->approval_request_cap = plan->approval_request_cap * 2 + 8;
        plan->approval_requests =
            mem_realloc(plan->approval_requests, plan->approval_request_cap,
                        sizeof(*plan->approval_requests));
    }
    ask = &plan->approval_requests[plan->approval_request_count++];
    ask->job = c->job;
    ask->occurrence = &c->job->occurrences[c->occurrence];
    ask->step = c->step;
    ask->count = 0;
    return ask;
}

/* Returns the request to name a further worker in, or NULL when no
 * more may be made. Only gangs spread over several requests. */
static struct plan_approval_request *
next_request(struct plan_round *r, const struct candidate *c,
             struct plan_approval_request *ask, size_t workers_max)
{
    if (ask->count < workers_max) {
        return ask;
    }
    if (!c->step->spec->gang ||
        r->plan->approval_request_count >= r->limits->approval_requests) {
        return NULL;
    }
    return add_request(r, c);
}

/* Plans requests that name workers until enough slots can be expected on
 * approved ones. Workers that were approved before are expected to be approved
 * again, so their slots count in full. With need_more_workers, slots that are
 * still in use count as well. */
static void
request_choices(struct plan_round *r, const struct candidate *c,
                const struct worker_choice *choices, size_t count,
                uint64_t missing, bool need_more_workers)
{
    size_t workers_max = c->step->spec->gang ? GANG_REQUEST_WORKERS_MAX
                                             : PLAN_REQUEST_WORKERS_MAX;
    struct plan_approval_request *ask = add_request(r, c);
    uint64_t slots_covered = 0;

    for (size_t i = 0; i < count; i++) {
        uint64_t slots = need_more_workers ? choices[i].slots_if_empty
                                           : choices[i].slots_now;

        ask = next_request(r, c, ask, workers_max);
        if (ask == NULL) {
            break;
        }
        if (ask->count >= REQUEST_WORKERS_MIN &&
            (slots == 0 || slots_covered >= missing * SLOT_REQUEST_FACTOR)) {
            break;
        }
        ask->workers[ask->count++] = choices[i].worker;
        slots_covered +=
            choices[i].was_approved ? slots * SLOT_REQUEST_FACTOR : slots;
    }
}

/* Returns how many tasks of the candidate could start on the worker now. */
static uint64_t
view_slots_now(const struct plan_round *r, const struct candidate *c,
               const struct worker_view *v)
{
    struct flow_size size = step_demand(c->step);

    if (!view_reservation_allows(v, size, c->priority,
                                 expected_end_ns(r, c, v))) {
        return 0;
    }
    return count_fitting_tasks(c, view_available(v));
}

/* Returns how many tasks could start now on the approved workers. */
static uint64_t
approved_slots_now(const struct plan_round *r, const struct candidate *c)
{
    uint64_t slots = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        if (is_approved_for(r, c, &r->views[i])) {
            slots += view_slots_now(r, c, &r->views[i]);
        }
    }
    return slots;
}

/*
 * Requests tickets for enough approved workers of a gang at the same time. A
 * gang starts only with all its tickets, so those that expire before until_ns
 * are requested again. With need_slots_now, workers with free slots are taken
 * until the gang fits. Otherwise all approved workers are taken, because
 * capacity becomes free earlier or later than expected.
 */
static void
request_gang_tickets(struct plan_round *r, const struct candidate *c,
                     bool need_slots_now, int64_t until_ns)
{
    uint64_t slots_needed =
        (uint64_t)c->step->count * GANG_TICKET_PERCENT / 100 + 1;
    uint64_t slots_covered = 0;
    struct plan_approval_request *ask = add_request(r, c);

    for (size_t i = 0; i < r->view_count; i++) {
        const struct worker_view *v = &r->views[i];
        uint64_t slots;

        if (!is_approved_for(r, c, v)) {
            continue;
        }
        slots = need_slots_now ? view_slots_now(r, c, v) : 1;
        if (slots == 0) {
            continue;
        }
        if (v->verdict->valid_until_ns < until_ns) {
            ask = next_request(r, c, ask, GANG_REQUEST_WORKERS_MAX);
            if (ask == NULL) {
                break;
            }
            ask->workers[ask->count++] = v->worker->number;
        }
        slots_covered += slots;
        if (need_slots_now && slots_covered >= slots_needed) {
            break;
        }
    }
    if (ask != NULL && ask->count == 0) {
        r->plan->approval_request_count--;
    }
}

/* Requests tickets for a gang with enough approved workers. Returns false if
 * it neither fits now nor has a reservation, so that more workers may help. */
static bool
request_for_gang(struct plan_round *r, const struct candidate *c,
                 int64_t fit_ns)
{
    const struct flow_queue *q = c->job->queue;
    int64_t call_ns = (q->approval_ms + REQUEST_LEAD_MS) * NS_PER_MS;

    if (approved_slots_now(r, c) >= c->step->count) {
        int64_t workers_ns = (int64_t)GANG_REQUEST_WORKERS_MAX *
                             q->approval_worker_us * (NS_PER_MS / 1000);

        request_gang_tickets(r, c, true, r->now_ns + call_ns + workers_ns);
        return true;
    }
    if (fit_ns == INT64_MAX) {
        return false;
    }
    if (fit_ns - r->now_ns <= call_ns) {
        request_gang_tickets(r, c, false, fit_ns);
    }
    return true;
}

void
request_approval(struct plan_round *r, const struct candidate *c,
                 uint32_t missing, int64_t fit_ns)
{
    const struct flow_approval *a = c->step->approval;
    bool gang = c->step->spec->gang;
    bool need_more_workers =
        gang && approved_slots_if_empty(r, c) <
                    (uint64_t)c->step->count * GANG_SLOT_FACTOR;
    struct worker_choice *choices;
    size_t count;

    if (r->plan->approval_request_count >= r->limits->approval_requests ||
        (a != NULL && a->pending_until_ns > r->now_ns)) {
        return;
    }
    if (gang && !need_more_workers && request_for_gang(r, c, fit_ns)) {
        return;
    }
    choices = mem_alloc((r->view_count + 1) * sizeof(*choices));
    count = collect_choices(r, c, choices);
    if (count > 0 && (need_more_workers || choices[0].slots_now > 0)) {
        request_choices(r, c, choices, count, missing, need_more_workers);
    }
    mem_free(choices);
}
