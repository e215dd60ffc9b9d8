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
    GANG_ROOM_FACTOR = 4,
    /* The answer travels, and a call may queue behind another. */
    ASK_AHEAD_MS = 150,
    /* A wide gang needs tickets of more workers than one call names, or names
     * in time: tickets of calls that follow each other lapse before the last
     * is there, so the calls of one step are made at the same time. */
    GANG_CALL_WORKERS = 50,
    /* Room with tickets over what the gang needs: others take some of it
     * before the tickets are there. */
    TICKETS_PERCENT = 150,
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

        if (!view_suits(r, v, c) ||
            (known != NULL &&
             (!known->approved || ticket_valid(known, r->now)))) {
            continue;
        }
        out[n].worker = v->worker->number;
        out[n].known = known != NULL;
        out[n].empty = size_count(v->worker->capacity, size);
        out[n].room =
            view_unreserved(v, size, c->priority, expected_end(r, c, v))
                ? size_count(view_free(v), size)
                : 0;
        n++;
    }
    qsort(out, n, sizeof(*out), compare_options);
    return n;
}

/* Whether the step may run there, once it has a ticket. */
static bool
approved_for(const struct round *r, const struct candidate *c,
             const struct view *v)
{
    return v->verdict != NULL && v->verdict->approved && view_suits(r, v, c);
}

/* Tasks that the approved workers could hold if they were empty. */
static uint64_t
approved_room(const struct round *r, const struct candidate *c)
{
    struct flow_size size = step_takes(c->step);
    uint64_t room = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        if (approved_for(r, c, &r->views[i])) {
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

/* The call to name a further worker in; NULL when there are enough. */
static struct plan_ask *
next_ask(struct round *r, const struct candidate *c, struct plan_ask *ask,
         size_t most)
{
    if (ask->count < most) {
        return ask;
    }
    if (!c->step->spec->gang || r->plan->ask_count >= r->limits->asks) {
        return NULL;
    }
    return add_ask(r, c);
}

/* Names workers until enough room is expected among those approved: with
 * broad, room that will become free counts as well. */
static void
ask_options(struct round *r, const struct candidate *c,
            const struct option *options, size_t count, uint64_t missing,
            bool broad)
{
    size_t most = c->step->spec->gang ? GANG_CALL_WORKERS : PLAN_ASK_MAX;
    struct plan_ask *ask = add_ask(r, c);
    uint64_t covered = 0;

    for (size_t i = 0; i < count; i++) {
        uint64_t room = broad ? options[i].empty : options[i].room;

        ask = next_ask(r, c, ask, most);
        if (ask == NULL) {
            break;
        }
        if (ask->count >= ASK_MIN &&
            (room == 0 || covered >= missing * ASK_FACTOR)) {
            break;
        }
        ask->workers[ask->count++] = options[i].worker;
        covered += options[i].known ? room * ASK_FACTOR : room;
    }
}

/* Tasks of the candidate that have room there now. */
static uint64_t
room_now(const struct round *r, const struct candidate *c,
         const struct view *v)
{
    struct flow_size size = step_takes(c->step);

    if (!view_unreserved(v, size, c->priority, expected_end(r, c, v))) {
        return 0;
    }
    return room_for(c, view_free(v));
}

static uint64_t
approved_room_now(const struct round *r, const struct candidate *c)
{
    uint64_t room = 0;

    for (size_t i = 0; i < r->view_count; i++) {
        if (approved_for(r, c, &r->views[i])) {
            room += room_now(r, c, &r->views[i]);
        }
    }
    return room;
}

/*
 * Tickets for a gang, for enough of its approved workers at the same time:
 * tickets that are still valid are asked for again if they would lapse before
 * the answer, because a gang starts only with all of them. Without room, all
 * approved workers count: room becomes free earlier on some and later on
 * others than was expected.
 */
static void
ask_together(struct round *r, const struct candidate *c, bool with_room,
             int64_t until)
{
    uint64_t need = (uint64_t)c->step->count * TICKETS_PERCENT / 100 + 1;
    uint64_t covered = 0;
    struct plan_ask *ask = add_ask(r, c);

    for (size_t i = 0; i < r->view_count; i++) {
        const struct view *v = &r->views[i];
        uint64_t room;

        if (!approved_for(r, c, v)) {
            continue;
        }
        room = with_room ? room_now(r, c, v) : 1;
        if (room == 0) {
            continue;
        }
        if (v->verdict->valid_until < until) {
            ask = next_ask(r, c, ask, GANG_CALL_WORKERS);
            if (ask == NULL) {
                break;
            }
            ask->workers[ask->count++] = v->worker->number;
        }
        covered += room;
        if (with_room && covered >= need) {
            break;
        }
    }
    if (ask != NULL && ask->count == 0) {
        r->plan->ask_count--;
    }
}

/* A gang whose approved workers would hold it if they were empty. */
static bool
ask_gang(struct round *r, const struct candidate *c, int64_t fits)
{
    const struct flow_queue *q = c->job->queue;
    int64_t call = (q->approval_ms + ASK_AHEAD_MS) * NS_PER_MS;

    if (approved_room_now(r, c) >= c->step->count) {
        int64_t workers = (int64_t)GANG_CALL_WORKERS * q->approval_worker_us *
                          (NS_PER_MS / 1000);

        ask_together(r, c, true, r->now + call + workers);
        return true;
    }
    if (fits == INT64_MAX) {
        return false;
    }
    if (fits - r->now <= call) {
        ask_together(r, c, false, fits);
    }
    return true;
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
    if (gang && !broad && ask_gang(r, c, fits)) {
        return;
    }
    options = mem_alloc((r->view_count + 1) * sizeof(*options));
    count = options_of(r, c, options);
    if (count > 0 && (broad || options[0].room > 0)) {
        ask_options(r, c, options, count, missing, broad);
    }
    mem_free(options);
}
