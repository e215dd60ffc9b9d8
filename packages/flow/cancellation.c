/*
 * Cancellations of jobs that are not known when they are cancelled. The
 * submission may still be under way at another VM and arrive afterwards, and
 * its job must not run then. They are kept as long as jobs that have ended.
 */
#include <inttypes.h>

#include "internal.h"

#include "mem.h"

struct flow_cancellation {
    uint64_t job;
    struct str address; /* host and path prefix of the call */
    int64_t wall_ms;
};

static struct str
make_key(struct str address, uint64_t job, struct buf *out)
{
    buf_printf(out, "%.*s%016" PRIx64, STR_ARG(address), job);
    return buf_str(out);
}

static void
cancellation_free(struct flow_cancellation *c)
{
    str_free(&c->address);
    mem_free(c);
}

void
cancellation_add(struct flow_state *s, uint64_t job, struct str address,
                 int64_t wall_ms)
{
    struct flow_cancellation *c = mem_zalloc(1, sizeof(*c));
    struct flow_cancellation *replaced;
    struct buf key = {0};

    c->job = job;
    c->address = str_dup(address);
    c->wall_ms = wall_ms;
    replaced = map_put(s->cancellations, make_key(address, job, &key), c);
    if (replaced != NULL) {
        cancellation_free(replaced);
    }
    buf_free(&key);
}

bool
cancellation_exists(const struct flow_state *s, uint64_t job,
                    struct str address)
{
    struct buf key = {0};
    bool found =
        map_get(s->cancellations, make_key(address, job, &key)) != NULL;

    buf_free(&key);
    return found;
}

void
cancellations_prune(struct flow_state *s, int64_t before_ms)
{
    void *cursor = NULL;
    struct flow_cancellation *c;

    while ((c = map_next(s->cancellations, &cursor)) != NULL) {
        struct buf key = {0};

        if (c->wall_ms < before_ms) {
            map_del(s->cancellations, make_key(c->address, c->job, &key));
            cancellation_free(c);
        }
        buf_free(&key);
    }
}

void
cancellations_free(struct flow_state *s)
{
    void *cursor = NULL;
    struct flow_cancellation *c;

    while ((c = map_next(s->cancellations, &cursor)) != NULL) {
        cancellation_free(c);
    }
    map_destroy(s->cancellations);
}

void
cancellations_encode(const struct flow_state *s, Flow__Snapshot *out)
{
    void *cursor = NULL;
    struct flow_cancellation *c;

    out->cancellations = mem_alloc((map_count(s->cancellations) + 1) *
                                   sizeof(*out->cancellations));
    while ((c = map_next(s->cancellations, &cursor)) != NULL) {
        Flow__Cancellation *to = mem_alloc(sizeof(*to));

        flow__cancellation__init(to);
        to->job = c->job;
        to->address = (char *)c->address.ptr;
        to->wall_ms = c->wall_ms;
        out->cancellations[out->n_cancellations++] = to;
    }
}

size_t
flow_cancellation_count(const struct flow_state *s)
{
    return map_count(s->cancellations);
}
