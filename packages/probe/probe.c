#include "probe.h"

static const struct json_field probe_fields[] = {
    JSON_BOOL_FIELD(probe_answer, ok, 0),
    JSON_STRING_FIELD(probe_answer, reason, JSON_OPTIONAL, 0, 256),
};

static const struct json_shape probe_shape =
    JSON_SHAPE(probe_answer, probe_fields);

struct json_doc *
probe_answer_parse(struct str body, struct probe_answer *out,
                   struct api_error *err)
{
    *out = (struct probe_answer){0};
    return api_decode(&probe_shape, body, out, err);
}

void
probe_answer_render(const struct probe_answer *p, struct buf *out)
{
    json_encode(&probe_shape, p, out);
}

static const struct api_route_def route_defs[] = {
    {HTTP_GET, "/v1/live", API_LIVE, API_KEY_NONE},
    {HTTP_GET, "/v1/ready", API_READY, API_KEY_NONE},
    {HTTP_GET, "/metrics", API_METRICS, API_KEY_NONE},
};

const struct api_table probe_routes = {route_defs, sizeof(route_defs) /
                                                       sizeof(route_defs[0])};
