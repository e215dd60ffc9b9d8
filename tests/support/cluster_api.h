#ifndef GV_TEST_CLUSTER_API_H
#define GV_TEST_CLUSTER_API_H

#include <jansson.h>

#include "cluster.h"

/* API calls of the end-to-end tests, recorded in the history. */

struct api_call {
    const char *method;
    const char *path;
    const char *key;
    const char *body;
    const char *header; /* "Name: value" or NULL */
    const char *header2;
    int vm;         /* -1: each VM in turn until one answers below 500 */
    int timeout_ms; /* 0: 5 s */
};

/* Returns the status, 0 when no whole answer arrived. *out, unless NULL, is
 * the body's JSON (NULL when it is none), which the caller releases. */
long
api_call(const struct cluster *c, const struct api_call *call, json_t **out);

/* A number in an object, by path such as "capacity.cpu_milli". */
int64_t
api_number(const json_t *object, const char *path);

/* GET /v1/status of any VM, tried again until it answers. */
json_t *
api_status(const struct cluster *c);

/* A metric of the VM, with its labels; -1 when the VM does not answer or has
 * no metric of that name. */
int64_t
api_metric(const struct cluster *c, int vm, const char *name);

/* POST /v1/keys; waits for it to be in force. */
struct cluster_key
api_key_create(const struct cluster *c, const char *kind, const char *team);

/* DELETE /v1/keys/ID through vm, repeated until it succeeds. */
void
api_key_withdraw(const struct cluster *c, const char *id, int vm);

/* PUT of a list; returns the status. version -1 reads the current one. */
long
api_list_put(const struct cluster *c, const char *list, int64_t version,
             const char *items, const char *idempotency, int vm);
int64_t
api_list_version(const struct cluster *c, const char *list, int vm);

/* Limits of team lamps; 0: wide. */
struct api_limit {
    int tasks;
    int cpu_milli;
    int memory_mib;
    int requests;
};

/* Sets them, repeated until they are in force. */
void
api_limit(const struct cluster *c, const struct api_limit *limit);
void
api_limit_tasks(const struct cluster *c, int tasks);

struct api_job {
    const char *id;
    const char *class; /* NULL: batch */
    int tasks;         /* 0: 1 */
    int cpu_milli;     /* 0: 1000 */
    int run_time_s;    /* declared; 0: 1 */
    bool idempotent;
    bool urgent;
    const char *payload;
};

/* PUT /v1/jobs/ID with the key of team lamps, repeated until it is accepted
 * or refused with a 4xx; returns the status. */
long
api_job_put(const struct cluster *c, const struct api_job *job);

/* The job's state; the text is static. */
const char *
api_job_state(const struct cluster *c, const char *id);
void
api_await_job(const struct cluster *c, const char *id, const char *state);

/* Waits until GET /v1/jobs shows no job that has not ended. */
void
api_await_jobs_ended(const struct cluster *c);

/* Processor time of all teams in this month, in ms. */
int64_t
api_cpu_used(const struct cluster *c);

/* Records GET /v1/usage of this month for the checker. */
void
api_record_usage(const struct cluster *c);

#endif
