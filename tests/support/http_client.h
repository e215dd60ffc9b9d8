#ifndef GV_TEST_HTTP_CLIENT_H
#define GV_TEST_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

#include "str.h"

/*
 * A blocking HTTP client for the fakes and the end-to-end tests. One object
 * is used by one thread and keeps its connections open between calls.
 */
struct http_client;

struct http_call {
    const char *method;
    const char *url;
    const char *key;            /* bearer key or NULL */
    const char *const *headers; /* NULL-terminated "Name: value" or NULL */
    struct str body;
    long timeout_ms;
};

struct http_answer {
    bool complete; /* a whole response arrived */
    long status;
    char outcome[16]; /* Guavarock-Outcome, empty when absent */
    struct buf body;  /* always ends in a NUL byte that len leaves out */
};

struct http_client *
http_client_create(void);
void
http_client_destroy(struct http_client *c);

/* Fills answer, which the caller frees with http_answer_free. */
void
http_client_call(struct http_client *c, const struct http_call *call,
                 struct http_answer *answer);
void
http_answer_free(struct http_answer *answer);

#endif
