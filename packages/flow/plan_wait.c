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

/* Reports whether a worker that was not refused has capacity for a task now
 * and only lacks a valid ticket. */
static bool
has_capacity_without_ticket(struct plan_round *r, const struct candidate *c)
{
    if (!size_fits(c->demand, r->free_max)) {
        return false;
    }
    for (size_t i = 0; i < r->view_count; i++) {
        const struct worker_view *v = &r->views[i];

        r->visits++;
        if ((v->verdict == NULL || v->verdict->approved) &&
            !is_ticket_valid(v->verdict, r->now_ns) && view_can_run(v, c) &&
            size_fits(c->demand, view_available(v))) {
            return true;
        }
    }
    return false;
}

bool
is_wait_report_due(const struct plan_round *r, const struct candidate *c)
{
    const struct flow_step *step = c->step;

    return r->now_ns - c->job->arrived_ns >=
               WAIT_REPORT_AFTER_MS * NS_PER_MS &&
           ((step->wait_reason != PLAN_WAIT_CAPACITY &&
             step->wait_reason != PLAN_WAIT_APPROVAL) ||
            r->now_ns - step->wait_reported_ns >=
                WAIT_REPORT_INTERVAL_MS * NS_PER_MS);
}

void
report_waiting(struct plan_round *r, const struct candidate *c,
               bool team_limited, uint32_t missing, int64_t fit_ns)
{
    const struct flow_approval *a = c->step->approval;
    struct plan_wait_report *out;
    struct plan *plan = r->plan;
    enum plan_wait_reason reason = team_limited   ? PLAN_WAIT_TEAM_LIMIT
                                   : missing == 0 ? PLAN_WAIT_NONE
                                                  : PLAN_WAIT_CAPACITY;

    if (r->now_ns - c->job->arrived_ns < WAIT_REPORT_AFTER_MS * NS_PER_MS ||
        (reason == PLAN_WAIT_CAPACITY && !is_wait_report_due(r, c))) {
        return;
    }
    if (reason == PLAN_WAIT_CAPACITY && c->job->queue->needs_approval &&
        has_capacity_without_ticket(r, c)) {
        reason = PLAN_WAIT_APPROVAL;
    }
    if (reason == c->step->wait_reason &&
        (reason == PLAN_WAIT_NONE ||
         r->now_ns - c->step->wait_reported_ns <
             WAIT_REPORT_INTERVAL_MS * NS_PER_MS)) {
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
    for (size_t i = 0; a != NULL && i < a->count; i++) {
        out->approved += a->verdicts[i].approved;
    }
}
