#include "platform.h"

static const struct json_field probe_fields[] = {
    JSON_BOOL_FIELD(platform_probe, ok, 0),
    JSON_STRING_FIELD(platform_probe, reason, JSON_OPTIONAL, 0, 256),
};

static const struct json_shape probe_shape =
    JSON_SHAPE(platform_probe, probe_fields);

struct json_doc *
platform_probe_parse(struct str body, struct platform_probe *out,
                     struct api_error *err)
{
    *out = (struct platform_probe){0};
    return api_decode(&probe_shape, body, out, err);
}

void
platform_probe_render(const struct platform_probe *p, struct buf *out)
{
    json_encode(&probe_shape, p, out);
}

static const struct api_route_def route_defs[] = {
    {HTTP_GET, "/v1/live", API_LIVE, API_KEY_NONE},
    {HTTP_GET, "/v1/ready", API_READY, API_KEY_NONE},
    {HTTP_GET, "/metrics", API_METRICS, API_KEY_NONE},
};

const struct api_table platform_routes = {
    route_defs, sizeof(route_defs) / sizeof(route_defs[0])};
