#include "worker.h"

enum {
    CPU_MILLI_MAX = 1000 * 1000 * 1000,
    MEMORY_MIB_MAX = 1000 * 1000 * 1000,
    ACCELERATORS_MAX = 1000 * 1000,
    PAYLOAD_MAX = 16 * 1024,
    TASK_MAX = 10000,
    LEASE_MS_MAX = 3600 * 1000,
};

/* Limit of cumulative counters: with 2^53, sums over all workers fit in 64
 * bits. */
#define COUNTER_MAX (INT64_C(1) << 53)

static const char *const state_names[] = {"starting", "running",
                                          "checkpointing", "stopping", NULL};

static const char *const outcome_names[] = {
    "done", "failed", "stopped", "checkpointed", "not-started", NULL};

static const struct json_field capacity_fields[] = {
    JSON_U64_FIELD(worker_capacity, cpu_milli, 0, 0, CPU_MILLI_MAX),
    JSON_U64_FIELD(worker_capacity, memory_mib, 0, 0, MEMORY_MIB_MAX),
    JSON_U64_FIELD(worker_capacity, accelerators, 0, 0, ACCELERATORS_MAX),
};

static const struct json_shape capacity_shape =
    JSON_SHAPE(worker_capacity, capacity_fields);

static const struct json_field lease_fields[] = {
    JSON_U64_FIELD(worker_lease, lease, JSON_UNIQUE, 1, INT64_MAX),
    JSON_ENUM_FIELD(worker_lease, state, 0, state_names),
};

static const struct json_shape lease_shape =
    JSON_SHAPE(worker_lease, lease_fields);

static const struct json_field finished_fields[] = {
    JSON_U64_FIELD(worker_finished, lease, JSON_UNIQUE, 1, INT64_MAX),
    JSON_ENUM_FIELD(worker_finished, outcome, 0, outcome_names),
    JSON_I64_FIELD(worker_finished, exit_code, JSON_OPTIONAL, INT32_MIN,
                   INT32_MAX),
};

static const struct json_shape finished_shape =
    JSON_SHAPE(worker_finished, finished_fields);

static const struct json_field usage_fields[] = {
    JSON_U64_FIELD(worker_usage, lease, JSON_UNIQUE, 1, INT64_MAX),
    JSON_U64_FIELD(worker_usage, cpu_ms, 0, 0, COUNTER_MAX),
    JSON_U64_FIELD(worker_usage, memory_mib_s, 0, 0, COUNTER_MAX),
    JSON_U64_FIELD(worker_usage, accelerator_ms, 0, 0, COUNTER_MAX),
    JSON_U64_FIELD(worker_usage, cpu_milli, 0, 0, CPU_MILLI_MAX),
    JSON_U64_FIELD(worker_usage, memory_mib, 0, 0, MEMORY_MIB_MAX),
};

static const struct json_shape usage_shape =
    JSON_SHAPE(worker_usage, usage_fields);

static const struct json_field sync_fields[] = {
    JSON_U64_FIELD(worker_sync, incarnation, 0, 1, INT64_MAX),
    JSON_U64_FIELD(worker_sync, seq, 0, 1, INT64_MAX),
    JSON_NAME_FIELD(worker_sync, rack, 0),
    JSON_NAME_FIELD(worker_sync, failure_domain, 0),
    JSON_OBJECT_FIELD(worker_sync, capacity, &capacity_shape),
    JSON_LIST_FIELD(worker_sync, leases, lease_count, &lease_shape,
                    WORKER_LEASES_MAX),
    JSON_LIST_FIELD(worker_sync, finished, finished_count, &finished_shape,
                    WORKER_LEASES_MAX),
    JSON_LIST_FIELD(worker_sync, usage, usage_count, &usage_shape,
                    WORKER_LEASES_MAX),
    JSON_BOOL_FIELD(worker_sync, draining, JSON_OPTIONAL),
    JSON_U32_FIELD(worker_sync, wait_ms, JSON_OPTIONAL, 0, WORKER_WAIT_MAX_MS),
};

static const struct json_shape sync_shape =
    JSON_SHAPE(worker_sync, sync_fields);

static const struct json_field start_fields[] = {
    JSON_U64_FIELD(worker_start, lease, JSON_UNIQUE, 1, INT64_MAX),
    JSON_NAME_FIELD(worker_start, team, 0),
    JSON_NAME_FIELD(worker_start, job, 0),
    JSON_U32_FIELD(worker_start, task, 0, 0, TASK_MAX - 1),
    JSON_U64_FIELD(worker_start, cpu_milli, 0, 1, CPU_MILLI_MAX),
    JSON_U64_FIELD(worker_start, memory_mib, 0, 1, MEMORY_MIB_MAX),
    JSON_U64_FIELD(worker_start, accelerators, 0, 0, ACCELERATORS_MAX),
    JSON_STRING_FIELD(worker_start, payload, 0, 0, PAYLOAD_MAX),
};

static const struct json_shape start_shape =
    JSON_SHAPE(worker_start, start_fields);

static const struct json_field answer_fields[] = {
    JSON_LIST_FIELD(worker_answer, start, start_count, &start_shape,
                    WORKER_LEASES_MAX),
    JSON_NUMBERS_FIELD(worker_answer, stop, stop_count, 1, INT64_MAX,
                       WORKER_LEASES_MAX),
    JSON_NUMBERS_FIELD(worker_answer, checkpoint, checkpoint_count, 1,
                       INT64_MAX, WORKER_LEASES_MAX),
    JSON_NUMBERS_FIELD(worker_answer, throttle, throttle_count, 1, INT64_MAX,
                       WORKER_LEASES_MAX),
    JSON_NUMBERS_FIELD(worker_answer, finished_ack, finished_ack_count, 1,
                       INT64_MAX, WORKER_LEASES_MAX),
    JSON_U64_FIELD(worker_answer, lease_ms, 0, 0, LEASE_MS_MAX),
};

static const struct json_shape answer_shape =
    JSON_SHAPE(worker_answer, answer_fields);

struct json_doc *
worker_sync_parse(struct str body, struct worker_sync *out,
                  struct api_error *err)
{
    *out = (struct worker_sync){0};
    return api_decode(&sync_shape, body, out, err);
}

void
worker_sync_render(const struct worker_sync *sync, struct buf *out)
{
    json_encode(&sync_shape, sync, out);
}

struct json_doc *
worker_answer_parse(struct str body, struct worker_answer *out,
                    struct api_error *err)
{
    *out = (struct worker_answer){0};
    return api_decode(&answer_shape, body, out, err);
}

void
worker_answer_render(const struct worker_answer *answer, struct buf *out)
{
    json_encode(&answer_shape, answer, out);
}

static const struct api_route_def route_defs[] = {
    {HTTP_POST, "/v1/workers/*/sync", API_WORKER_SYNC, API_KEY_WORKER},
};

const struct api_table worker_routes = {route_defs, sizeof(route_defs) /
                                                        sizeof(route_defs[0])};
