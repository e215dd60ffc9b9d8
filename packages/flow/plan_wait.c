/*
 * Reports on steps that wait, for the log.
 */
#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* Shorter waits are normal and are not reported. */
    WAIT_REPORT_AFTER_MS = 1000,
    WAIT_REPORT_INTERVAL_MS = 2000,
};

/* Free slots for the tasks of a step, by what keeps tasks off them. */
struct wait_slots {
    uint64_t approved;   /* on approved workers, also without a ticket */
    uint64_t unreserved; /* the part of them that no reservation excludes */
    uint64_t if_empty;   /* on approved workers if nothing else ran there */
};

static uint64_t
free_slots(const struct candidate *c, const struct worker_view *v)
{
    struct flow_size available = view_available(v);

    return view_can_run(v, c) && size_fits(c->demand, available)
               ? count_fitting_tasks(c, available)
               : 0;
}

static struct wait_slots
count_slots(struct plan_round *r, const struct candidate *c)
{
    struct wait_slots out = {0};
    size_t count;
    struct worker_view **views = candidate_views(r, c, &count);

    r->visits += count;
    for (size_t i = 0; i < count; i++) {
        const struct worker_view *v = views[i];
        uint64_t slots = free_slots(c, v);

        out.approved += slots;
        if (slots > 0 && view_reservation_allows(v, c->demand, c->priority,
                                                 expected_end_ns(r, c, v))) {
            out.unreserved += slots;
        }
        if (view_can_run(v, c)) {
            out.if_empty += size_count_fitting(v->worker->capacity, c->demand);
        }
    }
    return out;
}

/* Reports whether workers that were not refused have so many free slots. */
static bool
has_free_slots(struct plan_round *r, const struct candidate *c,
               uint64_t needed)
{
    uint64_t slots = 0;

    for (size_t i = 0; i < r->view_count && slots < needed; i++) {
        const struct worker_view *v = &r->views[i];

        r->visits++;
        if (v->verdict == NULL || v->verdict->approved) {
            slots += free_slots(c, v);
        }
    }
    return slots >= needed;
}

/* Returns what keeps a step that the team's limit admits from starting a task,
 * or all tasks of a gang. */
static enum plan_wait_reason
find_placement_obstacle(struct plan_round *r, const struct candidate *c)
{
    const struct flow_approval *a = c->step->approval;
    bool needs_approval = c->job->queue->needs_approval;
    bool request_open = a != NULL && a->pending_until_ns > r->now_ns;
    uint64_t needed = c->step->spec->gang ? c->step->count : 1;
    struct wait_slots slots;

    if (!size_fits(c->demand, r->free_max)) {
        return PLAN_WAIT_CAPACITY;
    }
    slots = count_slots(r, c);
    if (slots.unreserved >= needed) {
        return !needs_approval ? PLAN_WAIT_CAPACITY
               : request_open  ? PLAN_WAIT_RESPONSE
                               : PLAN_WAIT_TICKET;
    }
    if (slots.approved >= needed) {
        return PLAN_WAIT_RESERVED;
    }
    if (!needs_approval || !has_free_slots(r, c, needed)) {
        return PLAN_WAIT_CAPACITY;
    }
    if (slots.if_empty < needed) {
        return request_open ? PLAN_WAIT_RESPONSE : PLAN_WAIT_VERDICT;
    }
    return PLAN_WAIT_APPROVED_FULL;
}

static bool
is_young(const struct plan_round *r, const struct candidate *c)
{
    return r->now_ns - c->job->arrived_ns < WAIT_REPORT_AFTER_MS * NS_PER_MS;
}

static bool
was_reported_lately(const struct plan_round *r, const struct candidate *c)
{
    return r->now_ns - c->step->wait_reported_ns <
           WAIT_REPORT_INTERVAL_MS * NS_PER_MS;
}

bool
is_wait_report_due(const struct plan_round *r, const struct candidate *c)
{
    bool waits_for_workers = c->step->wait_reason != PLAN_WAIT_NONE &&
                             c->step->wait_reason != PLAN_WAIT_TEAM_LIMIT;

    return !is_young(r, c) &&
           (!waits_for_workers || !was_reported_lately(r, c));
}

enum plan_wait_reason
find_wait_reason(struct plan_round *r, const struct candidate *c,
                 bool team_limited, uint32_t missing)
{
    if (team_limited) {
        return PLAN_WAIT_TEAM_LIMIT;
    }
    if (missing == 0) {
        return PLAN_WAIT_NONE;
    }
    return is_wait_report_due(r, c)
               ? find_placement_obstacle(r, c)
               : (enum plan_wait_reason)c->step->wait_reason;
}

void
report_waiting(struct plan_round *r, const struct candidate *c,
               enum plan_wait_reason reason, uint32_t missing, int64_t fit_ns)
{
    const struct flow_approval *a = c->step->approval;
    struct plan_wait_report *out;
    struct plan *plan = r->plan;

    if (is_young(r, c) ||
        (reason == c->step->wait_reason &&
         (reason == PLAN_WAIT_NONE || was_reported_lately(r, c)))) {
        return;
    }
    c->step->wait_reason = (uint8_t)reason;
    c->step->wait_reported_ns = r->now_ns;
    if (plan->waiting_count == plan->waiting_cap) {
        plan->waiting_cap = plan->waiting_cap * 2 + 32;
        plan->waiting = mem_realloc(plan->waiting, plan->waiting_cap,
                                    sizeof(*plan->waiting));
    }
    out = &plan->waiting[plan->waiting_count++];
    *out = (struct plan_wait_report){.job = c->job,
                                     .occurrence =
                                         &c->job->occurrences[c->occurrence],
                                     .step = c->step,
                                     .reason = reason,
                                     .missing = missing,
                                     .reservation_start_ns = fit_ns,
                                     .lateness = c->lateness};
    out->verdicts = a == NULL ? 0 : (uint32_t)a->count;
    for (size_t i = 0; a != NULL && i < a->count; i++) {
        out->approved += a->verdicts[i].approved;
    }
}
