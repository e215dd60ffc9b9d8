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
    /* Workers and slots to choose from, relative to those requested. */
    CHOICE_FACTOR = 2,
    /* Slots on approved workers, counted as if these were empty, for each
     * task of a gang: with fewer than the minimum, so many workers are
     * requested that the factor can be expected. */
    GANG_SLOT_FACTOR_MIN = 4,
    GANG_SLOT_FACTOR = 6,
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

/* Returns how many tasks of the candidate could start on the worker now. */
static uint64_t
view_slots_now(const struct plan_round *r, const struct candidate *c,
               const struct worker_view *v)
{
    struct flow_size available = view_available(v);

    if (!size_fits(c->demand, available) ||
        (v->reserved_from_ns != 0 &&
         !view_reservation_allows(v, c->demand, c->priority,
                                  expected_end_ns(r, c, v)))) {
        return 0;
    }
    return count_fitting_tasks(c, available);
}

/* The workers to choose from. */
struct choices {
    struct worker_choice *list;
    size_t count;
    size_t full_count; /* of them without a slot now */
    uint64_t slots;    /* of the kind that the request counts */
    bool if_empty;     /* it counts slots of empty workers */
};

/* Adds the worker if it may run the step. Of those without a slot now, no more
 * than a request names are kept. */
static void
add_choice(const struct plan_round *r, const struct candidate *c,
           const struct worker_view *v, struct choices *out)
{
    struct worker_choice *choice = &out->list[out->count];

    if (!view_can_run(v, c)) {
        return;
    }
    choice->slots_now = view_slots_now(r, c, v);
    choice->slots_if_empty =
        out->if_empty ? size_count_fitting(v->worker->capacity, c->demand) : 0;
    if (choice->slots_now == 0 && !out->if_empty &&
        out->full_count++ >= REQUEST_WORKERS_MIN) {
        return;
    }
    choice->worker = v->worker->number;
    choice->was_approved = v->verdict != NULL;
    out->count++;
    out->slots += out->if_empty ? choice->slots_if_empty : choice->slots_now;
}

/* Returns where the search for workers begins. Steps begin at different
 * workers, and a step that asks again begins elsewhere, so that steps that
 * wait at the same time do not ask for the same few workers. */
static size_t
first_view(const struct plan_round *r, const struct candidate *c)
{
    const uint64_t golden_ratio = UINT64_C(0x9e3779b97f4a7c15);
    const struct flow_approval *a = c->step->approval;
    uint64_t step =
        (uint64_t)(c->step - c->job->occurrences[c->occurrence].steps);
    uint64_t hash =
        (c->job->id + step * 31 + (a == NULL ? 0 : a->count)) * golden_ratio;

    return (size_t)((hash >> 32) % r->view_count);
}

/* Collects workers that are worth a request, the most useful first: suitable
 * ones that the service has not refused and that have no valid ticket, without
 * the approved ones if slots of empty workers count. It looks at no more
 * workers than it takes to have a choice among them. */
static void
collect_choices(struct plan_round *r, const struct candidate *c,
                uint64_t slots_needed, struct choices *out)
{
    size_t i;
    size_t begin = first_view(r, c);

    for (i = 0; i < r->approved_count && !out->if_empty; i++) {
        if (!is_ticket_valid(r->approved[i]->verdict, r->now_ns)) {
            add_choice(r, c, r->approved[i], out);
        }
    }
    r->visits += i;
    for (i = 0; i < r->view_count &&
                (out->count < REQUEST_WORKERS_MIN * CHOICE_FACTOR ||
                 out->slots < slots_needed * CHOICE_FACTOR);
         i++) {
        const struct worker_view *v = r->all[(begin + i) % r->view_count];

        if (v->verdict == NULL) {
            add_choice(r, c, v, out);
        }
    }
    r->visits += i;
    qsort(out->list, out->count, sizeof(*out->list), compare_choices);
}

/* Returns the slots on approved workers as if these were empty. */
static uint64_t
approved_slots_if_empty(const struct plan_round *r, const struct candidate *c)
{
    uint64_t slots = 0;

    for (size_t i = 0; i < r->approved_count; i++) {
        if (view_can_run(r->approved[i], c)) {
            slots += size_count_fitting(r->approved[i]->worker->capacity,
                                        c->demand);
        }
    }
    return slots;
}

/* Adds an empty request to the plan. */
static struct plan_approval_request *
add_request(struct plan_round *r, const struct candidate *c,
            enum plan_request_purpose purpose)
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
    ask->purpose = c->lateness > 1 ? PLAN_REQUEST_USELESS : purpose;
    ask->count = 0;
    c->job->queue->approval_planned++;
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
        c->job->queue->approval_planned >= r->limits->approval_requests) {
        return NULL;
    }
    return add_request(r, c, ask->purpose);
}

/* Plans requests that name workers until enough slots can be expected on
 * approved ones. Workers that were approved before are expected to be approved
 * again, so their slots count in full. */
static void
request_choices(struct plan_round *r, const struct candidate *c,
                const struct choices *choices, uint64_t missing,
                enum plan_request_purpose purpose)
{
    struct plan_approval_request *ask = add_request(r, c, purpose);
    uint64_t slots_covered = 0;

    for (size_t i = 0; i < choices->count; i++) {
        const struct worker_choice *choice = &choices->list[i];
        uint64_t slots = choice->slots_now;

        ask = next_request(r, c, ask, PLAN_REQUEST_WORKERS_MAX);
        if (ask == NULL) {
            break;
        }
        if (ask->count >= REQUEST_WORKERS_MIN &&
            (slots == 0 || slots_covered >= missing * SLOT_REQUEST_FACTOR)) {
            break;
        }
        ask->workers[ask->count++] = choice->worker;
        slots_covered +=
            choice->was_approved ? slots * SLOT_REQUEST_FACTOR : slots;
    }
}

/* Plans requests that name workers until so many slots can be expected on
 * approved ones if these were empty, spread evenly over as few requests as
 * hold them. */
static void
request_approved_slots(struct plan_round *r, const struct candidate *c,
                       const struct choices *choices, uint64_t wanted)
{
    double share = plan_approved_share(c->job->queue);
    struct plan_approval_request *ask =
        add_request(r, c, PLAN_REQUEST_WORKERS);
    double expected = 0;
    size_t count = 0;
    size_t calls;

    while (count < choices->count &&
           (count < REQUEST_WORKERS_MIN || expected < (double)wanted)) {
        expected += share * (double)choices->list[count++].slots_if_empty;
    }
    calls = (count + PLAN_REQUEST_WORKERS_MAX - 1) / PLAN_REQUEST_WORKERS_MAX;
    for (size_t i = 0; i < count; i++) {
        ask = next_request(r, c, ask, (count + calls - 1) / calls);
        if (ask == NULL) {
            break;
        }
        ask->workers[ask->count++] = choices->list[i].worker;
    }
}

/* Returns how many tasks could start now on the approved workers. */
static uint64_t
approved_slots_now(const struct plan_round *r, const struct candidate *c)
{
    uint64_t slots = 0;

    for (size_t i = 0; i < r->approved_count; i++) {
        if (view_can_run(r->approved[i], c)) {
            slots += view_slots_now(r, c, r->approved[i]);
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
    struct plan_approval_request *ask =
        add_request(r, c, PLAN_REQUEST_TICKETS);

    for (size_t i = 0; i < r->approved_count; i++) {
        const struct worker_view *v = r->approved[i];
        uint64_t slots;

        if (!view_can_run(v, c)) {
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
        c->job->queue->approval_planned--;
    }
}

/* Requests tickets for a gang with enough approved workers. Returns false if
 * it neither fits now nor has a reservation that begins before more workers
 * could be approved, so that more workers may help. */
static bool
request_for_gang(struct plan_round *r, const struct candidate *c,
                 uint64_t slots_now, int64_t fit_ns)
{
    const struct flow_queue *q = c->job->queue;
    int64_t call_ns = (q->approval_ms + REQUEST_LEAD_MS) * NS_PER_MS;
    int64_t workers_ns = (int64_t)GANG_REQUEST_WORKERS_MAX *
                         q->approval_worker_us * (NS_PER_MS / 1000);
    int64_t answer_ns = r->now_ns + call_ns + workers_ns;

    if (slots_now >= c->step->count) {
        request_gang_tickets(r, c, true, answer_ns);
        return true;
    }
    if (fit_ns - r->now_ns > call_ns + workers_ns) {
        return false;
    }
    if (fit_ns - r->now_ns <= call_ns) {
        /* Tickets that lapse before the answer are of no use either. */
        request_gang_tickets(r, c, false,
                             fit_ns > answer_ns ? fit_ns : answer_ns);
    }
    return true;
}

bool
request_is_possible(const struct plan_round *r, const struct candidate *c)
{
    const struct flow_approval *a = c->step->approval;

    return c->job->queue->approval_planned < r->limits->approval_requests &&
           (a == NULL || a->pending_until_ns <= r->now_ns);
}

/* Plans requests for a gang with too few approved workers. Returns false if
 * the service has answered for all that may run it. */
static bool
request_gang_workers(struct plan_round *r, const struct candidate *c,
                     uint64_t approved_slots)
{
    uint64_t wanted =
        (uint64_t)c->step->count * GANG_SLOT_FACTOR - approved_slots;
    struct choices choices = {.if_empty = true};
    bool found;

    choices.list = mem_alloc((r->view_count + 1) * sizeof(*choices.list));
    collect_choices(
        r, c, (uint64_t)((double)wanted / plan_approved_share(c->job->queue)),
        &choices);
    found = choices.count > 0;
    if (found) {
        request_approved_slots(r, c, &choices, wanted);
    }
    mem_free(choices.list);
    return found;
}

void
request_approval(struct plan_round *r, const struct candidate *c,
                 uint32_t missing, int64_t fit_ns)
{
    enum plan_request_purpose purpose = PLAN_REQUEST_WORKERS;
    struct choices choices = {0};

    if (r->view_count == 0 || !request_is_possible(r, c)) {
        return;
    }
    if (c->step->spec->gang) {
        uint64_t approved_slots = approved_slots_if_empty(r, c);
        uint64_t slots_now;

        if (approved_slots < (uint64_t)c->step->count * GANG_SLOT_FACTOR_MIN &&
            request_gang_workers(r, c, approved_slots)) {
            return;
        }
        slots_now = approved_slots_now(r, c);
        if (request_for_gang(r, c, slots_now, fit_ns)) {
            return;
        }
        purpose = PLAN_REQUEST_SOONER;
        missing = c->step->count - (uint32_t)slots_now;
    }
    if (!size_fits(c->demand, r->free_max)) {
        return;
    }
    choices.list = mem_alloc((r->view_count + 1) * sizeof(*choices.list));
    collect_choices(r, c, (uint64_t)missing * SLOT_REQUEST_FACTOR, &choices);
    if (choices.count > 0 && choices.list[0].slots_now > 0) {
        request_choices(r, c, &choices, missing, purpose);
    }
    mem_free(choices.list);
}
