#include "operator.h"

static const struct api_route_def route_defs[] = {
    {HTTP_GET, "/v1/lists/teams", API_TEAMS_GET, API_KEY_OPERATOR},
    {HTTP_PUT, "/v1/lists/teams", API_TEAMS_PUT, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/lists/limits", API_LIMITS_GET, API_KEY_OPERATOR},
    {HTTP_PUT, "/v1/lists/limits", API_LIMITS_PUT, API_KEY_OPERATOR},
    {HTTP_POST, "/v1/keys", API_KEY_CREATE, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/keys", API_KEY_LIST, API_KEY_OPERATOR},
    {HTTP_DELETE, "/v1/keys/*", API_KEY_DELETE, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/audit", API_AUDIT, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/usage", API_USAGE, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/usage/chart", API_USAGE_CHART, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/status", API_STATUS, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/vms", API_VM_LIST, API_KEY_OPERATOR},
    {HTTP_POST, "/v1/vms/*/drain", API_VM_DRAIN, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/workers", API_WORKER_LIST, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/endpoints", API_ENDPOINT_LIST, API_KEY_OPERATOR},
    {HTTP_GET, "/v1/teams", API_TEAM_LIST, API_KEY_OPERATOR},
};

const struct api_table operator_routes = {
    route_defs, sizeof(route_defs) / sizeof(route_defs[0])};
