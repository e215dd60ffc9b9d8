#include <inttypes.h>
#include <string.h>

#include "checker_impl.h"
#include "mem.h"

/* All attempts with one tag. */
struct request {
    const char *tag;
    const char *key;
    int64_t first_sent;
    int sends;
    int starts;  /* at endpoints */
    int refused; /* answers that say not-run */
    bool idempotent;
};

struct endpoint {
    int64_t slots;
    int64_t leaves; /* time of the announcement; 0: none */
    bool was_frozen;
};

struct requests {
    struct checker *c;
    struct map *by_tag;
    struct map *endpoints;
    struct map *withdrawn; /* by key id, the event */
};

static void *
find_or_add(struct map *m, const char *name, size_t size)
{
    void *found = map_get(m, str_of(name));

    if (found == NULL) {
        found = mem_zalloc(1, size);
        map_put(m, str_of(name), found);
    }
    return found;
}

static struct endpoint *
endpoint_of(struct requests *q, const struct event *e)
{
    return find_or_add(q->endpoints, event_text(e, "endpoint"),
                       sizeof(struct endpoint));
}

/* Whether the key was reported as withdrawn before t. */
static bool
is_withdrawn(const struct requests *q, const char *key, int64_t t)
{
    const struct event *e = map_get(q->withdrawn, str_of(key));

    return e != NULL && e->t < t;
}

static void
sent(struct requests *q, const struct event *e)
{
    struct request *r =
        find_or_add(q->by_tag, event_text(e, "tag"), sizeof(*r));

    if (r->sends++ == 0) {
        r->tag = event_text(e, "tag");
        r->key = event_text(e, "key");
        r->first_sent = e->t;
        r->idempotent = event_true(e, "idempotent");
    }
}

static void
check_key(struct requests *q, const struct event *e)
{
    if (is_withdrawn(q, event_text(e, "key"), event_number(e, "began")) &&
        event_true(e, "complete") && event_number(e, "status") != 401 &&
        strcmp(event_text(e, "outcome"), "not-run") != 0) {
        checker_report(q->c, e->t,
                       "a withdrawn key was accepted: %s, request %s",
                       event_text(e, "key"), event_text(e, "tag"));
    }
}

static void
answered(struct requests *q, const struct event *e)
{
    struct request *r = map_get(q->by_tag, str_of(event_text(e, "tag")));
    bool ok = event_true(e, "complete") && event_number(e, "status") == 200;

    if (ok && strcmp(event_text(e, "echo"), event_text(e, "tag")) != 0) {
        checker_report(q->c, e->t, "wrong answer: request %s was given '%s'",
                       event_text(e, "tag"), event_text(e, "echo"));
    }
    if (event_true(e, "must") && !ok) {
        checker_report(q->c, e->t,
                       "a planned stop broke request %s: status %" PRId64
                       " %s",
                       event_text(e, "tag"), event_number(e, "status"),
                       event_text(e, "outcome"));
    }
    if (r != NULL && event_true(e, "complete") &&
        strcmp(event_text(e, "outcome"), "not-run") == 0) {
        r->refused++;
    }
    check_key(q, e);
}

static void
check_endpoint(struct requests *q, const struct event *e)
{
    const struct endpoint *p = endpoint_of(q, e);

    if (p->leaves != 0 && e->t > p->leaves + q->c->options->leaving_ns) {
        checker_report(q->c, e->t,
                       "leaving endpoint %s got a new request %" PRId64
                       " ms after its announcement",
                       event_text(e, "endpoint"),
                       (e->t - p->leaves) / 1000000);
    }
    /* A paused endpoint still holds requests that have timed out since. */
    if (p->slots != 0 && !p->was_frozen &&
        event_number(e, "active") > p->slots) {
        checker_report(q->c, e->t, "slots exceeded at endpoint %s: %" PRId64,
                       event_text(e, "endpoint"), event_number(e, "active"));
    }
}

static void
arrived(struct requests *q, const struct event *e)
{
    struct request *r = map_get(q->by_tag, str_of(event_text(e, "tag")));

    check_endpoint(q, e);
    if (r != NULL) {
        r->starts++;
    }
    else if (event_text(e, "tag")[0] != '\0') {
        checker_report(q->c, e->t, "request %s was never sent",
                       event_text(e, "tag"));
    }
}

static void
take(struct requests *q, const struct event *e)
{
    struct endpoint *p;

    if (strcmp(e->kind, "send") == 0) {
        sent(q, e);
    }
    else if (strcmp(e->kind, "answer") == 0) {
        answered(q, e);
    }
    else if (strcmp(e->kind, "request") == 0) {
        arrived(q, e);
    }
    else if (strcmp(e->kind, "endpoint") == 0) {
        p = endpoint_of(q, e);
        p->slots = event_number(e, "slots");
        p->leaves = 0;
    }
    else if (strcmp(e->kind, "leaving") == 0) {
        endpoint_of(q, e)->leaves = e->t;
    }
    else if (strcmp(e->kind, "frozen") == 0 &&
             event_text(e, "endpoint")[0] != '\0') {
        endpoint_of(q, e)->was_frozen = true;
    }
    else if (strcmp(e->kind, "withdrawn") == 0) {
        map_put(q->withdrawn, str_of(event_text(e, "key")), (void *)e);
    }
}

static void
check_request(struct requests *q, const struct request *r)
{
    if (!r->idempotent && r->starts > 1) {
        checker_report(q->c, r->first_sent,
                       "non-idempotent request %s ran %d times", r->tag,
                       r->starts);
    }
    if (r->refused == r->sends && r->starts > 0) {
        checker_report(q->c, r->first_sent, "not-run is false: request %s ran",
                       r->tag);
    }
    if (is_withdrawn(q, r->key, r->first_sent) && r->starts > 0) {
        checker_report(q->c, r->first_sent,
                       "a withdrawn key was accepted: %s, request %s ran",
                       r->key, r->tag);
    }
}

static void
free_values(struct map *m)
{
    void *cursor = NULL;
    void *value;

    while ((value = map_next(m, &cursor)) != NULL) {
        mem_free(value);
    }
    map_destroy(m);
}

void
checker_requests(struct checker *c)
{
    struct requests q = {.c = c,
                         .by_tag = map_create(),
                         .endpoints = map_create(),
                         .withdrawn = map_create()};
    const struct request *r;
    void *cursor = NULL;

    for (size_t i = 0; i < c->count; i++) {
        take(&q, &c->events[i]);
    }
    while ((r = map_next(q.by_tag, &cursor)) != NULL) {
        check_request(&q, r);
    }
    free_values(q.by_tag);
    free_values(q.endpoints);
    map_destroy(q.withdrawn);
}
