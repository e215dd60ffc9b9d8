/*
 * Which workers to ask approval for. The service takes longer the more
 * workers a call names, and the tickets that it gives lapse: a step asks for
 * workers with room when it could start, and a gang early for enough workers
 * to know where it may run at all.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

enum {
    /* Workers named in the first call for a step, at least. */
    ASK_MIN = 12,
    /* Room asked for over what the step needs: services approve between a
     * third and most of the workers. */
    ASK_FACTOR = 8,
    /* Room on approved workers, empty, over what a gang needs. */
    GANG_ROOM_FACTOR = 2,
    /* The answer travels, and a call may queue behind another. */
    ASK_AHEAD_MS = 150,
};

struct option {
    uint32_t worker;
    uint64_t room;  /* for tasks, now */
    uint64_t empty; /* for tasks, when nothing else runs there */
    bool known;     /* approved before; its ticket has lapsed */
};

static int
compare_options(const void *a, const void *b)
{
    const struct option *x = a;
    const struct option *y = b;

    if ((x->room > 0) != (y->room > 0)) {
        return x->room > 0 ? -1 : 1;
    }
    if (x->known != y->known) {
        return x->known ? -1 : 1;
    }
    return x->room == y->room ? 0 : x->room > y->room ? -1 : 1;
}

/* Workers worth asking for, the most useful first. */
static size_t
options_of(const struct round *r, const struct candidate *c,
           struct option *out)
{
    struct flow_size size = step_takes(c->step);
    size_t n = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        const struct view *v = &r->views[i];
        const struct flow_verdict *known = v->verdict;
        int64_t ends;

        if (!view_suits(r, v, c) ||
            (known != NULL &&
             (!known->approved || ticket_valid(known, r->now)))) {
            continue;
        }
        ends = r->now + (int64_t)(plan_run_ms(c->job, c->step, v->speed) *
                                  (double)NS_PER_MS);
        out[n].worker = v->worker->number;
        out[n].known = known != NULL;
        out[n].empty = size_count(v->worker->capacity, size);
        out[n].room = view_unreserved(v, size, c->priority, ends)
                          ? size_count(view_free(v), size)
                          : 0;
        n++;
    }
    qsort(out, n, sizeof(*out), compare_options);
    return n;
}

/* Tasks that the approved workers could hold if they were empty. */
static uint64_t
approved_room(const struct round *r, const struct candidate *c)
{
    struct flow_size size = step_takes(c->step);
    uint64_t room = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        const struct flow_verdict *v = r->views[i].verdict;

        if (v != NULL && v->approved && view_suits(r, &r->views[i], c)) {
            room += size_count(r->views[i].worker->capacity, size);
        }
    }
    return room;
}

static struct plan_ask *
add_ask(struct round *r, const struct candidate *c)
{
    struct plan *plan = r->plan;
    struct plan_ask *ask;

    if (plan->ask_count == plan->ask_cap) {
        plan->ask_cap = plan->ask_cap * 2 + 8;
        plan->asks =
            mem_realloc(plan->asks, plan->ask_cap, sizeof(*plan->asks));
    }
    ask = &plan->asks[plan->ask_count++];
    ask->job = c->job;
    ask->occurrence = &c->job->occurrences[c->occurrence];
    ask->step = c->step;
    ask->count = 0;
    return ask;
}

/* Names workers until enough room is expected among those approved: with
 * broad, room that will become free counts as well. */
static void
ask_options(struct round *r, const struct candidate *c,
            const struct option *options, size_t count, uint64_t missing,
            bool broad)
{
    struct plan_ask *ask = add_ask(r, c);
    uint64_t covered = 0;

    for (size_t i = 0; i < count && ask->count < PLAN_ASK_MAX; i++) {
        uint64_t room = broad ? options[i].empty : options[i].room;

        if (ask->count >= ASK_MIN &&
            (room == 0 || covered >= missing * ASK_FACTOR)) {
            break;
        }
        ask->workers[ask->count++] = options[i].worker;
        covered += options[i].known ? room * ASK_FACTOR : room;
    }
}

/*
 * Tickets shortly before a reservation begins, for all approved workers: room
 * becomes free earlier on some and later on others than was expected.
 */
static void
ask_reserved(struct round *r, const struct candidate *c, int64_t fits)
{
    const struct flow_queue *q = c->job->queue;
    int64_t ahead = (q->approval_ms + ASK_AHEAD_MS) * NS_PER_MS;
    struct plan_ask *ask;

    if (fits - r->now > ahead) {
        return;
    }
    ask = add_ask(r, c);
    for (size_t i = 0; i < r->view_count && ask->count < PLAN_ASK_MAX; i++) {
        const struct view *v = &r->views[i];
        const struct flow_verdict *known = v->verdict;

        if (known != NULL && known->approved && view_suits(r, v, c) &&
            known->valid_until < fits) {
            ask->workers[ask->count++] = v->worker->number;
        }
    }
    if (ask->count == 0) {
        r->plan->ask_count--;
    }
}

void
ask_approval(struct round *r, const struct candidate *c, uint32_t missing,
             int64_t fits)
{
    const struct flow_approval *a = c->step->approval;
    bool gang = c->step->spec->gang;
    bool broad = gang && approved_room(r, c) <
                             (uint64_t)c->step->count * GANG_ROOM_FACTOR;
    struct option *options;
    size_t count;

    if (r->plan->ask_count >= r->limits->asks ||
        (a != NULL && a->asked_until > r->now)) {
        return;
    }
    if (gang && !broad && fits != INT64_MAX) {
        ask_reserved(r, c, fits);
        return;
    }
    options = mem_alloc((r->view_count + 1) * sizeof(*options));
    count = options_of(r, c, options);
    if (count > 0 && (broad || options[0].room > 0)) {
        ask_options(r, c, options, count, missing, broad);
    }
    mem_free(options);
}
