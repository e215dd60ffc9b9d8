#include "state_impl.h"

/* A wall clock that is behind by more than this shows that an earlier leader
 * had a wrong clock; less is the ordinary difference between VMs. */
#define CLOCK_SLACK_MS INT64_C(3600000)

static void
cap(int64_t *at, int64_t limit)
{
    if (*at > limit) {
        *at = limit;
    }
}

/*
 * Takes back time stamps of a wrong clock. They would stand in the way of
 * all that is behind them until the right clock has caught up.
 */
static void
cap_all(struct state *s, int64_t limit)
{
    void *cursor = NULL;
    struct op_record *record;
    struct request *r;

    snapshot_keep_all(s);
    for (struct job *job = s->ended_first; job != NULL; job = job->end_next) {
        cap(&job->pub.ended_ms, limit);
    }
    for (struct lease *l = s->ended_lease_first; l != NULL; l = l->next) {
        cap(&l->ended_ms, limit);
    }
    while ((record = map_next(s->op_records, &cursor)) != NULL) {
        cap(&record->wall_ms, limit);
    }
    cursor = NULL;
    while ((r = map_next(s->requests, &cursor)) != NULL) {
        cap(&r->pub.begun_ms, limit);
    }
}

/*
 * The clock of retention is the highest wall time of all commands, so that a
 * new leader whose clock is a little behind does not prolong anything.
 */
void
retention_clock(struct state *s, int64_t wall_ms)
{
    if (wall_ms > s->wall_ms) {
        s->wall_ms = wall_ms;
    }
    else if (s->wall_ms - wall_ms > CLOCK_SLACK_MS) {
        s->wall_ms = wall_ms;
        cap_all(s, wall_ms);
    }
}

/* Records leave when their time has passed, a bounded number per command. */
void
retention_expire(struct state *s)
{
    jobs_expire(s);
    leases_expire(s);
    requests_expire(s);
    op_expire(s);
    keys_expire(s);
}
