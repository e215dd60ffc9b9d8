#include "operator.h"

enum {
    ADDRESS_MAX = 64,
};

#define COUNT_FIELD(T, M) JSON_U64_FIELD(T, M, 0, 0, INT64_MAX)

static const char *const role_names[] = {"entry", "control", "learner",
                                         "leader", NULL};

static const char *const worker_state_names[] = {"up", "draining",
                                                 "quarantined", "lost", NULL};

static const char *const endpoint_state_names[] = {"ready", "leaving",
                                                   "ejected", NULL};

static const struct json_field resources_fields[] = {
    COUNT_FIELD(operator_resources, cpu_milli),
    COUNT_FIELD(operator_resources, memory_mib),
    COUNT_FIELD(operator_resources, accelerators),
};

static const struct json_shape resources_shape =
    JSON_SHAPE(operator_resources, resources_fields);

static const struct json_field status_fields[] = {
    JSON_NAME_FIELD(operator_status, leader, JSON_OPTIONAL),
    COUNT_FIELD(operator_status, term),
    COUNT_FIELD(operator_status, commit_index),
    COUNT_FIELD(operator_status, teams_version),
    COUNT_FIELD(operator_status, limits_version),
    COUNT_FIELD(operator_status, vms),
    COUNT_FIELD(operator_status, vms_draining),
    COUNT_FIELD(operator_status, workers),
    COUNT_FIELD(operator_status, workers_draining),
    COUNT_FIELD(operator_status, workers_quarantined),
    COUNT_FIELD(operator_status, endpoints),
    COUNT_FIELD(operator_status, jobs_queued),
    COUNT_FIELD(operator_status, jobs_running),
    COUNT_FIELD(operator_status, jobs_unschedulable),
    COUNT_FIELD(operator_status, tasks_running),
    JSON_OBJECT_FIELD(operator_status, capacity, &resources_shape),
    JSON_OBJECT_FIELD(operator_status, used, &resources_shape),
};

static const struct json_shape status_shape =
    JSON_SHAPE(operator_status, status_fields);

static const struct json_field vm_fields[] = {
    JSON_NAME_FIELD(operator_vm, id, JSON_UNIQUE),
    JSON_ENUM_FIELD(operator_vm, role, 0, role_names),
    JSON_STRING_FIELD(operator_vm, address, 0, 0, ADDRESS_MAX),
    JSON_NAME_FIELD(operator_vm, failure_domain, 0),
    JSON_BOOL_FIELD(operator_vm, connected, 0),
    JSON_BOOL_FIELD(operator_vm, draining, 0),
    COUNT_FIELD(operator_vm, config_version),
};

static const struct json_shape vm_shape = JSON_SHAPE(operator_vm, vm_fields);

static const struct json_field vms_fields[] = {
    JSON_LIST_FIELD(operator_vms, vms, count, &vm_shape, OPERATOR_FLEET_MAX),
};

static const struct json_shape vms_shape =
    JSON_SHAPE(operator_vms, vms_fields);

static const struct json_field worker_fields[] = {
    JSON_NAME_FIELD(operator_worker, id, JSON_UNIQUE),
    JSON_ENUM_FIELD(operator_worker, state, 0, worker_state_names),
    JSON_NAME_FIELD(operator_worker, rack, 0),
    JSON_NAME_FIELD(operator_worker, failure_domain, 0),
    JSON_OBJECT_FIELD(operator_worker, capacity, &resources_shape),
    JSON_OBJECT_FIELD(operator_worker, used, &resources_shape),
    JSON_U32_FIELD(operator_worker, tasks, 0, 0, UINT32_MAX),
};

static const struct json_shape worker_shape =
    JSON_SHAPE(operator_worker, worker_fields);

static const struct json_field workers_fields[] = {
    JSON_LIST_FIELD(operator_workers, workers, count, &worker_shape,
                    OPERATOR_FLEET_MAX),
};

static const struct json_shape workers_shape =
    JSON_SHAPE(operator_workers, workers_fields);

static const struct json_field endpoint_fields[] = {
    JSON_NAME_FIELD(operator_endpoint, id, 0),
    JSON_NAME_FIELD(operator_endpoint, service, 0),
    JSON_STRING_FIELD(operator_endpoint, address, 0, 0, ADDRESS_MAX),
    JSON_NAME_FIELD(operator_endpoint, failure_domain, 0),
    JSON_U32_FIELD(operator_endpoint, slots, 0, 0, UINT32_MAX),
    JSON_U32_FIELD(operator_endpoint, connections, 0, 0, UINT32_MAX),
    JSON_U32_FIELD(operator_endpoint, leased, 0, 0, UINT32_MAX),
    JSON_ENUM_FIELD(operator_endpoint, state, 0, endpoint_state_names),
};

static const struct json_shape endpoint_shape =
    JSON_SHAPE(operator_endpoint, endpoint_fields);

static const struct json_field endpoints_fields[] = {
    JSON_LIST_FIELD(operator_endpoints, endpoints, count, &endpoint_shape,
                    OPERATOR_FLEET_MAX),
};

static const struct json_shape endpoints_shape =
    JSON_SHAPE(operator_endpoints, endpoints_fields);

static const struct json_field team_fields[] = {
    JSON_NAME_FIELD(operator_team_status, team, JSON_UNIQUE),
    JSON_U32_FIELD(operator_team_status, weight, 0, 0, UINT32_MAX),
    COUNT_FIELD(operator_team_status, tasks),
    JSON_OBJECT_FIELD(operator_team_status, used, &resources_shape),
    JSON_U32_FIELD(operator_team_status, share_ppm, 0, 0, UINT32_MAX),
    JSON_U32_FIELD(operator_team_status, entitlement_ppm, 0, 0, UINT32_MAX),
    COUNT_FIELD(operator_team_status, jobs_queued),
    COUNT_FIELD(operator_team_status, jobs_running),
    JSON_I64_FIELD(operator_team_status, queued_since_ms, 0, 0, INT64_MAX),
};

static const struct json_shape team_shape =
    JSON_SHAPE(operator_team_status, team_fields);

static const struct json_field team_list_fields[] = {
    JSON_LIST_FIELD(operator_team_list, teams, count, &team_shape,
                    OPERATOR_TEAMS_MAX),
};

static const struct json_shape team_list_shape =
    JSON_SHAPE(operator_team_list, team_list_fields);

struct json_doc *
operator_status_parse(struct str body, struct operator_status *out,
                      struct api_error *err)
{
    *out = (struct operator_status){0};
    return api_decode(&status_shape, body, out, err);
}

void
operator_status_render(const struct operator_status *s, struct buf *out)
{
    json_encode(&status_shape, s, out);
}

struct json_doc *
operator_vms_parse(struct str body, struct operator_vms *out,
                   struct api_error *err)
{
    *out = (struct operator_vms){0};
    return api_decode(&vms_shape, body, out, err);
}

void
operator_vms_render(const struct operator_vms *list, struct buf *out)
{
    json_encode(&vms_shape, list, out);
}

struct json_doc *
operator_workers_parse(struct str body, struct operator_workers *out,
                       struct api_error *err)
{
    *out = (struct operator_workers){0};
    return api_decode(&workers_shape, body, out, err);
}

void
operator_workers_render(const struct operator_workers *list, struct buf *out)
{
    json_encode(&workers_shape, list, out);
}

struct json_doc *
operator_endpoints_parse(struct str body, struct operator_endpoints *out,
                         struct api_error *err)
{
    *out = (struct operator_endpoints){0};
    return api_decode(&endpoints_shape, body, out, err);
}

void
operator_endpoints_render(const struct operator_endpoints *list,
                          struct buf *out)
{
    json_encode(&endpoints_shape, list, out);
}

struct json_doc *
operator_team_list_parse(struct str body, struct operator_team_list *out,
                         struct api_error *err)
{
    *out = (struct operator_team_list){0};
    return api_decode(&team_list_shape, body, out, err);
}

void
operator_team_list_render(const struct operator_team_list *list,
                          struct buf *out)
{
    json_encode(&team_list_shape, list, out);
}
