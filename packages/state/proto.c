#include <string.h>

#include "state_impl.h"

ProtobufCBinaryData
proto_bin(struct str s)
{
    return (ProtobufCBinaryData){s.len, (uint8_t *)s.ptr};
}

struct str
proto_str(ProtobufCBinaryData b)
{
    return str_from(b.data, b.len);
}

bool
proto_digest(ProtobufCBinaryData b, uint8_t out[STATE_DIGEST_BYTES])
{
    if (b.len != STATE_DIGEST_BYTES) {
        return false;
    }
    memcpy(out, b.data, STATE_DIGEST_BYTES);
    return true;
}

void
proto_append(struct buf *out, const ProtobufCMessage *message)
{
    size_t len = protobuf_c_message_get_packed_size(message);

    protobuf_c_message_pack(message, (uint8_t *)buf_reserve(out, len));
    out->len += len;
}

void
proto_limit_write(State__Limit *to, const struct state_limit *from)
{
    state__limit__init(to);
    to->tasks = from->tasks;
    to->cpu_milli = from->cpu_milli;
    to->memory_mib = from->memory_mib;
    to->accelerators = from->accelerators;
    to->requests = from->requests;
}

struct state_limit
proto_limit_read(const State__Limit *from)
{
    if (from == NULL) {
        return state_limit_none;
    }
    return (struct state_limit){from->tasks, from->cpu_milli, from->memory_mib,
                                from->accelerators, from->requests};
}

void
proto_settings_read(struct state_settings *to, const State__Settings *from)
{
    *to = state_settings_default;
    if (from == NULL) {
        return;
    }
    to->default_limit = proto_limit_read(from->default_limit);
    if (from->request_keep_ms > 0 && from->request_keep_ms <= WALL_MS_MAX) {
        to->request_keep_ms = from->request_keep_ms;
    }
    to->request_max = from->request_max;
    to->request_bytes_max = from->request_bytes_max;
}

void
proto_spec_write(State__JobSpec *to, const struct state_job_spec *from)
{
    state__job_spec__init(to);
    to->class_ = from->class;
    to->tasks = from->tasks;
    to->cpu_milli = from->cpu_milli;
    to->memory_mib = from->memory_mib;
    to->accelerators = from->accelerators;
    to->run_time_s = from->run_time_s;
    to->urgent = from->urgent;
    to->idempotent = from->idempotent;
    to->queue = proto_bin(from->queue);
    to->payload = proto_bin(from->payload);
}

bool
proto_spec_read(const State__JobSpec *from, struct state_job_spec *to)
{
    if (from == NULL || from->class_ < STATE_JOB_SERVICE ||
        from->class_ > STATE_JOB_GANG || from->tasks == 0 ||
        from->tasks > STATE_JOB_TASKS_MAX) {
        return false;
    }
    to->class = (enum state_job_class)from->class_;
    to->tasks = from->tasks;
    to->cpu_milli = from->cpu_milli;
    to->memory_mib = from->memory_mib;
    to->accelerators = from->accelerators;
    to->run_time_s = from->run_time_s;
    to->urgent = from->urgent;
    to->idempotent = from->idempotent;
    to->queue = proto_str(from->queue);
    to->payload = proto_str(from->payload);
    return name_valid_or_empty(to->queue) &&
           to->payload.len <= STATE_PAYLOAD_MAX;
}

bool
name_valid(struct str name)
{
    return name.len > 0 && name.len <= STATE_NAME_MAX;
}

bool
name_valid_or_empty(struct str name)
{
    return name.len <= STATE_NAME_MAX;
}
