#ifndef GV_TEST_BODIES_H
#define GV_TEST_BODIES_H

#include "caller.h"
#include "endpoint.h"
#include "operator.h"
#include "platform.h"
#include "worker.h"

/* All JSON bodies of the API with an example of each. */

typedef struct json_doc *
body_parse_fn(struct str, void *, struct api_error *);
typedef void
body_render_fn(const void *, struct buf *);

union body_struct {
    struct caller_job job;
    struct caller_job_status status;
    struct caller_job_list jobs;
    struct caller_cancelled cancelled;
    struct endpoint endpoint;
    struct endpoint_answer endpoint_answer;
    struct worker_sync sync;
    struct worker_answer answer;
    struct operator_teams teams;
    struct operator_limits limits;
    struct operator_status cell;
    struct operator_usage usage;
};

struct body {
    body_parse_fn *parse;
    body_render_fn *render;
    const char *example; /* with the fields in the order of rendering */
};

extern const struct body bodies[];
extern const size_t body_count;

/* Parses text as each body; what is accepted must render to a text that is
 * accepted again and renders the same. Aborts otherwise. */
void
bodies_check(struct str text);

#endif
