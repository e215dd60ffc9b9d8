#ifndef GV_ENDPOINT_H
#define GV_ENDPOINT_H

#include "api.h"

/* Bodies and routes of endpoints: the announcement that an endpoint repeats to
 * stay registered. For the parse functions' results see caller.h. */

enum endpoint_state {
    ENDPOINT_READY,
    ENDPOINT_LEAVING,
};

enum {
    ENDPOINT_SLOTS_MAX = 100000,
};

struct endpoint {
    struct str service;
    struct str address; /* numeric IPv4:port or [IPv6]:port */
    struct str failure_domain;
    uint32_t slots;
    uint32_t connections;
    int state; /* enum endpoint_state */
};

struct json_doc *
endpoint_parse(struct str body, struct endpoint *out, struct api_error *err);
void
endpoint_render(const struct endpoint *e, struct buf *out);

/* Answer to an announcement. */
struct endpoint_answer {
    uint64_t lease_ms; /* the endpoint must repeat it within this time */
};

struct json_doc *
endpoint_answer_parse(struct str body, struct endpoint_answer *out,
                      struct api_error *err);
void
endpoint_answer_render(const struct endpoint_answer *a, struct buf *out);

/* Whether address is IPv4:port or [IPv6]:port, numeric and with a port from 1
 * to 65535. */
bool
endpoint_address_ok(struct str address);

extern const struct api_table endpoint_routes;

#endif
