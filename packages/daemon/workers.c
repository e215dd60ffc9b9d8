/*
 * Workers' sessions on the leader: syncs, leases and what workers are told.
 */
#include <inttypes.h>

#include "leader_impl.h"
#include "log.h"
#include "mem.h"

#define WORKER_OF(node, member)                                               \
    ((struct worker_session *)((char *)(node)-offsetof(struct worker_session, \
                                                       member)))

/* An earlier process of a worker whose lease may not have ended. */
struct old_incarnation {
    struct worker_session *worker;
    uint64_t incarnation;
    struct heap_node expiry;
};

#define OLD_OF(node)                                                          \
    ((struct old_incarnation *)((char *)(node)-offsetof(                      \
        struct old_incarnation, expiry)))

static struct worker_session *
session_create(struct leader *l, const struct state_worker *worker)
{
    struct worker_session *w = mem_zalloc(1, sizeof(*w));

    w->number = worker->number;
    w->name = str_dup(worker->name);
    w->incarnation = worker->incarnation;
    w->expiry.seq = worker->number;
    w->poll.seq = worker->number;
    map_put_u64(l->workers, worker->number, w);
    return w;
}

struct worker_session *
worker_session(struct leader *l, uint32_t number)
{
    struct worker_session *w = map_get_u64(l->workers, number);
    const struct state_worker *worker;

    if (w != NULL) {
        return w;
    }
    worker = state_worker(leader_state(l), number);
    return session_create(l, worker);
}

/* Leases of the predecessor count as just renewed. */
void
workers_create(struct leader *l)
{
    const struct state_worker *worker;
    void *cursor = NULL;

    l->workers = map_create();
    while ((worker = state_worker_next(leader_state(l), &cursor)) != NULL) {
        struct worker_session *w = session_create(l, worker);

        w->expiry.key =
            leader_lease_end(l, l->control->settings->worker_lease_ms);
        heap_insert(&l->worker_expiry, &w->expiry);
    }
}

static void
add_old_incarnation(struct leader *l, struct worker_session *w,
                    uint64_t incarnation, int64_t expiry)
{
    struct old_incarnation *o = mem_zalloc(1, sizeof(*o));

    o->worker = w;
    o->incarnation = incarnation;
    o->expiry.key = expiry;
    heap_insert(&l->old_incarnations, &o->expiry);
}

void
worker_restore(struct leader *l, uint32_t worker, uint64_t incarnation)
{
    struct worker_session *w = worker_session(l, worker);

    if (incarnation == w->incarnation) {
        return;
    }
    for (const struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->incarnation == incarnation) {
            return;
        }
    }
    add_old_incarnation(
        l, w, incarnation,
        leader_lease_end(l, l->control->settings->worker_lease_ms));
}

void
workers_destroy(struct leader *l)
{
    struct worker_session *w;
    struct heap_node *n;
    void *cursor = NULL;

    while ((n = heap_pop(&l->old_incarnations)) != NULL) {
        mem_free(OLD_OF(n));
    }
    while ((w = map_next(l->workers, &cursor)) != NULL) {
        str_free(&w->name);
        mem_free(w->acks);
        mem_free(w->stops);
        mem_free(w);
    }
    map_destroy(l->workers);
    heap_free(&l->worker_expiry);
    heap_free(&l->worker_polls);
    heap_free(&l->old_incarnations);
}

void
worker_ready(struct leader *l, struct worker_session *w)
{
    if (w->ready || w->call == NULL) {
        return;
    }
    w->ready = true;
    w->ready_next = l->ready;
    l->ready = w;
}

static void
append(uint64_t **list, size_t *count, size_t *cap, uint64_t value)
{
    if (*count == *cap) {
        *cap = *cap == 0 ? 8 : *cap * 2;
        *list = mem_realloc(*list, *cap, sizeof(**list));
    }
    (*list)[(*count)++] = value;
}

void
worker_ack(struct leader *l, struct worker_session *w, uint64_t lease)
{
    append(&w->acks, &w->ack_count, &w->ack_cap, lease);
    worker_ready(l, w);
}

/* ---- Answers ---- */

static struct worker_start
start_of(struct leader *l, const struct lease_record *r)
{
    const struct state *state = leader_state(l);
    const struct state_job *job = state_job(state, r->job);
    const struct state_team *team =
        job == NULL ? NULL : state_team(state, job->team);
    struct worker_start start = {.lease = r->lease,
                                 .task = r->task,
                                 .cpu_milli = r->size.cpu_milli,
                                 .memory_mib = r->size.memory_mib,
                                 .accelerators = r->size.accelerators};

    if (job != NULL) {
        start.job = job->name;
        start.payload = job->spec.payload;
    }
    if (team != NULL) {
        start.team = team->name;
    }
    return start;
}

static bool
to_start(const struct worker_session *w, const struct lease_record *r)
{
    return r->committed && r->offered && !r->running && !r->ended &&
           !r->stop && r->incarnation == w->incarnation;
}

static size_t
count_leases(const struct worker_session *w)
{
    size_t count = 0;

    for (struct lease_record *r = w->leases; r != NULL; r = r->next) {
        count++;
    }
    return count;
}

struct answer_lists {
    struct worker_start *start;
    uint64_t *stop;
    uint64_t *checkpoint;
    uint64_t *throttle;
};

static void
fill_lists(struct leader *l, struct worker_session *w,
           struct answer_lists *lists, struct worker_answer *out)
{
    for (struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->ended || r->incarnation != w->incarnation) {
            continue;
        }
        if (to_start(w, r) && out->start_count < WORKER_LEASES_MAX) {
            lists->start[out->start_count++] = start_of(l, r);
        }
        else if (r->stop) {
            lists->stop[out->stop_count++] = r->lease;
        }
        else if (r->checkpoint && r->running) {
            lists->checkpoint[out->checkpoint_count++] = r->lease;
        }
        else if (r->throttle && !r->throttle_sent) {
            lists->throttle[out->throttle_count++] = r->lease;
            r->throttle_sent = true;
        }
    }
    for (size_t i = 0; i < w->stop_count; i++) {
        lists->stop[out->stop_count++] = w->stops[i];
    }
}

/* Renews the lease and answers the held sync. */
static void
answer(struct leader *l, struct worker_session *w)
{
    uint32_t lease_ms = l->control->settings->worker_lease_ms;
    size_t count = count_leases(w) + 1;
    struct answer_lists lists = {
        .start = mem_zalloc(count, sizeof(struct worker_start)),
        .stop = mem_zalloc(count + w->stop_count, sizeof(uint64_t)),
        .checkpoint = mem_zalloc(count, sizeof(uint64_t)),
        .throttle = mem_zalloc(count, sizeof(uint64_t))};
    struct worker_answer out = {.start = lists.start,
                                .stop = lists.stop,
                                .checkpoint = lists.checkpoint,
                                .throttle = lists.throttle,
                                .finished_ack = w->acks,
                                .finished_ack_count = w->ack_count,
                                .lease_ms = lease_ms};
    struct call *call = w->call;
    struct buf body = {0};

    fill_lists(l, w, &lists, &out);
    worker_answer_render(&out, &body);
    w->call = NULL;
    heap_remove(&l->worker_polls, &w->poll);
    w->ack_count = 0;
    w->stop_count = 0;
    heap_remove(&l->worker_expiry, &w->expiry);
    w->expiry.key = leader_lease_end(l, lease_ms);
    heap_insert(&l->worker_expiry, &w->expiry);
    call_respond(call, 200, &body);
    mem_free(lists.start);
    mem_free(lists.stop);
    mem_free(lists.checkpoint);
    mem_free(lists.throttle);
}

/* ---- Syncs ---- */

static void
report_end(struct leader *l, struct lease_record *r, enum sched_end end)
{
    struct sched_event event = {.kind = SCHED_EVENT_TASK_ENDED};

    if (r->ended) {
        return;
    }
    r->ended = true;
    event.u.ended.lease = r->lease;
    event.u.ended.end = end;
    placement_feed(l, &event);
}

static enum sched_end
end_of(int outcome)
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
outcome_of(enum sched_end end)
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
take_finished(struct leader *l, struct worker_session *w,
              const struct worker_sync *sync)
{
    for (size_t i = 0; i < sync->finished_count; i++) {
        const struct worker_finished *f = &sync->finished[i];
        struct lease_record *r = map_get_u64(l->leases, f->lease);
        enum sched_end end = end_of(f->outcome);

        if (r == NULL) {
            /* Its end is already part of the state. */
            worker_ack(l, w, f->lease);
            continue;
        }
        if (r->worker != w->number || r->ended) {
            continue;
        }
        r->outcome = outcome_of(end);
        r->exit_code = (int32_t)f->exit_code;
        report_end(l, r, end);
    }
}

static void
take_usage(struct leader *l, const struct worker_session *w,
           const struct worker_sync *sync)
{
    for (size_t i = 0; i < sync->usage_count; i++) {
        const struct worker_usage *u = &sync->usage[i];
        struct sched_event event = {.kind = SCHED_EVENT_USAGE};
        struct state_sample *sample = map_get_u64(l->usage, u->lease);
        struct lease_record *r = map_get_u64(l->leases, u->lease);

        if (r != NULL && r->worker != w->number) {
            continue;
        }
        if (sample == NULL) {
            sample = mem_zalloc(1, sizeof(*sample));
            map_put_u64(l->usage, u->lease, sample);
        }
        *sample = (struct state_sample){u->lease, u->cpu_ms, u->memory_mib_s,
                                        u->accelerator_ms};
        event.u.usage = (struct sched_usage_event){
            u->lease,  u->cpu_milli,    u->memory_mib,
            u->cpu_ms, u->memory_mib_s, u->accelerator_ms};
        placement_feed(l, &event);
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
take_leases(struct leader *l, struct worker_session *w,
            const struct worker_sync *sync)
{
    struct lease_record *next;

    for (size_t i = 0; i < sync->lease_count; i++) {
        struct lease_record *r = map_get_u64(l->leases, sync->leases[i].lease);
        struct sched_event event = {.kind = SCHED_EVENT_TASK_RUNNING};

        if (r == NULL || r->worker != w->number ||
            r->incarnation != w->incarnation || r->ended) {
            append(&w->stops, &w->stop_count, &w->stop_cap,
                   sync->leases[i].lease);
            continue;
        }
        if (!r->running) {
            r->running = true;
            event.u.lease = r->lease;
            placement_feed(l, &event);
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
            report_end(l, r, SCHED_END_LOST);
        }
        else if (r->stop && r->committed && r->offered) {
            /* The worker knows neither its start nor its end, and acts only
             * on the answer to its latest sync, which offers no start. */
            r->outcome = STATE_OUTCOME_NEVER_STARTED;
            report_end(l, r, SCHED_END_NEVER_STARTED);
        }
    }
}

static void
tell_scheduler(struct leader *l, struct worker_session *w,
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
    placement_feed(l, &event);
    w->up = true;
}

static void
start_incarnation(struct leader *l, struct worker_session *w,
                  uint64_t incarnation)
{
    add_old_incarnation(l, w, w->incarnation,
                        w->expiry.pos == 0 ? l->control->now : w->expiry.key);
    w->incarnation = incarnation;
    w->seq = 0;
    w->up = false;
    w->draining = false;
}

static void
take_draining(struct leader *l, struct worker_session *w, bool draining)
{
    struct sched_event event = {.kind = SCHED_EVENT_WORKER_DRAINING};

    if (w->draining == draining) {
        return;
    }
    w->draining = draining;
    event.u.draining.worker = w->number;
    event.u.draining.draining = draining;
    placement_feed(l, &event);
}

static bool
has_news(const struct worker_session *w)
{
    if (w->ack_count != 0 || w->stop_count != 0) {
        return true;
    }
    for (struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->ended || r->incarnation != w->incarnation) {
            continue;
        }
        if (to_start(w, r) || r->stop || (r->checkpoint && r->running) ||
            (r->throttle && !r->throttle_sent)) {
            return true;
        }
    }
    return false;
}

static void
hold(struct leader *l, struct worker_session *w, struct call *call,
     const struct worker_sync *sync)
{
    /* A held answer shortens what is left of the lease for the worker. */
    int64_t longest = l->control->settings->worker_lease_ms / 3;
    int64_t wait = sync->wait_ms < longest ? sync->wait_ms : longest;

    w->call = call;
    w->poll.key = l->control->now + wait * NS_PER_MS;
    if (w->poll.key > call->deadline) {
        w->poll.key = call->deadline;
    }
    heap_insert(&l->worker_polls, &w->poll);
    if (has_news(w)) {
        worker_ready(l, w);
    }
}

static void
synced(struct leader *l, const struct state_worker *worker, struct call *call)
{
    const struct worker_sync *sync = &call->sync;
    struct worker_session *w = worker_session(l, worker->number);

    if (sync->incarnation != w->incarnation) {
        start_incarnation(l, w, sync->incarnation);
    }
    if (sync->seq < w->seq) {
        call_fail(call, 409, "stale", "seq", "a later sync was received");
        return;
    }
    if (w->call != NULL) {
        struct call *old = w->call;
        heap_remove(&l->worker_polls, &w->poll);
        w->call = NULL;
        call_fail(old, 409, "stale", "seq", "a later sync was received");
    }
    w->seq = sync->seq;
    if (!w->up) {
        tell_scheduler(l, w, sync);
    }
    /* Usage first: the samples of a finished task are its last. */
    take_usage(l, w, sync);
    take_finished(l, w, sync);
    take_leases(l, w, sync);
    take_draining(l, w, sync->draining);
    hold(l, w, call, sync);
}

static void
registered(struct call *call, const struct state_result *result)
{
    const struct state_worker *worker = state_worker_by_name(
        leader_state(call->leader), str_of(call->match.param));

    if (result->kind != STATE_APPLIED || worker == NULL) {
        call_fail_state(call, result);
        return;
    }
    if (worker->incarnation != call->sync.incarnation) {
        call_fail(call, 409, "stale", "incarnation",
                  "a later incarnation was received");
        return;
    }
    /* The capacity may have changed. */
    worker_session(call->leader, worker->number)->up = false;
    synced(call->leader, worker, call);
}

static bool
is_current(const struct state_worker *worker, const struct worker_sync *sync)
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
    struct state_actor actor = leader_actor();
    struct buf command = {0};

    state_cmd_worker_put(&command, &actor, str_of(call->match.param),
                         sync->incarnation, sync->rack, sync->failure_domain,
                         &capacity);
    call_propose(call, &command, registered);
}

void
api_worker_sync(struct call *call)
{
    const struct state_worker *worker;
    struct api_error error;

    call->doc = worker_sync_parse(call->body, &call->sync, &error);
    if (call->doc == NULL) {
        call_fail_api(call, &error);
        return;
    }
    worker = state_worker_by_name(leader_state(call->leader),
                                  str_of(call->match.param));
    if (worker != NULL && worker->incarnation > call->sync.incarnation) {
        call_fail(call, 409, "stale", "incarnation",
                  "a later incarnation was received");
        return;
    }
    if (!is_current(worker, &call->sync)) {
        register_worker(call);
        return;
    }
    synced(call->leader, worker, call);
}

bool
worker_release(struct leader *l, const struct call *call)
{
    const struct state_worker *worker;
    struct worker_session *w;

    if (call->match.route != API_WORKER_SYNC) {
        return false;
    }
    worker = state_worker_by_name(leader_state(l), str_of(call->match.param));
    w = worker == NULL ? NULL : map_get_u64(l->workers, worker->number);
    if (w == NULL || w->call != call) {
        return false;
    }
    heap_remove(&l->worker_polls, &w->poll);
    w->call = NULL;
    return true;
}

/* ---- Time ---- */

static void
expire(struct leader *l, struct worker_session *w, uint64_t incarnation)
{
    struct sched_event event = {.kind = SCHED_EVENT_WORKER_EXPIRED};

    for (struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->incarnation == incarnation && !r->ended) {
            r->ended = true;
            r->outcome = STATE_OUTCOME_LOST;
        }
    }
    event.u.expired.worker = w->number;
    event.u.expired.incarnation = incarnation;
    placement_feed(l, &event);
}

static void
expire_old(struct leader *l)
{
    struct heap_node *n;

    while ((n = heap_min(&l->old_incarnations)) != NULL &&
           n->key <= l->control->now) {
        struct old_incarnation *o = OLD_OF(n);

        heap_remove(&l->old_incarnations, n);
        expire(l, o->worker, o->incarnation);
        mem_free(o);
    }
}

static void
expire_leases(struct leader *l)
{
    struct heap_node *n;

    while ((n = heap_min(&l->worker_expiry)) != NULL &&
           n->key <= l->control->now) {
        struct worker_session *w = WORKER_OF(n, expiry);

        heap_remove(&l->worker_expiry, n);
        if (w->call != NULL) {
            /* Its sync is held here, so it is not lost; answer it. */
            worker_ready(l, w);
            continue;
        }
        if (w->up) {
            log_write(LOG_LEVEL_WARNING,
                      "worker: the lease of %.*s has expired",
                      STR_ARG(w->name));
        }
        w->up = false;
        expire(l, w, w->incarnation);
    }
}

void
workers_step(struct leader *l)
{
    struct heap_node *n;
    struct worker_session *w;

    if (!replica_leads(l->replica)) {
        return;
    }
    expire_leases(l);
    expire_old(l);
    while ((n = heap_min(&l->worker_polls)) != NULL &&
           n->key <= l->control->now) {
        heap_remove(&l->worker_polls, n);
        worker_ready(l, WORKER_OF(n, poll));
    }
    while ((w = l->ready) != NULL) {
        l->ready = w->ready_next;
        w->ready = false;
        if (w->call != NULL) {
            answer(l, w);
        }
    }
}

int64_t
workers_next_deadline(const struct leader *l)
{
    const struct heap_node *expiry = heap_min(&l->worker_expiry);
    const struct heap_node *poll = heap_min(&l->worker_polls);
    int64_t deadline = DEADLINE_NONE;

    if (expiry != NULL) {
        deadline = expiry->key;
    }
    if (poll != NULL && poll->key < deadline) {
        deadline = poll->key;
    }
    return deadline;
}
