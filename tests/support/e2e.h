#ifndef GV_TEST_E2E_H
#define GV_TEST_E2E_H

#include "cluster.h"

/*
 * Registers a case of an end-to-end test program. It runs in a process of its
 * own, so that a failed case neither stops the others nor leaves processes
 * behind, and fails after E2E_CASE_S.
 */
enum {
    E2E_CASE_S = 60, /* several times the longest case, for sanitizers */
};

void
e2e_case(const char *path, void (*run)(void));

/* Runs the cases; what main returns. */
int
e2e_run(int argc, char **argv);

/* A second user of the same cluster, for another thread. */
struct cluster *
e2e_clone(const struct cluster *c);
void
e2e_clone_free(struct cluster *clone);

/* A number below bound, from the seed of the test run. */
int
e2e_random(int bound);

#endif
