/*
 * Reservations for gangs. A gang starts all its tasks at once; without
 * reservations, smaller work takes each piece of room as it becomes free, and
 * a wide gang waits for ever on a full fleet. A reservation names the time at
 * which enough room will have become free on approved workers, and keeps
 * from those workers what would still run then.
 */
#include <stdlib.h>

#include "clock.h"
#include "mem.h"
#include "plan_impl.h"

/* From then on the worker has room for so many more tasks. */
struct gain {
    int64_t at;
    uint64_t tasks;
};

struct gains {
    struct gain *list;
    size_t count;
    size_t cap;
};

static bool
eligible(const struct round *r, const struct view *v,
         const struct candidate *c)
{
    if (v->reserved_from != 0 || !view_suits(r, v, c)) {
        return false;
    }
    if (!c->job->queue->needs_approval) {
        return true;
    }
    return v->verdict != NULL && v->verdict->approved;
}

static void
add_gain(struct gains *g, int64_t at, uint64_t tasks)
{
    if (g->count == g->cap) {
        g->cap = g->cap * 2 + 64;
        g->list = mem_realloc(g->list, g->cap, sizeof(*g->list));
    }
    g->list[g->count++] = (struct gain){at, tasks};
}

static int
compare_gains(const void *a, const void *b)
{
    const struct gain *x = a;
    const struct gain *y = b;

    return (x->at > y->at) - (x->at < y->at);
}

static int
compare_releases(const void *a, const void *b)
{
    const struct release *x = a;
    const struct release *y = b;

    return (x->at > y->at) - (x->at < y->at);
}

static void
collect_gains(const struct round *r, struct view *v, const struct candidate *c,
              struct gains *out)
{
    struct flow_size room = view_free(v);
    uint64_t before = room_for(c, room);

    if (before > 0) {
        add_gain(out, r->now, before);
    }
    if (v->release_count == 0) {
        return;
    }
    qsort(v->releases, v->release_count, sizeof(*v->releases),
          compare_releases);
    for (size_t i = 0; i < v->release_count; i++) {
        uint64_t tasks;

        room = size_add(room, v->releases[i].size);
        tasks = room_for(c, room);
        if (tasks > before) {
            add_gain(out, v->releases[i].at, tasks - before);
            before = tasks;
        }
    }
}

static struct flow_size
free_at(const struct view *v, int64_t at)
{
    struct flow_size room = view_free(v);

    for (size_t i = 0; i < v->release_count; i++) {
        if (v->releases[i].at <= at) {
            room = size_add(room, v->releases[i].size);
        }
    }
    return room;
}

static int64_t
earliest_fit(struct gains *g, uint64_t need)
{
    uint64_t have = 0;

    if (g->count == 0) {
        return INT64_MAX;
    }
    qsort(g->list, g->count, sizeof(*g->list), compare_gains);
    for (size_t i = 0; i < g->count; i++) {
        have += g->list[i].tasks;
        if (have >= need) {
            return g->list[i].at;
        }
    }
    return INT64_MAX;
}

static void
hold_room(struct round *r, const struct candidate *c, int64_t at)
{
    struct flow_size size = step_takes(c->step);
    uint64_t need = c->step->count;

    for (size_t i = 0; i < r->view_count && need > 0; i++) {
        struct view *v = &r->views[i];
        struct flow_size room;
        uint64_t tasks;

        if (!eligible(r, v, c)) {
            continue;
        }
        room = free_at(v, at);
        tasks = room_for(c, room);
        tasks = tasks < need ? tasks : need;
        if (tasks == 0) {
            continue;
        }
        need -= tasks;
        v->reserved_from = at;
        v->reserved_priority = c->priority;
        for (uint64_t k = 0; k < tasks; k++) {
            room = size_less(room, size);
        }
        v->spare = room;
    }
}

int64_t
reserve_gang(struct round *r, const struct candidate *c)
{
    struct gains gains = {0};
    int64_t at;

    if (r->reservations >= r->limits->reservations || c->rank > 1) {
        return INT64_MAX;
    }
    round_releases(r);
    for (size_t i = 0; i < r->view_count; i++) {
        if (eligible(r, &r->views[i], c)) {
            collect_gains(r, &r->views[i], c, &gains);
        }
    }
    at = earliest_fit(&gains, c->step->count);
    mem_free(gains.list);
    if (at != INT64_MAX) {
        r->reservations++;
        hold_room(r, c, at);
    }
    return at;
}
