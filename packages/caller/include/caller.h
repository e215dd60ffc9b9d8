#ifndef GV_CALLER_H
#define GV_CALLER_H

#include "api.h"

/*
 * The API for callers: bodies, queries and routes of jobs, and the route of
 * services' requests. A function that parses a body returns the document that
 * owns the strings and arrays of *out, to be freed with json_doc_free, or NULL
 * with *err filled. One that parses a query returns false with *err filled.
 */

enum caller_job_class {
    CALLER_JOB_SERVICE,
    CALLER_JOB_BATCH,
    CALLER_JOB_GANG,
};

enum {
    CALLER_TASKS_MAX = 10000,
    CALLER_PAYLOAD_MAX = 16 * 1024,
    CALLER_LIST_MAX = 1000,
    CALLER_WAIT_MAX_MS = 60000,
};

struct caller_job {
    int class; /* enum caller_job_class */
    uint32_t tasks;
    uint64_t cpu_milli;    /* of one task */
    uint64_t memory_mib;   /* of one task */
    uint64_t accelerators; /* of one task */
    bool urgent;
    bool idempotent;     /* default true */
    uint64_t run_time_s; /* expected, as the caller declared; 0: unknown */
    struct str queue;    /* ptr NULL: the team's own queue */
    struct str payload;  /* may be empty */
};

struct json_doc *
caller_job_parse(struct str body, struct caller_job *out,
                 struct api_error *err);
void
caller_job_render(const struct caller_job *job, struct buf *out);

enum caller_job_state {
    CALLER_JOB_QUEUED, /* no task has started yet */
    CALLER_JOB_RUNNING,
    CALLER_JOB_DONE,
    CALLER_JOB_FAILED,
    CALLER_JOB_CANCELLED,
    CALLER_JOB_UNKNOWN,
    CALLER_JOB_UNSCHEDULABLE,
};

struct caller_job_status {
    struct str id;
    int class;         /* enum caller_job_class */
    int state;         /* enum caller_job_state */
    struct str reason; /* ptr NULL: none */
    struct str queue;  /* ptr NULL: the team's own queue */
    bool urgent;
    bool idempotent;
    uint32_t tasks;
    uint64_t cpu_milli;
    uint64_t memory_mib;
    uint64_t accelerators;
    uint64_t run_time_s;
    /* Tasks by state; their sum is tasks. */
    uint32_t queued;
    uint32_t running;
    uint32_t done;
    uint32_t failed;
    uint32_t cancelled;
    uint32_t unknown;
    int64_t submitted_ms; /* since 1970-01-01 UTC */
    int64_t ended_ms;     /* since 1970-01-01 UTC; 0: not ended */
};

struct json_doc *
caller_job_status_parse(struct str body, struct caller_job_status *out,
                        struct api_error *err);
void
caller_job_status_render(const struct caller_job_status *status,
                         struct buf *out);

struct caller_job_list {
    struct caller_job_status *jobs;
    size_t count;
    struct str next; /* value of after for the next page; ptr NULL: none */
};

struct json_doc *
caller_job_list_parse(struct str body, struct caller_job_list *out,
                      struct api_error *err);
void
caller_job_list_render(const struct caller_job_list *list, struct buf *out);

/* Answer to DELETE /v1/jobs?prefix=. */
struct caller_cancelled {
    uint64_t cancelled; /* number of jobs */
};

struct json_doc *
caller_cancelled_parse(struct str body, struct caller_cancelled *out,
                       struct api_error *err);
void
caller_cancelled_render(const struct caller_cancelled *c, struct buf *out);

/* Query of GET /v1/jobs/{id}: ?wait_ms=, at most CALLER_WAIT_MAX_MS; *wait_ms
 * is 0 when it is absent. */
bool
caller_wait_parse(struct str query, uint32_t *wait_ms, struct api_error *err);

/* Query of GET /v1/jobs: ?after=NEXT&limit=N, where NEXT is the field next of
 * the previous page. */
struct caller_page {
    struct str after; /* free it with str_free; ptr NULL: the first page */
    uint32_t limit;   /* 1 to CALLER_LIST_MAX, which is the default */
};

bool
caller_page_parse(struct str query, struct caller_page *out,
                  struct api_error *err);

/* Query of DELETE /v1/jobs: ?prefix=, required and not empty. Free *prefix
 * with str_free. */
bool
caller_prefix_parse(struct str query, struct str *prefix,
                    struct api_error *err);

extern const struct api_table caller_routes;

#endif
