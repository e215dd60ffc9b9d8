#include "caller.h"

#include <string.h>

enum {
    /* Limits of one task's resources: far above any VM's, and low enough that
     * the sum over CALLER_TASKS_MAX tasks cannot overflow 64 bits. */
    CPU_MILLI_MAX = 1000 * 1000 * 1000,
    MEMORY_MIB_MAX = 1000 * 1000 * 1000,
    ACCELERATORS_MAX = 1000 * 1000,
    RUN_TIME_S_MAX = 10 * 365 * 24 * 3600,
    REASON_MAX = 512,
};

static const char *const class_names[] = {"service", "batch", "gang", NULL};

static const char *const state_names[] = {
    "queued",    "running", "done",          "failed",
    "cancelled", "unknown", "unschedulable", NULL};

static const struct json_field job_fields[] = {
    JSON_ENUM_FIELD(caller_job, class, 0, class_names),
    JSON_U32_FIELD(caller_job, tasks, 0, 1, CALLER_TASKS_MAX),
    JSON_U64_FIELD(caller_job, cpu_milli, 0, 1, CPU_MILLI_MAX),
    JSON_U64_FIELD(caller_job, memory_mib, 0, 1, MEMORY_MIB_MAX),
    JSON_U64_FIELD(caller_job, accelerators, JSON_OPTIONAL, 0,
                   ACCELERATORS_MAX),
    JSON_BOOL_FIELD(caller_job, urgent, JSON_OPTIONAL),
    JSON_BOOL_FIELD(caller_job, idempotent, JSON_OPTIONAL),
    JSON_U64_FIELD(caller_job, run_time_s, JSON_OPTIONAL, 0, RUN_TIME_S_MAX),
    JSON_NAME_FIELD(caller_job, queue, JSON_OPTIONAL),
    JSON_STRING_FIELD(caller_job, payload, JSON_OPTIONAL, 0,
                      CALLER_PAYLOAD_MAX),
};

static const struct json_shape job_shape = JSON_SHAPE(caller_job, job_fields);

static const struct json_field status_fields[] = {
    JSON_NAME_FIELD(caller_job_status, id, 0),
    JSON_ENUM_FIELD(caller_job_status, class, 0, class_names),
    JSON_ENUM_FIELD(caller_job_status, state, 0, state_names),
    JSON_STRING_FIELD(caller_job_status, reason, JSON_OPTIONAL, 0, REASON_MAX),
    JSON_NAME_FIELD(caller_job_status, queue, JSON_OPTIONAL),
    JSON_BOOL_FIELD(caller_job_status, urgent, 0),
    JSON_BOOL_FIELD(caller_job_status, idempotent, 0),
    JSON_U32_FIELD(caller_job_status, tasks, 0, 1, CALLER_TASKS_MAX),
    JSON_U64_FIELD(caller_job_status, cpu_milli, 0, 1, CPU_MILLI_MAX),
    JSON_U64_FIELD(caller_job_status, memory_mib, 0, 1, MEMORY_MIB_MAX),
    JSON_U64_FIELD(caller_job_status, accelerators, 0, 0, ACCELERATORS_MAX),
    JSON_U64_FIELD(caller_job_status, run_time_s, 0, 0, RUN_TIME_S_MAX),
    JSON_U32_FIELD(caller_job_status, queued, 0, 0, CALLER_TASKS_MAX),
    JSON_U32_FIELD(caller_job_status, running, 0, 0, CALLER_TASKS_MAX),
    JSON_U32_FIELD(caller_job_status, done, 0, 0, CALLER_TASKS_MAX),
    JSON_U32_FIELD(caller_job_status, failed, 0, 0, CALLER_TASKS_MAX),
    JSON_U32_FIELD(caller_job_status, cancelled, 0, 0, CALLER_TASKS_MAX),
    JSON_U32_FIELD(caller_job_status, unknown, 0, 0, CALLER_TASKS_MAX),
    JSON_I64_FIELD(caller_job_status, submitted_ms, 0, 0, INT64_MAX),
    JSON_I64_FIELD(caller_job_status, ended_ms, 0, 0, INT64_MAX),
};

static const struct json_shape status_shape =
    JSON_SHAPE(caller_job_status, status_fields);

static const struct json_field list_fields[] = {
    JSON_LIST_FIELD(caller_job_list, jobs, count, &status_shape,
                    CALLER_LIST_MAX),
    JSON_NAME_FIELD(caller_job_list, next, JSON_OPTIONAL),
};

static const struct json_shape list_shape =
    JSON_SHAPE(caller_job_list, list_fields);

static const struct json_field cancelled_fields[] = {
    JSON_U64_FIELD(caller_cancelled, cancelled, 0, 0, INT64_MAX),
};

static const struct json_shape cancelled_shape =
    JSON_SHAPE(caller_cancelled, cancelled_fields);

struct json_doc *
caller_job_parse(struct str body, struct caller_job *out,
                 struct api_error *err)
{
    *out = (struct caller_job){.idempotent = true, .payload = STR("")};
    return api_decode(&job_shape, body, out, err);
}

void
caller_job_render(const struct caller_job *job, struct buf *out)
{
    json_encode(&job_shape, job, out);
}

struct json_doc *
caller_job_status_parse(struct str body, struct caller_job_status *out,
                        struct api_error *err)
{
    *out = (struct caller_job_status){0};
    return api_decode(&status_shape, body, out, err);
}

void
caller_job_status_render(const struct caller_job_status *status,
                         struct buf *out)
{
    json_encode(&status_shape, status, out);
}

struct json_doc *
caller_job_list_parse(struct str body, struct caller_job_list *out,
                      struct api_error *err)
{
    *out = (struct caller_job_list){0};
    return api_decode(&list_shape, body, out, err);
}

void
caller_job_list_render(const struct caller_job_list *list, struct buf *out)
{
    json_encode(&list_shape, list, out);
}

struct json_doc *
caller_cancelled_parse(struct str body, struct caller_cancelled *out,
                       struct api_error *err)
{
    *out = (struct caller_cancelled){0};
    return api_decode(&cancelled_shape, body, out, err);
}

void
caller_cancelled_render(const struct caller_cancelled *c, struct buf *out)
{
    json_encode(&cancelled_shape, c, out);
}

bool
caller_wait_parse(struct str query, uint32_t *wait_ms, struct api_error *err)
{
    static const char *const names[] = {"wait_ms"};
    struct str value;
    uint64_t ms = 0;
    bool ok;

    if (!api_query(query, names, 1, &value, err)) {
        return false;
    }
    ok = value.ptr == NULL || str_to_u64(value, CALLER_WAIT_MAX_MS, &ms);
    str_free(&value);
    if (!ok) {
        return api_fail(err, 400, "out_of_range", "wait_ms",
                        "must be from 0 to %d", CALLER_WAIT_MAX_MS);
    }
    *wait_ms = (uint32_t)ms;
    return true;
}

static bool
check_page(const struct str values[2], uint64_t *limit, struct api_error *err)
{
    if (values[0].ptr != NULL && !json_name_ok(values[0])) {
        return api_fail(err, 400, "bad_value", "after",
                        "must be 1 to %d of [A-Za-z0-9._-]", JSON_NAME_MAX);
    }
    if (values[1].ptr != NULL &&
        (!str_to_u64(values[1], CALLER_LIST_MAX, limit) || *limit == 0)) {
        return api_fail(err, 400, "out_of_range", "limit",
                        "must be from 1 to %d", CALLER_LIST_MAX);
    }
    return true;
}

bool
caller_page_parse(struct str query, struct caller_page *out,
                  struct api_error *err)
{
    static const char *const names[] = {"after", "limit"};
    struct str values[2];
    uint64_t limit = CALLER_LIST_MAX;
    bool ok;

    if (!api_query(query, names, 2, values, err)) {
        return false;
    }
    ok = check_page(values, &limit, err);
    str_free(&values[1]);
    if (!ok) {
        str_free(&values[0]);
        return false;
    }
    *out = (struct caller_page){values[0], (uint32_t)limit};
    return true;
}

bool
caller_prefix_parse(struct str query, struct str *prefix,
                    struct api_error *err)
{
    static const char *const names[] = {"prefix"};

    if (!api_query(query, names, 1, prefix, err)) {
        return false;
    }
    if (json_name_ok(*prefix)) {
        return true;
    }
    /* An empty prefix is refused, because it would cancel all jobs. */
    str_free(prefix);
    return api_fail(err, 400, "bad_value", "prefix",
                    "must be 1 to %d of [A-Za-z0-9._-]", JSON_NAME_MAX);
}

static const struct api_route_def route_defs[] = {
    {HTTP_METHOD_COUNT, "/v1/services/*/**", API_SERVICE_CALL, API_KEY_TEAM},
    {HTTP_PUT, "/v1/jobs/*", API_JOB_PUT, API_KEY_TEAM},
    {HTTP_GET, "/v1/jobs/*", API_JOB_GET, API_KEY_TEAM},
    {HTTP_DELETE, "/v1/jobs/*", API_JOB_CANCEL, API_KEY_TEAM},
    {HTTP_GET, "/v1/jobs", API_JOB_LIST, API_KEY_TEAM},
    {HTTP_DELETE, "/v1/jobs", API_JOB_CANCEL_PREFIX, API_KEY_TEAM},
};

const struct api_table caller_routes = {route_defs, sizeof(route_defs) /
                                                        sizeof(route_defs[0])};
