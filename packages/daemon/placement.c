/*
 * Connects the scheduler to the leader: sends it events, queues its decisions
 * for commit or for the worker, and keeps a record of each lease.
 */
#include "log.h"
#include "mem.h"
#include "placement_impl.h"

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
placement_send_event(struct leader *l, const struct sched_event *event)
{
    sched_step(l->sched, l->control->now, event, &l->actions);
    handle_actions(l);
}

/* ---- Lease records ---- */

struct lease_record *
lease_record_create(struct leader *l, uint64_t lease, uint64_t job,
                    uint32_t task, uint32_t worker, uint64_t incarnation)
{
    struct lease_record *r = mem_zalloc(1, sizeof(*r));
    struct worker_session *w = worker_session_get(l, worker);

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

void
lease_record_free(struct leader *l, struct lease_record *r)
{
    struct worker_session *w = worker_session_get(l, r->worker);

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
queue_placement(struct leader *l, const struct sched_place_action *place)
{
    struct worker_session *w = worker_session_get(l, place->worker);
    struct lease_record *r =
        lease_record_create(l, place->lease, place->job, place->task,
                            place->worker, w->incarnation);

    r->size = place->size;
    GROW(l->placements, l->placement_count, l->placement_cap);
    l->placements[l->placement_count++] =
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
    struct state_task_end *end;

    if (r == NULL) {
        return;
    }
    if (!r->committed) {
        /* The placement was not committed: there is no end to commit. */
        lease_record_free(l, r);
        return;
    }
    GROW(l->ends, l->end_count, l->end_cap);
    end = &l->ends[l->end_count++];
    *end = (struct state_task_end){.lease = task->lease,
                                   .outcome = r->outcome,
                                   .exit_code = r->exit_code,
                                   .failures = task->failures,
                                   .losses = task->losses};
    switch (task->state) {
    case SCHED_TASK_WAITING:
        end->next = STATE_TASK_WAITING;
        if (end->outcome == STATE_OUTCOME_NONE) {
            /* The scheduler ended it without a report from the worker. */
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
apply_lease_action(struct leader *l, uint64_t lease,
                   enum sched_action_kind kind)
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
    worker_queue_answer(l, worker_session_get(l, r->worker));
}

static void
set_quarantined(struct leader *l, uint32_t number, bool on)
{
    struct worker_session *w = worker_session_get(l, number);

    w->quarantined = on;
    log_write(on ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE,
              on ? "placement: worker %.*s is in quarantine: tasks of "
                   "different jobs fail there"
                 : "placement: quarantine of worker %.*s has ended; it is "
                   "on probation",
              STR_ARG(w->name));
}

static void
handle_action(struct leader *l, const struct sched_action *action)
{
    switch (action->kind) {
    case SCHED_ACTION_PLACE:
        queue_placement(l, &action->u.place);
        break;
    case SCHED_ACTION_START:
    case SCHED_ACTION_STOP:
    case SCHED_ACTION_CHECKPOINT:
    case SCHED_ACTION_THROTTLE:
        apply_lease_action(l, action->u.lease, action->kind);
        break;
    case SCHED_ACTION_TASK:
        queue_end(l, &action->u.task);
        break;
    case SCHED_ACTION_JOB_OUTCOME:
        GROW(l->outcomes, l->outcome_count, l->outcome_cap);
        l->outcomes[l->outcome_count++] = action->u.outcome;
        break;
    case SCHED_ACTION_QUARANTINED:
        set_quarantined(l, action->u.worker, true);
        break;
    case SCHED_ACTION_RELEASED:
        set_quarantined(l, action->u.worker, false);
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

void
placement_step(struct leader *l)
{
    const struct sched_event tick = {.kind = SCHED_EVENT_TICK};

    if (!replica_leads(l->replica)) {
        return;
    }
    if (sched_next_deadline(l->sched) <= l->control->now) {
        int64_t began = clock_now();

        placement_send_event(l, &tick);
        leader_metrics_add_decision_ns(l->metrics, clock_now() - began);
    }
    placement_propose_queued(l);
}

/* ---- Input from the replicated state ---- */

void
placement_update_team(struct leader *l, const struct state_team *team)
{
    const struct state_limit *limit =
        state_effective_limit(leader_state(l), team->number);
    struct sched_event event = {.kind = SCHED_EVENT_TEAM};

    event.u.team.team = team->number;
    event.u.team.weight = team->weight == 0 ? 1 : team->weight;
    if (!team->removed) {
        event.u.team.limits =
            (struct sched_limits){limit->tasks, limit->cpu_milli,
                                  limit->memory_mib, limit->accelerators};
    }
    placement_send_event(l, &event);
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
placement_add_job(struct leader *l, const struct state_job *job)
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
    placement_send_event(l, &event);
}

void
placement_cancel_job(struct leader *l, uint64_t job)
{
    const struct sched_event event = {.kind = SCHED_EVENT_JOB_CANCEL,
                                      .u.cancel_job = job};

    placement_send_event(l, &event);
}

void
placement_create(struct leader *l)
{
    const struct state *state = leader_state(l);
    struct sched_config config;

    sched_config_default(&config);
    config.next_lease = state_highest_lease(state) + 1;
    config.weights = l->control->settings->weights;
    l->metrics = leader_metrics_create();
    l->sched = sched_create(&config, l->control->now);
    l->leases = map_create();
    l->usage = map_create();
    placement_restore(l);
}

void
placement_destroy(struct leader *l)
{
    struct lease_record *r;
    struct state_usage_sample *sample;
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
    leader_metrics_destroy(l->metrics);
    mem_free(l->placements);
    mem_free(l->ends);
    mem_free(l->outcomes);
}
