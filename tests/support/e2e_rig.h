#ifndef GV_TEST_E2E_RIG_H
#define GV_TEST_E2E_RIG_H

#include "cluster_api.h"
#include "load.h"

/* What many end-to-end cases share: a cluster with two workers and two
 * endpoints, jobs, and the checks at the end. */

enum {
    /* Longer than each lease and the longest request, with margins. */
    E2E_ALL_LEASES_MS =
        CLUSTER_LONGEST_REQUEST_MS + CLUSTER_WORKER_LEASE_MS + 500,
    /* Of a request whose entry is killed before its answer: nearly the longest
     * request, so that a stalled machine does not let it end first. */
    E2E_KILLED_DELAY_MS = CLUSTER_LONGEST_REQUEST_MS - 100,
};

/* Returns once each VM has answered a request with 200. */
struct cluster *
e2e_start(int control, int entries, bool relays);

/* Three control VMs, and endpoints e1, e2, ... without workers. options are
 * further arguments of each, or NULL. */
struct cluster *
e2e_start_endpoints(int entries, int endpoints, const char *const *options);

/* Submits batch jobs PREFIX-0, ..., every second one idempotent. */
void
e2e_put_jobs(const struct cluster *c, const char *prefix, int count,
             const char *payload);

/* The same with tasks of that size; waits until all have started. Small tasks
 * are packed onto few workers, so a case that needs some on each worker gives
 * them a size at which they must spread. */
void
e2e_run_jobs(const struct cluster *c, const char *prefix, int count,
             int cpu_milli, const char *payload);

/* Lets the tasks with the payload until=NAME end. */
void
e2e_release(const struct cluster *c, const char *name);

/* Cancels the jobs with that prefix; waits until the call is accepted. */
void
e2e_cancel(const struct cluster *c, const char *prefix);

/* Changes the weights of the teams; returns the list's new version. */
int64_t
e2e_change_teams(const struct cluster *c, int weight, int vm);

/* Load with a seed from the test run. */
struct load *
e2e_load(const struct cluster *c, int threads);

/* Whether the endpoints have got the request with that tag. */
bool
e2e_has_arrived(const struct cluster *c, const char *tag);

/* How often tasks of the jobs PREFIX-... have started. */
int
e2e_starts(const struct cluster *c, const char *prefix);

/* A number of GET /v1/status. */
int64_t
e2e_status(const struct cluster *c, const char *path);

/* Waits for all jobs to end, runs the history checker and destroys. */
void
e2e_finish(struct cluster *c);

#endif
