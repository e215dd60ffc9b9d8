#ifndef GV_PLATFORM_H
#define GV_PLATFORM_H

#include "api.h"

/* Probes and metrics of the platform; no key is asked for. */

/* Body of GET /v1/live and GET /v1/ready. */
struct platform_probe {
    bool ok;
    struct str reason; /* ptr NULL: none */
};

struct json_doc *
platform_probe_parse(struct str body, struct platform_probe *out,
                     struct api_error *err);
void
platform_probe_render(const struct platform_probe *p, struct buf *out);

/* Content type of GET /metrics. */
#define PLATFORM_METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"

extern const struct api_table platform_routes;

#endif
