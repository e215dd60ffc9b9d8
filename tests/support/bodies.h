#ifndef GV_TEST_BODIES_H
#define GV_TEST_BODIES_H

#include "caller.h"
#include "endpoint.h"
#include "operator.h"
#include "probe.h"
#include "worker.h"

/* All JSON bodies of the API with an example of each. */

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
    struct operator_team_list team_list;
};

struct body {
    const char *name;
    struct json_doc *(*parse)(struct str, void *, struct api_error *);
    void (*render)(const void *, struct buf *);
    const char *example; /* with the fields in the order of rendering */
};

extern const struct body bodies[];
extern const size_t body_count;

/* Parses text as each body; what is accepted must render to a text that is
 * accepted again and renders the same. Aborts otherwise. */
void
bodies_check(struct str text);

#endif
