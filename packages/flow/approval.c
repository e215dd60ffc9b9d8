/*
 * The approval service's answers on the workers of a step, and its open
 * requests.
 */
#include <math.h>
#include <string.h>

#include "mem.h"
#include "plan.h"

enum {
    VERDICTS_INITIAL_CAP = 32,
};

/* Weight of one answer in the average share of approved workers. */
static const double ANSWER_EWMA_WEIGHT = 0.01;
static const double APPROVED_SHARE_DEFAULT = 1.0 / 3;
/* Below it, a step asks for as many workers as at this share and then again.
 */
static const double APPROVED_SHARE_MIN = 0.05;

/* Creates the step's approval data, or grows it if it is full. */
static struct flow_approval *
ensure_verdict_capacity(struct flow_step *step)
{
    struct flow_approval *a = step->approval;
    size_t cap = a == NULL ? VERDICTS_INITIAL_CAP : a->cap * 2;
    struct flow_approval *out;

    if (a != NULL && a->count < a->cap) {
        return a;
    }
    out = mem_zalloc(1, sizeof(*out) + cap * sizeof(out->verdicts[0]));
    if (a != NULL) {
        memcpy(out, a, sizeof(*a) + a->count * sizeof(a->verdicts[0]));
        mem_free(a);
    }
    out->cap = cap;
    step->approval = out;
    return out;
}

static struct flow_verdict *
find_verdict(struct flow_step *step, uint32_t worker)
{
    struct flow_approval *a = step->approval;

    for (size_t i = 0; a != NULL && i < a->count; i++) {
        if (a->verdicts[i].worker == worker) {
            return &a->verdicts[i];
        }
    }
    return NULL;
}

bool
plan_record_verdict(struct flow_step *step, uint32_t worker, bool approved,
                    struct str ticket, int64_t valid_until_ns)
{
    struct flow_verdict *v = find_verdict(step, worker);
    bool first = v == NULL;

    if (first) {
        struct flow_approval *a = ensure_verdict_capacity(step);

        v = &a->verdicts[a->count++];
        memset(v, 0, sizeof(*v));
        v->worker = worker;
    }
    v->approved = approved;
    v->valid_until_ns = 0;
    if (ticket.len > 0 && ticket.len < PLAN_TICKET_BYTES) {
        memcpy(v->ticket, ticket.ptr, ticket.len);
        v->ticket[ticket.len] = '\0';
        v->valid_until_ns = valid_until_ns;
        if (valid_until_ns > step->approval->latest_valid_ns) {
            step->approval->latest_valid_ns = valid_until_ns;
        }
    }
    return first;
}

void
plan_observe_approvals(struct flow_queue *q, size_t answers, size_t approved)
{
    double old = plan_approved_share(q);

    if (answers > 0) {
        q->approved_share =
            old + (1 - pow(1 - ANSWER_EWMA_WEIGHT, (double)answers)) *
                      ((double)approved / (double)answers - old);
    }
}

double
plan_approved_share(const struct flow_queue *q)
{
    return q->approved_share == 0
               ? APPROVED_SHARE_DEFAULT
               : fmin(fmax(q->approved_share, APPROVED_SHARE_MIN), 1);
}

void
plan_record_request(struct flow_step *step, int64_t until)
{
    struct flow_approval *a = ensure_verdict_capacity(step);

    a->pending_until_ns =
        until > a->pending_until_ns ? until : a->pending_until_ns;
    a->open_requests++;
}

void
plan_record_response(struct flow_step *step)
{
    struct flow_approval *a = step->approval;

    if (a != NULL && a->open_requests > 0 && --a->open_requests == 0) {
        a->pending_until_ns = 0;
    }
}

void
plan_invalidate_ticket(struct flow_step *step, uint32_t worker)
{
    struct flow_verdict *v = find_verdict(step, worker);

    if (v != NULL) {
        v->valid_until_ns = 0;
    }
}
