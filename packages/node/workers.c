/*
 * Creates and removes the leader's sessions with workers.
 */
#include "session.h"

#include <string.h>

#include "clock.h"
#include "event.h"
#include "mem.h"
#include "worker_lease.h"

enum {
    /* A worker that has not answered for this long gets no new tasks. */
    SILENCE_MAX_MS = 2200,
    /* Interval between steps of all sessions, which find runs that must stop
     * because other runs ended. It grows by 1 ms per SCAN_SESSIONS_PER_MS
     * sessions. */
    SCAN_MIN_MS = 3,
    SCAN_SESSIONS_PER_MS = 10,
    /* A worker exits within this time after it has deregistered. */
    EXIT_MAX_MS = 1000,
    /* Low bits of a fencing token, which number the tokens of a term. The term
     * in the bits above them makes each leader's tokens higher than those of
     * earlier leaders. */
    TOKEN_NUMBER_BITS = 32,
};

static struct event_kind event_end = {.name = "end", .per_second = 200};
static struct event_kind event_lost = {.name = "worker-lost"};
static struct event_kind event_restart = {.name = "worker-restart"};

uint64_t
run_key(const struct node_task *t)
{
    uint64_t key = t->job;

    key ^= ((uint64_t)t->occurrence + 1) * UINT64_C(0x9e3779b97f4a7c15);
    key ^= ((uint64_t)t->step + 1) * UINT64_C(0xc2b2ae3d27d4eb4f);
    key ^= ((uint64_t)t->index + 1) * UINT64_C(0x165667b19e3779f9);
    key ^= ((uint64_t)t->run + 1) * UINT64_C(0xd6e8feb86659fd93);
    return key == 0 ? 1 : key;
}

void
session_queue_step(struct session *s)
{
    if (!s->step_queued) {
        s->step_queued = true;
        s->next_queued = s->leader->step_queue;
        s->leader->step_queue = s;
    }
}

static struct session *
worker_session(const struct flow_worker *w)
{
    return w->session;
}

struct run *
run_add(struct session *s, const struct node_task *task, enum run_phase phase,
        int64_t now)
{
    uint64_t key = run_key(task);
    struct run *r = map_get_u64(s->runs, key);

    if (r == NULL) {
        r = mem_zalloc(1, sizeof(*r));
        map_put_u64(s->runs, key, r);
    }
    *r = (struct run){.task = *task, .phase = phase, .phase_since = now};
    session_queue_step(s);
    return r;
}

static struct node_task
make_task(const struct flow_job *j, const struct flow_occurrence *o,
          const struct flow_step *step, uint32_t index)
{
    return (struct node_task){.job = j->id,
                              .occurrence = o->number,
                              .step = (uint32_t)(step - o->steps),
                              .index = index,
                              .run = step->tasks[index].run};
}

/* Adds a run that was assigned under a previous leader to the session of its
 * worker if that has just been created. */
static void
adopt_run(void *arg, struct flow_job *j, struct flow_occurrence *o,
          struct flow_step *step, uint32_t index)
{
    struct leader *l = arg;
    struct node_task task = make_task(j, o, step, index);
    struct flow_worker *w = flow_worker(l->state, step->tasks[index].worker);
    struct session *s = w == NULL ? NULL : worker_session(w);
    struct run *r;

    if (s != NULL && s->adopting) {
        /* This process may have led before. */
        step->tasks[index].confirmed_run = 0;
        step->tasks[index].moved_run = 0;
        r = run_add(s, &task, RUN_UNKNOWN, l->node->now);
        open_starts_adopt(&r->starts, l->node->now,
                          (int64_t)l->node->settings.lease_max_ms);
    }
}

/* Gives the session a token above all earlier ones, so that the worker refuses
 * calls with these from its next call on. */
static void
session_renew_token(struct leader *l, struct session *s)
{
    s->token = l->term << TOKEN_NUMBER_BITS | ++l->last_token;
}

static struct session *
session_create(struct leader *l, struct flow_worker *w)
{
    struct session *s = mem_zalloc(1, sizeof(*s));

    s->leader = l;
    s->number = w->number;
    s->born_ms = w->born_ms;
    session_renew_token(l, s);
    s->runs = map_create();
    s->retry_ms = RETRY_MIN_MS;
    s->lease_expires_at =
        l->node->now +
        worker_lease_bound_ns((int64_t)l->node->settings.lease_max_ms);
    w->session = s;
    map_put_u64(l->sessions, s->number, s);
    s->adopting = w->tasks > 0;
    return s;
}

static void
session_free(struct leader *l, struct session *s)
{
    struct run *r;
    void *cursor = NULL;
    struct session **queued = &l->step_queue;

    while (s->step_queued && *queued != NULL && *queued != s) {
        queued = &(*queued)->next_queued;
    }
    if (s->step_queued && *queued == s) {
        *queued = s->next_queued;
    }

    map_del_u64(l->sessions, s->number);
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        mem_free(r);
    }
    map_destroy(s->runs);
    buf_free(&s->announced);
    mem_free(s);
}

void
workers_destroy(struct leader *l)
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

size_t
workers_usable(const struct leader *l)
{
    struct session *s;
    void *cursor = NULL;
    size_t n = 0;

    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        n += s->plan.usable && s->plan.avoid_until_ns <= l->node->now;
    }
    return n;
}

static void
record_clock(struct session *s, int64_t clock_ms)
{
    if (clock_ms >= 0) {
        s->clock_known = true;
        /* node.now may be from before the worker read its clock, by seconds if
         * this VM was suspended since, and leases would seem to end early. */
        s->clock_read_at = clock_now();
        s->clock_ms = clock_ms;
    }
}

void
workers_record_announcement(const struct flow_worker *w, int64_t clock_ms)
{
    struct session *s = worker_session(w);

    if (s != NULL && !s->clock_known && !s->settling) {
        record_clock(s, clock_ms);
    }
}

void
workers_record_cold(const struct flow_worker *w, uint32_t cold_ms)
{
    struct session *s = worker_session(w);

    if (s != NULL && cold_ms > 0) {
        s->cold_until = s->leader->node->now + cold_ms * NS_PER_MS;
    }
}

/* Returns how many runs the worker may have or may get later without having
 * confirmed them. */
static size_t
count_unconfirmed_runs(const struct session *s)
{
    struct run *r;
    void *cursor = NULL;
    size_t n = 0;

    while ((r = map_next(s->runs, &cursor)) != NULL) {
        n += r->phase == RUN_UNKNOWN || r->phase == RUN_SENT ||
             r->phase == RUN_UNCERTAIN ||
             (r->phase == RUN_QUEUED && r->starts.count > 0);
    }
    return n;
}

/* Closes the calls that are open from the leader's point of view: their
 * results will be ignored. */
static void
abandon_calls(struct leader *l, struct session *s)
{
    struct run *r;
    void *cursor = NULL;

    session_renew_token(l, s);
    s->polling = false;
    s->poll_due = l->node->now;
    s->poll_answered = false;
    s->open_calls = 0;
    s->plan.usable = false;
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        if (r->phase == RUN_SENT) {
            open_starts_abandon(&r->starts);
            run_set_phase(l, r, RUN_UNCERTAIN);
        }
        else if (r->phase == RUN_STOP_SENT) {
            run_set_phase(l, r, RUN_STOP_QUEUED);
        }
    }
    session_queue_step(s);
}

void
session_verify(struct leader *l, struct session *s)
{
    if (!s->polling || s->poll_answered || s->poll_failing) {
        abandon_calls(l, s);
    }
}

void
workers_verify(struct leader *l, const struct flow_worker *w)
{
    struct session *s = worker_session(w);

    if (s != NULL) {
        session_verify(l, s);
    }
}

void
workers_fence(struct leader *l, const struct flow_worker *w)
{
    struct session *s = worker_session(w);

    if (s != NULL) {
        abandon_calls(l, s);
    }
}

void
session_restart(struct leader *l, struct session *s, int64_t born_ms)
{
    const struct flow_worker *w = flow_worker(l->state, s->number);
    int64_t lease_end =
        l->node->now +
        worker_lease_bound_ns((int64_t)l->node->settings.lease_max_ms);
    struct run *r;
    void *cursor = NULL;

    event_write(&event_restart,
                "worker=%.*s number=%u tasks=%u unconfirmed=%zu born=%lld "
                "earlier_born=%lld",
                STR_ARG(w->id), s->number, w->tasks, count_unconfirmed_runs(s),
                (long long)born_ms, (long long)s->born_ms);
    s->settling = true;
    s->born_ms = born_ms;
    s->deregistered = false;
    s->poll_failing = false;
    s->clock_known = false;
    abandon_calls(l, s);
    /* A call from before may have given the new process a whole lease. */
    if (s->lease_expires_at < lease_end) {
        s->lease_expires_at = lease_end;
    }
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        /* An earlier start of a queued run may reach the new process. */
        if (r->phase != RUN_QUEUED || r->starts.count > 0) {
            run_set_phase(l, r, RUN_UNKNOWN);
        }
    }
}

void
workers_restart_announced(struct leader *l, const struct flow_worker *w,
                          const Flow__Worker *announced)
{
    struct session *s = worker_session(w);
    size_t len = flow__worker__get_packed_size(announced);

    if (s == NULL || announced->born_ms < s->announced_born_ms ||
        (announced->born_ms == s->announced_born_ms &&
         announced->sequence < s->announced_sequence)) {
        return;
    }
    s->announced_born_ms = announced->born_ms;
    s->announced_sequence = announced->sequence;
    buf_clear(&s->announced);
    flow__worker__pack(announced, (uint8_t *)buf_reserve(&s->announced, len));
    s->announced.len = len;
    if (s->born_ms != announced->born_ms) {
        session_verify(l, s);
    }
}

bool
is_stale_result(const struct session *s, const struct out_call *call)
{
    return call->call.token != s->token;
}

uint64_t *
workers_announcement_sequence(const struct flow_worker *w)
{
    struct session *s = worker_session(w);

    return s == NULL ? NULL : &s->announcement_sequence;
}

void
workers_reset_proposals(struct leader *l)
{
    struct session *s;
    void *cursor = NULL;

    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        struct run *r;
        void *run_cursor = NULL;

        s->proposed_end_number = 0;
        s->removal_proposed = false;
        while ((r = map_next(s->runs, &run_cursor)) != NULL) {
            r->end_proposed = false;
        }
    }
}

void
workers_deregistered(const struct flow_worker *w)
{
    struct session *s = worker_session(w);

    if (s != NULL) {
        s->deregistered = true;
        s->exit_due_at = s->leader->node->now + EXIT_MAX_MS * NS_PER_MS;
        s->plan.usable = false;
    }
}

/*
 * A lease for tasks without an end counts from the worker's last answer, as a
 * start could otherwise extend it after the worker has failed.
 */
int64_t
session_extend_lease(struct leader *l, struct session *s)
{
    const struct flow_worker *w = flow_worker(l->state, s->number);
    bool endless = w != NULL && w->endless > 0;
    int64_t granted_at = endless ? s->clock_read_at : l->node->now;
    int64_t until;
    int64_t expires_at;

    if (!s->clock_known || s->poll_failing || s->settling) {
        return 0;
    }
    until = s->clock_ms + (granted_at - s->clock_read_at) / NS_PER_MS +
            worker_lease_ms((int64_t)l->node->settings.lease_max_ms, endless);
    expires_at = s->clock_read_at + worker_lease_bound_ns(until - s->clock_ms);
    if (expires_at > s->lease_expires_at) {
        s->lease_expires_at = expires_at;
    }
    return until;
}

void
run_set_phase(struct leader *l, struct run *r, enum run_phase phase)
{
    r->phase = phase;
    r->phase_since = l->node->now;
}

void
workers_propose_lost(struct leader *l, uint32_t worker)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__WorkerLost lost = FLOW__WORKER_LOST__INIT;

    lost.worker = worker;
    command.kind_case = FLOW__COMMAND__KIND_LOST;
    command.lost = &lost;
    leader_queue_command(l, &command);
}

/* Returns whether a start may still be sent that the worker's next process
 * would accept. */
static bool
has_open_start(const struct leader *l, const struct session *s)
{
    struct run *r;
    void *cursor = NULL;

    while ((r = map_next(s->runs, &cursor)) != NULL) {
        if (open_starts_any(&r->starts, l->node->now) ||
            (r->phase == RUN_SENT && l->node->now < r->starts.last_send_by)) {
            return true;
        }
    }
    return false;
}

void
session_propose_lost(struct leader *l, struct session *s, const char *reason)
{
    const struct flow_worker *w = flow_worker(l->state, s->number);

    if (s->removal_proposed || w == NULL || has_open_start(l, s)) {
        return;
    }
    s->removal_proposed = true;
    s->plan.usable = false;
    workers_propose_lost(l, s->number);
    event_write(&event_lost,
                "worker=%.*s number=%u tasks=%u unconfirmed=%zu reason=\"%s\" "
                "silent_ms=%lld lease_left_ms=%lld",
                STR_ARG(w->id), s->number, w->tasks, count_unconfirmed_runs(s),
                reason,
                (long long)((l->node->now - s->answered_at) / NS_PER_MS),
                (long long)((s->lease_expires_at - l->node->now) / NS_PER_MS));
}

void
run_propose_not_started(struct leader *l, struct session *s, struct run *r)
{
    Flow__Command command = FLOW__COMMAND__INIT;
    Flow__Ends ends = FLOW__ENDS__INIT;
    Flow__End end = FLOW__END__INIT;
    Flow__End *list[] = {&end};
    Flow__Task task;

    if (r->end_proposed || open_starts_any(&r->starts, l->node->now)) {
        return;
    }
    r->end_proposed = true;
    metrics_end(l->node->metrics, FLOW_END_NOT_STARTED);
    run_to_flow_task(&task, &r->task, s->number);
    end.task = &task;
    end.how = FLOW_END_NOT_STARTED;
    ends.worker = s->number;
    ends.ends = list;
    ends.n_ends = 1;
    command.kind_case = FLOW__COMMAND__KIND_ENDS;
    command.ends = &ends;
    leader_queue_command(l, &command);
    event_write(&event_end, "job=%016llx task=%u.%u.%u run=%u how=never",
                (unsigned long long)r->task.job, r->task.occurrence,
                r->task.step, r->task.index, r->task.run);
}

void
run_remove(struct session *s, struct run *r)
{
    map_del_u64(s->runs, run_key(&r->task));
    mem_free(r);
}

struct session *
session_find(struct leader *l, uint32_t number)
{
    return l == NULL ? NULL : map_get_u64(l->sessions, number);
}

struct run *
run_find(struct session *s, const struct node_task *task)
{
    struct run *r = map_get_u64(s->runs, run_key(task));

    return r != NULL && r->task.run == task->run ? r : NULL;
}

void
session_record_answer(struct leader *l, struct session *s,
                      const struct node_worker_result *result)
{
    s->answered_at = l->node->now;
    record_clock(s, result->clock_ms);
}

void
session_avoid(struct leader *l, struct session *s, int64_t ms)
{
    int64_t until = l->node->now + ms * NS_PER_MS;

    if (until > s->plan.avoid_until_ns) {
        s->plan.avoid_until_ns = until;
    }
}

struct flow_task *
run_find_assigned_task(const struct leader *l, uint32_t worker,
                       const struct node_task *task, struct flow_step **step)
{
    Flow__Task ref;
    struct flow_task *t;

    run_to_flow_task(&ref, task, worker);
    t = flow_task(l->state, &ref, step);
    return t != NULL && t->assigned && t->run == task->run &&
                   t->worker == worker
               ? t
               : NULL;
}

void
workers_queue_start(struct leader *l, const struct planned_start *start)
{
    struct session *s = session_find(l, start->worker);
    struct flow_step *step;
    struct run *r;

    if (s == NULL || run_find_assigned_task(l, start->worker, &start->task,
                                            &step) == NULL) {
        return;
    }
    r = run_add(s, &start->task, RUN_QUEUED, l->node->now);
    memcpy(r->ticket, start->ticket, sizeof(r->ticket));
}

/* Returns whether the new process has answered and no run of the registered
 * one can be executing or be started there. */
static bool
is_settled(const struct leader *l, const struct session *s)
{
    return s->poll_answered && !l->plan_committing && map_count(s->runs) == 0;
}

/* Registers the new process if its announcement was received; otherwise
 * removes the worker, which its next announcement adds again. */
static void
register_new_process(struct leader *l, struct session *s)
{
    Flow__Command command = FLOW__COMMAND__INIT;

    command.worker =
        s->announced_born_ms != s->born_ms
            ? NULL
            : flow__worker__unpack(NULL, s->announced.len,
                                   (const uint8_t *)s->announced.ptr);
    if (command.worker == NULL) {
        session_propose_lost(l, s, "restarted, and not announced yet");
        return;
    }
    command.kind_case = FLOW__COMMAND__KIND_WORKER;
    leader_queue_command(l, &command);
    flow__worker__free_unpacked(command.worker, NULL);
    s->removal_proposed = true;
}

static void
step_session(struct leader *l, struct session *s, const struct flow_worker *w)
{
    struct run *r;
    void *cursor = NULL;

    if (s->removal_proposed) {
        return;
    }
    if (l->node->now >= s->lease_expires_at) {
        session_propose_lost(l, s, "its lease has expired");
        return;
    }
    s->stray_runs = 0;
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        s->stray_runs += run_is_stray(l, s, r);
    }
    cursor = NULL;
    while ((r = map_next(s->runs, &cursor)) != NULL) {
        run_step(l, s, w, r);
    }
    if (s->settling && is_settled(l, s)) {
        register_new_process(l, s);
        return;
    }
    /* The next poll acknowledges the ends reported last, so it waits until
     * they are committed. */
    if (!s->polling && l->node->now >= s->poll_due &&
        w->last_seen >= s->proposed_end_number) {
        session_poll(l, s, w);
    }
    if (!s->poll_answered || s->deregistered || s->settling ||
        s->stray_runs > 0 || s->lists_unreadable) {
        s->plan.usable = false;
        return;
    }
    if (!s->plan.usable &&
        l->node->now - s->answered_at < SILENCE_MAX_MS * NS_PER_MS) {
        l->plan_needed = true;
    }
    s->plan.usable =
        l->node->now - s->answered_at < SILENCE_MAX_MS * NS_PER_MS;
}

static void
sync_sessions(struct leader *l)
{
    struct flow_worker *w;
    struct session *s;
    void *cursor = NULL;
    bool adopting = false;

    while ((w = flow_worker_next(l->state, &cursor)) != NULL) {
        if (w->session == NULL) {
            adopting = session_create(l, w)->adopting || adopting;
        }
    }
    /* One pass for all new sessions: a new leader has one for each worker. */
    if (adopting) {
        flow_visit_assigned(l->state, 0, adopt_run, l);
    }
    cursor = NULL;
    while ((s = map_next(l->sessions, &cursor)) != NULL) {
        s->adopting = false;
        if (flow_worker(l->state, s->number) == NULL) {
            session_free(l, s);
        }
    }
}

static int64_t
scan_interval_ms(const struct leader *l)
{
    return SCAN_MIN_MS +
           (int64_t)map_count(l->sessions) / SCAN_SESSIONS_PER_MS;
}

static void
step_if_registered(struct leader *l, struct session *s)
{
    struct flow_worker *w = flow_worker(l->state, s->number);

    if (w != NULL) {
        step_session(l, s, w);
    }
}

/* Steps all queued sessions, including those queued by these steps. */
static void
step_queued_sessions(struct leader *l)
{
    while (l->step_queue != NULL) {
        struct session *s = l->step_queue;

        l->step_queue = s->next_queued;
        s->step_queued = false;
        step_if_registered(l, s);
    }
}

void
workers_step(struct leader *l)
{
    struct session *s;
    void *cursor = NULL;

    if (l->node->now >= l->workers_due) {
        l->workers_due = l->node->now + scan_interval_ms(l) * NS_PER_MS;
        sync_sessions(l);
        while ((s = map_next(l->sessions, &cursor)) != NULL) {
            step_if_registered(l, s);
        }
    }
    step_queued_sessions(l);
}

int64_t
workers_next_deadline(const struct leader *l)
{
    return l->workers_due;
}
