/*
 * Workers' syncs and answers as messages, which the entry converts from and to
 * JSON.
 */
#include <string.h>

#include "mem.h"
#include "workers_impl.h"

enum {
    USAGE_FIELDS = 6, /* numbers in a sample, see WorkerSync.usage */
};

/* copy_texts of call.c reserved the space, so the buffer does not move. */
static struct str
copy_bytes(struct call *call, ProtobufCBinaryData b)
{
    struct str s = {call->text.ptr + call->text.len, b.len};

    buf_append(&call->text, b.data, b.len);
    return s;
}

static void
copy_lists(struct worker_sync *sync, const Wire__WorkerSync *wire)
{
    size_t usage = wire->n_usage / USAGE_FIELDS;

    sync->leases = mem_zalloc(wire->n_leases + 1, sizeof(*sync->leases));
    sync->lease_count = wire->n_leases;
    for (size_t i = 0; i < wire->n_leases; i++) {
        sync->leases[i].lease = wire->leases[i];
    }
    sync->finished = mem_zalloc(wire->n_finished + 1, sizeof(*sync->finished));
    sync->finished_count = wire->n_finished;
    for (size_t i = 0; i < wire->n_finished; i++) {
        sync->finished[i] = (struct worker_finished){
            wire->finished[i]->lease, (int)wire->finished[i]->outcome,
            wire->finished[i]->exit_code};
    }
    sync->usage = mem_zalloc(usage + 1, sizeof(*sync->usage));
    sync->usage_count = usage;
    for (size_t i = 0; i < usage; i++) {
        const uint64_t *n = wire->usage + i * USAGE_FIELDS;

        sync->usage[i] =
            (struct worker_usage){n[0], n[1], n[2], n[3], n[4], n[5]};
    }
}

bool
worker_wire_decode(struct call *call, const Wire__WorkerSync *wire)
{
    struct worker_sync *sync = &call->sync;

    if (wire->worker.len == 0 || wire->worker.len > JSON_NAME_MAX) {
        return false;
    }
    call->is_protobuf = true;
    call->match.route = API_WORKER_SYNC;
    call->match.key = API_KEY_WORKER;
    memcpy(call->match.param, wire->worker.data, wire->worker.len);
    sync->rack = copy_bytes(call, wire->rack);
    sync->failure_domain = copy_bytes(call, wire->failure_domain);
    sync->incarnation = wire->incarnation;
    sync->seq = wire->seq;
    sync->capacity = (struct worker_capacity){
        wire->cpu_milli, wire->memory_mib, wire->accelerators};
    sync->draining = wire->draining;
    sync->wait_ms = wire->wait_ms;
    copy_lists(sync, wire);
    return true;
}

void
worker_wire_free(struct call *call)
{
    if (call->is_protobuf) {
        mem_free(call->sync.leases);
        mem_free(call->sync.finished);
        mem_free(call->sync.usage);
    }
}

static ProtobufCBinaryData
bytes_of(struct str s)
{
    return (ProtobufCBinaryData){s.len, (uint8_t *)s.ptr};
}

static void
fill_starts(const struct worker_answer *a, Wire__WorkerStart *list,
            Wire__WorkerStart **pointers)
{
    for (size_t i = 0; i < a->start_count; i++) {
        const struct worker_start *in = &a->start[i];
        Wire__WorkerStart *s = &list[i];

        wire__worker_start__init(s);
        s->lease = in->lease;
        s->team = bytes_of(in->team);
        s->job = bytes_of(in->job);
        s->task = in->task;
        s->cpu_milli = in->cpu_milli;
        s->memory_mib = in->memory_mib;
        s->accelerators = in->accelerators;
        s->payload = bytes_of(in->payload);
        pointers[i] = s;
    }
}

void
worker_wire_respond(struct call *call, const struct worker_answer *a)
{
    Wire__WorkerAnswer wire = WIRE__WORKER_ANSWER__INIT;
    Wire__WorkerStart *list = mem_zalloc(a->start_count + 1, sizeof(*list));
    Wire__WorkerStart **pointers =
        mem_zalloc(a->start_count + 1, sizeof(*pointers));

    fill_starts(a, list, pointers);
    wire.n_start = a->start_count;
    wire.start = pointers;
    wire.n_stop = a->stop_count;
    wire.stop = a->stop;
    wire.n_checkpoint = a->checkpoint_count;
    wire.checkpoint = a->checkpoint;
    wire.n_throttle = a->throttle_count;
    wire.throttle = a->throttle;
    wire.n_finished_ack = a->finished_ack_count;
    wire.finished_ack = a->finished_ack;
    wire.lease_ms = a->lease_ms;
    call_respond_worker_answer(call, &wire);
    mem_free(list);
    mem_free(pointers);
}
