/*
 * Connects the scheduler with the replicated state: feeds it events, commits
 * what it decides, and keeps a record of each lease.
 */
#include <inttypes.h>

#include "counter.h"
#include "leader_impl.h"
#include "log.h"
#include "mem.h"

static void
handle_actions(struct leader *l);

#define GROW(list, count, cap)                                                \
    do {                                                                      \
        if ((count) == (cap)) {                                               \
            (cap) = (cap) == 0 ? 64 : (cap)*2;                                \
            (list) = mem_realloc((list), (cap), sizeof(*(list)));             \
        }                                                                     \
    } while (0)

void
placement_feed(struct leader *l, const struct sched_event *event)
{
    sched_step(l->sched, l->control->now, event, &l->actions);
    handle_actions(l);
}

static void
feed_lease(struct leader *l, enum sched_event_kind kind, uint64_t lease)
{
    const struct sched_event event = {.kind = kind, .u.lease = lease};

    placement_feed(l, &event);
}

/* ---- Lease records ---- */

static struct lease_record *
record_create(struct leader *l, uint64_t lease, uint64_t job, uint32_t task,
              uint32_t worker, uint64_t incarnation)
{
    struct lease_record *r = mem_zalloc(1, sizeof(*r));
    struct worker_session *w = worker_session(l, worker);

    r->lease = lease;
    r->job = job;
    r->task = task;
    r->worker = worker;
    r->incarnation = incarnation;
    r->next = w->leases;
    if (w->leases != NULL) {
        w->leases->prev = r;
    }
    w->leases = r;
    map_put_u64(l->leases, lease, r);
    return r;
}

static void
record_free(struct leader *l, struct lease_record *r)
{
    struct worker_session *w = worker_session(l, r->worker);

    if (r->prev == NULL) {
        w->leases = r->next;
    }
    else {
        r->prev->next = r->next;
    }
    if (r->next != NULL) {
        r->next->prev = r->prev;
    }
    map_del_u64(l->leases, r->lease);
    mem_free(r);
}

/* ---- Actions ---- */

static void
queue_place(struct leader *l, const struct sched_place_action *place)
{
    struct worker_session *w = worker_session(l, place->worker);
    struct lease_record *r =
        record_create(l, place->lease, place->job, place->task, place->worker,
                      w->incarnation);

    r->size = place->size;
    GROW(l->places, l->place_count, l->place_cap);
    l->places[l->place_count++] =
        (struct state_placement){.job = place->job,
                                 .task = place->task,
                                 .worker = place->worker,
                                 .incarnation = w->incarnation,
                                 .lease = place->lease,
                                 .cpu_milli = place->size.cpu_milli,
                                 .memory_mib = place->size.memory_mib,
                                 .accelerators = place->size.accelerators};
}

static void
queue_end(struct leader *l, const struct sched_task_action *task)
{
    struct lease_record *r = map_get_u64(l->leases, task->lease);
    struct state_end *end;

    if (r == NULL) {
        return;
    }
    if (!r->committed) {
        /* The state never saw this lease, so nothing has to be ended. */
        record_free(l, r);
        return;
    }
    GROW(l->ends, l->end_count, l->end_cap);
    end = &l->ends[l->end_count++];
    *end = (struct state_end){.lease = task->lease,
                              .outcome = r->outcome,
                              .exit_code = r->exit_code,
                              .failures = task->failures,
                              .losses = task->losses};
    switch (task->state) {
    case SCHED_TASK_WAITING:
        end->next = STATE_TASK_WAITING;
        if (end->outcome == STATE_OUTCOME_NONE) {
            /* Given up by the scheduler, without a report of the worker. */
            end->outcome =
                r->offered ? STATE_OUTCOME_LOST : STATE_OUTCOME_NEVER_STARTED;
        }
        break;
    case SCHED_TASK_DONE:
        end->next = STATE_TASK_ENDED;
        end->outcome = STATE_OUTCOME_DONE;
        break;
    case SCHED_TASK_FAILED:
        end->next = STATE_TASK_ENDED;
        end->outcome = STATE_OUTCOME_FAILED;
        break;
    case SCHED_TASK_CANCELLED:
        end->next = STATE_TASK_ENDED;
        end->outcome = STATE_OUTCOME_STOPPED;
        break;
    case SCHED_TASK_UNKNOWN:
    case SCHED_TASK_PLACED:
        end->next = STATE_TASK_ENDED;
        end->outcome = STATE_OUTCOME_LOST;
        break;
    }
}

static void
order_worker(struct leader *l, uint64_t lease, enum sched_action_kind kind)
{
    struct lease_record *r = map_get_u64(l->leases, lease);

    if (r == NULL) {
        return;
    }
    switch (kind) {
    case SCHED_ACTION_START:
        r->offered = true;
        break;
    case SCHED_ACTION_STOP:
        r->stop = true;
        break;
    case SCHED_ACTION_CHECKPOINT:
        r->checkpoint = true;
        break;
    case SCHED_ACTION_THROTTLE:
        r->throttle = true;
        break;
    default:
        return;
    }
    worker_ready(l, worker_session(l, r->worker));
}

static void
mark_quarantine(struct leader *l, uint32_t number, bool on)
{
    struct worker_session *w = worker_session(l, number);

    w->quarantined = on;
    log_write(on ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE,
              on ? "placement: worker %.*s is in quarantine: tasks of "
                   "different jobs fail there"
                 : "placement: worker %.*s is on probation",
              STR_ARG(w->name));
}

static void
handle_action(struct leader *l, const struct sched_action *action)
{
    switch (action->kind) {
    case SCHED_ACTION_PLACE:
        queue_place(l, &action->u.place);
        break;
    case SCHED_ACTION_START:
    case SCHED_ACTION_STOP:
    case SCHED_ACTION_CHECKPOINT:
    case SCHED_ACTION_THROTTLE:
        order_worker(l, action->u.lease, action->kind);
        break;
    case SCHED_ACTION_TASK:
        queue_end(l, &action->u.task);
        break;
    case SCHED_ACTION_JOB_OUTCOME:
        GROW(l->outcomes, l->outcome_count, l->outcome_cap);
        l->outcomes[l->outcome_count++] = action->u.outcome;
        break;
    case SCHED_ACTION_QUARANTINED:
        mark_quarantine(l, action->u.worker, true);
        break;
    case SCHED_ACTION_RELEASED:
        mark_quarantine(l, action->u.worker, false);
        break;
    }
}

static void
handle_actions(struct leader *l)
{
    for (size_t i = 0; i < l->actions.count; i++) {
        handle_action(l, &l->actions.items[i]);
    }
    sched_actions_clear(&l->actions);
}

/* ---- Commits ---- */

/* A batch of placements or ends whose command is being committed. */
struct batch {
    struct leader *leader;
    size_t count;
    uint64_t leases[];
};

static struct batch *
batch_create(struct leader *l, size_t count)
{
    struct batch *b = mem_zalloc(1, sizeof(*b) + count * sizeof(b->leases[0]));

    b->leader = l;
    b->count = count;
    return b;
}

static bool
is_rejected(const struct state_result *result, size_t item)
{
    if (result->kind != STATE_APPLIED) {
        return true;
    }
    for (size_t i = 0; i < result->u.applied.reject_count; i++) {
        if (result->u.applied.rejects[i].item == item) {
            return true;
        }
    }
    return false;
}

static void
places_applied(void *arg, const struct state_result *result)
{
    struct batch *b = arg;
    struct leader *l = b->leader;

    for (size_t i = 0; result != NULL && i < b->count; i++) {
        struct lease_record *r = map_get_u64(l->leases, b->leases[i]);
        bool rejected = is_rejected(result, i);

        if (r != NULL) {
            r->committed = !rejected;
        }
        feed_lease(l,
                   rejected ? SCHED_EVENT_PLACEMENT_FAILED
                            : SCHED_EVENT_PLACEMENT_COMMITTED,
                   b->leases[i]);
        if (rejected && r != NULL &&
            map_get_u64(l->leases, b->leases[i]) == r) {
            record_free(l, r);
        }
    }
    mem_free(b);
}

static void
flush_places(struct leader *l)
{
    struct state_actor actor = leader_actor();
    struct buf command = {0};
    struct batch *b;

    if (l->place_count == 0) {
        return;
    }
    b = batch_create(l, l->place_count);
    for (size_t i = 0; i < b->count; i++) {
        b->leases[i] = l->places[i].lease;
    }
    state_cmd_tasks_placed(&command, &actor, l->places, l->place_count);
    if (replica_propose(l->replica, buf_str(&command),
                        (struct replica_waiter){places_applied, b})) {
        l->place_count = 0;
    }
    else {
        mem_free(b);
    }
    buf_free(&command);
}

static void
ends_applied(void *arg, const struct state_result *result)
{
    struct batch *b = arg;
    struct leader *l = b->leader;

    for (size_t i = 0; result != NULL && i < b->count; i++) {
        struct lease_record *r = map_get_u64(l->leases, b->leases[i]);

        if (r == NULL) {
            continue;
        }
        worker_ack(l, worker_session(l, r->worker), r->lease);
        record_free(l, r);
    }
    mem_free(b);
}

static bool
flush_ends(struct leader *l)
{
    struct state_actor actor = leader_actor();
    struct buf command = {0};
    struct batch *b;
    bool ok;

    if (l->end_count == 0) {
        return true;
    }
    b = batch_create(l, l->end_count);
    for (size_t i = 0; i < b->count; i++) {
        b->leases[i] = l->ends[i].lease;
    }
    state_cmd_tasks_ended(&command, &actor, l->ends, l->end_count);
    ok = replica_propose(l->replica, buf_str(&command),
                         (struct replica_waiter){ends_applied, b});
    if (ok) {
        l->end_count = 0;
    }
    else {
        mem_free(b);
    }
    buf_free(&command);
    return ok;
}

struct outcome_wait {
    struct leader *leader;
    uint64_t job;
};

static void
outcome_applied(void *arg, const struct state_result *result)
{
    struct outcome_wait *w = arg;

    if (result != NULL) {
        job_changed(w->leader, w->job);
    }
    mem_free(w);
}

static enum state_job_state
outcome_state(const struct state_job *job, enum sched_outcome outcome)
{
    switch (outcome) {
    case SCHED_OUTCOME_DONE:
        return STATE_JOB_DONE;
    case SCHED_OUTCOME_FAILED:
        return STATE_JOB_FAILED;
    case SCHED_OUTCOME_CANCELLED:
        return STATE_JOB_CANCELLED;
    case SCHED_OUTCOME_UNKNOWN:
        return STATE_JOB_UNKNOWN;
    case SCHED_OUTCOME_UNSCHEDULABLE:
        return STATE_JOB_UNSCHEDULABLE;
    case SCHED_OUTCOME_SCHEDULABLE:
        break;
    }
    return job->placed > 0 ? STATE_JOB_RUNNING : STATE_JOB_QUEUED;
}

static bool
propose_outcome(struct leader *l, const struct sched_outcome_action *action)
{
    const struct state_job *job = state_job(leader_state(l), action->job);
    struct state_actor actor = leader_actor();
    struct buf command = {0};
    struct outcome_wait *wait;
    const char *reason = action->reason == SCHED_REASON_NONE
                             ? ""
                             : sched_reason_text(action->reason);
    bool ok;

    if (job == NULL || state_job_terminal(job->state)) {
        return true;
    }
    wait = mem_zalloc(1, sizeof(*wait));
    wait->leader = l;
    wait->job = action->job;
    state_cmd_job_outcome(&command, &actor, action->job,
                          outcome_state(job, action->outcome), str_of(reason));
    ok = replica_propose(l->replica, buf_str(&command),
                         (struct replica_waiter){outcome_applied, wait});
    if (!ok) {
        mem_free(wait);
    }
    buf_free(&command);
    return ok;
}

static void
flush_outcomes(struct leader *l)
{
    size_t done = 0;

    while (done < l->outcome_count && propose_outcome(l, &l->outcomes[done])) {
        done++;
    }
    for (size_t i = done; i < l->outcome_count; i++) {
        l->outcomes[i - done] = l->outcomes[i];
    }
    l->outcome_count -= done;
}

static void
flush_usage(struct leader *l)
{
    size_t count = map_count(l->usage);
    struct state_actor actor = leader_actor();
    struct buf command = {0};
    struct state_sample *list;
    struct state_sample *sample;
    void *cursor = NULL;
    size_t n = 0;

    if (count == 0) {
        return;
    }
    list = mem_alloc(count * sizeof(*list));
    while ((sample = map_next(l->usage, &cursor)) != NULL) {
        list[n++] = *sample;
    }
    state_cmd_usage(&command, &actor, list, n);
    /* Samples are cumulative: the next one makes good a lost command. */
    if (replica_propose(l->replica, buf_str(&command), replica_no_waiter)) {
        cursor = NULL;
        while ((sample = map_next(l->usage, &cursor)) != NULL) {
            map_del_u64(l->usage, sample->lease);
            mem_free(sample);
        }
    }
    mem_free(list);
    buf_free(&command);
}

void
placement_step(struct leader *l)
{
    const struct sched_event tick = {.kind = SCHED_EVENT_TICK};

    if (!replica_leads(l->replica)) {
        return;
    }
    if (sched_next_deadline(l->sched) <= l->control->now) {
        placement_feed(l, &tick);
    }
    /* Usage goes before the ends, whose samples are the last ones. */
    if (l->end_count != 0 || l->usage_due <= l->control->now) {
        flush_usage(l);
        l->usage_due = l->control->now + USAGE_FLUSH_MS * NS_PER_MS;
    }
    /* A placement may use what an end has freed, so ends go first. */
    if (flush_ends(l)) {
        flush_places(l);
        flush_outcomes(l);
    }
}

/* ---- Input from the replicated state ---- */

void
placement_team(struct leader *l, const struct state_team *team)
{
    const struct state_limit *limit =
        state_limit_of(leader_state(l), team->number);
    struct sched_event event = {.kind = SCHED_EVENT_TEAM};

    event.u.team.team = team->number;
    event.u.team.weight = team->weight == 0 ? 1 : team->weight;
    if (!team->removed) {
        event.u.team.limits =
            (struct sched_limits){limit->tasks, limit->cpu_milli,
                                  limit->memory_mib, limit->accelerators};
    }
    placement_feed(l, &event);
}

static enum sched_class class_of(enum state_job_class class)
{
    switch (class) {
    case STATE_JOB_SERVICE:
        return SCHED_CLASS_SERVICE;
    case STATE_JOB_GANG:
        return SCHED_CLASS_GANG;
    case STATE_JOB_BATCH:
        break;
    }
    return SCHED_CLASS_BATCH;
}

void
placement_job(struct leader *l, const struct state_job *job)
{
    const struct state_team *team = state_team(leader_state(l), job->team);
    struct sched_event event = {.kind = SCHED_EVENT_JOB};

    event.u.job = (struct sched_job_event){
        .job = job->number,
        .team = job->team,
        .name = job->name,
        .class = class_of(job->spec.class),
        .tasks = job->spec.tasks,
        .size = {job->spec.cpu_milli, job->spec.memory_mib,
                 job->spec.accelerators},
        .urgent = job->spec.urgent,
        .idempotent = job->spec.idempotent,
        .open_queue = job->spec.queue.len != 0 && team != NULL &&
                      !str_eq(job->spec.queue, team->name),
        .run_time_ns = job->spec.run_time_s * NS_PER_S};
    placement_feed(l, &event);
}

void
placement_cancel(struct leader *l, uint64_t job)
{
    const struct sched_event event = {.kind = SCHED_EVENT_JOB_CANCEL,
                                      .u.cancel_job = job};

    placement_feed(l, &event);
}

static enum sched_task_state
restored_state(const struct state_task *task)
{
    switch ((enum state_task_state)task->state) {
    case STATE_TASK_WAITING:
        return SCHED_TASK_WAITING;
    case STATE_TASK_PLACED:
        return SCHED_TASK_PLACED;
    case STATE_TASK_ENDED:
        break;
    }
    switch ((enum state_task_outcome)task->outcome) {
    case STATE_OUTCOME_DONE:
        return SCHED_TASK_DONE;
    case STATE_OUTCOME_FAILED:
        return SCHED_TASK_FAILED;
    case STATE_OUTCOME_STOPPED:
        return SCHED_TASK_CANCELLED;
    default:
        return SCHED_TASK_UNKNOWN;
    }
}

static void
restore_task(struct leader *l, const struct state_job *job, uint32_t index)
{
    const struct state_task *task = &job->tasks[index];
    struct sched_event event = {.kind = SCHED_EVENT_RESTORE};
    struct lease_record *r;

    if (task->state == STATE_TASK_WAITING && task->lease == 0) {
        return;
    }
    event.u.restore = (struct sched_restore_event){
        .job = job->number,
        .task = index,
        .state = restored_state(task),
        .worker = task->worker,
        .incarnation = task->incarnation,
        .lease = task->lease,
        .size = {task->cpu_milli, task->memory_mib, task->accelerators},
        .failures = task->failures,
        .losses = task->losses};
    if (task->state == STATE_TASK_PLACED) {
        worker_restore(l, task->worker, task->incarnation);
        r = record_create(l, task->lease, job->number, index, task->worker,
                          task->incarnation);
        r->size = event.u.restore.size;
        r->committed = true;
        /* The worker starts a lease at most once, so it may be offered again
         * in case the predecessor's answer was lost. */
        r->offered = true;
    }
    placement_feed(l, &event);
}

static void
restore_jobs(struct leader *l)
{
    const struct state *state = leader_state(l);
    const struct state_job *job;
    void *cursor = NULL;

    while ((job = state_job_next(state, &cursor)) != NULL) {
        if (!state_job_terminal(job->state)) {
            placement_job(l, job);
        }
    }
    cursor = NULL;
    while ((job = state_job_next(state, &cursor)) != NULL) {
        for (uint32_t i = 0;
             !state_job_terminal(job->state) && i < job->spec.tasks; i++) {
            restore_task(l, job, i);
        }
    }
    cursor = NULL;
    while ((job = state_job_next(state, &cursor)) != NULL) {
        if (job->cancel && !state_job_terminal(job->state)) {
            placement_cancel(l, job->number);
        }
    }
}

void
placement_create(struct leader *l)
{
    const struct state *state = leader_state(l);
    struct sched_config config;

    sched_config_default(&config);
    config.next_lease = state_highest_lease(state) + 1;
    config.weights = l->control->settings->weights;
    l->sched = sched_create(&config, l->control->now);
    l->leases = map_create();
    l->usage = map_create();
    for (size_t i = 0; i < state_team_count(state); i++) {
        placement_team(l, state_team_at(state, i));
    }
    restore_jobs(l);
}

void
placement_destroy(struct leader *l)
{
    struct lease_record *r;
    struct state_sample *sample;
    void *cursor = NULL;

    while ((r = map_next(l->leases, &cursor)) != NULL) {
        mem_free(r);
    }
    cursor = NULL;
    while ((sample = map_next(l->usage, &cursor)) != NULL) {
        mem_free(sample);
    }
    map_destroy(l->leases);
    map_destroy(l->usage);
    sched_actions_free(&l->actions);
    sched_destroy(l->sched);
    mem_free(l->places);
    mem_free(l->ends);
    mem_free(l->outcomes);
}
