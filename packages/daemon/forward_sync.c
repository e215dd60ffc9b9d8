/*
 * Converts workers' syncs and their answers between JSON and the typed
 * messages of the leader. The entries do this, to save the leader the time.
 */
#include "entry_impl.h"
#include "mem.h"

enum {
    USAGE_NUMBERS = 6, /* numbers of each lease in WorkerSync.usage */
};

static ProtobufCBinaryData
bytes_of(struct str s)
{
    return (ProtobufCBinaryData){s.len, (uint8_t *)s.ptr};
}

static void
fill_leases(struct typed_sync *m)
{
    const struct worker_sync *sync = &m->sync;
    uint64_t *usage;

    m->numbers =
        mem_alloc((sync->lease_count + sync->usage_count * USAGE_NUMBERS + 1) *
                  sizeof(*m->numbers));
    usage = m->numbers + sync->lease_count;
    for (size_t i = 0; i < sync->lease_count; i++) {
        m->numbers[i] = sync->leases[i].lease;
    }
    m->wire.n_leases = sync->lease_count;
    m->wire.leases = m->numbers;
    m->wire.n_usage = sync->usage_count * USAGE_NUMBERS;
    m->wire.usage = usage;
    for (size_t i = 0; i < sync->usage_count; i++) {
        const struct worker_usage *u = &sync->usage[i];

        *usage++ = u->lease;
        *usage++ = u->cpu_ms;
        *usage++ = u->memory_mib_s;
        *usage++ = u->accelerator_ms;
        *usage++ = u->cpu_milli;
        *usage++ = u->memory_mib;
    }
}

static void
fill_finished(struct typed_sync *m)
{
    size_t count = m->sync.finished_count;

    m->finished = mem_zalloc(count + 1, sizeof(*m->finished));
    m->pointers = mem_zalloc(count + 1, sizeof(*m->pointers));
    for (size_t i = 0; i < count; i++) {
        Wire__WorkerFinished *f = &m->finished[i];

        wire__worker_finished__init(f);
        f->lease = m->sync.finished[i].lease;
        f->outcome = (uint32_t)m->sync.finished[i].outcome;
        f->exit_code = (int32_t)m->sync.finished[i].exit_code;
        m->pointers[i] = f;
    }
    m->wire.n_finished = count;
    m->wire.finished = m->pointers;
}

bool
forward_sync_build(const struct forwarded_call *f, struct typed_sync *out)
{
    struct api_error error;

    if (f->worker.len == 0) {
        return false;
    }
    *out = (struct typed_sync){0};
    out->doc = worker_sync_parse(buf_str(&f->call->body), &out->sync, &error);
    if (out->doc == NULL) {
        return false;
    }
    wire__worker_sync__init(&out->wire);
    out->wire.worker = bytes_of(f->worker);
    out->wire.incarnation = out->sync.incarnation;
    out->wire.seq = out->sync.seq;
    out->wire.rack = bytes_of(out->sync.rack);
    out->wire.failure_domain = bytes_of(out->sync.failure_domain);
    out->wire.cpu_milli = out->sync.capacity.cpu_milli;
    out->wire.memory_mib = out->sync.capacity.memory_mib;
    out->wire.accelerators = out->sync.capacity.accelerators;
    out->wire.draining = out->sync.draining;
    out->wire.wait_ms = out->sync.wait_ms;
    fill_leases(out);
    fill_finished(out);
    return true;
}

void
forward_sync_free(struct typed_sync *m)
{
    json_doc_free(m->doc);
    mem_free(m->finished);
    mem_free(m->pointers);
    mem_free(m->numbers);
}

static struct str
str_of_bytes(ProtobufCBinaryData b)
{
    return (struct str){(const char *)b.data, b.len};
}

void
forward_sync_render(const Wire__WorkerAnswer *wire, struct buf *body)
{
    struct worker_answer answer = {.start_count = wire->n_start,
                                   .stop = wire->stop,
                                   .stop_count = wire->n_stop,
                                   .checkpoint = wire->checkpoint,
                                   .checkpoint_count = wire->n_checkpoint,
                                   .throttle = wire->throttle,
                                   .throttle_count = wire->n_throttle,
                                   .finished_ack = wire->finished_ack,
                                   .finished_ack_count = wire->n_finished_ack,
                                   .lease_ms = wire->lease_ms};

    answer.start = mem_zalloc(wire->n_start + 1, sizeof(*answer.start));
    for (size_t i = 0; i < wire->n_start; i++) {
        const Wire__WorkerStart *s = wire->start[i];

        answer.start[i] = (struct worker_start){s->lease,
                                                str_of_bytes(s->team),
                                                str_of_bytes(s->job),
                                                s->task,
                                                s->cpu_milli,
                                                s->memory_mib,
                                                s->accelerators,
                                                str_of_bytes(s->payload)};
    }
    worker_answer_render(&answer, body);
    mem_free(answer.start);
}
