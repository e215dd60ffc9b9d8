/*
 * Evacuated failure domains, and the audit trail of their changes.
 */
#include "internal.h"

#include "mem.h"

/* A domain's entry is kept when its evacuation is withdrawn: the number of its
 * changes tells outdated requests from new ones. */
static struct flow_evacuation *
ensure_evacuation(struct flow_state *s, struct str domain)
{
    struct flow_evacuation *e = map_get(s->evacuations, domain);

    if (e == NULL) {
        e = mem_zalloc(1, sizeof(*e));
        e->domain = str_dup(domain);
        map_put(s->evacuations, e->domain, e);
    }
    return e;
}

static void
evacuation_clear(struct flow_evacuation *e)
{
    str_free(&e->domain);
    str_free(&e->vm);
}

static void
set_evacuation(struct flow_evacuation *e, const Flow__Evacuation *in)
{
    e->active = in->active;
    e->change = in->change;
    e->wall_ms = in->wall_ms;
    str_replace(&e->vm, str_of(in->vm));
}

/* Appends to the audit trail, of which the oldest entry goes once it is
 * full. */
static void
append_change(struct flow_state *s, const Flow__Evacuation *in)
{
    struct flow_evacuation *e;

    if (s->evacuation_change_count == FLOW_EVACUATION_CHANGES_MAX) {
        evacuation_clear(&s->evacuation_changes[0]);
        s->evacuation_change_count--;
        for (size_t i = 0; i < s->evacuation_change_count; i++) {
            s->evacuation_changes[i] = s->evacuation_changes[i + 1];
        }
    }
    e = &s->evacuation_changes[s->evacuation_change_count++];
    *e = (struct flow_evacuation){.domain = str_dup(str_of(in->domain))};
    set_evacuation(e, in);
}

static void
mark_workers(struct flow_state *s, const struct flow_evacuation *e)
{
    struct flow_worker *w;
    void *cursor = NULL;

    while ((w = map_next(s->workers, &cursor)) != NULL) {
        if (str_eq(w->domain, e->domain)) {
            w->evacuated = e->active;
        }
    }
}

void
evacuation_apply(struct flow_state *s, Flow__Evacuation *in)
{
    struct str domain = str_of(in->domain);
    const struct flow_evacuation *held = flow_evacuation(s, domain);
    uint64_t change = held == NULL ? 0 : held->change;
    struct flow_evacuation *e;

    if ((held != NULL && held->active) == in->active || in->change < change) {
        return;
    }
    in->change = change + 1;
    in->wall_ms = s->wall_ms;
    e = ensure_evacuation(s, domain);
    set_evacuation(e, in);
    e->empty_wall_ms = 0;
    append_change(s, in);
    mark_workers(s, e);
}

bool
evacuation_is_active(const struct flow_state *s, struct str domain)
{
    const struct flow_evacuation *e = flow_evacuation(s, domain);

    return e != NULL && e->active;
}

static Flow__Evacuation *
encode_evacuation(const struct flow_evacuation *e)
{
    Flow__Evacuation *out = mem_alloc(sizeof(*out));

    flow__evacuation__init(out);
    out->domain = (char *)e->domain.ptr;
    out->active = e->active;
    out->change = e->change;
    out->wall_ms = e->wall_ms;
    out->vm = (char *)e->vm.ptr;
    return out;
}

void
evacuations_encode(const struct flow_state *s, Flow__Snapshot *out)
{
    const struct flow_evacuation *e;
    void *cursor = NULL;

    out->evacuations =
        mem_alloc((map_count(s->evacuations) + 1) * sizeof(*out->evacuations));
    while ((e = map_next(s->evacuations, &cursor)) != NULL) {
        out->evacuations[out->n_evacuations++] = encode_evacuation(e);
    }
    out->evacuation_changes = mem_alloc((s->evacuation_change_count + 1) *
                                        sizeof(*out->evacuation_changes));
    for (size_t i = 0; i < s->evacuation_change_count; i++) {
        out->evacuation_changes[out->n_evacuation_changes++] =
            encode_evacuation(&s->evacuation_changes[i]);
    }
}

void
evacuations_free_encoded(Flow__Snapshot *snap)
{
    for (size_t i = 0; i < snap->n_evacuations; i++) {
        mem_free(snap->evacuations[i]);
    }
    for (size_t i = 0; i < snap->n_evacuation_changes; i++) {
        mem_free(snap->evacuation_changes[i]);
    }
    mem_free(snap->evacuations);
    mem_free(snap->evacuation_changes);
}

void
evacuations_decode(struct flow_state *s, const Flow__Snapshot *snap)
{
    for (size_t i = 0; i < snap->n_evacuations; i++) {
        const Flow__Evacuation *in = snap->evacuations[i];

        set_evacuation(ensure_evacuation(s, str_of(in->domain)), in);
    }
    for (size_t i = 0; i < snap->n_evacuation_changes; i++) {
        append_change(s, snap->evacuation_changes[i]);
    }
}

void
evacuations_free(struct flow_state *s)
{
    struct flow_evacuation *e;
    void *cursor = NULL;

    while ((e = map_next(s->evacuations, &cursor)) != NULL) {
        evacuation_clear(e);
        mem_free(e);
    }
    map_destroy(s->evacuations);
    for (size_t i = 0; i < s->evacuation_change_count; i++) {
        evacuation_clear(&s->evacuation_changes[i]);
    }
}

struct flow_evacuation *
flow_evacuation(const struct flow_state *s, struct str domain)
{
    return map_get(s->evacuations, domain);
}

size_t
flow_evacuation_count(const struct flow_state *s)
{
    return map_count(s->evacuations);
}

struct flow_evacuation *
flow_evacuation_next(const struct flow_state *s, void **cursor)
{
    return map_next(s->evacuations, cursor);
}

const struct flow_evacuation *
flow_evacuation_changes(const struct flow_state *s, size_t *count)
{
    *count = s->evacuation_change_count;
    return s->evacuation_changes;
}

bool
flow_is_service_evacuated(const struct flow_state *s, struct str service)
{
    const struct flow_worker *w;
    void *cursor = NULL;
    bool found = false;

    if (map_count(s->evacuations) == 0) {
        return false;
    }
    while ((w = map_next(s->workers, &cursor)) != NULL) {
        if (str_eq(w->service, service)) {
            if (!w->evacuated) {
                return false;
            }
            found = true;
        }
    }
    return found;
}
