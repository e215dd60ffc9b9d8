/*
 * The leader's sessions with workers. A worker is told to start runs that
 * are committed; one call at a time waits for ends and renews its lease.
 * Ends are committed before the worker may forget them.
 *
 * A run whose start was not answered, or that a predecessor started, is
 * looked for in the worker's list. If it is not there it is stopped, after
 * which the worker never starts it; a list that is asked for after that
 * decides.
 */
#include "lead.h"

#include <string.h>

#include "clock.h"
#include "event.h"
#include "mem.h"
#include "progress.h"

enum {
    /* Between a worker's call for ends and its renewal: the lease must
     * outlast a change of the leader. */
    POLL_WAIT_MS = 900,
    POLL_SHORT_MS = 20,    /* while a run's fate is open */
    CALL_TIMEOUT_MS = 900, /* for a worker's answer beyond its wait */
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 800,
    CALLS_MAX = 2, /* starts and stops under way at one worker */
    /* Without an answer for so long, nothing new is placed there. */
    SILENT_MS = 2200,
    /* A worker's clock may be this much slower than ours. */
    CLOCK_SLOW_PERCENT = 3,
    EXPIRY_MARGIN_MS = 150,
    /* After a refusal for its health or room, others are tried for so long. */
    AVOID_MS = 1500,
    /* Between two looks at all runs, for stops that others' ends cause. */
    SCAN_MS = 3,
    SCAN_SESSIONS_PER_MS = 25, /* more time where more is looked at */
    /* Failures in a row, of different jobs, that make a worker suspect. */
    FAILURES_SUSPECT = 3,
    SUSPECT_MS = 4000,
};

enum run_phase {
    RUN_UNKNOWN, /* a predecessor may have started it */
    RUN_QUEUED,  /* its start waits to be sent */
    RUN_SENT,
    RUN_UNCERTAIN, /* no clear answer to its start */
    RUN_ACTIVE,
    RUN_STOP_QUEUED,
    RUN_STOP_SENT,
    RUN_STOPPED, /* the worker has acknowledged the stop */
};

struct run {
    struct node_task task;
    enum run_phase phase;
    int64_t since;      /* in this phase */
    bool ending;        /* its end is being committed */
    int64_t started;    /* 0 until the worker has confirmed it */
    uint32_t percent;   /* of its work, as listed last */
    int64_t progressed; /* when percent last changed */
    char ticket[PLAN_TICKET_BYTES];
};

struct session {
    struct plan_worker plan; /* first: flow_worker.session points here */
    uint32_t number;
    struct map *runs;
    bool clock_known;
    int64_t clock_at; /* our time when the worker's clock showed clock_ms */
    int64_t clock_ms;
    int64_t expires; /* our time when its lease has surely ended */
    int64_t heard;   /* last answer of its own */
    int64_t poll_due;
    int64_t retry_ms;
    uint32_t calls;
    uint64_t beat_sequence;
    uint64_t proposed_seen; /* ends up to this are being committed */
    uint32_t failures;      /* in a row */
    uint64_t failed_job;
    bool polling;
    bool failing; /* the last call for ends was not answered */
    bool contacted;
    bool leaving;
    bool losing;  /* its loss is being committed */
    bool touched; /* a run or a call changed: step it at once */
};

static struct event_kind event_end = {.name = "end", .per_second = 200};
static struct event_kind event_call = {.name = "worker-call",
                                       .per_second = 60};
static struct event_kind event_slow = {.name = "run-slow", .per_second = 40};
static struct event_kind event_lost = {.name = "worker-lost"};

static uint64_t
run_key(const struct node_task *t)
{
    uint64_t key = t->job;

    key ^= ((uint64_t)t->occurrence + 1) * UINT64_C(0x9e3779b97f4a7c15);
    key ^= ((uint64_t)t->step + 1) * UINT64_C(0xc2b2ae3d27d4eb4f);
    key ^= ((uint64_t)t->index + 1) * UINT64_C(0x165667b19e3779f9);
    return key == 0 ? 1 : key;
}

static struct session *
session_of(const struct flow_worker *w)
{
    return w->session;
}

static struct run *
run_add(struct session *s, const struct node_task *task, enum run_phase phase,
        int64_t now)
{
    uint64_t key = run_key(task);
    struct run *r = map_get_u64(s->runs, key);

    if (r == NULL) {
        r = mem_zalloc(1, sizeof(*r));
        map_put_u64(s->runs, key, r);
    }
    *r = (struct run){.task = *task, .phase = phase, .since = now};
    s->touched = true;
    return r;
}

static struct node_task
task_ref(const struct flow_job *j, const struct flow_occurrence *o,
         const struct flow_step *step, uint32_t index)
{
    return (struct node_task){.job = j->id,
                              .occurrence = o->number,
                              .step = (uint32_t)(step - o->steps),
                              .index = index,
                              .run = step->tasks[index].run};
}

struct adopt {
    struct lead *lead;
    struct session *session;
};

static void
adopt_run(void *arg, struct flow_job *j, struct flow_occurrence *o,
          struct flow_step *step, uint32_t index)
{
    struct adopt *a = arg;
    struct node_task task = task_ref(j, o, step, index);

    run_add(a->session, &task, RUN_UNKNOWN, a->lead->node->now);
}

static int64_t
longest_lease(const struct lead *l, int64_t ms)
{
    (void)l;
    return (ms * (100 + CLOCK_SLOW_PERCENT) / 100 + EXPIRY_MARGIN_MS) *
           NS_PER_MS;
}

static struct session *
session_create(struct lead *l, struct flow_worker *w)
{
    struct session *s = mem_zalloc(1, sizeof(*s));
    struct adopt adopt = {l, s};

    s->number = w->number;
    s->runs = map_create();
    s->retry_ms = RETRY_MIN_MS;
    s->expires = l->node->now +
                 longest_lease(l, (int64_t)l->node->settings.lease_max_ms);
    w->session = s;
    map_put_u64(l->sessions, s->number, s);
    if (w->tasks > 0) {
        flow_visit_assigned(l->state, w->number, adopt_run, &adopt);
    }
    return s;
}

static void
session_free(struct lead *l, struct session *s)
{
    struct run *r;
    void *cursor = NULL;

    map_del_u64(l->sessions, s->number);
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        mem_free(r);
    }
    map_destroy(s->runs);
    mem_free(s);
}

void
workers_destroy(struct lead *l)
{
    struct session *s;
    struct flow_worker *w;
    void *cursor = NULL;

    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        w->session = NULL;
    }
    cursor = NULL;
    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        session_free(l, s);
    }
    map_destroy(l->sessions);
}

static void
note_clock(struct lead *l, struct session *s, int64_t clock_ms)
{
    if (clock_ms >= 0) {
        s->clock_known = true;
        s->clock_at = l->node->now;
        s->clock_ms = clock_ms;
    }
}

void
workers_beat(struct lead *l, const struct flow_worker *w, int64_t clock_ms)
{
    struct session *s = session_of(w);

    if (s != NULL && !s->clock_known) {
        note_clock(l, s, clock_ms);
    }
}

uint64_t *
workers_beat_sequence(struct lead *l, const struct flow_worker *w)
{
    struct session *s = session_of(w);

    (void)l;
    return s == NULL ? NULL : &s->beat_sequence;
}

void
workers_proposal_failed(struct lead *l)
{
    struct session *s;
    void *cursor = NULL;

    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        struct run *r;
        void *at = NULL;

        s->proposed_seen = 0;
        s->losing = false;
        while ((r = map_next(s->runs, &at)) != NULL) {
            r->ending = false;
        }
    }
}

void
workers_left(struct lead *l, const struct flow_worker *w)
{
    struct session *s = session_of(w);

    (void)l;
    if (s != NULL) {
        s->leaving = true;
        s->plan.usable = false;
    }
}

/*
 * The end of a lease granted now, on the worker's clock; 0 while its clock is
 * not known. Notes when that lease has surely ended. A worker that does not
 * answer is granted nothing, or its lease would never end.
 */
static int64_t
grant_lease(struct lead *l, struct session *s)
{
    int64_t until;
    int64_t ends;

    if (!s->clock_known || s->failing) {
        return 0;
    }
    until = s->clock_ms + (l->node->now - s->clock_at) / NS_PER_MS +
            (int64_t)l->node->settings.lease_max_ms;
    ends = s->clock_at + longest_lease(l, until - s->clock_ms);
    if (ends > s->expires) {
        s->expires = ends;
    }
    return until;
}

static void
set_phase(struct lead *l, struct run *r, enum run_phase phase)
{
    r->phase = phase;
    r->since = l->node->now;
}

static void
propose_lost(struct lead *l, struct session *s, const char *reason)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__WorkerLost lost = FLOW__WORKER_LOST__INIT;
    const struct flow_worker *w = flow_worker(l->state, s->number);

    if (s->losing || w == NULL) {
        return;
    }
    s->losing = true;
    s->plan.usable = false;
    lost.worker = s->number;
    command.kind_case = FLOW__COMMAND__KIND_LOST;
    command.lost = &lost;
    lead_command(l, &command);
    event_write(&event_lost,
                "worker=%.*s number=%u tasks=%u reason=\"%s\" silent_ms=%lld",
                STR_ARG(w->id), s->number, w->tasks, reason,
                (long long)((l->node->now - s->heard) / NS_PER_MS));
}

static void
fill_task(Flow__Task *out, const struct node_task *in, uint32_t worker)
{
    flow__task__init(out);
    out->job = in->job;
    out->occurrence = in->occurrence;
    out->step = in->step;
    out->index = in->index;
    out->run = in->run;
    out->worker = worker;
}

/* Commits that the worker never ran it and never will. */
static void
propose_never(struct lead *l, struct session *s, struct run *r)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__End end = FLOW__END__INIT;
    Flow__End *list[] = {&end};
    Flow__Task task;

    if (r->ending) {
        return;
    }
    r->ending = true;
    fill_task(&task, &r->task, s->number);
    end.task = &task;
    end.how = FLOW_END_NEVER;
    ends.worker = s->number;
    ends.ends = list;
    ends.n_ends = 1;
    command.kind_case = FLOW__COMMAND__KIND_ENDS;
    command.ends = &ends;
    lead_command(l, &command);
    event_write(&event_end, "job=%016llx task=%u.%u.%u run=%u how=never",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run);
}

static struct session *
session_by_number(struct lead *l, uint32_t number)
{
    return l == NULL ? NULL : map_get_u64(l->sessions, number);
}

static struct run *
run_of(struct session *s, const struct node_task *task)
{
    struct run *r = map_get_u64(s->runs, run_key(task));

    return r != NULL && r->task.run == task->run ? r : NULL;
}

/* The session that a call belongs to, unless the leader has changed. */
static struct session *
call_session(struct node *n, const struct out_call *call)
{
    struct session *s;

    if (n->lead == NULL || lead_term(n->lead) != call->term) {
        return NULL;
    }
    s = session_by_number(n->lead, call->worker);
    if (s != NULL) {
        s->touched = true;
    }
    return s;
}

static struct out_call *
call_create(struct lead *l, struct session *s, const struct flow_worker *w,
            enum node_call_kind kind, out_done *done)
{
    struct out_call *call = mem_zalloc(1, sizeof(*call));

    call->call.kind = kind;
    call->call.worker = w->id;
    call->call.token = l->term;
    call->address = str_dup(w->address);
    call->done = done;
    call->worker = s->number;
    call->term = l->term;
    return call;
}

static void
answered(struct lead *l, struct session *s, const struct node_result *result)
{
    s->heard = l->node->now;
    s->failing = false;
    s->retry_ms = RETRY_MIN_MS;
    note_clock(l, s, result->clock_ms);
}

static void
avoid(struct lead *l, struct session *s, int64_t ms)
{
    int64_t until = l->node->now + ms * NS_PER_MS;

    if (until > s->plan.avoid_until) {
        s->plan.avoid_until = until;
    }
}

static void
start_refused(struct lead *l, struct session *s, struct run *r,
              enum node_refusal refusal)
{
    struct flow_step *step;
    Flow__Task task;

    event_write(&event_call,
                "call=start job=%016llx task=%u.%u.%u run=%u worker=%u "
                "refusal=%d",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run, s->number,
                (int)refusal);
    fill_task(&task, &r->task, s->number);
    switch (refusal) {
    case NODE_REFUSAL_TICKET:
        if (flow_task(l->state, &task, &step) != NULL) {
            plan_ticket_refused(step, s->number);
        }
        propose_never(l, s, r);
        break;
    case NODE_REFUSAL_ROOM:
    case NODE_REFUSAL_UNHEALTHY:
        avoid(l, s, AVOID_MS);
        propose_never(l, s, r);
        break;
    case NODE_REFUSAL_LATE:
    case NODE_REFUSAL_INVALID:
        propose_never(l, s, r);
        break;
    case NODE_REFUSAL_FENCED:
    case NODE_REFUSAL_OLD_RUN:
    case NODE_REFUSAL_OTHER_LIFE:
    case NODE_REFUSAL_GARBLED:
    case NODE_REFUSAL_NONE:
        set_phase(l, r, RUN_UNCERTAIN);
        break;
    }
}

/* The planner expects the room back after the run's expected time. */
static void
note_started(struct lead *l, const struct session *s,
             const struct node_task *task)
{
    struct flow_step *step;
    Flow__Task ref;
    struct flow_task *t;

    fill_task(&ref, task, s->number);
    t = flow_task(l->state, &ref, &step);
    if (t != NULL && t->run == task->run) {
        t->started_at = l->node->now;
    }
}

static void
start_done(struct node *n, struct out_call *call,
           const struct upstream_result *result)
{
    struct session *s = call_session(n, call);
    struct node_result decoded = {0};
    struct run *r;

    if (s == NULL) {
        return;
    }
    s->calls--;
    r = run_of(s, &call->task);
    if (result->failure != UPSTREAM_OK) {
        event_write(&event_call,
                    "call=start job=%016llx run=%u worker=%u failure=%s",
                    (unsigned long long)call->task.job, call->task.run,
                    s->number, upstream_failure_name(result->failure));
        if (r != NULL && r->phase == RUN_SENT) {
            set_phase(n->lead, r, RUN_UNCERTAIN);
        }
        return;
    }
    n->adapter->decode_result(&call->call, result->status,
                              buf_str(&result->body), &decoded);
    answered(n->lead, s, &decoded);
    if (r != NULL && r->phase == RUN_SENT) {
        if (decoded.refusal == NODE_REFUSAL_NONE) {
            set_phase(n->lead, r, RUN_ACTIVE);
            r->started = n->now;
            note_started(n->lead, s, &r->task);
        }
        else {
            start_refused(n->lead, s, r, decoded.refusal);
        }
    }
    node_result_free(&decoded);
}

static void
send_start(struct lead *l, struct session *s, const struct flow_worker *w,
           struct run *r)
{
    struct flow_step *step;
    Flow__Task ref;
    const struct flow_task *t;
    const struct flow_job *j = flow_job(l->state, r->task.job);
    struct out_call *call;

    fill_task(&ref, &r->task, s->number);
    t = flow_task(l->state, &ref, &step);
    if (t == NULL || !t->assigned || t->run != r->task.run ||
        j->state > FLOW_JOB_RUNNING) {
        propose_never(l, s, r);
        return;
    }
    call = call_create(l, s, w, NODE_CALL_START, start_done);
    call->task = r->task;
    call->call.u.start.task = r->task;
    call->call.u.start.payload =
        str_from(j->spec->payload.data, j->spec->payload.len);
    call->call.u.start.lease_until_ms = grant_lease(l, s);
    call->call.u.start.checkpoint = t->checkpoint;
    call->call.u.start.ticket = str_of(r->ticket);
    l->node->adapter->encode_call(&call->call, &call->http);
    set_phase(l, r, RUN_SENT);
    s->calls++;
    if (!out_send(l->node, call, l->node->now + CALL_TIMEOUT_MS * NS_PER_MS)) {
        s->calls--;
        set_phase(l, r, RUN_QUEUED);
    }
}

static void
stop_done(struct node *n, struct out_call *call,
          const struct upstream_result *result)
{
    struct session *s = call_session(n, call);
    struct node_result decoded = {0};
    struct run *r;

    if (s == NULL) {
        return;
    }
    s->calls--;
    r = run_of(s, &call->task);
    if (result->failure == UPSTREAM_OK) {
        n->adapter->decode_result(&call->call, result->status,
                                  buf_str(&result->body), &decoded);
        answered(n->lead, s, &decoded);
    }
    if (r != NULL && r->phase == RUN_STOP_SENT) {
        bool stopped = result->failure == UPSTREAM_OK &&
                       decoded.refusal == NODE_REFUSAL_NONE;

        set_phase(n->lead, r, stopped ? RUN_STOPPED : RUN_STOP_QUEUED);
    }
    node_result_free(&decoded);
}

static void
send_stop(struct lead *l, struct session *s, const struct flow_worker *w,
          struct run *r)
{
    struct out_call *call = call_create(l, s, w, NODE_CALL_STOP, stop_done);

    call->task = r->task;
    call->call.u.stop.task = r->task;
    l->node->adapter->encode_call(&call->call, &call->http);
    set_phase(l, r, RUN_STOP_SENT);
    s->calls++;
    if (!out_send(l->node, call, l->node->now + CALL_TIMEOUT_MS * NS_PER_MS)) {
        s->calls--;
        set_phase(l, r, RUN_STOP_QUEUED);
    }
}

/* Stops a run that the worker lists and that is not expected there. */
static void
stop_unexpected(struct lead *l, struct session *s,
                const struct node_task *task)
{
    struct run *r = map_get_u64(s->runs, run_key(task));

    if (r == NULL) {
        run_add(s, task, RUN_STOP_QUEUED, l->node->now);
    }
}

/*
 * Follows a run's progress: learns how fast the worker is, and stops a run
 * that stands still or is so slow that another worker does it sooner.
 */
static void
see_progress(struct lead *l, struct session *s, struct run *r,
             const struct node_running *in)
{
    struct flow_worker *w = flow_worker(l->state, s->number);
    const struct flow_job *j = flow_job(l->state, r->task.job);
    struct flow_step *step;
    Flow__Task ref;
    struct run_progress progress = {.now = l->node->now};

    fill_task(&ref, &r->task, s->number);
    if (r->started == 0 || in->percent != r->percent || r->progressed == 0) {
        r->started = r->started == 0 ? l->node->now : r->started;
        r->percent = in->percent;
        r->progressed = l->node->now;
    }
    if (j == NULL || flow_task(l->state, &ref, &step) == NULL ||
        step->spec->endless || r->phase != RUN_ACTIVE) {
        return;
    }
    progress.started = r->started;
    progress.progressed = r->progressed;
    progress.percent = r->percent;
    progress.run = r->task.run;
    progress.expected_ms = plan_run_ms(j, step, 1);
    progress.checkpoints = step->spec->checkpoints;
    /* A run that is on time is counted when it ends. */
    if (progress_projected_ms(&progress) > progress.expected_ms * 2) {
        plan_observe(w, j->queue, progress_projected_ms(&progress),
                     step->spec->estimate_ms, l->node->now);
    }
    if (progress_restart(&progress)) {
        event_write(&event_slow,
                    "job=%016llx task=%u.%u.%u run=%u worker=%.*s percent=%u "
                    "elapsed_ms=%lld expected_ms=%.0f outcome=stopped",
                    (unsigned long long)r->task.job, r->task.occurrence,
                    r->task.step, r->task.index, r->task.run, STR_ARG(w->id),
                    r->percent,
                    (long long)((l->node->now - r->started) / NS_PER_MS),
                    progress.expected_ms);
        avoid(l, s, AVOID_MS);
        set_phase(l, r, RUN_STOP_QUEUED);
    }
}

static void
see_running(struct lead *l, struct session *s,
            const struct node_result *result, int64_t sent)
{
    struct run *r;
    void *cursor = NULL;

    for (size_t i = 0; i < result->running_count; i++) {
        r = run_of(s, &result->running[i].task);
        if (r == NULL) {
            stop_unexpected(l, s, &result->running[i].task);
            continue;
        }
        if (r->phase == RUN_UNKNOWN || r->phase == RUN_UNCERTAIN) {
            set_phase(l, r, RUN_ACTIVE);
        }
        r->ending = false;
        see_progress(l, s, r, &result->running[i]);
    }
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        bool listed = false;

        for (size_t i = 0; !listed && i < result->running_count; i++) {
            listed = run_key(&result->running[i].task) == run_key(&r->task) &&
                     result->running[i].task.run == r->task.run;
        }
        for (size_t i = 0; !listed && i < result->ended_count; i++) {
            listed = run_key(&result->ended[i].task) == run_key(&r->task) &&
                     result->ended[i].task.run == r->task.run;
        }
        if (listed || sent < r->since) {
            continue;
        }
        if (r->phase == RUN_STOPPED) {
            propose_never(l, s, r);
        }
        else if (r->phase == RUN_UNKNOWN || r->phase == RUN_UNCERTAIN ||
                 r->phase == RUN_ACTIVE) {
            set_phase(l, r, RUN_STOP_QUEUED);
        }
    }
}

/* A worker on which tasks of several jobs fail in a row is suspect. */
static void
note_outcome(struct lead *l, struct session *s, const struct node_ended *e)
{
    struct run *r = run_of(s, &e->task);
    struct flow_job *j = flow_job(l->state, e->task.job);

    if (e->how == FLOW_END_DONE && r != NULL && r->started != 0 && j != NULL &&
        e->task.step < j->spec->n_steps) {
        plan_observe(flow_worker(l->state, s->number), j->queue,
                     (double)(l->node->now - r->started) / NS_PER_MS,
                     j->spec->steps[e->task.step]->estimate_ms, l->node->now);
    }
    if (e->how == FLOW_END_DONE) {
        s->failures = 0;
        return;
    }
    if (e->how != FLOW_END_FAILED || e->task.job == s->failed_job) {
        return;
    }
    s->failed_job = e->task.job;
    if (++s->failures >= FAILURES_SUSPECT) {
        avoid(l, s, SUSPECT_MS);
    }
}

static void
commit_ends(struct lead *l, struct session *s,
            const struct node_result *result, uint64_t last_seen)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__End *items = mem_alloc((result->ended_count + 1) * sizeof(*items));
    Flow__Task *tasks = mem_alloc((result->ended_count + 1) * sizeof(*tasks));
    Flow__End **list = mem_alloc((result->ended_count + 1) * sizeof(*list));
    uint64_t highest = last_seen;

    for (size_t i = 0; i < result->ended_count; i++) {
        const struct node_ended *e = &result->ended[i];

        if (e->number <= last_seen) {
            continue;
        }
        highest = e->number > highest ? e->number : highest;
        fill_task(&tasks[ends.n_ends], &e->task, s->number);
        flow__end__init(&items[ends.n_ends]);
        items[ends.n_ends].task = &tasks[ends.n_ends];
        items[ends.n_ends].how = e->how;
        items[ends.n_ends].checkpoint = (char *)e->checkpoint.ptr;
        list[ends.n_ends] = &items[ends.n_ends];
        ends.n_ends++;
        note_outcome(l, s, e);
        event_write(&event_end,
                    "job=%016llx task=%u.%u.%u run=%u how=%u worker=%u "
                    "number=%llu",
                    (unsigned long long)e->task.job, e->task.occurrence,
                    e->task.step, e->task.index, e->task.run, e->how,
                    s->number, (unsigned long long)e->number);
    }
    if (ends.n_ends > 0) {
        ends.worker = s->number;
        ends.last_seen = highest;
        ends.ends = list;
        command.kind_case = FLOW__COMMAND__KIND_ENDS;
        command.ends = &ends;
        lead_command(l, &command);
        s->proposed_seen = highest;
    }
    mem_free(list);
    mem_free(tasks);
    mem_free(items);
}

static void
poll_failed(struct lead *l, struct session *s,
            const struct upstream_result *result)
{
    s->failing = true;
    s->poll_due = l->node->now + s->retry_ms * NS_PER_MS;
    s->retry_ms =
        s->retry_ms * 2 > RETRY_MAX_MS ? RETRY_MAX_MS : s->retry_ms * 2;
    if (s->leaving && (result->failure == UPSTREAM_REFUSED ||
                       result->failure == UPSTREAM_RESET)) {
        propose_lost(l, s, "it left");
    }
}

static void
polled(struct lead *l, struct session *s, struct flow_worker *w,
       const struct node_result *result, int64_t sent)
{
    if (result->refusal == NODE_REFUSAL_OTHER_LIFE ||
        (result->born_ms >= 0 && result->born_ms != w->born_ms)) {
        propose_lost(l, s, "another worker answers at its address");
        return;
    }
    if (result->refusal != NODE_REFUSAL_NONE) {
        s->poll_due = l->node->now + RETRY_MAX_MS * NS_PER_MS;
        return;
    }
    answered(l, s, result);
    s->contacted = true;
    see_running(l, s, result, sent);
    commit_ends(l, s, result, w->last_seen);
    s->poll_due = l->node->now;
}

static void
poll_done(struct node *n, struct out_call *call,
          const struct upstream_result *result)
{
    struct session *s = call_session(n, call);
    struct flow_worker *w;
    struct node_result decoded = {0};

    if (s == NULL) {
        return;
    }
    s->polling = false;
    w = flow_worker(n->lead->state, s->number);
    if (w == NULL) {
        return;
    }
    if (result->failure != UPSTREAM_OK) {
        event_write(&event_call, "call=poll worker=%.*s failure=%s",
                    STR_ARG(w->id), upstream_failure_name(result->failure));
        poll_failed(n->lead, s, result);
        return;
    }
    n->adapter->decode_result(&call->call, result->status,
                              buf_str(&result->body), &decoded);
    polled(n->lead, s, w, &decoded, call->sent);
    node_result_free(&decoded);
}

static bool
fate_open(const struct session *s)
{
    struct run *r;
    void *cursor = NULL;

    while ((r = map_next(s->runs, &cursor)) != NULL) {
        if (r->phase == RUN_UNKNOWN || r->phase == RUN_UNCERTAIN ||
            r->phase == RUN_STOPPED) {
            return true;
        }
    }
    return false;
}

static void
send_poll(struct lead *l, struct session *s, const struct flow_worker *w)
{
    struct out_call *call = call_create(l, s, w, NODE_CALL_POLL, poll_done);
    uint32_t wait =
        !s->contacted || fate_open(s) ? POLL_SHORT_MS : POLL_WAIT_MS;

    call->call.u.poll.last_seen = w->last_seen;
    call->call.u.poll.lease_until_ms = grant_lease(l, s);
    call->call.u.poll.wait_ms = wait;
    l->node->adapter->encode_call(&call->call, &call->http);
    s->polling = out_send(l->node, call,
                          l->node->now + (wait + CALL_TIMEOUT_MS) * NS_PER_MS);
}

void
workers_start(struct lead *l, const struct planned_start *start)
{
    struct session *s = session_by_number(l, start->worker);
    struct flow_step *step;
    Flow__Task ref;
    const struct flow_task *t;
    struct run *r;

    fill_task(&ref, &start->task, start->worker);
    t = flow_task(l->state, &ref, &step);
    if (s == NULL || t == NULL || !t->assigned || t->run != start->task.run ||
        t->worker != start->worker) {
        return;
    }
    r = run_add(s, &start->task, RUN_QUEUED, l->node->now);
    memcpy(r->ticket, start->ticket, sizeof(r->ticket));
}

/* Whether a run should be on the worker at all. */
static bool
wanted(const struct lead *l, const struct session *s, const struct run *r)
{
    const struct flow_job *j = flow_job(l->state, r->task.job);
    struct flow_step *step;
    Flow__Task ref;
    const struct flow_task *t;

    fill_task(&ref, &r->task, s->number);
    t = flow_task(l->state, &ref, &step);
    if (t == NULL || !t->assigned || t->run != r->task.run ||
        t->worker != s->number || j->state > FLOW_JOB_RUNNING) {
        return false;
    }
    /* A gang whose run has lost a member is started again as a whole. */
    return !step->spec->gang || step->done == step->count ||
           step->assigned == step->count;
}

static bool
recorded_ended(const struct lead *l, const struct session *s,
               const struct run *r)
{
    struct flow_step *step;
    Flow__Task ref;
    const struct flow_task *t;

    fill_task(&ref, &r->task, s->number);
    t = flow_task(l->state, &ref, &step);
    return t == NULL || !t->assigned || t->run != r->task.run ||
           t->worker != s->number;
}

static bool
may_stop(const struct run *r)
{
    return r->phase == RUN_ACTIVE || r->phase == RUN_UNCERTAIN ||
           r->phase == RUN_UNKNOWN;
}

static void
step_run(struct lead *l, struct session *s, const struct flow_worker *w,
         struct run *r)
{
    bool stray = r->phase >= RUN_STOP_QUEUED;

    if (recorded_ended(l, s, r)) {
        /* Strays stay until the worker has acknowledged their stop. */
        if (!stray || r->phase == RUN_STOPPED || r->ending) {
            map_del_u64(s->runs, run_key(&r->task));
            mem_free(r);
            return;
        }
    }
    else if (!wanted(l, s, r)) {
        if (r->phase == RUN_QUEUED) {
            propose_never(l, s, r);
            return;
        }
        if (may_stop(r)) {
            set_phase(l, r, RUN_STOP_QUEUED);
        }
    }
    if (s->calls >= CALLS_MAX || r->ending) {
        return;
    }
    if (r->phase == RUN_QUEUED && !s->failing) {
        send_start(l, s, w, r);
    }
    else if (r->phase == RUN_STOP_QUEUED) {
        send_stop(l, s, w, r);
    }
}

static void
step_session(struct lead *l, struct session *s, const struct flow_worker *w)
{
    struct run *r;
    void *cursor = NULL;

    if (s->losing) {
        return;
    }
    if (l->node->now >= s->expires) {
        propose_lost(l, s, "its lease has expired");
        return;
    }
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        step_run(l, s, w, r);
    }
    /* A list of ends is asked for again only after those are recorded. */
    if (!s->polling && l->node->now >= s->poll_due &&
        w->last_seen >= s->proposed_seen) {
        send_poll(l, s, w);
    }
    if (!s->contacted || s->leaving) {
        s->plan.usable = false;
        return;
    }
    if (!s->plan.usable && l->node->now - s->heard < SILENT_MS * NS_PER_MS) {
        l->dirty = true;
    }
    s->plan.usable = l->node->now - s->heard < SILENT_MS * NS_PER_MS;
}

static void
follow_workers(struct lead *l)
{
    struct flow_worker *w;
    struct session *s;
    void *cursor = NULL;

    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        if (w->session == NULL) {
            session_create(l, w);
        }
    }
    cursor = NULL;
    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        if (flow_worker(l->state, s->number) == NULL) {
            session_free(l, s);
        }
    }
}

static int64_t
scan_ms(const struct lead *l)
{
    return SCAN_MS + (int64_t)map_count(l->sessions) / SCAN_SESSIONS_PER_MS;
}

void
workers_step(struct lead *l)
{
    struct session *s;
    void *cursor = NULL;
    bool all = l->node->now >= l->workers_due;

    if (all) {
        l->workers_due = l->node->now + scan_ms(l) * NS_PER_MS;
        follow_workers(l);
    }
    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        struct flow_worker *w;

        if (!all && !s->touched) {
            continue;
        }
        s->touched = false;
        w = flow_worker(l->state, s->number);
        if (w != NULL) {
            step_session(l, s, w);
        }
    }
}

int64_t
workers_next_deadline(const struct lead *l)
{
    return l->workers_due;
}
