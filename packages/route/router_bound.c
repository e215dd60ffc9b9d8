/*
 * The duration bound: how long an attempt may last from now on. Each report
 * promises that the entry's attempts end some time earlier (early_ns) than the
 * longest request would, so that the leader need not wait for the full time to
 * reclaim the units of a dead entry.
 *
 * The bound is the longest request divided by a power of two. It is halved
 * when every request that ever arrived ends within the half, so that no
 * attempt sent under the higher bound outlasts the lower one. It is raised for
 * a request with a longer timeout. That request is sent only after the leader
 * has answered a report of the raised bound and the replicated state holds no
 * lower bound that a later leader could read.
 */
#include "router_int.h"

enum {
    /* The lowest bound is the longest request divided by this. A bound is
     * also kept for at least that time before it is lowered, because raising
     * it again delays a request until a report is answered. */
    MIN_BOUND_DIVISOR = 16,
};

/* Returns the lowest bound, which is also the time to keep a bound. */
static int64_t
min_bound_ns(const struct router *r)
{
    return r->config.longest_request_ns / MIN_BOUND_DIVISOR;
}

void
bound_init(struct router *r)
{
    r->bound_ns = r->config.longest_request_ns;
    r->bound_wanted_ns = r->bound_ns;
}

bool
bound_allows_request(const struct router *r, const struct request *req,
                     int64_t now)
{
    return req->deadline - now <= r->bound_ns;
}

void
bound_note_deadline(struct router *r, int64_t now, int64_t deadline)
{
    if (deadline > r->latest_deadline) {
        r->latest_deadline = deadline;
    }
    if (deadline - now <= r->bound_wanted_ns) {
        return;
    }
    while (r->bound_wanted_ns < deadline - now) {
        r->bound_wanted_ns *= 2;
    }
    if (r->bound_wanted_ns > r->config.longest_request_ns) {
        r->bound_wanted_ns = r->config.longest_request_ns;
    }
    r->bound_report_seq = r->report_seq + 1;
    expedite_report(r);
}

static void
try_lower_bound(struct router *r, int64_t now)
{
    int64_t half_ns = r->bound_ns / 2;

    if (r->bound_wanted_ns != r->bound_ns || now < r->bound_keep_until ||
        half_ns < min_bound_ns(r) || r->latest_deadline - now > half_ns) {
        return;
    }
    r->bound_ns = half_ns;
    r->bound_wanted_ns = half_ns;
    r->bound_keep_until = now + min_bound_ns(r);
}

int64_t
bound_prepare_report(struct router *r, int64_t now)
{
    try_lower_bound(r, now);
    return r->config.longest_request_ns - r->bound_wanted_ns;
}

void
bound_apply_grants(struct router *r, int64_t now, const struct grants *g)
{
    if (r->bound_wanted_ns == r->bound_ns ||
        g->report_seq < r->bound_report_seq ||
        g->early_ns > r->config.longest_request_ns - r->bound_wanted_ns) {
        return;
    }
    r->bound_ns = r->bound_wanted_ns;
    r->bound_keep_until = now + min_bound_ns(r);
}
