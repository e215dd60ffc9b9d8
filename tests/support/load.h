#ifndef GV_TEST_LOAD_H
#define GV_TEST_LOAD_H

#include "cluster.h"

/* Requests to the service "echo", recorded in the history. */

struct load_request {
    const char *url; /* "http://IP:PORT" */
    const char *tag; /* unique; the endpoint echoes it */
    const char *key_id;
    const char *key;
    const char *idempotency; /* Idempotency-Key or NULL */
    bool idempotent;
    bool must; /* the checker reports it unless it is answered with 200 */
    int delay_ms;
    int timeout_ms;
};

/* Returns the status, 0 when no whole answer arrived; outcome may be NULL. */
long
load_send(struct http_client *client, struct history *history,
          const struct load_request *r, char outcome[16]);

/* Sends one request with a new tag through a VM with the key of team lamps.
 */
long
load_once(const struct cluster *c, int vm, char outcome[16]);

/* Waits until a VM answers a request with 200. */
void
load_await(const struct cluster *c, int vm);

struct load_options {
    const char *url; /* NULL: all VMs of the cluster in turn */
    int threads;
    int delay_ms;
    bool must;
    unsigned seed;
};

struct load;

/* Sends with the key that team lamps has now. */
struct load *
load_start(const struct cluster *c, const struct load_options *options);

/* Answers with 200 so far. */
int
load_done(const struct load *l);

/* Waits for further answers with 200. */
void
load_await_more(const struct load *l, int count);

/* Stops and returns how many were answered with 200. */
int
load_stop(struct load *l);

#endif
