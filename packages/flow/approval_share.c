/*
 * Division of the approval service's time between queues. Load that this
 * answers: the requests of one queue take longer than all VMs together can
 * make, while other queues wait for approval as well. The queue that used the
 * least service time lately goes first, which is max-min fair: a queue that
 * needs less than an equal share gets all that it needs, and the rest goes to
 * the queues that need more.
 */
#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "plan_impl.h"

enum {
    /* Time constant of the decay of used service time. A queue that was idle
     * for longer has no claim left from that time. */
    USE_DECAY_MS = 2000,
    /* Bounds on the service time that one request is charged. Without the
     * lower one, a queue configured with no service time would never yield;
     * without the upper one, a queue configured with an excessive time would
     * wait for long after its first request. */
    CHARGE_MIN_MS = 1,
    CHARGE_MAX_MS = 10000,
};

int64_t
plan_approval_ms(const struct flow_queue *q, size_t workers)
{
    return q->approval_ms + (int64_t)workers * q->approval_worker_us / 1000;
}

static double
request_charge_ms(const struct plan_approval_request *request)
{
    int64_t ms = plan_approval_ms(request->job->queue, request->count);

    return ms < CHARGE_MIN_MS   ? CHARGE_MIN_MS
           : ms > CHARGE_MAX_MS ? CHARGE_MAX_MS
                                : (double)ms;
}

/* Returns the service time that the queue used lately. */
static double
used_ms(const struct flow_queue *q, int64_t now)
{
    double idle_ms = (double)(now - q->approval_used_ns) / NS_PER_MS;

    return q->approval_used_ms * exp(-fmax(idle_ms, 0) / USE_DECAY_MS);
}

void
plan_charge_request(const struct plan_approval_request *request, int64_t now)
{
    struct flow_queue *q = request->job->queue;

    q->approval_used_ms = used_ms(q, now) + request_charge_ms(request);
    q->approval_used_ns = now;
}

static int
compare_purposes(const void *a, const void *b)
{
    const struct plan_approval_request *x = a;
    const struct plan_approval_request *y = b;

    if (x->purpose != y->purpose) {
        return x->purpose < y->purpose ? -1 : 1;
    }
    return (x->order > y->order) - (x->order < y->order);
}

/* Sorts by the service time that the request's queue will have used when the
 * request is sent, and keeps the order of requests of a queue. */
static int
compare_requests(const void *a, const void *b)
{
    const struct plan_approval_request *x = a;
    const struct plan_approval_request *y = b;

    if (x->used_ms != y->used_ms) {
        return x->used_ms < y->used_ms ? -1 : 1;
    }
    return (x->order > y->order) - (x->order < y->order);
}

static void
sort_requests(struct plan *plan, int (*compare)(const void *, const void *))
{
    if (plan->approval_request_count > 1) {
        qsort(plan->approval_requests, plan->approval_request_count,
              sizeof(*plan->approval_requests), compare);
    }
    for (size_t i = 0; i < plan->approval_request_count; i++) {
        plan->approval_requests[i].order = i;
    }
}

/* Drops the requests for an earlier start of queues that have more urgent
 * ones. Once sent, a request occupies its VM to the end. */
static void
drop_outbid_requests(struct plan *plan)
{
    size_t kept = 0;

    for (size_t i = 0; i < plan->approval_request_count; i++) {
        struct plan_approval_request *request = &plan->approval_requests[i];
        struct flow_queue *q = request->job->queue;

        if (request->purpose < PLAN_REQUEST_SOONER) {
            q->approval_planned++;
        }
        else if (q->approval_planned > 0) {
            continue;
        }
        plan->approval_requests[kept++] = *request;
    }
    plan->approval_request_count = kept;
    for (size_t i = 0; i < kept; i++) {
        plan->approval_requests[i].job->queue->approval_planned = 0;
    }
}

void
sort_approval_requests(struct plan *plan, int64_t now)
{
    for (size_t i = 0; i < plan->approval_request_count; i++) {
        struct plan_approval_request *request = &plan->approval_requests[i];

        request->order = i;
        request->job->queue->approval_planned = 0;
        request->job->queue->approval_planned_ms =
            used_ms(request->job->queue, now);
    }
    sort_requests(plan, compare_purposes);
    drop_outbid_requests(plan);
    for (size_t i = 0; i < plan->approval_request_count; i++) {
        struct plan_approval_request *request = &plan->approval_requests[i];
        struct flow_queue *q = request->job->queue;

        request->used_ms = q->approval_planned_ms;
        q->approval_planned_ms += request_charge_ms(request);
    }
    sort_requests(plan, compare_requests);
}
