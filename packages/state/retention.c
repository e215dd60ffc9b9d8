#include "state_impl.h"

/* Wall clocks of VMs may differ by up to an hour. A command that is further
 * behind shows that the clock of an earlier leader was wrong. */
#define CLOCK_SKEW_MAX_MS INT64_C(3600000)

static void
clamp_timestamp(int64_t *time_ms, int64_t max_ms)
{
    if (*time_ms > max_ms) {
        *time_ms = max_ms;
    }
}

/*
 * Lowers timestamps of a wrong clock to max_ms. Records are dropped in the
 * order of their lists, so that a record with a timestamp in the future would
 * keep all records after it until the correct clock reaches that time.
 */
static void
clamp_timestamps(struct state *s, int64_t max_ms)
{
    void *cursor = NULL;
    struct operator_result *record;
    struct request *r;

    snapshot_save_all(s);
    for (struct job *job = s->ended_job_first; job != NULL;
         job = job->end_next) {
        clamp_timestamp(&job->pub.ended_ms, max_ms);
    }
    for (struct lease *l = s->ended_lease_first; l != NULL; l = l->next) {
        clamp_timestamp(&l->ended_ms, max_ms);
    }
    while ((record = map_next(s->operator_results, &cursor)) != NULL) {
        clamp_timestamp(&record->wall_ms, max_ms);
    }
    cursor = NULL;
    while ((r = map_next(s->requests, &cursor)) != NULL) {
        clamp_timestamp(&r->pub.begun_ms, max_ms);
    }
}

/*
 * The clock of retention is the highest wall time of all commands, so that a
 * new leader whose clock is slightly behind does not extend any retention.
 */
void
retention_update_clock(struct state *s, int64_t wall_ms)
{
    if (wall_ms > s->wall_ms) {
        s->wall_ms = wall_ms;
    }
    else if (s->wall_ms - wall_ms > CLOCK_SKEW_MAX_MS) {
        s->wall_ms = wall_ms;
        clamp_timestamps(s, wall_ms);
    }
}

/* Drops records whose retention time has passed, a bounded number per
 * command. */
void
retention_expire(struct state *s)
{
    jobs_expire(s);
    leases_expire(s);
    requests_expire(s);
    operator_results_expire(s);
    keys_expire(s);
}
