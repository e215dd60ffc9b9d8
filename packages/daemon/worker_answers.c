/*
 * Answers to workers' syncs: leases to start, stop, checkpoint and throttle,
 * and ends that are acknowledged.
 */
#include "mem.h"
#include "workers_impl.h"

static struct worker_start
make_start(struct leader *l, const struct lease_record *r)
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
should_start(const struct worker_session *w, const struct lease_record *r)
{
    return r->committed && r->offered && !r->running && !r->ended &&
           !r->stop && r->incarnation == w->incarnation;
}

bool
worker_has_pending(const struct worker_session *w)
{
    if (w->ack_count != 0 || w->stop_count != 0) {
        return true;
    }
    for (struct lease_record *r = w->leases; r != NULL; r = r->next) {
        if (r->ended || r->incarnation != w->incarnation) {
            continue;
        }
        if (should_start(w, r) || r->stop || (r->checkpoint && r->running) ||
            (r->throttle && !r->throttle_sent)) {
            return true;
        }
    }
    return false;
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
        if (should_start(w, r) && out->start_count < WORKER_LEASES_MAX) {
            lists->start[out->start_count++] = make_start(l, r);
        }
        else if (r->stop) {
            r->stop_seq = r->stop_seq == 0 ? w->seq : r->stop_seq;
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

void
worker_answer_sync(struct leader *l, struct worker_session *w)
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
    struct call *call = w->held_call;
    struct buf body = {0};

    fill_lists(l, w, &lists, &out);
    w->held_call = NULL;
    heap_remove(&l->held_syncs, &w->hold_end);
    heap_remove(&l->worker_expiry, &w->expiry);
    w->expiry.key = leader_lease_end(l, lease_ms);
    heap_insert(&l->worker_expiry, &w->expiry);
    if (call->is_protobuf) {
        worker_wire_respond(call, &out);
    }
    else {
        worker_answer_render(&out, &body);
        call_respond(call, 200, &body);
    }
    w->ack_count = 0;
    w->stop_count = 0;
    mem_free(lists.start);
    mem_free(lists.stop);
    mem_free(lists.checkpoint);
    mem_free(lists.throttle);
}
