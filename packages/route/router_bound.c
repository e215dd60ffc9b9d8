/*
 * The bound on how long attempts last. With each report the entry promises
 * that its attempts end some time earlier than the longest request would, so
 * that the leader need not wait that long for the units of a dead entry.
 *
 * The bound is a power of two part of the longest request. It is lowered when
 * every request that ever arrived ends within half of it, so nothing that was
 * sent under the higher bound outlasts the lower one. It is raised for a
 * request with a longer timeout, which is sent only after the leader has
 * answered a report of the raised bound and no later leader can know of a
 * lower one.
 */
#include "router_int.h"

enum {
    /* The lowest bound is this part of the longest request. So is the time
     * for which a bound is kept: raising it costs a request the time of a
     * report. */
    BOUND_PARTS = 16,
};

static int64_t
least(const struct router *r)
{
    return r->config.longest_request_ns / BOUND_PARTS;
}

void
bound_init(struct router *r)
{
    r->bound_ns = r->config.longest_request_ns;
    r->bound_wanted = r->bound_ns;
}

bool
bound_allows(const struct router *r, const struct request *req, int64_t now)
{
    return req->deadline - now <= r->bound_ns;
}

void
bound_arrival(struct router *r, int64_t now, int64_t deadline)
{
    if (deadline > r->last_deadline) {
        r->last_deadline = deadline;
    }
    if (deadline - now <= r->bound_wanted) {
        return;
    }
    while (r->bound_wanted < deadline - now) {
        r->bound_wanted *= 2;
    }
    if (r->bound_wanted > r->config.longest_request_ns) {
        r->bound_wanted = r->config.longest_request_ns;
    }
    r->bound_seq = r->report_seq + 1;
    report_soon(r);
}

static void
lower(struct router *r, int64_t now)
{
    int64_t half = r->bound_ns / 2;

    if (r->bound_wanted != r->bound_ns || now < r->bound_keep ||
        half < least(r) || r->last_deadline - now > half) {
        return;
    }
    r->bound_ns = half;
    r->bound_wanted = half;
    r->bound_keep = now + least(r);
}

int64_t
bound_report(struct router *r, int64_t now)
{
    lower(r, now);
    return r->config.longest_request_ns - r->bound_wanted;
}

void
bound_answered(struct router *r, int64_t now, const struct grants *g)
{
    if (r->bound_wanted == r->bound_ns || g->report_seq < r->bound_seq ||
        g->early_ns > r->config.longest_request_ns - r->bound_wanted) {
        return;
    }
    r->bound_ns = r->bound_wanted;
    r->bound_keep = now + least(r);
}
