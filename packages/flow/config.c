/*
 * The current configuration: queues, services, teams and their keys.
 */
#include "internal.h"

#include <string.h>

#include "mem.h"

struct flow_queue *
config_ensure_queue(struct flow_state *s, struct str name)
{
    struct flow_queue *q = map_get(s->queues, name);

    if (q == NULL) {
        q = mem_zalloc(1, sizeof(*q));
        q->name = str_dup(name);
        q->max_attempts = 1;
        q->stretch = 1;
        map_put(s->queues, q->name, q);
    }
    return q;
}

struct flow_team *
config_ensure_team(struct flow_state *s, struct str name)
{
    struct flow_team *t = map_get(s->teams, name);

    if (t == NULL) {
        t = mem_zalloc(1, sizeof(*t));
        t->name = str_dup(name);
        t->weight = 1;
        map_put(s->teams, t->name, t);
    }
    return t;
}

static void
set_queue(struct flow_queue *q, const Flow__Queue *in)
{
    str_replace(&q->host, str_of(in->host));
    str_replace(&q->prefix, str_of(in->prefix));
    str_replace(&q->service, str_of(in->service));
    q->timeout_ms = in->timeout_ms;
    q->latency_target_ms = in->latency_target_ms;
    q->priority = in->priority;
    q->max_attempts = in->max_attempts < 1 ? 1 : in->max_attempts;
    q->stretch = in->stretch;
    q->needs_approval = in->needs_approval;
    q->approval_ms = in->approval_ms;
    q->approval_worker_us = in->approval_worker_us;
    q->ticket_ms = in->ticket_ms;
    q->open = in->open;
}

static void
install_queue(struct flow_state *s, const Flow__Queue *in)
{
    struct flow_queue *q = config_ensure_queue(s, str_of(in->name));

    set_queue(q, in);
    q->configured = true;
    q->guarded = false;
    for (size_t i = 0; i < s->config->n_services; i++) {
        if (str_eq(str_of(s->config->services[i]->name), q->service)) {
            q->guarded = s->config->services[i]->guards_capacity;
        }
    }
}

static void
set_team(struct flow_team *t, const Flow__Team *in)
{
    t->weight = in->weight < 1 ? 1 : in->weight;
    t->limit = (struct flow_size){0};
    if (in->limit != NULL) {
        t->limit.cpu_milli = in->limit->cpu_milli;
        t->limit.memory_mib = in->limit->memory_mib;
        t->limit.accelerators = in->limit->accelerators;
    }
}

static void
install_team(struct flow_state *s, const Flow__Team *in)
{
    struct flow_team *t = config_ensure_team(s, str_of(in->name));

    set_team(t, in);
    t->configured = true;
    for (size_t i = 0; i < in->n_keys; i++) {
        map_put(s->teams_by_key, str_of(in->keys[i]), t);
    }
}

static Flow__RemovedQueue *
encode_queue(const struct flow_queue *q)
{
    Flow__RemovedQueue *out = mem_alloc(sizeof(*out));

    flow__removed_queue__init(out);
    out->guarded = q->guarded;
    out->queue = mem_alloc(sizeof(*out->queue));
    flow__queue__init(out->queue);
    out->queue->name = (char *)q->name.ptr;
    out->queue->host = (char *)q->host.ptr;
    out->queue->prefix = (char *)q->prefix.ptr;
    out->queue->service = (char *)q->service.ptr;
    out->queue->timeout_ms = q->timeout_ms;
    out->queue->latency_target_ms = q->latency_target_ms;
    out->queue->priority = q->priority;
    out->queue->max_attempts = q->max_attempts;
    out->queue->stretch = q->stretch;
    out->queue->needs_approval = q->needs_approval;
    out->queue->approval_ms = q->approval_ms;
    out->queue->approval_worker_us = q->approval_worker_us;
    out->queue->ticket_ms = q->ticket_ms;
    out->queue->open = q->open;
    return out;
}

static Flow__Team *
encode_team(const struct flow_team *t)
{
    Flow__Team *out = mem_alloc(sizeof(*out));

    flow__team__init(out);
    out->name = (char *)t->name.ptr;
    out->weight = t->weight;
    out->limit = mem_alloc(sizeof(*out->limit));
    flow__size__init(out->limit);
    out->limit->cpu_milli = t->limit.cpu_milli;
    out->limit->memory_mib = t->limit.memory_mib;
    out->limit->accelerators = t->limit.accelerators;
    return out;
}

void
config_encode_removed(const struct flow_state *s, Flow__Snapshot *out)
{
    void *cursor = NULL;
    const struct flow_queue *q;
    const struct flow_team *t;

    out->removed_queues =
        mem_alloc((map_count(s->queues) + 1) * sizeof(*out->removed_queues));
    while ((q = map_next(s->queues, &cursor)) != NULL) {
        if (!q->configured && q->jobs > 0) {
            out->removed_queues[out->n_removed_queues++] = encode_queue(q);
        }
    }
    cursor = NULL;
    out->removed_teams =
        mem_alloc((map_count(s->teams) + 1) * sizeof(*out->removed_teams));
    while ((t = map_next(s->teams, &cursor)) != NULL) {
        if (!t->configured && t->jobs > 0) {
            out->removed_teams[out->n_removed_teams++] = encode_team(t);
        }
    }
}

void
config_free_removed(Flow__Snapshot *snap)
{
    for (size_t i = 0; i < snap->n_removed_queues; i++) {
        mem_free(snap->removed_queues[i]->queue);
        mem_free(snap->removed_queues[i]);
    }
    for (size_t i = 0; i < snap->n_removed_teams; i++) {
        mem_free(snap->removed_teams[i]->limit);
        mem_free(snap->removed_teams[i]);
    }
    mem_free(snap->removed_queues);
    mem_free(snap->removed_teams);
}

void
config_decode_removed(struct flow_state *s, const Flow__Snapshot *snap)
{
    for (size_t i = 0; i < snap->n_removed_queues; i++) {
        const Flow__RemovedQueue *in = snap->removed_queues[i];
        struct flow_queue *q;

        if (in->queue != NULL) {
            q = config_ensure_queue(s, str_of(in->queue->name));
            set_queue(q, in->queue);
            q->guarded = in->guarded;
        }
    }
    for (size_t i = 0; i < snap->n_removed_teams; i++) {
        const Flow__Team *in = snap->removed_teams[i];

        set_team(config_ensure_team(s, str_of(in->name)), in);
    }
}

void
config_install(struct flow_state *s, Flow__Config *config)
{
    void *cursor = NULL;
    struct flow_queue *q;
    struct flow_team *t;

    if (s->config != NULL) {
        flow__config__free_unpacked(s->config, NULL);
    }
    s->config = config;
    while ((q = map_next(s->queues, &cursor)) != NULL) {
        q->configured = false;
    }
    cursor = NULL;
    while ((t = map_next(s->teams, &cursor)) != NULL) {
        t->configured = false;
    }
    map_destroy(s->teams_by_key);
    s->teams_by_key = map_create();
    for (size_t i = 0; i < config->n_queues; i++) {
        install_queue(s, config->queues[i]);
    }
    for (size_t i = 0; i < config->n_teams; i++) {
        install_team(s, config->teams[i]);
    }
}

const Flow__Config *
flow_current_config(const struct flow_state *s)
{
    return s->config;
}

struct flow_queue *
flow_queue_by_name(const struct flow_state *s, struct str name)
{
    return map_get(s->queues, name);
}

struct flow_queue *
flow_match_queue(const struct flow_state *s, struct str host, struct str path)
{
    void *cursor = NULL;
    struct flow_queue *best = NULL;
    struct flow_queue *q;

    while ((q = map_next(s->queues, &cursor)) != NULL) {
        if (q->configured && str_eq(q->host, host) &&
            str_starts(path, q->prefix) &&
            (best == NULL || q->prefix.len > best->prefix.len)) {
            best = q;
        }
    }
    return best;
}

struct flow_team *
flow_team_by_key(const struct flow_state *s, struct str key)
{
    return map_get(s->teams_by_key, key);
}

bool
flow_config_equal(const Flow__Config *a, const Flow__Config *b)
{
    return a->document.len == b->document.len &&
           memcmp(a->document.data, b->document.data, a->document.len) == 0;
}
