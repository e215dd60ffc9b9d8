/*
 * Workers' syncs: passes what a worker reports to the scheduler and holds the
 * call until there is something to answer.
 */
#include "mem.h"
#include "workers_impl.h"

static void
send_task_ended(struct leader *l, struct lease_record *r, enum sched_end end)
{
    struct sched_event event = {.kind = SCHED_EVENT_TASK_ENDED};

    if (r->ended) {
        return;
    }
    r->ended = true;
    event.u.ended.lease = r->lease;
    event.u.ended.end = end;
    placement_send_event(l, &event);
}

static enum sched_end
to_sched_end(int outcome)
{
    switch ((enum worker_outcome)outcome) {
    case WORKER_DONE:
        return SCHED_END_DONE;
    case WORKER_FAILED:
        return SCHED_END_FAILED;
    case WORKER_STOPPED:
        return SCHED_END_STOPPED;
    case WORKER_CHECKPOINTED:
        return SCHED_END_CHECKPOINTED;
    case WORKER_NOT_STARTED:
        break;
    }
    return SCHED_END_NEVER_STARTED;
}

static enum state_task_outcome
to_state_outcome(enum sched_end end)
{
    switch (end) {
    case SCHED_END_DONE:
        return STATE_OUTCOME_DONE;
    case SCHED_END_FAILED:
        return STATE_OUTCOME_FAILED;
    case SCHED_END_STOPPED:
        return STATE_OUTCOME_STOPPED;
    case SCHED_END_CHECKPOINTED:
        return STATE_OUTCOME_CHECKPOINTED;
    case SCHED_END_NEVER_STARTED:
        return STATE_OUTCOME_NEVER_STARTED;
    case SCHED_END_LOST:
        break;
    }
    return STATE_OUTCOME_LOST;
}

static void
handle_finished(struct leader *l, struct worker_session *w,
                const struct worker_sync *sync)
{
    for (size_t i = 0; i < sync->finished_count; i++) {
        const struct worker_finished *f = &sync->finished[i];
        struct lease_record *r = map_get_u64(l->leases, f->lease);
        enum sched_end end = to_sched_end(f->outcome);

        if (r == NULL) {
            /* Its end is committed, but its last sample may not be if the
             * worker's lease had expired. It is acknowledged only when no
             * sample is pending, so that the worker reports it again if this
             * leader fails before the commit. */
            if (map_get_u64(l->usage, f->lease) == NULL) {
                worker_ack_finished(l, w, f->lease);
            }
            continue;
        }
        if (r->worker != w->number || r->ended) {
            continue;
        }
        r->outcome = to_state_outcome(end);
        r->exit_code = (int32_t)f->exit_code;
        send_task_ended(l, r, end);
    }
}

static void
handle_usage(struct leader *l, const struct worker_session *w,
             const struct worker_sync *sync)
{
    for (size_t i = 0; i < sync->usage_count; i++) {
        const struct worker_usage *u = &sync->usage[i];
        struct sched_event event = {.kind = SCHED_EVENT_USAGE};
        const struct state_usage_sample latest = {
            u->lease, u->cpu_ms, u->memory_mib_s, u->accelerator_ms};
        struct state_usage_sample *sample = map_get_u64(l->usage, u->lease);
        struct lease_record *r = map_get_u64(l->leases, u->lease);

        if (r != NULL && r->worker != w->number) {
            continue;
        }
        if (!state_usage_is_recorded(leader_state(l), &latest)) {
            if (sample == NULL) {
                sample = mem_zalloc(1, sizeof(*sample));
                map_put_u64(l->usage, u->lease, sample);
            }
            *sample = latest;
        }
        event.u.usage = (struct sched_usage_event){
            u->lease,  u->cpu_milli,    u->memory_mib,
            u->cpu_ms, u->memory_mib_s, u->accelerator_ms};
        placement_send_event(l, &event);
    }
}

static bool
is_listed(const struct worker_sync *sync, uint64_t lease)
{
    for (size_t i = 0; i < sync->lease_count; i++) {
        if (sync->leases[i].lease == lease) {
            return true;
        }
    }
    return false;
}

static void
handle_leases(struct leader *l, struct worker_session *w,
              const struct worker_sync *sync)
{
    struct lease_record *next;

    for (size_t i = 0; i < sync->lease_count; i++) {
        struct lease_record *r = map_get_u64(l->leases, sync->leases[i].lease);
        struct sched_event event = {.kind = SCHED_EVENT_TASK_RUNNING};

        if (r == NULL || r->worker != w->number ||
            r->incarnation != w->incarnation || r->ended) {
            worker_stop_unknown(w, sync->leases[i].lease);
            continue;
        }
        if (!r->running) {
            r->running = true;
            event.u.lease = r->lease;
            placement_send_event(l, &event);
        }
    }
    for (struct lease_record *r = w->leases; r != NULL; r = next) {
        next = r->next;
        if (r->ended || r->incarnation != w->incarnation ||
            is_listed(sync, r->lease)) {
            continue;
        }
        if (r->running) {
            r->outcome = STATE_OUTCOME_LOST;
            send_task_ended(l, r, SCHED_END_LOST);
        }
        else if (r->stop_seq != 0 && sync->seq > r->stop_seq && r->committed &&
                 r->offered) {
            /* The worker reports neither its start nor its end, and acts only
             * on the answer to its latest sync, which does not start it. A
             * sync that came before the stop was sent may be an old one, which
             * says nothing about a start since. */
            r->outcome = STATE_OUTCOME_NEVER_STARTED;
            send_task_ended(l, r, SCHED_END_NEVER_STARTED);
        }
    }
}

static void
send_worker_up(struct leader *l, struct worker_session *w,
               const struct worker_sync *sync)
{
    struct sched_event event = {.kind = SCHED_EVENT_WORKER_UP};

    event.u.worker = (struct sched_worker_event){
        .worker = w->number,
        .incarnation = w->incarnation,
        .capacity = {sync->capacity.cpu_milli, sync->capacity.memory_mib,
                     sync->capacity.accelerators},
        .rack = sync->rack,
        .failure_domain = sync->failure_domain};
    placement_send_event(l, &event);
    w->up = true;
}

static void
start_incarnation(struct leader *l, struct worker_session *w,
                  uint64_t incarnation)
{
    worker_add_old_incarnation(l, w, w->incarnation,
                               w->expiry.pos == 0 ? l->control->now
                                                  : w->expiry.key);
    w->incarnation = incarnation;
    w->seq = 0;
    w->up = false;
    w->draining = false;
}

static void
handle_draining(struct leader *l, struct worker_session *w, bool draining)
{
    struct sched_event event = {.kind = SCHED_EVENT_WORKER_DRAINING};

    if (w->draining == draining) {
        return;
    }
    w->draining = draining;
    event.u.draining.worker = w->number;
    event.u.draining.draining = draining;
    placement_send_event(l, &event);
}

static void
hold_call(struct leader *l, struct worker_session *w, struct call *call,
          const struct worker_sync *sync)
{
    /* The worker's lease runs on while its sync is held. */
    int64_t longest = l->control->settings->worker_lease_ms / 3;
    int64_t wait = sync->wait_ms < longest ? sync->wait_ms : longest;

    w->held_call = call;
    w->hold_end.key = l->control->now + wait * NS_PER_MS;
    if (w->hold_end.key > call->deadline) {
        w->hold_end.key = call->deadline;
    }
    heap_insert(&l->held_syncs, &w->hold_end);
    if (worker_has_pending(w)) {
        worker_queue_answer(l, w);
    }
}

static void
handle_sync(struct leader *l, const struct state_worker *worker,
            struct call *call)
{
    const struct worker_sync *sync = &call->sync;
    struct worker_session *w = worker_session_get(l, worker->number);

    if (sync->incarnation != w->incarnation) {
        start_incarnation(l, w, sync->incarnation);
    }
    if (sync->seq < w->seq) {
        call_fail(call, 409, "stale", "seq", "a later sync was received");
        return;
    }
    if (w->held_call != NULL) {
        struct call *old = w->held_call;
        heap_remove(&l->held_syncs, &w->hold_end);
        w->held_call = NULL;
        call_fail(old, 409, "stale", "seq", "a later sync was received");
    }
    w->seq = sync->seq;
    if (!w->up) {
        send_worker_up(l, w, sync);
    }
    /* Usage comes first: a finished task's last sample is in this sync. */
    handle_usage(l, w, sync);
    handle_finished(l, w, sync);
    handle_leases(l, w, sync);
    handle_draining(l, w, sync->draining);
    hold_call(l, w, call, sync);
}

static void
registration_applied(struct call *call, const struct state_result *result)
{
    const struct state_worker *worker = state_worker_by_name(
        leader_state(call->leader), str_of(call->match.param));
    struct worker_session *session;

    if (result->kind != STATE_APPLIED || worker == NULL) {
        call_fail_state(call, result);
        return;
    }
    session = worker_session_get(call->leader, worker->number);
    /* The registration of an earlier incarnation may be applied after a later
     * one was received. */
    if (worker->incarnation != call->sync.incarnation ||
        session->incarnation > call->sync.incarnation) {
        call_fail(call, 409, "stale", "incarnation",
                  "a later incarnation was received");
        return;
    }
    /* Has handle_sync report the capacity, which may have changed. */
    session->up = false;
    handle_sync(call->leader, worker, call);
}

static bool
is_registered(const struct state_worker *worker,
              const struct worker_sync *sync)
{
    return worker != NULL && worker->incarnation == sync->incarnation &&
           str_eq(worker->rack, sync->rack) &&
           str_eq(worker->failure_domain, sync->failure_domain) &&
           worker->capacity.cpu_milli == sync->capacity.cpu_milli &&
           worker->capacity.memory_mib == sync->capacity.memory_mib &&
           worker->capacity.accelerators == sync->capacity.accelerators;
}

static void
register_worker(struct call *call)
{
    const struct worker_sync *sync = &call->sync;
    const struct state_capacity capacity = {
        (uint32_t)sync->capacity.cpu_milli,
        (uint32_t)sync->capacity.memory_mib,
        (uint32_t)sync->capacity.accelerators};
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};

    state_cmd_worker_put(&command, &actor, str_of(call->match.param),
                         sync->incarnation, sync->rack, sync->failure_domain,
                         &capacity);
    call_propose(call, &command, registration_applied);
}

void
api_worker_sync(struct call *call)
{
    const struct state_worker *worker;
    struct api_error error;

    if (!call->is_protobuf) {
        call->doc = worker_sync_parse(call->body, &call->sync, &error);
        if (call->doc == NULL) {
            call_fail_api(call, &error);
            return;
        }
    }
    worker = state_worker_by_name(leader_state(call->leader),
                                  str_of(call->match.param));
    if (worker != NULL && worker->incarnation > call->sync.incarnation) {
        call_fail(call, 409, "stale", "incarnation",
                  "a later incarnation was received");
        return;
    }
    if (!is_registered(worker, &call->sync)) {
        register_worker(call);
        return;
    }
    handle_sync(call->leader, worker, call);
}

bool
worker_release_call(struct leader *l, const struct call *call)
{
    const struct state_worker *worker;
    struct worker_session *w;

    if (call->match.route != API_WORKER_SYNC) {
        return false;
    }
    worker = state_worker_by_name(leader_state(l), str_of(call->match.param));
    w = worker == NULL ? NULL : map_get_u64(l->workers, worker->number);
    if (w == NULL || w->held_call != call) {
        return false;
    }
    heap_remove(&l->held_syncs, &w->hold_end);
    w->held_call = NULL;
    return true;
}
