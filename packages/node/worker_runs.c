/*
 * Decides the next action for each run that a session has.
 */
#include "session.h"

#include "clock.h"
#include "event.h"

enum {
    /* Open start and stop calls per worker. Each needs a connection. */
    OPEN_CALLS_MAX = 2,
};

static struct event_kind event_displaced = {.name = "run-displaced",
                                            .per_second = 40};
static struct event_kind event_revoked = {.name = "run-revoked",
                                          .per_second = 40};

/* Returns whether the run is a best-effort one on a worker that is needed for
 * tasks with a tail-latency target. */
static bool
is_displaced(const struct leader *l, const struct session *s,
             const struct flow_step *step)
{
    return step->spec->best_effort && s->plan.cleared_until_ns > l->node->now;
}

static void
note_displaced(const struct leader *l, const struct flow_worker *w,
               const struct run *r)
{
    metrics_displaced(l->node->metrics);
    event_write(&event_displaced,
                "job=%016llx task=%u.%u.%u run=%u worker=%.*s",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run, STR_ARG(w->id));
}

/* Returns whether an assigned run should run on its worker. */
static bool
should_run(const struct leader *l, const struct run *r,
           const struct flow_step *step)
{
    if (flow_job(l->state, r->task.job)->state > FLOW_JOB_RUNNING) {
        return false;
    }
    /* A gang that has lost a task is restarted as a whole. */
    return !step->spec->gang || step->done == step->count ||
           step->assigned == step->count;
}

bool
run_is_stray(const struct leader *l, const struct session *s,
             const struct run *r)
{
    struct flow_step *step;

    bool stopping = r->phase == RUN_STOP_QUEUED || r->phase == RUN_STOP_SENT ||
                    r->phase == RUN_STOPPED;

    return stopping && !r->end_proposed &&
           run_find_assigned_task(l, s->number, &r->task, &step) == NULL;
}

/* Returns whether no start of the run can be carried out. */
static bool
is_unsent(const struct run *r)
{
    return r->phase == RUN_QUEUED && r->starts.count == 0;
}

/* Returns why the run, which is to be started, may not be started any more
 * although it was allowed when it was placed; NULL if it may. */
static const char *
revocation_reason(const struct leader *l, const struct flow_worker *w,
                  const struct run *r)
{
    if (r->phase != RUN_QUEUED) {
        return NULL;
    }
    if (w->evacuated) {
        return "evacuated";
    }
    if (w->draining) {
        return "draining";
    }
    return plan_is_over_limit(flow_job(l->state, r->task.job)->team)
               ? "team-limit"
               : NULL;
}

static void
log_revoked(const struct flow_worker *w, const struct run *r,
            const char *reason)
{
    event_write(&event_revoked,
                "job=%016llx task=%u.%u.%u run=%u worker=%.*s starts=%u "
                "reason=%s",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run, STR_ARG(w->id),
                r->starts.count, reason);
}

static bool
can_stop(const struct run *r)
{
    return r->phase == RUN_ACTIVE || r->phase == RUN_UNCERTAIN ||
           r->phase == RUN_UNKNOWN ||
           (r->phase == RUN_QUEUED && r->starts.count > 0);
}

/* Returns whether the assigned run may be started, or go on. */
static bool
may_go_on(const struct leader *l, const struct session *s,
          const struct flow_worker *w, const struct run *r,
          const struct flow_step *step)
{
    const char *revoked = revocation_reason(l, w, r);

    if (revoked != NULL) {
        log_revoked(w, r, revoked);
        return false;
    }
    if (s->settling && (is_unsent(r) || r->phase == RUN_ACTIVE)) {
        return false;
    }
    return should_run(l, r, step) && !is_displaced(l, s, step);
}

void
run_step(struct leader *l, struct session *s, const struct flow_worker *w,
         struct run *r)
{
    bool stopping = r->phase >= RUN_STOP_QUEUED;
    struct flow_step *step;

    if (run_find_assigned_task(l, s->number, &r->task, &step) == NULL) {
        /* A stray run uses the worker's capacity until a poll after its stop
         * does not list it. */
        if (!stopping || r->end_proposed) {
            run_remove(s, r);
            return;
        }
    }
    else if (r->end_proposed) {
        return;
    }
    else if (!may_go_on(l, s, w, r, step)) {
        if (is_unsent(r)) {
            run_propose_not_started(l, s, r);
            return;
        }
        if (can_stop(r)) {
            if (is_displaced(l, s, step)) {
                note_displaced(l, w, r);
            }
            run_set_phase(l, r, RUN_STOP_QUEUED);
        }
    }
    if (s->open_calls >= OPEN_CALLS_MAX || r->end_proposed) {
        return;
    }
    if (r->phase == RUN_QUEUED && !s->poll_failing && s->stray_runs == 0) {
        run_send_start(l, s, w, r);
    }
    else if (r->phase == RUN_STOP_QUEUED && !s->poll_failing &&
             l->node->now >= s->stop_due) {
        run_send_stop(l, s, w, r);
    }
}
