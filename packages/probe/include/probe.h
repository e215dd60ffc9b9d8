#ifndef GV_PROBE_H
#define GV_PROBE_H

#include "api.h"

/* HTTP routes for load balancers and monitoring; they require no key. */

/* Body of GET /v1/live and GET /v1/ready. */
struct probe_answer {
    bool ok;
    struct str reason; /* ptr NULL: none */
};

struct json_doc *
probe_answer_parse(struct str body, struct probe_answer *out,
                   struct api_error *err);
void
probe_answer_render(const struct probe_answer *p, struct buf *out);

/* Content type of GET /metrics. */
#define PROBE_METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"

extern const struct api_table probe_routes;

#endif
